//! Detects that this thread did not run for a while, for example because its process was stopped or not scheduled. Events
//! of that time are unread, and older knowledge must not be acted on before they are read.

/// The longest gap between two checks that is not a stall. A disconnect or a drain may stay unread for this long.
const MAX_GAP_S: f64 = 0.02;

/// Counts the stalls of one thread. An idle thread cannot be told from a stalled one and is counted as stalled.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_check_s: f64,
    count: u64,
}

impl StallDetector {
    /// Checks for a stall since the last call; returns the number of stalls so far. Every task of the thread must call this.
    pub fn check(&mut self, now: f64) -> u64 {
        self.count += u64::from(now - self.last_check_s > MAX_GAP_S);
        self.last_check_s = now;
        self.count
    }
}
