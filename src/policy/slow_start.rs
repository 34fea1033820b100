//! Decides how much work a data node that has just started may be sent while it warms up.
//!
//! Inputs are the node's age in seconds, the configured rule ([`SlowStartConfig`]), the number of routers
//! that share the node, and the work already sent to it. Work is the estimated processing time of shard
//! requests in seconds. A quota is the work that a router may send to the node per second. Each router sends
//! at most its fraction of the load that would overload a node with one core, so that all routers together
//! stay below that load. The cost: a node with more cores gets less load than it could take until it is warm.
//! Of several cores of a router, only one sends to the node at a time
//! ([`crate::interface::SharedLimits::try_slow_start_turn`]).

use super::CHECK_INTERVAL_S;
use crate::interface::SlowStartConfig;
use std::collections::VecDeque;

/// Factor on the work that may be sent within a window, as the estimate of work is based on latencies and
/// therefore includes some queueing.
const WINDOW_QUOTA_FACTOR: f64 = 1.3;
/// Factor on the work of a single request, as a tolerance for rounding.
const SINGLE_REQUEST_FACTOR: f64 = 1.001;

/// Work sent to a node at one time.
struct SentWork {
    at_s: f64,
    work_s: f64,
}

/// The work, in seconds, sent to a node within the period that the slow-start rule needs.
pub(super) struct WarmUpLoad {
    sent: VecDeque<SentWork>,
    /// Fraction of the interval between single requests that this router waits after the node's start before
    /// it sends its first one, from 0 to 1. The fraction is random, so that not all routers send at the same
    /// time.
    phase: f64,
}

impl WarmUpLoad {
    pub fn new(phase: f64) -> Self {
        WarmUpLoad { sent: VecDeque::new(), phase }
    }

    /// Records work sent now; drops entries older than `keep_s` seconds.
    pub fn record(&mut self, now_s: f64, work_s: f64, keep_s: f64) {
        self.sent.retain(|sent| sent.at_s >= now_s - keep_s);
        self.sent.push_back(SentWork { at_s: now_s, work_s });
    }

    /// Marks this router's quota at the node as used up at `now_s`. This router then sends nothing to the
    /// node until `now_s` is outside the period over which [`WarmUpLoad::capacity`] sums the work that was
    /// sent.
    pub fn mark_exhausted(&mut self, now_s: f64) {
        self.sent.push_back(SentWork { at_s: now_s, work_s: f64::INFINITY });
    }

    /// The work that this core has sent to the node since `since_s`, in seconds of estimated processing time.
    fn sent_since(&self, since_s: f64) -> f64 {
        self.sent.iter().filter(|sent| sent.at_s >= since_s).map(|sent| sent.work_s).sum()
    }
}

/// The number of shard requests that a node may be sent now, and the restriction on other cores that this
/// implies.
pub(super) struct NodeCapacity {
    /// Number of shard requests that this core may send to the node now.
    pub requests: usize,
    /// Seconds for which no other core of this router may send to the node; 0 for a node that is not warming
    /// up.
    pub exclusive_for_s: f64,
}

/// The inputs of a node's capacity.
#[derive(Clone, Copy)]
pub(super) struct CapacityInputs {
    pub now_s: f64,
    /// Estimated processing time of one shard request at the node, in seconds, without queueing.
    pub request_work_s: f64,
    /// Number of routers that share the node.
    pub router_count: f64,
    pub slow_start: Option<SlowStartConfig>,
    /// Maximum number of shard requests in one attempt.
    pub max_batch: usize,
}

/// Seconds for which the slow-start rule needs the records of work sent to a node.
pub(super) fn warm_up_history_s(slow_start: Option<SlowStartConfig>) -> f64 {
    slow_start.map_or(0.0, |rule| rule.warm_up_s + rule.window_s)
}

/// This router's quota for a node that started `age_s` seconds ago, in seconds of work per second.
fn quota(rule: &SlowStartConfig, age_s: f64, router_count: f64) -> f64 {
    let cold_fraction = 1.0 - rule.initial_fraction;
    let warm_fraction =
        rule.initial_fraction + cold_fraction * (age_s - rule.window_s).max(0.0) / rule.warm_up_s;
    rule.capacity_multiple * warm_fraction.min(1.0) / router_count
}

/// The slow-start rule and the node's age in seconds, if the node is warming up.
fn warm_up(inputs: &CapacityInputs, started_at_s: Option<f64>) -> Option<(SlowStartConfig, f64)> {
    let (rule, started_at_s) = (inputs.slow_start?, started_at_s?);
    let age_s = (inputs.now_s - started_at_s).max(0.0);
    Some((rule, age_s)).filter(|_| age_s < rule.warm_up_s + rule.window_s)
}

impl WarmUpLoad {
    /// The capacity of a node that started at `started_at_s` and whose concurrency limit allows `free`
    /// further shard requests. A warm node for which `free` is not 0 may be sent a whole batch, even beyond
    /// its concurrency limit: under overload requests would otherwise be sent singly, each with the overhead
    /// of an attempt.
    pub fn capacity(&self, inputs: &CapacityInputs, started_at_s: Option<f64>, free: usize) -> NodeCapacity {
        let Some((rule, age_s)) = warm_up(inputs, started_at_s) else {
            let requests = if free > 0 { inputs.max_batch } else { 0 };
            return NodeCapacity { requests, exclusive_for_s: 0.0 };
        };
        let (work_s, quota) = (inputs.request_work_s, quota(&rule, age_s, inputs.router_count));
        // If the quota allows less than one request per window, one request is sent every `work_s / quota`
        // seconds.
        let single_requests = work_s > quota * rule.window_s;
        let (interval_s, limit_s) = if single_requests {
            (work_s / quota, SINGLE_REQUEST_FACTOR * work_s)
        } else {
            (rule.window_s, WINDOW_QUOTA_FACTOR * quota * rule.window_s)
        };
        let exclusive_for_s = interval_s + CHECK_INTERVAL_S;
        if single_requests && age_s < self.phase * interval_s {
            return NodeCapacity { requests: 0, exclusive_for_s };
        }
        let sent_s = self.sent_since(inputs.now_s - interval_s - CHECK_INTERVAL_S);
        let within_quota = ((limit_s - sent_s) / work_s).max(0.0) as usize;
        NodeCapacity { requests: free.min(inputs.max_batch).min(within_quota), exclusive_for_s }
    }
}
