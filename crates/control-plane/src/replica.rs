//! One control machine whole: who the members are, the order that they decide, the history that comes of it, and those who
//! wait for an answer. Fed ticks, words of the other machines and proposals, each with a time; `run` is the one way in
//! which anything comes out, and it writes to the store first.
//!
//! Each disk has an id of its own, which is the member's in the order's quorums: one that comes up with an empty disk is
//! another member, which takes its predecessor's place by a change that the others commit. So nobody ever votes or
//! acknowledges anew under an id whose promises were lost with a disk.
use crate::consensus::{
    self, Committed, Consensus, Effects, EntryKind, RecoveredState, ReplicaId, StableStorage, WriteBatch,
};
use crate::version::{Proposal, Version, VersionNumber};
use crate::version_log::{ProposalError, VersionLog};
use raft::eraftpb::{ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub type ReplicaName = String;

/// EntryKind an operator does with a machine whose disk is of no more use.
pub const REPLACE_DISK_ADVICE: &str = "replace it by an empty one: stop it, move its data away, start it";

/// Seconds between two ticks, as the driver has to feed them.
pub const TICK_S: f64 = 0.1;
/// Entries after which a snapshot is taken and older entries go.
pub const SNAPSHOT_AFTER_ENTRIES: u64 = 1000;
/// Bytes of entries after which that is done too; none are kept behind it then.
pub const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;
/// The longest proposal, as it is ordered.
pub const MAX_PROPOSAL_BYTES: usize = 256 * 1024;
/// Those who may wait for an answer at once.
pub const MAX_WAITING_CLIENTS: usize = 64;
/// A majority stands, as seen from here, if it was heard of within so many seconds.
pub const QUORUM_TIMEOUT_S: f64 = 3.0;
/// EntryKind was proposed and is not settled is proposed again after so many seconds: the same id counts once.
const AGAIN: f64 = 1.0;
/// After a failed write it is tried again so often.
const RETRY: f64 = 1.0;
/// Ticks between two words of who this is, and between two questions how new the history is.
const STAND_TICKS: u64 = 5;
const READ_TICKS: u64 = 2;
const READS_MOST: usize = 64;
/// How old another's word of who it is may be where a group is founded.
const HEARD_WITHIN: f64 = 2.0;
/// A replacement counts as caught up when it lacks no more entries.
const CAUGHT_UP: u64 = 100;
const PIECE: usize = 256 * 1024;
const MESSAGE_MOST: usize = 64 * 1024 * 1024;

/// EntryKind control machines say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Who this is: its disk's id, the group that the disk belongs to (0: none yet), and with whom that was founded.
    Announce { replica_id: ReplicaId, group_id: u64, founders: Vec<(ReplicaName, ReplicaId)> },
    /// A piece of a message of the order.
    ConsensusFragment { group_id: u64, to: ReplicaId, index: u32, is_last: bool, bytes: Vec<u8> },
    /// Asks for, and tells, which routers have which version; the driver's.
    SummaryRequest { request_id: u64 },
    SummaryResponse {
        request_id: u64,
        version: VersionNumber,
        unavailable_reason: Option<String>,
        summary: crate::version_sink::RouterSummary,
    },
}

/// Who waits; of the driver's choice, used once.
pub type ClientId = u64;

/// EntryKind one who proposed is told, once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalOutcome {
    /// In order, at this number; on the disks of a majority.
    #[serde(rename = "ordered")]
    Committed(VersionNumber),
    #[serde(rename = "refused")]
    Rejected(ProposalError),
    /// Nothing was proposed.
    TooLong {
        bytes: usize,
        #[serde(rename = "most")]
        limit: usize,
    },
    TooMany {
        #[serde(rename = "most")]
        limit: usize,
    },
    /// Nothing was proposed: this machine knows of no majority, for so many seconds.
    #[serde(rename = "no_majority")]
    NoQuorum {
        leader: Option<ReplicaName>,
        #[serde(rename = "seconds")]
        for_s: Option<f64>,
    },
    /// It was proposed, and may come to be in order or not: the same id asks again.
    #[serde(rename = "unsettled")]
    Undecided { leader: Option<ReplicaName> },
    /// This machine takes no part.
    #[serde(rename = "out")]
    Unavailable {
        #[serde(rename = "why")]
        reason: String,
    },
}

/// How the machine stands, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    pub name: ReplicaName,
    pub version: VersionNumber,
    pub leader: Option<ReplicaName>,
    pub term: u64,
    #[serde(rename = "majority")]
    pub has_quorum: bool,
    /// Seconds for which `version` is not known to be the newest; none: it never was since the start.
    #[serde(rename = "age_s")]
    pub staleness_s: Option<f64>,
    /// Why it takes no part.
    #[serde(rename = "out")]
    pub unavailable_reason: Option<String>,
    /// Members in the order's quorums, and those that catch up.
    pub voters: BTreeSet<ReplicaName>,
    pub learners: BTreeSet<ReplicaName>,
    /// A replacement is being taken in, and the disk that it replaces still counts as lost.
    #[serde(rename = "changing")]
    pub membership_changing: bool,
}

/// EntryKind comes out of a machine.
#[derive(Debug, Default)]
pub struct ReplicaOutput {
    pub messages: Vec<(ReplicaName, ReplicaMessage)>,
    pub committed: Vec<Version>,
    pub outcomes: Vec<(ClientId, ProposalOutcome)>,
    /// For the log.
    pub log_lines: Vec<String>,
}

/// EntryKind a disk is: its id never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Identity {
    name: ReplicaName,
    id: ReplicaId,
    group: u64,
    roster: Vec<(ReplicaName, ReplicaId)>,
}

/// The applied state, as a snapshot has it.
#[derive(Default, Serialize, Deserialize)]
struct Applied {
    names: BTreeMap<ReplicaId, ReplicaName>,
    versions: VecDeque<Version>,
}

struct Waits {
    proposal: Vec<u8>,
    id: String,
    until: f64,
    again: f64,
}

pub struct Replica {
    identity: Identity,
    members: BTreeSet<ReplicaName>,
    node: Option<Consensus>,
    names: BTreeMap<ReplicaId, ReplicaName>,
    history: VersionLog,
    told: VersionNumber,
    askers: BTreeMap<ClientId, Waits>,
    heard: BTreeMap<ReplicaName, (ReplicaId, u64, f64)>,
    pieces: BTreeMap<ReplicaName, (u32, Vec<u8>)>,
    /// To be persisted before the order's own.
    first: VecDeque<WriteBatch>,
    /// A write failed: since when nothing is fed, why, and when it is tried again.
    stalled: Option<(String, f64)>,
    reads: BTreeMap<u64, f64>,
    /// Questions that came back: from which index on, and when they were asked.
    confirmed: Vec<(u64, f64)>,
    as_of: Option<f64>,
    count: u64,
    seed: u64,
    ticks: u64,
    out: ReplicaOutput,
    led_by: ReplicaId,
    started: bool,
    /// `SNAPSHOT_AFTER_ENTRIES`; half of it is kept behind a snapshot.
    pub snapshot_after_entries: u64,
    /// `MAX_LOG_BYTES`.
    pub max_log_bytes: usize,
}

impl Replica {
    /// `held` is what the disk has; `fresh` is the id it gets if it is empty, and `seed` is drawn anew at each start.
    pub fn new(
        name: &str,
        members: &BTreeSet<ReplicaName>,
        held: &RecoveredState,
        fresh: ReplicaId,
        seed: u64,
    ) -> Result<Replica, String> {
        let mut first = VecDeque::new();
        let identity = match &held.identity {
            Some(bytes) => serde_json::from_slice::<Identity>(bytes)
                .map_err(|_| "whose disk this is cannot be read".to_string())?,
            None if *held != RecoveredState::default() => return Err("it does not say whose it is".into()),
            None => Identity { name: name.into(), id: fresh.max(1), group: 0, roster: vec![] },
        };
        if identity.name != name {
            return Err(format!("it belongs to control machine `{}`, this one is `{name}`", identity.name));
        }
        if held.identity.is_none() {
            first.push_back(WriteBatch { identity: Some(encode(&identity)), ..WriteBatch::default() });
        }
        let mut machine = Replica {
            identity,
            members: members.clone(),
            node: None,
            names: BTreeMap::new(),
            history: VersionLog::default(),
            told: 0,
            askers: BTreeMap::new(),
            heard: BTreeMap::new(),
            pieces: BTreeMap::new(),
            first,
            stalled: None,
            reads: BTreeMap::new(),
            confirmed: vec![],
            as_of: None,
            count: 0,
            seed,
            ticks: 0,
            out: ReplicaOutput::default(),
            led_by: 0,
            started: false,
            snapshot_after_entries: SNAPSHOT_AFTER_ENTRIES,
            max_log_bytes: MAX_LOG_BYTES,
        };
        if machine.identity.group != 0 {
            machine.begin(held)?;
        }
        Ok(machine)
    }

    fn begin(&mut self, held: &RecoveredState) -> Result<(), String> {
        let (node, data) = Consensus::new(self.identity.id, held, self.seed)?;
        self.node = Some(node);
        self.take(&data)
    }

    /// The applied state of a snapshot.
    fn take(&mut self, data: &[u8]) -> Result<(), String> {
        if data.is_empty() {
            return Ok(());
        }
        let applied: Applied =
            serde_json::from_slice(data).map_err(|_| "its snapshot cannot be read".to_string())?;
        self.names = applied.names;
        self.history = VersionLog::from_versions(applied.versions);
        self.tell();
        self.settle_all();
        Ok(())
    }

    fn tell(&mut self) {
        if let Some(newest) = self.history.latest()
            && newest.number > self.told
        {
            self.told = newest.number;
            self.out.committed.push(newest.clone());
        }
    }

    /// After a snapshot: which of those who wait have their answer in it.
    fn settle_all(&mut self) {
        let history = &self.history;
        let settled: Vec<(ClientId, VersionNumber)> = self
            .askers
            .iter()
            .filter_map(|(asker, waits)| {
                let found = history.versions().iter().rev().find(|version| version.proposal_id == waits.id);
                found.map(|version| (*asker, version.number))
            })
            .collect();
        for (asker, number) in settled {
            self.askers.remove(&asker);
            self.out.outcomes.push((asker, ProposalOutcome::Committed(number)));
        }
    }

    pub fn name(&self) -> &str {
        &self.identity.name
    }

    pub fn id(&self) -> ReplicaId {
        self.identity.id
    }

    pub fn version_log(&self) -> &VersionLog {
        &self.history
    }

    fn others(&self) -> impl Iterator<Item = &ReplicaName> {
        self.members.iter().filter(|name| **name != self.identity.name)
    }

    fn stands(&self) -> ReplicaMessage {
        let Identity { id, group, roster, .. } = self.identity.clone();
        ReplicaMessage::Announce { replica_id: id, group_id: group, founders: roster }
    }

    /// A link to another machine came up: what it is told first.
    pub fn link_opened(&self) -> ReplicaMessage {
        self.stands()
    }

    /// One from another machine came up, or ended.
    pub fn link_replaced(&mut self, from: &str) {
        self.pieces.remove(from);
    }

    /// EntryKind was sent to it was dropped.
    pub fn report_unreachable(&mut self, name: &str) {
        let id = self.names.iter().find(|(_, known)| *known == name).map(|(id, _)| *id);
        if let (Some(id), Some(node)) = (id, &mut self.node) {
            node.unreachable(id);
        }
    }

    /// Why this machine takes no part, if it doesn't.
    pub fn unavailable_reason(&self) -> Option<String> {
        if let Some(why) = self.node.as_ref().and_then(Consensus::broken) {
            return Some(format!("{why}; {REPLACE_DISK_ADVICE}"));
        }
        if let Some((why, _)) = &self.stalled {
            return Some(format!("what it keeps cannot be written: {why}"));
        }
        match &self.node {
            Some(_) => None,
            None => {
                let silent: Vec<&str> = self
                    .others()
                    .filter(|name| !self.heard.contains_key(*name))
                    .map(String::as_str)
                    .collect();
                Some(match silent.is_empty() {
                    true => "its disk is empty; it waits to be taken in".into(),
                    false => format!("its disk is empty; not heard yet: {}", silent.join(", ")),
                })
            }
        }
    }

    pub fn leader(&self) -> Option<&ReplicaName> {
        let node = self.node.as_ref().filter(|_| self.takes_part())?;
        self.names.get(&node.leader())
    }

    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(Consensus::is_leader)
    }

    /// For how long this machine's newest version has not been known to be the newest of all: a majority's word.
    pub fn staleness_s(&self, now: f64) -> f64 {
        self.as_of.map_or(f64::INFINITY, |at| (now - at).max(0.0))
    }

    /// Whether a majority, this machine's word among it, was heard of lately; one that takes no part knows of none.
    pub fn has_quorum(&self, now: f64) -> bool {
        self.takes_part() && self.staleness_s(now) <= QUORUM_TIMEOUT_S
    }

    fn takes_part(&self) -> bool {
        self.stalled.is_none() && self.node.as_ref().is_some_and(|node| node.broken().is_none())
    }

    pub fn status(&self, now: f64) -> ReplicaStatus {
        let conf = self.node.as_ref().map(|node| node.conf().clone()).unwrap_or_default();
        let names = |ids: &[ReplicaId]| ids.iter().filter_map(|id| self.names.get(id).cloned()).collect();
        ReplicaStatus {
            name: self.identity.name.clone(),
            version: self.history.latest_number(),
            leader: self.leader().cloned(),
            term: self.node.as_ref().map_or(0, Consensus::term),
            has_quorum: self.has_quorum(now),
            staleness_s: Some(self.staleness_s(now)).filter(|age| age.is_finite()),
            unavailable_reason: self.unavailable_reason(),
            voters: names(&conf.voters),
            learners: names(&conf.learners),
            membership_changing: conf.voters.is_empty()
                || !conf.learners.is_empty()
                || !conf.voters_outgoing.is_empty(),
        }
    }

    /// Every `TICK_S` seconds.
    pub fn tick(&mut self, now: f64) {
        self.ticks += 1;
        if self.ticks % STAND_TICKS == 1 {
            let word = self.stands();
            let others: Vec<ReplicaName> = self.others().cloned().collect();
            self.out.messages.extend(others.into_iter().map(|name| (name, word.clone())));
            if self.node.is_none() {
                self.found(now);
            }
        }
        self.time_out(now);
        if self.stalled.is_some() {
            return;
        }
        if self.ticks % STAND_TICKS == 1 {
            self.replace();
        }
        if let Some(node) = &mut self.node {
            node.tick();
            if self.ticks.is_multiple_of(READ_TICKS) {
                self.count += 1;
                let word = [self.identity.id, self.seed, self.count].map(u64::to_be_bytes).concat();
                node.read(word);
                self.reads.insert(self.count, now);
                while self.reads.len() > READS_MOST {
                    self.reads.pop_first();
                }
            }
        }
        self.ask_again(now);
    }

    /// The machine of the least name founds the group, once it has heard that all the others' disks are empty too.
    fn found(&mut self, now: f64) {
        let empty = |name: &ReplicaName| {
            self.heard.get(name).is_some_and(|(_, group, at)| *group == 0 && now - at <= HEARD_WITHIN)
        };
        if self.members.first() != Some(&self.identity.name) || !self.others().all(empty) {
            return;
        }
        let mut roster: Vec<(ReplicaName, ReplicaId)> =
            self.others().filter_map(|name| Some((name.clone(), self.heard.get(name)?.0))).collect();
        roster.push((self.identity.name.clone(), self.identity.id));
        roster.sort();
        // The id of the founder's disk: nobody else founds under it, and it does so once.
        self.join(self.identity.id, roster);
    }

    /// Becomes a member of a group, as a founder or, without its name in the roster, as one that is to be taken in.
    fn join(&mut self, group: u64, roster: Vec<(ReplicaName, ReplicaId)>) {
        let own = (self.identity.name.clone(), self.identity.id);
        let founder = roster.contains(&own);
        self.identity.group = group;
        self.identity.roster = if founder { roster.clone() } else { vec![] };
        let (mut persist, mut held) = (WriteBatch::default(), RecoveredState::default());
        if founder {
            let voters: Vec<ReplicaId> = roster.iter().map(|(_, id)| *id).collect();
            let names = roster.iter().map(|(name, id)| (*id, name.clone())).collect();
            let data = encode(&Applied { names, versions: VecDeque::new() });
            persist = consensus::founding(&voters, data);
            held = consensus::held(&persist);
        }
        persist.identity = Some(encode(&self.identity));
        self.first.push_back(persist);
        if let Err(why) = self.begin(&held) {
            self.out.log_lines.push(format!("not a member: {why}"));
        }
        let what = if founder { "founded with all members" } else { "taken in by the others" };
        self.out.log_lines.push(format!("group {group:016x}: {what}"));
    }

    /// The leader takes in disks that came in the place of a member's, one change at a time.
    fn replace(&mut self) {
        let Some(node) = self.node.as_mut().filter(|node| node.is_leader()) else { return };
        let conf = node.conf().clone();
        if !conf.voters_outgoing.is_empty() {
            // A leader that went before the change was over had not ended it.
            return node.change(ConfChangeV2::default());
        }
        for (name, (id, group, _)) in &self.heard {
            let known = conf.voters.contains(id);
            if known || (*group != 0 && *group != self.identity.group) {
                continue;
            }
            let same_name = |other: &&ReplicaId| self.names.get(other) == Some(name) && **other != *id;
            let former: Vec<ReplicaId> = conf.voters.iter().filter(same_name).copied().collect();
            if former.iter().any(|id| node.follower(*id).is_some_and(|(active, _)| active)) {
                // Two under one name, and the member is well: the other one is a mistake.
                continue;
            }
            let mut change = ConfChangeV2::default();
            change.set_transition(ConfChangeTransition::Auto);
            change.set_context(encode(&(id, name)).into());
            if !conf.learners.contains(id) {
                for stale in conf.learners.iter().filter(same_name) {
                    change.mut_changes().push(single(ConfChangeType::RemoveNode, *stale));
                }
                change.mut_changes().push(single(ConfChangeType::AddLearnerNode, *id));
            } else if node.follower(*id).is_some_and(|(active, lacks)| active && lacks <= CAUGHT_UP) {
                for stale in &former {
                    change.mut_changes().push(single(ConfChangeType::RemoveNode, *stale));
                }
                change.mut_changes().push(single(ConfChangeType::AddNode, *id));
            } else {
                continue;
            }
            node.change(change);
            return;
        }
    }

    /// A word of another machine.
    pub fn receive(&mut self, from: &str, word: ReplicaMessage, now: f64) {
        if !self.members.contains(from) {
            return;
        }
        match word {
            ReplicaMessage::Announce { replica_id: id, group_id: group, founders: roster } => {
                self.heard.insert(from.into(), (id, group, now));
                let own = (self.identity.name.clone(), self.identity.id);
                if self.node.is_none() && group != 0 && roster.contains(&own) {
                    self.join(group, roster);
                }
            }
            ReplicaMessage::ConsensusFragment { group_id: group, to, index: piece, is_last: last, bytes } => {
                let Some(message) = self.piece(from, piece, last, bytes) else { return };
                if to != self.identity.id || self.stalled.is_some() {
                    return;
                }
                if self.node.is_none() && group != 0 {
                    self.join(group, vec![]);
                }
                if group == self.identity.group
                    && let Some(node) = &mut self.node
                {
                    node.step(&message);
                }
            }
            ReplicaMessage::SummaryRequest { .. } | ReplicaMessage::SummaryResponse { .. } => {}
        }
    }

    fn piece(&mut self, from: &str, piece: u32, last: bool, bytes: Vec<u8>) -> Option<Vec<u8>> {
        if piece == 0 {
            if last {
                return Some(bytes);
            }
            self.pieces.insert(from.into(), (0, bytes));
            return None;
        }
        let (at, all) = self.pieces.get_mut(from)?;
        if piece != *at + 1 || all.len() + bytes.len() > MESSAGE_MOST {
            self.pieces.remove(from);
            return None;
        }
        *at = piece;
        all.extend_from_slice(&bytes);
        if last { self.pieces.remove(from).map(|(_, all)| all) } else { None }
    }

    /// The asker gets one answer, within `wait` seconds.
    pub fn propose(&mut self, asker: ClientId, proposal: &Proposal, wait: f64, now: f64) {
        let bytes = encode(proposal);
        let leader = self.leader().cloned();
        let refused = if bytes.len() > MAX_PROPOSAL_BYTES {
            Some(ProposalOutcome::TooLong { bytes: bytes.len(), limit: MAX_PROPOSAL_BYTES })
        } else if let Some(why) = self.unavailable_reason() {
            Some(ProposalOutcome::Unavailable { reason: why })
        } else if self.askers.len() >= MAX_WAITING_CLIENTS {
            Some(ProposalOutcome::TooMany { limit: MAX_WAITING_CLIENTS })
        } else if !self.has_quorum(now) {
            Some(ProposalOutcome::NoQuorum {
                leader,
                for_s: Some(self.staleness_s(now)).filter(|age| age.is_finite()),
            })
        } else {
            None
        };
        match refused {
            Some(answer) => self.out.outcomes.push((asker, answer)),
            None => {
                let (id, until) = (proposal.id.clone(), now + wait);
                self.askers.insert(asker, Waits { proposal: bytes, id, until, again: now });
                self.ask_again(now);
            }
        }
    }

    /// The asker is gone; it is told nothing.
    pub fn forget_client(&mut self, asker: ClientId) {
        self.askers.remove(&asker);
    }

    fn ask_again(&mut self, now: f64) {
        let Some(node) = &mut self.node else { return };
        if self.stalled.is_some() {
            return;
        }
        for waits in self.askers.values_mut().filter(|waits| waits.again <= now) {
            if node.propose(waits.proposal.clone()) {
                waits.again = now + AGAIN;
            }
        }
    }

    fn time_out(&mut self, now: f64) {
        let over: Vec<ClientId> =
            self.askers.iter().filter(|(_, waits)| waits.until <= now).map(|(asker, _)| *asker).collect();
        let leader = self.leader().cloned();
        for asker in over {
            self.askers.remove(&asker);
            self.out.outcomes.push((asker, ProposalOutcome::Undecided { leader: leader.clone() }));
        }
    }

    /// Writes what has to be kept, and gives what may be done since. Called after whatever was fed.
    pub fn advance(&mut self, store: &mut dyn StableStorage, now: f64) -> ReplicaOutput {
        loop {
            if self.stalled.as_ref().is_some_and(|(_, again)| now < *again) {
                break;
            }
            let (persist, own) = match self.first.front() {
                Some(persist) => (Some(persist.clone()), true),
                None => (self.node.as_mut().and_then(Consensus::persist), false),
            };
            let Some(persist) = persist else { break };
            if persist != WriteBatch::default()
                && let Err(why) = store.write(&persist)
            {
                if self.stalled.is_none() {
                    self.out.log_lines.push(format!("takes no part: what it keeps cannot be written: {why}"));
                }
                self.stalled = Some((why, now + RETRY));
                break;
            }
            if self.stalled.take().is_some() {
                self.out.log_lines.push("takes part again: what it keeps was written".into());
            }
            if own {
                self.first.pop_front();
            } else {
                let done = self.node.as_mut().map(Consensus::persisted).unwrap_or_default();
                self.done(done);
            }
        }
        self.speak_of_leader();
        std::mem::take(&mut self.out)
    }

    fn speak_of_leader(&mut self) {
        let leader = self.node.as_ref().map_or(0, Consensus::leader);
        if leader != self.led_by || !self.started {
            self.started = true;
            self.led_by = leader;
            let term = self.node.as_ref().map_or(0, Consensus::term);
            let name = self.names.get(&leader).map_or("nobody", String::as_str);
            self.out.log_lines.push(format!("term {term}: {name} leads"));
        }
        if let Some(why) = self.node.as_ref().and_then(|node| node.broken())
            && self.stalled.is_none()
        {
            self.stalled = Some((why.to_string(), f64::INFINITY));
            self.out.log_lines.push(format!("takes no part: {why}; {REPLACE_DISK_ADVICE}"));
        }
    }

    fn done(&mut self, done: Effects) {
        for (to, bytes) in done.send {
            let to_name = self.names.get(&to).cloned().or_else(|| {
                let found = self.heard.iter().find(|(_, (id, ..))| *id == to);
                found.map(|(name, _)| name.clone())
            });
            let Some(name) = to_name else { continue };
            let count = bytes.chunks(PIECE).len();
            for (n, piece) in bytes.chunks(PIECE).enumerate() {
                let (group, last) = (self.identity.group, n + 1 == count);
                let word = ReplicaMessage::ConsensusFragment {
                    group_id: group,
                    to,
                    index: n as u32,
                    is_last: last,
                    bytes: piece.to_vec(),
                };
                self.out.messages.push((name.clone(), word));
            }
        }
        if let Some(data) = done.snapshot
            && let Err(why) = self.take(&data)
        {
            self.out.log_lines.push(why);
        }
        let mut changed = false;
        for Committed { what, .. } in done.committed {
            match what {
                EntryKind::Empty => {}
                EntryKind::Proposal(data) => self.apply(&data),
                EntryKind::MembershipChange(change) => {
                    changed = true;
                    if let Ok((id, name)) =
                        serde_json::from_slice::<(ReplicaId, ReplicaName)>(&change.context)
                    {
                        self.names.insert(id, name);
                    }
                }
            }
        }
        for (word, index) in done.reads {
            let count = word.get(16..24).and_then(|bytes| bytes.try_into().ok()).map(u64::from_be_bytes);
            if let Some(at) = count.and_then(|count| self.reads.remove(&count)) {
                self.confirmed.push((index, at));
            }
        }
        let Some(node) = &mut self.node else { return };
        let applied = node.applied();
        for (_, at) in self.confirmed.extract_if(.., |(index, _)| *index <= applied) {
            self.as_of = Some(self.as_of.map_or(at, |held| held.max(at)));
        }
        let heavy = node.weight() > self.max_log_bytes && node.behind_snapshot() > 0;
        if changed || heavy || node.behind_snapshot() >= self.snapshot_after_entries {
            let conf = node.conf().clone();
            let holds = |id: &ReplicaId| {
                conf.voters.contains(id) || conf.learners.contains(id) || conf.voters_outgoing.contains(id)
            };
            self.names.retain(|id, _| holds(id));
            let applied = Applied { names: self.names.clone(), versions: self.history.versions().clone() };
            node.compact(encode(&applied), if heavy { 0 } else { self.snapshot_after_entries / 2 });
        }
    }

    fn apply(&mut self, data: &[u8]) {
        let Ok(proposal) = serde_json::from_slice::<Proposal>(data) else { return };
        let id = proposal.id.clone();
        let outcome = self.history.apply(proposal);
        self.tell();
        let settled: Vec<ClientId> =
            self.askers.iter().filter(|(_, waits)| waits.id == id).map(|(asker, _)| *asker).collect();
        for asker in settled {
            self.askers.remove(&asker);
            let answer = match &outcome {
                Ok(number) => ProposalOutcome::Committed(*number),
                Err(why) => ProposalOutcome::Rejected(why.clone()),
            };
            self.out.outcomes.push((asker, answer));
        }
    }
}

fn single(kind: ConfChangeType, id: ReplicaId) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(kind);
    change.node_id = id;
    change
}

fn encode(what: &impl Serialize) -> Vec<u8> {
    // Fails only for keys that are not texts; there are none.
    serde_json::to_vec(what).unwrap_or_default()
}
