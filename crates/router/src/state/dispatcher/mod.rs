//! The dispatcher of one core joins what protocol edges bring in with the state and with the policy's decisions. The
//! state stands in tables of its own; this module only leads each event to the part that it concerns:
//!
//! - `queries`: opens and ends queries, and leaves their responses with the clients' connections
//! - `attempts`: starts, cancels and ends attempts
//! - `replies`: matches the replies of data nodes with attempts, and records their values
//! - `connections`: which connection carries an attempt, what is written on it, and what its end means
//! - `shard_changes`: attempts and shard requests when the shard map changes
//! - `config`: a configuration that changes while queries are open
//! - `observations`: what other cores and routers observed
//! - `invariants`: checks each act at the moment it happens
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
use super::node_connection::Dial;
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

/// The dispatcher as the tasks of its core share it.
pub type DispatcherHandle = Rc<RefCell<Dispatcher>>;

/// Connections of clients that go to another core as they fall idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Handover {
    /// The core that takes them over.
    pub to: usize,
    /// How many are still to go.
    pub connections: usize,
}

/// The state of one core. Times are seconds of `clock`.
pub struct Dispatcher {
    /// The monotonic clock that all cores share.
    pub clock: Clock,
    /// How connections to data nodes are used.
    pub connection_config: ConnectionConfig,
    /// What may be taken in.
    pub admission: AdmissionConfig,
    /// Rules of the query classes by slot; `class_table` says which class has which slot.
    pub query_classes: Vec<ClassRules>,
    /// Slots of the query classes, and the configuration in force.
    pub class_table: ClassTable,
    /// Open queries.
    pub queries: QueryTable,
    /// Attempts in flight.
    pub attempts: AttemptTable,
    /// Data nodes and the connections to them.
    pub endpoints: EndpointTable,
    /// Connections of clients.
    pub clients: ClientTable,
    /// What this core has counted.
    pub counters: Counters,
    /// What all cores of the process share.
    pub shared: Arc<SharedState>,
    /// This core's index there.
    pub core: usize,
    /// The generation of the endpoint list that this core has applied.
    pub endpoints_generation: u64,
    /// Attempts wait until this core has caught up with the endpoint list.
    pub is_fenced: bool,
    /// Observations of other cores that still hold, for a policy that starts anew.
    pub observations: Board,
    /// The shard map, where one is followed; otherwise shards lie in the platform's ring.
    pub shard_map: Option<ShardMapView>,
    /// The way to other routers, where there is one.
    pub gossip: Option<Rc<dyn GossipLink>>,
    /// Other components of this core that count.
    pub metrics_sources: Vec<Rc<dyn MetricsSource>>,
    /// A fault that a test asks for, played at the next heartbeat.
    #[cfg(feature = "faults")]
    pub injected_fault: Option<String>,
    /// Connections to hand over to another core.
    pub handover: Option<Handover>,
    /// Wakes the round: there is something to tell the policy.
    pub work_ready: Rc<Notify>,
    /// The policy asks for a poll of the endpoint list.
    pub poll_requested: Arc<Notify>,
    /// How far a graceful shutdown has got.
    pub shutdown_phase: ShutdownPhase,
    /// Finds out that this thread stood still.
    pub stall_detector: StallDetector,
    /// When bytes of clients arrived.
    pub arrival_times: ArrivalEstimator,
    is_readiness_logged: bool,
    pending: PendingInput,
    pending_dials: Vec<Dial>,
    /// Data nodes that were given attempts in this round.
    nodes_to_flush: BTreeSet<String>,
}

impl Dispatcher {
    /// A dispatcher of a process with one core.
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
            is_fenced: false,
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

    /// Whether queries can be served: data nodes and, where one is followed, the shard map are known.
    pub fn is_ready(&self) -> bool {
        let is_led = self.shared.fence.passes(u64::MAX, self.clock.now()).is_ok();
        let is_mapped = self.shard_map.as_ref().is_none_or(|shard_map| shard_map.version().is_some());
        self.endpoints.has_nodes() && self.shutdown_phase == ShutdownPhase::Serving && is_led && is_mapped
    }

    /// When the next round is due though nothing comes in.
    pub fn next_timer_s(&self) -> f64 {
        self.pending.next_timer_s().min(self.attempts.next_timeout_s())
    }

    /// Ends what the clock ends: attempts past their time-out, and queries whose client waits no longer.
    pub fn expire_due(&mut self, now: f64) {
        for id in self.attempts.overdue(now) {
            self.abort_attempt(&id, AttemptOutcome::TimedOut);
        }
        for number in self.queries.overdue(now) {
            self.expire_query(number);
        }
    }

    /// Tells the policy all that came in since the last round.
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
        // Ends before begins: guards against a new query with the id of one that is over, which would get the other's.
        self.notify_ended_attempts(policy);
        self.pending.notify_disconnected(policy);
        self.notify_new_queries(policy);
        if self.shutdown_phase < ShutdownPhase::Ending {
            self.notify_retired_classes(policy);
        }
        self.pending.notify_timers(now, policy);
        self.notify_retired_shards(now, policy);
        self.endpoints.drop_removed();
    }

    fn log_readiness(&mut self) {
        if !self.is_readiness_logged && self.is_ready() {
            self.is_readiness_logged = true;
            tracing::info!(target: "ready", "serves: {} data nodes known", self.endpoints.nodes.len());
        }
    }

    /// After a failure of the policy: fails what is open, and tells the next round everything from the start.
    pub fn restart_policy(&mut self) {
        self.counters.increment("module_failures");
        self.fail_all_queries();
        for id in self.attempts.ids() {
            self.abort_attempt(&id, AttemptOutcome::Cancelled);
        }
        self.attempts.take_ended();
        self.pending.clear_for_restart();
        self.reset_classes();
        self.endpoints.mark_all_changed();
        self.shard_map.iter_mut().for_each(ShardMapView::mark_all_changed);
        self.replay_observations();
    }
}

/// The policy's decisions, carried out as they are written.
impl DecisionSink for Dispatcher {
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64) {
        self.start_attempt_at(request, node, timeout_s);
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
