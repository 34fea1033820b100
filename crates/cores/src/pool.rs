//! A fixed number of units that all cores, the threads of the process that serve clients, share. A unit is
//! the capacity for one query or shard request, or one file descriptor. A caller acquires all the units that
//! it asks for in one atomic step, or none, so the acquired units never exceed the pool's size. No units are
//! reserved for a core in advance, so no core holds back units that another core needs.
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A pool of units that are free or held by permits.
#[derive(Debug)]
pub struct Pool {
    free: AtomicUsize,
    /// Number of callers that found too few free units and now wait for units to be released. The callers
    /// wait in their own code; this module only counts them.
    waiters: AtomicUsize,
}

/// Units acquired from a pool. Dropping the permit returns the units to the pool.
#[derive(Debug)]
pub struct PoolPermit {
    pool: Arc<Pool>,
    units: usize,
}

impl Pool {
    /// Creates a pool with `units` free units.
    pub fn new(units: usize) -> Arc<Self> {
        Arc::new(Pool { free: AtomicUsize::new(units), waiters: AtomicUsize::new(0) })
    }

    /// Acquires `units` units. Returns `None` and acquires no unit if fewer are free.
    pub fn acquire(self: &Arc<Self>, units: usize) -> Option<PoolPermit> {
        let less = |free: usize| free.checked_sub(units);
        self.free.fetch_update(Ordering::AcqRel, Ordering::Acquire, less).ok()?;
        Some(PoolPermit { pool: self.clone(), units })
    }

    /// The number of units that are free now.
    pub fn free(&self) -> usize {
        self.free.load(Ordering::Acquire)
    }

    /// Counts the caller as waiting for units until the returned guard is dropped. Holders of permits are
    /// expected to call `has_waiters` from time to time, and to release units that they don't need while it
    /// returns true.
    pub fn register_waiter(self: &Arc<Self>) -> WaiterGuard {
        self.waiters.fetch_add(1, Ordering::AcqRel);
        WaiterGuard(self.clone())
    }

    /// Whether at least one caller is counted as waiting for units.
    pub fn has_waiters(&self) -> bool {
        self.waiters.load(Ordering::Acquire) > 0
    }
}

/// Counts its creator as a waiting caller of the pool until dropped.
pub struct WaiterGuard(Arc<Pool>);

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.0.waiters.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        self.pool.free.fetch_add(self.units, Ordering::AcqRel);
    }
}
