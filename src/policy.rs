//! The decisions of a query router, or of one of its cores: which queries are admitted, which data node each
//! attempt goes to, when an attempt is hedged or retried, and when a query is answered.
//!
//! The host calls [`Policy::round`], in which it delivers events through [`PolicyInput`] and receives every
//! decision through a [`DecisionSink`]. This file defines the order of the steps of a round. Each step has
//! its own module with documentation of its decisions, their inputs and their reasons. `docs/design.md`
//! describes the whole design.
//!
//! Times are in seconds. Names that contain `stall_free` are on a clock that excludes the router's own
//! stalls, all others on the host's monotonic clock. An attempt is late once its age exceeds a delay that the
//! module `latency` estimates. Serving nodes that hold a shard are its holders. The work of a request is its
//! processing time at the node in seconds, without queueing.

mod admission;
mod attempts_by_age;
mod client_retry;
mod completion;
mod concurrency_limit;
mod config_changes;
mod events;
mod hedge_success;
mod hedging;
mod latency;
mod node;
mod outlier_detection;
mod query;
mod random;
mod replica_selection;
mod retry;
mod retry_budget;
mod shard_changes;
mod slow_start;
mod tenant_quota;
mod weights;

use crate::interface::{
    DecisionSink, PolicyConfig, PolicyInput, RouterCapabilities, ShardPlacement, SharedLimits,
    SlowStartConfig,
};
use admission::LoadShedding;
use attempts_by_age::AttemptsByAge;
use hedge_success::HedgeStats;
use latency::{ClassState, LatencyWindow};
use node::Node;
use query::{Query, ShardAndClass, ShardRequestPosition};
use random::Pcg;
use retry_budget::RetryTokenConfig;
use std::collections::{BTreeMap, BTreeSet};
use tenant_quota::TenantQuota;

/// Time between two checks of the open queries.
const CHECK_INTERVAL_S: f64 = 0.010;
/// A decision that has to take effect before a deadline or an objective is made this long before it.
const ANSWER_MARGIN_S: f64 = 0.030;
/// If more than this number of check intervals pass between two rounds while a timer is set, the router has
/// stalled.
const STALL_CHECK_INTERVALS: f64 = 5.0;
/// Tag of the policy's only timer, which triggers the next check of open queries and polling of the endpoint
/// list.
const CHECK_TIMER_TAG: u64 = 1;

/// The decisions of one query router, or of one core of it.
#[derive(Default)]
pub struct Policy {
    now_s: f64,
    /// Time in seconds on a clock that excludes the router's own stalls, as a stall would make every attempt
    /// look late.
    now_stall_free_s: f64,
    random: Pcg,
    router_count: f64,
    /// Query classes by their index.
    classes: Vec<ClassState>,
    tenants: Vec<TenantQuota>,
    placement: ShardPlacement,
    capabilities: RouterCapabilities,
    slow_start: Option<SlowStartConfig>,
    shared_limits: SharedLimits,
    retry_tokens: RetryTokenConfig,
    nodes: BTreeMap<String, Node>,
    /// Ids of serving nodes by replica group. Changes of the endpoint list clear this map; the next round
    /// fills it.
    serving_nodes: BTreeMap<u32, Vec<String>>,
    shards: BTreeMap<u32, ShardState>,
    /// Pairs of shard and query class for which no holder has capacity for a first attempt in this round.
    exhausted_shards: BTreeSet<ShardAndClass>,
    queries: BTreeMap<u64, Query>,
    shard_requests: BTreeMap<String, ShardRequestPosition>,
    attempts_in_flight: AttemptsByAge,
    hedge_stats: HedgeStats,
    /// Number of attempts that this policy has started.
    attempts_started: u64,
    /// Estimated number of client retries to expect after queries that were not answered.
    unserved_queries: f64,
    load_shedding: LoadShedding,
    poll_endpoints_at_s: f64,
    timer_set: bool,
    /// Until this time a query has at most one attempt in flight while none of its shard requests has
    /// succeeded, as a node that crashed during an attempt may be warming up.
    single_attempts_until_s: f64,
}

/// The latencies of a shard, and where round robin over its holders begins.
#[derive(Default)]
struct ShardState {
    /// Index of the holder at which round robin begins, modulo the number of holders.
    round_robin_offset: usize,
    latencies: LatencyWindow,
}

impl ShardState {
    fn new(round_robin_offset: usize) -> Self {
        ShardState { round_robin_offset, latencies: LatencyWindow::default() }
    }
}

impl Policy {
    /// Creates a policy with an empty endpoint list. `seed` is the seed of the policy's random number
    /// generator.
    pub fn new(seed: u64, config: PolicyConfig) -> Self {
        let polls_endpoints = config.capabilities.polls_endpoints;
        let policy = Policy {
            random: Pcg::from_seed(seed),
            router_count: config.router_count.max(1) as f64,
            classes: config.query_classes.into_iter().map(ClassState::new).collect(),
            tenants: config.tenants.into_iter().map(|tenant| TenantQuota::new(tenant, 0.0)).collect(),
            placement: config.placement,
            capabilities: config.capabilities,
            slow_start: config.slow_start,
            retry_tokens: RetryTokenConfig::new(config.retry_budget),
            poll_endpoints_at_s: if polls_endpoints { 0.0 } else { f64::INFINITY },
            ..Policy::default()
        };
        policy.apply_capacity_to_token_bucket();
        policy
    }

    /// Makes this policy use limits that it shares with the other cores of its router. The host has to call
    /// this function before the first round.
    pub fn use_shared_limits(&mut self, limits: SharedLimits) {
        self.shared_limits = limits;
        self.apply_capacity_to_token_bucket();
    }

    /// Runs one round at `now_s` seconds on the host's monotonic clock: calls `deliver_events` for the events
    /// since the last round, then writes every decision to `sink`.
    ///
    /// # Errors
    /// The error of `deliver_events`; no decision is written in this case.
    pub fn round<E>(
        &mut self,
        now_s: f64,
        deliver_events: impl FnOnce(&mut dyn PolicyInput) -> Result<(), E>,
        sink: &mut dyn DecisionSink,
    ) -> Result<(), E> {
        self.advance_clocks(now_s);
        deliver_events(self)?;
        self.poll_endpoints(sink);
        self.refresh_serving_nodes();
        self.update_node_health(sink);
        self.exhausted_shards.clear();
        let due = self.due_queries();
        for &query in &due {
            self.complete_or_abandon(query, sink);
        }
        self.admit_new_queries(sink);
        for &query in &due {
            self.start_waiting_requests(query, sink);
        }
        for &query in &due {
            self.hedge_late_requests(query, sink);
            self.complete_or_abandon(query, sink);
        }
        self.set_check_timer(sink);
        Ok(())
    }

    /// Advances the monotonic clock to `now_s`, and the clock that excludes this router's stalls. While a
    /// timer is set, the second clock advances by at most `STALL_CHECK_INTERVALS` check intervals, as a
    /// longer time between two rounds means that the router stalled. Deadlines and windows use the monotonic
    /// clock.
    fn advance_clocks(&mut self, now_s: f64) {
        let elapsed_s = now_s - self.now_s;
        let longest_s = STALL_CHECK_INTERVALS * CHECK_INTERVAL_S;
        self.now_stall_free_s += if self.timer_set { elapsed_s.min(longest_s) } else { elapsed_s };
        self.now_s = now_s;
    }

    fn poll_endpoints(&mut self, sink: &mut dyn DecisionSink) {
        if self.now_s >= self.poll_endpoints_at_s {
            self.poll_endpoints_at_s = f64::INFINITY;
            sink.poll_endpoints();
        }
    }

    /// Numbers of the queries that are checked in this round: those whose next check is due and those with a
    /// late attempt.
    fn due_queries(&mut self) -> Vec<u64> {
        let late = self.queries_with_late_attempts();
        let is_due =
            |(number, query): &(&u64, &Query)| query.next_check_at_s <= self.now_s || late.contains(number);
        self.queries.iter().filter(is_due).map(|(&number, _)| number).collect()
    }

    fn set_check_timer(&mut self, sink: &mut dyn DecisionSink) {
        let has_work = !self.queries.is_empty() || self.poll_endpoints_at_s < f64::INFINITY;
        if has_work && !self.timer_set {
            self.timer_set = true;
            sink.set_timer(CHECK_INTERVAL_S, CHECK_TIMER_TAG);
        }
    }
}
