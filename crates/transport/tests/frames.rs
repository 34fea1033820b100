//! Frames and hellos as bytes: what is encoded is read back wherever it is cut, and whatever else comes is a typed error.
use alderway_transport::{
    EncodeError, FrameError, FrameReader, Hello, MAX_MESSAGE_BYTES, Received, WireMessage, encode_hello,
    encode_message,
};
use proptest::prelude::*;
use rstest::rstest;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Note {
    Text(String),
    Count(u32),
}

impl WireMessage for Note {
    const PROTOCOL_ID: [u8; 4] = *b"TEST";
    const VERSION: u16 = 3;
}

const HELLO_FRAME: [u8; 25] = *b"\0\0\0\x11\x3a\xd8\xd2\x7cTEST\0\x03\x01\x01\x02\x03\x04\x05\x06\x07\x08p1";

fn hello() -> Hello {
    Hello { version: 3, is_planner: true, incarnation: 0x0102_0304_0506_0708, name: "p1".into() }
}

fn stream_of(notes: &[Note]) -> Vec<u8> {
    let mut bytes = vec![];
    encode_hello::<Note>(&mut bytes, &hello());
    notes.iter().for_each(|note| assert_eq!(encode_message(&mut bytes, note), Ok(())));
    bytes
}

fn read_all(reader: &mut FrameReader<Note>) -> Result<Vec<Received<Note>>, FrameError> {
    let mut received = vec![];
    while let Some(next) = reader.next_frame()? {
        received.push(next);
    }
    Ok(received)
}

/// A frame with a right checksum.
fn frame_of(body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(body).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

#[rstest]
fn a_hello_has_its_documented_bytes() {
    let mut bytes = vec![];
    encode_hello::<Note>(&mut bytes, &hello());
    assert_eq!(bytes, HELLO_FRAME);
}

#[rstest]
fn hellos_are_made_for_the_protocol_of_their_messages() {
    let router = Hello { is_planner: false, name: "r1".into(), incarnation: 5, version: 3 };
    assert_eq!(Hello::new::<Note>("r1", 5), router);
    assert_eq!(Hello::of_planner::<Note>("r1", 5), Hello { is_planner: true, ..router });
}

#[rstest]
#[case::at_once(usize::MAX)]
#[case::byte_by_byte(1)]
#[case::in_threes(3)]
fn frames_are_read_wherever_they_are_cut(#[case] piece_bytes: usize) {
    let notes = [Note::Text("a".repeat(300)), Note::Count(7)];
    let (bytes, mut reader, mut received) = (stream_of(&notes), FrameReader::default(), vec![]);
    for piece in bytes.chunks(piece_bytes.min(bytes.len())) {
        reader.feed(piece);
        received.extend(read_all(&mut reader).expect("sound frames"));
    }
    let expected = [Received::Hello(hello())].into_iter().chain(notes.map(Received::Message));
    assert_eq!(received, expected.collect::<Vec<_>>());
}

#[rstest]
#[case::another_protocol(frame_of(b"ELSE\0\x03\0\0\0\0\0\0\0\0\x01n"), FrameError::OtherProtocol)]
#[case::another_version(
    frame_of(b"TEST\0\x04\0\0\0\0\0\0\0\0\x01n"),
    FrameError::OtherVersion { theirs: 4, ours: 3 }
)]
#[case::cut_short(frame_of(b"TEST\0\x03\0\0\0"), FrameError::OtherProtocol)]
#[case::name_not_utf8(frame_of(b"TEST\0\x03\0\0\0\0\0\0\0\0\x01\xff"), FrameError::OtherProtocol)]
#[case::no_frame_at_all(b"GET / HTTP/1.1\r\n".to_vec(), FrameError::OtherProtocol)]
#[case::wrong_checksum(b"\0\0\0\x01\0\0\0\0x".to_vec(), FrameError::OtherProtocol)]
fn what_is_no_hello_is_an_error(#[case] bytes: Vec<u8>, #[case] expected: FrameError) {
    let mut reader = FrameReader::<Note>::default();
    reader.feed(&bytes);
    assert_eq!(reader.next_frame(), Err(expected));
}

#[rstest]
#[case::too_long(
    b"\x00\x10\x00\x01\0\0\0\0".to_vec(),
    FrameError::TooLong { length_bytes: MAX_MESSAGE_BYTES + 1 }
)]
#[case::wrong_checksum(b"\0\0\0\x01\0\0\0\0x".to_vec(), FrameError::ChecksumMismatch)]
#[case::unknown_variant(frame_of(&[9]), FrameError::NoMessage)]
#[case::bytes_left_over(frame_of(&[1, 7, 0]), FrameError::NoMessage)]
#[case::empty(frame_of(&[]), FrameError::NoMessage)]
fn what_is_no_message_is_an_error(#[case] bytes: Vec<u8>, #[case] expected: FrameError) {
    let mut reader = FrameReader::<Note>::default();
    reader.feed(&stream_of(&[]));
    reader.feed(&bytes);
    assert_eq!(reader.next_frame(), Ok(Some(Received::Hello(hello()))));
    assert_eq!(reader.next_frame(), Err(expected));
}

#[rstest]
fn a_message_longer_than_a_peer_reads_is_not_encoded() {
    // One byte of variant and three of length stand before the text.
    let longest = Note::Text("a".repeat(MAX_MESSAGE_BYTES - 4));
    let mut reader = FrameReader::default();
    reader.feed(&stream_of(std::slice::from_ref(&longest)));
    assert_eq!(read_all(&mut reader).expect("sound")[1], Received::Message(longest));

    let mut bytes = vec![];
    let error = encode_message(&mut bytes, &Note::Text("a".repeat(MAX_MESSAGE_BYTES - 3)));
    assert_eq!(error, Err(EncodeError::TooLong { length_bytes: MAX_MESSAGE_BYTES + 1 }));
    assert!(bytes.is_empty());
}

#[rstest]
#[case(FrameError::TooLong { length_bytes: 2_000_000 }, "the peer sent a frame of 2000000 bytes; 1048576 at most")]
#[case(FrameError::OtherVersion { theirs: 2, ours: 1 }, "the peer speaks version 2 of the protocol, this side version 1")]
fn errors_say_what_the_peer_did(#[case] error: FrameError, #[case] text: &str) {
    assert_eq!(error.to_string(), text);
}

proptest! {
    /// Any bytes after a sound hello are frames or an error, never a panic.
    #[test]
    fn any_bytes_are_frames_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300), greeted in any::<bool>()) {
        let mut reader = FrameReader::<Note>::default();
        if greeted {
            reader.feed(&stream_of(&[]));
        }
        reader.feed(&bytes);
        let _ = read_all(&mut reader);
    }
}
