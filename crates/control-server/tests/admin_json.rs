//! The admin endpoint's JSON, which operators' programs read and write: every request and every response as reference text,
//! decoded, compared field by field, and encoded to the same bytes.
use alderway_control_plane::replica::{ProposalOutcome, ReplicaStatus};
use alderway_control_plane::version::{Proposal, Version};
use alderway_control_plane::version_log::{ProposalError, UndoneVersion};
use alderway_control_plane::version_sink::{LaggingRouter, RouterSummary};
use alderway_control_server::admin::{AdminRequest, AdminResponse, ClusterStatus, JsonFrame, VersionSummary};
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello, encode_message};
use rstest::rstest;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

fn decoded_request(text: &str) -> AdminRequest {
    let request: AdminRequest = serde_json::from_str(text).expect(text);
    assert_eq!(serde_json::to_string(&request).expect("encoded"), text);
    request
}

fn decoded_response(text: &str) -> AdminResponse {
    let response: AdminResponse = serde_json::from_str(text).expect(text);
    assert_eq!(serde_json::to_string(&response).expect("encoded"), text);
    response
}

fn names(all: &[&str]) -> BTreeSet<String> {
    all.iter().map(ToString::to_string).collect()
}

#[rstest]
fn request_check() {
    let AdminRequest::Check { settings } = decoded_request(r#"{"check":{"settings":{"A":[1,0.5,null]}}}"#)
    else {
        panic!("another variant")
    };
    assert_eq!(settings, json!({"A": [1, 0.5, null]}));
}

#[rstest]
fn request_propose() {
    let text = concat!(
        r#"{"propose":{"proposal":{"id":"p1","base":7,"author":"ada","why":"more room","#,
        r#""at_unix_ms":1700000000001,"settings":{"Limits":{"MaxOpen":101}}},"wait_s":2.5}}"#,
    );
    let AdminRequest::Propose { proposal, wait_s } = decoded_request(text) else { panic!("another variant") };
    let expected = Proposal {
        id: "p1".into(),
        base: 7,
        author: "ada".into(),
        reason: "more room".into(),
        at_unix_ms: 1_700_000_000_001,
        settings: json!({"Limits": {"MaxOpen": 101}}),
    };
    assert_eq!((proposal, wait_s), (expected, 2.5));
}

#[rstest]
#[case(r#"{"history":{"before":null,"count":20}}"#, None, 20)]
#[case(r#"{"history":{"before":9,"count":0}}"#, Some(9), 0)]
fn request_history(#[case] text: &str, #[case] expected_before: Option<u64>, #[case] expected_count: usize) {
    let AdminRequest::History { before, count } = decoded_request(text) else { panic!("another variant") };
    assert_eq!((before, count), (expected_before, expected_count));
}

#[rstest]
#[case(r#"{"show":{"number":null}}"#, None)]
#[case(r#"{"show":{"number":12}}"#, Some(12))]
fn request_show(#[case] text: &str, #[case] expected: Option<u64>) {
    let AdminRequest::Show { number } = decoded_request(text) else { panic!("another variant") };
    assert_eq!(number, expected);
}

#[rstest]
fn request_status() {
    assert!(matches!(decoded_request(r#""status""#), AdminRequest::Status));
}

#[rstest]
fn response_sound() {
    assert!(matches!(decoded_response(r#""sound""#), AdminResponse::Valid));
}

#[rstest]
fn response_faulty() {
    let AdminResponse::Invalid { reason } = decoded_response(r#"{"faulty":{"why":"key `x`: expected y"}}"#)
    else {
        panic!("another variant")
    };
    assert_eq!(reason, "key `x`: expected y");
}

#[rstest]
#[case(r#"{"ordered":5}"#, ProposalOutcome::Committed(5))]
#[case(
    r#"{"refused":{"would_undo":{"newest":9,"count":3,"undone":[{"number":7,"author":"bo","why":"less","keys":["Limits","Verticals.web.Slo"]}]}}}"#,
    ProposalOutcome::Rejected(ProposalError::WouldUndo {
        newest: 9,
        count: 3,
        undone: vec![UndoneVersion {
            number: 7,
            author: "bo".into(),
            reason: "less".into(),
            changed_keys: vec!["Limits".into(), "Verticals.web.Slo".into()],
        }],
    })
)]
#[case(
    r#"{"refused":{"base_unknown":{"base":12,"newest":9}}}"#,
    ProposalOutcome::Rejected(ProposalError::BaseUnknown { base: 12, newest: 9 })
)]
#[case(r#"{"refused":{"id_taken":{"number":4}}}"#, ProposalOutcome::Rejected(ProposalError::IdTaken { number: 4 }))]
#[case(r#"{"refused":"unreadable"}"#, ProposalOutcome::Rejected(ProposalError::Unreadable))]
#[case(r#"{"too_long":{"bytes":300000,"most":262144}}"#, ProposalOutcome::TooLong { bytes: 300_000, limit: 262_144 })]
#[case(r#"{"too_many":{"most":64}}"#, ProposalOutcome::TooMany { limit: 64 })]
#[case(
    r#"{"no_majority":{"leader":null,"seconds":null}}"#,
    ProposalOutcome::NoQuorum { leader: None, for_s: None }
)]
#[case(
    r#"{"no_majority":{"leader":"a","seconds":3.5}}"#,
    ProposalOutcome::NoQuorum { leader: Some("a".into()), for_s: Some(3.5) }
)]
#[case(r#"{"unsettled":{"leader":null}}"#, ProposalOutcome::Undecided { leader: None })]
#[case(r#"{"unsettled":{"leader":"b"}}"#, ProposalOutcome::Undecided { leader: Some("b".into()) })]
#[case(r#"{"out":{"why":"its disk is empty"}}"#, ProposalOutcome::Unavailable { reason: "its disk is empty".into() })]
fn response_answer(#[case] outcome: &str, #[case] expected: ProposalOutcome) {
    let text =
        format!(r#"{{"answer":{{"answer":{outcome},"doors":{{"a":"127.0.0.1:7001","b":"[::1]:7002"}}}}}}"#);
    let AdminResponse::Proposed { outcome, admin_addresses } = decoded_response(&text) else {
        panic!("another variant")
    };
    assert_eq!(outcome, expected);
    let expected_addresses = [("a", "127.0.0.1:7001"), ("b", "[::1]:7002")];
    let expected_addresses: BTreeMap<_, _> =
        expected_addresses.map(|(name, at)| (name.to_string(), at.parse().expect("an address"))).into();
    assert_eq!(admin_addresses, expected_addresses);
}

#[rstest]
fn response_history() {
    let text = concat!(
        r#"{"history":{"newest":9,"versions":[{"number":9,"proposal":"p9","author":"ada","why":"more","#,
        r#""at_unix_ms":1700000000009,"keys":["Limits"]}]}}"#,
    );
    let AdminResponse::History { newest, versions } = decoded_response(text) else {
        panic!("another variant")
    };
    let expected = VersionSummary {
        number: 9,
        proposal_id: "p9".into(),
        author: "ada".into(),
        reason: "more".into(),
        at_unix_ms: 1_700_000_000_009,
        changed_keys: vec!["Limits".into()],
    };
    assert_eq!((newest, versions), (9, vec![expected]));
}

#[rstest]
fn response_version() {
    let text = concat!(
        r#"{"version":{"version":{"number":3,"proposal":"p3","author":"ada","why":"more","#,
        r#""at_unix_ms":1700000000003,"settings":{"Limits":{"MaxOpen":103}}}}}"#,
    );
    let AdminResponse::Version { version } = decoded_response(text) else { panic!("another variant") };
    let expected = Version {
        number: 3,
        proposal_id: "p3".into(),
        author: "ada".into(),
        reason: "more".into(),
        at_unix_ms: 1_700_000_000_003,
        settings: json!({"Limits": {"MaxOpen": 103}}),
    };
    assert_eq!(version, expected);
}

#[rstest]
fn response_no_such() {
    let AdminResponse::VersionNotFound { oldest, newest } =
        decoded_response(r#"{"no_such":{"oldest":2,"newest":9}}"#)
    else {
        panic!("another variant")
    };
    assert_eq!((oldest, newest), (2, 9));
}

#[rstest]
fn response_status() {
    let text = concat!(
        r#"{"status":{"machine":{"name":"a","version":9,"leader":"b","term":4,"majority":true,"#,
        r#""age_s":0.25,"out":null,"voters":["a","b"],"learners":["c"],"changing":true},"#,
        r#""versions":{"a":9,"b":8},"out":{"b":"its disk is empty"},"silent":["c"],"#,
        r#""routers":{"by_version":{"8":1,"9":20},"lagging":[{"router":"r1","version":8,"#,
        r#""since_s":12.5,"why":"key `x`"}],"left_out":3}}}"#,
    );
    let AdminResponse::Status(overall) = decoded_response(text) else { panic!("another variant") };
    let machine = ReplicaStatus {
        name: "a".into(),
        version: 9,
        leader: Some("b".into()),
        term: 4,
        has_quorum: true,
        staleness_s: Some(0.25),
        unavailable_reason: None,
        voters: names(&["a", "b"]),
        learners: names(&["c"]),
        membership_changing: true,
    };
    let lagging = LaggingRouter { router: "r1".into(), version: 8, since_s: 12.5, reason: "key `x`".into() };
    let expected = ClusterStatus {
        replica: machine,
        versions: [("a".to_string(), 9), ("b".to_string(), 8)].into(),
        unavailable: [("b".to_string(), "its disk is empty".to_string())].into(),
        unresponsive: names(&["c"]),
        routers: RouterSummary { by_version: [(8, 1), (9, 20)].into(), lagging: vec![lagging], omitted: 3 },
    };
    assert_eq!(*overall, expected);
}

#[rstest]
fn response_status_of_a_machine_that_takes_no_part() {
    let text = concat!(
        r#"{"status":{"machine":{"name":"a","version":0,"leader":null,"term":0,"majority":false,"#,
        r#""age_s":null,"out":"not heard yet: b","voters":[],"learners":[],"changing":true},"#,
        r#""versions":{},"out":{},"silent":[],"#,
        r#""routers":{"by_version":{},"lagging":[],"left_out":0}}}"#,
    );
    let AdminResponse::Status(overall) = decoded_response(text) else { panic!("another variant") };
    let machine = ReplicaStatus {
        name: "a".into(),
        version: 0,
        leader: None,
        term: 0,
        has_quorum: false,
        staleness_s: None,
        unavailable_reason: Some("not heard yet: b".into()),
        voters: names(&[]),
        learners: names(&[]),
        membership_changing: true,
    };
    let expected = ClusterStatus {
        replica: machine,
        versions: BTreeMap::new(),
        unavailable: BTreeMap::new(),
        unresponsive: names(&[]),
        routers: RouterSummary::default(),
    };
    assert_eq!(*overall, expected);
}

#[rstest]
fn response_wrong() {
    let text = r#"{"wrong":{"why":"`wait_s` is 0 to 120"}}"#;
    let AdminResponse::BadRequest { reason } = decoded_response(text) else { panic!("another variant") };
    assert_eq!(reason, "`wait_s` is 0 to 120");
}

/// The frames that carry the JSON: a hello, then the text with its length in front.
#[rstest]
fn frames_of_the_admin_endpoint() {
    let mut bytes = vec![];
    let hello =
        Hello { version: JsonFrame::VERSION, is_planner: false, incarnation: 5, name: "operator".into() };
    encode_hello::<JsonFrame>(&mut bytes, &hello);
    assert_eq!(bytes.escape_ascii().to_string(), HELLO_FRAME);
    bytes.clear();
    encode_message(&mut bytes, &JsonFrame(r#""status""#.into())).expect("it fits a frame");
    assert_eq!(bytes.escape_ascii().to_string(), TEXT_FRAME);
    let mut reader = FrameReader::<JsonFrame>::default();
    let mut hello_bytes = vec![];
    encode_hello::<JsonFrame>(&mut hello_bytes, &hello);
    reader.feed(&hello_bytes);
    reader.feed(&bytes);
    assert!(matches!(reader.next_frame(), Ok(Some(Received::Hello(read))) if read == hello));
    assert!(
        matches!(reader.next_frame(), Ok(Some(Received::Message(JsonFrame(text)))) if text == r#""status""#)
    );
}

const HELLO_FRAME: &str = r"\x00\x00\x00\x17{\x8bS\\ALDO\x00\x01\x00\x00\x00\x00\x00\x00\x00\x00\x05operator";
const TEXT_FRAME: &str = r#"\x00\x00\x00\th\xf6\xfe\xa0\x08\"status\""#;
