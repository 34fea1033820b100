//! SimulatedRouters routers, for trials of scale: the subscription of a router as it is, state machine and sockets, with a take-over
//! that only counts. Hundreds of them share a thread.
use alderway_control::subscriber::{Machine, Subscriber, Terms};
use alderway_control::version::Number;
use alderway_control::words::Outcome;
use alderway_router::control::{SubscriptionHost, run};
use alderway_router::memory::clock::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{JoinHandle, spawn_local};

/// What came of one of them.
#[derive(Clone, Debug, Default)]
pub struct RouterState {
    pub name: String,
    /// Versions as they came in force, by the common clock.
    pub in_force: Vec<(f64, Number)>,
    /// Bytes that came in and went out.
    pub bytes: (u64, u64),
    /// The machine that it is subscribed at.
    pub machine: Option<String>,
    /// How old its version may be, if anything is known.
    pub age: Option<f64>,
}

/// They end with it.
pub struct SimulatedRouters {
    pub clock: Clock,
    seen: Vec<Rc<RefCell<RouterState>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for SimulatedRouters {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl SimulatedRouters {
    /// Starts so many, dealt out over the zones in turn, in this thread.
    pub fn start(count: usize, machines: &[(Machine, SocketAddr)], zones: &[String], seed: u64) -> Self {
        let mut all = SimulatedRouters { clock: Clock::default(), seen: vec![], tasks: vec![] };
        all.grow(count, machines, zones, seed, Terms::default());
        all
    }

    pub fn seen(&self) -> Vec<RouterState> {
        self.seen.iter().map(|seen| seen.borrow().clone()).collect()
    }

    /// How many have this version or a later one in force.
    pub fn have(&self, number: Number) -> usize {
        let newest = |seen: &Rc<RefCell<RouterState>>| seen.borrow().in_force.last().map_or(0, |last| last.1);
        self.seen.iter().filter(|seen| newest(seen) >= number).count()
    }

    /// When the last of them had this version or a later one, by the common clock; none while one lacks it.
    pub fn all_had(&self, number: Number) -> Option<f64> {
        let first = |seen: &Rc<RefCell<RouterState>>| {
            let seen = seen.borrow();
            let later = seen.in_force.iter().rev().take_while(|had| had.1 >= number);
            later.last().map(|had| had.0)
        };
        self.seen.iter().map(first).try_fold(0.0, |last: f64, had| Some(last.max(had?)))
    }

    /// Starts so many more, numbered on.
    pub fn grow(
        &mut self,
        count: usize,
        machines: &[(Machine, SocketAddr)],
        zones: &[String],
        seed: u64,
        terms: Terms,
    ) {
        let (clock, first) = (self.clock, self.seen.len());
        for n in first..first + count {
            let name = format!("hollow-{n:04}");
            let zone = zones.get(n % zones.len().max(1)).map_or("", String::as_str);
            let list = machines.iter().map(|(machine, _)| machine.clone()).collect();
            let own = seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let subscriber = Subscriber::new(terms, list, zone, None, own, clock.now());
            let seen = Rc::new(RefCell::new(RouterState { name: name.clone(), ..RouterState::default() }));
            let (taken, shown) = (seen.clone(), seen.clone());
            let ends = SubscriptionHost {
                name,
                incarnation: 1,
                machines: machines.iter().map(|(machine, at)| (machine.name.clone(), *at)).collect(),
                clock,
                apply: Box::new(move |_, number| {
                    taken.borrow_mut().in_force.push((clock.now(), number));
                    Box::pin(async { Outcome::InForce })
                }),
                persist: Box::new(|_, _| {}),
                observe: Box::new(move |subscriber, bytes, now| {
                    let mut seen = shown.borrow_mut();
                    seen.bytes = bytes;
                    seen.machine = subscriber.connected().map(|machine| machine.name.clone());
                    seen.age = subscriber.age(now);
                }),
                log_events: false,
            };
            self.seen.push(seen);
            self.tasks.push(spawn_local(run(subscriber, ends)));
        }
    }

    /// Bytes in and out of all of them so far.
    pub fn bytes(&self) -> (u64, u64) {
        let each = self.seen.iter().map(|seen| seen.borrow().bytes);
        each.fold((0, 0), |sum, bytes| (sum.0 + bytes.0, sum.1 + bytes.1))
    }
}
