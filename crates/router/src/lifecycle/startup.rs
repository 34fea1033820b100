//! Reads and checks the configuration file in JSON at the start of the program, and fills in defaults. Each
//! error message names the invalid key.
//!
//! A router can also have an operator's file, given by the option `--operator`: a Starlark script that
//! describes how routers work together, for example the number of cores, planners and control servers. The
//! program `alderway` reads that file and then fills in the fields `operator_file_check`, `shard_map`, `role`
//! and `gossip` of [`StartupConfig`]; without the file, a router has their defaults. A forwarder is a router
//! whose decisions are made by planners, which are separate programs.
use crate::gossip::GossipGroup;
use crate::state::endpoints::EndpointTable;
use crate::state::query_classes::ClassRules;
use crate::state::shard_map::ShardMapConfig;
use crate::wire::discovery;
use alderway_deployment::Settings;
use alderway_telemetry::clock::Clock;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// The environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Default of `limits.sockets`, the number of file descriptors that the program may use: a common default
/// limit of Linux.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Minimum of `limits.sockets`: the file descriptors of the async runtime, the listener, the connection to
/// discovery, and a few connections to clients and data nodes.
const MIN_DESCRIPTORS: u64 = 20;
/// Default of `limits.memory_mb`, in MiB.
const DEFAULT_MEMORY_MB: u64 = 192;
const BYTES_PER_MB: usize = 1024 * 1024;

/// The complete configuration with which the program starts.
pub struct StartupConfig {
    /// The configuration file, which is read again at SIGHUP.
    pub path: PathBuf,
    /// Checks at a reload whether a value of the operator's file has changed that needs a restart; `None` if
    /// the program was started without an operator's file.
    pub operator_file_check: Option<OperatorFileChangeCheck>,
    /// The name of this router, which is unique among the routers.
    pub name: String,
    /// The address at which the program listens. A planner accepts connections of forwarders there, any other
    /// program connections of clients.
    pub listen: SocketAddr,
    /// Address of the discovery server.
    pub discovery: SocketAddr,
    /// Maximum number of file descriptors that the program may have open at once.
    pub max_descriptors: usize,
    /// Maximum memory for the buffers of connections, in bytes.
    pub max_memory_bytes: usize,
    /// The endpoint list of an earlier run, which is used until discovery sends its list.
    pub endpoints: EndpointTable,
    /// Seed of the policy's random choices.
    pub seed: u64,
    /// The JSON value from which `settings` was parsed.
    pub settings_json: Value,
    /// The parsed settings.
    pub settings: Settings,
    /// The query classes of the settings, in the order of the settings.
    pub query_classes: Vec<ClassRules>,
    /// The values in the file of the keys that a later reload compares with the file.
    pub restart_only_keys: RestartOnlyKeys,
    /// Grace periods for changes of the shard map that discovery sends; `None` if the settings assign the
    /// shards to data nodes.
    pub shard_map: Option<ShardMapConfig>,
    /// The role of the program among the routers, forwarders and planners.
    pub role: ProgramRole,
    /// The routers with which this router exchanges observations, which are measurements of data nodes;
    /// `None` if gossip is disabled.
    pub gossip: Option<GossipGroup>,
}

/// The role of a program among the routers, forwarders and planners.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ProgramRole {
    /// Serves clients and makes all decisions itself.
    #[default]
    Router,
    /// Serves clients. Planners make the decisions; while no planner is available, the forwarder makes the
    /// decisions itself.
    Forwarder {
        /// The address of each planner.
        planners: Vec<SocketAddr>,
        /// Interval of the heartbeats to each planner, in seconds.
        heartbeat_interval_s: f64,
        /// Time without an answer to a heartbeat after which a planner counts as unavailable, in seconds.
        heartbeat_timeout_s: f64,
    },
    /// Makes decisions for forwarders.
    Planner,
}

/// A function that reads the operator's file again. Returns whether a value that can only change with a
/// restart differs from its value when the program started. The error is one line that says why the file
/// cannot be used.
pub type OperatorFileChangeCheck = Arc<dyn Fn() -> Result<bool, String> + Send + Sync>;

/// The keys `name`, `listen`, `limits` and `settings` of the configuration file, with their values in the
/// file. The first three keys can only change with a restart. A reload can apply `settings`, unless control
/// servers supply the settings or a changed key of the settings needs a restart.
pub type RestartOnlyKeys = [(&'static str, Value); 4];

/// Why the program cannot start with a configuration.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The environment variable `PROXY_CONFIG` is not set.
    #[error("the environment variable `{CONFIG_VARIABLE}`, which names the configuration file, is not set")]
    NoConfigPath,
    /// The configuration file cannot be read.
    #[error("cannot read the configuration file {} of `{CONFIG_VARIABLE}`: {source}", path.display())]
    Unreadable {
        /// The path of the configuration file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration file is not JSON.
    #[error("the configuration file is not JSON ({0})")]
    NotJson(#[from] serde_json::Error),
    /// A key is missing or has an invalid value.
    #[error("configuration key `{key}`: {problem}")]
    Key {
        /// The path of the key in the configuration file, for example `limits.sockets`.
        key: &'static str,
        /// What is wrong with the value, for example `expected text`.
        problem: String,
    },
}

impl StartupError {
    fn key(key: &'static str, problem: impl Into<String>) -> Self {
        StartupError::Key { key, problem: problem.into() }
    }

    /// Whether the error concerns the value of the key `settings`, rather than another key or the whole file.
    pub fn is_settings_error(&self) -> bool {
        matches!(self, StartupError::Key { key: "settings", .. })
    }
}

/// Values that the program sets at its start in place of values of the configuration file: the settings that
/// control servers have sent in an earlier run, and a number computed from the operator's file. A field that
/// is `None` replaces nothing.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Replaces `ReplicasOfMe` of the settings, the number of routers, including this one, among which the
    /// limits of the settings are divided: this program uses 1 / `ReplicasOfMe` of each divided limit. The
    /// program computes the number for forwarders and planners from the operator's file.
    pub router_count: Option<u64>,
    /// Replaces the key `settings` of the configuration file.
    pub settings: Option<Value>,
}

impl StartupConfig {
    /// Reads the configuration file that the environment variable `PROXY_CONFIG` names.
    ///
    /// # Errors
    /// The environment variable is not set, or the configuration file is missing or invalid.
    pub fn from_env(clock: Clock) -> Result<Self, StartupError> {
        let path = std::env::var(CONFIG_VARIABLE).map_err(|_| StartupError::NoConfigPath)?;
        StartupConfig::read(Path::new(&path), Overrides::default(), clock)
    }

    /// Reads and checks the configuration file at `path`; `overrides` replace values of the file.
    ///
    /// # Errors
    /// The configuration file cannot be read, is not JSON, or has an invalid key.
    pub fn read(path: &Path, overrides: Overrides, clock: Clock) -> Result<Self, StartupError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| StartupError::Unreadable { path: path.into(), source })?;
        let mut document: Value = serde_json::from_str(&text)?;
        // The overrides are not included in these values, because a reload compares the file with its earlier
        // content.
        let restart_only_keys = RESTART_ONLY_KEYS.map(|key| (key, document[key].clone()));
        if let (Some(settings), Some(keys)) = (overrides.settings, document.as_object_mut()) {
            keys.insert("settings".into(), settings);
        }
        let keys = ConfigKeys { document: &document };
        let seed = keys.seed()?;
        let settings_json = keys.settings_json()?;
        let mut settings = parse_settings(settings_json)?;
        if let Some(router_count) = overrides.router_count {
            settings.policy.router_count = router_count as usize;
        }
        Ok(StartupConfig {
            path: path.to_path_buf(),
            operator_file_check: None,
            name: keys.text("name", "PROXY_NAME")?,
            listen: keys.address("listen", "PROXY_LISTEN")?,
            discovery: keys.address("discovery", "PROXY_DISCOVERY")?,
            max_descriptors: keys.limit("limits.sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS)?,
            max_memory_bytes: keys.limit("limits.memory_mb", DEFAULT_MEMORY_MB, 1)? * BYTES_PER_MB,
            endpoints: keys.known_endpoints(clock)?,
            seed,
            settings_json: settings_json.clone(),
            query_classes: ClassRules::all(&settings),
            settings,
            restart_only_keys,
            shard_map: None,
            role: ProgramRole::Router,
            gossip: None,
        })
    }
}

const RESTART_ONLY_KEYS: [&str; 4] = ["name", "listen", "limits", "settings"];

fn parse_settings(json: &Value) -> Result<Settings, StartupError> {
    Settings::read(json).map_err(|error| StartupError::key("settings", format!("expected {error}")))
}

/// Reads the keys of a configuration file. Some keys are read from an environment variable if they are
/// missing in the file.
struct ConfigKeys<'a> {
    document: &'a Value,
}

impl ConfigKeys<'_> {
    fn text(&self, key: &'static str, variable: &str) -> Result<String, StartupError> {
        let value = match self.document.get(key) {
            None => std::env::var(variable).ok(),
            Some(value) => value.as_str().map(str::to_string),
        };
        value.ok_or_else(|| StartupError::key(key, "expected text"))
    }

    fn address(&self, key: &'static str, variable: &str) -> Result<SocketAddr, StartupError> {
        let text = self.text(key, variable)?;
        let invalid = |_| StartupError::key(key, format!("expected address:port, found `{text}`"));
        text.parse().map_err(invalid)
    }

    /// Reads a whole number of at least `min` from the object `limits`, or `default` if the number is
    /// missing. `key` is the path of the number.
    fn limit(&self, key: &'static str, default: u64, min: u64) -> Result<usize, StartupError> {
        let given = key.split('.').try_fold(self.document, |value, key| value.get(key));
        let value = given.map_or(Some(default), Value::as_u64).filter(|value| *value >= min);
        let value = value
            .ok_or_else(|| StartupError::key(key, format!("expected a whole number of at least {min}")))?;
        Ok(value as usize)
    }

    fn seed(&self) -> Result<u64, StartupError> {
        let Some(seed) = self.document.get("seed") else { return Ok(0) };
        let seed = seed.as_str().and_then(|digits| u64::from_str_radix(digits, 16).ok());
        seed.ok_or_else(|| StartupError::key("seed", "expected up to 16 hex digits"))
    }

    fn settings_json(&self) -> Result<&Value, StartupError> {
        self.document.get("settings").ok_or_else(|| StartupError::key("settings", "missing"))
    }

    /// Reads the endpoint list that an earlier run of this router last received, in the format of discovery.
    /// The list may be outdated or empty.
    fn known_endpoints(&self, clock: Clock) -> Result<EndpointTable, StartupError> {
        let known = self.document.get("known").filter(|list| !list.is_null());
        let endpoints = known.map_or(Ok(EndpointTable::default()), |list| parse_endpoints(list, clock));
        endpoints.map_err(|problem| StartupError::key("known", problem))
    }
}

fn parse_endpoints(list: &Value, clock: Clock) -> Result<EndpointTable, String> {
    let text = list.to_string();
    let (index, _) = discovery::read_version(text.as_bytes())?;
    let mut endpoints = EndpointTable::default();
    endpoints.begin_update(index, true);
    let mut first_error = None;
    discovery::read_entries(text.as_bytes(), |name, entry| match entry {
        Ok(node) => {
            let (started, now) = (clock.from_unix_ms(node.started_at_unix_ms), clock.now());
            endpoints.update_from_discovery(name, node.address, node.replica_group, node.state, started, now);
        }
        Err((_, error)) => first_error = first_error.or(Some(error)),
    })?;
    first_error.map_or(Ok(endpoints), |error| Err(error.into()))
}
