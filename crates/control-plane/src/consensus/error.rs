//! Why a replica cannot start from a disk.

/// Why a replica cannot start from what its disk contains. The disk has to be replaced by an empty one.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// A part cannot be decoded.
    #[error("{what} is not what was written")]
    Unreadable {
        /// The part.
        what: &'static str,
    },
    /// The log has a gap, or its terms go back.
    #[error("entry {index} follows entry {after}")]
    EntryGap {
        /// Index of an entry.
        index: u64,
        /// Index of the one before it.
        after: u64,
    },
    /// Log, snapshot and hard state contradict each other: a part is missing.
    #[error("its log ends at {last}, its snapshot is of {snapshot}, committed was {committed}")]
    InconsistentLog {
        /// Index of the last entry.
        last: u64,
        /// Index of the last entry that the snapshot covers.
        snapshot: u64,
        /// The commit index.
        committed: u64,
    },
    /// The consensus library gave up on the log.
    #[error("its log contradicts itself")]
    ContradictoryLog,
    /// The consensus library refused the log.
    #[error(transparent)]
    Consensus(#[from] raft::Error),
    /// The disk does not tell which replica it belongs to, but is not empty.
    #[error("it does not tell which replica it belongs to")]
    IdentityMissing,
    /// The identity cannot be decoded.
    #[error("its identity cannot be read")]
    IdentityUnreadable,
    /// The disk belongs to another replica.
    #[error("it belongs to replica `{owner}`, this one is `{expected}`")]
    ForeignDisk {
        /// Name of the replica that it belongs to.
        owner: String,
        /// Name of this replica.
        expected: String,
    },
    /// The state in the snapshot cannot be decoded.
    #[error("its snapshot cannot be read")]
    SnapshotUnreadable,
}
