//! Leases on a shared budget: at most a fixed number of units of work may be spent in any time window of a
//! fixed length. A unit is one piece of that work; the users of this module define the work. A grantor grants
//! leases to holders: a lease permits its holder to spend a number of units for a limited time. One grantor
//! after another is in charge, and each has a higher term, the number of its period in charge. A grantor
//! counts a lease as outstanding until every unit that may have been spent from it has left the window. A
//! holder counts the lease's duration from the time at which the holder sent its request, which precedes the
//! grant. So the units spent in any window never exceed the budget, even if clocks differ, messages are lost,
//! or an earlier grantor resumes after a pause: each new grantor waits until all leases of earlier grantors
//! have ended. All times are seconds, `now` of the monotonic clock of the grantor or holder that it is passed
//! to.
use crate::Name;
use std::collections::BTreeMap;

/// The budget and the duration of leases on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Maximum number of units that all holders together may spend in any window.
    pub units_per_window: u64,
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Duration of a lease in seconds.
    pub lease_s: f64,
    /// Maximum difference in rate between two monotonic clocks, as a fraction: 0.001 is one millisecond per
    /// second.
    pub max_clock_drift: f64,
}

/// The right of a holder to spend a number of units of the budget for a limited time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The term of the grantor. A holder rejects a lease whose term is earlier than the latest term of the
    /// leases that the holder has accepted.
    pub term: u64,
    /// Number of units of the budget that the holder may spend until the lease ends.
    pub units: u64,
    /// Seconds, on the holder's clock, from the time at which the holder sent its request to the end of the
    /// lease.
    pub duration_s: f64,
}

/// Grants leases during one term. Holders reject the leases of a grantor of an earlier term.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    config: LeaseConfig,
    term: u64,
    /// When the grantor starts to grant leases, in seconds of its clock: all leases of earlier terms have
    /// ended by then, and the units spent from them have left the window.
    opens_at: f64,
    /// For each holder, the units of each outstanding lease and the time at which these units have left every
    /// window, in seconds of the grantor's clock.
    outstanding: BTreeMap<Name, Vec<(u64, f64)>>,
}

impl LeaseGrantor {
    /// Creates a grantor for `term` that starts at `now`. If `is_first_term`, no lease of an earlier term can
    /// exist, and the grantor grants leases from `now` on.
    pub fn new(config: LeaseConfig, term: u64, now: f64, is_first_term: bool) -> Self {
        let opens_at = if is_first_term { now } else { now + LeaseGrantor::outstanding_for_s(&config) };
        LeaseGrantor { config, term, opens_at, outstanding: BTreeMap::new() }
    }

    /// Seconds after its grant for which a lease is outstanding: the duration of the lease, then one window
    /// for units spent just before the lease ends. The sum is increased by the maximum clock drift, as the
    /// holder's clock may be slower than the grantor's.
    fn outstanding_for_s(config: &LeaseConfig) -> f64 {
        (config.lease_s + config.window_s) * (1.0 + config.max_clock_drift)
    }

    fn sweep(&mut self, now: f64) {
        self.outstanding.retain(|_, leases| {
            leases.retain(|(_, until)| *until > now);
            !leases.is_empty()
        });
    }

    /// The number of units of all outstanding leases: units of leases that may not have ended at their
    /// holders by `now`, and units that may have been spent less than one window before `now`.
    pub fn outstanding(&mut self, now: f64) -> u64 {
        self.sweep(now);
        self.outstanding.values().flatten().map(|(units, _)| units).sum()
    }

    /// Grants a lease on `wanted` units, or on the units that are left if these are fewer. Returns `None` if
    /// no units are left, or if it is possible that units of leases from grantors of earlier terms are still
    /// outstanding.
    pub fn grant(&mut self, holder: &str, wanted: u64, now: f64) -> Option<Lease> {
        if now < self.opens_at {
            return None;
        }
        let budget = self.config.units_per_window;
        let units = wanted.min(budget - self.outstanding(now).min(budget));
        if units == 0 {
            return None;
        }
        let until = now + LeaseGrantor::outstanding_for_s(&self.config);
        self.outstanding.entry(holder.into()).or_default().push((units, until));
        Some(Lease { term: self.term, units, duration_s: self.config.lease_s })
    }
}

/// A holder, which spends the units of the leases that it has accepted. Units that are left when their lease
/// ends can't be spent.
#[derive(Clone, Debug, Default)]
pub struct LeaseHolder {
    term: u64,
    /// For each lease, the units that are left and when the lease ends, in seconds of the holder's clock.
    leases: Vec<(u64, f64)>,
}

impl LeaseHolder {
    /// Accepts a lease that this holder requested at `requested_at`. The lease ends `Lease::duration_s` after
    /// `requested_at`, before the grantor stops counting the lease as outstanding. Returns false and rejects
    /// the lease if this holder has accepted a lease of a later term.
    pub fn accept(&mut self, lease: Lease, requested_at: f64) -> bool {
        if lease.term < self.term {
            return false;
        }
        if lease.term > self.term {
            // The first lease of a later term ends all leases of earlier terms. Otherwise this holder could
            // spend units of two grantors at once, which do not know each other's leases.
            self.leases.clear();
        }
        self.term = lease.term;
        self.leases.push((lease.units, requested_at + lease.duration_s));
        true
    }

    /// The number of units that the holder may spend at `now`.
    pub fn remaining(&mut self, now: f64) -> u64 {
        self.leases.retain(|(units, until)| *units > 0 && *until > now);
        self.leases.iter().map(|(units, _)| units).sum()
    }

    /// Spends units at `now`, first those of the leases that end first. Returns false and spends none if
    /// fewer than `units` are left.
    pub fn spend(&mut self, units: u64, now: f64) -> bool {
        if self.remaining(now) < units {
            return false;
        }
        self.leases.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut to_spend = units;
        for (left, _) in &mut self.leases {
            let spent = to_spend.min(*left);
            (*left, to_spend) = (*left - spent, to_spend - spent);
        }
        true
    }
}
