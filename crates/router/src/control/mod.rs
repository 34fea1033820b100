//! The router's subscription on sockets: one connection to a control machine, what is kept on disk, lines of the log and
//! counters. Which machine, what of its words is taken and when what is said stands in `alderway_control::subscriber`.
pub mod persisted_version;

use crate::life::settings::{Live, Outcome as Offered};
use crate::memory::clock::Clock;
use crate::memory::counters::Counters;
use crate::memory::house::{Figures, House};
use alderway_control::bucket::{Bucket, READ};
use alderway_control::subscriber::{Machine, Order, Settled, Subscriber, Terms};
use alderway_control::version::Number;
use alderway_control::words::{Outcome, Say, Tell};
use alderway_sockets::Sender;
use alderway_tier::frames::{self, Hello, Read, Reader, Speech};
use alderway_tier::{Incarnation, Name};
use persisted_version::PersistedVersion;
use serde_json::Value;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::sleep;

/// The connection, and a file with its directory while a version is being kept.
pub const DESCRIPTORS: usize = 3;
/// Fewer bytes are not read at once while the budget is short.
const SIP: usize = 200;
/// Between two looks at the counters.
const LOOK: f64 = 0.5;

/// What the operator's file says, and what was kept.
pub struct Subscription {
    /// With where each listens for routers.
    pub machines: Vec<(Machine, SocketAddr)>,
    pub zone: String,
    pub terms: Terms,
    pub persist_path: Option<PathBuf>,
    /// The version that this router starts with.
    pub persisted: Option<PersistedVersion>,
    /// What was wrong with the kept file, for the log.
    pub load_error: Option<String>,
}

type Soon<T> = Pin<Box<dyn Future<Output = T>>>;
/// Brings settings to the running router, under their number.
pub type ApplySettings = Box<dyn Fn(Value, Number) -> Soon<Outcome>>;
/// Is shown the subscription a few times a second, with the bytes that came in and went out.
pub type ObserveSubscriber = Box<dyn FnMut(&Subscriber, (u64, u64), f64)>;

/// What a subscription does with the world.
pub struct SubscriptionHost {
    pub name: Name,
    pub incarnation: Incarnation,
    /// In the order of the subscriber's list, each with its name.
    pub machines: Vec<(Name, SocketAddr)>,
    pub clock: Clock,
    pub apply: ApplySettings,
    /// What the next start is to be with, and when that was known to be the newest.
    pub persist: Box<dyn Fn(Settled, Option<f64>)>,
    pub observe: ObserveSubscriber,
    /// Whether notes are written to the log.
    pub log_events: bool,
}

/// For a running router: what can change while it serves is in force once all its cores have taken it over.
pub fn to_running(live: Live) -> ApplySettings {
    Box::new(move |settings, number| {
        let live = live.clone();
        Box::pin(async move {
            match live.offer(settings, Some(number)).await {
                Offered::InForce | Offered::Unchanged => Outcome::InForce,
                Offered::Refused(why) => Outcome::Refused(why),
                Offered::Waits(keys) => Outcome::Waits(keys),
            }
        })
    })
}

/// Starts the subscription of a router, for as long as the program runs.
pub fn start(
    subscription: Subscription,
    name: &str,
    seed: u64,
    apply: ApplySettings,
    house: Arc<House>,
    clock: Clock,
) {
    let Subscription { machines, zone, terms, persist_path, persisted, load_error } = subscription;
    if let Some(error) = load_error {
        tracing::warn!(target: "control", "{error}");
    }
    let now = clock.now();
    let persisted = persisted.map(|persisted| {
        let number = persisted.version.number;
        tracing::info!(target: "control", "version {number} in force, from the kept file");
        house.version.store(number, Relaxed);
        let as_of = persisted.as_of_unix_ms.and_then(|ms| clock.from_unix(ms));
        (persisted.version, as_of.map(|as_of| as_of.min(now)))
    });
    let list = machines.iter().map(|(machine, _)| machine.clone()).collect();
    let subscriber = Subscriber::new(terms, list, &zone, persisted, seed, now);
    let writer = persist_path.map(|path| persisted_version::spawn_writer(path, clock));
    let host = SubscriptionHost {
        name: name.into(),
        incarnation: seed,
        machines: machines.into_iter().map(|(machine, at)| (machine.name, at)).collect(),
        clock,
        apply,
        persist: Box::new(move |settled, as_of| {
            if let Some(writer) = &writer {
                writer.send_replace(Some((settled, as_of)));
            }
        }),
        observe: Box::new(move |subscriber, bytes, now| {
            house.control.send_replace(Arc::new(figures(subscriber, bytes, now)));
        }),
        log_events: true,
    };
    spawn_local(run(subscriber, host));
}

fn figures(subscriber: &Subscriber, (bytes_in, bytes_out): (u64, u64), now: f64) -> Figures {
    let (met, mut counters) = (subscriber.met, Counters::default());
    for (name, count) in [
        ("control_dials", met.dials),
        ("control_connections_lost", met.lost),
        ("control_machines_silent", met.silent),
        ("control_machines_behind", met.behind),
        ("control_versions_in_force", met.taken_over),
        ("control_versions_refused", met.refused),
        ("control_versions_waiting", met.waits),
        ("control_wholes", met.whole),
        ("control_deltas", met.deltas),
        ("control_mismatches", met.mismatches),
        ("control_clashes", met.clashes),
        ("control_words_old", met.old_words),
        ("control_bytes_in", bytes_in),
        ("control_bytes_out", bytes_out),
    ] {
        counters.add(name, count as usize);
    }
    let ms = |span: f64| (span * 1e3) as u64;
    let mut open = vec![
        ("control_version", subscriber.holding().held().number),
        ("control_version_got", subscriber.holding().got().number),
        ("control_connected", u64::from(subscriber.connected().is_some())),
        ("control_quiet_ms", ms(subscriber.quiet(now))),
    ];
    // What may be of any age has none.
    open.extend(subscriber.age(now).map(|age| ("control_version_age_ms", ms(age))));
    Figures { counters, open }
}

/// A connection to a control machine.
struct Wire {
    stream: TcpStream,
    sender: Sender,
    machine: usize,
    greeted: bool,
    reader: Reader<Tell>,
    out: Vec<u8>,
}

/// The driver: follows the subscriber's orders and tells it what came of them.
pub async fn run(mut subscriber: Subscriber, mut host: SubscriptionHost) {
    let clock = host.clock;
    let mut dial: Option<(usize, Soon<io::Result<TcpStream>>)> = None;
    let mut offer: Option<(Number, Soon<Outcome>)> = None;
    let mut wire: Option<Wire> = None;
    let mut budget = Bucket::empty(READ, clock.now());
    let (mut space, mut bytes, mut look) = (vec![0; READ.burst as usize], (0, 0), 0.0);
    loop {
        let now = clock.now();
        subscriber.tick(now);
        while let Some(order) = subscriber.order() {
            match order {
                Order::Dial(machine) => {
                    wire = None;
                    let Some((_, at)) = host.machines.get(machine).cloned() else { continue };
                    dial = Some((machine, Box::pin(alderway_sockets::dial(at))));
                }
                Order::Leave => (wire, dial) = (None, None),
                Order::Offer { number, settings } => offer = Some((number, (host.apply)(settings, number))),
                Order::Keep(settled) => (host.persist)(settled, subscriber.as_of()),
                Order::Note(note) if !host.log_events => drop(note),
                Order::Note(note) if note.warns() => tracing::warn!(target: "control", "{note}"),
                Order::Note(note) => tracing::info!(target: "control", "{note}"),
            }
        }
        if now >= look {
            (host.observe)(&subscriber, bytes, now);
            look = now + LOOK;
        }
        let mut waits = false;
        if let Some(held) = &mut wire {
            while held.greeted
                && held.out.is_empty()
                && let Some(word) = subscriber.word(now)
            {
                held.out = word;
                if !flush(held, &mut bytes.1) {
                    break;
                }
            }
            waits = !held.out.is_empty();
        }
        let room = budget.room(now).min(space.len());
        let reads = room >= SIP;
        let refill = if reads || wire.is_none() { f64::INFINITY } else { budget.when(SIP) };
        let until = (subscriber.due().min(refill).min(now + 1.0) - now).max(0.0005);
        tokio::select! {
            biased;
            came = dialled(&mut dial) => {
                let machine = dial.take().map_or(0, |dial| dial.0);
                match came {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        let (name, incarnation) = (host.name.clone(), host.incarnation);
                        let hello = Hello { version: Say::VERSION, planner: false, incarnation, name };
                        let mut out = vec![];
                        frames::hello_of::<Say>(&mut out, &hello);
                        let (sender, reader) = (Sender::default(), Reader::default());
                        wire = Some(Wire { stream, sender, machine, greeted: false, reader, out });
                    }
                    Err(_) => subscriber.closed(clock.now()),
                }
            }
            outcome = offered(&mut offer) => {
                if let Some((number, _)) = offer.take() {
                    subscriber.ended(number, outcome);
                }
            }
            ready = readable(&wire), if reads => {
                let read = ready && wire.as_mut().is_some_and(|held| {
                    let Some(space) = space.get_mut(..room) else { return false };
                    match alderway_sockets::read(&held.stream, space) {
                        Ok(Some(0)) | Err(_) => false,
                        Ok(Some(count)) => {
                            budget.take(count, clock.now());
                            bytes.0 += count as u64;
                            held.reader.feed(&space[..count]);
                            true
                        }
                        Ok(None) => true,
                    }
                });
                let sound = read && wire.as_mut().is_some_and(|held| hear(held, &mut subscriber, &host));
                if !sound && wire.take().is_some() {
                    subscriber.closed(clock.now());
                }
            }
            () = writable(&wire), if waits => {
                let sound = wire.as_mut().is_some_and(|held| flush(held, &mut bytes.1));
                if !sound && wire.take().is_some() {
                    subscriber.closed(clock.now());
                }
            }
            () = sleep(Duration::from_secs_f64(until)) => {}
        }
    }
}

/// Takes in all that is there; false host the connection.
fn hear(wire: &mut Wire, subscriber: &mut Subscriber, host: &SubscriptionHost) -> bool {
    loop {
        let now = host.clock.now();
        let expected = host.machines.get(wire.machine).map(|machine| &machine.0);
        match wire.reader.read() {
            Ok(Some(Read::Hello(hello))) if !wire.greeted && Some(&hello.name) == expected => {
                wire.greeted = true;
                subscriber.opened(now);
            }
            Ok(Some(Read::Hello(hello))) => {
                tracing::warn!(target: "control", "`{}` answers where another control machine is", hello.name);
                return false;
            }
            Ok(Some(Read::Message(tell))) => subscriber.heard(tell, now),
            Ok(None) => return true,
            Err(why) => {
                tracing::warn!(target: "control", "{why}");
                return false;
            }
        }
    }
}

/// Writes what waits, as far as it is taken; false host the connection.
fn flush(wire: &mut Wire, sum: &mut u64) -> bool {
    match wire.sender.write(&wire.stream, &wire.out) {
        Ok(count) => {
            drop(wire.out.drain(..count));
            *sum += count as u64;
            true
        }
        Err(_) => false,
    }
}

async fn dialled(dial: &mut Option<(usize, Soon<io::Result<TcpStream>>)>) -> io::Result<TcpStream> {
    match dial {
        Some((_, dial)) => dial.await,
        None => pending().await,
    }
}

async fn offered(offer: &mut Option<(Number, Soon<Outcome>)>) -> Outcome {
    match offer {
        Some((_, offer)) => offer.await,
        None => pending().await,
    }
}

async fn readable(wire: &Option<Wire>) -> bool {
    match wire {
        Some(wire) => wire.stream.readable().await.is_ok(),
        None => pending().await,
    }
}

async fn writable(wire: &Option<Wire>) {
    match wire {
        Some(wire) => wire.sender.ready(&wire.stream).await,
        None => pending().await,
    }
}
