//! The state that the cores of a process share, and the channels between the cores. One core, the acceptor
//! core, accepts client connections and passes them and the endpoint list to the other cores. A process with
//! one core has a shared state without channels. A fence keeps cores from starting attempts while their
//! endpoint list may be outdated. A heartbeat is the time that the thread of a core regularly publishes while
//! it runs. An observation is the health of a data node according to the attempts of one core. The policy is
//! the code that decides about queries and attempts.
use super::descriptors::DescriptorPermit;
use super::metrics::MetricsSnapshot;
use alderway::interface::{NodeObservation, SharedLimits};
use alderway_cores::executed_ids::ExecutedIds;
use alderway_cores::fence::Fence;
use alderway_cores::open_ids::OpenQueryIds;
use alderway_cores::pool::Pool;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use tokio::sync::{Notify, broadcast, mpsc, watch};

/// Capacity of the channel for observations, in messages. A core that has more unread observations loses the
/// oldest ones; the policy of that core then determines the health of data nodes only from its endpoint list
/// and its attempts.
const OBSERVATION_QUEUE: usize = 4096;
/// Capacity of the channel for commands to one core, in commands.
const COMMAND_QUEUE: usize = 1024;

/// A client connection that is passed to a core. All bytes that were read from it so far belong to answered
/// requests.
pub struct TransferredConnection {
    /// The socket.
    pub stream: std::net::TcpStream,
    /// The permit for the socket's file descriptor.
    pub permit: DescriptorPermit,
    /// Whether the client has sent a complete request on this connection before.
    pub has_sent_request: bool,
}

/// A command to a core.
pub enum CoreCommand {
    /// Serve this client connection.
    Serve(TransferredConnection),
    /// Move client connections to another core, each when it is idle.
    HandOver {
        /// Index of the core that gets the client connections.
        to: usize,
        /// Number of client connections to move.
        connections: usize,
    },
    /// Close the client connection that has been idle longest.
    CloseLongestIdle,
}

/// An observation of a data node that a core passes to the other cores.
#[derive(Clone, Debug)]
pub struct ObservationMessage {
    /// Index of the core that made the observation or received it from another router.
    pub core: usize,
    /// The name of the observed data node.
    pub node: String,
    /// The health of the data node, and when it was observed.
    pub observation: NodeObservation,
}

/// The load, heartbeat, metrics and configuration number that a core last published. The acceptor core reads
/// these values to supervise the cores and to balance the client connections between cores.
pub struct CoreState {
    /// Time of the core's last heartbeat, in milliseconds of the monotonic clock that all cores share.
    pub heartbeat_ms: AtomicU64,
    /// Number of open client connections of the core.
    pub client_count: AtomicUsize,
    /// Number of client connections on which response bytes were written between the last two heartbeats.
    pub active_clients: AtomicUsize,
    /// CPU time used by the thread per time elapsed, in thousandths: a moving average over the last few
    /// heartbeats.
    pub busy_permille: AtomicU64,
    /// The counters and gauges that the core last published.
    pub metrics: watch::Sender<Arc<MetricsSnapshot>>,
    /// The [`serial`](super::query_classes::ConfigGeneration::serial) of the configuration that the core's
    /// policy uses.
    pub config_serial: watch::Sender<u64>,
    commands: Option<mpsc::Sender<CoreCommand>>,
}

impl CoreState {
    fn new(commands: Option<mpsc::Sender<CoreCommand>>) -> Self {
        CoreState {
            heartbeat_ms: AtomicU64::new(0),
            client_count: AtomicUsize::new(0),
            active_clients: AtomicUsize::new(0),
            busy_permille: AtomicU64::new(0),
            metrics: watch::channel(Arc::default()).0,
            config_serial: watch::channel(0).0,
            commands,
        }
    }
}

/// The state that all cores of the process share.
pub struct SharedState {
    /// Ids of the open queries of all cores. A core claims the id of a query here before it opens the query,
    /// so that no two open queries have the same id.
    pub ids: Arc<OpenQueryIds>,
    /// Ids of ended queries that may have had an effect and must not be repeated.
    pub executed_ids: Arc<ExecutedIds>,
    /// Free capacity of the process: an open query takes one unit, and each of its shard requests one unit.
    pub capacity: Arc<Pool>,
    /// Keeps a core from starting attempts until the core has applied the newest endpoint list, and while the
    /// acceptor core has not recently confirmed that this list is current.
    pub fence: Arc<Fence>,
    /// The retry budget and the turns for sending to data nodes that are warming up, which the policies of
    /// all cores share.
    pub limits: SharedLimits,
    /// The published state of each core, by index.
    pub cores: Vec<CoreState>,
    /// Notified when the policy of a core requests a poll of the endpoint list.
    pub poll_requested: Arc<Notify>,
    /// Maximum number of connections from one core to one data node.
    pub max_connections_per_node: usize,
    observations: Option<broadcast::Sender<ObservationMessage>>,
    /// Number of cores that serve clients, as last set by the acceptor core.
    pub cores_serving: AtomicUsize,
    /// Number of cores that have missed their heartbeats, as last set by the acceptor core.
    pub cores_hung: AtomicUsize,
    /// Number of cores that have failed, including those that are not restarted any more, as last set by the
    /// acceptor core.
    pub cores_lost: AtomicUsize,
    /// Counters and gauges of the acceptor core.
    pub acceptor_metrics: watch::Sender<Arc<MetricsSnapshot>>,
    /// The control plane's version number of the configuration in use; 0 if the configuration is not from the
    /// control plane.
    pub config_version: AtomicU64,
    /// Counters and gauges of the subscription to the control plane; empty if there is no subscription.
    pub control_metrics: watch::Sender<Arc<MetricsSnapshot>>,
}

/// How the cores share resources and observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MulticoreConfig {
    /// Number of cores of the process, each with its own thread.
    pub cores: usize,
    /// Maximum number of connections to one data node from all cores together, though each core may always
    /// have one; `None` for no limit.
    pub max_connections_per_node: Option<usize>,
    /// Whether cores share their observations of data nodes.
    pub shares_observations: bool,
}

impl Default for MulticoreConfig {
    fn default() -> Self {
        MulticoreConfig { cores: 1, max_connections_per_node: None, shares_observations: true }
    }
}

impl SharedState {
    /// Creates a shared state with `capacity` units for open queries and their shard requests, and the
    /// receiver of each core's commands. Cores start no attempts if the acceptor core has not confirmed for
    /// more than `fence_timeout_s` seconds that its endpoint list is current.
    pub fn new(
        capacity: usize,
        config: MulticoreConfig,
        fence_timeout_s: f64,
    ) -> (Arc<Self>, Vec<mpsc::Receiver<CoreCommand>>) {
        let MulticoreConfig { cores, max_connections_per_node, shares_observations } = config;
        let has_several = cores > 1;
        let (senders, receivers): (Vec<_>, Vec<_>) = if has_several {
            (0..cores).map(|_| mpsc::channel(COMMAND_QUEUE)).unzip()
        } else {
            (vec![], vec![])
        };
        let core_states = if has_several {
            senders.into_iter().map(|commands| CoreState::new(Some(commands))).collect()
        } else {
            vec![CoreState::new(None)]
        };
        let shared = SharedState {
            ids: OpenQueryIds::new(capacity),
            executed_ids: ExecutedIds::new(),
            capacity: Pool::new(capacity),
            fence: Fence::new(if has_several { fence_timeout_s } else { f64::INFINITY }),
            limits: SharedLimits::new(cores),
            cores: core_states,
            poll_requested: Arc::default(),
            max_connections_per_node: max_connections_per_node
                .map_or(usize::MAX, |total| (total / cores).max(1)),
            observations: (has_several && shares_observations)
                .then(|| broadcast::channel(OBSERVATION_QUEUE).0),
            cores_serving: AtomicUsize::new(0),
            cores_hung: AtomicUsize::new(0),
            cores_lost: AtomicUsize::new(0),
            acceptor_metrics: watch::channel(Arc::default()).0,
            config_version: AtomicU64::new(0),
            control_metrics: watch::channel(Arc::default()).0,
        };
        (Arc::new(shared), receivers)
    }

    /// Creates the shared state of a process with one core, with `capacity` units: one for each open query
    /// and one for each of its shard requests. The time-out of the fence is infinite: the core may start
    /// attempts however old its endpoint list is.
    pub fn single_core(capacity: usize) -> Arc<Self> {
        SharedState::new(capacity, MulticoreConfig::default(), f64::INFINITY).0
    }

    /// Whether the process has several cores.
    pub fn has_several_cores(&self) -> bool {
        self.cores.len() > 1
    }

    /// Sends a command to the core with index `core`.
    ///
    /// # Errors
    /// Returns the command if the core's command channel is full, the core has ended, or the process has only
    /// one core.
    pub fn send_command(&self, core: usize, command: CoreCommand) -> Result<(), CoreCommand> {
        let Some(commands) = self.cores.get(core).and_then(|state| state.commands.as_ref()) else {
            return Err(command);
        };
        commands.try_send(command).map_err(|error| match error {
            mpsc::error::TrySendError::Full(command) | mpsc::error::TrySendError::Closed(command) => command,
        })
    }

    /// Sends an observation of a data node to all cores. Returns false if cores do not share observations;
    /// true does not mean that a core has received the observation.
    pub fn broadcast_observation(&self, message: ObservationMessage) -> bool {
        // Sending fails only if no core has subscribed.
        self.observations.as_ref().map(|observations| observations.send(message)).is_some()
    }

    /// Subscribes to the observations of all cores; `None` if cores do not share observations.
    pub fn subscribe_observations(&self) -> Option<broadcast::Receiver<ObservationMessage>> {
        self.observations.as_ref().map(broadcast::Sender::subscribe)
    }

    /// Adds the metrics that the other cores last published, and the metrics of the process, to `metrics`.
    /// `core` is the index of the core that `metrics` already includes, `None` if it includes no core.
    pub fn add_other_cores(&self, core: Option<usize>, metrics: &mut MetricsSnapshot) {
        let version = self.config_version.load(Relaxed);
        if version > 0 {
            metrics.gauges.push(("settings_version", version));
        }
        metrics.merge(&self.control_metrics.borrow());
        if !self.has_several_cores() {
            return;
        }
        let others = self.cores.iter().enumerate().filter(|(index, _)| Some(*index) != core);
        others.for_each(|(_, state)| metrics.merge(&state.metrics.borrow()));
        metrics.merge(&self.acceptor_metrics.borrow());
        let cores = [
            ("cores_serving", &self.cores_serving),
            ("cores_hung", &self.cores_hung),
            ("cores_lost", &self.cores_lost),
        ];
        metrics.gauges.extend(cores.map(|(name, count)| (name, count.load(Relaxed) as u64)));
        metrics.gauges.push(("ids_open", self.ids.count() as u64));
    }
}
