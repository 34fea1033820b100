//! Computes an upper bound on how long a received frame was in transit. Without this bound, updates that were
//! delayed by a stalled link or a paused router would count as new on arrival. Each frame echoes a timestamp
//! of its receiver, and so completes a round trip. The frame's transit is part of that round trip, which
//! bounds the difference between the two clocks. The bound holds for any delay in either direction, as long
//! as the clocks differ in rate by no more than the configured drift. All times are seconds; those of the
//! peer's clock are named so, the others are of this router's monotonic clock.

/// Computes upper bounds on the transit times of the frames received on one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitEstimator {
    /// A lower bound on this router's clock minus the peer's clock, in seconds, and when the bound was
    /// measured.
    min_offset: Option<(f64, f64)>,
    /// The peer's newest timestamp, in seconds of the peer's clock, and when this router received it.
    last_received: Option<(f64, f64)>,
}

impl TransitEstimator {
    /// Processes a frame that was received at `now` and sent at `sent_at` of the peer's clock. `echo` is the
    /// newest timestamp that the peer has received from this router, and the seconds since the peer received
    /// it. Returns an upper bound on the seconds that the frame was in transit, or `None` before the first
    /// round trip.
    pub fn bound_transit_s(
        &mut self,
        sent_at: f64,
        echo: Option<(f64, f64)>,
        now: f64,
        max_clock_drift: f64,
    ) -> Option<f64> {
        let offset = now - sent_at;
        if !offset.is_finite() {
            return None;
        }
        self.last_received = Some((sent_at, now));
        if let Some((ours, held_s)) = echo.filter(|(ours, held_s)| *ours <= now && *held_s >= 0.0) {
            let round_trip_s = (now - ours - held_s * (1.0 - max_clock_drift)).max(0.0);
            let least = offset - round_trip_s;
            let known = self.min_offset(now, max_clock_drift);
            self.min_offset = Some((known.map_or(least, |known| known.max(least)), now));
        }
        self.min_offset(now, max_clock_drift).map(|least| (offset - least).max(0.0))
    }

    /// The lower bound at `now` on this router's clock minus the peer's clock, in seconds: the measured
    /// bound, reduced by the drift that may have occurred since the measurement. `None` if no bound was
    /// measured.
    fn min_offset(&self, now: f64, max_clock_drift: f64) -> Option<f64> {
        self.min_offset.map(|(least, at)| least - max_clock_drift * (now - at))
    }

    /// Returns the echo for the next frame to the peer: the peer's newest timestamp, and the seconds since
    /// its receipt.
    pub fn next_echo(&self, now: f64) -> Option<(f64, f64)> {
        self.last_received.map(|(sent_at, at)| (sent_at, now - at))
    }
}
