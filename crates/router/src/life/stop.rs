//! The way out after SIGTERM: nothing that was taken is lost.
use crate::memory::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::Notify;
use tokio::time::sleep;

/// PROTOCOL: new connections keep coming for 0.4 s after SIGTERM; a request that came by 0.7 s is answered;
/// SIGKILL comes no sooner than the longest deadline, 3 s at least, and 0.7 s.
const LISTEN: f64 = 0.5;
const LAST_REQUEST: f64 = 0.7;
const LEAST_DEADLINE: f64 = 3.0;
/// How far ahead of SIGKILL this program ends.
const AHEAD: f64 = 0.2;
const LOOK: Duration = Duration::from_millis(10);

/// Waits for SIGTERM, then sees the stop through; returns when the program may end.
pub async fn at_sigterm(mut terms: Signal, desk: Shared, close_listener: Rc<Notify>) {
    terms.recv().await;
    let (clock, began, limit) = {
        let mut desk = desk.borrow_mut();
        let began = desk.clock.now();
        desk.stopping = Some(began);
        let (queries, clients) = (desk.queries.len(), desk.clients.len());
        log::info!(target: "stop", "SIGTERM: {queries} queries open, {clients} clients");
        // Clients go on using the connections that they have for as long as these stay open.
        desk.clients.dismiss_idle(false);
        (desk.clock, began, desk.room.deadline.max(LEAST_DEADLINE) + LAST_REQUEST - AHEAD)
    };
    sleep(Duration::from_secs_f64(LISTEN)).await;
    close_listener.notify_one();
    sleep(Duration::from_secs_f64(LAST_REQUEST - LISTEN)).await;
    while clock.now() < began + limit {
        desk.borrow().clients.dismiss_idle(true);
        if desk.borrow().clients.is_empty() {
            break;
        }
        sleep(LOOK).await;
    }
    let (took, open) = (clock.now() - began, desk.borrow().queries.len());
    log::info!(target: "stop", "ended after {took:.1} s: {open} queries open");
}
