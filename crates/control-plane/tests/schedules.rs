//! Five machines under drawn faults: loss, delay, pauses, crashes, two wiped disks, full disks, cut regions with
//! proposals on both sides. `ALDERWAY_SCHEDULES` sets how many are played.
mod common;
use common::{Broken, schedule};

fn count(usual: u64) -> u64 {
    std::env::var("ALDERWAY_SCHEDULES").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

#[test]
fn whatever_fails_no_number_has_two_contents_and_nothing_acknowledged_is_lost() {
    let (mut ordered, mut unsettled, mut refused, mut wiped) = (0, 0, 0, 0);
    for seed in 1..=count(60) {
        let house = schedule(seed, Broken::Nothing);
        assert!(house.faults.is_empty(), "seed {seed}: {:#?}", house.faults);
        ordered += house.acknowledged.len();
        wiped += house.wiped;
        for answer in house.answers.values() {
            match answer {
                alderway_control_plane::replica::ProposalOutcome::Undecided { .. } => unsettled += 1,
                alderway_control_plane::replica::ProposalOutcome::Committed(_) => {}
                _ => refused += 1,
            }
        }
    }
    println!("{ordered} acknowledged, {unsettled} unsettled, {refused} refused, {wiped} disks wiped");
    assert!(ordered > 100 && wiped > 20 && unsettled > 10, "{ordered} {wiped} {unsettled}");
}

/// Guards against schedules that find nothing: rules broken on purpose have to be found, by what they break.
fn found(broken: Broken, what: &str) -> bool {
    (1..=count(60)).any(|seed| schedule(seed, broken).faults.iter().any(|fault| fault.contains(what)))
}

#[test]
fn acknowledging_before_it_is_synced_is_found() {
    assert!(found(Broken::Unsynced, "is lost"));
}

#[test]
fn applying_what_is_not_committed_is_found() {
    assert!(found(Broken::Uncommitted, "two contents"));
}

#[test]
fn coming_back_empty_under_the_former_id_is_found() {
    assert!(found(Broken::SameId, "is lost"));
}
