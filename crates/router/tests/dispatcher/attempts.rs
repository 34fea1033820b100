//! Attempts from the policy's decision to the last byte of their frame.
use crate::common::dispatcher::{send, write};
use crate::{dispatcher, endpoints, take, told, up};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use alderway::interface::Idempotency;
use alderway::interface::NodeState;
use alderway_router::state::dispatcher::Dispatcher;
use rstest::rstest;

#[rstest]
fn parts_of_one_round_are_calls_of_a_bundle_on_one_connection() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1, 2, 3]);
    let dials = send(&mut dispatcher, "s", &["q.1", "q.2", "q.3"]);
    assert_eq!(dials.len(), 1);
    let frames = [
        write(&mut dispatcher, &dials[0]),
        write(&mut dispatcher, &dials[0]),
        write(&mut dispatcher, &dials[0]),
    ];
    let parts = frames.map(|f| f.map(|text| text.matches(" d=").count()));
    assert_eq!(parts, [Some(2), Some(1), None]);
}

#[rstest]
fn a_connection_carries_no_more_than_its_places_and_answers_free_them() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1, 2, 3, 4, 5]);
    let first = send(&mut dispatcher, "s", &["q.1", "q.2", "q.3", "q.4"]);
    let second = send(&mut dispatcher, "s", &["q.5"]);
    assert_eq!((first.len(), second.len()), (1, 1));
    take(&mut dispatcher, "r", &[1]);
    while write(&mut dispatcher, &first[0]).is_some() {}
    dispatcher.record_reply("s", first[0].connection, "q.1", AttemptOutcome::Success, "v");
    up(&mut dispatcher, &first[0]);
    assert!(send(&mut dispatcher, "s", &["r.1"]).is_empty());
    assert!(write(&mut dispatcher, &first[0]).is_some_and(|text| text.contains("r.1 ")));
}

#[rstest]
#[case::cancelled(|dispatcher: &mut Dispatcher, _| dispatcher.cancel_attempt("q.1", 0), "q.1 0 s Cancelled")]
#[case::answered_elsewhere(|dispatcher: &mut Dispatcher, _| {
    let dial = send(dispatcher, "t", &["q.1"]).remove(0);
    write(dispatcher, &dial);
    dispatcher.record_reply("t", dial.connection, "q.1", AttemptOutcome::Success, "v");
}, "q.1 0 s Cancelled")]
#[case::query_over(|dispatcher: &mut Dispatcher, _| dispatcher.reject("q", None), "q.1 0 s NeverSent")]
#[case::client_gone(|dispatcher: &mut Dispatcher, number| dispatcher.client_disconnected(number), "q.1 0 s Cancelled")]
#[case::node_drains(|dispatcher: &mut Dispatcher, _| endpoints(dispatcher, "s", 1, NodeState::Draining, None), "q.1 0 s NeverSent")]
#[case::node_gone(|dispatcher: &mut Dispatcher, _| endpoints(dispatcher, "s", 1, NodeState::Removed, None), "q.1 0 s NeverSent")]
fn a_frame_not_begun_is_taken_back(#[case] happens: impl FnOnce(&mut Dispatcher, u64), #[case] ending: &str) {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1]);
    let number = dispatcher.queries.number("q").expect("open");
    let dial = send(&mut dispatcher, "s", &["q.1"]).remove(0);
    happens(&mut dispatcher, number);
    up(&mut dispatcher, &dial);
    assert_eq!(write(&mut dispatcher, &dial), None);
    let told = told(&mut dispatcher);
    assert!(told.iter().any(|t| t == ending), "{told:?}");
}

#[rstest]
fn a_part_taken_back_leaves_the_rest_of_its_call() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1, 2]);
    let dial = send(&mut dispatcher, "s", &["q.1", "q.2"]).remove(0);
    dispatcher.cancel_attempt("q.1", 0);
    let text = write(&mut dispatcher, &dial).expect("a call");
    assert!(text.starts_with("Sq.2 2 d="), "{text}");
}

#[rstest]
fn only_a_break_before_the_last_byte_proves_that_a_part_never_ran() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1, 2, 3, 4]);
    let dial = send(&mut dispatcher, "s", &["q.1", "q.2", "q.3", "q.4"]).remove(0);
    write(&mut dispatcher, &dial);
    // The second call has begun, its last byte is not written.
    assert!(dispatcher.next_frame("s", dial.connection, &mut vec![]));
    dispatcher.connection_lost("s", dial.connection);
    let told = told(&mut dispatcher);
    for ending in
        ["q.1 0 s ConnectionReset", "q.2 0 s ConnectionReset", "q.3 0 s Unreachable", "q.4 0 s Unreachable"]
    {
        assert!(told.iter().any(|t| t == ending), "{ending}: {told:?}");
    }
    assert_eq!(dispatcher.attempts.in_flight_count(), 0);
}

#[rstest]
fn a_time_out_ends_the_call_and_tells_the_node() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1]);
    dispatcher.start_attempt("q.1", "s", 0.05);
    let now = dispatcher.clock.now();
    let dial = dispatcher.flush_attempts(now).remove(0);
    assert!(write(&mut dispatcher, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert_eq!(told(&mut dispatcher), ["q.1 0 s TimedOut"]);
    assert_eq!(write(&mut dispatcher, &dial).as_deref(), Some("Cq.1"));
}

/// How the first call of a part ends, and whether another may begin once its window is over.
#[rstest]
#[case::failed(AttemptOutcome::Error, None)]
#[case::turned_away(AttemptOutcome::Rejected, Some("Sq.1 "))]
fn a_deduplicated_part_that_waited_past_its_window_does_not_begin_again(
    #[case] first: AttemptOutcome,
    #[case] second: Option<&str>,
) {
    let mut dispatcher = dispatcher();
    dispatcher.query_classes[0].idempotency = Idempotency::IdempotentWithKey { window_s: 0.05 };
    take(&mut dispatcher, "q", &[1]);
    let dial = send(&mut dispatcher, "s", &["q.1"]).remove(0);
    write(&mut dispatcher, &dial);
    dispatcher.record_reply("s", dial.connection, "q.1", first, "");
    // Decided in time; the connection comes up when the node drops no repeat any more.
    let dial = send(&mut dispatcher, "t", &["q.1"]).remove(0);
    told(&mut dispatcher);
    std::thread::sleep(std::time::Duration::from_millis(60));
    let text = write(&mut dispatcher, &dial);
    assert_eq!(text.as_deref().map(|text| &text[..5]), second);
    let ended = if second.is_none() { vec!["q.1 1 t NeverSent"] } else { vec![] };
    assert_eq!(told(&mut dispatcher), ended);
}

#[rstest]
fn a_call_whose_time_is_over_does_not_begin_and_those_beside_it_do() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1, 2]);
    dispatcher.start_attempt("q.1", "s", 0.0);
    dispatcher.start_attempt("q.2", "s", 5.0);
    let now = dispatcher.clock.now();
    let dial = dispatcher.flush_attempts(now).remove(0);
    let text = write(&mut dispatcher, &dial).expect("a call");
    assert!(text.starts_with("Sq.2 "), "{text}");
    assert_eq!(told(&mut dispatcher), ["q.1 0 s NeverSent"]);
}
