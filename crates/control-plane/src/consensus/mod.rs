//! A log of entries that a quorum agrees on: the `raft` crate's node, fed ticks, messages and proposals. Free of I/O,
//! clocks and threads. Pre-vote and check-quorum are on: a replica that comes back from a partition does not depose a
//! leader, and a leader that hears no quorum for an election timeout steps down.
//!
//! What must be durable before what is said: `Consensus::pending_write` hands out a write, and nothing is sent or
//! applied that follows from it before `Consensus::write_completed` is told that it is on disk. That covers the three
//! promises of raft: a vote is sent only when term and vote are durable, entries are acknowledged only when they are, and a
//! leader counts itself only for what its own disk has. Nothing is fed in between.
//!
//! Fencing is by terms: a leader that was deposed is refused by every replica that has seen a later term, and the raft
//! node steps down when it hears of one.
mod durable;
mod error;
mod log;

use durable::encode;
pub use durable::{LogPosition, RecoveredState, ReplicaId, StableStorage, WriteBatch, founding_batch};
pub use error::RecoveryError;
use log::Log;
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, ConfState, Entry, EntryType, Message, MessageType, Snapshot};
use raft::{RawNode, Ready, SnapshotStatus, StateRole, Storage};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Ticks without a message of the leader before an election. Each replica draws between this and its double.
const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Bytes of the entries in one message; a frame holds more.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// Bytes of uncommitted entries beyond which a leader drops proposals.
const MAX_UNCOMMITTED_BYTES: u64 = 16 * 1024 * 1024;

/// What may be done once a write is durable.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// Encoded messages by their receivers.
    pub(crate) messages: Vec<(ReplicaId, Vec<u8>)>,
    /// State of a leader's snapshot, to be applied before `committed`.
    pub(crate) snapshot: Option<Vec<u8>>,
    /// Committed entries in order.
    pub(crate) committed: Vec<EntryKind>,
    /// Answered read requests: their context, and the index that has to be applied before the read.
    pub(crate) reads: Vec<(Vec<u8>, u64)>,
}

/// What a committed entry is.
#[derive(Debug)]
pub(crate) enum EntryKind {
    /// Proposed data.
    Proposal(Vec<u8>),
    /// A change of members, in force already.
    MembershipChange(ConfChangeV2),
    /// A new leader's first entry.
    Empty,
}

/// The write that is under way.
enum PendingWrite {
    Ready(Box<Ready>),
    Compaction(Compaction),
}

struct Compaction {
    snapshot: Box<Snapshot>,
    to: LogPosition,
}

/// A member of the group.
pub(crate) struct Consensus {
    id: ReplicaId,
    node: RawNode<Log>,
    pending_write: Option<PendingWrite>,
    /// To be written next.
    next_compaction: Option<Compaction>,
    membership: ConfState,
    applied: u64,
    random_state: u64,
    election_timeout_ticks: usize,
    /// Term and role for which the election timeout was drawn.
    timeout_drawn_for: (u64, StateRole),
    /// The raft node gave up: the log contradicts what it hears.
    has_failed: bool,
}

impl Consensus {
    /// A member with the recovered log, and the state in its snapshot.
    ///
    /// # Errors
    ///
    /// A [`RecoveryError`] if the log cannot be used.
    pub(crate) fn new(
        id: ReplicaId,
        recovered: &RecoveredState,
        seed: u64,
    ) -> Result<(Consensus, Vec<u8>), RecoveryError> {
        let log = Log::recover(recovered)?;
        let metadata = log.snapshot.get_metadata();
        let (applied, membership) = (metadata.index, metadata.get_conf_state().clone());
        let state = log.snapshot.data.to_vec();
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = catch_unwind(AssertUnwindSafe(|| RawNode::new(&config, log, &logger)))
            .map_err(|_| RecoveryError::ContradictoryLog)??;
        let mut consensus = Consensus {
            id,
            node,
            pending_write: None,
            next_compaction: None,
            membership,
            applied,
            random_state: seed | 1,
            election_timeout_ticks: ELECTION_TICKS,
            timeout_drawn_for: (0, StateRole::Follower),
            has_failed: false,
        };
        consensus.draw_election_timeout();
        Ok((consensus, state))
    }

    /// Draws the election timeout by xorshift; the raft crate's own draw cannot be seeded.
    fn draw_election_timeout(&mut self) {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.election_timeout_ticks = ELECTION_TICKS + (self.random_state % ELECTION_TICKS as u64) as usize;
        self.timeout_drawn_for = (self.node.raft.term, self.node.raft.state);
        self.node.raft.set_randomized_election_timeout(self.election_timeout_ticks);
    }

    /// Calls the raft node. It panics where its log contradicts what it hears, as after a disk was set back to an earlier
    /// state: the member has failed then, and takes no further part.
    fn guarded<T>(&mut self, call: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        if self.has_failed {
            return None;
        }
        let node = &mut self.node;
        let Ok(result) = catch_unwind(AssertUnwindSafe(|| call(node))) else {
            self.has_failed = true;
            return None;
        };
        if (self.node.raft.term, self.node.raft.state) != self.timeout_drawn_for {
            self.draw_election_timeout();
        }
        self.node.raft.set_randomized_election_timeout(self.election_timeout_ticks);
        Some(result)
    }

    /// Feeds the raft node from outside. Nothing is fed while a write is under way: the raft node has to hear of that
    /// first. What is dropped so is sent again by raft or by the proposer.
    fn feed<T>(&mut self, call: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        if self.pending_write.is_some() { None } else { self.guarded(call) }
    }

    /// Whether this member's log contradicts its peers'. It takes no further part.
    pub(crate) fn has_failed(&self) -> bool {
        self.has_failed
    }

    pub(crate) fn tick(&mut self) {
        let _ = self.feed(RawNode::tick);
    }

    /// A message of another member came.
    pub(crate) fn step(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        if message.to == self.id && !raft::raw_node::is_local_msg(message.get_msg_type()) {
            // Errors are those of messages without use here, such as of a former member.
            self.feed(|node| drop(node.step(message)));
        }
    }

    /// Proposes data, and returns whether it was handed to a leader. Only a leader appends; a follower forwards.
    pub(crate) fn propose(&mut self, data: Vec<u8>) -> bool {
        self.feed(|node| node.propose(vec![], data).is_ok()).unwrap_or(false)
    }

    /// Proposes a change of members. Only a leader may, and one change at a time.
    pub(crate) fn propose_membership(&mut self, change: ConfChangeV2) {
        if self.is_leader() && !self.node.raft.has_pending_conf() {
            self.feed(|node| drop(node.propose_conf_change(vec![], change)));
        }
    }

    /// Requests a read index: a quorum confirms that the leader is the leader. Answered in [`Effects::reads`] with the
    /// context, or lost.
    pub(crate) fn request_read_index(&mut self, context: Vec<u8>) {
        if self.leader() != 0 {
            self.feed(|node| node.read_index(context));
        }
    }

    pub(crate) fn report_unreachable(&mut self, id: ReplicaId) {
        self.feed(|node| node.report_unreachable(id));
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The leader of the current term; 0 if none is known.
    pub(crate) fn leader(&self) -> ReplicaId {
        self.node.raft.leader_id
    }

    pub(crate) fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Index of the last applied entry.
    pub(crate) fn applied(&self) -> u64 {
        self.applied
    }

    pub(crate) fn membership(&self) -> &ConfState {
        &self.membership
    }

    /// A member as this leader sees it: whether it was heard of lately, and how many committed entries it lacks.
    pub(crate) fn follower_progress(&self, id: ReplicaId) -> Option<(bool, u64)> {
        let progress = self.node.raft.prs().get(id)?;
        let lacking = self.node.raft.raft_log.committed.saturating_sub(progress.matched);
        Some((progress.recent_active, lacking))
    }

    /// The next write that has to be durable; the same one until `Consensus::write_completed`.
    pub(crate) fn pending_write(&mut self) -> Option<WriteBatch> {
        if self.pending_write.is_none() {
            self.pending_write = self.next_write();
        }
        Some(match self.pending_write.as_ref()? {
            PendingWrite::Compaction(compaction) => self.compaction_batch(compaction),
            PendingWrite::Ready(ready) => self.ready_batch(ready),
        })
    }

    fn next_write(&mut self) -> Option<PendingWrite> {
        if let Some(compaction) = self.next_compaction.take() {
            return Some(PendingWrite::Compaction(compaction));
        }
        if self.has_failed || !self.node.has_ready() {
            return None;
        }
        self.guarded(RawNode::ready).map(|ready| PendingWrite::Ready(Box::new(ready)))
    }

    fn compaction_batch(&self, compaction: &Compaction) -> WriteBatch {
        WriteBatch {
            snapshot: Some(encode(&*compaction.snapshot)),
            compacted_to: Some(compaction.to),
            // The commit index may not be behind the snapshot.
            hard_state: Some(encode(&self.node.store().hard_state)),
            ..WriteBatch::default()
        }
    }

    fn ready_batch(&self, ready: &Ready) -> WriteBatch {
        let mut batch = WriteBatch {
            entries: ready.entries().iter().map(|entry| (entry.index, encode(entry))).collect(),
            hard_state: ready.hs().map(encode),
            ..WriteBatch::default()
        };
        if !ready.snapshot().is_empty() {
            let metadata = ready.snapshot().get_metadata();
            batch.snapshot = Some(encode(ready.snapshot()));
            batch.compacted_to = Some((metadata.index, metadata.term));
            batch.clear_entries = true;
            // The commit index may not be behind the snapshot.
            let mut hard_state = ready.hs().cloned().unwrap_or_else(|| self.node.store().hard_state.clone());
            hard_state.commit = hard_state.commit.max(metadata.index);
            batch.hard_state = Some(encode(&hard_state));
        }
        batch
    }

    /// The pending write is durable: returns what may be done since.
    pub(crate) fn write_completed(&mut self) -> Effects {
        match self.pending_write.take() {
            None => Effects::default(),
            Some(PendingWrite::Compaction(compaction)) => {
                let log = self.node.mut_store();
                log.snapshot = *compaction.snapshot;
                log.compact(compaction.to);
                Effects::default()
            }
            Some(PendingWrite::Ready(ready)) => self.advance(*ready),
        }
    }

    fn advance(&mut self, mut ready: Ready) -> Effects {
        let mut effects = Effects { snapshot: self.record_durable(&ready), ..Effects::default() };
        let mut messages = ready.take_messages();
        messages.extend(ready.take_persisted_messages());
        let reads = ready.take_read_states();
        effects.reads = reads.into_iter().map(|read| (read.request_ctx, read.index)).collect();
        self.apply(&ready.take_committed_entries(), &mut effects);
        if let Some(mut light_ready) = self.guarded(|node| node.advance_append(ready)) {
            if let Some(commit) = light_ready.commit_index() {
                self.node.mut_store().hard_state.commit = commit;
            }
            messages.extend(light_ready.take_messages());
            self.apply(&light_ready.take_committed_entries(), &mut effects);
        }
        self.guarded(RawNode::advance_apply);
        for message in messages {
            self.send(&message, &mut effects);
        }
        effects
    }

    /// Takes what is durable now into the log, and returns the state of a snapshot.
    fn record_durable(&mut self, ready: &Ready) -> Option<Vec<u8>> {
        let log = self.node.mut_store();
        if let Some(hard_state) = ready.hs() {
            log.hard_state = hard_state.clone();
        }
        let mut state = None;
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            self.membership = snapshot.get_metadata().get_conf_state().clone();
            self.applied = snapshot.get_metadata().index;
            state = Some(snapshot.data.to_vec());
            log.install_snapshot(snapshot);
        }
        log.append(ready.entries());
        state
    }

    fn send(&mut self, message: &Message, effects: &mut Effects) {
        if message.get_msg_type() == MessageType::MsgSnapshot {
            // Links keep the order of messages: what is sent after a snapshot arrives after it, and is refused where the
            // snapshot was lost.
            self.guarded(|node| node.report_snapshot(message.to, SnapshotStatus::Finish));
        }
        effects.messages.push((message.to, encode(message)));
    }

    fn apply(&mut self, entries: &[Entry], effects: &mut Effects) {
        for entry in entries {
            if entry.index > self.applied {
                self.applied = entry.index;
                let kind = self.apply_entry(entry);
                effects.committed.push(kind);
            }
        }
    }

    fn apply_entry(&mut self, entry: &Entry) -> EntryKind {
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => EntryKind::Empty,
            EntryType::EntryNormal => EntryKind::Proposal(entry.data.to_vec()),
            EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
                if let Some(Ok(membership)) = self.guarded(|node| node.apply_conf_change(&change)) {
                    self.membership = membership;
                }
                EntryKind::MembershipChange(change)
            }
        }
    }

    /// Takes a snapshot of the applied state, to be written next. So many entries before it are kept, for followers that
    /// lag a little; who lacks earlier ones, and a new member, is sent the snapshot.
    pub(crate) fn compact(&mut self, state: Vec<u8>, kept_entries: u64) {
        let (index, log) = (self.applied, self.node.store());
        let Ok(term) = log.term(index) else { return };
        let last_dropped = index.saturating_sub(kept_entries).max(log.compacted_to.0);
        let to = if last_dropped == log.compacted_to.0 {
            log.compacted_to
        } else {
            (last_dropped, log.term(last_dropped).unwrap_or(term))
        };
        let mut snapshot = Snapshot { data: state.into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (index, term);
        metadata.set_conf_state(self.membership.clone());
        self.next_compaction = Some(Compaction { snapshot: Box::new(snapshot), to });
    }

    /// Bytes of the log's entries.
    pub(crate) fn log_bytes(&self) -> usize {
        self.node.store().entry_bytes()
    }

    /// Entries applied since the last snapshot.
    pub(crate) fn entries_since_snapshot(&self) -> u64 {
        let next = self.next_compaction.as_ref().map(|compaction| compaction.snapshot.get_metadata().index);
        let snapshot = next.unwrap_or(self.node.store().snapshot.get_metadata().index);
        self.applied - snapshot.min(self.applied)
    }
}
