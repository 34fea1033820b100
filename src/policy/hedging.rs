//! Decides when a late attempt is hedged, when a stuck one is replaced, and when losers are cancelled.
//!
//! Inputs are the age of a shard request's newest attempt and the delay after which it is late, in seconds, the health
//! of the nodes asked, and the tokens of the retry budget. Hedges guard against rare slow or silent nodes; each costs a
//! token and a node's work. Attempts stuck at unresponsive nodes are replaced even without a token; that costs an
//! attempt that was about to succeed.

use super::Policy;
use super::attempts_by_age::AttemptPosition;
use super::hedge_success::WinRate;
use super::node::Node;
use super::outlier_detection::{Health, VERY_LATE_MULTIPLE};
use super::query::{Attempt, Query, RequestPosition, ShardClass, ShardRequest};
use crate::interface::{DecisionSink, Idempotency};
use std::collections::BTreeSet;

/// Most hedges of a shard request: two holders of a shard are slow at once for some shard of a large query.
const HEDGES_MAX: usize = 2;
/// A replacement is started only while this fraction of the usual latency is left before the latency objective.
const REPLACEMENT_TIME_FRACTION: f64 = 0.5;

/// What is done about a late shard request.
enum LateAction {
    /// Another attempt beside those in flight, to get past the node of the newest.
    Hedge { past: String },
    /// The attempts in flight are cancelled; another one follows in the next round.
    Replace,
}

impl Policy {
    /// Queries with an attempt that is late.
    pub(super) fn queries_with_late_attempts(&mut self) -> BTreeSet<u64> {
        let mut attempts = std::mem::take(&mut self.attempts_in_flight);
        let is_live = |position: AttemptPosition| {
            let query = self.queries.get(&position.query);
            let request = query.and_then(|query| query.requests.get(position.request));
            let attempt = request.and_then(|request| request.attempts.get(position.attempt));
            attempt.is_some_and(|attempt| attempt.is_live())
        };
        let late = attempts.late(self.now_stall_free_s, |key| self.late_after_s(key), is_live);
        self.attempts_in_flight = attempts;
        late.into_iter().map(|position| position.query).collect()
    }

    /// Cancels losers, hedges late shard requests while the retry budget pays, and replaces stuck attempts.
    pub(super) fn hedge_late_requests(&mut self, number: u64, sink: &mut dyn DecisionSink) {
        let Some(query) = self.queries.get(&number) else { return };
        let may_have_crashed_nodes = query.may_have_crashed_nodes();
        for index in 0..query.requests.len() {
            let position = RequestPosition { query: number, index };
            let request = &self.queries[&number].requests[index];
            if request.succeeded {
                self.cancel_live_attempts(position, sink);
            } else if !may_have_crashed_nodes {
                self.hedge_if_late(position, sink);
            }
        }
    }

    fn hedge_if_late(&mut self, position: RequestPosition, sink: &mut dyn DecisionSink) {
        let query = &self.queries[&position.query];
        let request = &query.requests[position.index];
        let Some(action) = self.late_action(query, request) else { return };
        let Some(node) = self.select_node(position, &[request.shard], 1) else { return };
        match action {
            LateAction::Hedge { past } => self.hedge(position, past, &node.id, sink),
            LateAction::Replace => self.cancel_live_attempts(position, sink),
        }
    }

    /// Sends a hedge past a late node to another, if the budget pays and a hedge past the late one does.
    fn hedge(&mut self, position: RequestPosition, past: String, to: &str, sink: &mut dyn DecisionSink) {
        let pays = self.hedge_win_rate(&past).pays();
        if !pays && !self.hedge_success.trial_is_due(self.now_s) || !self.try_charge_hedge() {
            return;
        }
        if !pays {
            self.hedge_success.record_trial(self.now_s);
        }
        self.start_attempt(position, to, sink);
        let query = self.queries.get_mut(&position.query);
        let hedge = query.and_then(|query| query.requests[position.index].attempts.last_mut());
        if let Some(hedge) = hedge {
            hedge.hedges_past = Some(past);
        }
    }

    /// The win rate of hedges past a node: its own if any has ended, else that past any node.
    fn hedge_win_rate(&self, past: &str) -> WinRate {
        let own = self.nodes.get(past).and_then(|node| node.hedge_win_rate);
        own.unwrap_or(self.hedge_success.win_rate)
    }

    /// Records that a hedge past a node has won or lost.
    pub(super) fn record_hedge(&mut self, past: &str, won: bool) {
        let mut win_rate = self.hedge_win_rate(past);
        win_rate.record(won);
        if let Some(node) = self.nodes.get_mut(past) {
            node.hedge_win_rate = Some(win_rate);
        }
        self.hedge_success.win_rate.record(won);
    }

    /// What is to be done about a shard request, if another node can be found for it.
    fn late_action(&self, query: &Query, request: &ShardRequest) -> Option<LateAction> {
        let newest = request.attempts.iter().rfind(|attempt| attempt.is_live())?;
        let late_after_s = self.late_after_s(ShardClass { shard: request.shard, class: query.class });
        let is_late = self.now_stall_free_s - newest.started_at_stall_free_s > late_after_s;
        if !is_late || !self.may_attempt(query, request) || !self.can_afford_retry() {
            return None;
        }
        if self.may_hedge(query, request) && self.has_retry_token() {
            return Some(LateAction::Hedge { past: newest.node.clone() });
        }
        let replacement_s = REPLACEMENT_TIME_FRACTION * self.typical_latency_s(query.class);
        let in_time = self.now_s + replacement_s < query.objective_at_s;
        let mut live = request.attempts.iter().filter(|attempt| attempt.is_live());
        let stuck = live.all(|attempt| self.is_stuck(attempt, late_after_s));
        (in_time && stuck).then_some(LateAction::Replace)
    }

    /// Whether a hedge is allowed and worth its token: an answer without the shard request would not do. Hedges of what
    /// may be left out would only add to an overload.
    fn may_hedge(&self, query: &Query, request: &ShardRequest) -> bool {
        let class = &self.classes[query.class].config;
        let is_needed = class.minimum_fraction >= class.complete_fraction
            || request.weight > 1.0 - class.minimum_fraction;
        class.idempotency == Idempotency::Idempotent
            && self.capabilities.can_hedge
            && request.hedges < HEDGES_MAX
            && is_needed
    }

    /// Whether an attempt waits for an unresponsive node. Age alone is no reason to give it up: one shard request of
    /// many takes long by nature. A node without a record has nothing in flight, so no answer comes from it.
    fn is_stuck(&self, attempt: &Attempt, late_after_s: f64) -> bool {
        let age_s = self.now_stall_free_s - attempt.started_at_stall_free_s;
        let unresponsive = |node: &Node| node.health == Health::Unresponsive;
        age_s > VERY_LATE_MULTIPLE * late_after_s && self.nodes.get(&attempt.node).is_none_or(unresponsive)
    }

    fn cancel_live_attempts(&mut self, position: RequestPosition, sink: &mut dyn DecisionSink) {
        if !self.capabilities.can_cancel {
            return;
        }
        let Some(query) = self.queries.get_mut(&position.query) else { return };
        let request = &mut query.requests[position.index];
        for (number, attempt) in request.attempts.iter_mut().enumerate() {
            if attempt.is_live() {
                attempt.cancelled = true;
                sink.cancel_attempt(&request.id, number);
            }
        }
    }
}
