//! The newest observation of each data node that a core received from the others, kept for the core's next policy when
//! its thread is restarted after a failure.
use alderway::interface::NodeObservation;
use std::collections::BTreeMap;

/// Unexpired observations by the name of the data node.
#[derive(Default)]
pub struct ObservationCache(BTreeMap<String, NodeObservation>);

/// The time at which the last of an observation's spans ends.
fn expires_at_s(observation: &NodeObservation) -> f64 {
    let longest_s =
        observation.slow_for_s.max(observation.very_slow_for_s).max(observation.unresponsive_for_s);
    observation.observed_at_s + longest_s
}

impl ObservationCache {
    /// Stores an observation, unless a newer one of the same process of the node is stored.
    pub fn record(&mut self, node: &str, observation: NodeObservation) {
        if self.0.get(node).is_some_and(|stored| {
            stored.started_at_s == observation.started_at_s
                && stored.observed_at_s >= observation.observed_at_s
        }) {
            return;
        }
        // An observation without any span says that the node is healthy again: it removes the stored one.
        if expires_at_s(&observation) <= observation.observed_at_s {
            self.0.remove(node);
        } else {
            self.0.insert(node.into(), observation);
        }
    }

    /// Drops observations that have expired and those of nodes that are not in the endpoint list.
    pub fn sweep(&mut self, now: f64, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|node, observation| is_listed(node) && expires_at_s(observation) > now);
    }

    /// The observations that have not expired, with the names of their nodes.
    pub fn current(&self, now: f64) -> Vec<(String, NodeObservation)> {
        let current = self.0.iter().filter(|(_, observation)| expires_at_s(observation) > now);
        current.map(|(node, observation)| (node.clone(), *observation)).collect()
    }

    /// How many observations are stored.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is stored.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
