//! The records of open queries: their shard requests and the attempts of each. Times ending in `stall_free_s` are on
//! the clock that excludes the router's own stalls ([`super::Policy`]), all others on the monotonic clock.

use std::collections::BTreeSet;

/// An open query.
#[derive(Default)]
pub(super) struct Query {
    pub id: String,
    /// Index of its query class.
    pub class: usize,
    /// Whether it is beyond its tenant's quota.
    pub over_quota: bool,
    /// Whether it is taken for a client's retry of an earlier query.
    pub is_client_retry: bool,
    pub arrived_at_s: f64,
    /// When its client stops waiting.
    pub not_after_s: f64,
    /// When its latency objective passes.
    pub objective_at_s: f64,
    /// Whether admission control has let it in.
    pub admitted: bool,
    pub in_second_phase: bool,
    /// Whether the first phase was answered completely.
    pub first_phase_complete: bool,
    /// Shard requests expected in the second phase.
    pub expected_requests: usize,
    /// When it is checked next, unless an event arrives for it or an attempt of it becomes late before.
    pub next_check_at_s: f64,
    pub requests: Vec<ShardRequest>,
}

/// A query's request to one shard.
pub(super) struct ShardRequest {
    pub id: String,
    pub shard: u32,
    /// Its fraction of the query's whole.
    pub weight: f64,
    pub succeeded: bool,
    /// Hedges started so far.
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
    /// Whether it may have had an effect.
    pub possible_effect: bool,
    /// Whether the node took nothing in, being at capacity or unreachable.
    pub rejected: bool,
    /// The late node that it is a hedge past, until it has won or lost.
    pub bypassed_node: Option<String>,
    /// Whether its connection broke while it was in flight.
    pub connection_lost: bool,
}

/// Where a shard request is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequestPosition {
    pub query: u64,
    /// Its index among the query's shard requests.
    pub index: usize,
}

/// What latencies and capacity are looked up by: a shard and a query class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShardClass {
    pub shard: u32,
    pub class: usize,
}

impl Attempt {
    /// Whether an answer is still waited for.
    pub fn is_live(&self) -> bool {
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

    /// The last moment at which an answer is in time: the latency objective or the client's deadline.
    pub fn in_time_until_s(&self) -> f64 {
        self.objective_at_s.min(self.not_after_s)
    }

    /// Whether any shard request has succeeded.
    pub fn has_success(&self) -> bool {
        self.requests.iter().any(|request| request.succeeded)
    }

    /// Nodes whose connection broke under an attempt of this query.
    pub fn nodes_with_lost_connections(&self) -> BTreeSet<&str> {
        let lost = self.attempts().filter(|attempt| attempt.connection_lost);
        lost.map(|attempt| attempt.node.as_str()).collect()
    }
}

/// The fraction of a query's weight in the shard requests for which `holds` is true. All of them make 1, whatever their
/// rounded weights add up to.
pub(super) fn weight_fraction(requests: &[ShardRequest], holds: &dyn Fn(&ShardRequest) -> bool) -> f64 {
    if !requests.is_empty() && requests.iter().all(holds) {
        return 1.0;
    }
    requests.iter().filter(|request| holds(request)).map(|request| request.weight).sum()
}
