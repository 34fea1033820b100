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
    asked: Vec<(KeyRange, f64)>,
    counted: BTreeMap<u32, (KeyRange, V)>,
}

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Count {
    /// It counts, in place of so many that it covers.
    Counts { replaced: usize },
    /// All its keys that are asked for are answered already.
    Known,
    /// It meets answers that reach beyond it: counting both would count keys twice.
    Crosses,
    /// None of its keys is asked for.
    NotAsked,
}

impl<V> Coverage<V> {
    /// For a query that asks for these ranges with their weights; keys asked for twice are the caller's fault and refused.
    pub fn new(mut asked: Vec<(KeyRange, f64)>) -> Option<Self> {
        asked.retain(|(range, _)| !range.is_empty());
        asked.sort_by_key(|(range, _)| *range);
        let apart = asked.windows(2).all(|pair| pair[0].0.to <= pair[1].0.from);
        let whole: f64 = asked.iter().map(|a| a.1).sum();
        let asked = asked.into_iter().map(|(range, weight)| (range, weight / range.len() as f64));
        (apart && whole > 0.0).then(|| Coverage { asked: asked.collect(), counted: BTreeMap::new() })
    }

    /// Asked keys of a range, and their weight.
    fn weigh(&self, range: KeyRange) -> (u64, f64) {
        let parts =
            self.asked.iter().filter_map(|(asked, each)| Some((asked.intersection(range)?.len(), each)));
        parts.fold((0, 0.0), |(keys, weight), (count, each)| (keys + count, weight + count as f64 * each))
    }

    /// Takes an answer for a range in, if that brings more asked keys than it costs.
    pub fn take(&mut self, range: KeyRange, value: V) -> Count {
        let (keys, _) = self.weigh(range);
        if keys == 0 {
            return Count::NotAsked;
        }
        let meets: Vec<KeyRange> = self.counted.values().map(|c| c.0).filter(|c| c.overlaps(range)).collect();
        let known: u64 = meets.iter().filter_map(|c| c.intersection(range)).map(|c| self.weigh(c).0).sum();
        if known == keys {
            return Count::Known;
        }
        // Asked keys that would be lost with answers that reach beyond this one.
        if meets.iter().any(|c| self.weigh(*c).0 > c.intersection(range).map_or(0, |both| self.weigh(both).0))
        {
            return Count::Crosses;
        }
        meets.iter().for_each(|c| drop(self.counted.remove(&c.from)));
        self.counted.insert(range.from, (range, value));
        Count::Counts { replaced: meets.len() }
    }

    /// Weight of the asked keys that are in.
    pub fn weight(&self) -> f64 {
        self.counted.values().map(|c| self.weigh(c.0).1).sum()
    }

    /// Whether every asked key is in.
    pub fn is_whole(&self) -> bool {
        let known: u64 = self.counted.values().map(|c| self.weigh(c.0).0).sum();
        known == self.asked.iter().map(|a| a.0.len()).sum::<u64>()
    }

    /// What of a range is asked for and not in: what is still to be sent for.
    pub fn missing(&self, range: KeyRange) -> Vec<KeyRange> {
        let mut missing = vec![];
        for (asked, _) in &self.asked {
            let Some(wanted) = asked.intersection(range) else { continue };
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
