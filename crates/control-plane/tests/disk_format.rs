//! The bytes that a replica writes to disk and sends by consensus, against reference files. Each reference is decoded,
//! every field is compared with a literal value, and replicas write and send the same bytes again.
mod common;

use alderway_control_plane::consensus::{RecoveredState, StableStorage, WriteBatch, founding_batch};
use alderway_control_plane::replica::{Replica, ReplicaMessage};
use alderway_control_plane::version::{Proposal, Version};
use common::reference::{assert_distinct, bytes_of, hex, proposal, reference};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeType, ConfChangeV2, Entry, EntryType, HardState, Message, MessageType, Snapshot,
};
use rstest::rstest;
use serde_json::json;
use std::io;

const CONSENSUS_MESSAGES: &str = include_str!("data/consensus_message.hex");
const LEADER_DISK: &str = include_str!("data/leader_disk.hex");
const FOUNDING: &str = include_str!("data/founding.hex");

#[test]
fn every_reference_is_named_once() {
    assert_eq!([CONSENSUS_MESSAGES, LEADER_DISK, FOUNDING].map(assert_distinct), [11, 9, 2]);
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
