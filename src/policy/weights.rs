//! Compares the weight of a part of a query's shard requests with the fraction that an answer needs.
//!
//! A client rounds each weight before it sends the weight, so a sum of weights differs from the true one. In
//! total the difference shows, as the true weights sum to 1; how it is spread over the shard requests is
//! unknown. The comparison uses the least weight that the shard requests may have, so that rounding never
//! makes an answer complete, or large enough, that is not. Weights that sum to exactly 1 are used as given.

use super::query::{Query, ShardRequest};

/// By how much a sum of weights may be too small, for example because of floating-point errors.
const WEIGHT_TOLERANCE_FRACTION: f64 = 0.00005;
/// Weights whose sum differs from 1 by no more than this count as exact.
const EXACT_SUM_TOLERANCE: f64 = 1e-9;
/// Weights with more decimals than this count as having this many.
const MAX_DECIMALS: i32 = 9;
/// By how much a weight, in units of its last decimal, may differ from a whole number.
const DECIMAL_TOLERANCE: f64 = 1e-6;

/// The rounding of the weights of a query's shard requests.
#[derive(Clone, Copy, Default)]
pub(super) struct WeightRounding {
    sum: f64,
    /// The largest number of decimals of any weight.
    decimals: i32,
}

impl WeightRounding {
    /// Adds the weight of a shard request.
    pub fn add(&mut self, weight: f64) {
        self.sum += weight;
        self.decimals = self.decimals.max(decimals(weight));
    }

    /// The largest difference of a weight from its true value.
    fn max_error(&self) -> f64 {
        let is_exact = (self.sum - 1.0).abs() <= EXACT_SUM_TOLERANCE;
        if is_exact { 0.0 } else { 0.5 * 0.1f64.powi(self.decimals) }
    }
}

/// The number of decimals of a weight.
fn decimals(weight: f64) -> i32 {
    let is_whole = |value: f64| (value - value.round()).abs() <= DECIMAL_TOLERANCE;
    (0..MAX_DECIMALS).find(|&count| is_whole(weight * 10f64.powi(count))).unwrap_or(MAX_DECIMALS)
}

impl Query {
    /// The least weight that the shard requests for which `holds` is true may have, as a fraction of the
    /// query's weight. The result is 1 if `holds` is true for all shard requests.
    pub fn weight_fraction(&self, mut holds: impl FnMut(&ShardRequest) -> bool) -> f64 {
        let (mut held, mut missing) = (WeightSum::default(), WeightSum::default());
        for request in &self.requests {
            let sum = if holds(request) { &mut held } else { &mut missing };
            sum.weight += request.weight;
            sum.count += 1.0;
        }
        if missing.count == 0.0 && held.count > 0.0 {
            return 1.0;
        }
        let max_error = self.weight_rounding.max_error();
        // Each weight is rounded to the nearest value.
        let by_held = held.weight - held.count * max_error;
        let by_missing = 1.0 - missing.weight - missing.count * max_error;
        // All weights are rounded in the same direction.
        let in_one_direction = held.weight.min(1.0 - missing.weight);
        by_held.max(by_missing).min(in_one_direction)
    }

    /// Whether the shard requests for which `holds` is true have at least the fraction `required` of the
    /// query's weight. If all of it is required, every shard request is, even one with hardly any weight.
    pub fn reaches(&self, required: f64, holds: impl FnMut(&ShardRequest) -> bool) -> bool {
        if required >= 1.0 {
            return !self.requests.is_empty() && self.requests.iter().all(holds);
        }
        self.weight_fraction(holds) >= required - WEIGHT_TOLERANCE_FRACTION
    }
}

#[derive(Default)]
struct WeightSum {
    weight: f64,
    count: f64,
}
