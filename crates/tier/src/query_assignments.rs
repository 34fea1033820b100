//! Which decider each query of a forwarder is assigned to. A decider decides on a query's attempts and on its
//! answer: it is a planner, or the local policy, which runs in the forwarder itself, while no planner is
//! available. Each assignment has a term, a number that grows with each assignment of the forwarder. The
//! forwarder carries out a decision only if it names the query's latest term and comes from the decider of
//! that term. So a query has one decider at every instant, even if a planner that was considered lost
//! resumes. This module uses no time: `planner_membership` determines which planners are available.
use crate::Name;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The planner or policy that decides on a query's attempts and answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decider {
    /// The planner with this name.
    Planner(Name),
    /// The forwarder's local policy, which knows only this forwarder's queries.
    Local,
}

/// The assignment of a query to a decider.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Assignment {
    /// Id of the query.
    pub query: String,
    /// The decider that the query is assigned to.
    pub decider: Decider,
    /// Number of this assignment, which the decider's decisions must name.
    pub term: u64,
}

/// The assignments of the open queries of one forwarder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueryAssignments {
    forwarder: Name,
    /// The decider of each open query and the number of the query's latest assignment, its term, by query id.
    by_query: BTreeMap<String, (Decider, u64)>,
    /// The id of each open query, by the query's latest term.
    by_term: BTreeMap<u64, String>,
    last_term: u64,
}

impl QueryAssignments {
    /// Creates the assignments of the forwarder with this name, without any query.
    pub fn new(forwarder: &str) -> Self {
        QueryAssignments {
            forwarder: forwarder.into(),
            by_query: BTreeMap::new(),
            by_term: BTreeMap::new(),
            last_term: 0,
        }
    }

    /// Returns the decider for this forwarder's next queries. All of them go to one of the `available`
    /// planners, so that the planner observes most effects of its decisions. Forwarders choose by rendezvous
    /// hashing of their name with each planner's, so the forwarders of a lost planner spread over the other
    /// planners and no other forwarder changes its planner.
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

    /// Assigns a new query to the decider that `preferred_decider` returns. Returns `None` if a query with
    /// this id is open.
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

    /// Reassigns all open queries of a planner that is no longer available, to another available planner or,
    /// if there is none, to the local policy. Returns the new assignments.
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

    /// Returns the id of the query that a received decision is for. The decision was made by the decider
    /// `from` and names the assignment with the number `term`. Returns `None` if no open query's latest
    /// assignment has this number and this decider, so that the decision must be ignored.
    pub fn query_of(&self, from: &Decider, term: u64) -> Option<&str> {
        let query = self.by_term.get(&term)?;
        self.by_query.get(query).filter(|(decider, latest)| decider == from && *latest == term)?;
        Some(query)
    }

    /// Removes a query that was answered or whose client disconnected, and returns the query's last
    /// assignment.
    pub fn close(&mut self, query: &str) -> Option<Assignment> {
        let (decider, term) = self.by_query.remove(query)?;
        self.by_term.remove(&term);
        Some(Assignment { query: query.into(), decider, term })
    }

    /// The number of open queries of this forwarder, whatever decider they are assigned to.
    pub fn open_count(&self) -> usize {
        self.by_query.len()
    }

    /// The number of open queries that are assigned to the forwarder's local policy.
    pub fn local_count(&self) -> usize {
        self.by_query.values().filter(|(decider, _)| *decider == Decider::Local).count()
    }
}
