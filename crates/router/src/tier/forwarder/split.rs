//! What the dispatcher tells in a round, passed on to whoever decides: a planner, or the own module.
use super::{Forwarder, Part, Query};
use alderway::interface::{AttemptOutcome, NodeObservation, NodeState, PolicyInput, StateTransfer};
use alderway_tier::messages::Message;
use alderway_tier::query_assignments::Decider;

/// What the dispatcher tells, on its way to whoever decides.
pub struct Split<'a> {
    forwarder: &'a mut Forwarder,
    own: &'a mut dyn PolicyInput,
    /// The query whose parts are told now, and whether the own module decides for it.
    told: (String, bool),
}

impl<'a> Split<'a> {
    /// Begins a round: what the own module takes over comes first.
    pub fn begin(forwarder: &'a mut Forwarder, own: &'a mut dyn PolicyInput) -> Self {
        let now = forwarder.clock.now();
        for (node, seen) in std::mem::take(&mut forwarder.heard) {
            own.node_observed(&node, seen);
        }
        for id in std::mem::take(&mut forwarder.own_due) {
            let Some(query) = forwarder.queries.get(&id) else { continue };
            own.query_arrived(query.number, &id, query.vertical, &query.customer, query.not_after);
            for part in &query.parts {
                own.shard_request_added(query.number, &part.id, part.shard, part.weight);
                for (node, at, ending) in &part.calls {
                    own.adopt_attempt(&part.id, node, now - at, *ending);
                }
            }
        }
        Split { forwarder, own, told: (String::new(), false) }
    }

    /// Ends a round: what is asked of planners goes out.
    pub fn end(self) {
        for assignment in std::mem::take(&mut self.forwarder.fresh) {
            // Its planner may have been lost in the round, and the query asked anew.
            if self.forwarder.assignments.query_of(&assignment.decider, assignment.term).is_some() {
                self.forwarder.ask(assignment);
            }
        }
    }
}

/// Layouts do not go with the two levels yet, so there is nothing to pass on.
impl StateTransfer for Split<'_> {}

impl PolicyInput for Split<'_> {
    fn endpoint_list_replaced(&mut self) {
        self.own.endpoint_list_replaced();
    }

    fn endpoint_updated(&mut self, node: &str, cell: u32, state: NodeState, started: Option<f64>) {
        if state == NodeState::Removed {
            self.forwarder.starts.remove(node);
        } else {
            self.forwarder.starts.insert(node.into(), started);
        }
        self.own.endpoint_updated(node, cell, state, started);
    }

    fn endpoint_poll_failed(&mut self) {
        self.own.endpoint_poll_failed();
    }

    fn query_arrived(&mut self, number: u64, id: &str, vertical: usize, customer: &str, not_after: f64) {
        let able = self.forwarder.able();
        let Some(assignment) = self.forwarder.assignments.assign(id, able.iter()) else { return };
        let query = Query { number, vertical, customer: customer.into(), not_after, parts: vec![] };
        self.forwarder.queries.insert(id.into(), query);
        self.told = (id.into(), assignment.decider == Decider::Local);
        if assignment.decider == Decider::Local {
            self.forwarder.counters.increment("queries_decided{own}");
            self.own.query_arrived(number, id, vertical, customer, not_after);
        } else {
            self.forwarder.fresh.push(assignment);
        }
    }

    fn shard_request_added(&mut self, number: u64, id: &str, shard: u32, weight: f64) {
        // A query's parts follow on it.
        let (name, own) = &self.told;
        let Some(query) = self.forwarder.queries.get_mut(name).filter(|q| q.number == number) else { return };
        query.parts.push(Part { id: id.into(), shard, weight, calls: vec![] });
        self.forwarder.parts.insert(id.into(), (name.clone(), query.parts.len() - 1));
        if *own {
            self.own.shard_request_added(number, id, shard, weight);
        }
    }

    fn attempt_ended(&mut self, part: &str, hop: usize, node: &str, ending: AttemptOutcome, latency: f64) {
        if let Some((query, at)) = self.forwarder.parts.get(part)
            && let Some(query) = self.forwarder.queries.get_mut(query)
            && let Some(call) = query.parts[*at].calls.get_mut(hop)
        {
            call.2 = Some(ending);
        }
        match self.forwarder.calls.remove(&(part.into(), hop)) {
            Some(call) => {
                let (part, node) = (part.into(), node.into());
                let ended = Message::AttemptEnded {
                    request: part,
                    attempt: hop as u32,
                    node,
                    outcome: ending.into(),
                    latency_s: latency,
                };
                self.forwarder.send(&call.planner, &ended);
            }
            None => self.own.attempt_ended(part, hop, node, ending, latency),
        }
    }

    fn client_disconnected(&mut self, query: &str) {
        if !self.forwarder.left(query) {
            self.own.client_disconnected(query);
        }
    }

    fn timer_fired(&mut self, tag: u64) {
        self.own.timer_fired(tag);
    }

    fn node_observed(&mut self, node: &str, seen: NodeObservation) {
        self.own.node_observed(node, seen);
    }
}
