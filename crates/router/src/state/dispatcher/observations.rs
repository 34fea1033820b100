//! Observations of data nodes and counts of late queries that cores and routers share with each other. An
//! observation is the health of a data node according to the attempts of one core. The fleet is all routers
//! that exchange gossip. The policy is the code that decides about queries and attempts.
use super::Dispatcher;
use crate::state::shared::ObservationMessage;
use alderway::interface::NodeObservation;

impl Dispatcher {
    /// Adds an observation of a data node made by another core or router. The policy gets the observation in
    /// its next run.
    pub fn remote_observation(&mut self, message: ObservationMessage) {
        self.counters.increment("evidence_heard");
        self.observations.record(&message.node, message.observation);
        self.pending.add_observation(message.node, message.observation);
        self.work_ready.notify_one();
    }

    /// Adds the numbers of queries of all routers of the fleet, with this one, that ended after their latency
    /// objective (late) and within it (in time). The policy gets the sums in its next run.
    pub fn receive_fleet_latency_counts(&mut self, late: u32, in_time: u32) {
        self.pending.add_fleet_latency_counts(late, in_time);
        self.counters.add("fleet_late", late as usize);
        self.counters.add("fleet_in_time", in_time as usize);
        self.work_ready.notify_one();
    }

    /// Queues all observations of other cores and routers that have not expired, for a restarted policy.
    pub fn replay_observations(&mut self) {
        self.pending.set_observations(self.observations.current(self.clock.now()));
        self.work_ready.notify_one();
    }

    /// Sends an observation of a data node made by this core's policy to other routers and to the other
    /// cores.
    pub(super) fn publish_observation(&mut self, node: &str, observation: NodeObservation) {
        if let Some(gossip) = &self.gossip {
            gossip.share_observation(node, observation);
            self.counters.increment("evidence_told");
        }
        let message = ObservationMessage { core: self.core, node: node.into(), observation };
        if self.shared.broadcast_observation(message) {
            self.counters.increment("evidence_told");
        }
    }
}
