//! A queue of keys ordered by due time, so that only the keys that are due are visited.
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// A due time in seconds of the monotonic clock, with a total order.
#[derive(Clone, Copy, PartialEq)]
struct DueAt(f64);

impl Eq for DueAt {}

impl PartialOrd for DueAt {
    fn partial_cmp(&self, other: &DueAt) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DueAt {
    fn cmp(&self, other: &DueAt) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A queue of keys, ordered by the time at which each is due.
pub struct TimerQueue<K>(BTreeSet<(DueAt, K)>);

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue(BTreeSet::new())
    }
}

impl<K: Ord + Clone> TimerQueue<K> {
    /// Adds a key that is due at `due_at_s`, in seconds of the monotonic clock.
    pub fn insert(&mut self, due_at_s: f64, key: K) {
        self.0.insert((DueAt(due_at_s), key));
    }

    /// Removes a key that was added with `due_at_s`.
    pub fn remove(&mut self, due_at_s: f64, key: &K) {
        self.0.remove(&(DueAt(due_at_s), key.clone()));
    }

    /// The keys whose due time is at or before `now`, in seconds of the monotonic clock; the earliest due
    /// time comes first.
    pub fn due(&self, now: f64) -> impl Iterator<Item = &K> {
        self.0.iter().take_while(move |(at, _)| at.0 <= now).map(|(_, key)| key)
    }

    /// The earliest due time, in seconds of the monotonic clock; infinite if the queue is empty.
    pub fn next_due(&self) -> f64 {
        self.0.first().map_or(f64::INFINITY, |(at, _)| at.0)
    }
}
