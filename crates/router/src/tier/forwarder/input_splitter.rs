//! Splits the dispatcher's input for the policy between the deciders of the queries: input for a query of a
//! planner is sent to that planner, and all other input goes to the local policy, which runs in the forwarder
//! itself. A round processes all input since the previous round.
use super::{Forwarder, Query, ShardRequest};
use alderway::interface::{AttemptOutcome, NodeObservation, NodeState, PolicyInput, StateTransfer};
use alderway_tier::messages::Message;
use alderway_tier::query_assignments::Decider;

/// Receives the policy input of one round in place of the local policy, and passes each part to the query's
/// decider.
pub struct InputSplitter<'a> {
    forwarder: &'a mut Forwarder,
    policy: &'a mut dyn PolicyInput,
    /// Id of the query whose shard requests are being added, and whether the local policy decides on this
    /// query.
    current_query: (String, bool),
}

impl<'a> InputSplitter<'a> {
    /// Begins a round, before the dispatcher passes its input. The local policy first gets the observations
    /// of data nodes by planners, and the queries that it takes over from planners.
    pub fn begin_round(forwarder: &'a mut Forwarder, policy: &'a mut dyn PolicyInput) -> Self {
        let now = forwarder.clock.now();
        for (node, observation) in std::mem::take(&mut forwarder.observations) {
            policy.node_observed(&node, observation);
        }
        for id in std::mem::take(&mut forwarder.local_takeovers) {
            let Some(query) = forwarder.queries.get(&id) else { continue };
            policy.query_arrived(query.number, &id, query.class, &query.tenant, query.deadline);
            for request in &query.requests {
                policy.shard_request_added(query.number, &request.id, request.shard, request.weight);
                for attempt in &request.attempts {
                    let age_s = now - attempt.started_at;
                    policy.adopt_attempt(&request.id, &attempt.node, age_s, attempt.outcome);
                }
            }
        }
        InputSplitter { forwarder, policy, current_query: (String::new(), false) }
    }

    /// Ends a round, after the dispatcher has passed all its input, and sends each new assignment to its
    /// planner.
    pub fn end_round(self) {
        for assignment in std::mem::take(&mut self.forwarder.new_assignments) {
            // If the planner was lost during the round, the query has been reassigned and this assignment is
            // not sent.
            let assignments = &self.forwarder.assignments;
            if assignments.query_of(&assignment.decider, assignment.term).is_some() {
                self.forwarder.send_assignment(assignment);
            }
        }
    }
}

/// Uses the default functions of `StateTransfer`, which do nothing. A forwarder has no shard map, the list of
/// the data nodes that hold each shard, so there are no changes of shards to pass to the policy.
impl StateTransfer for InputSplitter<'_> {}

impl PolicyInput for InputSplitter<'_> {
    fn endpoint_list_replaced(&mut self) {
        self.policy.endpoint_list_replaced();
    }

    fn endpoint_updated(
        &mut self,
        node: &str,
        replica_group: u32,
        state: NodeState,
        started_at_s: Option<f64>,
    ) {
        if state == NodeState::Removed {
            self.forwarder.node_starts.remove(node);
        } else {
            self.forwarder.node_starts.insert(node.into(), started_at_s);
        }
        self.policy.endpoint_updated(node, replica_group, state, started_at_s);
    }

    fn endpoint_poll_failed(&mut self) {
        self.policy.endpoint_poll_failed();
    }

    fn query_arrived(&mut self, number: u64, id: &str, class: usize, tenant: &str, deadline: f64) {
        let available = self.forwarder.available_planners();
        let Some(assignment) = self.forwarder.assignments.assign(id, available.iter()) else { return };
        let query = Query { number, class, tenant: tenant.into(), deadline, requests: vec![] };
        self.forwarder.queries.insert(id.into(), query);
        self.current_query = (id.into(), assignment.decider == Decider::Local);
        if assignment.decider == Decider::Local {
            self.forwarder.counters.increment("queries_decided{own}");
            self.policy.query_arrived(number, id, class, tenant, deadline);
        } else {
            self.forwarder.new_assignments.push(assignment);
        }
    }

    fn shard_request_added(&mut self, number: u64, id: &str, shard: u32, weight: f64) {
        // The dispatcher passes the shard requests of a query directly after the query, so `current_query` is
        // their query.
        let (query_id, is_local) = &self.current_query;
        let query = self.forwarder.queries.get_mut(query_id).filter(|query| query.number == number);
        let Some(query) = query else { return };
        query.requests.push(ShardRequest { id: id.into(), shard, weight, attempts: vec![] });
        self.forwarder.requests.insert(id.into(), (query_id.clone(), query.requests.len() - 1));
        if *is_local {
            self.policy.shard_request_added(number, id, shard, weight);
        }
    }

    fn attempt_ended(
        &mut self,
        request: &str,
        attempt: usize,
        node: &str,
        outcome: AttemptOutcome,
        latency_s: f64,
    ) {
        if let Some((query, index)) = self.forwarder.requests.get(request)
            && let Some(query) = self.forwarder.queries.get_mut(query)
            && let Some(record) = query.requests[*index].attempts.get_mut(attempt)
        {
            record.outcome = Some(outcome);
        }
        match self.forwarder.planner_attempts.remove(&(request.into(), attempt)) {
            Some(of_planner) => {
                let ended = Message::AttemptEnded {
                    request: request.into(),
                    attempt: attempt as u32,
                    node: node.into(),
                    outcome: outcome.into(),
                    latency_s,
                };
                self.forwarder.send(&of_planner.planner, &ended);
            }
            None => self.policy.attempt_ended(request, attempt, node, outcome, latency_s),
        }
    }

    fn client_disconnected(&mut self, query: &str) {
        if !self.forwarder.query_closed(query) {
            self.policy.client_disconnected(query);
        }
    }

    fn timer_fired(&mut self, tag: u64) {
        self.policy.timer_fired(tag);
    }

    fn node_observed(&mut self, node: &str, observation: NodeObservation) {
        self.policy.node_observed(node, observation);
    }
}
