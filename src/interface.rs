//! The interface between the policy and the program that hosts it: the events that the host delivers
//! ([`PolicyInput`]), the decisions that the policy returns ([`DecisionSink`]), and the types that both use.
//!
//! Points in time are seconds on the host's monotonic clock, durations are seconds. The policy does not
//! interpret the ids that the host passes.
//!
//! The host is the program that calls the policy, for example a query router. A round is one call of
//! [`crate::policy::Policy::round`]. A slot is the index of a query class in the policy. The endpoint list is
//! the list of data nodes that discovery reports. An attempt is late once its age exceeds a delay that the
//! policy estimates.

pub use crate::shard_placement::{ShardHolders, ShardPlacement};
pub use crate::shared_limits::SharedLimits;

/// Whether a shard request may be attempted again once an attempt of it may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Any number of attempts has the effect of one.
    Idempotent,
    /// Data nodes discard repeated attempts for a limited time.
    IdempotentWithKey {
        /// Seconds for which data nodes discard repeated attempts, counted from the start of the first
        /// attempt that may have had an effect.
        window_s: f64,
    },
    /// A second attempt would have a second effect.
    NonIdempotent,
}

/// The service class of a query, with its objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryClass {
    /// Seconds after the query's arrival within which an answer has its full value.
    pub latency_objective_s: f64,
    /// Seconds after the query's arrival at which its client stops waiting.
    pub deadline_s: f64,
    /// Whether shard requests of the class may be attempted again.
    pub idempotency: Idempotency,
    /// Value of an answer, relative to the other classes.
    pub priority_weight: f64,
    /// Value of an answer after the latency objective, as a fraction of the value of an answer within it.
    pub late_weight_fraction: f64,
    /// An answer is complete if the shard requests that succeeded have at least this fraction of the query's
    /// weight.
    pub complete_fraction: f64,
    /// A partial answer is allowed only if the shard requests that succeeded have at least this fraction of
    /// the query's weight.
    pub minimum_fraction: f64,
    /// Number of shard requests of the second phase; 0 for classes with a single phase.
    pub second_phase_requests: usize,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name in the settings.
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
    /// Maximum number of attempts of one shard request, the first one included.
    pub max_attempts: usize,
    /// The longest Retry-After that clients follow, in seconds; `None` if clients are not sent one.
    pub max_retry_after_s: Option<f64>,
    /// Whether changes of the endpoint list arrive only after [`DecisionSink::poll_endpoints`].
    pub polls_endpoints: bool,
    /// Factor on the priority weight of queries beyond their tenant's quota.
    pub over_quota_weight_fraction: f64,
}

/// A limit for retries and hedges, which are the attempts after the first one of each shard request: in any
/// period at most `burst` plus `ratio` times the number of shard requests that arrive in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Capacity of the budget's token bucket: the number of retries and hedges that may start without any new
    /// shard request.
    pub burst: f64,
    /// Number of retries and hedges that each new shard request adds to the bucket, usually less than 1.
    pub ratio: f64,
}

/// How much load a data node that has just started can take before it is overloaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Capacity of a node right after its start, as a fraction of its full capacity.
    pub initial_fraction: f64,
    /// Seconds in which the capacity rises linearly from `initial_fraction` to full; the rise begins
    /// `window_s` after the node's start.
    pub warm_up_s: f64,
    /// The load that overloads a node, as a multiple of its current capacity. The load is the seconds of work
    /// sent to the node within the last `window_s`, divided by `window_s`; the policy sends less than this
    /// load.
    pub capacity_multiple: f64,
    /// Seconds over which the work sent to the node is summed.
    pub window_s: f64,
}

/// The configuration of a policy. [`StateTransfer::change_config`] applies changes of all values except
/// `replica_groups`, `groups_per_shard` and `explicit_holders` of `placement`, whose changes are ignored.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    /// Number of query routers that send requests to the same data nodes.
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

/// The slot that a query class of a new configuration gets. An unchanged class keeps its slot. A changed
/// class gets another slot, as open queries continue with the old class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassSlot {
    /// The index of the query class in all events that follow this change.
    pub slot: usize,
    /// The index of the same query class before this change, if the class existed. The latencies observed for
    /// the previous index apply to the new one too.
    pub previous_slot: Option<usize>,
}

/// State of a data node in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NodeState {
    /// Accepts new attempts.
    #[default]
    Serving,
    /// Finishes the attempts in flight and accepts no new ones.
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
    /// The data node rejected the attempt for lack of capacity.
    Rejected,
    /// The attempt's time-out passed.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke while the attempt was in flight.
    ConnectionReset,
    /// The router cancelled the attempt.
    Cancelled,
    /// The attempt ended before any byte of its request was written to a connection.
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

/// The health of a data node according to the attempts of one core. The node counts as slow, very slow or
/// unresponsive from `observed_at_s` on, for the seconds in the field of that state; 0 if the node is not in
/// the state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeObservation {
    /// When the node's process started, in seconds on the host's monotonic clock; `None` if unknown.
    /// Observations of another process of the node are ignored.
    pub started_at_s: Option<f64>,
    /// When the observation was made, in seconds on the host's monotonic clock, which all cores of a router
    /// share.
    pub observed_at_s: f64,
    /// Seconds for which the node counts as slow.
    pub slow_for_s: f64,
    /// Seconds for which the node counts as very slow.
    pub very_slow_for_s: f64,
    /// Seconds for which the node counts as unresponsive.
    pub unresponsive_for_s: f64,
}

/// Calls that keep the policy's state when shards or settings change, and when this host continues queries
/// that another host process started. A host calls none of these functions if its shards are placed in the
/// ring (see [`ShardPlacement`]), its settings never change, and it continues no queries of other hosts.
pub trait StateTransfer {
    /// Sets which replica groups and nodes hold a shard. Until the first call, the replica groups that hold a
    /// shard are computed from the shard's number (the ring, see [`ShardPlacement`]). After the first call, a
    /// shard for which this function has not been called has no holder.
    fn set_shard_holders(&mut self, _shard: u32, _holders: ShardHolders) {}
    /// Initializes a new shard with the latencies and the round robin position of `parents`, the shards that
    /// contained its keys before. Parents that have been retired are skipped.
    fn inherit_shard(&mut self, _shard: u32, _parents: &[u32]) {}
    /// Removes a shard that has no open shard requests and gets no new ones.
    fn shard_retired(&mut self, _shard: u32) {}
    /// Replaces a shard request of an open query by several, given as (id, shard, weight), after its shard
    /// was split. Each new shard request gets a copy of the old one's attempts. The host reports the end of
    /// such an attempt once for each new shard request.
    fn shard_request_split(&mut self, _query: u64, _request: &str, _into: &[(&str, u32, f64)]) {}
    /// Adds an attempt that another host process started for a shard request `age_s` seconds ago. The host
    /// adds the attempts of a shard request in the order of their starts. An attempt without an outcome is in
    /// flight; the host reports its end to this policy.
    fn adopt_attempt(&mut self, _request: &str, _node: &str, _age_s: f64, _outcome: Option<AttemptOutcome>) {}
    /// Applies a new configuration; `slots` has one entry for each of its query classes, in the same order. A
    /// slot without an entry keeps its class for the queries that are open and gets no new queries;
    /// `class_retired` releases the slot.
    fn change_config(&mut self, _config: &PolicyConfig, _slots: &[ClassSlot]) {}
    /// Releases a slot without open queries. The host delivers no query with this slot until `change_config`
    /// assigns another class to the slot.
    fn class_retired(&mut self, _slot: usize) {}
}

/// Events that the host delivers to the policy: one call for each event, in the order in which they occurred.
pub trait PolicyInput: StateTransfer {
    /// Marks all known nodes as removed. The host then calls `endpoint_updated` for every node of the new
    /// endpoint list.
    fn endpoint_list_replaced(&mut self);
    /// Adds or updates a node of the endpoint list. `started_at_s` is when the node's process started, in
    /// seconds on the monotonic clock; `None` if unknown.
    fn endpoint_updated(
        &mut self,
        node: &str,
        replica_group: u32,
        state: NodeState,
        started_at_s: Option<f64>,
    );
    /// Records that watching or polling the endpoint list failed. The last list stays in use.
    fn endpoint_poll_failed(&mut self);
    /// Adds a query that has just arrived and whose client stops waiting at `not_after_s`.
    fn query_arrived(&mut self, query: u64, id: &str, class: usize, tenant: &str, not_after_s: f64);
    /// Adds a shard request to a query; `weight` is the shard request's fraction of the query's result, from
    /// 0 to 1.
    fn shard_request_added(&mut self, query: u64, id: &str, shard: u32, weight: f64);
    /// Records that attempt number `attempt`, counted from 0, of a shard request ended `latency_s` seconds
    /// after its start.
    fn attempt_ended(
        &mut self,
        request: &str,
        attempt: usize,
        node: &str,
        outcome: AttemptOutcome,
        latency_s: f64,
    );
    /// Removes a query that ended without a decision of the policy. The host calls this function if the
    /// client has disconnected, and also if the host itself has ended the query at its deadline.
    fn client_disconnected(&mut self, query: &str);
    /// Records that the timer that was set with this tag has fired.
    fn timer_fired(&mut self, tag: u64);
    /// Records the health of a data node that another core, or another router through gossip, observed.
    fn node_observed(&mut self, _node: &str, _observation: NodeObservation) {}
    /// Records how many queries have ended on all routers since the last call: `late` after their latency
    /// objective, `in_time` within it. Queries of this router are included.
    fn fleet_latency_counts(&mut self, _late: u32, _in_time: u32) {}
}

/// Receives the decisions of the policy, in the order in which the host carries them out.
pub trait DecisionSink {
    /// Starts the next attempt of a shard request, with a time-out of `timeout_s` seconds.
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64);
    /// Cancels attempt number `attempt`, counted from 0, of a shard request.
    fn cancel_attempt(&mut self, request: &str, attempt: usize);
    /// Answers a query with the results of the shard requests that have succeeded.
    fn answer(&mut self, query: &str, complete: bool);
    /// Rejects a query. Its client may retry the query, as the query had no effect or is idempotent.
    /// `retry_after_s` is the Retry-After in seconds that the host sends to the client; `None` if it sends
    /// none.
    fn reject(&mut self, query: &str, retry_after_s: Option<f64>);
    /// Fails a query that may have had an effect and must not be retried.
    fn fail(&mut self, query: &str);
    /// Sets a timer that fires after `duration_s` seconds.
    fn set_timer(&mut self, duration_s: f64, tag: u64);
    /// Polls discovery for changes of the endpoint list.
    fn poll_endpoints(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// Sends an observation of a data node to the other cores, and to other routers if gossip is enabled.
    fn share_observation(&mut self, _node: &str, _observation: NodeObservation) {}
    /// Reports the end of a query that had attempts. `late` is whether the query counts as late in
    /// [`PolicyInput::fleet_latency_counts`].
    fn query_ended(&mut self, _late: bool) {}
}
