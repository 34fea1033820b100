//! Compares the wire format of gossip with recorded bytes. Each line of `data/frames.hex` holds the name of a
//! frame and its bytes in hex.
use alderway_peers::Frame;
use alderway_peers::updates::{Update, UpdateBody};
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

fn expected_hello() -> Hello {
    Hello { version: 1, is_planner: false, incarnation: 0x0102_0304_0506_0708, name: "n0".into() }
}

/// A frame with an update of each kind, and frames with each variant of the optional fields.
fn expected_frames() -> Vec<(&'static str, Frame)> {
    let with = |body| Frame {
        sent_at_s: 12.5,
        echo: None,
        updates: vec![Update {
            origin: "n1".into(),
            incarnation: 1_700_000_000_000,
            number: 300,
            age_s: 0.75,
            body,
        }],
    };
    let own = Update { origin: "n2".into(), incarnation: 3, number: 1, age_s: 0.0, body: UpdateBody::Alive };
    let passed_on =
        Update { origin: "n3".into(), incarnation: 4, number: 2, age_s: 1.5, body: UpdateBody::Leaving };
    vec![
        ("empty", Frame { sent_at_s: 0.0, echo: None, updates: vec![] }),
        ("echo", Frame { sent_at_s: 1024.125, echo: Some((1000.5, 0.0625)), updates: vec![] }),
        ("two_words", Frame { sent_at_s: 2.5, echo: Some((1.5, 0.5)), updates: vec![own, passed_on] }),
        ("alive", with(UpdateBody::Alive)),
        ("leaves", with(UpdateBody::Leaving)),
        ("misses", with(UpdateBody::Missed { member: "n7".into(), incarnation: 200 })),
        ("over", with(UpdateBody::QueryCounts { late: 3, in_time: 500 })),
        (
            "verdict",
            with(UpdateBody::Observation {
                node: "s-17".into(),
                uptime_s: Some(3600.5),
                observed_ago_s: 0.25,
                slow_for_s: 0.5,
                very_slow_for_s: 1.25,
                unresponsive_for_s: 2.5,
            }),
        ),
        (
            "verdict_start_unknown",
            with(UpdateBody::Observation {
                node: "s-18".into(),
                uptime_s: None,
                observed_ago_s: 0.0,
                slow_for_s: 0.0,
                very_slow_for_s: 0.0,
                unresponsive_for_s: 0.0,
            }),
        ),
    ]
}

/// Fails to compile when a kind of update is added, as a reminder to add a frame of that kind to
/// `expected_frames` and `data/frames.hex`.
fn assert_variants_known(frame: &Frame) {
    for update in &frame.updates {
        match update.body {
            UpdateBody::Alive
            | UpdateBody::Leaving
            | UpdateBody::Missed { .. }
            | UpdateBody::QueryCounts { .. }
            | UpdateBody::Observation { .. } => {}
        }
    }
}

#[rstest]
fn each_recorded_frame_has_an_expected_value() {
    let mut expected: Vec<&str> = expected_frames().into_iter().map(|(name, _)| name).collect();
    expected.push("hello");
    expected.sort_unstable();
    assert_eq!(recorded_frames().into_keys().collect::<Vec<_>>(), expected);
    assert_eq!(RECORDED_FRAMES.lines().count(), expected.len());
}

#[rstest]
fn the_hello_decodes_to_its_fields_and_encodes_to_the_same_bytes() {
    assert_eq!(Frame::VERSION, 1);
    let recorded = recorded_frames();
    let mut reader = FrameReader::<Frame>::default();
    reader.feed(&recorded["hello"]);
    assert_eq!(reader.next_frame(), Ok(Some(Received::Hello(expected_hello()))));
    assert_eq!(reader.next_frame(), Ok(None));
    let mut bytes = vec![];
    encode_hello::<Frame>(&mut bytes, &expected_hello());
    assert_eq!(bytes, recorded["hello"]);
}

#[rstest]
fn frames_decode_to_their_fields_and_encode_to_the_same_bytes() {
    let recorded = recorded_frames();
    for (name, frame) in expected_frames() {
        assert_variants_known(&frame);
        let mut reader = FrameReader::<Frame>::default();
        reader.feed(&recorded["hello"]);
        assert!(matches!(reader.next_frame(), Ok(Some(Received::Hello(_)))), "{name}");
        reader.feed(&recorded[name]);
        assert_eq!(reader.next_frame(), Ok(Some(Received::Message(frame.clone()))), "{name}");
        assert_eq!(reader.next_frame(), Ok(None), "{name}");
        let mut bytes = vec![];
        assert_eq!(encode_message(&mut bytes, &frame), Ok(()), "{name}");
        assert_eq!(bytes, recorded[name], "{name}");
    }
}
