//! When queries are answered completely or partially, and when they are abandoned.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn a_partial_answer_is_sent_at_the_objective_and_never_below_the_minimum_fraction() {
    let mut host = Host::with(|d| {
        (d.class.minimum_fraction, d.capabilities.can_hedge, d.capabilities.can_cancel) = (0.6, false, false)
    });
    host.query(0, &[0, 1, 2]);
    let first = last_node(&host.decisions, "p0.0");
    let second = last_node(&host.decisions, "p0.1");
    host.attempt_ended("p0.0", 0, &first, AttemptOutcome::Success, 0.1);
    host.wait(1.99);
    assert_eq!(host.count("answer"), 0, "a third of the weight is below the minimum fraction");
    assert!(
        host.attempt_ended("p0.1", 0, &second, AttemptOutcome::Success, 1.99)
            .contains(&"answer q0 partial".to_string())
    );

    host.query(1, &[0, 1, 2]);
    for request in ["p1.0", "p1.1"] {
        let node = last_node(&host.decisions, request);
        host.attempt_ended(request, 0, &node, AttemptOutcome::Success, 0.1);
    }
    assert_eq!(host.count("answer q1"), 0);
    host.wait(2.0);
    assert_eq!(host.count("answer q1 partial"), 1);
}

/// Guards against abandoning a query on arrival because the weights of its shard requests, rounded for
/// transmission, have a sum that is less than 1 by more than `WEIGHT_TOLERANCE_FRACTION`.
#[rstest]
fn all_requests_make_a_complete_answer_even_if_their_weights_sum_to_less_than_1() {
    let mut host = Host::with(|d| d.class.idempotency = Idempotency::NonIdempotent);
    let not_after = host.now + 6.0;
    host.round(|r| {
        r.query_arrived(0, "q0", 0, "", not_after);
        (0..138).for_each(|i| r.shard_request_added(0, &format!("p0.{i}"), i, 0.007246));
    });
    let mut ended = 0;
    while ended < attempts(&host.decisions).len() {
        let attempt = attempts(&host.decisions)[ended].to_string();
        let words: Vec<&str> = attempt.split(' ').collect();
        host.attempt_ended(words[1], 0, words[2], AttemptOutcome::Success, 0.01);
        ended += 1;
    }
    assert_eq!((ended, host.count("reject"), host.count("answer q0 complete")), (138, 0, 1));
}

#[rstest]
fn a_complete_answer_is_sent_as_soon_as_the_complete_fraction_is_reached() {
    let mut host = Host::with(|d| (d.class.complete_fraction, d.class.minimum_fraction) = (0.5, 0.5));
    host.query(0, &[0, 1]);
    let node = last_node(&host.decisions, "p0.1");
    assert_eq!(
        host.attempt_ended("p0.1", 0, &node, AttemptOutcome::Success, 0.1),
        ["answer q0 complete", "cancel p0.0 0"]
    );
}

#[rstest]
fn a_second_phase_needs_all_its_requests() {
    let mut host = Host::with(|d| d.class.second_phase_requests = 2);
    host.query(0, &[0, 1]);
    for request in ["p0.0", "p0.1"] {
        let node = last_node(&host.decisions, request);
        host.attempt_ended(request, 0, &node, AttemptOutcome::Success, 0.1);
    }
    assert_eq!(host.count("answer q0 complete"), 1);
    host.round(|r| (0..2).for_each(|i| r.shard_request_added(0, &format!("s{i}"), i, 0.5)));
    for (request, answers) in [("s0", 1), ("s1", 2)] {
        let node = last_node(&host.decisions, request);
        host.attempt_ended(request, 0, &node, AttemptOutcome::Success, 0.1);
        assert_eq!(host.count("answer q0 complete"), answers);
    }
}

#[rstest]
#[case::at_its_deadline(6.0, 0.3)]
#[case::deadline_already_passed(0.0, 0.3)]
#[case::no_value_after_the_objective(6.0, 0.0)]
fn each_query_gets_one_final_response_in_time(#[case] time_left_s: f64, #[case] late_weight_fraction: f64) {
    let mut host = Host::with(|d| d.class.late_weight_fraction = late_weight_fraction);
    let end = host.now + if late_weight_fraction > 0.0 { time_left_s } else { 2.0 };
    host.query_until(0, &[0, 1], end.max(host.now + time_left_s), "");
    host.wait((end - host.now - 0.01).max(0.0));
    assert_eq!(host.count("reject q0") + host.count("fail q0"), 1);
    let decisions_before = host.decisions.len();
    host.wait(1.0);
    assert_eq!(host.decisions[decisions_before..].iter().filter(|n| !n.starts_with("log")).count(), 0);
}

#[rstest]
fn a_query_whose_client_disconnected_is_dropped() {
    let mut host = Host::with(|_| ());
    host.query(0, &[0]);
    host.round(|r| r.client_disconnected("q0"));
    assert!(attempts(&host.wait(1.0)).is_empty());
    assert!(
        host.attempt_ended("p0.0", 0, "n0", AttemptOutcome::Success, 1.0)
            .iter()
            .all(|n| n.starts_with("log"))
    );
}

#[rstest]
fn a_request_that_every_holder_rejected_ends_its_query_at_once() {
    let mut host = Host::with(|_| ());
    host.query(0, &[0, 1]);
    let mut nodes: Vec<String> = (0..3)
        .map(|attempt| {
            let node = last_node(&host.decisions, "p0.0");
            host.attempt_ended("p0.0", attempt, &node, AttemptOutcome::Rejected, 0.002);
            node
        })
        .collect();
    nodes.sort();
    assert_eq!(nodes, ["n0", "n1", "n2"], "each holder once");
    assert_eq!(host.count("reject q0"), 1, "a fourth attempt is allowed, but no holder is left for it");
}

#[rstest]
fn unresponsive_nodes_beside_a_full_one_do_not_keep_a_query_waiting() {
    let mut host = Host::with(|_| ());
    for (n, node) in [(0, "n0"), (1, "n1")] {
        host.round(|r| {
            for other in ["n0", "n1", "n2"].iter().filter(|other| **other != node) {
                r.endpoint_updated(other, other[1..].parse().expect("a group"), NodeState::Draining, None);
            }
        });
        host.query(n, &[0]);
        host.attempt_ended(&format!("p{n}.0"), 0, node, AttemptOutcome::Unreachable, 0.25);
        host.wait(0.6);
        host.attempt_ended(&format!("p{n}.0"), 1, node, AttemptOutcome::Unreachable, 0.25);
        host.round(|r| {
            for group in 0..3 {
                r.endpoint_updated(&format!("n{group}"), group, NodeState::Serving, None);
            }
            r.client_disconnected(&format!("q{n}"));
        });
    }
    assert_eq!(attempts(&host.query(5, &[0])), ["attempt p5.0 n2"], "the other two nodes are unreachable");
    assert!(
        host.attempt_ended("p5.0", 0, "n2", AttemptOutcome::Rejected, 0.002)
            .contains(&"reject q5 0.50".to_string())
    );
}

#[rstest]
fn a_query_is_rejected_at_once_if_its_last_warm_holder_is_full() {
    let mut host = Host::with(|d| d.router_count = 300);
    host.answer_queries(9, 3, 0.1);
    for group in 1..3 {
        host.update_endpoint(&format!("n{group}"), group, NodeState::Serving, Some(host.now));
    }
    assert_eq!(attempts(&host.query(0, &[0, 1])), ["attempt p0.0 n0", "attempt p0.1 n0"]);
    let decisions = host.attempt_ended("p0.1", 0, "n0", AttemptOutcome::Rejected, 0.002);
    assert_eq!(
        decisions,
        ["reject q0 0.50", "cancel p0.0 0"],
        "this router may send to the warming nodes only in some minutes"
    );
}

/// The weights of a query; `parts` says how often each weight stands.
fn weights(parts: &[(usize, f64)]) -> Vec<f64> {
    parts.iter().flat_map(|&(count, weight)| vec![weight; count]).collect()
}

/// Guards against a complete answer with a shard request missing, and an answer under the minimum fraction,
/// because rounded weights sum to more than they stand for. The first `succeeded` shard requests succeed, the
/// others fail; the comments give the true weights.
#[rstest]
// 0.189975 and 0.0049: one missing shard request has more weight than the sum exceeds 1 by.
#[case::whole(&[(4, 0.19), (49, 0.005)], (1.0, 1.0), 52, None)]
#[case::complete_fraction(&[(4, 0.19), (49, 0.005)], (0.999, 0.5), 52, Some("partial"))]
#[case::minimum_fraction(&[(4, 0.19), (49, 0.005)], (1.0, 0.88), 28, None)]
#[case::above_the_minimum(&[(4, 0.19), (49, 0.005)], (1.0, 0.88), 32, Some("partial"))]
// 0.0246 and 0.00513: the sum is less than 1, but what has succeeded was rounded up.
#[case::rounded_both_ways(&[(20, 0.025), (99, 0.005)], (1.0, 0.5), 20, None)]
// 0.2504 and 0.00522: all were rounded down.
#[case::rounded_down(&[(3, 0.25), (48, 0.005)], (1.0, 0.75), 4, Some("partial"))]
#[case::rounded_down_all(&[(3, 0.25), (48, 0.005)], (1.0, 1.0), 51, Some("complete"))]
#[case::exact(&[(10, 0.1)], (1.0, 0.7), 7, Some("partial"))]
#[case::hardly_any_weight(&[(1, 0.99996), (1, 0.00004)], (1.0, 1.0), 1, None)]
fn rounded_weights_never_make_an_answer_larger_than_it_is(
    #[case] parts: &[(usize, f64)],
    #[case] (complete_fraction, minimum_fraction): (f64, f64),
    #[case] succeeded: usize,
    #[case] answer: Option<&str>,
) {
    let mut host = Host::with(|d| {
        d.class.idempotency = Idempotency::NonIdempotent;
        (d.class.complete_fraction, d.class.minimum_fraction) = (complete_fraction, minimum_fraction);
    });
    let not_after = host.now + 6.0;
    host.round(|r| {
        r.query_arrived(0, "q0", 0, "", not_after);
        let requests = weights(parts).into_iter().enumerate();
        requests.for_each(|(i, weight)| r.shard_request_added(0, &format!("p0.{i}"), i as u32, weight));
    });
    let mut next = 0;
    while let Some(attempt) = attempts(&host.decisions).get(next).map(|attempt| attempt.to_string()) {
        next += 1;
        let words: Vec<&str> = attempt.split(' ').collect();
        let index: usize = words[1].trim_start_matches("p0.").parse().expect("an index");
        let outcome = if index < succeeded { AttemptOutcome::Success } else { AttemptOutcome::Error };
        host.attempt_ended(words[1], 0, words[2], outcome, 0.01);
    }
    host.wait(6.0);
    let answers: Vec<&String> = host.decisions.iter().filter(|line| line.starts_with("answer")).collect();
    assert_eq!(answers, answer.map(|answer| format!("answer q0 {answer}")).iter().collect::<Vec<_>>());
}
