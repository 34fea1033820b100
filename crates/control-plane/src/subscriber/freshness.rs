//! How old the active version may be. Only the router's monotonic clock is used: a heartbeat was made after its request
//! was sent, so what it confirms held at that time, less the staleness that it states itself. The stated age is
//! therefore never less than the true one, whatever the delays.
use super::config::SubscriptionConfig;
use crate::version::VersionNumber;

#[derive(Debug)]
pub(super) struct Freshness {
    stale_after_s: f64,
    clock_drift_fraction: f64,
    /// When the active version was last known to be the newest.
    confirmed_at: Option<f64>,
    /// The newest version of the last usable heartbeat, and when it was the newest.
    newest_confirmed: (VersionNumber, f64),
    /// When the last good heartbeat came.
    last_good_heartbeat: f64,
    /// Seconds after the last good heartbeat until the next warning; doubles with each.
    warn_after_s: f64,
}

impl Freshness {
    pub(super) fn new(config: &SubscriptionConfig, confirmed_at: Option<f64>, now: f64) -> Self {
        Freshness {
            stale_after_s: config.stale_after_s,
            clock_drift_fraction: config.clock_drift_fraction,
            confirmed_at,
            newest_confirmed: (0, f64::NEG_INFINITY),
            last_good_heartbeat: now,
            warn_after_s: config.stale_after_s,
        }
    }

    pub(super) fn confirmed_at(&self) -> Option<f64> {
        self.confirmed_at
    }

    pub(super) fn staleness_s(&self, now: f64) -> Option<f64> {
        self.confirmed_at.map(|at| (now - at).max(0.0) * (1.0 + self.clock_drift_fraction))
    }

    pub(super) fn unconfirmed_s(&self, now: f64) -> f64 {
        now - self.last_good_heartbeat
    }

    pub(super) fn warning_due_at(&self) -> f64 {
        self.last_good_heartbeat + self.warn_after_s
    }

    /// A warning was logged: the next one is due after twice as long.
    pub(super) fn warned(&mut self, now: f64) {
        self.warn_after_s = 2.0 * self.unconfirmed_s(now).max(self.warn_after_s);
    }

    /// Whether the staleness that a control server states lets its heartbeats count as good.
    pub(super) fn is_recent(&self, staleness_s: f64) -> bool {
        staleness_s <= self.stale_after_s
    }

    /// `newest` was the newest version of all, `staleness_s` seconds before `requested_at`.
    pub(super) fn record_confirmation(
        &mut self,
        newest: VersionNumber,
        active: VersionNumber,
        staleness_s: f64,
        requested_at: f64,
    ) {
        let confirmed_at = requested_at - staleness_s * (1.0 + self.clock_drift_fraction);
        if newest == 0 || !confirmed_at.is_finite() {
            return;
        }
        let (known, known_at) = self.newest_confirmed;
        let latest_at = if newest > known { confirmed_at } else { confirmed_at.max(known_at) };
        self.newest_confirmed = (newest, latest_at);
        if newest == active {
            self.confirm(confirmed_at);
        }
    }

    /// A version became active. It was the newest at least as lately as those before it.
    pub(super) fn record_applied(&mut self, number: VersionNumber) {
        let (known, known_at) = self.newest_confirmed;
        if known > 0 && known <= number {
            self.confirm(known_at);
        }
    }

    fn confirm(&mut self, at: f64) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |confirmed_at| confirmed_at.max(at)));
    }

    /// A control server with a quorum and no older version answered. Returns whether a warning was logged before.
    pub(super) fn record_good_heartbeat(&mut self, now: f64) -> bool {
        let had_warned = self.warn_after_s > self.stale_after_s;
        self.last_good_heartbeat = now;
        self.warn_after_s = self.stale_after_s;
        had_warned
    }
}
