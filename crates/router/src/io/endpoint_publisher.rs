//! Holds the endpoint list and the layout on the supervising thread of a router on several cores, and
//! publishes snapshots of both to all cores. An endpoint list names the data nodes; a layout is a version of
//! the assignment of shards to data nodes. The fence is a check that all cores share: a core starts no
//! attempt while the fence has a newer generation than the last snapshot that the core has applied.
use super::discovery;
use crate::state::counters::Counters;
use crate::state::endpoints::{Endpoint, EndpointTable};
use crate::state::shard_map::ShardMapView;
use crate::state::shared::SharedState;
use alderway_layouts::history::LayoutUpdate;
use alderway_layouts::layout::{Layout, LayoutError};
use alderway_sockets::TurnQueue;
use alderway_telemetry::clock::Clock;
use std::sync::Arc;
use tokio::sync::{Notify, watch};

/// A complete copy of the endpoint list and the layout, which all cores apply.
#[derive(Clone, Default)]
pub struct EndpointSnapshot {
    /// The number that the fence has assigned to this endpoint list and layout; the number increases with
    /// each publication. A change of `watch_failures` alone keeps the number.
    pub generation: u64,
    pub entries: Arc<Vec<Endpoint>>,
    pub layout: Option<Layout>,
    /// Number of watches (connections to discovery) that were lost after discovery had begun to respond.
    /// Counted only if the policy requests each endpoint list: each core then reports a lost watch to its
    /// policy as a failed request. Stays 0 if a watch is always open.
    pub watch_failures: u64,
}

/// Applies the updates of discovery to the supervising thread's endpoint list and shard map, and publishes
/// the endpoint list and the layout to the cores.
pub struct EndpointPublisher {
    clock: Clock,
    polls_endpoints: bool,
    endpoints: EndpointTable,
    shared: Arc<SharedState>,
    pub counters: Counters,
    /// The shard map that checks each layout before the cores apply the layout; `None` if the settings assign
    /// the shards to data nodes. The supervising thread has no open queries.
    shard_map: Option<ShardMapView>,
    snapshots: watch::Sender<EndpointSnapshot>,
    /// The tasks of the supervising thread that have used up their turn.
    turn_queue: TurnQueue,
}

impl EndpointPublisher {
    /// Creates a publisher whose first snapshot holds `endpoints`. `shard_map` is `None` if the settings
    /// assign the shards to data nodes.
    pub fn new(
        clock: Clock,
        polls_endpoints: bool,
        endpoints: EndpointTable,
        shared: Arc<SharedState>,
        shard_map: Option<ShardMapView>,
    ) -> Self {
        let (snapshots, counters) = (watch::channel(EndpointSnapshot::default()).0, Counters::default());
        let mut publisher = EndpointPublisher {
            clock,
            polls_endpoints,
            endpoints,
            shared,
            counters,
            shard_map,
            snapshots,
            turn_queue: TurnQueue::default(),
        };
        publisher.publish();
        publisher.shared.fence.record_discovery_read(clock.now());
        publisher
    }

    /// Returns a receiver of the newest snapshot, for one core.
    pub fn subscribe(&self) -> watch::Receiver<EndpointSnapshot> {
        self.snapshots.subscribe()
    }

    /// Publishes a snapshot. First raises the generation in the fence: from then on, a core starts no attempt
    /// until the core has applied this snapshot.
    fn publish(&mut self) {
        let generation = self.shared.fence.publish();
        let entries = Arc::new(self.endpoints.endpoints());
        let layout =
            self.shard_map.as_ref().and_then(|shard_map| Some(shard_map.history()?.latest().clone()));
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
    fn turn_queue(&self) -> TurnQueue {
        self.turn_queue.clone()
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
    fn record_silence(&mut self, gap_s: f64) {
        self.counters.record_max("discovery_quiet_ms_most", (gap_s * 1e3) as u64);
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
        self.shared.fence.record_discovery_read(at_s);
    }
    fn layout_version(&self) -> Option<u64> {
        self.shard_map.as_ref().map(|shard_map| shard_map.version().unwrap_or(0))
    }
    fn apply_layout(&mut self, news: LayoutUpdate) -> Result<(), LayoutError> {
        let now = self.clock.now();
        let Some(shard_map) = &mut self.shard_map else { return Ok(()) };
        let applied = shard_map.apply(news, now).map(drop);
        shard_map.discard_notifications(now);
        self.counters.increment(if applied.is_ok() { "layouts_taken" } else { "layouts_refused" });
        applied
    }
}
