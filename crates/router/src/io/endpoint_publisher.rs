//! Follows discovery for all cores of a program and publishes what each of them is to take over.
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

/// The endpoint list and the shard map, complete, for the cores.
#[derive(Clone, Default)]
pub struct EndpointSnapshot {
    /// Grows with each snapshot.
    pub number: u64,
    pub entries: Arc<Vec<Endpoint>>,
    pub layout: Option<Layout>,
    /// How often the watch of discovery has failed.
    pub failures: u64,
}

/// The endpoint list and the shard map as the supervising thread keeps them for the cores.
pub struct EndpointPublisher {
    clock: Clock,
    polls_endpoints: bool,
    endpoints: EndpointTable,
    shared: Arc<SharedState>,
    pub counters: Counters,
    /// Where a changing shard map is followed: nothing is open here, it only checks what the cores take over.
    shard_map: Option<ShardMapView>,
    snapshots: watch::Sender<EndpointSnapshot>,
}

impl EndpointPublisher {
    /// Publishes `endpoints` as the first snapshot. `shard_map` where a changing shard map is followed.
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

    /// For a core: the newest snapshot.
    pub fn subscribe(&self) -> watch::Receiver<EndpointSnapshot> {
        self.snapshots.subscribe()
    }

    /// Shuts the fence first: whoever has not taken in the new list sends nothing new from here on.
    fn publish(&mut self) {
        let number = self.shared.fence.publish();
        let entries = Arc::new(self.endpoints.endpoints());
        let layout =
            self.shard_map.as_ref().and_then(|shard_map| Some(shard_map.history()?.newest().clone()));
        self.snapshots.send_modify(|snapshot| {
            (snapshot.number, snapshot.entries, snapshot.layout) = (number, entries, layout);
        });
        self.endpoints.drop_removed();
    }
}

impl discovery::DiscoveryTarget for EndpointPublisher {
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
    fn record_silence(&mut self, span: f64) {
        self.counters.record_max("discovery_quiet_ms_most", (span * 1e3) as u64);
    }
    fn watch_lost(&mut self, answered: bool) {
        self.counters.increment("discovery_watches_lost");
        if self.polls_endpoints && answered {
            self.snapshots.send_modify(|snapshot| snapshot.failures += 1);
        }
    }
    fn discovery_moved(&mut self) {
        self.counters.increment("discovery_moves");
    }
    fn tracks_checks(&self) -> bool {
        true
    }
    fn discovery_checked(&mut self, at: f64) {
        self.shared.fence.looked(at);
    }
    fn layout_version(&self) -> Option<u64> {
        self.shard_map.as_ref().map(|shard_map| shard_map.version().unwrap_or(0))
    }
    fn apply_layout(&mut self, news: News) -> Result<(), Faulty> {
        let now = self.clock.now();
        let Some(shard_map) = &mut self.shard_map else { return Ok(()) };
        let taken = shard_map.apply(news, now).map(drop);
        shard_map.discard_notifications(now);
        self.counters.increment(if taken.is_ok() { "layouts_taken" } else { "layouts_refused" });
        taken
    }
}
