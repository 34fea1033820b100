//! Applies new settings to a running router. The settings come from the configuration file at SIGHUP or from
//! a control server. [`LiveConfig::apply`] checks the settings like those of a starting router, and either
//! rejects or applies all of them. Each core, a thread that serves client connections, applies the settings
//! between two policy rounds; a round is one call of the policy.
use super::startup::ProgramRole;
use crate::state::query_classes::ConfigGeneration;
use crate::state::shared::SharedState;
use alderway_deployment::{ChangedKeys, Settings, changes};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// How long [`LiveConfig::apply`] waits for the serving cores to apply new settings.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which [`LiveConfig::apply`] checks whether a core that has not yet applied the settings still
/// serves.
const SERVING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why new settings cannot be applied. The current settings stay in force, without any change.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A starting router would also reject the settings.
    #[error("key `settings`: expected {0}")]
    Invalid(String),
    /// These keys differ from the settings in force, and can only change with a restart.
    #[error("`{}` can't change while serving: a restart is required", .0.join("`, `"))]
    RestartRequired(Vec<String>),
}

/// The result of [`check`]: valid settings, and their differences from the settings in force.
#[derive(Clone, Debug)]
pub struct CheckedSettings {
    /// The parsed settings.
    pub settings: Settings,
    /// Keys that differ from the settings in force; empty if [`check`] was called without settings in force.
    pub changed_keys: Vec<&'static str>,
}

/// The result of applying new settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The new settings are in force, and every serving core has applied them or was given `APPLY_TIMEOUT`
    /// to do so. A core that hangs, has failed, is starting or is late applies the settings before its next
    /// request and its next call of the policy.
    Changed,
    /// The new settings are equal to the settings in force.
    Unchanged,
}

/// Checks settings like those of a starting router. If `in_force` is given, also checks that a running router
/// can change from `in_force` to the new settings.
///
/// # Errors
/// A key is invalid, or a key differs from `in_force` and can only change with a restart.
pub fn check(settings: &Value, in_force: Option<&Value>) -> Result<CheckedSettings, ConfigError> {
    let parsed = Settings::read(settings).map_err(|error| ConfigError::Invalid(error.to_string()))?;
    let changed = in_force.map_or(ChangedKeys::default(), |in_force| changes(in_force, settings));
    if !changed.restart.is_empty() {
        return Err(ConfigError::RestartRequired(changed.restart.into_iter().map(str::to_string).collect()));
    }
    Ok(CheckedSettings { settings: parsed, changed_keys: changed.live })
}

/// A function that increments the counter with this name in `/counters`.
pub type IncrementCounter = Box<dyn Fn(&'static str)>;
/// A function that returns whether the core with this number serves clients. [`LiveConfig::apply`] does not
/// wait for a core for which the function returns false.
pub type IsServing = Box<dyn Fn(usize) -> bool>;

struct Inner {
    shared: Arc<SharedState>,
    role: ProgramRole,
    /// Upper limit of the query deadlines in new settings, in seconds; `None` if there is no limit.
    max_deadline_limit_s: Option<f64>,
    in_force: RefCell<Arc<Value>>,
    updates: watch::Sender<Arc<ConfigGeneration>>,
    /// The longest query deadline of all settings that were in force since the program started, in seconds.
    max_deadline_s: Cell<f64>,
    increment_counter: RefCell<Option<IncrementCounter>>,
    is_serving: RefCell<Option<IsServing>>,
}

/// The settings in force in a running router. All clones share one state. With several cores, only the
/// supervising thread, which serves no clients, uses the clones.
#[derive(Clone)]
pub struct LiveConfig(Rc<Inner>);

impl LiveConfig {
    /// Creates the live configuration of a router that starts with `settings`, which were parsed from
    /// `settings_json`. Later settings are rejected if a query deadline is longer than
    /// `max_deadline_limit_s`, in seconds; `None` means no limit.
    pub fn new(
        shared: Arc<SharedState>,
        role: ProgramRole,
        settings_json: Value,
        settings: Settings,
        max_deadline_limit_s: Option<f64>,
    ) -> Self {
        LiveConfig(Rc::new(Inner {
            shared,
            role,
            max_deadline_limit_s,
            in_force: RefCell::new(Arc::new(settings_json)),
            max_deadline_s: Cell::new(settings.admission.max_deadline_s),
            updates: watch::channel(Arc::new(ConfigGeneration { serial: 0, settings })).0,
            increment_counter: RefCell::new(None),
            is_serving: RefCell::new(None),
        }))
    }

    /// Sets the function that increments a counter of the program, and the function that returns whether a
    /// core serves. If `is_serving` is `None`, every core counts as serving.
    pub fn set_callbacks(&self, increment_counter: IncrementCounter, is_serving: Option<IsServing>) {
        *self.0.increment_counter.borrow_mut() = Some(increment_counter);
        *self.0.is_serving.borrow_mut() = is_serving;
    }

    /// Returns a receiver of the newest settings, for the dispatcher of one core.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigGeneration>> {
        self.0.updates.subscribe()
    }

    /// The JSON value of the settings in force.
    pub fn settings_in_force(&self) -> Arc<Value> {
        self.0.in_force.borrow().clone()
    }

    /// The number that the control servers have given the version of the settings in force; `None` if the
    /// settings come from the configuration file.
    pub fn version(&self) -> Option<u64> {
        Some(self.0.shared.config_version.load(Relaxed)).filter(|version| *version > 0)
    }

    /// The longest deadline that an open query can have, in seconds, including queries opened under earlier
    /// settings.
    pub fn max_deadline_s(&self) -> f64 {
        self.0.max_deadline_s.get()
    }

    /// Adds 1 to the counter of rejected settings. [`LiveConfig::apply`] counts its own rejections; a reload
    /// calls this function if the settings could not even be parsed.
    pub fn count_rejected_settings(&self) {
        self.count("settings_refused");
    }

    /// Checks and applies new settings; `version` is `None` for settings from the configuration file. Returns
    /// once every serving core has applied the settings, which each core does before its next call of the
    /// policy. If a core has not applied them after `APPLY_TIMEOUT`, the result is the same: the core
    /// applies the settings later, and the log names the core. A second call may start before the first
    /// returns. A core may then apply only the newer settings, and the first call also returns
    /// [`ApplyResult::Changed`] once the cores have applied these.
    ///
    /// # Errors
    /// The settings cannot be applied. The current settings stay in force, and the rejection is logged and
    /// counted.
    pub async fn apply(&self, settings: Value, version: Option<u64>) -> Result<ApplyResult, ConfigError> {
        let name = version.map_or("settings of the configuration file".to_string(), |version| {
            format!("settings version {version}")
        });
        let checked =
            self.check_against_in_force(&settings).inspect_err(|error| self.log_rejected(&name, error))?;
        self.0.shared.config_version.store(version.unwrap_or(0), Relaxed);
        *self.0.in_force.borrow_mut() = Arc::new(settings);
        if checked.changed_keys.is_empty() {
            tracing::info!(target: "settings", "{name}: nothing changed, as they are equal to the settings in force");
            return Ok(ApplyResult::Unchanged);
        }
        let serial = self.publish(checked.settings);
        let late_cores = self.wait_until_applied(serial).await;
        self.count("settings_taken");
        log_applied(&name, &checked.changed_keys, &late_cores);
        Ok(ApplyResult::Changed)
    }

    fn check_against_in_force(&self, settings: &Value) -> Result<CheckedSettings, ConfigError> {
        if self.0.role != ProgramRole::Router {
            // Forwarders and planners divide limits of the settings by a number computed from the count of
            // all forwarders or planners. That count is only configured at the start. A forwarder is a router
            // whose decisions are made by planners.
            return Err(ConfigError::RestartRequired(vec!["settings".into()]));
        }
        let checked = check(settings, Some(&self.settings_in_force()))?;
        let max_deadline_s = checked.settings.admission.max_deadline_s;
        if self.0.max_deadline_limit_s.is_some_and(|limit_s| max_deadline_s > limit_s) {
            return Err(ConfigError::RestartRequired(vec!["Services[].DeadlineUs".into()]));
        }
        Ok(checked)
    }

    /// Publishes settings to all cores. Returns the serial number that a core reports once the core has
    /// applied the settings.
    fn publish(&self, settings: Settings) -> u64 {
        let longest_s = self.0.max_deadline_s.get().max(settings.admission.max_deadline_s);
        self.0.max_deadline_s.set(longest_s);
        let serial = self.0.updates.borrow().serial + 1;
        self.0.updates.send_replace(Arc::new(ConfigGeneration { serial, settings }));
        serial
    }

    /// Waits until the cores have applied the settings with this serial number. Returns the numbers of the
    /// cores that have not applied these settings, because the core does not serve or `APPLY_TIMEOUT` has
    /// passed.
    async fn wait_until_applied(&self, serial: u64) -> Vec<usize> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        let mut late_cores = vec![];
        for (core, state) in self.0.shared.cores.iter().enumerate() {
            let mut applied_serial = state.config_serial.subscribe();
            while timeout(SERVING_CHECK_INTERVAL, applied_serial.wait_for(|applied| *applied >= serial))
                .await
                .is_err()
            {
                if !self.is_serving(core) || Instant::now() >= deadline {
                    late_cores.push(core);
                    break;
                }
            }
        }
        // Lets the other tasks of this thread run, even if the caller applies settings in a loop.
        sleep(Duration::ZERO).await;
        late_cores
    }

    fn is_serving(&self, core: usize) -> bool {
        self.0.is_serving.borrow().as_ref().is_none_or(|is_serving| is_serving(core))
    }

    fn count(&self, counter: &'static str) {
        if let Some(increment) = &*self.0.increment_counter.borrow() {
            increment(counter);
        }
    }

    fn log_rejected(&self, name: &str, error: &ConfigError) {
        self.count_rejected_settings();
        tracing::warn!(target: "settings", "refused: {name}: {error}; the current settings stay in force");
    }
}

fn log_applied(name: &str, changed_keys: &[&str], late_cores: &[usize]) {
    let keys = changed_keys.join("`, `");
    let late = if late_cores.is_empty() {
        String::new()
    } else {
        format!("; cores {late_cores:?} do not serve, and apply the settings when they do")
    };
    tracing::info!(target: "settings", "{name}: in force, `{keys}` changed{late}");
}
