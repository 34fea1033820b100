//! The part of a forwarder between its dispatcher and the deciders of its queries: planners, and the local
//! policy, which runs in the forwarder itself. In each round, which processes all input since the previous
//! round, the forwarder passes queries and the outcomes of attempts to the deciders of the queries. The
//! forwarder carries out a decision only if the decision comes from the query's decider and names the query's
//! latest term, the number of the query's assignment. The forwarder records the attempts of each shard
//! request, so that a decider that takes over a query knows which attempts may have run. Uses no sockets.
mod input_splitter;

pub use input_splitter::InputSplitter;

use super::{Outbox, received_observation};
use crate::state::counters::Counters;
use crate::state::metrics::{MetricsSnapshot, MetricsSource};
use alderway::interface::{AttemptOutcome, DecisionSink, NodeObservation};
use alderway_telemetry::clock::Clock;
use alderway_tier::messages::{Message, PriorAttempt};
use alderway_tier::planner_membership::{HeartbeatConfig, PlannerChange, PlannerMembership};
use alderway_tier::query_assignments::{Assignment, Decider, QueryAssignments};
use alderway_transport::{Hello, Incarnation, Name};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Seconds for which a planner may lack the latest version of the endpoint list before it gets no new
/// queries: half the grace period of a draining data node.
const MAX_ENDPOINTS_LAG_S: f64 = 1.0;

struct Attempt {
    node: String,
    started_at: f64,
    /// How the attempt ended; `None` while it is in flight.
    outcome: Option<AttemptOutcome>,
}

struct ShardRequest {
    id: String,
    shard: u32,
    weight: f64,
    attempts: Vec<Attempt>,
}

struct Query {
    number: u64,
    class: usize,
    tenant: String,
    deadline: f64,
    requests: Vec<ShardRequest>,
}

/// An attempt that a planner started, or took over with the query of the attempt. The outcome of the attempt
/// is to be sent to that planner.
struct PlannerAttempt {
    planner: Name,
    node: String,
    started_at: f64,
}

/// The state of a forwarder, except the state in its dispatcher: the planners, the assignments of queries,
/// and the attempts of planners.
pub struct Forwarder {
    name: Name,
    incarnation: Incarnation,
    clock: Clock,
    assignments: QueryAssignments,
    planners: PlannerMembership,
    outboxes: BTreeMap<Name, Outbox>,
    queries: BTreeMap<String, Query>,
    /// The query id, and the index within the query, of each shard request, by shard request id.
    requests: BTreeMap<String, (String, usize)>,
    /// The attempts of planners for which the dispatcher has not reported the end yet, by shard request id
    /// and attempt number. An attempt can outlive its query.
    planner_attempts: BTreeMap<(String, usize), PlannerAttempt>,
    /// Assignments to planners of queries that arrived in this round. They are sent when the round ends,
    /// because the dispatcher passes the shard requests of a query after the query itself.
    new_assignments: Vec<Assignment>,
    /// Ids of queries that the local policy takes over in the next round.
    local_takeovers: Vec<String>,
    /// Observations of data nodes by planners, passed to the local policy in the next round.
    observations: Vec<(String, NodeObservation)>,
    /// The version of this forwarder's endpoint list, and when the forwarder received that version, in
    /// seconds of the forwarder's clock.
    endpoints_version: (u64, f64),
    /// The version of the endpoint list that a planner must have received to be assigned new queries.
    required_endpoints_version: u64,
    /// When the process of each listed data node started, in seconds of this forwarder's clock; `None` if
    /// unknown.
    node_starts: BTreeMap<String, Option<f64>>,
    /// Counters of planners, queries, decisions and observations, for the metrics.
    pub counters: Counters,
    round_requested: Rc<Notify>,
}

impl Forwarder {
    /// Creates a forwarder without planners. `round_requested` is notified when the local policy has input to
    /// process.
    pub fn new(
        name: &str,
        incarnation: Incarnation,
        heartbeats: HeartbeatConfig,
        clock: Clock,
        round_requested: Rc<Notify>,
    ) -> Self {
        Forwarder {
            name: name.into(),
            incarnation,
            clock,
            assignments: QueryAssignments::new(name),
            planners: PlannerMembership::new(heartbeats),
            outboxes: BTreeMap::new(),
            queries: BTreeMap::new(),
            requests: BTreeMap::new(),
            planner_attempts: BTreeMap::new(),
            new_assignments: vec![],
            local_takeovers: vec![],
            observations: vec![],
            endpoints_version: (0, 0.0),
            required_endpoints_version: 0,
            node_starts: BTreeMap::new(),
            counters: Counters::default(),
            round_requested,
        }
    }

    /// Returns the hello that this forwarder sends on connections to planners.
    pub fn hello(&self) -> Hello {
        Hello::new::<Message>(self.name.clone(), self.incarnation)
    }

    fn available_planners(&self) -> Vec<Name> {
        let is_available = |name: &&Name| self.planners.is_available(name, self.required_endpoints_version);
        self.planners.names().filter(is_available).cloned().collect()
    }

    fn send(&mut self, planner: &str, message: &Message) {
        if let Some(outbox) = self.outboxes.get_mut(planner) {
            outbox.send(message);
        }
    }

    /// Sets the version of the dispatcher's endpoint list. Call this before each tick.
    pub fn set_endpoints_version(&mut self, version: u64) {
        let now = self.clock.now();
        let (known, since) = self.endpoints_version;
        if now - since >= MAX_ENDPOINTS_LAG_S {
            self.required_endpoints_version = known;
        }
        if version != known {
            self.endpoints_version = (version, now);
        }
    }

    // Connections to planners and their heartbeats.

    /// Processes the hello of a planner on a new connection, and returns the notification of the connection's
    /// outbox. Returns `None` if the connection must be closed because a later incarnation of the planner is
    /// connected or was until recently; see `PlannerMembership::connected`.
    pub fn planner_connected(&mut self, hello: &Hello) -> Option<Rc<Notify>> {
        let changes = self.planners.connected(&hello.name, hello.incarnation, self.clock.now())?;
        self.apply_changes(changes);
        let outbox = Outbox::new(&self.hello());
        let wake = outbox.wake.clone();
        self.outboxes.insert(hello.name.clone(), outbox);
        tracing::info!(target: "tier", "planner {} connected, incarnation {}", hello.name, hello.incarnation);
        Some(wake)
    }

    /// Processes the end of the connection to a planner: the queries that were assigned to the planner are
    /// reassigned.
    pub fn planner_disconnected(&mut self, hello: &Hello) {
        let changes = self.planners.disconnected(&hello.name, hello.incarnation);
        self.apply_changes(changes);
    }

    /// Returns the outbox of the connection to a planner. Returns `None` if the planner is lost, a later
    /// incarnation of the planner has connected, or more than `MAX_OUTBOX_BYTES` bytes wait to be sent to the
    /// planner.
    pub fn outbox(&mut self, hello: &Hello) -> Option<&mut Outbox> {
        if self.planners.incarnation(&hello.name) != Some(hello.incarnation) {
            return None;
        }
        self.outboxes.get_mut(&hello.name).filter(|outbox| !outbox.is_overfull)
    }

    /// Sends the heartbeats that are due, and reassigns the queries of planners that have timed out.
    pub fn tick(&mut self) {
        let (heartbeats, changes) = self.planners.tick(self.clock.now());
        for (planner, number) in heartbeats {
            let endpoints_version = self.endpoints_version.0;
            let heartbeat = Message::Heartbeat { number, endpoints_version, accepts_queries: true };
            self.send(&planner, &heartbeat);
        }
        self.apply_changes(changes);
    }

    fn apply_changes(&mut self, changes: Vec<PlannerChange>) {
        for change in changes {
            match change {
                PlannerChange::AcceptsQueries(name, accepts_queries) => {
                    let verb = if accepts_queries { "decides" } else { "does not decide" };
                    let available = self.available_planners().len();
                    tracing::info!(
                        target: "tier",
                        "planner {name} {verb} on new queries: {available} planners available"
                    );
                }
                PlannerChange::Lost(name) => self.planner_lost(&name),
            }
        }
    }

    /// Reassigns all queries of a planner that is lost, to another planner or to the local policy.
    fn planner_lost(&mut self, name: &str) {
        if let Some(outbox) = self.outboxes.remove(name) {
            // Wakes the task of the connection to the planner. The task then closes the connection.
            outbox.wake.notify_one();
        }
        let available = self.available_planners();
        let reassigned = self.assignments.reassign_from(name, available.iter());
        tracing::warn!(
            target: "tier",
            "planner {name} is lost: {} queries reassigned, {} planners available",
            reassigned.len(),
            available.len()
        );
        self.counters.increment("planners_lost");
        self.counters.add("queries_asked_anew", reassigned.len());
        self.planner_attempts.retain(|_, attempt| attempt.planner != name);
        for assignment in reassigned {
            self.send_assignment(assignment);
        }
    }

    /// Sends a query and its attempts so far to the decider that the query is assigned to.
    fn send_assignment(&mut self, assignment: Assignment) {
        let Assignment { query, decider, term } = assignment;
        let Decider::Planner(planner) = decider else {
            self.counters.increment("queries_decided{own}");
            self.local_takeovers.push(query);
            return self.round_requested.notify_one();
        };
        let now = self.clock.now();
        let Some(record) = self.queries.get(&query) else { return };
        for request in &record.requests {
            let in_flight =
                request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none());
            self.planner_attempts.extend(in_flight.map(|(number, attempt)| {
                let (planner, node) = (planner.clone(), attempt.node.clone());
                let attempt = PlannerAttempt { planner, node, started_at: attempt.started_at };
                ((request.id.clone(), number), attempt)
            }));
        }
        let prior_attempt = |attempt: &Attempt| PriorAttempt {
            node: attempt.node.clone(),
            age_s: now - attempt.started_at,
            outcome: attempt.outcome.map(Into::into),
        };
        let request = |request: &ShardRequest| {
            let attempts = request.attempts.iter().map(prior_attempt).collect::<Vec<_>>();
            (request.id.clone(), request.shard, request.weight, attempts)
        };
        let message = Message::AssignQuery {
            term,
            query_class: record.class as u32,
            tenant: record.tenant.clone(),
            time_left_s: record.deadline - now,
            requests: record.requests.iter().map(request).collect(),
            query,
        };
        self.counters.increment("queries_decided{planner}");
        self.send(&planner, &message);
    }

    // Messages that planners send.

    /// Processes a planner's message. Decisions are passed to the dispatcher if the planner is the decider of
    /// the query and names its latest term.
    pub fn message_received(&mut self, hello: &Hello, message: Message, dispatcher: &mut dyn DecisionSink) {
        let from = Decider::Planner(hello.name.clone());
        match message {
            Message::Heartbeat { number, endpoints_version, accepts_queries } => {
                self.send(&hello.name, &Message::HeartbeatAck { number });
                let changes = self.planners.heartbeat_received(
                    &hello.name,
                    hello.incarnation,
                    endpoints_version,
                    accepts_queries,
                );
                self.apply_changes(changes);
            }
            Message::HeartbeatAck { number } => {
                self.planners.heartbeat_acknowledged(&hello.name, hello.incarnation, number);
            }
            Message::Observation {
                node,
                started_ago_s,
                slow_for_s,
                very_slow_for_s,
                unresponsive_for_s,
                relay,
            } => {
                let spans_s = [slow_for_s, very_slow_for_s, unresponsive_for_s];
                if relay {
                    self.relay_observation(&hello.name, &node, started_ago_s, spans_s);
                }
                let now = self.clock.now();
                let Some(started_at) = self.node_starts.get(&node).copied() else { return };
                if let Some(observation) = received_observation(started_at, started_ago_s, spans_s, now) {
                    self.observations.push((node, observation));
                    self.counters.increment("evidence_heard{planner}");
                }
            }
            Message::StartAttempt { term, request, node, timeout_s } => {
                let query = self.assignments.query_of(&from, term);
                let known = self.requests.get(&request).filter(|(of, _)| Some(of.as_str()) == query).cloned();
                let Some((query, index)) = known else {
                    return self.counters.increment("decisions_refused");
                };
                let started_at = self.clock.now();
                if let Some(record) = self.queries.get_mut(&query).map(|query| &mut query.requests[index]) {
                    let planner = hello.name.clone();
                    let attempt = PlannerAttempt { planner, node: node.clone(), started_at };
                    self.planner_attempts.insert((request.clone(), record.attempts.len()), attempt);
                    record.attempts.push(Attempt { node: node.clone(), started_at, outcome: None });
                    dispatcher.start_attempt(&request, &node, timeout_s);
                }
            }
            Message::CancelAttempt { request, attempt, .. } => {
                // A cancel message is also accepted after the query was answered, since attempts that the
                // answer does not need may still be in flight.
                match self.planner_attempts.get(&(request.clone(), attempt as usize)) {
                    Some(known) if known.planner == hello.name => {
                        dispatcher.cancel_attempt(&request, attempt as usize)
                    }
                    Some(_) => self.counters.increment("decisions_refused"),
                    // The attempt had ended before the cancel message arrived, so there is nothing to cancel.
                    None => self.counters.increment("cancels_crossed"),
                }
            }
            Message::Answer { term, query, complete } => {
                if self.accept_final(&from, term, &query) {
                    dispatcher.answer(&query, complete);
                }
            }
            Message::Reject { term, query, retry_after_s } => {
                if self.accept_final(&from, term, &query) {
                    dispatcher.reject(&query, retry_after_s);
                }
            }
            Message::Fail { term, query } => {
                if self.accept_final(&from, term, &query) {
                    dispatcher.fail(&query);
                }
            }
            Message::AssignQuery { .. } | Message::AttemptEnded { .. } | Message::QueryClosed { .. } => {
                self.counters.increment("decisions_refused");
            }
        }
    }

    /// Forwards an observation by the planner `from` to all other planners, with `relay` unset so that no
    /// other forwarder forwards it again.
    fn relay_observation(&mut self, from: &str, node: &str, started_ago_s: Option<f64>, spans_s: [f64; 3]) {
        let [slow_for_s, very_slow_for_s, unresponsive_for_s] = spans_s;
        let others: Vec<Name> = self.outboxes.keys().filter(|name| *name != from).cloned().collect();
        for other in others {
            let observation = Message::Observation {
                node: node.into(),
                started_ago_s,
                slow_for_s,
                very_slow_for_s,
                unresponsive_for_s,
                relay: false,
            };
            self.send(&other, &observation);
            self.counters.increment("evidence_relayed");
        }
    }

    /// Returns whether an answer, rejection or failure of a query comes from the query's decider and names
    /// the query's latest term. Removes the query in this case.
    fn accept_final(&mut self, from: &Decider, term: u64, query: &str) -> bool {
        let accepted = self.assignments.query_of(from, term) == Some(query);
        if accepted {
            self.remove_query(query);
        } else {
            self.counters.increment("decisions_refused");
        }
        accepted
    }

    fn remove_query(&mut self, query: &str) -> Option<Assignment> {
        if let Some(record) = self.queries.remove(query) {
            record.requests.iter().for_each(|request| drop(self.requests.remove(&request.id)));
        }
        self.assignments.close(query)
    }

    // Decisions of the local policy.

    /// Records an attempt that the local policy starts.
    pub fn record_local_attempt(&mut self, request: &str, node: &str) {
        let started_at = self.clock.now();
        if let Some((query, index)) = self.requests.get(request)
            && let Some(query) = self.queries.get_mut(query)
        {
            query.requests[*index].attempts.push(Attempt { node: node.into(), started_at, outcome: None });
        }
    }

    /// Removes a query that the local policy has answered, rejected or failed.
    pub fn remove_local_query(&mut self, query: &str) {
        self.remove_query(query);
    }

    /// Removes a query that ended although its decider has not answered, rejected or failed the query, for
    /// example because the client disconnected. If the query is assigned to a planner, also removes the
    /// records of the planner's attempts of this query, and sends the planner `QueryClosed`. Returns false if
    /// the query is not assigned to a planner.
    fn query_closed(&mut self, query: &str) -> bool {
        let attempts: Vec<(String, usize)> = self
            .queries
            .get(query)
            .into_iter()
            .flat_map(|query| &query.requests)
            .flat_map(|request| (0..request.attempts.len()).map(|number| (request.id.clone(), number)))
            .collect();
        let Some(Decider::Planner(planner)) = self.remove_query(query).map(|assignment| assignment.decider)
        else {
            return false;
        };
        // The dispatcher does not start attempts of a query that has ended, so no end of these attempts will
        // be reported.
        attempts.iter().for_each(|attempt| drop(self.planner_attempts.remove(attempt)));
        self.send(&planner, &Message::QueryClosed { query: query.into() });
        true
    }

    /// Aborts all queries and attempts after a panic of the local policy. Sends the planners the end of each
    /// of their attempts, since the dispatcher reports no outcome of these attempts and the planners would
    /// count them as in flight at their data nodes forever.
    pub fn abort_all_queries(&mut self) {
        let now = self.clock.now();
        for ((request, number), attempt) in std::mem::take(&mut self.planner_attempts) {
            let PlannerAttempt { planner, node, started_at } = attempt;
            let ended = Message::AttemptEnded {
                request,
                attempt: number as u32,
                node,
                outcome: AttemptOutcome::Cancelled.into(),
                latency_s: now - started_at,
            };
            self.send(&planner, &ended);
        }
        let open: Vec<String> = self.queries.keys().cloned().collect();
        for query in open {
            self.query_closed(&query);
        }
        self.local_takeovers.clear();
        self.new_assignments.clear();
    }

    fn gauges(&self) -> [(&'static str, u64); 3] {
        let (open, local) = (self.assignments.open_count(), self.assignments.local_count());
        [
            ("planners_able", self.available_planners().len() as u64),
            ("queries_with_planners", (open - local) as u64),
            ("queries_with_own_module", local as u64),
        ]
    }
}

impl MetricsSource for RefCell<Forwarder> {
    fn metrics(&self) -> MetricsSnapshot {
        let forwarder = self.borrow();
        MetricsSnapshot { counters: forwarder.counters.clone(), gauges: forwarder.gauges().to_vec() }
    }
}
