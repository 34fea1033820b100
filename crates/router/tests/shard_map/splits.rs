//! Shard requests that are split, after a change of the shard map, while attempts are in flight. The policy
//! is the code that decides about queries and attempts. A hedge is an additional attempt for a shard request
//! that has an attempt in flight.
use crate::common;
use crate::{
    apply_changes, dispatcher, move_shard, open_query_for_keys, policy_events, reply_received, response_body,
    split_shard, start_attempts, write_next_frame,
};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use alderway::interface::Idempotency;
use rstest::rstest;

/// Guards against a repeat after the deduplication window by way of a split: the parts of a split request
/// count the window from the attempts of that request.
#[rstest]
#[case::failed(AttemptOutcome::Error, None)]
#[case::rejected(AttemptOutcome::Rejected, Some("Sq.3.0-20 "))]
fn the_parts_of_a_split_request_are_not_sent_after_its_window(
    #[case] first: AttemptOutcome,
    #[case] frame: Option<&str>,
) {
    let mut dispatcher = dispatcher(100);
    dispatcher.query_classes[0].idempotency = Idempotency::IdempotentWithKey { window_s: 0.05 };
    open_query_for_keys(&mut dispatcher, 0, 50);
    let old = start_attempts(&mut dispatcher, "n0", &["q.1.0-50"]);
    write_next_frame(&mut dispatcher, &old);
    policy_events(&mut dispatcher);
    apply_changes(
        &mut dispatcher,
        2,
        vec![split_shard(1, &[(3, 0), (4, 20)]), move_shard(3, &[2]), move_shard(4, &[3])],
    );
    reply_received(&mut dispatcher, "n0", old.connection, "q.1.0-50", first, "", "");
    let new = start_attempts(&mut dispatcher, "n2", &["q.3.0-20"]);
    std::thread::sleep(std::time::Duration::from_millis(60));
    let sent = common::dispatcher::write_next_frame(&mut dispatcher, &new);
    assert_eq!(sent.as_deref().map(|text| &text[..10]), frame);
}

#[rstest]
fn a_request_without_a_common_holder_is_split_and_its_late_answer_replaces_those_of_its_parts() {
    let mut dispatcher = dispatcher(100);
    let client = open_query_for_keys(&mut dispatcher, 0, 50);
    let old = start_attempts(&mut dispatcher, "n0", &["q.1.0-50"]);
    write_next_frame(&mut dispatcher, &old);
    policy_events(&mut dispatcher);
    // After the split of the shard alone, the request is not split: the same replica groups hold all of its
    // keys.
    apply_changes(&mut dispatcher, 2, vec![split_shard(1, &[(3, 0), (4, 20)])]);
    assert!(!policy_events(&mut dispatcher).iter().any(|event| event.contains("split into")));
    apply_changes(&mut dispatcher, 3, vec![move_shard(3, &[2]), move_shard(4, &[3])]);
    let events = policy_events(&mut dispatcher);
    assert!(
        events.contains(&r#"q.1.0-50 split into [("q.3.0-20", 3, 0.4), ("q.4.20-50", 4, 0.6)]"#.to_string()),
        "{events:?}"
    );
    // A hedge for one part of the split: the number of the hedge follows the number of the attempt that was
    // started before the split.
    let new = start_attempts(&mut dispatcher, "n2", &["q.3.0-20"]);
    write_next_frame(&mut dispatcher, &new);
    assert!(reply_received(
        &mut dispatcher,
        "n2",
        new.connection,
        "q.3.0-20",
        AttemptOutcome::Success,
        "keys=0-20",
        "new"
    ));
    assert_eq!(policy_events(&mut dispatcher), ["q.3.0-20 1 n2 Success"]);
    assert!(reply_received(
        &mut dispatcher,
        "n0",
        old.connection,
        "q.1.0-50",
        AttemptOutcome::Success,
        "keys=0-50",
        "old"
    ));
    assert_eq!(policy_events(&mut dispatcher), ["q.3.0-20 0 n0 Success", "q.4.20-50 0 n0 Success"]);
    dispatcher.answer("q", true);
    assert_eq!(
        response_body(&client),
        r#"{"whole":true,"results":[{"partition":1,"keys":[0,50],"value":"old"}]}"#
    );
    // The split and the shard's open requests are dropped; the retired shard itself is kept for its grace
    // period.
    policy_events(&mut dispatcher);
    let shard_map = dispatcher.shard_map.as_ref().expect("a shard map");
    assert!(shard_map.families.is_empty());
    assert_eq!(shard_map.history().expect("a history").retired_open_excluded_counts(), (1, 0, 0));
}

/// Guards against a request that waits for a hanging data node, the only one that holds all keys of the
/// request, while other data nodes hold the keys of each part.
#[rstest]
fn a_request_is_split_even_if_one_replica_group_holds_all_of_its_keys() {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 0, 50);
    let old = start_attempts(&mut dispatcher, "n0", &["q.1.0-50"]);
    write_next_frame(&mut dispatcher, &old);
    policy_events(&mut dispatcher);
    apply_changes(
        &mut dispatcher,
        2,
        vec![split_shard(1, &[(3, 0), (4, 20)]), move_shard(3, &[0, 2]), move_shard(4, &[0, 3])],
    );
    let events = policy_events(&mut dispatcher);
    assert!(events.iter().any(|event| event.starts_with("q.1.0-50 split into")), "{events:?}");
    assert!(
        events.contains(&"shard 3 held by [0, 2] except {}".into())
            && events.contains(&"shard 4 held by [0, 3] except {}".into())
    );
}

#[rstest]
fn an_attempt_shared_by_parts_is_cancelled_when_no_part_waits() {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 0, 50);
    let old = start_attempts(&mut dispatcher, "n0", &["q.1.0-50"]);
    write_next_frame(&mut dispatcher, &old);
    apply_changes(
        &mut dispatcher,
        2,
        vec![split_shard(1, &[(3, 0), (4, 20)]), move_shard(3, &[2]), move_shard(4, &[3])],
    );
    policy_events(&mut dispatcher);
    dispatcher.cancel_attempt("q.3.0-20", 0);
    assert_eq!(policy_events(&mut dispatcher), ["q.3.0-20 0 n0 Cancelled"]);
    assert_eq!(dispatcher.attempts.in_flight_count(), 1, "the other part waits for the attempt");
    dispatcher.cancel_attempt("q.4.20-50", 0);
    assert_eq!(policy_events(&mut dispatcher), ["q.4.20-50 0 n0 Cancelled"]);
    assert_eq!(
        (dispatcher.attempts.in_flight_count(), write_next_frame(&mut dispatcher, &old).as_str()),
        (0, "Cq.1.0-50")
    );
}

#[rstest]
fn a_failed_attempt_of_a_split_request_is_reported_for_each_part() {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 0, 50);
    // Passes the query to the policy, which must receive a query before it can start attempts of the query.
    policy_events(&mut dispatcher);
    let old = start_attempts(&mut dispatcher, "n0", &["q.1.0-50"]);
    write_next_frame(&mut dispatcher, &old);
    // The attempt ends before the change, and the policy has not been notified yet.
    dispatcher.connection_lost("n0", old.connection);
    apply_changes(
        &mut dispatcher,
        2,
        vec![split_shard(1, &[(3, 0), (4, 20)]), move_shard(3, &[2]), move_shard(4, &[3])],
    );
    let events = policy_events(&mut dispatcher);
    assert!(
        events.ends_with(&["q.3.0-20 0 n0 ConnectionReset".into(), "q.4.20-50 0 n0 ConnectionReset".into()]),
        "{events:?}"
    );
}

#[rstest]
fn a_query_split_before_its_first_round_is_reported_with_its_parts() {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 10, 30);
    apply_changes(&mut dispatcher, 2, vec![split_shard(1, &[(3, 0), (4, 20)])]);
    let events = policy_events(&mut dispatcher);
    let requests: Vec<&String> =
        events.iter().filter(|event| event.starts_with("request") || event.contains("split into")).collect();
    assert_eq!(requests, ["request q.3.10-20 3 0.50", "request q.4.20-30 4 0.50"]);
}

#[rstest]
fn without_capacity_a_request_is_not_split_and_its_query_still_ends() {
    // The capacity suffices for one query with one request, but not for three parts.
    let mut dispatcher = dispatcher(2);
    open_query_for_keys(&mut dispatcher, 0, 50);
    policy_events(&mut dispatcher);
    apply_changes(&mut dispatcher, 2, vec![split_shard(1, &[(3, 0), (4, 20), (5, 30)])]);
    assert!(!policy_events(&mut dispatcher).iter().any(|event| event.contains("split into")));
    assert!(dispatcher.metrics_text().contains("divisions_without_room 1"));
    dispatcher.reject("q", None);
    assert_eq!((dispatcher.queries.reserved_count(), dispatcher.shared.capacity.free()), (0, 2));
}

#[rstest]
fn capacity_and_records_of_splits_are_released_with_their_query() {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 0, 100);
    let old = start_attempts(&mut dispatcher, "n0", &["q.1.0-50", "q.2.50-100"]);
    write_next_frame(&mut dispatcher, &old);
    apply_changes(
        &mut dispatcher,
        2,
        vec![split_shard(1, &[(3, 0), (4, 20)]), move_shard(3, &[2]), move_shard(4, &[3])],
    );
    apply_changes(
        &mut dispatcher,
        3,
        vec![split_shard(4, &[(5, 20), (6, 30)]), move_shard(5, &[2]), move_shard(6, &[0, 1])],
    );
    let number = dispatcher.queries.number("q").expect("open");
    dispatcher.client_disconnected(number);
    policy_events(&mut dispatcher);
    let shard_map = dispatcher.shard_map.as_ref().expect("a shard map");
    assert!(shard_map.families.is_empty());
    assert_eq!(shard_map.history().expect("a history").retired_open_excluded_counts().1, 0);
    assert_eq!((dispatcher.attempts.in_flight_count(), dispatcher.shared.capacity.free()), (0, 100));
}
