//! Compares the wire format between forwarders and planners with recorded bytes. Each line of
//! `data/frames.hex` holds the name of a frame and its bytes in hex.
use alderway_tier::messages::{Message, PriorAttempt, WireOutcome};
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello, encode_message};
use rstest::rstest;
use std::collections::BTreeMap;

const RECORDED_FRAMES: &str = include_str!("data/frames.hex");

fn recorded_frames() -> BTreeMap<&'static str, Vec<u8>> {
    let frame = |line: &'static str| {
        let (name, digits) = line.split_once(' ').expect("a name and its bytes");
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two hex digits");
        (name, (0..digits.len()).step_by(2).map(byte).collect())
    };
    RECORDED_FRAMES.lines().map(frame).collect()
}

fn hellos() -> Vec<(&'static str, Hello)> {
    vec![
        (
            "hello_of_a_planner",
            Hello {
                version: 1,
                is_planner: true,
                incarnation: 0x0102_0304_0506_0708,
                name: "10.0.0.5:6000".into(),
            },
        ),
        (
            "hello_of_a_forwarder",
            Hello { version: 1, is_planner: false, incarnation: 7, name: "n0-f\u{fc}r".into() },
        ),
    ]
}

/// Messages of every variant, with every variant of their optional fields.
fn messages() -> Vec<(&'static str, Message)> {
    let ended = |name, outcome| {
        let (request, node) = ("q-1.3".into(), "s-17".into());
        (name, Message::AttemptEnded { request, attempt: 2, node, outcome, latency_s: 0.0625 })
    };
    let prior_attempts = vec![
        PriorAttempt { node: "s-1".into(), age_s: 0.25, outcome: None },
        PriorAttempt { node: "s-2".into(), age_s: 0.5, outcome: Some(WireOutcome::ConnectionReset) },
        PriorAttempt { node: "s-3".into(), age_s: 1.75, outcome: Some(WireOutcome::ShardMoved) },
    ];
    vec![
        (
            "take",
            Message::AssignQuery {
                term: 300,
                query: "q-1".into(),
                query_class: 4,
                tenant: "c-9".into(),
                time_left_s: 0.75,
                requests: vec![
                    ("q-1.3".into(), 3, 0.5, prior_attempts),
                    ("q-1.200".into(), 200, 0.125, vec![]),
                ],
            },
        ),
        ended("ended_success", WireOutcome::Success),
        ended("ended_error", WireOutcome::Error),
        ended("ended_full", WireOutcome::Rejected),
        ended("ended_timed_out", WireOutcome::TimedOut),
        ended("ended_unreachable", WireOutcome::Unreachable),
        ended("ended_reset", WireOutcome::ConnectionReset),
        ended("ended_cancelled", WireOutcome::Cancelled),
        ended("ended_never_sent", WireOutcome::NeverSent),
        ended("ended_moved", WireOutcome::ShardMoved),
        ("left", Message::QueryClosed { query: "q-2".into() }),
        (
            "call",
            Message::StartAttempt {
                term: 301,
                request: "q-1.3".into(),
                node: "s-5".into(),
                timeout_s: 0.375,
            },
        ),
        ("cancel", Message::CancelAttempt { term: 302, request: "q-1.4".into(), attempt: 130 }),
        ("answer_complete", Message::Answer { term: 303, query: "q-3".into(), complete: true }),
        ("answer_partial", Message::Answer { term: 304, query: "q-4".into(), complete: false }),
        ("reject", Message::Reject { term: 305, query: "q-5".into(), retry_after_s: None }),
        (
            "reject_with_retry_after",
            Message::Reject { term: 306, query: "q-6".into(), retry_after_s: Some(1.5) },
        ),
        ("abort", Message::Fail { term: 307, query: "q-7".into() }),
        ("beat", Message::Heartbeat { number: 9, endpoints_version: 1_000_000, accepts_queries: true }),
        ("beat_not_able", Message::Heartbeat { number: 10, endpoints_version: 0, accepts_queries: false }),
        ("heard", Message::HeartbeatAck { number: 11 }),
        (
            "evidence",
            Message::Observation {
                node: "s-6".into(),
                started_ago_s: Some(86_400.5),
                slow_for_s: 0.5,
                very_slow_for_s: 1.25,
                unresponsive_for_s: 2.5,
                relay: true,
            },
        ),
        (
            "evidence_start_unknown",
            Message::Observation {
                node: "s-7".into(),
                started_ago_s: None,
                slow_for_s: 0.0,
                very_slow_for_s: 0.0,
                unresponsive_for_s: 0.0,
                relay: false,
            },
        ),
    ]
}

/// Fails to compile when a variant of a message or an outcome is added, as a reminder to add a frame of that
/// variant to `messages` and `data/frames.hex`.
fn assert_variants_known(message: &Message) {
    match message {
        Message::AttemptEnded { outcome, .. } => match outcome {
            WireOutcome::Success
            | WireOutcome::Error
            | WireOutcome::Rejected
            | WireOutcome::TimedOut
            | WireOutcome::Unreachable
            | WireOutcome::ConnectionReset
            | WireOutcome::Cancelled
            | WireOutcome::NeverSent
            | WireOutcome::ShardMoved => {}
        },
        Message::AssignQuery { .. }
        | Message::QueryClosed { .. }
        | Message::StartAttempt { .. }
        | Message::CancelAttempt { .. }
        | Message::Answer { .. }
        | Message::Reject { .. }
        | Message::Fail { .. }
        | Message::Heartbeat { .. }
        | Message::HeartbeatAck { .. }
        | Message::Observation { .. } => {}
    }
}

#[rstest]
fn each_recorded_frame_has_an_expected_value() {
    let expected =
        hellos().into_iter().map(|(name, _)| name).chain(messages().into_iter().map(|(name, _)| name));
    let mut expected: Vec<&str> = expected.collect();
    expected.sort_unstable();
    assert_eq!(recorded_frames().into_keys().collect::<Vec<_>>(), expected);
    assert_eq!(RECORDED_FRAMES.lines().count(), expected.len());
}

#[rstest]
fn hellos_decode_to_their_fields_and_encode_to_the_same_bytes() {
    assert_eq!(Message::VERSION, 1);
    let recorded = recorded_frames();
    for (name, hello) in hellos() {
        let mut reader: FrameReader<Message> = FrameReader::default();
        reader.feed(&recorded[name]);
        assert_eq!(reader.next_frame(), Ok(Some(Received::Hello(hello.clone()))), "{name}");
        assert_eq!(reader.next_frame(), Ok(None), "{name}");
        let mut bytes = vec![];
        encode_hello::<Message>(&mut bytes, &hello);
        assert_eq!(bytes, recorded[name], "{name}");
    }
}

#[rstest]
fn messages_decode_to_their_fields_and_encode_to_the_same_bytes() {
    let recorded = recorded_frames();
    for (name, message) in messages() {
        assert_variants_known(&message);
        let mut reader: FrameReader<Message> = FrameReader::default();
        reader.feed(&recorded["hello_of_a_planner"]);
        assert!(matches!(reader.next_frame(), Ok(Some(Received::Hello(_)))), "{name}");
        reader.feed(&recorded[name]);
        assert_eq!(reader.next_frame(), Ok(Some(Received::Message(message.clone()))), "{name}");
        assert_eq!(reader.next_frame(), Ok(None), "{name}");
        let mut bytes = vec![];
        assert_eq!(encode_message(&mut bytes, &message), Ok(()), "{name}");
        assert_eq!(bytes, recorded[name], "{name}");
    }
}
