//! The log as it is in stable storage, in memory: what raft reads.
use super::durable::{LogPosition, RecoveredState};
use super::error::RecoveryError;
use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

#[derive(Default)]
pub(super) struct Log {
    pub(super) hard_state: HardState,
    pub(super) snapshot: Snapshot,
    /// The last entry that is no longer kept.
    pub(super) compacted_to: LogPosition,
    /// The entries after it, without gaps.
    entries: Vec<Entry>,
    /// Bytes of the entries' data.
    entry_bytes: usize,
}

fn data_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.data.len()).sum()
}

fn parse<M: protobuf::Message>(bytes: &[u8], what: &'static str) -> Result<M, RecoveryError> {
    M::parse_from_bytes(bytes).map_err(|_| RecoveryError::Unreadable { what })
}

impl Log {
    /// Reads what was recovered.
    ///
    /// # Errors
    ///
    /// A [`RecoveryError`] if a part cannot be read or the parts contradict each other.
    pub(super) fn recover(recovered: &RecoveredState) -> Result<Log, RecoveryError> {
        let hard_state: HardState = match &recovered.hard_state {
            Some(bytes) => parse(bytes, "the hard state")?,
            None => HardState::default(),
        };
        let snapshot: Snapshot = match &recovered.snapshot {
            Some(bytes) => parse(bytes, "the snapshot")?,
            None => Snapshot::default(),
        };
        let entries = parse_entries(recovered)?;
        let last = entries.last().map_or(recovered.compacted_to.0, |entry| entry.index);
        let (first_applied, committed) = (snapshot.get_metadata().index, hard_state.commit);
        let is_consistent = (recovered.compacted_to.0..=last).contains(&first_applied)
            && (first_applied..=last).contains(&committed);
        if !is_consistent {
            return Err(RecoveryError::InconsistentLog { last, snapshot: first_applied, committed });
        }
        let entry_bytes = data_bytes(&entries);
        Ok(Log { hard_state, snapshot, compacted_to: recovered.compacted_to, entries, entry_bytes })
    }

    /// Replaces the entries from the first given one on.
    pub(super) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let kept = first.index.saturating_sub(self.compacted_to.0 + 1) as usize;
        self.entry_bytes -= data_bytes(self.entries.get(kept..).unwrap_or_default());
        self.entries.truncate(kept);
        self.entries.extend_from_slice(entries);
        self.entry_bytes += data_bytes(entries);
    }

    /// Drops the entries up to a position.
    pub(super) fn compact(&mut self, to: LogPosition) {
        let dropped = (to.0.saturating_sub(self.compacted_to.0) as usize).min(self.entries.len());
        self.entry_bytes -= data_bytes(&self.entries[..dropped]);
        self.entries.drain(..dropped);
        self.compacted_to = to;
    }

    /// A snapshot of the leader takes the place of everything.
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        self.compacted_to = (metadata.index, metadata.term);
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.entries.clear();
        self.entry_bytes = 0;
        self.snapshot = snapshot;
    }

    pub(super) fn entry_bytes(&self) -> usize {
        self.entry_bytes
    }

    /// Position of an entry in `entries`.
    fn offset(&self, index: u64) -> usize {
        (index - self.compacted_to.0 - 1) as usize
    }
}

/// The recovered entries, which have to follow each other without gaps.
fn parse_entries(recovered: &RecoveredState) -> Result<Vec<Entry>, RecoveryError> {
    let mut entries: Vec<Entry> = vec![];
    let (mut last_index, mut last_term) = recovered.compacted_to;
    for bytes in &recovered.entries {
        let entry: Entry = parse(bytes, "an entry")?;
        if entry.index != last_index + 1 || entry.term < last_term {
            return Err(RecoveryError::EntryGap { index: entry.index, after: last_index });
        }
        (last_index, last_term) = (entry.index, entry.term);
        entries.push(entry);
    }
    Ok(entries)
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf_state = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_bytes: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted_to.0 {
            return Err(StorageError::Compacted.into());
        }
        let range = self.offset(low)..self.offset(high);
        let mut entries =
            self.entries.get(range).ok_or(raft::Error::Store(StorageError::Unavailable))?.to_vec();
        raft::util::limit_size(&mut entries, max_bytes.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted_to.0 {
            return Ok(self.compacted_to.1);
        }
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index && index != 0 {
            return Ok(metadata.term);
        }
        if index < self.compacted_to.0 {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get(self.offset(index));
        entry.map(|entry| entry.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted_to.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.compacted_to.0 + self.entries.len() as u64)
    }

    fn snapshot(&self, at_least: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < at_least {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
