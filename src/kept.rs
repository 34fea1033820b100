//! What the decision module keeps its observations in: a window of latencies, calls by age, chance; and its records
//! of parts and leaf calls. Nothing is decided here, and no value is chosen.
use std::collections::{BTreeMap, VecDeque};

/// Latest latencies, in the order in which they came and in order of size; so many of them are another's.
#[derive(Default)]
pub struct Recent(VecDeque<f64>, Vec<f64>, usize);

impl Recent {
    pub fn note(&mut self, latency: f64, keep: usize) {
        self.0.push_back(latency);
        self.1.insert(self.1.partition_point(|&l| l < latency), latency);
        // Each of its own takes the place of one that was handed on.
        let keep = if self.2 > 0 { keep.min(self.0.len() - 1) } else { keep };
        self.2 = self.2.saturating_sub(1);
        while self.0.len() > keep {
            let old = self.0.pop_front().unwrap_or_default();
            self.1.remove(self.1.partition_point(|&l| l < old));
        }
    }

    /// The latest of several, so many in all, taken from each in turn: what a successor of theirs begins with.
    pub fn handed_on(parents: &[&Recent], keep: usize) -> Recent {
        let mut latest = Vec::new();
        let longest = parents.iter().map(|p| p.0.len()).max().unwrap_or(0);
        for back in 0..longest {
            latest.extend(parents.iter().filter_map(|p| p.0.iter().rev().nth(back)));
        }
        latest.truncate(keep);
        let mut recent = Recent::default();
        latest.into_iter().rev().for_each(|&latency| recent.note(latency, keep));
        recent.2 = recent.0.len();
        recent
    }

    pub fn quantile(&self, share: f64, least: usize) -> Option<f64> {
        let at = (self.1.len().saturating_sub(1) as f64 * share).round() as usize;
        self.1.get(at).copied().filter(|_| self.1.len() >= least)
    }
}

/// PCG-XSH-RR, 32 bits out.
#[derive(Default)]
pub struct Pcg(pub u64);

impl Pcg {
    pub fn draw(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let bits = ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32);
        f64::from(bits) / 4294967296.0
    }
}

/// A call that is out: its query, its part's place there, and its number among that part's calls.
pub type Place = (u64, usize, usize);

/// Calls in the order in which they were sent, kept apart by what their delay goes by, so that finding the late
/// ones costs a look at those and not at all that are out. Calls that ended and were not removed are dropped as they
/// are met.
#[derive(Default)]
pub struct ByAge<K>(BTreeMap<K, VecDeque<(f64, Place)>>);

impl<K: Ord + Copy> ByAge<K> {
    /// `since` never falls from one call to the next.
    pub fn add(&mut self, key: K, since: f64, call: Place) {
        self.0.entry(key).or_default().push_back((since, call));
    }

    /// A call that was sent before others that are here: its part has another key or place from now on.
    pub fn insert(&mut self, key: K, since: f64, call: Place) {
        let calls = self.0.entry(key).or_default();
        calls.insert(calls.partition_point(|c| c.0 <= since), (since, call));
    }

    pub fn remove(&mut self, key: K, call: Place) {
        if let Some(calls) = self.0.get_mut(&key) {
            if let Some(at) = calls.iter().position(|c| c.1 == call) {
                calls.remove(at);
            }
            if calls.is_empty() {
                self.0.remove(&key);
            }
        }
    }

    /// Calls that have been out for longer than their key's delay and still are.
    pub fn late(&mut self, now: f64, delay: impl Fn(K) -> f64, out: impl Fn(Place) -> bool) -> Vec<Place> {
        let mut late = vec![];
        for (&key, calls) in &mut self.0 {
            let delay = delay(key);
            let count = calls.partition_point(|&(since, _)| now - since > delay);
            let from = late.len();
            late.extend(calls.iter().take(count).map(|c| c.1).filter(|&call| out(call)));
            let kept: Vec<_> = calls.drain(..count).filter(|c| late[from..].contains(&c.1)).collect();
            kept.into_iter().rev().for_each(|call| calls.push_front(call));
        }
        self.0.retain(|_, calls| !calls.is_empty());
        late
    }
}

/// A part of an open query.
pub struct Part {
    pub id: String,
    pub shard: u32,
    pub weight: f64,
    pub merged: bool,
    pub copies: usize,
    pub calls: Vec<Call>,
}

/// What share of a whole those of its parts make up for which something holds. All of them are the whole, whatever
/// their shares add up to as they were rounded.
pub fn share(parts: &[Part], holds: &dyn Fn(&Part) -> bool) -> f64 {
    let all = !parts.is_empty() && parts.iter().all(holds);
    if all { 1.0 } else { parts.iter().filter(|p| holds(p)).map(|p| p.weight).sum() }
}

/// A leaf call.
#[derive(Clone, Default)]
pub struct Call {
    pub node: String,
    pub at: f64,
    /// When it was sent, by the clock of lateness.
    pub since: f64,
    pub out: bool,
    pub cancelled: bool,
    pub may_have_run: bool,
    pub turned_away: bool,
    /// Its connection broke while it was out.
    pub broke: bool,
}
