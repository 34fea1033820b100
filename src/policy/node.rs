//! The record of one data node: its attempts in flight, its health, and its limits on concurrency and load. A
//! round is one call of [`super::Policy::round`].

use super::concurrency_limit::{ConcurrencyLimit, LoadSample};
use super::hedge_success::WinRate;
use super::outlier_detection::{EndedAttempt, Health, HealthRecord, InFlightAttempt};
use super::slow_start::{CapacityInputs, NodeCapacity, WarmUpLoad};
use crate::interface::NodeState;
use std::collections::BTreeMap;

/// A data node in the endpoint list, or a removed one that has attempts in flight.
pub(super) struct Node {
    pub replica_group: u32,
    pub state: NodeState,
    /// When the node's process started, in seconds on the monotonic clock; `None` if unknown.
    pub started_at_s: Option<f64>,
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    pub concurrency: ConcurrencyLimit,
    pub health_record: HealthRecord,
    pub warm_up_load: WarmUpLoad,
    /// Win rate of the hedges that bypass this node; `None` if no such hedge has ended.
    pub hedge_win_rate: Option<WinRate>,
    /// Sequence number of this router's latest attempt to the node; the node with the lowest is next in round
    /// robin.
    pub last_attempt: u64,
    /// The node's health at the start of this round.
    pub health: Health,
    /// Seconds that a new shard request is expected to wait for the node. At the start of a round, the value
    /// is the expected time until an ejected node is used again (readmission), and 0 for other nodes.
    /// Admission raises the value to the age of the oldest query with a shard request that waits for the
    /// node.
    pub expected_wait_s: f64,
}

/// A shard request's id and the number of its attempt.
pub(super) type AttemptKey = (String, usize);

impl Node {
    /// Creates the record of a node that has just appeared in the endpoint list. `warm_up_phase` is set for a
    /// node that is warming up: this router's position, from 0 to 1, among the routers that send to the node
    /// in turn.
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

    /// Creates the record of a node that is not in the endpoint list but has an attempt in flight that
    /// another router process started and this one adopted. No attempts are sent to the node unless an
    /// endpoint list contains it later; the values of its list entry then replace those set here.
    pub fn without_endpoint_entry() -> Self {
        Node::new(0, NodeState::Removed, None, None)
    }

    /// Updates the node's health and its concurrency limit with an ended attempt.
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

    /// The log line for the ejection or readmission of the node.
    pub fn ejection_log_line(&self, id: &str, ejected: bool) -> String {
        let change = if ejected { "ejected" } else { "readmitted" };
        let (in_flight, failures) = (self.in_flight.len(), self.health_record.consecutive_failures());
        let limit = self.concurrency.limit();
        format!(
            "node {id} {change}: {in_flight} attempts in flight, {failures} consecutive failures, \
             concurrency limit {limit:.1}"
        )
    }

    /// Age of the node's oldest attempt in flight, in seconds on the clock without this router's stalls;
    /// 0 if the node has no attempt in flight.
    pub fn oldest_attempt_age_s(&self, now_stall_free_s: f64) -> f64 {
        let ages = self.in_flight.values().map(|attempt| now_stall_free_s - attempt.started_at_stall_free_s);
        ages.fold(0.0, f64::max)
    }

    /// The number of shard requests that this core may send to the node now. For a node that is warming up,
    /// the result also has the seconds for which no other core of this router may send to the node after
    /// this core has sent a request.
    pub fn capacity(&self, inputs: &CapacityInputs) -> NodeCapacity {
        let free = self.concurrency.additional_requests_allowed(self.in_flight.len());
        self.warm_up_load.capacity(inputs, self.started_at_s, free)
    }

    /// Whether the node has been removed and has no attempt in flight, so that its record can be dropped.
    pub fn is_removable(&self) -> bool {
        self.state == NodeState::Removed && self.in_flight.is_empty()
    }
}
