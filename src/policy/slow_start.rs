//! Decides how much a data node that has just started may be sent while it warms up.
//!
//! Inputs are the node's age in seconds, the stated rule ([`SlowStartConfig`]), the number of routers that share the
//! node, and the work in seconds already sent to it. Each router keeps to its fraction of the load that would overload
//! the node, counted for a node of one core, so that all routers together stay below it. It costs a node with more
//! cores some load until it is warm. On several cores of a router only one sends at a time
//! ([`crate::interface::SharedLimits::try_slow_start_turn`]).

use super::CHECK_INTERVAL_S;
use crate::interface::SlowStartConfig;
use std::collections::VecDeque;

/// Factor on the quota of a window. Work is estimated from latencies, which contain some queueing.
const WINDOW_QUOTA_FACTOR: f64 = 1.3;
/// Factor on the work of a single request in its interval, for rounding.
const SINGLE_REQUEST_FACTOR: f64 = 1.001;

/// Work that was sent to a node.
struct SentWork {
    at_s: f64,
    work_s: f64,
}

/// What a node that may be warming up has been sent.
pub(super) struct WarmUpLoad {
    sent: VecDeque<SentWork>,
    /// This router's place, from 0 to 1, among the routers that send single requests in turn, so that they do not all
    /// send at once.
    phase: f64,
}

impl WarmUpLoad {
    pub fn new(phase: f64) -> Self {
        WarmUpLoad { sent: VecDeque::new(), phase }
    }

    /// Records work sent now; what is older than `keep_s` seconds is dropped.
    pub fn record(&mut self, now_s: f64, work_s: f64, keep_s: f64) {
        self.sent.retain(|sent| sent.at_s >= now_s - keep_s);
        self.sent.push_back(SentWork { at_s: now_s, work_s });
    }

    /// Takes all of the node's quota as used now.
    pub fn mark_exhausted(&mut self, now_s: f64) {
        self.sent.push_back(SentWork { at_s: now_s, work_s: f64::INFINITY });
    }

    /// Seconds of work sent since a moment.
    fn sent_since(&self, since_s: f64) -> f64 {
        self.sent.iter().filter(|sent| sent.at_s >= since_s).map(|sent| sent.work_s).sum()
    }
}

/// How much a node may be sent now.
pub(super) struct NodeCapacity {
    /// Shard requests.
    pub requests: usize,
    /// For how many seconds no other core of this router may send to it; 0 for a node that is not warming up.
    pub exclusive_for_s: f64,
}

/// What a warming node's capacity is worked out from.
#[derive(Clone, Copy)]
pub(super) struct CapacityInputs {
    pub now_s: f64,
    /// Work of one shard request.
    pub request_work_s: f64,
    /// Routers that share the node.
    pub router_count: f64,
    pub slow_start: Option<SlowStartConfig>,
    /// Most shard requests in one attempt.
    pub max_batch: usize,
}

/// Seconds for which work sent to a node counts by the rule.
pub(super) fn warm_up_memory_s(slow_start: Option<SlowStartConfig>) -> f64 {
    slow_start.map_or(0.0, |rule| rule.warm_up_s + rule.window_s)
}

/// This router's quota in seconds of work a second, of a node that started `age_s` seconds ago.
fn quota(rule: &SlowStartConfig, age_s: f64, router_count: f64) -> f64 {
    let cold_fraction = 1.0 - rule.initial_fraction;
    let warm_fraction =
        rule.initial_fraction + cold_fraction * (age_s - rule.window_s).max(0.0) / rule.warm_up_s;
    rule.capacity_multiple * warm_fraction.min(1.0) / router_count
}

/// The rule, and the age in seconds of a node that is warming up.
fn warm_up(inputs: &CapacityInputs, started_at_s: Option<f64>) -> Option<(SlowStartConfig, f64)> {
    let (rule, started_at_s) = (inputs.slow_start?, started_at_s?);
    let age_s = (inputs.now_s - started_at_s).max(0.0);
    Some((rule, age_s)).filter(|_| age_s < rule.warm_up_s + rule.window_s)
}

impl WarmUpLoad {
    /// How much a node may be sent now that started at `started_at_s` and whose concurrency limit leaves `free` slots. A
    /// node that is warm takes a whole batch where it takes anything, past its concurrency limit: under overload single
    /// requests would each pay for an attempt.
    pub fn capacity(&self, inputs: &CapacityInputs, started_at_s: Option<f64>, free: usize) -> NodeCapacity {
        let Some((rule, age_s)) = warm_up(inputs, started_at_s) else {
            let requests = if free > 0 { inputs.max_batch } else { 0 };
            return NodeCapacity { requests, exclusive_for_s: 0.0 };
        };
        let (work_s, quota) = (inputs.request_work_s, quota(&rule, age_s, inputs.router_count));
        // A quota below one request a window is one request in as long as the quota takes to earn it.
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
