//! Random schedules of faults for a group of replicas.
use super::replica_group::{BrokenRule, REPLICAS, ReplicaGroup};
use alderway_control_plane::version::Proposal;

/// Seconds that a schedule lasts, after the first leader.
const SCHEDULE_S: f64 = 30.0;
/// Probability of a proposal in a step.
const PROPOSAL_PROBABILITY: f64 = 0.08;
/// Probability of a fault in a step.
const FAULT_PROBABILITY: f64 = 0.04;

/// Runs faults and proposals drawn from a seed, ends the faults and checks the group.
pub fn run_schedule(seed: u64, broken_rule: BrokenRule) -> ReplicaGroup {
    let mut group = ReplicaGroup::new(seed, broken_rule);
    group.run_until(20.0, |group| group.leader().is_some());
    let end = group.now + SCHEDULE_S;
    let mut heal_at = 0.0;
    let mut earlier: Vec<Proposal> = vec![];
    while group.now < end && group.violations.is_empty() {
        group.step();
        if group.chance(PROPOSAL_PROBABILITY) {
            propose(&mut group, &mut earlier);
        }
        if group.now >= heal_at && !group.cut_links.is_empty() {
            group.cut_links.clear();
        }
        if group.chance(FAULT_PROBABILITY) {
            inject_fault(&mut group, &mut heal_at);
        }
    }
    group.heal_and_check();
    group
}

/// Makes a proposal at a random replica; sometimes one that was made before.
fn propose(group: &mut ReplicaGroup, earlier: &mut Vec<Proposal>) {
    let n = group.draw(REPLICAS as u32) as usize;
    if group.is_running(n) {
        let repeats = !earlier.is_empty() && group.chance(0.2);
        let at = group.draw(earlier.len().max(1) as u32) as usize;
        let proposal = if repeats { earlier[at].clone() } else { group.proposal(n) };
        earlier.push(proposal.clone());
        group.propose(n, proposal, 4.0);
    }
}

/// A random fault, often of the leader.
fn inject_fault(group: &mut ReplicaGroup, heal_at: &mut f64) {
    let n = match group.leader() {
        Some(leader) if group.chance(0.4) => leader,
        _ => group.draw(REPLICAS as u32) as usize,
    };
    match group.draw(10) {
        0 | 1 => group.nodes[n].paused_until = group.now + 0.5 + f64::from(group.draw(50)) / 10.0,
        2 => group.crash(n),
        3 => start_crashed(group),
        4 if group.wiped_disks < 2 => {
            group.wipe(n);
            if group.chance(0.5) {
                group.start(n);
            }
        }
        5 | 6 => {
            partition(group, n);
            *heal_at = group.now + 1.0 + f64::from(group.draw(60)) / 10.0;
        }
        7 => group.loss_fraction = f64::from(group.draw(4)) * 0.05,
        8 => group.delay_s = [0.002, 0.02, 0.1, 0.4][group.draw(4) as usize],
        _ => group.nodes[n].disk.is_full = !group.nodes[n].disk.is_full,
    }
}

fn start_crashed(group: &mut ReplicaGroup) {
    for n in 0..REPLICAS {
        if group.nodes[n].replica.is_none() {
            group.start(n);
        }
    }
}

/// Cuts the links between two sides, in one direction or both.
fn partition(group: &mut ReplicaGroup, n: usize) {
    let side: Vec<bool> = match group.draw(3) {
        // The two regions.
        0 => vec![true, true, false, false, false],
        1 => (0..REPLICAS).map(|other| other == n).collect(),
        _ => (0..REPLICAS).map(|_| group.draw(2) == 0).collect(),
    };
    let one_way = group.chance(0.3);
    for from in 0..REPLICAS {
        for to in 0..REPLICAS {
            if side[from] != side[to] && (!one_way || side[from]) {
                group.cut_links.insert((from, to));
            }
        }
    }
}
