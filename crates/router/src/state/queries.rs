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
    pub calls: usize,
    /// Those of them whose frame has begun and that may have run, with when it began.
    pub begun: Vec<(usize, f64)>,
    /// What of a layout it asks for, where layouts are followed.
    pub keys: Option<RequestedKeys>,
}

/// Keys that a part asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestedKeys {
    pub range: Range,
    /// The client asked for a shard and can use nothing but one value for it.
    pub single: bool,
    /// It has become several parts; its late answer still counts.
    pub divided: bool,
    /// All its keys are in.
    pub merged: bool,
}

impl RequestedKeys {
    pub fn new(range: Range, single: bool) -> Self {
        RequestedKeys { range, single, divided: false, merged: false }
    }
}

impl ShardRequest {
    pub fn new(id: Rc<str>, shard: u32, weight: f64) -> Self {
        ShardRequest { id, shard, weight, value: None, calls: 0, begun: vec![], keys: None }
    }

    /// When the first of its calls that may have run began, one of them left out.
    pub fn first_begun(&self, but: Option<usize>) -> Option<f64> {
        let others = self.begun.iter().filter(|(hop, _)| Some(*hop) != but);
        others.map(|(_, at)| *at).reduce(f64::min)
    }

    pub fn is_divided(&self) -> bool {
        self.keys.is_some_and(|keys| keys.divided)
    }
}

pub struct Query {
    pub id: Rc<str>,
    pub vertical: usize,
    pub not_after: f64,
    /// What every part has to carry.
    pub text: String,
    pub parts: Vec<ShardRequest>,
    pub client: Rc<ClientConnection>,
    /// What is in, by keys, where layouts are followed.
    pub coverage: Option<Coverage<(ShardId, String)>>,
}

/// What an open query takes of what all cores hold in common; dropped with it.
pub struct QueryReservation {
    pub id: Claim,
    pub room: Vec<Taken>,
}

/// A query is held from `hold` to `release`, and counts with its parts against the room.
#[derive(Default)]
pub struct QueryTable {
    open: BTreeMap<u64, Query>,
    places: BTreeMap<u64, QueryReservation>,
    due: TimerQueue<u64>,
    numbers: BTreeMap<Rc<str>, u64>,
    parts: BTreeMap<Rc<str>, (u64, usize)>,
    /// How many are open in each vertical's place.
    verticals: BTreeMap<usize, usize>,
    last: u64,
}

impl QueryTable {
    /// Queries and parts held.
    pub fn held(&self) -> usize {
        self.open.len() + self.parts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// How many are open in a vertical's place.
    pub fn open_in(&self, vertical: usize) -> usize {
        self.verticals.get(&vertical).copied().unwrap_or(0)
    }

    pub fn is_open(&self, id: &str) -> bool {
        self.numbers.contains_key(id)
    }

    pub fn ids(&self) -> Vec<Rc<str>> {
        self.numbers.keys().cloned().collect()
    }

    pub fn hold(&mut self, query: Query, place: QueryReservation) -> u64 {
        self.last += 1;
        self.places.insert(self.last, place);
        self.due.add(query.not_after, self.last);
        self.numbers.insert(query.id.clone(), self.last);
        for (i, part) in query.parts.iter().enumerate() {
            self.parts.insert(part.id.clone(), (self.last, i));
        }
        *self.verticals.entry(query.vertical).or_default() += 1;
        self.open.insert(self.last, query);
        self.last
    }

    pub fn release(&mut self, number: u64) -> Option<Query> {
        let query = self.open.remove(&number)?;
        self.numbers.remove(&query.id);
        self.places.remove(&number);
        self.due.remove(query.not_after, &number);
        if let Some(open) = self.verticals.get_mut(&query.vertical) {
            *open -= 1;
        }
        for part in &query.parts {
            self.parts.remove(&part.id);
        }
        query.client.query.set(None);
        Some(query)
    }

    pub fn get(&self, number: u64) -> Option<&Query> {
        self.open.get(&number)
    }

    pub fn overdue(&self, now: f64) -> Vec<u64> {
        self.due.by(now).copied().collect()
    }

    /// Parts of these shards that may still go out.
    pub fn parts_in(&self, shards: &[ShardId]) -> BTreeMap<ShardId, Vec<Rc<str>>> {
        let wanted: BTreeSet<ShardId> = shards.iter().copied().collect();
        let mut found: BTreeMap<ShardId, Vec<Rc<str>>> = BTreeMap::new();
        for part in self.open.values().flat_map(|query| &query.parts) {
            if wanted.contains(&part.shard) && !part.is_divided() {
                found.entry(part.shard).or_default().push(part.id.clone());
            }
        }
        found
    }

    /// Whether a part is one of an open query.
    pub fn knows(&self, part: &str) -> bool {
        self.parts.contains_key(part)
    }

    pub fn number(&self, id: &str) -> Option<u64> {
        self.numbers.get(id).copied()
    }

    /// A part of an open query.
    pub fn part(&mut self, id: &str) -> Option<&mut ShardRequest> {
        let &(number, i) = self.parts.get(id)?;
        self.open.get_mut(&number)?.parts.get_mut(i)
    }

    /// Shard, text and the client's last moment of an open part, for the frame that asks for it, and its keys.
    pub fn asked(&self, id: &str) -> Option<(u32, &str, f64, Option<Range>)> {
        let &(number, i) = self.parts.get(id)?;
        let query = self.open.get(&number)?;
        let part = query.parts.get(i)?;
        Some((part.shard, &query.text, query.not_after, part.keys.map(|keys| keys.range)))
    }

    /// An open part and its query's vertical.
    pub fn vertical_and_part(&self, id: &str) -> Option<(usize, &ShardRequest)> {
        let &(number, i) = self.parts.get(id)?;
        let query = self.open.get(&number)?;
        Some((query.vertical, query.parts.get(i)?))
    }

    /// An open query and where in it a part stands.
    pub fn of_part(&mut self, id: &str) -> Option<(u64, &mut Query, usize)> {
        let &(number, i) = self.parts.get(id)?;
        Some((number, self.open.get_mut(&number)?, i))
    }

    /// A part becomes several, which take room.
    pub fn divide(&mut self, id: &str, into: Vec<ShardRequest>, room: Taken) {
        let Some(&(number, i)) = self.parts.get(id) else { return };
        let Some(query) = self.open.get_mut(&number) else { return };
        if let Some(keys) = query.parts.get_mut(i).and_then(|part| part.keys.as_mut()) {
            keys.divided = true;
        }
        for part in into {
            self.parts.insert(part.id.clone(), (number, query.parts.len()));
            query.parts.push(part);
        }
        if let Some(place) = self.places.get_mut(&number) {
            place.room.push(room);
        }
    }
}
