//! A replica of the version log: its members, the log that they agree on, and the clients that wait for a proposal.
//!
//! Fed ticks, messages of other replicas and proposals, each with the time in seconds of the driver's monotonic clock.
//! [`Replica::advance`] is the only way in which anything comes out, and it makes durable first what that follows from:
//! nothing is sent, applied or answered before its write has succeeded. After a failed write the replica takes no part until
//! the same write succeeds, and serves the versions that it has.
//!
//! What a leader may do: append proposals to the log, change members, and confirm to others how new their versions are. It
//! is elected by a quorum for a term, and loses the office when it hears of a later term or, for an election timeout, of no
//! quorum. Every replica takes proposals, and forwards them if it is not the leader.
//!
//! Who fences whom: replicas refuse messages of an earlier term; a quorum counts ids of disks, so that a replica which lost
//! its disk cannot act under its former promises (`membership`); a publisher refuses an earlier incarnation of a router.
mod apply;
mod membership;
mod messages;
mod proposals;
mod read_index;
mod state;
mod status;
mod waiting_clients;

use crate::consensus::{Consensus, RecoveredState, RecoveryError, ReplicaId, StableStorage, WriteBatch};
use crate::version::{Version, VersionNumber};
use crate::version_log::VersionLog;
use messages::Reassembly;
pub use messages::ReplicaMessage;
use read_index::ReadIndex;
pub use state::ReplicaName;
use state::{Announcement, Identity, encode};
pub use status::{REPLACE_DISK_ADVICE, ReplicaEvent, ReplicaStatus, Unavailable};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use waiting_clients::WaitingClients;
pub use waiting_clients::{ClientId, MAX_PROPOSAL_BYTES, MAX_WAITING_CLIENTS, ProposalOutcome};

/// Seconds between two calls of [`Replica::tick`].
pub const TICK_S: f64 = 0.1;
/// Entries after which a snapshot is taken; half of them are kept behind it.
pub const SNAPSHOT_AFTER_ENTRIES: u64 = 1000;
/// Bytes of entries after which a snapshot is taken too; none are kept behind it then.
pub const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;
/// Seconds within which a quorum has to be heard of to count as seen.
pub const QUORUM_TIMEOUT_S: f64 = 3.0;
/// Seconds between two attempts of a failed write.
const WRITE_RETRY_INTERVAL_S: f64 = 1.0;
/// Ticks between two announcements.
const ANNOUNCE_TICKS: u64 = 5;
/// Ticks between two read requests.
const READ_TICKS: u64 = 2;

/// What comes out of a replica. Everything that it follows from is durable.
#[derive(Debug, Default)]
pub struct ReplicaOutput {
    /// Messages by their receivers.
    pub messages: Vec<(ReplicaName, ReplicaMessage)>,
    /// Committed versions, ascending. After a snapshot was installed only the newest.
    pub committed: Vec<Version>,
    /// Outcomes for clients, each once.
    pub outcomes: Vec<(ClientId, ProposalOutcome)>,
    /// For the log.
    pub events: Vec<ReplicaEvent>,
}

/// Why the replica takes no part.
enum Stall {
    WriteFailed { reason: String, retry_at: f64 },
    ContradictsPeers,
}

/// A replica of the version log.
pub struct Replica {
    identity: Identity,
    members: BTreeSet<ReplicaName>,
    /// None before the replica belongs to a group.
    consensus: Option<Consensus>,
    /// Names of the group's members by the ids of their disks.
    names: BTreeMap<ReplicaId, ReplicaName>,
    log: VersionLog,
    /// The newest version in an output.
    delivered: VersionNumber,
    waiting: WaitingClients,
    announcements: BTreeMap<ReplicaName, Announcement>,
    reassembly: Reassembly,
    /// Writes that precede those of consensus.
    first_writes: VecDeque<WriteBatch>,
    stall: Option<Stall>,
    read_index: ReadIndex,
    seed: u64,
    ticks: u64,
    output: ReplicaOutput,
    /// The last leader in an event; None before the first event.
    reported_leader: Option<ReplicaId>,
    /// Entries after which a snapshot is taken; [`SNAPSHOT_AFTER_ENTRIES`] unless changed.
    pub snapshot_after_entries: u64,
    /// Bytes of entries after which a snapshot is taken; [`MAX_LOG_BYTES`] unless changed.
    pub max_log_bytes: usize,
}

impl Replica {
    /// A replica with the contents of its disk. An empty disk gets the id `fresh_id`, which has to be unique among all disks
    /// ever used; `seed` is drawn anew at each start.
    ///
    /// # Errors
    ///
    /// A [`RecoveryError`] if the disk belongs to another replica or cannot be used.
    pub fn new(
        name: &str,
        members: &BTreeSet<ReplicaName>,
        recovered: &RecoveredState,
        fresh_id: ReplicaId,
        seed: u64,
    ) -> Result<Replica, RecoveryError> {
        let identity = recover_identity(name, recovered, fresh_id)?;
        let mut first_writes = VecDeque::new();
        if recovered.identity.is_none() {
            first_writes.push_back(WriteBatch { identity: Some(encode(&identity)), ..WriteBatch::default() });
        }
        let mut replica = Replica {
            identity,
            members: members.clone(),
            consensus: None,
            names: BTreeMap::new(),
            log: VersionLog::default(),
            delivered: 0,
            waiting: WaitingClients::default(),
            announcements: BTreeMap::new(),
            reassembly: Reassembly::default(),
            first_writes,
            stall: None,
            read_index: ReadIndex::default(),
            seed,
            ticks: 0,
            output: ReplicaOutput::default(),
            reported_leader: None,
            snapshot_after_entries: SNAPSHOT_AFTER_ENTRIES,
            max_log_bytes: MAX_LOG_BYTES,
        };
        if replica.identity.group_id != 0 {
            replica.start_consensus(recovered)?;
        }
        Ok(replica)
    }

    fn start_consensus(&mut self, recovered: &RecoveredState) -> Result<(), RecoveryError> {
        let (consensus, state) = Consensus::new(self.identity.replica_id, recovered, self.seed)?;
        self.consensus = Some(consensus);
        self.install_snapshot(&state)
    }

    /// Name of this replica.
    pub fn name(&self) -> &str {
        &self.identity.name
    }

    /// Id of its disk.
    pub fn id(&self) -> ReplicaId {
        self.identity.replica_id
    }

    /// The committed versions.
    pub fn version_log(&self) -> &VersionLog {
        &self.log
    }

    fn peers(&self) -> impl Iterator<Item = &ReplicaName> {
        self.members.iter().filter(|name| **name != self.identity.name)
    }

    /// Why this replica takes no part in the group, if it doesn't.
    pub fn unavailable_reason(&self) -> Option<Unavailable> {
        if self.consensus.as_ref().is_some_and(Consensus::has_failed) {
            return Some(Unavailable::ContradictsPeers);
        }
        match &self.stall {
            Some(Stall::WriteFailed { reason, .. }) => return Some(Unavailable::WriteFailed(reason.clone())),
            Some(Stall::ContradictsPeers) => return Some(Unavailable::ContradictsPeers),
            None if self.consensus.is_some() => return None,
            None => {}
        }
        let not_heard_of: Vec<ReplicaName> =
            self.peers().filter(|name| !self.announcements.contains_key(*name)).cloned().collect();
        Some(if not_heard_of.is_empty() {
            Unavailable::WaitingToJoin
        } else {
            Unavailable::NotHeardOf(not_heard_of)
        })
    }

    fn takes_part(&self) -> bool {
        self.stall.is_none() && self.consensus.as_ref().is_some_and(|consensus| !consensus.has_failed())
    }

    /// The leader that this replica follows, or itself.
    pub fn leader(&self) -> Option<&ReplicaName> {
        let consensus = self.consensus.as_ref().filter(|_| self.takes_part())?;
        self.names.get(&consensus.leader())
    }

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_leader)
    }

    /// Seconds since a quorum confirmed that the newest version here is the newest of all; infinite if none did.
    pub fn staleness_s(&self, now: f64) -> f64 {
        self.read_index.staleness_s(now)
    }

    /// How the replica stands.
    pub fn status(&self, now: f64) -> ReplicaStatus {
        let membership =
            self.consensus.as_ref().map(|consensus| consensus.membership().clone()).unwrap_or_default();
        let names = |ids: &[ReplicaId]| ids.iter().filter_map(|id| self.names.get(id).cloned()).collect();
        ReplicaStatus {
            name: self.identity.name.clone(),
            version: self.log.latest_number(),
            leader: self.leader().cloned(),
            term: self.consensus.as_ref().map_or(0, Consensus::term),
            has_quorum: self.has_quorum(now),
            staleness_s: Some(self.staleness_s(now)).filter(|staleness_s| staleness_s.is_finite()),
            unavailable_reason: self.unavailable_reason().map(|reason| reason.to_string()),
            voters: names(&membership.voters),
            learners: names(&membership.learners),
            membership_changing: membership.voters.is_empty()
                || !membership.learners.is_empty()
                || !membership.voters_outgoing.is_empty(),
        }
    }

    fn announcement(&self) -> ReplicaMessage {
        let Identity { replica_id, group_id, founders, .. } = self.identity.clone();
        ReplicaMessage::Announce { replica_id, group_id, founders }
    }

    /// A link to another replica opened: the message to send first.
    pub fn link_opened(&self) -> ReplicaMessage {
        self.announcement()
    }

    /// A link from another replica replaced the former one, whose last message may be incomplete.
    pub fn link_replaced(&mut self, from: &str) {
        self.reassembly.reset(from);
    }

    /// A message to another replica was dropped.
    pub fn report_unreachable(&mut self, name: &str) {
        let id = self.names.iter().find(|(_, known)| *known == name).map(|(id, _)| *id);
        if let (Some(id), Some(consensus)) = (id, &mut self.consensus) {
            consensus.report_unreachable(id);
        }
    }

    /// To be called every [`TICK_S`] seconds.
    pub fn tick(&mut self, now: f64) {
        self.ticks += 1;
        let announces = self.ticks % ANNOUNCE_TICKS == 1;
        if announces {
            self.announce();
            if self.consensus.is_none() {
                self.try_found(now);
            }
        }
        self.expire_clients(now);
        if self.stall.is_some() {
            return;
        }
        if announces {
            self.replace_disks();
        }
        self.tick_consensus(now);
        self.propose_due(now);
    }

    fn announce(&mut self) {
        let announcement = self.announcement();
        let messages: Vec<(ReplicaName, ReplicaMessage)> =
            self.peers().map(|name| (name.clone(), announcement.clone())).collect();
        self.output.messages.extend(messages);
    }

    fn tick_consensus(&mut self, now: f64) {
        let Some(consensus) = &mut self.consensus else { return };
        consensus.tick();
        if self.ticks.is_multiple_of(READ_TICKS) {
            let request = self.read_index.request(now);
            consensus.request_read_index(ReadIndex::context(self.identity.replica_id, self.seed, request));
        }
    }

    /// A message of another replica came.
    pub fn receive(&mut self, from: &str, message: ReplicaMessage, now: f64) {
        if !self.members.contains(from) {
            return;
        }
        match message {
            ReplicaMessage::Announce { replica_id, group_id, founders } => {
                let announcement = Announcement { replica_id, group_id, received_at: now };
                self.announcements.insert(from.into(), announcement);
                let own = (self.identity.name.clone(), self.identity.replica_id);
                if self.consensus.is_none() && group_id != 0 && founders.contains(&own) {
                    self.join(group_id, founders);
                }
            }
            ReplicaMessage::ConsensusFragment { group_id, to, index, is_last, bytes } => {
                if let Some(message) = self.reassembly.add(from, index, is_last, bytes) {
                    self.receive_consensus(group_id, to, &message);
                }
            }
            ReplicaMessage::SummaryRequest { .. } | ReplicaMessage::SummaryResponse { .. } => {}
        }
    }

    fn receive_consensus(&mut self, group_id: u64, to: ReplicaId, message: &[u8]) {
        if to != self.identity.replica_id || self.stall.is_some() {
            return;
        }
        if self.consensus.is_none() && group_id != 0 {
            // A leader takes this disk in.
            self.join(group_id, vec![]);
        }
        if group_id == self.identity.group_id
            && let Some(consensus) = &mut self.consensus
        {
            consensus.step(message);
        }
    }

    /// Writes what has to be durable, and returns what may be done since. To be called after whatever was fed.
    pub fn advance(&mut self, storage: &mut dyn StableStorage, now: f64) -> ReplicaOutput {
        while !self.is_write_blocked(now)
            && let Some((batch, is_first)) = self.next_write()
        {
            if batch != WriteBatch::default()
                && let Err(error) = storage.write(&batch)
            {
                self.write_failed(error.to_string(), now);
                break;
            }
            if self.stall.take().is_some() {
                self.output.events.push(ReplicaEvent::Resumed);
            }
            if is_first {
                self.first_writes.pop_front();
            } else if let Some(consensus) = &mut self.consensus {
                let effects = consensus.write_completed();
                self.carry_out(effects);
            }
        }
        self.report_leader();
        self.check_consensus();
        std::mem::take(&mut self.output)
    }

    fn is_write_blocked(&self, now: f64) -> bool {
        match &self.stall {
            Some(Stall::WriteFailed { retry_at, .. }) => now < *retry_at,
            Some(Stall::ContradictsPeers) => true,
            None => false,
        }
    }

    /// The next batch to write, and whether it is of `first_writes`.
    fn next_write(&mut self) -> Option<(WriteBatch, bool)> {
        match self.first_writes.front() {
            Some(batch) => Some((batch.clone(), true)),
            None => Some((self.consensus.as_mut()?.pending_write()?, false)),
        }
    }

    fn write_failed(&mut self, reason: String, now: f64) {
        if self.stall.is_none() {
            let reason = Unavailable::WriteFailed(reason.clone());
            self.output.events.push(ReplicaEvent::Stalled(reason));
        }
        self.stall = Some(Stall::WriteFailed { reason, retry_at: now + WRITE_RETRY_INTERVAL_S });
    }

    fn report_leader(&mut self) {
        let leader = self.consensus.as_ref().map_or(0, Consensus::leader);
        if self.reported_leader != Some(leader) {
            self.reported_leader = Some(leader);
            let term = self.consensus.as_ref().map_or(0, Consensus::term);
            let leader = self.names.get(&leader).cloned();
            self.output.events.push(ReplicaEvent::LeaderChanged { term, leader });
        }
    }

    fn check_consensus(&mut self) {
        if self.stall.is_none() && self.consensus.as_ref().is_some_and(Consensus::has_failed) {
            self.stall = Some(Stall::ContradictsPeers);
            self.output.events.push(ReplicaEvent::Stalled(Unavailable::ContradictsPeers));
        }
    }
}

/// Which replica the disk belongs to; a new identity for an empty disk.
fn recover_identity(
    name: &str,
    recovered: &RecoveredState,
    fresh_id: ReplicaId,
) -> Result<Identity, RecoveryError> {
    let identity = match &recovered.identity {
        Some(bytes) => {
            serde_json::from_slice::<Identity>(bytes).map_err(|_| RecoveryError::IdentityUnreadable)?
        }
        None if *recovered != RecoveredState::default() => return Err(RecoveryError::IdentityMissing),
        None => Identity { name: name.into(), replica_id: fresh_id.max(1), group_id: 0, founders: vec![] },
    };
    if identity.name != name {
        return Err(RecoveryError::ForeignDisk { owner: identity.name, expected: name.into() });
    }
    Ok(identity)
}
