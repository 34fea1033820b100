//! Handles the events that the host delivers at the start of a round, which is one call of [`Policy::round`]:
//! changes of the endpoint list, new queries and their shard requests, ended attempts. This module updates
//! records and makes no decisions.

use super::attempts_by_age::AttemptPosition;
use super::latency::SHARD_SAMPLES_MAX;
use super::node::Node;
use super::query::{Query, ShardAndClass, ShardRequest, ShardRequestPosition};
use super::{Policy, ShardState};
use crate::interface::{AttemptOutcome, NodeObservation, NodeState, PolicyInput};

/// If polling the endpoint list has failed, this router polls the list again after this time.
const POLL_RETRY_S: f64 = 1.0;
/// A shard's round robin offset is drawn from this many values for each replica group that holds the shard.
const OFFSET_DRAWS_PER_GROUP: f64 = 64.0;

impl PolicyInput for Policy {
    fn endpoint_list_replaced(&mut self) {
        self.nodes.values_mut().for_each(|node| node.state = NodeState::Removed);
        self.serving_nodes.clear();
    }

    fn endpoint_updated(
        &mut self,
        id: &str,
        replica_group: u32,
        state: NodeState,
        started_at_s: Option<f64>,
    ) {
        self.serving_nodes.clear();
        let is_warming_up = started_at_s
            .is_some_and(|at_s| self.slow_start.is_some_and(|rule| self.now_s - at_s < rule.warm_up_s));
        let warm_up_phase = is_warming_up.then(|| self.random.next_fraction());
        match self.nodes.get_mut(id) {
            Some(node) if node.started_at_s == started_at_s => {
                node.replica_group = replica_group;
                node.state = state;
            }
            Some(node) => {
                // The node has restarted. Of the old process's state, only the attempts in flight are kept.
                let in_flight = std::mem::take(&mut node.in_flight);
                *node = Node::new(replica_group, state, started_at_s, warm_up_phase);
                node.in_flight = in_flight;
            }
            None => {
                let node = Node::new(replica_group, state, started_at_s, warm_up_phase);
                self.nodes.insert(id.into(), node);
            }
        }
    }

    fn endpoint_poll_failed(&mut self) {
        self.poll_endpoints_at_s = self.now_s + POLL_RETRY_S;
    }

    fn query_arrived(&mut self, number: u64, id: &str, class: usize, tenant: &str, not_after_s: f64) {
        let is_client_retry = self.detect_client_retry(class, not_after_s);
        let config = &self.classes[class].config;
        // The latency objective of a retry counts from the client's first query.
        let counts_from_s = if is_client_retry { not_after_s - config.deadline_s } else { self.now_s };
        let objective_at_s = config.latency_objective_s + counts_from_s;
        let (now_s, router_count) = (self.now_s, self.router_count);
        let quota = self.tenants.iter_mut().find(|quota| quota.is_for(tenant));
        let over_quota = quota.is_some_and(|quota| !quota.try_take(now_s, router_count));
        let query = Query {
            id: id.into(),
            class,
            over_quota,
            is_client_retry,
            arrived_at_s: self.now_s,
            not_after_s,
            objective_at_s,
            ..Query::default()
        };
        self.queries.insert(number, query);
    }

    fn shard_request_added(&mut self, number: u64, id: &str, shard: u32, weight: f64) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        // The offset is random, as all routers would otherwise send first to the same holder and overload it.
        let groups = f64::from(self.placement.groups_per_shard);
        let round_robin_offset = (self.random.next_fraction() * groups * OFFSET_DRAWS_PER_GROUP) as usize;
        self.shards.entry(shard).or_insert_with(|| ShardState::new(round_robin_offset));
        let position = ShardRequestPosition { query: number, index: query.requests.len() };
        self.shard_requests.insert(id.into(), position);
        query.next_check_at_s = 0.0;
        query.weight_rounding.add(weight);
        query.requests.push(ShardRequest {
            id: id.into(),
            shard,
            weight,
            succeeded: false,
            hedges: 0,
            attempts: vec![],
        });
        self.deposit_tokens_for_new_request();
    }

    fn attempt_ended(
        &mut self,
        request: &str,
        attempt: usize,
        node_id: &str,
        outcome: AttemptOutcome,
        latency_s: f64,
    ) {
        let node = self.nodes.get_mut(node_id);
        let in_flight = node.and_then(|node| node.in_flight.remove(&(request.to_string(), attempt)));
        let latency_s = in_flight.map_or(latency_s, |in_flight| {
            // The router's own stalls do not count as latency of the node.
            latency_s.min(self.now_stall_free_s - in_flight.started_at_stall_free_s)
        });
        if let Some(&position) = self.shard_requests.get(request) {
            self.record_request_outcome(position, attempt, outcome, latency_s);
        }
        if let Some(in_flight) = in_flight {
            self.record_if_connection_lost(outcome);
            self.record_node_outcome(node_id, outcome, latency_s, in_flight.late_after_s);
        }
    }

    fn client_disconnected(&mut self, query: &str) {
        let number = self.queries.iter().find(|(_, open)| open.id == query).map(|(&number, _)| number);
        let Some(query) = number.and_then(|number| self.queries.remove(&number)) else { return };
        self.record_disconnected();
        for request in &query.requests {
            self.shard_requests.remove(&request.id);
        }
    }

    fn timer_fired(&mut self, _tag: u64) {
        self.timer_set = false;
    }

    fn fleet_latency_counts(&mut self, late: u32, in_time: u32) {
        self.load_shedding.record_fleet_latency_counts(self.now_s, late, in_time);
    }

    fn node_observed(&mut self, id: &str, observation: NodeObservation) {
        let age_s = self.now_s - observation.observed_at_s;
        let node = self.nodes.get_mut(id).filter(|node| node.started_at_s == observation.started_at_s);
        if let Some(node) = node {
            node.health_record.record_remote(self.now_stall_free_s, age_s, observation);
        }
    }
}

impl Policy {
    /// Records the outcome of an attempt in its shard request, and its latency for the shard and the query
    /// class.
    fn record_request_outcome(
        &mut self,
        position: ShardRequestPosition,
        number: usize,
        outcome: AttemptOutcome,
        latency_s: f64,
    ) {
        let Some(query) = self.queries.get_mut(&position.query) else { return };
        query.next_check_at_s = 0.0;
        let class = query.class;
        let request = &mut query.requests[position.index];
        let age_position =
            AttemptPosition { query: position.query, request: position.index, attempt: number };
        self.attempts_in_flight.remove(ShardAndClass { shard: request.shard, class }, age_position);
        let is_first_success = outcome == AttemptOutcome::Success && !request.succeeded;
        request.succeeded |= outcome == AttemptOutcome::Success;
        let decided = decided_hedges(request, number, is_first_success);
        if let Some(attempt) = request.attempts.get_mut(number) {
            attempt.in_flight = false;
            attempt.possible_effect = !outcome.had_no_effect();
            attempt.rejected = outcome.was_rejected();
            attempt.connection_lost = outcome == AttemptOutcome::ConnectionReset;
        }
        if outcome == AttemptOutcome::Success {
            self.classes[class].record_success(latency_s);
        }
        // The latency of a cancelled attempt is a lower bound. Without these latencies, the cancellation of
        // slow attempts after successful hedges would lower the delay after which attempts are hedged.
        if matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Cancelled) {
            let shard = self.shards.entry(request.shard).or_default();
            shard.latencies.record(latency_s, SHARD_SAMPLES_MAX);
        }
        for (bypassed_node, won) in decided {
            self.record_hedge(&bypassed_node, won);
        }
    }
}

/// Returns the hedges whose result the end of an attempt decides, each with the late node that the hedge
/// bypasses and whether the hedge has won. The first success of a shard request decides all its hedges; a
/// hedge that ends without being the first success has lost.
fn decided_hedges(request: &mut ShardRequest, ended: usize, is_first_success: bool) -> Vec<(String, bool)> {
    let mut decided = vec![];
    for (number, attempt) in request.attempts.iter_mut().enumerate() {
        if (number == ended || is_first_success)
            && let Some(bypassed_node) = attempt.bypassed_node.take()
        {
            decided.push((bypassed_node, number == ended && is_first_success));
        }
    }
    decided
}
