//! Replies, cancellations and broken connections: which attempt each ends, and what it proves.
use crate::common::dispatcher::{send, write};
use crate::{dispatcher, take, told, up};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use alderway_router::state::attempts::AttemptId;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::Dial;
use rstest::rstest;

#[rstest]
#[case::named(Some("q.2"), ["q.2 0 s Error", "q.1 0 s Cancelled"])]
#[case::of_nobody(Some("z.2"), ["q.1 0 s Error", "q.2 0 s Cancelled"])]
#[case::nameless(None, ["q.1 0 s Error", "q.2 0 s Cancelled"])]
fn a_spoilt_answer_is_one_failed_call_and_those_beside_it_are_given_up(
    #[case] part: Option<&str>,
    #[case] out: [&str; 2],
) {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1, 2, 3]);
    let dial = send(&mut dispatcher, "s", &["q.1", "q.2", "q.3"]).remove(0);
    write(&mut dispatcher, &dial);
    dispatcher.connection_corrupted("s", dial.connection, part);
    dispatcher.connection_lost("s", dial.connection);
    let mut told = told(&mut dispatcher);
    told.sort();
    let mut all = [out[0], out[1], "q.3 0 s NeverSent"];
    all.sort();
    assert_eq!(told, all);
}

#[rstest]
fn a_part_given_up_in_the_midst_of_its_frame_ends_the_connection() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1]);
    let dial = send(&mut dispatcher, "s", &["q.1"]).remove(0);
    assert!(dispatcher.next_frame("s", dial.connection, &mut vec![]));
    dispatcher.reject("q", None);
    assert!(dispatcher.endpoints.connection("s", dial.connection).expect("a connection").is_aborted);
}

#[rstest]
#[case::broken(|dispatcher: &mut Dispatcher, dial: &Dial| dispatcher.connection_lost("s", dial.connection))]
#[case::spoilt(|dispatcher: &mut Dispatcher, dial: &Dial| dispatcher.connection_corrupted("s", dial.connection, None))]
fn a_connection_cut_over_a_part_says_nothing_of_a_later_call_by_the_same_id(
    #[case] ends: impl FnOnce(&mut Dispatcher, &Dial),
) {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1]);
    let cut = send(&mut dispatcher, "s", &["q.1"]).remove(0);
    assert!(dispatcher.next_frame("s", cut.connection, &mut vec![]));
    dispatcher.reject("q", None);
    // The client asks again by the same id before the driver has left the connection.
    take(&mut dispatcher, "q", &[1]);
    let dial = send(&mut dispatcher, "t", &["q.1"]).remove(0);
    assert!(write(&mut dispatcher, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    told(&mut dispatcher);
    ends(&mut dispatcher, &cut);
    assert!(told(&mut dispatcher).is_empty(), "the later call is out, and may have run");
    assert_eq!(dispatcher.attempts.in_flight_count(), 1);
}

#[rstest]
fn a_late_reply_is_not_taken_for_that_of_a_later_query_by_the_same_id() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1]);
    let old = send(&mut dispatcher, "s", &["q.1"]).remove(0);
    write(&mut dispatcher, &old);
    // Where nothing may be cancelled, the call stays out after its query's answer.
    dispatcher.reject("q", None);
    take(&mut dispatcher, "q", &[1]);
    let dial = send(&mut dispatcher, "t", &["q.1"]).remove(0);
    told(&mut dispatcher);
    dispatcher.record_reply("s", old.connection, "q.1", AttemptOutcome::Rejected, "");
    assert!(told(&mut dispatcher).is_empty(), "the later call waits to go out");
    assert!(write(&mut dispatcher, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    assert!(told(&mut dispatcher).is_empty());
}

#[rstest]
fn a_call_that_ended_while_its_frame_waited_does_not_begin() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1, 2]);
    let dial = send(&mut dispatcher, "s", &["q.1", "q.2"]).remove(0);
    let now = dispatcher.clock.now();
    dispatcher.attempts.end(&AttemptId::new("q.1", 0), AttemptOutcome::Cancelled, now);
    assert!(write(&mut dispatcher, &dial).is_some_and(|text| text.starts_with("Sq.2 ")));
    assert_eq!(write(&mut dispatcher, &dial), None);
}

#[rstest]
fn a_late_reply_is_not_taken_for_that_of_a_later_call_to_the_same_node() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1]);
    let first = send(&mut dispatcher, "s", &["q.1"]).remove(0);
    up(&mut dispatcher, &first);
    write(&mut dispatcher, &first);
    dispatcher.cancel_attempt("q.1", 0);
    let second = send(&mut dispatcher, "s", &["q.1"]);
    assert_eq!(second.len(), 1, "another connection");
    assert_eq!(write(&mut dispatcher, &first).as_deref(), Some("Cq.1"));
    write(&mut dispatcher, &second[0]);
    dispatcher.record_reply("s", first.connection, "q.1", AttemptOutcome::Rejected, "");
    assert_eq!(told(&mut dispatcher), ["q.1 0 s Cancelled"], "the second call is still out");
}

#[rstest]
fn a_connection_that_fell_silent_gets_no_further_call() {
    let mut dispatcher = dispatcher();
    dispatcher.connection_config.dial_timeout_s = 0.05;
    take(&mut dispatcher, "q", &[1, 2, 3, 4]);
    let silent = send(&mut dispatcher, "s", &["q.1", "q.2"]).remove(0);
    up(&mut dispatcher, &silent);
    write(&mut dispatcher, &silent);
    let pause = || std::thread::sleep(std::time::Duration::from_millis(60));
    pause();
    dispatcher.record_reply("s", silent.connection, "q.1", AttemptOutcome::Success, "v");
    dispatcher.cancel_attempt("q.2", 0);
    assert!(
        send(&mut dispatcher, "s", &["q.3"]).is_empty(),
        "heard since `q.2` went out: a slow part, no more"
    );
    while write(&mut dispatcher, &silent).is_some() {}
    pause();
    dispatcher.cancel_attempt("q.3", 0);
    assert_eq!(send(&mut dispatcher, "s", &["q.4"]).len(), 1, "nothing heard since: another connection");
}
