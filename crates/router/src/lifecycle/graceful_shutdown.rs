//! Shuts the program down gracefully after SIGTERM. New client connections are accepted for
//! [`LISTEN_TIME_AFTER_SIGTERM`], and existing ones stay open, because clients may have no other router.
//! Every admitted query gets a response before the platform sends SIGKILL.
//!
//! The phases of [`ShutdownPhase`]:
//!
//! 1. Draining, from SIGTERM: the listener stays open for [`LISTEN_TIME_AFTER_SIGTERM`], and connections are
//!    served as before.
//! 2. Closing, as soon as a new query might not be answered before the time limit: idle connections are
//!    closed at once, others after their current response.
//! 3. Ending, once all clients are disconnected or the time limit is reached: open queries are answered with
//!    an error, and the last responses are written.
use crate::state::DispatcherHandle;
use crate::state::shutdown_phase::ShutdownPhase;
use alderway_sockets::signals::Signals;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// How long the client listener stays open after SIGTERM. By the client protocol, clients may open new
/// connections until 0.4 s after SIGTERM.
pub const LISTEN_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// Longest query deadline, in seconds, for which a shutdown can wait. By the client protocol, the platform
/// sends SIGKILL no earlier than [`KILL_AFTER_DEADLINE_S`] after a time counted from SIGTERM: the longest
/// query deadline or this value, whichever is less.
const MAX_DEADLINE_S: f64 = 3.0;
/// Minimum time, in seconds, from the longest query deadline (at most [`MAX_DEADLINE_S`], counted from
/// SIGTERM) to SIGKILL.
const KILL_AFTER_DEADLINE_S: f64 = 0.7;
/// Time reserved for writing the last responses, in seconds.
const LAST_ANSWERS_S: f64 = 0.1;
/// Longest suspension of the process that a shutdown has to tolerate, in seconds: the users' acceptance tests
/// suspend the process for this long at any time.
const STALL_S: f64 = 0.15;
/// Time left between the end of the program and SIGKILL, in seconds, if the process was suspended for
/// [`STALL_S`].
const SAFETY_MARGIN_S: f64 = 0.15;
/// Interval at which a shutdown checks whether all clients are disconnected.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum number of [`POLL_INTERVAL`]s for which the router waits for its last responses to be written. In
/// each interval, the other tasks run once: they read pending requests, answer the requests, and write the
/// responses.
const POLLS_MIN: usize = 3;
/// Minimum timeout for accepting the connections that are in the kernel's queue of the closing listener.
const ACCEPT_WAITING_MIN: Duration = Duration::from_millis(100);

/// Returns the time from SIGTERM until the router answers the remaining open queries with an error, in
/// seconds. `longest_deadline_s` is the longest query deadline of the settings.
pub fn shutdown_time_limit_s(longest_deadline_s: f64) -> f64 {
    let reserved_s = LAST_ANSWERS_S + STALL_S + SAFETY_MARGIN_S;
    longest_deadline_s.min(MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S - reserved_s
}

/// Waits for SIGTERM and shuts down a router on one core; returns when the program can exit. Notifying
/// `close` stops `listening`, the task that accepts connections.
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
    shut_down(dispatcher, close_listener(close, listening, shutdown_time_limit_s(longest_deadline_s))).await;
}

/// Closes the client listener after [`LISTEN_TIME_AFTER_SIGTERM`], and waits until `listening` has accepted
/// the connections in the kernel's queue. `limit_s` is the time limit of the shutdown from SIGTERM, in
/// seconds; the wait ends by then if file descriptors are released too slowly. Guards against exiting while
/// connections are in the queue, for example after the process was suspended.
pub async fn close_listener(close: Rc<Notify>, listening: JoinHandle<()>, limit_s: f64) {
    sleep(LISTEN_TIME_AFTER_SIGTERM).await;
    close.notify_one();
    let remaining = Duration::from_secs_f64(limit_s.max(0.0)).saturating_sub(LISTEN_TIME_AFTER_SIGTERM);
    let _ = timeout(remaining.clamp(ACCEPT_WAITING_MIN, LISTEN_TIME_AFTER_SIGTERM), listening).await;
}

/// Shuts down one core; returns when all its clients are disconnected or the time limit is reached.
/// `listener_closed` completes when no further connection will arrive.
pub async fn shut_down(dispatcher: DispatcherHandle, listener_closed: impl Future<Output = ()>) {
    let clock = dispatcher.borrow().clock;
    let phases = begin_draining(&dispatcher);
    listener_closed.await;
    // The task of the last accepted connection runs for the first time during this pause; without the pause,
    // the connection would not be counted as a client below.
    sleep(POLL_INTERVAL).await;
    while clock.now() < phases.end && !dispatcher.borrow().clients.is_empty() {
        if clock.now() >= phases.close_at {
            dispatcher.borrow_mut().shutdown_phase = ShutdownPhase::Closing;
            dispatcher.borrow().clients.close_idle();
        }
        sleep(POLL_INTERVAL).await;
    }
    let open_queries = fail_queries_and_disconnect(&dispatcher).await;
    let took_s = clock.now() - phases.began;
    tracing::info!(target: "stop", "shutdown ended after {took_s:.1} s: {open_queries} open queries were answered with an error");
}

/// When the phases of a shutdown begin, in seconds of the monotonic clock.
struct PhaseTimes {
    began: f64,
    /// From this time on, idle connections are closed at once and others after their current response,
    /// because a new query might not be answered before `end`.
    close_at: f64,
    /// When the remaining open queries are answered with an error.
    end: f64,
}

fn begin_draining(dispatcher: &DispatcherHandle) -> PhaseTimes {
    let mut dispatcher = dispatcher.borrow_mut();
    let began = dispatcher.clock.now();
    dispatcher.shutdown_phase = ShutdownPhase::Draining;
    let (queries, clients) = (dispatcher.queries.len(), dispatcher.clients.len());
    tracing::info!(target: "stop", "SIGTERM: shutdown begins with {queries} open queries and {clients} client connections");
    let end = began + shutdown_time_limit_s(dispatcher.longest_deadline_s(began));
    PhaseTimes { began, close_at: end - dispatcher.admission.max_latency_objective_s, end }
}

/// Fails all open queries, so that their clients get an error response; returns the number of these queries.
fn fail_open_queries(dispatcher: &DispatcherHandle) -> usize {
    let mut dispatcher = dispatcher.borrow_mut();
    let open_queries = dispatcher.queries.len();
    dispatcher.shutdown_phase = ShutdownPhase::Ending;
    dispatcher.fail_all_queries();
    dispatcher.clients.close_for_shutdown();
    open_queries
}

/// Answers all open queries of a core with an error and closes its client connections, at the end of a
/// shutdown or after a failure of the core. Every request that was read gets a response, including pipelined
/// requests and requests that arrive meanwhile. Returns the number of queries that were open.
pub async fn fail_queries_and_disconnect(dispatcher: &DispatcherHandle) -> usize {
    let open_queries = fail_open_queries(dispatcher);
    wait_for_last_answers(dispatcher).await;
    open_queries
}

/// Waits until the last responses are written and all clients are disconnected, for at most
/// [`LAST_ANSWERS_S`] but at least [`POLLS_MIN`] intervals. Without that minimum, a process that is suspended
/// during the wait would exit before its tasks have written the responses.
async fn wait_for_last_answers(dispatcher: &DispatcherHandle) {
    let clock = dispatcher.borrow().clock;
    let deadline = clock.now() + LAST_ANSWERS_S;
    let mut polls = 0;
    while !dispatcher.borrow().clients.is_empty() && (clock.now() < deadline || polls < POLLS_MIN) {
        sleep(POLL_INTERVAL).await;
        polls += 1;
    }
}

/// Closes the client connections that were assigned to a core after its shutdown. Requests on these
/// connections are rejected at once.
pub async fn reject_late_connections(dispatcher: DispatcherHandle) {
    // The tasks of these connections run for the first time during this pause.
    sleep(POLL_INTERVAL).await;
    dispatcher.borrow().clients.close_for_shutdown();
    wait_for_last_answers(&dispatcher).await;
}
