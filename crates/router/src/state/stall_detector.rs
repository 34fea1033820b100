//! Finds out that this thread has stood still, as when its process was stopped or kept off its core: what came
//! meanwhile waits unread, and nothing that was known before is to be acted on until it has been read.

/// A gap between two looks that is no stall. A client that has left, or a drain, may wait unread for so long.
const STALL: f64 = 0.02;

/// Counts stalls of one thread. A thread that had nothing to do looks like one that stood still.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_check_s: f64,
    count: u64,
}

impl StallDetector {
    /// To be called by all that runs on the thread; returns the number of the latest stall.
    pub fn check(&mut self, now: f64) -> u64 {
        self.count += u64::from(now - self.last_check_s > STALL);
        self.last_check_s = now;
        self.count
    }
}
