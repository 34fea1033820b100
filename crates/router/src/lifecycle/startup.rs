//! The configuration at the start: reads the file that `PROXY_CONFIG` names, checks it, and fills in defaults. Each
//! error names the invalid key.
use crate::gossip::Circle;
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

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Default of `limits.sockets`: the descriptor limit of a usual small machine.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Minimum of `limits.sockets`: enough for the runtime's own descriptors, the listener, discovery, and a few clients
/// and data nodes.
const MIN_DESCRIPTORS: u64 = 20;
/// Default of `limits.memory_mb`, in MiB.
const DEFAULT_MEMORY_MB: u64 = 192;
const BYTES_PER_MB: usize = 1024 * 1024;

/// The complete configuration that a program starts with.
pub struct StartupConfig {
    /// The configuration file, which is read again at SIGHUP.
    pub path: PathBuf,
    /// Compares the operator's file with its content at the start; none where the program was started without one.
    pub operator_file_check: Option<OperatorFileChangeCheck>,
    /// The router's name among its peers.
    pub name: String,
    /// Address of the listener for clients, or of a planner for forwarders.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Descriptors that the program may have open at once.
    pub max_descriptors: usize,
    /// Memory that connections may take, in bytes.
    pub max_memory_bytes: usize,
    /// The data nodes that an earlier run of this router knew, until discovery sends its list.
    pub endpoints: EndpointTable,
    /// Seed of the policy's random choices.
    pub seed: u64,
    /// The settings as JSON, unchanged.
    pub settings_json: Value,
    /// The parsed settings.
    pub settings: Settings,
    /// The query classes of the settings, in their order.
    pub query_classes: Vec<ClassRules>,
    /// Keys that can only change with a restart, with their values in the file.
    pub restart_only_keys: RestartOnlyKeys,
    /// How changes of the shard map are followed; none where shards lie in the fixed ring of the settings.
    pub shard_map: Option<ShardMapConfig>,
    /// The role of the program among the routers, forwarders and planners.
    pub role: ProgramRole,
    /// The routers with which this one exchanges observations; none where gossip is off.
    pub gossip: Option<Circle>,
}

/// The role of a program among the routers, forwarders and planners.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ProgramRole {
    /// Serves clients and makes all decisions itself.
    #[default]
    Router,
    /// Serves clients; planners make its decisions while one of them is available.
    Forwarder {
        /// Addresses of the planners.
        planners: Vec<SocketAddr>,
        /// Seconds between two heartbeats to a planner.
        heartbeat_interval_s: f64,
        /// A planner that does not answer a heartbeat within this time, in seconds, counts as unavailable.
        heartbeat_timeout_s: f64,
    },
    /// Makes decisions for forwarders.
    Planner,
}

/// Reads the operator's file again. Returns whether a value has changed that can only change with a restart, or one
/// line that says why the file cannot be used.
pub type OperatorFileChangeCheck = Arc<dyn Fn() -> Result<bool, String> + Send + Sync>;

/// The keys of the configuration file that can only change with a restart, with their values in the file.
pub type RestartOnlyKeys = [(&'static str, Value); 4];

/// Why the program cannot start with a configuration.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The environment variable is not set.
    #[error("environment `{CONFIG_VARIABLE}`: not set")]
    NoConfigPath,
    /// The file cannot be read.
    #[error("`{CONFIG_VARIABLE}` {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: not JSON ({0})")]
    NotJson(#[from] serde_json::Error),
    /// A key is missing or has an invalid value.
    #[error("key `{key}`: {problem}")]
    Key {
        /// The key, with its path.
        key: &'static str,
        /// What was expected or found.
        problem: String,
    },
}

impl StartupError {
    fn key(key: &'static str, problem: impl Into<String>) -> Self {
        StartupError::Key { key, problem: problem.into() }
    }

    /// Whether the invalid key is in the settings, rather than in the rest of the configuration.
    pub fn is_settings_error(&self) -> bool {
        matches!(self, StartupError::Key { key: "settings", .. })
    }
}

/// Values that replace those of the configuration file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// How many programs share the quotas, instead of `ReplicasOfMe` of the settings.
    pub router_count: Option<u64>,
    /// Settings instead of those in the file.
    pub settings: Option<Value>,
}

impl StartupConfig {
    /// Reads the file that the environment variable `PROXY_CONFIG` names.
    ///
    /// # Errors
    /// The variable is not set, or the file cannot be used; see [`StartupError`].
    pub fn from_env(clock: Clock) -> Result<Self, StartupError> {
        let path = std::env::var(CONFIG_VARIABLE).map_err(|_| StartupError::NoConfigPath)?;
        StartupConfig::read(Path::new(&path), Overrides::default(), clock)
    }

    /// Reads one file.
    ///
    /// # Errors
    /// The file cannot be read, is not JSON, or has an invalid key; see [`StartupError`].
    pub fn read(path: &Path, overrides: Overrides, clock: Clock) -> Result<Self, StartupError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| StartupError::Unreadable { path: path.into(), source })?;
        let mut document: Value = serde_json::from_str(&text)?;
        // Taken before the overrides: a reload compares the file with its earlier content.
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

/// Reads the keys of a configuration file. Some keys are read from an environment variable where the file lacks them.
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

    /// Reads a whole number of the object `limits`; `key` is the path of the key.
    fn limit(&self, key: &'static str, default: u64, min: u64) -> Result<usize, StartupError> {
        let given = key.split('.').try_fold(self.document, |value, key| value.get(key));
        let value = given.map_or(Some(default), Value::as_u64).filter(|value| *value >= min);
        let value =
            value.ok_or_else(|| StartupError::key(key, format!("expected a whole number from {min}")))?;
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

    /// The endpoint list that an earlier run of this router last knew, in discovery's format. It may be outdated or
    /// empty.
    fn known_endpoints(&self, clock: Clock) -> Result<EndpointTable, StartupError> {
        let known = self.document.get("known").filter(|list| !list.is_null());
        let endpoints = known.map_or(Ok(EndpointTable::default()), |list| parse_endpoints(list, clock));
        endpoints.map_err(|problem| StartupError::key("known", problem))
    }
}

fn parse_endpoints(list: &Value, clock: Clock) -> Result<EndpointTable, String> {
    let text = list.to_string();
    let (index, _) = discovery::version(text.as_bytes())?;
    let mut endpoints = EndpointTable::default();
    endpoints.begin_update(index, true);
    let mut first_error = None;
    discovery::entries(text.as_bytes(), |name, entry| match entry {
        Ok(node) => {
            let (started, now) = (clock.from_unix_ms(node.since), clock.now());
            endpoints.update_from_discovery(name, node.address, node.cell, node.state, started, now);
        }
        Err((_, error)) => first_error = first_error.or(Some(error)),
    })?;
    first_error.map_or(Ok(endpoints), |error| Err(error.into()))
}
