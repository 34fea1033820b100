//! Property test: for any order of configuration changes, queries, ended attempts and timers, no query is
//! lost, and each query keeps the latency objective, the idempotency, and the minimum fraction of its weight
//! that its class had on the query's arrival. A slot is the index of a query class in the policy; a round is
//! one call of `Policy::round`.

mod common;
use alderway::interface::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

/// Number of steps of the policy's timer that take longer than any deadline.
const STEPS_AFTER_ALL_DEADLINES: usize = 700;
const STEP_S: f64 = 0.01;
/// Highest capacity of the retry budget's bucket, in tokens.
const TOKENS_MAX: f64 = 40.0;
/// Highest number of tokens that a shard request adds to the retry budget.
const TOKENS_PER_REQUEST_MAX: f64 = 0.1;

#[derive(Clone, Debug)]
enum Event {
    /// Publishes the configuration that `config_of` returns. Each core applies it at a later `Apply`.
    Change {
        objective: u8,
        allows_partial_answers: bool,
        idempotency: u8,
        burst: u8,
        ratio: u8,
        removes_class: bool,
        max_attempts: u8,
        router_count: u8,
    },
    Apply(u8),
    Query {
        core: u8,
        class: u8,
        request_count: u8,
    },
    /// Ends one of the attempts in flight.
    AttemptEnds {
        which: u16,
        outcome: u8,
    },
    Disconnected(u16),
    Wait(u8),
}

fn event() -> impl Strategy<Value = Event> {
    let change = (any::<[u8; 4]>(), any::<(bool, bool)>(), any::<[u8; 2]>()).prop_map(
        |(a, (allows_partial_answers, removes_class), b)| Event::Change {
            objective: a[0],
            allows_partial_answers,
            idempotency: a[1],
            burst: a[2],
            ratio: a[3],
            removes_class,
            max_attempts: b[0],
            router_count: b[1],
        },
    );
    prop_oneof![
        2 => change,
        4 => any::<u8>().prop_map(Event::Apply),
        8 => any::<[u8; 3]>()
            .prop_map(|a| Event::Query { core: a[0], class: a[1], request_count: a[2] % 5 + 1 }),
        12 => any::<(u16, u8)>().prop_map(|(which, outcome)| Event::AttemptEnds { which, outcome }),
        1 => any::<u16>().prop_map(Event::Disconnected),
        8 => any::<u8>().prop_map(|steps| Event::Wait(steps % 60 + 1)),
    ]
}

/// An open query with its core, its query class as of its arrival, and the slot of that class.
struct OpenQuery {
    core: usize,
    class: QueryClass,
    slot: usize,
    objective_at: f64,
    not_after: f64,
    succeeded: usize,
    request_count: usize,
    /// Ids of shard requests with an attempt that may have had an effect.
    possible_effects: BTreeSet<String>,
}

/// An attempt in flight.
struct InFlight {
    query: u64,
    core: usize,
    node: String,
    started_at: f64,
}

/// A window of time from one of the test's events on, for which the limit on retries and hedges is checked.
struct BudgetWindow {
    /// The smallest `burst` of all retry budgets in use during this window, in tokens.
    burst: f64,
    /// Number of tokens that the shard requests of this window added to the retry budget.
    added: f64,
    /// Number of retries and hedges that started in this window.
    attempts: f64,
}

/// A core, with the slots of its query classes as a host assigns them.
struct Core {
    host: Host,
    config: PolicyConfig,
    /// The slots of the classes of `config`.
    current_slots: Vec<usize>,
    /// For each slot in use, its query class and the number of open queries.
    classes: BTreeMap<usize, (QueryClass, usize)>,
    /// Slots whose class has been replaced or removed and that may have open queries.
    replaced_slots: BTreeSet<usize>,
    /// Published configurations that have not been applied yet.
    pending_configs: Vec<PolicyConfig>,
    /// Slots that have no open queries. In the next round, the test calls `class_retired` for each of these
    /// slots.
    retired_slots: Vec<usize>,
}

impl Core {
    fn apply(&mut self, config: PolicyConfig) -> Vec<String> {
        let mut slots = vec![];
        for (index, class) in config.query_classes.iter().enumerate() {
            let previous_slot = self.current_slots.get(index).copied();
            let unchanged_slot = previous_slot.filter(|slot| self.classes[slot].0 == *class);
            let is_used = |slot: &usize| self.classes.contains_key(slot) || self.retired_slots.contains(slot);
            let slot = unchanged_slot.or_else(|| (0..).find(|slot| !is_used(slot))).expect("a free slot");
            self.classes.entry(slot).or_insert((class.clone(), 0));
            slots.push(ClassSlot { slot, previous_slot });
        }
        let current_slots: Vec<usize> = slots.iter().map(|class| class.slot).collect();
        self.replaced_slots.extend(self.current_slots.iter().filter(|slot| !current_slots.contains(slot)));
        self.current_slots = current_slots;
        self.config = config;
        let config = &self.config;
        self.host.round(|r| r.change_config(config, &slots))
    }

    /// Marks replaced slots without open queries as retired.
    fn retire_slots(&mut self) {
        let retired: Vec<usize> =
            self.replaced_slots.iter().copied().filter(|slot| self.classes[slot].1 == 0).collect();
        for slot in retired {
            self.replaced_slots.remove(&slot);
            self.classes.remove(&slot);
            self.retired_slots.push(slot);
        }
    }

    fn query_ended(&mut self, slot: usize) {
        self.classes.get_mut(&slot).expect("a slot in use").1 -= 1;
    }
}

/// The configuration of a `Change`.
fn config_of(event: &Event) -> Option<PolicyConfig> {
    let Event::Change {
        objective,
        allows_partial_answers,
        idempotency,
        burst,
        ratio,
        removes_class,
        max_attempts,
        router_count,
    } = event
    else {
        return None;
    };
    let deployment = Deployment::with(|d| {
        d.class.latency_objective_s = 0.5 + f64::from(objective % 4) * 0.5;
        d.class.minimum_fraction = if *allows_partial_answers { 0.4 } else { 1.0 };
        d.class.idempotency = match idempotency % 3 {
            0 => Idempotency::Idempotent,
            1 => Idempotency::NonIdempotent,
            _ => Idempotency::IdempotentWithKey { window_s: 1.0 },
        };
        d.other_classes = if *removes_class { vec![] } else { vec![Deployment::default().class] };
        d.retry_budget =
            Some(RetryBudget { burst: f64::from(burst % 6), ratio: f64::from(ratio % 3) * 0.05 });
        (d.capabilities.max_attempts, d.router_count) =
            (usize::from(max_attempts % 4) + 1, usize::from(router_count % 4) + 1);
    });
    Some(deployment.policy_config())
}

fn burst_of(config: &PolicyConfig) -> f64 {
    config.retry_budget.expect("a retry budget").burst
}

fn initial_config() -> PolicyConfig {
    config_of(&Event::Change {
        objective: 3,
        allows_partial_answers: true,
        idempotency: 0,
        burst: 5,
        ratio: 1,
        removes_class: false,
        max_attempts: 3,
        router_count: 1,
    })
    .expect("the configuration of a change")
}

fn new_core(config: &PolicyConfig, limits: SharedLimits) -> Core {
    let mut host = Host::new(Deployment {
        class: config.query_classes[0].clone(),
        other_classes: config.query_classes[1..].to_vec(),
        router_count: config.router_count,
        capabilities: config.capabilities,
        retry_budget: config.retry_budget,
        ..Deployment::default()
    });
    host.use_shared_limits(limits);
    Core {
        host,
        config: config.clone(),
        current_slots: (0..config.query_classes.len()).collect(),
        classes: config.query_classes.iter().cloned().map(|class| (class, 0)).enumerate().collect(),
        replaced_slots: BTreeSet::new(),
        pending_configs: vec![],
        retired_slots: vec![],
    }
}

fn play(core_count: usize, events: &[Event]) -> Result<(), TestCaseError> {
    let limits = SharedLimits::new(core_count);
    let initial = initial_config();
    let mut cores: Vec<Core> =
        (0..core_count).map(|core| new_core(&initial, limits.for_core(core as u8))).collect();
    let (mut open, mut last_query): (BTreeMap<u64, OpenQuery>, u64) = (BTreeMap::new(), 0);
    let mut in_flight: BTreeMap<(String, usize), InFlight> = BTreeMap::new();
    let mut attempt_counts: BTreeMap<String, usize> = BTreeMap::new();
    let mut windows: Vec<BudgetWindow> = vec![];
    let mut burst = burst_of(&initial);
    let final_events = [Event::Apply(0), Event::Wait(0)];
    let mut now = 100.0;
    let events = events.iter().cloned().chain(final_events);
    for (step, event) in events.enumerate() {
        let is_last = step > 0 && matches!(event, Event::Wait(0));
        windows.push(BudgetWindow { burst, added: 0.0, attempts: 0.0 });
        let mut decisions: Vec<(usize, f64, Vec<String>)> = vec![];
        match &event {
            Event::Change { .. } => {
                let config = config_of(&event).expect("the configuration of a change");
                cores.iter_mut().for_each(|core| core.pending_configs.push(config.clone()));
            }
            &Event::Apply(core) => {
                let index = usize::from(core) % core_count;
                let core = &mut cores[index];
                // A core with several pending configurations applies only the newest one.
                if let Some(config) = core.pending_configs.pop() {
                    core.pending_configs.clear();
                    core.host.now = now;
                    burst = burst_of(&config);
                    windows.iter_mut().for_each(|window| window.burst = window.burst.min(burst));
                    decisions.push((index, now, core.apply(config)));
                }
            }
            Event::Query { core, class, request_count } => {
                let index = usize::from(*core) % core_count;
                let core = &mut cores[index];
                core.host.now = now;
                let slot = core.current_slots[usize::from(*class) % core.current_slots.len()];
                let (class, open_queries) = core.classes.get_mut(&slot).expect("a slot in use");
                *open_queries += 1;
                last_query += 1;
                let (n, request_count) = (last_query, usize::from(*request_count));
                let not_after = now + class.deadline_s;
                let query = OpenQuery {
                    core: index,
                    class: class.clone(),
                    slot,
                    objective_at: now + class.latency_objective_s,
                    not_after,
                    succeeded: 0,
                    request_count,
                    possible_effects: BTreeSet::new(),
                };
                open.insert(n, query);
                let ratio = core.config.retry_budget.expect("a retry budget").ratio;
                let added = ratio.min(TOKENS_PER_REQUEST_MAX) * request_count as f64;
                windows.iter_mut().for_each(|window| window.added += added);
                let made = core.host.round(|r| {
                    r.query_arrived(n, &format!("q{n}"), slot, "", not_after);
                    for shard in 0..request_count as u32 {
                        let weight = 1.0 / request_count as f64;
                        r.shard_request_added(n, &format!("p{n}.{shard}"), shard, weight);
                    }
                });
                decisions.push((index, now, made));
            }
            Event::AttemptEnds { which, outcome } => {
                let key = in_flight.keys().nth(usize::from(*which) % in_flight.len().max(1)).cloned();
                if let Some((key, attempt)) = key.and_then(|key| in_flight.remove_entry(&key)) {
                    let outcome = [
                        AttemptOutcome::Success,
                        AttemptOutcome::Success,
                        AttemptOutcome::Rejected,
                        AttemptOutcome::Error,
                        AttemptOutcome::Unreachable,
                    ][usize::from(*outcome) % 5];
                    if let Some(query) = open.get_mut(&attempt.query) {
                        query.succeeded += usize::from(outcome == AttemptOutcome::Success);
                        if !outcome.had_no_effect() {
                            query.possible_effects.insert(key.0.clone());
                        }
                    }
                    let host = &mut cores[attempt.core].host;
                    host.now = now;
                    let latency = now - attempt.started_at;
                    let made = host.attempt_ended(&key.0, key.1, &attempt.node, outcome, latency);
                    decisions.push((attempt.core, now, made));
                }
            }
            Event::Disconnected(which) => {
                let n = open.keys().nth(usize::from(*which) % open.len().max(1)).copied();
                if let Some((n, query)) = n.and_then(|n| open.remove_entry(&n)) {
                    let core = &mut cores[query.core];
                    core.host.now = now;
                    core.query_ended(query.slot);
                    let made = core.host.round(|r| r.client_disconnected(&format!("q{n}")));
                    decisions.push((query.core, now, made));
                }
            }
            Event::Wait(steps) => {
                for _ in 0..if is_last { STEPS_AFTER_ALL_DEADLINES } else { usize::from(*steps) } {
                    now += STEP_S;
                    for (index, core) in cores.iter_mut().enumerate() {
                        core.host.now = now;
                        let retired_slots = std::mem::take(&mut core.retired_slots);
                        let made = core.host.round(|r| {
                            retired_slots.iter().for_each(|slot| r.class_retired(*slot));
                            r.timer_fired(1);
                        });
                        decisions.push((index, now, made));
                    }
                }
            }
        }
        let decisions = decisions.into_iter().flat_map(|(core, at, decisions)| {
            decisions.into_iter().map(move |decision| (core, at, decision))
        });
        for (core, at, decision) in decisions {
            let words: Vec<&str> = decision.split(' ').collect();
            let query_number =
                |id: &str| id[1..].split('.').next().and_then(|n| n.parse::<u64>().ok()).expect("a number");
            match words[0] {
                "attempt" => {
                    let (n, request) = (query_number(words[1]), words[1]);
                    let attempt = *attempt_counts.get(request).unwrap_or(&0);
                    attempt_counts.insert(request.into(), attempt + 1);
                    let started = InFlight { query: n, core, node: words[2].into(), started_at: at };
                    in_flight.insert((request.into(), attempt), started);
                    let query =
                        open.get(&n).ok_or_else(|| TestCaseError::fail("an attempt of no open query"))?;
                    if attempt > 0 {
                        prop_assert!(
                            query.class.idempotency != Idempotency::NonIdempotent
                                || !query.possible_effects.contains(request),
                            "a second effect: {}",
                            decision
                        );
                        for BudgetWindow { burst, added, attempts } in &mut windows {
                            *attempts += 1.0;
                            let is_within = *attempts <= *burst + *added + 1e-6;
                            prop_assert!(is_within, "{} attempts of {} and {} added", attempts, burst, added);
                        }
                    }
                }
                "cancel" => {
                    in_flight.remove(&(words[1].into(), words[2].parse().expect("an attempt")));
                }
                "answer" | "reject" | "fail" => {
                    let ended = open.remove(&query_number(words[1]));
                    let query = ended.ok_or_else(|| TestCaseError::fail("a second response"))?;
                    cores[core].query_ended(query.slot);
                    prop_assert!(at <= query.not_after + 1e-6, "after its deadline: {}", decision);
                    let fraction = query.succeeded as f64 / query.request_count as f64;
                    if words[0] == "answer" {
                        prop_assert!(
                            fraction >= query.class.minimum_fraction - 1e-3,
                            "below its minimum fraction: {}",
                            decision
                        );
                        let is_early = fraction < 1.0 - 1e-3 && at < query.objective_at - 0.05;
                        prop_assert!(!is_early, "partial before its objective: {}", decision);
                    }
                    let may_fail = query.class.idempotency == Idempotency::NonIdempotent;
                    prop_assert!(words[0] != "fail" || may_fail, "a failure of a query that may be retried");
                }
                _ => {}
            }
        }
        for core in &mut cores {
            core.host.now = now;
            core.retire_slots();
            let needed = core.current_slots.len() + core.replaced_slots.len();
            let used = core.classes.len();
            prop_assert!(used <= needed, "{} slots in use, {} needed", used, needed);
        }
        prop_assert!(limits.tokens() <= TOKENS_MAX);
    }
    prop_assert!(open.is_empty(), "{} queries without a response", open.len());
    prop_assert!(cores.iter().all(|core| core.replaced_slots.is_empty()), "slots that were not retired");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100, rng_seed: RngSeed::Fixed(2612), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn changes_in_any_order_lose_no_query_and_keep_the_terms_of_open_ones(
        core_count in 1usize..4,
        events in prop::collection::vec(event(), 1..120),
    ) {
        play(core_count, &events)?;
    }
}
