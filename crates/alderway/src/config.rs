//! `alderway config`: what operators ask of the control machines. Exit codes: 0 done, 1 refused or failed, 2 input that
//! cannot be used, 3 no majority, timed out, or not in force everywhere.
use crate::settings;
use alderway_control_plane::replica::ProposalOutcome;
use alderway_control_plane::version::{Proposal, Version, VersionNumber};
use alderway_control_plane::version_log::ProposalError;
use alderway_control_server::admin::client;
use alderway_control_server::admin::{
    AdminRequest, AdminResponse, ClusterStatus, MAX_WAIT_S, VersionSummary,
};
use clap::{Args, Subcommand};
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ANSWER: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(300);

#[derive(Subcommand)]
pub enum Config {
    /// Checks settings as a router does at its start, and at the control machines if any are named
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        at: Maybe,
    },
    /// Has settings ordered as the next version, and waits until it is in force everywhere
    Propose {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// The newest versions: numbers, authors, reasons and what they changed
    History {
        /// Versions before this one
        #[arg(long, value_name = "N")]
        before: Option<VersionNumber>,
        #[arg(long, value_name = "COUNT", default_value_t = 20)]
        count: usize,
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        at: At,
    },
    /// The settings of a version, as `propose` takes them; the newest without a number
    Show {
        #[arg(value_name = "N")]
        number: Option<VersionNumber>,
        #[command(flatten)]
        at: At,
    },
    /// The version in force, routers by version, who lags, and whether a majority stands
    Status {
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        at: At,
    },
    /// Proposes the settings of an earlier version
    Revert {
        #[arg(value_name = "N")]
        number: VersionNumber,
        #[command(flatten)]
        how: How,
    },
}

#[derive(Args)]
pub struct At {
    /// Control machines' addresses for operators; the first that answers is asked
    #[arg(long = "at", value_name = "ADDRESS", required = true, value_delimiter = ',')]
    at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct Maybe {
    /// Control machines' addresses for operators
    #[arg(long = "at", value_name = "ADDRESS", value_delimiter = ',')]
    at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct How {
    /// Why, for whoever reads the history
    #[arg(long, value_name = "TEXT")]
    why: String,
    /// Who; the user of this shell if it is left out
    #[arg(long, value_name = "NAME", env = "USER", default_value = "unknown")]
    author: String,
    /// The version that this was made from; the newest if it is left out
    #[arg(long, value_name = "N")]
    base: Option<VersionNumber>,
    /// The same id counts once: to ask again what came of it
    #[arg(long, value_name = "ID")]
    id: Option<String>,
    /// How long to wait until it is in force everywhere
    #[arg(long, value_name = "SECONDS", default_value_t = 16.0)]
    wait: f64,
    #[command(flatten)]
    at: At,
}

/// Why there is no more to say than this, with the exit code.
struct Failure(u8, String);

type Done = Result<(), Failure>;

fn failed(why: impl Into<String>) -> Failure {
    Failure(1, why.into())
}

fn unsettled(why: impl Into<String>) -> Failure {
    Failure(3, why.into())
}

fn faulty(why: impl Into<String>) -> Failure {
    Failure(2, why.into())
}

pub fn run(config: &Config) -> ExitCode {
    let done = match config {
        Config::Check { file, at } => check(file, &at.at),
        Config::Propose { file, how } => {
            settings_of(file).and_then(|(settings, text)| propose(settings, how, Some((file, &text))))
        }
        Config::History { before, count, json, at } => history(&at.at, *before, *count, *json),
        Config::Show { number, at } => show(&at.at, *number),
        Config::Status { json, at } => status(&at.at, *json),
        Config::Revert { number, how } => {
            version(&how.at.at, Some(*number)).and_then(|version| propose(version.settings, how, None))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure(code, why)) => {
            eprintln!("alderway: {why}");
            ExitCode::from(code)
        }
    }
}

/// A line on standard output; whoever reads it may have gone.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Asks the machines in turn; none that answers is a failure that names each.
fn asked(all: &[SocketAddr], ask: &AdminRequest, wait: Duration) -> Result<AdminResponse, Failure> {
    let mut faults = vec![];
    for at in all {
        match client::send(*at, ask, wait) {
            Ok(AdminResponse::BadRequest { reason }) => return Err(failed(format!("{at}: {reason}"))),
            Ok(reply) => return Ok(reply),
            Err(fault) => faults.push(fault.to_string()),
        }
    }
    Err(unsettled(format!("no control machine answers: {}", faults.join("; "))))
}

fn odd() -> Failure {
    failed("the control machine answered something else than was asked")
}

fn settings_of(file: &Path) -> Result<(Value, String), Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|why| faulty(format!("{name}: {why}")))?;
    let read = settings::read(&name, &text).map_err(faulty)?;
    settings::check(&read, None).map_err(|reason| Failure(1, settings::located(&name, &text, &reason)))?;
    Ok((read, text))
}

fn check(file: &Path, at: &[SocketAddr]) -> Done {
    let (settings, text) = settings_of(file)?;
    let name = file.display().to_string();
    if !at.is_empty() {
        match asked(at, &AdminRequest::Check { settings }, ANSWER)? {
            AdminResponse::Valid => {}
            AdminResponse::Invalid { reason } => {
                return Err(failed(settings::located(&name, &text, &reason)));
            }
            _ => return Err(odd()),
        }
    }
    say(&format!("{name}: sound"));
    Ok(())
}

fn version(at: &[SocketAddr], number: Option<VersionNumber>) -> Result<Version, Failure> {
    match asked(at, &AdminRequest::Show { number }, ANSWER)? {
        AdminResponse::Version { version } => Ok(version),
        AdminResponse::VersionNotFound { newest: 0, .. } => Err(failed("there is no version yet")),
        AdminResponse::VersionNotFound { oldest, newest } => {
            let asked = number.unwrap_or(newest);
            Err(failed(format!("version {asked} is not kept: there are {oldest} to {newest}")))
        }
        _ => Err(odd()),
    }
}

fn show(at: &[SocketAddr], number: Option<VersionNumber>) -> Done {
    let version = version(at, number)?;
    eprintln!("version {} by {}: {}", version.number, version.author, version.reason);
    say(&serde_json::to_string_pretty(&version.settings).unwrap_or_default());
    Ok(())
}

fn told(line: &VersionSummary) -> String {
    let VersionSummary { number, author, reason, changed_keys, at_unix_ms, .. } = line;
    let age = unix_ms().saturating_sub(*at_unix_ms) / 1000;
    let keys =
        if changed_keys.is_empty() { String::new() } else { format!("  [{}]", changed_keys.join(", ")) };
    format!("{number}  {age} s ago  {author}: {reason}{keys}")
}

fn history(at: &[SocketAddr], before: Option<VersionNumber>, count: usize, json: bool) -> Done {
    let AdminResponse::History { newest, versions } =
        asked(at, &AdminRequest::History { before, count }, ANSWER)?
    else {
        return Err(odd());
    };
    if json {
        say(&serde_json::json!({"newest": newest, "versions": versions}).to_string());
    } else {
        versions.iter().rev().for_each(|line| say(&told(line)));
    }
    Ok(())
}

fn overall(at: &[SocketAddr]) -> Result<ClusterStatus, Failure> {
    match asked(at, &AdminRequest::Status, ANSWER)? {
        AdminResponse::Status(overall) => Ok(*overall),
        _ => Err(odd()),
    }
}

fn status(at: &[SocketAddr], json: bool) -> Done {
    let all = overall(at)?;
    if json {
        say(&serde_json::to_string(&all).unwrap_or_default());
    } else {
        shown(&all);
    }
    let majority = all.replica.has_quorum;
    if majority { Ok(()) } else { Err(unsettled(format!("{} knows of no majority", all.replica.name))) }
}

fn shown(all: &ClusterStatus) {
    let machine = &all.replica;
    let age = machine.staleness_s.map_or("never since its start".into(), |age| format!("{age:.1} s ago"));
    say(&format!("version: {}, as {} knew it to be the newest {age}", machine.version, machine.name));
    let leader = machine.leader.as_deref().unwrap_or("none is known");
    say(&format!("majority: {}", if machine.has_quorum { "stands" } else { "not known to stand" }));
    say(&format!("leader: {leader}, term {}", machine.term));
    let versions: Vec<String> =
        all.versions.iter().map(|(name, number)| format!("{name} has {number}")).collect();
    say(&format!("control machines: {}", versions.join(", ")));
    for (name, why) in &all.unavailable {
        say(&format!("control machine {name} takes no part: {why}"));
    }
    if machine.membership_changing {
        say("a replaced control machine is being taken in");
    }
    if !all.unresponsive.is_empty() {
        let silent: Vec<&str> = all.unresponsive.iter().map(String::as_str).collect();
        say(&format!("not answering, and their routers not counted: {}", silent.join(", ")));
    }
    if all.routers.by_version.is_empty() {
        say("routers: none");
    }
    for (number, count) in all.routers.by_version.iter().rev() {
        say(&format!("routers with {number}: {count}"));
    }
    for lagging in &all.routers.lagging {
        say(&format!(
            "lags: {} has {} for {:.1} s: {}",
            lagging.router, lagging.version, lagging.since_s, lagging.reason
        ));
    }
    if all.routers.omitted > 0 {
        say(&format!("lags: {} more", all.routers.omitted));
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Of no other proposal: drawn by the system where it can.
fn fresh_id() -> String {
    let mut bytes = [0; 8];
    let _ =
        std::fs::File::open("/dev/urandom").and_then(|mut f| std::io::Read::read_exact(&mut f, &mut bytes));
    format!("{:x}-{:x}-{:016x}", unix_ms(), std::process::id(), u64::from_be_bytes(bytes))
}

fn propose(settings: Value, how: &How, file: Option<(&Path, &str)>) -> Done {
    let at = &how.at.at;
    if !(0.0..=MAX_WAIT_S).contains(&how.wait) {
        return Err(faulty(format!("`--wait` is 0 to {MAX_WAIT_S} seconds")));
    }
    let end = Instant::now() + Duration::from_secs_f64(how.wait);
    let base = match how.base {
        Some(base) => base,
        None => overall(at)?.replica.version,
    };
    let id = how.id.clone().unwrap_or_else(fresh_id);
    let (author, why) = (how.author.clone(), how.why.clone());
    let proposal = Proposal { id, base, author, reason: why, at_unix_ms: unix_ms(), settings };
    say(&format!("proposed as {} on version {base}", proposal.id));
    let number = ordered(at, &proposal, how.wait, file)?;
    say(&format!("in order: version {number}"));
    in_force(at, number, end)
}

/// Asks one machine after the other: the same proposal counts once.
fn ordered(
    all: &[SocketAddr],
    proposal: &Proposal,
    wait: f64,
    file: Option<(&Path, &str)>,
) -> Result<VersionNumber, Failure> {
    let end = Instant::now() + Duration::from_secs_f64(wait);
    let mut sent = false;
    let mut last = String::new();
    for at in all {
        let left = end.saturating_duration_since(Instant::now()).as_secs_f64().min(wait);
        if left <= 0.0 && sent {
            break;
        }
        let ask = AdminRequest::Propose { proposal: proposal.clone(), wait_s: left };
        let (outcome, admin_addresses) = match client::send(*at, &ask, Duration::from_secs_f64(left + 2.0)) {
            Ok(AdminResponse::Proposed { outcome, admin_addresses }) => (outcome, admin_addresses),
            Ok(AdminResponse::Invalid { reason }) => {
                let located =
                    file.map(|(path, text)| settings::located(&path.display().to_string(), text, &reason));
                return Err(failed(located.unwrap_or(reason)));
            }
            Ok(AdminResponse::BadRequest { reason }) => return Err(failed(reason)),
            Ok(_) => return Err(odd()),
            Err(fault) => {
                sent = sent || fault.request_sent;
                eprintln!("{fault}");
                last = fault.to_string();
                continue;
            }
        };
        match outcome {
            ProposalOutcome::Committed(number) => return Ok(number),
            ProposalOutcome::Rejected(refusal) => return Err(failed(refused(&refusal))),
            ProposalOutcome::TooLong { bytes, limit } => {
                return Err(failed(format!("the settings are too long: {bytes} bytes, {limit} at most")));
            }
            ProposalOutcome::TooMany { limit } => {
                last = format!("{at}: {limit} proposals wait there already")
            }
            ProposalOutcome::Unavailable { reason } => last = format!("{at}: it takes no part: {reason}"),
            ProposalOutcome::NoQuorum { leader, for_s } => {
                let since = for_s.map_or("since its start".into(), |s| format!("for {s:.1} s"));
                let known = leader.and_then(|name| {
                    Some(format!("; its leader was {name} at {}", admin_addresses.get(&name)?))
                });
                last = format!("{at}: no majority is known {since}{}", known.unwrap_or_default());
            }
            ProposalOutcome::Undecided { leader } => {
                sent = true;
                let known = leader
                    .and_then(|name| Some(format!("; {name} at {} leads", admin_addresses.get(&name)?)));
                last = format!("{at}: no answer of a majority in time{}", known.unwrap_or_default());
            }
        }
        eprintln!("{last}");
    }
    if sent {
        let id = &proposal.id;
        return Err(unsettled(format!(
            "not known to be in order: it may be yet; ask again with `--id {id}`"
        )));
    }
    Err(unsettled(format!("nothing was changed: {last}")))
}

fn refused(refusal: &ProposalError) -> String {
    match refusal {
        ProposalError::WouldUndo { newest, count, undone } => {
            let lines: Vec<String> = undone
                .iter()
                .map(|u| {
                    format!("\n  {} by {}: {} [{}]", u.number, u.author, u.reason, u.changed_keys.join(", "))
                })
                .collect();
            format!("refused: version {newest} is the newest, {count} were made since:{}", lines.concat())
        }
        ProposalError::BaseUnknown { base, newest } => {
            format!("refused: there is no version {base} yet, the newest is {newest}")
        }
        ProposalError::IdTaken { number } => {
            format!("refused: its id was used for version {number}, which is another")
        }
        ProposalError::Unreadable => "refused: it cannot be read".into(),
    }
}

/// Waits until every router that is known has it, with a line whenever that changes.
fn in_force(at: &[SocketAddr], number: VersionNumber, end: Instant) -> Done {
    let mut former = String::new();
    loop {
        let all = overall(at)?;
        let (with, without) = all.routers.by_version.iter().fold((0, 0), |(with, without), (n, count)| {
            if *n >= number { (with + count, without) } else { (with, without + count) }
        });
        let line = match with + without {
            0 => format!("version {number}: no routers are known"),
            sum => format!("in force: {with} of {sum} routers have {number}"),
        };
        if line != former {
            say(&line);
            former = line;
        }
        if without == 0 && all.replica.version >= number {
            if !all.unresponsive.is_empty() {
                let silent: Vec<&str> = all.unresponsive.iter().map(String::as_str).collect();
                say(&format!("routers of {} are not counted: no answer", silent.join(", ")));
            }
            return Ok(());
        }
        if Instant::now() >= end {
            let lagging: Vec<String> = all
                .routers
                .lagging
                .iter()
                .map(|l| format!("{} has {}: {}", l.router, l.version, l.reason))
                .collect();
            let more = all.routers.omitted;
            let more = if more > 0 { format!("; {more} more") } else { String::new() };
            return Err(unsettled(format!(
                "version {number} is in order, and not in force everywhere yet: {without} without it: {}{more}",
                lagging.join("; ")
            )));
        }
        sleep(LOOK);
    }
}
