//! Collects the counters and gauges of one core, and those of all cores.
use super::Dispatcher;
use crate::state::metrics::MetricsSnapshot;
use std::sync::Arc;

impl Dispatcher {
    /// The current counters and gauges of this core, with those of its gossip link and its other metrics
    /// sources.
    pub fn core_metrics(&self) -> MetricsSnapshot {
        let connections: usize = self.endpoints.nodes.values().map(|record| record.connections.len()).sum();
        let gauges = vec![
            ("queries_open", self.queries.len() as u64),
            ("queries_and_parts_held", self.queries.reserved_count() as u64),
            ("leaf_calls_open", self.attempts.in_flight_count() as u64),
            ("connections_open", connections as u64),
            ("clients_open", self.clients.len() as u64),
            ("nodes_known", self.endpoints.nodes.len() as u64),
        ];
        let mut metrics = MetricsSnapshot { counters: self.counters.clone(), gauges };
        metrics.counters.record_turns(&self.turn_times);
        if let Some(gossip) = &self.gossip {
            metrics.merge(&gossip.metrics());
        }
        for source in &self.metrics_sources {
            metrics.merge(&source.metrics());
        }
        metrics
    }

    /// Publishes the current metrics of this core to the other cores.
    pub fn publish_metrics(&self) -> Arc<MetricsSnapshot> {
        let metrics = Arc::new(self.core_metrics());
        self.shared.cores[self.core].metrics.send_replace(metrics.clone());
        metrics
    }

    /// The counters and gauges of all cores as text. Publishes the current values of this core first. Guards
    /// against counters that seem to decrease when another core answers the next request for metrics.
    pub fn metrics_text(&self) -> String {
        let mut metrics = MetricsSnapshot::clone(&self.publish_metrics());
        self.shared.add_other_cores(Some(self.core), &mut metrics);
        metrics.text()
    }
}
