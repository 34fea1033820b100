//! An exhaustive search of a small system: three versions, a control server that commits, one that follows it and may be
//! stale for any time, and a router that subscribes at either, applies, rejects, persists and crashes. Messages are in
//! flight for any time, in any order, also beyond the end of their connection, and may be lost. Versions are cached, sent
//! and accepted by the program's own code.
use alderway_control_plane::content::{self, Digest, VersionContent};
use alderway_control_plane::messages::ApplyOutcome;
use alderway_control_plane::publisher::{SubscriberPosition, VersionCache};
use alderway_control_plane::subscriber::{ConfigVersion, ReceiveResult, VersionState};
use alderway_control_plane::version::VersionNumber;
use rstest::rstest;
use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};
use std::sync::LazyLock;

const LAST: VersionNumber = 3;
const MAX_IN_FLIGHT: usize = 2;

/// What is committed under a number: the second version changes two keys, the third one of them.
fn committed_text(number: VersionNumber) -> &'static str {
    static TEXTS: LazyLock<Vec<String>> = LazyLock::new(|| {
        let long = "0123456789".repeat(9);
        (0..=LAST).map(|n| format!(r#"{{"a":{n},"b":{},"c":"{long}"}}"#, n.min(2))).collect()
    });
    &TEXTS[number as usize]
}

/// What was proposed in its place and never committed.
fn uncommitted_text(number: VersionNumber) -> String {
    committed_text(number).replace(r#""a""#, r#""d""#)
}

/// What a control server knows of the router: the version that it received, and whether it needs complete settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Link {
    received: VersionNumber,
    digest: Digest,
    needs_snapshot: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    committed: VersionNumber,
    caches: [VersionCache; 2],
    links: [Option<Link>; 2],
    in_flight: Vec<VersionContent>,
    versions: VersionState,
    offered: bool,
    disk: ConfigVersion,
    /// The newest version that has been active since the start.
    newest_active: VersionNumber,
    /// Faults that may still happen.
    faults_left: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Commit,
    Follow,
    /// The first control server distributes a version that is not committed.
    Propose,
    Subscribe(usize),
    Send(usize),
    Deliver(usize),
    Lose(usize),
    Offer,
    Apply,
    Reject,
    /// The version needs a restart.
    RequireRestart,
    Persist,
    CrashRouter,
    /// The one that commits. It caches only the newest version afterwards.
    CrashServer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum BrokenRule {
    None,
    /// The router accepts any complete settings.
    AcceptsOlderVersions,
    /// A patch is applied to any version, and its result is not compared with the digest.
    SkipsDigest,
    /// A control server caches a version that is not committed.
    DistributesUncommitted,
}

struct System(BrokenRule);

impl System {
    fn deliver(&self, state: &mut State, content: &VersionContent) {
        let result = match self.0 {
            BrokenRule::AcceptsOlderVersions if content.base == 0 => {
                state.versions = VersionState::resume(ConfigVersion::new(content.number, &content.text));
                state.offered = false;
                ReceiveResult::New
            }
            BrokenRule::SkipsDigest
                if content.base > 0 && content.number > state.versions.received().number =>
            {
                match content::apply_patch(&state.versions.received().text, &content.text) {
                    Some(text) => {
                        state.versions = VersionState::resume(ConfigVersion::new(content.number, &text));
                        state.offered = false;
                        ReceiveResult::New
                    }
                    None => ReceiveResult::DigestMismatch,
                }
            }
            _ => state.versions.receive(content),
        };
        if result == ReceiveResult::DigestMismatch {
            for link in state.links.iter_mut().flatten() {
                let received = state.versions.received();
                *link = Link { received: received.number, digest: received.digest, needs_snapshot: true };
            }
        }
        state.newest_active = state.newest_active.max(state.versions.active().number);
    }
}

impl Model for System {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut caches = [VersionCache::new(2), VersionCache::new(2)];
        for cache in &mut caches {
            assert_eq!(cache.insert(1, committed_text(1)), Ok(true));
        }
        vec![State {
            committed: 1,
            caches,
            links: [None, None],
            in_flight: vec![],
            versions: VersionState::default(),
            offered: false,
            disk: ConfigVersion::default(),
            newest_active: 0,
            faults_left: 1,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.committed < LAST {
            steps.push(Step::Commit);
        }
        if state.caches[1].latest() < state.committed {
            steps.push(Step::Follow);
        }
        if self.0 == BrokenRule::DistributesUncommitted
            && state.committed < LAST
            && state.caches[0].latest() == state.committed
        {
            steps.push(Step::Propose);
        }
        for n in 0..2 {
            // The router has one connection: to subscribe at one control server ends the other.
            if state.links[n].is_none() {
                steps.push(Step::Subscribe(n));
            } else if state.in_flight.len() < MAX_IN_FLIGHT {
                steps.push(Step::Send(n));
            }
        }
        if state.faults_left > 0 && state.links[0].is_some() {
            steps.push(Step::CrashServer);
        }
        for n in 0..state.in_flight.len() {
            steps.push(Step::Deliver(n));
            if state.faults_left > 0 {
                steps.push(Step::Lose(n));
            }
        }
        steps.push(if state.offered { Step::Apply } else { Step::Offer });
        // The router can apply the first and the last version.
        if state.offered && state.versions.received().number == 2 {
            steps.extend([Step::Reject, Step::RequireRestart]);
        }
        if state.disk.number != state.versions.persisted().number {
            steps.push(Step::Persist);
        }
        if state.faults_left > 0 {
            steps.push(Step::CrashRouter);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Commit => {
                next.committed += 1;
                // A number keeps the content that came first.
                let _ = next.caches[0].insert(next.committed, committed_text(next.committed));
            }
            Step::Follow => {
                let number = next.caches[1].latest() + 1;
                let _ = next.caches[1].insert(number, committed_text(number));
            }
            Step::Propose => {
                let number = next.committed + 1;
                let _ = next.caches[0].insert(number, &uncommitted_text(number));
            }
            Step::Subscribe(server) => {
                let received = next.versions.received();
                next.links[1 - server] = None;
                next.links[server] =
                    Some(Link { received: received.number, digest: received.digest, needs_snapshot: false });
            }
            Step::Send(server) => {
                let link = next.links[server].clone()?;
                let base = match next.caches[server].position(link.received, link.digest) {
                    SubscriberPosition::UpToDate
                    | SubscriberPosition::Ahead
                    | SubscriberPosition::Conflict => return None,
                    SubscriberPosition::PatchAvailable if !link.needs_snapshot => Some(link.received),
                    SubscriberPosition::PatchAvailable | SubscriberPosition::SnapshotNeeded => None,
                };
                let content = next.caches[server].content(base)?;
                let (received, digest) = (content.number, content.digest);
                next.links[server] = Some(Link { received, digest, needs_snapshot: false });
                next.in_flight.push(content);
                next.in_flight.sort_by_key(|content| (content.number, content.base));
            }
            Step::Deliver(n) => {
                let content = next.in_flight.remove(n);
                self.deliver(&mut next, &content);
            }
            // The connection is lost with the message.
            Step::Lose(n) => {
                next.faults_left -= 1;
                next.in_flight.remove(n);
                next.links = [None, None];
            }
            Step::Offer => {
                next.versions.next_offer()?;
                next.offered = true;
            }
            Step::Apply | Step::Reject | Step::RequireRestart => {
                let outcome = match step {
                    Step::Reject => ApplyOutcome::Rejected("no".into()),
                    Step::RequireRestart => ApplyOutcome::PendingRestart(vec!["key".into()]),
                    _ => ApplyOutcome::Applied,
                };
                (1..=LAST).find(|number| next.versions.complete_offer(*number, &outcome))?;
                next.offered = false;
                next.newest_active = next.newest_active.max(next.versions.active().number);
            }
            Step::Persist => next.disk = next.versions.persisted().clone(),
            Step::CrashRouter => {
                next.faults_left -= 1;
                next.versions = VersionState::resume(next.disk.clone());
                (next.offered, next.newest_active, next.links) = (false, next.disk.number, [None, None]);
            }
            Step::CrashServer => {
                next.faults_left -= 1;
                next.links[0] = None;
                next.caches[0] = VersionCache::new(2);
                let _ = next.caches[0].insert(next.committed, committed_text(next.committed));
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a router never goes back", |_, state: &State| {
                state.versions.active().number >= state.newest_active
                    && state.versions.persisted().number >= state.disk.number
            }),
            Property::always("a number has the settings that were committed", |_, state: &State| {
                let sound = |version: &ConfigVersion| {
                    version.number == 0 || *version.text == *committed_text(version.number)
                };
                sound(state.versions.received()) && sound(state.versions.active()) && sound(&state.disk)
            }),
            Property::always("only committed versions are sent", |_, state: &State| {
                let newest = state.in_flight.iter().map(|content| content.number).max();
                newest.unwrap_or(0).max(state.versions.received().number) <= state.committed
            }),
            Property::sometimes("the newest version is active", |_, state: &State| {
                state.versions.active().number == LAST
            }),
            Property::sometimes("a patch that no longer fits is in flight", |_, state: &State| {
                let received = state.versions.received().number;
                state.in_flight.iter().any(|c| c.base > 0 && c.base != received && c.number > received)
            }),
        ]
    }
}

#[rstest]
fn a_router_has_only_committed_versions_and_never_goes_back_in_any_interleaving() {
    let checker = System(BrokenRule::None).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{} states show little", checker.unique_state_count());
}

#[rstest]
#[case::older_versions_are_accepted(BrokenRule::AcceptsOlderVersions)]
#[case::a_patch_is_not_checked(BrokenRule::SkipsDigest)]
#[case::uncommitted_versions_are_distributed(BrokenRule::DistributesUncommitted)]
fn a_rule_broken_on_purpose_is_found(#[case] broken: BrokenRule) {
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
