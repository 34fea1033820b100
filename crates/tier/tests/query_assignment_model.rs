//! Model checking of query assignments for one forwarder with two queries and two planners. A term is the
//! number of one assignment of a query. Planners may crash, or count as lost while they are alive and keep
//! sending; messages may be delayed for any time. The model uses the production code of `QueryAssignments`.
use alderway_tier::query_assignments::{Assignment, Decider, QueryAssignments};
use alderway_transport::Name;
use rstest::rstest;
use stateright::{Checker, Model, Property};

const PLANNERS: [&str; 2] = ["p-0", "p-1"];
const QUERIES: [&str; 2] = ["q-0", "q-1"];

/// A query assigned to a planner, as recorded by that planner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReceivedQuery {
    query: usize,
    term: u64,
    /// Whether an attempt of the query may have run: the forwarder reported one, or this planner started one.
    attempted: bool,
    ended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Packet {
    Assign { query: usize, term: u64, attempted: bool },
    StartAttempt { query: usize, term: u64 },
    AttemptEnded { query: usize },
    Answer { query: usize, term: u64 },
    Fail { query: usize, term: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    assignments: QueryAssignments,
    /// Whether each query has arrived at the forwarder.
    arrived: [bool; 2],
    /// Number of attempts of each query that were sent and may have run.
    started: [u8; 2],
    /// Whether an attempt of each query is in flight.
    in_flight: [bool; 2],
    /// Number of answers that the client of each query has received, including failures.
    answers: [u8; 2],
    /// Whether each planner is alive.
    alive: [bool; 2],
    /// Whether the forwarder considers each planner available.
    available: [bool; 2],
    /// The queries that each planner has received.
    received: [Vec<ReceivedQuery>; 2],
    /// Messages in flight to each planner, in order.
    to_planner: [Vec<Packet>; 2],
    /// Messages in flight from each planner, in order.
    from_planner: [Vec<Packet>; 2],
    /// Number of failures that may still occur: crashes, and planners that count as lost while they are
    /// alive.
    failures_left: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The query with this index arrives at the forwarder.
    Arrive(usize),
    /// The planner with this index receives its next message.
    PlannerReceives(usize),
    /// The forwarder receives the next message of the planner with this index.
    ForwarderReceives(usize),
    /// A data node replies to the attempt of the query with this index.
    AttemptEnds(usize),
    /// The planner with this index crashes.
    PlannerDies(usize),
    /// The forwarder considers the planner with this index as lost, whether or not that planner is alive.
    PlannerLost(usize),
}

/// The model. Each field breaks a rule, to show that the model checker detects the violation.
struct System {
    /// The forwarder accepts decisions without checking the decider and the term.
    ignores_terms: bool,
    /// A planner that takes over a query is not informed of earlier attempts.
    omits_attempts: bool,
}

impl System {
    fn available(state: &State) -> Vec<Name> {
        (0..2).filter(|p| state.available[*p]).map(|p| PLANNERS[p].to_string()).collect()
    }

    /// Sends an assignment to its planner. If the query is assigned to the local policy, that policy decides
    /// at once.
    fn send_assignment(&self, state: &mut State, assignment: &Assignment) {
        let query = QUERIES.iter().position(|q| *q == assignment.query).expect("one of two");
        let attempted = state.started[query] > 0 && !self.omits_attempts;
        match &assignment.decider {
            Decider::Planner(name) => {
                let planner = PLANNERS.iter().position(|p| p == name).expect("one of two");
                state.to_planner[planner].push(Packet::Assign { query, term: assignment.term, attempted });
            }
            // The local policy does not repeat an attempt that may have run: while the attempt is in flight,
            // the local policy waits for the reply to the attempt; otherwise the local policy ends the query.
            Decider::Local if attempted && state.in_flight[query] => {}
            Decider::Local if attempted => self.finish(state, query),
            Decider::Local => self.start_attempt(state, query),
        }
    }

    fn start_attempt(&self, state: &mut State, query: usize) {
        state.started[query] += 1;
        state.in_flight[query] = true;
    }

    fn finish(&self, state: &mut State, query: usize) {
        state.answers[query] += 1;
        state.in_flight[query] = false;
        state.assignments.close(QUERIES[query]);
    }

    fn accepts(&self, state: &State, planner: usize, query: usize, term: u64) -> bool {
        let from = Decider::Planner(PLANNERS[planner].into());
        (self.ignores_terms && state.assignments.open_count() > 0)
            || state.assignments.query_of(&from, term) == Some(QUERIES[query])
    }
}

impl Model for System {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            assignments: QueryAssignments::new("f"),
            arrived: [false; 2],
            started: [0; 2],
            in_flight: [false; 2],
            answers: [0; 2],
            alive: [true; 2],
            available: [true; 2],
            received: Default::default(),
            to_planner: Default::default(),
            from_planner: Default::default(),
            failures_left: 2,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for n in 0..2 {
            if !state.arrived[n] {
                steps.push(Step::Arrive(n));
            }
            if state.alive[n] && !state.to_planner[n].is_empty() {
                steps.push(Step::PlannerReceives(n));
            }
            if !state.from_planner[n].is_empty() {
                steps.push(Step::ForwarderReceives(n));
            }
            if state.in_flight[n] {
                steps.push(Step::AttemptEnds(n));
            }
            if state.alive[n] && state.failures_left > 0 {
                steps.push(Step::PlannerDies(n));
            }
            // A crashed planner eventually counts as lost; a live one may count as lost.
            if state.available[n] && (!state.alive[n] || state.failures_left > 0) {
                steps.push(Step::PlannerLost(n));
            }
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Arrive(query) => {
                next.arrived[query] = true;
                let available = System::available(&next);
                let assignment = next.assignments.assign(QUERIES[query], available.iter())?;
                self.send_assignment(&mut next, &assignment);
            }
            Step::PlannerReceives(planner) => match next.to_planner[planner].remove(0) {
                Packet::Assign { query, term, attempted } => {
                    next.received[planner].push(ReceivedQuery { query, term, attempted: true, ended: false });
                    // The planner does not repeat a side effect that may have happened; the attempt in flight
                    // may still be answered.
                    next.from_planner[planner].push(if attempted {
                        Packet::Fail { query, term }
                    } else {
                        Packet::StartAttempt { query, term }
                    });
                }
                Packet::AttemptEnded { query } => {
                    let received =
                        next.received[planner].iter_mut().rfind(|t| t.query == query && !t.ended)?;
                    received.ended = true;
                    let term = received.term;
                    next.from_planner[planner].push(Packet::Answer { query, term });
                }
                _ => return None,
            },
            Step::ForwarderReceives(planner) => match next.from_planner[planner].remove(0) {
                Packet::StartAttempt { query, term } => {
                    if self.accepts(&next, planner, query, term) {
                        self.start_attempt(&mut next, query);
                    }
                }
                Packet::Answer { query, term } | Packet::Fail { query, term } => {
                    if self.accepts(&next, planner, query, term) {
                        self.finish(&mut next, query);
                    }
                }
                _ => return None,
            },
            Step::AttemptEnds(query) => {
                next.in_flight[query] = false;
                let decider = PLANNERS.iter().enumerate().find(|(p, _)| {
                    next.received[*p].iter().any(|received| {
                        let from = Decider::Planner(PLANNERS[*p].into());
                        next.assignments.query_of(&from, received.term) == Some(QUERIES[query])
                    })
                });
                match decider.map(|d| d.0) {
                    Some(planner) => next.to_planner[planner].push(Packet::AttemptEnded { query }),
                    None => {
                        // No planner has received the query's latest assignment. If the local policy decides
                        // on the query, the query ends now. Otherwise the assigned planner will fail the
                        // query when it receives the assignment.
                        if next
                            .assignments
                            .clone()
                            .close(QUERIES[query])
                            .is_some_and(|a| a.decider == Decider::Local)
                        {
                            self.finish(&mut next, query);
                        }
                    }
                }
            }
            Step::PlannerDies(planner) => {
                next.failures_left -= 1;
                next.alive[planner] = false;
                next.received[planner].clear();
                next.to_planner[planner].clear();
            }
            Step::PlannerLost(planner) => {
                next.failures_left -= u8::from(next.alive[planner]);
                next.available[planner] = false;
                let available = System::available(&next);
                for assignment in next.assignments.reassign_from(PLANNERS[planner], available.iter()) {
                    self.send_assignment(&mut next, &assignment);
                }
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no query has two answers", |_, state: &State| {
                state.answers.iter().all(|n| *n <= 1)
            }),
            Property::always("no side effect happens twice", |_, state: &State| {
                state.started.iter().all(|n| *n <= 1)
            }),
            Property::always("each open query is assigned", |_, state: &State| {
                let open = (0..2).filter(|q| state.arrived[*q] && state.answers[*q] == 0).count();
                state.assignments.open_count() == open
            }),
            Property::eventually("every query is answered", |_, state: &State| state.answers == [1, 1]),
        ]
    }
}

#[rstest]
fn with_two_failures_each_query_has_one_answer_and_at_most_one_side_effect() {
    let checker =
        System { ignores_terms: false, omits_attempts: false }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1000, "only {} states were visited", checker.unique_state_count());
    eprintln!("{} states", checker.unique_state_count());
}

#[rstest]
#[case::terms_are_ignored(System { ignores_terms: true, omits_attempts: false })]
#[case::earlier_attempts_are_omitted(System { ignores_terms: false, omits_attempts: true })]
fn a_broken_rule_is_detected(#[case] system: System) {
    let checker = system.checker().threads(2).spawn_bfs().join();
    let counterexamples = checker.discoveries();
    assert!(
        counterexamples.contains_key("no side effect happens twice")
            || counterexamples.contains_key("no query has two answers"),
        "no counterexample was found"
    );
}
