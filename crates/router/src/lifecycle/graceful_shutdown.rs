//! Graceful shutdown after SIGTERM. Connections keep arriving for a while and clients keep the ones they have, as they may
//! have nowhere else to go; every query that was admitted gets an answer before the platform's SIGKILL.
//!
//! The phases, as `ShutdownPhase` names them:
//!
//! 1. Draining, from SIGTERM: the listener stays open for [`LISTEN_DURATION`], and connections are served as before.
//! 2. Closing, as soon as a query that came now might find no time for its answer: idle connections are closed, busy ones
//!    after their answer.
//! 3. Ending, once all clients are gone or the time is over: open queries fail, and their answers go out.
use crate::state::DispatcherHandle;
use crate::state::shutdown_phase::ShutdownPhase;
use alderway_sockets::signals::Signals;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// How long the listener stays open after SIGTERM. The users' protocol: new connections keep coming for 0.4 s.
pub const LISTEN_DURATION: Duration = Duration::from_millis(500);
/// The users' protocol: SIGKILL comes no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s.
const MAX_DEADLINE_S: f64 = 3.0;
const KILL_AFTER_DEADLINE_S: f64 = 0.7;
/// How long before SIGKILL the program has ended.
const SAFETY_MARGIN_S: f64 = 0.2;
/// The last answers may take up to this part of the margin.
const LAST_ANSWERS_S: f64 = 0.5 * SAFETY_MARGIN_S;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a shutdown may take in all, in seconds, for a longest deadline in seconds.
pub fn time_limit_s(longest_deadline_s: f64) -> f64 {
    longest_deadline_s.min(MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S - SAFETY_MARGIN_S
}

/// Waits for SIGTERM and shuts one core down, whose listener ends with `close`; returns when the program may end.
pub async fn shut_down_at_sigterm(
    mut terminations: Signals,
    dispatcher: DispatcherHandle,
    close: Rc<Notify>,
    listening: JoinHandle<()>,
) {
    terminations.recv().await;
    shut_down(dispatcher, listener_closed(close, listening)).await;
}

/// Closes the listener after [`LISTEN_DURATION`]; returns once no further connection is accepted. Guards against ending
/// with connections that the system has accepted and this program has not looked at yet, as after standing still.
pub async fn listener_closed(close: Rc<Notify>, listening: JoinHandle<()>) {
    sleep(LISTEN_DURATION).await;
    close.notify_one();
    let _ = timeout(LISTEN_DURATION, listening).await;
}

/// Shuts one core down; returns when the program may end. `listener_closed` ends when no further connection comes.
pub async fn shut_down(dispatcher: DispatcherHandle, listener_closed: impl Future<Output = ()>) {
    let clock = dispatcher.borrow().clock;
    let times = begin_draining(&dispatcher);
    listener_closed.await;
    // Guards against ending before the task of the connection accepted last has run for the first time.
    sleep(POLL_INTERVAL).await;
    while clock.now() < times.end && !dispatcher.borrow().clients.is_empty() {
        if clock.now() >= times.close_at {
            dispatcher.borrow_mut().shutdown_phase = ShutdownPhase::Closing;
            dispatcher.borrow().clients.close_idle();
        }
        sleep(POLL_INTERVAL).await;
    }
    let open_queries = fail_open_queries(&dispatcher);
    clients_gone(&dispatcher, times.end + LAST_ANSWERS_S).await;
    let took_s = clock.now() - times.began;
    tracing::info!(target: "stop", "ended after {took_s:.1} s: {open_queries} queries aborted");
}

/// When the phases of a shutdown begin, in seconds of the program's clock.
struct PhaseTimes {
    began: f64,
    /// Connections close from here on: a query that came now might not be answered by the end.
    close_at: f64,
    /// Open queries fail.
    end: f64,
}

fn begin_draining(dispatcher: &DispatcherHandle) -> PhaseTimes {
    let mut dispatcher = dispatcher.borrow_mut();
    let began = dispatcher.clock.now();
    dispatcher.shutdown_phase = ShutdownPhase::Draining;
    let (queries, clients) = (dispatcher.queries.len(), dispatcher.clients.len());
    tracing::info!(target: "stop", "SIGTERM: {queries} queries open, {clients} clients");
    let end = began + time_limit_s(dispatcher.longest_deadline_s(began));
    PhaseTimes { began, close_at: end - dispatcher.admission.max_latency_objective_s, end }
}

/// Fails all open queries; how many there were.
fn fail_open_queries(dispatcher: &DispatcherHandle) -> usize {
    let mut dispatcher = dispatcher.borrow_mut();
    let open_queries = dispatcher.queries.len();
    dispatcher.shutdown_phase = ShutdownPhase::Ending;
    dispatcher.fail_all_queries();
    open_queries
}

/// Waits until the last answers have gone out and all clients with them, until a time at the latest.
async fn clients_gone(dispatcher: &DispatcherHandle, until: f64) {
    let clock = dispatcher.borrow().clock;
    while clock.now() < until && !dispatcher.borrow().clients.is_empty() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Ends connections that came to a core which had shut down already: what they ask for is rejected at once.
pub async fn end_late_connections(dispatcher: DispatcherHandle) {
    let began = dispatcher.borrow().clock.now();
    // Their tasks have yet to run for the first time.
    sleep(POLL_INTERVAL).await;
    dispatcher.borrow().clients.close_idle();
    clients_gone(&dispatcher, began + LAST_ANSWERS_S).await;
}
