//! Proposes settings as the next version, and waits until every known router uses the version.
use super::args::ProposalArgs;
use super::error::CommandError;
use super::report::{print_line, unix_ms, unresponsive_servers};
use super::request;
use super::settings_file::SettingsFile;
use alderway_control_plane::replica::{ProposalOutcome, ReplicaName};
use alderway_control_plane::version::{Proposal, VersionNumber};
use alderway_control_server::admin::{AdminRequest, AdminResponse, ClusterStatus, MAX_WAIT_S, client};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time between two status requests while the command waits for routers to use a version.
const STATUS_INTERVAL: Duration = Duration::from_millis(300);
/// How long to wait for a response, in seconds, in addition to the time that the request lets the control
/// server wait.
const RESPONSE_MARGIN_S: f64 = 2.0;

/// Proposes settings as the next version, waits until the version is committed, and then until all routers
/// use the version. `file` is the file that contains the settings; `None` for the settings of an earlier
/// version.
pub(super) fn propose(
    settings: Value,
    args: &ProposalArgs,
    file: Option<&SettingsFile>,
) -> Result<(), CommandError> {
    let addresses = &args.addresses.at;
    if !(0.0..=MAX_WAIT_S).contains(&args.wait) {
        return Err(CommandError::WaitOutOfRange);
    }
    let deadline = Instant::now() + Duration::from_secs_f64(args.wait);
    let base = match args.base {
        Some(base) => base,
        None => request::status(addresses)?.replica.version,
    };
    let id = args.id.clone().unwrap_or_else(unused_id);
    let (author, reason) = (args.author.clone(), args.why.clone());
    let proposal = Proposal { id, base, author, reason, at_unix_ms: unix_ms(), settings };
    print_line(&format!("proposed as {} on version {base}", proposal.id));
    let number = commit(addresses, &proposal, args.wait, file)?;
    print_line(&format!("in order: version {number}"));
    wait_until_applied(addresses, number, deadline)
}

/// Returns a new proposal id from the current time, the process id and random bytes.
fn unused_id() -> String {
    let mut bytes = [0; 8];
    // If random bytes can't be read, zeros are used: the time and the process id still distinguish proposals
    // of one machine.
    let _ = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    format!("{:x}-{:x}-{:016x}", unix_ms(), std::process::id(), u64::from_be_bytes(bytes))
}

/// The result of sending a proposal to one control server. It is not an attempt of a shard request.
enum Attempt {
    Committed(VersionNumber),
    /// The proposal is sent to the next control server. `may_be_proposed` is true if this control server may
    /// have added the proposal to its log.
    Failed {
        reason: String,
        may_be_proposed: bool,
    },
}

/// Sends the proposal to one control server after the other until a server responds that the proposal is
/// committed or rejected. The control servers commit a proposal that they receive several times only once,
/// since its id is the same.
fn commit(
    addresses: &[SocketAddr],
    proposal: &Proposal,
    wait_s: f64,
    file: Option<&SettingsFile>,
) -> Result<VersionNumber, CommandError> {
    let deadline = Instant::now() + Duration::from_secs_f64(wait_s);
    let mut may_be_proposed = false;
    let mut last_reason = String::new();
    for &address in addresses {
        let remaining_s = deadline.saturating_duration_since(Instant::now()).as_secs_f64().min(wait_s);
        if remaining_s <= 0.0 && may_be_proposed {
            break;
        }
        match attempt(address, proposal, remaining_s, file)? {
            Attempt::Committed(number) => return Ok(number),
            Attempt::Failed { reason, may_be_proposed: by_this } => {
                may_be_proposed |= by_this;
                eprintln!("{reason}");
                last_reason = reason;
            }
        }
    }
    Err(if may_be_proposed {
        CommandError::OutcomeUnknown { id: proposal.id.clone() }
    } else {
        CommandError::NothingProposed { last: last_reason }
    })
}

fn attempt(
    address: SocketAddr,
    proposal: &Proposal,
    wait_s: f64,
    file: Option<&SettingsFile>,
) -> Result<Attempt, CommandError> {
    let request = AdminRequest::Propose { proposal: proposal.clone(), wait_s };
    let timeout = Duration::from_secs_f64(wait_s + RESPONSE_MARGIN_S);
    match client::send(address, &request, timeout) {
        Ok(AdminResponse::Proposed { outcome, admin_addresses }) => {
            evaluate(address, outcome, &admin_addresses)
        }
        Ok(AdminResponse::Invalid { reason }) => Err(match file {
            Some(file) => file.invalid_settings_error(&reason),
            None => CommandError::InvalidSettings(reason),
        }),
        Ok(AdminResponse::BadRequest { reason }) => Err(CommandError::BadProposal(reason)),
        Ok(_) => Err(CommandError::UnexpectedResponse),
        Err(error) => Ok(Attempt::Failed { reason: error.to_string(), may_be_proposed: error.request_sent }),
    }
}

fn evaluate(
    address: SocketAddr,
    outcome: ProposalOutcome,
    admin_addresses: &BTreeMap<ReplicaName, SocketAddr>,
) -> Result<Attempt, CommandError> {
    let not_proposed =
        |reason: String| Attempt::Failed { reason: format!("{address}: {reason}"), may_be_proposed: false };
    Ok(match outcome {
        ProposalOutcome::Committed(number) => Attempt::Committed(number),
        ProposalOutcome::Rejected(error) => return Err(CommandError::Rejected(error)),
        ProposalOutcome::TooLong { bytes, limit } => return Err(CommandError::TooLong { bytes, limit }),
        ProposalOutcome::TooMany { limit } => {
            not_proposed(format!("proposal rejected, because {limit} proposals are already pending"))
        }
        ProposalOutcome::Unavailable { reason } => not_proposed(format!("it takes no part: {reason}")),
        ProposalOutcome::NoQuorum { leader, for_s } => {
            let since = for_s.map_or("since its start".into(), |s| format!("for {s:.1} s"));
            let leader = known_leader(leader, admin_addresses);
            let leader = leader.map(|(name, at)| format!("; the last known leader was {name} at {at}"));
            not_proposed(format!("no majority is known {since}{}", leader.unwrap_or_default()))
        }
        ProposalOutcome::Undecided { leader } => {
            let leader = known_leader(leader, admin_addresses);
            let leader =
                leader.map(|(name, at)| format!("; the leader is {name} at {at}")).unwrap_or_default();
            let reason = format!("{address}: no response from a majority in time{leader}");
            Attempt::Failed { reason, may_be_proposed: true }
        }
    })
}

/// The name and the admin address of the leader, so that the operator can repeat the command there. `None` if
/// no leader or no address is known.
fn known_leader(
    leader: Option<ReplicaName>,
    admin_addresses: &BTreeMap<ReplicaName, SocketAddr>,
) -> Option<(ReplicaName, SocketAddr)> {
    let name = leader?;
    let address = *admin_addresses.get(&name)?;
    Some((name, address))
}

/// The number of routers that use a version or a newer one (`applied`), and the number of all others
/// (`missing`).
struct Progress {
    applied: u64,
    missing: u64,
}

impl Progress {
    fn of(status: &ClusterStatus, number: VersionNumber) -> Progress {
        let mut progress = Progress { applied: 0, missing: 0 };
        for (version, count) in &status.routers.by_version {
            let total = if *version >= number { &mut progress.applied } else { &mut progress.missing };
            *total += count;
        }
        progress
    }

    fn status_line(&self, number: VersionNumber) -> String {
        match self.applied + self.missing {
            0 => format!("version {number}: no routers are known"),
            all => format!("in force: {} of {all} routers have {number}", self.applied),
        }
    }
}

/// Waits until every known router uses the version, and prints a line whenever the number of these routers
/// changes.
fn wait_until_applied(
    addresses: &[SocketAddr],
    number: VersionNumber,
    deadline: Instant,
) -> Result<(), CommandError> {
    let mut last_line = String::new();
    loop {
        let status = request::status(addresses)?;
        let progress = Progress::of(&status, number);
        let line = progress.status_line(number);
        if line != last_line {
            print_line(&line);
            last_line = line;
        }
        if progress.missing == 0 && status.replica.version >= number {
            if !status.unresponsive.is_empty() {
                print_line(&format!(
                    "routers of {} are not counted: no answer",
                    unresponsive_servers(&status)
                ));
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(not_applied_everywhere(&status, number, progress.missing));
        }
        sleep(STATUS_INTERVAL);
    }
}

fn not_applied_everywhere(status: &ClusterStatus, number: VersionNumber, missing: u64) -> CommandError {
    let lagging = status.routers.lagging.iter();
    let lagging = lagging.map(|l| format!("{} has {}: {}", l.router, l.version, l.reason));
    let lagging = lagging.collect::<Vec<_>>().join("; ");
    let omitted = status.routers.omitted;
    let more = if omitted > 0 { format!("; {omitted} more") } else { String::new() };
    CommandError::NotAppliedEverywhere { number, missing, lagging, more }
}
