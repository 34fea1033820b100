//! Shard requests that were split while attempts for them were in flight. An attempt of the original request then serves
//! all requests it was split into: its outcome is reported to each of them, and it is cancelled only once none of them
//! waits for it. The requests that it was split into may be split again.
//!
//! The caller knows which attempts are in flight; this module does no I/O and makes no routing decision.
use std::collections::{BTreeMap, BTreeSet};

/// An attempt: the id of its shard request, and its index among the attempts of that request.
pub type AttemptKey<I> = (I, usize);

/// Which shard requests were split into which, and which of them still wait for an attempt that they share.
#[derive(Debug)]
pub struct SplitRequests<I> {
    /// The requests that each split request has become, none of which is split itself.
    parts: BTreeMap<I, Vec<I>>,
    parents: BTreeMap<I, I>,
    /// Requests that no longer wait for an attempt.
    released: BTreeMap<AttemptKey<I>, BTreeSet<I>>,
}

impl<I> Default for SplitRequests<I> {
    fn default() -> Self {
        SplitRequests { parts: BTreeMap::new(), parents: BTreeMap::new(), released: BTreeMap::new() }
    }
}

impl<I: Ord + Clone> SplitRequests<I> {
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Records that a request was split into several, whose ids were not used before.
    pub fn split(&mut self, request: &I, into: &[I]) {
        for parts in self.parts.values_mut() {
            if let Some(at) = parts.iter().position(|part| part == request) {
                parts.splice(at..=at, into.iter().cloned());
            }
        }
        for released in self.released.values_mut() {
            if released.remove(request) {
                released.extend(into.iter().cloned());
            }
        }
        self.parts.insert(request.clone(), into.to_vec());
        into.iter().for_each(|part| drop(self.parents.insert(part.clone(), request.clone())));
    }

    /// The requests that a request was split into, down to those that are not split themselves; empty if it was not split.
    pub fn parts(&self, request: &I) -> &[I] {
        self.parts.get(request).map_or(&[], Vec::as_slice)
    }

    /// A request, the request it was split from, and so on up to the original: each attempt that serves the request
    /// belongs to one of these.
    pub fn lineage<'a>(&'a self, request: &'a I) -> impl Iterator<Item = &'a I> {
        std::iter::successors(Some(request), |request| self.parents.get(request))
    }

    /// Records that a part no longer waits for an attempt of the request it was split from. Returns whether no part waits
    /// for the attempt any more.
    pub fn release(&mut self, attempt: &AttemptKey<I>, part: &I) -> bool {
        let part_count = self.parts.get(&attempt.0).map_or(0, Vec::len);
        let released = self.released.entry(attempt.clone()).or_default();
        released.insert(part.clone());
        released.len() >= part_count
    }

    /// Whether a part still waits for an attempt.
    pub fn is_waiting(&self, attempt: &AttemptKey<I>, part: &I) -> bool {
        !self.released.get(attempt).is_some_and(|released| released.contains(part))
    }

    /// Removes the split requests for which `is_finished` holds: their attempts have ended and no open request refers to
    /// them.
    pub fn forget(&mut self, is_finished: impl Fn(&I) -> bool) {
        let finished: Vec<I> = self.parts.keys().filter(|request| is_finished(request)).cloned().collect();
        for request in finished {
            self.parts.remove(&request);
            self.parents.retain(|_, parent| *parent != request);
            self.released.retain(|attempt, _| attempt.0 != request);
        }
    }
}
