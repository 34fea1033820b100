//! A control machine as a program: one thread that feeds the machine ticks, words and proposals, and carries out what
//! comes of each. The disk is written in between, on the same thread: nothing else goes on until it is synced.
use crate::links::{self, Posts};
use crate::store::Disk;
use crate::{door, store};
use alderway_control_plane::replica::{ClientId, ProposalOutcome, Replica, ReplicaName, TICK_S};
use alderway_control_plane::version::{Proposal, VersionNumber};
use alderway_control_plane::version_sink::{RouterSummary, VersionSink};
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
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
pub type Check = Box<dyn Fn(&Value, Option<&Value>) -> Result<(), String>>;

/// Makes the place that committed versions go to, on the machine's own thread.
pub type MakeOutlet = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = io::Result<Box<dyn VersionSink>>>>>>;

/// What a control machine runs by.
pub struct Plan {
    pub name: ReplicaName,
    /// All machines, this one among them: where each hears the others, and operators.
    pub members: BTreeMap<ReplicaName, SocketAddr>,
    pub doors: BTreeMap<ReplicaName, SocketAddr>,
    pub data: PathBuf,
    pub check: Check,
    pub outlet: MakeOutlet,
}

/// Another machine's word on its routers.
pub struct Told {
    pub question: u64,
    pub from: ReplicaName,
    pub version: VersionNumber,
    pub out: Option<String>,
    pub summary: RouterSummary,
}

/// What all tasks share.
pub struct Controller {
    pub machine: Replica,
    pub posts: Posts,
    pub outlet: Box<dyn VersionSink>,
    pub check: Check,
    pub doors: BTreeMap<ReplicaName, SocketAddr>,
    disk: Disk,
    clock: Clock,
    waiting: BTreeMap<ClientId, oneshot::Sender<ProposalOutcome>>,
    /// Those who ask all machines for their summaries.
    pub asking: BTreeMap<u64, mpsc::UnboundedSender<Told>>,
    count: u64,
}

pub type Held = Rc<RefCell<Controller>>;

impl Controller {
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
        let output = self.machine.advance(&mut self.disk, now);
        for event in output.events {
            tracing::info!(target: "control", "{event}");
        }
        for version in output.committed {
            tracing::info!(target: "control", "version {} by {}: {}", version.number, version.author, version.reason);
            self.outlet.committed(&version);
        }
        for (to, word) in output.messages {
            if !self.posts.put(&to, &word) {
                self.machine.report_unreachable(&to);
            }
        }
        for (asker, answer) in output.outcomes {
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
        let (age, majority) = (self.machine.staleness_s(now), self.machine.has_quorum(now));
        self.outlet.freshness(age, majority);
    }

    /// The answer comes within `wait` seconds and a tick.
    pub fn propose(
        &mut self,
        proposal: &Proposal,
        wait: f64,
    ) -> (ClientId, oneshot::Receiver<ProposalOutcome>) {
        let (asker, now) = (self.count(), self.now());
        let Proposal { id, author, base, .. } = proposal;
        tracing::info!(target: "proposal", "{id} by {author} on version {base}");
        let (sender, answer) = oneshot::channel();
        self.waiting.insert(asker, sender);
        self.machine.propose(asker, proposal, wait, now);
        self.run();
        (asker, answer)
    }

    pub fn forget(&mut self, asker: ClientId) {
        self.waiting.remove(&asker);
        self.machine.forget_client(asker);
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
pub fn run(plan: Plan) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(plan))
}

async fn serve(plan: Plan) -> io::Result<()> {
    let (disk, found) = store::Disk::open(&plan.data).map_err(io::Error::other)?;
    let names = plan.members.keys().cloned().collect();
    let machine = Replica::new(&plan.name, &names, &found, drawn(), drawn());
    let machine = machine.map_err(|why| {
        io::Error::other(format!(
            "{}: {why}; {}",
            plan.data.display(),
            alderway_control_plane::replica::REPLACE_DISK_ADVICE
        ))
    })?;
    drop(found);
    let at = |all: &BTreeMap<ReplicaName, SocketAddr>| {
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
    let others: BTreeMap<ReplicaName, SocketAddr> = others.map(|(name, at)| (name.clone(), *at)).collect();
    let controller = Controller {
        machine,
        posts: Posts::to(others.keys()),
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
    links::start(&held, heard, &others, drawn());
    spawn_local(door::accept(held.clone(), door));
    let (mut terms, mut interrupts) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGINT)?);
    let mut ticks = interval(Duration::from_secs_f64(TICK_S));
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
