//! Keeps the endpoint list and the layout that discovery reports on the supervising thread, and publishes snapshots
//! of both to all cores.
use super::discovery;
use crate::state::counters::Counters;
use crate::state::endpoints::{Endpoint, EndpointTable};
use crate::state::shard_map::ShardMapView;
use crate::state::shared::SharedState;
use alderway_layouts::history::News;
use alderway_layouts::layout::{Faulty, Layout};
use alderway_telemetry::clock::Clock;
use std::sync::Arc;
use tokio::sync::{Notify, watch};

/// A complete copy of the endpoint list and the layout, for the cores.
#[derive(Clone, Default)]
pub struct EndpointSnapshot {
    /// Increases with each snapshot.
    pub generation: u64,
    pub entries: Arc<Vec<Endpoint>>,
    pub layout: Option<Layout>,
    /// How often a watch of discovery that had answered was lost, where endpoints are polled.
    pub watch_failures: u64,
}

/// The endpoint list and the shard map as the supervising thread keeps them for the cores.
pub struct EndpointPublisher {
    clock: Clock,
    polls_endpoints: bool,
    endpoints: EndpointTable,
    shared: Arc<SharedState>,
    pub counters: Counters,
    /// Checks each layout before the cores apply it; none where shards lie in the fixed ring of the settings. No query is
    /// open on this thread.
    shard_map: Option<ShardMapView>,
    snapshots: watch::Sender<EndpointSnapshot>,
}

impl EndpointPublisher {
    /// Publishes `endpoints` as the first snapshot. `shard_map` is none where shards lie in the fixed ring of the
    /// settings.
    pub fn new(
        clock: Clock,
        polls_endpoints: bool,
        endpoints: EndpointTable,
        shared: Arc<SharedState>,
        shard_map: Option<ShardMapView>,
    ) -> Self {
        let (snapshots, counters) = (watch::channel(EndpointSnapshot::default()).0, Counters::default());
        let mut publisher =
            EndpointPublisher { clock, polls_endpoints, endpoints, shared, counters, shard_map, snapshots };
        publisher.publish();
        publisher.shared.fence.looked(clock.now());
        publisher
    }

    /// A receiver of the newest snapshot, for one core.
    pub fn subscribe(&self) -> watch::Receiver<EndpointSnapshot> {
        self.snapshots.subscribe()
    }

    /// Publishes a snapshot. The fence is raised first: from then on, a core starts no attempt until it has applied
    /// the new list.
    fn publish(&mut self) {
        let generation = self.shared.fence.publish();
        let entries = Arc::new(self.endpoints.endpoints());
        let layout =
            self.shard_map.as_ref().and_then(|shard_map| Some(shard_map.history()?.newest().clone()));
        self.snapshots.send_modify(|snapshot| {
            (snapshot.generation, snapshot.entries, snapshot.layout) = (generation, entries, layout);
        });
        self.endpoints.drop_removed();
    }
}

impl discovery::DiscoveryHandler for EndpointPublisher {
    fn clock(&self) -> Clock {
        self.clock
    }
    fn polls_on_request(&self) -> bool {
        self.polls_endpoints
    }
    fn poll_requested(&self) -> Arc<Notify> {
        self.shared.poll_requested.clone()
    }
    fn endpoints(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }
    fn endpoints_updated(&mut self) {
        self.counters.increment("roster_lists");
        self.publish();
    }
    fn record_silence(&mut self, span_s: f64) {
        self.counters.record_max("discovery_quiet_ms_most", (span_s * 1e3) as u64);
    }
    fn watch_lost(&mut self, answered: bool) {
        self.counters.increment("discovery_watches_lost");
        if self.polls_endpoints && answered {
            self.snapshots.send_modify(|snapshot| snapshot.watch_failures += 1);
        }
    }
    fn discovery_moved(&mut self) {
        self.counters.increment("discovery_moves");
    }
    fn tracks_checks(&self) -> bool {
        true
    }
    fn discovery_checked(&mut self, at_s: f64) {
        self.shared.fence.looked(at_s);
    }
    fn layout_version(&self) -> Option<u64> {
        self.shard_map.as_ref().map(|shard_map| shard_map.version().unwrap_or(0))
    }
    fn apply_layout(&mut self, news: News) -> Result<(), Faulty> {
        let now = self.clock.now();
        let Some(shard_map) = &mut self.shard_map else { return Ok(()) };
        let applied = shard_map.apply(news, now).map(drop);
        shard_map.discard_notifications(now);
        self.counters.increment(if applied.is_ok() { "layouts_taken" } else { "layouts_refused" });
        applied
    }
}
