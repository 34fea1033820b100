//! Open queries and their shard requests, from the last byte of a query to its final response.
use super::clients::ClientConnection;
use super::response::AnswerCoverage;
use super::timer_queue::TimerQueue;
use alderway_cores::ids::Claim;
use alderway_cores::pool::Taken;
use alderway_layouts::{Range, ShardId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};
use std::rc::Rc;

/// Why a query cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// A query with its id is open.
    IdInUse,
    /// No shard map has come yet.
    NoShardMap,
    /// It names a shard that does not exist.
    UnknownShard,
    /// It names keys that do not exist.
    UnknownKeys,
    /// It names some keys twice.
    DuplicateKeys,
    /// A target names both a shard and keys, or neither.
    AmbiguousTarget,
}

impl Display for QueryError {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            QueryError::IdInUse => "a query with this id is open",
            QueryError::NoShardMap => "no shard map is known yet",
            QueryError::UnknownShard => "a shard that does not exist",
            QueryError::UnknownKeys => "keys that do not exist",
            QueryError::DuplicateKeys => "some keys are asked for twice",
            QueryError::AmbiguousTarget => "a target must name either a shard or keys",
        })
    }
}

impl std::error::Error for QueryError {}

/// An attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PossibleExecution {
    attempt: usize,
    begun_at_s: f64,
}

/// A query's request to one shard.
pub struct ShardRequest {
    /// Its id, unique among open queries.
    pub id: Rc<str>,
    /// The shard asked.
    pub shard: u32,
    /// Its fraction of the query.
    pub weight: f64,
    /// As the data node gave it.
    pub value: Option<String>,
    /// Attempts so far.
    pub attempts: usize,
    /// The keys asked for, where a shard map is followed.
    pub keys: Option<RequestedKeys>,
    possible_executions: Vec<PossibleExecution>,
}

/// The keys that a shard request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestedKeys {
    /// From the first key to below the last.
    pub range: Range,
    /// The client asked for a shard and can use nothing but one value for it.
    pub is_whole_shard: bool,
    /// It was split into several requests; its late answer still counts.
    pub is_split: bool,
    /// All its keys are answered.
    pub is_answered: bool,
}

impl RequestedKeys {
    /// Keys that are asked for and unanswered.
    pub fn new(range: Range, is_whole_shard: bool) -> Self {
        RequestedKeys { range, is_whole_shard, is_split: false, is_answered: false }
    }
}

impl ShardRequest {
    /// A request without an attempt.
    pub fn new(id: Rc<str>, shard: u32, weight: f64) -> Self {
        ShardRequest { id, shard, weight, value: None, attempts: 0, keys: None, possible_executions: vec![] }
    }

    /// When the first of its attempts that may have been executed began, `except` left out.
    pub fn first_possible_execution(&self, except: Option<usize>) -> Option<f64> {
        let others = self.possible_executions.iter().filter(|execution| Some(execution.attempt) != except);
        others.map(|execution| execution.begun_at_s).reduce(f64::min)
    }

    /// Whether any attempt may have been executed.
    pub fn may_have_executed(&self) -> bool {
        !self.possible_executions.is_empty()
    }

    /// The frame of an attempt begins to be written.
    pub fn note_execution(&mut self, attempt: usize, now: f64) {
        self.possible_executions.push(PossibleExecution { attempt, begun_at_s: now });
    }

    /// An attempt is known not to have been executed.
    pub fn forget_execution(&mut self, attempt: usize) {
        self.possible_executions.retain(|execution| execution.attempt != attempt);
    }

    /// Whether it was split into several requests.
    pub fn is_split(&self) -> bool {
        self.keys.is_some_and(|keys| keys.is_split)
    }
}

/// A query that is open, or about to be.
pub struct Query {
    /// Its id, as the client gave it.
    pub id: Rc<str>,
    /// Slot of its query class.
    pub class: usize,
    /// When its client waits no longer.
    pub not_after_s: f64,
    /// What every shard request has to carry.
    pub text: String,
    /// Its shard requests; those that came of a split stand behind the others.
    pub requests: Vec<ShardRequest>,
    /// The connection that waits for its response.
    pub client: Rc<ClientConnection>,
    /// What is answered by keys, where a shard map is followed.
    pub coverage: Option<AnswerCoverage>,
}

/// What an open query takes of what all cores share; given back on drop.
pub struct QueryReservation {
    /// Its id, which no other query may have.
    pub id_claim: Claim,
    /// Capacity for itself and its shard requests.
    pub capacity: Vec<Taken>,
}

/// What a frame says of an open shard request.
pub struct RequestedWork<'a> {
    /// The shard asked.
    pub shard: u32,
    /// The query's text.
    pub text: &'a str,
    /// When the client waits no longer.
    pub not_after_s: f64,
    /// The keys asked for, where a shard map is followed.
    pub keys: Option<Range>,
}

/// Where a shard request stands.
#[derive(Clone, Copy)]
struct RequestIndex {
    query: u64,
    index: usize,
}

/// Queries from `insert` to `remove`, by a number that is never used again.
#[derive(Default)]
pub struct QueryTable {
    open: BTreeMap<u64, Query>,
    reservations: BTreeMap<u64, QueryReservation>,
    deadlines: TimerQueue<u64>,
    numbers: BTreeMap<Rc<str>, u64>,
    requests: BTreeMap<Rc<str>, RequestIndex>,
    open_by_class: BTreeMap<usize, usize>,
    last_number: u64,
}

impl QueryTable {
    /// Queries and shard requests that count against the capacity.
    pub fn reserved_count(&self) -> usize {
        self.open.len() + self.requests.len()
    }

    /// Whether no query is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Open queries.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Open queries of the class in a slot.
    pub fn open_in_class(&self, class: usize) -> usize {
        self.open_by_class.get(&class).copied().unwrap_or(0)
    }

    /// Whether a query with this id is open on this core.
    pub fn is_open(&self, id: &str) -> bool {
        self.numbers.contains_key(id)
    }

    /// Ids of all open queries.
    pub fn ids(&self) -> Vec<Rc<str>> {
        self.numbers.keys().cloned().collect()
    }

    /// Adds a query; returns its number.
    pub fn insert(&mut self, query: Query, reservation: QueryReservation) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        self.reservations.insert(number, reservation);
        self.deadlines.insert(query.not_after_s, number);
        self.numbers.insert(query.id.clone(), number);
        for (index, request) in query.requests.iter().enumerate() {
            self.requests.insert(request.id.clone(), RequestIndex { query: number, index });
        }
        *self.open_by_class.entry(query.class).or_default() += 1;
        self.open.insert(number, query);
        number
    }

    /// Removes a query for its final response, and gives back what it reserved.
    pub fn remove(&mut self, number: u64) -> Option<Query> {
        let query = self.open.remove(&number)?;
        self.numbers.remove(&query.id);
        self.reservations.remove(&number);
        self.deadlines.remove(query.not_after_s, &number);
        if let Some(open) = self.open_by_class.get_mut(&query.class) {
            *open -= 1;
        }
        for request in &query.requests {
            self.requests.remove(&request.id);
        }
        query.client.open_query.set(None);
        Some(query)
    }

    /// An open query.
    pub fn get(&self, number: u64) -> Option<&Query> {
        self.open.get(&number)
    }

    /// Queries whose client waits no longer, the earliest first.
    pub fn overdue(&self, now: f64) -> Vec<u64> {
        self.deadlines.due(now).copied().collect()
    }

    /// Open requests of these shards that were not split.
    pub fn unsplit_requests_of(&self, shards: &[ShardId]) -> BTreeMap<ShardId, Vec<Rc<str>>> {
        let wanted: BTreeSet<ShardId> = shards.iter().copied().collect();
        let mut found: BTreeMap<ShardId, Vec<Rc<str>>> = BTreeMap::new();
        for request in self.open.values().flat_map(|query| &query.requests) {
            if wanted.contains(&request.shard) && !request.is_split() {
                found.entry(request.shard).or_default().push(request.id.clone());
            }
        }
        found
    }

    /// Whether a shard request is one of an open query.
    pub fn has_request(&self, request_id: &str) -> bool {
        self.requests.contains_key(request_id)
    }

    /// The number of an open query.
    pub fn number(&self, id: &str) -> Option<u64> {
        self.numbers.get(id).copied()
    }

    /// A shard request of an open query.
    pub fn request_mut(&mut self, request_id: &str) -> Option<&mut ShardRequest> {
        let &RequestIndex { query, index } = self.requests.get(request_id)?;
        self.open.get_mut(&query)?.requests.get_mut(index)
    }

    /// What a frame has to say of an open shard request.
    pub fn requested_work(&self, request_id: &str) -> Option<RequestedWork<'_>> {
        let &RequestIndex { query, index } = self.requests.get(request_id)?;
        let query = self.open.get(&query)?;
        let request = query.requests.get(index)?;
        let keys = request.keys.map(|keys| keys.range);
        Some(RequestedWork { shard: request.shard, text: &query.text, not_after_s: query.not_after_s, keys })
    }

    /// An open shard request and the class of its query.
    pub fn class_and_request(&self, request_id: &str) -> Option<(usize, &ShardRequest)> {
        let &RequestIndex { query, index } = self.requests.get(request_id)?;
        let query = self.open.get(&query)?;
        Some((query.class, query.requests.get(index)?))
    }

    /// The query of an open shard request: its number, itself, and the request's index in it.
    pub fn query_of_request(&mut self, request_id: &str) -> Option<(u64, &mut Query, usize)> {
        let &RequestIndex { query, index } = self.requests.get(request_id)?;
        Some((query, self.open.get_mut(&query)?, index))
    }

    /// Replaces a shard request by several; it stays for a late answer.
    pub fn split_request(&mut self, request_id: &str, into: Vec<ShardRequest>, capacity: Taken) {
        let Some(&RequestIndex { query: number, index }) = self.requests.get(request_id) else { return };
        let Some(query) = self.open.get_mut(&number) else { return };
        if let Some(keys) = query.requests.get_mut(index).and_then(|request| request.keys.as_mut()) {
            keys.is_split = true;
        }
        for request in into {
            let index = RequestIndex { query: number, index: query.requests.len() };
            self.requests.insert(request.id.clone(), index);
            query.requests.push(request);
        }
        if let Some(reservation) = self.reservations.get_mut(&number) {
            reservation.capacity.push(capacity);
        }
    }
}
