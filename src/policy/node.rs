//! The record of one data node: what is in flight at it, and the state that the decisions about it keep.

use super::concurrency_limit::{ConcurrencyLimit, LoadSample};
use super::hedge_success::WinRate;
use super::outlier_detection::{EndedAttempt, Health, HealthRecord, InFlightAttempt};
use super::slow_start::{CapacityInputs, NodeCapacity, WarmUpLoad};
use crate::interface::NodeState;
use std::collections::BTreeMap;

/// A data node of the endpoint list, or a removed one with attempts in flight.
pub(super) struct Node {
    pub replica_group: u32,
    pub state: NodeState,
    /// When its process started, if that is known.
    pub started_at_s: Option<f64>,
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    pub concurrency: ConcurrencyLimit,
    pub health_record: HealthRecord,
    pub warm_up_load: WarmUpLoad,
    /// Of hedges past it, if any has ended.
    pub hedge_win_rate: Option<WinRate>,
    /// Number of this router's latest attempt at it; the lowest is next in round robin.
    pub last_attempt: u64,
    /// Its health as of the start of this round.
    pub health: Health,
    /// How long a shard request may have to wait for it: as the oldest one does, or until it is no longer ejected.
    pub expected_wait_s: f64,
}

/// A shard request's id and the number of its attempt.
pub(super) type AttemptKey = (String, usize);

impl Node {
    /// A node that has just appeared. `warm_up_phase` is set for one that is warming up: its place, from 0 to 1, among
    /// the routers that send to it in turn.
    pub fn new(
        replica_group: u32,
        state: NodeState,
        started_at_s: Option<f64>,
        warm_up_phase: Option<f64>,
    ) -> Self {
        Node {
            replica_group,
            state,
            started_at_s,
            in_flight: BTreeMap::new(),
            concurrency: ConcurrencyLimit::new(warm_up_phase.is_some()),
            health_record: HealthRecord::default(),
            warm_up_load: WarmUpLoad::new(warm_up_phase.unwrap_or(0.0)),
            hedge_win_rate: None,
            last_attempt: 0,
            health: Health::Healthy,
            expected_wait_s: 0.0,
        }
    }

    /// A node that the endpoint list does not name, at which another host made an attempt. Nothing is sent to it; if the
    /// list names it later, that entry says what it is.
    pub fn unlisted() -> Self {
        Node::new(0, NodeState::Removed, None, None)
    }

    /// Records how an attempt ended, for the node's health and for its concurrency limit.
    pub fn record_outcome(&mut self, now_s: f64, attempt: &EndedAttempt) {
        self.concurrency.record(&LoadSample {
            outcome: attempt.outcome,
            latency_s: attempt.latency_s,
            shortest_objective_s: attempt.shortest_objective_s,
            late: attempt.is_late(),
            answered_since: self.health_record.last_answer_at_s() >= now_s - attempt.latency_s,
        });
        self.health_record.record(now_s, attempt);
    }

    /// What the log says as it is ejected, or readmitted.
    pub fn ejection_log_line(&self, id: &str, ejected: bool) -> String {
        let change = if ejected { "ejected" } else { "readmitted" };
        let (in_flight, failures) = (self.in_flight.len(), self.health_record.consecutive_failures());
        let limit = self.concurrency.limit();
        format!(
            "node {id} {change}: {in_flight} attempts in flight, {failures} consecutive failures, \
             concurrency limit {limit:.1}"
        )
    }

    /// Age in seconds of its oldest attempt in flight, 0 if there is none.
    pub fn oldest_attempt_age_s(&self, now_stall_free_s: f64) -> f64 {
        let ages = self.in_flight.values().map(|attempt| now_stall_free_s - attempt.started_at_stall_free_s);
        ages.fold(0.0, f64::max)
    }

    /// How much it may be sent now.
    pub fn capacity(&self, inputs: &CapacityInputs) -> NodeCapacity {
        let free = self.concurrency.free_slots(self.in_flight.len());
        self.warm_up_load.capacity(inputs, self.started_at_s, free)
    }

    /// Whether it is removed and nothing is in flight at it.
    pub fn is_gone(&self) -> bool {
        self.state == NodeState::Removed && self.in_flight.is_empty()
    }
}
