//! Whether a shard request may have a further attempt.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
#[case(AttemptOutcome::Error, 1, "fail q0")]
#[case(AttemptOutcome::TimedOut, 1, "fail q0")]
#[case(AttemptOutcome::Unreachable, 2, "")]
#[case(AttemptOutcome::Rejected, 2, "")]
fn non_idempotent_requests_are_attempted_once(
    #[case] outcome: AttemptOutcome,
    #[case] attempt_count: usize,
    #[case] final_decision: &str,
) {
    let mut host = Host::with(|d| d.class.idempotency = Idempotency::NonIdempotent);
    host.query(0, &[0]);
    host.wait(1.0);
    assert_eq!(host.count("attempt"), 1, "never hedged");
    host.attempt_ended("p0.0", 0, "n0", outcome, 1.0);
    host.wait(0.1);
    assert_eq!(host.count("attempt"), attempt_count);
    assert_eq!(host.count("fail"), usize::from(!final_decision.is_empty()));
    assert_eq!(host.count("reject"), 0);
}

#[rstest]
#[case::within_the_window(0.2, 2)]
#[case::after_the_window(0.8, 1)]
fn requests_with_an_idempotency_key_are_retried_only_within_their_window(
    #[case] latency_s: f64,
    #[case] attempt_count: usize,
) {
    let mut host = Host::with(|d| d.class.idempotency = Idempotency::IdempotentWithKey { window_s: 0.5 });
    host.query(0, &[0]);
    host.wait(latency_s);
    host.attempt_ended("p0.0", 0, "n0", AttemptOutcome::Error, latency_s);
    host.wait(0.1);
    assert_eq!(host.count("attempt"), attempt_count);
}

/// Guards against queries that crash each node that works on them: their retries would crash all nodes that
/// hold the shard.
#[rstest]
#[case::no_request_succeeded(false, 0)]
#[case::one_request_succeeded(true, 2)]
fn a_query_that_may_have_crashed_two_nodes_gets_no_further_attempts(
    #[case] one_succeeded: bool,
    #[case] retries: usize,
) {
    let mut host = Host::with(|d| d.placement.groups_per_shard = 2);
    host.query(0, &[0, 1, 2]);
    let nodes: Vec<String> = (0..3).map(|i| last_node(&host.decisions, &format!("p0.{i}"))).collect();
    if one_succeeded {
        host.attempt_ended("p0.2", 0, &nodes[2], AttemptOutcome::Success, 0.05);
    }
    let mut decisions = host.attempt_ended("p0.0", 0, &nodes[0], AttemptOutcome::ConnectionReset, 0.05);
    decisions.extend(host.attempt_ended("p0.1", 0, &nodes[1], AttemptOutcome::ConnectionReset, 0.05));
    assert_eq!(attempts(&decisions).len(), retries, "{decisions:?}");
    assert_eq!(host.count("reject q0"), 0, "its third request is still in flight");
}

/// Guards against further crashes by a query like the one that crashed a node: each of its shard requests,
/// sent in parallel, would crash another node.
#[rstest]
fn a_query_starts_with_one_attempt_while_a_crashed_node_may_be_warming_up() {
    let mut host = Host::with(|_| ());
    let node = last_node(&host.query(0, &[0]), "p0.0");
    host.attempt_ended("p0.0", 0, &node, AttemptOutcome::ConnectionReset, 0.05);
    assert_eq!(attempts(&host.query(1, &[0, 1, 2])).len(), 1);
    let node = last_node(&host.decisions, "p1.0");
    assert_eq!(attempts(&host.attempt_ended("p1.0", 0, &node, AttemptOutcome::Success, 0.05)).len(), 2);
    for request in ["p0.0", "p1.1", "p1.2"] {
        let (node, attempt) =
            (last_node(&host.decisions, request), host.count(&format!("attempt {request} ")) - 1);
        host.attempt_ended(request, attempt, &node, AttemptOutcome::Success, 0.05);
    }
    host.wait(16.1);
    assert_eq!(attempts(&host.query(2, &[0, 1, 2])).len(), 3);
}
