//! When a query is answered completely or partially, and when it is abandoned.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn a_partial_answer_goes_at_the_objective_and_never_below_the_minimum_fraction() {
    let mut host = Host::with(|d| {
        (d.class.minimum_fraction, d.capabilities.can_hedge, d.capabilities.can_cancel) = (0.6, false, false)
    });
    host.query(0, &[0, 1, 2]);
    let first = last_node(&host.decisions, "p0.0");
    let second = last_node(&host.decisions, "p0.1");
    host.attempt_ended("p0.0", 0, &first, AttemptOutcome::Success, 0.1);
    host.wait(1.99);
    assert_eq!(host.count("answer"), 0, "a third of the weight is under the floor");
    assert!(
        host.attempt_ended("p0.1", 0, &second, AttemptOutcome::Success, 1.99)
            .contains(&"answer q0 partial".to_string())
    );

    host.query(1, &[0, 1, 2]);
    for request in ["p1.0", "p1.1"] {
        let asked = last_node(&host.decisions, request);
        host.attempt_ended(request, 0, &asked, AttemptOutcome::Success, 0.1);
    }
    assert_eq!(host.count("answer q1"), 0);
    host.wait(2.0);
    assert_eq!(host.count("answer q1 partial"), 1);
}

/// Guards against shares that were rounded as they were written and add up to less than one: with many requests the rest
/// is more than sums may fall short by, and every such query was abandoned as it came.
#[rstest]
fn all_requests_make_a_complete_answer_whatever_their_weights_add_up_to() {
    let mut host = Host::with(|d| d.class.idempotency = Idempotency::NonIdempotent);
    let not_after = host.now + 6.0;
    host.round(|r| {
        r.query_arrived(0, "q0", 0, "", not_after);
        (0..138).for_each(|i| r.shard_request_added(0, &format!("p0.{i}"), i, 0.007246));
    });
    let mut ended = 0;
    while ended < attempts(&host.decisions).len() {
        let call = attempts(&host.decisions)[ended].to_string();
        let words: Vec<&str> = call.split(' ').collect();
        host.attempt_ended(words[1], 0, words[2], AttemptOutcome::Success, 0.01);
        ended += 1;
    }
    assert_eq!((ended, host.count("reject"), host.count("answer q0 complete")), (138, 0, 1));
}

#[rstest]
fn a_complete_answer_goes_as_soon_as_the_complete_fraction_is_reached() {
    let mut host = Host::with(|d| (d.class.complete_fraction, d.class.minimum_fraction) = (0.5, 0.5));
    host.query(0, &[0, 1]);
    let asked = last_node(&host.decisions, "p0.1");
    assert_eq!(
        host.attempt_ended("p0.1", 0, &asked, AttemptOutcome::Success, 0.1),
        ["answer q0 complete", "cancel p0.0 0"]
    );
}

#[rstest]
fn a_second_phase_needs_all_its_requests() {
    let mut host = Host::with(|d| d.class.second_phase_requests = 2);
    host.query(0, &[0, 1]);
    for request in ["p0.0", "p0.1"] {
        let asked = last_node(&host.decisions, request);
        host.attempt_ended(request, 0, &asked, AttemptOutcome::Success, 0.1);
    }
    assert_eq!(host.count("answer q0 complete"), 1);
    host.round(|r| (0..2).for_each(|i| r.shard_request_added(0, &format!("s{i}"), i, 0.5)));
    for (request, answers) in [("s0", 1), ("s1", 2)] {
        let asked = last_node(&host.decisions, request);
        host.attempt_ended(request, 0, &asked, AttemptOutcome::Success, 0.1);
        assert_eq!(host.count("answer q0 complete"), answers);
    }
}

#[rstest]
#[case::to_its_deadline(6.0, 0.3)]
#[case::already_past(0.0, 0.3)]
#[case::worthless_after_the_slo_time(6.0, 0.0)]
fn each_query_gets_one_final_answer_in_time(#[case] left: f64, #[case] late_share: f64) {
    let mut host = Host::with(|d| d.class.late_weight_fraction = late_share);
    let end = host.now + if late_share > 0.0 { left } else { 2.0 };
    host.query_until(0, &[0, 1], end.max(host.now + left), "");
    host.wait((end - host.now - 0.01).max(0.0));
    assert_eq!(host.count("reject q0") + host.count("fail q0"), 1);
    let until_then = host.decisions.len();
    host.wait(1.0);
    assert_eq!(host.decisions[until_then..].iter().filter(|n| !n.starts_with("log")).count(), 0);
}

#[rstest]
fn a_query_whose_client_disconnected_is_forgotten() {
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
    let mut asked: Vec<String> = (0..3)
        .map(|attempt| {
            let asked = last_node(&host.decisions, "p0.0");
            host.attempt_ended("p0.0", attempt, &asked, AttemptOutcome::Rejected, 0.002);
            asked
        })
        .collect();
    asked.sort();
    assert_eq!(asked, ["n0", "n1", "n2"], "each holder once");
    assert_eq!(host.count("reject q0"), 1, "a fourth leaf call is allowed, but nobody is left to take it");
}

#[rstest]
fn unresponsive_nodes_beside_a_full_one_do_not_keep_a_query_waiting() {
    let mut host = Host::with(|_| ());
    for (n, node) in [(0, "n0"), (1, "n1")] {
        host.round(|r| {
            for shut in ["n0", "n1", "n2"].iter().filter(|other| **other != node) {
                r.endpoint_updated(shut, shut[1..].parse().expect("a group"), NodeState::Draining, None);
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
    assert_eq!(attempts(&host.query(5, &[0])), ["attempt p5.0 n2"], "the other two do not connect");
    assert!(
        host.attempt_ended("p5.0", 0, "n2", AttemptOutcome::Rejected, 0.002)
            .contains(&"reject q5 0.50".to_string())
    );
}

#[rstest]
fn a_query_is_rejected_at_once_where_its_last_warm_holder_is_full() {
    let mut host = Host::with(|d| d.router_count = 300);
    host.answer_queries(9, 3, 0.1);
    for group in 1..3 {
        host.update_endpoint(&format!("n{group}"), group, NodeState::Serving, Some(host.now));
    }
    assert_eq!(attempts(&host.query(0, &[0, 1])), ["attempt p0.0 n0", "attempt p0.1 n0"]);
    let last = host.attempt_ended("p0.1", 0, "n0", AttemptOutcome::Rejected, 0.002);
    assert_eq!(last, ["reject q0 0.50", "cancel p0.0 0"], "the newcomers' turn comes in minutes only");
}
