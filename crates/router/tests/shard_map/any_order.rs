//! Changes, answers and failures in any order: each query gets one right answer.
use crate::common::dispatcher::{DispatcherSink, response_text};
use crate::{ask, body, change, dispatcher, moved, reply_received, split};
use alderway::interface::AttemptOutcome;
use alderway::interface::Idempotency;
use alderway::interface::PolicyConfig;
use alderway::interface::PolicyInput;
use alderway::interface::QueryClass;
use alderway::interface::RouterCapabilities;
use alderway::interface::ShardPlacement;
use alderway::policy::Policy;
use alderway_layouts::Key;
use alderway_layouts::KeyRange;
use alderway_layouts::ShardId;
use alderway_layouts::layout::Change;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner, contextualize_config};
use rstest::rstest;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

fn module(effect: Idempotency) -> Policy {
    let vertical = QueryClass {
        latency_objective_s: 2.0,
        deadline_s: 6.0,
        idempotency: effect,
        priority_weight: 1.0,
        late_weight_fraction: 0.3,
        complete_fraction: 1.0,
        minimum_fraction: 0.5,
        second_phase_requests: 0,
    };
    let placement = ShardPlacement {
        replica_groups: 6,
        groups_per_shard: 2,
        max_batch: 8,
        attempt_overhead_s: 0.0,
        explicit_holders: None,
    };
    let allowance = RouterCapabilities {
        can_cancel: true,
        can_hedge: true,
        max_attempts: 4,
        max_retry_after_s: None,
        polls_endpoints: false,
        over_quota_weight_fraction: 0.1,
    };
    let verticals = vec![vertical];
    Policy::new(
        7,
        PolicyConfig {
            router_count: 1,
            query_classes: verticals,
            placement,
            capabilities: allowance,
            ..PolicyConfig::default()
        },
    )
}

/// A call whose frame has gone out and that nobody has answered: node, connection, part, keys.
type Out = (String, u64, String, KeyRange);

/// A query as its client asked for it.
struct Asked {
    client: Rc<ClientConnection>,
    id: String,
    keys: KeyRange,
    /// The client has closed its connection.
    left: bool,
}

/// One core with its module and data nodes that a test plays.
struct World {
    dispatcher: RefCell<Dispatcher>,
    router: Policy,
    /// How far the module's time is ahead of the clock.
    ahead: f64,
    out: Vec<Out>,
    lines: Vec<(String, u64)>,
    clients: Vec<Asked>,
    next: ShardId,
    /// Keys that were sent for, by query, where each may be had once.
    ran: Vec<(String, KeyRange)>,
}

impl World {
    fn new(effect: Idempotency) -> World {
        let mut dispatcher = dispatcher(10_000);
        // Nothing is told yet.
        dispatcher.restart_policy();
        World {
            dispatcher: RefCell::new(dispatcher),
            router: module(effect),
            ahead: 0.0,
            out: vec![],
            lines: vec![],
            clients: vec![],
            next: 10,
            ran: vec![],
        }
    }

    fn round(&mut self) {
        let now = self.dispatcher.borrow().clock.now() + self.ahead;
        let dispatcher = &self.dispatcher;
        let tell = |intake: &mut dyn PolicyInput| {
            dispatcher.borrow_mut().notify_policy(now, intake);
            Ok::<(), ()>(())
        };
        self.router.round(now, tell, &mut DispatcherSink(dispatcher)).expect("a round");
        self.lines.extend(
            self.dispatcher
                .borrow_mut()
                .flush_attempts(now)
                .into_iter()
                .map(|dial| (dial.node, dial.connection)),
        );
        for (node, line) in &self.lines {
            let mut frame = vec![];
            while self.dispatcher.borrow_mut().next_frame(node, *line, &mut frame) {
                let now = self.dispatcher.borrow().clock.now();
                if let Some(line) = self.dispatcher.borrow_mut().endpoints.connection(node, *line) {
                    (line.is_up, _) = (true, line.frame_written(now));
                }
                let text = String::from_utf8(frame.split_off(4)).expect("text");
                frame.clear();
                let Some(rest) = text.strip_prefix('S') else {
                    self.out.retain(|out| text[1..] != out.2 || out.1 != *line);
                    continue;
                };
                for part in rest.split("text").filter(|part| !part.is_empty()) {
                    let mut words = part.split([' ', ',']);
                    let id = words.next().expect("an id").to_string();
                    let keys = words.find_map(|word| word.strip_prefix("k=")?.split_once('-')).expect("keys");
                    let keys = KeyRange::new(keys.0.parse().expect("a key"), keys.1.parse().expect("a key"));
                    self.ran.push((id.split('.').next().expect("a query").to_string(), keys));
                    self.out.push((node.clone(), *line, id, keys));
                }
            }
        }
    }

    /// A call that is out ends, in one way or another; false where its answer was not asked for.
    fn reply(&mut self, which: usize, how: u8) -> bool {
        if self.out.is_empty() {
            return true;
        }
        let (node, line, part, keys) = self.out.swap_remove(which % self.out.len());
        let mut dispatcher = self.dispatcher.borrow_mut();
        let (ending, report, value) = match how % 8 {
            0 => (AttemptOutcome::Rejected, "moved=99".to_string(), String::new()),
            1 => (AttemptOutcome::Rejected, "moved=1".to_string(), String::new()),
            2 => (AttemptOutcome::Error, "-".to_string(), String::new()),
            3 => {
                drop(dispatcher);
                self.out.retain(|out| out.1 != line);
                self.dispatcher.borrow_mut().connection_lost(&node, line);
                return true;
            }
            _ => {
                let value = format!("{}-{}", keys.from, keys.to);
                (AttemptOutcome::Success, format!("keys={value}"), value)
            }
        };
        if ending == AttemptOutcome::Rejected {
            let query = part.split('.').next().expect("a query");
            if let Some(at) = self.ran.iter().rposition(|ran| *ran == (query.to_string(), keys)) {
                self.ran.remove(at);
            }
        }
        reply_received(&mut dispatcher, &node, line, &part, ending, &report, &value)
    }

    fn change(&mut self, kind: u8, at: Key) {
        let layout =
            self.dispatcher.borrow().shard_map.as_ref().and_then(|g| Some(g.history()?.latest().clone()));
        let layout = layout.expect("known");
        let shard = layout.shard_at(at % 100).expect("covered");
        let keys = layout.shard(shard).expect("known").keys;
        let cells = |n: u32| moved(shard, &[n % 6, (n / 6) % 6]).clone();
        self.next += 2;
        let (a, b) = (self.next, self.next + 1);
        let changes = match kind % 4 {
            0 if keys.len() > 1 => vec![split(shard, &[(a, keys.from), (b, keys.from + 1)])],
            1 if keys.len() > 1 => vec![
                split(shard, &[(a, keys.from), (b, keys.to - 1)]),
                moved(a, &[at % 6]),
                moved(b, &[(at + 1) % 6, (at + 2) % 6]),
            ],
            2 if keys.to < 100 => {
                let neighbour = layout.shard_at(keys.to).expect("covered");
                vec![
                    moved(shard, &[at % 6]),
                    moved(neighbour, &[at % 6]),
                    Change::Merge { parents: vec![shard, neighbour], child: a },
                ]
            }
            _ => vec![cells(at)],
        };
        change(&mut self.dispatcher.borrow_mut(), layout.version() + 1, changes);
    }

    fn query(&mut self, id: String, from: Key, keys: Key) {
        let to = (from + keys).min(100);
        let client = ask(&mut self.dispatcher.borrow_mut(), &id, &[(None, Some((from, to)), 1.0)]);
        let (client, keys) = (client.expect("taken"), KeyRange::new(from, to));
        self.clients.push(Asked { client, id, keys, left: false });
    }

    /// A client with an open query closes its connection; the id of its query.
    fn leave(&mut self, which: usize) -> Option<String> {
        let is_open = |asked: &&mut Asked| asked.client.open_query.get().is_some();
        let asked = self.clients.iter_mut().filter(is_open).nth(which)?;
        asked.left = true;
        let number = asked.client.open_query.get().expect("open");
        self.dispatcher.borrow_mut().client_disconnected(number);
        Some(asked.id.clone())
    }

    /// A client leaves, and its query is asked again by the same id, for other keys.
    fn ask_again(&mut self, which: usize, from: Key, keys: Key) {
        let Some(id) = self.leave(which) else { return };
        // Another query as far as effects go.
        self.ran.retain(|(ran, _)| *ran != id);
        self.query(id, from, keys);
    }

    /// Lets everything that is open come to its end.
    fn end(&mut self) {
        for _ in 0..40 {
            self.ahead += 0.3;
            self.reply(0, 4);
            self.round();
        }
    }

    /// One answer for each query, in which every key counts once and with its own value, and nothing held.
    fn check(&self) -> Result<(), TestCaseError> {
        for Asked { client, id, keys: asked, left } in &self.clients {
            let text = response_text(client);
            prop_assert_eq!(text.matches("HTTP/1.1 ").count(), usize::from(!left), "{}: {}", id, text);
            if !text.starts_with("HTTP/1.1 200") {
                continue;
            }
            let body: serde_json::Value = serde_json::from_str(&body(client)).expect("readable");
            let mut counted = std::collections::BTreeSet::new();
            for result in body["results"].as_array().expect("results") {
                let ends = [0, 1].map(|at| result["keys"][at].as_u64().expect("a key") as Key);
                prop_assert_eq!(result["value"].as_str(), Some(&*format!("{}-{}", ends[0], ends[1])));
                for key in ends[0]..ends[1] {
                    prop_assert!(
                        asked.contains(KeyRange::new(key, key + 1)) && counted.insert(key),
                        "key {}",
                        key
                    );
                }
            }
            let share = counted.len() as f64 / asked.len() as f64;
            prop_assert!(share >= 0.4999, "under the floor: {}", share);
            prop_assert_eq!(body["whole"].as_bool(), Some(counted.len() as u64 == asked.len()));
        }
        let dispatcher = self.dispatcher.borrow();
        prop_assert_eq!(
            (
                dispatcher.queries.reserved_count(),
                dispatcher.attempts.in_flight_count(),
                dispatcher.shared.capacity.free()
            ),
            (0, 0, 10_000)
        );
        let shard_map = dispatcher.shard_map.as_ref().expect("layouts");
        prop_assert!(shard_map.families.is_empty());
        prop_assert_eq!(shard_map.history().expect("known").retired_open_excluded_counts().1, 0);
        Ok(())
    }

    /// Adds what was counted.
    fn count(&self, totals: &[Cell<u64>], names: &[&str]) {
        let counted = program_figures(&self.dispatcher.borrow());
        for (total, name) in totals.iter().zip(names) {
            total.set(total.get() + counted.get(*name).copied().unwrap_or(0));
        }
    }
}

/// Cases drawn from a seed.
fn cases(seed: u64) -> ProptestConfig {
    contextualize_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Each of these happened in the cases, or they have shown nothing.
fn all_happened(totals: &[Cell<u64>], names: &[&str]) {
    for (total, name) in totals.iter().zip(names) {
        eprintln!("{name} {}", total.get());
        assert!(total.get() >= 10, "{name} {} times: the cases show too little", total.get());
    }
}

/// What must have happened over all cases, or they have shown nothing.
const NAMES: [&str; 5] = [
    "queries_merged{v}",
    "queries_merged_in_part{v}",
    "parts_divided",
    "parts_disowned",
    "leaf_calls_sent{copy}",
];

fn program_figures(dispatcher: &Dispatcher) -> BTreeMap<String, u64> {
    let text = dispatcher.metrics_text();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines.filter_map(|(name, figure)| Some((name.to_string(), figure.parse().ok()?))).collect()
}

/// Whatever order queries, changes, answers, failures and time come in: each query has one answer, in which every key
/// counts once and with its own value; what may have had an effect is not asked for again; and in the end nothing is
/// held.
#[rstest]
fn any_order_of_changes_and_answers_ends_in_one_right_answer_for_each_query() {
    let steps = prop::collection::vec((0..10u8, any::<u8>(), 0..100u32, 1..60u32), 20..120);
    let totals: [Cell<u64>; NAMES.len()] = Default::default();
    let played = TestRunner::new(cases(20)).run(&(steps, any::<bool>()), |(steps, once)| {
        let mut world = World::new(if once { Idempotency::NonIdempotent } else { Idempotency::Idempotent });
        for (n, (step, kind, at, keys)) in steps.into_iter().enumerate() {
            match step {
                0..2 => world.query(format!("q{n}"), at, keys),
                2..4 => world.change(kind, at),
                4..7 => prop_assert!(world.reply(at as usize, kind), "an answer that was not asked for"),
                7..9 => world.ahead += f64::from(kind) / 350.0,
                _ if kind % 4 == 0 => drop(world.leave(at as usize % 8)),
                _ => {}
            }
            world.round();
        }
        world.end();
        world.check()?;
        if once {
            for (n, (query, keys)) in world.ran.iter().enumerate() {
                let again = world.ran[..n].iter().any(|(other, ran)| other == query && ran.overlaps(*keys));
                prop_assert!(!again, "{} ran again for {:?}", query, keys);
            }
        }
        world.count(&totals, &NAMES);
        Ok(())
    });
    played.unwrap_or_else(|why| panic!("{why}"));
    all_happened(&totals, &NAMES);
}

/// As above where several events fall between two rounds, and clients leave and ask again by the same id. Guards against
/// what belongs to an earlier query being taken for that of a later one.
#[rstest]
fn any_order_with_ids_asked_again_ends_in_one_right_answer_for_each_query() {
    const NAMES: [&str; 4] =
        ["queries_merged{v}", "queries_left{v}", "parts_divided", "leaf_calls_sent{copy}"];
    let steps = prop::collection::vec((0..12u8, any::<u8>(), 0..100u32, 1..60u32), 20..120);
    let totals: [Cell<u64>; NAMES.len()] = Default::default();
    let played = TestRunner::new(cases(21)).run(&steps, |steps| {
        let mut world = World::new(Idempotency::Idempotent);
        for (n, (step, kind, at, keys)) in steps.into_iter().enumerate() {
            match step {
                0..2 => world.query(format!("q{n}"), at, keys),
                2 => world.change(kind, at),
                // Some of these were cancelled already, by a frame that is still to be written.
                3..6 => drop(world.reply(at as usize, kind)),
                6 => world.ahead += f64::from(kind) / 350.0,
                7..9 => world.ask_again(kind as usize % 8, at, keys),
                9 => drop(world.leave(at as usize % 8)),
                _ => world.round(),
            }
        }
        world.round();
        world.end();
        world.check()?;
        world.count(&totals, &NAMES);
        Ok(())
    });
    played.unwrap_or_else(|why| panic!("{why}"));
    all_happened(&totals, &NAMES);
}
