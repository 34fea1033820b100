//! The log store: what was written is recovered after a restart, and what can't be used is refused in one line.
mod common;

use alderway_control_plane::consensus::{RecoveredState, StableStorage, WriteBatch};
use alderway_control_server::log_store::LogStore;
use alderway_fault_injection::{Plan, inject};
use common::TempFolder;
use rstest::rstest;
use std::fs;
use std::path::Path;
use std::process::{Command, ExitStatus};

/// Names the folder to the process in which [`opens_a_log_as_another_process`] does its work.
const FOLDER_VARIABLE: &str = "ALDERWAY_TEST_LOG_FOLDER";
/// More calls that change a file than a first start makes.
const DISK_CALLS_MAX: u64 = 200;

fn entries(from: u64, to: u64, text: &str) -> Vec<(u64, Vec<u8>)> {
    (from..=to).map(|index| (index, format!("{text}{index}").into_bytes())).collect()
}

#[rstest]
fn what_was_written_is_recovered_after_a_restart() {
    let folder = TempFolder::new("kept");
    let (mut disk, held) = LogStore::open(&folder.0).expect("an empty one");
    assert_eq!(held, RecoveredState::default());
    let writes = [
        WriteBatch { identity: Some(b"who".into()), hard_state: Some(b"h1".into()), ..WriteBatch::default() },
        WriteBatch { entries: entries(1, 9, "a"), ..WriteBatch::default() },
        // What a new leader has in place of it, and more.
        WriteBatch { entries: entries(6, 12, "b"), hard_state: Some(b"h2".into()), ..WriteBatch::default() },
        WriteBatch { snapshot: Some(b"s".into()), compacted_to: Some((4, 2)), ..WriteBatch::default() },
    ];
    writes.iter().for_each(|write| disk.write(write).expect("written"));
    drop(disk);
    let (mut disk, held) = LogStore::open(&folder.0).expect("as it was left");
    let texts: Vec<String> = held.entries.iter().map(|e| String::from_utf8_lossy(e).into_owned()).collect();
    assert_eq!(texts, ["a5", "b6", "b7", "b8", "b9", "b10", "b11", "b12"]);
    assert_eq!(
        (held.compacted_to, held.hard_state, held.snapshot),
        ((4, 2), Some(b"h2".to_vec()), Some(b"s".to_vec()))
    );
    // A leader's snapshot takes the place of all.
    let snapshot = WriteBatch {
        snapshot: Some(b"t".into()),
        compacted_to: Some((40, 3)),
        clear_entries: true,
        ..WriteBatch::default()
    };
    disk.write(&snapshot).expect("written");
    drop(disk);
    let (_, held) = LogStore::open(&folder.0).expect("as it was left");
    assert_eq!((held.entries.len(), held.compacted_to, held.identity), (0, (40, 3), Some(b"who".to_vec())));
}

#[rstest]
fn two_programs_do_not_use_one_folder() {
    let folder = TempFolder::new("twice");
    let _first = LogStore::open(&folder.0).expect("opened");
    let why = LogStore::open(&folder.0).err().expect("refused").to_string();
    assert!(why.ends_with("another program uses it"), "{why}");
}

#[rstest]
fn a_row_that_is_not_what_was_written_is_named() {
    let folder = TempFolder::new("row");
    let (mut disk, _) = LogStore::open(&folder.0).expect("an empty one");
    let word = b"a word that is found again in the file".to_vec();
    disk.write(&WriteBatch { entries: vec![(1, word.clone())], ..WriteBatch::default() }).expect("written");
    drop(disk);
    let path = folder.0.join("log.redb");
    let mut bytes = fs::read(&path).expect("read");
    let found: Vec<usize> =
        (0..bytes.len() - word.len()).filter(|at| bytes[*at..].starts_with(&word)).collect();
    assert!(!found.is_empty());
    found.iter().for_each(|at| bytes[*at] ^= 1);
    fs::write(&path, bytes).expect("written");
    let why = LogStore::open(&folder.0).err().expect("refused").to_string();
    assert!(why.contains("log.redb: ") && why.contains("by an empty one") && !why.contains('\n'), "{why}");
}

/// Not a test by itself: what other tests have a process of its own do.
#[rstest]
fn opens_a_log_as_another_process() {
    if let Some(folder) = std::env::var_os(FOLDER_VARIABLE) {
        LogStore::open(Path::new(&folder)).expect("opened");
    }
}

/// Opens the log in a process whose calls fail by a plan.
fn open_with_faults(folder: &Path, faults: &str) -> ExitStatus {
    let mut command = Command::new(std::env::current_exe().expect("this test"));
    command.args(["--exact", "opens_a_log_as_another_process"]).env(FOLDER_VARIABLE, folder);
    inject(&mut command, &Plan::parse(faults).expect("a plan")).expect("the library");
    command.output().expect("it runs").status
}

/// Guards against a control server that refuses its log for ever, as it was killed in the midst of making it.
#[rstest]
fn a_first_start_killed_at_any_call_leaves_a_folder_that_the_next_start_takes() {
    let mut killed = 0;
    for call in 1..DISK_CALLS_MAX {
        let folder = TempFolder::new(&format!("killed-{call}"));
        if open_with_faults(&folder.0, &format!("exit={call}")).success() {
            break;
        }
        killed += 1;
        let opened = LogStore::open(&folder.0).map(|(_, recovered)| recovered);
        assert_eq!(opened.expect("taken"), RecoveredState::default(), "killed at call {call}");
    }
    assert!((5..DISK_CALLS_MAX - 1).contains(&killed), "{killed} calls");
}

#[rstest]
#[case::full_disk("nospace=0.2")]
#[case::failing_syncs("fsync=0.3")]
fn a_first_start_on_a_disk_that_fails_leaves_a_folder_that_the_next_start_takes(#[case] faults: &str) {
    let mut failed = 0;
    for seed in 0..20 {
        let folder = TempFolder::new(&format!("failing-{faults}-{seed}"));
        failed += usize::from(!open_with_faults(&folder.0, &format!("seed={seed} {faults}")).success());
        LogStore::open(&folder.0).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
    assert!(failed > 0, "no first start failed");
}
