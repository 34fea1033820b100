//! Whether a further attempt is allowed.

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
    #[case] calls: usize,
    #[case] last: &str,
) {
    let mut host = Host::with(|d| d.class.idempotency = Idempotency::NonIdempotent);
    host.query(0, &[0]);
    host.wait(1.0);
    assert_eq!(host.count("attempt"), 1, "never hedged");
    host.attempt_ended("p0.0", 0, "n0", outcome, 1.0);
    host.wait(0.1);
    assert_eq!(host.count("attempt"), calls);
    assert_eq!(host.count("fail"), usize::from(!last.is_empty()));
    assert_eq!(host.count("reject"), 0);
}

#[rstest]
#[case::inside_the_window(0.2, 2)]
#[case::after_it(0.8, 1)]
fn requests_with_an_idempotency_key_are_retried_only_inside_their_window(
    #[case] after: f64,
    #[case] calls: usize,
) {
    let mut host = Host::with(|d| d.class.idempotency = Idempotency::IdempotentWithKey { window_s: 0.5 });
    host.query(0, &[0]);
    host.wait(after);
    host.attempt_ended("p0.0", 0, "n0", AttemptOutcome::Error, after);
    host.wait(0.1);
    assert_eq!(host.count("attempt"), calls);
}

/// Guards against queries that bring down whoever begins a request of them: repeats would spread over all holders.
#[rstest]
#[case::nothing_came_in(false, 0)]
#[case::a_part_came_in(true, 2)]
fn a_query_that_may_have_crashed_two_nodes_gets_no_further_attempts(
    #[case] came_in: bool,
    #[case] repeats: usize,
) {
    let mut host = Host::with(|d| d.placement.groups_per_shard = 2);
    host.query(0, &[0, 1, 2]);
    let asked: Vec<String> = (0..3).map(|i| last_node(&host.decisions, &format!("p0.{i}"))).collect();
    if came_in {
        host.attempt_ended("p0.2", 0, &asked[2], AttemptOutcome::Success, 0.05);
    }
    let mut decisions = host.attempt_ended("p0.0", 0, &asked[0], AttemptOutcome::ConnectionReset, 0.05);
    decisions.extend(host.attempt_ended("p0.1", 0, &asked[1], AttemptOutcome::ConnectionReset, 0.05));
    assert_eq!(attempts(&decisions).len(), repeats, "{decisions:?}");
    assert_eq!(host.count("reject q0"), 0, "its third request is still in flight");
}

/// Guards against the next such query, or its client's next try, bringing down as many nodes as it has requests.
#[rstest]
fn one_attempt_goes_ahead_while_a_lost_node_may_be_warming_up() {
    let mut host = Host::with(|_| ());
    let asked = last_node(&host.query(0, &[0]), "p0.0");
    host.attempt_ended("p0.0", 0, &asked, AttemptOutcome::ConnectionReset, 0.05);
    assert_eq!(attempts(&host.query(1, &[0, 1, 2])).len(), 1);
    let asked = last_node(&host.decisions, "p1.0");
    assert_eq!(attempts(&host.attempt_ended("p1.0", 0, &asked, AttemptOutcome::Success, 0.05)).len(), 2);
    for request in ["p0.0", "p1.1", "p1.2"] {
        let (asked, attempt) =
            (last_node(&host.decisions, request), host.count(&format!("attempt {request} ")) - 1);
        host.attempt_ended(request, attempt, &asked, AttemptOutcome::Success, 0.05);
    }
    host.wait(16.1);
    assert_eq!(attempts(&host.query(2, &[0, 1, 2])).len(), 3);
}
