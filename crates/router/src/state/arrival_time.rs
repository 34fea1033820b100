//! When bytes arrived, from the system's timestamps and without trusting the wall clock.
//!
//! The system stamps bytes by its wall clock, which may step at any time. Timestamps are therefore compared with each
//! other alone: a timestamp is never later than the moment at which its bytes are read, and most bytes are read at once,
//! so the largest difference between a timestamp and the time of its reading is the offset of the wall clock to the
//! monotonic clock.

/// Offsets kept. After a step back of the wall clock a request may seem older than it is until as many have been read.
const MAX_OFFSETS: usize = 64;
/// What a timestamp may be off by because of rounding.
const ROUNDING_S: f64 = 0.001;

/// Estimates arrival times from the timestamps of one thread's connections.
#[derive(Debug)]
pub struct ArrivalEstimator {
    /// Timestamps less the times at which their bytes were read, as a ring.
    offsets_s: Vec<f64>,
    next: usize,
}

impl ArrivalEstimator {
    /// Begins with what the wall clock shows, which may be wrong.
    pub fn new(now: f64, unix_now: f64) -> Self {
        ArrivalEstimator { offsets_s: vec![unix_now - now], next: 0 }
    }

    /// When bytes arrived that are read now, in seconds of the monotonic clock: not before `since`, when nothing of the
    /// connection was unread.
    pub fn arrival_time(&mut self, now: f64, since: f64, timestamp: f64) -> f64 {
        let offset = timestamp - now;
        if self.offsets_s.len() < MAX_OFFSETS {
            self.offsets_s.push(offset);
        } else {
            self.offsets_s[self.next] = offset;
        }
        self.next = (self.next + 1) % MAX_OFFSETS;
        let largest = self.offsets_s.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let arrived_at = timestamp - largest;
        if arrived_at >= since - ROUNDING_S {
            return arrived_at.min(now);
        }
        // The wall clock has stepped back, or what was kept was wrong from the start.
        self.offsets_s = vec![offset];
        self.next = 0;
        now
    }
}
