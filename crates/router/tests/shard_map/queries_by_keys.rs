//! Queries by keys and by shards: what is asked of which shard, and what counts as an answer.
use crate::{Target, ask, body, change, dispatcher, moved, reply_received, send, split, take, told, write};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use rstest::rstest;

#[rstest]
fn keys_are_asked_of_the_shards_that_cover_them_and_each_weighs_the_same() {
    let mut dispatcher = dispatcher(100);
    let client = take(&mut dispatcher, 40, 60);
    assert_eq!(told(&mut dispatcher), ["query q", "part q.1.40-50 1 0.50", "part q.2.50-60 2 0.50"]);
    let dial = send(&mut dispatcher, "n0", &["q.1.40-50", "q.2.50-60"]);
    let text = write(&mut dispatcher, &dial);
    assert!(text.starts_with("Sq.1.40-50 1 d=") && text.contains(",v=1,k=40-50 4\ntext"), "{text}");
    for (part, keys) in [("q.1.40-50", "keys=40-50"), ("q.2.50-60", "load=3,keys=50-60")] {
        assert!(reply_received(
            &mut dispatcher,
            "n0",
            dial.connection,
            part,
            AttemptOutcome::Success,
            keys,
            "v"
        ));
    }
    dispatcher.answer("q", true);
    assert_eq!(
        body(&client),
        r#"{"whole":true,"results":[{"partition":1,"keys":[40,50],"value":"v"},{"partition":2,"keys":[50,60],"value":"v"}]}"#
    );
}

#[rstest]
#[case::no_such_shard(&[(Some(9), None, 1.0)], "`partition` is no shard here")]
#[case::beyond_the_last_key(&[(None, Some((90, 101)), 1.0)], "`keys` are none here")]
#[case::no_keys_at_all(&[(None, Some((7, 7)), 1.0)], "`keys` are none here")]
#[case::backwards(&[(None, Some((9, 7)), 1.0)], "`keys` are none here")]
#[case::twice(&[(None, Some((0, 10)), 0.5), (None, Some((9, 20)), 0.5)], "`keys` stand twice")]
#[case::a_shard_and_its_keys(&[(Some(1), None, 0.5), (None, Some((9, 20)), 0.5)], "`keys` stand twice")]
#[case::both(&[(Some(1), Some((0, 10)), 1.0)], "a target names either `partition` or `keys`")]
fn a_query_for_what_is_not_there_is_refused(#[case] targets: &[Target], #[case] why: &str) {
    assert_eq!(ask(&mut dispatcher(100), "q", targets).err(), Some(why));
}

#[rstest]
#[case::not_mine(AttemptOutcome::Rejected, "moved=7", AttemptOutcome::ShardMoved)]
#[case::full_as_ever(AttemptOutcome::Rejected, "-", AttemptOutcome::Rejected)]
#[case::other_keys(AttemptOutcome::Success, "keys=0-40", AttemptOutcome::Error)]
#[case::keys_in_noise(AttemptOutcome::Success, "keys=0", AttemptOutcome::Error)]
#[case::a_node_that_knows_no_layouts(AttemptOutcome::Success, "inflight=7", AttemptOutcome::Success)]
fn what_a_node_says_of_the_layout_counts(
    #[case] ending: AttemptOutcome,
    #[case] report: &str,
    #[case] told_as: AttemptOutcome,
) {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let dial = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &dial);
    told(&mut dispatcher);
    assert!(reply_received(&mut dispatcher, "n0", dial.connection, "q.1.0-50", ending, report, "v"));
    let told = told(&mut dispatcher);
    assert!(told.contains(&format!("q.1.0-50 0 n0 {told_as:?}")), "{told:?}");
    let left_out = told.contains(&r#"shard 1 [0, 1] without {"n0"}"#.to_string());
    assert_eq!(left_out, told_as == AttemptOutcome::ShardMoved, "{told:?}");
}

#[rstest]
fn a_node_that_knows_no_layouts_cannot_answer_for_a_piece_of_its_shard() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 20);
    let dial = send(&mut dispatcher, "n0", &["q.1.0-20"]);
    write(&mut dispatcher, &dial);
    reply_received(
        &mut dispatcher,
        "n0",
        dial.connection,
        "q.1.0-20",
        AttemptOutcome::Success,
        "-",
        "of all its keys",
    );
    assert!(told(&mut dispatcher).contains(&"q.1.0-20 0 n0 Error".into()));
}

#[rstest]
fn a_client_that_asked_for_a_shard_gets_one_value_for_it_or_none() {
    let mut dispatcher = dispatcher(100);
    let client = ask(&mut dispatcher, "q", &[(Some(1), None, 1.0)]).expect("taken");
    let dial = send(&mut dispatcher, "n0", &["q.1"]);
    assert!(write(&mut dispatcher, &dial).contains(",k=0-50 "));
    told(&mut dispatcher);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[2]), moved(4, &[3])]);
    assert!(!told(&mut dispatcher).iter().any(|t| t.contains("into")), "pieces would be of no use to it");
    reply_received(&mut dispatcher, "n0", dial.connection, "q.1", AttemptOutcome::Success, "keys=0-50", "v");
    dispatcher.answer("q", true);
    assert_eq!(body(&client), r#"{"whole":true,"results":[{"partition":1,"keys":[0,50],"value":"v"}]}"#);
    assert_eq!(
        ask(&mut dispatcher, "r", &[(Some(1), None, 1.0)]).err(),
        Some("`partition` is no shard here")
    );
}
