//! The values that an operator's file is read into, and the bounds of their numbers.
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A core is told apart by eight bits.
pub const MOST_CORES: usize = 128;
pub const MOST_MEMBERS: usize = 1000;
/// Control machines that decide together, and that a router may be told of.
pub const MOST_CONTROL: usize = 7;
pub const MOST_TOLD_OF: usize = 15;

/// How many cores serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Count {
    Cores(usize),
    /// As many as the machine gives this program.
    All,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cores {
    pub count: Count,
    /// Most connections to one data node, of all cores together; none: as many as their calls need.
    pub node_connections: Option<usize>,
    /// Whether cores tell each other what they saw of data nodes.
    pub evidence: bool,
}

impl Default for Cores {
    fn default() -> Self {
        Cores { count: Count::Cores(1), node_connections: None, evidence: true }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

/// Shards that change while queries run, as discovery tells of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Layouts {
    /// Seconds for which a client may name a shard that is gone.
    pub late_clients: f64,
    /// Seconds that a data node which lags behind the layout has to catch up before it is asked again.
    pub lagging_nodes: f64,
}

/// What the program is in an installation of two levels.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Tier {
    #[default]
    Alone,
    /// It holds clients and data nodes; planners decide, as far as any can be asked.
    Forwarder {
        planners: Vec<SocketAddr>,
        /// How many forwarders the installation has.
        count: usize,
        /// In seconds: between two beats, and how long a planner may be silent.
        beat: f64,
        patience: f64,
    },
    /// It decides for forwarders; so many planners share what is stated.
    Planner { count: usize },
}

/// Routers that know each other and tell each other what they see of data nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// All of them by name, this router among them, with where each listens for the others.
    pub members: BTreeMap<String, SocketAddr>,
    /// In seconds: between two frames on a link, between two words that a router is there, and how old a word may be.
    pub beat: f64,
    pub pulse: f64,
    pub stale: f64,
    /// So many others have to say the same of a data node before it is believed.
    pub witnesses: usize,
    /// Whether they tell which data nodes are late for them or sick; if not, only how their queries end.
    pub verdicts: bool,
}

/// One of the machines that decide the order of configurations; a program of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub name: String,
    /// All of them by name, this one among them: where each hears the others, and where it hears operators.
    pub members: BTreeMap<String, SocketAddr>,
    pub doors: BTreeMap<String, SocketAddr>,
    /// The folder of what it keeps.
    pub data: String,
    /// Where it hears routers; none: nobody is told.
    pub routers: Option<SocketAddr>,
}

/// Control machines that tell this router its settings, version by version.
#[derive(Clone, Debug, PartialEq)]
pub struct Subscription {
    /// By name, with where each listens for routers, and its zone.
    pub control: BTreeMap<String, (SocketAddr, String)>,
    /// Of this router: the machines there are asked first.
    pub zone: String,
    /// A file for the version to start with; none where no disk lasts.
    pub keep: Option<String>,
    /// In seconds: without a word for so long a machine is left; and a version not known for so long to be the newest is
    /// said to be old.
    pub silent: f64,
    pub old: f64,
}

/// What part of each share that all routers hold together forwarders keep for when no planner can be asked; planners have
/// the rest. Fixed, so that whoever is cut off from whom, the sum holds.
pub const KEPT_BACK: f64 = 0.25;

/// All that an operator's file may say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    pub cores: Cores,
    pub log: LogForm,
    /// None: shards lie in the ring of the configuration, and never change.
    pub layouts: Option<Layouts>,
    pub tier: Tier,
    /// None: this router knows of no other.
    pub peers: Option<Peers>,
    /// None: this program is no control machine.
    pub control: Option<Control>,
    /// None: settings only come with the configuration.
    pub subscription: Option<Subscription>,
}
