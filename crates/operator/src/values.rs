//! The values that an operator's file is read into, and the bounds of their numbers.
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A core is told apart by eight bits.
pub const MAX_CORES: usize = 128;
pub const MAX_PEERS: usize = 1000;
/// Control machines that decide together, and that a router may be told of.
pub const MAX_CONTROL_SERVERS: usize = 7;
pub const MAX_SUBSCRIPTION_SERVERS: usize = 15;

/// How many cores serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CoreCount {
    Fixed(usize),
    /// As many as the machine gives this program.
    All,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CoresConfig {
    pub count: CoreCount,
    /// Most connections to one data node, of all cores together; none: as many as their calls need.
    pub max_connections_per_node: Option<usize>,
    /// Whether cores tell each other what they saw of data nodes.
    pub shares_observations: bool,
}

impl Default for CoresConfig {
    fn default() -> Self {
        CoresConfig { count: CoreCount::Fixed(1), max_connections_per_node: None, shares_observations: true }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// Shards that change while queries run, as discovery tells of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutsConfig {
    /// Seconds for which a client may name a shard that is gone.
    pub retired_shard_grace_s: f64,
    /// Seconds that a data node which lags behind the layout has to catch up before it is asked again.
    pub lagging_node_grace_s: f64,
}

/// What the program is in an installation of two levels.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Tier {
    #[default]
    Standalone,
    /// It holds clients and data nodes; planners decide, as far as any can be asked.
    Forwarder {
        planners: Vec<SocketAddr>,
        /// How many forwarders the installation has.
        forwarder_count: usize,
        /// In seconds: between two beats, and how long a planner may be silent.
        heartbeat_interval_s: f64,
        heartbeat_timeout_s: f64,
    },
    /// It decides for forwarders; so many planners share what is stated.
    Planner { planner_count: usize },
}

/// Routers that know each other and tell each other what they see of data nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersConfig {
    /// All of them by name, this router among them, with where each listens for the others.
    pub members: BTreeMap<String, SocketAddr>,
    /// In seconds: between two frames on a link, between two words that a router is there, and how old a word may be.
    pub send_interval_s: f64,
    pub heartbeat_interval_s: f64,
    pub max_message_age_s: f64,
    /// So many others have to say the same of a data node before it is believed.
    pub required_witnesses: usize,
    /// Whether they tell which data nodes are late for them or sick; if not, only how their queries end.
    pub shares_node_health: bool,
}

/// One of the machines that decide the order of configurations; a program of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlConfig {
    pub name: String,
    /// All of them by name, this one among them: where each hears the others, and where it hears operators.
    pub replica_addresses: BTreeMap<String, SocketAddr>,
    pub admin_addresses: BTreeMap<String, SocketAddr>,
    /// The folder of what it keeps.
    pub data_path: String,
    /// Where it hears routers; none: nobody is told.
    pub router_address: Option<SocketAddr>,
}

/// Control machines that tell this router its settings, version by version.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriptionConfig {
    /// By name, with where each listens for routers, and its zone.
    pub servers: BTreeMap<String, (SocketAddr, String)>,
    /// Of this router: the machines there are asked first.
    pub zone: String,
    /// A file for the version to start with; none where no disk lasts.
    pub persist_path: Option<String>,
    /// In seconds: without a word for so long a machine is left; and a version not known for so long to be the newest is
    /// said to be old.
    pub heartbeat_timeout_s: f64,
    pub stale_after_s: f64,
}

/// What part of each share that all routers hold together forwarders keep for when no planner can be asked; planners have
/// the rest. Fixed, so that whoever is cut off from whom, the sum holds.
pub const FORWARDER_QUOTA_FRACTION: f64 = 0.25;

/// All that an operator's file may say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub cores: CoresConfig,
    pub log_format: LogFormat,
    /// None: shards lie in the ring of the configuration, and never change.
    pub layouts: Option<LayoutsConfig>,
    pub tier: Tier,
    /// None: this router knows of no other.
    pub peers: Option<PeersConfig>,
    /// None: this program is no control machine.
    pub control: Option<ControlConfig>,
    /// None: settings only come with the configuration.
    pub subscription: Option<SubscriptionConfig>,
}
