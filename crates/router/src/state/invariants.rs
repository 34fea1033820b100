//! Checks the rules at run time, in the moment of each act and by the facts of that moment, whatever decided it. A
//! violation is counted as `rule_violations{...}` and logged with the request's id; nothing is changed by it.
use super::AttemptId;
use super::dispatcher::Dispatcher;
use super::queries::Query;
use alderway::interface::NodeState;
use alderway::permits;

/// PROTOCOL: sums of shares may fall short by so much.
const SHARE_SLACK: f64 = 1e-4;
/// STANDING: an answer that comes later than this after its time is lost.
const LATE: f64 = 0.5;

impl Dispatcher {
    fn report_violation(&mut self, rule: &str, id: &str, what: &str) {
        self.counters.increment(&format!("rule_violations{{{rule}}}"));
        tracing::error!(target: "rules", "{rule}: {id}: {what}");
    }

    /// The first byte of a call's frame has been written.
    pub fn check_frame_started(&mut self, node: &str, line: u64) {
        let now = self.clock.now();
        let Some(record) = self.endpoints.nodes.get(node) else { return };
        let (state, calls) =
            (record.state, record.connections.get(&line).map(|line| line.writing_attempts().to_vec()));
        for id in calls.into_iter().flatten() {
            self.check_attempt_started(&id, node, state, now);
        }
    }

    fn check_attempt_started(&mut self, id: &AttemptId, node: &str, state: NodeState, now: f64) {
        let Some((vertical, part)) = self.queries.class_and_request(&id.0) else {
            return self.report_violation("call_after_answer", &id.0, "its query is over");
        };
        let begun = part.first_possible_execution(Some(id.1));
        let effect = self.query_classes[vertical].idempotency;
        let not_after = self.queries.asked(&id.0).map_or(now, |(_, _, not_after, _)| not_after);
        // The frame was allowed to begin a moment ago: time that passed since is the system's.
        let call = permits::AttemptStart {
            now_s: now,
            deadline_s: not_after + LATE,
            idempotency: effect,
            first_effect_at_s: begun,
            node_state: state,
        };
        if let Err(denial) = permits::may_start_attempt(&call) {
            self.report_violation("call", &id.0, &format!("{} at {node}", denial.label()));
        }
    }

    /// A query is answered with the parts that are in.
    pub(super) fn check_answer(&mut self, query: &Query, whole: bool) {
        let now = self.clock.now();
        if now > query.not_after_s + LATE {
            self.report_violation(
                "late_answer",
                &query.id,
                &format!("{:.3} s after its time", now - query.not_after_s),
            );
        }
        if query.coverage.is_some() {
            return;
        }
        let class = &self.query_classes[query.class];
        let all: f64 = query.requests.iter().map(|part| part.weight).sum();
        let merged = query.requests.iter().filter(|part| part.value.is_some()).map(|part| part.weight);
        let share = merged.sum::<f64>() / if all > 0.0 { all } else { 1.0 };
        let least = if whole { class.complete_fraction } else { class.minimum_fraction };
        if share < least - SHARE_SLACK {
            self.report_violation("answer_under_floor", &query.id, &format!("{share:.4} of {least:.4}"));
        }
    }

    /// A query is rejected, which promises that trying again is harmless.
    pub(super) fn check_rejection(&mut self, query: &Query) {
        let effect = self.query_classes[query.class].idempotency;
        let begun = query.requests.iter().any(|part| !part.possibly_executed.is_empty());
        if permits::may_reject(effect, begun).is_err() {
            self.report_violation("reject", &query.id, "a call of it may have run");
        }
    }

    /// This side has ended a client's connection with a query open on it.
    pub fn check_closed_connection(&mut self, number: u64) {
        let id = self.queries.get(number).map(|query| query.id.to_string()).unwrap_or_default();
        self.report_violation("closed_unanswered", &id, "its connection was ended from this side");
    }
}
