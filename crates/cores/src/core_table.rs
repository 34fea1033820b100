//! The status of each core. Cores send heartbeats; the acceptor thread checks them, assigns connections to cores that
//! serve, and decides whether a core that failed is restarted.
use std::collections::VecDeque;

/// A core without a heartbeat for longer than this is hung: it gets no new connections until its next heartbeat.
const HEARTBEAT_TIMEOUT_S: f64 = 0.5;
/// A core that fails more often than this within `FAILURE_WINDOW_S` is not restarted, since it would go on failing with
/// the queries it takes.
const MAX_FAILURES: usize = 5;
const FAILURE_WINDOW_S: f64 = 60.0;
/// Wait before the first restart; it doubles with each further failure within `FAILURE_WINDOW_S`.
const INITIAL_RESTART_DELAY_S: f64 = 0.05;

/// What a core does at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CoreStatus {
    /// Its thread has started and has sent no heartbeat yet.
    Starting,
    /// It sends heartbeats in time.
    Serving,
    /// It has missed its heartbeats; holds the time of the last one.
    Hung(f64),
    /// Its thread has ended; holds the time of the restart.
    Failed(f64),
    /// It has failed too often and is not restarted.
    Lost,
}

/// A change of a core's status, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// Index of the core.
    pub core: usize,
    /// Its new status.
    pub status: CoreStatus,
    /// How many cores serve after the change.
    pub serving: usize,
}

struct Core {
    status: CoreStatus,
    last_heartbeat_s: f64,
    clients: usize,
    /// Connections assigned since the last heartbeat, which `clients` may not include yet.
    assigned: usize,
    /// Times of the failures within `FAILURE_WINDOW_S`.
    failures: VecDeque<f64>,
}

/// The cores of one process, as the acceptor thread sees them.
pub struct CoreTable {
    cores: Vec<Core>,
    /// The core at which the search for the next connection's core begins, so that cores with equally few clients take
    /// turns.
    next_core: usize,
}

impl CoreTable {
    /// A table of `count` cores that start at `now`.
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

    /// The status of a core.
    pub fn status(&self, core: usize) -> CoreStatus {
        self.cores[core].status
    }

    /// How many cores serve.
    pub fn serving_count(&self) -> usize {
        self.cores.iter().filter(|c| c.status == CoreStatus::Serving).count()
    }

    /// How many cores have a status that matches.
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

    /// Records a core's latest heartbeat, sent at `at`, and its number of clients.
    pub fn record_heartbeat(&mut self, core: usize, at: f64, clients: usize) -> Option<StatusChange> {
        let own = &mut self.cores[core];
        if at <= own.last_heartbeat_s {
            return None;
        }
        (own.last_heartbeat_s, own.clients, own.assigned) = (at, clients, 0);
        match own.status {
            CoreStatus::Starting | CoreStatus::Hung(_) => self.set_status(core, CoreStatus::Serving),
            // The heartbeat of a core that has failed since was sent before the failure.
            CoreStatus::Serving | CoreStatus::Failed(_) | CoreStatus::Lost => None,
        }
    }

    /// Accounts for a pause of the acceptor thread, which last checked the cores at `since`. Guards against taking that
    /// pause for a hang of the cores: if it was longer than the heartbeat timeout, the timeout of each serving core
    /// starts again.
    pub fn acceptor_paused(&mut self, since: f64, now: f64) {
        if now - since > HEARTBEAT_TIMEOUT_S {
            let serving = self.cores.iter_mut().filter(|core| core.status == CoreStatus::Serving);
            serving.for_each(|core| core.last_heartbeat_s = now);
        }
    }

    /// Marks serving cores as hung whose heartbeat has timed out, and returns the changes.
    pub fn mark_hung(&mut self, now: f64) -> Vec<StatusChange> {
        let overdue =
            |c: &Core| c.status == CoreStatus::Serving && now - c.last_heartbeat_s > HEARTBEAT_TIMEOUT_S;
        let hung: Vec<usize> = (0..self.cores.len()).filter(|&i| overdue(&self.cores[i])).collect();
        hung.into_iter()
            .filter_map(|i| self.set_status(i, CoreStatus::Hung(self.cores[i].last_heartbeat_s)))
            .collect()
    }

    /// Records that a core's thread has ended without a shutdown.
    pub fn record_failure(&mut self, core: usize, now: f64) -> Option<StatusChange> {
        let own = &mut self.cores[core];
        own.failures.push_back(now);
        own.failures.retain(|at| now - at < FAILURE_WINDOW_S);
        (own.clients, own.assigned) = (0, 0);
        let count = own.failures.len();
        let delay = INITIAL_RESTART_DELAY_S * f64::from(1u32 << (count - 1).min(10));
        let status = if count > MAX_FAILURES { CoreStatus::Lost } else { CoreStatus::Failed(now + delay) };
        self.set_status(core, status)
    }

    /// Returns the failed cores whose restart is due and marks them as starting.
    pub fn take_due_restarts(&mut self, now: f64) -> Vec<usize> {
        let due = |c: &Core| matches!(c.status, CoreStatus::Failed(at) if at <= now);
        let due: Vec<usize> = (0..self.cores.len()).filter(|&i| due(&self.cores[i])).collect();
        for &core in &due {
            (self.cores[core].status, self.cores[core].last_heartbeat_s) = (CoreStatus::Starting, now);
        }
        due
    }

    /// Whether every core is lost.
    pub fn are_all_lost(&self) -> bool {
        self.cores.iter().all(|c| c.status == CoreStatus::Lost)
    }

    /// The core for the next connection: a serving one with the fewest clients, in rotation among equals. While no core
    /// serves, a starting one. None if there is neither.
    pub fn assign_connection(&mut self) -> Option<usize> {
        let count = self.cores.len();
        let rank = |c: &Core| match c.status {
            CoreStatus::Serving => Some(0),
            CoreStatus::Starting => Some(1),
            _ => None,
        };
        let order = (0..count).map(|step| (self.next_core + step) % count);
        let candidates = order.filter_map(|i| {
            let own = &self.cores[i];
            Some((rank(own)?, own.clients + own.assigned, i))
        });
        let core = candidates.min_by_key(|&(rank, clients, _)| (rank, clients))?.2;
        self.next_core = (core + 1) % count;
        self.cores[core].assigned += 1;
        Some(core)
    }
}
