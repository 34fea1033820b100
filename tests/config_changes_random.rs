//! A property of any order of configuration changes, queries, ended attempts and timers: no query is lost, and each keeps
//! what it was admitted with.

mod common;
use alderway::interface::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Event {
    /// Settings are offered_config; the cores come to them one after the other, in this order, by `Apply`.
    Change {
        slo: u8,
        floor: bool,
        effect: u8,
        free: u8,
        ratio: u8,
        gone: bool,
        calls: u8,
        router_count: u8,
    },
    Apply(u8),
    Query {
        core: u8,
        class: u8,
        parts: u8,
    },
    /// One of the attempts that are out ends.
    AttemptEnds {
        which: u16,
        how: u8,
    },
    Disconnected(u16),
    Wait(u8),
}

fn event() -> impl Strategy<Value = Event> {
    let change =
        (any::<[u8; 4]>(), any::<(bool, bool)>(), any::<[u8; 2]>()).prop_map(|(a, (floor, gone), b)| {
            Event::Change {
                slo: a[0],
                floor,
                effect: a[1],
                free: a[2],
                ratio: a[3],
                gone,
                calls: b[0],
                router_count: b[1],
            }
        });
    prop_oneof![
        2 => change,
        4 => any::<u8>().prop_map(Event::Apply),
        8 => any::<[u8; 3]>().prop_map(|a| Event::Query { core: a[0], class: a[1], parts: a[2] % 5 + 1 }),
        12 => any::<(u16, u8)>().prop_map(|(which, how)| Event::AttemptEnds { which, how }),
        1 => any::<u16>().prop_map(Event::Disconnected),
        8 => any::<u8>().prop_map(|steps| Event::Wait(steps % 60 + 1)),
    ]
}

/// What the property knows of an open query: its core, its class's config when it was taken, and until when.
struct Open {
    core: usize,
    class: QueryClass,
    objective_at: f64,
    not_after: f64,
    succeeded: usize,
    parts: usize,
    ran: BTreeSet<String>,
}

/// A core with the places of its two classes, as a desk keeps them.
struct Core {
    host: Host,
    config: PolicyConfig,
    current: Vec<usize>,
    of: BTreeMap<usize, (QueryClass, usize)>,
    left: BTreeSet<usize>,
    not_applied: Vec<PolicyConfig>,
    over: Vec<usize>,
}

impl Core {
    fn apply(&mut self, new: PolicyConfig) -> Vec<String> {
        let mut placed = vec![];
        for (i, class) in new.query_classes.iter().enumerate() {
            let follows = self.current.get(i).copied();
            let stays = follows.filter(|at| self.of[at].0 == *class);
            let used = |at: &usize| self.of.contains_key(at) || self.over.contains(at);
            let at = stays.or_else(|| (0..).find(|at| !used(at))).expect("one is free");
            self.of.entry(at).or_insert((class.clone(), 0));
            placed.push(ClassSlot { slot: at, previous_slot: follows });
        }
        let current: Vec<usize> = placed.iter().map(|p| p.slot).collect();
        self.left.extend(self.current.iter().filter(|at| !current.contains(at)));
        self.current = current;
        self.config = new;
        let config = &self.config;
        self.host.round(|r| r.change_config(config, &placed))
    }

    fn forget(&mut self) {
        let over: Vec<usize> = self.left.iter().copied().filter(|at| self.of[at].1 == 0).collect();
        for at in over {
            self.left.remove(&at);
            self.of.remove(&at);
            // With the next round, as a desk tells it.
            self.over.push(at);
        }
    }
}

fn offered_config(event: &Event) -> Option<PolicyConfig> {
    let Event::Change { slo, floor, effect, free, ratio, gone, calls, router_count } = event else {
        return None;
    };
    let deployment = Deployment::with(|d| {
        d.class.latency_objective_s = 0.5 + f64::from(slo % 4) * 0.5;
        d.class.minimum_fraction = if *floor { 0.4 } else { 1.0 };
        d.class.idempotency = match effect % 3 {
            0 => Idempotency::Idempotent,
            1 => Idempotency::NonIdempotent,
            _ => Idempotency::IdempotentWithKey { window_s: 1.0 },
        };
        d.other_classes = if *gone { vec![] } else { vec![Deployment::default().class] };
        d.retry_budget = Some(RetryBudget { burst: f64::from(free % 6), ratio: f64::from(ratio % 3) * 0.05 });
        (d.capabilities.max_attempts, d.router_count) =
            (usize::from(calls % 4) + 1, usize::from(router_count % 4) + 1);
    });
    Some(deployment.policy_config())
}

fn play(cores: usize, events: &[Event]) -> Result<(), TestCaseError> {
    let common = SharedLimits::new(cores);
    let first = offered_config(&Event::Change {
        slo: 3,
        floor: true,
        effect: 0,
        free: 5,
        ratio: 1,
        gone: false,
        calls: 3,
        router_count: 1,
    })
    .expect("terms");
    let deployment = || Deployment {
        class: first.query_classes[0].clone(),
        other_classes: first.query_classes[1..].to_vec(),
        router_count: first.router_count,
        capabilities: first.capabilities,
        retry_budget: first.retry_budget,
        ..Deployment::default()
    };
    let mut all: Vec<Core> = (0..cores)
        .map(|core| {
            let mut host = Host::new(deployment());
            host.use_shared_limits(common.for_core(core as u8));
            let of = first.query_classes.iter().cloned().enumerate().map(|(at, v)| (at, (v, 0))).collect();
            let (config, current) = (first.clone(), (0..first.query_classes.len()).collect());
            Core { host, config, current, of, left: BTreeSet::new(), not_applied: vec![], over: vec![] }
        })
        .collect();
    let (mut open, mut last): (BTreeMap<u64, (Open, usize)>, u64) = (BTreeMap::new(), 0);
    let mut out: BTreeMap<(String, usize), (u64, usize, String, f64)> = BTreeMap::new();
    let mut hops: BTreeMap<String, usize> = BTreeMap::new();
    // For every window that began at one of the events so far: the least that was free in it, what its requests have
    // earned, and the attempts past first ones that it has seen.
    let mut windows: Vec<(f64, f64, f64)> = vec![];
    let mut free = first.retry_budget.expect("stated").burst;
    let closing = [Event::Apply(0), Event::Wait(0)];
    let mut now = 100.0;
    let events = events.iter().cloned().chain(closing);
    for (step, what) in events.enumerate() {
        let ended = step > 0 && matches!(what, Event::Wait(0));
        windows.push((free, 0.0, 0.0));
        let mut decisions: Vec<(usize, f64, Vec<String>)> = vec![];
        match &what {
            Event::Change { .. } => {
                let new = offered_config(&what).expect("terms");
                all.iter_mut().for_each(|core| core.not_applied.push(new.clone()));
            }
            &Event::Apply(at) => {
                let core = &mut all[usize::from(at) % cores];
                // A core that comes to them late comes to the current at once.
                if let Some(new) = core.not_applied.pop() {
                    core.not_applied.clear();
                    core.host.now = now;
                    free = new.retry_budget.expect("stated").burst;
                    windows.iter_mut().for_each(|w| w.0 = w.0.min(free));
                    let shared = core.apply(new);
                    decisions.push((usize::from(at) % cores, now, shared));
                }
            }
            Event::Query { core, class, parts } => {
                let at = usize::from(*core) % cores;
                let core = &mut all[at];
                core.host.now = now;
                let place = core.current[usize::from(*class) % core.current.len()];
                let (class, count) = core.of.get_mut(&place).expect("it is there");
                *count += 1;
                last += 1;
                let (n, parts, not_after) = (last, usize::from(*parts), now + class.deadline_s);
                let objective_at = now + class.latency_objective_s;
                let (class, succeeded) = (class.clone(), 0);
                let ran = BTreeSet::new();
                open.insert(
                    n,
                    (Open { core: at, class, objective_at, not_after, succeeded, parts, ran }, place),
                );
                let ratio = core.config.retry_budget.expect("stated").ratio.min(0.1);
                windows.iter_mut().for_each(|w| w.1 += ratio * parts as f64);
                let shards: Vec<u32> = (0..parts as u32).collect();
                let shared = core.host.round(|r| {
                    r.query_arrived(n, &format!("q{n}"), place, "", not_after);
                    for shard in &shards {
                        r.shard_request_added(n, &format!("p{n}.{shard}"), *shard, 1.0 / parts as f64);
                    }
                });
                decisions.push((at, now, shared));
            }
            Event::AttemptEnds { which, how } => {
                let key = out.keys().nth(usize::from(*which) % out.len().max(1)).cloned();
                if let Some((key, (n, at, node, since))) = key.and_then(|key| out.remove_entry(&key)) {
                    let outcome = [
                        AttemptOutcome::Success,
                        AttemptOutcome::Success,
                        AttemptOutcome::Rejected,
                        AttemptOutcome::Error,
                        AttemptOutcome::Unreachable,
                    ][usize::from(*how) % 5];
                    if let Some((query, _)) = open.get_mut(&n) {
                        query.succeeded += usize::from(outcome == AttemptOutcome::Success);
                        if !outcome.had_no_effect() {
                            query.ran.insert(key.0.clone());
                        }
                    }
                    all[at].host.now = now;
                    let shared = all[at].host.attempt_ended(&key.0, key.1, &node, outcome, now - since);
                    decisions.push((at, now, shared));
                }
            }
            Event::Disconnected(which) => {
                let n = open.keys().nth(usize::from(*which) % open.len().max(1)).copied();
                if let Some((n, (query, place))) = n.and_then(|n| open.remove_entry(&n)) {
                    let core = &mut all[query.core];
                    core.host.now = now;
                    core.of.get_mut(&place).expect("it is there").1 -= 1;
                    decisions.push((
                        query.core,
                        now,
                        core.host.round(|r| r.client_disconnected(&format!("q{n}"))),
                    ));
                }
            }
            Event::Wait(steps) => {
                // At the end, for longer than any deadline.
                for _ in 0..if ended { 700 } else { usize::from(*steps) } {
                    now += 0.01;
                    for (at, core) in all.iter_mut().enumerate() {
                        core.host.now = now;
                        let over = std::mem::take(&mut core.over);
                        let shared = core.host.round(|r| {
                            over.iter().for_each(|at| r.class_retired(*at));
                            r.timer_fired(1);
                        });
                        decisions.push((at, now, shared));
                    }
                }
            }
        }
        let shared = decisions
            .into_iter()
            .flat_map(|(at, now, decisions)| decisions.into_iter().map(move |n| (at, now, n)));
        for (at, now, note) in shared {
            let words: Vec<&str> = note.split(' ').collect();
            let number =
                |id: &str| id[1..].split('.').next().and_then(|n| n.parse::<u64>().ok()).expect("a number");
            match words[0] {
                "attempt" => {
                    let (n, attempt) = (number(words[1]), *hops.get(words[1]).unwrap_or(&0));
                    hops.insert(words[1].into(), attempt + 1);
                    out.insert((words[1].into(), attempt), (n, at, words[2].into(), now));
                    let query = &open.get(&n).ok_or_else(|| TestCaseError::fail("a call of nobody"))?.0;
                    if attempt > 0 {
                        let effect = query.class.idempotency;
                        prop_assert!(
                            effect != Idempotency::NonIdempotent || !query.ran.contains(words[1]),
                            "a second effect: {}",
                            note
                        );
                        for (free, earned, seen) in &mut windows {
                            *seen += 1.0;
                            let within = *seen <= *free + *earned + 1e-6;
                            prop_assert!(within, "{} of {} and {} earned", seen, free, earned);
                        }
                    }
                }
                "cancel" => {
                    out.remove(&(words[1].into(), words[2].parse().expect("a attempt")));
                }
                "answer" | "reject" | "fail" => {
                    let found = open.remove(&number(words[1]));
                    let (query, place) = found.ok_or_else(|| TestCaseError::fail("a second answer"))?;
                    all[at].of.get_mut(&place).expect("it is there").1 -= 1;
                    prop_assert!(now <= query.not_after + 1e-6, "past its deadline: {}", note);
                    let share = query.succeeded as f64 / query.parts as f64;
                    if words[0] == "answer" {
                        prop_assert!(
                            share >= query.class.minimum_fraction - 1e-3,
                            "under its floor: {}",
                            note
                        );
                        let early = share < 1.0 - 1e-3 && now < query.objective_at - 0.05;
                        prop_assert!(!early, "in part, and early: {}", note);
                    }
                    let once = query.class.idempotency == Idempotency::NonIdempotent;
                    prop_assert!(words[0] != "fail" || once, "an abort of what may be sent again");
                }
                _ => {}
            }
        }
        for core in &mut all {
            core.host.now = now;
            core.forget();
            let most = core.current.len() + core.left.len();
            prop_assert!(core.of.len() <= most, "{} places for {}", core.of.len(), most);
        }
        prop_assert!(common.tokens() <= 40.0);
    }
    prop_assert!(open.is_empty(), "{} queries without an answer", open.len());
    prop_assert!(all.iter().all(|core| core.left.is_empty()), "places left not_applied");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100, rng_seed: RngSeed::Fixed(2612), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn any_order_of_changes_loses_no_query_and_keeps_what_was_promised(
        cores in 1usize..4,
        events in prop::collection::vec(event(), 1..120),
    ) {
        play(cores, &events)?;
    }
}
