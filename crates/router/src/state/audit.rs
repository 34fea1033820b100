//! Checks the rules at run time, in the moment of each act and by the facts of that moment, whatever decided it. A
//! violation is counted as `rule_violations{...}` and logged with the request's id; nothing is changed by it.
use super::CallId;
use super::desk::Desk;
use super::queries::Query;
use alderway::interface::NodeState;
use alderway::permits;

/// PROTOCOL: sums of shares may fall short by so much.
const SHARE_SLACK: f64 = 1e-4;
/// STANDING: an answer that comes later than this after its time is lost.
const LATE: f64 = 0.5;

impl Desk {
    fn violation(&mut self, rule: &str, id: &str, what: &str) {
        self.counters.one(&format!("rule_violations{{{rule}}}"));
        tracing::error!(target: "rules", "{rule}: {id}: {what}");
    }

    /// The first byte of a call's frame has been written.
    pub fn audit_begun(&mut self, node: &str, line: u64) {
        let now = self.clock.now();
        let Some(record) = self.roster.nodes.get(node) else { return };
        let (state, calls) = (record.state, record.lines.get(&line).map(|line| line.begun_call().to_vec()));
        for id in calls.into_iter().flatten() {
            self.audit_call(&id, node, state, now);
        }
    }

    fn audit_call(&mut self, id: &CallId, node: &str, state: NodeState, now: f64) {
        let Some((vertical, part)) = self.queries.vertical_and_part(&id.0) else {
            return self.violation("call_after_answer", &id.0, "its query is over");
        };
        let begun = part.first_begun(Some(id.1));
        let effect = self.verticals[vertical].effect;
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
            self.violation("call", &id.0, &format!("{} at {node}", denial.label()));
        }
    }

    /// A query is answered with the parts that are in.
    pub(super) fn audit_answer(&mut self, query: &Query, whole: bool) {
        let now = self.clock.now();
        if now > query.not_after + LATE {
            self.violation(
                "late_answer",
                &query.id,
                &format!("{:.3} s after its time", now - query.not_after),
            );
        }
        if query.coverage.is_some() {
            return;
        }
        let class = &self.verticals[query.vertical];
        let all: f64 = query.parts.iter().map(|part| part.weight).sum();
        let merged = query.parts.iter().filter(|part| part.value.is_some()).map(|part| part.weight);
        let share = merged.sum::<f64>() / if all > 0.0 { all } else { 1.0 };
        let least = if whole { class.need } else { class.floor };
        if share < least - SHARE_SLACK {
            self.violation("answer_under_floor", &query.id, &format!("{share:.4} of {least:.4}"));
        }
    }

    /// A query is rejected, which promises that trying again is harmless.
    pub(super) fn audit_reject(&mut self, query: &Query) {
        let effect = self.verticals[query.vertical].effect;
        let begun = query.parts.iter().any(|part| !part.begun.is_empty());
        if permits::may_reject(effect, begun).is_err() {
            self.violation("reject", &query.id, "a call of it may have run");
        }
    }

    /// This side has ended a client's connection with a query open on it.
    pub fn audit_closed_open(&mut self, number: u64) {
        let id = self.queries.get(number).map(|query| query.id.to_string()).unwrap_or_default();
        self.violation("closed_unanswered", &id, "its connection was ended from this side");
    }
}
