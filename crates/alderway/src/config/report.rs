//! Formats the output of the `alderway config` commands.
use alderway_control_plane::version_log::{ProposalError, UndoneVersion};
use alderway_control_server::admin::{ClusterStatus, VersionSummary};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Writes a line to standard output. Unlike `println!`, this does not panic if the output is a closed pipe.
pub(super) fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// The current Unix time of the system clock, in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The output line of `alderway config history` for one settings version.
pub(super) fn history_line(version: &VersionSummary) -> String {
    let VersionSummary { number, author, reason, changed_keys, at_unix_ms, .. } = version;
    let age_s = unix_ms().saturating_sub(*at_unix_ms) / 1000;
    let keys =
        if changed_keys.is_empty() { String::new() } else { format!("  [{}]", changed_keys.join(", ")) };
    format!("{number}  {age_s} s ago  {author}: {reason}{keys}")
}

pub(super) fn status_lines(status: &ClusterStatus) -> Vec<String> {
    let mut lines = replica_lines(status);
    let routers = &status.routers;
    if routers.by_version.is_empty() {
        lines.push("routers: none".into());
    }
    let by_version = routers.by_version.iter().rev();
    lines.extend(by_version.map(|(number, count)| format!("routers with {number}: {count}")));
    lines.extend(routers.lagging.iter().map(|lagging| {
        let (router, version) = (&lagging.router, lagging.version);
        format!("lags: {router} has {version} for {:.1} s: {}", lagging.since_s, lagging.reason)
    }));
    if routers.omitted > 0 {
        lines.push(format!("lags: {} more", routers.omitted));
    }
    lines
}

fn replica_lines(status: &ClusterStatus) -> Vec<String> {
    let replica = &status.replica;
    let confirmed = replica.staleness_s.map_or("never since its start".into(), |s| format!("{s:.1} s ago"));
    let quorum = if replica.has_quorum { "stands" } else { "not known to stand" };
    let leader = replica.leader.as_deref().unwrap_or("none is known");
    let versions = status.versions.iter().map(|(name, number)| format!("{name} has {number}"));
    let versions = versions.collect::<Vec<_>>().join(", ");
    let mut lines = vec![
        format!("version: {}, confirmed as the newest by {} {confirmed}", replica.version, replica.name),
        format!("majority: {quorum}"),
        format!("leader: {leader}, term {}", replica.term),
        format!("control machines: {versions}"),
    ];
    let unavailable = status.unavailable.iter();
    lines.extend(unavailable.map(|(name, reason)| format!("control machine {name} takes no part: {reason}")));
    if replica.membership_changing {
        lines.push("a replaced control machine is being taken in".into());
    }
    if !status.unresponsive.is_empty() {
        let names = unresponsive_servers(status);
        lines.push(format!("not responding, their routers not counted: {names}"));
    }
    lines
}

/// The names of the control servers that did not respond to the status request, separated by commas.
pub(super) fn unresponsive_servers(status: &ClusterStatus) -> String {
    status.unresponsive.iter().map(String::as_str).collect::<Vec<_>>().join(", ")
}

/// The error message for a proposal that the control servers rejected.
pub(super) fn rejection_message(error: &ProposalError) -> String {
    match error {
        ProposalError::WouldUndo { newest, count, undone } => {
            let undone: String = undone.iter().map(undone_line).collect();
            format!(
                "refused: version {newest} is the newest, and {count} versions since the base would be undone:{undone}"
            )
        }
        ProposalError::BaseUnknown { base, newest } => {
            format!("refused: the base version {base} does not exist, the newest version is {newest}")
        }
        ProposalError::IdTaken { number } => {
            format!(
                "refused: the id of the proposal is already used by version {number}, which has other content"
            )
        }
        ProposalError::Unreadable => "refused: it cannot be read".into(),
    }
}

fn undone_line(version: &UndoneVersion) -> String {
    let UndoneVersion { number, author, reason, changed_keys } = version;
    format!("\n  {number} by {author}: {reason} [{}]", changed_keys.join(", "))
}
