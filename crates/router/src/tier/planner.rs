//! A planner's state: the input and output of one policy that decides on the queries of many forwarders. A
//! planner follows discovery itself, receives queries with the attempts made for them so far, and sends each
//! forwarder the decisions on its queries. A session is one connection of a forwarder. When a session ends,
//! the policy is informed that the session's queries and attempts have ended, so that no attempt counts as in
//! flight at a data node forever. A term is the number that a forwarder gave to the assignment of a query;
//! the planner's decisions repeat this number. A round is one run of the policy on all input since the
//! previous round. Uses no sockets. All times are seconds of this planner's clock.
mod rounds;

pub use rounds::{PolicyPanicked, run_round};

use super::{Outbox, received_observation};
use crate::io::discovery::DiscoveryHandler;
use crate::state::counters::Counters;
use crate::state::endpoints::EndpointTable;
use alderway::interface::{AttemptOutcome, NodeObservation, PolicyInput};
use alderway_sockets::TurnQueue;
use alderway_telemetry::clock::Clock;
use alderway_tier::messages::{Message, PriorAttempt};
use alderway_tier::slow_start;
use alderway_transport::Hello;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// Number of a session, the connection of one forwarder.
pub type SessionId = u64;

/// Duration of a planner's slow start in seconds, counted from the first heartbeat at which the planner's
/// endpoint list contains a data node. A planner has observed no data node when it starts, so it first
/// accepts the queries of a small fraction of the forwarders. The fraction grows during the slow start;
/// afterwards the planner accepts the queries of all forwarders.
const SLOW_START_S: f64 = 1.0;

/// A session: the connection of one forwarder and the queries of that forwarder.
struct Session {
    outbox: Outbox,
    /// The forwarder's name; `None` until its hello is received.
    name: Option<String>,
    queries: BTreeSet<u64>,
    /// The attempts in flight of the session's queries, by the forwarder's shard request id and the attempt
    /// number: the data node, and the start time in seconds of this planner's clock.
    attempts: BTreeMap<(String, u32), (String, f64)>,
    /// When this planner sent the oldest heartbeat that the forwarder has not acknowledged, in seconds of
    /// this planner's clock; `None` if all heartbeats are acknowledged.
    unacknowledged_since: Option<f64>,
    last_heartbeat_number: u64,
}

struct Query {
    session: SessionId,
    /// The query's id at its forwarder.
    id: String,
    term: u64,
    /// The policy's ids of the query's shard requests.
    requests: Vec<String>,
}

/// Input that the policy processes in its next round.
enum Input {
    Query {
        number: u64,
        class: usize,
        tenant: String,
        deadline: f64,
        /// For each shard request: the forwarder's id, the shard, the weight (the request's fraction of the
        /// query's result), and the attempts so far.
        requests: Vec<(String, u32, f64, Vec<PriorAttempt>)>,
    },
    AttemptEnded {
        request: String,
        attempt: usize,
        node: String,
        outcome: AttemptOutcome,
        latency_s: f64,
    },
    ClientDisconnected(String),
    Timer(u64),
    /// An observation of a data node by another planner, with the node's name.
    NodeObserved(String, NodeObservation),
}

/// The state of a planner except its policy: sessions, queries, timers, and the input for the policy's next
/// round.
pub struct Planner {
    /// This planner's clock, which all times in this state are read from.
    pub clock: Clock,
    query_classes: usize,
    max_deadline_s: f64,
    /// Maximum number of open queries and shard requests, counted together.
    capacity: usize,
    /// The endpoint list, received from discovery.
    pub endpoints: EndpointTable,
    sessions: BTreeMap<SessionId, Session>,
    queries: BTreeMap<u64, Query>,
    /// The number of each query, by the policy's id of the query.
    query_numbers: BTreeMap<String, u64>,
    /// For each shard request, by the policy's id: the number of its query, and the number of its attempts so
    /// far.
    requests: BTreeMap<String, (u64, u32)>,
    /// Number of open queries and shard requests, counted together.
    open_count: usize,
    inputs: Vec<Input>,
    timers: Vec<(f64, u64)>,
    /// The last number assigned to a session or a query.
    last_number: u64,
    /// Whether the planner accepts no new queries because the process is shutting down.
    pub is_stopping: bool,
    /// When the endpoint list was first found to contain a data node, in seconds of this planner's clock;
    /// `None` before that. The slow start begins at this time.
    serving_since: Option<f64>,
    /// Counters of sessions, queries, decisions and rounds, for the metrics.
    pub counters: Counters,
    /// Notified when a round of the policy is to be run.
    pub wake: Rc<Notify>,
    /// The tasks of the planner that have used up their turn.
    pub turn_queue: TurnQueue,
    poll_requested: Arc<Notify>,
}

/// Returns the policy's id of a query or a shard request: the session and the forwarder's id, since ids of
/// different forwarders may be equal.
fn policy_id(session: SessionId, id: &str) -> String {
    format!("{session}/{id}")
}

/// Splits the policy's id of a query or shard request into the session and the forwarder's id. Returns `None`
/// if the id is malformed.
fn split_policy_id(id: &str) -> Option<(SessionId, &str)> {
    let (session, id) = id.split_once('/')?;
    Some((session.parse().ok()?, id))
}

/// Returns the input that an attempt was cancelled, for an attempt whose end the forwarder will not report.
fn cancelled(session: SessionId, (request, attempt): (String, u32), node: String, latency_s: f64) -> Input {
    let (request, attempt) = (policy_id(session, &request), attempt as usize);
    Input::AttemptEnded { request, attempt, node, outcome: AttemptOutcome::Cancelled, latency_s }
}

impl Planner {
    /// Creates a planner without sessions. `capacity` is the maximum number of open queries and shard
    /// requests, counted together; it is exceeded only by queries that already have attempts.
    pub fn new(
        clock: Clock,
        query_classes: usize,
        max_deadline_s: f64,
        capacity: usize,
        endpoints: EndpointTable,
    ) -> Self {
        Planner {
            clock,
            query_classes,
            max_deadline_s,
            capacity,
            endpoints,
            sessions: BTreeMap::new(),
            queries: BTreeMap::new(),
            query_numbers: BTreeMap::new(),
            requests: BTreeMap::new(),
            open_count: 0,
            inputs: vec![],
            timers: vec![],
            last_number: 0,
            is_stopping: false,
            serving_since: None,
            counters: Counters::default(),
            wake: Rc::default(),
            turn_queue: TurnQueue::default(),
            poll_requested: Arc::default(),
        }
    }

    /// The number of open queries of all sessions.
    pub fn open_query_count(&self) -> usize {
        self.queries.len()
    }

    /// Whether the planner accepts new queries: its endpoint list contains a data node, its capacity is not
    /// used up, and the process is not shutting down.
    fn accepts_queries(&self) -> bool {
        self.endpoints.has_nodes() && !self.is_stopping && self.open_count < self.capacity
    }

    // Sessions of forwarders and their messages.

    /// Opens a session for a new connection of a forwarder. `hello` is this planner's own hello, the first
    /// message to send. Returns the session's number and the notification of its outbox.
    pub fn open_session(&mut self, hello: &Hello) -> (SessionId, Rc<Notify>) {
        self.last_number += 1;
        let outbox = Outbox::new(hello);
        let wake = outbox.wake.clone();
        let session = Session {
            outbox,
            name: None,
            queries: BTreeSet::new(),
            attempts: BTreeMap::new(),
            unacknowledged_since: None,
            last_heartbeat_number: 0,
        };
        self.sessions.insert(self.last_number, session);
        self.counters.increment("forwarders{met}");
        (self.last_number, wake)
    }

    /// Records the name of a session's forwarder, once the forwarder's hello has been received.
    pub fn hello_received(&mut self, session: SessionId, name: &str) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.name = Some(name.into());
        }
    }

    /// Returns the outbox of a session. Returns `None` if the session is closed, or is to be closed because
    /// the forwarder does not read or acknowledge heartbeats.
    pub fn outbox(&mut self, session: SessionId) -> Option<&mut Outbox> {
        let session = self.sessions.get_mut(&session)?;
        Some(&mut session.outbox).filter(|outbox| !outbox.is_overfull)
    }

    /// Closes a session. In the next round the policy is informed that the clients of the session's queries
    /// have disconnected and that the session's attempts were cancelled.
    pub fn close_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let now = self.clock.now();
        for number in session.queries {
            if let Some(query) = self.remove_query(number) {
                self.inputs.push(Input::ClientDisconnected(policy_id(id, &query.id)));
            }
        }
        for (attempt, (node, started_at)) in session.attempts {
            self.inputs.push(cancelled(id, attempt, node, now - started_at));
        }
        self.counters.increment("forwarders{gone}");
        self.wake.notify_one();
    }

    /// Processes the end of a query at its forwarder, which has already reported the end of every attempt
    /// that it started. The forwarder does not start an attempt whose `StartAttempt` message arrives after
    /// the query's end. Such an attempt ends here as cancelled; otherwise the policy would count it as in
    /// flight at its data node forever.
    fn query_closed(&mut self, id: SessionId, query: &str) {
        let query_id = policy_id(id, query);
        let number = self.query_numbers.get(&query_id).copied();
        let Some(query) = number.and_then(|number| self.remove_query(number)) else { return };
        let now = self.clock.now();
        let requests: BTreeSet<&str> =
            query.requests.iter().filter_map(|id| split_policy_id(id)).map(|(_, id)| id).collect();
        let attempts = self.sessions.get_mut(&id).map(|session| &mut session.attempts);
        let not_started = attempts.into_iter().flat_map(|attempts| {
            attempts.extract_if(.., |(request, _), _| requests.contains(request.as_str()))
        });
        let ends = not_started.map(|(attempt, (node, at))| cancelled(id, attempt, node, now - at));
        self.inputs.extend(ends);
        self.inputs.push(Input::ClientDisconnected(query_id));
    }

    /// Closes all sessions after a panic of the policy, so that the forwarders reassign their queries, and
    /// marks the whole endpoint list as changed, so that the next policy gets every data node. The counter
    /// `module_failures` counts these panics.
    pub fn close_all_sessions(&mut self) {
        self.counters.increment("module_failures");
        let sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in sessions {
            if let Some(session) = self.sessions.get(&id) {
                session.outbox.wake.notify_one();
            }
            self.close_session(id);
        }
        self.inputs.clear();
        self.timers.clear();
        self.endpoints.mark_all_changed();
        self.wake.notify_one();
    }

    fn send(&mut self, session: SessionId, message: &Message) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.outbox.send(message);
        }
    }

    fn remove_query(&mut self, number: u64) -> Option<Query> {
        let query = self.queries.remove(&number)?;
        self.query_numbers.remove(&policy_id(query.session, &query.id));
        for request in &query.requests {
            self.requests.remove(request);
        }
        self.open_count -= 1 + query.requests.len();
        if let Some(session) = self.sessions.get_mut(&query.session) {
            session.queries.remove(&number);
        }
        Some(query)
    }

    /// Processes a message of the forwarder of session `id`. Returns false and ignores the message if its
    /// type is one that only planners send; the caller then closes the connection.
    pub fn accept_message(&mut self, id: SessionId, message: Message) -> bool {
        match message {
            Message::Heartbeat { number, .. } => {
                self.send(id, &Message::HeartbeatAck { number });
                return true;
            }
            Message::HeartbeatAck { .. } => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.unacknowledged_since = None;
                }
                return true;
            }
            Message::AssignQuery { term, query, query_class, tenant, time_left_s, requests } => {
                self.query_assigned(id, term, query, query_class as usize, tenant, time_left_s, requests);
            }
            Message::AttemptEnded { request, attempt, node, outcome, latency_s } => {
                let attempts = self.sessions.get_mut(&id).map(|session| &mut session.attempts);
                let known = attempts.and_then(|attempts| attempts.remove(&(request.clone(), attempt)));
                if known.is_some() {
                    let (request, attempt) = (policy_id(id, &request), attempt as usize);
                    let outcome = outcome.into();
                    self.inputs.push(Input::AttemptEnded { request, attempt, node, outcome, latency_s });
                }
            }
            Message::QueryClosed { query } => self.query_closed(id, &query),
            Message::Observation {
                node,
                started_ago_s,
                slow_for_s,
                very_slow_for_s,
                unresponsive_for_s,
                ..
            } => {
                let now = self.clock.now();
                let Some(started_at) = self.endpoints.nodes.get(&node).map(|node| node.started_at_s) else {
                    return true;
                };
                let spans_s = [slow_for_s, very_slow_for_s, unresponsive_for_s];
                if let Some(observation) = received_observation(started_at, started_ago_s, spans_s, now) {
                    self.counters.increment("evidence_heard");
                    self.inputs.push(Input::NodeObserved(node, observation));
                }
            }
            _ => return false,
        }
        self.wake.notify_one();
        true
    }

    #[allow(clippy::too_many_arguments)]
    fn query_assigned(
        &mut self,
        session: SessionId,
        term: u64,
        id: String,
        class: usize,
        tenant: String,
        time_left_s: f64,
        requests: Vec<(String, u32, f64, Vec<PriorAttempt>)>,
    ) {
        let query_id = policy_id(session, &id);
        let has_attempts = requests.iter().any(|(_, _, _, attempts)| !attempts.is_empty());
        let fits = self.open_count + 1 + requests.len() <= self.capacity
            && !self.query_numbers.contains_key(&query_id);
        // A planner whose capacity is used up rejects new queries at once. Otherwise the queue of queries
        // could grow faster than the policy processes it. Queries that already have attempts are accepted
        // nevertheless, as these attempts may have run and the policy has to count them. A query is also
        // rejected if its class is unknown or its deadline is not a number, and a new one if its id is open.
        if class >= self.query_classes || time_left_s.is_nan() || !(fits || has_attempts) {
            self.counters.increment("queries_turned_away");
            return self.send(session, &Message::Reject { term, query: id, retry_after_s: None });
        }
        let (now, number) = (self.clock.now(), self.last_number + 1);
        self.last_number = number;
        self.open_count += 1 + requests.len();
        let request_ids: Vec<String> = requests.iter().map(|(id, ..)| policy_id(session, id)).collect();
        for (request_id, (_, _, _, attempts)) in request_ids.iter().zip(&requests) {
            self.requests.insert(request_id.clone(), (number, attempts.len() as u32));
        }
        self.query_numbers.insert(query_id, number);
        if let Some(open) = self.sessions.get_mut(&session) {
            open.queries.insert(number);
            for (request, _, _, attempts) in &requests {
                let in_flight = attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none());
                open.attempts.extend(in_flight.map(|(n, attempt)| {
                    ((request.clone(), n as u32), (attempt.node.clone(), now - attempt.age_s))
                }));
            }
        }
        let counter = if has_attempts { "queries_taken{over}" } else { "queries_taken{new}" };
        self.counters.increment(counter);
        self.queries.insert(number, Query { session, id, term, requests: request_ids });
        let deadline = now + time_left_s.min(self.max_deadline_s);
        self.inputs.push(Input::Query { number, class, tenant, deadline, requests });
    }

    /// Sends a heartbeat to every forwarder, and marks the sessions to be closed that have not acknowledged a
    /// heartbeat for more than `timeout_s` seconds.
    pub fn send_heartbeats_and_check_timeouts(&mut self, timeout_s: f64) {
        let endpoints_version = self.endpoints.version.unwrap_or(0);
        let (accepts_queries, now) = (self.accepts_queries(), self.clock.now());
        if self.serving_since.is_none() && self.endpoints.has_nodes() {
            self.serving_since = Some(now);
        }
        for session in self.sessions.values_mut() {
            session.last_heartbeat_number += 1;
            let is_admitted =
                session.name.as_deref().zip(self.serving_since).is_some_and(|(name, since)| {
                    slow_start::accepts_forwarder(name, since, SLOW_START_S, now)
                });
            session.outbox.send(&Message::Heartbeat {
                number: session.last_heartbeat_number,
                endpoints_version,
                accepts_queries: accepts_queries && is_admitted,
            });
            let since = *session.unacknowledged_since.get_or_insert(now);
            if now - since > timeout_s {
                session.outbox.is_overfull = true;
                session.outbox.wake.notify_one();
            }
        }
    }

    // Rounds of the policy.

    /// Returns when the policy's next timer fires, or infinity if none is set.
    pub fn next_timer_at(&self) -> f64 {
        self.timers.iter().map(|timer| timer.0).fold(f64::INFINITY, f64::min)
    }

    fn notify_policy(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        self.endpoints.notify_policy(policy);
        self.endpoints.drop_removed();
        let due: Vec<u64> = self.timers.extract_if(.., |timer| timer.0 <= now).map(|timer| timer.1).collect();
        self.inputs.extend(due.into_iter().map(Input::Timer));
        for input in std::mem::take(&mut self.inputs) {
            match input {
                Input::Query { number, class, tenant, deadline, requests } => {
                    let Some(query) = self.queries.get(&number) else { continue };
                    let query_id = policy_id(query.session, &query.id);
                    policy.query_arrived(number, &query_id, class, &tenant, deadline);
                    for ((_, shard, weight, attempts), request_id) in requests.iter().zip(&query.requests) {
                        policy.shard_request_added(number, request_id, *shard, *weight);
                        for attempt in attempts {
                            let outcome = attempt.outcome.map(Into::into);
                            policy.adopt_attempt(request_id, &attempt.node, attempt.age_s.max(0.0), outcome);
                        }
                    }
                }
                Input::AttemptEnded { request, attempt, node, outcome, latency_s } => {
                    policy.attempt_ended(&request, attempt, &node, outcome, latency_s);
                }
                Input::ClientDisconnected(query) => policy.client_disconnected(&query),
                Input::Timer(tag) => policy.timer_fired(tag),
                Input::NodeObserved(node, observation) => policy.node_observed(&node, observation),
            }
        }
    }

    /// Returns the session and the term of the query with this number, or `None` if the query is not open.
    fn session_and_term(&self, number: u64) -> Option<(SessionId, u64)> {
        let query = self.queries.get(&number)?;
        Some((query.session, query.term))
    }

    /// Removes a query, and sends its forwarder the decision that `message` creates from the query's term and
    /// the forwarder's id of the query.
    fn finish_query(&mut self, query: &str, message: impl FnOnce(u64, String) -> Message) {
        let Some(number) = self.query_numbers.get(query).copied() else { return };
        if let Some(query) = self.remove_query(number) {
            self.send(query.session, &message(query.term, query.id));
        }
    }
}

impl DiscoveryHandler for Planner {
    fn clock(&self) -> Clock {
        self.clock
    }
    fn turn_queue(&self) -> TurnQueue {
        self.turn_queue.clone()
    }
    fn polls_on_request(&self) -> bool {
        false
    }
    fn poll_requested(&self) -> Arc<Notify> {
        self.poll_requested.clone()
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
