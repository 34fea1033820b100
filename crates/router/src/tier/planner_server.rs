//! A planner's tasks: the listener for forwarders, one task for each connection, the watch of discovery, and
//! the rounds of the policy. In a round the policy processes all input since the previous round and makes its
//! decisions.
use super::planner::{self, Planner};
use crate::io::{discovery, sleep_until};
use crate::lifecycle::graceful_shutdown;
use crate::lifecycle::reload::{PreviousConfig, reload_at_sighup};
use crate::lifecycle::startup::StartupConfig;
use crate::state::descriptors;
use alderway::interface::SharedLimits;
use alderway::policy::Policy;
use alderway_sockets::Sender;
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log;
use alderway_tier::messages::Message;
use alderway_transport::{FrameReader, Hello, Received, serve_each};
use nix::sys::signal::Signal;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{MissedTickBehavior, interval, sleep};

type PlannerHandle = Rc<RefCell<Planner>>;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// A connection to a forwarder that has not acknowledged a heartbeat for this many seconds is closed. This
/// timeout is longer than the one after which the forwarder considers a planner as lost, so that the
/// forwarder reassigns its queries before the planner closes the connection.
const HEARTBEAT_TIMEOUT_S: f64 = 1.0;
/// Maximum time from the opening of a connection until the forwarder's hello has been received.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a shutdown checks whether queries are still open.
const SHUTDOWN_POLL: Duration = Duration::from_millis(10);
/// Time that a shutdown waits for the last decisions to be written to the sockets.
const LAST_WRITES: Duration = Duration::from_millis(50);
/// Maximum number of bytes read from a socket at once.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Returns a new incarnation: the wall clock time in microseconds since 1970. A later start of the planner
/// has a larger incarnation unless the clock was set back.
pub fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Runs a planner until SIGTERM. After SIGTERM the planner accepts no new queries, and this function returns
/// when the open queries have ended or a time limit has passed.
///
/// # Errors
/// A socket or a signal handler can't be created, or the task that runs the policy has ended.
pub async fn run(config: StartupConfig, clock: Clock) -> io::Result<()> {
    let previous = PreviousConfig::of(&config);
    let StartupConfig { name, listen, discovery, endpoints, seed, settings, .. } = config;
    let (mut terminations, hangups) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGHUP)?);
    let policy_config = settings.policy;
    let make_policy = move || {
        let mut policy = Policy::new(seed, policy_config.clone());
        // The policy outputs its observations of data nodes only if its limits are shared by several cores. A
        // planner has one core, but sends the observations to its forwarders, so its policy gets limits for
        // two cores.
        policy.use_shared_limits(SharedLimits::new(2).for_core(0));
        policy
    };
    let query_classes = config.query_classes.len();
    let (max_deadline_s, capacity) = (settings.admission.max_deadline_s, settings.admission.max_open);
    let planner = Planner::new(clock, query_classes, max_deadline_s, capacity, endpoints);
    let planner = Rc::new(RefCell::new(planner));
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    tracing::info!(target: "start", "planner {name} listens at {address}: ready for forwarders");
    let (discovery, discovery_address) = watch::channel(discovery);
    spawn_local(discovery::run(planner.clone(), discovery_address));
    spawn_local(reload_at_sighup(hangups, previous, discovery, clock, None));
    let hello = Hello::of_planner::<Message>(name, incarnation());
    let max_forwarders = config.max_descriptors.saturating_sub(descriptors::reserved(1)).max(1);
    spawn_local(accept(planner.clone(), listener, hello, max_forwarders));
    spawn_local(send_heartbeats(planner.clone()));
    let mut rounds = spawn_local(run_rounds(planner.clone(), make_policy));
    tokio::select! {
        _ = terminations.recv() => {}
        ended = &mut rounds => {
            let error = format!("the task that runs the planner's policy ended unexpectedly: {ended:?}");
            return Err(io::Error::other(error));
        }
    }
    planner.borrow_mut().is_stopping = true;
    planner.borrow_mut().send_heartbeats_and_check_timeouts(HEARTBEAT_TIMEOUT_S);
    let until = clock.now() + graceful_shutdown::shutdown_time_limit_s(max_deadline_s);
    while planner.borrow().open_query_count() > 0 && clock.now() < until {
        sleep(SHUTDOWN_POLL).await;
    }
    sleep(LAST_WRITES).await;
    let still_open = planner.borrow().open_query_count();
    tracing::info!(target: "stop", "planner stopped: {still_open} queries were still open");
    log::write_unlimited(&planner.borrow().counters.text());
    Ok(())
}

/// Runs the policy's rounds for as long as the process runs. If a query makes the policy panic, the planner
/// continues with a new policy and closes all sessions, so that the forwarders reassign their queries.
async fn run_rounds(planner: PlannerHandle, make_policy: impl Fn() -> Policy) {
    let mut policy = make_policy();
    let (clock, wake) = (planner.borrow().clock, planner.borrow().wake.clone());
    loop {
        let next_timer_at = planner.borrow().next_timer_at();
        tokio::select! {
            () = wake.notified() => {}
            () = sleep_until(clock, next_timer_at), if next_timer_at.is_finite() => {}
        }
        // Lets other tasks add received messages to the input of this round.
        yield_now().await;
        if let Err(error) = planner::run_round(&planner, &mut policy) {
            tracing::error!(
                target: "failure",
                "{error}: all forwarders are disconnected, the planner continues with a new policy"
            );
            policy = make_policy();
            planner.borrow_mut().close_all_sessions();
        }
    }
}

async fn send_heartbeats(planner: PlannerHandle) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        planner.borrow_mut().send_heartbeats_and_check_timeouts(HEARTBEAT_TIMEOUT_S);
    }
}

async fn accept(planner: PlannerHandle, listener: TcpListener, hello: Hello, max_forwarders: usize) {
    let turn_queue = planner.borrow().turn_queue.clone();
    let serve = |stream: TcpStream| {
        let (planner, hello) = (planner.clone(), hello.clone());
        async move {
            let _ = stream.set_nodelay(true);
            let address = stream.peer_addr();
            if let Err(error) = run_session(&planner, &stream, &hello).await {
                let address = address.map_or("a forwarder".into(), |address| address.to_string());
                tracing::warn!(target: "tier", "closed the connection from {address}: {error}");
            }
        }
    };
    serve_each(listener, max_forwarders, &turn_queue, serve).await;
}

/// Exchanges messages with a forwarder until the connection ends.
///
/// # Errors
/// The peer is not a forwarder or violates the protocol, or the planner has closed the session.
async fn run_session(planner: &PlannerHandle, stream: &TcpStream, hello: &Hello) -> Result<(), String> {
    let (mut reader, mut buffer) = (FrameReader::default(), vec![0; READ_BUFFER_BYTES]);
    let (session, wake) = planner.borrow_mut().open_session(hello);
    let (clock, mut turns) = (planner.borrow().clock, planner.borrow().turn_queue.turns());
    let mut hello_by = clock.now() + HELLO_TIMEOUT.as_secs_f64();
    let mut sender = Sender::default();
    let ended = loop {
        turns.give_way().await;
        let mut has_unsent = false;
        {
            let mut planner = planner.borrow_mut();
            let Some(outbox) = planner.outbox(session) else {
                break Err(
                    "the forwarder did not respond or read in time, or the policy panicked".to_string()
                );
            };
            if !outbox.bytes.is_empty() {
                match sender.write(stream, &outbox.bytes) {
                    Ok(count) => drop(outbox.bytes.drain(..count)),
                    Err(_) => break Ok(()),
                }
                has_unsent = !outbox.bytes.is_empty();
            }
        }
        match reader.next_frame() {
            Ok(Some(Received::Hello(theirs))) if theirs.is_planner => {
                break Err("the peer is a planner, but only forwarders may connect".into());
            }
            Ok(Some(Received::Hello(theirs))) => {
                tracing::info!(target: "tier", "forwarder {} connected", theirs.name);
                planner.borrow_mut().hello_received(session, &theirs.name);
                hello_by = f64::INFINITY;
                continue;
            }
            Ok(Some(Received::Message(message))) => {
                if !planner.borrow_mut().accept_message(session, message) {
                    break Err("the peer sent a message that only planners send".into());
                }
                continue;
            }
            Ok(None) => {}
            Err(error) => break Err(error.to_string()),
        }
        if hello_by <= clock.now() {
            break Err(format!("no hello was received within {HELLO_TIMEOUT:?}"));
        }
        let event = async {
            tokio::select! {
                _ = stream.readable() => {}
                () = sender.ready(stream), if has_unsent => {}
                () = wake.notified() => {}
                () = sleep_until(clock, hello_by), if hello_by.is_finite() => {}
            }
        };
        turns.wait(event).await;
        match alderway_sockets::read(stream, &mut buffer) {
            Ok(Some(0)) | Err(_) => break Ok(()),
            Ok(Some(count)) => reader.feed(&buffer[..count]),
            Ok(None) => {}
        }
    };
    planner.borrow_mut().close_session(session);
    ended
}
