//! Whether a core may send something new. A drain has to reach every core within the grace, also one that stood
//! still meanwhile; a core cannot know by itself that it missed something, so it asks here before each new call.
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// What the lead has published and when it last had nothing unread from discovery.
#[derive(Debug)]
pub struct Fence {
    published: AtomicU64,
    /// Milliseconds of the common clock.
    looked: AtomicU64,
    /// Seconds after which the lead counts as standing still.
    patience: f64,
}

/// Why nothing new may go out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Held {
    /// A newer roster is published than this core has taken in.
    Behind,
    /// The lead may have missed something itself.
    Unled,
}

impl Fence {
    pub fn new(patience: f64) -> Arc<Self> {
        Arc::new(Fence { published: AtomicU64::new(0), looked: AtomicU64::new(0), patience })
    }

    /// Before the lead hands a new roster to the cores; returns its number. From here on nobody who lacks it sends.
    pub fn publish(&self) -> u64 {
        self.published.fetch_add(1, Ordering::AcqRel) + 1
    }

    pub fn published(&self) -> u64 {
        self.published.load(Ordering::Acquire)
    }

    /// The lead has read all that discovery had sent by `now`, or knows that there is no watch to read from: then
    /// the old list holds.
    pub fn looked(&self, now: f64) {
        self.looked.fetch_max((now * 1e3) as u64, Ordering::AcqRel);
    }

    /// Whether a core that has taken in roster number `known` may send something new.
    pub fn passes(&self, known: u64, now: f64) -> Result<(), Held> {
        if known < self.published() {
            return Err(Held::Behind);
        }
        let looked = self.looked.load(Ordering::Acquire) as f64 / 1e3;
        if now - looked > self.patience { Err(Held::Unled) } else { Ok(()) }
    }
}
