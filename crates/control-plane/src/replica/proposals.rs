//! Clients that wait for the outcome of a proposal. Any replica takes proposals; a follower forwards them to the leader.
//! They are proposed again until they are decided, because a message or a leader may be lost: the id of a proposal makes
//! it count once.
use super::state::encode;
use super::{QUORUM_TIMEOUT_S, Replica, ReplicaName};
use crate::version::{Proposal, VersionNumber};
use crate::version_log::{ProposalError, VersionLog};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of the longest proposal, as JSON.
pub const MAX_PROPOSAL_BYTES: usize = 256 * 1024;
/// Clients that may wait at one replica.
pub const MAX_WAITING_CLIENTS: usize = 64;
/// Seconds after which an undecided proposal is proposed again.
const RETRY_INTERVAL_S: f64 = 1.0;

/// Identifies a waiting client. Chosen by the driver, each once.
pub type ClientId = u64;

/// What a client that proposed is told, once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalOutcome {
    /// Committed under this number: durable at a quorum.
    #[serde(rename = "ordered")]
    Committed(VersionNumber),
    /// Decided, and not made a version.
    #[serde(rename = "refused")]
    Rejected(ProposalError),
    /// Not proposed: it is too long.
    TooLong {
        /// Bytes of the proposal.
        bytes: usize,
        /// [`MAX_PROPOSAL_BYTES`].
        #[serde(rename = "most")]
        limit: usize,
    },
    /// Not proposed: too many clients wait here.
    TooMany {
        /// [`MAX_WAITING_CLIENTS`].
        #[serde(rename = "most")]
        limit: usize,
    },
    /// Not proposed: this replica sees no quorum.
    #[serde(rename = "no_majority")]
    NoQuorum {
        /// The leader that it last knew.
        leader: Option<ReplicaName>,
        /// Seconds since it last saw a quorum. None if it never did since the start.
        #[serde(rename = "seconds")]
        for_s: Option<f64>,
    },
    /// Proposed, and not decided in time. It may yet be committed; the same id can be proposed again.
    #[serde(rename = "unsettled")]
    Undecided {
        /// The leader that this replica knows.
        leader: Option<ReplicaName>,
    },
    /// Not proposed: this replica takes no part in the group.
    #[serde(rename = "out")]
    Unavailable {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
}

struct WaitingClient {
    proposal_id: String,
    encoded: Vec<u8>,
    deadline: f64,
    retry_at: f64,
}

#[derive(Default)]
pub(super) struct WaitingClients {
    clients: BTreeMap<ClientId, WaitingClient>,
}

impl WaitingClients {
    /// Removes the clients that proposed this id.
    pub(super) fn take_decided(&mut self, proposal_id: &str) -> Vec<ClientId> {
        self.clients
            .extract_if(.., |_, waiting| waiting.proposal_id == proposal_id)
            .map(|(client, _)| client)
            .collect()
    }

    /// Removes the clients whose proposal is a version of the log, as after a snapshot was installed.
    pub(super) fn take_committed(&mut self, log: &VersionLog) -> Vec<(ClientId, VersionNumber)> {
        let number_of = |waiting: &WaitingClient| {
            let newest_first = log.versions().iter().rev();
            newest_first
                .filter(|version| version.proposal_id == waiting.proposal_id)
                .map(|version| version.number)
                .next()
        };
        let committed: Vec<(ClientId, VersionNumber)> = self
            .clients
            .iter()
            .filter_map(|(client, waiting)| Some((*client, number_of(waiting)?)))
            .collect();
        committed.iter().for_each(|(client, _)| drop(self.clients.remove(client)));
        committed
    }

    fn take_expired(&mut self, now: f64) -> Vec<ClientId> {
        self.clients.extract_if(.., |_, waiting| waiting.deadline <= now).map(|(client, _)| client).collect()
    }
}

impl Replica {
    /// Proposes a change. The client is told one outcome, within `timeout_s` seconds.
    pub fn propose(&mut self, client: ClientId, proposal: &Proposal, timeout_s: f64, now: f64) {
        let encoded = encode(proposal);
        if let Err(outcome) = self.admit_proposal(encoded.len(), now) {
            self.output.outcomes.push((client, outcome));
            return;
        }
        let proposal_id = proposal.id.clone();
        let waiting = WaitingClient { proposal_id, encoded, deadline: now + timeout_s, retry_at: now };
        self.waiting.clients.insert(client, waiting);
        self.propose_due(now);
    }

    /// Whether a proposal may be made now. Nothing is proposed without a quorum, so that the client is told at once.
    fn admit_proposal(&self, bytes: usize, now: f64) -> Result<(), ProposalOutcome> {
        if bytes > MAX_PROPOSAL_BYTES {
            return Err(ProposalOutcome::TooLong { bytes, limit: MAX_PROPOSAL_BYTES });
        }
        if let Some(reason) = self.unavailable_reason() {
            return Err(ProposalOutcome::Unavailable { reason: reason.to_string() });
        }
        if self.waiting.clients.len() >= MAX_WAITING_CLIENTS {
            return Err(ProposalOutcome::TooMany { limit: MAX_WAITING_CLIENTS });
        }
        if !self.has_quorum(now) {
            let for_s = Some(self.staleness_s(now)).filter(|staleness_s| staleness_s.is_finite());
            return Err(ProposalOutcome::NoQuorum { leader: self.leader().cloned(), for_s });
        }
        Ok(())
    }

    /// The client is gone; it is told nothing.
    pub fn forget_client(&mut self, client: ClientId) {
        self.waiting.clients.remove(&client);
    }

    /// Proposes what is due to be proposed, for the first time or again.
    pub(super) fn propose_due(&mut self, now: f64) {
        if self.stall.is_some() {
            return;
        }
        let Some(consensus) = &mut self.consensus else { return };
        for waiting in self.waiting.clients.values_mut().filter(|waiting| waiting.retry_at <= now) {
            if consensus.propose(waiting.encoded.clone()) {
                waiting.retry_at = now + RETRY_INTERVAL_S;
            }
        }
    }

    /// Tells the clients whose time is over that their proposals are undecided.
    pub(super) fn expire_clients(&mut self, now: f64) {
        let leader = self.leader().cloned();
        for client in self.waiting.take_expired(now) {
            self.output.outcomes.push((client, ProposalOutcome::Undecided { leader: leader.clone() }));
        }
    }

    /// Whether a quorum, this replica among it, was heard of lately. A replica that takes no part sees none.
    pub fn has_quorum(&self, now: f64) -> bool {
        self.takes_part() && self.staleness_s(now) <= QUORUM_TIMEOUT_S
    }
}
