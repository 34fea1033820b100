//! Proposals of clients. Any replica takes them; a follower forwards them to the leader. They are proposed again until they
//! are decided, because a message or a leader may be lost: the id of a proposal makes it count once.
use super::state::encode;
use super::waiting_clients::{
    ClientId, MAX_PROPOSAL_BYTES, MAX_WAITING_CLIENTS, ProposalOutcome, WaitingClient,
};
use super::{QUORUM_TIMEOUT_S, Replica};
use crate::version::Proposal;

/// Seconds after which an undecided proposal is proposed again.
const RETRY_INTERVAL_S: f64 = 1.0;

impl Replica {
    /// Proposes a change. The client is told one outcome, within `timeout_s` seconds.
    pub fn propose(&mut self, client: ClientId, proposal: &Proposal, timeout_s: f64, now: f64) {
        let encoded = encode(proposal);
        if let Err(outcome) = self.admit_proposal(encoded.len(), now) {
            self.output.outcomes.push((client, outcome));
            return;
        }
        let proposal_id = proposal.id.clone();
        let waiting = WaitingClient { proposal_id, encoded, deadline: now + timeout_s, retry_at: now };
        self.waiting.clients.insert(client, waiting);
        self.propose_due(now);
    }

    /// Whether a proposal may be made now. Nothing is proposed without a quorum, so that the client is told at once.
    fn admit_proposal(&self, bytes: usize, now: f64) -> Result<(), ProposalOutcome> {
        if bytes > MAX_PROPOSAL_BYTES {
            return Err(ProposalOutcome::TooLong { bytes, limit: MAX_PROPOSAL_BYTES });
        }
        if let Some(reason) = self.unavailable_reason() {
            return Err(ProposalOutcome::Unavailable { reason: reason.to_string() });
        }
        if self.waiting.clients.len() >= MAX_WAITING_CLIENTS {
            return Err(ProposalOutcome::TooMany { limit: MAX_WAITING_CLIENTS });
        }
        if !self.has_quorum(now) {
            let for_s = Some(self.staleness_s(now)).filter(|staleness_s| staleness_s.is_finite());
            return Err(ProposalOutcome::NoQuorum { leader: self.leader().cloned(), for_s });
        }
        Ok(())
    }

    /// The client is gone; it is told nothing.
    pub fn forget_client(&mut self, client: ClientId) {
        self.waiting.clients.remove(&client);
    }

    /// Proposes what is due to be proposed, for the first time or again.
    pub(super) fn propose_due(&mut self, now: f64) {
        if self.stall.is_some() {
            return;
        }
        let Some(consensus) = &mut self.consensus else { return };
        for waiting in self.waiting.clients.values_mut().filter(|waiting| waiting.retry_at <= now) {
            if consensus.propose(waiting.encoded.clone()) {
                waiting.retry_at = now + RETRY_INTERVAL_S;
            }
        }
    }

    /// Tells the clients whose time is over that their proposals are undecided.
    pub(super) fn expire_clients(&mut self, now: f64) {
        let leader = self.leader().cloned();
        for client in self.waiting.take_expired(now) {
            self.output.outcomes.push((client, ProposalOutcome::Undecided { leader: leader.clone() }));
        }
    }

    /// Whether a quorum, this replica among it, was heard of lately. A replica that takes no part sees none.
    pub fn has_quorum(&self, now: f64) -> bool {
        self.takes_part() && self.staleness_s(now) <= QUORUM_TIMEOUT_S
    }
}
