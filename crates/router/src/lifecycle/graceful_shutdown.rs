//! Graceful shutdown after SIGTERM. New connections are accepted for a while, and clients keep the connections they
//! have, because no other router may be available to them. Every admitted query gets an answer before the platform
//! sends SIGKILL.
//!
//! The phases, as `ShutdownPhase` names them:
//!
//! 1. Draining, from SIGTERM: the listener stays open for [`LISTEN_TIME_AFTER_SIGTERM`], and connections are served as before.
//! 2. Closing, as soon as a new query might not be answered before the end: idle connections are closed at once,
//!    others after their answer.
//! 3. Ending, once all clients are disconnected or the time limit is reached: open queries fail, and their answers
//!    are written.
use crate::state::DispatcherHandle;
use crate::state::shutdown_phase::ShutdownPhase;
use alderway_sockets::signals::Signals;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// How long the listener stays open after SIGTERM. By the client protocol, new connections may arrive for 0.4 s.
pub const LISTEN_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// By the client protocol, SIGKILL follows SIGTERM no sooner than after the longest deadline, of which at most 3 s
/// count, plus 0.7 s.
const MAX_DEADLINE_S: f64 = 3.0;
const KILL_AFTER_DEADLINE_S: f64 = 0.7;
/// Time reserved for writing the last answers, in seconds.
const LAST_ANSWERS_S: f64 = 0.1;
/// The users' acceptance tests suspend the process for up to this long at any time, in seconds.
const STALL_S: f64 = 0.15;
/// Time between the end of the program and SIGKILL, in seconds, even if the process was suspended for [`STALL_S`].
const SAFETY_MARGIN_S: f64 = 0.15;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum number of polls while waiting for the last answers: one to read pending requests, one to answer them, and
/// one to write the answers.
const POLLS_MIN: usize = 3;
/// Minimum time for accepting the connections that wait in the queue of the closing listener.
const ACCEPT_WAITING_MIN: Duration = Duration::from_millis(100);

/// Time from SIGTERM until the remaining open queries fail, in seconds, if `longest_deadline_s` is the longest deadline.
pub fn shutdown_time_limit_s(longest_deadline_s: f64) -> f64 {
    let reserved_s = LAST_ANSWERS_S + STALL_S + SAFETY_MARGIN_S;
    longest_deadline_s.min(MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S - reserved_s
}

/// Waits for SIGTERM and shuts down a router on one core, whose listener stops at `close`. Returns when the program
/// may end.
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

/// Closes the listener after [`LISTEN_TIME_AFTER_SIGTERM`], and returns once no further connection is accepted. Waits at most
/// until the end of a shutdown of `limit_s` seconds, in case descriptors are released too slowly. Guards against
/// ending while connections that the system has accepted wait in the listener's queue, for example after the process
/// was suspended.
pub async fn close_listener(close: Rc<Notify>, listening: JoinHandle<()>, limit_s: f64) {
    sleep(LISTEN_TIME_AFTER_SIGTERM).await;
    close.notify_one();
    let remaining = Duration::from_secs_f64(limit_s.max(0.0)).saturating_sub(LISTEN_TIME_AFTER_SIGTERM);
    let _ = timeout(remaining.clamp(ACCEPT_WAITING_MIN, LISTEN_TIME_AFTER_SIGTERM), listening).await;
}

/// Shuts one core down; returns when the program may end. `listener_closed` completes when no further connection arrives.
pub async fn shut_down(dispatcher: DispatcherHandle, listener_closed: impl Future<Output = ()>) {
    let clock = dispatcher.borrow().clock;
    let phases = begin_draining(&dispatcher);
    listener_closed.await;
    // Guards against ending before the task of the last accepted connection has run for the first time.
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
    tracing::info!(target: "stop", "ended after {took_s:.1} s: {open_queries} open queries failed");
}

/// When the phases of a shutdown begin, in seconds of the clock.
struct PhaseTimes {
    began: f64,
    /// From then on connections close, as a new query might not be answered before `end`.
    close_at: f64,
    /// Open queries fail then.
    end: f64,
}

fn begin_draining(dispatcher: &DispatcherHandle) -> PhaseTimes {
    let mut dispatcher = dispatcher.borrow_mut();
    let began = dispatcher.clock.now();
    dispatcher.shutdown_phase = ShutdownPhase::Draining;
    let (queries, clients) = (dispatcher.queries.len(), dispatcher.clients.len());
    tracing::info!(target: "stop", "SIGTERM: {queries} queries open, {clients} clients");
    let end = began + shutdown_time_limit_s(dispatcher.longest_deadline_s(began));
    PhaseTimes { began, close_at: end - dispatcher.admission.max_latency_objective_s, end }
}

/// Fails all open queries and returns how many there were.
fn fail_open_queries(dispatcher: &DispatcherHandle) -> usize {
    let mut dispatcher = dispatcher.borrow_mut();
    let open_queries = dispatcher.queries.len();
    dispatcher.shutdown_phase = ShutdownPhase::Ending;
    dispatcher.fail_all_queries();
    dispatcher.clients.close_at_program_end();
    open_queries
}

/// Ends all queries and client connections of a core, at the end of a shutdown or after a failure of the core. Every
/// request that was read gets its final answer, including those that wait behind an open query or arrive meanwhile.
/// Returns how many queries were open.
pub async fn fail_queries_and_disconnect(dispatcher: &DispatcherHandle) -> usize {
    let open_queries = fail_open_queries(dispatcher);
    wait_for_last_answers(dispatcher).await;
    open_queries
}

/// Waits until the last answers are written and all clients are disconnected, for at most [`LAST_ANSWERS_S`]. Guards
/// against a process that is suspended just before or during the wait, and would end before its tasks have written
/// the answers: the time starts with the wait, which also makes at least [`POLLS_MIN`] polls.
async fn wait_for_last_answers(dispatcher: &DispatcherHandle) {
    let clock = dispatcher.borrow().clock;
    let deadline = clock.now() + LAST_ANSWERS_S;
    let mut polls = 0;
    while !dispatcher.borrow().clients.is_empty() && (clock.now() < deadline || polls < POLLS_MIN) {
        sleep(POLL_INTERVAL).await;
        polls += 1;
    }
}

/// Ends connections that were assigned to a core after its shutdown: their requests are rejected at once.
pub async fn reject_late_connections(dispatcher: DispatcherHandle) {
    // Lets the tasks of these connections run for the first time.
    sleep(POLL_INTERVAL).await;
    dispatcher.borrow().clients.close_at_program_end();
    wait_for_last_answers(&dispatcher).await;
}
