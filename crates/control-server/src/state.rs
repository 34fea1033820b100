//! What all tasks of a control server share, on one thread: the replica, its log on disk, the outboxes to its peers and
//! the clients that wait for an outcome.
//!
//! # What is durable before what is said
//! [`ServerState::advance`] is the only way in which anything that the replica decides leaves the process. The replica
//! hands its writes to the [`LogStore`], which returns once they are synced, and only then returns the messages, committed
//! versions and outcomes that follow from them. So a vote, an acknowledgement of entries and the outcome of a proposal are
//! sent only after what they promise is on this machine's disk. The disk is written on the same thread: nothing else
//! happens in between. After a failed write nothing is sent, and the replica tries the same write again later.
use crate::log_store::LogStore;
use crate::outbox::Outboxes;
use alderway_control_plane::replica::{ClientId, ProposalOutcome, Replica, ReplicaName};
use alderway_control_plane::version::{Proposal, VersionNumber};
use alderway_control_plane::version_sink::{RouterSummary, VersionSink};
use alderway_sockets::TurnQueue;
use alderway_telemetry::clock::Clock;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Settings that a router would refuse: one line that names the key.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{0}")]
pub struct InvalidSettings(pub String);

/// Checks settings as a router does at its start, and that they can follow the given earlier ones.
pub type SettingsCheck = Box<dyn Fn(&Value, Option<&Value>) -> Result<(), InvalidSettings>>;

/// What another control server says of its routers.
pub(crate) struct RouterSummaryReply {
    /// The number of the request.
    pub(crate) request: u64,
    pub(crate) from: ReplicaName,
    pub(crate) version: VersionNumber,
    /// Why that machine takes no part.
    pub(crate) unavailable: Option<String>,
    pub(crate) routers: RouterSummary,
}

pub(crate) struct ServerState {
    pub(crate) replica: Replica,
    pub(crate) outboxes: Outboxes,
    /// Where committed versions go.
    pub(crate) version_sink: Box<dyn VersionSink>,
    /// Admin endpoints of all control servers.
    pub(crate) admin_addresses: BTreeMap<ReplicaName, SocketAddr>,
    settings_check: SettingsCheck,
    log_store: LogStore,
    clock: Clock,
    /// The tasks of the control server that have used up their turn.
    pub(crate) turn_queue: TurnQueue,
    waiting_clients: BTreeMap<ClientId, oneshot::Sender<ProposalOutcome>>,
    summary_requests: BTreeMap<u64, mpsc::UnboundedSender<RouterSummaryReply>>,
    last_number: u64,
}

pub(crate) type SharedState = Rc<RefCell<ServerState>>;

impl ServerState {
    pub(crate) fn new(
        replica: Replica,
        log_store: LogStore,
        outboxes: Outboxes,
        version_sink: Box<dyn VersionSink>,
        admin_addresses: BTreeMap<ReplicaName, SocketAddr>,
        settings_check: SettingsCheck,
    ) -> ServerState {
        ServerState {
            replica,
            outboxes,
            version_sink,
            admin_addresses,
            settings_check,
            log_store,
            clock: Clock::default(),
            turn_queue: TurnQueue::default(),
            waiting_clients: BTreeMap::new(),
            summary_requests: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Seconds since the program started.
    pub(crate) fn now(&self) -> f64 {
        self.clock.now()
    }

    /// A number that this process uses once: for clients, summary requests and connections.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Has the replica write what must be durable, then carries out what follows from it. Called after everything that was
    /// fed to the replica.
    pub(crate) fn advance(&mut self) {
        let now = self.now();
        let output = self.replica.advance(&mut self.log_store, now);
        for event in output.events {
            tracing::info!(target: "control", "{event}");
        }
        for version in output.committed {
            tracing::info!(target: "control", "version {} by {}: {}", version.number, version.author, version.reason);
            self.version_sink.committed(&version);
        }
        for (peer, message) in output.messages {
            if !self.outboxes.push(&peer, &message) {
                self.replica.report_unreachable(&peer);
            }
        }
        for (client, outcome) in output.outcomes {
            if let Some(waiting) = self.waiting_clients.remove(&client) {
                // A client that has gone needs no outcome.
                let _ = waiting.send(outcome);
            }
        }
    }

    /// To be called every `TICK_S` seconds.
    pub(crate) fn tick(&mut self) {
        let now = self.now();
        self.replica.tick(now);
        self.advance();
        let (staleness_s, has_quorum) = (self.replica.staleness_s(now), self.replica.has_quorum(now));
        self.version_sink.freshness(staleness_s, has_quorum);
    }

    pub(crate) fn check_settings(&self, settings: &Value) -> Result<(), InvalidSettings> {
        let latest = self.replica.version_log().latest().map(|version| &version.settings);
        (self.settings_check)(settings, latest)
    }

    /// Proposes a version; its outcome comes within `wait_s` seconds and a tick.
    pub(crate) fn propose(
        &mut self,
        proposal: &Proposal,
        wait_s: f64,
    ) -> (ClientId, oneshot::Receiver<ProposalOutcome>) {
        let (client, now) = (self.next_number(), self.now());
        let Proposal { id, author, base, .. } = proposal;
        tracing::info!(target: "proposal", "{id} by {author} on version {base}");
        let (sender, outcome) = oneshot::channel();
        self.waiting_clients.insert(client, sender);
        self.replica.propose(client, proposal, wait_s, now);
        self.advance();
        (client, outcome)
    }

    /// The client has gone; what it proposed may still be committed.
    pub(crate) fn forget_client(&mut self, client: ClientId) {
        self.waiting_clients.remove(&client);
        self.replica.forget_client(client);
    }

    /// Has replies to a new summary request sent to `replies`, until [`Self::end_summary_request`].
    pub(crate) fn start_summary_request(
        &mut self,
        replies: mpsc::UnboundedSender<RouterSummaryReply>,
    ) -> u64 {
        let request = self.next_number();
        self.summary_requests.insert(request, replies);
        request
    }

    pub(crate) fn end_summary_request(&mut self, request: u64) {
        self.summary_requests.remove(&request);
    }

    pub(crate) fn deliver_summary(&mut self, reply: RouterSummaryReply) {
        if let Some(replies) = self.summary_requests.get(&reply.request) {
            // A client that has gone needs no reply.
            let _ = replies.send(reply);
        }
    }
}
