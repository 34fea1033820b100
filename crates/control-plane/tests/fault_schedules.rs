//! Five replicas under random faults: loss, delay, pauses, crashes, two wiped disks, full disks, and partitions with
//! proposals on both sides. `ALDERWAY_SCHEDULES` sets how many schedules are run.
mod common;

use alderway_control_plane::replica::ProposalOutcome;
use common::fault_schedule::run_schedule;
use common::replica_group::BrokenRule;

fn schedule_count(default: u64) -> u64 {
    std::env::var("ALDERWAY_SCHEDULES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_number_has_two_contents_and_nothing_acknowledged_is_lost_under_faults() {
    let (mut committed, mut undecided, mut rejected, mut wiped_disks) = (0, 0, 0, 0);
    for seed in 1..=schedule_count(60) {
        let group = run_schedule(seed, BrokenRule::None);
        assert!(group.violations.is_empty(), "seed {seed}: {:#?}", group.violations);
        committed += group.acknowledged.len();
        wiped_disks += group.wiped_disks;
        for outcome in group.outcomes.values() {
            match outcome {
                ProposalOutcome::Undecided { .. } => undecided += 1,
                ProposalOutcome::Committed(_) => {}
                _ => rejected += 1,
            }
        }
    }
    println!(
        "{committed} acknowledged, {undecided} undecided, {rejected} rejected, {wiped_disks} disks wiped"
    );
    assert!(committed > 100 && wiped_disks > 20 && undecided > 10, "{committed} {wiped_disks} {undecided}");
}

/// Whether some schedule finds a rule that is broken on purpose, by what that breaks.
fn finds(broken_rule: BrokenRule, what: &str) -> bool {
    (1..=schedule_count(60)).any(|seed| {
        run_schedule(seed, broken_rule).violations.iter().any(|violation| violation.contains(what))
    })
}

#[test]
fn acknowledging_before_a_write_is_synced_is_found() {
    assert!(finds(BrokenRule::UnsyncedWrites, "is lost"));
}

#[test]
fn applying_uncommitted_entries_is_found() {
    assert!(finds(BrokenRule::UncommittedApplied, "two contents"));
}

#[test]
fn reusing_the_replica_id_of_a_wiped_disk_is_found() {
    assert!(finds(BrokenRule::ReusedReplicaId, "is lost"));
}
