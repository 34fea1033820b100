//! Stories of shards that are listed, move and split while queries run, as the decision module sees them.
#[allow(dead_code)]
mod fake;
use alderway::interface::*;
use fake::*;
use rstest::rstest;

fn held(cells: &[u32], without: &[&str]) -> ShardHolders {
    ShardHolders {
        replica_groups: cells.to_vec(),
        excluded_nodes: without.iter().map(|node| node.to_string()).collect(),
    }
}

/// Six nodes, one a cell; shard 0 is held by cells 0 and 1.
fn host(change: impl FnOnce(&mut Deployment)) -> Host {
    let mut deployment = Deployment { nodes: 6, ..Deployment::default() };
    change(&mut deployment);
    let mut host = Host::new(deployment);
    host.round(|r| r.set_shard_holders(0, held(&[0, 1], &[])));
    host
}

/// Shard 0 becomes 10, which cells 2 and 3 hold, and 11, which cells 4 and 5 hold.
fn split(host: &mut Host) {
    host.round(|r| {
        r.inherit_shard(10, &[0]);
        r.inherit_shard(11, &[0]);
        r.set_shard_holders(10, held(&[2, 3], &[]));
        r.set_shard_holders(11, held(&[4, 5], &[]));
        r.set_shard_holders(0, held(&[], &[]));
    });
}

fn divide(host: &mut Host) -> Vec<String> {
    host.round(|r| r.shard_request_split(0, "p0.0", &[("a", 10, 0.5), ("b", 11, 0.5)]))
}

fn calls(notes: &[String]) -> Vec<&str> {
    notes.iter().filter(|n| n.starts_with("call ")).map(String::as_str).collect()
}

#[rstest]
fn a_list_takes_the_rings_place_and_a_move_holds_from_the_next_call_on() {
    let mut host = host(|_| ());
    let asked: Vec<String> = (0..4).map(|n| node_of(&host.query(n, &[0]), &format!("p{n}.0"))).collect();
    assert!(asked.iter().all(|node| node == "n0" || node == "n1"), "{asked:?}");
    host.round(|r| r.set_shard_holders(0, held(&[4, 5], &[])));
    let asked: Vec<String> = (4..8).map(|n| node_of(&host.query(n, &[0]), &format!("p{n}.0"))).collect();
    assert!(asked.iter().all(|node| node == "n4" || node == "n5"), "{asked:?}");
    assert!(calls(&host.query(8, &[7])).is_empty(), "nobody holds a shard that is not listed");
}

#[rstest]
fn a_node_that_disowns_a_shard_is_not_asked_for_it() {
    let mut host = host(|_| ());
    let asked = node_of(&host.query(0, &[0]), "p0.0");
    let other = if asked == "n0" { "n1" } else { "n0" };
    host.round(|r| {
        r.set_shard_holders(0, held(&[0, 1], &[&asked]));
        r.attempt_ended("p0.0", 0, &asked, AttemptOutcome::ShardMoved, 0.001);
    });
    assert_eq!(node_of(&host.notes, "p0.0"), other);
    for n in 1..4 {
        assert_eq!(node_of(&host.query(n, &[0]), &format!("p{n}.0")), other);
    }
    // Both do: the part waits for a holder, and goes out as soon as there is one.
    host.round(|r| {
        r.set_shard_holders(0, held(&[0, 1], &["n0", "n1"]));
        r.attempt_ended("p0.0", 1, other, AttemptOutcome::ShardMoved, 0.001);
    });
    assert_eq!(host.notes.iter().filter(|n| n.starts_with("call p0.0")).count(), 2);
    let notes = host.round(|r| r.set_shard_holders(0, held(&[3], &[])));
    assert_eq!(calls(&notes), ["call p0.0 n3"]);
}

#[rstest]
fn two_nodes_that_each_name_the_other_end_with_the_cap_on_calls() {
    let mut host = host(|d| d.allowance.max_attempts = 4);
    let mut asked = node_of(&host.query(0, &[0]), "p0.0");
    for hop in 0..4 {
        let notes = host.ends("p0.0", hop, &asked, AttemptOutcome::ShardMoved, 0.001);
        match calls(&notes).first() {
            Some(_) => asked = node_of(&notes, "p0.0"),
            None => assert!(hop == 3 && notes.contains(&"reject q0 0.50".into()), "{hop}: {notes:?}"),
        }
    }
    assert_eq!(host.notes.iter().filter(|n| n.starts_with("call p0.0")).count(), 4);
}

#[rstest]
fn a_divided_parts_late_call_counts_for_all_its_heirs() {
    let mut host = host(|_| ());
    let asked = node_of(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    assert!(calls(&divide(&mut host)).is_empty(), "the old call is out for both: no second one at once");
    let notes = host.round(|r| {
        r.attempt_ended("a", 0, &asked, AttemptOutcome::Success, 0.01);
        r.attempt_ended("b", 0, &asked, AttemptOutcome::Success, 0.01);
    });
    assert_eq!(notes, ["answer q0 whole"]);
}

#[rstest]
fn heirs_of_a_late_part_are_copied_to_the_new_holders_each_for_a_token() {
    let mut host = host(|d| d.budget = Some(RetryBudget { burst: 1.0, ratio: 0.1 }));
    host.query(0, &[0]);
    split(&mut host);
    divide(&mut host);
    let notes = host.wait(0.6);
    let [call] = calls(&notes)[..] else { panic!("one token, one copy: {notes:?}") };
    assert!(call.starts_with("call a n2") || call.starts_with("call a n3"), "{call}");
    // The copy is in, and the old call goes on for the other heir alone.
    let copy = node_of(&notes, "a");
    assert_eq!(host.ends("a", 1, &copy, AttemptOutcome::Success, 0.05), ["cancel a 0"]);
}

#[rstest]
fn after_a_failure_each_heir_goes_on_with_the_calls_that_are_left() {
    let mut host = host(|d| d.allowance.max_attempts = 2);
    let asked = node_of(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    divide(&mut host);
    let notes = host.round(|r| {
        r.attempt_ended("a", 0, &asked, AttemptOutcome::Error, 0.01);
        r.attempt_ended("b", 0, &asked, AttemptOutcome::Error, 0.01);
    });
    assert_eq!(calls(&notes).len(), 2);
    let node = node_of(&notes, "a");
    let notes = host.ends("a", 1, &node, AttemptOutcome::Error, 0.01);
    assert!(
        notes.iter().any(|n| n.starts_with("reject q0")),
        "two calls each, the parent's among them: {notes:?}"
    );
}

#[rstest]
#[case::may_have_run(AttemptOutcome::ConnectionReset, 0)]
#[case::disowned(AttemptOutcome::ShardMoved, 2)]
#[case::never_reached(AttemptOutcome::Unreachable, 2)]
fn a_side_effect_is_never_asked_of_a_successor_if_it_may_have_been_had(
    #[case] ending: AttemptOutcome,
    #[case] more: usize,
) {
    let mut host = host(|d| d.vertical.idempotency = Idempotency::NonIdempotent);
    let asked = node_of(&host.query(0, &[0]), "p0.0");
    split(&mut host);
    divide(&mut host);
    let notes = host.round(|r| {
        r.attempt_ended("a", 0, &asked, ending, 0.01);
        r.attempt_ended("b", 0, &asked, ending, 0.01);
    });
    assert_eq!(calls(&notes).len(), more, "{notes:?}");
    assert_eq!(notes.contains(&"abort q0".into()), more == 0, "{notes:?}");
}

#[rstest]
fn the_window_of_deduplication_counts_from_the_parents_call() {
    let mut host = host(|d| {
        d.vertical.idempotency = Idempotency::IdempotentWithKey { window_s: 0.4 };
        d.allowance.can_hedge = false;
    });
    let asked = node_of(&host.query(0, &[0]), "p0.0");
    host.wait(0.3);
    split(&mut host);
    divide(&mut host);
    host.wait(0.1);
    let notes = host.round(|r| {
        r.attempt_ended("a", 0, &asked, AttemptOutcome::ConnectionReset, 0.4);
        r.attempt_ended("b", 0, &asked, AttemptOutcome::ConnectionReset, 0.4);
    });
    assert!(calls(&notes).is_empty(), "0.4 s after the first call the window is over: {notes:?}");
}

#[rstest]
fn a_successor_begins_with_its_parents_delay_and_soon_has_its_own() {
    let mut host = host(|_| ());
    host.warm(1, 14, 0.05);
    split(&mut host);
    host.query(100, &[10]);
    let notes = host.wait(0.1);
    assert_eq!(calls(&notes).len(), 1, "late by what its parent showed, not by a quarter of the SLO time");
    let (first, copy) = (node_of(&host.notes[..host.notes.len() - 1], "p100.0"), node_of(&notes, "p100.0"));
    host.ends("p100.0", 1, &copy, AttemptOutcome::Success, 0.03);
    host.ends("p100.0", 0, &first, AttemptOutcome::Cancelled, 0.1);
    // Not as certain: twelve answers of its own are all that counts from there on.
    for n in 101..112 {
        let asked = node_of(&host.query(n, &[10]), &format!("p{n}.0"));
        host.wait(0.02);
        host.ends(&format!("p{n}.0"), 0, &asked, AttemptOutcome::Success, 0.02);
    }
    host.query(200, &[10]);
    assert_eq!(calls(&host.wait(0.04)).len(), 1);
}

#[rstest]
fn a_shard_that_is_over_leaves_nothing_behind() {
    let mut host = host(|_| ());
    host.warm(1, 14, 0.05);
    host.round(|r| r.shard_retired(0));
    host.round(|r| r.set_shard_holders(0, held(&[0, 1], &[])));
    host.query(100, &[0]);
    assert!(calls(&host.wait(0.4)).is_empty(), "nothing is known of it any more");
}

/// Forty shards move to a newcomer at once: what it is sent stays within this router's share of what it bears.
#[rstest]
fn a_cold_newcomer_is_not_flooded_by_all_that_moves_to_it() {
    let cold =
        SlowStartConfig { initial_fraction: 0.2, warm_up_s: 16.0, capacity_multiple: 2.5, window_s: 1.5 };
    let mut host = host(|d| {
        d.cold = Some(cold);
        d.peers = 1;
        d.nodes = 2;
    });
    let shards: Vec<u32> = (0..40).collect();
    host.round(|r| shards.iter().for_each(|&shard| r.set_shard_holders(shard, held(&[0], &[]))));
    // The old node is behind with a backlog that waits here.
    for n in 0..40 {
        host.query(n, &[n as u32]);
    }
    let started = host.now;
    host.roster("new", 9, NodeState::Serving, Some(started));
    host.round(|r| shards.iter().for_each(|&shard| r.set_shard_holders(shard, held(&[9], &[]))));
    let (mut work, mut n) = (vec![], 100);
    for step in 0..300 {
        host.wait(0.01);
        if step % 3 == 0 {
            host.query(n, &[n as u32 % 40]);
            n += 1;
        }
        let sent: Vec<String> =
            host.notes.iter().filter(|c| c.starts_with("call ") && c.ends_with(" new")).cloned().collect();
        for call in &sent[work.len()..] {
            work.push(host.now);
            let part = call.split(' ').nth(1).expect("a part").to_string();
            host.ends(&part, 0, "new", AttemptOutcome::Success, 0.005);
        }
        // Work of a part as the module takes it: 0.15 of the SLO time until answers show less.
        let within = work.iter().filter(|at| host.now - **at < cold.window_s).count() as f64;
        let warmth = cold.initial_fraction
            + (1.0 - cold.initial_fraction) * ((host.now - started) / cold.warm_up_s).min(1.0);
        assert!(
            within * 0.005 <= cold.capacity_multiple * warmth * cold.window_s,
            "{within} parts at {step}"
        );
    }
    assert!(!work.is_empty(), "it does get some");
    assert!(
        work.iter().filter(|at| **at < started + 0.02).count() <= 1,
        "the backlog is not poured over at a stroke"
    );
}
