//! The dispatcher's interface to the gossip protocol, which shares observations of data nodes and latency
//! counts with the other routers of the fleet. An observation is the health of a data node according to the
//! attempts of one core. Latency counts are the numbers of queries that ended after their latency objective
//! (late) and within it (in time). The fleet is all routers that exchange gossip.
use super::metrics::MetricsSource;
use alderway::interface::NodeObservation;

/// Sends observations and latency counts of this router to the other routers of the fleet.
pub trait GossipLink: MetricsSource {
    /// Sends an observation of the data node `node` to the other routers.
    fn share_observation(&self, node: &str, observation: NodeObservation);
    /// Counts a query that has ended after at least one attempt. `late` says whether the query counts as late
    /// in the fleet's estimate of overload.
    fn query_ended(&self, late: bool);
}
