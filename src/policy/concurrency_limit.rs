//! Decides how many shard requests one core of a router may have in flight to one data node.
//!
//! Inputs are the outcomes and latencies of the node's attempts. The limit uses additive increase and
//! multiplicative decrease, so that requests queue at the router, where they can still go to another node,
//! and not at the node. The cost: throughput is lower if requests take long even on an idle node.

use crate::interface::AttemptOutcome;

/// Initial limit, in shard requests, of a node that is warm when it appears in the endpoint list, and of one
/// that is warming up.
const INITIAL_LIMIT: f64 = 4.0;
const INITIAL_LIMIT_WARMING_UP: f64 = 1.0;
const LIMIT_MIN: f64 = 1.0;
const LIMIT_MAX: f64 = 24.0;
/// An answer raises the limit if the answer's latency is below `FAST_ANSWER_FRACTION` of the shortest latency
/// objective of all query classes, and lowers the limit if the latency is above `SLOW_ANSWER_FRACTION` of the
/// objective.
const FAST_ANSWER_FRACTION: f64 = 0.15;
const SLOW_ANSWER_FRACTION: f64 = 0.25;
/// Factors on the limit after a slow answer and after a rejection.
const DECREASE_WHEN_SLOW: f64 = 0.85;
const DECREASE_WHEN_REJECTED: f64 = 0.6;

/// The limit of one data node.
pub(super) struct ConcurrencyLimit {
    limit: f64,
}

/// An ended attempt as a sample of its node's load.
pub(super) struct LoadSample {
    pub outcome: AttemptOutcome,
    pub latency_s: f64,
    /// The shortest latency objective of all query classes, in seconds.
    pub shortest_objective_s: f64,
    /// Whether the latency exceeded the delay after which an attempt is late.
    pub late: bool,
    /// Whether the node has answered any attempt of this core since this attempt started.
    pub answered_since: bool,
}

impl ConcurrencyLimit {
    pub fn new(warming_up: bool) -> Self {
        ConcurrencyLimit { limit: if warming_up { INITIAL_LIMIT_WARMING_UP } else { INITIAL_LIMIT } }
    }

    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Number of shard requests that the limit allows to start in addition to the `in_flight` ones.
    pub fn additional_requests_allowed(&self, in_flight: usize) -> usize {
        (self.limit - in_flight as f64).max(0.0).floor() as usize
    }

    pub fn record(&mut self, sample: &LoadSample) {
        match sample.outcome {
            AttemptOutcome::Success => {
                if sample.latency_s < FAST_ANSWER_FRACTION * sample.shortest_objective_s {
                    self.limit = (self.limit + 1.0 / self.limit).min(LIMIT_MAX);
                } else if sample.latency_s > SLOW_ANSWER_FRACTION * sample.shortest_objective_s {
                    self.decrease(DECREASE_WHEN_SLOW);
                }
            }
            AttemptOutcome::Rejected => self.decrease(DECREASE_WHEN_REJECTED),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if sample.late => {
                if sample.answered_since {
                    self.decrease(DECREASE_WHEN_SLOW);
                } else {
                    // The node may be down: only a single request is sent to it until an attempt succeeds.
                    self.limit = LIMIT_MIN;
                }
            }
            _ => {}
        }
    }

    fn decrease(&mut self, factor: f64) {
        self.limit = (self.limit * factor).max(LIMIT_MIN);
    }
}
