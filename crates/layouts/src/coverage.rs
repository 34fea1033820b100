//! Which keys of a query are answered. Answers come from shards of whatever version, in any order: an old shard's after
//! its successors', one successor's before its parent's. Each covers a range of keys as a whole: its value cannot be
//! divided. What counts is a set of answers whose ranges do not meet, so no key counts twice; and a larger answer takes
//! the place of smaller ones that it covers, so none is missed that an answer has brought.
use crate::KeyRange;
use std::collections::BTreeMap;

/// The answers that count for one query, by where they begin, with what was asked.
#[derive(Clone, Debug)]
pub struct Coverage<V> {
    /// Ranges that the query asks for, each with the weight of one of its keys; they do not meet.
    requested: Vec<(KeyRange, f64)>,
    counted: BTreeMap<u32, (KeyRange, V)>,
}

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddOutcome {
    /// It counts, in place of so many that it covers.
    Counted { replaced: usize },
    /// All its keys that are asked for are answered already.
    Redundant,
    /// It meets answers that reach beyond it: counting both would count keys twice.
    Conflicting,
    /// None of its keys is asked for.
    NotRequested,
}

impl<V> Coverage<V> {
    /// For a query that asks for these ranges with their weights; keys asked for twice are the caller's fault and refused.
    pub fn new(mut requested: Vec<(KeyRange, f64)>) -> Option<Self> {
        requested.retain(|(range, _)| !range.is_empty());
        requested.sort_by_key(|(range, _)| *range);
        let is_disjoint = requested.windows(2).all(|pair| pair[0].0.to <= pair[1].0.from);
        let total: f64 = requested.iter().map(|r| r.1).sum();
        let requested = requested.into_iter().map(|(range, weight)| (range, weight / range.len() as f64));
        (is_disjoint && total > 0.0)
            .then(|| Coverage { requested: requested.collect(), counted: BTreeMap::new() })
    }

    /// Asked keys of a range, and their weight.
    fn requested_in(&self, range: KeyRange) -> (u64, f64) {
        let parts = self.requested.iter().filter_map(|(requested, weight_per_key)| {
            Some((requested.intersection(range)?.len(), weight_per_key))
        });
        parts.fold((0, 0.0), |(keys, weight), (count, weight_per_key)| {
            (keys + count, weight + count as f64 * weight_per_key)
        })
    }

    /// Takes an answer for a range in, if that brings more asked keys than it costs.
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
        // Asked keys that would be lost with answers that reach beyond this one.
        if overlapping.iter().any(|c| {
            self.requested_in(*c).0 > c.intersection(range).map_or(0, |both| self.requested_in(both).0)
        }) {
            return AddOutcome::Conflicting;
        }
        overlapping.iter().for_each(|c| drop(self.counted.remove(&c.from)));
        self.counted.insert(range.from, (range, value));
        AddOutcome::Counted { replaced: overlapping.len() }
    }

    /// Weight of the asked keys that are in.
    pub fn answered_weight(&self) -> f64 {
        self.counted.values().map(|c| self.requested_in(c.0).1).sum()
    }

    /// Whether every asked key is in.
    pub fn is_complete(&self) -> bool {
        let answered: u64 = self.counted.values().map(|c| self.requested_in(c.0).0).sum();
        answered == self.requested.iter().map(|a| a.0.len()).sum::<u64>()
    }

    /// What of a range is asked for and not in: what is still to be sent for.
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

    /// The answers that count, in the order of their keys.
    pub fn answers(&self) -> impl Iterator<Item = (KeyRange, &V)> {
        self.counted.values().map(|(range, value)| (*range, value))
    }
}
