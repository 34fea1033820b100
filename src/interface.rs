//! The interface between the decisions and the program that hosts them: what the host tells ([`PolicyInput`]), what the
//! policy decides ([`DecisionSink`]), and the types that both sides use.
//!
//! Times are seconds on the host's monotonic clock, spans are seconds. Identifiers are kept as the host gives them.

pub use crate::shard_placement::{ShardHolders, ShardPlacement};
pub use crate::shared_limits::SharedLimits;

/// Whether a shard request may be attempted again once an attempt of it may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Any number of attempts has the effect of one.
    Idempotent,
    /// Data nodes drop repeated attempts for a while.
    IdempotentWithKey {
        /// Seconds from the first attempt that may have had an effect during which repeats are dropped.
        window_s: f64,
    },
    /// A second attempt would have a second effect.
    NonIdempotent,
}

/// The service class of a query, with its objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryClass {
    /// Seconds within which an answer earns its full value.
    pub latency_objective_s: f64,
    /// Seconds after which the client no longer waits.
    pub deadline_s: f64,
    /// Whether its shard requests may be repeated.
    pub idempotency: Idempotency,
    /// Value of an answer, relative to the other classes.
    pub priority_weight: f64,
    /// Fraction of the value that is left when the answer comes after the latency objective.
    pub late_weight_fraction: f64,
    /// Fraction of the shard requests' weight that makes an answer complete.
    pub complete_fraction: f64,
    /// Least fraction of the weight that may be answered.
    pub minimum_fraction: f64,
    /// Shard requests of a second phase; 0 for classes with a single phase.
    pub second_phase_requests: usize,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name in the settings.
    pub name: String,
    /// Queries a second that all routers together serve at full priority.
    pub quota_per_s: f64,
}

/// What the deployment allows a router to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouterCapabilities {
    /// Whether attempts in flight may be cancelled.
    pub can_cancel: bool,
    /// Whether a shard request may have several attempts in flight.
    pub can_hedge: bool,
    /// Most attempts of one shard request.
    pub max_attempts: usize,
    /// The longest Retry-After that clients follow, in seconds; none where it is not passed on.
    pub max_retry_after_s: Option<f64>,
    /// Whether changes of the endpoint list arrive only after [`DecisionSink::poll_endpoints`].
    pub polls_endpoints: bool,
    /// Fraction of the priority weight left to queries beyond their tenant's quota.
    pub over_quota_weight_fraction: f64,
}

/// A stated budget for the attempts past a shard request's first one. In any window at most `burst` plus `ratio` times
/// the window's shard requests may be spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that may be spent at once.
    pub burst: f64,
    /// Attempts that each shard request adds.
    pub ratio: f64,
}

/// How much a data node that has just started may be sent before it is overloaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Fraction of its full capacity that it has right after its start.
    pub initial_fraction: f64,
    /// Seconds over which the capacity rises to full, counted from `window_s` after the start.
    pub warm_up_s: f64,
    /// Load, as a multiple of the node's capacity at that moment, that overloads it.
    pub capacity_multiple: f64,
    /// Seconds over which the load is summed up.
    pub window_s: f64,
}

/// All that a policy is started with. Everything but the ring of `placement` may change while it runs.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    /// Routers that share the data nodes.
    pub router_count: usize,
    /// Query classes, known by their index.
    pub query_classes: Vec<QueryClass>,
    /// Tenants with a quota.
    pub tenants: Vec<Tenant>,
    /// Which replica groups hold which shard.
    pub placement: ShardPlacement,
    /// What the deployment allows.
    pub capabilities: RouterCapabilities,
    /// The stated retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// The limit for warming data nodes, if there is one.
    pub slow_start: Option<SlowStartConfig>,
}

/// Where a query class of a new configuration stands among the classes that the policy knows by index: in a slot of its
/// own from here on, or unchanged in the slot that it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassSlot {
    /// Its index from here on.
    pub slot: usize,
    /// The index that it had until now; the latencies observed there go with it.
    pub previous_slot: Option<usize>,
}

/// State of a data node in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NodeState {
    /// Takes new attempts.
    #[default]
    Serving,
    /// Finishes what it has; takes nothing new.
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
    /// The data node refused it for lack of capacity.
    Rejected,
    /// Its time-out passed.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke while it was in flight.
    ConnectionReset,
    /// The router cancelled it.
    Cancelled,
    /// It ended before anything of it was written.
    NeverSent,
    /// The data node answered that it does not hold the shard.
    ShardMoved,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn had_no_effect(self) -> bool {
        self.was_rejected() || matches!(self, AttemptOutcome::NeverSent | AttemptOutcome::ShardMoved)
    }

    /// Whether the data node took nothing in, be it at capacity or unreachable.
    pub fn was_rejected(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable)
    }
}

/// What one core observed of a data node by its own attempts. Spans count from `observed_at_s`; 0 says that the node is
/// healthy in that respect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeObservation {
    /// Start of the node's process that was observed; it says nothing of another process.
    pub started_at_s: Option<f64>,
    /// When it was observed, on the clock that all cores of a router share.
    pub observed_at_s: f64,
    /// For how long the node counts as slow.
    pub slow_for_s: f64,
    /// For how long it counts as very slow.
    pub very_slow_for_s: f64,
    /// For how long it counts as unresponsive.
    pub unresponsive_for_s: f64,
}

/// State that moves between hosts or outlives a change of shards or settings. A host whose shards lie in the ring, whose
/// settings never change, and that takes over no queries of other hosts needs none of these.
pub trait StateTransfer {
    /// Sets who holds a shard. The first call replaces the ring by the explicit list.
    fn set_shard_holders(&mut self, _shard: u32, _holders: ShardHolders) {}
    /// A new shard has keys of `parents`, which may be retired since: it starts from their observations.
    fn inherit_shard(&mut self, _shard: u32, _parents: &[u32]) {}
    /// No shard request is open for the shard, and none will be.
    fn shard_retired(&mut self, _shard: u32) {}
    /// Splits a shard request of an open query into several (id, shard, weight), as no node holds all of it any more.
    /// Each inherits the attempts of the old one; how those end is told for each.
    fn shard_request_split(&mut self, _query: u64, _request: &str, _into: &[(&str, u32, f64)]) {}
    /// Adopts an attempt that another host made for a shard request, `age_s` seconds ago; attempts come in their
    /// order. One without an outcome is in flight and this policy's from here on.
    fn adopt_attempt(&mut self, _request: &str, _node: &str, _age_s: f64, _outcome: Option<AttemptOutcome>) {}
    /// Applies a new configuration; `slots` has one entry for each of its query classes. A slot without an entry stays
    /// as it is for its open queries, gets no new ones, and ends with `class_retired`.
    fn change_config(&mut self, _config: &PolicyConfig, _slots: &[ClassSlot]) {}
    /// No query is open in the slot, and none will be until another class is put there.
    fn class_retired(&mut self, _slot: usize) {}
}

/// What a host tells the policy: one call for each event, in their order.
pub trait PolicyInput: StateTransfer {
    /// The updates that follow are the whole endpoint list: nodes that it does not name are removed.
    fn endpoint_list_replaced(&mut self);
    /// One entry of the endpoint list; `started_at_s` is when the node's process started, if that is known.
    fn endpoint_updated(
        &mut self,
        node: &str,
        replica_group: u32,
        state: NodeState,
        started_at_s: Option<f64>,
    );
    /// Watching or polling the endpoint list failed; the last list holds.
    fn endpoint_poll_failed(&mut self);
    /// A query arrived, which nobody waits for after `not_after_s`.
    fn query_arrived(&mut self, query: u64, id: &str, class: usize, tenant: &str, not_after_s: f64);
    /// One shard request of a query; `weight` is its fraction of the whole.
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
    /// The query ended without the policy: its client is gone, or its deadline passed.
    fn client_disconnected(&mut self, query: &str);
    /// The timer set with this tag fired.
    fn timer_fired(&mut self, tag: u64);
    /// What another core, or another router by gossip, observed of a data node.
    fn node_observed(&mut self, _node: &str, _observation: NodeObservation) {}
    /// Queries of the whole fleet, this router's included, that ended since the last call: after their latency
    /// objective, and within it.
    fn fleet_latency_counts(&mut self, _late: u32, _in_time: u32) {}
}

/// Where the policy writes its decisions, in the order in which the host carries them out.
pub trait DecisionSink {
    /// Starts the next attempt of a shard request, with a time-out of `timeout_s` seconds.
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64);
    /// Cancels an attempt in flight.
    fn cancel_attempt(&mut self, request: &str, attempt: usize);
    /// Answers a query with what has come in.
    fn answer(&mut self, query: &str, complete: bool);
    /// Rejects a query: a retry by its client is harmless, as it had no effect or its class may be repeated.
    /// `retry_after_s` is the advice to its client.
    fn reject(&mut self, query: &str, retry_after_s: Option<f64>);
    /// Fails a query that may have had an effect.
    fn fail(&mut self, query: &str);
    /// Sets a timer.
    fn set_timer(&mut self, span_s: f64, tag: u64);
    /// Asks for changes of the endpoint list.
    fn poll_endpoints(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// Shares an observation of a data node with the other cores, and with other routers where there is gossip.
    fn share_observation(&mut self, _node: &str, _observation: NodeObservation) {}
    /// A query that had attempts has ended; `late` is whether it counts as overload in the fleet's figures.
    fn query_ended(&mut self, _late: bool) {}
}
