//! The values that an operator's file is evaluated into, and limits of these values. Observations are what a
//! router or core has measured about data nodes: the outcomes of shard requests, and which nodes are slow or
//! unhealthy.
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The largest number of cores; the index of a core is stored in eight bits.
pub const MAX_CORES: usize = 128;
/// The largest number of routers that share observations with each other, this router included.
pub const MAX_PEERS: usize = 1000;
/// The largest number of control servers in one cluster.
pub const MAX_CONTROL_SERVERS: usize = 7;
/// The largest number of control servers that a router may subscribe to.
pub const MAX_SUBSCRIPTION_SERVERS: usize = 15;

/// The number of cores that serve queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CoreCount {
    Fixed(usize),
    /// All cores that are available to the process, up to `MAX_CORES`.
    All,
}

/// The number of cores of a router, the limit of connections to one data node, and whether the cores share
/// observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CoresConfig {
    pub count: CoreCount,
    /// The largest number of connections to one data node over all cores. `None` if there is no limit.
    pub max_connections_per_node: Option<usize>,
    /// If true, each core sends its observations of data nodes to the other cores, which use them for routing
    /// decisions.
    pub shares_observations: bool,
}

impl Default for CoresConfig {
    fn default() -> Self {
        CoresConfig { count: CoreCount::Fixed(1), max_connections_per_node: None, shares_observations: true }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// How long a router tolerates clients and data nodes with outdated shard layouts. The layouts come from the
/// discovery service and change while queries run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutsConfig {
    /// How long, in seconds, clients may request a shard that the latest layout no longer contains.
    pub retired_shard_grace_s: f64,
    /// How long, in seconds, a data node with an older layout is sent no requests for a shard that it does
    /// not hold.
    pub lagging_node_grace_s: f64,
}

/// The role of the process: a standalone router, or a forwarder or planner of an installation in which these
/// two tasks are separate processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ProcessRole {
    /// Holds the connections to clients and data nodes, and selects the data node for each shard request.
    #[default]
    Standalone,
    /// Holds the connections to clients and data nodes. A planner selects the data nodes; while no planner is
    /// available, the forwarder selects them.
    Forwarder {
        planners: Vec<SocketAddr>,
        /// The number of forwarders in the installation.
        forwarder_count: usize,
        /// Time in seconds between two heartbeats to a planner.
        heartbeat_interval_s: f64,
        /// After this many seconds without a message from a planner, the forwarder reassigns the planner's
        /// queries.
        heartbeat_timeout_s: f64,
    },
    /// Selects the data nodes for the queries of forwarders. Each planner gets an equal part of the limits of
    /// all `planner_count` planners in the installation.
    Planner { planner_count: usize },
}

/// The routers with which this router shares observations of data nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersConfig {
    /// The address at which each router listens for the others, by router name. Includes this router.
    pub members: BTreeMap<String, SocketAddr>,
    /// Time in seconds between two frames that this router sends over the same link. A frame contains the
    /// updates that have not been sent over the link yet.
    pub send_interval_s: f64,
    /// Time in seconds between two heartbeats: updates by which this router reports to all members that it is
    /// alive.
    pub heartbeat_interval_s: f64,
    /// Messages that were created more than this many seconds ago are ignored.
    pub max_message_age_s: f64,
    /// The number of other routers that must report a data node as slow or unhealthy before this router
    /// avoids the node.
    pub required_witnesses: usize,
    /// If true, routers report to each other which data nodes are slow or unhealthy. If false, they only
    /// report the outcomes of their queries.
    pub shares_node_health: bool,
}

/// A control server: one replica of the cluster that stores the settings of routers as numbered versions.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlConfig {
    /// The name of this control server.
    pub name: String,
    /// The address at which each control server listens for the others, by server name. Includes this control
    /// server.
    pub replica_addresses: BTreeMap<String, SocketAddr>,
    /// The address at which each control server listens for `alderway config`, by server name.
    pub admin_addresses: BTreeMap<String, SocketAddr>,
    /// The directory in which this control server stores its replicated log.
    pub data_path: String,
    /// The address at which this control server listens for routers. `None` if routers can't subscribe to
    /// this server.
    pub router_address: Option<SocketAddr>,
}

/// The control servers from which a router receives its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriptionConfig {
    /// The address at which each control server listens for routers and the zone of the server, by server
    /// name.
    pub servers: BTreeMap<String, (SocketAddr, String)>,
    /// The zone of this router. The router prefers control servers in the same zone.
    pub zone: String,
    /// The file in which the router stores the latest settings version, and from which it reads that version
    /// at startup. `None` if the machine has no persistent disk.
    pub persist_path: Option<String>,
    /// After this many seconds without a message from a control server, the router connects to another
    /// server.
    pub heartbeat_timeout_s: f64,
    /// If no control server has confirmed for this many seconds that the router's settings version is the
    /// latest, the router logs that its settings are stale.
    pub stale_after_s: f64,
}

/// The fraction of each installation-wide limit that forwarders together may use while no planner is
/// available. Planners together may use the rest. The fraction is constant, so that the limit also holds
/// while processes are disconnected.
pub const FORWARDER_QUOTA_FRACTION: f64 = 0.25;

/// All values of an operator's file, which configures one process of an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub cores: CoresConfig,
    pub log_format: LogFormat,
    /// `None` if shards are placed by the hash ring of the configuration file instead of layouts from
    /// discovery.
    pub layouts: Option<LayoutsConfig>,
    pub role: ProcessRole,
    /// `None` if this router does not share observations with other routers.
    pub peers: Option<PeersConfig>,
    /// `None` if this process is not a control server.
    pub control: Option<ControlConfig>,
    /// `None` if the router's settings come from the configuration file only.
    pub subscription: Option<SubscriptionConfig>,
}
