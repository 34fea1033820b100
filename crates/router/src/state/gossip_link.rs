//! The dispatcher's interface to the exchange of observations with other routers.
use super::metrics::MetricsSource;
use alderway::interface::NodeObservation;

/// Sends what this router observes to the other routers of the fleet.
pub trait GossipLink: MetricsSource {
    /// Sends an observation of a data node.
    fn share_observation(&self, node: &str, observation: NodeObservation);
    /// Counts a query that has ended after at least one attempt. `late` says whether it is evidence of overload.
    fn query_ended(&self, late: bool);
}
