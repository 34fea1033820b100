//! How the module's records follow other terms: a vertical that changed begins in a place of its own with what it had
//! shown, the queries that are open keep theirs, a customer's share and the stated budget go on from where they stand.
//! Records only: nothing is decided here, and no value is chosen.
use super::{Policy, Purse};
use crate::interface::{ClassSlot, PolicyConfig, QueryClass, SlowStartConfig, Tenant};
use crate::kept::Recent;

/// A place that no query is open in: its SLO time is nobody's shortest, and its work nobody's heaviest.
const NOBODYS: f64 = f64::INFINITY;

impl Policy {
    /// Between two rounds, so that nothing is ever decided by some of the old and some of the new.
    pub(super) fn take_over(&mut self, terms: &PolicyConfig, placed: &[ClassSlot]) {
        let dear = self.allowance.over_quota_weight_fraction;
        let utilities = |all: &[QueryClass], at: usize| all.get(at).map(|v| v.priority_weight.to_bits());
        let mut dearest_holds = dear.to_bits() == terms.capabilities.over_quota_weight_fraction.to_bits();
        for (vertical, place) in terms.query_classes.iter().zip(placed) {
            let before = place.previous_slot.and_then(|at| utilities(&self.verticals, at));
            dearest_holds &= before == Some(vertical.priority_weight.to_bits());
            self.place(vertical, place);
        }
        // What the dearest query of the old utilities was says nothing of the new: learnt anew, as after a start.
        self.dearest = if dearest_holds { self.dearest } else { 0.0 };
        self.share_out(&terms.tenants, terms.router_count.max(1) as f64);
        self.peers = terms.router_count.max(1) as f64;
        self.allowance = terms.capabilities;
        // The ring stays, and so does the list that took its place.
        (self.placement.max_batch, self.placement.attempt_overhead_s) =
            (terms.placement.max_batch, terms.placement.attempt_overhead_s);
        self.purse = Purse::new(terms.retry_budget);
        self.common.change_capacity(self.purse.capacity, self.purse.stated);
        let before = std::mem::replace(&mut self.cold, terms.slow_start);
        self.follow_cold_rule(before);
    }

    /// Puts a vertical where it is told to be. In a place of its own it has the latencies that it has shown; those whom
    /// it leaves behind, the queries that were open, go by a copy of them.
    fn place(&mut self, vertical: &QueryClass, place: &ClassSlot) {
        let ClassSlot { slot: at, previous_slot: follows } = *place;
        while self.verticals.len() <= at {
            self.verticals.push(QueryClass { latency_objective_s: NOBODYS, ..vertical.clone() });
            self.usual.push(Recent::default());
            self.bare.push(f64::INFINITY);
            self.longest_try.push(0.0);
        }
        if let Some(from) = follows.filter(|from| *from != at && *from < self.verticals.len()) {
            let copy = Recent::handed_on(&[&self.usual[from]], usize::MAX);
            self.usual[at] = std::mem::replace(&mut self.usual[from], copy);
            self.bare[at] = self.bare[from];
            self.longest_try[at] = self.longest_try[from];
        }
        self.verticals[at] = vertical.clone();
    }

    /// Forgets a vertical that no query is open for any more.
    pub(super) fn forget_vertical(&mut self, at: usize) {
        if let Some(vertical) = self.verticals.get_mut(at) {
            vertical.latency_objective_s = NOBODYS;
            self.usual[at] = Recent::default();
            (self.bare[at], self.longest_try[at]) = (f64::INFINITY, 0.0);
        }
    }

    /// Customers by their new shares: what one has saved up by the old share until now stays, as far as the new one
    /// lets it; one that is new begins as at a start.
    fn share_out(&mut self, customers: &[Tenant], peers: f64) {
        let before = std::mem::take(&mut self.customers);
        let now = self.now;
        let most = |rate: f64| (2.0 * rate).max(2.0);
        self.customers = customers
            .iter()
            .map(|customer| {
                let held = before.iter().find(|(old, ..)| old.name == customer.name);
                let saved = held.map_or(1.0, |(old, tokens, at)| {
                    let rate = old.quota_per_s / self.peers;
                    (tokens + (now - at) * rate).min(most(rate)).min(most(customer.quota_per_s / peers))
                });
                (customer.clone(), saved, now)
            })
            .collect();
    }

    /// What went to nodes that are cold by the new rule is known as far back as the old one had it kept. Where that is
    /// less than the span that the new one looks at, they count as sent all that they can bear, until it has passed.
    fn follow_cold_rule(&mut self, before: Option<SlowStartConfig>) {
        let Some(rule) = self.cold else { return };
        let known = before.map_or(0.0, |old| old.warm_up_s + old.window_s);
        // Each core has sent in its turns, which went by the old span.
        let whole = known >= rule.window_s && !self.common.is_shared();
        if whole || before.is_some_and(|old| old.window_s >= rule.window_s) {
            return;
        }
        let now = self.now;
        let cold = |started: f64| now - started < rule.warm_up_s + rule.window_s;
        for node in self.nodes.values_mut().filter(|node| node.started.is_some_and(cold)) {
            node.cold_work.push_back((now, f64::INFINITY));
        }
    }
}
