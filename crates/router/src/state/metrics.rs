//! Counters and gauges of one core, for the counters endpoint and the log at exit.
use super::counters::Counters;
use std::fmt::Write;

/// Known to all cores alike: the sum over cores would count each data node several times.
const NODES_KNOWN: &str = "nodes_known";

/// A component beside the dispatcher that counts.
pub trait MetricsSource {
    /// Its counters and gauges now.
    fn metrics(&self) -> MetricsSnapshot;
}

/// What a core has counted, and what is open on it now.
#[derive(Clone, Default)]
pub struct MetricsSnapshot {
    /// Sums and maxima since the start.
    pub counters: Counters,
    /// Name and present value.
    pub gauges: Vec<(&'static str, u64)>,
}

impl MetricsSnapshot {
    /// Adds those of another core.
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

    /// One line for each name, as `queries_open 3`.
    pub fn text(&self) -> String {
        self.gauges.iter().fold(self.counters.text(), |mut text, (name, value)| {
            let _ = writeln!(text, "{name} {value}");
            text
        })
    }
}
