//! Checks each act at the moment it happens and by the facts of that moment, whatever decided it. A violation is counted as
//! `rule_violations{...}` and logged with the id concerned; it changes nothing.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::queries::Query;
use alderway::interface::NodeState;
use alderway::permits;

/// The weights of a query may fall short of their sum by so much.
const WEIGHT_TOLERANCE: f64 = 1e-4;
/// A response that comes later than this after the query's deadline is lost.
const LATE_RESPONSE_S: f64 = 0.5;

impl Dispatcher {
    fn report_violation(&mut self, rule: &str, id: &str, what: &str) {
        self.counters.increment(&format!("rule_violations{{{rule}}}"));
        tracing::error!(target: "rules", "{rule}: {id}: {what}");
    }

    /// The first byte of a frame has been written.
    pub fn check_frame_started(&mut self, node: &str, connection: u64) {
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
            return self.report_violation("call_after_answer", &id.request_id, "its query is over");
        };
        let first_effect_at_s = request.first_possible_execution(Some(id.number));
        let idempotency = self.query_classes[class].idempotency;
        let not_after_s =
            self.queries.requested(&id.request_id).map_or(now, |requested| requested.not_after_s);
        // The frame was allowed to begin a moment ago: time that passed since is the system's.
        let start = permits::AttemptToStart {
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

    /// A query is answered with what has come in.
    pub(super) fn check_answer(&mut self, query: &Query, complete: bool) {
        let late_by_s = self.clock.now() - query.not_after_s;
        if late_by_s > LATE_RESPONSE_S {
            self.report_violation("late_answer", &query.id, &format!("{late_by_s:.3} s after its time"));
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
            self.report_violation("answer_under_floor", &query.id, &format!("{fraction:.4} of {least:.4}"));
        }
    }

    /// A query is rejected, which promises that trying again is harmless.
    pub(super) fn check_rejection(&mut self, query: &Query) {
        let effect = self.query_classes[query.class].idempotency;
        let may_have_executed = query.requests.iter().any(|request| request.may_have_executed());
        if permits::may_reject(effect, may_have_executed).is_err() {
            self.report_violation("reject", &query.id, "a call of it may have run");
        }
    }

    /// This side has ended a client's connection with a query open on it.
    pub fn check_closed_connection(&mut self, number: u64) {
        let id = self.queries.get(number).map(|query| query.id.to_string()).unwrap_or_default();
        self.report_violation("closed_unanswered", &id, "its connection was ended from this side");
    }
}
