//! How the module's records follow other terms: a vertical that changed begins in a place of its own with what it had
//! shown, the queries that are open keep theirs, a customer's share and the stated budget go on from where they stand.
//! Records only: nothing is decided here, and no value is chosen.
use super::{Purse, Router};
use crate::host::{ColdRule, Customer, Placed, Terms, Vertical};
use crate::kept::Recent;

/// A place that no query is open in: its SLO time is nobody's shortest, and its work nobody's heaviest.
const NOBODYS: f64 = f64::INFINITY;

impl Router {
    /// Between two rounds, so that nothing is ever decided by some of the old and some of the new.
    pub(super) fn take_over(&mut self, terms: &Terms, placed: &[Placed]) {
        let dear = self.allowance.over_share;
        let utilities = |all: &[Vertical], at: usize| all.get(at).map(|v| v.utility.to_bits());
        let mut dearest_holds = dear.to_bits() == terms.allowance.over_share.to_bits();
        for (vertical, place) in terms.verticals.iter().zip(placed) {
            let before = place.follows.and_then(|at| utilities(&self.verticals, at));
            dearest_holds &= before == Some(vertical.utility.to_bits());
            self.place(vertical, place);
        }
        // What the dearest query of the old utilities was says nothing of the new: learnt anew, as after a start.
        self.dearest = if dearest_holds { self.dearest } else { 0.0 };
        self.share_out(&terms.customers, terms.peers.max(1) as f64);
        self.peers = terms.peers.max(1) as f64;
        self.allowance = terms.allowance;
        // The ring stays, and so does the list that took its place.
        (self.placement.bundle, self.placement.call_work) =
            (terms.placement.bundle, terms.placement.call_work);
        self.purse = Purse::new(terms.budget);
        self.common.bring_to(self.purse.capacity, self.purse.stated);
        let before = std::mem::replace(&mut self.cold, terms.cold);
        self.follow_cold_rule(before);
    }

    /// Puts a vertical where it is told to be. In a place of its own it has the latencies that it has shown; those whom
    /// it leaves behind, the queries that were open, go by a copy of them.
    fn place(&mut self, vertical: &Vertical, place: &Placed) {
        let Placed { at, follows } = *place;
        while self.verticals.len() <= at {
            self.verticals.push(Vertical { slo: NOBODYS, ..vertical.clone() });
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
            vertical.slo = NOBODYS;
            self.usual[at] = Recent::default();
            (self.bare[at], self.longest_try[at]) = (f64::INFINITY, 0.0);
        }
    }

    /// Customers by their new shares: what one has saved up by the old share until now stays, as far as the new one
    /// lets it; one that is new begins as at a start.
    fn share_out(&mut self, customers: &[Customer], peers: f64) {
        let before = std::mem::take(&mut self.customers);
        let now = self.now;
        let most = |rate: f64| (2.0 * rate).max(2.0);
        self.customers = customers
            .iter()
            .map(|customer| {
                let held = before.iter().find(|(old, ..)| old.name == customer.name);
                let saved = held.map_or(1.0, |(old, tokens, at)| {
                    let rate = old.quota / self.peers;
                    (tokens + (now - at) * rate).min(most(rate)).min(most(customer.quota / peers))
                });
                (customer.clone(), saved, now)
            })
            .collect();
    }

    /// What went to nodes that are cold by the new rule is known as far back as the old one had it kept. Where that is
    /// less than the span that the new one looks at, they count as sent all that they can bear, until it has passed.
    fn follow_cold_rule(&mut self, before: Option<ColdRule>) {
        let Some(rule) = self.cold else { return };
        let known = before.map_or(0.0, |old| old.warm_up + old.span);
        // Each core has sent in its turns, which went by the old span.
        let whole = known >= rule.span && !self.common.is_shared();
        if whole || before.is_some_and(|old| old.span >= rule.span) {
            return;
        }
        let now = self.now;
        let cold = |started: f64| now - started < rule.warm_up + rule.span;
        for node in self.nodes.values_mut().filter(|node| node.started.is_some_and(cold)) {
            node.cold_work.push_back((now, f64::INFINITY));
        }
    }
}
