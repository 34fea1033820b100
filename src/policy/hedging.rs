//! Decides in each round (call of [`Policy::round`]) which late attempts are hedged, which stuck attempts are
//! replaced, and which attempts are cancelled because another attempt of their shard request has succeeded.
//!
//! Inputs are the age of a shard request's newest attempt and the delay after which it is late, in seconds,
//! the health of the nodes that have its attempts, and the tokens of the retry budget. Hedges reduce the
//! latency caused by rare slow or silent nodes; each costs a token and work of a node. Attempts stuck at
//! unresponsive nodes are replaced even without a token; the cost is that an attempt may be cancelled that
//! was about to succeed.

use super::Policy;
use super::attempts_by_age::AttemptPosition;
use super::hedge_success::WinRate;
use super::node::Node;
use super::outlier_detection::{Health, VERY_LATE_MULTIPLE};
use super::query::{Attempt, Query, ShardAndClass, ShardRequest, ShardRequestPosition};
use crate::interface::{DecisionSink, Idempotency};
use std::collections::BTreeSet;

/// Maximum number of hedges of a shard request. One hedge is not enough, as a query with many shards may
/// contain a shard with two slow holders.
const HEDGES_MAX: usize = 2;
/// To replace an attempt is to cancel it and to start another attempt in the next round. An attempt is
/// replaced only while at least this fraction of the median latency is left before the latency objective.
const REPLACEMENT_TIME_FRACTION: f64 = 0.5;

/// What to do about a late shard request.
enum LateAction {
    /// Start another attempt in parallel, which bypasses the node of the newest attempt.
    Hedge { bypassed_node: String },
    /// Cancel the attempts in flight; another attempt starts in the next round.
    Replace,
}

impl Policy {
    /// Returns the numbers of the queries that have a late attempt in flight.
    pub(super) fn queries_with_late_attempts(&mut self) -> BTreeSet<u64> {
        let mut attempts = std::mem::take(&mut self.attempts_in_flight);
        let is_in_flight_uncancelled = |position: AttemptPosition| {
            let query = self.queries.get(&position.query);
            let request = query.and_then(|query| query.requests.get(position.request));
            let attempt = request.and_then(|request| request.attempts.get(position.attempt));
            attempt.is_some_and(|attempt| attempt.is_in_flight_uncancelled())
        };
        let late =
            attempts.late(self.now_stall_free_s, |key| self.late_after_s(key), is_in_flight_uncancelled);
        self.attempts_in_flight = attempts;
        late.into_iter().map(|position| position.query).collect()
    }

    /// Cancels attempts of shard requests that have succeeded, hedges late shard requests while the retry
    /// budget has tokens, and replaces stuck attempts.
    pub(super) fn hedge_late_requests(&mut self, number: u64, sink: &mut dyn DecisionSink) {
        let Some(query) = self.queries.get(&number) else { return };
        let may_have_crashed_nodes = query.may_have_crashed_nodes();
        for index in 0..query.requests.len() {
            let position = ShardRequestPosition { query: number, index };
            let request = &self.queries[&number].requests[index];
            if request.succeeded {
                self.cancel_attempts_in_flight(position, sink);
            } else if !may_have_crashed_nodes {
                self.hedge_if_late(position, sink);
            }
        }
    }

    fn hedge_if_late(&mut self, position: ShardRequestPosition, sink: &mut dyn DecisionSink) {
        let query = &self.queries[&position.query];
        let request = &query.requests[position.index];
        let Some(action) = self.late_action(query, request) else { return };
        let Some(node) = self.select_node(position, &[request.shard], 1) else { return };
        match action {
            LateAction::Hedge { bypassed_node } => self.hedge(position, bypassed_node, &node.id, sink),
            LateAction::Replace => self.cancel_attempts_in_flight(position, sink),
        }
    }

    /// Sends a hedge to a node, if the retry budget has a token and hedges that bypass the late node are
    /// worthwhile or a trial is due.
    fn hedge(
        &mut self,
        position: ShardRequestPosition,
        bypassed_node: String,
        to: &str,
        sink: &mut dyn DecisionSink,
    ) {
        let is_worthwhile = self.hedge_win_rate(&bypassed_node).is_worthwhile();
        if !is_worthwhile && !self.hedge_stats.trial_hedge_is_due(self.now_s)
            || !self.try_take_token_for_hedge()
        {
            return;
        }
        if !is_worthwhile {
            self.hedge_stats.record_trial_hedge(self.now_s);
        }
        self.start_attempt(position, to, sink);
        let query = self.queries.get_mut(&position.query);
        let hedge = query.and_then(|query| query.requests[position.index].attempts.last_mut());
        if let Some(hedge) = hedge {
            hedge.bypassed_node = Some(bypassed_node);
        }
    }

    /// The win rate of the hedges that bypass a node, or that of all hedges if none that bypasses the node
    /// has ended.
    fn hedge_win_rate(&self, bypassed_node: &str) -> WinRate {
        let of_node = self.nodes.get(bypassed_node).and_then(|node| node.hedge_win_rate);
        of_node.unwrap_or(self.hedge_stats.win_rate)
    }

    /// Records that a hedge that bypassed a node has won or lost.
    pub(super) fn record_hedge(&mut self, bypassed_node: &str, won: bool) {
        let mut win_rate = self.hedge_win_rate(bypassed_node);
        win_rate.record(won);
        if let Some(node) = self.nodes.get_mut(bypassed_node) {
            node.hedge_win_rate = Some(win_rate);
        }
        self.hedge_stats.win_rate.record(won);
    }

    /// The action for a shard request; `None` if its newest attempt is not late or no action is allowed. Does
    /// not check whether another node is available.
    fn late_action(&self, query: &Query, request: &ShardRequest) -> Option<LateAction> {
        let newest = request.attempts.iter().rfind(|attempt| attempt.is_in_flight_uncancelled())?;
        let late_after_s = self.late_after_s(ShardAndClass { shard: request.shard, class: query.class });
        let is_late = self.now_stall_free_s - newest.started_at_stall_free_s > late_after_s;
        if !is_late || !self.may_attempt_again(query, request) || !self.budget_allows_retry() {
            return None;
        }
        if self.may_hedge(query, request) && self.bucket_has_token() {
            return Some(LateAction::Hedge { bypassed_node: newest.node.clone() });
        }
        let replacement_s = REPLACEMENT_TIME_FRACTION * self.median_latency_s(query.class);
        let in_time = self.now_s + replacement_s < query.objective_at_s;
        let mut in_flight = request.attempts.iter().filter(|attempt| attempt.is_in_flight_uncancelled());
        let stuck = in_flight.all(|attempt| self.is_stuck(attempt, late_after_s));
        (in_time && stuck).then_some(LateAction::Replace)
    }

    /// Whether a hedge is allowed, and the query cannot be answered without the shard request. Hedges of
    /// shard requests that an answer may omit would only add to an overload.
    fn may_hedge(&self, query: &Query, request: &ShardRequest) -> bool {
        let class = &self.classes[query.class].config;
        let is_other = |other: &ShardRequest| !std::ptr::eq(other, request);
        class.idempotency == Idempotency::Idempotent
            && self.capabilities.can_hedge
            && request.hedges < HEDGES_MAX
            && (class.minimum_fraction >= class.complete_fraction
                || !query.reaches(class.minimum_fraction, is_other))
    }

    /// Whether an attempt is very late and its node is unresponsive or no longer known. Age alone is not
    /// sufficient, as a few shard requests take long on any node. The record of a removed node is dropped
    /// once all its attempts have ended, so that no answer can arrive from a node without a record.
    fn is_stuck(&self, attempt: &Attempt, late_after_s: f64) -> bool {
        let age_s = self.now_stall_free_s - attempt.started_at_stall_free_s;
        let unresponsive = |node: &Node| node.health == Health::Unresponsive;
        age_s > VERY_LATE_MULTIPLE * late_after_s && self.nodes.get(&attempt.node).is_none_or(unresponsive)
    }

    fn cancel_attempts_in_flight(&mut self, position: ShardRequestPosition, sink: &mut dyn DecisionSink) {
        if !self.capabilities.can_cancel {
            return;
        }
        let Some(query) = self.queries.get_mut(&position.query) else { return };
        let request = &mut query.requests[position.index];
        for (number, attempt) in request.attempts.iter_mut().enumerate() {
            if attempt.is_in_flight_uncancelled() {
                attempt.cancelled = true;
                sink.cancel_attempt(&request.id, number);
            }
        }
    }
}
