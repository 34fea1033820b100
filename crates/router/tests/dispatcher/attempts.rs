//! Attempts, from the decision of the policy, the code that starts attempts, to the last byte of the
//! attempts' frame.
use crate::common::dispatcher::{open_query, shard_requests, start_attempts, write_next_frame};
use crate::{dispatcher, mark_open, open, policy_events, update_endpoint};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use alderway::interface::Idempotency;
use alderway::interface::NodeState;
use alderway_router::state::dispatcher::Dispatcher;
use rstest::rstest;

#[rstest]
fn attempts_of_one_round_share_frames_on_one_connection() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1, 2, 3]);
    let dials = start_attempts(&mut dispatcher, "s", &["q.1", "q.2", "q.3"]);
    assert_eq!(dials.len(), 1);
    let frames = [
        write_next_frame(&mut dispatcher, &dials[0]),
        write_next_frame(&mut dispatcher, &dials[0]),
        write_next_frame(&mut dispatcher, &dials[0]),
    ];
    let attempts = frames.map(|frame| frame.map(|text| text.matches(" d=").count()));
    assert_eq!(attempts, [Some(2), Some(1), None]);
}

#[rstest]
fn a_connection_carries_no_more_attempts_than_streams_and_replies_free_streams() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1, 2, 3, 4, 5]);
    let first = start_attempts(&mut dispatcher, "s", &["q.1", "q.2", "q.3", "q.4"]);
    let second = start_attempts(&mut dispatcher, "s", &["q.5"]);
    assert_eq!((first.len(), second.len()), (1, 1));
    open(&mut dispatcher, "r", &[1]);
    while write_next_frame(&mut dispatcher, &first[0]).is_some() {}
    dispatcher.record_reply("s", first[0].connection, "q.1", AttemptOutcome::Success, "v");
    mark_open(&mut dispatcher, &first[0]);
    assert!(start_attempts(&mut dispatcher, "s", &["r.1"]).is_empty());
    assert!(write_next_frame(&mut dispatcher, &first[0]).is_some_and(|text| text.contains("r.1 ")));
}

#[rstest]
#[case::cancelled(|dispatcher: &mut Dispatcher, _| dispatcher.cancel_attempt("q.1", 0), "q.1 0 s Cancelled")]
#[case::answered_elsewhere(|dispatcher: &mut Dispatcher, _| {
    let dial = start_attempts(dispatcher, "t", &["q.1"]).remove(0);
    write_next_frame(dispatcher, &dial);
    dispatcher.record_reply("t", dial.connection, "q.1", AttemptOutcome::Success, "v");
}, "q.1 0 s Cancelled")]
#[case::query_ended(|dispatcher: &mut Dispatcher, _| dispatcher.reject("q", None), "q.1 0 s NeverSent")]
#[case::client_disconnected(|dispatcher: &mut Dispatcher, number| dispatcher.client_disconnected(number), "q.1 0 s Cancelled")]
#[case::node_drains(|dispatcher: &mut Dispatcher, _| update_endpoint(dispatcher, "s", 1, NodeState::Draining, None), "q.1 0 s NeverSent")]
#[case::node_removed(|dispatcher: &mut Dispatcher, _| update_endpoint(dispatcher, "s", 1, NodeState::Removed, None), "q.1 0 s NeverSent")]
fn an_attempt_ends_unsent_if_its_frame_has_not_begun(
    #[case] event: impl FnOnce(&mut Dispatcher, u64),
    #[case] outcome: &str,
) {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1]);
    let number = dispatcher.queries.number("q").expect("open");
    let dial = start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0);
    event(&mut dispatcher, number);
    mark_open(&mut dispatcher, &dial);
    assert_eq!(write_next_frame(&mut dispatcher, &dial), None);
    let events = policy_events(&mut dispatcher);
    assert!(events.iter().any(|event| event == outcome), "{events:?}");
}

#[rstest]
fn an_attempt_removed_from_a_queued_frame_leaves_the_others() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1, 2]);
    let dial = start_attempts(&mut dispatcher, "s", &["q.1", "q.2"]).remove(0);
    dispatcher.cancel_attempt("q.1", 0);
    let text = write_next_frame(&mut dispatcher, &dial).expect("a frame");
    assert!(text.starts_with("Sq.2 2 d="), "{text}");
}

#[rstest]
fn a_lost_connection_proves_non_execution_only_if_the_frame_was_not_written_completely() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1, 2, 3, 4]);
    let dial = start_attempts(&mut dispatcher, "s", &["q.1", "q.2", "q.3", "q.4"]).remove(0);
    write_next_frame(&mut dispatcher, &dial);
    // The second frame has begun, but its last byte is not written.
    assert!(dispatcher.encode_next_frame("s", dial.connection, &mut vec![]));
    dispatcher.connection_lost("s", dial.connection);
    let events = policy_events(&mut dispatcher);
    for outcome in
        ["q.1 0 s ConnectionReset", "q.2 0 s ConnectionReset", "q.3 0 s Unreachable", "q.4 0 s Unreachable"]
    {
        assert!(events.iter().any(|event| event == outcome), "{outcome}: {events:?}");
    }
    assert_eq!(dispatcher.attempts.in_flight_count(), 0);
}

#[rstest]
fn a_time_out_ends_the_attempt_and_sends_a_cancellation() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1]);
    dispatcher.start_attempt("q.1", "s", 0.05);
    let now = dispatcher.clock.now();
    let dial = dispatcher.flush_attempts(now).remove(0);
    assert!(write_next_frame(&mut dispatcher, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert_eq!(policy_events(&mut dispatcher), ["q.1 0 s TimedOut"]);
    assert_eq!(write_next_frame(&mut dispatcher, &dial).as_deref(), Some("Cq.1"));
}

/// Data nodes drop duplicates of a shard request only within the deduplication window. `first` is the outcome
/// of the first attempt; `second` is the beginning of the second attempt's frame, or `None` if that attempt
/// may not be sent after the window.
#[rstest]
#[case::failed(AttemptOutcome::Error, None)]
#[case::rejected(AttemptOutcome::Rejected, Some("Sq.1 "))]
fn a_deduplicated_request_is_not_repeated_after_its_window(
    #[case] first: AttemptOutcome,
    #[case] second: Option<&str>,
) {
    let mut dispatcher = dispatcher();
    dispatcher.query_classes[0].idempotency = Idempotency::IdempotentWithKey { window_s: 0.05 };
    open(&mut dispatcher, "q", &[1]);
    let dial = start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0);
    write_next_frame(&mut dispatcher, &dial);
    dispatcher.record_reply("s", dial.connection, "q.1", first, "");
    // The second attempt is started within the window, but its frame is to be written after the window.
    let dial = start_attempts(&mut dispatcher, "t", &["q.1"]).remove(0);
    policy_events(&mut dispatcher);
    std::thread::sleep(std::time::Duration::from_millis(60));
    let text = write_next_frame(&mut dispatcher, &dial);
    assert_eq!(text.as_deref().map(|text| &text[..5]), second);
    let expected = if second.is_none() { vec!["q.1 1 t NeverSent"] } else { vec![] };
    assert_eq!(policy_events(&mut dispatcher), expected);
}

#[rstest]
fn a_timed_out_attempt_does_not_begin_while_others_of_its_frame_do() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1, 2]);
    dispatcher.start_attempt("q.1", "s", 0.0);
    dispatcher.start_attempt("q.2", "s", 5.0);
    let now = dispatcher.clock.now();
    let dial = dispatcher.flush_attempts(now).remove(0);
    let text = write_next_frame(&mut dispatcher, &dial).expect("a frame");
    assert!(text.starts_with("Sq.2 "), "{text}");
    assert_eq!(policy_events(&mut dispatcher), ["q.1 0 s NeverSent"]);
}

/// Guards against an attempt for a client that no longer waits: the time-out of a planner's attempt counts
/// from the arrival of the decision, and may end after the client's deadline.
#[rstest]
fn an_attempt_does_not_begin_after_the_clients_deadline_whatever_its_time_out() {
    let mut dispatcher = dispatcher();
    open_query(&mut dispatcher, "q", 0, 0.05, shard_requests("q", &[1], 1.0), None).expect("the query opens");
    let dial = start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0);
    // No run of the policy has ended the query yet.
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert_eq!(write_next_frame(&mut dispatcher, &dial), None);
}
