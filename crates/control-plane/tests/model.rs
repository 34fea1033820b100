//! An exhaustive walk over a small system: three versions, a control machine that commits, one that follows it and may be
//! stale for as long as it likes, and a router that subscribes at either, takes over, refuses, keeps what it has and
//! crashes. Words are under way for as long as they like, in any order, also past the end of their connection, and may be
//! lost; whoever does nothing stands still. What is put on a shelf, told and taken are the program's own.
use alderway_control_plane::content::{self, Digest, VersionContent};
use alderway_control_plane::messages::ApplyOutcome;
use alderway_control_plane::publisher::{SubscriberPosition, VersionCache};
use alderway_control_plane::subscriber::{ConfigVersion, ReceiveResult, VersionState};
use alderway_control_plane::version::VersionNumber;
use rstest::rstest;
use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};
use std::sync::LazyLock;

const LAST: VersionNumber = 3;
const UNDER_WAY: usize = 2;

/// What is committed under a number: the second version changes two keys, the third one of them.
fn text(number: VersionNumber) -> &'static str {
    static TEXTS: LazyLock<Vec<String>> = LazyLock::new(|| {
        let long = "0123456789".repeat(9);
        (0..=LAST).map(|n| format!(r#"{{"a":{n},"b":{},"c":"{long}"}}"#, n.min(2))).collect()
    });
    &TEXTS[number as usize]
}

/// What was proposed in its place and never committed.
fn proposed(number: VersionNumber) -> String {
    text(number).replace(r#""a""#, r#""d""#)
}

/// What a machine knows of the router: what that has, and whether a patch was of no use to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Link {
    got: VersionNumber,
    digest: Digest,
    whole: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    committed: VersionNumber,
    shelves: [VersionCache; 2],
    links: [Option<Link>; 2],
    under_way: Vec<VersionContent>,
    holding: VersionState,
    offered: bool,
    disk: ConfigVersion,
    /// The newest that has been in force since the start.
    most: VersionNumber,
    /// How many more times something may fail.
    failures: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Commit,
    Follow,
    /// The first machine tells what it has not committed yet.
    Propose,
    Ask(usize),
    ControlMessage(usize),
    Hear(usize),
    Lose(usize),
    Offer,
    TakeOver,
    Refuse,
    /// For a start.
    Wait,
    Keep,
    CrashRouter,
    /// The one that commits: of what it had only the newest is on its shelf afterwards.
    CrashMachine,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// The router takes whatever whole comes.
    Backward,
    /// A patch is taken upon whatever is there, and what comes out is not compared.
    Unchecked,
    /// A machine puts on its shelf what has yet to be committed.
    Eager,
}

struct System(Broken);

impl System {
    fn hear(&self, state: &mut State, content: &VersionContent) {
        let taken = match self.0 {
            Broken::Backward if content.base == 0 => {
                state.holding = VersionState::resume(ConfigVersion::new(content.number, &content.text));
                state.offered = false;
                ReceiveResult::New
            }
            Broken::Unchecked if content.base > 0 && content.number > state.holding.received().number => {
                match content::apply_patch(&state.holding.received().text, &content.text) {
                    Some(text) => {
                        state.holding = VersionState::resume(ConfigVersion::new(content.number, &text));
                        state.offered = false;
                        ReceiveResult::New
                    }
                    None => ReceiveResult::DigestMismatch,
                }
            }
            _ => state.holding.receive(content),
        };
        if taken == ReceiveResult::DigestMismatch {
            for link in state.links.iter_mut().flatten() {
                let got = state.holding.received();
                *link = Link { got: got.number, digest: got.digest, whole: true };
            }
        }
        state.most = state.most.max(state.holding.active().number);
    }
}

impl Model for System {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut shelves = [VersionCache::new(2), VersionCache::new(2)];
        for shelf in &mut shelves {
            assert_eq!(shelf.insert(1, text(1)), Ok(true));
        }
        vec![State {
            committed: 1,
            shelves,
            links: [None, None],
            under_way: vec![],
            holding: VersionState::default(),
            offered: false,
            disk: ConfigVersion::default(),
            most: 0,
            failures: 1,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.committed < LAST {
            steps.push(Step::Commit);
        }
        if state.shelves[1].latest() < state.committed {
            steps.push(Step::Follow);
        }
        if self.0 == Broken::Eager && state.committed < LAST && state.shelves[0].latest() == state.committed {
            steps.push(Step::Propose);
        }
        for n in 0..2 {
            // One connection: to ask at one machine ends the other's.
            if state.links[n].is_none() {
                steps.push(Step::Ask(n));
            } else if state.under_way.len() < UNDER_WAY {
                steps.push(Step::ControlMessage(n));
            }
        }
        if state.failures > 0 && state.links[0].is_some() {
            steps.push(Step::CrashMachine);
        }
        for n in 0..state.under_way.len() {
            steps.push(Step::Hear(n));
            if state.failures > 0 {
                steps.push(Step::Lose(n));
            }
        }
        steps.push(if state.offered { Step::TakeOver } else { Step::Offer });
        // The first and the last version are such that the router can take them over.
        if state.offered && state.holding.received().number == 2 {
            steps.extend([Step::Refuse, Step::Wait]);
        }
        if state.disk.number != state.holding.persisted().number {
            steps.push(Step::Keep);
        }
        if state.failures > 0 {
            steps.push(Step::CrashRouter);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Commit => {
                next.committed += 1;
                // Guards against two contents under one number: what came first is what is told on.
                let _ = next.shelves[0].insert(next.committed, text(next.committed));
            }
            Step::Follow => {
                let number = next.shelves[1].latest() + 1;
                let _ = next.shelves[1].insert(number, text(number));
            }
            Step::Propose => {
                let number = next.committed + 1;
                let _ = next.shelves[0].insert(number, &proposed(number));
            }
            Step::Ask(machine) => {
                let got = next.holding.received();
                next.links[1 - machine] = None;
                next.links[machine] = Some(Link { got: got.number, digest: got.digest, whole: false });
            }
            Step::ControlMessage(machine) => {
                let link = next.links[machine].clone()?;
                let base = match next.shelves[machine].position(link.got, link.digest) {
                    SubscriberPosition::UpToDate
                    | SubscriberPosition::Ahead
                    | SubscriberPosition::Conflict => return None,
                    SubscriberPosition::PatchAvailable if !link.whole => Some(link.got),
                    SubscriberPosition::PatchAvailable | SubscriberPosition::SnapshotNeeded => None,
                };
                let content = next.shelves[machine].content(base)?;
                let (got, digest) = (content.number, content.digest);
                next.links[machine] = Some(Link { got, digest, whole: false });
                next.under_way.push(content);
                next.under_way.sort_by_key(|content| (content.number, content.base));
            }
            Step::Hear(n) => {
                let content = next.under_way.remove(n);
                self.hear(&mut next, &content);
            }
            // Its connection is lost with it.
            Step::Lose(n) => {
                next.failures -= 1;
                next.under_way.remove(n);
                next.links = [None, None];
            }
            Step::Offer => {
                next.holding.next_offer()?;
                next.offered = true;
            }
            Step::TakeOver | Step::Refuse | Step::Wait => {
                let outcome = match step {
                    Step::Refuse => ApplyOutcome::Rejected("no".into()),
                    Step::Wait => ApplyOutcome::PendingRestart(vec!["key".into()]),
                    _ => ApplyOutcome::Applied,
                };
                (1..=LAST).find(|number| next.holding.complete_offer(*number, &outcome))?;
                next.offered = false;
                next.most = next.most.max(next.holding.active().number);
            }
            Step::Keep => next.disk = next.holding.persisted().clone(),
            Step::CrashRouter => {
                next.failures -= 1;
                next.holding = VersionState::resume(next.disk.clone());
                (next.offered, next.most, next.links) = (false, next.disk.number, [None, None]);
            }
            Step::CrashMachine => {
                next.failures -= 1;
                next.links[0] = None;
                next.shelves[0] = VersionCache::new(2);
                let _ = next.shelves[0].insert(next.committed, text(next.committed));
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a router never goes back", |_, state: &State| {
                state.holding.active().number >= state.most
                    && state.holding.persisted().number >= state.disk.number
            }),
            Property::always("what a number holds is what was committed", |_, state: &State| {
                let sound =
                    |settled: &ConfigVersion| settled.number == 0 || *settled.text == *text(settled.number);
                sound(state.holding.received()) && sound(state.holding.active()) && sound(&state.disk)
            }),
            Property::always("only what is committed is told", |_, state: &State| {
                let newest = state.under_way.iter().map(|content| content.number).max();
                newest.unwrap_or(0).max(state.holding.received().number) <= state.committed
            }),
            Property::sometimes("the newest is in force", |_, state: &State| {
                state.holding.active().number == LAST
            }),
            Property::sometimes("a patch that no longer fits is under way", |_, state: &State| {
                let got = state.holding.received().number;
                state.under_way.iter().any(|c| c.base > 0 && c.base != got && c.number > got)
            }),
        ]
    }
}

#[rstest]
fn through_loss_delay_pauses_and_crashes_a_router_has_what_was_committed_and_never_goes_back() {
    let checker = System(Broken::Nothing).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{} states show little", checker.unique_state_count());
}

#[rstest]
#[case::whatever_comes_is_taken(Broken::Backward)]
#[case::a_patch_is_not_checked(Broken::Unchecked)]
#[case::what_is_not_committed_is_told(Broken::Eager)]
fn a_broken_rule_is_found(#[case] broken: Broken) {
    let checker =
        System(broken).checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let found = checker.discoveries();
    let always = |name: &str| {
        System(broken).properties().iter().any(|p| p.name == name && p.expectation == Expectation::Always)
    };
    let found: Vec<&str> = found.keys().copied().filter(|name| always(name)).collect();
    println!("{broken:?}: found after {} states: {found:?}", checker.unique_state_count());
    assert!(!found.is_empty());
}
