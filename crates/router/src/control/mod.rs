//! The router's subscription to control servers, on sockets and disk.
//!
//! [`alderway_control_plane::subscriber`] decides to which control server the router connects, how it handles
//! received messages, and which messages it sends when. This module does the input and output:
//!
//! - `driver`: executes the subscriber's commands and passes it their results;
//! - `connection`: reads and writes frames on one connection;
//! - [`persisted_version`]: the file with the version that the next start begins with;
//! - `metrics`: the counters;
//! - [`settings`]: applies versions to the router.
mod connection;
mod driver;
mod metrics;
pub mod persisted_version;
pub mod settings;

pub use driver::{ApplyCallback, ObserveCallback, PersistCallback, SubscribedRouter, ControlTraffic, run};

use crate::state::shared::SharedState;
use alderway_control_plane::subscriber::{ConfigVersion, ControlEndpoint, Subscriber, SubscriptionConfig};
use alderway_telemetry::clock::Clock;
use persisted_version::{PersistedVersion, UnusablePersistedVersion, VersionWriter};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::task::spawn_local;

/// Descriptors that a subscription takes: its connection, and a file with its directory while a version is written.
pub const SUBSCRIPTION_DESCRIPTORS: usize = 3;

/// A router's subscription: its configuration in the operator's file, and the persisted version.
pub struct Subscription {
    /// The control servers, each with the address at which it listens for routers.
    pub control_servers: Vec<(ControlEndpoint, SocketAddr)>,
    /// The router's own zone.
    pub zone: String,
    /// Intervals and timeouts.
    pub config: SubscriptionConfig,
    /// The file in which versions are persisted; none where they are not.
    pub persist_path: Option<PathBuf>,
    /// The persisted version that this router starts with.
    pub persisted: Option<PersistedVersion>,
    /// Why the persisted version cannot be used, if there is one that cannot.
    pub startup_error: Option<UnusablePersistedVersion>,
}

/// Starts the subscription of a router on the current thread, for as long as the program runs.
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

/// Marks the persisted version, with which the router has started, as the version in force.
fn resume(persisted: PersistedVersion, shared: &SharedState, clock: Clock) -> (ConfigVersion, Option<f64>) {
    let PersistedVersion { version, confirmed_at_unix_ms } = persisted;
    tracing::info!(target: "control", "started with persisted version {}", version.number);
    shared.config_version.store(version.number, Relaxed);
    let confirmed_at = confirmed_at_unix_ms.and_then(|unix_ms| clock.from_unix_ms(unix_ms));
    // The wall clock may have been ahead when the version was persisted: the time must not be in the future.
    (version, confirmed_at.map(|confirmed_at| confirmed_at.min(clock.now())))
}
