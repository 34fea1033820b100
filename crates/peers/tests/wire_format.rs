//! The wire format of gossip among routers against recorded bytes: `data/frames.hex` holds a line a frame, its name and its
//! bytes in hex. Each is decoded, compared field by field with the value that it stands for, and encoded again.
use alderway_peers::Frame;
use alderway_peers::words::{What, Word};
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

/// A frame with one word of each kind, and those with variants of what it holds.
fn expected_frames() -> Vec<(&'static str, Frame)> {
    let with = |what| Frame {
        stamp: 12.5,
        echo: None,
        words: vec![Word {
            origin: "n1".into(),
            incarnation: 1_700_000_000_000,
            number: 300,
            age: 0.75,
            what,
        }],
    };
    let own = Word { origin: "n2".into(), incarnation: 3, number: 1, age: 0.0, what: What::Alive };
    let passed_on = Word { origin: "n3".into(), incarnation: 4, number: 2, age: 1.5, what: What::Leaves };
    vec![
        ("empty", Frame { stamp: 0.0, echo: None, words: vec![] }),
        ("echo", Frame { stamp: 1024.125, echo: Some((1000.5, 0.0625)), words: vec![] }),
        ("two_words", Frame { stamp: 2.5, echo: Some((1.5, 0.5)), words: vec![own, passed_on] }),
        ("alive", with(What::Alive)),
        ("leaves", with(What::Leaves)),
        ("misses", with(What::Misses { member: "n7".into(), incarnation: 200 })),
        ("over", with(What::Over { late: 3, in_time: 500 })),
        (
            "verdict",
            with(What::Verdict {
                node: "s-17".into(),
                started: Some(3600.5),
                ago: 0.25,
                late: 0.5,
                far: 1.25,
                sick: 2.5,
            }),
        ),
        (
            "verdict_start_unknown",
            with(What::Verdict {
                node: "s-18".into(),
                started: None,
                ago: 0.0,
                late: 0.0,
                far: 0.0,
                sick: 0.0,
            }),
        ),
    ]
}

/// Fails to compile where a kind of word is added, so that its frame is recorded as well.
fn assert_variants_known(frame: &Frame) {
    for word in &frame.words {
        match word.what {
            What::Alive | What::Leaves | What::Misses { .. } | What::Over { .. } | What::Verdict { .. } => {}
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
