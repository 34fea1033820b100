//! An upper bound on how long a received frame was in transit. Guards against updates that were delayed in a stalled link or
//! a paused router and would count as new when they arrive. A frame that echoes a timestamp of ours completes a round
//! trip, and its own transit is part of that trip, which bounds the offset between the two clocks. By as much as a later
//! frame exceeds that bound, it was in transit. The bound holds for any delay in either direction, as long as the clocks
//! differ in rate by no more than the configured drift.

/// Estimates the transit times of the frames on one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitEstimator {
    /// The least offset of our clock ahead of the peer's, and when it was measured.
    min_offset: Option<(f64, f64)>,
    /// The newest timestamp of the peer, and when it was received.
    last_received: Option<(f64, f64)>,
}

impl TransitEstimator {
    /// Accounts for a frame received at `now`, sent at `sent_at` by the peer's clock, with an echo of one of our timestamps
    /// and how long the peer held it. Returns the most seconds that the frame was in transit; none before the first round
    /// trip.
    pub fn frame_received(
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

    /// The least offset at `now`, less the drift that may have occurred since it was measured.
    fn min_offset(&self, now: f64, max_clock_drift: f64) -> Option<f64> {
        self.min_offset.map(|(least, at)| least - max_clock_drift * (now - at))
    }

    /// The echo for the next frame to the peer: its newest timestamp, and how long it has been held.
    pub fn next_echo(&self, now: f64) -> Option<(f64, f64)> {
        self.last_received.map(|(sent_at, at)| (sent_at, now - at))
    }
}
