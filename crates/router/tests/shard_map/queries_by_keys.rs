//! Queries for keys and queries for shards: the shard requests that the dispatcher creates for these queries,
//! and the replies that count as answers.
use crate::{
    Target, apply_changes, dispatcher, move_shard, open_query_for, open_query_for_keys, policy_events,
    reply_received, response_body, split_shard, start_attempts, write_next_frame,
};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use rstest::rstest;

#[rstest]
fn keys_are_requested_from_the_shards_that_cover_them_with_equal_weights() {
    let mut dispatcher = dispatcher(100);
    let client = open_query_for_keys(&mut dispatcher, 40, 60);
    assert_eq!(
        policy_events(&mut dispatcher),
        ["query q", "request q.1.40-50 1 0.50", "request q.2.50-60 2 0.50"]
    );
    let dial = start_attempts(&mut dispatcher, "n0", &["q.1.40-50", "q.2.50-60"]);
    let text = write_next_frame(&mut dispatcher, &dial);
    assert!(text.starts_with("Sq.1.40-50 1 d=") && text.contains(",v=1,k=40-50 4\ntext"), "{text}");
    for (request, report) in [("q.1.40-50", "keys=40-50"), ("q.2.50-60", "load=3,keys=50-60")] {
        assert!(reply_received(
            &mut dispatcher,
            "n0",
            dial.connection,
            request,
            AttemptOutcome::Success,
            report,
            "v"
        ));
    }
    dispatcher.answer("q", true);
    assert_eq!(
        response_body(&client),
        r#"{"whole":true,"results":[{"partition":1,"keys":[40,50],"value":"v"},{"partition":2,"keys":[50,60],"value":"v"}]}"#
    );
}

#[rstest]
#[case::no_such_shard(&[(Some(9), None, 1.0)], "`partition` is no shard here")]
#[case::beyond_the_last_key(&[(None, Some((90, 101)), 1.0)], "`keys` are none here")]
#[case::empty_range(&[(None, Some((7, 7)), 1.0)], "`keys` are none here")]
#[case::reversed_range(&[(None, Some((9, 7)), 1.0)], "`keys` are none here")]
#[case::overlapping_keys(&[(None, Some((0, 10)), 0.5), (None, Some((9, 20)), 0.5)], "`keys` stand twice")]
#[case::a_shard_and_its_keys(&[(Some(1), None, 0.5), (None, Some((9, 20)), 0.5)], "`keys` stand twice")]
#[case::shard_and_keys(&[(Some(1), Some((0, 10)), 1.0)], "a target names either `partition` or `keys`")]
fn a_query_with_invalid_targets_is_rejected(#[case] targets: &[Target], #[case] error: &str) {
    assert_eq!(open_query_for(&mut dispatcher(100), "q", targets).err(), Some(error));
}

#[rstest]
#[case::shard_not_held(AttemptOutcome::Rejected, "moved=7", AttemptOutcome::ShardMoved)]
#[case::rejected(AttemptOutcome::Rejected, "-", AttemptOutcome::Rejected)]
#[case::other_keys(AttemptOutcome::Success, "keys=0-40", AttemptOutcome::Error)]
#[case::unreadable_keys(AttemptOutcome::Success, "keys=0", AttemptOutcome::Error)]
#[case::node_without_shard_map(AttemptOutcome::Success, "inflight=7", AttemptOutcome::Success)]
fn reports_about_the_shard_map_correct_the_outcome(
    #[case] outcome: AttemptOutcome,
    #[case] report: &str,
    #[case] expected: AttemptOutcome,
) {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 0, 50);
    let dial = start_attempts(&mut dispatcher, "n0", &["q.1.0-50"]);
    write_next_frame(&mut dispatcher, &dial);
    policy_events(&mut dispatcher);
    assert!(reply_received(&mut dispatcher, "n0", dial.connection, "q.1.0-50", outcome, report, "v"));
    let events = policy_events(&mut dispatcher);
    assert!(events.contains(&format!("q.1.0-50 0 n0 {expected:?}")), "{events:?}");
    let is_excluded = events.contains(&r#"shard 1 held by [0, 1] except {"n0"}"#.to_string());
    assert_eq!(is_excluded, expected == AttemptOutcome::ShardMoved, "{events:?}");
}

#[rstest]
fn a_node_without_shard_map_cannot_answer_for_part_of_a_shard() {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 0, 20);
    let dial = start_attempts(&mut dispatcher, "n0", &["q.1.0-20"]);
    write_next_frame(&mut dispatcher, &dial);
    reply_received(
        &mut dispatcher,
        "n0",
        dial.connection,
        "q.1.0-20",
        AttemptOutcome::Success,
        "-",
        "value for the whole shard",
    );
    assert!(policy_events(&mut dispatcher).contains(&"q.1.0-20 0 n0 Error".into()));
}

#[rstest]
fn a_request_for_a_whole_shard_is_not_split() {
    let mut dispatcher = dispatcher(100);
    let client = open_query_for(&mut dispatcher, "q", &[(Some(1), None, 1.0)]).expect("the query opens");
    let dial = start_attempts(&mut dispatcher, "n0", &["q.1"]);
    assert!(write_next_frame(&mut dispatcher, &dial).contains(",k=0-50 "));
    policy_events(&mut dispatcher);
    apply_changes(
        &mut dispatcher,
        2,
        vec![split_shard(1, &[(3, 0), (4, 20)]), move_shard(3, &[2]), move_shard(4, &[3])],
    );
    assert!(
        !policy_events(&mut dispatcher).iter().any(|event| event.contains("split into")),
        "the client needs one value for the shard"
    );
    reply_received(&mut dispatcher, "n0", dial.connection, "q.1", AttemptOutcome::Success, "keys=0-50", "v");
    dispatcher.answer("q", true);
    assert_eq!(
        response_body(&client),
        r#"{"whole":true,"results":[{"partition":1,"keys":[0,50],"value":"v"}]}"#
    );
    assert_eq!(
        open_query_for(&mut dispatcher, "r", &[(Some(1), None, 1.0)]).err(),
        Some("`partition` is no shard here")
    );
}
