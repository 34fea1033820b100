//! Decides whether a further attempt of a shard request is allowed.
//!
//! Inputs are the idempotency of the query class, the maximum number of attempts of a shard request, and the
//! outcomes of the earlier attempts. This prevents effects that happen twice, and limits the damage of a
//! query that crashes every node that works on it, as retries would send it to all holders. Times are in
//! seconds on the host's monotonic clock.

use super::query::{Query, ShardRequest};
use super::{ANSWER_MARGIN_S, Policy};
use crate::interface::{AttemptOutcome, Idempotency};

/// A query is suspected of crashing nodes if connections to this many nodes broke during its attempts. One
/// such node is enough while other attempts of the query are in flight.
const CRASHED_NODES_MIN: usize = 2;

impl ShardRequest {
    /// Whether idempotency and the maximum number of attempts allow one more attempt.
    pub fn may_attempt_again(&self, now_s: f64, idempotency: Idempotency, max_attempts: usize) -> bool {
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
    /// Whether nodes may have crashed because of this query, which then gets no further attempts. Returns
    /// true if none of the query's shard requests has succeeded, and the query's attempts lost connections to
    /// two nodes, or to one node while another attempt of the query is in flight. The cost: a
    /// query fails if its nodes crash for another reason before any shard request has succeeded.
    pub fn may_have_crashed_nodes(&self) -> bool {
        let lost_nodes = self.nodes_with_lost_connections().len();
        let is_suspect = lost_nodes >= CRASHED_NODES_MIN
            || lost_nodes > 0 && self.attempts().any(|attempt| attempt.in_flight);
        is_suspect && !self.has_success()
    }
}

impl Policy {
    /// Whether one more attempt of a shard request is allowed now.
    pub(super) fn may_attempt_again(&self, query: &Query, request: &ShardRequest) -> bool {
        let idempotency = self.classes[query.class].config.idempotency;
        request.may_attempt_again(self.now_s, idempotency, self.capabilities.max_attempts)
    }

    /// If the outcome of an attempt is a lost connection, restricts queries to a single attempt in flight for
    /// the time that a node that has crashed and restarted takes to warm up.
    pub(super) fn record_if_connection_lost(&mut self, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::ConnectionReset {
            self.single_attempts_until_s = self.now_s + self.slow_start.map_or(0.0, |rule| rule.warm_up_s);
        }
    }

    /// Whether this query may have only one attempt in flight, because a node may have crashed recently and
    /// no shard request of the query has succeeded yet. If a query like this one caused the crash, each
    /// attempt would crash a node. The cost: if the node crashed for another reason, the query takes longer
    /// by the latency of one attempt.
    pub(super) fn sends_single_attempt(&self, query: &Query) -> bool {
        self.now_s < self.single_attempts_until_s && !query.has_success()
    }
}
