//! State across changes of the configuration while queries are open.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

fn config(change: impl FnOnce(&mut Deployment)) -> PolicyConfig {
    Deployment::with(change).policy_config()
}

/// The first class in a place of its own, 1, as a host puts one that has changed.
const MOVED: [ClassSlot; 1] = [ClassSlot { slot: 1, previous_slot: Some(0) }];
const STAYS: [ClassSlot; 1] = [ClassSlot { slot: 0, previous_slot: Some(0) }];

fn ask(host: &mut Host, n: u64, class: usize, shards: &[u32]) -> Vec<String> {
    let not_after = host.now + 6.0;
    host.query_of_class(n, class, shards, not_after, "")
}

/// Twenty queries, each of a shard that no other asks for, that are answered after `latency`.
fn warm(host: &mut Host, class: usize, latency: f64) {
    for n in 0..20 {
        let asked = last_node(&ask(host, n, class, &[20 + n as u32]), &format!("p{n}.0"));
        host.wait(latency);
        host.attempt_ended(&format!("p{n}.0"), 0, &asked, AttemptOutcome::Success, latency);
    }
}

/// A query of one request whose client leaves at once; whether it was rejected before.
fn leaves(host: &mut Host, n: u64, class: usize, tenant: &str) -> bool {
    host.now += 0.001;
    let not_after = host.now + 6.0;
    let decisions = host.round(|r| {
        r.query_arrived(n, &format!("q{n}"), class, tenant, not_after);
        r.shard_request_added(n, &format!("p{n}.0"), 0, 1.0);
    });
    host.round(|r| r.client_disconnected(&format!("q{n}")));
    if !attempts(&decisions).is_empty() {
        let asked = last_node(&decisions, &format!("p{n}.0"));
        host.attempt_ended(&format!("p{n}.0"), 0, &asked, AttemptOutcome::Cancelled, 0.0);
    }
    decisions.iter().any(|note| note.starts_with("reject"))
}

#[rstest]
fn an_open_query_keeps_its_objective_and_minimum_fraction_and_a_new_one_has_the_newest() {
    let mut host = Host::with(|d| (d.class.minimum_fraction, d.capabilities.can_hedge) = (0.5, false));
    ask(&mut host, 0, 0, &[0, 1]);
    let asked = last_node(&host.decisions, "p0.0");
    host.attempt_ended("p0.0", 0, &asked, AttemptOutcome::Success, 0.0);
    let new = config(|d| {
        (d.class.latency_objective_s, d.class.minimum_fraction, d.capabilities.can_hedge) = (4.0, 1.0, false)
    });
    host.round(|r| r.change_config(&new, &MOVED));
    ask(&mut host, 1, 1, &[0, 1]);
    let asked = last_node(&host.decisions, "p1.0");
    host.attempt_ended("p1.0", 0, &asked, AttemptOutcome::Success, 0.0);
    // Just ahead of two seconds, as it was promised; the new one has a whole answer to give, and four seconds.
    assert!(host.wait(1.9).iter().all(|n| !n.starts_with("answer")));
    assert!(host.wait(0.1).contains(&"answer q0 partial".into()));
    assert!(host.wait(3.0).iter().all(|n| !n.starts_with("answer")));
}

#[rstest]
fn an_open_query_keeps_its_idempotency_whichever_way_that_changes() {
    let once = |d: &mut Deployment| d.class.idempotency = Idempotency::NonIdempotent;
    let mut one = Host::with(once);
    ask(&mut one, 0, 0, &[0]);
    one.round(|r| r.change_config(&config(|_| ()), &MOVED));
    ask(&mut one, 1, 1, &[0]);
    let (old, new) = (last_node(&one.decisions, "p0.0"), last_node(&one.decisions, "p1.0"));
    // It may have run: never sent again, and aborted, not rejected.
    assert_eq!(one.attempt_ended("p0.0", 0, &old, AttemptOutcome::Error, 0.01), ["fail q0"]);
    assert_eq!(attempts(&one.attempt_ended("p1.0", 0, &new, AttemptOutcome::Error, 0.01)).len(), 1);
    let mut other = Host::with(|_| ());
    ask(&mut other, 0, 0, &[0]);
    other.round(|r| r.change_config(&config(once), &MOVED));
    ask(&mut other, 1, 1, &[0]);
    let (old, new) = (last_node(&other.decisions, "p0.0"), last_node(&other.decisions, "p1.0"));
    assert_eq!(attempts(&other.attempt_ended("p0.0", 0, &old, AttemptOutcome::Error, 0.01)).len(), 1);
    assert_eq!(other.attempt_ended("p1.0", 0, &new, AttemptOutcome::Error, 0.01), ["fail q1"]);
}

#[rstest]
fn a_removed_class_ends_its_open_queries_by_the_rules_and_its_slot_learns_anew() {
    let third = |slo| vec![QueryClass { latency_objective_s: slo, ..Deployment::default().class }];
    let mut host = Host::with(|d| (d.other_classes, d.capabilities.can_hedge) = (third(3.0), false));
    warm(&mut host, 1, 0.8);
    ask(&mut host, 50, 1, &[0]);
    ask(&mut host, 51, 1, &[1]);
    host.round(|r| r.change_config(&config(|d| d.capabilities.can_hedge = false), &STAYS));
    let asked = last_node(&host.decisions, "p50.0");
    assert_eq!(
        host.attempt_ended("p50.0", 0, &asked, AttemptOutcome::Success, 0.01),
        ["answer q50 complete"]
    );
    // Nobody answers the other: at the end of its own time, and once.
    host.wait(6.1);
    assert_eq!(host.count("reject q51") + host.count("answer q51"), 1, "{:?}", host.decisions);
    let asked = last_node(&host.decisions, "p51.0");
    host.attempt_ended("p51.0", 0, &asked, AttemptOutcome::Cancelled, 6.0);
    host.round(|r| r.class_retired(1));
    let again = config(|d| d.other_classes = third(2.0));
    host.round(|r| r.change_config(&again, &[STAYS[0], ClassSlot { slot: 1, previous_slot: None }]));
    host.wait(60.0);
    ask(&mut host, 52, 1, &[5]);
    assert_eq!(attempts(&host.wait(0.49)).len(), 0);
    assert_eq!(attempts(&host.wait(0.03)).len(), 1, "a quarter of its latency objective, as after a start");
}

#[rstest]
fn observed_latencies_stay_with_their_class() {
    let warmed = || {
        let mut host = Host::with(|_| ());
        warm(&mut host, 0, 0.4);
        host
    };
    // Twice the median stands in for a shard that is not known, past a quarter of the latency objective.
    let mut host = warmed();
    host.round(|r| r.change_config(&config(|d| d.class.priority_weight = 2.0), &MOVED));
    ask(&mut host, 100, 1, &[1]);
    assert_eq!(attempts(&host.wait(0.7)).len(), 0);
    assert_eq!(attempts(&host.wait(0.15)).len(), 1);
    // Those who are open by the old terms go by the same, and have not lost it.
    let mut host = warmed();
    ask(&mut host, 100, 0, &[1]);
    host.round(|r| r.change_config(&config(|d| d.class.priority_weight = 2.0), &MOVED));
    assert_eq!(attempts(&host.wait(0.7)).len(), 0);
    assert_eq!(attempts(&host.wait(0.15)).len(), 1);
}

#[rstest]
#[case::fewer(2, 0)]
#[case::more(6, 1)]
fn the_most_attempts_apply_to_open_queries_from_the_change_on(#[case] cap: usize, #[case] further: usize) {
    let mut host = Host::with(|d| (d.capabilities.max_attempts, d.capabilities.can_hedge) = (3, false));
    ask(&mut host, 0, 0, &[0]);
    for attempt in 0..2 {
        let asked = last_node(&host.decisions, "p0.0");
        host.attempt_ended("p0.0", attempt, &asked, AttemptOutcome::Error, 0.01);
    }
    host.round(|r| {
        r.change_config(
            &config(|d| (d.capabilities.max_attempts, d.capabilities.can_hedge) = (cap, false)),
            &STAYS,
        );
    });
    let asked = last_node(&host.decisions, "p0.0");
    let decisions = host.attempt_ended("p0.0", 2, &asked, AttemptOutcome::Error, 0.01);
    let decisions = [decisions, host.wait(0.5)].concat();
    assert_eq!(attempts(&decisions).len().min(1), further, "{decisions:?}");
}

/// Under an overload, for the tenant `c` with such a share.
fn overloaded(quota: f64) -> PolicyConfig {
    let customers = vec![Tenant { name: "c".into(), quota_per_s: quota }];
    config(|d| (d.class.latency_objective_s, d.tenants) = (1.125, customers))
}

#[rstest]
fn a_tenants_new_quota_counts_from_the_change_on() {
    let rejected = |quota: f64| {
        let mut host = Host::with(|d| d.tenants = overloaded(1.0).tenants);
        warm(&mut host, 0, 0.45);
        host.round(|r| r.change_config(&overloaded(quota), &MOVED));
        (100..500).filter(|n| leaves(&mut host, *n, 1, "c")).count()
    };
    let (within, beyond) = (rejected(1e6), rejected(1.0));
    assert!(beyond > within + 20, "{within} within the share, {beyond} beyond it");
}

#[rstest]
fn what_a_tenant_has_saved_is_neither_lost_nor_doubled_by_a_change() {
    let outcome = |changes: bool| {
        let mut host = Host::with(|d| d.tenants = overloaded(1.0).tenants);
        warm(&mut host, 0, 0.45);
        host.round(|r| r.change_config(&overloaded(1.0), &MOVED));
        let outcome = (100..200).map(|n| {
            let stays = [ClassSlot { slot: 1, previous_slot: Some(1) }];
            host.round(|r| {
                if changes {
                    r.change_config(&overloaded(1.0), &stays)
                }
            });
            leaves(&mut host, n, 1, "c")
        });
        outcome.collect::<Vec<bool>>()
    };
    assert_eq!(outcome(true), outcome(false));
}

#[rstest]
fn a_new_slow_start_rule_holds_from_its_first_window_on() {
    let sent = |host: &mut Host, from: u64| {
        let each = |n| {
            host.now += 0.001;
            attempts(&ask(host, n, 0, &[0])).len()
        };
        (from..from + 60).map(each).sum::<usize>()
    };
    let mut all = Host::with(|d| (d.slow_start, d.node_count, d.router_count) = (None, 0, 1));
    let now = all.now;
    all.update_endpoint("n0", 0, NodeState::Serving, Some(now - 1.0));
    let before = sent(&mut all, 0);
    assert!(before > 3, "{before}: as many as its cap allows");
    for n in 0..60 {
        all.round(|r| r.client_disconnected(&format!("q{n}")));
        all.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.01);
    }
    let rule =
        SlowStartConfig { initial_fraction: 0.2, warm_up_s: 16.0, capacity_multiple: 2.5, window_s: 1.5 };
    all.round(|r| r.change_config(&config(|d| (d.slow_start, d.router_count) = (Some(rule), 1)), &STAYS));
    assert_eq!(sent(&mut all, 100), 0, "what had gone to it in the span before counts as all that it bears");
    (100..160).for_each(|n| drop(all.round(|r| r.client_disconnected(&format!("q{n}")))));
    all.wait(1.6);
    let after = sent(&mut all, 200);
    assert!(after > 0, "and no longer");
}

#[rstest]
fn more_routers_leave_each_less_of_a_warming_node() {
    let sent = |router_count: usize| {
        let mut host = Host::with(|d| (d.node_count, d.router_count) = (0, 1));
        host.round(|r| r.change_config(&config(|d| d.router_count = router_count), &STAYS));
        let now = host.now;
        host.update_endpoint("n0", 0, NodeState::Serving, Some(now - 1.0));
        // As requests end well the node's limit rises, and the rule alone holds.
        let mut sent = 0;
        for n in 0..200 {
            let called = attempts(&ask(&mut host, n, 0, &[0])).len();
            sent += called;
            host.now += 0.005;
            if called > 0 {
                host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.005);
            }
            host.round(|r| r.client_disconnected(&format!("q{n}")));
        }
        sent
    };
    let (one, four) = (sent(1), sent(4));
    assert!(four > 0 && 2 * four < one, "{one} by one router, {four} by one of four");
}

/// A core whose bucket is full, by a budget of so many.
fn budget(free: f64) -> impl Fn(&mut Deployment) {
    move |d| {
        (d.retry_budget, d.capabilities.max_attempts) = (Some(RetryBudget { burst: free, ratio: 0.0 }), 20)
    }
}

/// How many attempts past the first of a request that fails wherever it is sent.
fn further(host: &mut Host, n: u64) -> usize {
    let mut decisions = ask(host, n, 0, &[0]);
    let mut attempt = 0;
    while !attempts(&decisions).is_empty() {
        let asked = last_node(&decisions, &format!("p{n}.0"));
        decisions = host.attempt_ended(&format!("p{n}.0"), attempt, &asked, AttemptOutcome::Rejected, 0.001);
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
fn across_a_change_the_retry_budget_is_the_lesser_one(
    #[case] before: f64,
    #[case] after: f64,
    #[case] spent: u64,
    #[case] left: usize,
) {
    let mut host = Host::with(budget(before));
    let common = SharedLimits::new(1);
    host.use_shared_limits(common.clone());
    (0..spent).for_each(|_| assert!(common.try_withdraw()));
    host.round(|r| r.change_config(&config(budget(after)), &STAYS));
    let made: usize = (0..8).map(|n| further(&mut host, n)).sum();
    assert_eq!(made, left);
}

#[rstest]
fn a_retry_budget_stated_for_the_first_time_holds_from_then_on() {
    let mut host = Host::with(|d| d.capabilities.max_attempts = 20);
    host.round(|r| r.change_config(&config(budget(2.0)), &STAYS));
    assert_eq!((0..8).map(|n| further(&mut host, n)).sum::<usize>(), 2);
}

#[rstest]
fn several_cores_bring_their_bucket_to_a_new_capacity_once() {
    let common = SharedLimits::new(3);
    let core = |at: u8| {
        let mut core = Host::with(budget(9.0));
        core.use_shared_limits(common.for_core(at));
        core
    };
    let mut cores = [core(0), core(1), core(2)];
    assert!(common.try_withdraw() && common.try_withdraw());
    for core in &mut cores {
        core.round(|r| r.change_config(&config(budget(6.0)), &STAYS));
        assert_eq!(common.tokens(), 4.0);
    }
    // One that starts anew by the newest terms changes nothing either, nor does one that still earns by the old.
    core(1).round(|r| r.change_config(&config(budget(6.0)), &STAYS));
    common.deposit(20.0, 9.0);
    assert!(common.tokens() <= 6.0, "{}", common.tokens());
}
