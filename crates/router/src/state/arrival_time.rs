//! Estimates when bytes arrived, in time of the monotonic clock, from the kernel's wall-clock timestamps.
//!
//! The wall clock may step at any time, so timestamps are only compared with each other. A timestamp is never later than
//! the moment at which its bytes are read, and most bytes are read at once. The largest difference between a timestamp
//! and the monotonic time of its read is therefore the offset of the wall clock to the monotonic clock.

/// Number of offsets kept. After the wall clock steps back, a request may seem older than it is until as many offsets have
/// been recorded.
const MAX_OFFSETS: usize = 64;
/// Largest rounding error of a timestamp.
const ROUNDING_S: f64 = 0.001;

/// Estimates arrival times from the timestamps of the connections of one thread.
#[derive(Debug)]
pub struct ArrivalEstimator {
    /// Ring buffer of offsets: timestamps minus the monotonic times at which their bytes were read.
    offsets_s: Vec<f64>,
    next: usize,
}

impl ArrivalEstimator {
    /// Starts with the offset of the wall clock's current time, which may be wrong.
    pub fn new(now: f64, unix_now: f64) -> Self {
        ArrivalEstimator { offsets_s: vec![unix_now - now], next: 0 }
    }

    /// When the bytes that are read now arrived, in seconds of the monotonic clock. They cannot have arrived before `since`,
    /// when the connection had no unread bytes.
    pub fn estimate_arrival_s(&mut self, read_at_s: f64, not_before_s: f64, unix_timestamp_s: f64) -> f64 {
        let offset = unix_timestamp_s - read_at_s;
        if self.offsets_s.len() < MAX_OFFSETS {
            self.offsets_s.push(offset);
        } else {
            self.offsets_s[self.next] = offset;
        }
        self.next = (self.next + 1) % MAX_OFFSETS;
        let largest = self.offsets_s.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let arrived_at = unix_timestamp_s - largest;
        if arrived_at >= not_before_s - ROUNDING_S {
            return arrived_at.min(read_at_s);
        }
        // The wall clock has stepped back, or the first offset was wrong.
        self.offsets_s = vec![offset];
        self.next = 0;
        read_at_s
    }
}
