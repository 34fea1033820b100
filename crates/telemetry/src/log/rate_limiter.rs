//! Limits how many lines each target of the log may write, by a token bucket for each.
use std::collections::BTreeMap;

/// Lines of one target that may come at once.
pub const BURST_LINES: f64 = 20.0;
/// How many more lines of a target each second allows.
pub const LINES_PER_S: f64 = 2.0;

/// A token bucket a target.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    buckets: BTreeMap<String, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Lines that may be written still.
    tokens: f64,
    refilled_at_s: f64,
    /// Lines dropped since one was last admitted.
    dropped: u64,
}

impl LogRateLimiter {
    /// Whether a line may be written at `now_s`, in seconds: how many of the target were dropped before it, or none where
    /// this one is dropped too.
    pub fn admit(&mut self, target: &str, now_s: f64) -> Option<u64> {
        let full = Bucket { tokens: BURST_LINES, refilled_at_s: now_s, dropped: 0 };
        let bucket = self.buckets.entry(target.to_string()).or_insert(full);
        bucket.tokens = (bucket.tokens + (now_s - bucket.refilled_at_s) * LINES_PER_S).min(BURST_LINES);
        bucket.refilled_at_s = now_s;
        if bucket.tokens < 1.0 {
            bucket.dropped += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.dropped))
    }

    /// Counts lines that were admitted but could not be written.
    pub fn add_dropped(&mut self, target: &str, lines: u64) {
        if let Some(bucket) = self.buckets.get_mut(target) {
            bucket.dropped += lines;
        }
    }
}
