//! Estimates latencies: the median latency of a shard request, and the delay after which an attempt is late.
//!
//! Inputs are the latencies of ended attempts in seconds, by shard and by query class, measured from the
//! start of an attempt to its end on the clock that excludes the router's own stalls. In a large deployment a
//! router observes a given shard rarely, so that estimates fall back from the shard to the query class, and
//! from the class to a fraction of the latency objective.

use super::Policy;
use super::query::ShardAndClass;
use crate::interface::QueryClass;
use std::collections::VecDeque;

/// Number of latencies that are kept for each query class and for each shard.
pub(super) const CLASS_SAMPLES_MAX: usize = 256;
pub(super) const SHARD_SAMPLES_MAX: usize = 40;
/// Minimum number of latencies of a shard for using the quantile of this shard; with fewer latencies, the
/// median of the query class is used. A successor shard inherits at most this many latencies.
pub(super) const SHARD_SAMPLES_MIN: usize = 12;
/// Minimum number of latencies of a query class for using their quantiles.
pub(super) const CLASS_SAMPLES_MIN: usize = 16;
/// Minimum number of latencies of a query class for using their median.
const MEDIAN_SAMPLES_MIN: usize = 5;

const MEDIAN: f64 = 0.5;
/// Quantile of a shard's latencies after which an attempt is late.
const LATE_QUANTILE: f64 = 0.95;
/// If a shard has too few latencies, its attempts are late after this multiple of the median of the query
/// class. A high quantile over all shards would be raised by the slow nodes that hedges are meant to bypass.
const LATE_MEDIAN_MULTIPLE: f64 = 2.0;
/// Assumed median latency of a class with too few latencies, as a fraction of its latency objective.
pub(super) const DEFAULT_LATENCY_FRACTION_OF_OBJECTIVE: f64 = 0.25;
/// Upper limit for the delay after which an attempt is late, as a fraction of the latency objective. A later
/// hedge would not succeed in time.
const LATE_MAX_FRACTION: f64 = 0.5;
/// Upper limit for the estimated work of a shard request, as a fraction of the latency objective.
const WORK_MAX_FRACTION: f64 = 0.15;
/// Lower limit for the median latency that is returned, as callers divide by it.
const LATENCY_MIN_S: f64 = 0.001;

/// The latest latencies, in order of arrival and in sorted order.
#[derive(Default)]
pub(super) struct LatencyWindow {
    by_arrival: VecDeque<f64>,
    sorted: Vec<f64>,
    /// Number of inherited latencies. Each new latency replaces one of them.
    inherited: usize,
}

impl LatencyWindow {
    /// Adds a latency, and drops the oldest latencies beyond `max_samples`.
    pub fn record(&mut self, latency_s: f64, max_samples: usize) {
        self.by_arrival.push_back(latency_s);
        self.sorted.insert(self.sorted.partition_point(|&other_s| other_s < latency_s), latency_s);
        let max_samples =
            if self.inherited > 0 { max_samples.min(self.by_arrival.len() - 1) } else { max_samples };
        self.inherited = self.inherited.saturating_sub(1);
        while self.by_arrival.len() > max_samples {
            let oldest_s = self.by_arrival.pop_front().unwrap_or_default();
            self.sorted.remove(self.sorted.partition_point(|&other_s| other_s < oldest_s));
        }
    }

    /// Returns the initial window of a new shard, or of the new index of a changed query class. The window
    /// has the latest latencies of `parents`, taken from each of them in turn, at most `max_samples` in
    /// total. The parents are the windows of the shards that contained the new shard's keys, or that of the
    /// class's previous index.
    pub fn inherit(parents: &[&LatencyWindow], max_samples: usize) -> LatencyWindow {
        let mut latest = Vec::new();
        let longest = parents.iter().map(|parent| parent.by_arrival.len()).max().unwrap_or(0);
        for age in 0..longest {
            latest.extend(parents.iter().filter_map(|parent| parent.by_arrival.iter().rev().nth(age)));
        }
        latest.truncate(max_samples);
        let mut window = LatencyWindow::default();
        latest.into_iter().rev().for_each(|latency_s| window.record(latency_s, max_samples));
        window.inherited = window.by_arrival.len();
        window
    }

    /// The latency that a fraction of the samples does not exceed; `None` if there are fewer than
    /// `min_samples`.
    pub fn quantile(&self, fraction: f64, min_samples: usize) -> Option<f64> {
        let index = (self.sorted.len().saturating_sub(1) as f64 * fraction).round() as usize;
        self.sorted.get(index).copied().filter(|_| self.sorted.len() >= min_samples)
    }
}

/// A query class and the latencies observed for the class.
pub(super) struct ClassState {
    pub config: QueryClass,
    pub latencies: LatencyWindow,
    /// The lowest median of the class's latencies so far, in seconds; infinite while the class has had fewer
    /// than `CLASS_SAMPLES_MIN` latencies. The lowest median is the estimated work of a shard request, as the
    /// latencies with the lowest median contain the least queueing.
    pub lowest_median_s: f64,
    /// The longest time from a query's arrival to its client's deadline, over all queries of this class, in
    /// seconds.
    pub longest_time_left_s: f64,
}

impl ClassState {
    pub fn new(config: QueryClass) -> Self {
        ClassState {
            config,
            latencies: LatencyWindow::default(),
            lowest_median_s: f64::INFINITY,
            longest_time_left_s: 0.0,
        }
    }

    /// Records the latency of a successful attempt.
    pub fn record_success(&mut self, latency_s: f64) {
        self.latencies.record(latency_s, CLASS_SAMPLES_MAX);
        if let Some(median_s) = self.latencies.quantile(MEDIAN, CLASS_SAMPLES_MIN) {
            self.lowest_median_s = median_s.min(self.lowest_median_s);
        }
    }

    /// The median latency of successful attempts in seconds, including queueing at the data node.
    pub fn median_latency_s(&self) -> f64 {
        let default_s = DEFAULT_LATENCY_FRACTION_OF_OBJECTIVE * self.config.latency_objective_s;
        self.latencies.quantile(MEDIAN, MEDIAN_SAMPLES_MIN).unwrap_or(default_s).max(LATENCY_MIN_S)
    }

    /// The estimated work of a shard request, which is the lowest median latency of the class so far, as a
    /// fraction of the latency objective; `None` while there are too few latencies.
    fn lowest_median_fraction(&self) -> Option<f64> {
        Some(self.lowest_median_s / self.config.latency_objective_s).filter(|fraction| fraction.is_finite())
    }
}

impl Policy {
    /// The delay in seconds after which an attempt for this shard and query class is late.
    pub(super) fn late_after_s(&self, key: ShardAndClass) -> f64 {
        let class = &self.classes[key.class];
        let objective_s = class.config.latency_objective_s;
        let of_shard =
            self.shards.get(&key.shard).and_then(|s| s.latencies.quantile(LATE_QUANTILE, SHARD_SAMPLES_MIN));
        let of_class = || {
            let median_s = class.latencies.quantile(MEDIAN, CLASS_SAMPLES_MIN);
            let multiple_s = median_s.map_or(0.0, |median_s| LATE_MEDIAN_MULTIPLE * median_s);
            multiple_s.max(DEFAULT_LATENCY_FRACTION_OF_OBJECTIVE * objective_s)
        };
        of_shard.unwrap_or_else(of_class).min(LATE_MAX_FRACTION * objective_s)
    }

    /// The median latency of successful attempts in seconds, including queueing at the data node.
    pub(super) fn median_latency_s(&self, class: usize) -> f64 {
        self.classes[class].median_latency_s()
    }

    /// The estimated work of one shard request: its processing time at a data node in seconds, without
    /// queueing. For a class with too few latencies, the largest fraction of work per latency objective of
    /// all other classes is used.
    pub(super) fn request_work_s(&self, class: usize) -> f64 {
        let largest = || self.classes.iter().filter_map(ClassState::lowest_median_fraction).reduce(f64::max);
        let class = &self.classes[class];
        let fraction = class.lowest_median_fraction().or_else(largest).unwrap_or(WORK_MAX_FRACTION);
        fraction.min(WORK_MAX_FRACTION) * class.config.latency_objective_s
    }
}
