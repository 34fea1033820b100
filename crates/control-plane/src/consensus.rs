//! One order of entries that a majority decides: the `raft` crate's node as a machine that is fed ticks, messages and
//! proposals. EntryKind it hands out goes one way only: something to persist, and only once that is said to be on disk what
//! may be sent and what is committed. With pre-vote and check-quorum; free of I/O and clocks.
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};
use raft::{
    GetEntriesContext, RaftState, RawNode, ReadState, Ready, SnapshotStatus, StateRole, Storage, StorageError,
};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Ticks without a leader's word before an election; each machine draws between this and twice as many.
pub const ELECTION_TICKS: usize = 10;
pub const HEARTBEAT_TICKS: usize = 2;
/// Of one message of entries; a frame holds more.
const MESSAGE_BYTES: u64 = 256 * 1024;
/// Of entries that are not committed yet; past that proposals are dropped.
const UNCOMMITTED_BYTES: u64 = 16 * 1024 * 1024;

pub type ReplicaId = u64;

/// EntryKind has to be on disk, synced, before anything that follows from it is said. The order of the steps is this: a new
/// snapshot; entries up to the floor, or all, go; entries from the first one given on are replaced; the rest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    pub identity: Option<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    /// Index and term of the last entry that is no longer kept.
    pub compacted_to: Option<(u64, u64)>,
    /// All entries are older than the snapshot, or of another history.
    pub clear_entries: bool,
    pub entries: Vec<(u64, Vec<u8>)>,
    pub hard_state: Option<Vec<u8>>,
}

/// EntryKind was read from disk at a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    pub identity: Option<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    pub compacted_to: (u64, u64),
    pub entries: Vec<Vec<u8>>,
    pub hard_state: Option<Vec<u8>>,
}

/// Where a machine keeps what must not be lost. After an error nothing, or all, may have been kept: the same is written
/// again until it succeeds.
pub trait StableStorage {
    fn write(&mut self, what: &WriteBatch) -> Result<(), String>;
}

/// EntryKind may be done now that the disk has it.
#[derive(Debug, Default)]
pub struct Effects {
    pub send: Vec<(ReplicaId, Vec<u8>)>,
    /// Comes before `committed`.
    pub snapshot: Option<Vec<u8>>,
    pub committed: Vec<Committed>,
    /// Up to which index a read has to wait, by the word that it was asked with.
    pub reads: Vec<(Vec<u8>, u64)>,
}

#[derive(Debug)]
pub struct Committed {
    pub index: u64,
    pub what: EntryKind,
}

#[derive(Debug)]
pub enum EntryKind {
    Proposal(Vec<u8>),
    MembershipChange(ConfChangeV2),
    Empty,
}

/// The log as the disk has it.
#[derive(Default)]
struct Log {
    hard: HardState,
    snapshot: Snapshot,
    floor: (u64, u64),
    entries: Vec<Entry>,
    /// Of the entries' data.
    weight: usize,
}

fn weight(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.data.len()).sum()
}

impl Log {
    fn read(held: &RecoveredState) -> Result<Log, String> {
        let faulty = |what: &str| format!("{what} is not what was written");
        let hard = match &held.hard_state {
            Some(bytes) => HardState::parse_from_bytes(bytes).map_err(|_| faulty("the hard state"))?,
            None => HardState::default(),
        };
        let snapshot = match &held.snapshot {
            Some(bytes) => Snapshot::parse_from_bytes(bytes).map_err(|_| faulty("the snapshot"))?,
            None => Snapshot::default(),
        };
        let mut entries: Vec<Entry> = vec![];
        let (mut last, mut term) = held.compacted_to;
        for bytes in &held.entries {
            let entry = Entry::parse_from_bytes(bytes).map_err(|_| faulty("an entry"))?;
            if entry.index != last + 1 || entry.term < term {
                return Err(format!("entry {} follows entry {last}", entry.index));
            }
            (last, term) = (entry.index, entry.term);
            entries.push(entry);
        }
        let from = snapshot.get_metadata().index;
        if from < held.compacted_to.0 || from > last || hard.commit > last || hard.commit < from {
            return Err(format!(
                "its log ends at {last}, its snapshot is of {from}, committed was {}",
                hard.commit
            ));
        }
        let weight = weight(&entries);
        Ok(Log { hard, snapshot, floor: held.compacted_to, entries, weight })
    }

    fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let kept = first.index.saturating_sub(self.floor.0 + 1) as usize;
        self.weight -= weight(self.entries.get(kept..).unwrap_or_default());
        self.entries.truncate(kept);
        self.entries.extend_from_slice(entries);
        self.weight += weight(entries);
    }

    fn drop_to(&mut self, floor: (u64, u64)) {
        let gone = (floor.0.saturating_sub(self.floor.0) as usize).min(self.entries.len());
        self.weight -= weight(&self.entries[..gone]);
        self.entries.drain(..gone);
        self.floor = floor;
    }

    fn last(&self) -> u64 {
        self.floor.0 + self.entries.len() as u64
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: conf })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.floor.0 {
            return Err(StorageError::Compacted.into());
        }
        let (from, to) = ((low - self.floor.0 - 1) as usize, (high - self.floor.0 - 1) as usize);
        let mut entries =
            self.entries.get(from..to).ok_or(raft::Error::Store(StorageError::Unavailable))?.to_vec();
        raft::util::limit_size(&mut entries, most.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.floor.0 {
            return Ok(self.floor.1);
        }
        let meta = self.snapshot.get_metadata();
        if index == meta.index && index != 0 {
            return Ok(meta.term);
        }
        if index < self.floor.0 {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get((index - self.floor.0 - 1) as usize);
        entry.map(|entry| entry.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.floor.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, at_least: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < at_least {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}

/// EntryKind is being persisted.
enum Step {
    Ready(Box<Ready>),
    Compact { snapshot: Box<Snapshot>, floor: (u64, u64) },
}

pub struct Consensus {
    id: ReplicaId,
    raw: RawNode<Log>,
    step: Option<Step>,
    compact: Option<(Box<Snapshot>, (u64, u64))>,
    conf: ConfState,
    applied: u64,
    chance: u64,
    timeout: usize,
    drawn_at: (u64, StateRole),
    /// Why this node is of no more use: its disk is not what it was.
    broken: Option<String>,
}

/// A snapshot of nothing, by which a new group of voters begins.
pub fn founding(voters: &[ReplicaId], data: Vec<u8>) -> WriteBatch {
    let mut snapshot = Snapshot { data: data.into(), ..Snapshot::default() };
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (1, 1);
    meta.mut_conf_state().set_voters(voters.to_vec());
    let mut hard = HardState::default();
    (hard.term, hard.commit) = (1, 1);
    WriteBatch {
        snapshot: Some(bytes(&snapshot)),
        compacted_to: Some((1, 1)),
        clear_entries: true,
        hard_state: Some(bytes(&hard)),
        ..WriteBatch::default()
    }
}

/// As the disk has it after a founding.
pub fn held(founding: &WriteBatch) -> RecoveredState {
    RecoveredState {
        identity: None,
        snapshot: founding.snapshot.clone(),
        compacted_to: founding.compacted_to.unwrap_or_default(),
        entries: vec![],
        hard_state: founding.hard_state.clone(),
    }
}

fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    // Fails only where a required field is missing; these have none.
    message.write_to_bytes().unwrap_or_default()
}

impl Consensus {
    /// From what the disk has; also the applied state of its snapshot.
    pub fn new(id: ReplicaId, held: &RecoveredState, seed: u64) -> Result<(Consensus, Vec<u8>), String> {
        let log = Log::read(held)?;
        let (applied, data) = (log.snapshot.get_metadata().index, log.snapshot.data.to_vec());
        let conf = log.snapshot.get_metadata().get_conf_state().clone();
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: MESSAGE_BYTES,
            max_uncommitted_size: UNCOMMITTED_BYTES,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = catch_unwind(AssertUnwindSafe(|| RawNode::new(&config, log, &logger)));
        let raw =
            raw.map_err(|_| "its log contradicts itself".to_string())?.map_err(|why| why.to_string())?;
        let mut node = Consensus {
            id,
            raw,
            step: None,
            compact: None,
            conf,
            applied,
            chance: seed | 1,
            timeout: ELECTION_TICKS,
            drawn_at: (0, StateRole::Follower),
            broken: None,
        };
        node.draw();
        Ok((node, data))
    }

    /// Draws the ticks until an election; the crate's own draw knows no seed.
    fn draw(&mut self) {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        self.timeout = ELECTION_TICKS + (self.chance % ELECTION_TICKS as u64) as usize;
        self.drawn_at = (self.raw.raft.term, self.raw.raft.state);
        self.raw.raft.set_randomized_election_timeout(self.timeout);
    }

    /// Guards against a disk that was set back to an earlier state: the crate gives up on what cannot be.
    fn guarded<T>(&mut self, act: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        if self.broken.is_some() {
            return None;
        }
        let raw = &mut self.raw;
        match catch_unwind(AssertUnwindSafe(|| act(raw))) {
            Ok(given) => {
                if (self.raw.raft.term, self.raw.raft.state) != self.drawn_at {
                    self.draw();
                }
                self.raw.raft.set_randomized_election_timeout(self.timeout);
                Some(given)
            }
            Err(_) => {
                self.broken = Some("its disk is not what it was: the log contradicts its peers".into());
                None
            }
        }
    }

    /// EntryKind comes in from outside: nothing while something is being persisted, which the crate has to hear of first.
    fn fed<T>(&mut self, act: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        if self.step.is_some() { None } else { self.guarded(act) }
    }

    pub fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    pub fn tick(&mut self) {
        let _ = self.fed(|raw| raw.tick());
    }

    pub fn step(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        if message.to == self.id && !raft::raw_node::is_local_msg(message.get_msg_type()) {
            // An error is of a message that is of no use here, such as one from a former member.
            self.fed(|raw| drop(raw.step(message)));
        }
    }

    /// False: it could not be handed to a leader.
    pub fn propose(&mut self, data: Vec<u8>) -> bool {
        self.fed(|raw| raw.propose(vec![], data).is_ok()).unwrap_or(false)
    }

    /// Changes who the members are; on the leader only, one at a time.
    pub fn change(&mut self, change: ConfChangeV2) {
        if self.is_leader() && !self.raw.raft.has_pending_conf() {
            self.fed(|raw| drop(raw.propose_conf_change(vec![], change)));
        }
    }

    /// Asks up to where the order goes now; the word comes back in `Effects::reads`, or is lost.
    pub fn read(&mut self, word: Vec<u8>) {
        if self.leader() != 0 {
            self.fed(|raw| raw.read_index(word));
        }
    }

    pub fn unreachable(&mut self, id: ReplicaId) {
        self.fed(|raw| raw.report_unreachable(id));
    }

    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// 0: none is known.
    pub fn leader(&self) -> ReplicaId {
        self.raw.raft.leader_id
    }

    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    pub fn conf(&self) -> &ConfState {
        &self.conf
    }

    /// Of a follower, as the leader sees it: whether it spoke lately, and how many entries it lacks.
    pub fn follower(&self, id: ReplicaId) -> Option<(bool, u64)> {
        let progress = self.raw.raft.prs().get(id)?;
        Some((progress.recent_active, self.raw.raft.raft_log.committed.saturating_sub(progress.matched)))
    }

    /// The next thing that has to be on disk; the same until `persisted`.
    pub fn persist(&mut self) -> Option<WriteBatch> {
        if self.step.is_none() {
            self.step = match self.compact.take() {
                Some((snapshot, floor)) => Some(Step::Compact { snapshot, floor }),
                None if self.broken.is_none() && self.raw.has_ready() => {
                    self.guarded(|raw| raw.ready()).map(|ready| Step::Ready(Box::new(ready)))
                }
                None => None,
            };
        }
        Some(match self.step.as_ref()? {
            Step::Compact { snapshot, floor } => {
                let hard_state = Some(bytes(&self.raw.store().hard));
                WriteBatch {
                    snapshot: Some(bytes(&**snapshot)),
                    compacted_to: Some(*floor),
                    hard_state,
                    ..WriteBatch::default()
                }
            }
            Step::Ready(ready) => {
                let mut persist = WriteBatch {
                    entries: ready.entries().iter().map(|entry| (entry.index, bytes(entry))).collect(),
                    hard_state: ready.hs().map(bytes),
                    ..WriteBatch::default()
                };
                if !ready.snapshot().is_empty() {
                    let meta = ready.snapshot().get_metadata();
                    persist.snapshot = Some(bytes(ready.snapshot()));
                    persist.compacted_to = Some((meta.index, meta.term));
                    persist.clear_entries = true;
                    // The committed index may not fall behind the snapshot.
                    let mut hard = ready.hs().cloned().unwrap_or_else(|| self.raw.store().hard.clone());
                    hard.commit = hard.commit.max(meta.index);
                    persist.hard_state = Some(bytes(&hard));
                }
                persist
            }
        })
    }

    /// EntryKind `persist` gave is on disk.
    pub fn persisted(&mut self) -> Effects {
        let mut done = Effects::default();
        match self.step.take() {
            None => {}
            Some(Step::Compact { snapshot, floor }) => {
                let log = self.raw.mut_store();
                log.snapshot = *snapshot;
                log.drop_to(floor);
            }
            Some(Step::Ready(ready)) => {
                self.settle(*ready, &mut done);
            }
        }
        done
    }

    fn settle(&mut self, mut ready: Ready, done: &mut Effects) {
        let log = self.raw.mut_store();
        if let Some(hard) = ready.hs() {
            log.hard = hard.clone();
        }
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            let meta = snapshot.get_metadata();
            log.floor = (meta.index, meta.term);
            log.entries.clear();
            log.weight = 0;
            log.hard.commit = log.hard.commit.max(meta.index);
            self.conf = meta.get_conf_state().clone();
            self.applied = meta.index;
            done.snapshot = Some(snapshot.data.to_vec());
            log.snapshot = snapshot;
        }
        log.append(ready.entries());
        let mut messages = ready.take_messages();
        messages.extend(ready.take_persisted_messages());
        let reads: Vec<ReadState> = ready.take_read_states();
        done.reads = reads.into_iter().map(|read| (read.request_ctx, read.index)).collect();
        let committed = ready.take_committed_entries();
        done.committed.extend(committed.iter().filter_map(|entry| self.committed(entry)));
        if let Some(mut light) = self.guarded(|raw| raw.advance_append(ready)) {
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().hard.commit = commit;
            }
            messages.extend(light.take_messages());
            let committed = light.take_committed_entries();
            done.committed.extend(committed.iter().filter_map(|entry| self.committed(entry)));
        }
        self.guarded(|raw| raw.advance_apply());
        for message in messages {
            let to = message.to;
            if message.get_msg_type() == MessageType::MsgSnapshot {
                // Links are in order: what is sent after it arrives after it, and where it is lost that is refused.
                self.guarded(|raw| raw.report_snapshot(to, SnapshotStatus::Finish));
            }
            done.send.push((to, bytes(&message)));
        }
    }

    fn committed(&mut self, entry: &Entry) -> Option<Committed> {
        if entry.index <= self.applied {
            return None;
        }
        self.applied = entry.index;
        let what = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => EntryKind::Empty,
            EntryType::EntryNormal => EntryKind::Proposal(entry.data.to_vec()),
            _ => {
                let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
                if let Some(Ok(conf)) = self.guarded(|raw| raw.apply_conf_change(&change)) {
                    self.conf = conf;
                }
                EntryKind::MembershipChange(change)
            }
        };
        Some(Committed { index: entry.index, what })
    }

    /// Takes a snapshot of what is applied, to be persisted next; a follower that lacks earlier entries, and a learner,
    /// gets it. So many entries before it are kept, for followers that lag a little.
    pub fn compact(&mut self, data: Vec<u8>, keep: u64) {
        let (index, log) = (self.applied, self.raw.store());
        let Ok(term) = log.term(index) else { return };
        let at = index.saturating_sub(keep).max(log.floor.0);
        let floor = if at == log.floor.0 { log.floor } else { (at, log.term(at).unwrap_or(term)) };
        let mut snapshot = Snapshot { data: data.into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(self.conf.clone());
        self.compact = Some((Box::new(snapshot), floor));
    }

    /// Bytes of the log's entries.
    pub fn weight(&self) -> usize {
        self.raw.store().weight
    }

    /// Entries applied since the last snapshot.
    pub fn behind_snapshot(&self) -> u64 {
        let compact = self.compact.as_ref().map(|(snapshot, _)| snapshot.get_metadata().index);
        self.applied - compact.unwrap_or(self.raw.store().snapshot.get_metadata().index).min(self.applied)
    }
}
