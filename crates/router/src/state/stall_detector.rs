//! Finds out that this thread stood still, as when its process was stopped or kept off its core. What came meanwhile is
//! unread, and nothing known from before may be acted on until it has been read.

/// A gap between two checks that is no stall. A disconnect or a drain may wait unread for so long.
const MAX_GAP_S: f64 = 0.02;

/// Counts the stalls of one thread. A thread that had nothing to do looks like one that stood still.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_check_s: f64,
    count: u64,
}

impl StallDetector {
    /// To be called by everything that runs on the thread; returns the number of the latest stall.
    pub fn check(&mut self, now: f64) -> u64 {
        self.count += u64::from(now - self.last_check_s > MAX_GAP_S);
        self.last_check_s = now;
        self.count
    }
}
