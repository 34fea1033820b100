//! Which decider each query of a forwarder is assigned to: one planner, or the forwarder's own policy while no planner is
//! available. Only the forwarder's record counts. Each assignment has a term, and only decisions that name the latest
//! term of their query and come from its decider are carried out. So a query has one decider at every instant, even if a
//! planner that was given up resumes, and which attempts may have run is known from the forwarder's own record. Knows no
//! time: `planner_membership` decides which planners are available.
use crate::Name;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What decides for a query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decider {
    /// A planner, by name.
    Planner(Name),
    /// The forwarder's own policy, which sees only this forwarder's queries.
    Local,
}

/// One assignment of a query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Assignment {
    /// The query's id.
    pub query: String,
    /// What decides for it.
    pub decider: Decider,
    /// The number that the decider's decisions have to name.
    pub term: u64,
}

/// The assignments of one forwarder's open queries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueryAssignments {
    forwarder: Name,
    /// The decider and the latest term of each open query.
    by_query: BTreeMap<String, (Decider, u64)>,
    /// Queries by their latest term.
    by_term: BTreeMap<u64, String>,
    last_term: u64,
}

impl QueryAssignments {
    /// No assignments yet, of the forwarder of this name.
    pub fn new(forwarder: &str) -> Self {
        QueryAssignments {
            forwarder: forwarder.into(),
            by_query: BTreeMap::new(),
            by_term: BTreeMap::new(),
            last_term: 0,
        }
    }

    /// The decider for this forwarder's next queries, out of the available planners. All of them go to one planner, so that
    /// it sees most of what they show. Each forwarder ranks the planners by rendezvous hashing, so the forwarders of a
    /// lost planner spread over the others and no other forwarder changes its planner.
    pub fn preferred_decider<'n>(&self, available: impl Iterator<Item = &'n Name>) -> Decider {
        let weight = |planner: &&Name| {
            let mut hash = DefaultHasher::new();
            (&self.forwarder, planner).hash(&mut hash);
            hash.finish()
        };
        available.max_by_key(weight).map_or(Decider::Local, |planner| Decider::Planner(planner.clone()))
    }

    fn assign_to(&mut self, query: &str, decider: Decider) -> Assignment {
        self.last_term += 1;
        let term = self.last_term;
        if let Some((_, previous)) = self.by_query.insert(query.into(), (decider.clone(), term)) {
            self.by_term.remove(&previous);
        }
        self.by_term.insert(term, query.into());
        Assignment { query: query.into(), decider, term }
    }

    /// Assigns a new query; none if one with this id is open.
    pub fn assign<'n>(
        &mut self,
        query: &str,
        available: impl Iterator<Item = &'n Name>,
    ) -> Option<Assignment> {
        if self.by_query.contains_key(query) {
            return None;
        }
        let decider = self.preferred_decider(available);
        Some(self.assign_to(query, decider))
    }

    /// Reassigns all queries of a planner that is no longer available, to another planner or the own policy.
    pub fn reassign_from<'n>(
        &mut self,
        planner: &str,
        available: impl Iterator<Item = &'n Name>,
    ) -> Vec<Assignment> {
        let decider = self.preferred_decider(available.filter(|name| *name != planner));
        let lost = Decider::Planner(planner.into());
        let of_planner = self.by_query.iter().filter(|(_, (decider, _))| *decider == lost);
        let queries: Vec<String> = of_planner.map(|(query, _)| query.clone()).collect();
        queries.iter().map(|query| self.assign_to(query, decider.clone())).collect()
    }

    /// The query that a decision in this term is for; none if the query has another term or decider by now.
    pub fn query_of(&self, from: &Decider, term: u64) -> Option<&str> {
        let query = self.by_term.get(&term)?;
        self.by_query.get(query).filter(|(decider, latest)| decider == from && *latest == term)?;
        Some(query)
    }

    /// Removes a query that was answered or whose client left, and returns its last assignment.
    pub fn close(&mut self, query: &str) -> Option<Assignment> {
        let (decider, term) = self.by_query.remove(query)?;
        self.by_term.remove(&term);
        Some(Assignment { query: query.into(), decider, term })
    }

    /// The number of open queries.
    pub fn open_count(&self) -> usize {
        self.by_query.len()
    }

    /// The number of open queries that are assigned to the forwarder's local policy.
    pub fn local_count(&self) -> usize {
        self.by_query.values().filter(|(decider, _)| *decider == Decider::Local).count()
    }
}
