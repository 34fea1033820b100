//! Which planners one forwarder can use, by its own clock. A planner remains a member as long as it acknowledges
//! heartbeats: one that hangs, or is cut off in either direction, stops acknowledging while its connection stays open. A
//! later incarnation of a planner supersedes the earlier one, whose messages are ignored from then on.
use crate::{Incarnation, Name};
use std::collections::BTreeMap;

/// How heartbeats are sent and timed out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatConfig {
    /// Seconds between two heartbeats to a planner.
    pub interval_s: f64,
    /// Seconds after which a planner is lost that has not acknowledged a heartbeat.
    pub timeout_s: f64,
}

/// How long an earlier incarnation is rejected after the later one was last connected. A hello that the network delayed
/// arrives sooner; after this time, the wall clock of a restarted planner has gone back.
const EARLIER_INCARNATION_REJECTED_FOR_S: f64 = 3.0;

#[derive(Clone, Debug)]
struct Planner {
    incarnation: Incarnation,
    /// Whether its last heartbeat said that it accepts new queries.
    accepts_queries: bool,
    endpoints_version: u64,
    /// The oldest heartbeat that it has not acknowledged: its number and when it was sent.
    unacknowledged: Option<(u64, f64)>,
    last_heartbeat_at: f64,
    last_heartbeat_number: u64,
}

/// A change that affects the queries of a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerChange {
    /// The planner has disconnected, timed out or restarted; none of its decisions counts any more.
    Lost(Name),
    /// The planner accepts new queries from here on, or no longer does.
    AcceptsQueries(Name, bool),
}

/// The planners that are connected, and the incarnations of those that were.
#[derive(Debug)]
pub struct PlannerMembership {
    config: HeartbeatConfig,
    planners: BTreeMap<Name, Planner>,
    /// The latest incarnation of each planner that has ever connected.
    last_seen: BTreeMap<Name, LastSeen>,
}

#[derive(Clone, Copy, Debug)]
struct LastSeen {
    incarnation: Incarnation,
    /// When it was last connected.
    at: f64,
}

impl PlannerMembership {
    /// Without any planner.
    pub fn new(config: HeartbeatConfig) -> Self {
        PlannerMembership { config, planners: BTreeMap::new(), last_seen: BTreeMap::new() }
    }

    /// A planner's hello was received on a new connection. Returns none if the hello is to be rejected: it names an earlier
    /// incarnation of a planner that is connected, or was until a moment ago. After that an earlier incarnation is
    /// accepted: incarnations are taken from wall clocks, so it may be the planner after a restart.
    pub fn connected(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        now: f64,
    ) -> Option<Vec<PlannerChange>> {
        let is_earlier = self.last_seen.get(name).is_some_and(|seen| incarnation < seen.incarnation);
        if is_earlier && self.was_recently_connected(name, now) {
            return None;
        }
        let lost = self.planners.remove(name).map(|_| PlannerChange::Lost(name.into()));
        self.last_seen.insert(name.into(), LastSeen { incarnation, at: now });
        let planner = Planner {
            incarnation,
            accepts_queries: false,
            endpoints_version: 0,
            unacknowledged: None,
            last_heartbeat_at: now - self.config.interval_s,
            last_heartbeat_number: 0,
        };
        self.planners.insert(name.into(), planner);
        Some(lost.into_iter().collect())
    }

    fn was_recently_connected(&self, name: &str, now: f64) -> bool {
        let is_recent = |seen: &LastSeen| now - seen.at < EARLIER_INCARNATION_REJECTED_FOR_S;
        self.planners.contains_key(name) || self.last_seen.get(name).is_some_and(is_recent)
    }

    /// The connection to an incarnation of a planner has closed.
    pub fn disconnected(&mut self, name: &str, incarnation: Incarnation) -> Vec<PlannerChange> {
        if self.planners.get(name).is_none_or(|planner| planner.incarnation != incarnation) {
            return vec![];
        }
        self.planners.remove(name);
        vec![PlannerChange::Lost(name.into())]
    }

    /// A planner's heartbeat was received: which version of the endpoint list it knows, and whether it accepts new queries.
    pub fn heartbeat_received(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        endpoints_version: u64,
        accepts_queries: bool,
    ) -> Vec<PlannerChange> {
        let planner = self.planners.get_mut(name).filter(|planner| planner.incarnation == incarnation);
        let Some(planner) = planner else { return vec![] };
        planner.endpoints_version = planner.endpoints_version.max(endpoints_version);
        if std::mem::replace(&mut planner.accepts_queries, accepts_queries) == accepts_queries {
            return vec![];
        }
        vec![PlannerChange::AcceptsQueries(name.into(), accepts_queries)]
    }

    /// A planner has acknowledged a heartbeat, and with it all earlier ones.
    pub fn heartbeat_acknowledged(&mut self, name: &str, incarnation: Incarnation, number: u64) {
        if let Some(planner) = self.planners.get_mut(name).filter(|p| p.incarnation == incarnation)
            && planner.unacknowledged.is_some_and(|(oldest, _)| oldest <= number)
        {
            planner.unacknowledged = None;
        }
    }

    /// Returns the heartbeats that are due, by planner and number, and removes planners that have timed out.
    pub fn tick(&mut self, now: f64) -> (Vec<(Name, u64)>, Vec<PlannerChange>) {
        let HeartbeatConfig { interval_s, timeout_s } = self.config;
        for name in self.planners.keys() {
            if let Some(seen) = self.last_seen.get_mut(name) {
                seen.at = now;
            }
        }
        let timed_out =
            |planner: &Planner| planner.unacknowledged.is_some_and(|(_, at)| now - at >= timeout_s);
        let lost: Vec<Name> =
            self.planners.iter().filter(|(_, p)| timed_out(p)).map(|(name, _)| name.clone()).collect();
        for name in &lost {
            self.planners.remove(name);
        }
        let mut heartbeats = vec![];
        for (name, planner) in &mut self.planners {
            if now - planner.last_heartbeat_at >= interval_s {
                planner.last_heartbeat_number += 1;
                planner.last_heartbeat_at = now;
                planner.unacknowledged.get_or_insert((planner.last_heartbeat_number, now));
                heartbeats.push((name.clone(), planner.last_heartbeat_number));
            }
        }
        (heartbeats, lost.into_iter().map(PlannerChange::Lost).collect())
    }

    /// Whether new queries may be assigned to a planner: it accepts them, and it knows the endpoint list in this version or
    /// a later one. Guards against a planner that is cut off from discovery and keeps sending to nodes that drain.
    pub fn is_available(&self, name: &str, min_endpoints_version: u64) -> bool {
        let is_available = |p: &Planner| p.accepts_queries && p.endpoints_version >= min_endpoints_version;
        self.planners.get(name).is_some_and(is_available)
    }

    /// The incarnation of a planner that is connected.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        self.planners.get(name).map(|planner| planner.incarnation)
    }

    /// The names of all connected planners.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.planners.keys()
    }
}
