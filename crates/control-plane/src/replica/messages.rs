//! Messages between replicas, encoded by `postcard`: the order of variants and fields is the wire format. Messages of
//! consensus are sent in fragments, because they may be longer than a frame.
use super::state::ReplicaName;
use crate::consensus::ReplicaId;
use crate::version::VersionNumber;
use crate::version_sink::RouterSummary;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of consensus in one message.
const FRAGMENT_BYTES: usize = 256 * 1024;
/// Bytes of the longest message of consensus.
const MAX_CONSENSUS_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// From one replica to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Who the sender is. Sent when a link opens, and regularly.
    Announce {
        /// Id of its disk.
        replica_id: ReplicaId,
        /// The group that its disk belongs to; 0: none yet.
        group_id: u64,
        /// The members with which the sender founded the group; empty if it joined later.
        founders: Vec<(ReplicaName, ReplicaId)>,
    },
    /// A fragment of a message of consensus. Fragments of a message follow each other.
    ConsensusFragment {
        /// Group of the sender.
        group_id: u64,
        /// The receiver.
        to: ReplicaId,
        /// Position of the fragment in the message, from 0.
        index: u32,
        /// Whether it is the last one.
        is_last: bool,
        /// The fragment.
        bytes: Vec<u8>,
    },
    /// Asks for a summary of the sender's routers. For the driver; a replica ignores it.
    SummaryRequest {
        /// Returned with the response.
        request_id: u64,
    },
    /// Answers a [`ReplicaMessage::SummaryRequest`]. For the driver; a replica ignores it.
    SummaryResponse {
        /// Of the request.
        request_id: u64,
        /// The newest version of the sender.
        version: VersionNumber,
        /// Why the sender takes no part in the group, if it doesn't.
        unavailable_reason: Option<String>,
        /// The routers that are subscribed at the sender.
        summary: RouterSummary,
    },
}

/// Splits a message of consensus.
pub(super) fn fragments(group_id: u64, to: ReplicaId, message: &[u8]) -> Vec<ReplicaMessage> {
    let count = message.chunks(FRAGMENT_BYTES).len();
    let chunks = message.chunks(FRAGMENT_BYTES).enumerate();
    let fragment = |(index, chunk): (usize, &[u8])| ReplicaMessage::ConsensusFragment {
        group_id,
        to,
        index: index as u32,
        is_last: index + 1 == count,
        bytes: chunk.to_vec(),
    };
    chunks.map(fragment).collect()
}

/// Puts the fragments of each sender together.
#[derive(Default)]
pub(super) struct Reassembly {
    /// Index of the last fragment and all bytes up to it, by sender.
    partial: BTreeMap<ReplicaName, (u32, Vec<u8>)>,
}

impl Reassembly {
    /// Forgets the fragments of a sender.
    pub(super) fn reset(&mut self, from: &str) {
        self.partial.remove(from);
    }

    /// Adds a fragment, and returns the message if it was the last one. A message with a gap or too many bytes is dropped.
    pub(super) fn add(&mut self, from: &str, index: u32, is_last: bool, bytes: Vec<u8>) -> Option<Vec<u8>> {
        if index == 0 {
            if is_last {
                return Some(bytes);
            }
            self.partial.insert(from.into(), (0, bytes));
            return None;
        }
        let (last_index, message) = self.partial.get_mut(from)?;
        if index != *last_index + 1 || message.len() + bytes.len() > MAX_CONSENSUS_MESSAGE_BYTES {
            self.partial.remove(from);
            return None;
        }
        *last_index = index;
        message.extend_from_slice(&bytes);
        if is_last { self.partial.remove(from).map(|(_, message)| message) } else { None }
    }
}
