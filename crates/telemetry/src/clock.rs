//! The clock of the process. All times inside a program are seconds of this clock, as `f64`; wall time is read here only.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Far in the future: an [`Instant`] cannot be moved by any number of seconds.
const MAX_TIME_S: f64 = 1e9;

/// A monotonic clock that counts seconds from its creation, and knows what Unix time that was. Copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`, in seconds.
    start_unix_s: f64,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { start: Instant::now(), start_unix_s: unix_now_s() }
    }
}

impl Clock {
    /// Seconds since the clock was created; never goes back.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// What the wall clock shows now, in seconds of Unix time. It may jump either way.
    pub fn unix_now(&self) -> f64 {
        unix_now_s()
    }

    /// A time of this clock, in seconds, as the operating system's monotonic time. What is no number is due at once.
    pub fn instant(&self, at: f64) -> Instant {
        let at = if at.is_nan() { 0.0 } else { at };
        self.start + Duration::from_secs_f64(at.clamp(0.0, MAX_TIME_S))
    }

    /// A Unix time in milliseconds as a time of this clock, in seconds; negative before the clock was created. None for 0,
    /// which stands for an unknown time long ago.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Option<f64> {
        (unix_ms > 0).then(|| unix_ms as f64 / 1e3 - self.start_unix_s)
    }
}

fn unix_now_s() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
