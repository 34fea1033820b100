//! A planner's drivers: the listener for forwarders, a task a connection, discovery, and the rounds of its module.
use super::planner::{self, Planner};
use crate::io::{discovery, until};
use crate::lifecycle::graceful_shutdown;
use crate::lifecycle::reload::{PreviousConfig, reload_at_sighup};
use crate::lifecycle::startup::StartupConfig;
use alderway::interface::SharedLimits;
use alderway::policy::Policy;
use alderway_sockets::Sender;
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log;
use alderway_tier::messages::Message;
use alderway_transport::{FrameReader, Hello, Received};
use nix::sys::signal::Signal;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

type Shared = Rc<RefCell<Planner>>;

const BEAT: Duration = Duration::from_millis(50);
/// A forwarder that answers no beat for so long is gone; its own patience is shorter.
const PATIENCE: f64 = 1.0;
const GREETING: Duration = Duration::from_millis(500);

/// A later start has a larger one.
pub fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Runs a planner until SIGTERM has been seen through: it takes nothing new, and what it holds ends first.
pub async fn run(config: StartupConfig, clock: Clock) -> io::Result<()> {
    let previous = PreviousConfig::of(&config);
    let StartupConfig { name, listen, discovery, endpoints, seed, settings, .. } = config;
    let (mut terms, hangups) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGHUP)?);
    let policy_config = settings.policy;
    let make_policy = move || {
        let mut policy = Policy::new(seed, policy_config.clone());
        // It tells forwarders what it sees of data nodes, as one core tells others.
        policy.use_shared_limits(SharedLimits::new(2).for_core(0));
        policy
    };
    let verticals = config.query_classes.len();
    let (deadline, room) = (settings.admission.max_deadline_s, settings.admission.max_open);
    let shared = Rc::new(RefCell::new(Planner::new(clock, verticals, deadline, room, endpoints)));
    let listener = TcpListener::bind(listen).await?;
    let at = listener.local_addr()?;
    tracing::info!(target: "start", "{name} listens at {at}: a planner");
    let (agent, address) = watch::channel(discovery);
    spawn_local(discovery::run(shared.clone(), address));
    spawn_local(reload_at_sighup(hangups, previous, agent, clock, None));
    let hello = Hello::of_planner::<Message>(name, incarnation());
    spawn_local(accept(shared.clone(), listener, hello));
    spawn_local(beats(shared.clone()));
    let mut rounds = spawn_local(rounds(shared.clone(), make_policy));
    tokio::select! {
        _ = terms.recv() => {}
        ended = &mut rounds => return Err(io::Error::other(format!("the rounds ended: {ended:?}"))),
    }
    shared.borrow_mut().stopping = true;
    shared.borrow_mut().beat(PATIENCE);
    let over = clock.now() + graceful_shutdown::time_limit_s(deadline);
    while shared.borrow().open() > 0 && clock.now() < over {
        sleep(Duration::from_millis(10)).await;
    }
    // Decisions on their way go out.
    sleep(Duration::from_millis(50)).await;
    tracing::info!(target: "stop", "ended: {} queries open", shared.borrow().open());
    log::write_unlimited(&shared.borrow().counters.text());
    Ok(())
}

/// Plays rounds for as long as the program runs. Guards against a query that makes the policy panic: the planner goes on
/// with a new policy, and the forwarders have what they asked of it decided elsewhere.
async fn rounds(planner: Shared, make_policy: impl Fn() -> Policy) {
    let mut policy = make_policy();
    let (clock, wake) = (planner.borrow().clock, planner.borrow().wake.clone());
    loop {
        let due = planner.borrow().next_due();
        tokio::select! {
            () = wake.notified() => {}
            () = until(clock, due), if due.is_finite() => {}
        }
        // Whatever else has come by now is told in the same round.
        yield_now().await;
        if let Err(error) = planner::round(&planner, &mut policy) {
            tracing::error!(target: "failure", "{error}: all forwarders are left, it starts anew");
            policy = make_policy();
            planner.borrow_mut().start_over();
        }
    }
}

async fn beats(planner: Shared) {
    let mut beats = interval(BEAT);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beats.tick().await;
        planner.borrow_mut().beat(PATIENCE);
    }
}

async fn accept(planner: Shared, listener: TcpListener, hello: Hello) {
    loop {
        let Ok((stream, _)) = alderway_sockets::accept(&listener).await else {
            sleep(alderway_sockets::PAUSE).await;
            continue;
        };
        let (planner, hello) = (planner.clone(), hello.clone());
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            if let Err(why) = speak(&planner, &stream, &hello).await {
                tracing::warn!(target: "tier", "a forwarder: {why}");
            }
        });
    }
}

async fn speak(planner: &Shared, stream: &TcpStream, hello: &Hello) -> Result<(), String> {
    let (mut reader, mut space) = (FrameReader::default(), vec![0; 64 * 1024]);
    let (session, wake) = planner.borrow_mut().begin(hello);
    let mut greeted = false;
    let mut sender = Sender::default();
    let ended = loop {
        let mut waits = false;
        {
            let mut planner = planner.borrow_mut();
            let Some(outbox) = planner.outbox(session) else {
                break Err("it does not read, or this planner starts anew".to_string());
            };
            if !outbox.bytes.is_empty() {
                match sender.write(stream, &outbox.bytes) {
                    Ok(count) => drop(outbox.bytes.drain(..count)),
                    Err(_) => break Ok(()),
                }
                waits = !outbox.bytes.is_empty();
            }
        }
        match reader.next_frame() {
            Ok(Some(Received::Hello(theirs))) if theirs.is_planner => break Err("it is a planner".into()),
            Ok(Some(Received::Hello(theirs))) => {
                tracing::info!(target: "tier", "forwarder {} is met", theirs.name);
                planner.borrow_mut().greeted(session, &theirs.name);
                greeted = true;
                continue;
            }
            Ok(Some(Received::Message(message))) => {
                if !planner.borrow_mut().read(session, message) {
                    break Err("it sends what only planners send".into());
                }
                continue;
            }
            Ok(None) => {}
            Err(why) => break Err(why.to_string()),
        }
        let ready = async {
            tokio::select! {
                ready = stream.readable() => ready.is_ok(),
                () = sender.ready(stream), if waits => true,
                () = wake.notified() => true,
            }
        };
        let ready = if greeted { Ok(ready.await) } else { timeout(GREETING, ready).await };
        match ready {
            Ok(true) => {}
            Ok(false) => break Ok(()),
            Err(_) => break Err("no hello in time".into()),
        }
        match alderway_sockets::read(stream, &mut space) {
            Ok(Some(0)) | Err(_) => break Ok(()),
            Ok(Some(count)) => reader.feed(&space[..count]),
            Ok(None) => {}
        }
    };
    planner.borrow_mut().end(session);
    ended
}
