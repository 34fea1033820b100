//! The dispatcher of one core applies events from connections and decisions of the policy to the state. The state is kept
//! in separate tables; the submodules handle the events:
//!
//! - `queries`: opens and ends queries, and stores their responses for the clients' connections
//! - `attempts`: starts, cancels and ends attempts
//! - `replies`: matches the replies of data nodes with attempts, and records their values
//! - `connections`: chooses connections for attempts, encodes frames, and ends attempts when a connection closes
//! - `shard_changes`: applies changes of the shard map to attempts and shard requests
//! - `config`: applies changes of the configuration while queries are open
//! - `observations`: exchanges observations of data nodes with other cores and routers
//! - `invariants`: checks each action when it happens
mod attempts;
mod config;
mod connections;
mod invariants;
mod metrics;
mod observations;
mod queries;
mod replies;
mod shard_changes;

use super::arrival_time::ArrivalEstimator;
use super::attempts::AttemptTable;
use super::clients::ClientTable;
use super::counters::Counters;
use super::endpoints::EndpointTable;
use super::gossip_link::GossipLink;
use super::metrics::MetricsSource;
use super::node_connection::DialRequest;
use super::pending_input::PendingInput;
use super::queries::QueryTable;
use super::query_classes::{ClassRules, ClassTable};
use super::shard_map::ShardMapView;
use super::shared::SharedState;
use super::shutdown_phase::ShutdownPhase;
use super::stall_detector::StallDetector;
use alderway::interface::{AttemptOutcome, DecisionSink, NodeObservation, PolicyInput};
use alderway_cores::board::Board;
use alderway_deployment::{AdmissionConfig, ConnectionConfig};
use alderway_telemetry::clock::Clock;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// A handle of the dispatcher, shared by the tasks of its core.
pub type DispatcherHandle = Rc<RefCell<Dispatcher>>;

/// A request to hand over client connections to another core when they are idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientHandover {
    /// The core that gets the connections.
    pub to: usize,
    /// How many connections are still to be handed over.
    pub connections: usize,
}

/// The state of one core. All times are in seconds of `clock`.
pub struct Dispatcher {
    /// The monotonic clock that all cores share.
    pub clock: Clock,
    /// Settings for connections to data nodes.
    pub connection_config: ConnectionConfig,
    /// Settings for the admission of queries.
    pub admission: AdmissionConfig,
    /// Rules of the query classes by slot; `class_table` assigns the slots.
    pub query_classes: Vec<ClassRules>,
    /// Slots of the query classes, and the configuration in use.
    pub class_table: ClassTable,
    /// Open queries.
    pub queries: QueryTable,
    /// Attempts in flight.
    pub attempts: AttemptTable,
    /// Data nodes and the connections to them.
    pub endpoints: EndpointTable,
    /// Connections of clients.
    pub clients: ClientTable,
    /// Counters of this core.
    pub counters: Counters,
    /// The state that all cores of the process share.
    pub shared: Arc<SharedState>,
    /// Index of this core in `shared.cores`.
    pub core: usize,
    /// The generation of the endpoint list that this core has applied.
    pub endpoints_generation: u64,
    /// Whether the fence holds attempts back until this core has applied the newest endpoint list.
    pub has_held_attempts: bool,
    /// Observations of other cores and routers that are still valid, for a restarted policy.
    pub observations: Board,
    /// The shard map, if one is followed; otherwise shards are placed by the platform's ring.
    pub shard_map: Option<ShardMapView>,
    /// The link to other routers, if there is one.
    pub gossip: Option<Rc<dyn GossipLink>>,
    /// Other components of this core that have metrics.
    pub metrics_sources: Vec<Rc<dyn MetricsSource>>,
    /// A fault that a test requested; it is injected at the next heartbeat.
    #[cfg(feature = "faults")]
    pub injected_fault: Option<String>,
    /// Client connections to hand over to another core, if any.
    pub handover: Option<ClientHandover>,
    /// Notified when there is input for the policy, to start a round.
    pub work_ready: Rc<Notify>,
    /// Notified when the policy requests a poll of the endpoint list.
    pub poll_requested: Arc<Notify>,
    /// The phase of a graceful shutdown.
    pub shutdown_phase: ShutdownPhase,
    /// Detects stalls of this thread.
    pub stall_detector: StallDetector,
    /// Estimates when bytes of clients arrived.
    pub arrival_times: ArrivalEstimator,
    is_readiness_logged: bool,
    pending: PendingInput,
    pending_dials: Vec<DialRequest>,
    /// Data nodes with attempts that are not yet put into frames.
    nodes_to_flush: BTreeSet<String>,
}

impl Dispatcher {
    /// The dispatcher of a process with one core.
    pub fn new(
        clock: Clock,
        connection_config: ConnectionConfig,
        admission: AdmissionConfig,
        query_classes: Vec<ClassRules>,
    ) -> Self {
        let shared = SharedState::single_core(admission.max_open);
        Dispatcher::for_core(shared, 0, clock, connection_config, admission, query_classes)
    }

    /// The dispatcher of core number `core`.
    pub fn for_core(
        shared: Arc<SharedState>,
        core: usize,
        clock: Clock,
        connection_config: ConnectionConfig,
        admission: AdmissionConfig,
        query_classes: Vec<ClassRules>,
    ) -> Self {
        Dispatcher {
            poll_requested: shared.poll_requested.clone(),
            shared,
            core,
            endpoints_generation: 0,
            has_held_attempts: false,
            observations: Board::default(),
            shard_map: None,
            gossip: None,
            metrics_sources: vec![],
            #[cfg(feature = "faults")]
            injected_fault: None,
            handover: None,
            clock,
            connection_config,
            admission,
            query_classes,
            class_table: ClassTable::default(),
            queries: QueryTable::default(),
            attempts: AttemptTable::default(),
            endpoints: EndpointTable::default(),
            clients: ClientTable::default(),
            counters: Counters::default(),
            work_ready: Rc::default(),
            shutdown_phase: ShutdownPhase::default(),
            stall_detector: StallDetector::default(),
            arrival_times: ArrivalEstimator::new(clock.now(), clock.unix_now()),
            is_readiness_logged: false,
            pending: PendingInput::default(),
            pending_dials: vec![],
            nodes_to_flush: BTreeSet::new(),
        }
    }

    /// Whether queries can be served: data nodes and, if one is followed, the shard map are known, the endpoint list is
    /// current, and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        let is_list_current = self.shared.fence.passes(u64::MAX, self.clock.now()).is_ok();
        let has_shard_map = self.shard_map.as_ref().is_none_or(|shard_map| shard_map.version().is_some());
        self.endpoints.has_nodes()
            && self.shutdown_phase == ShutdownPhase::Serving
            && is_list_current
            && has_shard_map
    }

    /// When the next round is due even if there is no input.
    pub fn next_timer_s(&self) -> f64 {
        self.pending.next_timer_s().min(self.attempts.next_timeout_s())
    }

    /// Ends attempts that have timed out and queries whose deadline has passed.
    pub fn expire_attempts_and_queries(&mut self, now: f64) {
        for id in self.attempts.overdue(now) {
            self.abort_attempt(&id, AttemptOutcome::TimedOut);
        }
        for number in self.queries.overdue(now) {
            self.expire_query(number);
        }
    }

    /// Passes the input since the last round to the policy.
    pub fn notify_policy(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        self.log_readiness();
        self.notify_config(policy);
        self.endpoints.notify_policy(policy);
        self.pending.notify_observations(policy);
        if let Some(shard_map) = &mut self.shard_map {
            shard_map.notify_shards(now, policy);
        }
        if let Some(shard_map) = &mut self.shard_map {
            shard_map.notify_splits(policy);
        }
        // Ended queries and attempts come before new ones. Guards against a new query with the id of an ended one, to which
        // the policy would apply the end.
        self.notify_ended_attempts(policy);
        self.pending.notify_disconnected(policy);
        self.notify_new_queries(policy);
        if self.shutdown_phase < ShutdownPhase::Ending {
            self.notify_retired_classes(policy);
        }
        self.pending.notify_timers(now, policy);
        self.retire_shards(now, policy);
        self.endpoints.drop_removed();
    }

    fn log_readiness(&mut self) {
        if !self.is_readiness_logged && self.is_ready() {
            self.is_readiness_logged = true;
            tracing::info!(target: "ready", "serves: {} data nodes known", self.endpoints.nodes.len());
        }
    }

    /// Prepares the state for a restarted policy after a failure: fails all open queries, ends all attempts, and makes the
    /// next round pass the full state.
    pub fn restart_policy(&mut self) {
        self.counters.increment("module_failures");
        self.fail_all_queries();
        for id in self.attempts.ids() {
            self.abort_attempt(&id, AttemptOutcome::Cancelled);
        }
        self.attempts.take_ended();
        self.pending.clear_for_policy_restart();
        self.reset_classes();
        self.endpoints.mark_all_changed();
        self.shard_map.iter_mut().for_each(ShardMapView::mark_all_changed);
        self.replay_observations();
    }
}

/// Applies each decision of the policy at once.
impl DecisionSink for Dispatcher {
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64) {
        self.start_attempt_on_node(request, node, timeout_s);
    }

    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        self.cancel_attempt_of(request, attempt);
    }

    fn answer(&mut self, query: &str, complete: bool) {
        self.answer_query(query, complete);
    }

    fn reject(&mut self, query: &str, retry_after_s: Option<f64>) {
        self.reject_query(query, retry_after_s);
    }

    fn fail(&mut self, query: &str) {
        self.fail_query(query);
    }

    fn set_timer(&mut self, span_s: f64, tag: u64) {
        self.pending.add_timer(self.clock.now() + span_s, tag);
    }

    fn poll_endpoints(&mut self) {
        self.poll_requested.notify_one();
    }

    fn share_observation(&mut self, node: &str, observation: NodeObservation) {
        self.publish_observation(node, observation);
    }

    fn query_ended(&mut self, late: bool) {
        self.gossip.iter().for_each(|gossip| gossip.query_ended(late));
    }

    fn log(&mut self, text: &str) {
        tracing::info!(target: "module", "{text}");
    }
}
