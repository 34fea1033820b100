//! Shard requests that are split while attempts are in flight.
use crate::{body, change, dispatcher, moved, reply_received, send, split, take, told, write};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use rstest::rstest;

#[rstest]
fn a_part_that_nobody_holds_whole_is_divided_and_its_late_answer_takes_the_place_of_its_heirs() {
    let mut dispatcher = dispatcher(100);
    let client = take(&mut dispatcher, 0, 50);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &old);
    told(&mut dispatcher);
    // Split alone, it goes on as it is: the same cells hold all of it.
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)])]);
    assert!(!told(&mut dispatcher).iter().any(|t| t.contains("into")));
    change(&mut dispatcher, 3, vec![moved(3, &[2]), moved(4, &[3])]);
    let told_now = told(&mut dispatcher);
    assert!(
        told_now.contains(&r#"q.1.0-50 into [("q.3.0-20", 3, 0.4), ("q.4.20-50", 4, 0.6)]"#.to_string()),
        "{told_now:?}"
    );
    // A copy for one heir: its number follows on the parent's call.
    let new = send(&mut dispatcher, "n2", &["q.3.0-20"]);
    write(&mut dispatcher, &new);
    assert!(reply_received(
        &mut dispatcher,
        "n2",
        new.connection,
        "q.3.0-20",
        AttemptOutcome::Success,
        "keys=0-20",
        "new"
    ));
    assert_eq!(told(&mut dispatcher), ["q.3.0-20 1 n2 Success"]);
    assert!(reply_received(
        &mut dispatcher,
        "n0",
        old.connection,
        "q.1.0-50",
        AttemptOutcome::Success,
        "keys=0-50",
        "old"
    ));
    assert_eq!(told(&mut dispatcher), ["q.3.0-20 0 n0 Success", "q.4.20-50 0 n0 Success"]);
    dispatcher.answer("q", true);
    assert_eq!(body(&client), r#"{"whole":true,"results":[{"partition":1,"keys":[0,50],"value":"old"}]}"#);
    // Nothing of it is left once the shard's time is over.
    told(&mut dispatcher);
    let shard_map = dispatcher.shard_map.as_ref().expect("layouts");
    assert!(shard_map.families.is_empty());
    assert_eq!(shard_map.history().expect("known").retired_open_excluded_counts(), (1, 0, 0));
}

/// Guards against a part that only a node which hangs holds whole, while others hold each piece of it.

#[rstest]
fn a_part_is_divided_though_one_cell_still_holds_all_of_it() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &old);
    told(&mut dispatcher);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[0, 2]), moved(4, &[0, 3])]);
    let told = told(&mut dispatcher);
    assert!(told.iter().any(|t| t.starts_with("q.1.0-50 into")), "{told:?}");
    assert!(
        told.contains(&"shard 3 [0, 2] without {}".into())
            && told.contains(&"shard 4 [0, 3] without {}".into())
    );
}

#[rstest]
fn a_call_shared_by_heirs_is_given_up_only_when_none_waits() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &old);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[2]), moved(4, &[3])]);
    told(&mut dispatcher);
    dispatcher.cancel_attempt("q.3.0-20", 0);
    assert_eq!(told(&mut dispatcher), ["q.3.0-20 0 n0 Cancelled"]);
    assert_eq!(dispatcher.attempts.in_flight_count(), 1, "the other heir waits for it");
    dispatcher.cancel_attempt("q.4.20-50", 0);
    assert_eq!(told(&mut dispatcher), ["q.4.20-50 0 n0 Cancelled"]);
    assert_eq!(
        (dispatcher.attempts.in_flight_count(), write(&mut dispatcher, &old).as_str()),
        (0, "Cq.1.0-50")
    );
}

#[rstest]
fn a_failed_call_of_the_parent_is_told_to_each_heir() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    // An attempt comes of a decision, so that the policy knows the query.
    told(&mut dispatcher);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &old);
    // It ends, untold yet, before the change comes.
    dispatcher.connection_lost("n0", old.connection);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[2]), moved(4, &[3])]);
    let told = told(&mut dispatcher);
    assert!(
        told.ends_with(&["q.3.0-20 0 n0 ConnectionReset".into(), "q.4.20-50 0 n0 ConnectionReset".into()]),
        "{told:?}"
    );
}

#[rstest]
fn a_query_that_the_module_has_not_heard_of_is_told_as_it_is_now() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 10, 30);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)])]);
    let told = told(&mut dispatcher);
    let parts: Vec<&String> = told.iter().filter(|t| t.starts_with("part") || t.contains("into")).collect();
    assert_eq!(parts, ["part q.3.10-20 3 0.50", "part q.4.20-30 4 0.50"]);
}

#[rstest]
fn without_room_a_part_stays_whole_and_its_query_still_ends() {
    // One query, one part: no room for three heirs.
    let mut dispatcher = dispatcher(2);
    take(&mut dispatcher, 0, 50);
    told(&mut dispatcher);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20), (5, 30)])]);
    assert!(!told(&mut dispatcher).iter().any(|t| t.contains("into")));
    assert!(dispatcher.metrics_text().contains("divisions_without_room 1"));
    dispatcher.reject("q", None);
    assert_eq!((dispatcher.queries.reserved_count(), dispatcher.shared.capacity.free()), (0, 2));
}

#[rstest]
fn room_and_records_of_divided_parts_are_given_back_with_their_query() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 100);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50", "q.2.50-100"]);
    write(&mut dispatcher, &old);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[2]), moved(4, &[3])]);
    change(&mut dispatcher, 3, vec![split(4, &[(5, 20), (6, 30)]), moved(5, &[2]), moved(6, &[0, 1])]);
    let number = dispatcher.queries.number("q").expect("open");
    dispatcher.client_disconnected(number);
    told(&mut dispatcher);
    let shard_map = dispatcher.shard_map.as_ref().expect("layouts");
    assert!(shard_map.families.is_empty());
    assert_eq!(shard_map.history().expect("known").retired_open_excluded_counts().1, 0);
    assert_eq!((dispatcher.attempts.in_flight_count(), dispatcher.shared.capacity.free()), (0, 100));
}
