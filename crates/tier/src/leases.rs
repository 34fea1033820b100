//! Shares of a stated amount, each with an end: whoever deals them out counts a share as spent until every unit that was
//! sent by it has left the window for which the amount is stated; whoever holds one counts its end from before it asked,
//! by a steady clock of its own. So the sum never passes the amount, though nobody's clocks agree, words are lost on the
//! way, and a dealer that was paused comes back: each term of dealing waits out all that an earlier one may have dealt.
//! Amounts are whole units of work, times seconds.
use crate::Name;
use std::collections::BTreeMap;

/// What is stated, and how it is dealt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Units that all together may spend in any window.
    pub amount: u64,
    pub window: f64,
    /// For how long a share holds.
    pub span: f64,
    /// By what part two steady clocks may go apart.
    pub drift: f64,
}

/// A share as it is dealt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// The dealer's term; a holder never goes back to an earlier one.
    pub term: u64,
    pub units: u64,
    pub span: f64,
}

/// Deals shares out. One for each term; an earlier one that comes back finds its shares refused.
#[derive(Clone, Debug)]
pub struct Dealer {
    terms: Terms,
    term: u64,
    /// From when it deals: all that an earlier term dealt has ended by then.
    opens: f64,
    /// Units out, with when they have left every window, by holder.
    out: BTreeMap<Name, Vec<(u64, f64)>>,
}

impl Dealer {
    /// `first` where no earlier term can have dealt anything.
    pub fn new(terms: Terms, term: u64, now: f64, first: bool) -> Self {
        let opens = if first { now } else { now + Dealer::counts_for(&terms) };
        Dealer { terms, term, opens, out: BTreeMap::new() }
    }

    /// How long after it is dealt a share may still weigh: its span, then the window of what was sent at its end.
    fn counts_for(terms: &Terms) -> f64 {
        (terms.span + terms.window) * (1.0 + terms.drift)
    }

    fn sweep(&mut self, now: f64) {
        self.out.retain(|_, shares| {
            shares.retain(|(_, until)| *until > now);
            !shares.is_empty()
        });
    }

    /// Units that may be out now.
    pub fn out(&mut self, now: f64) -> u64 {
        self.sweep(now);
        self.out.values().flatten().map(|(units, _)| units).sum()
    }

    /// A share of at most so many units; nothing where none are left.
    pub fn deal(&mut self, holder: &str, wanted: u64, now: f64) -> Option<Share> {
        if now < self.opens {
            return None;
        }
        let units = wanted.min(self.terms.amount - self.out(now).min(self.terms.amount));
        if units == 0 {
            return None;
        }
        let until = now + Dealer::counts_for(&self.terms);
        self.out.entry(holder.into()).or_default().push((units, until));
        Some(Share { term: self.term, units, span: self.terms.span })
    }
}

/// Spends shares. Units of a share that has ended are gone, spent or not.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    term: u64,
    shares: Vec<(u64, f64)>,
}

impl Holder {
    /// A share has come that was asked for at `asked`: it ends a span after that, which is before it ends for its dealer.
    /// One of an earlier term than was seen before is refused.
    pub fn take(&mut self, share: Share, asked: f64) -> bool {
        if share.term < self.term {
            return false;
        }
        if share.term > self.term {
            // Guards against two dealers: what the earlier one dealt is over once the later one's word is here.
            self.shares.clear();
        }
        self.term = share.term;
        self.shares.push((share.units, asked + share.span));
        true
    }

    /// Units that are left now.
    pub fn left(&mut self, now: f64) -> u64 {
        self.shares.retain(|(units, until)| *units > 0 && *until > now);
        self.shares.iter().map(|(units, _)| units).sum()
    }

    /// Spends so many units, those that end first; or none, and false.
    pub fn spend(&mut self, units: u64, now: f64) -> bool {
        if self.left(now) < units {
            return false;
        }
        self.shares.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut rest = units;
        for (held, _) in &mut self.shares {
            let part = rest.min(*held);
            (*held, rest) = (*held - part, rest - part);
        }
        true
    }
}
