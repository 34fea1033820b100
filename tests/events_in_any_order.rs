//! Property test: for any order of queries, adopted attempts, ended attempts, splits, disconnected clients,
//! and data nodes that appear, drain, restart and are removed, every query gets one final response.

mod common;
use alderway::interface::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// Number of nodes in the endpoint list at the start. The same number of further nodes is not in the list
/// until an event adds them.
const LISTED_NODES: u8 = 3;
const NODES: u8 = 2 * LISTED_NODES;
/// Longer than any deadline, in seconds.
const AFTER_ALL_DEADLINES_S: f64 = 7.0;

#[derive(Clone, Debug)]
struct Adopted {
    node: u8,
    age: u8,
    outcome: u8,
}

#[derive(Clone, Debug)]
enum Event {
    Query {
        class: bool,
        requests: Vec<Vec<Adopted>>,
    },
    AttemptEnds {
        which: u16,
        outcome: u8,
    },
    Split {
        which: u16,
    },
    Disconnected {
        which: u16,
    },
    EndpointUpdated {
        node: u8,
        state: u8,
        started: u8,
    },
    /// Replaces the endpoint list by the nodes whose bits are set.
    ListReplaced {
        listed: u8,
    },
    Observed {
        node: u8,
        unresponsive: bool,
    },
    Wait {
        steps: u8,
    },
}

fn adopted() -> impl Strategy<Value = Adopted> {
    any::<(u8, u8, u8)>().prop_map(|(node, age, outcome)| Adopted { node, age, outcome })
}

fn event() -> impl Strategy<Value = Event> {
    let requests = prop::collection::vec(prop::collection::vec(adopted(), 0..3), 1..5);
    prop_oneof![
        6 => (any::<bool>(), requests).prop_map(|(class, requests)| Event::Query { class, requests }),
        8 => any::<(u16, u8)>().prop_map(|(which, outcome)| Event::AttemptEnds { which, outcome }),
        2 => any::<u16>().prop_map(|which| Event::Split { which }),
        1 => any::<u16>().prop_map(|which| Event::Disconnected { which }),
        4 => any::<(u8, u8, u8)>()
            .prop_map(|(node, state, started)| Event::EndpointUpdated { node, state, started }),
        1 => any::<u8>().prop_map(|listed| Event::ListReplaced { listed }),
        2 => any::<(u8, bool)>().prop_map(|(node, unresponsive)| Event::Observed { node, unresponsive }),
        6 => (1u8..120).prop_map(|steps| Event::Wait { steps }),
    ]
}

fn outcome(choice: u8) -> AttemptOutcome {
    let outcomes = [
        AttemptOutcome::Success,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Unreachable,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::NeverSent,
        AttemptOutcome::ShardMoved,
    ];
    outcomes[usize::from(choice) % outcomes.len()]
}

fn node_id(node: u8) -> String {
    format!("n{}", node % NODES)
}

/// An attempt in flight, as recorded by the test's host.
struct InFlight {
    query: u64,
    node: String,
    started_at: f64,
}

/// An open query, as recorded by the test's host.
struct OpenQuery {
    non_idempotent: bool,
    /// For each shard request id, whether each of its attempts may have had an effect.
    requests: BTreeMap<String, Vec<bool>>,
}

struct Run {
    host: Host,
    open: BTreeMap<u64, OpenQuery>,
    in_flight: BTreeMap<(String, usize), InFlight>,
    states: BTreeMap<String, NodeState>,
    last_query: u64,
}

impl Run {
    fn new(can_hedge: bool, can_cancel: bool) -> Self {
        let host = Host::with(|d| {
            (d.capabilities.can_hedge, d.capabilities.can_cancel) = (can_hedge, can_cancel);
            let non_idempotent = QueryClass { idempotency: Idempotency::NonIdempotent, ..d.class.clone() };
            d.other_classes = vec![non_idempotent];
        });
        let states = (0..LISTED_NODES).map(|node| (node_id(node), NodeState::Serving)).collect();
        let (open, in_flight) = Default::default();
        Run { host, open, in_flight, states, last_query: 0 }
    }

    fn play(&mut self, event: &Event) -> Result<(), TestCaseError> {
        let decisions = match event {
            Event::Query { class, requests } => self.open_query(*class, requests),
            Event::AttemptEnds { which, outcome: choice } => self.end_attempt(*which, outcome(*choice)),
            Event::Split { which } => self.split(*which),
            Event::Disconnected { which } => self.disconnect(*which),
            Event::EndpointUpdated { node, state, started } => self.update_endpoint(*node, *state, *started),
            Event::ListReplaced { listed } => self.replace_list(*listed),
            Event::Observed { node, unresponsive } => {
                let observation = NodeObservation {
                    observed_at_s: self.host.now,
                    unresponsive_for_s: if *unresponsive { 1.0 } else { 0.0 },
                    ..NodeObservation::default()
                };
                let node = node_id(*node);
                self.host.round(|r| r.node_observed(&node, observation))
            }
            Event::Wait { steps } => return self.wait(f64::from(*steps) * 0.01),
        };
        self.check_and_apply_decisions(&decisions)
    }

    fn wait(&mut self, span_s: f64) -> Result<(), TestCaseError> {
        let end = self.host.now + span_s;
        while self.host.now < end {
            self.host.now += 0.01;
            let decisions = self.host.round(|r| r.timer_fired(1));
            self.check_and_apply_decisions(&decisions)?;
        }
        Ok(())
    }

    fn open_query(&mut self, class: bool, requests: &[Vec<Adopted>]) -> Vec<String> {
        self.last_query += 1;
        let (number, now) = (self.last_query, self.host.now);
        let mut query = OpenQuery { non_idempotent: class, requests: BTreeMap::new() };
        for (shard, adopted) in requests.iter().enumerate() {
            let id = format!("p{number}.{shard}");
            let mut effects = vec![];
            for (attempt, one) in adopted.iter().enumerate() {
                if one.outcome % 2 == 0 {
                    let started_at = now - f64::from(one.age) * 0.01;
                    let in_flight = InFlight { query: number, node: node_id(one.node), started_at };
                    self.in_flight.insert((id.clone(), attempt), in_flight);
                }
                effects.push(one.outcome % 2 == 0 || !outcome(one.outcome / 2).had_no_effect());
            }
            query.requests.insert(id, effects);
        }
        self.open.insert(number, query);
        self.host.round(|r| {
            r.query_arrived(number, &format!("q{number}"), usize::from(class), "", now + 6.0);
            for (shard, adopted) in requests.iter().enumerate() {
                let id = format!("p{number}.{shard}");
                r.shard_request_added(number, &id, shard as u32, 1.0 / requests.len() as f64);
                for one in adopted {
                    let ended = (one.outcome % 2 == 1).then(|| outcome(one.outcome / 2));
                    r.adopt_attempt(&id, &node_id(one.node), f64::from(one.age) * 0.01, ended);
                }
            }
        })
    }

    fn end_attempt(&mut self, which: u16, outcome: AttemptOutcome) -> Vec<String> {
        let key = self.in_flight.keys().nth(usize::from(which) % self.in_flight.len().max(1)).cloned();
        let Some((key, ended)) = key.and_then(|key| self.in_flight.remove_entry(&key)) else { return vec![] };
        let query = self.open.get_mut(&ended.query);
        let effects = query.and_then(|query| query.requests.get_mut(&key.0));
        if let Some(effect) = effects.and_then(|effects| effects.get_mut(key.1)) {
            *effect = !outcome.had_no_effect();
        }
        let latency_s = self.host.now - ended.started_at;
        self.host.attempt_ended(&key.0, key.1, &ended.node, outcome, latency_s)
    }

    /// Splits a shard request into two. Each of the two has a copy of the attempts in flight; the copies end
    /// separately.
    fn split(&mut self, which: u16) -> Vec<String> {
        let number = self.open.keys().nth(usize::from(which) % self.open.len().max(1)).copied();
        let Some(number) = number else { return vec![] };
        let Some(query) = self.open.get_mut(&number) else { return vec![] };
        let Some((id, attempts)) = query.requests.pop_first() else { return vec![] };
        let successors = [format!("{id}a"), format!("{id}b")];
        for successor in &successors {
            query.requests.insert(successor.clone(), attempts.clone());
        }
        let keys: Vec<_> = self.in_flight.keys().filter(|(request, _)| *request == id).cloned().collect();
        for (request, attempt) in keys {
            let Some(old) = self.in_flight.remove(&(request, attempt)) else { continue };
            for successor in &successors {
                let InFlight { query, node, started_at } = &old;
                let copy = InFlight { query: *query, node: node.clone(), started_at: *started_at };
                self.in_flight.insert((successor.clone(), attempt), copy);
            }
        }
        let into = [(successors[0].as_str(), 0, 0.1), (successors[1].as_str(), 1, 0.1)];
        self.host.round(|r| r.shard_request_split(number, &id, &into))
    }

    fn disconnect(&mut self, which: u16) -> Vec<String> {
        let number = self.open.keys().nth(usize::from(which) % self.open.len().max(1)).copied();
        let Some(number) = number.filter(|number| self.open.remove(number).is_some()) else { return vec![] };
        self.host.round(|r| r.client_disconnected(&format!("q{number}")))
    }

    fn update_endpoint(&mut self, node: u8, state: u8, started: u8) -> Vec<String> {
        let state = [NodeState::Serving, NodeState::Draining, NodeState::Removed][usize::from(state) % 3];
        let started_at_s = (started % 2 == 1).then(|| self.host.now - f64::from(started) * 0.1);
        self.states.insert(node_id(node), state);
        self.host.update_endpoint(&node_id(node), u32::from(node % NODES), state, started_at_s)
    }

    fn replace_list(&mut self, listed: u8) -> Vec<String> {
        let is_listed = |node: &u8| listed & (1 << node) != 0;
        self.states = (0..NODES).filter(is_listed).map(|node| (node_id(node), NodeState::Serving)).collect();
        self.host.round(|r| {
            r.endpoint_list_replaced();
            for node in (0..NODES).filter(is_listed) {
                r.endpoint_updated(&node_id(node), u32::from(node), NodeState::Serving, None);
            }
        })
    }

    /// Checks that decisions are allowed, and applies them to the host's records.
    fn check_and_apply_decisions(&mut self, decisions: &[String]) -> Result<(), TestCaseError> {
        for decision in decisions {
            let words: Vec<&str> = decision.split(' ').collect();
            match words[..] {
                ["attempt", request, node] => self.check_attempt(request, node)?,
                ["cancel", request, attempt] => {
                    let attempt: usize = attempt.parse().expect("a number");
                    self.in_flight.remove(&(request.to_string(), attempt));
                }
                ["answer" | "reject" | "fail", query, _] | ["fail", query] => {
                    let number: u64 = query[1..].parse().expect("a number");
                    prop_assert!(self.open.remove(&number).is_some(), "a second response: {}", decision);
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_attempt(&mut self, request: &str, node: &str) -> Result<(), TestCaseError> {
        prop_assert_eq!(
            self.states.get(node),
            Some(&NodeState::Serving),
            "an attempt to {}, which is not serving",
            node
        );
        let now = self.host.now;
        let owner = self.open.iter_mut().find(|(_, query)| query.requests.contains_key(request));
        let (&number, query) = owner
            .ok_or_else(|| TestCaseError::fail(format!("an attempt of an unknown request: {request}")))?;
        let effects = query.requests.entry(request.to_string()).or_default();
        let repeats_effect = query.non_idempotent && effects.contains(&true);
        prop_assert!(!repeats_effect, "a second effect of {}", request);
        let attempt = effects.len();
        effects.push(true);
        let in_flight = InFlight { query: number, node: node.to_string(), started_at: now };
        self.in_flight.insert((request.to_string(), attempt), in_flight);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150, rng_seed: RngSeed::Fixed(5701), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against a panic or a lost query if an event refers to a query, shard request or node that an
    /// earlier event removed.
    #[test]
    fn events_in_any_order_leave_every_query_with_one_final_response(
        can_hedge in any::<bool>(),
        can_cancel in any::<bool>(),
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut run = Run::new(can_hedge, can_cancel);
        for event in &events {
            run.play(event)?;
        }
        run.wait(AFTER_ALL_DEADLINES_S)?;
        prop_assert!(run.open.is_empty(), "{} queries without a response", run.open.len());
    }
}
