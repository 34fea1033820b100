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
/// How long the last answers may take to go out.
const LAST_ANSWERS_S: f64 = 0.1;
/// The users' standing test: the process may be held up for so long at any moment.
const STALL_S: f64 = 0.15;
/// How long before SIGKILL the program has ended, even if it was held up.
const SAFETY_MARGIN_S: f64 = 0.15;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Polls that a wait for the last answers makes at the least: one to read what has come, one to answer it, one to write.
const POLLS_MIN: usize = 3;
/// How long accepting the connections that wait as the listener closes may take at the least.
const ACCEPT_WAITING_MIN: Duration = Duration::from_millis(100);

/// How long after SIGTERM the last open queries fail, in seconds, for a longest deadline in seconds.
pub fn time_limit_s(longest_deadline_s: f64) -> f64 {
    let reserved_s = LAST_ANSWERS_S + STALL_S + SAFETY_MARGIN_S;
    longest_deadline_s.min(MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S - reserved_s
}

/// Waits for SIGTERM and shuts one core down, whose listener ends with `close`; returns when the program may end.
pub async fn shut_down_at_sigterm(
    mut terminations: Signals,
    dispatcher: DispatcherHandle,
    close: Rc<Notify>,
    listening: JoinHandle<()>,
) {
    terminations.recv().await;
    let longest_deadline_s = {
        let dispatcher = dispatcher.borrow();
        dispatcher.longest_deadline_s(dispatcher.clock.now())
    };
    shut_down(dispatcher, listener_closed(close, listening, time_limit_s(longest_deadline_s))).await;
}

/// Closes the listener after [`LISTEN_DURATION`]; returns once no further connection is accepted, by the end of a shutdown
/// of `limit_s` seconds where the descriptors for them come free too slowly. Guards against ending with connections that
/// the system has accepted and this program has not looked at yet, as after standing still.
pub async fn listener_closed(close: Rc<Notify>, listening: JoinHandle<()>, limit_s: f64) {
    sleep(LISTEN_DURATION).await;
    close.notify_one();
    let remaining = Duration::from_secs_f64(limit_s.max(0.0)).saturating_sub(LISTEN_DURATION);
    let _ = timeout(remaining.clamp(ACCEPT_WAITING_MIN, LISTEN_DURATION), listening).await;
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
    let open_queries = end_open_queries(&dispatcher).await;
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
    dispatcher.clients.close_for_shutdown();
    open_queries
}

/// Ends what a core has open, at the end of a shutdown or as the core has failed: whatever it has read gets its final
/// answer, also what comes or is behind an open query now. How many queries were open.
pub async fn end_open_queries(dispatcher: &DispatcherHandle) -> usize {
    let open_queries = fail_open_queries(dispatcher);
    last_answers_written(dispatcher).await;
    open_queries
}

/// Waits until the last answers have gone out and all clients with them, for [`LAST_ANSWERS_S`] at most. Guards against a
/// process that stands still just before or meanwhile, and would end before its tasks have written an answer: the time
/// counts from here, and passes only with some polls.
async fn last_answers_written(dispatcher: &DispatcherHandle) {
    let clock = dispatcher.borrow().clock;
    let until = clock.now() + LAST_ANSWERS_S;
    let mut polls = 0;
    while !dispatcher.borrow().clients.is_empty() && (clock.now() < until || polls < POLLS_MIN) {
        sleep(POLL_INTERVAL).await;
        polls += 1;
    }
}

/// Ends connections that came to a core which had shut down already: what they ask for is rejected at once.
pub async fn end_late_connections(dispatcher: DispatcherHandle) {
    // Their tasks have yet to run for the first time.
    sleep(POLL_INTERVAL).await;
    dispatcher.borrow().clients.close_for_shutdown();
    last_answers_written(&dispatcher).await;
}
