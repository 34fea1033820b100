//! Reads the configuration file again at SIGHUP, and applies the changes that do not need a restart. A file
//! that is missing, incomplete or invalid changes nothing. The operator's file, a second file that describes
//! the deployment, is only checked for changes.
use super::live_config::LiveConfig;
use super::startup::{OperatorFileChangeCheck, Overrides, RestartOnlyKeys, StartupConfig, StartupError};
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::sync::watch;

/// The values of the configuration that later reloads are compared with.
pub struct PreviousConfig {
    /// The path of the configuration file.
    pub path: PathBuf,
    /// Checks whether a value of the operator's file has changed that needs a restart; `None` if the program
    /// was started without an operator's file.
    pub operator_file_check: Option<OperatorFileChangeCheck>,
    /// The values of the keys `name`, `listen`, `limits` and `settings` for the comparison with the file at
    /// the next reload. The first three never change without a restart, so their values are those at the
    /// start. The value of `settings` is replaced each time a reload applies new settings from the file.
    pub restart_only_keys: RestartOnlyKeys,
}

/// Why a reload changed nothing.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] StartupError),
    /// The operator's file cannot be used; the text names the path and the line.
    #[error("{0}")]
    OperatorFile(String),
}

/// Reads the configuration file again at each SIGHUP, for as long as the program runs. Sends the address of
/// the discovery server to `discovery`. If `live_config` is `Some`, applies the file's settings to it, but
/// only if the settings have changed in the file since the last reload that applied settings: a reload for
/// another reason must not undo settings from another source.
pub async fn reload_at_sighup(
    mut hangups: Signals,
    mut previous: PreviousConfig,
    discovery: watch::Sender<SocketAddr>,
    clock: Clock,
    live_config: Option<LiveConfig>,
) {
    loop {
        hangups.recv().await;
        match previous.read_again(clock) {
            Ok(config) => {
                previous.log_restart_only_changes(&config, live_config.is_some());
                move_discovery(&discovery, config.discovery);
                if let Some(live_config) = &live_config {
                    previous.apply_settings(config.settings_json, live_config).await;
                }
            }
            Err(error) => {
                tracing::warn!(target: "reload", "configuration not changed: {error}; the old configuration holds");
                if let (ReloadError::Config(error), Some(live_config)) = (&error, &live_config)
                    && error.is_settings_error()
                {
                    live_config.count_rejected_settings();
                }
            }
        }
    }
}

impl PreviousConfig {
    /// The values of the configuration with which the program starts.
    pub fn of(config: &StartupConfig) -> Self {
        PreviousConfig {
            path: config.path.clone(),
            operator_file_check: config.operator_file_check.clone(),
            restart_only_keys: config.restart_only_keys.clone(),
        }
    }

    fn read_again(&self, clock: Clock) -> Result<StartupConfig, ReloadError> {
        let operator_file = self.operator_file_check.as_ref().map_or(Ok(false), |check| check());
        let config = StartupConfig::read(&self.path, Overrides::default(), clock)?;
        if operator_file.map_err(ReloadError::OperatorFile)? {
            tracing::warn!(target: "reload", "the operator's file has changed: the change takes effect with a restart");
        }
        Ok(config)
    }

    fn log_restart_only_changes(&self, config: &StartupConfig, can_apply_settings: bool) {
        for ((key, new), (_, previous)) in config.restart_only_keys.iter().zip(&self.restart_only_keys) {
            let is_applied = can_apply_settings && *key == "settings";
            if new != previous && !is_applied {
                tracing::warn!(target: "reload", "configuration key `{key}` has changed: the change takes effect with a restart");
            }
        }
    }

    async fn apply_settings(&mut self, settings: Value, live_config: &LiveConfig) {
        let Some((_, previous)) = self.restart_only_keys.iter_mut().find(|(key, _)| *key == "settings")
        else {
            return;
        };
        if *previous != settings && live_config.apply(settings.clone(), None).await.is_ok() {
            *previous = settings;
        }
    }
}

fn move_discovery(discovery: &watch::Sender<SocketAddr>, address: SocketAddr) {
    let moved = discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
    if moved {
        tracing::info!(target: "reload", "configuration read: discovery moves to {address}");
    } else {
        tracing::info!(target: "reload", "configuration read: discovery stays at {address}");
    }
}
