//! What a replica keeps in stable storage, as raft requires: its log, the newest snapshot, and the hard state (term, vote
//! and commit index). Values are opaque bytes to the storage.
use raft::eraftpb::{HardState, Snapshot};
use std::io;

/// Identifies a replica in quorums. Each disk draws its own at its first use, so that a replica that lost its disk never
/// votes again under the id whose promises were lost with it.
pub type ReplicaId = u64;

/// Index and term of a log entry.
pub type LogPosition = (u64, u64);

/// An atomic write. Everything has to be durable, synced to disk, before anything that follows from it is sent, applied or
/// answered.
///
/// Its steps, in this order: the identity, snapshot and hard state replace the former ones; entries up to `compacted_to`
/// are deleted, or all with `clear_entries`; entries from the first of `entries` on are replaced by these.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// Which replica the disk belongs to.
    pub identity: Option<Vec<u8>>,
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The last entry that is no longer kept.
    pub compacted_to: Option<LogPosition>,
    /// All entries are older than the snapshot, or of another history.
    pub clear_entries: bool,
    /// Entries by ascending index.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
}

/// What a replica finds in stable storage at its start. The default is an empty disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Which replica the disk belongs to.
    pub identity: Option<Vec<u8>>,
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The last entry that is no longer kept.
    pub compacted_to: LogPosition,
    /// The entries after it, by ascending index.
    pub entries: Vec<Vec<u8>>,
    /// Term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
}

/// Stable storage of a replica.
pub trait StableStorage {
    /// Makes a batch durable.
    ///
    /// # Errors
    ///
    /// Any failure of the disk. The batch may have been written completely or not at all; the caller writes the same batch
    /// again until that succeeds.
    fn write(&mut self, batch: &WriteBatch) -> io::Result<()>;
}

/// The write by which a group of voters is founded: a snapshot of its initial state. Each founder writes the same one.
pub fn founding_batch(voters: &[ReplicaId], state: Vec<u8>) -> WriteBatch {
    let mut snapshot = Snapshot { data: state.into(), ..Snapshot::default() };
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (1, 1);
    metadata.mut_conf_state().set_voters(voters.to_vec());
    let mut hard_state = HardState::default();
    (hard_state.term, hard_state.commit) = (1, 1);
    WriteBatch {
        snapshot: Some(encode(&snapshot)),
        compacted_to: Some((1, 1)),
        clear_entries: true,
        hard_state: Some(encode(&hard_state)),
        ..WriteBatch::default()
    }
}

impl RecoveredState {
    /// What an empty disk contains after a founding write.
    pub fn founded(batch: &WriteBatch) -> RecoveredState {
        RecoveredState {
            identity: None,
            snapshot: batch.snapshot.clone(),
            compacted_to: batch.compacted_to.unwrap_or_default(),
            entries: vec![],
            hard_state: batch.hard_state.clone(),
        }
    }
}

pub(super) fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    // Fails only if a required field is missing; the messages of raft have none.
    message.write_to_bytes().unwrap_or_default()
}
