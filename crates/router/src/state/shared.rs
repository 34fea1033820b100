//! What the cores of this program hold in common, and what they say to each other: a single atomic each, or a
//! message. A program on one core has a shared state of its own with nobody else in it.
use super::counters::Counters;
use super::descriptors::DescriptorPermit;
use alderway::interface::{NodeObservation, SharedLimits};
use alderway_cores::fence::Fence;
use alderway_cores::ids::Ids;
use alderway_cores::pool::Pool;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use tokio::sync::{Notify, broadcast, mpsc, watch};

/// Observations under way between cores; a core that is further behind loses the oldest, which the endpoint list and its own
/// calls make up for.
const GOSSIP: usize = 4096;
/// Connections and words under way to one core.
const INBOX: usize = 1024;

/// A connection of a client on its way to a core. Nothing of it is read that is not answered.
pub struct TransferredConnection {
    pub stream: std::net::TcpStream,
    pub permit: DescriptorPermit,
    /// Has sent a request before, on another core.
    pub has_sent_request: bool,
}

/// What a core is told to do.
pub enum CoreCommand {
    Serve(TransferredConnection),
    /// To give so many connections to another core, as they fall idle after an answer.
    GiveAway {
        to: usize,
        connections: usize,
    },
    /// To close the connection of a client that is idle longest.
    CloseLongestIdle,
}

/// What one core tells the others of a data node.
#[derive(Clone, Debug)]
pub struct ObservationMessage {
    pub core: usize,
    pub node: String,
    pub observation: NodeObservation,
}

/// What a core counts, and what is open on it.
#[derive(Clone, Default)]
pub struct MetricsSnapshot {
    pub counters: Counters,
    pub gauges: Vec<(&'static str, u64)>,
}

impl MetricsSnapshot {
    /// Adds those of another core. All know the same data nodes.
    pub fn merge(&mut self, other: &MetricsSnapshot) {
        self.counters.merge(&other.counters);
        for &(name, figure) in &other.gauges {
            match self.gauges.iter_mut().find(|(known, _)| *known == name) {
                Some((_, sum)) if name == "nodes_known" => *sum = figure.max(*sum),
                Some((_, sum)) => *sum += figure,
                None => self.gauges.push((name, figure)),
            }
        }
    }

    pub fn text(&self) -> String {
        self.gauges.iter().fold(self.counters.text(), |mut text, (name, figure)| {
            let _ = writeln!(text, "{name} {figure}");
            text
        })
    }
}

/// What a core last said of itself.
pub struct CoreState {
    /// When, in milliseconds of the common clock.
    pub heartbeat_ms: AtomicU64,
    pub client_count: AtomicUsize,
    /// Clients that had an answer since the beat before the last.
    pub active_clients: AtomicUsize,
    /// Of a thousand parts of its time lately, how many it worked.
    pub busy_permille: AtomicU64,
    pub metrics: watch::Sender<Arc<MetricsSnapshot>>,
    /// The serial of the settings that its module goes by.
    pub config_serial: watch::Sender<u64>,
    inbox: Option<mpsc::Sender<CoreCommand>>,
}

pub struct SharedState {
    pub ids: Arc<Ids>,
    /// Queries and parts held.
    pub capacity: Arc<Pool>,
    pub fence: Arc<Fence>,
    pub limits: SharedLimits,
    pub cores: Vec<CoreState>,
    /// The module of some core asks to follow the endpoint list.
    pub poll_requested: Arc<Notify>,
    /// Most connections of one core to one data node.
    pub max_connections_per_node: usize,
    observations: Option<broadcast::Sender<ObservationMessage>>,
    /// Cores that serve, hang and are lost, as the lead sees them.
    pub cores_serving: AtomicUsize,
    pub cores_hung: AtomicUsize,
    pub cores_lost: AtomicUsize,
    /// What the lead itself counts.
    pub acceptor_metrics: watch::Sender<Arc<MetricsSnapshot>>,
    /// The number of the settings in force, if they came with one.
    pub config_version: AtomicU64,
    /// What the subscription to control machines counts, where there is one.
    pub control_metrics: watch::Sender<Arc<MetricsSnapshot>>,
}

/// How several cores share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MulticoreConfig {
    pub cores: usize,
    /// Most connections to one data node, of all cores together; one for each core at least.
    pub max_connections_per_node: Option<usize>,
    /// Whether cores tell each other what they saw of data nodes.
    pub shares_observations: bool,
}

impl Default for MulticoreConfig {
    fn default() -> Self {
        MulticoreConfig { cores: 1, max_connections_per_node: None, shares_observations: true }
    }
}

impl SharedState {
    /// A shared state for so many cores, with the inbox of each, for so many queries and parts.
    pub fn new(
        room: usize,
        sharing: MulticoreConfig,
        patience: f64,
    ) -> (Arc<Self>, Vec<mpsc::Receiver<CoreCommand>>) {
        let many = sharing.cores > 1;
        let core_state = |inbox| CoreState {
            heartbeat_ms: AtomicU64::new(0),
            client_count: AtomicUsize::new(0),
            active_clients: AtomicUsize::new(0),
            busy_permille: AtomicU64::new(0),
            metrics: watch::channel(Arc::default()).0,
            config_serial: watch::channel(0).0,
            inbox,
        };
        let (senders, inboxes): (Vec<_>, Vec<_>) =
            if many { (0..sharing.cores).map(|_| mpsc::channel(INBOX)).unzip() } else { (vec![], vec![]) };
        let cores = if many {
            senders.into_iter().map(|s| core_state(Some(s))).collect()
        } else {
            vec![core_state(None)]
        };
        let each = sharing.max_connections_per_node.map_or(usize::MAX, |all| (all / sharing.cores).max(1));
        let shared = SharedState {
            ids: Ids::new(room),
            capacity: Pool::new(room),
            fence: Fence::new(if many { patience } else { f64::INFINITY }),
            limits: SharedLimits::new(sharing.cores),
            cores,
            poll_requested: Arc::default(),
            max_connections_per_node: each,
            observations: (many && sharing.shares_observations).then(|| broadcast::channel(GOSSIP).0),
            cores_serving: AtomicUsize::new(0),
            cores_hung: AtomicUsize::new(0),
            cores_lost: AtomicUsize::new(0),
            acceptor_metrics: watch::channel(Arc::default()).0,
            config_version: AtomicU64::new(0),
            control_metrics: watch::channel(Arc::default()).0,
        };
        (Arc::new(shared), inboxes)
    }

    /// For a program on one core.
    pub fn single_core(room: usize) -> Arc<Self> {
        SharedState::new(room, MulticoreConfig::default(), f64::INFINITY).0
    }

    pub fn has_several_cores(&self) -> bool {
        self.cores.len() > 1
    }

    /// Gives a core something to do; what it has no room for comes back.
    pub fn send_command(&self, core: usize, order: CoreCommand) -> Result<(), CoreCommand> {
        let Some(inbox) = self.cores.get(core).and_then(|s| s.inbox.as_ref()) else { return Err(order) };
        inbox.try_send(order).map_err(|why| match why {
            mpsc::error::TrySendError::Full(order) | mpsc::error::TrySendError::Closed(order) => order,
        })
    }

    /// Tells the other cores; false where each keeps to itself what it sees.
    pub fn broadcast_observation(&self, word: ObservationMessage) -> bool {
        // An error says that nobody listens.
        self.observations.as_ref().map(|gossip| gossip.send(word)).is_some()
    }

    pub fn subscribe_observations(&self) -> Option<broadcast::Receiver<ObservationMessage>> {
        self.observations.as_ref().map(broadcast::Sender::subscribe)
    }

    /// Adds what the other cores last said to one's own figures, and how the cores are.
    pub fn add_other_cores(&self, core: Option<usize>, figures: &mut MetricsSnapshot) {
        let version = self.config_version.load(Relaxed);
        if version > 0 {
            figures.gauges.push(("settings_version", version));
        }
        figures.merge(&self.control_metrics.borrow());
        if !self.has_several_cores() {
            return;
        }
        let others = self.cores.iter().enumerate().filter(|(at, _)| Some(*at) != core);
        others.for_each(|(_, core_state)| figures.merge(&core_state.metrics.borrow()));
        figures.merge(&self.acceptor_metrics.borrow());
        let cores = [
            ("cores_serving", &self.cores_serving),
            ("cores_hung", &self.cores_hung),
            ("cores_lost", &self.cores_lost),
        ];
        figures.gauges.extend(cores.map(|(name, count)| (name, count.load(Relaxed) as u64)));
        figures.gauges.push(("ids_open", self.ids.count() as u64));
    }
}
