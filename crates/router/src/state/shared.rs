//! What the cores of a process share, and how they reach each other: atomics, pools and messages. A process on one core has a
//! shared state of its own with nobody else in it.
use super::descriptors::DescriptorPermit;
use super::metrics::MetricsSnapshot;
use alderway::interface::{NodeObservation, SharedLimits};
use alderway_cores::fence::Fence;
use alderway_cores::open_ids::OpenQueryIds;
use alderway_cores::pool::Pool;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use tokio::sync::{Notify, broadcast, mpsc, watch};

/// Observations on their way between cores. A core that is further behind loses the oldest; the endpoint list and its own
/// attempts make up for them.
const OBSERVATION_QUEUE: usize = 4096;
/// Commands on their way to one core.
const COMMAND_QUEUE: usize = 1024;

/// A connection of a client on its way to a core. Nothing of it is read that is not answered.
pub struct TransferredConnection {
    /// The socket.
    pub stream: std::net::TcpStream,
    /// The right to its descriptor.
    pub permit: DescriptorPermit,
    /// Whether it has sent a request before, on another core.
    pub has_sent_request: bool,
}

/// What a core is told to do.
pub enum CoreCommand {
    /// To serve a connection.
    Serve(TransferredConnection),
    /// To hand connections over to another core as they fall idle.
    GiveAway {
        /// The core that takes them over.
        to: usize,
        /// How many.
        connections: usize,
    },
    /// To close the connection of a client that is idle longest.
    CloseLongestIdle,
}

/// What one core observed of a data node, for the others.
#[derive(Clone, Debug)]
pub struct ObservationMessage {
    /// The core that observed it, or that heard it from another router.
    pub core: usize,
    /// The data node's name.
    pub node: String,
    /// What was observed.
    pub observation: NodeObservation,
}

/// What a core last said of itself.
pub struct CoreState {
    /// When, in milliseconds of the common clock.
    pub heartbeat_ms: AtomicU64,
    /// Connections of clients.
    pub client_count: AtomicUsize,
    /// Clients that had a response between the last two heartbeats.
    pub active_clients: AtomicUsize,
    /// How much of its time it worked lately, in thousandths.
    pub busy_permille: AtomicU64,
    /// What it counts.
    pub metrics: watch::Sender<Arc<MetricsSnapshot>>,
    /// The serial of the configuration that its policy goes by.
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

/// What all cores share.
pub struct SharedState {
    /// Ids of open queries.
    pub ids: Arc<OpenQueryIds>,
    /// Capacity for queries and shard requests.
    pub capacity: Arc<Pool>,
    /// Keeps a core that has fallen behind from starting attempts.
    pub fence: Arc<Fence>,
    /// Limits of the policy that hold for all cores together.
    pub limits: SharedLimits,
    /// One entry for each core.
    pub cores: Vec<CoreState>,
    /// The policy of some core asks for a poll of the endpoint list.
    pub poll_requested: Arc<Notify>,
    /// Most connections of one core to one data node.
    pub max_connections_per_node: usize,
    observations: Option<broadcast::Sender<ObservationMessage>>,
    /// Cores that serve, as the acceptor core sees them.
    pub cores_serving: AtomicUsize,
    /// Cores that hang.
    pub cores_hung: AtomicUsize,
    /// Cores that are lost.
    pub cores_lost: AtomicUsize,
    /// What the acceptor core itself counts.
    pub acceptor_metrics: watch::Sender<Arc<MetricsSnapshot>>,
    /// The version of the configuration in force, or 0 if it came with none.
    pub config_version: AtomicU64,
    /// What the subscription to the control plane counts, where there is one.
    pub control_metrics: watch::Sender<Arc<MetricsSnapshot>>,
}

/// How several cores share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MulticoreConfig {
    /// How many cores there are.
    pub cores: usize,
    /// Most connections to one data node, of all cores together; each core may have one at least.
    pub max_connections_per_node: Option<usize>,
    /// Whether cores share what they observe of data nodes.
    pub shares_observations: bool,
}

impl Default for MulticoreConfig {
    fn default() -> Self {
        MulticoreConfig { cores: 1, max_connections_per_node: None, shares_observations: true }
    }
}

impl SharedState {
    /// A shared state with the commands of each core, for `capacity` queries and shard requests. A core that is not led
    /// for `patience_s` starts no attempt.
    pub fn new(
        capacity: usize,
        config: MulticoreConfig,
        patience_s: f64,
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
            capacity: Pool::new(capacity),
            fence: Fence::new(if has_several { patience_s } else { f64::INFINITY }),
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

    /// The shared state of a process on one core.
    pub fn single_core(capacity: usize) -> Arc<Self> {
        SharedState::new(capacity, MulticoreConfig::default(), f64::INFINITY).0
    }

    /// Whether there are several cores.
    pub fn has_several_cores(&self) -> bool {
        self.cores.len() > 1
    }

    /// Sends a core a command.
    ///
    /// # Errors
    /// The command itself, if the core has too many waiting or is gone.
    pub fn send_command(&self, core: usize, command: CoreCommand) -> Result<(), CoreCommand> {
        let Some(commands) = self.cores.get(core).and_then(|state| state.commands.as_ref()) else {
            return Err(command);
        };
        commands.try_send(command).map_err(|error| match error {
            mpsc::error::TrySendError::Full(command) | mpsc::error::TrySendError::Closed(command) => command,
        })
    }

    /// Shares an observation with the other cores; false where cores don't share.
    pub fn broadcast_observation(&self, message: ObservationMessage) -> bool {
        // An error says that nobody listens.
        self.observations.as_ref().map(|observations| observations.send(message)).is_some()
    }

    /// What other cores observe from now on, where cores share.
    pub fn subscribe_observations(&self) -> Option<broadcast::Receiver<ObservationMessage>> {
        self.observations.as_ref().map(broadcast::Sender::subscribe)
    }

    /// Adds to the metrics of one core what the others last said, and how the cores are.
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
