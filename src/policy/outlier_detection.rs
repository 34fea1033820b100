//! Decides how healthy each data node is, and thereby which nodes are avoided or ejected.
//!
//! Inputs are the outcomes, latencies and ages in seconds of this core's own attempts, and observations that
//! other cores or routers share. A node with late attempts is avoided for a time that doubles while its
//! attempts stay late. A node that cannot be reached, fails repeatedly or answers nothing is ejected. This
//! limits the damage of crashed, hung, silent and slow nodes. The cost: the capacity of a healthy node that
//! paused for a moment, or that recovers while it is avoided, is not used. Times are in seconds on the clock
//! that excludes the router's own stalls.

use super::Policy;
use crate::interface::{AttemptOutcome, DecisionSink, NodeObservation, NodeState};

/// An attempt is very late once its age exceeds the delay after which it is late by this factor.
pub(super) const VERY_LATE_MULTIPLE: f64 = 2.5;
/// A node is ejected after this number of consecutive failures.
const EJECTION_FAILURES: u32 = 2;
/// The duration of an ejection grows by this factor with each consecutive failure, up to the maximum factor.
const EJECTION_GROWTH: f64 = 1.6;
const EJECTION_FACTOR_MAX: f64 = 16.0;
/// An ejection lasts for the avoidance time's minimum multiplied by the factor above. This constant is used
/// instead of that minimum if the minimum is shorter.
const EJECTION_UNIT_MIN_S: f64 = 0.25;
/// Longest ejection. Within this time discovery removes a node that no longer exists from the endpoint list.
const EJECTION_MAX_S: f64 = 6.0;
/// Time per router for which a late node is avoided. The time is proportional to the number of routers, so
/// that all routers together send to the node equally often whatever their number.
const AVOIDANCE_PER_ROUTER_S: f64 = 0.25;
const AVOIDANCE_PER_ROUTER_MAX_S: f64 = 15.0;
/// The avoidance time is the number of seconds for which a node is avoided after a late or rejected attempt.
/// Each late or rejected attempt multiplies the time by `AVOIDANCE_GROWTH`. The time never
/// exceeds its minimum by more than `AVOIDANCE_GROWTH_MAX_S`.
const AVOIDANCE_GROWTH: f64 = 2.0;
const AVOIDANCE_GROWTH_MAX_S: f64 = 10.0;
/// If an attempt of this core is unanswered, the core shares an observation, and other cores then regard the
/// node as unresponsive for this time. While the attempt stays unanswered, the core shares the observation
/// again.
const UNANSWERED_SHARED_FOR_S: f64 = 0.5;
/// An observation is shared again if the new end of the state exceeds the end that was shared last by more
/// than this fraction of the remaining time: first for unanswered attempts, then for other states.
const UNANSWERED_RESHARE_FRACTION: f64 = 0.5;
const RESHARE_FRACTION: f64 = 0.1;
/// Longest time for which an observation of another core or router is used.
const REMOTE_MAX_S: f64 = 30.0;

/// How healthy a data node is, the best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Health {
    /// Selected by round robin.
    #[default]
    Healthy,
    /// Avoided while another holder is healthy.
    Slow,
    /// Avoided while another holder is healthy or slow.
    VerySlow,
    /// Ejected: used only for shard requests whose holders are all unresponsive.
    Unresponsive,
}

impl Health {
    /// The rank in replica selection; the lowest is preferred.
    pub fn rank(self) -> u8 {
        self as u8
    }
}

/// An attempt in flight to a node.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub started_at_stall_free_s: f64,
    /// The delay after which the attempt is late, as estimated at its start.
    pub late_after_s: f64,
}

/// The health of a node according to this core's own attempts.
#[derive(Default)]
struct OwnObservations {
    /// When the node last answered this core, be it with a success or a rejection.
    last_answer_at_s: f64,
    /// When an attempt of this core at the node last ended, with any outcome.
    last_outcome_at_s: f64,
    slow_until_s: f64,
    very_slow_until_s: f64,
    ejected_until_s: f64,
    /// Current avoidance time: seconds for which the node is avoided after a late or rejected attempt.
    avoidance_s: f64,
    consecutive_failures: u32,
    last_connection_loss_at_s: f64,
    /// Whether an attempt has ended since [`HealthRecord::observation_to_share`] last checked for a change.
    changed_since_shared: bool,
    shared: SharedHealth,
}

/// The health in the observation that this core shared last, and the time until which the node counts as
/// being in that state.
#[derive(Clone, Copy, Default)]
struct SharedHealth {
    health: Health,
    until_s: f64,
}

/// The latest observation by another core or router, with the end of each state. The observation is not
/// forwarded.
#[derive(Clone, Copy, Default)]
struct RemoteObservation {
    observed_at_s: f64,
    slow_until_s: f64,
    very_slow_until_s: f64,
    unresponsive_until_s: f64,
}

impl RemoteObservation {
    /// The node's health according to this observation.
    pub fn health(&self, now_s: f64) -> Health {
        match () {
            _ if self.unresponsive_until_s > now_s => Health::Unresponsive,
            _ if self.very_slow_until_s > now_s => Health::VerySlow,
            _ if self.slow_until_s > now_s => Health::Slow,
            _ => Health::Healthy,
        }
    }
}

/// An attempt that ended.
pub(super) struct EndedAttempt {
    pub outcome: AttemptOutcome,
    pub latency_s: f64,
    /// The delay in seconds after which the attempt counts as late.
    pub late_after_s: f64,
    /// The shortest latency objective of all query classes, in seconds.
    pub shortest_objective_s: f64,
    pub router_count: f64,
}

impl EndedAttempt {
    pub fn is_late(&self) -> bool {
        self.latency_s > self.late_after_s
    }

    /// The shortest time for which a late node is avoided.
    fn avoidance_min_s(&self) -> f64 {
        (AVOIDANCE_PER_ROUTER_S * self.router_count).min(AVOIDANCE_PER_ROUTER_MAX_S)
    }
}

impl OwnObservations {
    /// Records the end of an attempt.
    pub fn record(&mut self, now_s: f64, attempt: &EndedAttempt) {
        (self.changed_since_shared, self.last_outcome_at_s) = (true, now_s);
        match attempt.outcome {
            AttemptOutcome::Success => {
                self.last_answer_at_s = now_s;
                self.consecutive_failures = 0;
                self.ejected_until_s = now_s;
            }
            AttemptOutcome::Rejected => self.last_answer_at_s = now_s,
            AttemptOutcome::Error | AttemptOutcome::Unreachable | AttemptOutcome::ConnectionReset => {
                self.record_failure(now_s, attempt);
            }
            _ => {}
        }
        self.update_avoidance(now_s, attempt);
    }

    fn record_failure(&mut self, now_s: f64, attempt: &EndedAttempt) {
        // When a connection breaks, all attempts on the connection end in the same round; they count as one
        // failure.
        let already_counted = attempt.outcome != AttemptOutcome::Error
            && std::mem::replace(&mut self.last_connection_loss_at_s, now_s) == now_s;
        if !already_counted {
            // An unreachable node is ejected after a single failure.
            let failures = if attempt.outcome == AttemptOutcome::Unreachable { EJECTION_FAILURES } else { 1 };
            self.consecutive_failures += failures;
        }
        if self.consecutive_failures >= EJECTION_FAILURES {
            let factor = EJECTION_GROWTH.powi(self.consecutive_failures as i32).min(EJECTION_FACTOR_MAX);
            let unit_s = attempt.avoidance_min_s().max(EJECTION_UNIT_MIN_S);
            self.ejected_until_s = now_s + (factor * unit_s).min(EJECTION_MAX_S);
        }
    }

    fn update_avoidance(&mut self, now_s: f64, attempt: &EndedAttempt) {
        if attempt.is_late() || attempt.outcome == AttemptOutcome::Rejected {
            let shortest_s = attempt.avoidance_min_s();
            self.avoidance_s =
                (self.avoidance_s * AVOIDANCE_GROWTH).clamp(shortest_s, shortest_s + AVOIDANCE_GROWTH_MAX_S);
            self.slow_until_s = now_s + self.avoidance_s;
            // If all holders are late at times, only a very late attempt distinguishes a slow node from a
            // healthy one.
            if attempt.latency_s > VERY_LATE_MULTIPLE * attempt.late_after_s {
                self.very_slow_until_s = self.slow_until_s;
            }
        } else if attempt.outcome == AttemptOutcome::Success {
            self.avoidance_s = 0.0;
            (self.slow_until_s, self.very_slow_until_s) = (now_s, now_s);
        }
    }

    /// Resets the health to healthy, after another core has observed that the node is healthy.
    fn clear(&mut self, now_s: f64) {
        (self.avoidance_s, self.consecutive_failures) = (0.0, 0);
        self.shared = SharedHealth { health: Health::Healthy, until_s: now_s };
        self.slow_until_s = self.slow_until_s.min(now_s);
        self.very_slow_until_s = self.very_slow_until_s.min(now_s);
        self.ejected_until_s = self.ejected_until_s.min(now_s);
    }
}

/// The observations of a node's health.
#[derive(Default)]
pub(super) struct HealthRecord {
    /// From this core's own attempts.
    own: OwnObservations,
    /// From another core or router.
    remote: RemoteObservation,
}

impl HealthRecord {
    /// Records the end of an attempt.
    pub fn record(&mut self, now_s: f64, attempt: &EndedAttempt) {
        self.own.record(now_s, attempt);
    }

    /// When the node last answered this core.
    pub fn last_answer_at_s(&self) -> f64 {
        self.own.last_answer_at_s
    }

    pub fn consecutive_failures(&self) -> u32 {
        self.own.consecutive_failures
    }

    /// The node's health according to this core's own attempts, including those in flight.
    pub fn own_health<'a>(
        &self,
        now_s: f64,
        mut in_flight: impl Iterator<Item = &'a InFlightAttempt> + Clone,
    ) -> Health {
        // The attempt's age, as a multiple of the delay after which it is late.
        let multiple =
            |attempt: &InFlightAttempt| (now_s - attempt.started_at_stall_free_s) / attempt.late_after_s;
        let oldest = in_flight.clone().map(multiple).fold(0.0, f64::max);
        let unanswered = in_flight.any(|attempt| {
            multiple(attempt) > VERY_LATE_MULTIPLE
                && self.own.last_answer_at_s < attempt.started_at_stall_free_s
        });
        match () {
            _ if self.own.ejected_until_s > now_s || unanswered => Health::Unresponsive,
            _ if self.own.very_slow_until_s > now_s => Health::VerySlow,
            _ if oldest > 1.0 || self.own.slow_until_s > now_s => Health::Slow,
            _ => Health::Healthy,
        }
    }

    /// The node's health according to the latest observation that another core or router has shared.
    pub fn remote_health(&self, now_s: f64) -> Health {
        self.remote.health(now_s)
    }

    /// Records an observation that another core or router made `age_s` seconds ago. The observation is
    /// ignored if the node has answered this core since then, so that a wrong observation does not eject a
    /// node that answers this core; an observation of a healthy node is ignored if any attempt of this core
    /// has ended since then. An observation of a healthy node resets this core's own observations.
    pub fn record_remote(&mut self, now_s: f64, age_s: f64, observation: NodeObservation) {
        let observed_at_s = now_s - age_s;
        let NodeObservation { slow_for_s, very_slow_for_s, unresponsive_for_s, .. } = observation;
        let healthy = slow_for_s.max(very_slow_for_s).max(unresponsive_for_s) <= 0.0;
        let own_at_s = if healthy { self.own.last_outcome_at_s } else { self.own.last_answer_at_s };
        if age_s < 0.0 || observed_at_s <= own_at_s || observed_at_s <= self.remote.observed_at_s {
            return;
        }
        let until_s = |duration_s: f64| observed_at_s + duration_s.clamp(0.0, REMOTE_MAX_S);
        self.remote = RemoteObservation {
            observed_at_s,
            slow_until_s: until_s(slow_for_s),
            very_slow_until_s: until_s(very_slow_for_s),
            unresponsive_until_s: until_s(unresponsive_for_s),
        };
        if healthy {
            self.own.clear(now_s);
        }
    }

    /// Returns an observation to share with other cores if the node's health according to this core's own
    /// attempts differs from the health that was shared last, lasts longer, or contradicts the observation of
    /// another core. Marks the returned observation as shared. `started_at_s` is when the node's process
    /// started and `clock_s` the current time, both on the monotonic clock; `now_s` is the current time on
    /// the clock that excludes this router's stalls.
    pub fn observation_to_share(
        &mut self,
        started_at_s: Option<f64>,
        now_s: f64,
        clock_s: f64,
        own: Health,
    ) -> Option<NodeObservation> {
        let contradicted = self.remote.health(now_s) > Health::Healthy
            && self.remote.observed_at_s < self.own.last_answer_at_s
            && self.own.slow_until_s <= now_s;
        let left_s = |until_s: f64| (until_s - now_s).max(0.0);
        let unanswered = own == Health::Unresponsive && self.own.ejected_until_s <= now_s;
        let unresponsive_for_s =
            if unanswered { UNANSWERED_SHARED_FOR_S } else { left_s(self.own.ejected_until_s) };
        let until_s = now_s + unresponsive_for_s.max(left_s(self.own.slow_until_s));
        let margin_s = if unanswered {
            UNANSWERED_RESHARE_FRACTION * UNANSWERED_SHARED_FOR_S
        } else {
            RESHARE_FRACTION * (until_s - now_s)
        };
        let lasts_longer = own > Health::Healthy && until_s > self.own.shared.until_s + margin_s;
        if !(unanswered || std::mem::take(&mut self.own.changed_since_shared)) {
            return None;
        }
        if !(own != self.own.shared.health || lasts_longer || contradicted) {
            return None;
        }
        self.own.shared = SharedHealth { health: own, until_s };
        if contradicted {
            self.remote = RemoteObservation {
                observed_at_s: self.own.last_answer_at_s,
                ..RemoteObservation::default()
            };
        }
        Some(NodeObservation {
            started_at_s,
            observed_at_s: clock_s,
            slow_for_s: left_s(self.own.slow_until_s),
            very_slow_for_s: left_s(self.own.very_slow_until_s),
            unresponsive_for_s,
        })
    }

    /// Expected seconds until an unresponsive node is used again. `own` is the node's health according to
    /// this core's own attempts, `oldest_age_s` is the age in seconds of the oldest attempt in flight.
    fn time_until_readmission_s(&self, now_s: f64, own: Health, oldest_age_s: f64) -> f64 {
        // A node that has not answered for some time is expected not to answer for the same time again.
        let unanswered_s = if own == Health::Unresponsive { oldest_age_s } else { 0.0 };
        let ejected_until_s = self.own.ejected_until_s.max(self.remote.unresponsive_until_s);
        (ejected_until_s - now_s).max(unanswered_s)
    }
}

impl Policy {
    /// Updates the health of all nodes, shares and logs changes, and drops removed nodes that have no attempt
    /// in flight.
    pub(super) fn update_node_health(&mut self, sink: &mut dyn DecisionSink) {
        let (now_s, clock_s) = (self.now_stall_free_s, self.now_s);
        let shares_observations = self.shared_limits.has_several_cores();
        let mut any_removable = false;
        for (id, node) in &mut self.nodes {
            any_removable |= node.is_removable();
            let record = &mut node.health_record;
            let own = record.own_health(now_s, node.in_flight.values());
            let health = own.max(record.remote_health(now_s));
            if shares_observations
                && let Some(observation) = record.observation_to_share(node.started_at_s, now_s, clock_s, own)
            {
                sink.share_observation(id, observation);
            }
            let ejected = health == Health::Unresponsive;
            if ejected != (node.health == Health::Unresponsive) && node.state != NodeState::Removed {
                sink.log(&node.ejection_log_line(id, ejected));
            }
            node.health = health;
            node.expected_wait_s = if ejected {
                let oldest_age_s = node.oldest_attempt_age_s(now_s);
                node.health_record.time_until_readmission_s(now_s, own, oldest_age_s)
            } else {
                0.0
            };
        }
        if any_removable {
            self.nodes.retain(|_, node| !node.is_removable());
        }
    }

    /// Records the outcome and latency of an ended attempt in the record of its node.
    pub(super) fn record_node_outcome(
        &mut self,
        node: &str,
        outcome: AttemptOutcome,
        latency_s: f64,
        late_after_s: f64,
    ) {
        let objectives_s = self.classes.iter().map(|class| class.config.latency_objective_s);
        let shortest_objective_s = objectives_s.fold(f64::MAX, f64::min);
        let router_count = self.router_count;
        if let Some(node) = self.nodes.get_mut(node) {
            let attempt =
                EndedAttempt { outcome, latency_s, late_after_s, shortest_objective_s, router_count };
            node.record_outcome(self.now_stall_free_s, &attempt);
        }
    }
}
