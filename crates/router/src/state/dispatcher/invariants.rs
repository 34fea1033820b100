//! Checks each attempt that starts, each response and each closed client connection against the rules of
//! `alderway::permits` and against limits on the lateness and the answered fraction of a response. The checks
//! are independent of the code that decided the action. A violation is counted as `rule_violations{RULE}` and
//! logged with the id of the query or shard request; a violation does not change what the router does.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::queries::{Query, ShardRequest};
use alderway::interface::NodeState;
use alderway::permits;

/// Allowed rounding error of the answered fraction of a query's weight.
const WEIGHT_TOLERANCE: f64 = 1e-4;
/// A response that is sent more than this time, in seconds, after the query's deadline violates the rules.
const LATE_RESPONSE_S: f64 = 0.5;

impl Dispatcher {
    fn report_violation(&mut self, rule: &str, id: &str, details: &str) {
        self.counters.increment(&format!("rule_violations{{{rule}}}"));
        tracing::error!(target: "rules", "rule {rule} violated by query or shard request {id}: {details}");
    }

    /// Checks the attempts of the frame that is being written. Called when the first byte of the frame has
    /// been written.
    pub fn check_started_attempts(&mut self, node: &str, connection: u64) {
        let Some(record) = self.endpoints.nodes.get(node) else { return };
        self.check_writing_attempts(node, connection, record.state, "started");
    }

    /// Checks the attempts of the frame that is being written. Called when the last byte of the frame has
    /// been written. The data node executes the attempts only now; that it drains by now does not matter.
    pub fn check_written_attempts(&mut self, node: &str, connection: u64) {
        self.check_writing_attempts(node, connection, NodeState::Serving, "written to its end");
    }

    fn check_writing_attempts(&mut self, node: &str, connection: u64, state: NodeState, what: &str) {
        let now = self.clock.now();
        let Some(connection) = self.endpoints.connection(node, connection) else { return };
        for id in connection.writing_attempts().to_vec() {
            self.check_writing_attempt(&id, node, state, now, what);
        }
    }

    fn check_writing_attempt(&mut self, id: &AttemptId, node: &str, state: NodeState, now: f64, what: &str) {
        let Some((class, request)) = self.queries.class_and_request(&id.request_id) else {
            return self.report_violation(
                "call_after_answer",
                &id.request_id,
                &format!("an attempt was {what} after the query had ended"),
            );
        };
        let first_effect_at_s = request.first_possible_execution(Some(id.number));
        let idempotency = self.query_classes[class].idempotency;
        let not_after_s =
            self.queries.request_content(&id.request_id).map_or(now, |requested| requested.not_after_s);
        // The same check allowed the frame before the write. `LATE_RESPONSE_S` covers the time that the write
        // took.
        let start = permits::AttemptToStart {
            now_s: now,
            deadline_s: not_after_s + LATE_RESPONSE_S,
            idempotency,
            first_effect_at_s,
            node_state: state,
        };
        if let Err(denial) = permits::may_start_attempt(&start) {
            self.report_violation(
                "call",
                &id.request_id,
                &format!("an attempt was {what} at node {node} though denied: {}", denial.label()),
            );
        }
    }

    /// Checks that the answer to a query is not too late and that the answered shard requests have the
    /// required fraction of the query's weight.
    pub(super) fn check_answer(&mut self, query: &Query, complete: bool) {
        let late_by_s = self.clock.now() - query.not_after_s;
        if late_by_s > LATE_RESPONSE_S {
            self.report_violation(
                "late_answer",
                &query.id,
                &format!("the answer was sent {late_by_s:.3} s after the deadline of the query"),
            );
        }
        let class = &self.query_classes[query.class];
        let required = if complete { class.complete_fraction } else { class.minimum_fraction };
        let answered = answered_fraction(query);
        if answered < required - WEIGHT_TOLERANCE {
            self.report_violation(
                "answer_under_floor",
                &query.id,
                &format!(
                    "an answer was sent with fraction {answered:.4} of the query, required is {required:.4}"
                ),
            );
        }
    }

    /// Whether an answer to a query may be marked as complete. Guards against the decision of a planner that
    /// sums weights in another way or has other settings.
    pub(super) fn may_mark_complete(&self, query: &Query) -> bool {
        let required = self.query_classes[query.class].complete_fraction;
        answered_fraction(query) >= required - WEIGHT_TOLERANCE
    }

    /// Checks that a rejected query may be retried: a query whose class is not idempotent may be rejected
    /// only if no data node may have executed an attempt of the query.
    pub(super) fn check_rejection(&mut self, query: &Query) {
        let effect = self.query_classes[query.class].idempotency;
        let may_have_executed = query.requests.iter().any(|request| request.may_have_executed());
        if permits::may_reject(effect, may_have_executed).is_err() {
            self.report_violation(
                "reject",
                &query.id,
                "the query was rejected though an attempt may have been executed",
            );
        }
    }

    /// Reports as a violation that the router has closed a client connection with an open query. `number` is
    /// the number of the query.
    pub fn report_unanswered_close(&mut self, number: u64) {
        let id = self.queries.get(number).map(|query| query.id.to_string()).unwrap_or_default();
        self.report_violation(
            "closed_unanswered",
            &id,
            "the router closed the client's connection before it answered the query",
        );
    }
}

/// The answered fraction of a query's weight, 1 if all shard requests are answered. The weights are rounded,
/// so their sum may be more or less than 1; the smaller result counts. Keys are counted by the policy alone.
fn answered_fraction(query: &Query) -> f64 {
    let (answered, missing): (Vec<_>, Vec<_>) =
        query.requests.iter().partition(|request| request.value.is_some());
    if missing.is_empty() || query.coverage.is_some() {
        return 1.0;
    }
    let weight = |requests: &[&ShardRequest]| requests.iter().map(|request| request.weight).sum::<f64>();
    weight(&answered).min(1.0 - weight(&missing))
}
