//! Clients that wait for the outcome of a proposal.
use super::state::ReplicaName;
use crate::version::VersionNumber;
use crate::version_log::{ProposalError, VersionLog};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of the longest proposal, as JSON.
pub const MAX_PROPOSAL_BYTES: usize = 256 * 1024;
/// Clients that may wait at one replica.
pub const MAX_WAITING_CLIENTS: usize = 64;

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

pub(super) struct WaitingClient {
    pub(super) proposal_id: String,
    /// The proposal as it is committed.
    pub(super) encoded: Vec<u8>,
    /// When the client is told that the proposal is undecided.
    pub(super) deadline: f64,
    /// When to propose it again.
    pub(super) retry_at: f64,
}

#[derive(Default)]
pub(super) struct WaitingClients {
    pub(super) clients: BTreeMap<ClientId, WaitingClient>,
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

    pub(super) fn take_expired(&mut self, now: f64) -> Vec<ClientId> {
        self.clients.extract_if(.., |_, waiting| waiting.deadline <= now).map(|(client, _)| client).collect()
    }
}
