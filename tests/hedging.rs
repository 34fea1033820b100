//! When hedges are sent, when the losing attempts are cancelled, and when attempts time out. A round is one
//! call of `Policy::round`.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn a_late_request_is_hedged_and_the_loser_cancelled() {
    let mut host = Host::with(|_| ());
    host.query(0, &[0]);
    assert!(attempts(&host.wait(0.49)).is_empty(), "the initial delay is a quarter of the latency objective");
    assert_eq!(attempts(&host.wait(0.03)), ["attempt p0.0 n1"]);
    assert_eq!(
        host.attempt_ended("p0.0", 1, "n1", AttemptOutcome::Success, 0.1),
        ["answer q0 complete", "cancel p0.0 0"]
    );
}

#[rstest]
fn a_late_hedge_is_hedged_at_the_third_holder() {
    let mut host = Host::with(|_| ());
    host.query(0, &[0]);
    host.wait(0.52);
    assert_eq!(attempts(&host.wait(0.4)).len(), 0, "the hedge has its own delay");
    assert_eq!(attempts(&host.wait(0.2)), ["attempt p0.0 n2"]);
    assert_eq!(attempts(&host.wait(0.5)).len(), 0, "two hedges at most");
}

#[rstest]
fn a_loser_is_cancelled_while_its_query_is_still_open() {
    let mut host = Host::with(|_| ());
    host.query(0, &[0, 1]);
    host.wait(0.52);
    assert_eq!(host.attempt_ended("p0.0", 1, "n1", AttemptOutcome::Success, 0.02), ["cancel p0.0 0"]);
}

#[rstest]
fn the_hedge_delay_is_estimated_from_the_latencies_of_the_shard() {
    let mut host = Host::with(|_| ());
    host.answer_queries(0, 20, 0.1);
    host.query(50, &[0]);
    assert_eq!(attempts(&host.wait(0.13)).len(), 1);
}

#[rstest]
fn a_slow_attempt_at_a_responsive_node_is_not_replaced() {
    let mut host = Host::with(|d| (d.capabilities.can_hedge, d.class.latency_objective_s) = (false, 2.0));
    host.answer_queries(0, 20, 0.1);
    host.query(50, &[0]);
    let node = last_node(&host.decisions, "p50.0");
    host.wait(0.1);
    host.answer_queries(60, 3, 0.05);
    host.round(|r| r.timer_fired(1));
    assert_eq!(
        host.count("cancel p50.0"),
        0,
        "its node has answered others, so that the request itself may be slow"
    );
    assert!(
        host.attempt_ended("p50.0", 0, &node, AttemptOutcome::Success, 0.2)
            .contains(&"answer q50 complete".to_string())
    );
}

/// Guards against hedges of shard requests that an answer may omit, which would add load to an overload.
#[rstest]
#[case::each_request_may_be_omitted(4, 0)]
#[case::each_request_is_needed_for_the_minimum_fraction(3, 3)]
fn a_request_that_an_answer_may_omit_is_not_hedged(#[case] requests: u32, #[case] hedges: usize) {
    let mut host = Host::with(|d| d.class.minimum_fraction = 0.7);
    let shards: Vec<u32> = (0..requests).collect();
    host.query(0, &shards);
    assert_eq!(attempts(&host.wait(0.52)).len(), hedges);
}

/// Guards against regarding normal attempts as late in a large deployment, in which a router rarely observes
/// a given shard.
#[rstest]
fn an_unknown_shard_is_late_after_twice_the_median_of_its_class() {
    let mut host = Host::with(|_| ());
    for n in 0..16 {
        let node = last_node(&host.query(n, &[n as u32]), &format!("p{n}.0"));
        host.wait(0.4);
        host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, 0.4);
    }
    host.query(20, &[20]);
    assert!(attempts(&host.wait(0.78)).is_empty(), "a quarter of the latency objective would be 0.5 s");
    assert_eq!(attempts(&host.wait(0.04)).len(), 1);
}

/// Guards against work of nodes for answers that no client waits for: a cancellation does not remove requests
/// that are queued at a node, so that attempts need a time-out.
#[rstest]
#[case::late_answers_have_no_value(0.0, 1.0, 2.0)]
#[case::answered_partially_at_the_objective(0.3, 0.7, 2.0)]
#[case::late_answers_have_some_value(0.3, 1.0, 6.0)]
fn an_attempt_times_out_when_its_answer_has_no_value_left(
    #[case] late_weight_fraction: f64,
    #[case] minimum_fraction: f64,
    #[case] timeout_s: f64,
) {
    let mut host = Host::with(|d| {
        (d.class.late_weight_fraction, d.class.minimum_fraction) = (late_weight_fraction, minimum_fraction)
    });
    host.query(0, &[0]);
    assert_eq!(host.timeouts_s, [timeout_s]);
}

/// Latency of a late attempt in seconds: more than the longest delay after which an attempt is late.
const LATE_S: f64 = 1.1;
/// Latency of the other attempts, and the number of such queries between two late ones, which keeps load
/// shedding off.
const QUICK_S: f64 = 0.05;
const QUICK_QUERIES: u64 = 5;
/// Seconds after which no node is avoided any more.
const AVOIDANCE_ENDS_S: f64 = 16.0;

/// Runs a query that becomes late, after some quick ones. Returns the node of its first attempt and the
/// number of hedges. The last hedge succeeds if `hedge_wins` is true for the node of the first attempt,
/// otherwise the first attempt does.
fn late_query(host: &mut Host, number: u64, hedge_wins: impl Fn(&str) -> bool) -> (String, usize) {
    host.answer_queries(1000 * (number + 1), QUICK_QUERIES, QUICK_S);
    let request = format!("p{number}.0");
    let first = last_node(&host.query(number, &[0]), &request);
    let decisions = host.wait(LATE_S);
    let hedges = attempts(&decisions).len();
    let hedge = (hedges > 0).then(|| last_node(&decisions, &request));
    let (winner, node) = match &hedge {
        Some(hedge) if hedge_wins(&first) => (1, hedge),
        _ => (0, &first),
    };
    host.attempt_ended(&request, winner, node, AttemptOutcome::Success, LATE_S);
    if let Some(hedge) = &hedge {
        let loser = if winner == 0 { hedge } else { &first };
        host.attempt_ended(&request, 1 - winner, loser, AttemptOutcome::Cancelled, LATE_S);
    }
    (first, hedges)
}

/// Runs a query with three shard requests that become late at the same time. Returns for each shard request
/// the node of its first attempt, and whether the shard request was hedged in the round in which the first
/// hedge was sent.
fn hedged_requests(host: &mut Host, number: u64) -> Vec<(String, bool)> {
    host.answer_queries(1000 * (number + 1), 20, QUICK_S);
    host.wait(AVOIDANCE_ENDS_S);
    let decisions = host.query(number, &[0, 0, 0]);
    let requests: Vec<String> = (0..3).map(|index| format!("p{number}.{index}")).collect();
    let first: Vec<String> = requests.iter().map(|request| last_node(&decisions, request)).collect();
    // Decisions of the round in which the first hedge is sent.
    let mut hedges = vec![];
    for _ in 0..(LATE_S / 0.01) as usize {
        hedges = host.wait(0.01);
        if !attempts(&hedges).is_empty() {
            break;
        }
    }
    let is_hedged =
        |request: &String| hedges.iter().any(|one| one.starts_with(&format!("attempt {request} ")));
    first.into_iter().zip(requests.iter().map(is_hedged)).collect()
}

/// Guards against hedges that prolong an overload: in an overload hedges lose for all nodes, and are then
/// sent only as trials. `lost` is the number of queries whose hedges lost before; `expected` is the number of
/// hedges that are then sent for three late shard requests.
#[rstest]
#[case::no_hedge_has_ended(0, 3)]
#[case::all_have_lost(12, 1)]
fn hedges_that_lose_are_sent_only_as_trials(#[case] lost: u64, #[case] expected: usize) {
    let mut host = Host::with(|d| d.capabilities.max_attempts = 2);
    (0..lost).for_each(|number| drop(late_query(&mut host, number, |_| false)));
    let requests = hedged_requests(&mut host, 100);
    assert_eq!(requests.iter().filter(|(_, hedged)| *hedged).count(), expected, "{requests:?}");
}

/// Guards against one win rate for all nodes: if hedges win for attempts at the slow node n0 and lose for
/// attempts at the other nodes, attempts at n0 are still hedged.
#[rstest]
fn hedges_go_on_for_a_node_for_which_they_win() {
    let mut host = Host::with(|d| d.capabilities.max_attempts = 2);
    let queries: Vec<_> =
        (0..40).map(|number| late_query(&mut host, number, |first| first == "n0")).collect();
    assert!(queries.iter().filter(|(first, hedges)| first == "n0" && *hedges > 0).count() > 2, "{queries:?}");
    let requests = hedged_requests(&mut host, 100);
    assert!(requests.contains(&("n0".to_string(), true)), "{requests:?}");
    assert!(requests.iter().filter(|(_, hedged)| *hedged).count() < 3, "{requests:?}");
}
