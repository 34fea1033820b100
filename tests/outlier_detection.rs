//! Which data nodes are avoided or ejected because of slow, failed or unanswered attempts.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn a_slow_node_is_avoided_for_a_while() {
    let mut host = Host::with(|d| d.capabilities.can_hedge = false);
    host.query(0, &[0]);
    host.wait(0.6);
    assert_eq!(host.attempt_ended("p0.0", 0, "n0", AttemptOutcome::Success, 0.6), ["answer q0 complete"]);
    host.answer_queries(1, 4, 0.05);
    assert_eq!(host.count("attempt p0.0 n0") + host.count("attempt p1.0 n0"), 1);
    assert!(!host.decisions[3..].iter().any(|n| n.starts_with("attempt") && n.ends_with("n0")));
    host.wait(1.0);
    host.answer_queries(5, 3, 0.05);
    assert!(
        host.decisions
            .iter()
            .any(|n| n.starts_with("attempt p") && n.ends_with(".0 n0") && n != "attempt p0.0 n0")
    );
}

#[rstest]
fn a_very_slow_node_ranks_behind_slow_ones() {
    let mut host = Host::with(|d| (d.capabilities.can_hedge, d.router_count) = (false, 40));
    for (n, latency) in [(0, 1.4), (1, 0.6), (2, 0.6)] {
        host.query(n, &[0]);
        host.wait(0.01);
        let node = last_node(&host.decisions, &format!("p{n}.0"));
        host.wait(latency - 0.01);
        host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, latency);
    }
    let very_slow = last_node(&host.decisions, "p0.0");
    for n in 3..6 {
        assert!(!attempts(&host.query(n, &[0])).iter().any(|c| c.ends_with(&very_slow)));
    }
}

#[rstest]
fn a_silent_node_is_ejected_and_its_stuck_attempts_are_replaced() {
    let mut host = Host::with(|_| ());
    host.answer_queries(0, 21, 0.1);
    for n in 50..53 {
        host.query(n, &[0]);
    }
    let silent = last_node(&host.decisions, "p50.0");
    for n in 51..53 {
        let node = last_node(&host.decisions, &format!("p{n}.0"));
        host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, 0.01);
    }
    host.wait(0.4);
    assert_eq!(host.count(&format!("log node {silent} ejected")), 1);
    let from = host.decisions.len();
    host.answer_queries(60, 6, 0.05);
    assert!(!host.decisions[from..].iter().any(|n| n.starts_with("attempt p6") && n.ends_with(&silent)));
}

#[rstest]
fn a_silent_node_is_tried_again_with_a_single_request() {
    let mut host = Host::with(|d| (d.node_count, d.capabilities.max_attempts) = (1, 2));
    host.query(0, &[0, 0, 0]);
    host.wait(2.1);
    host.round(|r| r.client_disconnected("q0"));
    host.round(|r| {
        (0..3).for_each(|i| r.attempt_ended(&format!("p0.{i}"), 0, "n0", AttemptOutcome::Cancelled, 2.1))
    });
    host.wait(7.0);
    assert_eq!(attempts(&host.query(1, &[0, 0, 0])).len(), 1);
}

#[rstest]
fn a_stall_of_the_router_does_not_make_a_node_late() {
    let mut host = Host::with(|_| ());
    host.answer_queries(0, 21, 0.1);
    host.query(50, &[0]);
    let node = last_node(&host.decisions, "p50.0");
    host.now += 3.0;
    let after = host.round(|r| r.timer_fired(1));
    assert!(!after.iter().any(|n| n.contains("ejected") || n.starts_with("cancel")), "{after:?}");
    host.attempt_ended("p50.0", 0, &node, AttemptOutcome::Success, 3.0);
    host.wait(0.01);
    let from = host.decisions.len();
    host.answer_queries(60, 3, 0.05);
    assert!(
        host.decisions[from..].iter().any(|n| n.starts_with("attempt") && n.ends_with(&node)),
        "the node is not avoided"
    );
}

#[rstest]
fn an_unreachable_node_is_ejected_for_a_while() {
    let mut host = Host::with(|_| ());
    host.query(0, &[0]);
    host.attempt_ended("p0.0", 0, "n0", AttemptOutcome::Unreachable, 0.001);
    assert_eq!(last_node(&host.decisions, "p0.0"), "n1", "its request is retried at once");
    assert_eq!(host.count("log node n0 ejected"), 1);
    host.wait(1.5);
    assert_eq!(host.count("log node n0 readmitted"), 1);
}

#[rstest]
fn an_unreachable_node_is_readmitted_after_six_seconds_for_any_number_of_routers() {
    let mut host = Host::with(|d| (d.node_count, d.router_count) = (1, 300));
    host.query(0, &[0]);
    for attempt in 0..2 {
        host.attempt_ended("p0.0", attempt, "n0", AttemptOutcome::Unreachable, 0.0);
        host.wait(0.7);
    }
    assert_eq!((host.count("log node n0 ejected"), host.count("log node n0 readmitted")), (1, 0));
    host.wait(6.0);
    assert_eq!(host.count("log node n0 readmitted"), 1, "the number of routers does not extend the ejection");
}

#[rstest]
#[case::connection_reset(AttemptOutcome::ConnectionReset, 0)]
#[case::unreachable(AttemptOutcome::Unreachable, 1)]
fn the_loss_of_a_connection_with_many_attempts_is_one_failure(
    #[case] outcome: AttemptOutcome,
    #[case] ejections: usize,
) {
    let mut host = Host::new(Deployment::of_one_node());
    host.answer_queries(9, 1, 0.1);
    host.query(0, &[0, 1, 2]);
    host.wait(0.1);
    host.round(|r| ["p0.0", "p0.1", "p0.2"].iter().for_each(|p| r.attempt_ended(p, 0, "n0", outcome, 0.1)));
    host.wait(0.05);
    assert_eq!(host.count("log node n0 ejected"), ejections);
    host.round(|r| r.attempt_ended("p0.0", 1, "n0", outcome, 0.1));
    host.wait(0.05);
    assert_eq!(host.count("log node n0 ejected"), 1, "two consecutive failures eject the node");
}

/// Guards against counting the time in which a node had no attempt as time in which the node did not answer.
/// In a large deployment a router may send no attempt to a given node for many seconds.
#[rstest]
fn the_expected_wait_for_a_silent_node_is_the_age_of_its_oldest_attempt() {
    let mut host = Host::with(|d| (d.placement.groups_per_shard, d.class.deadline_s) = (1, 9.0));
    host.answer_queries(0, 20, 0.1);
    host.wait(60.0);
    host.query(30, &[0]);
    host.wait(1.3);
    let before = host.count("reject");
    (40..60).for_each(|n| drop(host.query(n, &[0])));
    let rejected = host.count("reject") - before;
    assert!(rejected < 14, "{rejected} of 20 rejected");
}
