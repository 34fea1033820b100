//! The router's subscription to control servers, from which the router receives settings. Each state of the
//! settings has a version number.
//!
//! [`alderway_control_plane::subscriber`] decides to which control server the router connects, how it handles
//! received messages, and which messages it sends when. This module reads and writes the sockets and the
//! file:
//!
//! - `driver`: executes the subscriber's commands and passes the results to the subscriber;
//! - `connection`: reads and writes frames on one connection;
//! - [`persisted_version`]: reads and writes the file with the version that the next start uses;
//! - `metrics`: returns the counters and gauges;
//! - [`settings`]: applies the settings of a version to the router.
mod connection;
mod driver;
mod metrics;
pub mod persisted_version;
pub mod settings;

pub use driver::{ApplyCallback, ControlTraffic, ObserveCallback, PersistCallback, SubscribedRouter, run};

use crate::state::shared::SharedState;
use alderway_control_plane::subscriber::{ConfigVersion, ControlEndpoint, Subscriber, SubscriptionConfig};
use alderway_telemetry::clock::Clock;
use persisted_version::{PersistedVersion, UnusablePersistedVersion, VersionWriter};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::task::spawn_local;

/// Number of file descriptors that a subscription uses: one for the connection, and two for the file and its
/// directory while a version is written.
pub const SUBSCRIPTION_DESCRIPTORS: usize = 3;

/// The configuration of a router's subscription, and the persisted version with which the router starts.
pub struct Subscription {
    /// The control servers, each with the address at which it listens for routers.
    pub control_servers: Vec<(ControlEndpoint, SocketAddr)>,
    /// The zone of this router.
    pub zone: String,
    /// The intervals and timeouts by which the router connects to control servers, sends heartbeats and
    /// reports a version as stale.
    pub config: SubscriptionConfig,
    /// The file in which the latest version is persisted; `None` if versions are not persisted.
    pub persist_path: Option<PathBuf>,
    /// The persisted version with which this router starts; `None` if the router starts with the settings of
    /// the configuration file.
    pub persisted: Option<PersistedVersion>,
    /// Why a persisted version exists but cannot be used; `None` otherwise.
    pub startup_error: Option<UnusablePersistedVersion>,
}

/// Starts the task of a router's subscription on the current thread; the task runs for as long as the
/// program.
pub fn start(
    subscription: Subscription,
    name: &str,
    incarnation: u64,
    apply: ApplyCallback,
    shared: Arc<SharedState>,
    clock: Clock,
) {
    let Subscription { control_servers, zone, config, persist_path, persisted, startup_error } = subscription;
    if let Some(error) = startup_error {
        tracing::warn!(target: "control", "{error}");
    }
    let active = persisted.map(|persisted| resume(persisted, &shared, clock));
    let list = control_servers.iter().map(|(server, _)| server.clone()).collect();
    let subscriber = Subscriber::new(config, list, &zone, active, incarnation, clock.now());
    let writer = persist_path.map(|path| VersionWriter::spawn(path, clock));
    let router = SubscribedRouter {
        name: name.into(),
        incarnation,
        control_servers: control_servers
            .into_iter()
            .map(|(server, address)| (server.name, address))
            .collect(),
        clock,
        apply,
        persist: Box::new(move |version, confirmed_at| {
            if let Some(writer) = &writer {
                writer.persist(version, confirmed_at);
            }
        }),
        observe: Box::new(move |subscriber, traffic, now| {
            shared.control_metrics.send_replace(Arc::new(metrics::snapshot(subscriber, traffic, now)));
        }),
        log_events: true,
    };
    spawn_local(run(subscriber, router));
}

/// Publishes the number of the persisted version with which the router has started. Returns the version, and
/// when it was last confirmed as the latest, in seconds of the monotonic clock.
fn resume(persisted: PersistedVersion, shared: &SharedState, clock: Clock) -> (ConfigVersion, Option<f64>) {
    let PersistedVersion { version, confirmed_at_unix_ms } = persisted;
    tracing::info!(target: "control", "started with the settings of persisted version {}", version.number);
    shared.config_version.store(version.number, Relaxed);
    let confirmed_at = confirmed_at_unix_ms.and_then(|unix_ms| clock.from_unix_ms(unix_ms));
    // The time must not be in the future, even if the wall clock was ahead when the version was persisted.
    (version, confirmed_at.map(|confirmed_at| confirmed_at.min(clock.now())))
}
