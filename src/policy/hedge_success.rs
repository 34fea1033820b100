//! Decides whether hedges past a late data node pay.
//!
//! Inputs are how earlier hedges ended, past that node and past any: one that brings its shard request's answer has won.
//! Past a node that is slow or cut off alone hedges win; where slowness is correlated, as in an overload, they lose past
//! all nodes and only add to it, which this guards against. A hedge is sent where they win often enough, and one in a
//! while as a trial elsewhere. It costs the first hedges past a node that fails while hedges lose past all others. Times
//! are in seconds.

/// Weight of the latest hedge in a running win rate.
const LATEST_WEIGHT: f64 = 0.3;
/// Win rate before any hedge has ended: even odds.
const INITIAL_WIN_RATE: f64 = 0.5;
/// Hedges that win less often cost more work than they save.
const PAYING_WIN_RATE: f64 = 0.4;
/// Time between two trials where hedges do not pay.
const TRIAL_INTERVAL_S: f64 = 0.25;

/// A running share of hedges that have won.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WinRate(f64);

impl Default for WinRate {
    fn default() -> Self {
        WinRate(INITIAL_WIN_RATE)
    }
}

impl WinRate {
    /// Takes a hedge that has ended into account.
    pub fn record(&mut self, won: bool) {
        self.0 += LATEST_WEIGHT * (f64::from(u8::from(won)) - self.0);
    }

    /// Whether further hedges are worth their work.
    pub fn pays(self) -> bool {
        self.0 >= PAYING_WIN_RATE
    }
}

/// What is known of hedges past any node.
#[derive(Default)]
pub(super) struct HedgeSuccess {
    pub win_rate: WinRate,
    last_trial_at_s: Option<f64>,
}

impl HedgeSuccess {
    /// Whether a trial is due.
    pub fn trial_is_due(&self, now_s: f64) -> bool {
        self.last_trial_at_s.is_none_or(|at_s| now_s - at_s >= TRIAL_INTERVAL_S)
    }

    /// Records a hedge that goes out as a trial.
    pub fn record_trial(&mut self, now_s: f64) {
        self.last_trial_at_s = Some(now_s);
    }
}
