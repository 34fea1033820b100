//! How shards are moved and split while queries are open, and explicit lists of the nodes that hold a shard,
//! which are the shard's holders. The successors of a shard request replace it after its shard was split.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

fn holders(groups: &[u32], excluded_nodes: &[&str]) -> ShardHolders {
    ShardHolders {
        replica_groups: groups.to_vec(),
        excluded_nodes: excluded_nodes.iter().map(|node| node.to_string()).collect(),
    }
}

/// Six nodes, one in each replica group; groups 0 and 1 hold shard 0.
fn host(change: impl FnOnce(&mut Deployment)) -> Host {
    let mut deployment = Deployment { node_count: 6, ..Deployment::default() };
    change(&mut deployment);
    let mut host = Host::new(deployment);
    host.round(|r| r.set_shard_holders(0, holders(&[0, 1], &[])));
    host
}

/// Splits shard 0 into shard 10, held by groups 2 and 3, and shard 11, held by groups 4 and 5.
fn split(host: &mut Host) {
    host.round(|r| {
        r.inherit_shard(10, &[0]);
        r.inherit_shard(11, &[0]);
        r.set_shard_holders(10, holders(&[2, 3], &[]));
        r.set_shard_holders(11, holders(&[4, 5], &[]));
        r.set_shard_holders(0, holders(&[], &[]));
    });
}

/// Splits the shard request `p0.0` into `a` for shard 10 and `b` for shard 11.
fn split_request(host: &mut Host) -> Vec<String> {
    host.round(|r| r.shard_request_split(0, "p0.0", &[("a", 10, 0.5), ("b", 11, 0.5)]))
}

#[rstest]
fn an_explicit_list_replaces_the_ring_and_a_move_applies_from_the_next_attempt() {
    let mut host = host(|_| ());
    let nodes: Vec<String> = (0..4).map(|n| last_node(&host.query(n, &[0]), &format!("p{n}.0"))).collect();
    assert!(nodes.iter().all(|node| node == "n0" || node == "n1"), "{nodes:?}");
    host.round(|r| r.set_shard_holders(0, holders(&[4, 5], &[])));
    let nodes: Vec<String> = (4..8).map(|n| last_node(&host.query(n, &[0]), &format!("p{n}.0"))).collect();
    assert!(nodes.iter().all(|node| node == "n4" || node == "n5"), "{nodes:?}");
    assert!(attempts(&host.query(8, &[7])).is_empty(), "a shard that is not listed has no holder");
}

#[rstest]
fn a_node_that_does_not_hold_a_shard_gets_no_attempts_for_it() {
    let mut host = host(|_| ());
    let node = last_node(&host.query(0, &[0]), "p0.0");
    let other = if node == "n0" { "n1" } else { "n0" };
    host.round(|r| {
        r.set_shard_holders(0, holders(&[0, 1], &[&node]));
        r.attempt_ended("p0.0", 0, &node, AttemptOutcome::ShardMoved, 0.001);
    });
    assert_eq!(last_node(&host.decisions, "p0.0"), other);
    for n in 1..4 {
        assert_eq!(last_node(&host.query(n, &[0]), &format!("p{n}.0")), other);
    }
    // Both nodes are now excluded as holders. The shard request waits, and is sent as soon as a node holds
    // the shard.
    host.round(|r| {
        r.set_shard_holders(0, holders(&[0, 1], &["n0", "n1"]));
        r.attempt_ended("p0.0", 1, other, AttemptOutcome::ShardMoved, 0.001);
    });
    assert_eq!(host.decisions.iter().filter(|n| n.starts_with("attempt p0.0")).count(), 2);
    let decisions = host.round(|r| r.set_shard_holders(0, holders(&[3], &[])));
    assert_eq!(attempts(&decisions), ["attempt p0.0 n3"]);
}

#[rstest]
fn a_request_that_no_node_holds_ends_after_the_most_attempts() {
    let mut host = host(|d| d.capabilities.max_attempts = 4);
    let mut node = last_node(&host.query(0, &[0]), "p0.0");
    for attempt in 0..4 {
        let decisions = host.attempt_ended("p0.0", attempt, &node, AttemptOutcome::ShardMoved, 0.001);
        match attempts(&decisions).first() {
            Some(_) => node = last_node(&decisions, "p0.0"),
            None => assert!(
                attempt == 3 && decisions.contains(&"reject q0 0.50".into()),
                "{attempt}: {decisions:?}"
            ),
        }
    }
    assert_eq!(host.decisions.iter().filter(|n| n.starts_with("attempt p0.0")).count(), 4);
}

#[rstest]
fn an_attempt_in_flight_counts_for_all_successors_of_its_request() {
    let mut host = host(|_| ());
    let node = last_node(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    assert!(
        attempts(&split_request(&mut host)).is_empty(),
        "the attempt in flight counts for both successors, so that none starts another one"
    );
    let decisions = host.round(|r| {
        r.attempt_ended("a", 0, &node, AttemptOutcome::Success, 0.01);
        r.attempt_ended("b", 0, &node, AttemptOutcome::Success, 0.01);
    });
    assert_eq!(decisions, ["answer q0 complete"]);
}

#[rstest]
fn each_hedge_of_a_late_requests_successors_goes_to_a_new_holder_and_costs_a_token() {
    let mut host = host(|d| d.retry_budget = Some(RetryBudget { burst: 1.0, ratio: 0.1 }));
    host.query(0, &[0]);
    split(&mut host);
    split_request(&mut host);
    let decisions = host.wait(0.6);
    let [hedge] = attempts(&decisions)[..] else { panic!("one token, one hedge: {decisions:?}") };
    assert!(hedge.starts_with("attempt a n2") || hedge.starts_with("attempt a n3"), "{hedge}");
    // The hedge of successor `a` succeeds. The policy cancels the copy of the first attempt that belongs to
    // `a`; the copy that belongs to successor `b` stays in flight.
    let hedge = last_node(&decisions, "a");
    assert_eq!(host.attempt_ended("a", 1, &hedge, AttemptOutcome::Success, 0.05), ["cancel a 0"]);
}

#[rstest]
fn after_a_failure_each_successor_uses_the_attempts_that_are_left() {
    let mut host = host(|d| d.capabilities.max_attempts = 2);
    let node = last_node(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    split_request(&mut host);
    let decisions = host.round(|r| {
        r.attempt_ended("a", 0, &node, AttemptOutcome::Error, 0.01);
        r.attempt_ended("b", 0, &node, AttemptOutcome::Error, 0.01);
    });
    assert_eq!(attempts(&decisions).len(), 2);
    let second_node = last_node(&decisions, "a");
    let decisions = host.attempt_ended("a", 1, &second_node, AttemptOutcome::Error, 0.01);
    assert!(
        decisions.iter().any(|n| n.starts_with("reject q0")),
        "two attempts each, including the parent's: {decisions:?}"
    );
}

#[rstest]
#[case::possible_effect(AttemptOutcome::ConnectionReset, 0)]
#[case::shard_moved(AttemptOutcome::ShardMoved, 2)]
#[case::unreachable(AttemptOutcome::Unreachable, 2)]
fn a_successor_is_never_attempted_after_a_possible_effect(
    #[case] outcome: AttemptOutcome,
    #[case] further_attempts: usize,
) {
    let mut host = host(|d| d.class.idempotency = Idempotency::NonIdempotent);
    let node = last_node(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    split_request(&mut host);
    let decisions = host.round(|r| {
        r.attempt_ended("a", 0, &node, outcome, 0.01);
        r.attempt_ended("b", 0, &node, outcome, 0.01);
    });
    assert_eq!(attempts(&decisions).len(), further_attempts, "{decisions:?}");
    assert_eq!(decisions.contains(&"fail q0".into()), further_attempts == 0, "{decisions:?}");
}

#[rstest]
fn the_idempotency_window_counts_from_the_parents_attempt() {
    let mut host = host(|d| {
        d.class.idempotency = Idempotency::IdempotentWithKey { window_s: 0.4 };
        d.capabilities.can_hedge = false;
    });
    let node = last_node(&host.query(0, &[0]), "p0.0");
    host.wait(0.3);
    split(&mut host);
    split_request(&mut host);
    host.wait(0.1);
    let decisions = host.round(|r| {
        r.attempt_ended("a", 0, &node, AttemptOutcome::ConnectionReset, 0.4);
        r.attempt_ended("b", 0, &node, AttemptOutcome::ConnectionReset, 0.4);
    });
    assert!(attempts(&decisions).is_empty(), "the window ends 0.4 s after the first attempt: {decisions:?}");
}

#[rstest]
fn a_successor_starts_with_its_parents_latencies_and_soon_uses_its_own() {
    let mut host = host(|_| ());
    host.answer_queries(1, 14, 0.05);
    split(&mut host);
    host.query(100, &[10]);
    let decisions = host.wait(0.1);
    assert_eq!(
        attempts(&decisions).len(),
        1,
        "late by its parent's latencies, not after a quarter of the latency objective"
    );
    let (first, hedge) =
        (last_node(&host.decisions[..host.decisions.len() - 1], "p100.0"), last_node(&decisions, "p100.0"));
    host.attempt_ended("p100.0", 1, &hedge, AttemptOutcome::Success, 0.03);
    host.attempt_ended("p100.0", 0, &first, AttemptOutcome::Cancelled, 0.1);
    // Each answer of the new shard replaces an inherited latency; after twelve answers no inherited latency
    // is left.
    for n in 101..112 {
        let node = last_node(&host.query(n, &[10]), &format!("p{n}.0"));
        host.wait(0.02);
        host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, 0.02);
    }
    host.query(200, &[10]);
    assert_eq!(attempts(&host.wait(0.04)).len(), 1);
}

#[rstest]
fn a_retired_shard_leaves_no_state() {
    let mut host = host(|_| ());
    host.answer_queries(1, 14, 0.05);
    host.round(|r| r.shard_retired(0));
    host.round(|r| r.set_shard_holders(0, holders(&[0, 1], &[])));
    host.query(100, &[0]);
    assert!(attempts(&host.wait(0.4)).is_empty(), "its latencies are discarded");
}

/// Guards against overloading a node that is warming up when forty shards move to it at the same time: this
/// router sends at most its fraction of the load that the node can take.
#[rstest]
fn shards_that_move_to_a_warming_node_do_not_overload_it() {
    let rule =
        SlowStartConfig { initial_fraction: 0.2, warm_up_s: 16.0, capacity_multiple: 2.5, window_s: 1.5 };
    let mut host = host(|d| {
        d.slow_start = Some(rule);
        d.router_count = 1;
        d.node_count = 2;
    });
    let shards: Vec<u32> = (0..40).collect();
    host.round(|r| shards.iter().for_each(|&shard| r.set_shard_holders(shard, holders(&[0], &[]))));
    // Requests for the old node wait at the router, as its concurrency limit is reached.
    for n in 0..40 {
        host.query(n, &[n as u32]);
    }
    let started = host.now;
    host.update_endpoint("new", 9, NodeState::Serving, Some(started));
    host.round(|r| shards.iter().for_each(|&shard| r.set_shard_holders(shard, holders(&[9], &[]))));
    let (mut sent_at, mut n) = (vec![], 100);
    for step in 0..300 {
        host.wait(0.01);
        if step % 3 == 0 {
            host.query(n, &[n as u32 % 40]);
            n += 1;
        }
        let sent: Vec<String> = host
            .decisions
            .iter()
            .filter(|c| c.starts_with("attempt ") && c.ends_with(" new"))
            .cloned()
            .collect();
        for attempt in &sent[sent_at.len()..] {
            sent_at.push(host.now);
            let request = attempt.split(' ').nth(1).expect("a request").to_string();
            host.attempt_ended(&request, 0, "new", AttemptOutcome::Success, 0.005);
        }
        // A request is counted with the work that its answer shows; the policy estimates 0.15 of the latency
        // objective until it has enough answers.
        let in_window = sent_at.iter().filter(|at| host.now - **at < rule.window_s).count() as f64;
        let capacity_fraction = rule.initial_fraction
            + (1.0 - rule.initial_fraction) * ((host.now - started) / rule.warm_up_s).min(1.0);
        assert!(
            in_window * 0.005 <= rule.capacity_multiple * capacity_fraction * rule.window_s,
            "{in_window} requests at step {step}"
        );
    }
    assert!(!sent_at.is_empty(), "the node gets some requests");
    assert!(
        sent_at.iter().filter(|at| **at < started + 0.02).count() <= 1,
        "the waiting requests are not all sent at once"
    );
}
