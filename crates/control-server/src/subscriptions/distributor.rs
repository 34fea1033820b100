//! The task that hands each connection the message that is due on it, and closes those whose routers are silent.
use super::hub::Hub;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Between two looks for silent routers.
const TIMEOUT_CHECK_INTERVAL_S: f64 = 0.5;
/// The shortest wait: the publisher's deadlines may lie closer together than a timer can tell apart.
const MIN_WAIT_S: f64 = 0.001;

pub(super) async fn run(hub: Rc<Hub>) {
    let mut next_timeout_check = 0.0;
    loop {
        let now = hub.clock.now();
        if now >= next_timeout_check {
            next_timeout_check = now + TIMEOUT_CHECK_INTERVAL_S;
            close_timed_out(&hub, now);
        }
        distribute(&hub, now);
        let deadline = hub.publisher.borrow().next_deadline().min(next_timeout_check);
        let wait_s = (deadline - now).clamp(MIN_WAIT_S, TIMEOUT_CHECK_INTERVAL_S);
        // What ended the wait makes no difference.
        let _ = timeout(Duration::from_secs_f64(wait_s), hub.changed.notified()).await;
    }
}

fn close_timed_out(hub: &Hub, now: f64) {
    let timed_out = hub.publisher.borrow_mut().tick(now);
    for (number, router) in timed_out {
        tracing::warn!(target: "subscriptions", "router {router} timed out: its connection is closed");
        hub.close(number);
    }
}

fn distribute(hub: &Hub, now: f64) {
    loop {
        let next = hub.publisher.borrow_mut().next_message(now);
        let Some((number, bytes)) = next else { return };
        if let Some(link) = hub.link(number) {
            *link.output.borrow_mut() = bytes;
            link.changed.notify_one();
        }
    }
}
