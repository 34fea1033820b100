//! Decides whether a further attempt of a shard request is allowed.
//!
//! Inputs are the idempotency of the query class, the most attempts of a shard request, and how its earlier attempts
//! ended. This guards against an effect that happens twice, and against queries that crash the nodes that start an
//! attempt of them, which retries would spread over all holders. Times are in seconds.

use super::query::{Query, ShardRequest};
use super::{ANSWER_MARGIN_S, Policy};
use crate::interface::{AttemptOutcome, Idempotency};

/// Nodes that must have been lost for a query to be taken for their cause. One is enough while other attempts of the
/// query are in flight.
const LOST_NODES_MIN: usize = 2;

impl ShardRequest {
    /// Whether one more attempt is allowed, by idempotency and by the most attempts.
    pub fn may_attempt(&self, now_s: f64, idempotency: Idempotency, max_attempts: usize) -> bool {
        let first_effect = self.attempts.iter().find(|attempt| attempt.possible_effect);
        self.attempts.len() < max_attempts
            && match (idempotency, first_effect) {
                (Idempotency::Idempotent, _) | (_, None) => true,
                (Idempotency::IdempotentWithKey { window_s }, Some(first)) => {
                    now_s < first.started_at_s + window_s - ANSWER_MARGIN_S
                }
                (Idempotency::NonIdempotent, Some(_)) => false,
            }
    }
}

impl Query {
    /// Whether nodes may have crashed because of this query, which then gets no further attempts: none of its shard
    /// requests has succeeded, and connections broke under attempts at two nodes, or at one while others are in flight.
    /// It costs a query whose nodes crash for another reason before any shard request has succeeded.
    pub fn may_have_crashed_nodes(&self) -> bool {
        let lost = self.nodes_lost().len();
        let suspect = lost >= LOST_NODES_MIN || lost > 0 && self.attempts().any(|attempt| attempt.in_flight);
        suspect && !self.has_success()
    }
}

impl Policy {
    /// Whether one more attempt of a shard request is allowed now.
    pub(super) fn may_attempt(&self, query: &Query, request: &ShardRequest) -> bool {
        let idempotency = self.classes[query.class].config.idempotency;
        request.may_attempt(self.now_s, idempotency, self.capabilities.max_attempts)
    }

    /// After a connection broke under an attempt, queries go ahead carefully until a node that crashed has warmed up.
    pub(super) fn note_lost_node(&mut self, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::ConnectionReset {
            self.careful_until_s = self.now_s + self.slow_start.map_or(0.0, |rule| rule.warm_up_s);
        }
    }

    /// Whether only one attempt of this query may be in flight until a shard request of it has succeeded: a node may
    /// have crashed a moment ago, and another query of that kind would take down a node for each shard request. It
    /// costs one attempt's time where nodes crash for another reason.
    pub(super) fn sends_single_attempt(&self, query: &Query) -> bool {
        self.now_s < self.careful_until_s && !query.has_success()
    }
}
