//! Decides which queries are admitted, and which are rejected to shed load, in each round (call of
//! [`super::Policy::round`]).
//!
//! Inputs are the expected latency of a query and the seconds left until its latency objective or deadline,
//! the time that its shard requests may wait for their holders, which are the serving nodes that have a copy
//! of the shard, the fraction of the queries of all routers (the fleet) that end late, and the query's value,
//! which is its priority weight per second of work. The load estimate of a query is the fraction of its time
//! left that its latency and waits are expected to take, and at least the fleet's late fraction. Above a
//! threshold of the load estimate, queries are rejected at random, and queries of less value more often. This
//! prevents an overload in which all queries wait and none is answered in time. The cost: if latencies are
//! high for another reason than load, queries are rejected that would have been answered. While the median
//! latency fits into the time left, some queries are admitted at any load estimate, as only answers show the
//! end of an overload.

use super::Policy;
use super::latency::{CLASS_SAMPLES_MIN, DEFAULT_LATENCY_FRACTION_OF_OBJECTIVE};
use super::query::{Query, ShardRequest};
use crate::interface::DecisionSink;
use std::collections::{BTreeMap, VecDeque};

/// Load estimate above which queries are rejected, and the range above this value in which the rejection
/// probability rises to 1.
const LOAD_ESTIMATE_MIN: f64 = 0.3;
const LOAD_ESTIMATE_RANGE: f64 = 0.4;
/// Load estimate of a query if the shard requests that are expected to be served in time have less than the
/// minimum fraction of its weight.
const LOAD_ESTIMATE_UNSERVABLE: f64 = 1.0;
/// Fraction of the time left that a wait for a holder may take without raising the load estimate.
const WAIT_TOLERANCE_FRACTION: f64 = 0.2;
/// Highest rejection probability if the median latency fits into the time left, and if it does not.
const REJECTION_PROBABILITY_MAX: f64 = 0.85;
const REJECTION_PROBABILITY_MAX_LATE: f64 = 1.0;
/// A query of value 0 is rejected this many times as often as the most valuable one.
const ZERO_VALUE_REJECTION_FACTOR: f64 = 2.0;
/// The highest value seen decays by this factor with each query.
const HIGHEST_VALUE_DECAY: f64 = 0.99;
/// Weight of the newest rejection probability in the exponential moving average.
const SMOOTHING_FRACTION: f64 = 0.1;
/// Smoothed rejection probabilities above which load shedding switches on, and below which it switches off.
/// The distance between them prevents switching at every query.
const SHEDDING_ON_PROBABILITY: f64 = 0.15;
const SHEDDING_OFF_PROBABILITY: f64 = 0.03;
/// Period in which the ended queries of all routers are counted, and the minimum number of queries for which
/// the late fraction is computed.
const FLEET_WINDOW_S: f64 = 2.0;
const FLEET_QUERIES_MIN: u32 = 8;
/// Retry-After of a query rejected on arrival, as a fraction of the time left to it.
const RETRY_AFTER_FRACTION: f64 = 0.2;
/// Shortest time left with which the load estimate is computed, to avoid a division by zero.
const TIME_LEFT_MIN_S: f64 = 0.001;
/// Expected wait of a shard request that has no serving holder.
const NO_HOLDER_WAIT_S: f64 = 9e9;

/// Whether load shedding is on, and the values from which this is decided.
#[derive(Default)]
pub(super) struct LoadShedding {
    /// Whether load shedding is on. Queries whose late answers have little value are then abandoned.
    pub active: bool,
    smoothed_rejection_probability: f64,
    /// The highest value of a query per second of work, slowly decaying.
    highest_value: f64,
    fleet_counts: VecDeque<FleetLatencyCounts>,
}

/// Number of queries of all routers that ended late and in time, as reported at one time.
struct FleetLatencyCounts {
    at_s: f64,
    late: u32,
    in_time: u32,
}

impl LoadShedding {
    pub fn record_fleet_latency_counts(&mut self, at_s: f64, late: u32, in_time: u32) {
        self.fleet_counts.push_back(FleetLatencyCounts { at_s, late, in_time });
    }

    /// Resets the highest value. Called when priority weights change, as old and new values cannot be
    /// compared.
    pub fn reset_highest_value(&mut self) {
        self.highest_value = 0.0;
    }

    /// Fraction of the queries of all routers that ended late within the last `FLEET_WINDOW_S`; 0 if fewer
    /// than `FLEET_QUERIES_MIN` ended. A single router of many observes too few late queries to detect an
    /// overload. The cost: if nodes fail without an overload, queries are rejected.
    fn fleet_late_fraction(&mut self, now_s: f64) -> f64 {
        self.fleet_counts.retain(|counts| counts.at_s > now_s - FLEET_WINDOW_S);
        let late: u32 = self.fleet_counts.iter().map(|counts| counts.late).sum();
        let in_time: u32 = self.fleet_counts.iter().map(|counts| counts.in_time).sum();
        let all = late + in_time;
        if all < FLEET_QUERIES_MIN { 0.0 } else { f64::from(late) / f64::from(all) }
    }

    /// Updates the highest value with that of a new query. Returns the factor by which this query is rejected
    /// more often than a query with the highest value.
    fn rejection_factor(&mut self, value: f64) -> f64 {
        self.highest_value = (self.highest_value * HIGHEST_VALUE_DECAY).max(value);
        ZERO_VALUE_REJECTION_FACTOR - value / self.highest_value
    }

    /// Updates the smoothed rejection probability with that of a new query. Returns whether load shedding
    /// switched on or off.
    fn update(&mut self, rejection_probability: f64) -> bool {
        let change = rejection_probability.min(1.0) - self.smoothed_rejection_probability;
        self.smoothed_rejection_probability += SMOOTHING_FRACTION * change;
        let threshold = if self.active { SHEDDING_OFF_PROBABILITY } else { SHEDDING_ON_PROBABILITY };
        let active = self.smoothed_rejection_probability > threshold;
        let changed = active != self.active;
        self.active = active;
        changed
    }
}

impl Policy {
    /// Admits or rejects the queries that have arrived since the last round.
    pub(super) fn admit_new_queries(&mut self, sink: &mut dyn DecisionSink) {
        let new: Vec<u64> =
            self.queries.iter().filter(|(_, query)| !query.admitted).map(|(&number, _)| number).collect();
        self.raise_expected_waits();
        let fleet_late_fraction = self.load_shedding.fleet_late_fraction(self.now_s);
        for number in new {
            let query = &self.queries[&number];
            let time_left_s = (query.in_time_until_s() - self.now_s).max(TIME_LEFT_MIN_S);
            let load_estimate = self.load_estimate(query, time_left_s, fleet_late_fraction);
            let (class, value) = (query.class, self.value_per_work_second(query));
            let probability = self.rejection_probability(class, load_estimate, value, time_left_s);
            if self.load_shedding.update(probability) {
                sink.log(&self.load_shedding_log_line(load_estimate));
            }
            if self.random.next_fraction() < probability {
                let advice_s = RETRY_AFTER_FRACTION * time_left_s;
                let retry_after_s = self.capabilities.max_retry_after_s.map(|most_s| most_s.min(advice_s));
                self.abandon_query(number, retry_after_s, sink);
            } else if let Some(query) = self.queries.get_mut(&number) {
                query.admitted = true;
            }
        }
    }

    /// Raises the expected wait of nodes to the age of the oldest shard request that waits for them.
    /// Otherwise new queries would use capacity although one of their shard requests cannot be served in
    /// time.
    fn raise_expected_waits(&mut self) {
        let mut oldest_at_s = BTreeMap::new();
        let checked = |query: &&Query| query.admitted && query.next_check_at_s <= self.now_s;
        for query in self.queries.values().filter(checked) {
            for request in query.requests.iter().filter(|request| request.attempts.is_empty()) {
                let at_s = oldest_at_s.entry(request.shard).or_insert(query.arrived_at_s);
                *at_s = query.arrived_at_s.min(*at_s);
            }
        }
        for (shard, at_s) in oldest_at_s {
            let groups = self.placement.holding_groups(shard);
            for id in groups.filter_map(|group| self.serving_nodes.get(&group)).flatten() {
                if let Some(node) = self.nodes.get_mut(id) {
                    node.expected_wait_s = node.expected_wait_s.max(self.now_s - at_s);
                }
            }
        }
    }

    /// The shortest expected wait for a holder of a shard request, in seconds.
    fn expected_wait_s(&self, request: &ShardRequest) -> f64 {
        let holders = self.serving_holders(request.shard);
        holders.iter().map(|id| self.nodes[*id].expected_wait_s).fold(NO_HOLDER_WAIT_S, f64::min)
    }

    /// The fraction of the time left that a query is expected to take; at 1 or more its answer would be late.
    /// The result is at least the fraction of the fleet's queries that end late.
    fn load_estimate(&self, query: &Query, time_left_s: f64, fleet_late_fraction: f64) -> f64 {
        let class = &self.classes[query.class].config;
        let mut longest_wait_s = 0.0f64;
        let is_servable = |request: &ShardRequest| {
            let wait_s = self.expected_wait_s(request);
            if wait_s < time_left_s {
                longest_wait_s = longest_wait_s.max(wait_s);
            }
            wait_s < time_left_s
        };
        if !query.requests.is_empty() && !query.reaches(class.minimum_fraction, is_servable) {
            return LOAD_ESTIMATE_UNSERVABLE;
        }
        let expected_s = self.expected_latency_s(query);
        let with_wait = (expected_s + longest_wait_s) / time_left_s - WAIT_TOLERANCE_FRACTION;
        (expected_s / time_left_s).max(with_wait).max(fleet_late_fraction)
    }

    /// The expected latency of a query in seconds: that of the slowest shard request that its answer needs.
    /// The latency of the slowest of n is estimated as the quantile n / (n + 1). If all shard requests are
    /// needed, the result is the geometric mean of this quantile and the median: an overload raises both, a
    /// few slow nodes raise only the quantile.
    fn expected_latency_s(&self, query: &Query) -> f64 {
        let class = &self.classes[query.class];
        let minimum_fraction = class.config.minimum_fraction;
        let slowest_fraction = 1.0 - 1.0 / (1.0 + query.requests.len() as f64);
        let default_s = DEFAULT_LATENCY_FRACTION_OF_OBJECTIVE * class.config.latency_objective_s;
        let slowest_s = class
            .latencies
            .quantile(slowest_fraction.min(minimum_fraction), CLASS_SAMPLES_MIN)
            .unwrap_or(default_s);
        if minimum_fraction < class.config.complete_fraction {
            slowest_s
        } else {
            (slowest_s * class.median_latency_s()).sqrt()
        }
    }

    /// The priority weight of a query per second of its work.
    fn value_per_work_second(&self, query: &Query) -> f64 {
        let quota_fraction =
            if query.over_quota { self.capabilities.over_quota_weight_fraction } else { 1.0 };
        let weight = self.classes[query.class].config.priority_weight * quota_fraction;
        weight / (query.requests.len().max(1) as f64 * self.request_work_s(query.class))
    }

    fn rejection_probability(
        &mut self,
        class: usize,
        load_estimate: f64,
        value: f64,
        time_left_s: f64,
    ) -> f64 {
        let factor = self.load_shedding.rejection_factor(value);
        let max_probability = if time_left_s < self.median_latency_s(class) {
            REJECTION_PROBABILITY_MAX_LATE
        } else {
            REJECTION_PROBABILITY_MAX
        };
        (((load_estimate - LOAD_ESTIMATE_MIN) / LOAD_ESTIMATE_RANGE).clamp(0.0, 1.0) * factor)
            .min(max_probability)
    }

    fn load_shedding_log_line(&self, load_estimate: f64) -> String {
        let change = if self.load_shedding.active { "on" } else { "off" };
        let probability = self.load_shedding.smoothed_rejection_probability;
        let open = self.queries.len();
        format!(
            "load shedding {change}: rejection probability {probability:.2}, \
             load estimate {load_estimate:.2}, {open} queries open"
        )
    }
}
