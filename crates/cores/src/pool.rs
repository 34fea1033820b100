//! A stated amount that holds for the whole program: queries and parts held, descriptors. Taken in one step or not
//! at all, so that what is out never adds up to more than the amount, not even for an instant; nothing is dealt out
//! beforehand, so no core sits on a part that another lacks.
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Debug)]
pub struct Pool {
    free: AtomicUsize,
    /// Takers that found too little and still wait.
    short: AtomicUsize,
}

/// What was taken; dropped, it is given back, and nowhere else.
#[derive(Debug)]
pub struct Taken {
    pool: Arc<Pool>,
    amount: usize,
}

impl Pool {
    pub fn new(amount: usize) -> Arc<Self> {
        Arc::new(Pool { free: AtomicUsize::new(amount), short: AtomicUsize::new(0) })
    }

    pub fn take(self: &Arc<Self>, amount: usize) -> Option<Taken> {
        let less = |free: usize| free.checked_sub(amount);
        self.free.fetch_update(Ordering::AcqRel, Ordering::Acquire, less).ok()?;
        Some(Taken { pool: self.clone(), amount })
    }

    pub fn free(&self) -> usize {
        self.free.load(Ordering::Acquire)
    }

    /// Says that somebody waits for as long as the returned value lives, so that others may let go of what they
    /// can spare.
    pub fn waits(self: &Arc<Self>) -> Waits {
        self.short.fetch_add(1, Ordering::AcqRel);
        Waits(self.clone())
    }

    pub fn is_short(&self) -> bool {
        self.short.load(Ordering::Acquire) > 0
    }
}

pub struct Waits(Arc<Pool>);

impl Drop for Waits {
    fn drop(&mut self) {
        self.0.short.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.pool.free.fetch_add(self.amount, Ordering::AcqRel);
    }
}
