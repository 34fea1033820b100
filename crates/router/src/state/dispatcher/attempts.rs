//! Attempts, from the decision of the policy, the code that decides about queries and attempts, to their
//! outcome. Each attempt ends exactly once. When a shard request is split, the new requests (its parts) share
//! the attempts that the split request has in flight.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::node_connection::{DialRequest, OutboundFrame, SendProgress};
use crate::state::queries::ShardRequest;
use alderway::interface::{AttemptOutcome, NodeState, PolicyInput};
use std::rc::Rc;

impl Dispatcher {
    /// Starts an attempt of a shard request on data node `node`. The attempt times out after `timeout_s`
    /// seconds. `flush_attempts` puts the attempt into a frame after the policy has run.
    pub(super) fn start_attempt_on_node(&mut self, request_id: &str, node: &str, timeout_s: f64) {
        let is_hedge = self.has_attempt_in_flight(request_id);
        let now = self.clock.now();
        let Some(request) = self.queries.request_mut(request_id) else {
            return self.counters.increment("calls_of_parts_over");
        };
        let id = AttemptId::new(request.id.clone(), request.attempts);
        request.attempts += 1;
        self.counters.increment(match (id.number, is_hedge) {
            (0, _) => "leaf_calls_sent{first}",
            (_, true) => "leaf_calls_sent{copy}",
            (_, false) => "leaf_calls_sent{further}",
        });
        let is_duplicate = self.is_in_flight_at(request_id, node);
        self.attempts.start(id.clone(), node, now, now + timeout_s);
        // Guards against two attempts of a shard request in flight at one data node, whose replies could not
        // be distinguished.
        if is_duplicate {
            self.counters.increment("calls_twice_at_a_node");
            return self.record_attempt_end(&id, AttemptOutcome::NeverSent);
        }
        match self.endpoints.nodes.get_mut(node) {
            // Guards against a decision that the policy made before it received that the data node drains or
            // is removed.
            Some(record) if record.state == NodeState::Serving => {
                if record.unsent_attempts.is_empty() {
                    self.nodes_to_flush.insert(node.to_string());
                }
                record.unsent_attempts.push(id);
            }
            _ => {
                self.counters.increment("calls_of_nodes_not_serving");
                self.record_attempt_end(&id, AttemptOutcome::NeverSent);
            }
        }
    }

    fn has_attempt_in_flight(&self, request_id: &str) -> bool {
        match &self.shard_map {
            Some(shard_map) if !shard_map.families.is_empty() => {
                !self.attempts_of_family(&request_id.into()).is_empty()
            }
            _ => !self.attempts.of_request(request_id).is_empty(),
        }
    }

    fn is_in_flight_at(&self, request_id: &str, node: &str) -> bool {
        let attempts = self.attempts.of_request(request_id);
        attempts.iter().any(|id| self.attempts.get(id).is_some_and(|attempt| attempt.node == node))
    }

    /// Attempts in flight for a shard request, including the attempts of the requests that it was split from.
    pub(super) fn attempts_of_family(&self, request_id: &Rc<str>) -> Vec<AttemptId> {
        match &self.shard_map {
            Some(shard_map) => {
                let ancestry = shard_map.families.request_and_ancestors(request_id);
                ancestry.flat_map(|ancestor| self.attempts.of_request(ancestor)).collect()
            }
            None => self.attempts.of_request(request_id),
        }
    }

    /// Cancels an attempt for one shard request. If the request is a part of a split request and shares the
    /// attempt with other parts, the policy gets the outcome `Cancelled` for this part, and the attempt
    /// itself is cancelled only when no part waits for the attempt any more.
    pub(super) fn cancel_attempt_of(&mut self, request_id: &str, attempt: usize) {
        self.counters.increment("leaf_calls_cancelled");
        let id = AttemptId::new(request_id, attempt);
        let shared = match &self.shard_map {
            Some(shard_map) if self.attempts.get(&id).is_none() => {
                let mut ancestry = shard_map
                    .families
                    .request_and_ancestors(&id.request_id)
                    .map(|ancestor| AttemptId::new(ancestor.clone(), attempt));
                ancestry.find(|id| self.attempts.get(id).is_some())
            }
            _ => None,
        };
        let (Some(shared_id), Some(shard_map)) = (shared, &mut self.shard_map) else {
            return self.abort_attempt(&id, AttemptOutcome::Cancelled);
        };
        let is_last = shard_map.remove_waiting_request(&shared_id, &id.request_id);
        if let Some(attempt) = self.attempts.get(&shared_id) {
            let (node, latency_s) = (attempt.node.clone(), self.clock.now() - attempt.started_at_s);
            self.attempts.queue_outcome(id, &node, AttemptOutcome::Cancelled, latency_s);
            self.work_ready.notify_one();
        }
        if is_last {
            self.abort_attempt(&shared_id, AttemptOutcome::Cancelled);
        }
    }

    /// Records that a data node may execute an attempt, of which the first byte is written at `now`.
    pub(super) fn record_possible_execution(&mut self, id: &AttemptId, now: f64) {
        self.update_with_parts(&id.request_id, |request| request.record_possible_execution(id.number, now));
    }

    /// Records that no data node executed an attempt.
    pub(super) fn rule_out_execution(&mut self, id: &AttemptId) {
        self.update_with_parts(&id.request_id, |request| request.rule_out_execution(id.number));
    }

    /// Updates a shard request and the parts that it was split into, which share its attempts.
    fn update_with_parts(&mut self, request_id: &Rc<str>, update: impl Fn(&mut ShardRequest)) {
        let parts = self.shard_map.iter().flat_map(|shard_map| shard_map.families.parts(request_id));
        for request_id in parts.chain([request_id]) {
            self.queries.request_mut(request_id).into_iter().for_each(&update);
        }
    }

    /// Records the outcome of an attempt. If the outcome proves that the data node did not execute the
    /// attempt, the attempt no longer counts as possibly executed, so that its shard request may be repeated.
    pub(super) fn record_attempt_end(&mut self, id: &AttemptId, outcome: AttemptOutcome) {
        if outcome.had_no_effect() {
            self.rule_out_execution(id);
        }
        if self.attempts.end(id, outcome, self.clock.now()).is_some() {
            self.counters.attempt_ended(outcome);
            self.work_ready.notify_one();
        }
    }

    /// Ends an attempt that has no reply. If no byte of its frame has been written, the attempt is removed
    /// from the frame; if the frame is partly written, it is truncated; if the frame is completely written, a
    /// cancellation is queued.
    pub(super) fn abort_attempt(&mut self, id: &AttemptId, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (node, connection) = (attempt.node.clone(), attempt.connection);
        if let Some(record) = self.endpoints.nodes.get_mut(&node) {
            record.unsent_attempts.retain(|unsent| unsent != id);
        }
        let (now, dial_timeout_s) = (self.clock.now(), self.connection_config.dial_timeout_s);
        let longest_deadline_s = self.longest_deadline_s(now);
        if let Some(number) = connection
            && let Some(connection) = self.endpoints.connection(&node, number)
        {
            match connection.send_progress(id) {
                SendProgress::Queued => connection.remove_queued(id),
                SendProgress::InFlight => {
                    connection.cancel(id, now, now + longest_deadline_s, dial_timeout_s);
                }
                SendProgress::Writing => {
                    connection.remove_writing(id);
                    self.truncate_frame(&node, number);
                }
                SendProgress::NotOnConnection => {}
            }
        }
        self.record_attempt_end(id, outcome);
    }

    /// Ends the attempts of a shard request whose frame is not completely written.
    pub(super) fn recall_unsent(&mut self, request_id: &str, outcome: AttemptOutcome) {
        for id in self.attempts.of_request(request_id) {
            if !matches!(self.send_progress_of(&id), Some(SendProgress::InFlight)) {
                self.abort_attempt(&id, outcome);
            }
        }
    }

    /// How much of the frame of an attempt has been sent; `None` if no connection is chosen for the attempt.
    pub(super) fn send_progress_of(&self, id: &AttemptId) -> Option<SendProgress> {
        let attempt = self.attempts.get(id)?;
        let connections = &self.endpoints.nodes.get(&attempt.node)?.connections;
        Some(connections.get(&attempt.connection?)?.send_progress(id))
    }

    /// Puts the attempts that are not yet in a frame into frames, with as many attempts per frame as the
    /// settings allow, and queues each frame on a connection. Returns the connections to open.
    pub fn flush_attempts(&mut self, now: f64) -> Vec<DialRequest> {
        let max_batch = self.connection_config.max_batch.min(self.connection_config.streams_per_connection);
        for node in std::mem::take(&mut self.nodes_to_flush) {
            let Some(record) = self.endpoints.nodes.get_mut(&node) else { continue };
            let attempts = std::mem::take(&mut record.unsent_attempts);
            for batch in attempts.chunks(max_batch) {
                match self.choose_connection(&node, batch, now) {
                    Some(connection) => self.enqueue_batch(&node, connection, batch),
                    None => {
                        batch.iter().for_each(|id| self.record_attempt_end(id, AttemptOutcome::Unreachable))
                    }
                }
            }
        }
        std::mem::take(&mut self.pending_dials)
    }

    fn enqueue_batch(&mut self, node: &str, connection: u64, batch: &[AttemptId]) {
        for id in batch {
            if let Some(attempt) = self.attempts.get_mut(id) {
                attempt.connection = Some(connection);
            }
        }
        if let Some(connection) = self.endpoints.connection(node, connection) {
            connection.enqueue(OutboundFrame::Attempts(batch.to_vec()));
        }
    }

    /// Passes the attempts that have ended since the policy's last run to the policy. The end of an attempt
    /// of a split request is passed for the parts of the split instead.
    pub(super) fn notify_ended_attempts(&mut self, policy: &mut dyn PolicyInput) {
        for ended in self.attempts.take_ended() {
            let AttemptId { request_id, number } = &ended.id;
            let shard_map = self.shard_map.as_ref();
            match shard_map.and_then(|shard_map| shard_map.outcome_recipients(&ended.id, ended.outcome)) {
                Some(recipients) => recipients.iter().for_each(|recipient| {
                    policy.attempt_ended(recipient, *number, &ended.node, ended.outcome, ended.latency_s);
                }),
                None => {
                    policy.attempt_ended(request_id, *number, &ended.node, ended.outcome, ended.latency_s);
                }
            }
        }
    }
}
