//! A control machine as a program: one thread that feeds the machine ticks, words and proposals, and carries out what
//! comes of each. The disk is written in between, on the same thread: nothing else goes on until it is synced.
use crate::log_store::LogStore;
use crate::replica_links::{self, Outboxes};
use crate::{admin, log_store};
use alderway_control::machine::{Answer, Asker, Machine, Name, TICK};
use alderway_control::outlet::{Outlet, Summary};
use alderway_control::version::{Number, Proposal};
use alderway_router::memory::clock::Clock;
use alderway_sockets::signals::Signals;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

/// Whether settings are sound, and can come after those before them; else one line.
pub type SettingsCheck = Box<dyn Fn(&Value, Option<&Value>) -> Result<(), String>>;

/// Makes the place that committed versions go to, on the machine's own thread.
pub type OutletFactory = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = io::Result<Box<dyn Outlet>>>>>>;

/// What a control machine runs by.
pub struct ServerConfig {
    pub name: Name,
    /// All machines, this one among them: where each hears the others, and operators.
    pub members: BTreeMap<Name, SocketAddr>,
    pub doors: BTreeMap<Name, SocketAddr>,
    pub data: PathBuf,
    pub check: SettingsCheck,
    pub outlet: OutletFactory,
}

/// Another machine's word on its routers.
pub struct RouterSummaryReply {
    pub question: u64,
    pub from: Name,
    pub version: Number,
    pub out: Option<String>,
    pub summary: Summary,
}

/// What all tasks share.
pub struct ServerState {
    pub machine: Machine,
    pub posts: Outboxes,
    pub outlet: Box<dyn Outlet>,
    pub check: SettingsCheck,
    pub doors: BTreeMap<Name, SocketAddr>,
    disk: LogStore,
    clock: Clock,
    waiting: BTreeMap<Asker, oneshot::Sender<Answer>>,
    /// Those who ask all machines for their summaries.
    pub asking: BTreeMap<u64, mpsc::UnboundedSender<RouterSummaryReply>>,
    count: u64,
}

pub type SharedServer = Rc<RefCell<ServerState>>;

impl ServerState {
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// A number that is used once.
    pub fn count(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// Writes what has to be kept, and carries out what comes of it.
    pub fn run(&mut self) {
        let now = self.now();
        let output = self.machine.run(&mut self.disk, now);
        for line in output.said {
            tracing::info!(target: "control", "{line}");
        }
        for version in output.committed {
            tracing::info!(target: "control", "version {} by {}: {}", version.number, version.author, version.why);
            self.outlet.committed(&version);
        }
        for (to, word) in output.send {
            if !self.posts.put(&to, &word) {
                self.machine.unreachable(&to);
            }
        }
        for (asker, answer) in output.answers {
            if let Some(waiting) = self.waiting.remove(&asker) {
                // One that has gone needs no answer.
                let _ = waiting.send(answer);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.machine.tick(now);
        self.run();
        let (age, majority) = (self.machine.age(now), self.machine.majority(now));
        self.outlet.as_of(age, majority);
    }

    /// The answer comes within `wait` seconds and a tick.
    pub fn propose(&mut self, proposal: &Proposal, wait: f64) -> (Asker, oneshot::Receiver<Answer>) {
        let (asker, now) = (self.count(), self.now());
        let Proposal { id, author, base, .. } = proposal;
        tracing::info!(target: "proposal", "{id} by {author} on version {base}");
        let (sender, answer) = oneshot::channel();
        self.waiting.insert(asker, sender);
        self.machine.propose(asker, proposal, wait, now);
        self.run();
        (asker, answer)
    }

    pub fn forget(&mut self, asker: Asker) {
        self.waiting.remove(&asker);
        self.machine.forget(asker);
    }
}

/// Drawn by the system; the time and the process stand in where it has nothing to draw from.
fn drawn() -> u64 {
    let mut bytes = [0; 8];
    let read =
        std::fs::File::open("/dev/urandom").and_then(|mut file| io::Read::read_exact(&mut file, &mut bytes));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    match read {
        Ok(()) => u64::from_ne_bytes(bytes),
        Err(_) => now.rotate_left(20) ^ u64::from(std::process::id()),
    }
}

/// Runs until SIGTERM or SIGINT.
pub fn run(plan: ServerConfig) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(plan))
}

async fn serve(plan: ServerConfig) -> io::Result<()> {
    let (disk, found) = log_store::LogStore::open(&plan.data).map_err(io::Error::other)?;
    let names = plan.members.keys().cloned().collect();
    let machine = Machine::new(&plan.name, &names, &found, drawn(), drawn());
    let machine = machine.map_err(|why| {
        io::Error::other(format!("{}: {why}; {}", plan.data.display(), alderway_control::machine::REPLACE))
    })?;
    drop(found);
    let at = |all: &BTreeMap<Name, SocketAddr>| {
        all.get(&plan.name).copied().ok_or_else(|| io::Error::other("not of the members"))
    };
    let bind = async |what: &str, at: SocketAddr| {
        let listener = TcpListener::bind(at).await;
        listener.map_err(|why| io::Error::other(format!("{what} at {at}: {why}")))
    };
    let heard = bind("members", at(&plan.members)?).await?;
    let door = bind("operators", at(&plan.doors)?).await?;
    tracing::info!(target: "start", "{} hears members at {}", plan.name, heard.local_addr()?);
    tracing::info!(target: "start", "{} hears operators at {}", plan.name, door.local_addr()?);
    let others = plan.members.iter().filter(|(name, _)| **name != plan.name);
    let others: BTreeMap<Name, SocketAddr> = others.map(|(name, at)| (name.clone(), *at)).collect();
    let controller = ServerState {
        machine,
        posts: Outboxes::to(others.keys()),
        outlet: (plan.outlet)().await?,
        check: plan.check,
        doors: plan.doors,
        disk,
        clock: Clock::default(),
        waiting: BTreeMap::new(),
        asking: BTreeMap::new(),
        count: 0,
    };
    let held = Rc::new(RefCell::new(controller));
    held.borrow_mut().run();
    replica_links::start(&held, heard, &others, drawn());
    spawn_local(admin::accept(held.clone(), door));
    let (mut terms, mut interrupts) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGINT)?);
    let mut ticks = interval(Duration::from_secs_f64(TICK));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => held.borrow_mut().tick(),
            _ = terms.recv() => break,
            _ = interrupts.recv() => break,
        }
    }
    tracing::info!(target: "stop", "{} ends", plan.name);
    Ok(())
}
