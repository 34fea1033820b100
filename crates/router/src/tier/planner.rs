//! A planner: the decision module for many forwarders. It follows discovery by itself, takes queries with what was tried
//! for them, and tells each forwarder the decisions for its own. What a forwarder that is gone had out ends here with its
//! session, so that nothing of it weighs on a data node for ever. No sockets.
mod rounds;

pub use rounds::{PolicyFailed, round};

use super::{Outbox, received_observation};
use crate::io::discovery::DiscoveryHandler;
use crate::state::counters::Counters;
use crate::state::endpoints::EndpointTable;
use alderway::interface::{AttemptOutcome, NodeObservation, PolicyInput};
use alderway_telemetry::clock::Clock;
use alderway_tier::messages::{Message, Tried};
use alderway_tier::ramp;
use alderway_transport::Hello;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

pub type SessionId = u64;

/// Seconds in which a planner that has just started comes to take every forwarder's queries.
const RAMP: f64 = 1.0;

/// A forwarder's connection.
struct Session {
    outbox: Outbox,
    /// As its hello says.
    name: Option<String>,
    queries: BTreeSet<u64>,
    /// Leaf calls that it has out by this planner's word: part and number, with the node and since when.
    calls: BTreeMap<(String, u32), (String, f64)>,
    /// The oldest beat of ours that it has not answered, and the last one.
    unanswered: Option<f64>,
    next: u64,
}

struct Query {
    session: SessionId,
    /// As the forwarder calls it, and its parts as the module does.
    id: String,
    term: u64,
    parts: Vec<String>,
}

/// Something that came in since the last round.
enum Came {
    Query {
        number: u64,
        vertical: usize,
        customer: String,
        not_after: f64,
        parts: Vec<(String, u32, f64, Vec<Tried>)>,
    },
    Ended {
        part: String,
        hop: usize,
        node: String,
        ending: AttemptOutcome,
        latency: f64,
    },
    Left(String),
    Alarm(u64),
    /// What another planner saw.
    NodeObservation(String, NodeObservation),
}

/// All but the module, which writes into it.
pub struct Planner {
    pub clock: Clock,
    verticals: usize,
    deadline: f64,
    room: usize,
    pub endpoints: EndpointTable,
    sessions: BTreeMap<SessionId, Session>,
    queries: BTreeMap<u64, Query>,
    /// By the module's names, which hold the session's number.
    ids: BTreeMap<String, u64>,
    /// With how many leaf calls each part has had.
    parts: BTreeMap<String, (u64, u32)>,
    held: usize,
    came: Vec<Came>,
    alarms: Vec<(f64, u64)>,
    last: u64,
    pub stopping: bool,
    /// When it could first serve.
    since: Option<f64>,
    pub counters: Counters,
    pub wake: Rc<Notify>,
    asked: Arc<Notify>,
}

/// The module's name of what a forwarder calls by its own.
fn named(session: SessionId, name: &str) -> String {
    format!("{session}/{name}")
}

/// The session and the forwarder's name.
fn unnamed(name: &str) -> Option<(SessionId, &str)> {
    let (session, name) = name.split_once('/')?;
    Some((session.parse().ok()?, name))
}

/// The end of a call of which the forwarder will tell none.
fn cancelled(session: SessionId, (part, hop): (String, u32), node: String, latency: f64) -> Came {
    let (part, hop) = (named(session, &part), hop as usize);
    Came::Ended { part, hop, node, ending: AttemptOutcome::Cancelled, latency }
}

impl Planner {
    pub fn new(clock: Clock, verticals: usize, deadline: f64, room: usize, endpoints: EndpointTable) -> Self {
        Planner {
            clock,
            verticals,
            deadline,
            room,
            endpoints,
            sessions: BTreeMap::new(),
            queries: BTreeMap::new(),
            ids: BTreeMap::new(),
            parts: BTreeMap::new(),
            held: 0,
            came: vec![],
            alarms: vec![],
            last: 0,
            stopping: false,
            since: None,
            counters: Counters::default(),
            wake: Rc::default(),
            asked: Arc::default(),
        }
    }

    pub fn open(&self) -> usize {
        self.queries.len()
    }

    /// Whether new queries are taken: data nodes are known, there is room, and no stop has begun.
    fn able(&self) -> bool {
        self.endpoints.has_nodes() && !self.stopping && self.held < self.room
    }

    // Forwarders.

    pub fn begin(&mut self, hello: &Hello) -> (SessionId, Rc<Notify>) {
        self.last += 1;
        let outbox = Outbox::new(hello);
        let wake = outbox.wake.clone();
        let (queries, calls) = Default::default();
        self.sessions
            .insert(self.last, Session { outbox, name: None, queries, calls, unanswered: None, next: 0 });
        self.counters.increment("forwarders{met}");
        (self.last, wake)
    }

    /// Its hello has come.
    pub fn greeted(&mut self, session: SessionId, name: &str) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.name = Some(name.into());
        }
    }

    pub fn outbox(&mut self, session: SessionId) -> Option<&mut Outbox> {
        self.sessions.get_mut(&session).map(|session| &mut session.outbox).filter(|outbox| !outbox.over)
    }

    /// The connection has ended: the module hears that its clients have left and its calls are given up.
    pub fn end(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let now = self.clock.now();
        for number in session.queries {
            if let Some(query) = self.forget(number) {
                self.came.push(Came::Left(named(id, &query.id)));
            }
        }
        for (call, (node, started_at_s)) in session.calls {
            self.came.push(cancelled(id, call, node, now - started_at_s));
        }
        self.counters.increment("forwarders{gone}");
        self.wake.notify_one();
    }

    /// A query is over at its forwarder, which has told the end of every call that it started. Guards against calls that
    /// count at a data node for ever: one that came to the forwarder after that was not started, and ends here.
    fn left(&mut self, id: SessionId, query: &str) {
        let name = named(id, query);
        let Some(query) = self.ids.get(&name).copied().and_then(|number| self.forget(number)) else { return };
        let now = self.clock.now();
        let parts: BTreeSet<&str> =
            query.parts.iter().filter_map(|part| unnamed(part)).map(|(_, part)| part).collect();
        let session = self.sessions.get_mut(&id);
        let calls = session.map(|session| &mut session.calls);
        let not_started = calls
            .into_iter()
            .flat_map(|calls| calls.extract_if(.., |(part, _), _| parts.contains(part.as_str())));
        let ends = not_started.map(|(call, (node, at))| cancelled(id, call, node, now - at));
        self.came.extend(ends);
        self.came.push(Came::Left(name));
    }

    /// After a failure of the policy: ends all sessions, so that each forwarder has what it asked decided elsewhere, and
    /// tells the next policy the endpoint list from the start.
    pub fn start_over(&mut self) {
        self.counters.increment("module_failures");
        let sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in sessions {
            if let Some(session) = self.sessions.get(&id) {
                session.outbox.wake.notify_one();
            }
            self.end(id);
        }
        self.came.clear();
        self.alarms.clear();
        self.endpoints.mark_all_changed();
        self.wake.notify_one();
    }

    fn send(&mut self, session: SessionId, message: &Message) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.outbox.send(message);
        }
    }

    fn forget(&mut self, number: u64) -> Option<Query> {
        let query = self.queries.remove(&number)?;
        self.ids.remove(&named(query.session, &query.id));
        for part in &query.parts {
            self.parts.remove(part);
        }
        self.held -= 1 + query.parts.len();
        if let Some(session) = self.sessions.get_mut(&query.session) {
            session.queries.remove(&number);
        }
        Some(query)
    }

    /// Takes a forwarder's message in; false where it is none that a forwarder sends.
    pub fn read(&mut self, id: SessionId, message: Message) -> bool {
        match message {
            Message::Beat { number, .. } => {
                self.send(id, &Message::Heard { number });
                return true;
            }
            Message::Heard { .. } => {
                self.sessions.get_mut(&id).into_iter().for_each(|session| session.unanswered = None);
                return true;
            }
            Message::Take { term, query, vertical, customer, left, parts } => {
                self.take(id, term, query, vertical as usize, customer, left, parts);
            }
            Message::Ended { part, hop, node, ending, latency } => {
                let out = self.sessions.get_mut(&id).and_then(|s| s.calls.remove(&(part.clone(), hop)));
                if out.is_some() {
                    let (part, hop, ending) = (named(id, &part), hop as usize, ending.into());
                    self.came.push(Came::Ended { part, hop, node, ending, latency });
                }
            }
            Message::Left { query } => self.left(id, &query),
            Message::Evidence { node, started, late, far, sick, .. } => {
                let seen = self.clock.now();
                let Some(here) = self.endpoints.nodes.get(&node).map(|node| node.started_at_s) else {
                    return true;
                };
                if let Some(observation) = received_observation(here, started, [late, far, sick], seen) {
                    self.counters.increment("evidence_heard");
                    self.came.push(Came::NodeObservation(node, observation));
                }
            }
            _ => return false,
        }
        self.wake.notify_one();
        true
    }

    #[allow(clippy::too_many_arguments)]
    fn take(
        &mut self,
        session: SessionId,
        term: u64,
        id: String,
        vertical: usize,
        customer: String,
        left: f64,
        parts: Vec<(String, u32, f64, Vec<Tried>)>,
    ) {
        let name = named(session, &id);
        let tried = parts.iter().any(|part| !part.3.is_empty());
        let fits = self.held + 1 + parts.len() <= self.room && !self.ids.contains_key(&name);
        // Guards against a queue that nobody reads in time: past its room a planner turns away at once. What was
        // tried may have run; it is taken beyond the room, so that the module judges it.
        if vertical >= self.verticals || left.is_nan() || !(fits || tried) {
            self.counters.increment("queries_turned_away");
            return self.send(session, &Message::Reject { term, query: id, come_back: None });
        }
        let (now, number) = (self.clock.now(), self.last + 1);
        self.last = number;
        self.held += 1 + parts.len();
        let names: Vec<String> = parts.iter().map(|part| named(session, &part.0)).collect();
        for (name, part) in names.iter().zip(&parts) {
            self.parts.insert(name.clone(), (number, part.3.len() as u32));
        }
        self.ids.insert(name, number);
        if let Some(there) = self.sessions.get_mut(&session) {
            there.queries.insert(number);
            for (part, _, _, tried) in &parts {
                for (hop, call) in tried.iter().enumerate().filter(|(_, call)| call.ending.is_none()) {
                    there.calls.insert((part.clone(), hop as u32), (call.node.clone(), now - call.age));
                }
            }
        }
        self.counters.increment(if tried { "queries_taken{over}" } else { "queries_taken{new}" });
        self.queries.insert(number, Query { session, id, term, parts: names });
        let not_after = now + left.min(self.deadline);
        self.came.push(Came::Query { number, vertical, customer, not_after, parts });
    }

    /// Says how this planner is to every forwarder; those that answered nothing for so long are over.
    pub fn beat(&mut self, patience: f64) {
        let (able, endpoints, now) = (self.able(), self.endpoints.version.unwrap_or(0), self.clock.now());
        if self.since.is_none() && self.endpoints.has_nodes() {
            self.since = Some(now);
        }
        for session in self.sessions.values_mut() {
            session.next += 1;
            let name = session.name.as_deref();
            let taken = name.zip(self.since).is_some_and(|(name, since)| ramp::takes(name, since, RAMP, now));
            session.outbox.send(&Message::Beat {
                number: session.next,
                roster: endpoints,
                able: able && taken,
            });
            let since = *session.unanswered.get_or_insert(now);
            if now - since > patience {
                session.outbox.over = true;
                session.outbox.wake.notify_one();
            }
        }
    }

    // Rounds.

    pub fn next_due(&self) -> f64 {
        self.alarms.iter().map(|alarm| alarm.0).fold(f64::INFINITY, f64::min)
    }

    fn tell(&mut self, now: f64, module: &mut dyn PolicyInput) {
        self.endpoints.notify_policy(module);
        self.endpoints.drop_removed();
        let due: Vec<u64> = self.alarms.extract_if(.., |alarm| alarm.0 <= now).map(|alarm| alarm.1).collect();
        self.came.extend(due.into_iter().map(Came::Alarm));
        for came in std::mem::take(&mut self.came) {
            match came {
                Came::Query { number, vertical, customer, not_after, parts } => {
                    let Some(query) = self.queries.get(&number) else { continue };
                    module.query_arrived(
                        number,
                        &named(query.session, &query.id),
                        vertical,
                        &customer,
                        not_after,
                    );
                    for ((_, shard, weight, tried), name) in parts.iter().zip(&query.parts) {
                        module.shard_request_added(number, name, *shard, *weight);
                        for call in tried {
                            module.adopt_attempt(
                                name,
                                &call.node,
                                call.age.max(0.0),
                                call.ending.map(Into::into),
                            );
                        }
                    }
                }
                Came::Ended { part, hop, node, ending, latency } => {
                    module.attempt_ended(&part, hop, &node, ending, latency);
                }
                Came::Left(query) => module.client_disconnected(&query),
                Came::Alarm(tag) => module.timer_fired(tag),
                Came::NodeObservation(node, seen) => module.node_observed(&node, seen),
            }
        }
    }

    /// The forwarder's session and term of a query.
    fn of(&self, number: u64) -> Option<(SessionId, u64)> {
        let query = self.queries.get(&number)?;
        Some((query.session, query.term))
    }

    fn finish(&mut self, query: &str, message: impl FnOnce(u64, String) -> Message) {
        let Some(number) = self.ids.get(query).copied() else { return };
        if let Some(query) = self.forget(number) {
            self.send(query.session, &message(query.term, query.id));
        }
    }
}

impl DiscoveryHandler for Planner {
    fn clock(&self) -> Clock {
        self.clock
    }
    fn polls_on_request(&self) -> bool {
        false
    }
    fn poll_requested(&self) -> Arc<Notify> {
        self.asked.clone()
    }
    fn endpoints(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }
    fn endpoints_updated(&mut self) {
        self.counters.increment("roster_changes");
        self.wake.notify_one();
    }
    fn watch_lost(&mut self, _answered: bool) {
        self.counters.increment("discovery_watches_lost");
    }
    fn record_silence(&mut self, span: f64) {
        self.counters.record_max("discovery_quiet_ms_most", (span * 1e3) as u64);
    }
    fn discovery_moved(&mut self) {
        self.counters.increment("discovery_moves");
    }
}
