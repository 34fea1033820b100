//! Keeps state when shards change. A new shard starts with the latencies of its parents, the shards that
//! contained its keys before. The successors of a shard request, which replace it after its shard was split,
//! get copies of its attempts. A query that this host continues for another host process keeps its attempts.
//! This module makes no decisions.

use super::attempts_by_age::AttemptPosition;
use super::latency::{LatencyWindow, SHARD_SAMPLES_MIN};
use super::node::Node;
use super::outlier_detection::InFlightAttempt;
use super::query::{Attempt, ShardAndClass, ShardRequest, ShardRequestPosition};
use super::{Policy, ShardState};
use crate::interface::{AttemptOutcome, ClassSlot, PolicyConfig, ShardHolders, StateTransfer};

impl StateTransfer for Policy {
    fn set_shard_holders(&mut self, shard: u32, holders: ShardHolders) {
        let explicit = self.placement.explicit_holders.get_or_insert_default();
        if explicit.insert(shard, holders).is_none() {
            self.serving_nodes.clear();
        }
    }

    /// The new shard starts with the latest latencies of its parents and the round robin offset of the first.
    /// A shard that already has state keeps it.
    fn inherit_shard(&mut self, shard: u32, parents: &[u32]) {
        let known: Vec<&ShardState> = parents.iter().filter_map(|parent| self.shards.get(parent)).collect();
        let Some(first) = known.first() else { return };
        let windows: Vec<&LatencyWindow> = known.iter().map(|parent| &parent.latencies).collect();
        let state = ShardState {
            round_robin_offset: first.round_robin_offset,
            latencies: LatencyWindow::inherit(&windows, SHARD_SAMPLES_MIN),
        };
        self.shards.entry(shard).or_insert(state);
    }

    fn shard_retired(&mut self, shard: u32) {
        self.shards.remove(&shard);
        if let Some(explicit) = &mut self.placement.explicit_holders {
            explicit.remove(&shard);
        }
    }

    /// Replaces an open shard request by its successors after its shard was split; `into` has the id, shard
    /// and weight of each successor.
    ///
    /// Each successor has a copy of the old shard request's attempts, so that a split allows neither a second
    /// effect nor more than the maximum number of attempts or hedges. An attempt in flight uses its node's
    /// capacity once, even if several successors wait for it.
    fn shard_request_split(&mut self, number: u64, request: &str, into: &[(&str, u32, f64)]) {
        let is_of_query = |position: &ShardRequestPosition| position.query == number;
        let position = self.shard_requests.get(request).copied().filter(is_of_query);
        let Some(position) = position else { return };
        let Some(query) = self.queries.get_mut(&number) else { return };
        self.shard_requests.remove(request);
        query.next_check_at_s = 0.0;
        let old = &query.requests[position.index];
        let key = ShardAndClass { shard: old.shard, class: query.class };
        let (succeeded, hedges, attempts) = (old.succeeded, old.hedges, old.attempts.clone());
        self.remove_from_index(key, position, &attempts);
        if let Some(&(first, ..)) = into.first() {
            self.rename_in_flight(request, first, &attempts);
        }
        for (nth, &(id, shard, weight)) in into.iter().enumerate() {
            let mut attempts = attempts.clone();
            if nth > 0 {
                // Only the first successor records whether a hedge has won.
                attempts.iter_mut().for_each(|attempt| attempt.bypassed_node = None);
            }
            let successor = ShardRequest { id: id.into(), shard, weight, succeeded, hedges, attempts };
            // The first successor replaces the old shard request.
            self.place_successor(number, successor, (nth == 0).then_some(position.index));
        }
    }

    fn adopt_attempt(&mut self, request: &str, node: &str, age_s: f64, outcome: Option<AttemptOutcome>) {
        self.adopt(request, node, age_s, outcome);
    }

    fn change_config(&mut self, config: &PolicyConfig, slots: &[ClassSlot]) {
        self.apply_config(config, slots);
    }

    fn class_retired(&mut self, slot: usize) {
        self.retire_class(slot);
    }
}

fn in_flight(attempts: &[Attempt]) -> impl Iterator<Item = (usize, &Attempt)> {
    attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight)
}

impl Policy {
    /// Removes a shard request's attempts in flight from the index by age.
    fn remove_from_index(
        &mut self,
        key: ShardAndClass,
        position: ShardRequestPosition,
        attempts: &[Attempt],
    ) {
        for (attempt, _) in in_flight(attempts) {
            let position = AttemptPosition { query: position.query, request: position.index, attempt };
            self.attempts_in_flight.remove(key, position);
        }
    }

    /// Changes the shard request id of attempts in flight from `from` to `to` in the records of their nodes.
    fn rename_in_flight(&mut self, from: &str, to: &str, attempts: &[Attempt]) {
        for (number, attempt) in in_flight(attempts) {
            if let Some(node) = self.nodes.get_mut(&attempt.node)
                && let Some(record) = node.in_flight.remove(&(from.to_string(), number))
            {
                node.in_flight.insert((to.to_string(), number), record);
            }
        }
    }

    /// Stores a successor at `index` among its query's shard requests, or after the last one if `index` is
    /// `None`, and adds the successor's attempts in flight to the index by age.
    fn place_successor(&mut self, number: u64, successor: ShardRequest, index: Option<usize>) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        let index = index.unwrap_or(query.requests.len());
        let key = ShardAndClass { shard: successor.shard, class: query.class };
        for (attempt, started) in in_flight(&successor.attempts) {
            let position = AttemptPosition { query: number, request: index, attempt };
            self.attempts_in_flight.insert(key, started.started_at_stall_free_s, position);
        }
        self.shard_requests.insert(successor.id.clone(), ShardRequestPosition { query: number, index });
        match query.requests.get_mut(index) {
            Some(request) => *request = successor,
            None => query.requests.push(successor),
        }
    }

    /// Adds an attempt that another host process started. The attempt counts toward the maximum number of
    /// attempts and may have had an effect. An attempt in flight also uses its node's capacity and can become
    /// late. If this host's endpoint list does not contain the node, a record of the node is created, as
    /// every attempt in flight needs one.
    fn adopt(&mut self, request_id: &str, node_id: &str, age_s: f64, outcome: Option<AttemptOutcome>) {
        let Some(&position) = self.shard_requests.get(request_id) else { return };
        let Some(query) = self.queries.get(&position.query) else { return };
        let key = ShardAndClass { shard: query.requests[position.index].shard, class: query.class };
        let late_after_s = self.late_after_s(key);
        let started_at_stall_free_s = self.now_stall_free_s - age_s;
        let attempt = Attempt {
            node: node_id.into(),
            started_at_s: self.now_s - age_s,
            started_at_stall_free_s,
            in_flight: outcome.is_none(),
            cancelled: false,
            bypassed_node: None,
            possible_effect: outcome.is_none_or(|outcome| !outcome.had_no_effect()),
            rejected: outcome.is_some_and(AttemptOutcome::was_rejected),
            connection_lost: outcome == Some(AttemptOutcome::ConnectionReset),
        };
        let Some(query) = self.queries.get_mut(&position.query) else { return };
        let request = &mut query.requests[position.index];
        let number = request.attempts.len();
        request.hedges += usize::from(attempt.in_flight && request.is_in_flight());
        request.succeeded |= outcome == Some(AttemptOutcome::Success);
        request.attempts.push(attempt);
        if number == 0 {
            self.undo_deposit_for_adopted_request();
        }
        if outcome.is_none() {
            let age_position =
                AttemptPosition { query: position.query, request: position.index, attempt: number };
            self.attempts_in_flight.insert(key, started_at_stall_free_s, age_position);
            let in_flight = InFlightAttempt { started_at_stall_free_s, late_after_s };
            let node = self.nodes.entry(node_id.into()).or_insert_with(Node::without_endpoint_entry);
            node.in_flight.insert((request_id.into(), number), in_flight);
        }
    }
}
