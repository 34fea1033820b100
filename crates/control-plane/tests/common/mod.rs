//! Five control machines in one process, on disks and links that fail as a schedule says; and what has to hold whatever
//! fails. All is drawn from a seed.
#![allow(dead_code)]
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

pub const COUNT: usize = 5;
/// Seconds between two steps of the time.
const STEP: f64 = TICK_S / 2.0;

/// Rules that are broken on purpose, so that what is checked is seen to find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Broken {
    Nothing,
    /// A write is said to be synced, and a crash loses it.
    Unsynced,
    /// EntryKind is written by one machine counts as committed.
    Uncommitted,
    /// A machine whose disk was wiped comes back under its former id.
    SameId,
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub held: RecoveredState,
    first: u64,
    /// As it was when it was last synced in truth.
    synced: Option<RecoveredState>,
    pub full: bool,
    /// A failed write leaves all of it, each second time.
    torn: u32,
    pub writes: u64,
    pub written: Vec<Vec<u8>>,
}

impl StableStorage for Disk {
    fn write(&mut self, what: &WriteBatch) -> io::Result<()> {
        if self.full {
            self.torn += 1;
            if self.torn.is_multiple_of(2) {
                self.keep(what);
            }
            return Err(io::Error::other("no space left"));
        }
        self.keep(what);
        Ok(())
    }
}

impl Disk {
    pub fn keep(&mut self, what: &WriteBatch) {
        self.writes += 1;
        let held = &mut self.held;
        if let Some(identity) = &what.identity {
            held.identity = Some(identity.clone());
        }
        if let Some(snapshot) = &what.snapshot {
            held.snapshot = Some(snapshot.clone());
        }
        if let Some(floor) = what.compacted_to {
            let gone = if what.clear_entries {
                held.entries.len()
            } else {
                (floor.0 - held.compacted_to.0) as usize
            };
            held.entries.drain(..gone.min(held.entries.len()));
            held.compacted_to = floor;
        }
        if let Some((first, _)) = what.entries.first() {
            held.entries.truncate((first - held.compacted_to.0 - 1) as usize);
            held.entries.extend(what.entries.iter().map(|(_, bytes)| bytes.clone()));
        }
        if let Some(hard) = &what.hard_state {
            held.hard_state = Some(hard.clone());
        }
    }
}

pub struct Site {
    pub machine: Option<Replica>,
    pub disk: Disk,
    pub paused: f64,
    /// The newest that it gave out since its start.
    pub told: VersionNumber,
    clock: u32,
}

pub struct House {
    pub now: f64,
    pub sites: Vec<Site>,
    names: Vec<String>,
    under_way: BTreeMap<(usize, usize), Vec<(f64, ReplicaMessage)>>,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub delay: f64,
    pub chance: Pcg32,
    pub broken: Broken,
    /// EntryKind was given out under a number, by anybody.
    pub versions: BTreeMap<VersionNumber, Version>,
    /// Answered, with when.
    pub acknowledged: BTreeMap<VersionNumber, (String, f64)>,
    pub asked: BTreeMap<ClientId, (usize, Proposal)>,
    pub answers: BTreeMap<ClientId, ProposalOutcome>,
    /// Askers whose machine crashed.
    pub gone: BTreeSet<ClientId>,
    pub wiped: usize,
    ids: u64,
    pub faults: Vec<String>,
    pub snapshot_after: u64,
}

pub fn name(n: usize) -> String {
    format!("c{}", n + 1)
}

impl House {
    pub fn new(seed: u64, broken: Broken) -> House {
        let names: Vec<String> = (0..COUNT).map(name).collect();
        let mut house = House {
            now: 0.0,
            sites: vec![],
            names,
            under_way: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            delay: 0.005,
            chance: Pcg32::new(seed, 11),
            broken,
            versions: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            asked: BTreeMap::new(),
            answers: BTreeMap::new(),
            gone: BTreeSet::new(),
            wiped: 0,
            ids: 100,
            faults: vec![],
            snapshot_after: 12,
        };
        for _ in 0..COUNT {
            house.sites.push(Site { machine: None, disk: Disk::default(), paused: 0.0, told: 0, clock: 0 });
        }
        for n in 0..COUNT {
            house.start(n);
        }
        house
    }

    pub fn draw(&mut self, below: u32) -> u32 {
        self.chance.next_u32() % below
    }

    pub fn one_of(&mut self, share: f64) -> bool {
        f64::from(self.chance.next_u32()) < share * f64::from(u32::MAX)
    }

    /// From what its disk has.
    pub fn start(&mut self, n: usize) {
        self.ids += 1;
        let fresh = if self.broken == Broken::SameId { 50 + n as u64 } else { self.ids };
        let seed = (u64::from(self.chance.next_u32()) << 32) | u64::from(self.chance.next_u32());
        let members = self.names.iter().cloned().collect();
        match Replica::new(&name(n), &members, &self.sites[n].disk.held, fresh, seed) {
            Ok(mut machine) => {
                machine.snapshot_after_entries = self.snapshot_after;
                self.sites[n].machine = Some(machine);
            }
            Err(why) => self.faults.push(format!("{} does not start: {why}", name(n))),
        }
        self.sites[n].told = 0;
    }

    pub fn crash(&mut self, n: usize) {
        self.sites[n].machine = None;
        self.sites[n].paused = 0.0;
        let gone = self.asked.iter().filter(|(asker, (at, _))| *at == n && !self.answers.contains_key(asker));
        let gone: Vec<ClientId> = gone.map(|(asker, _)| *asker).collect();
        self.gone.extend(gone);
        if self.broken == Broken::Unsynced
            && let Some(synced) = self.sites[n].disk.synced.clone()
        {
            self.sites[n].disk.held = synced;
        }
        for other in 0..COUNT {
            self.under_way.remove(&(n, other));
            self.under_way.remove(&(other, n));
        }
    }

    pub fn wipe(&mut self, n: usize) {
        self.crash(n);
        self.sites[n].disk = Disk::default();
        self.wiped += 1;
    }

    pub fn up(&self, n: usize) -> bool {
        self.sites[n].machine.is_some() && self.sites[n].paused <= self.now
    }

    fn links(&mut self, n: usize, output: ReplicaOutput) {
        for (to, word) in output.messages {
            let to = self.names.iter().position(|name| *name == to).expect("of the members");
            if self.one_of(self.loss) {
                continue;
            }
            let span = self.delay * (1.0 + f64::from(self.draw(1000)) / 500.0);
            let way = self.under_way.entry((n, to)).or_default();
            // In order, as within a connection.
            let at = way.last().map_or(0.0, |(at, _)| *at).max(self.now + span);
            way.push((at, word));
        }
        for version in output.committed {
            self.given(n, &version);
        }
        for (asker, answer) in output.outcomes {
            if let ProposalOutcome::Committed(number) = answer {
                let id = self.asked[&asker].1.id.clone();
                self.acknowledged.entry(number).or_insert((id.clone(), self.now));
                if self.acknowledged[&number].0 != id {
                    self.faults.push(format!("{number} was acknowledged to two proposals"));
                }
            }
            if self.answers.insert(asker, answer).is_some() {
                self.faults.push(format!("asker {asker} was answered twice"));
            }
        }
    }

    fn given(&mut self, n: usize, version: &Version) {
        if version.number <= self.sites[n].told {
            self.faults.push(format!("{} went back to {}", name(n), version.number));
        }
        self.sites[n].told = version.number;
        let held = self.versions.entry(version.number).or_insert_with(|| version.clone());
        if held != version {
            self.faults.push(format!("two contents under {}", version.number));
        }
    }

    pub fn run(&mut self, n: usize) {
        let before = self.sites[n].disk.held.clone();
        let now = self.now;
        let site = &mut self.sites[n];
        let Some(machine) = &mut site.machine else { return };
        let output = machine.advance(&mut site.disk, now);
        match self.broken {
            // One write in eight or so reaches the disk in truth.
            Broken::Unsynced => {
                let first = self.sites[n].disk.synced.is_none();
                if self.sites[n].disk.held != before && (self.draw(8) == 0 || first) {
                    self.sites[n].disk.synced = Some(self.sites[n].disk.held.clone());
                }
            }
            Broken::Uncommitted => self.take_uncommitted(n, &before),
            _ => {}
        }
        self.links(n, output);
    }

    /// The broken rule: whatever one machine writes is taken as in force there.
    fn take_uncommitted(&mut self, n: usize, before: &RecoveredState) {
        let Some(machine) = &self.sites[n].machine else { return };
        let mut log = machine.version_log().clone();
        let fresh: Vec<Vec<u8>> =
            self.sites[n].disk.held.entries.iter().filter(|e| !before.entries.contains(e)).cloned().collect();
        for bytes in fresh {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let Some(from) = text.find("{\"id\"") else { continue };
            let mut read = serde_json::Deserializer::from_str(&text[from..]).into_iter::<Proposal>();
            let Some(Ok(proposal)) = read.next() else { continue };
            if let Ok(number) = log.apply(proposal)
                && let Some(version) = log.get(number).cloned()
            {
                let held = self.versions.entry(number).or_insert_with(|| version.clone());
                if *held != version {
                    self.faults.push(format!("two contents under {number}"));
                }
            }
        }
    }

    /// A step of the time: what arrives, ticks, and what comes of it.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let ways: Vec<(usize, usize)> = self.under_way.keys().copied().collect();
        for (from, to) in ways {
            if self.cut.contains(&(from, to)) || !self.up(to) {
                continue;
            }
            let Some(way) = self.under_way.get_mut(&(from, to)) else { continue };
            let arrived: Vec<ReplicaMessage> =
                way.extract_if(.., |(at, _)| *at <= now).map(|(_, word)| word).collect();
            for word in arrived {
                if let Some(machine) = &mut self.sites[to].machine {
                    machine.receive(&name(from), word, now);
                }
                self.run(to);
            }
        }
        for n in 0..COUNT {
            if self.up(n) {
                self.sites[n].clock += 1;
                if self.sites[n].clock.is_multiple_of(2) {
                    if let Some(machine) = &mut self.sites[n].machine {
                        machine.tick(now);
                    }
                    self.run(n);
                }
                self.look(n);
            }
        }
    }

    /// EntryKind a machine says of how new its log is has to be true.
    fn look(&mut self, n: usize) {
        let Some(machine) = &self.sites[n].machine else { return };
        let at = self.now - machine.staleness_s(self.now);
        let number = machine.version_log().latest_number();
        let missed = self.acknowledged.iter().rev().find(|(acked, (_, when))| **acked > number && *when < at);
        if let Some((missed, (_, when))) = missed {
            self.faults.push(format!(
                "{} with {number} said at {at:.2} that it has the newest; {missed} was acknowledged at {when:.2}",
                name(n)
            ));
        }
    }

    pub fn pass(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Waits until it holds, for so many seconds at most.
    pub fn until(&mut self, span: f64, holds: impl Fn(&House) -> bool) -> bool {
        let end = self.now + span;
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
            self.up(*n)
                && self.sites[*n].machine.as_ref().is_some_and(|m| m.is_leader() && m.has_quorum(self.now))
        };
        (0..COUNT).find(leads)
    }

    pub fn number(&self, n: usize) -> VersionNumber {
        self.sites[n].machine.as_ref().map_or(0, |machine| machine.version_log().latest_number())
    }

    pub fn proposal(&mut self, n: usize) -> Proposal {
        self.ids += 1;
        let value = self.draw(1_000_000);
        Proposal {
            id: format!("p{}", self.ids),
            base: self.number(n),
            author: name(n),
            reason: "a trial".into(),
            at_unix_ms: self.ids,
            settings: json!({"TickUs": value, "Services": [{"Name": "site-search", "Worth": value % 7}]}),
        }
    }

    pub fn ask(&mut self, n: usize, proposal: Proposal, wait: f64) -> ClientId {
        let asker = self.asked.len() as ClientId + 1;
        self.asked.insert(asker, (n, proposal.clone()));
        let now = self.now;
        match &mut self.sites[n].machine {
            Some(machine) => machine.propose(asker, &proposal, wait, now),
            None => drop(self.gone.insert(asker)),
        }
        self.run(n);
        asker
    }

    /// Asks, and waits for the answer.
    pub fn answer(&mut self, n: usize, proposal: Proposal, wait: f64) -> ProposalOutcome {
        let asker = self.ask(n, proposal, wait);
        assert!(self.until(wait + 1.0, |house| house.answers.contains_key(&asker)), "no answer in time");
        self.answers[&asker].clone()
    }

    /// All is well again; all have to come to one version, with all that was acknowledged in it.
    pub fn settle(&mut self) {
        (self.loss, self.delay) = (0.0, 0.005);
        self.cut.clear();
        for n in 0..COUNT {
            self.sites[n].paused = 0.0;
            self.sites[n].disk.full = false;
            if self.sites[n].machine.is_none() {
                self.start(n);
            }
        }
        let from = self.now;
        let one = |house: &House| {
            let first = house.number(0);
            house.leader().is_some()
                && (0..COUNT).all(|n| {
                    let machine = house.sites[n].machine.as_ref();
                    house.number(n) == first
                        && machine.is_some_and(|m| {
                            m.unavailable_reason().is_none()
                                && m.has_quorum(house.now)
                                && !m.status(house.now).membership_changing
                        })
                })
                && house.asked.keys().all(|a| house.answers.contains_key(a) || house.gone.contains(a))
        };
        if !self.until(40.0, one) {
            let states: Vec<String> = (0..COUNT)
                .map(|n| {
                    self.sites[n]
                        .machine
                        .as_ref()
                        .map_or(String::new(), |m| format!("{:?}", m.status(self.now)))
                })
                .collect();
            self.faults.push(format!("no one version 40 s after all is well: {}", states.join("\n")));
        }
        let took = self.now - from;
        if took > 16.0 {
            self.faults.push(format!("one version only {took:.1} s after all was well"));
        }
        self.check();
    }

    pub fn check(&mut self) {
        let mut faults = vec![];
        for n in 0..COUNT {
            let Some(machine) = &self.sites[n].machine else { continue };
            let log = machine.version_log();
            let mut ids = BTreeSet::new();
            for (place, version) in log.versions().iter().enumerate() {
                if version.number != place as VersionNumber + 1 {
                    faults.push(format!("{}: {} at place {place}", name(n), version.number));
                }
                if !ids.insert(&version.proposal_id) {
                    faults.push(format!("{}: {} counts twice", name(n), version.proposal_id));
                }
                if self.versions.get(&version.number).is_some_and(|held| held != version) {
                    faults.push(format!("{}: two contents under {}", name(n), version.number));
                }
            }
            for (number, (id, _)) in &self.acknowledged {
                if log.get(*number).is_none_or(|version| version.proposal_id != *id) {
                    faults.push(format!("{}: {number}, acknowledged to {id}, is lost", name(n)));
                }
            }
        }
        self.faults.extend(faults);
        for asker in self.asked.keys() {
            if self.answers.contains_key(asker) == self.gone.contains(asker) {
                self.faults.push(format!("asker {asker}: not one answer"));
            }
        }
    }
}

/// One schedule of faults drawn from a seed, for so many seconds of the machines' time, and what was wrong.
pub fn schedule(seed: u64, broken: Broken) -> House {
    let mut house = House::new(seed, broken);
    house.until(20.0, |house| house.leader().is_some());
    let end = house.now + 30.0;
    let mut heal = 0.0;
    let mut former: Vec<Proposal> = vec![];
    while house.now < end && house.faults.is_empty() {
        house.step();
        if house.one_of(0.08) {
            let n = house.draw(COUNT as u32) as usize;
            if house.up(n) {
                let again = !former.is_empty() && house.one_of(0.2);
                let at = house.draw(former.len().max(1) as u32) as usize;
                let proposal = if again { former[at].clone() } else { house.proposal(n) };
                former.push(proposal.clone());
                house.ask(n, proposal, 4.0);
            }
        }
        if house.now >= heal && !house.cut.is_empty() {
            house.cut.clear();
        }
        if !house.one_of(0.04) {
            continue;
        }
        let n = match house.leader() {
            Some(leader) if house.one_of(0.4) => leader,
            _ => house.draw(COUNT as u32) as usize,
        };
        match house.draw(10) {
            0 | 1 => house.sites[n].paused = house.now + 0.5 + f64::from(house.draw(50)) / 10.0,
            2 => house.crash(n),
            3 => (0..COUNT).for_each(|n| {
                if house.sites[n].machine.is_none() {
                    house.start(n);
                }
            }),
            4 if house.wiped < 2 => {
                house.wipe(n);
                if house.one_of(0.5) {
                    house.start(n);
                }
            }
            5 | 6 => {
                let side: Vec<bool> = match house.draw(3) {
                    // The two regions.
                    0 => vec![true, true, false, false, false],
                    1 => (0..COUNT).map(|other| other == n).collect(),
                    _ => (0..COUNT).map(|_| house.draw(2) == 0).collect(),
                };
                let one_way = house.one_of(0.3);
                for from in 0..COUNT {
                    for to in 0..COUNT {
                        if side[from] != side[to] && (!one_way || side[from]) {
                            house.cut.insert((from, to));
                        }
                    }
                }
                heal = house.now + 1.0 + f64::from(house.draw(60)) / 10.0;
            }
            7 => house.loss = f64::from(house.draw(4)) * 0.05,
            8 => house.delay = [0.002, 0.02, 0.1, 0.4][house.draw(4) as usize],
            _ => house.sites[n].disk.full = !house.sites[n].disk.full,
        }
    }
    house.settle();
    house
}
