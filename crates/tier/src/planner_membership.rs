//! Which planners are members for one forwarder: the planners that are connected and acknowledge the
//! forwarder's heartbeats. An incarnation identifies one start of a planner and is taken from the planner's
//! wall clock. A planner that hangs, or is unreachable in one direction, stops acknowledging heartbeats while
//! its connection stays open, and is removed. A planner that restarts has a later incarnation, and messages
//! of its earlier incarnation are ignored from then on. All times are seconds of the forwarder's monotonic
//! clock.
use crate::{Incarnation, Name};
use std::collections::BTreeMap;

/// The interval and timeout of heartbeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatConfig {
    /// Seconds between two heartbeats to a planner.
    pub interval_s: f64,
    /// Seconds after the sending of a heartbeat after which a planner that has not acknowledged the heartbeat
    /// counts as lost.
    pub timeout_s: f64,
}

/// Seconds after the end of a planner's connection during which a hello with an earlier incarnation of that
/// planner is rejected. A hello that the network delayed arrives within this time; a later hello is from a
/// planner whose wall clock was set back before its restart.
const EARLIER_INCARNATION_REJECTED_FOR_S: f64 = 3.0;

#[derive(Clone, Debug)]
struct Planner {
    incarnation: Incarnation,
    /// Whether the planner's last heartbeat reported that it accepts new queries.
    accepts_queries: bool,
    endpoints_version: u64,
    /// The number of the oldest heartbeat that the planner has not acknowledged, and when that heartbeat was
    /// sent, in seconds of the forwarder's clock.
    unacknowledged: Option<(u64, f64)>,
    last_heartbeat_at: f64,
    last_heartbeat_number: u64,
}

/// A change of a planner's connection, or of whether the planner accepts new queries. Both affect the
/// assignment of queries.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerChange {
    /// The planner has disconnected, timed out or restarted, and its decisions are ignored from now on.
    Lost(Name),
    /// The planner has started or stopped to accept new queries.
    AcceptsQueries(Name, bool),
}

/// The connected planners, and the latest incarnations of those that have disconnected.
#[derive(Debug)]
pub struct PlannerMembership {
    config: HeartbeatConfig,
    planners: BTreeMap<Name, Planner>,
    /// The latest accepted incarnation of each planner that has ever connected.
    last_seen: BTreeMap<Name, LastSeen>,
}

#[derive(Clone, Copy, Debug)]
struct LastSeen {
    incarnation: Incarnation,
    /// When the planner was last known to be connected, in seconds of the forwarder's clock.
    at: f64,
}

impl PlannerMembership {
    /// Creates the membership without any planner.
    pub fn new(config: HeartbeatConfig) -> Self {
        PlannerMembership { config, planners: BTreeMap::new(), last_seen: BTreeMap::new() }
    }

    /// Processes the hello of a planner on a new connection, and returns the changes. Returns `None` if the
    /// hello must be rejected, because a later incarnation of the planner is connected, or was connected less
    /// than `EARLIER_INCARNATION_REJECTED_FOR_S` ago. After that time an earlier incarnation is accepted:
    /// incarnations are taken from wall clocks, and the clock may have been set back before the planner
    /// restarted.
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

    /// Processes the end of the connection to an incarnation of a planner, and returns the changes.
    pub fn disconnected(&mut self, name: &str, incarnation: Incarnation) -> Vec<PlannerChange> {
        if self.planners.get(name).is_none_or(|planner| planner.incarnation != incarnation) {
            return vec![];
        }
        self.planners.remove(name);
        vec![PlannerChange::Lost(name.into())]
    }

    /// Processes a planner's heartbeat, which contains the planner's version of the endpoint list and whether
    /// the planner accepts new queries. Returns the changes.
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

    /// Processes a planner's acknowledgement of a heartbeat, which also acknowledges all earlier heartbeats.
    pub fn heartbeat_acknowledged(&mut self, name: &str, incarnation: Incarnation, number: u64) {
        if let Some(planner) = self.planners.get_mut(name).filter(|p| p.incarnation == incarnation)
            && planner.unacknowledged.is_some_and(|(oldest, _)| oldest <= number)
        {
            planner.unacknowledged = None;
        }
    }

    /// Returns the heartbeats that are due, each as the planner's name and the heartbeat's number, and the
    /// planners that have timed out and were removed.
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

    /// Whether new queries may be assigned to a planner: the planner accepts queries and has received at
    /// least version `min_endpoints_version` of the endpoint list. A planner that is disconnected from
    /// discovery would otherwise keep starting attempts at draining data nodes.
    pub fn is_available(&self, name: &str, min_endpoints_version: u64) -> bool {
        let is_available = |p: &Planner| p.accepts_queries && p.endpoints_version >= min_endpoints_version;
        self.planners.get(name).is_some_and(is_available)
    }

    /// Returns the incarnation of a connected planner, or `None` if the planner is not connected.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        self.planners.get(name).map(|planner| planner.incarnation)
    }

    /// Returns the names of all connected planners.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.planners.keys()
    }
}
