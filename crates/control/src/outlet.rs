//! Where a control machine hands out what is in force: the seam between the order of versions and the subscriptions of
//! routers. Called by the machine's driver; whoever implements it looks after sockets and routers.
use crate::version::{Number, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most lagging routers that a summary names; `left_out` counts the others.
pub const LAGGING_MOST: usize = 100;

pub trait Outlet {
    /// Each committed version in order, once for a start of the machine; after a start, and when a lagging machine
    /// took a snapshot, the newest one stands for all before it: numbers may skip, they never go back.
    fn committed(&mut self, version: &Version);
    /// Called at least once a tick: for `age` seconds at most has the newest version of this machine not been known to
    /// be the newest of all; infinite before the first word. `majority`: whether a majority stands, as seen from here.
    fn as_of(&mut self, age: f64, majority: bool);
    /// Of the routers that are subscribed at this machine.
    fn summary(&self) -> Summary;
}

/// Routers of one machine by the version they have in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    pub by_version: BTreeMap<Number, u64>,
    /// Sorted by who lags longest, `LAGGING_MOST` at most.
    pub lagging: Vec<Lagging>,
    /// Lagging ones that are not named.
    pub left_out: u64,
}

/// A router that does not have the newest version in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lagging {
    pub router: String,
    /// In force there; 0: none yet.
    pub version: Number,
    pub since_s: f64,
    pub why: String,
}

impl Summary {
    /// Adds up another machine's.
    pub fn add(&mut self, other: &Summary) {
        for (&number, &count) in &other.by_version {
            let sum = self.by_version.entry(number).or_default();
            *sum = sum.saturating_add(count);
        }
        self.lagging.extend(other.lagging.iter().cloned());
        self.lagging.sort_by(|a, b| b.since_s.total_cmp(&a.since_s).then_with(|| a.router.cmp(&b.router)));
        let past = self.lagging.len().saturating_sub(LAGGING_MOST);
        self.lagging.truncate(LAGGING_MOST);
        self.left_out = self.left_out.saturating_add(other.left_out).saturating_add(past as u64);
    }
}

/// Without subscriptions: hands out nothing, knows of nobody.
#[derive(Default)]
pub struct Nowhere;

impl Outlet for Nowhere {
    fn committed(&mut self, _: &Version) {}
    fn as_of(&mut self, _: f64, _: bool) {}
    fn summary(&self) -> Summary {
        Summary::default()
    }
}
