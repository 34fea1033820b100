//! An exhaustive walk over a small system: one forwarder with two queries and two planners, each of which may die, be taken
//! for lost though it lives, and speak again; words are under way for as long as they like. QueryAssignments is the program's own.
use alderway_tier::query_assignments::{Assignment, Decider, QueryAssignments};
use alderway_transport::Name;
use rstest::rstest;
use stateright::{Checker, Model, Property};

const PLANNERS: [&str; 2] = ["p-0", "p-1"];
const QUERIES: [&str; 2] = ["q-0", "q-1"];

/// What a planner knows of a query that it was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Taken {
    query: usize,
    term: u64,
    /// A call of it may have run: the forwarder said so, or this planner asked for it.
    tried: bool,
    ended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Word {
    Take { query: usize, term: u64, tried: bool },
    Call { query: usize, term: u64 },
    Ended { query: usize },
    Answer { query: usize, term: u64 },
    Abort { query: usize, term: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    assignments: QueryAssignments,
    /// Queries that have come, calls of each that went out and may run, calls that are out, and final answers.
    come: [bool; 2],
    ran: [u8; 2],
    out: [bool; 2],
    answers: [u8; 2],
    /// Planners as they are, and as the forwarder takes them.
    alive: [bool; 2],
    member: [bool; 2],
    taken: [Vec<Taken>; 2],
    /// Words under way, in their order, to a planner and from it.
    there: [Vec<Word>; 2],
    back: [Vec<Word>; 2],
    /// How many more times something may fail.
    failures: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Come(usize),
    Read(usize),
    Hear(usize),
    /// The data node answers a call that is out.
    Done(usize),
    Die(usize),
    /// The forwarder takes a planner for lost, rightly or not.
    Lose(usize),
}

struct System {
    /// A broken rule: whoever decides is believed, whatever the term.
    trusting: bool,
    /// A broken rule: a planner that takes over is not told what was tried.
    forgetful: bool,
}

impl System {
    fn able(state: &State) -> Vec<Name> {
        (0..2).filter(|p| state.member[*p]).map(|p| PLANNERS[p].to_string()).collect()
    }

    /// Asks whoever is to decide; the own module decides at once, as it needs no word.
    fn ask(&self, state: &mut State, assignment: &Assignment) {
        let query = QUERIES.iter().position(|q| *q == assignment.query).expect("one of two");
        let tried = state.ran[query] > 0 && !self.forgetful;
        match &assignment.decider {
            Decider::Planner(name) => {
                let planner = PLANNERS.iter().position(|p| p == name).expect("one of two");
                state.there[planner].push(Word::Take { query, term: assignment.term, tried });
            }
            // What may have run is not sent again: its answer is waited for, or it is given up.
            Decider::Local if tried && state.out[query] => {}
            Decider::Local if tried => self.finish(state, query),
            Decider::Local => self.call(state, query),
        }
    }

    fn call(&self, state: &mut State, query: usize) {
        state.ran[query] += 1;
        state.out[query] = true;
    }

    fn finish(&self, state: &mut State, query: usize) {
        state.answers[query] += 1;
        state.out[query] = false;
        state.assignments.close(QUERIES[query]);
    }

    fn accepts(&self, state: &State, planner: usize, query: usize, term: u64) -> bool {
        let from = Decider::Planner(PLANNERS[planner].into());
        (self.trusting && state.assignments.counts().0 > 0)
            || state.assignments.query_of(&from, term) == Some(QUERIES[query])
    }
}

impl Model for System {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            assignments: QueryAssignments::new("f"),
            come: [false; 2],
            ran: [0; 2],
            out: [false; 2],
            answers: [0; 2],
            alive: [true; 2],
            member: [true; 2],
            taken: Default::default(),
            there: Default::default(),
            back: Default::default(),
            failures: 2,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for n in 0..2 {
            if !state.come[n] {
                steps.push(Step::Come(n));
            }
            if state.alive[n] && !state.there[n].is_empty() {
                steps.push(Step::Read(n));
            }
            if !state.back[n].is_empty() {
                steps.push(Step::Hear(n));
            }
            if state.out[n] {
                steps.push(Step::Done(n));
            }
            if state.alive[n] && state.failures > 0 {
                steps.push(Step::Die(n));
            }
            // A dead one is found out sooner or later; a live one may be taken for dead.
            if state.member[n] && (!state.alive[n] || state.failures > 0) {
                steps.push(Step::Lose(n));
            }
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Come(query) => {
                next.come[query] = true;
                let able = System::able(&next);
                let assignment = next.assignments.assign(QUERIES[query], able.iter())?;
                self.ask(&mut next, &assignment);
            }
            Step::Read(planner) => match next.there[planner].remove(0) {
                Word::Take { query, term, tried } => {
                    next.taken[planner].push(Taken { query, term, tried: true, ended: false });
                    // A side effect that may have been had is not asked for again; what is out may still answer.
                    next.back[planner].push(if tried {
                        Word::Abort { query, term }
                    } else {
                        Word::Call { query, term }
                    });
                }
                Word::Ended { query } => {
                    let taken = next.taken[planner].iter_mut().rfind(|t| t.query == query && !t.ended)?;
                    taken.ended = true;
                    let term = taken.term;
                    next.back[planner].push(Word::Answer { query, term });
                }
                _ => return None,
            },
            Step::Hear(planner) => match next.back[planner].remove(0) {
                Word::Call { query, term } => {
                    if self.accepts(&next, planner, query, term) {
                        self.call(&mut next, query);
                    }
                }
                Word::Answer { query, term } | Word::Abort { query, term } => {
                    if self.accepts(&next, planner, query, term) {
                        self.finish(&mut next, query);
                    }
                }
                _ => return None,
            },
            Step::Done(query) => {
                next.out[query] = false;
                let decider = PLANNERS.iter().enumerate().find(|(p, _)| {
                    next.taken[*p].iter().any(|taken| {
                        let from = Decider::Planner(PLANNERS[*p].into());
                        next.assignments.query_of(&from, taken.term) == Some(QUERIES[query])
                    })
                });
                match decider.map(|d| d.0) {
                    Some(planner) => next.there[planner].push(Word::Ended { query }),
                    None => {
                        // The own module's, or its planner has yet to read what it is asked: that one aborts.
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
            Step::Die(planner) => {
                next.failures -= 1;
                next.alive[planner] = false;
                next.taken[planner].clear();
                next.there[planner].clear();
            }
            Step::Lose(planner) => {
                next.failures -= u8::from(next.alive[planner]);
                next.member[planner] = false;
                let able = System::able(&next);
                for assignment in next.assignments.reassign_from(PLANNERS[planner], able.iter()) {
                    self.ask(&mut next, &assignment);
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
            Property::always("no effect twice", |_, state: &State| state.ran.iter().all(|n| *n <= 1)),
            Property::always("held until it is answered", |_, state: &State| {
                let open = (0..2).filter(|q| state.come[*q] && state.answers[*q] == 0).count();
                state.assignments.counts().0 == open
            }),
            Property::eventually("every query is answered", |_, state: &State| state.answers == [1, 1]),
        ]
    }
}

#[rstest]
fn through_any_two_failures_each_query_has_one_answer_and_one_effect_at_most() {
    let checker = System { trusting: false, forgetful: false }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1000, "{} states show little", checker.unique_state_count());
    eprintln!("{} states", checker.unique_state_count());
}

#[rstest]
#[case::whoever_speaks_is_believed(System { trusting: true, forgetful: false })]
#[case::what_was_tried_is_not_told(System { trusting: false, forgetful: true })]
fn a_broken_rule_is_found(#[case] system: System) {
    let checker = system.checker().threads(2).spawn_bfs().join();
    let found = checker.discoveries();
    assert!(
        found.contains_key("no effect twice") || found.contains_key("no query has two answers"),
        "nothing found"
    );
}
