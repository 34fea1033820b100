//! Who decides for a query: one planner at a time, or the forwarder's own module where none can be asked. What counts is
//! the forwarder's record alone. A planner that is lost, or that was given up and speaks again, decides nothing more:
//! each asking has a term of its own, and only the newest term's decisions are carried out, from whom it was given to.
//! So a query has one decider at every instant, whatever planners believe, and what may have run is known from the
//! forwarder's own leaf calls. Knows no time: `members` says who is there.
use crate::Name;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Who decides for a query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decider {
    Planner(Name),
    /// The forwarder's own module, which sees no more than this forwarder does.
    Own,
}

/// An asking: whom, and the term that its decisions have to name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Asking {
    pub query: String,
    pub decider: Decider,
    pub term: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Custody {
    forwarder: Name,
    held: BTreeMap<String, (Decider, u64)>,
    /// Queries by the term in force.
    terms: BTreeMap<u64, String>,
    last: u64,
}

impl Custody {
    pub fn new(forwarder: &str) -> Self {
        Custody { forwarder: forwarder.into(), held: BTreeMap::new(), terms: BTreeMap::new(), last: 0 }
    }

    /// The planner for this forwarder's queries: all of them go to one, so that it sees most of what they show, and each
    /// forwarder orders planners in its own way (by rendezvous hashing), so that those of a planner that is lost spread
    /// over the others and nobody moves who need not.
    pub fn prefers<'n>(&self, able: impl Iterator<Item = &'n Name>) -> Decider {
        let weight = |planner: &&Name| {
            let mut hash = DefaultHasher::new();
            (&self.forwarder, planner).hash(&mut hash);
            hash.finish()
        };
        able.max_by_key(weight).map_or(Decider::Own, |planner| Decider::Planner(planner.clone()))
    }

    fn ask(&mut self, query: &str, decider: Decider) -> Asking {
        self.last += 1;
        if let Some((_, old)) = self.held.insert(query.into(), (decider.clone(), self.last)) {
            self.terms.remove(&old);
        }
        self.terms.insert(self.last, query.into());
        Asking { query: query.into(), decider, term: self.last }
    }

    /// A query has come; none where one of its name is held.
    pub fn open<'n>(&mut self, query: &str, able: impl Iterator<Item = &'n Name>) -> Option<Asking> {
        if self.held.contains_key(query) {
            return None;
        }
        let decider = self.prefers(able);
        Some(self.ask(query, decider))
    }

    /// A planner decides no more: everything that it held is asked of another at once, or of the own module.
    pub fn lost<'n>(&mut self, planner: &str, able: impl Iterator<Item = &'n Name>) -> Vec<Asking> {
        let decider = self.prefers(able.filter(|name| *name != planner));
        let of_it = |(_, (held, _)): &(&String, &(Decider, u64))| *held == Decider::Planner(planner.into());
        let queries: Vec<String> = self.held.iter().filter(of_it).map(|(query, _)| query.clone()).collect();
        queries.iter().map(|query| self.ask(query, decider.clone())).collect()
    }

    /// The query that a decision is for, if whoever made it decides for that one by this term.
    pub fn accepts(&self, from: &Decider, term: u64) -> Option<&str> {
        let query = self.terms.get(&term)?;
        self.held.get(query).filter(|(decider, held)| decider == from && *held == term)?;
        Some(query)
    }

    /// The query has its final answer, or its client has left. Whom to tell that it is over.
    pub fn close(&mut self, query: &str) -> Option<Asking> {
        let (decider, term) = self.held.remove(query)?;
        self.terms.remove(&term);
        Some(Asking { query: query.into(), decider, term })
    }

    /// Queries held, and how many of them the own module decides for.
    pub fn count(&self) -> (usize, usize) {
        (self.held.len(), self.held.values().filter(|held| held.0 == Decider::Own).count())
    }
}
