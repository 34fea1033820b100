//! Decides when a query is answered, completely or partially, and when it is abandoned.
//!
//! Inputs are the fractions of the query's weight that have succeeded and that could still succeed, the
//! class's complete and minimum fractions, the latency objective and the client's deadline in seconds. A
//! query that cannot be answered in time is abandoned immediately, to save work for answers that no client
//! waits for. To abandon a query is to end it without an answer, by a rejection or a failure. The cost: if a
//! holder was about to recover, an answer is lost. A query gets one final answer and is closed in the same
//! step.

use super::latency::CLASS_SAMPLES_MAX;
use super::query::{Query, ShardRequest};
use super::weights::WeightRounding;
use super::{ANSWER_MARGIN_S, Policy};
use crate::interface::{DecisionSink, Idempotency, QueryClass};

/// During load shedding, a late query is abandoned if its answer is worth less than this fraction of the
/// priority weight.
const LATE_VALUE_MIN_FRACTION: f64 = 0.27;
/// An abandoned query counts as late in the latency counts that routers exchange if more than one in this
/// many of its shard requests did not succeed. Fewer unsuccessful shard requests indicate a single faulty
/// node.
const OVERLOAD_UNANSWERED_DIVISOR: usize = 10;

/// The decision about an open query.
enum Completion {
    Answer { complete: bool },
    Abandon,
    Wait { next_check_at_s: f64 },
}

impl Policy {
    /// Answers a query if the answer is due, abandons the query if no answer can reach the minimum fraction
    /// in time or has any value, or otherwise sets the time of the query's next check.
    pub(super) fn complete_or_abandon(&mut self, number: u64, sink: &mut dyn DecisionSink) {
        let Some(query) = self.queries.get(&number) else { return };
        match self.completion(query) {
            Completion::Answer { complete } => self.answer(number, complete, sink),
            Completion::Abandon => self.abandon_query(number, self.capabilities.max_retry_after_s, sink),
            Completion::Wait { next_check_at_s } => {
                if let Some(query) = self.queries.get_mut(&number) {
                    query.next_check_at_s = next_check_at_s;
                }
            }
        }
    }

    fn completion(&self, query: &Query) -> Completion {
        let class = &self.classes[query.class].config;
        let minimum = minimum_fraction(query, class);
        let answers_now_at_s = query.in_time_until_s() - ANSWER_MARGIN_S;
        let is_late = self.now_s >= answers_now_at_s;
        let is_complete = is_complete(query, class);
        let is_enough = query.reaches(minimum, |request| request.succeeded);
        if is_enough && query.has_success() && (is_complete || is_late) {
            let complete = is_complete && (!query.in_second_phase || query.first_phase_complete);
            return Completion::Answer { complete };
        }
        let all_arrived = query.requests.len() >= query.expected_requests;
        if self.has_no_value_left(query, is_late)
            || all_arrived && self.is_out_of_reach(query, minimum)
            || all_arrived && self.is_out_of_time(query, minimum)
        {
            return Completion::Abandon;
        }
        // No decision about the query is due before the latency objective unless an event occurs.
        let needs_no_attempt = |request: &ShardRequest| request.succeeded || request.is_in_flight();
        let is_idle =
            all_arrived && query.admitted && !is_late && query.requests.iter().all(needs_no_attempt);
        Completion::Wait { next_check_at_s: if is_idle { answers_now_at_s } else { 0.0 } }
    }

    /// Whether an answer has no value any more: the client's deadline is close, or the answer is late and
    /// late answers have no value, or too little during load shedding.
    fn has_no_value_left(&self, query: &Query, is_late: bool) -> bool {
        let late_fraction = self.classes[query.class].config.late_weight_fraction;
        let succeeded = || query.weight_fraction(|request| request.succeeded);
        let is_worthless = late_fraction <= 0.0
            || self.load_shedding.active && late_fraction * succeeded() < LATE_VALUE_MIN_FRACTION;
        self.now_s >= query.not_after_s - ANSWER_MARGIN_S || is_late && is_worthless
    }

    /// Whether the minimum fraction cannot be reached with the attempts that are still allowed.
    fn is_out_of_reach(&self, query: &Query, minimum: f64) -> bool {
        let may_have_crashed_nodes = query.may_have_crashed_nodes();
        if may_have_crashed_nodes && query.requests.iter().any(ShardRequest::is_in_flight) {
            return false;
        }
        let reachable = |request: &ShardRequest| {
            request.succeeded
                || request.is_in_flight()
                || !may_have_crashed_nodes
                    && self.may_attempt_again(query, request)
                    && self.has_holder_available_before_deadline(query, request)
        };
        !query.reaches(minimum, reachable)
    }

    /// Whether the minimum fraction needs attempts that have not started and that would end after the latency
    /// objective.
    fn is_out_of_time(&self, query: &Query, minimum: f64) -> bool {
        let started = |request: &ShardRequest| request.succeeded || request.is_in_flight();
        query.admitted
            && self.now_s + self.median_latency_s(query.class) > query.in_time_until_s()
            && !query.reaches(minimum, started)
    }

    /// The point in time after which an answer to a shard request has no value. It is the latency objective
    /// if late answers have no value, or too little during load shedding, or if the query is answered
    /// partially at the objective; otherwise it is the client's deadline. Attempts time out at this point, so
    /// that nodes do no work for answers without value.
    pub(super) fn answer_useful_until_s(&self, query: &Query) -> f64 {
        let class = &self.classes[query.class].config;
        let ends_at_objective = class.late_weight_fraction <= 0.0
            || class.minimum_fraction < class.complete_fraction
            || self.load_shedding.active && class.late_weight_fraction < LATE_VALUE_MIN_FRACTION;
        if ends_at_objective { query.in_time_until_s() } else { query.not_after_s }
    }

    /// Answers a query, and closes it unless a second phase follows.
    fn answer(&mut self, number: u64, complete: bool, sink: &mut dyn DecisionSink) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        sink.answer(&query.id, complete);
        sink.query_ended(self.now_s > query.objective_at_s);
        let second_phase_requests = self.classes[query.class].config.second_phase_requests;
        if second_phase_requests == 0 || query.in_second_phase {
            self.close(number, sink);
            return;
        }
        query.in_second_phase = true;
        query.first_phase_complete = complete;
        let succeeded = query.requests.iter().filter(|request| request.succeeded).count();
        query.expected_requests = succeeded.min(second_phase_requests);
        query.weight_rounding = WeightRounding::default();
        let first_phase = std::mem::take(&mut query.requests);
        self.cancel_requests(&first_phase, sink);
    }

    /// Ends a query without an answer: fails the query if it is not idempotent and may have had an effect,
    /// rejects it otherwise. `retry_after_s` is the Retry-After in seconds for the client.
    pub(super) fn abandon_query(
        &mut self,
        number: u64,
        retry_after_s: Option<f64>,
        sink: &mut dyn DecisionSink,
    ) {
        self.record_unanswered_requests(number);
        self.record_unserved(self.queries[&number].is_client_retry);
        let query = &self.queries[&number];
        if query.attempts().next().is_some() {
            let unanswered = query.requests.iter().filter(|request| !request.succeeded).count();
            sink.query_ended(unanswered * OVERLOAD_UNANSWERED_DIVISOR > query.requests.len());
        }
        let possible_effect =
            query.in_second_phase || query.attempts().any(|attempt| attempt.possible_effect);
        if self.classes[query.class].config.idempotency == Idempotency::NonIdempotent && possible_effect {
            sink.fail(&query.id);
        } else {
            sink.reject(&query.id, retry_after_s);
        }
        self.close(number, sink);
    }

    /// Called when a query is abandoned. Records the ages of the query's unanswered shard requests as
    /// latencies of the query class. In an overload few shard requests are answered, so that answers alone
    /// would not show it. Ages below the median latency are ignored, as queries that are abandoned within
    /// milliseconds would lower the latencies of the class.
    fn record_unanswered_requests(&mut self, number: u64) {
        let query = &self.queries[&number];
        let class = &mut self.classes[query.class];
        let (median_s, objective_s) = (class.median_latency_s(), class.config.latency_objective_s);
        for request in query.requests.iter().filter(|request| !request.succeeded) {
            let Some(first) = request.attempts.first() else { continue };
            // If all nodes were at capacity, the shard request would not have been answered within the
            // objective.
            let all_rejected = request.attempts.iter().all(|attempt| attempt.rejected);
            let age_s = self.now_stall_free_s - first.started_at_stall_free_s;
            let latency_s = if all_rejected { objective_s } else { age_s };
            if latency_s > median_s {
                class.latencies.record(latency_s, CLASS_SAMPLES_MAX);
            }
        }
    }

    fn close(&mut self, number: u64, sink: &mut dyn DecisionSink) {
        if let Some(mut query) = self.queries.remove(&number) {
            let attempts = query.requests.iter_mut().flat_map(|request| &mut request.attempts);
            let lost_hedges: Vec<String> =
                attempts.filter_map(|attempt| attempt.bypassed_node.take()).collect();
            lost_hedges.iter().for_each(|bypassed_node| self.record_hedge(bypassed_node, false));
            self.cancel_requests(&query.requests, sink);
        }
    }

    /// Removes shard requests and cancels their attempts in flight.
    fn cancel_requests(&mut self, requests: &[ShardRequest], sink: &mut dyn DecisionSink) {
        for request in requests {
            self.shard_requests.remove(&request.id);
            if !self.capabilities.can_cancel {
                continue;
            }
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight_uncancelled() {
                    sink.cancel_attempt(&request.id, number);
                }
            }
        }
    }
}

/// The smallest fraction of the weight that a query may be answered with. A second phase without partial
/// answers needs all of it.
fn minimum_fraction(query: &Query, class: &QueryClass) -> f64 {
    if query.in_second_phase && class.minimum_fraction >= class.complete_fraction {
        1.0
    } else {
        class.minimum_fraction
    }
}

/// Whether the shard requests that have succeeded make a complete answer. A second phase needs all of them.
fn is_complete(query: &Query, class: &QueryClass) -> bool {
    let all_succeeded = query.requests.iter().all(|request| request.succeeded)
        && query.requests.len() >= query.expected_requests;
    let is_enough = || query.reaches(class.complete_fraction, |request| request.succeeded);
    all_succeeded || !query.in_second_phase && is_enough()
}
