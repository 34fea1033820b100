//! What each request of an operator does.
use super::messages::{AdminRequest, AdminResponse, ClusterStatus, MAX_WAIT_S, VersionSummary};
use crate::state::{InvalidSettings, ServerState, SharedState};
use alderway_control_plane::replica::{ReplicaMessage, ReplicaName};
use alderway_control_plane::version::{Proposal, Version, VersionNumber};
use alderway_control_plane::version_log::{VersionLog, changed_keys};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout_at};

/// Versions in one response.
const MAX_LISTED_VERSIONS: usize = 200;
/// The longest author, reason and id of a proposal.
const MAX_TEXT_BYTES: usize = 500;
/// How long the other control servers have to send the summaries of their routers.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(700);
/// Between two looks whether a client that has sent further requests is still connected.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The response to a request; none where the client has gone meanwhile.
pub(super) async fn respond(
    state: &SharedState,
    stream: &TcpStream,
    request: AdminRequest,
) -> Option<AdminResponse> {
    Some(match request {
        AdminRequest::Check { settings } => check(&state.borrow(), &settings),
        AdminRequest::Propose { proposal, wait_s } => {
            return propose(state, stream, &proposal, wait_s).await;
        }
        AdminRequest::History { before, count } => list_versions(&state.borrow(), before, count),
        AdminRequest::Show { number } => show(&state.borrow(), number),
        AdminRequest::Status => AdminResponse::Status(Box::new(collect_status(state).await)),
    })
}

fn check(state: &ServerState, settings: &Value) -> AdminResponse {
    match state.check_settings(settings) {
        Ok(()) => AdminResponse::Valid,
        Err(InvalidSettings(reason)) => AdminResponse::Invalid { reason },
    }
}

/// The first thing wrong with a proposal's own fields, if any.
fn malformed(proposal: &Proposal, wait_s: f64) -> Option<String> {
    let texts = [("id", &proposal.id), ("author", &proposal.author), ("why", &proposal.reason)];
    for (key, text) in texts {
        let may_be_empty = key == "author";
        if text.len() > MAX_TEXT_BYTES || (!may_be_empty && text.trim().is_empty()) {
            return Some(format!("`{key}` is 1 to {MAX_TEXT_BYTES} bytes long"));
        }
    }
    let is_wait_valid = (0.0..=MAX_WAIT_S).contains(&wait_s);
    (!is_wait_valid).then(|| format!("`wait_s` is 0 to {MAX_WAIT_S}"))
}

async fn propose(
    state: &SharedState,
    stream: &TcpStream,
    proposal: &Proposal,
    wait_s: f64,
) -> Option<AdminResponse> {
    if let Some(reason) = malformed(proposal, wait_s) {
        return Some(AdminResponse::BadRequest { reason });
    }
    if let Err(InvalidSettings(reason)) = state.borrow().check_settings(&proposal.settings) {
        return Some(AdminResponse::Invalid { reason });
    }
    let (client, outcome) = state.borrow_mut().propose(proposal, wait_s);
    let outcome = tokio::select! {
        outcome = outcome => outcome.ok(),
        () = disconnected(stream) => None,
    };
    let Some(outcome) = outcome else {
        state.borrow_mut().forget_client(client);
        return None;
    };
    Some(AdminResponse::Proposed { outcome, admin_addresses: state.borrow().admin_addresses.clone() })
}

/// Returns once the client has closed its connection.
async fn disconnected(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // Further requests wait in the socket and hide its end until they are read.
            Ok(_) => sleep(DISCONNECT_POLL_INTERVAL).await,
        }
    }
}

fn list_versions(state: &ServerState, before: Option<VersionNumber>, count: usize) -> AdminResponse {
    let log = state.replica.version_log();
    let latest_first = log.versions().iter().rev();
    let earlier = latest_first.filter(|version| before.is_none_or(|before| version.number < before));
    let listed = earlier.take(count.min(MAX_LISTED_VERSIONS));
    let mut versions: Vec<VersionSummary> = listed.map(|version| summarize(log, version)).collect();
    versions.reverse();
    AdminResponse::History { newest: log.latest_number(), versions }
}

fn summarize(log: &VersionLog, version: &Version) -> VersionSummary {
    let previous = version.number.checked_sub(1).and_then(|number| log.get(number));
    let changed_keys =
        previous.map_or(vec![], |previous| changed_keys(&previous.settings, &version.settings));
    let Version { number, proposal_id, author, reason, at_unix_ms, .. } = version.clone();
    VersionSummary { number, proposal_id, author, reason, at_unix_ms, changed_keys }
}

fn show(state: &ServerState, number: Option<VersionNumber>) -> AdminResponse {
    let log = state.replica.version_log();
    match log.get(number.unwrap_or(log.latest_number())) {
        Some(version) => AdminResponse::Version { version: version.clone() },
        None => {
            let oldest = log.versions().front().map_or(0, |version| version.number);
            AdminResponse::VersionNotFound { oldest, newest: log.latest_number() }
        }
    }
}

/// Asks the other control servers for their routers, and adds up what arrives in time.
async fn collect_status(state: &SharedState) -> ClusterStatus {
    let (sender, mut replies) = mpsc::unbounded_channel();
    let (request, mut status) = {
        let mut state = state.borrow_mut();
        let request = state.start_summary_request(sender);
        let status = own_status(&mut state);
        for peer in &status.unresponsive {
            state.outboxes.push(peer, &ReplicaMessage::SummaryRequest { request_id: request });
        }
        (request, status)
    };
    let deadline = Instant::now() + SUMMARY_TIMEOUT;
    while !status.unresponsive.is_empty() {
        let Ok(Some(reply)) = timeout_at(deadline, replies.recv()).await else { break };
        if reply.request == request && status.unresponsive.remove(&reply.from) {
            status.versions.insert(reply.from.clone(), reply.version);
            status.unavailable.extend(reply.unavailable.map(|reason| (reply.from.clone(), reason)));
            status.routers.merge(&reply.routers);
        }
    }
    state.borrow_mut().end_summary_request(request);
    status
}

/// What this control server knows by itself; all others count as unresponsive until they reply.
fn own_status(state: &mut ServerState) -> ClusterStatus {
    let replica = state.replica.status(state.now());
    let peers = state.admin_addresses.keys().filter(|name| **name != replica.name);
    ClusterStatus {
        versions: BTreeMap::from([(replica.name.clone(), replica.version)]),
        unavailable: replica
            .unavailable_reason
            .iter()
            .map(|reason| (replica.name.clone(), reason.clone()))
            .collect(),
        unresponsive: peers.cloned().collect::<std::collections::BTreeSet<ReplicaName>>(),
        routers: state.version_sink.summary(),
        replica,
    }
}
