//! Checks each action when it happens, by the state at that moment and independently of what decided it. A violation is
//! counted as `rule_violations{...}` and logged with the id concerned; it does not change behavior.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::queries::Query;
use alderway::interface::NodeState;
use alderway::permits;

/// Allowed rounding error of the answered fraction of a query.
const WEIGHT_TOLERANCE: f64 = 1e-4;
/// A response that is sent later than this after the query's deadline counts as lost.
const LATE_RESPONSE_S: f64 = 0.5;

impl Dispatcher {
    fn report_violation(&mut self, rule: &str, id: &str, details: &str) {
        self.counters.increment(&format!("rule_violations{{{rule}}}"));
        tracing::error!(target: "rules", "{rule}: {id}: {details}");
    }

    /// Checks the attempts of a frame whose first byte has been written.
    pub fn check_started_attempts(&mut self, node: &str, connection: u64) {
        let now = self.clock.now();
        let Some(record) = self.endpoints.nodes.get(node) else { return };
        let state = record.state;
        let Some(connection) = record.connections.get(&connection) else { return };
        for id in connection.writing_attempts().to_vec() {
            self.check_attempt_started(&id, node, state, now);
        }
    }

    fn check_attempt_started(&mut self, id: &AttemptId, node: &str, state: NodeState, now: f64) {
        let Some((class, request)) = self.queries.class_and_request(&id.request_id) else {
            return self.report_violation("call_after_answer", &id.request_id, "its query has ended");
        };
        let first_effect_at_s = request.first_possible_execution(Some(id.number));
        let idempotency = self.query_classes[class].idempotency;
        let not_after_s =
            self.queries.request_content(&id.request_id).map_or(now, |requested| requested.not_after_s);
        // The frame was allowed to begin a moment ago. The tolerance covers the time that the write itself took.
        let start = permits::AttemptStart {
            now_s: now,
            deadline_s: not_after_s + LATE_RESPONSE_S,
            idempotency,
            first_effect_at_s,
            node_state: state,
        };
        if let Err(denial) = permits::may_start_attempt(&start) {
            self.report_violation("call", &id.request_id, &format!("{} at {node}", denial.label()));
        }
    }

    /// Checks a query that is answered: its time, and the fraction of its weight that is answered.
    pub(super) fn check_answer(&mut self, query: &Query, complete: bool) {
        let late_by_s = self.clock.now() - query.not_after_s;
        if late_by_s > LATE_RESPONSE_S {
            self.report_violation(
                "late_answer",
                &query.id,
                &format!("sent {late_by_s:.3} s after its deadline"),
            );
        }
        if query.coverage.is_some() {
            return;
        }
        let class = &self.query_classes[query.class];
        let total: f64 = query.requests.iter().map(|request| request.weight).sum();
        let answered = query.requests.iter().filter(|request| request.value.is_some());
        let answered: f64 = answered.map(|request| request.weight).sum();
        let fraction = answered / if total > 0.0 { total } else { 1.0 };
        let least = if complete { class.complete_fraction } else { class.minimum_fraction };
        if fraction < least - WEIGHT_TOLERANCE {
            self.report_violation(
                "answer_under_floor",
                &query.id,
                &format!("answered fraction {fraction:.4}, required {least:.4}"),
            );
        }
    }

    /// Checks a query that is rejected, which promises the client that a retry has no side effects.
    pub(super) fn check_rejection(&mut self, query: &Query) {
        let effect = self.query_classes[query.class].idempotency;
        let may_have_executed = query.requests.iter().any(|request| request.may_have_executed());
        if permits::may_reject(effect, may_have_executed).is_err() {
            self.report_violation("reject", &query.id, "an attempt may have been executed");
        }
    }

    /// Reports that this side has closed a client's connection with an open query.
    pub fn report_unanswered_close(&mut self, number: u64) {
        let id = self.queries.get(number).map(|query| query.id.to_string()).unwrap_or_default();
        self.report_violation("closed_unanswered", &id, "the router closed its connection");
    }
}
