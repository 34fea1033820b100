//! State across shards that are listed, move and split while queries are open.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

fn held(groups: &[u32], without: &[&str]) -> ShardHolders {
    ShardHolders {
        replica_groups: groups.to_vec(),
        excluded_nodes: without.iter().map(|node| node.to_string()).collect(),
    }
}

/// Six nodes, one a group; shard 0 is held by groups 0 and 1.
fn host(change: impl FnOnce(&mut Deployment)) -> Host {
    let mut deployment = Deployment { node_count: 6, ..Deployment::default() };
    change(&mut deployment);
    let mut host = Host::new(deployment);
    host.round(|r| r.set_shard_holders(0, held(&[0, 1], &[])));
    host
}

/// Shard 0 becomes 10, which groups 2 and 3 hold, and 11, which groups 4 and 5 hold.
fn split(host: &mut Host) {
    host.round(|r| {
        r.inherit_shard(10, &[0]);
        r.inherit_shard(11, &[0]);
        r.set_shard_holders(10, held(&[2, 3], &[]));
        r.set_shard_holders(11, held(&[4, 5], &[]));
        r.set_shard_holders(0, held(&[], &[]));
    });
}

fn split_request(host: &mut Host) -> Vec<String> {
    host.round(|r| r.shard_request_split(0, "p0.0", &[("a", 10, 0.5), ("b", 11, 0.5)]))
}

#[rstest]
fn an_explicit_list_replaces_the_ring_and_a_move_counts_from_the_next_attempt() {
    let mut host = host(|_| ());
    let asked: Vec<String> = (0..4).map(|n| last_node(&host.query(n, &[0]), &format!("p{n}.0"))).collect();
    assert!(asked.iter().all(|node| node == "n0" || node == "n1"), "{asked:?}");
    host.round(|r| r.set_shard_holders(0, held(&[4, 5], &[])));
    let asked: Vec<String> = (4..8).map(|n| last_node(&host.query(n, &[0]), &format!("p{n}.0"))).collect();
    assert!(asked.iter().all(|node| node == "n4" || node == "n5"), "{asked:?}");
    assert!(attempts(&host.query(8, &[7])).is_empty(), "nobody holds a shard that is not listed");
}

#[rstest]
fn a_node_that_does_not_hold_a_shard_gets_no_attempts_for_it() {
    let mut host = host(|_| ());
    let asked = last_node(&host.query(0, &[0]), "p0.0");
    let other = if asked == "n0" { "n1" } else { "n0" };
    host.round(|r| {
        r.set_shard_holders(0, held(&[0, 1], &[&asked]));
        r.attempt_ended("p0.0", 0, &asked, AttemptOutcome::ShardMoved, 0.001);
    });
    assert_eq!(last_node(&host.decisions, "p0.0"), other);
    for n in 1..4 {
        assert_eq!(last_node(&host.query(n, &[0]), &format!("p{n}.0")), other);
    }
    // Both do: the request waits for a holder, and goes out as soon as there is one.
    host.round(|r| {
        r.set_shard_holders(0, held(&[0, 1], &["n0", "n1"]));
        r.attempt_ended("p0.0", 1, other, AttemptOutcome::ShardMoved, 0.001);
    });
    assert_eq!(host.decisions.iter().filter(|n| n.starts_with("attempt p0.0")).count(), 2);
    let decisions = host.round(|r| r.set_shard_holders(0, held(&[3], &[])));
    assert_eq!(attempts(&decisions), ["attempt p0.0 n3"]);
}

#[rstest]
fn nodes_that_refer_to_each_other_end_with_the_most_attempts() {
    let mut host = host(|d| d.capabilities.max_attempts = 4);
    let mut asked = last_node(&host.query(0, &[0]), "p0.0");
    for attempt in 0..4 {
        let decisions = host.attempt_ended("p0.0", attempt, &asked, AttemptOutcome::ShardMoved, 0.001);
        match attempts(&decisions).first() {
            Some(_) => asked = last_node(&decisions, "p0.0"),
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
    let asked = last_node(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    assert!(
        attempts(&split_request(&mut host)).is_empty(),
        "the old call is out for both: no second one at once"
    );
    let decisions = host.round(|r| {
        r.attempt_ended("a", 0, &asked, AttemptOutcome::Success, 0.01);
        r.attempt_ended("b", 0, &asked, AttemptOutcome::Success, 0.01);
    });
    assert_eq!(decisions, ["answer q0 complete"]);
}

#[rstest]
fn successors_of_a_late_request_are_hedged_at_the_new_holders_each_for_a_token() {
    let mut host = host(|d| d.retry_budget = Some(RetryBudget { burst: 1.0, ratio: 0.1 }));
    host.query(0, &[0]);
    split(&mut host);
    split_request(&mut host);
    let decisions = host.wait(0.6);
    let [call] = attempts(&decisions)[..] else { panic!("one token, one hedge: {decisions:?}") };
    assert!(call.starts_with("attempt a n2") || call.starts_with("attempt a n3"), "{call}");
    // The hedge is in, and the old call goes on for the other successor alone.
    let hedge = last_node(&decisions, "a");
    assert_eq!(host.attempt_ended("a", 1, &hedge, AttemptOutcome::Success, 0.05), ["cancel a 0"]);
}

#[rstest]
fn after_a_failure_each_successor_goes_on_with_the_attempts_that_are_left() {
    let mut host = host(|d| d.capabilities.max_attempts = 2);
    let asked = last_node(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    split_request(&mut host);
    let decisions = host.round(|r| {
        r.attempt_ended("a", 0, &asked, AttemptOutcome::Error, 0.01);
        r.attempt_ended("b", 0, &asked, AttemptOutcome::Error, 0.01);
    });
    assert_eq!(attempts(&decisions).len(), 2);
    let node = last_node(&decisions, "a");
    let decisions = host.attempt_ended("a", 1, &node, AttemptOutcome::Error, 0.01);
    assert!(
        decisions.iter().any(|n| n.starts_with("reject q0")),
        "two calls each, the parent's among them: {decisions:?}"
    );
}

#[rstest]
#[case::may_have_run(AttemptOutcome::ConnectionReset, 0)]
#[case::disowned(AttemptOutcome::ShardMoved, 2)]
#[case::never_reached(AttemptOutcome::Unreachable, 2)]
fn a_successor_is_never_attempted_after_a_possible_effect(
    #[case] outcome: AttemptOutcome,
    #[case] more: usize,
) {
    let mut host = host(|d| d.class.idempotency = Idempotency::NonIdempotent);
    let asked = last_node(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    split_request(&mut host);
    let decisions = host.round(|r| {
        r.attempt_ended("a", 0, &asked, outcome, 0.01);
        r.attempt_ended("b", 0, &asked, outcome, 0.01);
    });
    assert_eq!(attempts(&decisions).len(), more, "{decisions:?}");
    assert_eq!(decisions.contains(&"fail q0".into()), more == 0, "{decisions:?}");
}

#[rstest]
fn the_idempotency_window_counts_from_the_parents_attempt() {
    let mut host = host(|d| {
        d.class.idempotency = Idempotency::IdempotentWithKey { window_s: 0.4 };
        d.capabilities.can_hedge = false;
    });
    let asked = last_node(&host.query(0, &[0]), "p0.0");
    host.wait(0.3);
    split(&mut host);
    split_request(&mut host);
    host.wait(0.1);
    let decisions = host.round(|r| {
        r.attempt_ended("a", 0, &asked, AttemptOutcome::ConnectionReset, 0.4);
        r.attempt_ended("b", 0, &asked, AttemptOutcome::ConnectionReset, 0.4);
    });
    assert!(attempts(&decisions).is_empty(), "0.4 s after the first call the window is over: {decisions:?}");
}

#[rstest]
fn a_successor_starts_with_its_parents_delay_and_soon_has_its_own() {
    let mut host = host(|_| ());
    host.answer_queries(1, 14, 0.05);
    split(&mut host);
    host.query(100, &[10]);
    let decisions = host.wait(0.1);
    assert_eq!(
        attempts(&decisions).len(),
        1,
        "late by what its parent showed, not by a quarter of the latency objective"
    );
    let (first, hedge) =
        (last_node(&host.decisions[..host.decisions.len() - 1], "p100.0"), last_node(&decisions, "p100.0"));
    host.attempt_ended("p100.0", 1, &hedge, AttemptOutcome::Success, 0.03);
    host.attempt_ended("p100.0", 0, &first, AttemptOutcome::Cancelled, 0.1);
    // Not as certain: twelve answers of its own are all that counts from there on.
    for n in 101..112 {
        let asked = last_node(&host.query(n, &[10]), &format!("p{n}.0"));
        host.wait(0.02);
        host.attempt_ended(&format!("p{n}.0"), 0, &asked, AttemptOutcome::Success, 0.02);
    }
    host.query(200, &[10]);
    assert_eq!(attempts(&host.wait(0.04)).len(), 1);
}

#[rstest]
fn a_retired_shard_leaves_nothing_behind() {
    let mut host = host(|_| ());
    host.answer_queries(1, 14, 0.05);
    host.round(|r| r.shard_retired(0));
    host.round(|r| r.set_shard_holders(0, held(&[0, 1], &[])));
    host.query(100, &[0]);
    assert!(attempts(&host.wait(0.4)).is_empty(), "nothing is known of it any more");
}

/// Forty shards move to a warming node at once: what it is sent stays within this router's share of what it bears.
#[rstest]
fn a_warming_node_is_not_flooded_by_shards_that_move_to_it() {
    let cold =
        SlowStartConfig { initial_fraction: 0.2, warm_up_s: 16.0, capacity_multiple: 2.5, window_s: 1.5 };
    let mut host = host(|d| {
        d.slow_start = Some(cold);
        d.router_count = 1;
        d.node_count = 2;
    });
    let shards: Vec<u32> = (0..40).collect();
    host.round(|r| shards.iter().for_each(|&shard| r.set_shard_holders(shard, held(&[0], &[]))));
    // The old node is behind with a backlog that waits here.
    for n in 0..40 {
        host.query(n, &[n as u32]);
    }
    let started = host.now;
    host.update_endpoint("new", 9, NodeState::Serving, Some(started));
    host.round(|r| shards.iter().for_each(|&shard| r.set_shard_holders(shard, held(&[9], &[]))));
    let (mut work, mut n) = (vec![], 100);
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
        for call in &sent[work.len()..] {
            work.push(host.now);
            let request = call.split(' ').nth(1).expect("a request").to_string();
            host.attempt_ended(&request, 0, "new", AttemptOutcome::Success, 0.005);
        }
        // Work of a request as the policy takes it: 0.15 of the latency objective until answers show less.
        let within = work.iter().filter(|at| host.now - **at < cold.window_s).count() as f64;
        let warmth = cold.initial_fraction
            + (1.0 - cold.initial_fraction) * ((host.now - started) / cold.warm_up_s).min(1.0);
        assert!(
            within * 0.005 <= cold.capacity_multiple * warmth * cold.window_s,
            "{within} requests at {step}"
        );
    }
    assert!(!work.is_empty(), "it does get some");
    assert!(
        work.iter().filter(|at| **at < started + 0.02).count() <= 1,
        "the backlog is not poured over at a stroke"
    );
}
