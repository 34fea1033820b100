//! Leases on a shared budget of work. A grantor counts a lease as outstanding until every unit that may have been spent
//! from it has left the window for which the budget is stated. A holder counts the lease's end from the time of its
//! request, which is before the grant, by its own monotonic clock. So the sum spent in any window never exceeds the
//! budget, even if clocks disagree, messages are lost, or a grantor resumes after a pause: each new grantor waits until all
//! leases of earlier ones have ended.
use crate::Name;
use std::collections::BTreeMap;

/// The budget, and how leases on it are granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Units of work that all holders together may spend in any window.
    pub units_per_window: u64,
    /// Length of the window.
    pub window_s: f64,
    /// How long a lease is valid.
    pub lease_s: f64,
    /// Most by which two monotonic clocks differ in rate, as a fraction.
    pub max_clock_drift: f64,
}

/// A lease as it is granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The grantor's term. A holder rejects leases of terms earlier than the latest one it has seen.
    pub term: u64,
    /// Units that may be spent.
    pub units: u64,
    /// How long it is valid.
    pub duration_s: f64,
}

/// Grants leases, one grantor for each term. Leases of an earlier grantor that resumes are rejected.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    config: LeaseConfig,
    term: u64,
    /// When it starts to grant: all leases of earlier terms have ended by then.
    opens_at: f64,
    /// Outstanding units by holder, each with the time at which they have left every window.
    outstanding: BTreeMap<Name, Vec<(u64, f64)>>,
}

impl LeaseGrantor {
    /// A grantor for `term`, from `now` on; `is_first_term` says that no earlier term can have granted anything.
    pub fn new(config: LeaseConfig, term: u64, now: f64, is_first_term: bool) -> Self {
        let opens_at = if is_first_term { now } else { now + LeaseGrantor::outstanding_for_s(&config) };
        LeaseGrantor { config, term, opens_at, outstanding: BTreeMap::new() }
    }

    /// Seconds after its grant during which a lease counts: its duration, and the window of what is spent at its end.
    fn outstanding_for_s(config: &LeaseConfig) -> f64 {
        (config.lease_s + config.window_s) * (1.0 + config.max_clock_drift)
    }

    fn sweep(&mut self, now: f64) {
        self.outstanding.retain(|_, leases| {
            leases.retain(|(_, until)| *until > now);
            !leases.is_empty()
        });
    }

    /// Units that may still be spent or count in a window.
    pub fn outstanding(&mut self, now: f64) -> u64 {
        self.sweep(now);
        self.outstanding.values().flatten().map(|(units, _)| units).sum()
    }

    /// Grants a lease on at most `wanted` units; none if no units are left or earlier leases have not ended.
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

/// Spends the units of its leases. Units left when a lease ends are lost.
#[derive(Clone, Debug, Default)]
pub struct LeaseHolder {
    term: u64,
    /// Units left of each lease, and when it ends.
    leases: Vec<(u64, f64)>,
}

impl LeaseHolder {
    /// Accepts a lease that was requested at `requested_at`: it ends its duration after that, which is before it ends for
    /// the grantor. Returns false for a lease of an earlier term than the latest one seen.
    pub fn accept(&mut self, lease: Lease, requested_at: f64) -> bool {
        if lease.term < self.term {
            return false;
        }
        if lease.term > self.term {
            // Guards against two grantors at once: a later term ends all leases of the earlier one.
            self.leases.clear();
        }
        self.term = lease.term;
        self.leases.push((lease.units, requested_at + lease.duration_s));
        true
    }

    /// Units that are left.
    pub fn remaining(&mut self, now: f64) -> u64 {
        self.leases.retain(|(units, until)| *units > 0 && *until > now);
        self.leases.iter().map(|(units, _)| units).sum()
    }

    /// Spends units, from the leases that end first. Returns false and spends none if fewer are left.
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
