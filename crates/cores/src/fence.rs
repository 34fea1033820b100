//! A fence that blocks a core, one thread with its own connections, from starting attempts while the core's
//! endpoint list may be outdated. A data node that starts to drain must get no new attempt after its grace
//! period, not even from a core that was paused and missed the update. A core can't detect a missed update by
//! itself, so each core checks the fence before each new attempt. All times are seconds of the monotonic
//! clock that all threads share, unless a name ends in `_ms`. The acceptor thread, which follows discovery,
//! publishes each new endpoint list to the cores.
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of the latest endpoint list that the acceptor thread has published, and when that thread last
/// read from discovery.
#[derive(Debug)]
pub struct Fence {
    /// Number of the latest published endpoint list; 0 before the first one.
    published: AtomicU64,
    /// When the acceptor thread had last processed all updates received from discovery, in milliseconds of
    /// the shared clock.
    last_discovery_read_ms: AtomicU64,
    /// Maximum number of seconds since `last_discovery_read_ms` at which cores may start attempts. Once more
    /// time has passed, no core may start an attempt until the acceptor thread records a newer read.
    max_discovery_age_s: f64,
}

/// Why a core may not start new attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blocked {
    /// The core has not applied the latest published endpoint list.
    ListOutdated,
    /// The acceptor thread has not read from discovery for more than `max_discovery_age_s` and may have
    /// missed an update.
    DiscoveryStale,
}

impl Fence {
    /// Creates a fence that forbids new attempts on every core once the acceptor thread has not read from
    /// discovery for more than `max_discovery_age_s` seconds.
    pub fn new(max_discovery_age_s: f64) -> Arc<Self> {
        Arc::new(Fence {
            published: AtomicU64::new(0),
            last_discovery_read_ms: AtomicU64::new(0),
            max_discovery_age_s,
        })
    }

    /// Assigns the next number to an endpoint list that is about to be sent to the cores, and returns the
    /// number. From then on no core may start attempts until that core has applied this list.
    pub fn publish(&self) -> u64 {
        self.published.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// The number of the latest published endpoint list.
    pub fn published(&self) -> u64 {
        self.published.load(Ordering::Acquire)
    }

    /// Records that at `now` the acceptor thread had processed all updates received from discovery. While no
    /// watch, a connection on which discovery sends updates, is open, no newer endpoint list can arrive; the
    /// acceptor thread then also calls this function, so that cores may continue to use the latest list.
    pub fn record_discovery_read(&self, now: f64) {
        self.last_discovery_read_ms.fetch_max((now * 1e3) as u64, Ordering::AcqRel);
    }

    /// Checks at `now` whether a core may start new attempts; `applied_list` is the number of the endpoint
    /// list that the core has applied.
    ///
    /// # Errors
    /// The reason why the core may not start new attempts.
    pub fn check(&self, applied_list: u64, now: f64) -> Result<(), Blocked> {
        if applied_list < self.published() {
            return Err(Blocked::ListOutdated);
        }
        let last_read_s = self.last_discovery_read_ms.load(Ordering::Acquire) as f64 / 1e3;
        if now - last_read_s > self.max_discovery_age_s { Err(Blocked::DiscoveryStale) } else { Ok(()) }
    }
}
