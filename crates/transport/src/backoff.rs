//! Backoff between attempts to connect.
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::time::Duration;
use tokio::time::sleep;

/// The first pause, in seconds.
const MIN_DELAY_S: f64 = 0.05;
/// No pause is longer, in seconds.
const MAX_DELAY_S: f64 = 1.0;

/// Exponential backoff with jitter: the delay doubles from 50 ms up to 1 s, and each pause is drawn between half of it and
/// all of it, so that the dialers of a peer that comes back do not all reach it at once.
#[derive(Debug)]
pub struct Backoff {
    jitter: Pcg32,
    delay_s: f64,
}

impl Backoff {
    /// The same seed draws the same pauses.
    pub fn new(seed: u64) -> Self {
        Backoff { jitter: Pcg32::new(seed, 1), delay_s: MIN_DELAY_S }
    }

    /// Goes back to the shortest delay, after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.delay_s = MIN_DELAY_S;
    }

    /// The next pause; the one after it is up to twice as long.
    pub fn next_delay(&mut self) -> Duration {
        // A draw of 32 bits over 2^33 lies in [0, 0.5).
        let fraction = 0.5 + f64::from(self.jitter.next_u32()) / 8_589_934_592.0;
        let delay = Duration::from_secs_f64(self.delay_s * fraction);
        self.delay_s = (2.0 * self.delay_s).min(MAX_DELAY_S);
        delay
    }

    /// Sleeps for the next pause.
    pub async fn wait(&mut self) {
        sleep(self.next_delay()).await;
    }
}
