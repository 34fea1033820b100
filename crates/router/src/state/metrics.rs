//! Counters and gauges of one core, for the `/counters` endpoint and the log at exit.
use super::counters::Counters;
use std::fmt::Write;

/// Gauge for the number of data nodes. Every core has the same data nodes, so the value for the process is
/// the maximum over its cores, not the sum.
const NODES_KNOWN: &str = "nodes_known";

/// A component of a core, other than the dispatcher, that has metrics.
pub trait MetricsSource {
    /// The current counters and gauges of the component.
    fn metrics(&self) -> MetricsSnapshot;
}

/// The counters and gauges of a core at one moment.
#[derive(Clone, Default)]
pub struct MetricsSnapshot {
    /// Sums and maxima since the process started, including those that the core published before it was
    /// restarted.
    pub counters: Counters,
    /// Gauges, each with its name and current value.
    pub gauges: Vec<(&'static str, u64)>,
}

impl MetricsSnapshot {
    /// Adds the counters and gauges of another core or component to this snapshot.
    pub fn merge(&mut self, other: &MetricsSnapshot) {
        self.counters.merge(&other.counters);
        for &(name, value) in &other.gauges {
            match self.gauges.iter_mut().find(|(known, _)| *known == name) {
                Some((_, sum)) if name == NODES_KNOWN => *sum = value.max(*sum),
                Some((_, sum)) => *sum += value,
                None => self.gauges.push((name, value)),
            }
        }
    }

    /// All counters and gauges as text: one line `NAME VALUE` for each, like `queries_open 3`.
    pub fn text(&self) -> String {
        self.gauges.iter().fold(self.counters.text(), |mut text, (name, value)| {
            let _ = writeln!(text, "{name} {value}");
            text
        })
    }
}
