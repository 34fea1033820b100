//! Parts that were divided while leaf calls for them were out. A call of the old part then serves all its heirs: its end
//! is told to each, and it is given up only once none of them waits for it. Heirs may be divided again.
//! Whoever knows which calls are out says so; nothing here is sent or decided.
use std::collections::{BTreeMap, BTreeSet};

/// A leaf call: its part, and its number among that part's calls.
pub type Call<I> = (I, usize);

#[derive(Debug)]
pub struct Families<I> {
    /// Parts that were divided, with what each has become: parts that are not divided themselves.
    heirs: BTreeMap<I, Vec<I>>,
    parents: BTreeMap<I, I>,
    /// Heirs that wait for a call no longer.
    released: BTreeMap<Call<I>, BTreeSet<I>>,
}

impl<I> Default for Families<I> {
    fn default() -> Self {
        Families { heirs: BTreeMap::new(), parents: BTreeMap::new(), released: BTreeMap::new() }
    }
}

impl<I: Ord + Clone> Families<I> {
    pub fn is_empty(&self) -> bool {
        self.heirs.is_empty()
    }

    /// A part becomes several, whose names are new.
    pub fn divide(&mut self, part: &I, into: &[I]) {
        for heirs in self.heirs.values_mut() {
            if let Some(at) = heirs.iter().position(|heir| heir == part) {
                heirs.splice(at..=at, into.iter().cloned());
            }
        }
        for released in self.released.values_mut() {
            if released.remove(part) {
                released.extend(into.iter().cloned());
            }
        }
        self.heirs.insert(part.clone(), into.to_vec());
        into.iter().for_each(|heir| drop(self.parents.insert(heir.clone(), part.clone())));
    }

    /// What a part has become; nothing where it is what it was.
    pub fn heirs(&self, part: &I) -> &[I] {
        self.heirs.get(part).map_or(&[], Vec::as_slice)
    }

    /// A part and those that it came from, the newest first: one of them made each of its calls.
    pub fn line<'a>(&'a self, part: &'a I) -> impl Iterator<Item = &'a I> {
        std::iter::successors(Some(part), |part| self.parents.get(part))
    }

    /// An heir waits no longer for a call; true once nobody does.
    pub fn release(&mut self, call: &Call<I>, heir: &I) -> bool {
        let heirs = self.heirs.get(&call.0).map_or(0, Vec::len);
        let released = self.released.entry(call.clone()).or_default();
        released.insert(heir.clone());
        released.len() >= heirs
    }

    /// Whether an heir still waits for a call.
    pub fn waits(&self, call: &Call<I>, heir: &I) -> bool {
        !self.released.get(call).is_some_and(|released| released.contains(heir))
    }

    /// Forgets a divided part, once its calls are over and nobody asks for them any more.
    pub fn forget(&mut self, gone: impl Fn(&I) -> bool) {
        let over: Vec<I> = self.heirs.keys().filter(|part| gone(part)).cloned().collect();
        for part in over {
            self.heirs.remove(&part);
            self.parents.retain(|_, parent| *parent != part);
            self.released.retain(|call, _| call.0 != part);
        }
    }
}
