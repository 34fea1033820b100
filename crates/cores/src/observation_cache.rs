//! The newest observation of each data node that one core, a thread of the router process, received from the
//! other cores. When the core's thread is restarted after a failure, its next policy gets these observations.
//! An observation holds three spans: the seconds from `observed_at_s` for which the node counts as slow, as
//! very slow and as unresponsive. All times are seconds of the clock that all threads share.
use alderway::interface::NodeObservation;
use std::collections::BTreeMap;

/// Observations that have not expired, by data node name.
#[derive(Default)]
pub struct ObservationCache(BTreeMap<String, NodeObservation>);

/// When the longest of the observation's spans ends, in seconds of the shared clock.
fn expires_at_s(observation: &NodeObservation) -> f64 {
    let longest_s =
        observation.slow_for_s.max(observation.very_slow_for_s).max(observation.unresponsive_for_s);
    observation.observed_at_s + longest_s
}

impl ObservationCache {
    /// Stores an observation, unless the stored observation is of the same process of the node and was made
    /// at the same time or later. An observation whose spans are all 0 removes the stored one instead.
    pub fn record(&mut self, node: &str, observation: NodeObservation) {
        if self.0.get(node).is_some_and(|stored| {
            stored.started_at_s == observation.started_at_s
                && stored.observed_at_s >= observation.observed_at_s
        }) {
            return;
        }
        // Spans that are all 0 mean that the node is healthy, so no observation needs to be stored.
        if expires_at_s(&observation) <= observation.observed_at_s {
            self.0.remove(node);
        } else {
            self.0.insert(node.into(), observation);
        }
    }

    /// Removes observations that have expired and observations of nodes that are not in the endpoint list.
    pub fn sweep(&mut self, now: f64, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|node, observation| is_listed(node) && expires_at_s(observation) > now);
    }

    /// Returns the observations that have not expired at `now`, with the names of their nodes.
    pub fn current(&self, now: f64) -> Vec<(String, NodeObservation)> {
        let current = self.0.iter().filter(|(_, observation)| expires_at_s(observation) > now);
        current.map(|(node, observation)| (node.clone(), *observation)).collect()
    }

    /// The number of stored observations.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no observation is stored.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
