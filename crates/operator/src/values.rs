//! The values that an operator's file is evaluated into, and the limits of their numbers.
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The index of a core takes eight bits.
pub const MAX_CORES: usize = 128;
/// Limit of the routers that share observations.
pub const MAX_PEERS: usize = 1000;
/// Limit of the control servers of one cluster.
pub const MAX_CONTROL_SERVERS: usize = 7;
/// Limit of the control servers that a router may subscribe to.
pub const MAX_SUBSCRIPTION_SERVERS: usize = 15;

/// How many cores serve queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CoreCount {
    Fixed(usize),
    /// As many as are available to the process.
    All,
}

/// The cores of a router and what they share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CoresConfig {
    pub count: CoreCount,
    /// Limit of the connections to one data node over all cores. None: as many as their attempts need.
    pub max_connections_per_node: Option<usize>,
    /// Whether cores share their observations of data nodes.
    pub shares_observations: bool,
}

impl Default for CoresConfig {
    fn default() -> Self {
        CoresConfig { count: CoreCount::Fixed(1), max_connections_per_node: None, shares_observations: true }
    }
}

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// Shard layouts from discovery, which change while queries run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutsConfig {
    /// How long clients may refer to a retired shard.
    pub retired_shard_grace_s: f64,
    /// How long a data node with an older layout is given to catch up before it is asked again.
    pub lagging_node_grace_s: f64,
}

/// The role of the process: a router that decides by itself, or part of a two-tier installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Tier {
    #[default]
    Standalone,
    /// Holds the connections to clients and data nodes. Planners make the routing decisions while one is available.
    Forwarder {
        planners: Vec<SocketAddr>,
        /// Number of forwarders of the installation.
        forwarder_count: usize,
        heartbeat_interval_s: f64,
        /// How long a planner may send nothing before it is considered lost.
        heartbeat_timeout_s: f64,
    },
    /// Makes the routing decisions for forwarders. The limits are divided among all planners of the installation.
    Planner { planner_count: usize },
}

/// Routers that share their observations of data nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersConfig {
    /// The addresses at which the routers listen for each other, by name; this router is one of them.
    pub members: BTreeMap<String, SocketAddr>,
    /// Time between two frames on a link.
    pub send_interval_s: f64,
    /// Time between two heartbeats of a router.
    pub heartbeat_interval_s: f64,
    /// Older messages are ignored.
    pub max_message_age_s: f64,
    /// How many other routers must report the same about a data node before it is acted on.
    pub required_witnesses: usize,
    /// Whether routers share which data nodes are slow or unhealthy for them. Otherwise they only share the outcomes of
    /// their queries.
    pub shares_node_health: bool,
}

/// A control server: one replica of the cluster that orders the versions of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlConfig {
    pub name: String,
    /// The addresses at which the servers listen for each other, by name; this server is one of them.
    pub replica_addresses: BTreeMap<String, SocketAddr>,
    /// The addresses at which the servers listen for operators, by name.
    pub admin_addresses: BTreeMap<String, SocketAddr>,
    /// The directory of its log.
    pub data_path: String,
    /// Where it listens for routers. None: no router can subscribe.
    pub router_address: Option<SocketAddr>,
}

/// Control servers from which a router receives the versions of its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriptionConfig {
    /// The address at which each server listens for routers, and its zone, by name.
    pub servers: BTreeMap<String, (SocketAddr, String)>,
    /// The zone of this router, whose servers are preferred.
    pub zone: String,
    /// The file for the version to start with. None if there is no persistent disk.
    pub persist_path: Option<String>,
    /// How long a server may send nothing before the router connects to another.
    pub heartbeat_timeout_s: f64,
    /// A version that has not been confirmed as the latest for this long is reported as stale.
    pub stale_after_s: f64,
}

/// The fraction of each limit that is divided among all routers which forwarders keep for when no planner is available;
/// planners have the rest. It is fixed, so that the sum is kept whichever processes are disconnected from each other.
pub const FORWARDER_QUOTA_FRACTION: f64 = 0.25;

/// All settings of an operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub cores: CoresConfig,
    pub log_format: LogFormat,
    /// None: shards are placed by the ring of the configuration and do not change.
    pub layouts: Option<LayoutsConfig>,
    pub tier: Tier,
    /// None: this router does not communicate with others.
    pub peers: Option<PeersConfig>,
    /// None: this process is not a control server.
    pub control: Option<ControlConfig>,
    /// None: settings only come from the configuration.
    pub subscription: Option<SubscriptionConfig>,
}
