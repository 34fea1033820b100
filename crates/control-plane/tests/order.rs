//! Stories of the order of versions: five machines in one process, each answer by its cause.
mod common;
use alderway_control_plane::consensus::RecoveredState;
use alderway_control_plane::replica::{MAX_PROPOSAL_BYTES, MAX_WAITING_CLIENTS, ProposalOutcome, Replica};
use alderway_control_plane::version::Proposal;
use alderway_control_plane::version_log::{self, ProposalError, VersionLog, changed_keys};
use common::{Broken, COUNT, House, name};
use rstest::rstest;
use serde_json::{Value, json};

fn five() -> House {
    let mut house = House::new(7, Broken::Nothing);
    assert!(house.until(20.0, |house| house.leader().is_some()), "a leader");
    house.pass(1.0);
    house
}

fn sound(mut house: House) {
    house.settle();
    assert!(house.faults.is_empty(), "{:#?}", house.faults);
}

fn ordered(house: &mut House, n: usize) -> u64 {
    let proposal = house.proposal(n);
    match house.answer(n, proposal, 5.0) {
        ProposalOutcome::Committed(number) => number,
        other => panic!("{other:?}"),
    }
}

#[test]
fn versions_are_numbered_from_one_on_and_every_machine_takes_proposals() {
    let mut house = five();
    for n in 0..COUNT {
        house.until(2.0, |house| house.number(n) == n as u64);
        assert_eq!(ordered(&mut house, n), n as u64 + 1);
    }
    sound(house);
}

#[test]
fn the_same_proposal_counts_once_also_at_another_machine_and_after_a_start() {
    let mut house = five();
    let proposal = house.proposal(0);
    assert_eq!(house.answer(0, proposal.clone(), 5.0), ProposalOutcome::Committed(1));
    assert_eq!(house.answer(3, proposal.clone(), 5.0), ProposalOutcome::Committed(1));
    (0..COUNT).for_each(|n| house.crash(n));
    (0..COUNT).for_each(|n| house.start(n));
    assert!(house.until(20.0, |house| house.leader().is_some()));
    house.pass(1.0);
    assert_eq!(house.answer(1, proposal.clone(), 5.0), ProposalOutcome::Committed(1));
    let other = Proposal { settings: json!({"TickUs": -1}), ..proposal };
    assert_eq!(house.answer(1, other, 5.0), ProposalOutcome::Rejected(ProposalError::IdTaken { number: 1 }));
    sound(house);
}

#[test]
fn the_second_of_two_operators_is_told_what_it_would_undo() {
    let mut house = five();
    ordered(&mut house, 0);
    house.pass(1.0);
    let (one, other) = (house.proposal(0), house.proposal(4));
    assert_eq!(house.answer(0, one.clone(), 5.0), ProposalOutcome::Committed(2));
    let ProposalOutcome::Rejected(ProposalError::WouldUndo { newest, count, undone }) =
        house.answer(4, other, 5.0)
    else {
        panic!("not refused")
    };
    assert_eq!((newest, count, undone.len()), (2, 1, 1));
    assert_eq!((undone[0].number, &undone[0].author, &undone[0].reason), (2, &one.author, &one.reason));
    assert!(undone[0].changed_keys.contains(&"TickUs".to_string()), "{:?}", undone[0].changed_keys);
    sound(house);
}

#[test]
fn with_two_of_five_gone_changes_go_on_and_with_a_third_they_are_refused_and_reads_go_on() {
    let mut house = five();
    ordered(&mut house, 0);
    house.wipe(0);
    house.wipe(1);
    assert!(house.until(10.0, |house| house.leader().is_some_and(|n| n > 1)));
    house.pass(1.0);
    assert_eq!(ordered(&mut house, 2), 2);
    house.pass(1.0);
    let at_once = house.proposal(3);
    house.crash(2);
    // Asked before it is known that the majority is gone: no answer that it counts, and none that it doesn't.
    assert!(matches!(
        house.answer(3, at_once, 4.0),
        ProposalOutcome::Undecided { .. } | ProposalOutcome::NoQuorum { .. }
    ));
    house.pass(4.0);
    let later = house.proposal(3);
    assert!(matches!(house.answer(3, later, 4.0), ProposalOutcome::NoQuorum { .. }));
    assert!(house.number(3) == 2 && house.number(4) == 2);
    assert!(!house.sites[3].machine.as_ref().is_some_and(|m| m.has_quorum(house.now)));
    house.start(2);
    sound(house);
}

#[test]
fn an_empty_machine_takes_its_predecessors_place_and_counts_again() {
    let mut house = five();
    // Past a snapshot, so that it can't be told entry by entry.
    for _ in 0..40 {
        ordered(&mut house, 0);
    }
    house.wipe(4);
    house.start(4);
    assert!(house.until(20.0, |house| {
        let status = house.sites[4].machine.as_ref().map(|machine| machine.status(house.now));
        status.is_some_and(|s| {
            (s.version, s.voters.len(), s.membership_changing, &s.unavailable_reason)
                == (40, COUNT, false, &None)
        })
    }));
    // It is one of the three that are left.
    let others: Vec<usize> = (0..4).filter(|n| Some(*n) != house.leader()).take(2).collect();
    others.iter().for_each(|n| house.crash(*n));
    let leader = house.leader().expect("led on");
    assert_eq!(ordered(&mut house, leader), 41);
    sound(house);
}

#[test]
fn a_stopped_leader_goes_on_as_a_follower_and_no_change_is_lost() {
    let mut house = five();
    ordered(&mut house, 0);
    house.pass(1.0);
    let leader = house.leader().expect("led");
    let (proposal, other) = (house.proposal(leader), (leader + 1) % COUNT);
    let asker = house.ask(leader, proposal.clone(), 20.0);
    house.sites[leader].paused = house.now + 5.0;
    assert!(house.until(5.0, |house| house.leader().is_some_and(|n| n != leader)), "another leads");
    house.pass(1.0);
    let answer = house.answer(other, proposal, 5.0);
    assert_eq!(answer, ProposalOutcome::Committed(2));
    assert!(house.until(20.0, |house| house.answers.contains_key(&asker)));
    assert_eq!(house.answers[&asker], ProposalOutcome::Committed(2));
    sound(house);
}

#[test]
fn the_side_without_a_majority_takes_no_changes_and_comes_to_the_others_version() {
    let mut house = five();
    ordered(&mut house, 0);
    for (one, other) in [(0, 2), (0, 3), (0, 4), (1, 2), (1, 3), (1, 4)] {
        house.cut.extend([(one, other), (other, one)]);
    }
    assert!(house.until(10.0, |house| house.leader().is_some_and(|n| n > 1)));
    house.pass(4.0);
    let small = house.proposal(0);
    assert!(matches!(house.answer(0, small, 4.0), ProposalOutcome::NoQuorum { .. }));
    assert_eq!(ordered(&mut house, 3), 2);
    assert_eq!(house.number(0), 1, "it serves its last version");
    house.pass(60.0);
    assert_eq!(ordered(&mut house, 3), 3);
    assert!(house.sites[0].machine.as_ref().is_some_and(|m| m.staleness_s(house.now) > 60.0));
    house.cut.clear();
    assert!(house.until(16.0, |house| house.number(0) == 3 && house.number(1) == 3));
    sound(house);
}

#[test]
fn a_full_disk_ends_acknowledgements_and_not_the_reads_and_goes_on_when_there_is_room() {
    let mut house = five();
    ordered(&mut house, 0);
    house.pass(1.0);
    let leader = house.leader().expect("led");
    house.sites[leader].disk.full = true;
    let proposal = house.proposal(leader);
    let asker = house.ask(leader, proposal, 4.0);
    assert!(house.until(10.0, |house| house.leader().is_some_and(|n| n != leader)), "another leads");
    house.pass(1.0);
    let machine = house.sites[leader].machine.as_ref().expect("runs");
    assert!(
        machine.unavailable_reason().is_some_and(|why| why.to_string().contains("no space left")),
        "{:?}",
        machine.unavailable_reason()
    );
    assert_eq!(machine.version_log().latest_number(), 1);
    let now = house.proposal(leader);
    assert!(matches!(house.answer(leader, now, 1.0), ProposalOutcome::Unavailable { .. }));
    assert!(house.until(10.0, |house| house.answers.contains_key(&asker)));
    let other = (leader + 1) % COUNT;
    let number = ordered(&mut house, other);
    house.sites[leader].disk.full = false;
    assert!(house.until(16.0, |house| house.number(leader) >= number), "it takes part again");
    sound(house);
}

#[test]
fn six_hundred_and_fifty_changes_one_after_the_other() {
    let mut house = five();
    let from = house.now;
    for _ in 0..650 {
        let leader = house.leader().expect("led");
        ordered(&mut house, leader);
    }
    assert!(house.now - from < 180.0, "{}", house.now - from);
    assert!(house.sites.iter().all(|site| site.disk.held.entries.len() < 100), "the log is compacted");
    sound(house);
}

#[test]
fn a_disk_that_was_set_back_is_told_and_the_machine_takes_no_part() {
    let mut house = five();
    let follower = (house.leader().expect("led") + 1) % COUNT;
    let early = house.sites[follower].disk.held.clone();
    for _ in 0..5 {
        ordered(&mut house, 0);
    }
    house.crash(follower);
    house.sites[follower].disk.held = early;
    house.start(follower);
    assert!(house.until(10.0, |house| {
        let out = house.sites[follower].machine.as_ref().and_then(Replica::unavailable_reason);
        out.map(|why| why.to_string())
            .is_some_and(|why| why.contains("its disk is not what it was") && why.contains("by an empty one"))
    }));
    house.wipe(follower);
    house.start(follower);
    sound(house);
}

#[rstest]
#[case::anothers("c2", |_: &mut RecoveredState| {}, "it belongs to control machine `c1`, this one is `c2`")]
#[case::nobodys("c1", |held: &mut RecoveredState| held.identity = None, "it does not say whose it is")]
#[case::a_gap("c1", |held: &mut RecoveredState| drop(held.entries.remove(0)), "entry")]
#[case::a_torn_tail("c1", |held: &mut RecoveredState| held.entries.clear(), "its log ends at")]
#[case::noise("c1", |held: &mut RecoveredState| held.hard_state = Some(vec![0xff; 9]), "the hard state is not what was written")]
fn a_torn_or_foreign_disk_is_refused_in_one_line(
    #[case] called: &str,
    #[case] spoil: fn(&mut RecoveredState),
    #[case] says: &str,
) {
    let mut house = five();
    for _ in 0..5 {
        ordered(&mut house, 0);
    }
    let mut held = house.sites[0].disk.held.clone();
    spoil(&mut held);
    let members = (0..COUNT).map(name).collect();
    let why = Replica::new(called, &members, &held, 9, 9).err().expect("refused").to_string();
    assert!(why.contains(says) && !why.contains('\n'), "{why}");
}

#[test]
fn bounds_are_told() {
    let mut house = five();
    let mut long = house.proposal(0);
    long.settings = json!({"Name": "x".repeat(MAX_PROPOSAL_BYTES)});
    assert!(matches!(house.answer(0, long, 1.0), ProposalOutcome::TooLong { limit: MAX_PROPOSAL_BYTES, .. }));
    let unsettled: Vec<u64> = (0..=MAX_WAITING_CLIENTS)
        .map(|_| {
            let proposal = house.proposal(0);
            house.ask(0, proposal, 5.0)
        })
        .collect();
    let too_many =
        |a: &&u64| house.answers.get(a) == Some(&ProposalOutcome::TooMany { limit: MAX_WAITING_CLIENTS });
    assert_eq!(unsettled.iter().filter(too_many).count(), 1);
    sound(house);
}

#[rstest]
#[case(json!({"a": 1, "b": 2}), json!({"a": 1, "b": 3, "c": 4}), &["b", "c"])]
#[case(
    json!({"Services": [{"Name": "x", "Worth": 1}, {"Name": "y"}]}),
    json!({"Services": [{"Name": "x", "Worth": 2}, {"Name": "z"}]}),
    &["Services.x.Worth", "Services.y", "Services.z"]
)]
#[case(json!({"Services": [{"Name": "x"}, {"Name": "y"}]}), json!({"Services": [{"Name": "y"}, {"Name": "x"}]}), &["Services"])]
#[case(json!({"Services": [1]}), json!({"Services": [2]}), &["Services"])]
#[case(json!(1), json!({}), &["all"])]
fn what_differs_is_named_by_key(#[case] one: Value, #[case] other: Value, #[case] keys: &[&str]) {
    assert_eq!(changed_keys(&one, &other), keys);
}

#[test]
fn the_history_keeps_the_newest_and_forgets_in_order() {
    let mut log = VersionLog::default();
    for n in 0..version_log::MAX_VERSIONS as u64 + 10 {
        let proposal = Proposal {
            id: format!("p{n}"),
            base: n,
            author: String::new(),
            reason: String::new(),
            at_unix_ms: n,
            settings: json!({"TickUs": n}),
        };
        assert_eq!(log.apply(proposal), Ok(n + 1));
    }
    assert_eq!(log.versions().len(), version_log::MAX_VERSIONS);
    assert!(log.get(10).is_none() && log.get(11).is_some_and(|version| version.number == 11));
    // One so old that its id is forgotten is still not taken twice: its base is.
    let old = Proposal {
        id: "p0".into(),
        base: 0,
        author: String::new(),
        reason: String::new(),
        at_unix_ms: 0,
        settings: json!({"TickUs": 0}),
    };
    let number = log.latest_number();
    assert!(
        matches!(log.apply(old), Err(ProposalError::WouldUndo { undone, .. }) if undone.len() == version_log::MAX_UNDONE_VERSIONS)
    );
    assert_eq!(log.latest_number(), number);
    assert_eq!(VersionLog::from_versions(log.versions().clone()), log);
}

/// Guards against large settings that fill the memory long before entries are many.
#[test]
fn a_log_of_large_settings_is_compacted_by_its_bytes() {
    let mut house = five();
    for site in &mut house.sites {
        let machine = site.machine.as_mut().expect("runs");
        (machine.snapshot_after_entries, machine.max_log_bytes) = (1000, 20_000);
    }
    for _ in 0..60 {
        let mut proposal = house.proposal(0);
        proposal.settings["Name"] = "x".repeat(1500).into();
        assert!(matches!(house.answer(0, proposal, 5.0), ProposalOutcome::Committed(_)));
    }
    for site in &house.sites {
        let bytes: usize = site.disk.held.entries.iter().map(Vec::len).sum();
        assert!(bytes < 30_000, "{bytes}");
    }
    sound(house);
}
