//! The one place where the configuration is read, checked and given defaults. Every message names its key.
use crate::control::Subscription;
use crate::gossip::Circle;
use crate::state::endpoints::EndpointTable;
use crate::state::query_classes::ClassRules;
use crate::state::shard_map::ShardMapConfig;
use crate::wire::discovery;
use alderway_deployment as deployment;
use alderway_telemetry::clock::Clock;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Descriptors and memory where no limit is stated: those of the usual small machine.
const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 192;
/// Fewer could not hold the listener, discovery, some clients and data nodes beside the runtime's own.
const LEAST_SOCKETS: u64 = 20;

/// Where a router stands and what it starts with.
pub struct Station {
    /// Where it was read, and is read again at SIGHUP.
    pub path: PathBuf,
    /// Reads again, at SIGHUP, what else the program was started by; says what has changed in it.
    pub beside: Option<Beside>,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub memory: usize,
    pub endpoints: EndpointTable,
    /// Of the decision module: the start of its chance, and the settings, as the file has them and as read.
    pub seed: u64,
    pub settings: Value,
    pub began: deployment::Settings,
    pub verticals: Vec<ClassRules>,
    pub trunk: deployment::ConnectionConfig,
    pub room: deployment::AdmissionConfig,
    pub fixed: Fixed,
    /// Whether shards lie by layouts that change, and how those are followed; the ring where not.
    pub layouts: Option<ShardMapConfig>,
    /// What this program is in an installation of two levels.
    pub role: Role,
    /// The routers that it tells what it sees, and hears from; none where it knows of no other.
    pub peers: Option<Circle>,
    /// The control machines that tell it its settings; none where they only come with the configuration.
    pub control: Option<Subscription>,
}

/// What a program is for.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Role {
    /// It decides by itself.
    #[default]
    Router,
    /// Planners decide for it, as far as any can be asked.
    Forwarder { planners: Vec<SocketAddr>, beat: f64, patience: f64 },
    /// It decides for forwarders.
    Planner,
}

/// A second reading of other files: an error, or whether anything that it was started by has changed.
pub type Beside = Arc<dyn Fn() -> Read<bool> + Send + Sync>;

/// The keys that hold from the start to the end, with their values.
pub type Fixed = [(&'static str, Value); 4];

pub type Read<T> = Result<T, String>;

/// Reads the file that `PROXY_CONFIG` names.
pub fn read(clock: Clock) -> Read<Station> {
    let path =
        std::env::var("PROXY_CONFIG").map_err(|_| "environment `PROXY_CONFIG`: not set".to_string())?;
    read_at(Path::new(&path), clock)
}

/// Reads one file.
pub fn read_at(path: &Path, clock: Clock) -> Read<Station> {
    read_among(path, clock, None)
}

/// The same for one of so many that share what is stated for all, where that is not as the settings say.
pub fn read_among(path: &Path, clock: Clock, peers: Option<u64>) -> Read<Station> {
    read_with(path, clock, peers, None)
}

/// The same with other settings in the place of the file's.
pub fn read_with(path: &Path, clock: Clock, peers: Option<u64>, settings: Option<Value>) -> Read<Station> {
    let text =
        std::fs::read_to_string(path).map_err(|why| format!("`PROXY_CONFIG` {}: {why}", path.display()))?;
    let mut station = station_among(&text, |key| std::env::var(key).ok(), clock, peers, settings)?;
    station.path = path.to_path_buf();
    Ok(station)
}

/// A station as the configuration's text describes it; `told` gives the variables of the environment.
pub fn station(text: &str, told: impl Fn(&str) -> Option<String>, clock: Clock) -> Read<Station> {
    station_among(text, told, clock, None, None)
}

fn station_among(
    text: &str,
    told: impl Fn(&str) -> Option<String>,
    clock: Clock,
    peers: Option<u64>,
    settings: Option<Value>,
) -> Read<Station> {
    let mut all: Value =
        serde_json::from_str(text).map_err(|why| format!("configuration: not JSON ({why})"))?;
    let fixed = ["name", "listen", "limits", "settings"].map(|key| (key, all[key].clone()));
    if let (Some(settings), Some(all)) = (settings, all.as_object_mut()) {
        all.insert("settings".into(), settings);
    }
    let word = |key: &str, variable: &str| {
        let value = match all.get(key) {
            None => told(variable),
            Some(value) => value.as_str().map(str::to_string),
        };
        value.ok_or_else(|| format!("key `{key}`: expected text"))
    };
    let address = |key: &str, variable: &str| {
        let text = word(key, variable)?;
        text.parse().map_err(|_| format!("key `{key}`: expected address:port, found `{text}`"))
    };
    let limit = |key: &str, usual: u64, least: u64| {
        let value = match all.get("limits").and_then(|l| l.get(key)) {
            None => Some(usual),
            Some(value) => value.as_u64(),
        };
        let value = value.filter(|v| *v >= least);
        value.ok_or_else(|| format!("key `limits.{key}`: expected a whole number from {least}"))
    };
    let seed = match all.get("seed") {
        None => 0,
        Some(seed) => seed
            .as_str()
            .and_then(|s| u64::from_str_radix(s, 16).ok())
            .ok_or("key `seed`: expected up to 16 hex digits")?,
    };
    let settings = all.get("settings").ok_or("key `settings`: missing")?;
    let wrong = |why: deployment::SettingsError| format!("key `settings`: expected {why}");
    let mut began = deployment::Settings::read(settings).map_err(wrong)?;
    if let Some(peers) = peers {
        began.policy.router_count = peers as usize;
    }
    let verticals = ClassRules::all(&began);
    let (trunk, room) = (began.connections, began.admission);
    Ok(Station {
        path: PathBuf::new(),
        beside: None,
        name: word("name", "PROXY_NAME")?,
        listen: address("listen", "PROXY_LISTEN")?,
        discovery: address("discovery", "PROXY_DISCOVERY")?,
        sockets: limit("sockets", SOCKETS, LEAST_SOCKETS)? as usize,
        memory: limit("memory_mb", MEMORY_MB, 1)? as usize * 1024 * 1024,
        endpoints: known(all.get("known"), clock).map_err(|why| format!("key `known`: {why}"))?,
        seed,
        settings: settings.clone(),
        began,
        verticals,
        trunk,
        room,
        layouts: None,
        role: Role::Router,
        peers: None,
        control: None,
        fixed,
    })
}

/// The endpoint list as this router last held it, in discovery's form; it may be old, or none.
fn known(list: Option<&Value>, clock: Clock) -> Read<EndpointTable> {
    let mut endpoints = EndpointTable::default();
    let Some(list) = list.filter(|l| !l.is_null()) else { return Ok(endpoints) };
    let text = list.to_string();
    let (index, _) = discovery::version(text.as_bytes())?;
    endpoints.begin_update(index, true);
    let mut wrong = None;
    discovery::entries(text.as_bytes(), |name, told| match told {
        Ok(node) => {
            let (started, now) = (clock.from_unix_ms(node.since), clock.now());
            endpoints.update_from_discovery(name, node.address, node.cell, node.state, started, now);
        }
        Err((_, why)) => wrong = wrong.or(Some(why)),
    })?;
    wrong.map_or(Ok(endpoints), |why| Err(why.into()))
}
