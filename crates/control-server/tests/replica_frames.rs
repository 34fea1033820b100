//! The frames that control machines exchange: each kind as reference bytes, decoded, compared field by field, and encoded
//! to the same bytes.
use alderway_control_plane::replica::ReplicaMessage;
use alderway_control_plane::version_sink::{LaggingRouter, RouterSummary};
use alderway_control_server::replica_links::PeerFrame;
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello, encode_message};
use rstest::rstest;

const HELLO: &str = r"\x00\x00\x00\x10\xa3>,\xedALDC\x00\x01\x00\x00\x00\x00\x00\x00\x00\x00\x0ba";

fn hello() -> Hello {
    Hello { version: 1, is_planner: false, incarnation: 11, name: "a".into() }
}

#[rstest]
fn the_hello_frame_keeps_its_bytes() {
    assert_eq!((PeerFrame::PROTOCOL_ID, PeerFrame::VERSION), (*b"ALDC", 1));
    let mut bytes = vec![];
    encode_hello::<PeerFrame>(&mut bytes, &hello());
    assert_eq!(bytes.escape_ascii().to_string(), HELLO);
}

fn summary() -> RouterSummary {
    let lagging = LaggingRouter { router: "r1".into(), version: 8, since_s: 12.5, reason: "late".into() };
    RouterSummary { by_version: [(8, 1), (9, 300)].into(), lagging: vec![lagging], omitted: 2 }
}

#[rstest]
#[case(ReplicaMessage::Announce { replica_id: 11, group_id: 0x0b, founders: vec![("a".into(), 11), ("b".into(), 300)] }, r"\x00\x00\x00\x0b^K\xdf\x03\x00\x0b\x0b\x02\x01a\x0b\x01b\xac\x02")]
#[case(ReplicaMessage::ConsensusFragment { group_id: 11, to: 12, index: 3, is_last: true, bytes: b"raft".to_vec() }, r"\x00\x00\x00\n:jW&\x01\x0b\x0c\x03\x01\x04raft")]
#[case(ReplicaMessage::SummaryRequest { request_id: 300 }, r"\x00\x00\x00\x03\x10y\x9f\xb5\x02\xac\x02")]
#[case(ReplicaMessage::SummaryResponse { request_id: 7, version: 9, unavailable_reason: None, summary: summary() }, r"\x00\x00\x00\x1d\x98V6\xff\x03\x07\t\x00\x02\x08\x01\t\xac\x02\x01\x02r1\x08\x00\x00\x00\x00\x00\x00)@\x04late\x02")]
#[case(
    ReplicaMessage::SummaryResponse { request_id: 7, version: 9, unavailable_reason: Some("no disk".into()), summary: RouterSummary::default() },
    r"\x00\x00\x00\x0f!\xbdT\xc3\x03\x07\t\x01\x07no disk\x00\x00\x00"
)]
fn each_message_frame_keeps_its_bytes(#[case] word: ReplicaMessage, #[case] expected: &str) {
    let mut bytes = vec![];
    encode_message(&mut bytes, &PeerFrame(word.clone())).expect("it fits a frame");
    assert_eq!(bytes.escape_ascii().to_string(), expected);
    let mut reader = FrameReader::<PeerFrame>::default();
    let mut hello_bytes = vec![];
    encode_hello::<PeerFrame>(&mut hello_bytes, &hello());
    reader.feed(&hello_bytes);
    reader.feed(&bytes);
    assert!(matches!(reader.next_frame(), Ok(Some(Received::Hello(read))) if read == hello()));
    match reader.next_frame() {
        Ok(Some(Received::Message(PeerFrame(read)))) => assert_eq!(read, word),
        _ => panic!("no message"),
    }
}
