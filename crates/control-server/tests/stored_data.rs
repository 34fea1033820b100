//! The control log on disk stays readable: `data/control-log.redb` was written by build 088605e, for three
//! machines that ordered two versions, replaced the third machine's disk, compacted their logs and ordered three more.
//! Every record is compared with literal bytes, and written again to the same bytes.
mod common;

use alderway_control_plane::consensus::{RecoveredState, StableStorage, WriteBatch};
use alderway_control_plane::replica::{ProposalOutcome, Replica, ReplicaMessage};
use alderway_control_plane::version::{Proposal, Version};
use alderway_control_server::log_store::LogStore;
use common::TempFolder;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use rstest::rstest;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const IDENTITY: &str = r#"{"name":"a","id":11,"group":11,"roster":[["a",11],["b",12],["c",13]]}"#;
/// The snapshot's data; its metadata follow in `SNAPSHOT_META`.
const SNAPSHOT_DATA: &str = concat!(
    r#"{"names":{"11":"a","12":"b","23":"c"},"versions":["#,
    r#"{"number":1,"proposal":"p1","author":"ada","why":"change 1","at_unix_ms":1700000000001,"#,
    r#""settings":{"Limits":{"MaxOpen":101},"Verticals":[{"Name":"web","Slo":0.25}]}},"#,
    r#"{"number":2,"proposal":"p2","author":"ada","why":"change 2","at_unix_ms":1700000000002,"#,
    r#""settings":{"Limits":{"MaxOpen":102},"Verticals":[{"Name":"web","Slo":0.25}]}}]}"#,
);
/// Field 1 of the snapshot, its data, of 383 bytes.
const SNAPSHOT_HEAD: &[u8] = b"\n\xff\x02";
/// Voters 12, 23 and 11; index 7, term 2.
const SNAPSHOT_META: &[u8] = b"\x12\x0c\n\x06\x08\x0c\x08\x17\x08\x0b\x10\x07\x18\x02";
/// Term 2, vote for 11, committed up to 10.
const HARD_STATE: &[u8] = b"\x08\x02\x10\x0b\x18\n";
/// Index and term of the last entry that compaction removed.
const FLOOR: (u64, u64) = (4, 2);
/// 23 is added as a learner.
const ADD_LEARNER: &[u8] = b"\x08\x02\x10\x02\x18\x05\"\x10\x12\x04\x08\x02\x10\x17\x1a\x08[23,\"c\"]";
/// 13 is removed, and 23 becomes a voter.
const REPLACE_VOTER: &[u8] =
    b"\x08\x02\x10\x02\x18\x06\"\x14\x12\x04\x08\x01\x10\r\x12\x02\x10\x17\x1a\x08[23,\"c\"]";
/// The joint configuration ends.
const LEAVE_JOINT: &[u8] = b"\x08\x02\x10\x02\x18\x07";

fn proposal_entry(index: u8, n: u64) -> Vec<u8> {
    let head = [b"\x10\x02\x18".as_slice(), &[index], b"\"\x9d\x01"].concat();
    let text = format!(
        r#"{{"id":"p{n}","base":{},"author":"ada","why":"change {n}","at_unix_ms":170000000000{n},"settings":{{"Limits":{{"MaxOpen":10{n}}},"Verticals":[{{"Name":"web","Slo":0.25}}]}}}}"#,
        n - 1
    );
    [head, text.into_bytes()].concat()
}

fn entries() -> Vec<Vec<u8>> {
    vec![
        ADD_LEARNER.to_vec(),
        REPLACE_VOTER.to_vec(),
        LEAVE_JOINT.to_vec(),
        proposal_entry(8, 3),
        proposal_entry(9, 4),
        proposal_entry(10, 5),
    ]
}

fn snapshot() -> Vec<u8> {
    [SNAPSHOT_HEAD, SNAPSHOT_DATA.as_bytes(), SNAPSHOT_META].concat()
}

fn version(n: u64) -> Version {
    Version {
        number: n,
        proposal_id: format!("p{n}"),
        author: "ada".into(),
        reason: format!("change {n}"),
        at_unix_ms: 1_700_000_000_000 + n,
        settings: json!({"Limits": {"MaxOpen": 100 + n}, "Verticals": [{"Name": "web", "Slo": 0.25}]}),
    }
}

/// Keys and values of both tables, as the database has them.
type Rows = (BTreeMap<String, Vec<u8>>, BTreeMap<u64, Vec<u8>>);

fn rows(folder: &Path) -> Rows {
    let database = Database::open(folder.join("log.redb")).expect("a database");
    let transaction = database.begin_read().expect("a transaction");
    let state = transaction.open_table(TableDefinition::<&str, &[u8]>::new("state")).expect("a table");
    let entries = transaction.open_table(TableDefinition::<u64, &[u8]>::new("entries")).expect("a table");
    let state = state.iter().expect("rows").map(|row| {
        let (key, value) = row.expect("a row");
        (key.value().to_string(), value.value().to_vec())
    });
    let entries = entries.iter().expect("rows").map(|row| {
        let (key, value) = row.expect("a row");
        (key.value(), value.value().to_vec())
    });
    (state.collect(), entries.collect())
}

/// A value as it is stored: CRC-32, most significant byte first, then the bytes.
fn with_checksum(bytes: &[u8]) -> Vec<u8> {
    [crc32fast::hash(bytes).to_be_bytes().as_slice(), bytes].concat()
}

fn expected_rows() -> Rows {
    let floor = b"\0\0\0\0\0\0\0\x04\0\0\0\0\0\0\0\x02".to_vec();
    let state = [
        ("floor", floor),
        ("form", b"alderway control 1".to_vec()),
        ("hard", HARD_STATE.to_vec()),
        ("identity", IDENTITY.as_bytes().to_vec()),
        ("snapshot", snapshot()),
    ];
    let state = state.into_iter().map(|(key, value)| (key.to_string(), with_checksum(&value)));
    let entries = (5..).zip(entries()).map(|(index, bytes)| (index, with_checksum(&bytes)));
    (state.collect(), entries.collect())
}

#[rstest]
fn the_reference_log_has_the_expected_rows() {
    let folder = TempFolder::with_reference_log("rows");
    assert_eq!(rows(&folder.0), expected_rows());
}

#[rstest]
fn the_reference_log_is_read_field_by_field() {
    let folder = TempFolder::with_reference_log("read");
    let (_disk, held) = LogStore::open(&folder.0).expect("readable");
    let RecoveredState {
        identity,
        snapshot: stored_snapshot,
        compacted_to,
        entries: stored_entries,
        hard_state,
    } = held;
    assert_eq!(identity.as_deref(), Some(IDENTITY.as_bytes()));
    assert_eq!(stored_snapshot, Some(snapshot()));
    assert_eq!(compacted_to, FLOOR);
    assert_eq!(stored_entries, entries());
    assert_eq!(hard_state.as_deref(), Some(HARD_STATE));
}

#[rstest]
fn the_reference_records_are_written_again_to_the_same_bytes() {
    let folder = TempFolder::with_reference_log("source");
    let (disk, held) = LogStore::open(&folder.0).expect("readable");
    drop(disk);
    let copy = TempFolder::new("copy");
    let (mut disk, _) = LogStore::open(&copy.0).expect("an empty one");
    let entries = (held.compacted_to.0 + 1..).zip(held.entries).collect();
    let batch = WriteBatch {
        identity: held.identity,
        snapshot: held.snapshot,
        compacted_to: Some(held.compacted_to),
        clear_entries: false,
        entries,
        hard_state: held.hard_state,
    };
    disk.write(&batch).expect("written");
    drop(disk);
    assert_eq!(rows(&copy.0), expected_rows());
}

#[rstest]
fn a_replica_resumes_from_the_reference_log() {
    let folder = TempFolder::with_reference_log("resume");
    let (mut disk, held) = LogStore::open(&folder.0).expect("readable");
    let names: BTreeSet<String> = ["a", "b", "c"].map(String::from).into();
    let mut machine = Replica::new("a", &names, &held, 99, 1).expect("a machine");
    let output = machine.advance(&mut disk, 0.0);
    assert_eq!(machine.id(), 11);
    let versions: Vec<Version> = machine.version_log().versions().iter().cloned().collect();
    assert_eq!(versions, (1..=5).map(version).collect::<Vec<_>>());
    // Once from the snapshot, then each entry behind it.
    assert_eq!(output.committed, (2..=5).map(version).collect::<Vec<_>>());
    let status = machine.status(0.0);
    assert_eq!((status.name.as_str(), status.version, status.term), ("a", 5, 2));
    assert_eq!(
        (status.leader, status.has_quorum, status.staleness_s, status.unavailable_reason),
        (None, false, None, None)
    );
    assert_eq!((status.voters, status.learners, status.membership_changing), (names, BTreeSet::new(), false));
}

/// Three machines with their disks, and the messages between them.
struct Cluster {
    now: f64,
    machines: BTreeMap<String, (Replica, LogStore)>,
    answers: Vec<(u64, ProposalOutcome)>,
    folder: TempFolder,
}

impl Cluster {
    fn start(&mut self, name: &str, data: &str, id: u64) {
        let names = ["a", "b", "c"].map(String::from).into();
        let (disk, held) = LogStore::open(&self.folder.0.join(data)).expect("a disk");
        let mut machine = Replica::new(name, &names, &held, id, id * 7).expect("a machine");
        machine.snapshot_after_entries = 6;
        self.machines.insert(name.into(), (machine, disk));
    }

    fn tick(&mut self) {
        self.now += 0.1;
        let now = self.now;
        self.machines.values_mut().for_each(|(machine, _)| machine.tick(now));
        for _ in 0..6 {
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        let mut messages: Vec<(String, String, ReplicaMessage)> = vec![];
        for (name, (machine, disk)) in &mut self.machines {
            let output = machine.advance(disk, self.now);
            messages.extend(output.messages.into_iter().map(|(to, word)| (name.clone(), to, word)));
            self.answers.extend(output.outcomes);
        }
        for (from, to, word) in messages {
            if let Some((machine, _)) = self.machines.get_mut(&to) {
                machine.receive(&from, word, self.now);
            }
        }
    }

    fn propose(&mut self, n: u64) {
        let Version { proposal_id: id, author, reason, at_unix_ms, settings, .. } = version(n);
        let proposal = Proposal { id, base: n - 1, author, reason, at_unix_ms, settings };
        let now = self.now;
        let leader = self.machines.values_mut().find(|(machine, _)| machine.is_leader()).expect("a leader");
        leader.0.propose(n, &proposal, 5.0, now);
        (0..10).for_each(|_| self.tick());
    }
}

#[rstest]
fn the_same_events_write_the_reference_records() {
    let folder = TempFolder::new("cluster");
    let mut cluster = Cluster { now: 0.0, machines: BTreeMap::new(), answers: vec![], folder };
    [("a", 11), ("b", 12), ("c", 13)].into_iter().for_each(|(name, id)| cluster.start(name, name, id));
    (0..50).for_each(|_| cluster.tick());
    (1..=2).for_each(|n| cluster.propose(n));
    cluster.machines.remove("c");
    (0..40).for_each(|_| cluster.tick());
    cluster.start("c", "c-replaced", 23);
    (0..60).for_each(|_| cluster.tick());
    (3..=5).for_each(|n| cluster.propose(n));
    let ordered: Vec<_> = (1..=5).map(|n| (n, ProposalOutcome::Committed(n))).collect();
    assert_eq!(cluster.answers, ordered);
    cluster.machines.clear();
    assert_eq!(rows(&cluster.folder.0.join("a")), expected_rows());
}
