//! The replicated log with five replicas in one process: proposals, members, partitions and disks.
mod common;
use alderway_control_plane::consensus::RecoveredState;
use alderway_control_plane::replica::{MAX_PROPOSAL_BYTES, MAX_WAITING_CLIENTS, ProposalOutcome, Replica};
use alderway_control_plane::version::Proposal;
use alderway_control_plane::version_log::ProposalError;
use common::replica_group::{BrokenRule, REPLICAS, ReplicaGroup, name};
use rstest::rstest;
use serde_json::json;

fn started_group() -> ReplicaGroup {
    let mut group = ReplicaGroup::new(7, BrokenRule::None);
    assert!(group.run_until(20.0, |group| group.leader().is_some()), "a leader");
    group.run_for(1.0);
    group
}

fn assert_sound(mut group: ReplicaGroup) {
    group.heal_and_check();
    assert!(group.violations.is_empty(), "{:#?}", group.violations);
}

fn commit(group: &mut ReplicaGroup, n: usize) -> u64 {
    let proposal = group.proposal(n);
    match group.propose_and_wait(n, proposal, 5.0) {
        ProposalOutcome::Committed(number) => number,
        other => panic!("{other:?}"),
    }
}

#[test]
fn versions_are_numbered_from_one_and_every_replica_takes_proposals() {
    let mut group = started_group();
    for n in 0..REPLICAS {
        group.run_until(2.0, |group| group.version(n) == n as u64);
        assert_eq!(commit(&mut group, n), n as u64 + 1);
    }
    assert_sound(group);
}

#[test]
fn a_proposal_is_committed_once_also_at_another_replica_and_after_a_restart() {
    let mut group = started_group();
    let proposal = group.proposal(0);
    assert_eq!(group.propose_and_wait(0, proposal.clone(), 5.0), ProposalOutcome::Committed(1));
    assert_eq!(group.propose_and_wait(3, proposal.clone(), 5.0), ProposalOutcome::Committed(1));
    (0..REPLICAS).for_each(|n| group.crash(n));
    (0..REPLICAS).for_each(|n| group.start(n));
    assert!(group.run_until(20.0, |group| group.leader().is_some()));
    group.run_for(1.0);
    assert_eq!(group.propose_and_wait(1, proposal.clone(), 5.0), ProposalOutcome::Committed(1));
    let other = Proposal { settings: json!({"TickUs": -1}), ..proposal };
    assert_eq!(
        group.propose_and_wait(1, other, 5.0),
        ProposalOutcome::Rejected(ProposalError::IdTaken { number: 1 })
    );
    assert_sound(group);
}

#[test]
fn a_proposal_on_an_old_base_is_rejected_with_what_it_would_undo() {
    let mut group = started_group();
    commit(&mut group, 0);
    group.run_for(1.0);
    let (one, other) = (group.proposal(0), group.proposal(4));
    assert_eq!(group.propose_and_wait(0, one.clone(), 5.0), ProposalOutcome::Committed(2));
    let ProposalOutcome::Rejected(ProposalError::WouldUndo { newest, count, undone }) =
        group.propose_and_wait(4, other, 5.0)
    else {
        panic!("not rejected")
    };
    assert_eq!((newest, count, undone.len()), (2, 1, 1));
    assert_eq!((undone[0].number, &undone[0].author, &undone[0].reason), (2, &one.author, &one.reason));
    assert!(undone[0].changed_keys.contains(&"TickUs".to_string()), "{:?}", undone[0].changed_keys);
    assert_sound(group);
}

#[test]
fn with_two_of_five_lost_proposals_commit_and_with_three_they_are_rejected_and_reads_go_on() {
    let mut group = started_group();
    commit(&mut group, 0);
    group.wipe(0);
    group.wipe(1);
    assert!(group.run_until(10.0, |group| group.leader().is_some_and(|n| n > 1)));
    group.run_for(1.0);
    assert_eq!(commit(&mut group, 2), 2);
    group.run_for(1.0);
    let early = group.proposal(3);
    group.crash(2);
    // The quorum is lost, and that is not known yet: the outcome may not be definite.
    assert!(matches!(
        group.propose_and_wait(3, early, 4.0),
        ProposalOutcome::Undecided { .. } | ProposalOutcome::NoQuorum { .. }
    ));
    group.run_for(4.0);
    let later = group.proposal(3);
    assert!(matches!(group.propose_and_wait(3, later, 4.0), ProposalOutcome::NoQuorum { .. }));
    assert!(group.version(3) == 2 && group.version(4) == 2);
    assert!(!group.nodes[3].replica.as_ref().is_some_and(|m| m.has_quorum(group.now)));
    group.start(2);
    assert_sound(group);
}

#[test]
fn an_empty_replica_replaces_its_predecessor_and_counts_in_quorums() {
    let mut group = started_group();
    // Past a snapshot, so that the entries alone don't suffice.
    for _ in 0..40 {
        commit(&mut group, 0);
    }
    group.wipe(4);
    group.start(4);
    assert!(group.run_until(20.0, |group| {
        let status = group.nodes[4].replica.as_ref().map(|replica| replica.status(group.now));
        status.is_some_and(|s| {
            (s.version, s.voters.len(), s.membership_changing, &s.unavailable_reason)
                == (40, REPLICAS, false, &None)
        })
    }));
    // The replaced one counts in the quorum of three that are left.
    let others: Vec<usize> = (0..4).filter(|n| Some(*n) != group.leader()).take(2).collect();
    others.iter().for_each(|n| group.crash(*n));
    let leader = group.leader().expect("a leader");
    assert_eq!(commit(&mut group, leader), 41);
    assert_sound(group);
}

#[test]
fn a_paused_leader_resumes_as_a_follower_and_no_proposal_is_lost() {
    let mut group = started_group();
    commit(&mut group, 0);
    group.run_for(1.0);
    let leader = group.leader().expect("a leader");
    let (proposal, other) = (group.proposal(leader), (leader + 1) % REPLICAS);
    let client = group.propose(leader, proposal.clone(), 20.0);
    group.nodes[leader].paused_until = group.now + 5.0;
    assert!(group.run_until(5.0, |group| group.leader().is_some_and(|n| n != leader)), "another leads");
    group.run_for(1.0);
    let outcome = group.propose_and_wait(other, proposal, 5.0);
    assert_eq!(outcome, ProposalOutcome::Committed(2));
    assert!(group.run_until(20.0, |group| group.outcomes.contains_key(&client)));
    assert_eq!(group.outcomes[&client], ProposalOutcome::Committed(2));
    assert_sound(group);
}

#[test]
fn the_minority_side_of_a_partition_rejects_proposals_and_catches_up() {
    let mut group = started_group();
    commit(&mut group, 0);
    for (one, other) in [(0, 2), (0, 3), (0, 4), (1, 2), (1, 3), (1, 4)] {
        group.cut_links.extend([(one, other), (other, one)]);
    }
    assert!(group.run_until(10.0, |group| group.leader().is_some_and(|n| n > 1)));
    group.run_for(4.0);
    let small = group.proposal(0);
    assert!(matches!(group.propose_and_wait(0, small, 4.0), ProposalOutcome::NoQuorum { .. }));
    assert_eq!(commit(&mut group, 3), 2);
    assert_eq!(group.version(0), 1, "it serves its last version");
    group.run_for(60.0);
    assert_eq!(commit(&mut group, 3), 3);
    assert!(group.nodes[0].replica.as_ref().is_some_and(|m| m.staleness_s(group.now) > 60.0));
    group.cut_links.clear();
    assert!(group.run_until(16.0, |group| group.version(0) == 3 && group.version(1) == 3));
    assert_sound(group);
}

#[test]
fn a_replica_with_a_full_disk_commits_nothing_serves_reads_and_resumes() {
    let mut group = started_group();
    commit(&mut group, 0);
    group.run_for(1.0);
    let leader = group.leader().expect("a leader");
    group.nodes[leader].disk.is_full = true;
    let proposal = group.proposal(leader);
    let client = group.propose(leader, proposal, 4.0);
    assert!(group.run_until(10.0, |group| group.leader().is_some_and(|n| n != leader)), "another leads");
    group.run_for(1.0);
    let replica = group.nodes[leader].replica.as_ref().expect("runs");
    assert!(
        replica.unavailable_reason().is_some_and(|why| why.to_string().contains("no space left")),
        "{:?}",
        replica.unavailable_reason()
    );
    assert_eq!(replica.version_log().latest_number(), 1);
    let now = group.proposal(leader);
    assert!(matches!(group.propose_and_wait(leader, now, 1.0), ProposalOutcome::Unavailable { .. }));
    assert!(group.run_until(10.0, |group| group.outcomes.contains_key(&client)));
    let other = (leader + 1) % REPLICAS;
    let number = commit(&mut group, other);
    group.nodes[leader].disk.is_full = false;
    assert!(group.run_until(16.0, |group| group.version(leader) >= number), "it takes part again");
    assert_sound(group);
}

#[test]
fn six_hundred_and_fifty_proposals_one_after_the_other_commit_and_the_log_is_compacted() {
    let mut group = started_group();
    let from = group.now;
    for _ in 0..650 {
        let leader = group.leader().expect("a leader");
        commit(&mut group, leader);
    }
    assert!(group.now - from < 180.0, "{}", group.now - from);
    assert!(group.nodes.iter().all(|node| node.disk.state.entries.len() < 100), "the log is compacted");
    assert_sound(group);
}

#[test]
fn a_replica_whose_disk_was_set_back_takes_no_part() {
    let mut group = started_group();
    let follower = (group.leader().expect("a leader") + 1) % REPLICAS;
    let early = group.nodes[follower].disk.state.clone();
    for _ in 0..5 {
        commit(&mut group, 0);
    }
    group.crash(follower);
    group.nodes[follower].disk.state = early;
    group.start(follower);
    assert!(group.run_until(10.0, |group| {
        let out = group.nodes[follower].replica.as_ref().and_then(Replica::unavailable_reason);
        out.map(|why| why.to_string()).is_some_and(|why| {
            why.contains("its log contradicts the other replicas") && why.contains("by an empty one")
        })
    }));
    group.wipe(follower);
    group.start(follower);
    assert_sound(group);
}

#[rstest]
#[case::of_another_replica("c2", |_: &mut RecoveredState| {}, "it belongs to replica `c1`, this one is `c2`")]
#[case::without_identity("c1", |recovered: &mut RecoveredState| recovered.identity = None, "it does not tell which replica it belongs to")]
#[case::with_a_gap("c1", |recovered: &mut RecoveredState| drop(recovered.entries.remove(0)), "entry")]
#[case::without_its_tail("c1", |recovered: &mut RecoveredState| recovered.entries.clear(), "its log ends at")]
#[case::with_noise("c1", |recovered: &mut RecoveredState| recovered.hard_state = Some(vec![0xff; 9]), "the hard state is not what was written")]
fn a_corrupt_or_foreign_disk_is_refused_in_one_line(
    #[case] name_of_replica: &str,
    #[case] corrupt: fn(&mut RecoveredState),
    #[case] expected: &str,
) {
    let mut group = started_group();
    for _ in 0..5 {
        commit(&mut group, 0);
    }
    let mut recovered = group.nodes[0].disk.state.clone();
    corrupt(&mut recovered);
    let members = (0..REPLICAS).map(name).collect();
    let why = Replica::new(name_of_replica, &members, &recovered, 9, 9).err().expect("refused").to_string();
    assert!(why.contains(expected) && !why.contains('\n'), "{why}");
}

#[test]
fn proposals_that_are_too_long_or_too_many_are_rejected() {
    let mut group = started_group();
    let mut long = group.proposal(0);
    long.settings = json!({"Name": "x".repeat(MAX_PROPOSAL_BYTES)});
    assert!(matches!(
        group.propose_and_wait(0, long, 1.0),
        ProposalOutcome::TooLong { limit: MAX_PROPOSAL_BYTES, .. }
    ));
    let clients: Vec<u64> = (0..=MAX_WAITING_CLIENTS)
        .map(|_| {
            let proposal = group.proposal(0);
            group.propose(0, proposal, 5.0)
        })
        .collect();
    let too_many = |client: &&u64| {
        group.outcomes.get(client) == Some(&ProposalOutcome::TooMany { limit: MAX_WAITING_CLIENTS })
    };
    assert_eq!(clients.iter().filter(too_many).count(), 1);
    assert_sound(group);
}

/// Large settings must not fill the memory long before entries are many.
#[test]
fn a_log_of_large_settings_is_compacted_by_its_bytes() {
    let mut group = started_group();
    for node in &mut group.nodes {
        let replica = node.replica.as_mut().expect("runs");
        (replica.snapshot_after_entries, replica.max_log_bytes) = (1000, 20_000);
    }
    for _ in 0..60 {
        let mut proposal = group.proposal(0);
        proposal.settings["Name"] = "x".repeat(1500).into();
        assert!(matches!(group.propose_and_wait(0, proposal, 5.0), ProposalOutcome::Committed(_)));
    }
    for node in &group.nodes {
        let bytes: usize = node.disk.state.entries.iter().map(Vec::len).sum();
        assert!(bytes < 30_000, "{bytes}");
    }
    assert_sound(group);
}
