//! The router's subscription on sockets: one connection to a control machine, what is kept on disk, lines of the log and
//! counters. Which machine, what of its words is taken and when what is said stands in `alderway_control_plane::subscriber`.
pub mod persisted_version;

use crate::lifecycle::live_config::{ConfigError, LiveConfig};
use crate::state::counters::Counters;
use crate::state::shared::{MetricsSnapshot, SharedState};
use alderway_control_plane::messages::{ApplyOutcome, ControlMessage, RouterMessage};
use alderway_control_plane::rate_limit::{ROUTER_READ, TokenBucket};
use alderway_control_plane::subscriber::{
    Command, ConfigVersion, ControlEndpoint, Subscriber, SubscriptionConfig,
};
use alderway_control_plane::version::VersionNumber;
use alderway_sockets::Sender;
use alderway_telemetry::clock::Clock;
use alderway_transport::{FrameReader, Hello, Incarnation, Name, Received, WireMessage, encode_hello};
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
    pub machines: Vec<(ControlEndpoint, SocketAddr)>,
    pub zone: String,
    pub terms: SubscriptionConfig,
    pub persist_path: Option<PathBuf>,
    /// The version that this router starts with.
    pub persisted: Option<PersistedVersion>,
    /// What was wrong with the kept file, for the log.
    pub load_error: Option<String>,
}

type Soon<T> = Pin<Box<dyn Future<Output = T>>>;
/// Brings settings to the running router, under their number.
pub type ApplySettings = Box<dyn Fn(Value, VersionNumber) -> Soon<ApplyOutcome>>;
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
    pub persist: Box<dyn Fn(ConfigVersion, Option<f64>)>,
    pub observe: ObserveSubscriber,
    /// Whether notes are written to the log.
    pub log_events: bool,
}

/// For a running router: what can change while it serves is in force once all its cores have taken it over.
pub fn to_running(live_config: LiveConfig) -> ApplySettings {
    Box::new(move |settings, number| {
        let live_config = live_config.clone();
        Box::pin(async move {
            match live_config.apply(settings, Some(number)).await {
                Ok(_) => ApplyOutcome::Applied,
                Err(ConfigError::RestartRequired(keys)) => ApplyOutcome::PendingRestart(keys),
                Err(error @ ConfigError::Invalid(_)) => ApplyOutcome::Rejected(error.to_string()),
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
    shared: Arc<SharedState>,
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
        shared.config_version.store(number, Relaxed);
        let as_of = persisted.as_of_unix_ms.and_then(|ms| clock.from_unix_ms(ms));
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
            shared.control_metrics.send_replace(Arc::new(figures(subscriber, bytes, now)));
        }),
        log_events: true,
    };
    spawn_local(run(subscriber, host));
}

fn figures(subscriber: &Subscriber, (bytes_in, bytes_out): (u64, u64), now: f64) -> MetricsSnapshot {
    let (metrics, mut counters) = (subscriber.metrics, Counters::default());
    for (name, count) in [
        ("control_dials", metrics.connect_attempts),
        ("control_connections_lost", metrics.connections_lost),
        ("control_machines_silent", metrics.connections_timed_out),
        ("control_machines_behind", metrics.replicas_behind),
        ("control_versions_in_force", metrics.versions_applied),
        ("control_versions_refused", metrics.versions_rejected),
        ("control_versions_waiting", metrics.versions_pending_restart),
        ("control_wholes", metrics.snapshots),
        ("control_deltas", metrics.patches),
        ("control_mismatches", metrics.digest_mismatches),
        ("control_clashes", metrics.conflicts),
        ("control_words_old", metrics.stale_messages),
        ("control_bytes_in", bytes_in),
        ("control_bytes_out", bytes_out),
    ] {
        counters.add(name, count as usize);
    }
    let ms = |span: f64| (span * 1e3) as u64;
    let mut gauges = vec![
        ("control_version", subscriber.versions().active().number),
        ("control_version_got", subscriber.versions().received().number),
        ("control_connected", u64::from(subscriber.connected_to().is_some())),
        ("control_quiet_ms", ms(subscriber.unconfirmed_s(now))),
    ];
    // What may be of any age has none.
    gauges.extend(subscriber.staleness_s(now).map(|age| ("control_version_age_ms", ms(age))));
    MetricsSnapshot { counters, gauges }
}

/// A connection to a control machine.
struct Wire {
    stream: TcpStream,
    sender: Sender,
    machine: usize,
    greeted: bool,
    reader: FrameReader<ControlMessage>,
    out: Vec<u8>,
}

/// The driver: follows the subscriber's orders and tells it what came of them.
pub async fn run(mut subscriber: Subscriber, mut host: SubscriptionHost) {
    let clock = host.clock;
    let mut dial: Option<(usize, Soon<io::Result<TcpStream>>)> = None;
    let mut offer: Option<(VersionNumber, Soon<ApplyOutcome>)> = None;
    let mut wire: Option<Wire> = None;
    let mut budget = TokenBucket::empty(ROUTER_READ, clock.now());
    let (mut space, mut bytes, mut look) = (vec![0; ROUTER_READ.burst_bytes as usize], (0, 0), 0.0);
    loop {
        let now = clock.now();
        subscriber.tick(now);
        while let Some(order) = subscriber.next_command() {
            match order {
                Command::Connect(machine) => {
                    wire = None;
                    let Some((_, at)) = host.machines.get(machine).cloned() else { continue };
                    dial = Some((machine, Box::pin(alderway_sockets::dial(at))));
                }
                Command::Disconnect => (wire, dial) = (None, None),
                Command::Apply { number, settings } => offer = Some((number, (host.apply)(settings, number))),
                Command::Persist(settled) => (host.persist)(settled, subscriber.confirmed_at()),
                Command::Log(note) if !host.log_events => drop(note),
                Command::Log(note) if note.is_warning() => tracing::warn!(target: "control", "{note}"),
                Command::Log(note) => tracing::info!(target: "control", "{note}"),
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
                && let Some(word) = subscriber.next_message(now)
            {
                held.out = word;
                if !flush(held, &mut bytes.1) {
                    break;
                }
            }
            waits = !held.out.is_empty();
        }
        let room = budget.available_bytes(now).min(space.len());
        let reads = room >= SIP;
        let refill = if reads || wire.is_none() { f64::INFINITY } else { budget.ready_at(SIP) };
        let until = (subscriber.next_deadline().min(refill).min(now + 1.0) - now).max(0.0005);
        tokio::select! {
            biased;
            came = dialled(&mut dial) => {
                let machine = dial.take().map_or(0, |dial| dial.0);
                match came {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        let (name, incarnation) = (host.name.clone(), host.incarnation);
                        let hello = Hello { version: RouterMessage::VERSION, is_planner: false, incarnation, name };
                        let mut out = vec![];
                        encode_hello::<RouterMessage>(&mut out, &hello);
                        let (sender, reader) = (Sender::default(), FrameReader::default());
                        wire = Some(Wire { stream, sender, machine, greeted: false, reader, out });
                    }
                    Err(_) => subscriber.connection_closed(clock.now()),
                }
            }
            outcome = offered(&mut offer) => {
                if let Some((number, _)) = offer.take() {
                    subscriber.offer_completed(number, outcome);
                }
            }
            ready = readable(&wire), if reads => {
                let read = ready && wire.as_mut().is_some_and(|held| {
                    let Some(space) = space.get_mut(..room) else { return false };
                    match alderway_sockets::read(&held.stream, space) {
                        Ok(Some(0)) | Err(_) => false,
                        Ok(Some(count)) => {
                            budget.try_take(count, clock.now());
                            bytes.0 += count as u64;
                            held.reader.feed(&space[..count]);
                            true
                        }
                        Ok(None) => true,
                    }
                });
                let sound = read && wire.as_mut().is_some_and(|held| hear(held, &mut subscriber, &host));
                if !sound && wire.take().is_some() {
                    subscriber.connection_closed(clock.now());
                }
            }
            () = writable(&wire), if waits => {
                let sound = wire.as_mut().is_some_and(|held| flush(held, &mut bytes.1));
                if !sound && wire.take().is_some() {
                    subscriber.connection_closed(clock.now());
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
        match wire.reader.next_frame() {
            Ok(Some(Received::Hello(hello))) if !wire.greeted && Some(&hello.name) == expected => {
                wire.greeted = true;
                subscriber.connection_opened(now);
            }
            Ok(Some(Received::Hello(hello))) => {
                tracing::warn!(target: "control", "`{}` answers where another control machine is", hello.name);
                return false;
            }
            Ok(Some(Received::Message(tell))) => subscriber.receive(tell, now),
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

async fn offered(offer: &mut Option<(VersionNumber, Soon<ApplyOutcome>)>) -> ApplyOutcome {
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
