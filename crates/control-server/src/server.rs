//! The program of a control server: opens its log and its listeners, then runs its tasks on one thread until a signal.
use crate::admin;
use crate::log_store::{LogStore, LogStoreError};
use crate::outbox::Outboxes;
use crate::replica_links;
use crate::state::{ServerState, SettingsCheck, SharedState};
use alderway_control_plane::consensus::RecoveryError;
use alderway_control_plane::replica::{REPLACE_DISK_ADVICE, Replica, ReplicaName, TICK_S};
use alderway_control_plane::version_sink::VersionSink;
use alderway_sockets::signals::Signals;
use nix::sys::signal::Signal;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

/// Makes the sink for committed versions, on the control server's own thread.
pub type VersionSinkFactory =
    Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = io::Result<Box<dyn VersionSink>>>>>>;

/// What a control server is started with.
pub struct ServerConfig {
    /// Its name among the control servers.
    pub name: ReplicaName,
    /// Where each control server, this one among them, listens for the others.
    pub replica_addresses: BTreeMap<ReplicaName, SocketAddr>,
    /// Where each control server, this one among them, listens for operators.
    pub admin_addresses: BTreeMap<ReplicaName, SocketAddr>,
    /// The folder of its log.
    pub data_path: PathBuf,
    /// Checks settings before they are proposed.
    pub settings_check: SettingsCheck,
    /// Makes the sink for committed versions.
    pub version_sink: VersionSinkFactory,
}

/// Why a control server could not start or go on.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The runtime or a signal handler could not be set up.
    #[error(transparent)]
    Runtime(io::Error),
    /// The log could not be opened.
    #[error(transparent)]
    LogStore(#[from] LogStoreError),
    /// The log could be read, but not as that of this replica.
    #[error("{path}: {source}; {REPLACE_DISK_ADVICE}", path = data_path.display())]
    Recovery {
        /// The folder of the log.
        data_path: PathBuf,
        /// What contradicts what.
        source: RecoveryError,
    },
    /// The addresses of the control servers don't name this one.
    #[error("the addresses of the control machines do not name this one")]
    NotAMember,
    /// A listener could not be opened.
    #[error("{listener} at {address}: {source}")]
    Listen {
        /// Whom it is for.
        listener: &'static str,
        /// Where.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The sink for committed versions could not be made.
    #[error(transparent)]
    VersionSink(io::Error),
}

/// Runs a control server until SIGTERM or SIGINT.
///
/// # Errors
/// Its log can't be used, or it can't listen.
pub fn run(config: ServerConfig) -> Result<(), ServerError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(ServerError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(config))
}

async fn serve(config: ServerConfig) -> Result<(), ServerError> {
    let (replica, log_store) = recover(&config)?;
    let peer_listener = listen("replicas", own_address(&config, &config.replica_addresses)?).await?;
    let admin_listener = listen("operators", own_address(&config, &config.admin_addresses)?).await?;
    let name = config.name.clone();
    let address_of = |listener: &TcpListener| listener.local_addr().map_err(ServerError::Runtime);
    tracing::info!(target: "start", "{name} listens for replicas at {}", address_of(&peer_listener)?);
    tracing::info!(target: "start", "{name} listens for operators at {}", address_of(&admin_listener)?);
    let mut peers = config.replica_addresses;
    peers.remove(&name);
    let version_sink = (config.version_sink)().await.map_err(ServerError::VersionSink)?;
    let outboxes = Outboxes::new(peers.keys());
    let state = ServerState::new(
        replica,
        log_store,
        outboxes,
        version_sink,
        config.admin_addresses,
        config.settings_check,
    );
    let state = Rc::new(RefCell::new(state));
    state.borrow_mut().advance();
    start_tasks(&state, peers, peer_listener, admin_listener);
    tick_until_signal(&state).await?;
    tracing::info!(target: "stop", "{name} stopped");
    Ok(())
}

/// Opens the log, and the replica as the log left it.
fn recover(config: &ServerConfig) -> Result<(Replica, LogStore), ServerError> {
    let (log_store, recovered) = LogStore::open(&config.data_path)?;
    let names = config.replica_addresses.keys().cloned().collect();
    let replica = Replica::new(&config.name, &names, &recovered, random_number(), random_number());
    let data_path = config.data_path.clone();
    let replica = replica.map_err(|source| ServerError::Recovery { data_path, source })?;
    Ok((replica, log_store))
}

fn own_address(
    config: &ServerConfig,
    addresses: &BTreeMap<ReplicaName, SocketAddr>,
) -> Result<SocketAddr, ServerError> {
    addresses.get(&config.name).copied().ok_or(ServerError::NotAMember)
}

async fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener, ServerError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| ServerError::Listen { listener, address, source })
}

fn start_tasks(
    state: &SharedState,
    peers: BTreeMap<ReplicaName, SocketAddr>,
    peer_listener: TcpListener,
    admin_listener: TcpListener,
) {
    spawn_local(replica_links::accept(state.clone(), peer_listener));
    let seed = random_number();
    for (n, (peer, address)) in (0_u64..).zip(peers) {
        spawn_local(replica_links::keep_connected(state.clone(), peer, address, seed ^ n << 17));
    }
    spawn_local(admin::endpoint::accept(state.clone(), admin_listener));
}

async fn tick_until_signal(state: &SharedState) -> Result<(), ServerError> {
    let mut terminations = Signals::of(Signal::SIGTERM).map_err(ServerError::Runtime)?;
    let mut interrupts = Signals::of(Signal::SIGINT).map_err(ServerError::Runtime)?;
    let mut ticks = interval(Duration::from_secs_f64(TICK_S));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => state.borrow_mut().tick(),
            _ = terminations.recv() => return Ok(()),
            _ = interrupts.recv() => return Ok(()),
        }
    }
}

/// From the system's source of randomness; made of the time and the process id where that can't be read.
fn random_number() -> u64 {
    let mut bytes = [0; 8];
    match File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes)) {
        Ok(()) => u64::from_ne_bytes(bytes),
        Err(_) => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
            now.rotate_left(20) ^ u64::from(std::process::id())
        }
    }
}
