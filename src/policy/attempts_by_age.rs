//! An index of attempts in flight by age, which finds the late ones without visiting the others. It has a
//! separate queue for each pair of shard and query class, as all attempts of a pair are late after the same
//! delay. Times are in seconds on the clock that excludes the router's own stalls.

use super::query::ShardAndClass;
use std::collections::{BTreeMap, VecDeque};

/// Identifies an attempt by its query, shard request and number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptPosition {
    pub query: u64,
    /// Index of the shard request among those of the query, from 0.
    pub request: usize,
    /// Index of the attempt among those of the shard request, from 0.
    pub attempt: usize,
}

#[derive(Clone, Copy)]
struct StartedAttempt {
    started_at_s: f64,
    position: AttemptPosition,
}

/// Attempts in the order in which they started. An entry that was not removed when its attempt ended is
/// removed once it is older than the delay after which attempts of its key are late.
#[derive(Default)]
pub(super) struct AttemptsByAge {
    by_key: BTreeMap<ShardAndClass, VecDeque<StartedAttempt>>,
}

impl AttemptsByAge {
    /// Adds an attempt that did not start before any other of its pair of shard and query class.
    pub fn push(&mut self, key: ShardAndClass, started_at_s: f64, position: AttemptPosition) {
        self.by_key.entry(key).or_default().push_back(StartedAttempt { started_at_s, position });
    }

    /// Adds an attempt that may have started before others of its pair of shard and query class.
    pub fn insert(&mut self, key: ShardAndClass, started_at_s: f64, position: AttemptPosition) {
        let attempts = self.by_key.entry(key).or_default();
        let at = attempts.partition_point(|other| other.started_at_s <= started_at_s);
        attempts.insert(at, StartedAttempt { started_at_s, position });
    }

    pub fn remove(&mut self, key: ShardAndClass, position: AttemptPosition) {
        let Some(attempts) = self.by_key.get_mut(&key) else { return };
        if let Some(at) = attempts.iter().position(|attempt| attempt.position == position) {
            attempts.remove(at);
        }
        if attempts.is_empty() {
            self.by_key.remove(&key);
        }
    }

    /// Returns the attempts whose age exceeds the delay of their key, which `delay_s` returns in seconds, and
    /// that are in flight and not cancelled. Removes the entries of late attempts that have ended.
    pub fn late(
        &mut self,
        now_s: f64,
        delay_s: impl Fn(ShardAndClass) -> f64,
        is_in_flight_uncancelled: impl Fn(AttemptPosition) -> bool,
    ) -> Vec<AttemptPosition> {
        let mut late = Vec::new();
        for (&key, attempts) in &mut self.by_key {
            let delay_s = delay_s(key);
            let count = attempts.partition_point(|attempt| now_s - attempt.started_at_s > delay_s);
            let in_flight: Vec<_> = attempts
                .drain(..count)
                .filter(|attempt| is_in_flight_uncancelled(attempt.position))
                .collect();
            late.extend(in_flight.iter().map(|attempt| attempt.position));
            in_flight.into_iter().rev().for_each(|attempt| attempts.push_front(attempt));
        }
        self.by_key.retain(|_, attempts| !attempts.is_empty());
        late
    }
}
