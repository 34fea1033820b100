//! The way out after SIGTERM: nothing that was taken is lost, and clients keep their connections while they can.
use crate::state::DispatcherHandle;
use crate::state::shutdown_phase::ShutdownPhase;
use alderway_sockets::signals::Signals;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// PROTOCOL: new connections keep coming for 0.4 s after SIGTERM; SIGKILL comes no sooner than the longest
/// deadline, counted as 3 s where it is longer, and 0.7 s.
pub const LISTEN: Duration = Duration::from_millis(500);
const KILL: f64 = 0.7;
const LONGEST_DEADLINE: f64 = 3.0;
/// How far ahead of SIGKILL this program ends.
const AHEAD: f64 = 0.2;
const LOOK: Duration = Duration::from_millis(10);

/// How long a stop may take in all, by the longest deadline.
pub fn limit(deadline: f64) -> f64 {
    deadline.min(LONGEST_DEADLINE) + KILL - AHEAD
}

/// Waits for SIGTERM and sees the stop through on one core, whose listener ends with `close`.
pub async fn at_sigterm(
    mut terms: Signals,
    dispatcher: DispatcherHandle,
    close: Rc<Notify>,
    listening: JoinHandle<()>,
) {
    terms.recv().await;
    see_through(dispatcher, listener_closed(close, listening)).await;
}

/// Ends once no new client comes: guards against ending with connections that the system has accepted and nobody
/// has looked at yet, as after standing still.
pub async fn listener_closed(close: Rc<Notify>, listening: JoinHandle<()>) {
    sleep(LISTEN).await;
    close.notify_one();
    let _ = timeout(LISTEN, listening).await;
}

/// Sees a stop through; returns when the program may end. Clients go on using the connections that they have, and
/// may have nowhere else to go while another router is away: they are served until a query that came now might
/// find no time for its answer, which is when the connections close. `closed` ends when no new client comes.
pub async fn see_through(dispatcher: DispatcherHandle, closed: impl Future<Output = ()>) {
    let (clock, began, limit, slo) = {
        let mut dispatcher = dispatcher.borrow_mut();
        let began = dispatcher.clock.now();
        dispatcher.shutdown_phase = ShutdownPhase::Draining;
        let (queries, clients) = (dispatcher.queries.len(), dispatcher.clients.len());
        tracing::info!(target: "stop", "SIGTERM: {queries} queries open, {clients} clients");
        (
            dispatcher.clock,
            began,
            limit(dispatcher.longest_deadline_s(began)),
            dispatcher.admission.max_latency_objective_s,
        )
    };
    closed.await;
    // Guards against ending before what was accepted last has its task run for the first time.
    sleep(LOOK).await;
    while clock.now() < began + limit && !dispatcher.borrow().clients.is_empty() {
        if clock.now() >= began + limit - slo {
            dispatcher.borrow_mut().shutdown_phase = ShutdownPhase::Closing;
            dispatcher.borrow().clients.close_idle();
        }
        sleep(LOOK).await;
    }
    let open = dispatcher.borrow().queries.len();
    dispatcher.borrow_mut().shutdown_phase = ShutdownPhase::Rejecting;
    dispatcher.borrow_mut().fail_all_queries();
    last_answers(&dispatcher, began + limit + 0.5 * AHEAD).await;
    tracing::info!(target: "stop", "ended after {:.1} s: {open} queries aborted", clock.now() - began);
}

/// The last answers go out, until a time at the latest.
async fn last_answers(dispatcher: &DispatcherHandle, until: f64) {
    let clock = dispatcher.borrow().clock;
    while clock.now() < until && !dispatcher.borrow().clients.is_empty() {
        sleep(LOOK).await;
    }
}

/// Ends connections that came to a core whose stop was seen through: what they ask for is refused at once.
pub async fn end(dispatcher: DispatcherHandle) {
    let now = dispatcher.borrow().clock.now();
    // Their tasks have yet to run for the first time.
    sleep(LOOK).await;
    dispatcher.borrow().clients.close_idle();
    last_answers(&dispatcher, now + 0.5 * AHEAD).await;
}
