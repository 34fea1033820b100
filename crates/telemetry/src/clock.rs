//! The steady clock: seconds since this program started, and what Unix times are on it.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: f64,
}

impl Default for Clock {
    fn default() -> Self {
        let clock = Clock { start: Instant::now(), unix: 0.0 };
        Clock { unix: clock.unix_now(), ..clock }
    }
}

impl Clock {
    /// What the wall clock shows now, in seconds of Unix time.
    pub fn unix_now(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, 1e9))
    }

    /// A Unix time in milliseconds on this clock; 0 stands for long ago.
    pub fn from_unix(&self, ms: u64) -> Option<f64> {
        (ms > 0).then(|| ms as f64 / 1e3 - self.unix)
    }
}
