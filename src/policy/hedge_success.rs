//! Decides whether hedges that bypass a late data node are worth their work.
//!
//! Inputs are the results of earlier hedges, for that node and for all nodes: a hedge wins if its attempt is
//! the first of its shard request to succeed. Hedges win if a single node is slow or disconnected. If
//! slowness is correlated, as in an overload, hedges lose for all nodes and only add load. Hedges are
//! therefore sent if they win often enough, and as an occasional trial otherwise: a single hedge that shows
//! whether hedges win again. The cost: if a node fails while hedges lose for all others, the first hedges
//! that would bypass this node are not sent. Times are in seconds on the host's monotonic clock.

/// Weight of the latest hedge in the moving average.
const LATEST_WEIGHT: f64 = 0.3;
/// Win rate that is assumed before any hedge has ended.
const INITIAL_WIN_RATE: f64 = 0.5;
/// Hedges with a lower win rate cost more work than they save.
const WORTHWHILE_WIN_RATE: f64 = 0.4;
/// Shortest time between two trial hedges, over all nodes, while hedges are not worthwhile.
const TRIAL_HEDGE_INTERVAL_S: f64 = 0.25;

/// A moving average of the fraction of hedges that have won.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WinRate(f64);

impl Default for WinRate {
    fn default() -> Self {
        WinRate(INITIAL_WIN_RATE)
    }
}

impl WinRate {
    /// Updates the moving average with the result of an ended hedge.
    pub fn record(&mut self, won: bool) {
        self.0 += LATEST_WEIGHT * (f64::from(u8::from(won)) - self.0);
    }

    /// Whether hedges with this win rate save more work than they cost.
    pub fn is_worthwhile(self) -> bool {
        self.0 >= WORTHWHILE_WIN_RATE
    }
}

/// The win rate of hedges over all nodes, and the time of the last trial hedge.
#[derive(Default)]
pub(super) struct HedgeStats {
    pub win_rate: WinRate,
    last_trial_hedge_at_s: Option<f64>,
}

impl HedgeStats {
    /// Whether a hedge may be sent at `now_s` although the win rate is too low, to find out whether hedges
    /// win again: at least `TRIAL_HEDGE_INTERVAL_S` must have passed since the last hedge of this kind.
    pub fn trial_hedge_is_due(&self, now_s: f64) -> bool {
        self.last_trial_hedge_at_s.is_none_or(|at_s| now_s - at_s >= TRIAL_HEDGE_INTERVAL_S)
    }

    /// Records that a hedge is sent at `now_s` although the win rate is too low.
    pub fn record_trial_hedge(&mut self, now_s: f64) {
        self.last_trial_hedge_at_s = Some(now_s);
    }
}
