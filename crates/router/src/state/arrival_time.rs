//! Estimates when bytes arrived at the kernel, in seconds of the monotonic clock, from the wall-clock
//! timestamps that the kernel gives to received bytes.
//!
//! The wall clock may step at any time, so only differences of recent timestamps are used. The kernel
//! timestamps bytes before they are read, and most bytes are read immediately. The largest recent value of
//! (timestamp minus monotonic time of the read) is therefore the offset of the wall clock from the monotonic
//! clock.

/// Number of recent offsets that are kept. After the wall clock steps back, arrival times may be too early
/// until this many new offsets have replaced the old ones.
const MAX_OFFSETS: usize = 64;
/// Largest rounding error of a timestamp, in seconds.
const ROUNDING_S: f64 = 0.001;

/// Estimates arrival times for all client connections of one thread.
#[derive(Debug)]
pub struct ArrivalEstimator {
    /// Ring buffer of the last `MAX_OFFSETS` offsets: the wall-clock timestamp of received bytes minus the
    /// monotonic time at which those bytes were read.
    offsets_s: Vec<f64>,
    /// Index in `offsets_s` that is overwritten next.
    next: usize,
}

impl ArrivalEstimator {
    /// Starts with one offset, from the current time of the monotonic clock (`now`, in seconds) and of the
    /// wall clock (`unix_now`, in seconds of Unix time).
    pub fn new(now: f64, unix_now: f64) -> Self {
        ArrivalEstimator { offsets_s: vec![unix_now - now], next: 0 }
    }

    /// Estimates when bytes arrived that are read at `read_at_s` and have the kernel timestamp
    /// `unix_timestamp_s`. `unix_timestamp_s` is in seconds of Unix time; the other times and the result are
    /// in seconds of the monotonic clock. The result is not before `not_before_s`, a time at which the
    /// connection had no unread bytes, by more than a rounding error.
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
        // The estimate is too early, so the wall clock has stepped back or the first offset was wrong:
        // restart with this offset.
        self.offsets_s = vec![offset];
        self.next = 0;
        read_at_s
    }
}
