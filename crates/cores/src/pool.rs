//! A fixed amount shared by all cores of a process: capacity for queries and shard requests, or file descriptors. An
//! acquisition gets its whole amount in one atomic step or nothing, so the permits held never add up to more than the
//! pool's amount. Nothing is divided among the cores in advance, so no core holds back what another needs.
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A counter of free units.
#[derive(Debug)]
pub struct Pool {
    free: AtomicUsize,
    /// Callers that found too little free and are waiting.
    waiters: AtomicUsize,
}

/// Units acquired from a pool, given back on drop.
#[derive(Debug)]
pub struct PoolPermit {
    pool: Arc<Pool>,
    amount: usize,
}

impl Pool {
    /// A pool with `amount` free units.
    pub fn new(amount: usize) -> Arc<Self> {
        Arc::new(Pool { free: AtomicUsize::new(amount), waiters: AtomicUsize::new(0) })
    }

    /// Acquires `amount` units, or none if fewer are free.
    pub fn acquire(self: &Arc<Self>, amount: usize) -> Option<PoolPermit> {
        let less = |free: usize| free.checked_sub(amount);
        self.free.fetch_update(Ordering::AcqRel, Ordering::Acquire, less).ok()?;
        Some(PoolPermit { pool: self.clone(), amount })
    }

    /// Units that are free now.
    pub fn free(&self) -> usize {
        self.free.load(Ordering::Acquire)
    }

    /// Registers a waiter until the returned value is dropped, so that holders of permits can release what they don't
    /// need.
    pub fn register_waiter(self: &Arc<Self>) -> WaiterGuard {
        self.waiters.fetch_add(1, Ordering::AcqRel);
        WaiterGuard(self.clone())
    }

    /// Whether any caller is waiting for units.
    pub fn has_waiters(&self) -> bool {
        self.waiters.load(Ordering::Acquire) > 0
    }
}

/// Counts as a waiter of its pool until it is dropped.
pub struct WaiterGuard(Arc<Pool>);

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.0.waiters.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        self.pool.free.fetch_add(self.amount, Ordering::AcqRel);
    }
}
