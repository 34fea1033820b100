//! Which planners are there, as one forwarder knows it by its own clock. A planner is believed for as long as it answers
//! beats: one that hangs, or is cut off either way, stops answering though its connection stands. A later incarnation of a
//! name takes the place of the earlier one, whose words count no more while the later one is there.
use crate::{Incarnation, Name};
use std::collections::BTreeMap;

/// How members are watched, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Watch {
    /// Between two beats.
    pub beat: f64,
    /// A beat that is not answered for so long makes its planner silent.
    pub patience: f64,
}

/// For how long an earlier incarnation is refused once the later one was last there. A connection that the network held
/// back says its hello sooner; past it the clock of a planner that started again has gone back.
const EARLIER_REFUSED_FOR_S: f64 = 3.0;

#[derive(Clone, Debug)]
struct Planner {
    incarnation: Incarnation,
    /// It says that it takes queries.
    able: bool,
    roster: u64,
    /// The oldest beat that it has not answered: its number, and when it went out.
    unanswered: Option<(u64, f64)>,
    last_beat: f64,
    next: u64,
}

/// What has changed for whoever holds queries.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It decides no more for anything: dead, silent, or started again.
    Lost(Name),
    /// It may be asked, or no more for new queries.
    Able(Name, bool),
}

#[derive(Debug)]
pub struct Members {
    watch: Watch,
    planners: BTreeMap<Name, Planner>,
    /// The incarnation of each name that was met last.
    met: BTreeMap<Name, Met>,
}

#[derive(Clone, Copy, Debug)]
struct Met {
    incarnation: Incarnation,
    /// When it was last there.
    last_seen: f64,
}

impl Members {
    pub fn new(watch: Watch) -> Self {
        Members { watch, planners: BTreeMap::new(), met: BTreeMap::new() }
    }

    /// A planner has said hello. None where it is an earlier incarnation of one that is there, or was a moment ago: its
    /// connection ends. Incarnations go by wall clocks, so that an earlier one may be the planner started again.
    pub fn greeted(&mut self, name: &str, incarnation: Incarnation, now: f64) -> Option<Vec<Change>> {
        if self.met.get(name).is_some_and(|met| incarnation < met.incarnation) && self.was_there(name, now) {
            return None;
        }
        let lost = self.planners.remove(name).map(|_| Change::Lost(name.into()));
        self.met.insert(name.into(), Met { incarnation, last_seen: now });
        let planner = Planner {
            incarnation,
            able: false,
            roster: 0,
            unanswered: None,
            last_beat: now - self.watch.beat,
            next: 0,
        };
        self.planners.insert(name.into(), planner);
        Some(lost.into_iter().collect())
    }

    /// Whether the planner met last under a name is there, or was a moment ago.
    fn was_there(&self, name: &str, now: f64) -> bool {
        self.planners.contains_key(name)
            || self.met.get(name).is_some_and(|met| now - met.last_seen < EARLIER_REFUSED_FOR_S)
    }

    /// Its connection has ended.
    pub fn ended(&mut self, name: &str, incarnation: Incarnation) -> Vec<Change> {
        if self.planners.get(name).is_none_or(|planner| planner.incarnation != incarnation) {
            return vec![];
        }
        self.planners.remove(name);
        vec![Change::Lost(name.into())]
    }

    /// Its own beat: whether it takes queries, and how far it knows the roster.
    pub fn beat(&mut self, name: &str, incarnation: Incarnation, roster: u64, able: bool) -> Vec<Change> {
        let planner = self.planners.get_mut(name).filter(|planner| planner.incarnation == incarnation);
        let Some(planner) = planner else { return vec![] };
        planner.roster = planner.roster.max(roster);
        let changed = std::mem::replace(&mut planner.able, able) != able;
        if changed { vec![Change::Able(name.into(), able)] } else { vec![] }
    }

    /// It has answered a beat of ours; with it all earlier ones.
    pub fn heard(&mut self, name: &str, incarnation: Incarnation, number: u64) {
        if let Some(planner) = self.planners.get_mut(name).filter(|p| p.incarnation == incarnation)
            && planner.unanswered.is_some_and(|(oldest, _)| oldest <= number)
        {
            planner.unanswered = None;
        }
    }

    /// Beats that are due now, and planners that have been silent for too long.
    pub fn tick(&mut self, now: f64) -> (Vec<(Name, u64)>, Vec<Change>) {
        let Watch { beat, patience } = self.watch;
        for name in self.planners.keys() {
            if let Some(met) = self.met.get_mut(name) {
                met.last_seen = now;
            }
        }
        let silent = |planner: &Planner| planner.unanswered.is_some_and(|(_, at)| now - at >= patience);
        let lost: Vec<Name> =
            self.planners.iter().filter(|(_, p)| silent(p)).map(|(name, _)| name.clone()).collect();
        for name in &lost {
            self.planners.remove(name);
        }
        let mut beats = vec![];
        for (name, planner) in &mut self.planners {
            if now - planner.last_beat >= beat {
                planner.next += 1;
                planner.last_beat = now;
                planner.unanswered.get_or_insert((planner.next, now));
                beats.push((name.clone(), planner.next));
            }
        }
        (beats, lost.into_iter().map(Change::Lost).collect())
    }

    /// Whether a planner may be asked: it says so, and it knows the roster as far as it must by now. Guards against a
    /// planner that was cut off from discovery and goes on sending to nodes that drain.
    pub fn may_ask(&self, name: &str, roster: u64) -> bool {
        self.planners.get(name).is_some_and(|planner| planner.able && planner.roster >= roster)
    }

    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        self.planners.get(name).map(|planner| planner.incarnation)
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.planners.keys()
    }
}
