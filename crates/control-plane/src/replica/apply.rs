//! What a durable write allows: messages are sent, committed entries are applied to the version log, clients are told.
use super::state::{AppliedState, encode};
use super::status::ReplicaEvent;
use super::waiting_clients::ProposalOutcome;
use super::{Replica, messages};
use crate::consensus::{Effects, EntryKind, RecoveryError};
use crate::version::Proposal;
use crate::version_log::VersionLog;

impl Replica {
    /// Does what a durable write allows: sends, applies, answers, and takes a snapshot where one is due.
    pub(super) fn carry_out(&mut self, effects: Effects) {
        for (to, message) in effects.messages {
            if let Some(name) = self.name_of(to) {
                let fragments = messages::fragments(self.identity.group_id, to, &message);
                self.output.messages.extend(fragments.into_iter().map(|fragment| (name.clone(), fragment)));
            }
        }
        if let Some(state) = effects.snapshot
            && let Err(error) = self.install_snapshot(&state)
        {
            self.output.events.push(ReplicaEvent::SnapshotFailed(error.to_string()));
        }
        let mut membership_changed = false;
        for entry in effects.committed {
            match entry {
                EntryKind::Empty => {}
                EntryKind::Proposal(data) => self.apply(&data),
                EntryKind::MembershipChange(change) => {
                    membership_changed = true;
                    self.learn_member(&change);
                }
            }
        }
        for (context, index) in effects.reads {
            self.read_index.answered(&context, index);
        }
        if let Some(consensus) = &self.consensus {
            self.read_index.applied(consensus.applied());
        }
        self.compact_if_due(membership_changed);
    }

    /// Takes a snapshot after a change of members, so that a new one is sent it, and where the log has grown enough.
    fn compact_if_due(&mut self, membership_changed: bool) {
        let Some(consensus) = &self.consensus else { return };
        let entries = consensus.entries_since_snapshot();
        let is_large = consensus.log_bytes() > self.max_log_bytes && entries > 0;
        if !membership_changed && !is_large && entries < self.snapshot_after_entries {
            return;
        }
        let membership = consensus.membership().clone();
        self.forget_former_members(&membership);
        let state = AppliedState { names: self.names.clone(), versions: self.log.versions().clone() };
        let kept_entries = if is_large { 0 } else { self.snapshot_after_entries / 2 };
        if let Some(consensus) = &mut self.consensus {
            consensus.compact(encode(&state), kept_entries);
        }
    }

    /// Applies a committed proposal, and tells the clients that wait for it.
    fn apply(&mut self, data: &[u8]) {
        let Ok(proposal) = serde_json::from_slice::<Proposal>(data) else { return };
        let id = proposal.id.clone();
        let outcome = match self.log.apply(proposal) {
            Ok(number) => ProposalOutcome::Committed(number),
            Err(error) => ProposalOutcome::Rejected(error),
        };
        self.deliver_latest();
        for client in self.waiting.take_decided(&id) {
            self.output.outcomes.push((client, outcome.clone()));
        }
    }

    /// Replaces the applied state by that of a snapshot.
    pub(super) fn install_snapshot(&mut self, state: &[u8]) -> Result<(), RecoveryError> {
        if state.is_empty() {
            return Ok(());
        }
        let state: AppliedState =
            serde_json::from_slice(state).map_err(|_| RecoveryError::SnapshotUnreadable)?;
        self.names = state.names;
        self.log = VersionLog::from_versions(state.versions);
        self.deliver_latest();
        for (client, number) in self.waiting.take_committed(&self.log) {
            self.output.outcomes.push((client, ProposalOutcome::Committed(number)));
        }
        Ok(())
    }

    fn deliver_latest(&mut self) {
        if let Some(latest) = self.log.latest()
            && latest.number > self.delivered
        {
            self.delivered = latest.number;
            self.output.committed.push(latest.clone());
        }
    }
}
