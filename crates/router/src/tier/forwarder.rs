//! A forwarder's part between dispatcher and module: queries go to a planner or to the own module, endings of leaf calls to
//! whoever has to know them, and decisions to the dispatcher only from whoever decides. What was tried for a part is kept
//! here, so that whoever takes a query over knows what may have run. No sockets.
mod split;

pub use split::Split;

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

/// For how long a planner may know less of the endpoint list than this side before it is asked no more: half the grace.
const BEHIND: f64 = 1.0;

struct Part {
    id: String,
    shard: u32,
    weight: f64,
    /// Its leaf calls: where to, when, and how they ended.
    calls: Vec<(String, f64, Option<AttemptOutcome>)>,
}

struct Query {
    number: u64,
    vertical: usize,
    customer: String,
    not_after: f64,
    parts: Vec<Part>,
}

/// A leaf call by a planner's decision, which has to hear how it ends.
struct PlannedCall {
    planner: Name,
    node: String,
    started_at_s: f64,
}

pub struct Forwarder {
    name: Name,
    incarnation: Incarnation,
    clock: Clock,
    assignments: QueryAssignments,
    membership: PlannerMembership,
    links: BTreeMap<Name, Outbox>,
    queries: BTreeMap<String, Query>,
    parts: BTreeMap<String, (String, usize)>,
    /// Leaf calls that are out, or were when their query ended, by part and number.
    calls: BTreeMap<(String, usize), PlannedCall>,
    /// Queries asked of a planner in this round, once all their parts are known.
    fresh: Vec<Assignment>,
    /// Queries that the own module takes over in the next round.
    own_due: Vec<String>,
    heard: Vec<(String, NodeObservation)>,
    /// The endpoint list's version here, and the one that planners must know by now.
    endpoints: (u64, f64),
    due: u64,
    /// When data nodes started, by the clock here.
    starts: BTreeMap<String, Option<f64>>,
    pub counters: Counters,
    pub came: Rc<Notify>,
}

impl Forwarder {
    pub fn new(
        name: &str,
        incarnation: Incarnation,
        watch: HeartbeatConfig,
        clock: Clock,
        came: Rc<Notify>,
    ) -> Self {
        Forwarder {
            name: name.into(),
            incarnation,
            clock,
            assignments: QueryAssignments::new(name),
            membership: PlannerMembership::new(watch),
            links: BTreeMap::new(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            calls: BTreeMap::new(),
            fresh: vec![],
            own_due: vec![],
            heard: vec![],
            endpoints: (0, 0.0),
            due: 0,
            starts: BTreeMap::new(),
            counters: Counters::default(),
            came,
        }
    }

    pub fn hello(&self) -> Hello {
        Hello::new::<Message>(self.name.clone(), self.incarnation)
    }

    fn able(&self) -> Vec<Name> {
        self.membership.names().filter(|name| self.membership.is_available(name, self.due)).cloned().collect()
    }

    fn send(&mut self, planner: &str, message: &Message) {
        if let Some(link) = self.links.get_mut(planner) {
            link.send(message);
        }
    }

    /// What the dispatcher knows of the endpoint list now.
    pub fn knows(&mut self, endpoints: u64) {
        let now = self.clock.now();
        if now - self.endpoints.1 >= BEHIND {
            self.due = self.endpoints.0;
        }
        if endpoints != self.endpoints.0 {
            self.endpoints = (endpoints, now);
        }
    }

    // Planners.

    /// A planner has said hello on a new connection; false where that is an earlier self of one that is known.
    pub fn greeted(&mut self, hello: &Hello) -> Option<Rc<Notify>> {
        let changes = self.membership.connected(&hello.name, hello.incarnation, self.clock.now())?;
        self.changed(changes);
        let outbox = Outbox::new(&self.hello());
        let wake = outbox.wake.clone();
        self.links.insert(hello.name.clone(), outbox);
        tracing::info!(target: "tier", "planner {} is met: incarnation {}", hello.name, hello.incarnation);
        Some(wake)
    }

    /// A connection to a planner has ended.
    pub fn ended(&mut self, hello: &Hello) {
        let changes = self.membership.disconnected(&hello.name, hello.incarnation);
        self.changed(changes);
    }

    pub fn outbox(&mut self, hello: &Hello) -> Option<&mut Outbox> {
        if self.membership.incarnation(&hello.name) != Some(hello.incarnation) {
            return None;
        }
        self.links.get_mut(&hello.name).filter(|link| !link.over)
    }

    /// Beats that are due, and planners that were silent too long.
    pub fn tick(&mut self) {
        let (beats, changes) = self.membership.tick(self.clock.now());
        for (planner, number) in beats {
            let endpoints = self.endpoints.0;
            self.send(
                &planner,
                &Message::Heartbeat { number, endpoints_version: endpoints, accepts_queries: true },
            );
        }
        self.changed(changes);
    }

    fn changed(&mut self, changes: Vec<PlannerChange>) {
        for change in changes {
            match change {
                PlannerChange::AcceptsQueries(name, able) => {
                    let word = if able { "decides" } else { "takes nothing new" };
                    tracing::info!(target: "tier", "planner {name} {word}: {} able", self.able().len());
                }
                PlannerChange::Lost(name) => self.lost(&name),
            }
        }
    }

    /// Everything that a planner held is asked of another now, or of the own module.
    fn lost(&mut self, name: &str) {
        if let Some(link) = self.links.remove(name) {
            // Its driver ends the connection.
            link.wake.notify_one();
        }
        let able = self.able();
        let reassigned = self.assignments.reassign_from(name, able.iter());
        let left = able.len();
        let held = reassigned.len();
        tracing::warn!(target: "tier", "planner {name} is lost: {held} queries asked anew, {left} planners able");
        self.counters.increment("planners_lost");
        self.counters.add("queries_asked_anew", held);
        self.calls.retain(|_, call| call.planner != name);
        for assignment in reassigned {
            self.ask(assignment);
        }
    }

    /// Asks whoever is to decide, with all that was tried.
    fn ask(&mut self, assignment: Assignment) {
        let Assignment { query, decider, term } = assignment;
        let Decider::Planner(planner) = decider else {
            self.counters.increment("queries_decided{own}");
            self.own_due.push(query);
            return self.came.notify_one();
        };
        let now = self.clock.now();
        let Some(record) = self.queries.get(&query) else { return };
        let mut out = vec![];
        let tried = |(node, at, ending): &(String, f64, Option<AttemptOutcome>)| PriorAttempt {
            node: node.clone(),
            age_s: now - at,
            outcome: ending.map(Into::into),
        };
        let part = |part: &Part| {
            (part.id.clone(), part.shard, part.weight, part.calls.iter().map(tried).collect::<Vec<_>>())
        };
        for part in &record.parts {
            let still = part.calls.iter().enumerate().filter(|(_, call)| call.2.is_none());
            out.extend(still.map(|(hop, (node, started_at_s, _))| {
                let (planner, node) = (planner.clone(), node.clone());
                ((part.id.clone(), hop), PlannedCall { planner, node, started_at_s: *started_at_s })
            }));
        }
        let take = Message::AssignQuery {
            term,
            query_class: record.vertical as u32,
            tenant: record.customer.clone(),
            time_left_s: record.not_after - now,
            requests: record.parts.iter().map(part).collect(),
            query,
        };
        self.calls.extend(out);
        self.counters.increment("queries_decided{planner}");
        self.send(&planner, &take);
    }

    // What comes from planners.

    /// Takes a planner's message in; its decisions go to the dispatcher if it is the one that decides.
    pub fn read(&mut self, hello: &Hello, message: Message, dispatcher: &mut dyn DecisionSink) {
        let from = Decider::Planner(hello.name.clone());
        match message {
            Message::Heartbeat { number, endpoints_version: endpoints, accepts_queries: able } => {
                self.send(&hello.name, &Message::HeartbeatAck { number });
                let changes =
                    self.membership.heartbeat_received(&hello.name, hello.incarnation, endpoints, able);
                self.changed(changes);
            }
            Message::HeartbeatAck { number } => {
                self.membership.heartbeat_acknowledged(&hello.name, hello.incarnation, number)
            }
            Message::Observation {
                node,
                started_ago_s: started,
                slow_for_s: late,
                very_slow_for_s: far,
                unresponsive_for_s: sick,
                relay,
            } => {
                // Planners learn from each other by way of one of their forwarders; what is heard is not told on, so
                // nothing goes round.
                if relay {
                    let others: Vec<Name> =
                        self.links.keys().filter(|name| **name != hello.name).cloned().collect();
                    for other in others {
                        let node = node.clone();
                        self.send(
                            &other,
                            &Message::Observation {
                                node,
                                started_ago_s: started,
                                slow_for_s: late,
                                very_slow_for_s: far,
                                unresponsive_for_s: sick,
                                relay: false,
                            },
                        );
                        self.counters.increment("evidence_relayed");
                    }
                }
                let seen = self.clock.now();
                let Some(here) = self.starts.get(&node).copied() else { return };
                if let Some(observation) = received_observation(here, started, [late, far, sick], seen) {
                    self.heard.push((node, observation));
                    self.counters.increment("evidence_heard{planner}");
                }
            }
            Message::StartAttempt { term, request: part, node, timeout_s: limit } => {
                let query = self.assignments.query_of(&from, term);
                let known = self.parts.get(&part).filter(|(of, _)| Some(of.as_str()) == query).cloned();
                let Some((query, at)) = known else { return self.counters.increment("decisions_refused") };
                let now = self.clock.now();
                if let Some(record) = self.queries.get_mut(&query).map(|query| &mut query.parts[at]) {
                    let call =
                        PlannedCall { planner: hello.name.clone(), node: node.clone(), started_at_s: now };
                    self.calls.insert((part.clone(), record.calls.len()), call);
                    record.calls.push((node.clone(), now, None));
                    dispatcher.start_attempt(&part, &node, limit);
                }
            }
            Message::CancelAttempt { request: part, attempt: hop, .. } => {
                // After the final answer as well: the losers of its race.
                match self.calls.get(&(part.clone(), hop as usize)) {
                    Some(call) if call.planner == hello.name => {
                        dispatcher.cancel_attempt(&part, hop as usize)
                    }
                    Some(_) => self.counters.increment("decisions_refused"),
                    // The call ended here while the word to cancel it was on its way.
                    None => self.counters.increment("cancels_crossed"),
                }
            }
            Message::Answer { term, query, complete: whole } => {
                if self.finish(&from, term, &query) {
                    dispatcher.answer(&query, whole);
                }
            }
            Message::Reject { term, query, retry_after_s: come_back } => {
                if self.finish(&from, term, &query) {
                    dispatcher.reject(&query, come_back);
                }
            }
            Message::Fail { term, query } => {
                if self.finish(&from, term, &query) {
                    dispatcher.fail(&query);
                }
            }
            Message::AssignQuery { .. } | Message::AttemptEnded { .. } | Message::QueryClosed { .. } => {
                self.counters.increment("decisions_refused");
            }
        }
    }

    fn finish(&mut self, from: &Decider, term: u64, query: &str) -> bool {
        let decides = self.assignments.query_of(from, term) == Some(query);
        if decides {
            self.forget(query);
        } else {
            self.counters.increment("decisions_refused");
        }
        decides
    }

    fn forget(&mut self, query: &str) -> Option<Assignment> {
        if let Some(record) = self.queries.remove(query) {
            record.parts.iter().for_each(|part| drop(self.parts.remove(&part.id)));
        }
        self.assignments.close(query)
    }

    // What the own module decides.

    pub fn own_called(&mut self, part: &str, node: &str) {
        let now = self.clock.now();
        if let Some((query, at)) = self.parts.get(part)
            && let Some(query) = self.queries.get_mut(query)
        {
            query.parts[*at].calls.push((node.into(), now, None));
        }
    }

    pub fn own_finished(&mut self, query: &str) {
        self.forget(query);
    }

    /// A query has ended here, and the calls for it have. The planner that decides for it is told; false where none does.
    fn left(&mut self, query: &str) -> bool {
        let calls: Vec<(String, usize)> = self
            .queries
            .get(query)
            .into_iter()
            .flat_map(|query| &query.parts)
            .flat_map(|part| (0..part.calls.len()).map(|hop| (part.id.clone(), hop)))
            .collect();
        let Some(Decider::Planner(planner)) = self.forget(query).map(|assignment| assignment.decider) else {
            return false;
        };
        // Those that came when the query was over already, and were not started: no end of them will be told.
        calls.iter().for_each(|call| drop(self.calls.remove(call)));
        self.send(&planner, &Message::QueryClosed { query: query.into() });
        true
    }

    /// Everything is over, as after a failure of the own module. Guards against calls that count at a planner's data
    /// nodes for ever: nobody tells their ends after this.
    pub fn start_over(&mut self) {
        let now = self.clock.now();
        for ((part, hop), PlannedCall { planner, node, started_at_s }) in std::mem::take(&mut self.calls) {
            let (hop, ending, latency) = (hop as u32, AttemptOutcome::Cancelled.into(), now - started_at_s);
            self.send(
                &planner,
                &Message::AttemptEnded {
                    request: part,
                    attempt: hop,
                    node,
                    outcome: ending,
                    latency_s: latency,
                },
            );
        }
        let open: Vec<String> = self.queries.keys().cloned().collect();
        for query in open {
            self.left(&query);
        }
        self.own_due.clear();
        self.fresh.clear();
    }

    /// Queries held, and those that the own module decides for.
    pub fn figures(&self) -> [(&'static str, u64); 3] {
        let (held, own) = self.assignments.counts();
        [
            ("planners_able", self.able().len() as u64),
            ("queries_with_planners", (held - own) as u64),
            ("queries_with_own_module", own as u64),
        ]
    }
}

impl MetricsSource for RefCell<Forwarder> {
    fn metrics(&self) -> MetricsSnapshot {
        let forwarder = self.borrow();
        MetricsSnapshot { counters: forwarder.counters.clone(), gauges: forwarder.figures().to_vec() }
    }
}
