//! Random changes of the shard map, replies and failures: each query gets one correct answer. The shard map
//! assigns ranges of keys to shards. A round is one run of the policy, the code that decides about queries
//! and attempts.
use crate::common::dispatcher::{DispatcherSink, response_text};
use crate::{
    apply_changes, dispatcher, move_shard, open_query_for, reply_received, response_body, split_shard,
};
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

/// A policy with one query class, whose idempotency is `idempotency`.
fn policy(idempotency: Idempotency) -> Policy {
    let query_class = QueryClass {
        latency_objective_s: 2.0,
        deadline_s: 6.0,
        idempotency,
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
    let capabilities = RouterCapabilities {
        can_cancel: true,
        can_hedge: true,
        max_attempts: 4,
        max_retry_after_s: None,
        polls_endpoints: false,
        over_quota_weight_fraction: 0.1,
    };
    Policy::new(
        7,
        PolicyConfig {
            router_count: 1,
            query_classes: vec![query_class],
            placement,
            capabilities,
            ..PolicyConfig::default()
        },
    )
}

/// An attempt whose frame is written and that has no reply: data node, number of the connection, id of the
/// shard request, keys.
type InFlight = (String, u64, String, KeyRange);

/// A query, as its client sent it.
struct ClientQuery {
    client: Rc<ClientConnection>,
    id: String,
    keys: KeyRange,
    /// Whether the client has closed its connection.
    is_disconnected: bool,
}

/// One core with its policy, and simulated data nodes and clients.
struct Simulation {
    dispatcher: RefCell<Dispatcher>,
    policy: Policy,
    /// Seconds that are added to the time of the monotonic clock for the policy.
    clock_offset_s: f64,
    in_flight: Vec<InFlight>,
    connections: Vec<(String, u64)>,
    queries: Vec<ClientQuery>,
    last_shard: ShardId,
    /// Ids of queries, each with a range of keys for which an attempt may have been executed.
    executed: Vec<(String, KeyRange)>,
}

impl Simulation {
    fn new(idempotency: Idempotency) -> Simulation {
        let mut dispatcher = dispatcher(10_000);
        // The policy is new and has received no input, so the dispatcher has to pass the full state.
        dispatcher.restart_policy();
        Simulation {
            dispatcher: RefCell::new(dispatcher),
            policy: policy(idempotency),
            clock_offset_s: 0.0,
            in_flight: vec![],
            connections: vec![],
            queries: vec![],
            last_shard: 10,
            executed: vec![],
        }
    }

    /// Runs the policy once, and writes all frames.
    fn round(&mut self) {
        let now = self.dispatcher.borrow().clock.now() + self.clock_offset_s;
        let dispatcher = &self.dispatcher;
        let add_input = |input: &mut dyn PolicyInput| {
            dispatcher.borrow_mut().notify_policy(now, input);
            Ok::<(), ()>(())
        };
        self.policy.round(now, add_input, &mut DispatcherSink(dispatcher)).expect("a round");
        self.connections.extend(
            self.dispatcher
                .borrow_mut()
                .flush_attempts(now)
                .into_iter()
                .map(|dial| (dial.node, dial.connection)),
        );
        for (node, number) in &self.connections {
            let mut frame = vec![];
            while self.dispatcher.borrow_mut().encode_next_frame(node, *number, &mut frame) {
                let now = self.dispatcher.borrow().clock.now();
                if let Some(connection) = self.dispatcher.borrow_mut().endpoints.connection(node, *number) {
                    connection.is_open = true;
                    connection.frame_written(now, 0);
                }
                let text = String::from_utf8(frame.split_off(4)).expect("text");
                frame.clear();
                let Some(items) = text.strip_prefix('S') else {
                    self.in_flight.retain(|attempt| text[1..] != attempt.2 || attempt.1 != *number);
                    continue;
                };
                for item in items.split("text").filter(|item| !item.is_empty()) {
                    let mut words = item.split([' ', ',']);
                    let id = words.next().expect("an id").to_string();
                    let keys = words.find_map(|word| word.strip_prefix("k=")?.split_once('-')).expect("keys");
                    let keys = KeyRange::new(keys.0.parse().expect("a key"), keys.1.parse().expect("a key"));
                    self.executed.push((id.split('.').next().expect("a query").to_string(), keys));
                    self.in_flight.push((node.clone(), *number, id, keys));
                }
            }
        }
    }

    /// Ends one of the attempts in flight by a reply or a lost connection; false if the dispatcher finds no
    /// request for the reply.
    fn reply(&mut self, which: usize, kind: u8) -> bool {
        if self.in_flight.is_empty() {
            return true;
        }
        let (node, connection, request, keys) = self.in_flight.swap_remove(which % self.in_flight.len());
        let mut dispatcher = self.dispatcher.borrow_mut();
        let (outcome, report, value) = match kind % 8 {
            0 => (AttemptOutcome::Rejected, "moved=99".to_string(), String::new()),
            1 => (AttemptOutcome::Rejected, "moved=1".to_string(), String::new()),
            2 => (AttemptOutcome::Error, "-".to_string(), String::new()),
            3 => {
                drop(dispatcher);
                self.in_flight.retain(|attempt| attempt.1 != connection);
                self.dispatcher.borrow_mut().connection_lost(&node, connection);
                return true;
            }
            _ => {
                let value = format!("{}-{}", keys.from, keys.to);
                (AttemptOutcome::Success, format!("keys={value}"), value)
            }
        };
        if outcome == AttemptOutcome::Rejected {
            let query = request.split('.').next().expect("a query");
            if let Some(index) =
                self.executed.iter().rposition(|executed| *executed == (query.to_string(), keys))
            {
                self.executed.remove(index);
            }
        }
        reply_received(&mut dispatcher, &node, connection, &request, outcome, &report, &value)
    }

    /// Changes the shard that covers the key `at`: splits it, merges it with its neighbour or moves it.
    fn change_shard_map(&mut self, kind: u8, at: Key) {
        let layout = self
            .dispatcher
            .borrow()
            .shard_map
            .as_ref()
            .and_then(|shard_map| Some(shard_map.history()?.latest().clone()));
        let layout = layout.expect("known");
        let shard = layout.shard_at(at % 100).expect("covered");
        let keys = layout.shard(shard).expect("known").keys;
        self.last_shard += 2;
        let (a, b) = (self.last_shard, self.last_shard + 1);
        let changes = match kind % 4 {
            0 if keys.len() > 1 => vec![split_shard(shard, &[(a, keys.from), (b, keys.from + 1)])],
            1 if keys.len() > 1 => vec![
                split_shard(shard, &[(a, keys.from), (b, keys.to - 1)]),
                move_shard(a, &[at % 6]),
                move_shard(b, &[(at + 1) % 6, (at + 2) % 6]),
            ],
            2 if keys.to < 100 => {
                let neighbour = layout.shard_at(keys.to).expect("covered");
                vec![
                    move_shard(shard, &[at % 6]),
                    move_shard(neighbour, &[at % 6]),
                    Change::Merge { parents: vec![shard, neighbour], child: a },
                ]
            }
            _ => vec![move_shard(shard, &[at % 6, (at / 6) % 6])],
        };
        apply_changes(&mut self.dispatcher.borrow_mut(), layout.version() + 1, changes);
    }

    fn open_query(&mut self, id: String, from: Key, keys: Key) {
        let to = (from + keys).min(100);
        let client = open_query_for(&mut self.dispatcher.borrow_mut(), &id, &[(None, Some((from, to)), 1.0)]);
        let (client, keys) = (client.expect("the query opens"), KeyRange::new(from, to));
        self.queries.push(ClientQuery { client, id, keys, is_disconnected: false });
    }

    /// Closes the connection of a client with an open query; returns the id of the query.
    fn disconnect(&mut self, which: usize) -> Option<String> {
        let is_open = |query: &&mut ClientQuery| query.client.open_query.get().is_some();
        let query = self.queries.iter_mut().filter(is_open).nth(which)?;
        query.is_disconnected = true;
        let number = query.client.open_query.get().expect("open");
        self.dispatcher.borrow_mut().client_disconnected(number);
        Some(query.id.clone())
    }

    /// Closes the connection of a client with an open query, and opens a query with the same id for other
    /// keys.
    fn reopen_query(&mut self, which: usize, from: Key, keys: Key) {
        let Some(id) = self.disconnect(which) else { return };
        // The new query may be executed once too, so the recorded executions of the earlier query with this
        // id are dropped.
        self.executed.retain(|(executed, _)| *executed != id);
        self.open_query(id, from, keys);
    }

    /// Advances the time by 0.3 s, ends an attempt and runs the policy, 40 times, so that all open queries
    /// end.
    fn finish(&mut self) {
        for _ in 0..40 {
            self.clock_offset_s += 0.3;
            self.reply(0, 4);
            self.round();
        }
    }

    /// Checks that each query got one answer, in which every key counts once and with its own value, and that
    /// no capacity, attempt or split is left.
    fn check(&self) -> Result<(), TestCaseError> {
        for ClientQuery { client, id, keys: requested, is_disconnected } in &self.queries {
            let text = response_text(client);
            prop_assert_eq!(
                text.matches("HTTP/1.1 ").count(),
                usize::from(!is_disconnected),
                "{}: {}",
                id,
                text
            );
            if !text.starts_with("HTTP/1.1 200") {
                continue;
            }
            let body: serde_json::Value = serde_json::from_str(&response_body(client)).expect("readable");
            let mut counted = std::collections::BTreeSet::new();
            for result in body["results"].as_array().expect("results") {
                let bounds = [0, 1].map(|index| result["keys"][index].as_u64().expect("a key") as Key);
                prop_assert_eq!(result["value"].as_str(), Some(&*format!("{}-{}", bounds[0], bounds[1])));
                for key in bounds[0]..bounds[1] {
                    prop_assert!(
                        requested.contains(KeyRange::new(key, key + 1)) && counted.insert(key),
                        "key {}",
                        key
                    );
                }
            }
            let fraction = counted.len() as f64 / requested.len() as f64;
            prop_assert!(fraction >= 0.4999, "below the minimum fraction: {}", fraction);
            prop_assert_eq!(body["whole"].as_bool(), Some(counted.len() as u64 == requested.len()));
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
        let shard_map = dispatcher.shard_map.as_ref().expect("a shard map");
        prop_assert!(shard_map.families.is_empty());
        prop_assert_eq!(shard_map.history().expect("known").retired_open_excluded_counts().1, 0);
        Ok(())
    }

    /// Adds the values of the named counters to `totals`.
    fn add_counters(&self, totals: &[Cell<u64>], names: &[&str]) {
        let values = counter_values(&self.dispatcher.borrow());
        for (total, name) in totals.iter().zip(names) {
            total.set(total.get() + values.get(*name).copied().unwrap_or(0));
        }
    }
}

/// A configuration of 400 cases drawn from a seed.
fn cases(seed: u64) -> ProptestConfig {
    contextualize_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Checks that each counter is at least 10 over all cases; otherwise too few cases reach the code that
/// increments the counter.
fn assert_all_counted(totals: &[Cell<u64>], names: &[&str]) {
    for (total, name) in totals.iter().zip(names) {
        eprintln!("{name} {}", total.get());
        assert!(total.get() >= 10, "{name} is {}: the cases cover too little", total.get());
    }
}

/// Counters that must be at least 10 over all cases.
const COUNTERS: [&str; 5] = [
    "queries_merged{v}",
    "queries_merged_in_part{v}",
    "parts_divided",
    "parts_disowned",
    "leaf_calls_sent{copy}",
];

/// Counters and gauges by name.
fn counter_values(dispatcher: &Dispatcher) -> BTreeMap<String, u64> {
    let text = dispatcher.metrics_text();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines.filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?))).collect()
}

/// Queries, changes of the shard map, replies, failures and time steps in any order: each query gets one
/// answer, in which every key counts once and with its own value. Keys whose attempt may have had an effect
/// are not requested again. At the end no capacity, attempt or split is left.
#[rstest]
fn each_query_gets_one_correct_answer_for_any_order_of_changes_and_replies() {
    let steps = prop::collection::vec((0..10u8, any::<u8>(), 0..100u32, 1..60u32), 20..120);
    let totals: [Cell<u64>; COUNTERS.len()] = Default::default();
    let result = TestRunner::new(cases(20)).run(&(steps, any::<bool>()), |(steps, once)| {
        let mut simulation =
            Simulation::new(if once { Idempotency::NonIdempotent } else { Idempotency::Idempotent });
        for (n, (step, kind, at, keys)) in steps.into_iter().enumerate() {
            match step {
                0..2 => simulation.open_query(format!("q{n}"), at, keys),
                2..4 => simulation.change_shard_map(kind, at),
                4..7 => {
                    prop_assert!(simulation.reply(at as usize, kind), "the reply is for an unknown request")
                }
                7..9 => simulation.clock_offset_s += f64::from(kind) / 350.0,
                _ if kind % 4 == 0 => drop(simulation.disconnect(at as usize % 8)),
                _ => {}
            }
            simulation.round();
        }
        simulation.finish();
        simulation.check()?;
        if once {
            for (index, (query, keys)) in simulation.executed.iter().enumerate() {
                let mut earlier = simulation.executed[..index].iter();
                let is_repeated = earlier.any(|(other, executed)| other == query && executed.overlaps(*keys));
                prop_assert!(!is_repeated, "{} was executed again for {:?}", query, keys);
            }
        }
        simulation.add_counters(&totals, &COUNTERS);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    assert_all_counted(&totals, &COUNTERS);
}

/// Like `each_query_gets_one_correct_answer_for_any_order_of_changes_and_replies`, with several events
/// between two runs of the policy, and with clients that disconnect and reuse the id of their query. Guards
/// against replies and ends of an earlier query being applied to a later one.
#[rstest]
fn each_query_gets_one_correct_answer_for_any_order_with_reused_ids() {
    const COUNTERS: [&str; 4] =
        ["queries_merged{v}", "queries_left{v}", "parts_divided", "leaf_calls_sent{copy}"];
    let steps = prop::collection::vec((0..12u8, any::<u8>(), 0..100u32, 1..60u32), 20..120);
    let totals: [Cell<u64>; COUNTERS.len()] = Default::default();
    let result = TestRunner::new(cases(21)).run(&steps, |steps| {
        let mut simulation = Simulation::new(Idempotency::Idempotent);
        for (n, (step, kind, at, keys)) in steps.into_iter().enumerate() {
            match step {
                0..2 => simulation.open_query(format!("q{n}"), at, keys),
                2 => simulation.change_shard_map(kind, at),
                // Some of these attempts are cancelled, but the frame of the cancellation is not yet written.
                3..6 => drop(simulation.reply(at as usize, kind)),
                6 => simulation.clock_offset_s += f64::from(kind) / 350.0,
                7..9 => simulation.reopen_query(kind as usize % 8, at, keys),
                9 => drop(simulation.disconnect(at as usize % 8)),
                _ => simulation.round(),
            }
        }
        simulation.round();
        simulation.finish();
        simulation.check()?;
        simulation.add_counters(&totals, &COUNTERS);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    assert_all_counted(&totals, &COUNTERS);
}
