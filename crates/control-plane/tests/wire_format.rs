//! The bytes that leave a control server, against reference files: frames between control servers and routers, frames
//! between replicas, and JSON by name. Each reference is decoded, every field is compared with a literal value, and the
//! value encodes to the same bytes again.
mod common;

use alderway_control_plane::content::digest;
use alderway_control_plane::messages::{ApplyOutcome, ControlMessage, RouterMessage, encode_frame};
use alderway_control_plane::replica::{ProposalOutcome, ReplicaMessage, ReplicaStatus};
use alderway_control_plane::version::Version;
use alderway_control_plane::version_log::{ProposalError, UndoneVersion, VersionLog};
use alderway_control_plane::version_sink::{LaggingRouter, RouterSummary};
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello};
use common::reference::{assert_distinct, bytes_of, hex, proposal, reference};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Debug;

const CONTROL_MESSAGES: &str = include_str!("data/control_message.hex");
const ROUTER_MESSAGES: &str = include_str!("data/router_message.hex");
const REPLICA_MESSAGES: &str = include_str!("data/replica_message.hex");
const JSON: &str = include_str!("data/by_name.json.txt");

/// Reads a frame that follows a hello.
fn read_frame<M: WireMessage + Debug>(frame: &[u8]) -> M {
    let mut reader = FrameReader::<M>::default();
    let mut hello = vec![];
    let said = Hello { version: M::VERSION, is_planner: false, incarnation: 3, name: "c1".into() };
    encode_hello::<M>(&mut hello, &said);
    reader.feed(&hello);
    reader.feed(frame);
    assert!(matches!(reader.next_frame(), Ok(Some(Received::Hello(_)))));
    match reader.next_frame() {
        Ok(Some(Received::Message(message))) => message,
        other => panic!("no message: {:?}", other.is_ok()),
    }
}

fn assert_frame<M: WireMessage + Debug + PartialEq>(file: &str, name: &str, expected: &M) {
    assert_eq!(reference(file, name).unwrap_or("none"), hex(&encode_frame(expected)), "{name}");
    assert_eq!(read_frame::<M>(&bytes_of(file, name)), *expected, "{name}");
}

fn assert_json<T: Serialize + DeserializeOwned + Debug + PartialEq>(name: &str, expected: &T) {
    let text = reference(JSON, name).unwrap_or("none");
    assert_eq!(text, serde_json::to_string(expected).expect("as JSON"), "{name}");
    assert_eq!(serde_json::from_str::<T>(text).expect("read"), *expected, "{name}");
}

#[test]
fn every_reference_is_named_once() {
    let counts = [CONTROL_MESSAGES, ROUTER_MESSAGES, REPLICA_MESSAGES, JSON].map(assert_distinct);
    assert_eq!(counts, [4, 6, 6, 18]);
}

#[test]
fn the_hello_of_each_side_has_its_protocol_and_version() {
    assert_eq!((ControlMessage::PROTOCOL_ID, ControlMessage::VERSION), (*b"ALDC", 1));
    assert_eq!((RouterMessage::PROTOCOL_ID, RouterMessage::VERSION), (*b"ALDS", 1));
    let said =
        |name: &str| Hello { version: 1, is_planner: false, incarnation: 0x0102_0304, name: name.into() };
    let (mut control, mut router) = (vec![], vec![]);
    encode_hello::<ControlMessage>(&mut control, &said("c1"));
    encode_hello::<RouterMessage>(&mut router, &said("r001"));
    assert_eq!(reference(CONTROL_MESSAGES, "hello"), Some(hex(&control).as_str()));
    assert_eq!(reference(ROUTER_MESSAGES, "hello"), Some(hex(&router).as_str()));
}

#[rstest]
#[case("part_of_a_patch", ControlMessage::ContentPart {
    number: 300, base: 299, digest: 0x0007_0000_dead_beef, total_bytes: 2000, offset: 900, bytes: b"[{\"op\":".to_vec(),
})]
#[case("part_of_the_whole", ControlMessage::ContentPart {
    number: 1, base: 0, digest: digest("{}"), total_bytes: 2, offset: 0, bytes: b"{}".to_vec(),
})]
#[case("heartbeat", ControlMessage::Heartbeat { sequence: 129, latest: 300, digest: 7, staleness_s: 1.25, has_quorum: true })]
fn frames_from_a_control_server_to_a_router(#[case] name: &str, #[case] expected: ControlMessage) {
    assert_frame(CONTROL_MESSAGES, name, &expected);
}

#[rstest]
#[case("subscribe", RouterMessage::Subscribe { received: 300, digest: 0x0007_0000_dead_beef, active: 299, needs_snapshot: true })]
#[case("heartbeat_request", RouterMessage::HeartbeatRequest { sequence: 129 })]
#[case("report_applied", RouterMessage::ApplyReport { number: 300, outcome: ApplyOutcome::Applied })]
#[case("report_pending_restart", RouterMessage::ApplyReport {
    number: 301, outcome: ApplyOutcome::PendingRestart(vec!["Extra.Cells".into(), "TickUs".into()]),
})]
#[case("report_rejected", RouterMessage::ApplyReport { number: 302, outcome: ApplyOutcome::Rejected("key `Limits`".into()) })]
fn frames_from_a_router_to_a_control_server(#[case] name: &str, #[case] expected: RouterMessage) {
    assert_frame(ROUTER_MESSAGES, name, &expected);
}

/// Messages between replicas as the control server frames them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct Framed(ReplicaMessage);

impl WireMessage for Framed {
    const PROTOCOL_ID: [u8; 4] = *b"ALDC";
    const VERSION: u16 = 1;
}

fn summary() -> RouterSummary {
    let lagging = LaggingRouter {
        router: "r001".into(),
        version: 6,
        since_s: 2.5,
        reason: "refused 7: key `Limits`".into(),
    };
    RouterSummary { by_version: BTreeMap::from([(6, 1), (7, 549)]), lagging: vec![lagging], omitted: 3 }
}

#[rstest]
#[case("announce_before_a_group", ReplicaMessage::Announce { replica_id: 11, group_id: 0, founders: vec![] })]
#[case("announce_in_a_group", ReplicaMessage::Announce {
    replica_id: 11, group_id: 11, founders: vec![("c1".into(), 11), ("c2".into(), 12)],
})]
#[case("consensus_fragment", ReplicaMessage::ConsensusFragment { group_id: 11, to: 12, index: 2, is_last: true, bytes: vec![1, 2, 255] })]
#[case("summary_request", ReplicaMessage::SummaryRequest { request_id: 400 })]
#[case("summary_response", ReplicaMessage::SummaryResponse { request_id: 400, version: 7, unavailable_reason: None, summary: summary() })]
#[case("summary_response_unavailable", ReplicaMessage::SummaryResponse {
    request_id: 401, version: 0, unavailable_reason: Some("no space left".into()), summary: RouterSummary::default(),
})]
fn frames_between_replicas(#[case] name: &str, #[case] expected: ReplicaMessage) {
    assert_frame(REPLICA_MESSAGES, name, &Framed(expected));
}

fn version(number: u64) -> Version {
    Version {
        number,
        proposal_id: format!("p{number}"),
        author: "on call".into(),
        reason: "a trial".into(),
        at_unix_ms: 1_700_000_000_000 + number,
        settings: json!({"TickUs": number, "Services": [{"Name": "site-search", "Worth": 2}]}),
    }
}

fn undone() -> UndoneVersion {
    UndoneVersion {
        number: 2,
        author: "a".into(),
        reason: "w".into(),
        changed_keys: vec!["Services.x.Worth".into()],
    }
}

#[test]
fn versions_and_proposals_as_json() {
    assert_json("version", &version(7));
    assert_json("proposal", &proposal("p8", 7));
    assert_json("undone", &undone());
    let lagging = summary().lagging;
    assert_json("lagging", &lagging[0]);
    assert_json("summary", &summary());
}

#[test]
fn a_version_log_as_json_has_versions_only_and_finds_proposals_again_when_read() {
    let mut log = VersionLog::default();
    for base in 0..2 {
        assert_eq!(log.apply(proposal(&format!("p{}", base + 1), base)), Ok(base + 1));
    }
    let text = reference(JSON, "history").unwrap_or("none");
    assert_eq!(text, serde_json::to_string(&log).expect("as JSON"));
    let bare: VersionLog = serde_json::from_str(text).expect("read");
    assert_eq!(bare.versions(), log.versions());
    // EntryKind is skipped is made anew from the versions.
    let mut read = VersionLog::from_versions(bare.versions().clone());
    assert_eq!(read, log);
    assert_eq!(read.apply(proposal("p2", 1)), Ok(2));
}

#[rstest]
#[case("would_undo", ProposalError::WouldUndo { newest: 2, count: 1, undone: vec![undone()] })]
#[case("base_unknown", ProposalError::BaseUnknown { base: 9, newest: 2 })]
#[case("id_taken", ProposalError::IdTaken { number: 1 })]
#[case("unreadable", ProposalError::Unreadable)]
fn proposal_errors_as_json(#[case] name: &str, #[case] expected: ProposalError) {
    assert_json(name, &expected);
}

#[rstest]
#[case("ordered", ProposalOutcome::Committed(7))]
#[case("refused", ProposalOutcome::Rejected(ProposalError::IdTaken { number: 1 }))]
#[case("too_long", ProposalOutcome::TooLong { bytes: 300_000, limit: 262_144 })]
#[case("too_many", ProposalOutcome::TooMany { limit: 64 })]
#[case("no_majority", ProposalOutcome::NoQuorum { leader: None, for_s: Some(4.5) })]
#[case("unsettled", ProposalOutcome::Undecided { leader: Some("c2".into()) })]
#[case("out", ProposalOutcome::Unavailable { reason: "no space left".into() })]
fn proposal_outcomes_as_json(#[case] name: &str, #[case] expected: ProposalOutcome) {
    assert_json(name, &expected);
}

#[test]
fn the_status_of_a_replica_as_json() {
    let status = ReplicaStatus {
        name: "c1".into(),
        version: 7,
        leader: Some("c2".into()),
        term: 3,
        has_quorum: true,
        staleness_s: Some(0.25),
        unavailable_reason: None,
        voters: ["c1".to_string(), "c2".to_string()].into(),
        learners: ["c3".to_string()].into(),
        membership_changing: true,
    };
    assert_json("status", &status);
}
