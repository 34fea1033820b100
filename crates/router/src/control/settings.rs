//! Applies versions of the settings from control servers: the persisted version at the start of the router,
//! and later versions while the router serves.
use super::persisted_version::{PersistedVersion, UnusablePersistedVersion};
use super::{ApplyCallback, Subscription};
use crate::lifecycle::live_config::{ConfigError, LiveConfig};
use crate::lifecycle::startup::{Overrides, StartupConfig, StartupError};
use alderway_control_plane::messages::ApplyOutcome;
use alderway_telemetry::clock::Clock;
use serde_json::Value;
use std::path::Path;

/// Returns the configuration with which a subscribed router starts, and the subscription, completed with the
/// persisted version or with the reason why that version cannot be used. The settings of the persisted
/// version replace those of the configuration file, if there is a persisted version and this program accepts
/// it. If `router_count` is `Some`, it replaces `ReplicasOfMe` of the settings, the number of routers among
/// which limits are divided.
///
/// # Errors
/// The configuration file cannot be read or is invalid.
pub fn startup_config(
    mut subscription: Subscription,
    config: &Path,
    clock: Clock,
    router_count: Option<u64>,
) -> Result<(StartupConfig, Subscription), StartupError> {
    match read_persisted(&subscription, config, clock, router_count) {
        Ok(Some((persisted, config))) => {
            subscription.persisted = Some(persisted);
            return Ok((config, subscription));
        }
        Ok(None) => {}
        Err(error) => subscription.startup_error = Some(error),
    }
    let config = StartupConfig::read(config, Overrides { router_count, settings: None }, clock)?;
    Ok((config, subscription))
}

/// Returns the persisted version and the configuration of a router that starts with it, or `None` if no
/// version is persisted.
fn read_persisted(
    subscription: &Subscription,
    config: &Path,
    clock: Clock,
    router_count: Option<u64>,
) -> Result<Option<(PersistedVersion, StartupConfig)>, UnusablePersistedVersion> {
    let Some(path) = &subscription.persist_path else { return Ok(None) };
    let Some(persisted) = PersistedVersion::load(path)? else { return Ok(None) };
    let settings = serde_json::from_str::<Value>(&persisted.version.text).map_err(|error| error.to_string());
    let config = settings.and_then(|settings| {
        let overrides = Overrides { router_count, settings: Some(settings) };
        StartupConfig::read(config, overrides, clock).map_err(|error| error.to_string())
    });
    let number = persisted.version.number;
    let config = config.map_err(|reason| UnusablePersistedVersion::InvalidSettings { number, reason })?;
    Ok(Some((persisted, config)))
}

/// Returns a function that applies a version to a running router and returns the outcome once all serving
/// cores have applied the settings. If a changed key needs a restart, nothing is applied and the outcome is
/// [`ApplyOutcome::PendingRestart`]; invalid settings are rejected.
pub fn apply_to_running(live_config: LiveConfig) -> ApplyCallback {
    Box::new(move |settings, number| {
        let live_config = live_config.clone();
        Box::pin(async move {
            match live_config.apply(settings, Some(number)).await {
                Ok(_) => ApplyOutcome::Applied,
                Err(ConfigError::RestartRequired(keys)) => ApplyOutcome::PendingRestart(keys),
                Err(error @ ConfigError::Invalid(_)) => ApplyOutcome::Rejected(error.to_string()),
            }
        })
    })
}
