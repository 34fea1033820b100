//! The dispatcher's way to the other routers.
use super::metrics::MetricsSource;
use alderway::interface::NodeObservation;

/// Shares what this router learns with the other routers of the fleet.
pub trait GossipLink: MetricsSource {
    /// Shares an observation of a data node.
    fn share_observation(&self, node: &str, observation: NodeObservation);
    /// Counts a query that had attempts and has ended; `late` is whether it counts as overload.
    fn query_ended(&self, late: bool);
}
