//! Replies, cancellations and broken connections: the attempts that each of these events ends, and the
//! outcome of those attempts.
use crate::common::dispatcher::{start_attempts, write_next_frame};
use crate::{dispatcher, mark_open, open, policy_events};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use alderway_router::state::attempts::AttemptId;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::DialRequest;
use rstest::rstest;

#[rstest]
#[case::named(Some("q.2"), ["q.2 0 s Error", "q.1 0 s Cancelled"])]
#[case::unknown(Some("z.2"), ["q.1 0 s Error", "q.2 0 s Cancelled"])]
#[case::unnamed(None, ["q.1 0 s Error", "q.2 0 s Cancelled"])]
fn an_unreadable_reply_fails_one_attempt_and_cancels_the_others(
    #[case] named_request: Option<&str>,
    #[case] in_flight: [&str; 2],
) {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1, 2, 3]);
    let dial = start_attempts(&mut dispatcher, "s", &["q.1", "q.2", "q.3"]).remove(0);
    write_next_frame(&mut dispatcher, &dial);
    dispatcher.connection_corrupted("s", dial.connection, named_request);
    dispatcher.connection_lost("s", dial.connection);
    let mut events = policy_events(&mut dispatcher);
    events.sort();
    let mut expected = [in_flight[0], in_flight[1], "q.3 0 s NeverSent"];
    expected.sort();
    assert_eq!(events, expected);
}

#[rstest]
fn an_attempt_ended_while_its_frame_is_written_closes_the_connection() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1]);
    let dial = start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0);
    assert!(dispatcher.encode_next_frame("s", dial.connection, &mut vec![]));
    dispatcher.reject("q", None);
    assert!(dispatcher.endpoints.connection("s", dial.connection).expect("a connection").is_aborted);
}

#[rstest]
#[case::lost(|dispatcher: &mut Dispatcher, dial: &DialRequest| dispatcher.connection_lost("s", dial.connection))]
#[case::corrupted(|dispatcher: &mut Dispatcher, dial: &DialRequest| dispatcher.connection_corrupted("s", dial.connection, None))]
fn the_end_of_an_aborted_connection_does_not_end_a_later_attempt_with_the_same_id(
    #[case] end_connection: impl FnOnce(&mut Dispatcher, &DialRequest),
) {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1]);
    let aborted = start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0);
    assert!(dispatcher.encode_next_frame("s", aborted.connection, &mut vec![]));
    dispatcher.reject("q", None);
    // The client sends a query with the same id before the connection's task has closed the connection.
    open(&mut dispatcher, "q", &[1]);
    let dial = start_attempts(&mut dispatcher, "t", &["q.1"]).remove(0);
    assert!(write_next_frame(&mut dispatcher, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    policy_events(&mut dispatcher);
    end_connection(&mut dispatcher, &aborted);
    assert!(
        policy_events(&mut dispatcher).is_empty(),
        "the later attempt is in flight and may have been executed"
    );
    assert_eq!(dispatcher.attempts.in_flight_count(), 1);
}

#[rstest]
fn a_late_reply_does_not_end_an_attempt_of_a_later_query_with_the_same_id() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1]);
    let old = start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0);
    write_next_frame(&mut dispatcher, &old);
    // Without cancellation, the attempt stays in flight after its query has ended.
    dispatcher.reject("q", None);
    open(&mut dispatcher, "q", &[1]);
    let dial = start_attempts(&mut dispatcher, "t", &["q.1"]).remove(0);
    policy_events(&mut dispatcher);
    dispatcher.record_reply("s", old.connection, "q.1", AttemptOutcome::Rejected, "");
    assert!(policy_events(&mut dispatcher).is_empty(), "the frame of the later attempt is queued");
    assert!(write_next_frame(&mut dispatcher, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    assert!(policy_events(&mut dispatcher).is_empty());
}

#[rstest]
fn an_attempt_that_ended_while_its_frame_was_queued_is_not_sent() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1, 2]);
    let dial = start_attempts(&mut dispatcher, "s", &["q.1", "q.2"]).remove(0);
    let now = dispatcher.clock.now();
    dispatcher.attempts.end(&AttemptId::new("q.1", 0), AttemptOutcome::Cancelled, now);
    assert!(write_next_frame(&mut dispatcher, &dial).is_some_and(|text| text.starts_with("Sq.2 ")));
    assert_eq!(write_next_frame(&mut dispatcher, &dial), None);
}

#[rstest]
fn a_late_reply_does_not_end_a_later_attempt_at_the_same_node() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1]);
    let first = start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0);
    mark_open(&mut dispatcher, &first);
    write_next_frame(&mut dispatcher, &first);
    dispatcher.cancel_attempt("q.1", 0);
    let second = start_attempts(&mut dispatcher, "s", &["q.1"]);
    assert_eq!(second.len(), 1, "another connection");
    assert_eq!(write_next_frame(&mut dispatcher, &first).as_deref(), Some("Cq.1"));
    write_next_frame(&mut dispatcher, &second[0]);
    dispatcher.record_reply("s", first.connection, "q.1", AttemptOutcome::Rejected, "");
    assert_eq!(
        policy_events(&mut dispatcher),
        ["q.1 0 s Cancelled"],
        "the second attempt is still in flight"
    );
}

#[rstest]
fn a_silent_connection_gets_no_further_attempts() {
    let mut dispatcher = dispatcher();
    dispatcher.connection_config.dial_timeout_s = 0.05;
    open(&mut dispatcher, "q", &[1, 2, 3, 4]);
    let silent = start_attempts(&mut dispatcher, "s", &["q.1", "q.2"]).remove(0);
    mark_open(&mut dispatcher, &silent);
    write_next_frame(&mut dispatcher, &silent);
    let pause = || std::thread::sleep(std::time::Duration::from_millis(60));
    pause();
    dispatcher.record_reply("s", silent.connection, "q.1", AttemptOutcome::Success, "v");
    dispatcher.cancel_attempt("q.2", 0);
    assert!(
        start_attempts(&mut dispatcher, "s", &["q.3"]).is_empty(),
        "a reply came after `q.2` was sent, so the connection is not silent"
    );
    while write_next_frame(&mut dispatcher, &silent).is_some() {}
    pause();
    dispatcher.cancel_attempt("q.3", 0);
    assert_eq!(
        start_attempts(&mut dispatcher, "s", &["q.4"]).len(),
        1,
        "no reply came since: another connection is opened"
    );
}
