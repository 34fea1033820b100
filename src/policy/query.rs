//! The records of open queries: their shard requests and the attempts of each shard request. Times ending in
//! `stall_free_s` are on the clock that excludes the router's own stalls ([`super::Policy`]), all others on
//! the monotonic clock.

use super::weights::WeightRounding;
use std::collections::BTreeSet;

/// A query from its arrival until its final answer, rejection or failure.
#[derive(Default)]
pub(super) struct Query {
    pub id: String,
    /// Index of its query class.
    pub class: usize,
    /// Whether the query is beyond its tenant's quota.
    pub over_quota: bool,
    /// Whether the query is regarded as a client's retry of an earlier one.
    pub is_client_retry: bool,
    pub arrived_at_s: f64,
    /// The client's deadline, at which the client stops waiting.
    pub not_after_s: f64,
    /// The point in time until which an answer is within the latency objective.
    pub objective_at_s: f64,
    /// Whether admission control has admitted the query.
    pub admitted: bool,
    pub in_second_phase: bool,
    /// Whether the first phase was answered completely.
    pub first_phase_complete: bool,
    /// Number of shard requests expected in the second phase.
    pub expected_requests: usize,
    /// When the query is checked next, in seconds on the monotonic clock. An event for the query or a late
    /// attempt causes an earlier check.
    pub next_check_at_s: f64,
    pub requests: Vec<ShardRequest>,
    /// The rounding of the weights of the shard requests.
    pub weight_rounding: WeightRounding,
}

/// A query's request to one shard.
pub(super) struct ShardRequest {
    pub id: String,
    pub shard: u32,
    /// The shard request's fraction of the query's result, from 0 to 1.
    pub weight: f64,
    pub succeeded: bool,
    /// Number of hedges started so far.
    pub hedges: usize,
    pub attempts: Vec<Attempt>,
}

/// An attempt of a shard request at one data node.
#[derive(Clone, Default)]
pub(super) struct Attempt {
    pub node: String,
    pub started_at_s: f64,
    pub started_at_stall_free_s: f64,
    pub in_flight: bool,
    pub cancelled: bool,
    /// Whether the attempt may have had an effect.
    pub possible_effect: bool,
    /// Whether the node did not accept the attempt, as it was at capacity or unreachable.
    pub rejected: bool,
    /// The late node that this hedge bypasses; `None` once the hedge has won or lost, and for other attempts.
    pub bypassed_node: Option<String>,
    /// Whether the connection broke while the attempt was in flight.
    pub connection_lost: bool,
}

/// Identifies a shard request by its query and its index there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShardRequestPosition {
    pub query: u64,
    /// Index among the query's shard requests, from 0.
    pub index: usize,
}

/// A pair of shard and query class. Attempts of the same pair are late after the same delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShardAndClass {
    pub shard: u32,
    pub class: usize,
}

impl Attempt {
    /// Whether the attempt is in flight and not cancelled.
    pub fn is_in_flight_uncancelled(&self) -> bool {
        self.in_flight && !self.cancelled
    }
}

impl ShardRequest {
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

impl Query {
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.requests.iter().flat_map(|request| &request.attempts)
    }

    /// The last time at which an answer is in time: the latency objective or the client's deadline, whichever
    /// is first.
    pub fn in_time_until_s(&self) -> f64 {
        self.objective_at_s.min(self.not_after_s)
    }

    /// Whether any shard request has succeeded.
    pub fn has_success(&self) -> bool {
        self.requests.iter().any(|request| request.succeeded)
    }

    /// Ids of the nodes whose connection broke during an attempt of this query.
    pub fn nodes_with_lost_connections(&self) -> BTreeSet<&str> {
        let lost = self.attempts().filter(|attempt| attempt.connection_lost);
        lost.map(|attempt| attempt.node.as_str()).collect()
    }
}
