//! Who the members of the group are.
//!
//! Each disk has an id of its own, which is the member's in quorums. A replica with an empty disk is another member, which
//! takes the place of its predecessor by a change that a quorum commits. So nobody votes or acknowledges under an id whose
//! promises were lost with a disk.
use super::Replica;
use super::state::{AppliedState, ReplicaName, encode};
use super::status::ReplicaEvent;
use crate::consensus::{Consensus, RecoveredState, ReplicaId, WriteBatch, founding_batch};
use raft::eraftpb::{ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, ConfState};
use std::collections::VecDeque;

/// Seconds within which all other replicas have to announce an empty disk for a group to be founded.
const FOUNDING_WINDOW_S: f64 = 2.0;
/// A learner may become a voter when it lacks no more entries than these.
const MAX_LAG_ENTRIES: u64 = 100;

impl Replica {
    /// Founds the group if this is the member with the least name and all others announced empty disks. Only that member
    /// founds, so there are never two groups; the others join with the first announcement that names them.
    pub(super) fn try_found(&mut self, now: f64) {
        let has_empty_disk = |name: &ReplicaName| {
            self.announcements.get(name).is_some_and(|announcement| {
                announcement.group_id == 0 && now - announcement.received_at <= FOUNDING_WINDOW_S
            })
        };
        if self.members.first() != Some(&self.identity.name) || !self.peers().all(has_empty_disk) {
            return;
        }
        let mut founders: Vec<(ReplicaName, ReplicaId)> = self
            .peers()
            .filter_map(|name| Some((name.clone(), self.announcements.get(name)?.replica_id)))
            .collect();
        founders.push((self.identity.name.clone(), self.identity.replica_id));
        founders.sort();
        // The id of the founder's disk: nobody else founds a group with it, and it founds one only once.
        self.join(self.identity.replica_id, founders);
    }

    /// Becomes a member of a group: as a founder, or, if the founders do not name this disk, as one that is to be taken in
    /// by the leader.
    pub(super) fn join(&mut self, group_id: u64, founders: Vec<(ReplicaName, ReplicaId)>) {
        let is_founder = founders.contains(&(self.identity.name.clone(), self.identity.replica_id));
        self.identity.group_id = group_id;
        let (mut batch, mut recovered) = (WriteBatch::default(), RecoveredState::default());
        if is_founder {
            let voters: Vec<ReplicaId> = founders.iter().map(|(_, id)| *id).collect();
            let names = founders.iter().map(|(name, id)| (*id, name.clone())).collect();
            let state = AppliedState { names, versions: VecDeque::new() };
            batch = founding_batch(&voters, encode(&state));
            recovered = RecoveredState::founded(&batch);
        }
        self.identity.founders = if is_founder { founders } else { vec![] };
        batch.identity = Some(encode(&self.identity));
        // Nothing of the group is said before this is durable: `advance` writes it first.
        self.first_writes.push_back(batch);
        if let Err(error) = self.start_consensus(&recovered) {
            self.output.events.push(ReplicaEvent::JoinFailed(error.to_string()));
        }
        self.output.events.push(ReplicaEvent::Joined { group_id, is_founder });
    }

    /// As the leader, takes in disks that came in the place of a member's, one change at a time.
    pub(super) fn replace_disks(&mut self) {
        let Some(consensus) = self.consensus.as_mut().filter(|consensus| consensus.is_leader()) else {
            return;
        };
        if !consensus.membership().voters_outgoing.is_empty() {
            // The former leader did not complete its change.
            consensus.propose_membership(ConfChangeV2::default());
            return;
        }
        let Some(change) = self.next_replacement() else { return };
        if let Some(consensus) = &mut self.consensus {
            consensus.propose_membership(change);
        }
    }

    /// The first change that some announced disk needs.
    fn next_replacement(&self) -> Option<ConfChangeV2> {
        let consensus = self.consensus.as_ref()?;
        self.announcements.iter().find_map(|(name, announcement)| {
            let belongs = announcement.group_id == 0 || announcement.group_id == self.identity.group_id;
            let is_voter = consensus.membership().voters.contains(&announcement.replica_id);
            if is_voter || !belongs {
                None
            } else {
                self.replacement(consensus, name, announcement.replica_id)
            }
        })
    }

    /// The next change by which a disk takes the place of the former one of its name: first it becomes a learner, and once
    /// it has caught up a voter, in one change with the removal of the former.
    fn replacement(
        &self,
        consensus: &Consensus,
        name: &ReplicaName,
        new_id: ReplicaId,
    ) -> Option<ConfChangeV2> {
        let ConfState { voters, learners, .. } = consensus.membership();
        let is_former = |id: &&ReplicaId| self.names.get(id) == Some(name) && **id != new_id;
        let former_voters: Vec<ReplicaId> = voters.iter().filter(is_former).copied().collect();
        let is_active = |id: &ReplicaId| consensus.follower_progress(*id).is_some_and(|(active, _)| active);
        if former_voters.iter().any(is_active) {
            // Two replicas have one name, and the member is well: the other one is a mistake.
            return None;
        }
        let mut change = ConfChangeV2::default();
        change.set_transition(ConfChangeTransition::Auto);
        change.set_context(encode(&(new_id, name)).into());
        let (removed, added): (Vec<ReplicaId>, ConfChangeType) = if !learners.contains(&new_id) {
            (learners.iter().filter(is_former).copied().collect(), ConfChangeType::AddLearnerNode)
        } else if consensus
            .follower_progress(new_id)
            .is_some_and(|(active, lacking)| active && lacking <= MAX_LAG_ENTRIES)
        {
            (former_voters, ConfChangeType::AddNode)
        } else {
            return None;
        };
        for id in removed {
            change.mut_changes().push(single_change(ConfChangeType::RemoveNode, id));
        }
        change.mut_changes().push(single_change(added, new_id));
        Some(change)
    }

    /// A change of members was committed: learns the name of the new one.
    pub(super) fn learn_member(&mut self, change: &ConfChangeV2) {
        if let Ok((id, name)) = serde_json::from_slice::<(ReplicaId, ReplicaName)>(&change.context) {
            self.names.insert(id, name);
        }
    }

    /// Forgets the names of former members.
    pub(super) fn forget_former_members(&mut self, membership: &ConfState) {
        self.names.retain(|id, _| {
            membership.voters.contains(id)
                || membership.learners.contains(id)
                || membership.voters_outgoing.contains(id)
        });
    }

    /// Name of a member, or of a replica that announced itself.
    pub(super) fn name_of(&self, id: ReplicaId) -> Option<ReplicaName> {
        let announced = || {
            let found = self.announcements.iter().find(|(_, announcement)| announcement.replica_id == id);
            found.map(|(name, _)| name.clone())
        };
        self.names.get(&id).cloned().or_else(announced)
    }
}

fn single_change(kind: ConfChangeType, id: ReplicaId) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(kind);
    change.node_id = id;
    change
}
