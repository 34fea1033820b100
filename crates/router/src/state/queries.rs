//! Open queries and their shard requests, from the receipt of the last byte of a query to its final response.
//! If the router has a shard map, shard requests are for keys, and a request whose shard was split or merged
//! may be split into several requests. The table identifies a query by a number, which is never reused;
//! clients may reuse the id of an ended query. The slot of a query class is an index into
//! `Dispatcher::query_classes`. The policy is the code that decides about queries and attempts.
use super::clients::ClientConnection;
use super::response::{AnswerCoverage, EMPTY_ANSWER_BYTES, MAX_ANSWER_BYTES, result_bytes};
use super::timer_queue::TimerQueue;
use alderway_cores::open_ids::IdClaim;
use alderway_cores::pool::PoolPermit;
use alderway_layouts::{KeyRange, ShardId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};
use std::rc::Rc;

/// Why a query cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// A query with the same id is open.
    IdInUse,
    /// The router has received no shard map yet.
    NoShardMap,
    /// A target of the query names a shard that does not exist.
    UnknownShard,
    /// A target of the query names an empty range or keys that do not exist.
    UnknownKeys,
    /// Two targets of the query have a key in common.
    DuplicateKeys,
    /// A target of the query names both a shard and keys, or neither.
    AmbiguousTarget,
}

impl Display for QueryError {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            QueryError::IdInUse => "a query with this id is open",
            QueryError::NoShardMap => "no shard map is known yet",
            QueryError::UnknownShard => "a target names a shard that does not exist",
            QueryError::UnknownKeys => "a target names keys that do not exist",
            QueryError::DuplicateKeys => "targets overlap",
            QueryError::AmbiguousTarget => "a target must name either a shard or keys",
        })
    }
}

impl std::error::Error for QueryError {}

/// An attempt that a data node may have executed, and when the first byte of its frame was to be written, in
/// seconds of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PossibleExecution {
    attempt: usize,
    begun_at_s: f64,
}

/// The part of a query that goes to one shard.
pub struct ShardRequest {
    /// Id of the request, unique among open queries.
    pub id: Rc<str>,
    /// Id of the requested shard.
    pub shard: u32,
    /// The shard request's fraction of the query, from 0 to 1.
    pub weight: f64,
    /// The value that the data node sent, if it has answered and the router has no shard map.
    pub value: Option<String>,
    /// Number of attempts started so far.
    pub attempts: usize,
    /// The requested keys; `None` if the router has no shard map.
    pub keys: Option<RequestedKeys>,
    possible_executions: Vec<PossibleExecution>,
}

/// The keys of a shard request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestedKeys {
    /// The requested range of keys.
    pub range: KeyRange,
    /// Whether the client asked for a shard rather than for keys, so that one value has to answer all keys of
    /// the shard.
    pub is_whole_shard: bool,
    /// Whether the request was split into several requests. An answer to the request that arrives after the
    /// split still counts.
    pub is_split: bool,
    /// Whether all keys of the range are answered, by this request or by a request that it was split from.
    pub is_answered: bool,
}

impl RequestedKeys {
    /// A range of keys that is neither split nor answered.
    pub fn new(range: KeyRange, is_whole_shard: bool) -> Self {
        RequestedKeys { range, is_whole_shard, is_split: false, is_answered: false }
    }
}

impl ShardRequest {
    /// A shard request without attempts and without keys.
    pub fn new(id: Rc<str>, shard: u32, weight: f64) -> Self {
        ShardRequest { id, shard, weight, value: None, attempts: 0, keys: None, possible_executions: vec![] }
    }

    /// The earliest time at which the first byte of an attempt's frame was to be written, in seconds of the
    /// monotonic clock, among the attempts of this shard request that a data node may have executed. The
    /// attempt with the number `except` is left out. `None` if there is no other such attempt.
    pub fn first_possible_execution(&self, except: Option<usize>) -> Option<f64> {
        let others = self.possible_executions.iter().filter(|execution| Some(execution.attempt) != except);
        others.map(|execution| execution.begun_at_s).reduce(f64::min)
    }

    /// Whether a data node may have executed any attempt of this shard request.
    pub fn may_have_executed(&self) -> bool {
        !self.possible_executions.is_empty()
    }

    /// Records that the first byte of an attempt's frame is written at `now`, in seconds of the monotonic
    /// clock: from then on the data node may execute the attempt.
    pub fn record_possible_execution(&mut self, attempt: usize, now: f64) {
        self.possible_executions.push(PossibleExecution { attempt, begun_at_s: now });
    }

    /// Records that the data node certainly did not execute an attempt.
    pub fn rule_out_execution(&mut self, attempt: usize) {
        self.possible_executions.retain(|execution| execution.attempt != attempt);
    }

    /// Takes over the attempts of the shard request that this one was split from: their number, and those
    /// that a data node may have executed.
    pub fn inherit_attempts(&mut self, split: &ShardRequest) {
        self.attempts = split.attempts;
        self.possible_executions.clone_from(&split.possible_executions);
    }

    /// Whether this shard request was split into several requests.
    pub fn is_split(&self) -> bool {
        self.keys.is_some_and(|keys| keys.is_split)
    }
}

/// A query that is open or is about to be opened.
pub struct Query {
    /// The id that the client gave the query.
    pub id: Rc<str>,
    /// Slot of the query's class: its index in `Dispatcher::query_classes`.
    pub class: usize,
    /// The deadline of the query, when the client stops waiting, in seconds of the monotonic clock.
    pub not_after_s: f64,
    /// The text that is sent to the data node with every shard request.
    pub text: String,
    /// The shard requests. Requests created by a split are added at the end.
    pub requests: Vec<ShardRequest>,
    /// The client connection that gets the response.
    pub client: Rc<ClientConnection>,
    /// The answered keys and their values; `None` if the router has no shard map.
    pub coverage: Option<AnswerCoverage>,
}

/// The id claim and the capacity of an open query, which all cores share. Dropping this value releases both.
pub struct QueryResources {
    /// The claim on the query's id. No other open query on any core may have the same id.
    pub id_claim: IdClaim,
    /// Units of the capacity that all cores share: one for the query and one for each of its shard requests.
    pub capacity: Vec<PoolPermit>,
}

/// The parts of a shard request that the frame of an attempt contains.
pub struct ShardRequestContent<'a> {
    /// Id of the requested shard.
    pub shard: u32,
    /// The text that is sent to the data node.
    pub text: &'a str,
    /// The deadline of the query, when the client stops waiting, in seconds of the monotonic clock.
    pub not_after_s: f64,
    /// The requested keys; `None` if the router has no shard map.
    pub keys: Option<KeyRange>,
}

/// Locates a shard request: the number of its query and its index in `Query::requests`.
#[derive(Clone, Copy)]
struct RequestIndex {
    query: u64,
    index: usize,
}

/// The open queries of one core, each from `insert` to `remove`.
#[derive(Default)]
pub struct QueryTable {
    open: BTreeMap<u64, Query>,
    resources: BTreeMap<u64, QueryResources>,
    deadlines: TimerQueue<u64>,
    /// The size of each query's answer with the values so far, in bytes, at most; missing before the first value.
    answer_bytes: BTreeMap<u64, usize>,
    numbers: BTreeMap<Rc<str>, u64>,
    requests: BTreeMap<Rc<str>, RequestIndex>,
    open_by_class: BTreeMap<usize, usize>,
    last_number: u64,
}

impl QueryTable {
    /// Number of capacity units in use: open queries plus their shard requests.
    pub fn reserved_count(&self) -> usize {
        self.open.len() + self.requests.len()
    }

    /// Whether no query is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Number of open queries.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Number of open queries whose class has the slot `class`.
    pub fn open_in_class(&self, class: usize) -> usize {
        self.open_by_class.get(&class).copied().unwrap_or(0)
    }

    /// Whether a query with this id is open on this core.
    pub fn is_open(&self, id: &str) -> bool {
        self.numbers.contains_key(id)
    }

    /// Ids of all open queries of this core.
    pub fn ids(&self) -> Vec<Rc<str>> {
        self.numbers.keys().cloned().collect()
    }

    /// Adds a query, and returns the number that identifies it.
    pub fn insert(&mut self, query: Query, resources: QueryResources) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        self.resources.insert(number, resources);
        self.deadlines.insert(query.not_after_s, number);
        self.numbers.insert(query.id.clone(), number);
        for (index, request) in query.requests.iter().enumerate() {
            self.requests.insert(request.id.clone(), RequestIndex { query: number, index });
        }
        *self.open_by_class.entry(query.class).or_default() += 1;
        self.open.insert(number, query);
        number
    }

    /// Removes a query, and releases its resources.
    pub fn remove(&mut self, number: u64) -> Option<Query> {
        let query = self.open.remove(&number)?;
        self.numbers.remove(&query.id);
        self.resources.remove(&number);
        self.answer_bytes.remove(&number);
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

    /// The open query with this number; `None` if it has ended.
    pub fn get(&self, number: u64) -> Option<&Query> {
        self.open.get(&number)
    }

    /// Numbers of the queries whose deadline is at or before `now`, in seconds of the monotonic clock; the
    /// earliest deadline comes first.
    pub fn overdue(&self, now: f64) -> Vec<u64> {
        self.deadlines.due(now).copied().collect()
    }

    /// Ids of the open shard requests for each of `shards`, without the requests that were split.
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

    /// Whether a shard request belongs to an open query.
    pub fn has_request(&self, request_id: &str) -> bool {
        self.requests.contains_key(request_id)
    }

    /// The number of the open query with this id; `None` if no such query is open on this core.
    pub fn number(&self, id: &str) -> Option<u64> {
        self.numbers.get(id).copied()
    }

    /// The shard request with this id; `None` if the query of the request has ended.
    pub fn request_mut(&mut self, request_id: &str) -> Option<&mut ShardRequest> {
        let &RequestIndex { query, index } = self.requests.get(request_id)?;
        self.open.get_mut(&query)?.requests.get_mut(index)
    }

    /// The parts of this shard request that the frame of an attempt contains; `None` if the query of the
    /// request has ended.
    pub fn request_content(&self, request_id: &str) -> Option<ShardRequestContent<'_>> {
        let &RequestIndex { query, index } = self.requests.get(request_id)?;
        let query = self.open.get(&query)?;
        let request = query.requests.get(index)?;
        let keys = request.keys.map(|keys| keys.range);
        Some(ShardRequestContent {
            shard: request.shard,
            text: &query.text,
            not_after_s: query.not_after_s,
            keys,
        })
    }

    /// The slot of the query's class, and the shard request with this id; `None` if the query of the request
    /// has ended.
    pub fn class_and_request(&self, request_id: &str) -> Option<(usize, &ShardRequest)> {
        let &RequestIndex { query, index } = self.requests.get(request_id)?;
        let query = self.open.get(&query)?;
        Some((query.class, query.requests.get(index)?))
    }

    /// The number of the query of a shard request, the query, and the request's index in `Query::requests`;
    /// `None` if the query has ended.
    pub fn query_of_request(&mut self, request_id: &str) -> Option<(u64, &mut Query, usize)> {
        let &RequestIndex { query, index } = self.requests.get(request_id)?;
        Some((query, self.open.get_mut(&query)?, index))
    }

    /// Reserves room for the value of a shard request in the answer to its query; false if the answer would be
    /// longer than [`MAX_ANSWER_BYTES`]. Guards against data nodes whose values fill the memory of the router,
    /// and against answers that no client reads.
    pub fn reserve_value(&mut self, request_id: &str, value: &str) -> bool {
        let Some(&RequestIndex { query: number, index }) = self.requests.get(request_id) else { return true };
        let request = self.open.get(&number).and_then(|query| query.requests.get(index));
        if request.is_none_or(|request| request.value.is_some()) {
            return true;
        }
        let reserved = self.answer_bytes.entry(number).or_insert(EMPTY_ANSWER_BYTES);
        let fits = *reserved + result_bytes(value) <= MAX_ANSWER_BYTES;
        if fits {
            *reserved += result_bytes(value);
        }
        fits
    }

    /// Marks a shard request as split and adds the requests `into` to its query. `capacity` is the permit for
    /// the capacity units of the new requests. The split request stays in the query, because an answer to the
    /// split request still counts if the answer arrives later.
    pub fn split_request(&mut self, request_id: &str, into: Vec<ShardRequest>, capacity: PoolPermit) {
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
        if let Some(resources) = self.resources.get_mut(&number) {
            resources.capacity.push(capacity);
        }
    }
}
