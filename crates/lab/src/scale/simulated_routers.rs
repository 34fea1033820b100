//! Simulated routers for trials of scale: the subscription of a router as it is, state machine and sockets, in front of a
//! router that applies each version at once and only records it. Hundreds of them share a thread.
use alderway_control_plane::messages::ApplyOutcome;
use alderway_control_plane::subscriber::{ControlEndpoint, Subscriber, SubscriptionConfig};
use alderway_control_plane::version::VersionNumber;
use alderway_router::control::{SubscribedRouter, run};
use alderway_telemetry::clock::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{JoinHandle, spawn_local};

/// A control machine, and where it listens for routers.
pub type ControlAddress = (ControlEndpoint, SocketAddr);

/// What one simulated router has done so far.
#[derive(Clone, Debug, Default)]
pub struct RouterState {
    /// Its name in the hello.
    pub name: String,
    /// Versions and when they were applied, in seconds of [`SimulatedRouters::clock`].
    pub applied: Vec<(f64, VersionNumber)>,
    /// Bytes received and sent.
    pub bytes: (u64, u64),
    /// The control machine that it is subscribed at.
    pub control_machine: Option<String>,
    /// For how many seconds its version has not been known to be the latest, if that is known.
    pub staleness_s: Option<f64>,
}

/// Any number of simulated routers on the current thread. Dropping it ends them.
pub struct SimulatedRouters {
    /// The clock of all times recorded.
    pub clock: Clock,
    states: Vec<Rc<RefCell<RouterState>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for SimulatedRouters {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl SimulatedRouters {
    /// Starts `count` routers, spread over `zones` in turn.
    pub fn start(count: usize, machines: &[ControlAddress], zones: &[String], seed: u64) -> Self {
        let mut all = SimulatedRouters { clock: Clock::default(), states: vec![], tasks: vec![] };
        all.grow(count, machines, zones, seed, SubscriptionConfig::default());
        all
    }

    /// Starts `count` more.
    pub fn grow(
        &mut self,
        count: usize,
        machines: &[ControlAddress],
        zones: &[String],
        seed: u64,
        config: SubscriptionConfig,
    ) {
        let first = self.states.len();
        for n in first..first + count {
            let zone = zones.get(n % zones.len().max(1)).map_or("", String::as_str);
            self.start_one(n, machines, zone, seed, config);
        }
    }

    fn start_one(
        &mut self,
        n: usize,
        machines: &[ControlAddress],
        zone: &str,
        seed: u64,
        config: SubscriptionConfig,
    ) {
        let name = format!("router-{n:04}");
        let list = machines.iter().map(|(machine, _)| machine.clone()).collect();
        let own_seed = seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let subscriber = Subscriber::new(config, list, zone, None, own_seed, self.clock.now());
        let state = Rc::new(RefCell::new(RouterState { name: name.clone(), ..RouterState::default() }));
        let host = recording_host(name, machines, self.clock, &state);
        self.states.push(state);
        self.tasks.push(spawn_local(run(subscriber, host)));
    }

    /// What each has done so far.
    pub fn states(&self) -> Vec<RouterState> {
        self.states.iter().map(|state| state.borrow().clone()).collect()
    }

    /// How many have applied this version or a later one.
    pub fn count_with(&self, number: VersionNumber) -> usize {
        let latest =
            |state: &Rc<RefCell<RouterState>>| state.borrow().applied.last().map_or(0, |last| last.1);
        self.states.iter().filter(|state| latest(state) >= number).count()
    }

    /// When the last of them had applied this version or a later one, in seconds of the common clock; none while one has
    /// not.
    pub fn all_applied_at(&self, number: VersionNumber) -> Option<f64> {
        let first_applied_at = |state: &Rc<RefCell<RouterState>>| {
            let state = state.borrow();
            let later = state.applied.iter().rev().take_while(|applied| applied.1 >= number);
            later.last().map(|applied| applied.0)
        };
        self.states.iter().map(first_applied_at).try_fold(0.0, |last: f64, at| Some(last.max(at?)))
    }

    /// Bytes received and sent by all of them.
    pub fn bytes(&self) -> (u64, u64) {
        let each = self.states.iter().map(|state| state.borrow().bytes);
        each.fold((0, 0), |sum, bytes| (sum.0 + bytes.0, sum.1 + bytes.1))
    }
}

/// The host of a subscription that applies everything and records it.
fn recording_host(
    name: String,
    machines: &[ControlAddress],
    clock: Clock,
    state: &Rc<RefCell<RouterState>>,
) -> SubscribedRouter {
    let (applied, observed) = (state.clone(), state.clone());
    SubscribedRouter {
        name,
        incarnation: 1,
        control_servers: machines.iter().map(|(machine, at)| (machine.name.clone(), *at)).collect(),
        clock,
        apply: Box::new(move |_, number| {
            applied.borrow_mut().applied.push((clock.now(), number));
            Box::pin(async { ApplyOutcome::Applied })
        }),
        persist: Box::new(|_, _| {}),
        observe: Box::new(move |subscriber, traffic, now| {
            let mut state = observed.borrow_mut();
            state.bytes = (traffic.received_bytes, traffic.sent_bytes);
            state.control_machine = subscriber.connected_to().map(|machine| machine.name.clone());
            state.staleness_s = subscriber.staleness_s(now);
        }),
        log_events: false,
    }
}
