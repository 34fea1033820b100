//! What a program starts with: the configuration file that `PROXY_CONFIG` names, read, checked and given defaults in this one
//! place. Each error names the key that is at fault.
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

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Descriptors where the configuration states no limit: those of the usual small machine.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Fewer could not hold the listener, discovery, some clients and data nodes beside the runtime's own.
const MIN_DESCRIPTORS: u64 = 20;
/// Memory where the configuration states no limit, in MiB.
const DEFAULT_MEMORY_MB: u64 = 192;
const BYTES_PER_MB: usize = 1024 * 1024;

/// Everything that a program is started with.
pub struct StartupConfig {
    /// The configuration file, which is read again at SIGHUP.
    pub path: PathBuf,
    /// Compares the operator's file with what it said at the start; none where the program was started without one.
    pub operator_file_check: Option<OperatorFileCheck>,
    /// The router's name among its peers.
    pub name: String,
    /// Where clients connect, or forwarders to a planner.
    pub listen: SocketAddr,
    /// Where discovery is polled.
    pub discovery: SocketAddr,
    /// Descriptors that the program may have open at once.
    pub max_descriptors: usize,
    /// Memory that connections may take, in bytes.
    pub max_memory_bytes: usize,
    /// The data nodes as an earlier run knew them; discovery corrects them.
    pub endpoints: EndpointTable,
    /// Seed of the decision module's random choices.
    pub seed: u64,
    /// The settings as JSON, as they were given.
    pub settings_json: Value,
    /// The settings as read.
    pub settings: Settings,
    /// The query classes of the settings, in their order.
    pub query_classes: Vec<ClassRules>,
    /// Keys that only change with a start, as the file has them.
    pub fixed_keys: FixedKeys,
    /// How changes of the shard map are followed; none where shards lie in the fixed ring of the settings.
    pub shard_map: Option<ShardMapConfig>,
    /// What the program does in its installation.
    pub role: Role,
    /// Routers that exchange observations with this one; none where it knows of no other.
    pub gossip: Option<GossipGroup>,
}

/// What a program does in its installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Role {
    /// It serves clients and decides by itself.
    #[default]
    Router,
    /// It serves clients; planners decide for it, as far as any can be asked.
    Forwarder {
        /// Where the planners listen.
        planners: Vec<SocketAddr>,
        /// Seconds between two heartbeats to a planner.
        heartbeat_interval_s: f64,
        /// A planner that leaves a heartbeat unanswered for so many seconds counts as gone.
        heartbeat_timeout_s: f64,
    },
    /// It decides for forwarders.
    Planner,
}

/// Reads the operator's file again: whether what only changes with a start differs from the start, or a line that says
/// why the file cannot be used.
pub type OperatorFileCheck = Arc<dyn Fn() -> Result<bool, String> + Send + Sync>;

/// The keys of the configuration file that only change with a start, with their values in the file.
pub type FixedKeys = [(&'static str, Value); 4];

/// Why a configuration cannot be started with.
#[derive(Debug, Error)]
pub enum StartupError {
    /// No file was named.
    #[error("environment `{CONFIG_VARIABLE}`: not set")]
    NoConfigPath,
    /// The file cannot be read.
    #[error("`{CONFIG_VARIABLE}` {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: not JSON ({0})")]
    NotJson(#[from] serde_json::Error),
    /// A key is missing or has a value that cannot be used.
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

    /// Whether the settings are at fault, rather than the rest of the configuration.
    pub fn is_of_settings(&self) -> bool {
        matches!(self, StartupError::Key { key: "settings", .. })
    }
}

/// What takes the place of values in the configuration file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// How many programs share the quotas of the settings, where that is not their `ReplicasOfMe`.
    pub router_count: Option<u64>,
    /// Settings in the place of the file's.
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
    /// The file cannot be read, is not JSON, or a key is at fault; see [`StartupError`].
    pub fn read(path: &Path, overrides: Overrides, clock: Clock) -> Result<Self, StartupError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| StartupError::Unreadable { path: path.into(), source })?;
        let mut document: Value = serde_json::from_str(&text)?;
        // As the file has them: a reload compares the file with itself, whatever was put in its place.
        let fixed_keys = FIXED_KEYS.map(|key| (key, document[key].clone()));
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
            fixed_keys,
            shard_map: None,
            role: Role::Router,
            gossip: None,
        })
    }
}

const FIXED_KEYS: [&str; 4] = ["name", "listen", "limits", "settings"];

fn parse_settings(json: &Value) -> Result<Settings, StartupError> {
    Settings::read(json).map_err(|why| StartupError::key("settings", format!("expected {why}")))
}

/// Reads the keys of a configuration file. Some may be absent where an environment variable stands in for them.
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
        let wrong = |_| StartupError::key(key, format!("expected address:port, found `{text}`"));
        text.parse().map_err(wrong)
    }

    /// A whole number of the object `limits`; `key` with its path.
    fn limit(&self, key: &'static str, default: u64, min: u64) -> Result<usize, StartupError> {
        let given = key.split('.').try_fold(self.document, |from, key| from.get(key));
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

    /// The endpoint list as an earlier run of this router last knew it, in discovery's form; it may be old, or empty.
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
