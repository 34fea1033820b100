//! The bytes that leave a control server or outlive it, against reference files: frames between control servers and
//! routers, frames between replicas, the log on disk, and JSON by name. Each reference is decoded, every field is
//! compared with a literal value, and the value encodes to the same bytes again.
//!
//! A reference file has one item a line: its name, a space, then hexadecimal bytes (`.hex`) or JSON (`.json.txt`). They
//! were written once and nothing regenerates them: a difference is a change of the format.
use alderway_control_plane::consensus::{RecoveredState, StableStorage, WriteBatch, founding_batch};
use alderway_control_plane::content::digest;
use alderway_control_plane::messages::{ApplyOutcome, ControlMessage, RouterMessage, encode_frame};
use alderway_control_plane::replica::{ProposalOutcome, Replica, ReplicaMessage, ReplicaStatus};
use alderway_control_plane::version::{Proposal, Version};
use alderway_control_plane::version_log::{ProposalError, UndoneVersion, VersionLog};
use alderway_control_plane::version_sink::{LaggingRouter, RouterSummary};
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeType, ConfChangeV2, Entry, EntryType, HardState, Message, MessageType, Snapshot,
};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::io;

const CONTROL_MESSAGES: &str = include_str!("data/control_message.hex");
const ROUTER_MESSAGES: &str = include_str!("data/router_message.hex");
const REPLICA_MESSAGES: &str = include_str!("data/replica_message.hex");
const CONSENSUS_MESSAGES: &str = include_str!("data/consensus_message.hex");
const LEADER_DISK: &str = include_str!("data/leader_disk.hex");
const FOUNDING: &str = include_str!("data/founding.hex");
const JSON: &str = include_str!("data/by_name.json.txt");

fn reference<'a>(file: &'a str, name: &str) -> Option<&'a str> {
    file.lines().find_map(|line| line.split_once(' ').filter(|(key, _)| *key == name).map(|(_, value)| value))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(file: &str, name: &str) -> Vec<u8> {
    let text = reference(file, name).unwrap_or_else(|| panic!("no reference `{name}`"));
    let digits: Vec<u32> = text.chars().map(|digit| digit.to_digit(16).expect("hexadecimal")).collect();
    digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
}

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
    for file in
        [CONTROL_MESSAGES, ROUTER_MESSAGES, REPLICA_MESSAGES, CONSENSUS_MESSAGES, LEADER_DISK, FOUNDING, JSON]
    {
        let names: Vec<&str> = file.lines().filter_map(|line| Some(line.split_once(' ')?.0)).collect();
        let distinct: BTreeSet<&&str> = names.iter().collect();
        assert_eq!((names.len(), names.len()), (file.lines().count(), distinct.len()));
    }
    let count = |file: &str| file.lines().count();
    assert_eq!((count(CONTROL_MESSAGES), count(ROUTER_MESSAGES), count(REPLICA_MESSAGES)), (4, 6, 6));
    assert_eq!((count(CONSENSUS_MESSAGES), count(JSON)), (11, 18));
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

fn proposal(id: &str, base: u64) -> Proposal {
    Proposal {
        id: id.into(),
        base,
        author: "on call".into(),
        reason: "a trial".into(),
        at_unix_ms: 1_700_000_000_000,
        settings: json!({"TickUs": base + 1}),
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

#[derive(Default)]
struct Disk(RecoveredState);

impl StableStorage for Disk {
    fn write(&mut self, what: &WriteBatch) -> io::Result<()> {
        let recovered = &mut self.0;
        recovered.identity = what.identity.clone().or(recovered.identity.take());
        recovered.snapshot = what.snapshot.clone().or(recovered.snapshot.take());
        if let Some(floor) = what.compacted_to {
            let gone = if what.clear_entries {
                recovered.entries.len()
            } else {
                (floor.0 - recovered.compacted_to.0) as usize
            };
            recovered.entries.drain(..gone);
            recovered.compacted_to = floor;
        }
        if let Some((first, _)) = what.entries.first() {
            recovered.entries.truncate((first - recovered.compacted_to.0 - 1) as usize);
            recovered.entries.extend(what.entries.iter().map(|(_, bytes)| bytes.clone()));
        }
        recovered.hard_state = what.hard_state.clone().or(recovered.hard_state.take());
        Ok(())
    }
}

/// Three replicas without loss or delay. Every random choice is seeded, so what they write and send is always the same.
struct Group {
    replicas: Vec<Replica>,
    disks: Vec<Disk>,
    now: f64,
    sent: Vec<Vec<u8>>,
}

fn replica(n: usize, disk: &RecoveredState, id: u64) -> Replica {
    let members = ["c1", "c2", "c3"].map(String::from).into();
    let mut replica =
        Replica::new(&format!("c{}", n + 1), &members, disk, id, 40 + id).expect("a sound disk");
    replica.snapshot_after_entries = 6;
    replica
}

impl Group {
    fn founded() -> Group {
        let replicas = (0..3).map(|n| replica(n, &RecoveredState::default(), 11 + n as u64)).collect();
        let mut group = Group {
            replicas,
            disks: vec![Disk::default(), Disk::default(), Disk::default()],
            now: 0.0,
            sent: vec![],
        };
        group.ticks(60);
        group
    }

    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.now += 0.1;
            for n in 0..3 {
                self.replicas[n].tick(self.now);
                self.carry(n);
            }
        }
    }

    fn carry(&mut self, n: usize) {
        let output = self.replicas[n].advance(&mut self.disks[n], self.now);
        for (to, message) in output.messages {
            if let ReplicaMessage::ConsensusFragment { bytes, .. } = &message {
                self.sent.push(bytes.clone());
            }
            let at = to[1..].parse::<usize>().expect("c1 to c3") - 1;
            self.replicas[at].receive(&format!("c{}", n + 1), message, self.now);
            self.carry(at);
        }
    }

    fn leader(&self) -> usize {
        self.replicas.iter().position(Replica::is_leader).expect("a leader")
    }

    fn commit(&mut self, base: u64) {
        let leader = self.leader();
        self.replicas[leader].propose(base, &proposal(&format!("p{}", base + 1), base), 5.0, self.now);
        self.ticks(3);
    }
}

/// A group with a snapshot, committed versions, and a replica whose disk was replaced.
fn group_with_history() -> Group {
    let mut group = Group::founded();
    (0..7).for_each(|base| group.commit(base));
    let replaced = (group.leader() + 1) % 3;
    group.disks[replaced] = Disk::default();
    group.replicas[replaced] = replica(replaced, &RecoveredState::default(), 21);
    group.ticks(40);
    (7..9).for_each(|base| group.commit(base));
    group
}

fn disk_of(file: &str) -> RecoveredState {
    let entries: Vec<Vec<u8>> = file
        .lines()
        .filter_map(|line| line.split_once(' '))
        .filter(|(name, _)| name.starts_with("entry"))
        .map(|(name, _)| bytes_of(file, name))
        .collect();
    let floor = bytes_of(file, "floor");
    RecoveredState {
        identity: Some(bytes_of(file, "identity")),
        snapshot: Some(bytes_of(file, "snapshot")),
        compacted_to: (u64::from(floor[0]), u64::from(floor[1])),
        entries,
        hard_state: Some(bytes_of(file, "hard_state")),
    }
}

/// A disk as its reference file has it.
fn lines_of(recovered: &RecoveredState) -> String {
    let mut lines = vec![
        format!("identity {}", hex(recovered.identity.as_deref().unwrap_or_default())),
        format!("snapshot {}", hex(recovered.snapshot.as_deref().unwrap_or_default())),
        format!("floor {}", hex(&[recovered.compacted_to.0 as u8, recovered.compacted_to.1 as u8])),
        format!("hard_state {}", hex(recovered.hard_state.as_deref().unwrap_or_default())),
    ];
    let first = recovered.compacted_to.0 + 1;
    lines.extend(
        recovered.entries.iter().zip(first..).map(|(bytes, at)| format!("entry_{at} {}", hex(bytes))),
    );
    lines.join("\n") + "\n"
}

#[test]
fn a_founding_write() {
    let write = founding_batch(&[11, 12, 13], b"{\"names\":{},\"versions\":[]}".to_vec());
    assert_eq!(
        (write.identity.as_ref(), write.compacted_to, write.clear_entries, write.entries.len()),
        (None, Some((1, 1)), true, 0)
    );
    let recovered = RecoveredState::founded(&write);
    let text = |bytes: &Option<Vec<u8>>| hex(bytes.as_deref().unwrap_or_default());
    assert_eq!(reference(FOUNDING, "snapshot"), Some(text(&recovered.snapshot).as_str()));
    assert_eq!(reference(FOUNDING, "hard_state"), Some(text(&recovered.hard_state).as_str()));
    assert_eq!((recovered.compacted_to, recovered.entries.len()), ((1, 1), 0));
}

const VERSIONS: u64 = 9;

#[test]
fn a_leaders_disk_after_a_snapshot_a_replaced_member_and_compaction() {
    let group = group_with_history();
    assert_eq!(lines_of(&group.disks[group.leader()].0), LEADER_DISK);
    let recovered = disk_of(LEADER_DISK);
    let identity = String::from_utf8(recovered.identity.clone().unwrap_or_default()).expect("text");
    assert_eq!(identity, r#"{"name":"c1","id":11,"group":11,"roster":[["c1",11],["c2",12],["c3",13]]}"#);
    let mut hard = HardState::default();
    (hard.term, hard.vote, hard.commit) = (2, 11, 14);
    assert_eq!(HardState::parse_from_bytes(&bytes_of(LEADER_DISK, "hard_state")).ok(), Some(hard));
    let snapshot = Snapshot::parse_from_bytes(&bytes_of(LEADER_DISK, "snapshot")).expect("a snapshot");
    let meta = snapshot.get_metadata();
    assert_eq!((meta.index, meta.term), (12, 2));
    let conf = meta.get_conf_state();
    assert_eq!(
        (&conf.voters[..], conf.learners.len(), conf.voters_outgoing.len()),
        (&[13, 21, 11][..], 0, 0)
    );
    let versions: Vec<Version> = (1..=7).map(ordered).collect();
    let names = json!({"11": "c1", "13": "c3", "21": "c2"});
    let applied: serde_json::Value = serde_json::from_slice(&snapshot.data).expect("JSON");
    assert_eq!(applied, json!({"names": names, "versions": versions}));
    assert!(
        snapshot.data.starts_with(br#"{"names":{"11":"c1","13":"c3","21":"c2"},"versions":[{"number":1,"#)
    );
}

fn ordered(number: u64) -> Version {
    let Proposal { id, author, reason, at_unix_ms, settings, .. } =
        proposal(&format!("p{number}"), number - 1);
    Version { number, proposal_id: id, author, reason, at_unix_ms, settings }
}

#[test]
fn the_entries_of_a_leaders_log() {
    let entries: Vec<Entry> = (10..=14)
        .map(|at| Entry::parse_from_bytes(&bytes_of(LEADER_DISK, &format!("entry_{at}"))).expect("an entry"))
        .collect();
    for (entry, at) in entries.iter().zip(10..) {
        assert_eq!((entry.index, entry.term, entry.context.len()), (at, 2, 0));
    }
    let kinds: Vec<EntryType> = entries.iter().map(Entry::get_entry_type).collect();
    use EntryType::{EntryConfChangeV2 as Change, EntryNormal as Normal};
    assert_eq!(kinds, [Change, Change, Change, Normal, Normal]);
    let changes: Vec<ConfChangeV2> = entries[..3]
        .iter()
        .map(|entry| ConfChangeV2::parse_from_bytes(&entry.data).expect("a change of members"))
        .collect();
    let steps = |change: &ConfChangeV2| -> Vec<(ConfChangeType, u64)> {
        change.get_changes().iter().map(|step| (step.get_change_type(), step.node_id)).collect()
    };
    use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};
    assert_eq!(steps(&changes[0]), [(AddLearnerNode, 21)]);
    assert_eq!(steps(&changes[1]), [(RemoveNode, 12), (AddNode, 21)]);
    assert_eq!(steps(&changes[2]), []);
    assert!(changes[..2].iter().all(|change| *change.context == *br#"[21,"c2"]"#));
    for (entry, base) in entries[3..].iter().zip([7, 8]) {
        let read: Proposal = serde_json::from_slice(&entry.data).expect("a proposal");
        assert_eq!(read, proposal(&format!("p{}", base + 1), base));
        assert_eq!(entry.data, serde_json::to_vec(&read).expect("as JSON"));
    }
}

#[test]
fn a_replica_starts_from_a_reference_disk() {
    let replica = replica(0, &disk_of(LEADER_DISK), 99);
    assert_eq!((replica.name(), replica.id()), ("c1", 11));
    // Of its snapshot; the entries behind it are applied once a leader says that they are committed.
    let status = replica.status(0.0);
    assert_eq!((status.version, status.term, status.leader, status.unavailable_reason), (7, 2, None, None));
    assert_eq!(
        (status.voters, status.membership_changing),
        (["c1", "c2", "c3"].map(String::from).into(), false)
    );
    let versions: Vec<Version> = (1..=7).map(ordered).collect();
    assert_eq!(*replica.version_log().versions(), versions);
    let group = group_with_history();
    assert!(group.replicas.iter().all(|replica| replica.version_log().latest_number() == VERSIONS));
}

/// The fields of a message that its kind sets.
fn fields(message: &Message) -> (MessageType, [u64; 6], usize, bool) {
    let Message { to, from, term, log_term, index, commit, .. } = *message;
    let has_snapshot = !message.get_snapshot().is_empty();
    (message.get_msg_type(), [to, from, term, log_term, index, commit], message.entries.len(), has_snapshot)
}

#[rstest]
#[case("pre_vote", MessageType::MsgRequestPreVote, [12, 11, 2, 1, 1, 1], 0)]
#[case("pre_vote_response", MessageType::MsgRequestPreVoteResponse, [11, 12, 2, 0, 0, 0], 0)]
#[case("vote", MessageType::MsgRequestVote, [12, 11, 2, 1, 1, 1], 0)]
#[case("vote_response", MessageType::MsgRequestVoteResponse, [11, 12, 2, 0, 0, 0], 0)]
#[case("append", MessageType::MsgAppend, [12, 11, 2, 1, 1, 1], 1)]
#[case("append_response", MessageType::MsgAppendResponse, [11, 12, 2, 0, 2, 1], 0)]
#[case("read_index", MessageType::MsgReadIndex, [11, 12, 0, 0, 0, 0], 1)]
#[case("read_index_response", MessageType::MsgReadIndexResp, [12, 11, 2, 0, 2, 0], 1)]
#[case("heartbeat", MessageType::MsgHeartbeat, [12, 11, 2, 0, 0, 2], 0)]
#[case("heartbeat_response", MessageType::MsgHeartbeatResponse, [11, 12, 2, 0, 0, 2], 0)]
#[case("snapshot", MessageType::MsgSnapshot, [21, 11, 2, 0, 0, 0], 0)]
fn messages_of_consensus(
    #[case] name: &str,
    #[case] kind: MessageType,
    #[case] numbers: [u64; 6],
    #[case] entries: usize,
) {
    let bytes = bytes_of(CONSENSUS_MESSAGES, name);
    let message = Message::parse_from_bytes(&bytes).expect("a message");
    assert_eq!(fields(&message), (kind, numbers, entries, name == "snapshot"));
    assert_eq!(message.write_to_bytes().ok(), Some(bytes.clone()));
    assert!(group_with_history().sent.contains(&bytes), "no replica sends it any more");
}

#[test]
fn the_context_of_a_read_is_the_disks_id_the_starts_seed_and_a_count() {
    for (name, of) in [("heartbeat", 12), ("read_index", 12)] {
        let message = Message::parse_from_bytes(&bytes_of(CONSENSUS_MESSAGES, name)).expect("a message");
        let context =
            if name == "heartbeat" { message.context.clone() } else { message.entries[0].data.clone() };
        let expected = [of, 40 + of, 7].map(u64::to_be_bytes).concat();
        assert_eq!(context, expected, "{name}");
    }
}
