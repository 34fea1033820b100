//! Supervises the cores of a router, which are threads that serve client connections. Detects from missing
//! heartbeats that a core hangs, and learns from a core's report that the core has failed. A failed core
//! waits until the supervisor permits its restart.
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

/// Minimum timeout for receiving each report of a core during a shutdown, even if the shutdown's deadline has
/// passed.
const REPORT_WAIT_MIN: Duration = Duration::from_millis(50);

/// Permits failed cores to restart, detects cores that hang, and moves client connections from a core with
/// high CPU usage to a core with lower CPU usage.
pub struct CoreSupervisor {
    shared: Arc<SharedState>,
    clock: Clock,
    publisher: Rc<RefCell<EndpointPublisher>>,
    core_table: Rc<RefCell<CoreTable>>,
    balance: Rebalancer,
    /// The cores' reports of failures and completed shutdowns.
    reports: mpsc::UnboundedReceiver<CoreReport>,
    /// For each core, a channel for permissions: one message permits the core to restart once after a
    /// failure.
    restarts: Vec<mpsc::Sender<()>>,
    /// When the heartbeats were last checked, in seconds of the monotonic clock.
    last_check_s: Cell<f64>,
}

impl CoreSupervisor {
    /// Creates a supervisor for the cores of `core_table`. `restarts` has one channel for each core.
    pub fn new(
        shared: Arc<SharedState>,
        clock: Clock,
        publisher: Rc<RefCell<EndpointPublisher>>,
        core_table: Rc<RefCell<CoreTable>>,
        reports: mpsc::UnboundedReceiver<CoreReport>,
        restarts: Vec<mpsc::Sender<()>>,
    ) -> Self {
        let (balance, last_check_s) = (Rebalancer::new(restarts.len()), Cell::new(clock.now()));
        CoreSupervisor { shared, clock, publisher, core_table, balance, reports, restarts, last_check_s }
    }

    /// Supervises the cores until SIGTERM is received.
    ///
    /// # Errors
    /// Every core has failed too often and is not restarted any more.
    pub async fn supervise(&mut self, mut terminations: Signals) -> io::Result<()> {
        let mut checks = interval(HEARTBEAT_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = terminations.recv() => return Ok(()),
                Some(report) = self.reports.recv() => {
                    if let CoreReport::Failed(core, reason) = report {
                        tracing::error!(target: "failure", "core {core} failed: {reason}");
                        let change = self.core_table.borrow_mut().record_failure(core, self.clock.now());
                        change.iter().for_each(log_change);
                    }
                }
                _ = checks.tick() => {
                    let due_restarts = self.core_table.borrow_mut().take_due_restarts(self.clock.now());
                    for core in due_restarts {
                        let _ = self.restarts[core].try_send(());
                    }
                    self.check_cores();
                }
            }
            if self.core_table.borrow().are_all_lost() {
                return Err(io::Error::other("every core has failed too often"));
            }
        }
    }

    /// Checks heartbeats in the first part of a shutdown, in which the listener is still open, so that a core
    /// that stops hanging is assigned new connections again. Unlike [`Self::supervise`], permits no restarts
    /// and moves no connections. Never returns.
    pub async fn monitor_heartbeats(&self) {
        loop {
            sleep(HEARTBEAT_INTERVAL).await;
            self.check_heartbeats().iter().for_each(log_change);
        }
    }

    /// Waits until every core that has not failed has shut down, or until `deadline_s`, in seconds of the
    /// monotonic clock. Returns the number of cores that still run. Each wait lasts at least
    /// `REPORT_WAIT_MIN`, so that reports are still read if the process was suspended past the deadline.
    pub async fn wait_and_count_running(&mut self, deadline_s: f64) -> usize {
        let is_running = |state| !matches!(state, CoreStatus::Failed(_) | CoreStatus::Lost);
        let mut running = self.core_table.borrow().count(is_running);
        while running > 0 {
            let remaining =
                Duration::from_secs_f64((deadline_s - self.clock.now()).max(0.0)).max(REPORT_WAIT_MIN);
            match timeout(remaining, self.reports.recv()).await {
                Ok(Some(CoreReport::Ended(_) | CoreReport::Failed(..))) => running -= 1,
                _ => break,
            }
        }
        running
    }

    /// Reads the heartbeats of all cores and updates the cores' states; returns the changed states. If this
    /// thread itself did not run for longer than the heartbeat timeout, no core counts as hung for that time.
    fn check_heartbeats(&self) -> Vec<StatusChange> {
        let (now, mut core_table) = (self.clock.now(), self.core_table.borrow_mut());
        let mut changes = vec![];
        for (core, core_state) in self.shared.cores.iter().enumerate() {
            let heartbeat_s = core_state.heartbeat_ms.load(Relaxed) as f64 / 1e3;
            changes.extend(core_table.record_heartbeat(
                core,
                heartbeat_s,
                core_state.client_count.load(Relaxed),
            ));
        }
        core_table.acceptor_paused(self.last_check_s.replace(now), now);
        changes.extend(core_table.mark_hung(now));
        changes
    }

    /// Checks the heartbeats, publishes the numbers of serving, hung and lost cores, and, if the CPU usages
    /// differ enough, moves client connections from the core with the highest usage to the core with the
    /// lowest.
    fn check_cores(&mut self) {
        let changes = self.check_heartbeats();
        let (now, core_table) = (self.clock.now(), self.core_table.borrow());
        let counters = self.publisher.borrow().counters.clone();
        self.shared.acceptor_metrics.send_replace(Arc::new(MetricsSnapshot { counters, gauges: vec![] }));
        changes.iter().for_each(log_change);
        self.shared.cores_serving.store(core_table.serving_count(), Relaxed);
        self.shared.cores_hung.store(core_table.count(|s| matches!(s, CoreStatus::Hung(_))), Relaxed);
        self.shared
            .cores_lost
            .store(core_table.count(|s| matches!(s, CoreStatus::Failed(_) | CoreStatus::Lost)), Relaxed);
        let load = |(core, core_state): (usize, &CoreState)| CoreLoad {
            utilization: core_state.busy_permille.load(Relaxed) as f64 / 1e3,
            active_clients: core_state.active_clients.load(Relaxed),
            is_serving: core_table.status(core) == CoreStatus::Serving,
        };
        let loads: Vec<CoreLoad> = self.shared.cores.iter().enumerate().map(load).collect();
        if let Some(transfer) = self.balance.next_move(now, &loads) {
            let (from, to, connections) = (transfer.from, transfer.to, transfer.connections);
            tracing::info!(
                target: "balance",
                "core {from} (CPU usage {:.2}) hands {connections} client connections over to core {to} (CPU usage {:.2})",
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
        CoreStatus::Serving => {
            tracing::info!(target: "cores", "core {core} is serving; {serving} cores are serving")
        }
        CoreStatus::Starting => {
            tracing::info!(target: "cores", "core {core} is starting; {serving} cores are serving")
        }
        CoreStatus::Hung(since) => {
            tracing::error!(target: "cores", "core {core} hangs since {since:.3} s after program start; {serving} cores are serving")
        }
        CoreStatus::Failed(_) => {
            tracing::error!(target: "cores", "core {core} failed; {serving} serve until it restarts")
        }
        CoreStatus::Lost => {
            tracing::error!(target: "cores", "core {core} failed too often and is not restarted; {serving} cores are serving");
        }
    }
}
