//! Watches over the cores of a program by their heartbeats and reports.
use super::core::{CoreReport, HEARTBEAT_INTERVAL};
use super::endpoint_publisher::EndpointPublisher;
use crate::state::metrics::MetricsSnapshot;
use crate::state::shared::{CoreCommand, CoreState, SharedState};
use alderway_cores::core_table::{CoreStatus, CoreTable, StatusChange};
use alderway_cores::rebalancer::{CoreLoad, Rebalancer};
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// How long a report of a core that shuts down is waited for at the least.
const REPORT_WAIT_MIN: Duration = Duration::from_millis(50);

/// Watches over the cores: starts failed ones anew, finds those that hang, and evens out their load.
pub struct CoreSupervisor {
    shared: Arc<SharedState>,
    clock: Clock,
    publisher: Rc<RefCell<EndpointPublisher>>,
    crew: Rc<RefCell<CoreTable>>,
    balance: Rebalancer,
    /// What the cores report.
    reports: mpsc::UnboundedReceiver<CoreReport>,
    /// Lets each core start again after a failure.
    restarts: Vec<mpsc::Sender<()>>,
    /// When the cores were last looked at.
    looked_at: Cell<f64>,
}

impl CoreSupervisor {
    /// Over the cores of `crew`, each of which has an entry in `restarts`.
    pub fn new(
        shared: Arc<SharedState>,
        clock: Clock,
        publisher: Rc<RefCell<EndpointPublisher>>,
        crew: Rc<RefCell<CoreTable>>,
        reports: mpsc::UnboundedReceiver<CoreReport>,
        restarts: Vec<mpsc::Sender<()>>,
    ) -> Self {
        let (balance, looked_at) = (Rebalancer::new(restarts.len()), Cell::new(clock.now()));
        CoreSupervisor { shared, clock, publisher, crew, balance, reports, restarts, looked_at }
    }

    /// Watches until SIGTERM.
    ///
    /// # Errors
    /// No core is left that will ever serve.
    pub async fn watch(&mut self, mut terminations: Signals) -> io::Result<()> {
        let mut looks = interval(HEARTBEAT_INTERVAL);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = terminations.recv() => return Ok(()),
                Some(report) = self.reports.recv() => {
                    if let CoreReport::Failed(core, why) = report {
                        tracing::error!(target: "failure", "core {core}: {why}");
                        let change = self.crew.borrow_mut().record_failure(core, self.clock.now());
                        change.iter().for_each(log_change);
                    }
                }
                _ = looks.tick() => {
                    let starts = self.crew.borrow_mut().take_due_restarts(self.clock.now());
                    for core in starts {
                        let _ = self.restarts[core].try_send(());
                    }
                    self.look();
                }
            }
            if self.crew.borrow().are_all_lost() {
                return Err(io::Error::other("every core has failed too often"));
            }
        }
    }

    /// Goes on looking at the cores while connections are still accepted in a shutdown: one that was silent may beat again.
    pub async fn look_on(&self) {
        loop {
            sleep(HEARTBEAT_INTERVAL).await;
            self.see_beats().iter().for_each(log_change);
        }
    }

    /// Waits until the cores that are still there have shut down, until a time at the latest; how many have not. Guards
    /// against a process that stands still past that time: what the cores have reported by then is read all the same.
    pub async fn wait_for_shutdown(&mut self, until: f64) -> usize {
        let is_there = |state| !matches!(state, CoreStatus::Failed(_) | CoreStatus::Lost);
        let mut left = self.crew.borrow().count(is_there);
        while left > 0 {
            let remaining = Duration::from_secs_f64((until - self.clock.now()).max(0.0)).max(REPORT_WAIT_MIN);
            match timeout(remaining, self.reports.recv()).await {
                Ok(Some(CoreReport::Ended(_) | CoreReport::Failed(..))) => left -= 1,
                _ => break,
            }
        }
        left
    }

    /// Takes in how the cores have beaten, and finds those that hang.
    fn see_beats(&self) -> Vec<StatusChange> {
        let (now, mut crew) = (self.clock.now(), self.crew.borrow_mut());
        let mut changes = vec![];
        for (core, core_state) in self.shared.cores.iter().enumerate() {
            let at = core_state.heartbeat_ms.load(Relaxed) as f64 / 1e3;
            changes.extend(crew.record_heartbeat(core, at, core_state.client_count.load(Relaxed)));
        }
        crew.acceptor_paused(self.looked_at.replace(now), now);
        changes.extend(crew.mark_hung(now));
        changes
    }

    fn look(&mut self) {
        let changes = self.see_beats();
        let (now, crew) = (self.clock.now(), self.crew.borrow());
        let counters = self.publisher.borrow().counters.clone();
        self.shared.acceptor_metrics.send_replace(Arc::new(MetricsSnapshot { counters, gauges: vec![] }));
        changes.iter().for_each(log_change);
        self.shared.cores_serving.store(crew.serving_count(), Relaxed);
        self.shared.cores_hung.store(crew.count(|s| matches!(s, CoreStatus::Hung(_))), Relaxed);
        self.shared
            .cores_lost
            .store(crew.count(|s| matches!(s, CoreStatus::Failed(_) | CoreStatus::Lost)), Relaxed);
        let load = |(core, core_state): (usize, &CoreState)| CoreLoad {
            utilization: core_state.busy_permille.load(Relaxed) as f64 / 1e3,
            active_clients: core_state.active_clients.load(Relaxed),
            is_serving: crew.status(core) == CoreStatus::Serving,
        };
        let loads: Vec<CoreLoad> = self.shared.cores.iter().enumerate().map(load).collect();
        if let Some(going) = self.balance.next_move(now, &loads) {
            let (from, to, connections) = (going.from, going.to, going.connections);
            tracing::info!(
                target: "balance",
                "core {from} ({:.2} busy) gives {connections} connections to core {to} ({:.2} busy)",
                loads[from].utilization,
                loads[to].utilization
            );
            let _ = self.shared.send_command(from, CoreCommand::HandOver { to, connections });
        }
    }
}

fn log_change(change: &StatusChange) {
    let StatusChange { core, status: state, serving } = change;
    match state {
        CoreStatus::Serving => tracing::info!(target: "cores", "core {core} serves; {serving} serve"),
        CoreStatus::Starting => tracing::info!(target: "cores", "core {core} starts; {serving} serve"),
        CoreStatus::Hung(since) => {
            tracing::error!(target: "cores", "core {core} hangs since {since:.3}; {serving} serve")
        }
        CoreStatus::Failed(_) => tracing::error!(target: "cores", "core {core} failed; {serving} serve"),
        CoreStatus::Lost => {
            tracing::error!(target: "cores", "core {core} failed too often and stays out; {serving} serve");
        }
    }
}
