//! Tracks the answered keys of one query. Answers may be for shards of different layout versions and arrive
//! in any order: the answer for a retired shard (not in the latest layout) may arrive before or after the
//! answers for its successors (the shards of the latest layout that contain its keys). An answer has one
//! value for its whole range of keys, and the value cannot be divided. The counted answers are those that the
//! response contains. They never overlap, so that no key is counted twice; an answer replaces the counted
//! answers whose requested keys it contains.
use crate::KeyRange;
use std::collections::BTreeMap;

/// The ranges of keys that a query requests, and the answers that are counted for these ranges.
#[derive(Clone, Debug)]
pub struct Coverage<V> {
    /// The requested ranges, which do not overlap, each with the weight of one key of the range.
    requested: Vec<(KeyRange, f64)>,
    /// The range and the value of each counted answer, by the first key of the range.
    counted: BTreeMap<u32, (KeyRange, V)>,
}

/// The effect of `Coverage::add`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddOutcome {
    /// The answer is counted. `replaced` is the number of counted answers that it replaced.
    Counted { replaced: usize },
    /// The answer is not counted: all requested keys in its range were already answered.
    Redundant,
    /// The answer is not counted: it overlaps a counted answer that also contains requested keys outside of
    /// the new answer's range. Counting both answers would count the common keys twice.
    Conflicting,
    /// The answer is not counted: its range contains no requested key.
    NotRequested,
}

impl<V> Coverage<V> {
    /// Creates the coverage of a query from the requested ranges and the weight of each range: its share in
    /// the answered fraction of the query. `None` if ranges overlap or the sum of the weights is not
    /// positive.
    pub fn new(mut requested: Vec<(KeyRange, f64)>) -> Option<Self> {
        requested.retain(|(range, _)| !range.is_empty());
        requested.sort_by_key(|(range, _)| *range);
        let is_disjoint = requested.windows(2).all(|pair| pair[0].0.to <= pair[1].0.from);
        let total: f64 = requested.iter().map(|r| r.1).sum();
        let requested = requested.into_iter().map(|(range, weight)| (range, weight / range.len() as f64));
        (is_disjoint && total > 0.0)
            .then(|| Coverage { requested: requested.collect(), counted: BTreeMap::new() })
    }

    /// The number of requested keys in the range, and the sum of the weights of these keys.
    fn requested_in(&self, range: KeyRange) -> (u64, f64) {
        let parts = self.requested.iter().filter_map(|(requested, weight_per_key)| {
            Some((requested.intersection(range)?.len(), weight_per_key))
        });
        parts.fold((0, 0.0), |(keys, weight), (count, weight_per_key)| {
            (keys + count, weight + count as f64 * weight_per_key)
        })
    }

    /// Counts an answer for a range, unless the answer is redundant, conflicting or not requested as
    /// described at `AddOutcome`.
    pub fn add(&mut self, range: KeyRange, value: V) -> AddOutcome {
        let (keys, _) = self.requested_in(range);
        if keys == 0 {
            return AddOutcome::NotRequested;
        }
        let overlapping: Vec<KeyRange> =
            self.counted.values().map(|c| c.0).filter(|c| c.overlaps(range)).collect();
        let answered: u64 =
            overlapping.iter().filter_map(|c| c.intersection(range)).map(|c| self.requested_in(c).0).sum();
        if answered == keys {
            return AddOutcome::Redundant;
        }
        // A counted answer that also contains requested keys outside of the new range is not replaced: those
        // keys would no longer be answered.
        if overlapping.iter().any(|c| {
            self.requested_in(*c).0 > c.intersection(range).map_or(0, |both| self.requested_in(both).0)
        }) {
            return AddOutcome::Conflicting;
        }
        overlapping.iter().for_each(|c| drop(self.counted.remove(&c.from)));
        self.counted.insert(range.from, (range, value));
        AddOutcome::Counted { replaced: overlapping.len() }
    }

    /// The sum of the weights of the requested keys that are answered.
    pub fn answered_weight(&self) -> f64 {
        self.counted.values().map(|c| self.requested_in(c.0).1).sum()
    }

    /// Returns true if every requested key is answered.
    pub fn is_complete(&self) -> bool {
        let answered: u64 = self.counted.values().map(|c| self.requested_in(c.0).0).sum();
        answered == self.requested.iter().map(|r| r.0.len()).sum::<u64>()
    }

    /// The requested keys in the range that are not answered yet.
    pub fn missing(&self, range: KeyRange) -> Vec<KeyRange> {
        let mut missing = vec![];
        for (requested, _) in &self.requested {
            let Some(wanted) = requested.intersection(range) else { continue };
            let mut from = wanted.from;
            for counted in self.counted.values().map(|c| c.0).filter(|c| c.overlaps(wanted)) {
                if counted.from > from {
                    missing.push(KeyRange::new(from, counted.from));
                }
                from = from.max(counted.to);
            }
            if from < wanted.to {
                missing.push(KeyRange::new(from, wanted.to));
            }
        }
        missing
    }

    /// The counted answers, in ascending order of keys.
    pub fn answers(&self) -> impl Iterator<Item = (KeyRange, &V)> {
        self.counted.values().map(|(range, value)| (*range, value))
    }
}
