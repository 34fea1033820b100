//! The status of each core of a router process; a core is one thread. Cores send heartbeats to the acceptor
//! thread. That thread accepts the clients' connections, detects cores that hang, assigns connections to
//! cores that serve, and decides whether a core that failed is restarted. All times are seconds of the clock
//! that all threads share.
use std::collections::VecDeque;

/// Seconds without a heartbeat after which a core is hung. A hung core gets no new connections until its next
/// heartbeat.
const HEARTBEAT_TIMEOUT_S: f64 = 0.5;
/// A core that fails more than this number of times within `FAILURE_WINDOW_S` seconds is not restarted, since
/// each further failure would abort the queries that the core has accepted.
const MAX_FAILURES: usize = 5;
const FAILURE_WINDOW_S: f64 = 60.0;
/// Seconds from a core's first failure to its restart; doubled with each further failure within
/// `FAILURE_WINDOW_S`.
const INITIAL_RESTART_DELAY_S: f64 = 0.05;

/// Whether a core's thread has started, serves, hangs or has failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CoreStatus {
    /// The core's thread has started and has sent no heartbeat yet.
    Starting,
    /// The core's heartbeats arrive within `HEARTBEAT_TIMEOUT_S`.
    Serving,
    /// The core has sent no heartbeat for more than `HEARTBEAT_TIMEOUT_S`. Holds the time of the last
    /// heartbeat, in seconds of the shared clock.
    Hung(f64),
    /// The core's thread has ended although the process is not shutting down. Holds the time at which the
    /// core is to be restarted, in seconds of the shared clock.
    Failed(f64),
    /// The core has failed more than `MAX_FAILURES` times within `FAILURE_WINDOW_S` and is not restarted.
    Lost,
}

/// A change of a core's status, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// Index of the core.
    pub core: usize,
    /// The core's new status.
    pub status: CoreStatus,
    /// The number of cores with status `Serving` after the change.
    pub serving: usize,
}

struct Core {
    status: CoreStatus,
    last_heartbeat_s: f64,
    clients: usize,
    /// Number of connections assigned to the core since its last heartbeat was recorded. The client count in
    /// that heartbeat does not include these connections.
    assigned: usize,
    /// Times of the core's failures within the last `FAILURE_WINDOW_S`, in seconds of the shared clock.
    failures: VecDeque<f64>,
}

/// The cores of one process, as known to the acceptor thread.
pub struct CoreTable {
    cores: Vec<Core>,
    /// Index of the core at which the search for the next connection's core begins, so that cores with
    /// equally few clients get connections in turn.
    next_core: usize,
}

impl CoreTable {
    /// Creates a table of `count` cores whose threads start at `now`.
    pub fn new(count: usize, now: f64) -> Self {
        let core = || Core {
            status: CoreStatus::Starting,
            last_heartbeat_s: now,
            clients: 0,
            assigned: 0,
            failures: VecDeque::new(),
        };
        CoreTable { cores: (0..count).map(|_| core()).collect(), next_core: 0 }
    }

    /// Returns the status of the core with index `core`.
    pub fn status(&self, core: usize) -> CoreStatus {
        self.cores[core].status
    }

    /// The number of cores with status `Serving`.
    pub fn serving_count(&self) -> usize {
        self.cores.iter().filter(|c| c.status == CoreStatus::Serving).count()
    }

    /// The number of cores whose status satisfies `matches`.
    pub fn count(&self, matches: impl Fn(CoreStatus) -> bool) -> usize {
        self.cores.iter().filter(|c| matches(c.status)).count()
    }

    fn set_status(&mut self, core: usize, status: CoreStatus) -> Option<StatusChange> {
        if self.cores[core].status == status {
            return None;
        }
        self.cores[core].status = status;
        Some(StatusChange { core, status, serving: self.serving_count() })
    }

    /// Records a heartbeat that a core sent at `at`, with the core's number of clients. Ignores a heartbeat
    /// that is not newer than the last one recorded.
    pub fn record_heartbeat(&mut self, core: usize, at: f64, clients: usize) -> Option<StatusChange> {
        let record = &mut self.cores[core];
        if at <= record.last_heartbeat_s {
            return None;
        }
        (record.last_heartbeat_s, record.clients, record.assigned) = (at, clients, 0);
        match record.status {
            CoreStatus::Starting | CoreStatus::Hung(_) => self.set_status(core, CoreStatus::Serving),
            // A heartbeat of a failed core was sent before the failure.
            CoreStatus::Serving | CoreStatus::Failed(_) | CoreStatus::Lost => None,
        }
    }

    /// Accounts for a pause of the acceptor thread, which last checked the cores at `since`. After a pause
    /// longer than the heartbeat timeout, the timeout of each serving core starts again at `now`. Otherwise
    /// the acceptor thread would mark cores as hung whose heartbeats it could not receive during its own
    /// pause.
    pub fn acceptor_paused(&mut self, since: f64, now: f64) {
        if now - since > HEARTBEAT_TIMEOUT_S {
            let serving = self.cores.iter_mut().filter(|core| core.status == CoreStatus::Serving);
            serving.for_each(|core| core.last_heartbeat_s = now);
        }
    }

    /// Marks each serving core as hung whose heartbeat has timed out, and returns the changes of status.
    pub fn mark_hung(&mut self, now: f64) -> Vec<StatusChange> {
        let overdue =
            |c: &Core| c.status == CoreStatus::Serving && now - c.last_heartbeat_s > HEARTBEAT_TIMEOUT_S;
        let hung: Vec<usize> = (0..self.cores.len()).filter(|&i| overdue(&self.cores[i])).collect();
        hung.into_iter()
            .filter_map(|i| self.set_status(i, CoreStatus::Hung(self.cores[i].last_heartbeat_s)))
            .collect()
    }

    /// Records that a core's thread ended at `now` although the process is not shutting down. Marks the core
    /// as lost if it has failed more than `MAX_FAILURES` times within the last `FAILURE_WINDOW_S`; otherwise
    /// schedules the core's restart.
    pub fn record_failure(&mut self, core: usize, now: f64) -> Option<StatusChange> {
        let record = &mut self.cores[core];
        record.failures.push_back(now);
        record.failures.retain(|at| now - at < FAILURE_WINDOW_S);
        (record.clients, record.assigned) = (0, 0);
        let count = record.failures.len();
        let delay = INITIAL_RESTART_DELAY_S * f64::from(1u32 << (count - 1).min(10));
        let status = if count > MAX_FAILURES { CoreStatus::Lost } else { CoreStatus::Failed(now + delay) };
        self.set_status(core, status)
    }

    /// Returns the indices of the failed cores that are to be restarted at `now` or earlier, and marks these
    /// cores as starting.
    pub fn take_due_restarts(&mut self, now: f64) -> Vec<usize> {
        let due = |c: &Core| matches!(c.status, CoreStatus::Failed(at) if at <= now);
        let due: Vec<usize> = (0..self.cores.len()).filter(|&i| due(&self.cores[i])).collect();
        for &core in &due {
            (self.cores[core].status, self.cores[core].last_heartbeat_s) = (CoreStatus::Starting, now);
        }
        due
    }

    /// Whether every core has status `Lost`, so that none will be restarted.
    pub fn are_all_lost(&self) -> bool {
        self.cores.iter().all(|c| c.status == CoreStatus::Lost)
    }

    /// Assigns the next connection to the serving core with the fewest clients, in rotation among equals, or
    /// to a starting core if none serves. Returns the core's index, or `None` if no core serves or starts.
    pub fn assign_connection(&mut self) -> Option<usize> {
        let count = self.cores.len();
        let rank = |c: &Core| match c.status {
            CoreStatus::Serving => Some(0),
            CoreStatus::Starting => Some(1),
            _ => None,
        };
        let order = (0..count).map(|step| (self.next_core + step) % count);
        let candidates = order.filter_map(|i| {
            let record = &self.cores[i];
            Some((rank(record)?, record.clients + record.assigned, i))
        });
        let core = candidates.min_by_key(|&(rank, clients, _)| (rank, clients))?.2;
        self.next_core = (core + 1) % count;
        self.cores[core].assigned += 1;
        Some(core)
    }
}
