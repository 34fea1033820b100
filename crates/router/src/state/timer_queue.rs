//! What is due when, in order: so that a round looks at what has come due, not at all that is open.
use std::collections::BTreeSet;

/// Times of the steady clock, in an order that all of them have.
#[derive(Clone, Copy, PartialEq)]
struct At(f64);

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &At) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

pub struct TimerQueue<K>(BTreeSet<(At, K)>);

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue(BTreeSet::new())
    }
}

impl<K: Ord + Clone> TimerQueue<K> {
    pub fn insert(&mut self, at: f64, what: K) {
        self.0.insert((At(at), what));
    }

    pub fn remove(&mut self, at: f64, what: &K) {
        self.0.remove(&(At(at), what.clone()));
    }

    /// What is due by now, the earliest first.
    pub fn due(&self, now: f64) -> impl Iterator<Item = &K> {
        self.0.iter().take_while(move |(at, _)| at.0 <= now).map(|(_, what)| what)
    }

    pub fn next_due(&self) -> f64 {
        self.0.first().map_or(f64::INFINITY, |(at, _)| at.0)
    }
}
