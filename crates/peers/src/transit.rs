//! How long a frame was under way at the most. Guards against words that wait in a stalled link, or in a router that was
//! stopped, and are taken for new when they arrive. A frame that echoes a stamp of ours shows a round trip, of which its
//! own way is a part; so the other clock is no further behind than that trip allows, and whatever a later frame arrives
//! beyond that, it was under way. The bound holds for any delays either way, as long as clocks keep their pace to within
//! the stated drift.

#[derive(Clone, Copy, Debug, Default)]
pub struct Transit {
    /// The other clock's least lag behind ours, and when that was found out.
    floor: Option<(f64, f64)>,
    /// The newest stamp that came, and when.
    newest: Option<(f64, f64)>,
}

impl Transit {
    /// A frame came with a stamp of the other clock, and an echo of one of ours. Most seconds that it was under way; none
    /// before the first round trip.
    pub fn came(&mut self, stamp: f64, echo: Option<(f64, f64)>, now: f64, drift: f64) -> Option<f64> {
        let apart = now - stamp;
        if !apart.is_finite() {
            return None;
        }
        self.newest = Some((stamp, now));
        if let Some((ours, held)) = echo.filter(|(ours, held)| *ours <= now && *held >= 0.0) {
            let trip = (now - ours - held * (1.0 - drift)).max(0.0);
            let floor = apart - trip;
            self.floor = Some((self.floor(now, drift).map_or(floor, |held| held.max(floor)), now));
        }
        self.floor(now, drift).map(|floor| (apart - floor).max(0.0))
    }

    /// The floor as it holds now: the clocks may have gone apart since it was found out.
    fn floor(&self, now: f64, drift: f64) -> Option<f64> {
        self.floor.map(|(floor, at)| floor - drift * (now - at))
    }

    /// What a frame of ours echoes.
    pub fn echo(&self, now: f64) -> Option<(f64, f64)> {
        self.newest.map(|(stamp, at)| (stamp, now - at))
    }
}
