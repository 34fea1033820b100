//! Which keys of a query are answered. Answers may be for shards of different versions and arrive in any order: the answer
//! for a retired shard may arrive before or after those for its successors. An answer has one value for its whole range of
//! keys, which cannot be divided. The answers that are counted never overlap, so that no key is counted twice, and an
//! answer replaces smaller ones that it contains, so that no answered key is lost.
use crate::KeyRange;
use std::collections::BTreeMap;

/// The ranges that a query requests, and the answers counted for them.
#[derive(Clone, Debug)]
pub struct Coverage<V> {
    /// The requested ranges, which do not overlap, each with the weight of one of its keys.
    requested: Vec<(KeyRange, f64)>,
    /// By the first key of the range.
    counted: BTreeMap<u32, (KeyRange, V)>,
}

/// What adding an answer did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddOutcome {
    /// The answer is counted, and replaced this many smaller ones.
    Counted { replaced: usize },
    /// All of its requested keys were answered before.
    Redundant,
    /// It overlaps a counted answer that has requested keys outside of its range: counting both would count keys twice.
    Conflicting,
    /// None of its keys is requested.
    NotRequested,
}

impl<V> Coverage<V> {
    /// Creates the coverage of a query from the ranges it requests and their weights. None if ranges overlap or the total
    /// weight is not positive.
    pub fn new(mut requested: Vec<(KeyRange, f64)>) -> Option<Self> {
        requested.retain(|(range, _)| !range.is_empty());
        requested.sort_by_key(|(range, _)| *range);
        let is_disjoint = requested.windows(2).all(|pair| pair[0].0.to <= pair[1].0.from);
        let total: f64 = requested.iter().map(|r| r.1).sum();
        let requested = requested.into_iter().map(|(range, weight)| (range, weight / range.len() as f64));
        (is_disjoint && total > 0.0)
            .then(|| Coverage { requested: requested.collect(), counted: BTreeMap::new() })
    }

    /// The number of requested keys in a range, and their weight.
    fn requested_in(&self, range: KeyRange) -> (u64, f64) {
        let parts = self.requested.iter().filter_map(|(requested, weight_per_key)| {
            Some((requested.intersection(range)?.len(), weight_per_key))
        });
        parts.fold((0, 0.0), |(keys, weight), (count, weight_per_key)| {
            (keys + count, weight + count as f64 * weight_per_key)
        })
    }

    /// Adds an answer for a range, unless it answers no new key or conflicts with a counted answer.
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
        // Replacing an answer with requested keys outside of this range would lose those keys.
        if overlapping.iter().any(|c| {
            self.requested_in(*c).0 > c.intersection(range).map_or(0, |both| self.requested_in(both).0)
        }) {
            return AddOutcome::Conflicting;
        }
        overlapping.iter().for_each(|c| drop(self.counted.remove(&c.from)));
        self.counted.insert(range.from, (range, value));
        AddOutcome::Counted { replaced: overlapping.len() }
    }

    /// The weight of the requested keys that are answered.
    pub fn answered_weight(&self) -> f64 {
        self.counted.values().map(|c| self.requested_in(c.0).1).sum()
    }

    /// Whether every requested key is answered.
    pub fn is_complete(&self) -> bool {
        let answered: u64 = self.counted.values().map(|c| self.requested_in(c.0).0).sum();
        answered == self.requested.iter().map(|r| r.0.len()).sum::<u64>()
    }

    /// The requested keys of a range that are not answered yet.
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

    /// The counted answers, in the order of their keys.
    pub fn answers(&self) -> impl Iterator<Item = (KeyRange, &V)> {
        self.counted.values().map(|(range, value)| (*range, value))
    }
}
