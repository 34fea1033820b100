//! The interface between the replicated log and whatever distributes its versions to routers.
use crate::version::{Version, VersionNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lagging routers that a [`RouterSummary`] names at most.
pub const MAX_LAGGING_ROUTERS: usize = 100;

/// Receives committed versions. Called by the driver of a replica.
pub trait VersionSink {
    /// A version was committed. Called in ascending order of numbers, once for each since the start of the program.
    /// Numbers may skip: after a start, and after a snapshot was installed, the newest version stands for all before it.
    fn committed(&mut self, version: &Version);

    /// Called at least once a tick. The newest version of this replica was confirmed to be the newest of all
    /// `staleness_s` seconds ago; infinite if it never was. `has_quorum` tells whether this replica sees a quorum.
    fn freshness(&mut self, staleness_s: f64, has_quorum: bool);

    /// The routers that are subscribed here.
    fn summary(&self) -> RouterSummary;
}

/// Subscribed routers by the version that is active there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouterSummary {
    /// Number of routers by active version; 0 stands for none.
    pub by_version: BTreeMap<VersionNumber, u64>,
    /// The routers that lag longest, at most [`MAX_LAGGING_ROUTERS`], longest first.
    pub lagging: Vec<LaggingRouter>,
    /// Lagging routers that are not listed.
    #[serde(rename = "left_out")]
    pub omitted: u64,
}

/// A router in which the newest version is not active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LaggingRouter {
    /// Name of the router.
    pub router: String,
    /// The version that is active there; 0 stands for none.
    pub version: VersionNumber,
    /// Seconds since the first version that it lacks was committed here.
    pub since_s: f64,
    /// Why it lags.
    #[serde(rename = "why")]
    pub reason: String,
}

impl RouterSummary {
    /// Adds the routers of another control server.
    pub fn merge(&mut self, other: &RouterSummary) {
        for (&number, &count) in &other.by_version {
            let sum = self.by_version.entry(number).or_default();
            *sum = sum.saturating_add(count);
        }
        self.lagging.extend(other.lagging.iter().cloned());
        self.omitted = self.omitted.saturating_add(other.omitted);
        self.limit_lagging();
    }

    /// Sorts the lagging routers and omits those beyond [`MAX_LAGGING_ROUTERS`].
    pub(crate) fn limit_lagging(&mut self) {
        self.lagging.sort_by(|a, b| b.since_s.total_cmp(&a.since_s).then_with(|| a.router.cmp(&b.router)));
        let beyond = self.lagging.len().saturating_sub(MAX_LAGGING_ROUTERS);
        self.lagging.truncate(MAX_LAGGING_ROUTERS);
        self.omitted = self.omitted.saturating_add(beyond as u64);
    }
}

/// A sink for a control server without subscriptions.
#[derive(Default)]
pub struct DiscardVersions;

impl VersionSink for DiscardVersions {
    fn committed(&mut self, _: &Version) {}

    fn freshness(&mut self, _: f64, _: bool) {}

    fn summary(&self) -> RouterSummary {
        RouterSummary::default()
    }
}
