//! The wire format of forwarders and planners against recorded bytes: `data/frames.hex` holds a line a frame, its name and
//! its bytes in hex. Each is decoded, compared field by field with the value that it stands for, and encoded again.
use alderway_tier::messages::{Ended, Message, Tried};
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

/// Every kind of message, with every variant of what it holds.
fn messages() -> Vec<(&'static str, Message)> {
    let ended = |name, ending| {
        let message =
            Message::Ended { part: "q-1.3".into(), hop: 2, node: "s-17".into(), ending, latency: 0.0625 };
        (name, message)
    };
    let tried = vec![
        Tried { node: "s-1".into(), age: 0.25, ending: None },
        Tried { node: "s-2".into(), age: 0.5, ending: Some(Ended::Reset) },
        Tried { node: "s-3".into(), age: 1.75, ending: Some(Ended::Moved) },
    ];
    vec![
        (
            "take",
            Message::Take {
                term: 300,
                query: "q-1".into(),
                vertical: 4,
                customer: "c-9".into(),
                left: 0.75,
                parts: vec![("q-1.3".into(), 3, 0.5, tried), ("q-1.200".into(), 200, 0.125, vec![])],
            },
        ),
        ended("ended_success", Ended::Success),
        ended("ended_error", Ended::Error),
        ended("ended_full", Ended::Full),
        ended("ended_timed_out", Ended::TimedOut),
        ended("ended_unreachable", Ended::Unreachable),
        ended("ended_reset", Ended::Reset),
        ended("ended_cancelled", Ended::Cancelled),
        ended("ended_never_sent", Ended::NeverSent),
        ended("ended_moved", Ended::Moved),
        ("left", Message::Left { query: "q-2".into() }),
        ("call", Message::Call { term: 301, part: "q-1.3".into(), node: "s-5".into(), limit: 0.375 }),
        ("cancel", Message::Cancel { term: 302, part: "q-1.4".into(), hop: 130 }),
        ("answer_complete", Message::Answer { term: 303, query: "q-3".into(), whole: true }),
        ("answer_partial", Message::Answer { term: 304, query: "q-4".into(), whole: false }),
        ("reject", Message::Reject { term: 305, query: "q-5".into(), come_back: None }),
        ("reject_with_retry_after", Message::Reject { term: 306, query: "q-6".into(), come_back: Some(1.5) }),
        ("abort", Message::Abort { term: 307, query: "q-7".into() }),
        ("beat", Message::Beat { number: 9, roster: 1_000_000, able: true }),
        ("beat_not_able", Message::Beat { number: 10, roster: 0, able: false }),
        ("heard", Message::Heard { number: 11 }),
        (
            "evidence",
            Message::Evidence {
                node: "s-6".into(),
                started: Some(86_400.5),
                late: 0.5,
                far: 1.25,
                sick: 2.5,
                relay: true,
            },
        ),
        (
            "evidence_start_unknown",
            Message::Evidence {
                node: "s-7".into(),
                started: None,
                late: 0.0,
                far: 0.0,
                sick: 0.0,
                relay: false,
            },
        ),
    ]
}

/// Fails to compile where a kind of message or an ending is added, so that its frame is recorded as well.
fn assert_variants_known(message: &Message) {
    match message {
        Message::Ended { ending, .. } => match ending {
            Ended::Success
            | Ended::Error
            | Ended::Full
            | Ended::TimedOut
            | Ended::Unreachable
            | Ended::Reset
            | Ended::Cancelled
            | Ended::NeverSent
            | Ended::Moved => {}
        },
        Message::Take { .. }
        | Message::Left { .. }
        | Message::Call { .. }
        | Message::Cancel { .. }
        | Message::Answer { .. }
        | Message::Reject { .. }
        | Message::Abort { .. }
        | Message::Beat { .. }
        | Message::Heard { .. }
        | Message::Evidence { .. } => {}
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
