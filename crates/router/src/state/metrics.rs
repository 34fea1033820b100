//! Counters and gauges of one core, for the counters endpoint and the log at exit.
use super::counters::Counters;
use std::fmt::Write;

/// Every core knows the same data nodes, so this gauge is not summed over cores: it would count each node several times.
const NODES_KNOWN: &str = "nodes_known";

/// A component other than the dispatcher that has metrics.
pub trait MetricsSource {
    /// The current counters and gauges of the component.
    fn metrics(&self) -> MetricsSnapshot;
}

/// The counters and gauges of a core at one moment.
#[derive(Clone, Default)]
pub struct MetricsSnapshot {
    /// Sums and maxima since the core started.
    pub counters: Counters,
    /// Gauges, each with its name and current value.
    pub gauges: Vec<(&'static str, u64)>,
}

impl MetricsSnapshot {
    /// Adds the counters and gauges of another core.
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

    /// One line for each name, like `queries_open 3`.
    pub fn text(&self) -> String {
        self.gauges.iter().fold(self.counters.text(), |mut text, (name, value)| {
            let _ = writeln!(text, "{name} {value}");
            text
        })
    }
}
