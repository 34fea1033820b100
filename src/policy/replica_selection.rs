//! Decides which data node of a shard's replica groups an attempt goes to, and which shard requests of a
//! query are sent together in one batch.
//!
//! Inputs are the health of the shard's holders, which are the serving nodes that hold it, their capacity in
//! shard requests, which of them have had an attempt before, and when this core last sent an attempt to each.
//! Among equal nodes the least recently used one is selected, over all shards: with a separate round robin
//! for each shard, neighbouring shards of a query would often select the same node. Times are in seconds.

use super::Policy;
use super::attempts_by_age::AttemptPosition;
use super::outlier_detection::{Health, InFlightAttempt};
use super::query::{Attempt, Query, ShardAndClass, ShardRequest, ShardRequestPosition};
use super::slow_start::{CapacityInputs, NodeCapacity, warm_up_history_s};
use crate::interface::{DecisionSink, Idempotency, NodeState};
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// Time-out of an attempt that can be retried but not cancelled, as a fraction of the latency objective.
const UNCANCELLABLE_TIMEOUT_FRACTION: f64 = 0.5;

/// A holder that has capacity for an attempt.
struct Candidate {
    /// The candidate with the lowest rank is preferred.
    rank: CandidateRank,
    /// Index among the shard's holders.
    holder: usize,
    capacity: NodeCapacity,
}

/// The order in which holders are preferred: by health, where a holder that has had an attempt of the shard
/// request ranks one level lower; then by the number of the query's waiting shard requests that the holder
/// can take; then by round robin.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    health: u8,
    /// Number of the query's waiting shard requests that the holder can take in one batch; more are
    /// preferred.
    batch_size: Reverse<usize>,
    last_attempt: u64,
    /// Number of holders from the shard's round robin offset to this one; orders nodes that have had no
    /// attempt yet.
    step: usize,
}

/// The data node to which the next attempt of a shard request is sent.
pub(super) struct SelectedNode {
    pub id: String,
    /// Number of shard requests that the node may be sent now.
    pub capacity_requests: usize,
}

impl Policy {
    /// Fills the map from replica groups to serving nodes if the map is empty: changes of the endpoint list
    /// or of the holders of shards clear the map.
    pub(super) fn refresh_serving_nodes(&mut self) {
        if !self.serving_nodes.is_empty() {
            return;
        }
        for (id, node) in &self.nodes {
            if node.state == NodeState::Serving {
                let group = self.placement.replica_group_index(node.replica_group);
                self.serving_nodes.entry(group).or_default().push(id.clone());
            }
        }
    }

    /// Ids of the serving nodes that hold a shard, by replica group in the order of the ring or of the
    /// explicit list.
    pub(super) fn serving_holders(&self, shard: u32) -> Vec<&str> {
        let excluded = self.placement.excluded_nodes(shard);
        let groups = self.placement.holding_groups(shard);
        let members = groups.filter_map(|group| self.serving_nodes.get(&group)).flatten().map(String::as_str);
        members.filter(|id| excluded.is_none_or(|excluded| !excluded.contains(*id))).collect()
    }

    /// Maximum number of shard requests in one attempt. Batching is useful only if an attempt costs work in
    /// addition to that of its shard requests.
    fn max_batch(&self) -> usize {
        if self.placement.attempt_overhead_s > 0.0 { self.placement.max_batch } else { 1 }
    }

    fn capacity_inputs(&self, class: usize, max_batch: usize) -> CapacityInputs {
        CapacityInputs {
            now_s: self.now_s,
            request_work_s: self.request_work_s(class),
            router_count: self.router_count,
            slow_start: self.slow_start,
            max_batch,
        }
    }

    /// Returns a function that decides whether a holder may get an attempt of a shard request. Not eligible
    /// are holders with an attempt of the shard request in flight, and holders that rejected an attempt of it
    /// that started less than `work_s` seconds ago, so that not all attempts go to the same full node.
    /// Unresponsive holders are eligible only for a first attempt, and only if all holders are unresponsive.
    fn is_eligible(&self, request: &ShardRequest, holders: &[&str], work_s: f64) -> impl Fn(&str) -> bool {
        let unresponsive = move |id: &str| self.nodes[id].health == Health::Unresponsive;
        let last_resort = request.attempts.is_empty() && holders.iter().all(|id| unresponsive(id));
        move |id| {
            let recent = |attempt: &Attempt| self.now_stall_free_s - attempt.started_at_stall_free_s < work_s;
            let blocks = |attempt: &Attempt| {
                attempt.node == id && (attempt.in_flight || attempt.rejected && recent(attempt))
            };
            (last_resort || !unresponsive(id)) && !request.attempts.iter().any(blocks)
        }
    }

    /// Whether any holder is expected to have capacity for a shard request before the client's deadline, or
    /// no holder is serving. Otherwise the query is abandoned, so that its other shard requests cause no
    /// useless work.
    pub(super) fn has_holder_available_before_deadline(&self, query: &Query, request: &ShardRequest) -> bool {
        let inputs = self.capacity_inputs(query.class, 1);
        let holders = self.serving_holders(request.shard);
        let is_eligible = self.is_eligible(request, &holders, inputs.request_work_s);
        let in_time = |id: &str| {
            let capacity = self.nodes[id].capacity(&inputs);
            capacity.requests > 0 || capacity.exclusive_for_s < query.not_after_s - self.now_s
        };
        holders.is_empty() || holders.iter().any(|id| is_eligible(id) && in_time(id))
    }

    /// Selects the node for a shard request's next attempt; `None` if no eligible holder has capacity now.
    /// `waiting_shards` are the shards of the query's shard requests that wait for an attempt, including this
    /// one.
    pub(super) fn select_node(
        &self,
        position: ShardRequestPosition,
        waiting_shards: &[u32],
        max_batch: usize,
    ) -> Option<SelectedNode> {
        let query = &self.queries[&position.query];
        let request = &query.requests[position.index];
        let holders = self.serving_holders(request.shard);
        let mut candidates = self.candidates(query.class, request, &holders, waiting_shards, max_batch);
        candidates.sort_unstable_by(|one, other| one.rank.cmp(&other.rank));
        let may_send = |candidate: &Candidate| {
            let exclusive_for_s = candidate.capacity.exclusive_for_s;
            let node = holders[candidate.holder];
            exclusive_for_s <= 0.0
                || self.shared_limits.try_slow_start_turn(node, self.now_s, exclusive_for_s)
        };
        let selected = candidates.into_iter().find(may_send)?;
        Some(SelectedNode {
            id: holders[selected.holder].to_string(),
            capacity_requests: selected.capacity.requests,
        })
    }

    /// The eligible holders that have capacity, with their ranks.
    fn candidates(
        &self,
        class: usize,
        request: &ShardRequest,
        holders: &[&str],
        waiting_shards: &[u32],
        max_batch: usize,
    ) -> Vec<Candidate> {
        let inputs = self.capacity_inputs(class, max_batch);
        let is_eligible = self.is_eligible(request, holders, inputs.request_work_s);
        let offset = self.shards.get(&request.shard).map_or(0, |shard| shard.round_robin_offset);
        let mut candidates = Vec::new();
        for step in 0..holders.len() {
            let holder = (offset + step) % holders.len();
            let (id, node) = (holders[holder], &self.nodes[holders[holder]]);
            let capacity = node.capacity(&inputs);
            if capacity.requests == 0 || !is_eligible(id) {
                continue;
            }
            let tried = request.attempts.iter().any(|attempt| attempt.node == id);
            let held = |shard: &&u32| self.placement.holds(id, node.replica_group, **shard);
            let batched = waiting_shards.iter().filter(held).count().min(capacity.requests);
            let rank = CandidateRank {
                health: node.health.rank() + u8::from(tried),
                batch_size: Reverse(batched),
                last_attempt: node.last_attempt,
                step,
            };
            candidates.push(Candidate { rank, holder, capacity });
        }
        candidates
    }

    /// Starts first attempts or retries of a query's shard requests that have no attempt in flight.
    pub(super) fn start_waiting_requests(&mut self, number: u64, sink: &mut dyn DecisionSink) {
        let Some(query) = self.queries.get(&number).filter(|query| !query.may_have_crashed_nodes()) else {
            return;
        };
        let waits = |request: &ShardRequest| {
            !request.succeeded && !request.is_in_flight() && self.may_attempt_again(query, request)
        };
        let mut waiting: VecDeque<usize> =
            (0..query.requests.len()).filter(|&index| waits(&query.requests[index])).collect();
        let single_attempt = self.sends_single_attempt(query);
        if single_attempt && query.requests.iter().any(ShardRequest::is_in_flight) {
            return;
        }
        let max_batch = self.max_batch();
        while !waiting.is_empty() {
            let batched = if max_batch > 1 { waiting.len() } else { 1 };
            let group = &waiting.make_contiguous()[..batched];
            let started = self.start_batch(number, group, max_batch, sink);
            if started.is_empty() {
                waiting.pop_front();
                continue;
            }
            if single_attempt {
                break;
            }
            waiting.retain(|index| !started.contains(index));
        }
    }

    /// Sends the first shard request of a group to a node, together with the other shard requests of the
    /// group whose shards the node holds. Returns the indices of the shard requests that have been handled in
    /// this round, including retries for which there was no token; the set is empty if no node can take the
    /// first shard request.
    fn start_batch(
        &mut self,
        number: u64,
        group: &[usize],
        max_batch: usize,
        sink: &mut dyn DecisionSink,
    ) -> BTreeSet<usize> {
        let mut started = BTreeSet::new();
        let query = &self.queries[&number];
        let first = &query.requests[group[0]];
        let key = ShardAndClass { shard: first.shard, class: query.class };
        let is_first_attempt = first.attempts.is_empty();
        // Checked first, as node selection is more expensive.
        let lacks_token = !is_first_attempt && !self.budget_allows_retry();
        if lacks_token || self.exhausted_shards.contains(&key) {
            return started;
        }
        let shards: Vec<u32> = group.iter().map(|&index| query.requests[index].shard).collect();
        let position = ShardRequestPosition { query: number, index: group[0] };
        let Some(selected) = self.select_node(position, &shards, max_batch) else {
            if is_first_attempt {
                self.exhausted_shards.insert(key);
            }
            return started;
        };
        let replica_group = self.nodes[&selected.id].replica_group;
        for (&index, &shard) in group.iter().zip(&shards) {
            let fits = started.len() < selected.capacity_requests;
            if fits && self.placement.holds(&selected.id, replica_group, shard) {
                started.insert(index);
                let is_retry = !self.queries[&number].requests[index].attempts.is_empty();
                if !is_retry || self.try_take_token_for_retry() {
                    self.start_attempt(ShardRequestPosition { query: number, index }, &selected.id, sink);
                }
            }
        }
        started
    }

    /// The time-out in seconds of a shard request's next attempt. It ends when an answer to the shard request
    /// loses its value, or earlier if the attempt can be retried but not cancelled.
    fn attempt_timeout_s(&self, query: &Query, request: &ShardRequest) -> f64 {
        let class = &self.classes[query.class].config;
        let retryable = class.idempotency == Idempotency::Idempotent
            && request.attempts.len() + 1 < self.capabilities.max_attempts;
        let limit_s = if retryable && !self.capabilities.can_cancel {
            UNCANCELLABLE_TIMEOUT_FRACTION * class.latency_objective_s
        } else {
            f64::INFINITY
        };
        limit_s.min(self.answer_useful_until_s(query) - self.now_s)
    }

    /// Starts an attempt of a shard request to a node.
    pub(super) fn start_attempt(
        &mut self,
        position: ShardRequestPosition,
        node_id: &str,
        sink: &mut dyn DecisionSink,
    ) {
        let query = &self.queries[&position.query];
        let timeout_s = self.attempt_timeout_s(query, &query.requests[position.index]);
        let key = ShardAndClass { shard: query.requests[position.index].shard, class: query.class };
        let (late_after_s, work_s) = (self.late_after_s(key), self.request_work_s(key.class));
        let (now_s, now_stall_free_s) = (self.now_s, self.now_stall_free_s);
        let Some(query) = self.queries.get_mut(&position.query) else { return };
        let request = &mut query.requests[position.index];
        let Some(node) = self.nodes.get_mut(node_id) else { return };

        let attempt = request.attempts.len();
        let age_position = AttemptPosition { query: position.query, request: position.index, attempt };
        self.attempts_in_flight.push(key, now_stall_free_s, age_position);
        let in_flight = InFlightAttempt { started_at_stall_free_s: now_stall_free_s, late_after_s };
        node.in_flight.insert((request.id.clone(), attempt), in_flight);
        self.attempts_started += 1;
        node.last_attempt = self.attempts_started;
        node.warm_up_load.record(now_s, work_s, warm_up_history_s(self.slow_start));
        sink.start_attempt(&request.id, node_id, timeout_s);
        request.hedges += usize::from(request.is_in_flight());
        request.attempts.push(Attempt {
            node: node_id.into(),
            started_at_s: now_s,
            started_at_stall_free_s: now_stall_free_s,
            in_flight: true,
            possible_effect: true,
            ..Attempt::default()
        });
    }
}
