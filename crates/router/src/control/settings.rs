//! Settings from control servers: the persisted version at the start, and later versions while the router serves.
use super::persisted_version::{PersistedVersion, UnusablePersistedVersion};
use super::{ApplyCallback, Subscription};
use crate::lifecycle::live_config::{ConfigError, LiveConfig};
use crate::lifecycle::startup::{Overrides, StartupConfig, StartupError};
use alderway_control_plane::messages::ApplyOutcome;
use alderway_telemetry::clock::Clock;
use serde_json::Value;
use std::path::Path;

/// The configuration that a subscribed router starts with: the configuration file, with the settings of the persisted
/// version instead of its own if there is a version that this program accepts. `router_count` is the number of
/// programs that share the quotas, if it overrides that of the settings.
///
/// # Errors
/// The configuration file cannot be used.
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

/// The persisted version, and the configuration for a start with it; none where no version is persisted.
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

/// Returns a function that applies versions to a running router. A version that changes only what can change while
/// the router serves is in force once all serving cores have applied it.
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
