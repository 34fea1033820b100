//! Settings that change while the router serves. Whoever brings them, a file at SIGHUP or the control plane, brings them to
//! [`LiveConfig::apply`]: they are checked as at a start and rejected as a whole, or applied as a whole, by every core
//! between two of its rounds.
use super::startup::Role;
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

/// How long [`LiveConfig::apply`] waits for a core that serves but does not take new settings over.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// How often it looks whether a core that it waits for still serves.
const SERVING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why settings cannot be applied. Nothing of them is; those in force stay.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// They would be rejected at a start too.
    #[error("key `settings`: expected {0}")]
    Invalid(String),
    /// These keys differ, and only change with a start.
    #[error("`{}` can't change while serving: that waits for a start", .0.join("`, `"))]
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

/// What applying settings came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Every core that serves has taken them over. One that hangs, failed or starts takes them over before the first
    /// request that it reads and the first round that it plays.
    Changed,
    /// They say what is in force already.
    Unchanged,
}

/// Checks settings as a start does; with those in force, also whether a running router could change to them.
///
/// # Errors
/// A key is at fault, or differs and only changes with a start.
pub fn check(settings: &Value, in_force: Option<&Value>) -> Result<CheckedSettings, ConfigError> {
    let parsed = Settings::read(settings).map_err(|error| ConfigError::Invalid(error.to_string()))?;
    let changed = in_force.map_or(ChangedKeys::default(), |in_force| changes(in_force, settings));
    if !changed.restart.is_empty() {
        return Err(ConfigError::RestartRequired(changed.restart.into_iter().map(str::to_string).collect()));
    }
    Ok(CheckedSettings { settings: parsed, changed_keys: changed.live })
}

/// Increments a counter of this program by its name.
pub type IncrementCounter = Box<dyn Fn(&'static str)>;
/// Whether a core serves, so that it is worth waiting for.
pub type IsServing = Box<dyn Fn(usize) -> bool>;

struct Inner {
    shared: Arc<SharedState>,
    role: Role,
    /// No deadline of a query class may be longer, in seconds; none where any may be.
    max_deadline_limit_s: Option<f64>,
    in_force: RefCell<Arc<Value>>,
    updates: watch::Sender<Arc<ConfigGeneration>>,
    /// The longest deadline of all settings so far, in seconds.
    max_deadline_s: Cell<f64>,
    increment_counter: RefCell<Option<IncrementCounter>>,
    is_serving: RefCell<Option<IsServing>>,
}

/// The settings in force in the running router; on several cores the acceptor's core holds it. Copies share one state.
#[derive(Clone)]
pub struct LiveConfig(Rc<Inner>);

impl LiveConfig {
    /// For a router that starts with `settings_json`, which `settings` were read from. No later settings may have a deadline
    /// beyond `max_deadline_limit_s`, in seconds, if there is such a limit.
    pub fn new(
        shared: Arc<SharedState>,
        role: Role,
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

    /// Sets who counts, and which cores serve; without `is_serving` all do.
    pub fn attach(&self, increment_counter: IncrementCounter, is_serving: Option<IsServing>) {
        *self.0.increment_counter.borrow_mut() = Some(increment_counter);
        *self.0.is_serving.borrow_mut() = is_serving;
    }

    /// The newest settings, for a core's dispatcher.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigGeneration>> {
        self.0.updates.subscribe()
    }

    /// The settings in force as JSON.
    pub fn in_force(&self) -> Arc<Value> {
        self.0.in_force.borrow().clone()
    }

    /// The version of the settings in force, if they came with one.
    pub fn version(&self) -> Option<u64> {
        Some(self.0.shared.config_version.load(Relaxed)).filter(|version| *version > 0)
    }

    /// The longest deadline of any query that may be open, in seconds.
    pub fn max_deadline_s(&self) -> f64 {
        self.0.max_deadline_s.get()
    }

    /// Counts settings of a file that were too faulty to be brought here.
    pub fn count_rejected(&self) {
        self.count("settings_refused");
    }

    /// Applies settings, under their version if they have one. Returns once every core that serves has taken them over,
    /// which is within a round; a core that does not serve is not waited for. A later call does not wait for an earlier
    /// one: the newest settings hold, and the earlier call returns with them.
    ///
    /// # Errors
    /// The settings cannot be applied; those in force stay, and the rejection is logged and counted.
    pub async fn apply(&self, settings: Value, version: Option<u64>) -> Result<Applied, ConfigError> {
        let name = version.map_or("settings".to_string(), |version| format!("version {version}"));
        let checked =
            self.check_against_in_force(&settings).inspect_err(|error| self.log_rejected(&name, error))?;
        self.0.shared.config_version.store(version.unwrap_or(0), Relaxed);
        *self.0.in_force.borrow_mut() = Arc::new(settings);
        if checked.changed_keys.is_empty() {
            tracing::info!(target: "settings", "{name}: as those in force");
            return Ok(Applied::Unchanged);
        }
        let serial = self.publish(checked.settings);
        let late_cores = self.wait_until_taken_over(serial).await;
        self.count("settings_taken");
        log_applied(&name, &checked.changed_keys, &late_cores);
        Ok(Applied::Changed)
    }

    fn check_against_in_force(&self, settings: &Value) -> Result<CheckedSettings, ConfigError> {
        if self.0.role != Role::Router {
            // Forwarders and planners share quotas by figures that this one program does not know.
            return Err(ConfigError::RestartRequired(vec!["settings".into()]));
        }
        let checked = check(settings, Some(&self.in_force()))?;
        let max_deadline_s = checked.settings.admission.max_deadline_s;
        if self.0.max_deadline_limit_s.is_some_and(|limit_s| max_deadline_s > limit_s) {
            return Err(ConfigError::RestartRequired(vec!["Services[].DeadlineUs".into()]));
        }
        Ok(checked)
    }

    /// Hands settings to every core; the serial by which a core says that it has taken them over.
    fn publish(&self, settings: Settings) -> u64 {
        let longest_s = self.0.max_deadline_s.get().max(settings.admission.max_deadline_s);
        self.0.max_deadline_s.set(longest_s);
        let serial = self.0.updates.borrow().serial + 1;
        self.0.updates.send_replace(Arc::new(ConfigGeneration { serial, settings }));
        serial
    }

    /// Waits until the cores have taken settings over; returns those that have not and do not serve, or took too long.
    async fn wait_until_taken_over(&self, serial: u64) -> Vec<usize> {
        let end = Instant::now() + APPLY_TIMEOUT;
        let mut late_cores = vec![];
        for (core, state) in self.0.shared.cores.iter().enumerate() {
            let mut taken_over = state.config_serial.subscribe();
            while timeout(SERVING_CHECK_INTERVAL, taken_over.wait_for(|taken| *taken >= serial))
                .await
                .is_err()
            {
                if !self.is_serving(core) || Instant::now() >= end {
                    late_cores.push(core);
                    break;
                }
            }
        }
        // Guards against a caller that applies settings without end and leaves this thread no time for anything else.
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
        self.count_rejected();
        tracing::warn!(target: "settings", "refused: {name}: {error}; the settings in force hold");
    }
}

fn log_applied(name: &str, changed_keys: &[&str], late_cores: &[usize]) {
    let keys = changed_keys.join("`, `");
    let late = if late_cores.is_empty() {
        String::new()
    } else {
        format!("; cores {late_cores:?} do not serve, and take it over when they do")
    };
    tracing::info!(target: "settings", "{name}: in force, `{keys}` changed{late}");
}
