//! When a hedge goes out, when losers are cancelled, and when an attempt times out.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn a_late_request_is_hedged_and_the_loser_cancelled() {
    let mut host = Host::with(|_| ());
    host.query(0, &[0]);
    assert!(attempts(&host.wait(0.49)).is_empty(), "the start delay is a quarter of the latency objective");
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
fn the_hedge_delay_is_learned_from_the_shard() {
    let mut host = Host::with(|_| ());
    host.answer_queries(0, 20, 0.1);
    host.query(50, &[0]);
    assert_eq!(attempts(&host.wait(0.13)).len(), 1);
}

#[rstest]
fn a_request_that_takes_long_by_nature_is_not_replaced() {
    let mut host = Host::with(|d| (d.capabilities.can_hedge, d.class.latency_objective_s) = (false, 2.0));
    host.answer_queries(0, 20, 0.1);
    host.query(50, &[0]);
    let heavy = last_node(&host.decisions, "p50.0");
    host.wait(0.1);
    host.answer_queries(60, 3, 0.05);
    host.round(|r| r.timer_fired(1));
    assert_eq!(
        host.count("cancel p50.0"),
        0,
        "its node has answered others meanwhile, but it may just be long"
    );
    assert!(
        host.attempt_ended("p50.0", 0, &heavy, AttemptOutcome::Success, 0.2)
            .contains(&"answer q50 complete".to_string())
    );
}

/// Guards against hedges that feed an overload for requests that an answer may leave out.
#[rstest]
#[case::a_light_part(4, 0)]
#[case::a_part_that_the_floor_needs(3, 3)]
fn a_request_that_an_answer_may_leave_out_is_not_hedged(#[case] parts: u32, #[case] hedges: usize) {
    let mut host = Host::with(|d| d.class.minimum_fraction = 0.7);
    let shards: Vec<u32> = (0..parts).collect();
    host.query(0, &shards);
    assert_eq!(attempts(&host.wait(0.52)).len(), hedges);
}

/// Guards against requests long by nature that are all read as late where each shard is seldom seen.
#[rstest]
fn an_unknown_shard_is_late_after_twice_the_median_of_its_class() {
    let mut host = Host::with(|_| ());
    for n in 0..16 {
        let asked = last_node(&host.query(n, &[n as u32]), &format!("p{n}.0"));
        host.wait(0.4);
        host.attempt_ended(&format!("p{n}.0"), 0, &asked, AttemptOutcome::Success, 0.4);
    }
    host.query(20, &[20]);
    assert!(attempts(&host.wait(0.78)).is_empty(), "a quarter of the latency objective would be 0.5 s");
    assert_eq!(attempts(&host.wait(0.04)).len(), 1);
}

/// Guards against nodes at work for what nobody waits for, where a cancel drops no waiting work.
#[rstest]
#[case::late_answers_are_worth_nothing(0.0, 1.0, 2.0)]
#[case::what_came_is_answered_by_then(0.3, 0.7, 2.0)]
#[case::late_answers_are_worth_something(0.3, 1.0, 6.0)]
fn an_attempt_times_out_when_its_answer_has_no_value_left(
    #[case] late_share: f64,
    #[case] floor: f64,
    #[case] limit: f64,
) {
    let mut host =
        Host::with(|d| (d.class.late_weight_fraction, d.class.minimum_fraction) = (late_share, floor));
    host.query(0, &[0]);
    assert_eq!(host.timeouts_s, [limit]);
}

/// Longer than any attempt may take before it is late.
const LATE_S: f64 = 1.1;
/// What an attempt takes otherwise, and how many such queries come between two late ones: no load is shed.
const QUICK_S: f64 = 0.05;
const QUICK_QUERIES: u64 = 5;
/// By then no node is passed over any more.
const AVOIDANCE_ENDS_S: f64 = 16.0;

/// A query that gets late after some quick ones. Its first attempt's node, and how many hedges went out; it is answered
/// by the last of them where `hedge_wins` holds of that node, else by its first attempt.
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

/// A query of three shard requests that get late at the same time: for each the node of its first attempt, and whether a
/// hedge followed at once.
fn hedged_requests(host: &mut Host, number: u64) -> Vec<(String, bool)> {
    host.answer_queries(1000 * (number + 1), 20, QUICK_S);
    host.wait(AVOIDANCE_ENDS_S);
    let decisions = host.query(number, &[0, 0, 0]);
    let requests: Vec<String> = (0..3).map(|index| format!("p{number}.{index}")).collect();
    let first: Vec<String> = requests.iter().map(|request| last_node(&decisions, request)).collect();
    // The first hedge, and what goes out in the same moment.
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

/// Guards against an overload that hedges prolong: they lose past all nodes.
#[rstest]
#[case::nothing_is_known_yet(0, 3)]
#[case::all_have_lost(12, 1)]
fn hedges_that_lose_stop_but_for_trials(#[case] lost: u64, #[case] wanted: usize) {
    let mut host = Host::with(|d| d.capabilities.max_attempts = 2);
    (0..lost).for_each(|number| drop(late_query(&mut host, number, |_| false)));
    let requests = hedged_requests(&mut host, 100);
    assert_eq!(requests.iter().filter(|(_, hedged)| *hedged).count(), wanted, "{requests:?}");
}

/// Guards against a slow or silent node past which no hedge goes, as hedges lose elsewhere.
#[rstest]
fn hedges_that_win_go_on_past_that_node() {
    let mut host = Host::with(|d| d.capabilities.max_attempts = 2);
    let queries: Vec<_> =
        (0..40).map(|number| late_query(&mut host, number, |first| first == "n0")).collect();
    assert!(queries.iter().filter(|(first, hedges)| first == "n0" && *hedges > 0).count() > 2, "{queries:?}");
    let requests = hedged_requests(&mut host, 100);
    assert!(requests.contains(&("n0".to_string(), true)), "{requests:?}");
    assert!(requests.iter().filter(|(_, hedged)| *hedged).count() < 3, "{requests:?}");
}
