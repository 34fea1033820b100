//! Hollow routers, for trials of scale: the subscription of a router as it is, state machine and sockets, with a take-over
//! that only counts. Hundreds of them share a thread.
use alderway_control_plane::messages::ApplyOutcome;
use alderway_control_plane::subscriber::{ControlEndpoint, Subscriber, SubscriptionConfig};
use alderway_control_plane::version::VersionNumber;
use alderway_router::control::{Ends, run};
use alderway_telemetry::clock::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{JoinHandle, spawn_local};

/// What came of one of them.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub name: String,
    /// Versions as they came in force, by the common clock.
    pub in_force: Vec<(f64, VersionNumber)>,
    /// Bytes that came in and went out.
    pub bytes: (u64, u64),
    /// The machine that it is subscribed at.
    pub machine: Option<String>,
    /// How old its version may be, if anything is known.
    pub age: Option<f64>,
}

/// They end with it.
pub struct Hollow {
    pub clock: Clock,
    seen: Vec<Rc<RefCell<Seen>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Hollow {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Hollow {
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.iter().map(|seen| seen.borrow().clone()).collect()
    }

    /// How many have this version or a later one in force.
    pub fn have(&self, number: VersionNumber) -> usize {
        let newest = |seen: &Rc<RefCell<Seen>>| seen.borrow().in_force.last().map_or(0, |last| last.1);
        self.seen.iter().filter(|seen| newest(seen) >= number).count()
    }

    /// When the last of them had this version or a later one, by the common clock; none while one lacks it.
    pub fn all_had(&self, number: VersionNumber) -> Option<f64> {
        let first = |seen: &Rc<RefCell<Seen>>| {
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
        machines: &[(ControlEndpoint, SocketAddr)],
        zones: &[String],
        seed: u64,
        terms: SubscriptionConfig,
    ) {
        let (clock, first) = (self.clock, self.seen.len());
        for n in first..first + count {
            let name = format!("hollow-{n:04}");
            let zone = zones.get(n % zones.len().max(1)).map_or("", String::as_str);
            let list = machines.iter().map(|(machine, _)| machine.clone()).collect();
            let own = seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let subscriber = Subscriber::new(terms, list, zone, None, own, clock.now());
            let seen = Rc::new(RefCell::new(Seen { name: name.clone(), ..Seen::default() }));
            let (taken, shown) = (seen.clone(), seen.clone());
            let ends = Ends {
                name,
                incarnation: 1,
                machines: machines.iter().map(|(machine, at)| (machine.name.clone(), *at)).collect(),
                clock,
                offer: Box::new(move |_, number| {
                    taken.borrow_mut().in_force.push((clock.now(), number));
                    Box::pin(async { ApplyOutcome::Applied })
                }),
                keep: Box::new(|_, _| {}),
                show: Box::new(move |subscriber, bytes, now| {
                    let mut seen = shown.borrow_mut();
                    seen.bytes = bytes;
                    seen.machine = subscriber.connected_to().map(|machine| machine.name.clone());
                    seen.age = subscriber.staleness_s(now);
                }),
                logs: false,
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

/// Starts so many, dealt out over the zones in turn, in this thread.
pub fn hollow(
    count: usize,
    machines: &[(ControlEndpoint, SocketAddr)],
    zones: &[String],
    seed: u64,
) -> Hollow {
    hollow_by(count, machines, zones, seed, SubscriptionConfig::default())
}

pub fn hollow_by(
    count: usize,
    machines: &[(ControlEndpoint, SocketAddr)],
    zones: &[String],
    seed: u64,
    terms: SubscriptionConfig,
) -> Hollow {
    let mut all = Hollow { clock: Clock::default(), seen: vec![], tasks: vec![] };
    all.grow(count, machines, zones, seed, terms);
    all
}
