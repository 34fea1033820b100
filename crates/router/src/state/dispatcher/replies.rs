//! Replies of data nodes: which attempt a reply ends, with which outcome, and for which keys the value of the
//! reply counts.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::node_connection::ReplyMatch;
use crate::state::node_protocol::NodeReply;
use alderway::interface::AttemptOutcome;
use alderway_layouts::coverage::AddOutcome;
use std::rc::Rc;

impl Dispatcher {
    /// Records a reply received on a connection. The outcome that the data node reports is first corrected by
    /// the shard map, if there is one. False if the shard request was not sent on that connection.
    pub fn reply_received(&mut self, node: &str, connection: u64, reply: &NodeReply) -> bool {
        let outcome = self.classify_reply(node, reply);
        self.record_reply(node, connection, reply.request_id, outcome, reply.value)
    }

    fn classify_reply(&mut self, node: &str, reply: &NodeReply) -> AttemptOutcome {
        let Some(shard_map) = &mut self.shard_map else { return reply.outcome };
        let Some(request) = self.queries.request_mut(reply.request_id) else { return reply.outcome };
        let outcome =
            shard_map.classify_outcome(node, request, reply.outcome, reply.report, self.clock.now());
        if outcome == AttemptOutcome::ShardMoved {
            self.counters.increment("parts_disowned");
        } else if outcome != reply.outcome {
            self.counters.increment("answers_for_other_keys");
        }
        outcome
    }

    /// Records a reply with its corrected outcome. A reply to an attempt that has ended is counted and
    /// dropped. False if the shard request was not sent on that connection.
    pub fn record_reply(
        &mut self,
        node: &str,
        connection: u64,
        request_id: &str,
        outcome: AttemptOutcome,
        value: &str,
    ) -> bool {
        let now = self.clock.now();
        let Some(connection) = self.endpoints.connection(node, connection) else { return true };
        let attempt = match connection.reply_received(request_id, now) {
            ReplyMatch::InFlight { attempt } => attempt,
            ReplyMatch::AlreadyEnded => {
                self.counters.increment("replies_for_parts_over");
                return true;
            }
            ReplyMatch::NotRequested => return false,
        };
        let id = AttemptId::new(request_id, attempt);
        let outcome = self.with_room_for_value(&id.request_id, outcome, value);
        self.record_attempt_end(&id, outcome);
        if outcome == AttemptOutcome::Success {
            self.record_value(&id.request_id, value);
        }
        true
    }

    /// The outcome of an attempt whose value arrives: an error if the answer has no room for the value.
    fn with_room_for_value(
        &mut self,
        request_id: &Rc<str>,
        outcome: AttemptOutcome,
        value: &str,
    ) -> AttemptOutcome {
        if outcome != AttemptOutcome::Success || self.queries.reserve_value(request_id, value) {
            return outcome;
        }
        self.counters.increment("values_too_large");
        AttemptOutcome::Error
    }

    fn record_value(&mut self, request_id: &Rc<str>, value: &str) {
        let Some(request) = self.queries.request_mut(request_id) else { return };
        if request.keys.is_some() {
            self.record_value_by_keys(request_id, value);
        } else {
            request.value.get_or_insert_with(|| value.to_string());
        }
        self.recall_unsent(request_id, AttemptOutcome::Cancelled);
    }

    /// Records a value for the keys of a shard request. If the request was split into several requests, the
    /// value answers these requests too.
    fn record_value_by_keys(&mut self, request_id: &Rc<str>, value: &str) {
        let shard_map = self.shard_map.as_ref();
        let split_into = shard_map.map_or(vec![], |shard_map| shard_map.families.parts(request_id).to_vec());
        let Some((_, query, index)) = self.queries.query_of_request(request_id) else { return };
        if let (Some(coverage), Some(keys)) = (&mut query.coverage, query.requests[index].keys) {
            let count = coverage.add(keys.range, (query.requests[index].shard, value.to_string()));
            if let AddOutcome::Counted { replaced: 1.. } = count {
                self.counters.increment("answers_in_place_of_parts");
            }
        }
        #[cfg(feature = "faults")]
        if self.shard_map.as_ref().is_some_and(|shard_map| shard_map.counts_all_answers) {
            query.requests[index].value = Some(value.to_string());
        }
        for id in split_into.iter().chain([request_id]) {
            if let Some(keys) = self.queries.request_mut(id).and_then(|request| request.keys.as_mut()) {
                keys.is_answered = true;
            }
        }
        split_into.iter().for_each(|id| self.recall_unsent(id, AttemptOutcome::Cancelled));
    }
}
