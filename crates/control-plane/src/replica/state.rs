//! Who a replica is and who its peers are; what it writes to its disk besides the log, as JSON.
use crate::consensus::ReplicaId;
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Name of a replica, as the operator's file has it.
pub type ReplicaName = String;

/// What a replica announced last.
pub(super) struct Announcement {
    pub(super) replica_id: ReplicaId,
    pub(super) group_id: u64,
    pub(super) received_at: f64,
}

/// Which replica a disk belongs to. The id never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Identity {
    pub(super) name: ReplicaName,
    #[serde(rename = "id")]
    pub(super) replica_id: ReplicaId,
    /// 0: no group yet.
    #[serde(rename = "group")]
    pub(super) group_id: u64,
    /// Empty for a replica that joined after the founding.
    #[serde(rename = "roster")]
    pub(super) founders: Vec<(ReplicaName, ReplicaId)>,
}

/// The applied state in a snapshot.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct AppliedState {
    pub(super) names: BTreeMap<ReplicaId, ReplicaName>,
    pub(super) versions: VecDeque<Version>,
}

pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    // Fails only for maps whose keys are not strings or numbers; there are none.
    serde_json::to_vec(value).unwrap_or_default()
}
