//! The way out after SIGTERM: nothing that was taken is lost, and clients keep their connections while they can.
use crate::memory::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::Notify;
use tokio::time::sleep;

/// PROTOCOL: new connections keep coming for 0.4 s after SIGTERM; SIGKILL comes no sooner than the longest
/// deadline, counted as 3 s where it is longer, and 0.7 s.
const LISTEN: f64 = 0.5;
const KILL: f64 = 0.7;
const LONGEST_DEADLINE: f64 = 3.0;
/// How far ahead of SIGKILL this program ends.
const AHEAD: f64 = 0.2;
const LOOK: Duration = Duration::from_millis(10);

/// Waits for SIGTERM, then sees the stop through; returns when the program may end. Clients go on using the
/// connections that they have, and may have nowhere else to go while another router is away: they are served
/// until a query that came now might find no time for its answer, which is when the connections close.
pub async fn at_sigterm(mut terms: Signal, desk: Shared, close_listener: Rc<Notify>) {
    terms.recv().await;
    let (clock, began, limit, slo) = {
        let mut desk = desk.borrow_mut();
        let began = desk.clock.now();
        desk.stopping = true;
        let (queries, clients) = (desk.queries.len(), desk.clients.len());
        log::info!(target: "stop", "SIGTERM: {queries} queries open, {clients} clients");
        (desk.clock, began, desk.room.deadline.min(LONGEST_DEADLINE) + KILL - AHEAD, desk.room.slo)
    };
    sleep(Duration::from_secs_f64(LISTEN)).await;
    close_listener.notify_one();
    while clock.now() < began + limit && !desk.borrow().clients.is_empty() {
        if clock.now() >= began + limit - slo {
            desk.borrow_mut().closing = true;
            desk.borrow().clients.dismiss_idle();
        }
        sleep(LOOK).await;
    }
    let open = desk.borrow().queries.len();
    desk.borrow_mut().abort_all();
    // The last answers go out.
    while clock.now() < began + limit + 0.5 * AHEAD && !desk.borrow().clients.is_empty() {
        sleep(LOOK).await;
    }
    log::info!(target: "stop", "ended after {:.1} s: {open} queries aborted", clock.now() - began);
}
