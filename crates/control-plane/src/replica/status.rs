//! How a replica stands, for operators and the log.
use super::state::ReplicaName;
use crate::version::VersionNumber;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// What an operator does with a replica whose disk is of no more use.
pub const REPLACE_DISK_ADVICE: &str = "replace it by an empty one: stop it, move its data away, start it";

/// How a replica stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its name.
    pub name: ReplicaName,
    /// Its newest version; 0 for none.
    pub version: VersionNumber,
    /// The leader that it follows, or itself.
    pub leader: Option<ReplicaName>,
    /// Term of the leader.
    pub term: u64,
    /// Whether it sees a quorum.
    #[serde(rename = "majority")]
    pub has_quorum: bool,
    /// Seconds since `version` was confirmed to be the newest. None if it never was since the start.
    #[serde(rename = "age_s")]
    pub staleness_s: Option<f64>,
    /// Why it takes no part in the group, if it doesn't.
    #[serde(rename = "out")]
    pub unavailable_reason: Option<String>,
    /// Members that count in quorums.
    pub voters: BTreeSet<ReplicaName>,
    /// Members that catch up and do not count yet.
    pub learners: BTreeSet<ReplicaName>,
    /// A replaced disk is being taken in; the former one still counts in quorums.
    #[serde(rename = "changing")]
    pub membership_changing: bool,
}

/// Why a replica takes no part in its group. It still serves the versions that it has.
#[derive(Clone, Debug, PartialEq)]
pub enum Unavailable {
    /// Its log contradicts its peers': the disk is not what it was.
    ContradictsPeers,
    /// Its disk cannot be written, for this reason. It is tried again.
    WriteFailed(String),
    /// Its disk is empty, and not all other replicas were heard of yet.
    NotHeardOf(Vec<ReplicaName>),
    /// Its disk is empty, and a leader has to take it in.
    WaitingToJoin,
}

const CONTRADICTS_PEERS: &str = "its log contradicts the other replicas: the disk was set back";

impl fmt::Display for Unavailable {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unavailable::ContradictsPeers => write!(out, "{CONTRADICTS_PEERS}; {REPLACE_DISK_ADVICE}"),
            Unavailable::WriteFailed(reason) => write!(out, "its log cannot be written: {reason}"),
            Unavailable::NotHeardOf(names) => {
                write!(out, "its disk is empty; waiting to hear from {}", names.join(", "))
            }
            Unavailable::WaitingToJoin => write!(out, "its disk is empty; waiting to join the group"),
        }
    }
}

/// What is worth a line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// The replica takes no part in its group.
    Stalled(Unavailable),
    /// The disk was written again: the replica takes part.
    Resumed,
    /// The leader changed, or was learned after a start.
    LeaderChanged {
        /// The current term.
        term: u64,
        /// None if there is no leader.
        leader: Option<ReplicaName>,
    },
    /// The replica became a member of a group.
    Joined {
        /// The group.
        group_id: u64,
        /// Whether it is one of the founders.
        is_founder: bool,
    },
    /// The group's state cannot be used.
    JoinFailed(String),
    /// A snapshot of the leader cannot be used.
    SnapshotFailed(String),
}

impl fmt::Display for ReplicaEvent {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReplicaEvent::Stalled(reason) => write!(out, "unavailable: {reason}"),
            ReplicaEvent::Resumed => write!(out, "available again: its log was written"),
            ReplicaEvent::LeaderChanged { term, leader } => {
                write!(out, "term {term}: ")?;
                match leader {
                    Some(leader) => write!(out, "leader {leader}"),
                    None => write!(out, "no leader"),
                }
            }
            ReplicaEvent::Joined { group_id, is_founder } => {
                let how = if *is_founder { "founded with all members" } else { "joined" };
                write!(out, "group {group_id:016x}: {how}")
            }
            ReplicaEvent::JoinFailed(reason) => write!(out, "cannot join the group: {reason}"),
            ReplicaEvent::SnapshotFailed(reason) => write!(out, "{reason}"),
        }
    }
}
