//! Open queries and their parts, from the last byte of a request to its final answer.
use super::clients::ClientConnection;
use super::timer_queue::TimerQueue;
use alderway_cores::ids::Claim;
use alderway_cores::pool::Taken;
use alderway_layouts::coverage::Coverage;
use alderway_layouts::{Range, ShardId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub struct ShardRequest {
    pub id: Rc<str>,
    pub shard: u32,
    pub weight: f64,
    /// As the data node gave it.
    pub value: Option<String>,
    /// Leaf calls so far.
    pub attempts: usize,
    /// Those of them whose frame has begun and that may have run, with when it began.
    pub possibly_executed: Vec<(usize, f64)>,
    /// What of a layout it asks for, where layouts are followed.
    pub keys: Option<RequestedKeys>,
}

/// Keys that a part asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestedKeys {
    pub range: Range,
    /// The client asked for a shard and can use nothing but one value for it.
    pub is_whole_shard: bool,
    /// It has become several parts; its late answer still counts.
    pub is_split: bool,
    /// All its keys are in.
    pub is_answered: bool,
}

impl RequestedKeys {
    pub fn new(range: Range, single: bool) -> Self {
        RequestedKeys { range, is_whole_shard: single, is_split: false, is_answered: false }
    }
}

impl ShardRequest {
    pub fn new(id: Rc<str>, shard: u32, weight: f64) -> Self {
        ShardRequest { id, shard, weight, value: None, attempts: 0, possibly_executed: vec![], keys: None }
    }

    /// When the first of its calls that may have run began, one of them left out.
    pub fn first_possible_execution(&self, but: Option<usize>) -> Option<f64> {
        let others = self.possibly_executed.iter().filter(|(hop, _)| Some(*hop) != but);
        others.map(|(_, at)| *at).reduce(f64::min)
    }

    pub fn is_split(&self) -> bool {
        self.keys.is_some_and(|keys| keys.is_split)
    }
}

pub struct Query {
    pub id: Rc<str>,
    pub class: usize,
    pub not_after_s: f64,
    /// What every part has to carry.
    pub text: String,
    pub requests: Vec<ShardRequest>,
    pub client: Rc<ClientConnection>,
    /// What is in, by keys, where layouts are followed.
    pub coverage: Option<Coverage<(ShardId, String)>>,
}

/// What an open query takes of what all cores hold in common; dropped with it.
pub struct QueryReservation {
    pub id_claim: Claim,
    pub capacity: Vec<Taken>,
}

/// A query is held from `hold` to `release`, and counts with its parts against the room.
#[derive(Default)]
pub struct QueryTable {
    open: BTreeMap<u64, Query>,
    reservations: BTreeMap<u64, QueryReservation>,
    deadlines: TimerQueue<u64>,
    numbers: BTreeMap<Rc<str>, u64>,
    requests: BTreeMap<Rc<str>, (u64, usize)>,
    /// How many are open in each vertical's place.
    open_by_class: BTreeMap<usize, usize>,
    last_number: u64,
}

impl QueryTable {
    /// Queries and parts held.
    pub fn reserved_count(&self) -> usize {
        self.open.len() + self.requests.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// How many are open in a vertical's place.
    pub fn open_in_class(&self, vertical: usize) -> usize {
        self.open_by_class.get(&vertical).copied().unwrap_or(0)
    }

    pub fn is_open(&self, id: &str) -> bool {
        self.numbers.contains_key(id)
    }

    pub fn ids(&self) -> Vec<Rc<str>> {
        self.numbers.keys().cloned().collect()
    }

    pub fn insert(&mut self, query: Query, place: QueryReservation) -> u64 {
        self.last_number += 1;
        self.reservations.insert(self.last_number, place);
        self.deadlines.insert(query.not_after_s, self.last_number);
        self.numbers.insert(query.id.clone(), self.last_number);
        for (i, part) in query.requests.iter().enumerate() {
            self.requests.insert(part.id.clone(), (self.last_number, i));
        }
        *self.open_by_class.entry(query.class).or_default() += 1;
        self.open.insert(self.last_number, query);
        self.last_number
    }

    pub fn remove(&mut self, number: u64) -> Option<Query> {
        let query = self.open.remove(&number)?;
        self.numbers.remove(&query.id);
        self.reservations.remove(&number);
        self.deadlines.remove(query.not_after_s, &number);
        if let Some(open) = self.open_by_class.get_mut(&query.class) {
            *open -= 1;
        }
        for part in &query.requests {
            self.requests.remove(&part.id);
        }
        query.client.open_query.set(None);
        Some(query)
    }

    pub fn get(&self, number: u64) -> Option<&Query> {
        self.open.get(&number)
    }

    pub fn overdue(&self, now: f64) -> Vec<u64> {
        self.deadlines.due(now).copied().collect()
    }

    /// Parts of these shards that may still go out.
    pub fn unsplit_requests_of(&self, shards: &[ShardId]) -> BTreeMap<ShardId, Vec<Rc<str>>> {
        let wanted: BTreeSet<ShardId> = shards.iter().copied().collect();
        let mut found: BTreeMap<ShardId, Vec<Rc<str>>> = BTreeMap::new();
        for part in self.open.values().flat_map(|query| &query.requests) {
            if wanted.contains(&part.shard) && !part.is_split() {
                found.entry(part.shard).or_default().push(part.id.clone());
            }
        }
        found
    }

    /// Whether a part is one of an open query.
    pub fn has_request(&self, part: &str) -> bool {
        self.requests.contains_key(part)
    }

    pub fn number(&self, id: &str) -> Option<u64> {
        self.numbers.get(id).copied()
    }

    /// A part of an open query.
    pub fn request_mut(&mut self, id: &str) -> Option<&mut ShardRequest> {
        let &(number, i) = self.requests.get(id)?;
        self.open.get_mut(&number)?.requests.get_mut(i)
    }

    /// Shard, text and the client's last moment of an open part, for the frame that asks for it, and its keys.
    pub fn asked(&self, id: &str) -> Option<(u32, &str, f64, Option<Range>)> {
        let &(number, i) = self.requests.get(id)?;
        let query = self.open.get(&number)?;
        let part = query.requests.get(i)?;
        Some((part.shard, &query.text, query.not_after_s, part.keys.map(|keys| keys.range)))
    }

    /// An open part and its query's vertical.
    pub fn class_and_request(&self, id: &str) -> Option<(usize, &ShardRequest)> {
        let &(number, i) = self.requests.get(id)?;
        let query = self.open.get(&number)?;
        Some((query.class, query.requests.get(i)?))
    }

    /// An open query and where in it a part stands.
    pub fn query_of_request(&mut self, id: &str) -> Option<(u64, &mut Query, usize)> {
        let &(number, i) = self.requests.get(id)?;
        Some((number, self.open.get_mut(&number)?, i))
    }

    /// A part becomes several, which take room.
    pub fn split_request(&mut self, id: &str, into: Vec<ShardRequest>, room: Taken) {
        let Some(&(number, i)) = self.requests.get(id) else { return };
        let Some(query) = self.open.get_mut(&number) else { return };
        if let Some(keys) = query.requests.get_mut(i).and_then(|part| part.keys.as_mut()) {
            keys.is_split = true;
        }
        for part in into {
            self.requests.insert(part.id.clone(), (number, query.requests.len()));
            query.requests.push(part);
        }
        if let Some(place) = self.reservations.get_mut(&number) {
            place.capacity.push(room);
        }
    }
}
