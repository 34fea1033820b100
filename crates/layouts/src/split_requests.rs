//! Tracks shard requests that are split while attempts for them are in flight. The parts of a request are the
//! requests that replace it; a part may be split again. An in-flight attempt of the original request then can
//! answer all parts: the caller reports the outcome of the attempt to each part, and cancels the attempt only
//! once no part waits for it.
//!
//! The caller tracks which attempts are in flight. This module does no I/O and makes no routing decisions.
use std::collections::{BTreeMap, BTreeSet};

/// Identifies an attempt by the id of its shard request and by its index, from 0, among the attempts of that
/// request.
pub type AttemptId<I> = (I, usize);

/// Maps each split request to its parts, and each in-flight attempt to the parts that no longer wait for the
/// attempt.
#[derive(Debug)]
pub struct SplitRequests<I> {
    /// The parts of each split request; a part that was split again is replaced by the parts of that part.
    parts: BTreeMap<I, Vec<I>>,
    /// The request that each part was split from.
    parents: BTreeMap<I, I>,
    /// The parts that no longer wait for each attempt.
    released: BTreeMap<AttemptId<I>, BTreeSet<I>>,
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

    /// Records that `request` was replaced by the parts `into`. The caller must give the parts ids that no
    /// other request has had; this is not checked.
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

    /// The parts of a request that are not split themselves. Empty if the request was not split.
    pub fn parts(&self, request: &I) -> &[I] {
        self.parts.get(request).map_or(&[], Vec::as_slice)
    }

    /// The given request, then the request that it was split from, and so on up to the original request. An
    /// attempt whose response can answer the given request was sent for one of the returned requests.
    pub fn request_and_ancestors<'a>(&'a self, request: &'a I) -> impl Iterator<Item = &'a I> {
        std::iter::successors(Some(request), |request| self.parents.get(request))
    }

    /// Records that `part` no longer waits for `attempt`, an attempt of a request that `part` was split from.
    /// Returns true if no part waits for the attempt any more, so that the caller can cancel the attempt.
    pub fn remove_waiter(&mut self, attempt: &AttemptId<I>, part: &I) -> bool {
        let part_count = self.parts.get(&attempt.0).map_or(0, Vec::len);
        let released = self.released.entry(attempt.clone()).or_default();
        released.insert(part.clone());
        released.len() >= part_count
    }

    /// Returns true if `part` still waits for `attempt`: until `remove_waiter` is called for both.
    pub fn is_awaited_by(&self, attempt: &AttemptId<I>, part: &I) -> bool {
        !self.released.get(attempt).is_some_and(|released| released.contains(part))
    }

    /// Removes the split requests for which `is_finished` returns true: every attempt of the request has
    /// ended, and the request is no longer open.
    pub fn remove_finished(&mut self, is_finished: impl Fn(&I) -> bool) {
        let finished: Vec<I> = self.parts.keys().filter(|request| is_finished(request)).cloned().collect();
        for request in finished {
            self.parts.remove(&request);
            self.parents.retain(|_, parent| *parent != request);
            self.released.retain(|attempt, _| attempt.0 != request);
        }
    }
}
