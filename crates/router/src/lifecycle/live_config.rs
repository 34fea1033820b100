//! Settings that change while the router serves. They come from the configuration file at SIGHUP or from the control
//! plane, and go through [`LiveConfig::apply`]: they are checked as at a start, and are either rejected completely or
//! applied completely, by every core between two policy rounds.
use super::startup::ProgramRole;
use crate::state::query_classes::ConfigGeneration;
use crate::state::shared::SharedState;
use alderway_deployment::{Changes, Settings, changes};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// How long [`LiveConfig::apply`] waits for a serving core that does not apply new settings.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// How often [`LiveConfig::apply`] checks whether a core that it waits for still serves.
const SERVING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why settings cannot be applied. None of them is applied, and the settings in force stay.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The settings would also be rejected at a start.
    #[error("key `settings`: expected {0}")]
    Invalid(String),
    /// These keys differ, and can only change with a restart.
    #[error("`{}` can't change while serving: a restart is required", .0.join("`, `"))]
    RestartRequired(Vec<String>),
}

/// Settings that passed the checks.
#[derive(Clone, Debug)]
pub struct CheckedSettings {
    /// The settings as read.
    pub settings: Settings,
    /// Keys that differ from the settings in force.
    pub changed_keys: Vec<&'static str>,
}

/// The result of applying settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// Every serving core has applied the settings. A core that hangs, has failed or is starting applies them before
    /// the next request that it reads and the next policy round that it runs.
    Changed,
    /// The settings equal those in force.
    Unchanged,
}

/// Checks settings as at a start. Given the settings in force, also checks whether a running router can change to the
/// new ones.
///
/// # Errors
/// A key is invalid, or differs and can only change with a restart.
pub fn check(settings: &Value, in_force: Option<&Value>) -> Result<CheckedSettings, ConfigError> {
    let parsed = Settings::read(settings).map_err(|error| ConfigError::Invalid(error.to_string()))?;
    let changed = in_force.map_or(Changes::default(), |in_force| changes(in_force, settings));
    if !changed.restart.is_empty() {
        return Err(ConfigError::RestartRequired(changed.restart.into_iter().map(str::to_string).collect()));
    }
    Ok(CheckedSettings { settings: parsed, changed_keys: changed.live })
}

/// Increments a counter of this program by its name.
pub type IncrementCounter = Box<dyn Fn(&'static str)>;
/// Whether a core serves; the others are not waited for.
pub type IsServing = Box<dyn Fn(usize) -> bool>;

struct Inner {
    shared: Arc<SharedState>,
    role: ProgramRole,
    /// Upper limit of the deadline of a query class, in seconds; none where there is no limit.
    max_deadline_limit_s: Option<f64>,
    in_force: RefCell<Arc<Value>>,
    updates: watch::Sender<Arc<ConfigGeneration>>,
    /// The longest deadline of all settings that were in force since the start, in seconds.
    max_deadline_s: Cell<f64>,
    increment_counter: RefCell<Option<IncrementCounter>>,
    is_serving: RefCell<Option<IsServing>>,
}

/// The settings in force in the running router; on several cores, the supervising thread holds them. Clones share one
/// state.
#[derive(Clone)]
pub struct LiveConfig(Rc<Inner>);

impl LiveConfig {
    /// For a router that starts with `settings`, which were read from `settings_json`. Later settings are rejected if
    /// they have a deadline longer than `max_deadline_limit_s`, in seconds, if there is a limit.
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

    /// Sets the function that increments counters, and the one that says which cores serve; without the latter, all
    /// serve.
    pub fn set_callbacks(&self, increment_counter: IncrementCounter, is_serving: Option<IsServing>) {
        *self.0.increment_counter.borrow_mut() = Some(increment_counter);
        *self.0.is_serving.borrow_mut() = is_serving;
    }

    /// The newest settings, for a core's dispatcher.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigGeneration>> {
        self.0.updates.subscribe()
    }

    /// The settings in force as JSON.
    pub fn settings_in_force(&self) -> Arc<Value> {
        self.0.in_force.borrow().clone()
    }

    /// The version of the settings in force, if they have one.
    pub fn version(&self) -> Option<u64> {
        Some(self.0.shared.config_version.load(Relaxed)).filter(|version| *version > 0)
    }

    /// The longest deadline of any query that may be open, in seconds.
    pub fn max_deadline_s(&self) -> f64 {
        self.0.max_deadline_s.get()
    }

    /// Counts settings that were rejected while reading the configuration file.
    pub fn count_rejected_settings(&self) {
        self.count("settings_refused");
    }

    /// Applies settings, with their version if they have one. Returns once every serving core has applied them, which
    /// takes one policy round; a core that does not serve is not waited for. A later call does not wait for an
    /// earlier one: the newest settings are in force, and the earlier call returns once they are applied.
    ///
    /// # Errors
    /// The settings cannot be applied; those in force stay, and the rejection is logged and counted.
    pub async fn apply(&self, settings: Value, version: Option<u64>) -> Result<ApplyResult, ConfigError> {
        let name = version.map_or("settings".to_string(), |version| format!("version {version}"));
        let checked =
            self.check_against_in_force(&settings).inspect_err(|error| self.log_rejected(&name, error))?;
        self.0.shared.config_version.store(version.unwrap_or(0), Relaxed);
        *self.0.in_force.borrow_mut() = Arc::new(settings);
        if checked.changed_keys.is_empty() {
            tracing::info!(target: "settings", "{name}: no change, equal to the settings in force");
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
            // Forwarders and planners divide the quotas by numbers that a single program does not know.
            return Err(ConfigError::RestartRequired(vec!["settings".into()]));
        }
        let checked = check(settings, Some(&self.settings_in_force()))?;
        let max_deadline_s = checked.settings.admission.max_deadline_s;
        if self.0.max_deadline_limit_s.is_some_and(|limit_s| max_deadline_s > limit_s) {
            return Err(ConfigError::RestartRequired(vec!["Services[].DeadlineUs".into()]));
        }
        Ok(checked)
    }

    /// Publishes settings to every core. Returns the serial that a core reports once it has applied them.
    fn publish(&self, settings: Settings) -> u64 {
        let longest_s = self.0.max_deadline_s.get().max(settings.admission.max_deadline_s);
        self.0.max_deadline_s.set(longest_s);
        let serial = self.0.updates.borrow().serial + 1;
        self.0.updates.send_replace(Arc::new(ConfigGeneration { serial, settings }));
        serial
    }

    /// Waits until the cores have applied the settings. Returns the cores that have not, because they do not serve or
    /// took longer than [`APPLY_TIMEOUT`].
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
        // Guards against a caller that applies settings in a loop and never lets other tasks of this thread run.
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
        tracing::warn!(target: "settings", "refused: {name}: {error}; the settings in force stay");
    }
}

fn log_applied(name: &str, changed_keys: &[&str], late_cores: &[usize]) {
    let keys = changed_keys.join("`, `");
    let late = if late_cores.is_empty() {
        String::new()
    } else {
        format!("; cores {late_cores:?} do not serve, and apply it when they do")
    };
    tracing::info!(target: "settings", "{name}: in force, `{keys}` changed{late}");
}
