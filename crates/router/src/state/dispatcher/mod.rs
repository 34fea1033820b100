//! The dispatcher of one core applies events from connections and decisions of the policy to the state, which
//! is kept in separate tables. The policy is the code that decides about queries and attempts. A core calls
//! the policy in runs: in each run, the dispatcher first passes the input that has arrived since the last run
//! to the policy, then applies the decisions of the policy.
//!
//! A fence, shared by all cores, keeps a core from starting attempts while the acceptor core has published a
//! newer endpoint list than the core has applied, or has not confirmed in time that its list is current. A
//! class slot is an index into `Dispatcher::query_classes`. An observation is the health of a data node
//! according to the attempts of one core. A handover moves client connections to another core. The submodules
//! handle the events:
//!
//! - `queries`: opens and ends queries, and stores their responses in the state of the clients' connections
//! - `attempts`: starts, cancels and ends attempts
//! - `replies`: matches the replies of data nodes with attempts, and records the values of the replies
//! - `connections`: chooses connections for attempts, encodes frames, and ends attempts when a connection
//!   closes
//! - `delivery`: keeps the rest of a frame from its data node when the permission of an attempt has ended
//! - `shard_changes`: applies changes of the shard map to attempts and shard requests
//! - `config`: applies changes of the configuration while queries are open
//! - `observations`: exchanges observations of data nodes with other cores and routers
//! - `invariants`: checks that each attempt that starts and each response is allowed when it happens
mod attempts;
mod config;
mod connections;
mod delivery;
mod invariants;
mod metrics;
mod observations;
mod queries;
mod replies;
mod shard_changes;

pub use delivery::DeliveryCheck;

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
use alderway_cores::observation_cache::ObservationCache;
use alderway_deployment::{AdmissionConfig, ConnectionConfig};
use alderway_sockets::TurnQueue;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::turns::TurnTimes;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// Size of the space for bytes that are read and not kept, in bytes. The close of a client that has sent much
/// is seen only behind all that it has sent, so that the bytes are to be read in few calls.
const DISCARD_BYTES: usize = 64 * 1024;

/// The dispatcher of a core, shared by the tasks of that core.
pub type DispatcherHandle = Rc<RefCell<Dispatcher>>;

/// A request to move client connections of this core to another core, each when it is idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientHandover {
    /// Index of the core that gets the client connections.
    pub to: usize,
    /// Number of client connections that are still to be moved.
    pub connections: usize,
}

/// The dispatcher and the state of one core. All times are in seconds of `clock`.
pub struct Dispatcher {
    /// The monotonic clock that all cores share.
    pub clock: Clock,
    /// Settings for connections to data nodes.
    pub connection_config: ConnectionConfig,
    /// Settings for the admission of queries.
    pub admission: AdmissionConfig,
    /// Rules of the query classes. The index of a class here is its slot, which `class_table` assigns.
    pub query_classes: Vec<ClassRules>,
    /// Assigns slots to the query classes; also has the configuration in use.
    pub class_table: ClassTable,
    /// Open queries of this core, with their shard requests.
    pub queries: QueryTable,
    /// Attempts in flight.
    pub attempts: AttemptTable,
    /// Data nodes and the connections to them.
    pub endpoints: EndpointTable,
    /// Connections of clients to this core, each with its unwritten response.
    pub clients: ClientTable,
    /// Counts of events and maxima of measured values of this core. A restarted core continues with the
    /// values that it last published.
    pub counters: Counters,
    /// The state that all cores of the process share.
    pub shared: Arc<SharedState>,
    /// Index of this core in `shared.cores`.
    pub core: usize,
    /// Number of the newest endpoint list of the acceptor core that this core has applied; 0 if none.
    pub endpoints_generation: u64,
    /// Whether frames with attempts wait because the fence does not allow this core to start attempts.
    pub has_held_attempts: bool,
    /// Observations of data nodes made by other cores and routers, until each expires. A restarted policy
    /// gets all of them.
    pub observations: ObservationCache,
    /// The shard map; `None` if shards are placed by the platform's hash ring instead of a shard map.
    pub shard_map: Option<ShardMapView>,
    /// The gossip link to other routers; `None` if gossip is off.
    pub gossip: Option<Rc<dyn GossipLink>>,
    /// Other components of this core whose metrics are added to those of the dispatcher.
    pub metrics_sources: Vec<Rc<dyn MetricsSource>>,
    /// A fault that a test requested and that is injected at the next heartbeat of this core.
    #[cfg(feature = "faults")]
    pub injected_fault: Option<String>,
    /// The request to move client connections to another core; `None` if there is no such request.
    pub handover: Option<ClientHandover>,
    /// Notified when there is input for the policy, so that the policy runs.
    pub work_ready: Rc<Notify>,
    /// Notified when the policy requests a poll of the endpoint list.
    pub poll_requested: Arc<Notify>,
    /// The phase of a graceful shutdown.
    pub shutdown_phase: ShutdownPhase,
    /// Detects times at which the thread of this core did not run.
    pub stall_detector: StallDetector,
    /// The tasks of this core that have used up their turn.
    pub turn_queue: TurnQueue,
    /// The longest turns of this core's tasks.
    pub turn_times: Rc<TurnTimes>,
    /// Estimates when the bytes received from clients arrived at the kernel.
    pub arrival_times: ArrivalEstimator,
    /// Space for bytes of clients that are read and not kept.
    pub discarded_bytes: Box<[u8]>,
    is_readiness_logged: bool,
    pending: PendingInput,
    pending_dials: Vec<DialRequest>,
    /// Names of the data nodes with attempts that are not yet in a frame.
    nodes_to_flush: BTreeSet<String>,
}

impl Dispatcher {
    /// Creates the dispatcher of a process with one core. The shared state is created too, with
    /// `admission.max_open` units of capacity.
    pub fn new(
        clock: Clock,
        connection_config: ConnectionConfig,
        admission: AdmissionConfig,
        query_classes: Vec<ClassRules>,
    ) -> Self {
        let shared = SharedState::single_core(admission.max_open);
        Dispatcher::for_core(shared, 0, clock, connection_config, admission, query_classes)
    }

    /// Creates the dispatcher of the core with index `core` in `shared.cores`.
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
            observations: ObservationCache::default(),
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
            turn_queue: TurnQueue::default(),
            turn_times: Rc::default(),
            arrival_times: ArrivalEstimator::new(clock.now(), clock.unix_now()),
            discarded_bytes: vec![0; DISCARD_BYTES].into(),
            is_readiness_logged: false,
            pending: PendingInput::default(),
            pending_dials: vec![],
            nodes_to_flush: BTreeSet::new(),
        }
    }

    /// Whether this core can serve queries: it has data nodes and, unless shards are placed by the platform's
    /// hash ring, a shard map; the acceptor core has recently confirmed that the endpoint list is current;
    /// and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        let is_list_current = self.shared.fence.check(u64::MAX, self.clock.now()).is_ok();
        let has_shard_map = self.shard_map.as_ref().is_none_or(|shard_map| shard_map.version().is_some());
        self.endpoints.has_nodes()
            && self.shutdown_phase == ShutdownPhase::Serving
            && is_list_current
            && has_shard_map
    }

    /// When the policy has to run next even if no input arrives, in seconds of the monotonic clock; infinite
    /// if no timer is set and no attempt is in flight.
    pub fn next_timer_s(&self) -> f64 {
        self.pending.next_timer_s().min(self.attempts.next_timeout_s())
    }

    /// Ends the attempts whose time-out, and the queries whose deadline, is at or before `now`, in seconds of
    /// the monotonic clock.
    pub fn expire_attempts_and_queries(&mut self, now: f64) {
        for id in self.attempts.overdue(now) {
            self.abort_attempt(&id, AttemptOutcome::TimedOut);
        }
        for number in self.queries.overdue(now) {
            self.expire_query(number);
        }
    }

    /// Passes all input that has arrived since the policy's last run to the policy.
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
        // Ended queries and attempts are passed before new queries. Guards against the policy applying the
        // end of a query to a new query with the same id.
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

    /// Prepares the state for a policy that is restarted after a failure: fails all open queries, ends all
    /// attempts, and marks everything as changed so that the new policy gets the full state in its first run.
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

/// Applies each decision of the policy immediately.
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
