//! Decides how healthy each data node is, and with that which nodes are passed over or ejected.
//!
//! Inputs are the outcomes, latencies and ages in seconds of this core's own attempts, and observations that other cores
//! or routers share. A late node is passed over for a time that doubles while it stays late; one that cannot be reached,
//! fails repeatedly or answers nothing is ejected. This guards against crashed, hung, silent and slow nodes. It costs the
//! capacity of a sound node that paused, or that recovers while it is passed over. Times are on the clock that excludes
//! the router's own stalls.

use super::Policy;
use crate::interface::{AttemptOutcome, DecisionSink, NodeObservation, NodeState};

/// An answer, or an attempt without one, that takes this many times the delay for late attempts is far too late.
pub(super) const VERY_LATE_MULTIPLE: f64 = 2.5;
/// Consecutive failures from which a node is ejected.
const EJECTION_FAILURES: i32 = 2;
/// Ejection grows by this factor with each failure, up to the maximum factor.
const EJECTION_GROWTH: f64 = 1.6;
const EJECTION_FACTOR_MAX: f64 = 16.0;
const EJECTION_UNIT_MIN_S: f64 = 0.25;
/// By then discovery has reported a node that is really gone.
const EJECTION_MAX_S: f64 = 6.0;
/// A late node is passed over for this long for each router, as more routers try it more often in sum.
const AVOIDANCE_PER_ROUTER_S: f64 = 0.25;
const AVOIDANCE_PER_ROUTER_MAX_S: f64 = 15.0;
/// It grows by this factor while the node stays late, up to this far past its shortest time.
const AVOIDANCE_GROWTH: f64 = 2.0;
const AVOIDANCE_GROWTH_MAX_S: f64 = 10.0;
/// How long an unanswered attempt makes a node unresponsive for other cores; it is shared again while it lasts.
const UNANSWERED_SHARED_FOR_S: f64 = 0.5;
/// A finding is shared again when it lasts longer than was shared by this fraction.
const UNANSWERED_RESHARE_FRACTION: f64 = 0.5;
const RESHARE_FRACTION: f64 = 0.1;
/// Longest time for which a remote observation counts.
const REMOTE_MAX_S: f64 = 30.0;

/// How healthy a data node is, the best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Health {
    /// Takes its turn.
    #[default]
    Healthy,
    /// Passed over while another holder is healthy.
    Slow,
    /// Passed over while another holder is healthy or slow.
    VerySlow,
    /// Ejected: the last resort, for shard requests whose holders are all unresponsive.
    Unresponsive,
}

impl Health {
    /// Its rank in replica selection; the lowest goes first.
    pub fn rank(self) -> u8 {
        self as u8
    }
}

/// An attempt in flight at a node.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub started_at_stall_free_s: f64,
    /// The delay after which it is late, as of its start.
    pub late_after_s: f64,
}

/// What this core's own attempts showed of a node.
#[derive(Default)]
struct OwnObservations {
    /// When the node last answered.
    last_answer_at_s: f64,
    /// When an attempt last ended.
    last_outcome_at_s: f64,
    slow_until_s: f64,
    very_slow_until_s: f64,
    ejected_until_s: f64,
    /// For how long the node is passed over for being late.
    avoidance_s: f64,
    consecutive_failures: i32,
    last_connection_loss_at_s: f64,
    /// Whether an attempt has ended since the health was last shared.
    changed_since_shared: bool,
    shared: SharedHealth,
}

/// The health that was last shared, and until when it was said to hold.
#[derive(Clone, Copy, Default)]
struct SharedHealth {
    health: Health,
    until_s: f64,
}

/// What another core or router observed, when, and until when it counts. It is never shared on.
#[derive(Clone, Copy, Default)]
struct RemoteObservation {
    observed_at_s: f64,
    slow_until_s: f64,
    very_slow_until_s: f64,
    unresponsive_until_s: f64,
}

impl RemoteObservation {
    /// The health that the observation shows.
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
    /// The delay after which it was late.
    pub late_after_s: f64,
    /// The shortest latency objective of all query classes.
    pub shortest_objective_s: f64,
    pub router_count: f64,
}

impl EndedAttempt {
    pub fn is_late(&self) -> bool {
        self.latency_s > self.late_after_s
    }

    /// The shortest time for which a late node is passed over.
    fn avoidance_min_s(&self) -> f64 {
        (AVOIDANCE_PER_ROUTER_S * self.router_count).min(AVOIDANCE_PER_ROUTER_MAX_S)
    }
}

impl OwnObservations {
    /// Records how an attempt ended.
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
        // A connection breaks with all its attempts, which is one failure.
        let already_counted = attempt.outcome != AttemptOutcome::Error
            && std::mem::replace(&mut self.last_connection_loss_at_s, now_s) == now_s;
        if !already_counted {
            // A refused connection ejects the node at once.
            let failures = if attempt.outcome == AttemptOutcome::Unreachable { EJECTION_FAILURES } else { 1 };
            self.consecutive_failures += failures;
        }
        if self.consecutive_failures >= EJECTION_FAILURES {
            let factor = EJECTION_GROWTH.powi(self.consecutive_failures).min(EJECTION_FACTOR_MAX);
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
            // Where all holders are late at times, only being far too late tells a slow node from a sound one.
            if attempt.latency_s > VERY_LATE_MULTIPLE * attempt.late_after_s {
                self.very_slow_until_s = self.slow_until_s;
            }
        } else if attempt.outcome == AttemptOutcome::Success {
            self.avoidance_s = 0.0;
            (self.slow_until_s, self.very_slow_until_s) = (now_s, now_s);
        }
    }

    /// Ends all that own attempts have shown, as another core has since seen the node healthy.
    fn clear(&mut self, now_s: f64) {
        (self.avoidance_s, self.consecutive_failures) = (0.0, 0);
        self.shared = SharedHealth { health: Health::Healthy, until_s: now_s };
        self.slow_until_s = self.slow_until_s.min(now_s);
        self.very_slow_until_s = self.very_slow_until_s.min(now_s);
        self.ejected_until_s = self.ejected_until_s.min(now_s);
    }
}

/// What is known of a node's health.
#[derive(Default)]
pub(super) struct HealthRecord {
    /// What this core's own attempts showed.
    own: OwnObservations,
    /// What other cores or routers observed.
    remote: RemoteObservation,
}

impl HealthRecord {
    /// Records how an attempt ended.
    pub fn record(&mut self, now_s: f64, attempt: &EndedAttempt) {
        self.own.record(now_s, attempt);
    }

    /// When the node last answered here.
    pub fn last_answer_at_s(&self) -> f64 {
        self.own.last_answer_at_s
    }

    pub fn consecutive_failures(&self) -> i32 {
        self.own.consecutive_failures
    }

    /// The health that own attempts show, those in flight included.
    pub fn own_health<'a>(
        &self,
        now_s: f64,
        mut in_flight: impl Iterator<Item = &'a InFlightAttempt> + Clone,
    ) -> Health {
        // Age as a multiple of the delay after which the attempt is late.
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

    /// The health that other cores or routers observed.
    pub fn remote_health(&self, now_s: f64) -> Health {
        self.remote.health(now_s)
    }

    /// Takes in what another core or router observed, `age_s` seconds ago. What this core has observed itself since
    /// outranks it, which guards against wrong observations of a node that answers here. An observation of a healthy
    /// node ends what was held against it.
    pub fn record_remote(&mut self, now_s: f64, age_s: f64, observation: NodeObservation) {
        let observed_at_s = now_s - age_s;
        let NodeObservation { slow_for_s, very_slow_for_s, unresponsive_for_s, .. } = observation;
        let healthy = slow_for_s.max(very_slow_for_s).max(unresponsive_for_s) <= 0.0;
        let own_at_s = if healthy { self.own.last_outcome_at_s } else { self.own.last_answer_at_s };
        if age_s < 0.0 || observed_at_s <= own_at_s || observed_at_s <= self.remote.observed_at_s {
            return;
        }
        let until_s = |span_s: f64| observed_at_s + span_s.clamp(0.0, REMOTE_MAX_S);
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

    /// What other cores should know: own attempts show another health than was shared, or the same for longer, or the
    /// node answers here though others observed that it does not. `started_at_s` is its start, `clock_s` the monotonic clock.
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

    /// How long a shard request may have to wait for this node while it is unresponsive; `own` is the health that own
    /// attempts show, `oldest_age_s` the age of the oldest in flight.
    fn time_until_readmission_s(&self, now_s: f64, own: Health, oldest_age_s: f64) -> f64 {
        // A node that answers nothing is expected to do so for as long again as it has.
        let unanswered_s = if own == Health::Unresponsive { oldest_age_s } else { 0.0 };
        let ejected_until_s = self.own.ejected_until_s.max(self.remote.unresponsive_until_s);
        (ejected_until_s - now_s).max(unanswered_s)
    }
}

impl Policy {
    /// Updates the health of all nodes, shares and logs what changed, and forgets removed nodes with nothing in flight.
    pub(super) fn update_node_health(&mut self, sink: &mut dyn DecisionSink) {
        let (now_s, clock_s) = (self.now_stall_free_s, self.now_s);
        let shares_observations = self.shared_limits.is_shared();
        let mut any_gone = false;
        for (id, node) in &mut self.nodes {
            any_gone |= node.is_gone();
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
        if any_gone {
            self.nodes.retain(|_, node| !node.is_gone());
        }
    }

    /// Records at its node how an attempt ended.
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
