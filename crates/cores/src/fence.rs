//! Whether a core may start new attempts. A data node that starts to drain must get no new attempt after its grace
//! period, not even from a core that was paused meanwhile. A core can't detect by itself that it missed an update of the
//! endpoint list, so it checks this fence before each new attempt.
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The latest endpoint list that the acceptor thread has published, and how recent it is.
#[derive(Debug)]
pub struct Fence {
    published: AtomicU64,
    /// When the acceptor thread had last read everything from discovery, in milliseconds of the common clock.
    last_discovery_read_ms: AtomicU64,
    /// Seconds without a complete read of discovery after which the fence blocks every core.
    max_discovery_age_s: f64,
}

/// Why the fence blocks a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blocked {
    /// The core has not applied the latest published endpoint list.
    ListOutdated,
    /// The acceptor thread has not read from discovery for too long and may have missed an update itself.
    DiscoveryStale,
}

impl Fence {
    /// A fence that blocks every core once discovery has not been read for `max_discovery_age_s`.
    pub fn new(max_discovery_age_s: f64) -> Arc<Self> {
        Arc::new(Fence {
            published: AtomicU64::new(0),
            last_discovery_read_ms: AtomicU64::new(0),
            max_discovery_age_s,
        })
    }

    /// Assigns the next number to an endpoint list that is about to be sent to the cores, and returns it. From here on
    /// the fence blocks cores that have not applied that list.
    pub fn publish(&self) -> u64 {
        self.published.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// The number of the latest published endpoint list.
    pub fn published(&self) -> u64 {
        self.published.load(Ordering::Acquire)
    }

    /// Records that the acceptor thread has read everything that discovery had sent by `now`, or that there is no watch
    /// to read from and the last list remains in force.
    pub fn record_discovery_read(&self, now: f64) {
        self.last_discovery_read_ms.fetch_max((now * 1e3) as u64, Ordering::AcqRel);
    }

    /// Checks whether a core that has applied the list number `applied` may start new attempts.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check(&self, applied: u64, now: f64) -> Result<(), Blocked> {
        if applied < self.published() {
            return Err(Blocked::ListOutdated);
        }
        let last_read_s = self.last_discovery_read_ms.load(Ordering::Acquire) as f64 / 1e3;
        if now - last_read_s > self.max_discovery_age_s { Err(Blocked::DiscoveryStale) } else { Ok(()) }
    }
}
