//! State across changes of the configuration while queries are open. A slot is the index of a query class in
//! the policy.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

fn config(change: impl FnOnce(&mut Deployment)) -> PolicyConfig {
    Deployment::with(change).policy_config()
}

/// Argument of `change_config` if the only query class has changed: the class gets the new slot 1.
const CHANGED: [ClassSlot; 1] = [ClassSlot { slot: 1, previous_slot: Some(0) }];
/// Argument of `change_config` if the only query class has not changed: the class keeps slot 0.
const UNCHANGED: [ClassSlot; 1] = [ClassSlot { slot: 0, previous_slot: Some(0) }];

fn query_class(host: &mut Host, n: u64, class: usize, shards: &[u32]) -> Vec<String> {
    let not_after = host.now + 6.0;
    host.query_of_class(n, class, shards, not_after, "")
}

/// Runs twenty queries, each for a different shard. The data nodes answer the shard requests after `latency`
/// seconds.
fn answer_twenty_queries(host: &mut Host, class: usize, latency: f64) {
    for n in 0..20 {
        let node = last_node(&query_class(host, n, class, &[20 + n as u32]), &format!("p{n}.0"));
        host.wait(latency);
        host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, latency);
    }
}

/// Delivers a query with one shard request, then disconnects its client. Returns whether the policy rejected
/// the query on arrival.
fn is_rejected(host: &mut Host, n: u64, class: usize, tenant: &str) -> bool {
    host.now += 0.001;
    let not_after = host.now + 6.0;
    let decisions = host.round(|r| {
        r.query_arrived(n, &format!("q{n}"), class, tenant, not_after);
        r.shard_request_added(n, &format!("p{n}.0"), 0, 1.0);
    });
    host.round(|r| r.client_disconnected(&format!("q{n}")));
    if !attempts(&decisions).is_empty() {
        let node = last_node(&decisions, &format!("p{n}.0"));
        host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Cancelled, 0.0);
    }
    decisions.iter().any(|note| note.starts_with("reject"))
}

#[rstest]
fn an_open_query_keeps_its_objective_and_minimum_fraction_and_a_new_one_gets_the_new_ones() {
    let mut host = Host::with(|d| (d.class.minimum_fraction, d.capabilities.can_hedge) = (0.5, false));
    query_class(&mut host, 0, 0, &[0, 1]);
    let node = last_node(&host.decisions, "p0.0");
    host.attempt_ended("p0.0", 0, &node, AttemptOutcome::Success, 0.0);
    let new = config(|d| {
        (d.class.latency_objective_s, d.class.minimum_fraction, d.capabilities.can_hedge) = (4.0, 1.0, false)
    });
    host.round(|r| r.change_config(&new, &CHANGED));
    query_class(&mut host, 1, 1, &[0, 1]);
    let node = last_node(&host.decisions, "p1.0");
    host.attempt_ended("p1.0", 0, &node, AttemptOutcome::Success, 0.0);
    // The first query is answered just before its latency objective of 2 s. The second query has an objective
    // of 4 s and needs a complete answer.
    assert!(host.wait(1.9).iter().all(|n| !n.starts_with("answer")));
    assert!(host.wait(0.1).contains(&"answer q0 partial".into()));
    assert!(host.wait(3.0).iter().all(|n| !n.starts_with("answer")));
}

#[rstest]
fn an_open_query_keeps_its_idempotency_when_that_of_its_class_changes() {
    let non_idempotent = |d: &mut Deployment| d.class.idempotency = Idempotency::NonIdempotent;
    let mut one = Host::with(non_idempotent);
    query_class(&mut one, 0, 0, &[0]);
    one.round(|r| r.change_config(&config(|_| ()), &CHANGED));
    query_class(&mut one, 1, 1, &[0]);
    let (old, new) = (last_node(&one.decisions, "p0.0"), last_node(&one.decisions, "p1.0"));
    // The first query may have had an effect, so that it is not retried, and fails instead of being rejected.
    assert_eq!(one.attempt_ended("p0.0", 0, &old, AttemptOutcome::Error, 0.01), ["fail q0"]);
    assert_eq!(attempts(&one.attempt_ended("p1.0", 0, &new, AttemptOutcome::Error, 0.01)).len(), 1);
    let mut other = Host::with(|_| ());
    query_class(&mut other, 0, 0, &[0]);
    other.round(|r| r.change_config(&config(non_idempotent), &CHANGED));
    query_class(&mut other, 1, 1, &[0]);
    let (old, new) = (last_node(&other.decisions, "p0.0"), last_node(&other.decisions, "p1.0"));
    assert_eq!(attempts(&other.attempt_ended("p0.0", 0, &old, AttemptOutcome::Error, 0.01)).len(), 1);
    assert_eq!(other.attempt_ended("p1.0", 0, &new, AttemptOutcome::Error, 0.01), ["fail q1"]);
}

#[rstest]
fn a_removed_class_keeps_its_open_queries_and_its_reused_slot_starts_without_latencies() {
    let other_class =
        |latency_objective_s| vec![QueryClass { latency_objective_s, ..Deployment::default().class }];
    let mut host = Host::with(|d| (d.other_classes, d.capabilities.can_hedge) = (other_class(3.0), false));
    answer_twenty_queries(&mut host, 1, 0.8);
    query_class(&mut host, 50, 1, &[0]);
    query_class(&mut host, 51, 1, &[1]);
    host.round(|r| r.change_config(&config(|d| d.capabilities.can_hedge = false), &UNCHANGED));
    let node = last_node(&host.decisions, "p50.0");
    assert_eq!(host.attempt_ended("p50.0", 0, &node, AttemptOutcome::Success, 0.01), ["answer q50 complete"]);
    // The node does not answer the other query, which gets one final response at its client's deadline.
    host.wait(6.1);
    assert_eq!(host.count("reject q51") + host.count("answer q51"), 1, "{:?}", host.decisions);
    let node = last_node(&host.decisions, "p51.0");
    host.attempt_ended("p51.0", 0, &node, AttemptOutcome::Cancelled, 6.0);
    host.round(|r| r.class_retired(1));
    let again = config(|d| d.other_classes = other_class(2.0));
    host.round(|r| r.change_config(&again, &[UNCHANGED[0], ClassSlot { slot: 1, previous_slot: None }]));
    host.wait(60.0);
    query_class(&mut host, 52, 1, &[5]);
    assert_eq!(attempts(&host.wait(0.49)).len(), 0);
    assert_eq!(
        attempts(&host.wait(0.03)).len(),
        1,
        "a quarter of its latency objective, as without observed latencies"
    );
}

#[rstest]
fn observed_latencies_stay_with_their_class() {
    let host_with_latencies = || {
        let mut host = Host::with(|_| ());
        answer_twenty_queries(&mut host, 0, 0.4);
        host
    };
    // For a shard without latencies an attempt is late after twice the median latency, as this is more than a
    // quarter of the latency objective.
    let mut host = host_with_latencies();
    host.round(|r| r.change_config(&config(|d| d.class.priority_weight = 2.0), &CHANGED));
    query_class(&mut host, 100, 1, &[1]);
    assert_eq!(attempts(&host.wait(0.7)).len(), 0);
    assert_eq!(attempts(&host.wait(0.15)).len(), 1);
    // A query that is open during the change uses the same latencies.
    let mut host = host_with_latencies();
    query_class(&mut host, 100, 0, &[1]);
    host.round(|r| r.change_config(&config(|d| d.class.priority_weight = 2.0), &CHANGED));
    assert_eq!(attempts(&host.wait(0.7)).len(), 0);
    assert_eq!(attempts(&host.wait(0.15)).len(), 1);
}

#[rstest]
#[case::fewer(2, 0)]
#[case::more(6, 1)]
fn the_most_attempts_apply_to_open_queries_from_the_change_on(
    #[case] max_attempts: usize,
    #[case] further: usize,
) {
    let mut host = Host::with(|d| (d.capabilities.max_attempts, d.capabilities.can_hedge) = (3, false));
    query_class(&mut host, 0, 0, &[0]);
    for attempt in 0..2 {
        let node = last_node(&host.decisions, "p0.0");
        host.attempt_ended("p0.0", attempt, &node, AttemptOutcome::Error, 0.01);
    }
    host.round(|r| {
        r.change_config(
            &config(|d| (d.capabilities.max_attempts, d.capabilities.can_hedge) = (max_attempts, false)),
            &UNCHANGED,
        );
    });
    let node = last_node(&host.decisions, "p0.0");
    let decisions = host.attempt_ended("p0.0", 2, &node, AttemptOutcome::Error, 0.01);
    let decisions = [decisions, host.wait(0.5)].concat();
    assert_eq!(attempts(&decisions).len().min(1), further, "{decisions:?}");
}

/// A configuration whose latency objective makes the policy shed load, with the tenant `c` and its quota.
fn overload_config(quota_per_s: f64) -> PolicyConfig {
    let tenants = vec![Tenant { name: "c".into(), quota_per_s }];
    config(|d| (d.class.latency_objective_s, d.tenants) = (1.125, tenants))
}

#[rstest]
fn a_tenants_new_quota_applies_from_the_change_on() {
    let rejected = |quota: f64| {
        let mut host = Host::with(|d| d.tenants = overload_config(1.0).tenants);
        answer_twenty_queries(&mut host, 0, 0.45);
        host.round(|r| r.change_config(&overload_config(quota), &CHANGED));
        (100..500).filter(|n| is_rejected(&mut host, *n, 1, "c")).count()
    };
    let (within, beyond) = (rejected(1e6), rejected(1.0));
    assert!(beyond > within + 20, "{within} rejected within the quota, {beyond} beyond it");
}

#[rstest]
fn a_change_neither_removes_nor_adds_tokens_of_a_tenant() {
    let rejections = |changes: bool| {
        let mut host = Host::with(|d| d.tenants = overload_config(1.0).tenants);
        answer_twenty_queries(&mut host, 0, 0.45);
        host.round(|r| r.change_config(&overload_config(1.0), &CHANGED));
        let rejections = (100..200).map(|n| {
            let unchanged = [ClassSlot { slot: 1, previous_slot: Some(1) }];
            host.round(|r| {
                if changes {
                    r.change_config(&overload_config(1.0), &unchanged)
                }
            });
            is_rejected(&mut host, n, 1, "c")
        });
        rejections.collect::<Vec<bool>>()
    };
    assert_eq!(rejections(true), rejections(false));
}

#[rstest]
fn a_new_slow_start_rule_applies_to_a_whole_window_from_the_change_on() {
    let sent = |host: &mut Host, from: u64| {
        let attempts_of = |n| {
            host.now += 0.001;
            attempts(&query_class(host, n, 0, &[0])).len()
        };
        (from..from + 60).map(attempts_of).sum::<usize>()
    };
    let mut host = Host::with(|d| (d.slow_start, d.node_count, d.router_count) = (None, 0, 1));
    let now = host.now;
    host.update_endpoint("n0", 0, NodeState::Serving, Some(now - 1.0));
    let before = sent(&mut host, 0);
    assert!(before > 3, "{before}: as many as the concurrency limit allows");
    for n in 0..60 {
        host.round(|r| r.client_disconnected(&format!("q{n}")));
        host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.01);
    }
    let rule =
        SlowStartConfig { initial_fraction: 0.2, warm_up_s: 16.0, capacity_multiple: 2.5, window_s: 1.5 };
    host.round(|r| {
        r.change_config(&config(|d| (d.slow_start, d.router_count) = (Some(rule), 1)), &UNCHANGED)
    });
    assert_eq!(
        sent(&mut host, 100),
        0,
        "the unrecorded work of the window before the change counts as the whole quota"
    );
    (100..160).for_each(|n| drop(host.round(|r| r.client_disconnected(&format!("q{n}")))));
    host.wait(1.6);
    let after = sent(&mut host, 200);
    assert!(after > 0, "the node gets requests again after the window");
}

#[rstest]
fn with_more_routers_each_sends_less_to_a_warming_node() {
    let sent = |router_count: usize| {
        let mut host = Host::with(|d| (d.node_count, d.router_count) = (0, 1));
        host.round(|r| r.change_config(&config(|d| d.router_count = router_count), &UNCHANGED));
        let now = host.now;
        host.update_endpoint("n0", 0, NodeState::Serving, Some(now - 1.0));
        // Successful requests raise the node's concurrency limit, so that only the slow-start rule limits the
        // number.
        let mut sent = 0;
        for n in 0..200 {
            let started = attempts(&query_class(&mut host, n, 0, &[0])).len();
            sent += started;
            host.now += 0.005;
            if started > 0 {
                host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.005);
            }
            host.round(|r| r.client_disconnected(&format!("q{n}")));
        }
        sent
    };
    let (one, four) = (sent(1), sent(4));
    assert!(four > 0 && 2 * four < one, "{one} from a single router, {four} from one of four");
}

/// A change of the configuration to a retry budget of `burst` tokens, to which shard requests add no tokens.
fn budget(burst: f64) -> impl Fn(&mut Deployment) {
    move |d| (d.retry_budget, d.capabilities.max_attempts) = (Some(RetryBudget { burst, ratio: 0.0 }), 20)
}

/// Delivers a shard request that every node rejects. Returns the number of its attempts after the first one.
fn further_attempts(host: &mut Host, n: u64) -> usize {
    let mut decisions = query_class(host, n, 0, &[0]);
    let mut attempt = 0;
    while !attempts(&decisions).is_empty() {
        let node = last_node(&decisions, &format!("p{n}.0"));
        decisions = host.attempt_ended(&format!("p{n}.0"), attempt, &node, AttemptOutcome::Rejected, 0.001);
        attempt += 1;
        host.now += 1.0;
        decisions.extend(host.round(|_| ()));
    }
    host.round(|r| r.client_disconnected(&format!("q{n}")));
    attempt.saturating_sub(1)
}

#[rstest]
#[case::raised(2.0, 5.0, 0, 2)]
#[case::lowered(5.0, 2.0, 0, 2)]
#[case::raised_after_one(2.0, 5.0, 1, 1)]
#[case::lowered_after_one(5.0, 2.0, 1, 1)]
#[case::lowered_after_more_than_is_left(5.0, 2.0, 3, 0)]
fn across_a_change_the_retry_budget_is_the_smaller_one(
    #[case] before: f64,
    #[case] after: f64,
    #[case] spent: u64,
    #[case] left: usize,
) {
    let mut host = Host::with(budget(before));
    let limits = SharedLimits::new(1);
    host.use_shared_limits(limits.clone());
    (0..spent).for_each(|_| assert!(limits.try_withdraw()));
    host.round(|r| r.change_config(&config(budget(after)), &UNCHANGED));
    let attempts: usize = (0..8).map(|n| further_attempts(&mut host, n)).sum();
    assert_eq!(attempts, left);
}

#[rstest]
fn a_first_retry_budget_applies_from_the_change_on() {
    let mut host = Host::with(|d| d.capabilities.max_attempts = 20);
    host.round(|r| r.change_config(&config(budget(2.0)), &UNCHANGED));
    assert_eq!((0..8).map(|n| further_attempts(&mut host, n)).sum::<usize>(), 2);
}

#[rstest]
fn several_cores_adjust_their_bucket_to_a_new_capacity_once() {
    let limits = SharedLimits::new(3);
    let core = |at: u8| {
        let mut core = Host::with(budget(9.0));
        core.use_shared_limits(limits.for_core(at));
        core
    };
    let mut cores = [core(0), core(1), core(2)];
    assert!(limits.try_withdraw() && limits.try_withdraw());
    for core in &mut cores {
        core.round(|r| r.change_config(&config(budget(6.0)), &UNCHANGED));
        assert_eq!(limits.tokens(), 4.0);
    }
    // A core that restarts with the new configuration adds no tokens. A deposit by the core with the old
    // configuration does not exceed the new capacity.
    core(1).round(|r| r.change_config(&config(budget(6.0)), &UNCHANGED));
    limits.deposit(20.0, 9.0);
    assert!(limits.tokens() <= 6.0, "{}", limits.tokens());
}
