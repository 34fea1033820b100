//! Settings that change while the router serves: one path for all that bring them, be it a file at SIGHUP or whoever
//! keeps many routers alike. They are checked as at a start, refused as a whole or taken over as a whole, by every core
//! between two of its rounds.
use super::start::Role;
use crate::io::core::BEAT;
use crate::state::query_classes::ConfigGeneration;
use crate::state::shared::SharedState;
use alderway_deployment::{Changes, Settings, changes};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// How long an offer waits for a core that seems to serve.
const PATIENCE: Duration = Duration::from_secs(5);

/// Settings that may be taken over.
#[derive(Clone, Debug)]
pub struct Checked {
    pub settings: Settings,
    /// Keys that differ from what is held.
    pub changed: Vec<&'static str>,
}

/// Why not.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Faulty(String),
    /// Keys that hold from the start to the end.
    Waits(Vec<String>),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Faulty(why) => out.write_str(why),
            Fault::Waits(keys) => {
                let keys = keys.join("`, `");
                write!(out, "`{keys}` can't change while serving: that waits for a start")
            }
        }
    }
}

/// The checks of a start; with settings that are held, also whether these could follow them in a running router. One line
/// that names the key.
pub fn check(settings: &Value, held: Option<&Value>) -> Result<Checked, String> {
    examine(settings, held).map_err(|fault| fault.to_string())
}

fn examine(settings: &Value, held: Option<&Value>) -> Result<Checked, Fault> {
    let read = Settings::read(settings);
    let read = read.map_err(|why| Fault::Faulty(format!("key `settings`: expected {why}")))?;
    let Changes { live, restart } = held.map_or(Changes::default(), |held| changes(held, settings));
    if !restart.is_empty() {
        return Err(Fault::Waits(restart.into_iter().map(str::to_string).collect()));
    }
    Ok(Checked { settings: read, changed: live })
}

/// What became of an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Every core that serves has taken them over. One that hangs, failed or starts takes them over before the first
    /// request that it reads and the first round that it plays.
    InForce,
    /// They say what is held already.
    Unchanged,
    /// Faulty; what is held holds.
    Refused(String),
    /// These keys differ and hold from the start to the end; nothing of the offer is taken over.
    Waits(Vec<String>),
}

/// Whoever counts for this program.
pub type Count = Box<dyn Fn(&'static str)>;
/// Whether a core that has not taken an offer over yet is worth waiting for.
pub type Serves = Box<dyn Fn(usize) -> bool>;

struct Inner {
    shared: Arc<SharedState>,
    role: Role,
    /// Where a deadline must not grow past the longest at the start.
    longest: Option<f64>,
    held: RefCell<Arc<Value>>,
    serial: Cell<u64>,
    news: watch::Sender<Arc<ConfigGeneration>>,
    /// The longest deadline of all settings so far.
    deadline: Cell<f64>,
    count: RefCell<Option<Count>>,
    serves: RefCell<Option<Serves>>,
}

/// The running router, as whoever brings settings sees it; on several cores its lead.
#[derive(Clone)]
pub struct Live(Rc<Inner>);

impl Live {
    /// For a router that starts with these settings, `began` read from them. `longest`: of any deadline, ever.
    pub fn new(
        shared: Arc<SharedState>,
        role: Role,
        held: Value,
        began: Settings,
        longest: Option<f64>,
    ) -> Self {
        let deadline = Cell::new(began.admission.max_deadline_s);
        let news = watch::channel(Arc::new(ConfigGeneration { serial: 0, settings: began })).0;
        let (held, serial, count, serves) = (RefCell::new(Arc::new(held)), Cell::new(0), None, None);
        let (count, serves) = (RefCell::new(count), RefCell::new(serves));
        Live(Rc::new(Inner { shared, role, longest, held, serial, news, deadline, count, serves }))
    }

    /// Who counts, and which cores serve; without a word all do.
    pub fn attach(&self, count: Count, serves: Option<Serves>) {
        *self.0.count.borrow_mut() = Some(count);
        *self.0.serves.borrow_mut() = serves;
    }

    /// The newest settings, for a core's dispatcher.
    pub fn news(&self) -> watch::Receiver<Arc<ConfigGeneration>> {
        self.0.news.subscribe()
    }

    /// Settings as they were last taken over.
    pub fn held(&self) -> Arc<Value> {
        self.0.held.borrow().clone()
    }

    /// The number of the version in force, if what is in force came with one.
    pub fn number(&self) -> Option<u64> {
        Some(self.0.shared.config_version.load(Relaxed)).filter(|number| *number > 0)
    }

    /// The longest deadline of any query that may be open.
    pub fn longest_deadline(&self) -> f64 {
        self.0.deadline.get()
    }

    fn counts(&self, what: &'static str) {
        self.0.count.borrow().iter().for_each(|count| count(what));
    }

    /// A file's settings were so faulty that they could not be offered, which was said.
    pub fn count_refused(&self) {
        self.counts("settings_refused");
    }

    fn refuse(&self, why: &str) {
        self.count_refused();
        tracing::warn!(target: "settings", "refused: {why}; the settings in force hold");
    }

    fn examined(&self, settings: &Value) -> Result<Checked, Fault> {
        if self.0.role != Role::Router {
            // Two levels share what is stated for all of them, by figures that this one program does not know.
            return Err(Fault::Waits(vec!["settings".into()]));
        }
        let checked = examine(settings, Some(&self.held()))?;
        if self.0.longest.is_some_and(|longest| checked.settings.admission.max_deadline_s > longest) {
            return Err(Fault::Waits(vec!["Services[].DeadlineUs".into()]));
        }
        Ok(checked)
    }

    /// Settings that are to hold from here on, under the number of their version if they have one. Answered once every
    /// core that serves has taken them over, which is within a round; a core that does not serve is not waited for. A
    /// later offer does not wait for an earlier one: the newest holds, and the earlier is answered with it.
    pub async fn offer(&self, settings: Value, number: Option<u64>) -> Outcome {
        let name = number.map_or("settings".to_string(), |number| format!("version {number}"));
        let checked = match self.examined(&settings) {
            Ok(checked) => checked,
            Err(fault) => {
                self.refuse(&format!("{name}: {fault}"));
                return match fault {
                    Fault::Faulty(why) => Outcome::Refused(why),
                    Fault::Waits(keys) => Outcome::Waits(keys),
                };
            }
        };
        self.0.shared.config_version.store(number.unwrap_or(0), Relaxed);
        *self.0.held.borrow_mut() = Arc::new(settings);
        if checked.changed.is_empty() {
            tracing::info!(target: "settings", "{name}: as those in force");
            return Outcome::Unchanged;
        }
        let serial = self.0.serial.get() + 1;
        self.0.serial.set(serial);
        self.0.deadline.set(self.0.deadline.get().max(checked.settings.admission.max_deadline_s));
        self.0.news.send_replace(Arc::new(ConfigGeneration { serial, settings: checked.settings }));
        let late = self.taken_over(serial).await;
        self.counts("settings_taken");
        let keys = checked.changed.join("`, `");
        let late = if late.is_empty() {
            String::new()
        } else {
            format!("; cores {late:?} do not serve, and take it over when they do")
        };
        tracing::info!(target: "settings", "{name}: in force, `{keys}` changed{late}");
        Outcome::InForce
    }

    /// Waits until the cores have it; those that did not while nobody could expect them to.
    async fn taken_over(&self, serial: u64) -> Vec<usize> {
        let (end, mut late) = (Instant::now() + PATIENCE, vec![]);
        for (core, core_state) in self.0.shared.cores.iter().enumerate() {
            let mut taken = core_state.config_serial.subscribe();
            loop {
                if timeout(BEAT, taken.wait_for(|taken| *taken >= serial)).await.is_ok() {
                    break;
                }
                let serves = self.0.serves.borrow().as_ref().is_none_or(|serves| serves(core));
                if !serves || Instant::now() >= end {
                    late.push(core);
                    break;
                }
            }
        }
        // Guards against a driver that offers without end and leaves the core no time for anything else.
        sleep(Duration::ZERO).await;
        late
    }
}
