//! Five replicas in one process, with disks and links that fail as a test says, and the invariants that have to hold
//! whatever fails. Everything is drawn from a seed.
use alderway_control_plane::consensus::{RecoveredState, StableStorage, WriteBatch};
use alderway_control_plane::replica::{
    ClientId, ProposalOutcome, Replica, ReplicaMessage, ReplicaOutput, TICK_S,
};
use alderway_control_plane::version::{Proposal, Version, VersionNumber};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

pub const REPLICAS: usize = 5;
/// Seconds between two steps of the time.
const STEP: f64 = TICK_S / 2.0;

/// Rules that are broken on purpose, to show that the invariants find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrokenRule {
    None,
    /// A write is reported as synced, and lost by a crash.
    UnsyncedWrites,
    /// What one replica has written is applied.
    UncommittedApplied,
    /// A replica with a wiped disk comes back under its former id.
    ReusedReplicaId,
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub state: RecoveredState,
    /// As it was when it was last synced, where writes are lost on purpose.
    synced: Option<RecoveredState>,
    pub is_full: bool,
    /// Every second failed write is written completely.
    failed_writes: u32,
}

impl StableStorage for Disk {
    fn write(&mut self, what: &WriteBatch) -> io::Result<()> {
        if self.is_full {
            self.failed_writes += 1;
            if self.failed_writes.is_multiple_of(2) {
                self.apply(what);
            }
            return Err(io::Error::other("no space left"));
        }
        self.apply(what);
        Ok(())
    }
}

impl Disk {
    pub fn apply(&mut self, what: &WriteBatch) {
        let recovered = &mut self.state;
        if let Some(identity) = &what.identity {
            recovered.identity = Some(identity.clone());
        }
        if let Some(snapshot) = &what.snapshot {
            recovered.snapshot = Some(snapshot.clone());
        }
        if let Some(floor) = what.compacted_to {
            let dropped = if what.clear_entries {
                recovered.entries.len()
            } else {
                (floor.0 - recovered.compacted_to.0) as usize
            };
            recovered.entries.drain(..dropped.min(recovered.entries.len()));
            recovered.compacted_to = floor;
        }
        if let Some((first, _)) = what.entries.first() {
            recovered.entries.truncate((first - recovered.compacted_to.0 - 1) as usize);
            recovered.entries.extend(what.entries.iter().map(|(_, bytes)| bytes.clone()));
        }
        if let Some(hard) = &what.hard_state {
            recovered.hard_state = Some(hard.clone());
        }
    }
}

pub struct Node {
    pub replica: Option<Replica>,
    pub disk: Disk,
    pub paused_until: f64,
    /// The newest version that it delivered since its start.
    pub delivered: VersionNumber,
    steps: u32,
}

pub struct ReplicaGroup {
    pub now: f64,
    pub nodes: Vec<Node>,
    names: Vec<String>,
    in_flight: BTreeMap<(usize, usize), Vec<(f64, ReplicaMessage)>>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss_fraction: f64,
    pub delay_s: f64,
    pub random: Pcg32,
    pub broken_rule: BrokenRule,
    /// What any replica delivered, by number.
    pub versions: BTreeMap<VersionNumber, Version>,
    /// Committed versions that a client was told of: the proposal, and when.
    pub acknowledged: BTreeMap<VersionNumber, (String, f64)>,
    pub proposals: BTreeMap<ClientId, (usize, Proposal)>,
    pub outcomes: BTreeMap<ClientId, ProposalOutcome>,
    /// Clients whose replica crashed.
    pub lost_clients: BTreeSet<ClientId>,
    pub wiped_disks: usize,
    last_id: u64,
    pub violations: Vec<String>,
    pub snapshot_after_entries: u64,
}

pub fn name(n: usize) -> String {
    format!("c{}", n + 1)
}

impl ReplicaGroup {
    pub fn new(seed: u64, broken_rule: BrokenRule) -> ReplicaGroup {
        let names: Vec<String> = (0..REPLICAS).map(name).collect();
        let mut group = ReplicaGroup {
            now: 0.0,
            nodes: vec![],
            names,
            in_flight: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            loss_fraction: 0.0,
            delay_s: 0.005,
            random: Pcg32::new(seed, 11),
            broken_rule,
            versions: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            proposals: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            lost_clients: BTreeSet::new(),
            wiped_disks: 0,
            last_id: 100,
            violations: vec![],
            snapshot_after_entries: 12,
        };
        for _ in 0..REPLICAS {
            group.nodes.push(Node {
                replica: None,
                disk: Disk::default(),
                paused_until: 0.0,
                delivered: 0,
                steps: 0,
            });
        }
        for n in 0..REPLICAS {
            group.start(n);
        }
        group
    }

    pub fn draw(&mut self, below: u32) -> u32 {
        self.random.next_u32() % below
    }

    pub fn chance(&mut self, share: f64) -> bool {
        f64::from(self.random.next_u32()) < share * f64::from(u32::MAX)
    }

    /// Starts a replica with what its disk has.
    pub fn start(&mut self, n: usize) {
        self.last_id += 1;
        let fresh =
            if self.broken_rule == BrokenRule::ReusedReplicaId { 50 + n as u64 } else { self.last_id };
        let seed = (u64::from(self.random.next_u32()) << 32) | u64::from(self.random.next_u32());
        let members = self.names.iter().cloned().collect();
        match Replica::new(&name(n), &members, &self.nodes[n].disk.state, fresh, seed) {
            Ok(mut replica) => {
                replica.snapshot_after_entries = self.snapshot_after_entries;
                self.nodes[n].replica = Some(replica);
            }
            Err(why) => self.violations.push(format!("{} does not start: {why}", name(n))),
        }
        self.nodes[n].delivered = 0;
    }

    pub fn crash(&mut self, n: usize) {
        self.nodes[n].replica = None;
        self.nodes[n].paused_until = 0.0;
        let waiting =
            self.proposals.iter().filter(|(client, (at, _))| *at == n && !self.outcomes.contains_key(client));
        let lost: Vec<ClientId> = waiting.map(|(client, _)| *client).collect();
        self.lost_clients.extend(lost);
        if self.broken_rule == BrokenRule::UnsyncedWrites
            && let Some(synced) = self.nodes[n].disk.synced.clone()
        {
            self.nodes[n].disk.state = synced;
        }
        for other in 0..REPLICAS {
            self.in_flight.remove(&(n, other));
            self.in_flight.remove(&(other, n));
        }
    }

    pub fn wipe(&mut self, n: usize) {
        self.crash(n);
        self.nodes[n].disk = Disk::default();
        self.wiped_disks += 1;
    }

    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].replica.is_some() && self.nodes[n].paused_until <= self.now
    }

    fn deliver_output(&mut self, n: usize, output: ReplicaOutput) {
        for (to, message) in output.messages {
            let to = self.names.iter().position(|name| *name == to).expect("of the members");
            if self.chance(self.loss_fraction) {
                continue;
            }
            let duration_s = self.delay_s * (1.0 + f64::from(self.draw(1000)) / 500.0);
            let queue = self.in_flight.entry((n, to)).or_default();
            // In order, as within a connection.
            let at = queue.last().map_or(0.0, |(at, _)| *at).max(self.now + duration_s);
            queue.push((at, message));
        }
        for version in output.committed {
            self.record_version(n, &version);
        }
        for (client, answer) in output.outcomes {
            if let ProposalOutcome::Committed(number) = answer {
                let id = self.proposals[&client].1.id.clone();
                self.acknowledged.entry(number).or_insert((id.clone(), self.now));
                if self.acknowledged[&number].0 != id {
                    self.violations.push(format!("{number} was acknowledged to two proposals"));
                }
            }
            if self.outcomes.insert(client, answer).is_some() {
                self.violations.push(format!("client {client} was answered twice"));
            }
        }
    }

    fn record_version(&mut self, n: usize, version: &Version) {
        if version.number <= self.nodes[n].delivered {
            self.violations.push(format!("{} went back to {}", name(n), version.number));
        }
        self.nodes[n].delivered = version.number;
        let first = self.versions.entry(version.number).or_insert_with(|| version.clone());
        if first != version {
            self.violations.push(format!("two contents under {}", version.number));
        }
    }

    pub fn advance(&mut self, n: usize) {
        let before = self.nodes[n].disk.state.clone();
        let now = self.now;
        let node = &mut self.nodes[n];
        let Some(replica) = &mut node.replica else { return };
        let output = replica.advance(&mut node.disk, now);
        match self.broken_rule {
            // About one write in eight reaches the disk.
            BrokenRule::UnsyncedWrites => {
                let first = self.nodes[n].disk.synced.is_none();
                if self.nodes[n].disk.state != before && (self.draw(8) == 0 || first) {
                    self.nodes[n].disk.synced = Some(self.nodes[n].disk.state.clone());
                }
            }
            BrokenRule::UncommittedApplied => self.apply_uncommitted(n, &before),
            _ => {}
        }
        self.deliver_output(n, output);
    }

    /// The broken rule: whatever one replica writes is applied there.
    fn apply_uncommitted(&mut self, n: usize, before: &RecoveredState) {
        let Some(replica) = &self.nodes[n].replica else { return };
        let mut log = replica.version_log().clone();
        let fresh: Vec<Vec<u8>> = self.nodes[n]
            .disk
            .state
            .entries
            .iter()
            .filter(|e| !before.entries.contains(e))
            .cloned()
            .collect();
        for bytes in fresh {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let Some(from) = text.find("{\"id\"") else { continue };
            let mut read = serde_json::Deserializer::from_str(&text[from..]).into_iter::<Proposal>();
            let Some(Ok(proposal)) = read.next() else { continue };
            if let Ok(number) = log.apply(proposal)
                && let Some(version) = log.get(number).cloned()
            {
                let first = self.versions.entry(number).or_insert_with(|| version.clone());
                if *first != version {
                    self.violations.push(format!("two contents under {number}"));
                }
            }
        }
    }

    /// Advances the time by a step: messages arrive, replicas tick.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let links: Vec<(usize, usize)> = self.in_flight.keys().copied().collect();
        for (from, to) in links {
            if self.cut_links.contains(&(from, to)) || !self.is_running(to) {
                continue;
            }
            let Some(queue) = self.in_flight.get_mut(&(from, to)) else { continue };
            let arrived: Vec<ReplicaMessage> =
                queue.extract_if(.., |(at, _)| *at <= now).map(|(_, message)| message).collect();
            for message in arrived {
                if let Some(replica) = &mut self.nodes[to].replica {
                    replica.receive(&name(from), message, now);
                }
                self.advance(to);
            }
        }
        for n in 0..REPLICAS {
            if self.is_running(n) {
                self.nodes[n].steps += 1;
                if self.nodes[n].steps.is_multiple_of(2) {
                    if let Some(replica) = &mut self.nodes[n].replica {
                        replica.tick(now);
                    }
                    self.advance(n);
                }
                self.check_staleness(n);
            }
        }
    }

    /// The staleness that a replica states is never too low.
    fn check_staleness(&mut self, n: usize) {
        let Some(replica) = &self.nodes[n].replica else { return };
        let at = self.now - replica.staleness_s(self.now);
        let number = replica.version_log().latest_number();
        let missed = self.acknowledged.iter().rev().find(|(acked, (_, when))| **acked > number && *when < at);
        if let Some((missed, (_, when))) = missed {
            self.violations.push(format!(
                "{} with {number} said at {at:.2} that it has the newest; {missed} was acknowledged at {when:.2}",
                name(n)
            ));
        }
    }

    pub fn run_for(&mut self, duration_s: f64) {
        let end = self.now + duration_s;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds, for so many seconds at most, and returns whether it does.
    pub fn run_until(&mut self, duration_s: f64, holds: impl Fn(&ReplicaGroup) -> bool) -> bool {
        let end = self.now + duration_s;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.step();
        }
        true
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            self.is_running(*n)
                && self.nodes[*n].replica.as_ref().is_some_and(|m| m.is_leader() && m.has_quorum(self.now))
        };
        (0..REPLICAS).find(leads)
    }

    pub fn version(&self, n: usize) -> VersionNumber {
        self.nodes[n].replica.as_ref().map_or(0, |replica| replica.version_log().latest_number())
    }

    pub fn proposal(&mut self, n: usize) -> Proposal {
        self.last_id += 1;
        let value = self.draw(1_000_000);
        Proposal {
            id: format!("p{}", self.last_id),
            base: self.version(n),
            author: name(n),
            reason: "a trial".into(),
            at_unix_ms: self.last_id,
            settings: json!({"TickUs": value, "Services": [{"Name": "site-search", "Worth": value % 7}]}),
        }
    }

    pub fn propose(&mut self, n: usize, proposal: Proposal, timeout_s: f64) -> ClientId {
        let client = self.proposals.len() as ClientId + 1;
        self.proposals.insert(client, (n, proposal.clone()));
        let now = self.now;
        match &mut self.nodes[n].replica {
            Some(replica) => replica.propose(client, &proposal, timeout_s, now),
            None => drop(self.lost_clients.insert(client)),
        }
        self.advance(n);
        client
    }

    /// Proposes, and returns the outcome.
    pub fn propose_and_wait(&mut self, n: usize, proposal: Proposal, timeout_s: f64) -> ProposalOutcome {
        let client = self.propose(n, proposal, timeout_s);
        assert!(
            self.run_until(timeout_s + 1.0, |group| group.outcomes.contains_key(&client)),
            "no answer in time"
        );
        self.outcomes[&client].clone()
    }

    /// Ends all faults and checks that all replicas converge, with everything that was acknowledged.
    pub fn heal_and_check(&mut self) {
        (self.loss_fraction, self.delay_s) = (0.0, 0.005);
        self.cut_links.clear();
        for n in 0..REPLICAS {
            self.nodes[n].paused_until = 0.0;
            self.nodes[n].disk.is_full = false;
            if self.nodes[n].replica.is_none() {
                self.start(n);
            }
        }
        let from = self.now;
        let one = |group: &ReplicaGroup| {
            let first = group.version(0);
            group.leader().is_some()
                && (0..REPLICAS).all(|n| {
                    let replica = group.nodes[n].replica.as_ref();
                    group.version(n) == first
                        && replica.is_some_and(|m| {
                            m.unavailable_reason().is_none()
                                && m.has_quorum(group.now)
                                && !m.status(group.now).membership_changing
                        })
                })
                && group
                    .proposals
                    .keys()
                    .all(|a| group.outcomes.contains_key(a) || group.lost_clients.contains(a))
        };
        if !self.run_until(40.0, one) {
            let states: Vec<String> = (0..REPLICAS)
                .map(|n| {
                    self.nodes[n]
                        .replica
                        .as_ref()
                        .map_or(String::new(), |m| format!("{:?}", m.status(self.now)))
                })
                .collect();
            self.violations.push(format!("no one version 40 s after all is well: {}", states.join("\n")));
        }
        let took = self.now - from;
        if took > 16.0 {
            self.violations.push(format!("one version only {took:.1} s after all was well"));
        }
        self.check();
    }

    pub fn check(&mut self) {
        let mut violations = vec![];
        for n in 0..REPLICAS {
            let Some(replica) = &self.nodes[n].replica else { continue };
            let log = replica.version_log();
            let mut ids = BTreeSet::new();
            for (place, version) in log.versions().iter().enumerate() {
                if version.number != place as VersionNumber + 1 {
                    violations.push(format!("{}: {} at place {place}", name(n), version.number));
                }
                if !ids.insert(&version.proposal_id) {
                    violations.push(format!("{}: {} counts twice", name(n), version.proposal_id));
                }
                if self.versions.get(&version.number).is_some_and(|recovered| recovered != version) {
                    violations.push(format!("{}: two contents under {}", name(n), version.number));
                }
            }
            for (number, (id, _)) in &self.acknowledged {
                if log.get(*number).is_none_or(|version| version.proposal_id != *id) {
                    violations.push(format!("{}: {number}, acknowledged to {id}, is lost", name(n)));
                }
            }
        }
        self.violations.extend(violations);
        for client in self.proposals.keys() {
            if self.outcomes.contains_key(client) == self.lost_clients.contains(client) {
                self.violations.push(format!("client {client}: not one answer"));
            }
        }
    }
}
