//! The interface between the policy and the program that hosts it: the events that the host delivers ([`PolicyInput`]),
//! the decisions that the policy returns ([`DecisionSink`]), and the types that both use.
//!
//! Points in time are seconds on the host's monotonic clock, durations are seconds. The policy does not interpret the
//! ids that the host passes.

pub use crate::shard_placement::{ShardHolders, ShardPlacement};
pub use crate::shared_limits::SharedLimits;

/// Whether a shard request may be attempted again once an attempt of it may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Any number of attempts has the effect of one.
    Idempotent,
    /// Data nodes discard repeated attempts for a limited time.
    IdempotentWithKey {
        /// Seconds from the first attempt that may have had an effect during which repeats are discarded.
        window_s: f64,
    },
    /// A second attempt would have a second effect.
    NonIdempotent,
}

/// The service class of a query, with its objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryClass {
    /// Seconds within which an answer has its full value.
    pub latency_objective_s: f64,
    /// Seconds after which the client no longer waits.
    pub deadline_s: f64,
    /// Whether its shard requests may be repeated.
    pub idempotency: Idempotency,
    /// Value of an answer, relative to the other classes.
    pub priority_weight: f64,
    /// Fraction of the value that an answer after the latency objective has.
    pub late_weight_fraction: f64,
    /// Fraction of the shard requests' weight from which an answer is complete.
    pub complete_fraction: f64,
    /// Smallest fraction of the weight that a partial answer may have.
    pub minimum_fraction: f64,
    /// Number of shard requests of the second phase; 0 for classes with a single phase.
    pub second_phase_requests: usize,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name in the settings.
    pub name: String,
    /// Queries per second that all routers together serve at full priority.
    pub quota_per_s: f64,
}

/// What the deployment allows a router to do, and the limits on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouterCapabilities {
    /// Whether attempts in flight may be cancelled.
    pub can_cancel: bool,
    /// Whether a shard request may have several attempts in flight.
    pub can_hedge: bool,
    /// Most attempts of one shard request.
    pub max_attempts: usize,
    /// The longest Retry-After that clients follow, in seconds; `None` if clients are not sent one.
    pub max_retry_after_s: Option<f64>,
    /// Whether changes of the endpoint list arrive only after [`DecisionSink::poll_endpoints`].
    pub polls_endpoints: bool,
    /// Factor on the priority weight of queries beyond their tenant's quota.
    pub over_quota_weight_fraction: f64,
}

/// A limit for the attempts after the first one of each shard request: in any window at most `burst` plus `ratio` times
/// the number of shard requests in that window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that may be made at once.
    pub burst: f64,
    /// Attempts that each shard request adds to the budget.
    pub ratio: f64,
}

/// How much load a data node that has just started can take before it is overloaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Fraction of the full capacity that the node has right after its start.
    pub initial_fraction: f64,
    /// Seconds in which the capacity rises to full, counted from `window_s` after the start.
    pub warm_up_s: f64,
    /// Load, as a multiple of the node's capacity at that moment, that overloads it.
    pub capacity_multiple: f64,
    /// Length in seconds of the window in which the load is summed.
    pub window_s: f64,
}

/// The configuration of a policy. All of it but the ring of `placement` can change while the policy runs.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    /// Routers that share the data nodes.
    pub router_count: usize,
    /// Query classes; a class is referred to by its index.
    pub query_classes: Vec<QueryClass>,
    /// Tenants with a quota.
    pub tenants: Vec<Tenant>,
    /// Which replica groups hold which shard.
    pub placement: ShardPlacement,
    /// What the deployment allows a router to do.
    pub capabilities: RouterCapabilities,
    /// The configured retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// The load limit for data nodes that are warming up, if there is one.
    pub slow_start: Option<SlowStartConfig>,
}

/// The slot, which is the index, that a query class of a new configuration gets. A class that has not changed keeps its
/// slot; one that has changed gets another slot, as open queries continue with the old class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassSlot {
    /// The index from this change on.
    pub slot: usize,
    /// The index before this change, if the class existed. The latencies observed there are carried over.
    pub previous_slot: Option<usize>,
}

/// State of a data node in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NodeState {
    /// Takes new attempts.
    #[default]
    Serving,
    /// Finishes the attempts in flight; takes no new ones.
    Draining,
    /// No longer in the list.
    Removed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The data node answered.
    Success,
    /// The data node failed, possibly after an effect.
    Error,
    /// The data node rejected it for lack of capacity.
    Rejected,
    /// Its time-out passed.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke while it was in flight.
    ConnectionReset,
    /// The router cancelled it.
    Cancelled,
    /// It ended before any part of it was written to a connection.
    NeverSent,
    /// The data node answered that it does not hold the shard.
    ShardMoved,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn had_no_effect(self) -> bool {
        self.was_rejected() || matches!(self, AttemptOutcome::NeverSent | AttemptOutcome::ShardMoved)
    }

    /// Whether the data node did not accept the attempt, as it was at capacity or unreachable.
    pub fn was_rejected(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable)
    }
}

/// The health of a data node as one core observed it by its own attempts. Durations count from `observed_at_s`; 0 means
/// that the node is healthy in that respect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeObservation {
    /// When the observed process of the node started; the observation does not apply to another process.
    pub started_at_s: Option<f64>,
    /// When the observation was made, on the clock that all cores of a router share.
    pub observed_at_s: f64,
    /// Seconds for which the node counts as slow.
    pub slow_for_s: f64,
    /// Seconds for which it counts as very slow.
    pub very_slow_for_s: f64,
    /// Seconds for which it counts as unresponsive.
    pub unresponsive_for_s: f64,
}

/// Calls that carry state across changes of shards or settings, or from one host to another. A host calls none of them
/// if its shards are placed in the ring, its settings never change, and it takes over no queries of other hosts.
pub trait StateTransfer {
    /// Sets which replica groups and nodes hold a shard. The first call replaces the ring by an explicit list of
    /// holders.
    fn set_shard_holders(&mut self, _shard: u32, _holders: ShardHolders) {}
    /// Starts a new shard with what has been observed of `parents`, the shards that held its keys before. They may have
    /// been retired since.
    fn inherit_shard(&mut self, _shard: u32, _parents: &[u32]) {}
    /// Removes a shard that no shard request is open for and that no later one will name.
    fn shard_retired(&mut self, _shard: u32) {}
    /// Splits a shard request of an open query into several (id, shard, weight), as no node holds all of its keys any
    /// more. Each inherits the attempts of the old one, whose outcomes the host reports for each.
    fn shard_request_split(&mut self, _query: u64, _request: &str, _into: &[(&str, u32, f64)]) {}
    /// Adopts an attempt that another host started for a shard request `age_s` seconds ago. The attempts of a shard
    /// request are adopted in the order of their starts. One without an outcome is in flight; the host reports its end
    /// to this policy.
    fn adopt_attempt(&mut self, _request: &str, _node: &str, _age_s: f64, _outcome: Option<AttemptOutcome>) {}
    /// Applies a new configuration; `slots` has one entry for each of its query classes. A slot without an entry keeps
    /// its class for the open queries, gets no new ones, and is released by `class_retired`.
    fn change_config(&mut self, _config: &PolicyConfig, _slots: &[ClassSlot]) {}
    /// Releases a slot without open queries. None arrives for it until `change_config` assigns another class to it.
    fn class_retired(&mut self, _slot: usize) {}
}

/// Events that the host delivers to the policy: one call for each event, in the order in which they occurred.
pub trait PolicyInput: StateTransfer {
    /// The `endpoint_updated` calls that follow are the whole endpoint list; nodes without one are removed.
    fn endpoint_list_replaced(&mut self);
    /// One entry of the endpoint list; `started_at_s` is when the node's process started, if that is known.
    fn endpoint_updated(
        &mut self,
        node: &str,
        replica_group: u32,
        state: NodeState,
        started_at_s: Option<f64>,
    );
    /// Watching or polling the endpoint list failed; the last list stays in use.
    fn endpoint_poll_failed(&mut self);
    /// A query arrived, whose client stops waiting at `not_after_s`.
    fn query_arrived(&mut self, query: u64, id: &str, class: usize, tenant: &str, not_after_s: f64);
    /// A shard request of a query; `weight` is its fraction of the whole query.
    fn shard_request_added(&mut self, query: u64, id: &str, shard: u32, weight: f64);
    /// Attempt number `attempt` of a shard request ended after `latency_s`.
    fn attempt_ended(
        &mut self,
        request: &str,
        attempt: usize,
        node: &str,
        outcome: AttemptOutcome,
        latency_s: f64,
    );
    /// The query ended without a decision of the policy: its client disconnected, or its deadline passed.
    fn client_disconnected(&mut self, query: &str);
    /// The timer that was set with this tag fired.
    fn timer_fired(&mut self, tag: u64);
    /// Another core, or another router by gossip, observed the health of a data node.
    fn node_observed(&mut self, _node: &str, _observation: NodeObservation) {}
    /// Number of queries that ended on all routers, this one included, since the last call: after their latency
    /// objective (`late`), and within it (`in_time`).
    fn fleet_latency_counts(&mut self, _late: u32, _in_time: u32) {}
}

/// Receives the decisions of the policy, in the order in which the host carries them out.
pub trait DecisionSink {
    /// Starts the next attempt of a shard request, with a time-out of `timeout_s` seconds.
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64);
    /// Cancels an attempt in flight.
    fn cancel_attempt(&mut self, request: &str, attempt: usize);
    /// Answers a query with the results of the shard requests that have succeeded.
    fn answer(&mut self, query: &str, complete: bool);
    /// Rejects a query: its client may retry it, as it had no effect or its class may be repeated. `retry_after_s` is
    /// the Retry-After sent to the client.
    fn reject(&mut self, query: &str, retry_after_s: Option<f64>);
    /// Fails a query that may have had an effect.
    fn fail(&mut self, query: &str);
    /// Sets a timer that fires after `duration_s` seconds.
    fn set_timer(&mut self, duration_s: f64, tag: u64);
    /// Polls discovery for changes of the endpoint list.
    fn poll_endpoints(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// Shares an observation of a data node with the other cores, and with other routers where there is gossip.
    fn share_observation(&mut self, _node: &str, _observation: NodeObservation) {}
    /// A query that had attempts has ended; `late` is whether it counts as late in
    /// [`PolicyInput::fleet_latency_counts`].
    fn query_ended(&mut self, _late: bool) {}
}
