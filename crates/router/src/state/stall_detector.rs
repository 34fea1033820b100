//! Detects stalls: times at which this thread did not run, for example because its process was stopped or not
//! scheduled. After a stall, events that arrived during the stall must be read before the thread acts on its
//! older state.

/// The longest time between two checks, in seconds, that is not a stall. A disconnect of a client or a drain
/// of a data node may stay unread for this long.
const MAX_GAP_S: f64 = 0.02;

/// Counts the stalls of one thread. A thread that was idle for longer than `MAX_GAP_S` is counted as stalled
/// too, because the detector cannot distinguish an idle thread from one that did not run. After a counted
/// stall, the caller lets other tasks read their sockets before it continues.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_check_s: f64,
    count: u64,
}

impl StallDetector {
    /// Checks at `now`, in seconds of the monotonic clock, whether the thread stalled since the last call;
    /// returns the number of stalls so far. A task of the thread that acts on the state must call this
    /// function before.
    pub fn check(&mut self, now: f64) -> u64 {
        self.count += u64::from(now - self.last_check_s > MAX_GAP_S);
        self.last_check_s = now;
        self.count
    }
}
