//! Where a control machine hands out what is in force: the seam between the order of versions and the subscriptions of
//! routers. Called by the machine's driver; whoever implements it looks after sockets and routers.
use crate::version::{Version, VersionNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most lagging routers that a summary names; `omitted` counts the others.
pub const MAX_LAGGING_ROUTERS: usize = 100;

pub trait VersionSink {
    /// Each committed version in order, once for a start of the machine; after a start, and when a lagging machine
    /// took a snapshot, the newest one stands for all before it: numbers may skip, they never go back.
    fn committed(&mut self, version: &Version);
    /// Called at least once a tick: for `age` seconds at most has the newest version of this machine not been known to
    /// be the newest of all; infinite before the first word. `majority`: whether a majority stands, as seen from here.
    fn freshness(&mut self, staleness_s: f64, has_quorum: bool);
    /// Of the routers that are subscribed at this machine.
    fn summary(&self) -> RouterSummary;
}

/// Routers of one machine by the version they have in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouterSummary {
    pub by_version: BTreeMap<VersionNumber, u64>,
    /// Sorted by who lags longest, `MAX_LAGGING_ROUTERS` at most.
    pub lagging: Vec<LaggingRouter>,
    /// LaggingRouter ones that are not named.
    #[serde(rename = "left_out")]
    pub omitted: u64,
}

/// A router that does not have the newest version in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LaggingRouter {
    pub router: String,
    /// In force there; 0: none yet.
    pub version: VersionNumber,
    pub since_s: f64,
    #[serde(rename = "why")]
    pub reason: String,
}

impl RouterSummary {
    /// Adds up another machine's.
    pub fn merge(&mut self, other: &RouterSummary) {
        for (&number, &count) in &other.by_version {
            let sum = self.by_version.entry(number).or_default();
            *sum = sum.saturating_add(count);
        }
        self.lagging.extend(other.lagging.iter().cloned());
        self.lagging.sort_by(|a, b| b.since_s.total_cmp(&a.since_s).then_with(|| a.router.cmp(&b.router)));
        let past = self.lagging.len().saturating_sub(MAX_LAGGING_ROUTERS);
        self.lagging.truncate(MAX_LAGGING_ROUTERS);
        self.omitted = self.omitted.saturating_add(other.omitted).saturating_add(past as u64);
    }
}

/// Without subscriptions: hands out nothing, knows of nobody.
#[derive(Default)]
pub struct DiscardVersions;

impl VersionSink for DiscardVersions {
    fn committed(&mut self, _: &Version) {}
    fn freshness(&mut self, _: f64, _: bool) {}
    fn summary(&self) -> RouterSummary {
        RouterSummary::default()
    }
}
