//! Input that the policy, the code that decides about queries and attempts, gets in its next run. Changes of
//! the endpoint list, the shard map and the configuration are collected in `EndpointTable`, `ShardMapView`
//! and `ClassTable` instead. The fleet is all routers that exchange gossip. An observation is the health of a
//! data node according to the attempts of one core.
use alderway::interface::{NodeObservation, PolicyInput};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A timer that the policy has set.
struct PolicyTimer {
    /// When the timer fires, in seconds of the monotonic clock.
    due_at_s: f64,
    tag: u64,
}

/// Numbers of queries of all routers of the fleet, with this one, that ended after their latency objective
/// (late) and within it (in time), since the last run of the policy.
#[derive(Clone, Copy, Default)]
struct FleetLatencyCounts {
    late: u32,
    in_time: u32,
}

/// Input that has arrived since the policy's last run.
#[derive(Default)]
pub struct PendingInput {
    /// The numbers that identify the queries opened since the policy's last run.
    pub new_queries: Vec<u64>,
    /// Ids of queries that ended without a decision of the policy, because the client disconnected or the
    /// deadline passed.
    pub disconnected_queries: Vec<Rc<str>>,
    observations: BTreeMap<String, NodeObservation>,
    fleet_counts: Option<FleetLatencyCounts>,
    timers: Vec<PolicyTimer>,
}

impl PendingInput {
    /// Adds an observation of the data node `node` made by another core or router; replaces a pending one of
    /// the same data node.
    pub fn add_observation(&mut self, node: String, observation: NodeObservation) {
        self.observations.insert(node, observation);
    }

    /// Replaces all pending observations by these, each with the name of its data node.
    pub fn set_observations(&mut self, observations: impl IntoIterator<Item = (String, NodeObservation)>) {
        self.observations = observations.into_iter().collect();
    }

    /// Adds to the numbers of queries of all routers of the fleet that ended late and in time. Counts that
    /// would exceed the `u32` range stay at its maximum.
    pub fn add_fleet_latency_counts(&mut self, late: u32, in_time: u32) {
        let counts = self.fleet_counts.get_or_insert_default();
        counts.late = counts.late.saturating_add(late);
        counts.in_time = counts.in_time.saturating_add(in_time);
    }

    /// Adds a timer that fires at `due_at_s`, in seconds of the monotonic clock. The policy gets `tag` when
    /// the timer fires.
    pub fn add_timer(&mut self, due_at_s: f64, tag: u64) {
        self.timers.push(PolicyTimer { due_at_s, tag });
    }

    /// When the next timer is due, in seconds of the monotonic clock; infinite if no timer is set.
    pub fn next_timer_s(&self) -> f64 {
        self.timers.iter().map(|timer| timer.due_at_s).fold(f64::INFINITY, f64::min)
    }

    /// Passes the observations of other cores and routers, and the latency counts of the fleet, to the
    /// policy.
    pub fn notify_observations(&mut self, policy: &mut dyn PolicyInput) {
        if let Some(FleetLatencyCounts { late, in_time }) = self.fleet_counts.take() {
            policy.fleet_latency_counts(late, in_time);
        }
        for (node, observation) in std::mem::take(&mut self.observations) {
            policy.node_observed(&node, observation);
        }
    }

    /// Passes the ids of queries that ended without a decision of the policy to the policy.
    pub fn notify_disconnected(&mut self, policy: &mut dyn PolicyInput) {
        for query_id in std::mem::take(&mut self.disconnected_queries) {
            policy.client_disconnected(&query_id);
        }
    }

    /// Removes the timers that are due at `now`, in seconds of the monotonic clock, and passes the tags of
    /// these timers to the policy.
    pub fn notify_timers(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        let due: Vec<u64> =
            self.timers.extract_if(.., |timer| timer.due_at_s <= now).map(|timer| timer.tag).collect();
        due.into_iter().for_each(|tag| policy.timer_fired(tag));
    }

    /// Drops the queries and timers of the failed policy; the restarted policy starts without them.
    /// Observations and latency counts are kept.
    pub fn clear_for_policy_restart(&mut self) {
        self.new_queries.clear();
        self.disconnected_queries.clear();
        self.timers.clear();
    }
}
