//! Attempts whose frame has not arrived completely at their data node: a part of the frame is not written, or
//! the kernel still holds bytes of it. The permission to send an attempt may end meanwhile, for example with
//! the time in which data nodes drop duplicates. The rest of the frame must then not reach the data node, and
//! the other attempts of the connection must not be lost by that.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::undelivered::Delivery;
use alderway::interface::{AttemptOutcome, NodeState};
use alderway::permits::{self, Denial};

/// What is to be done about the bytes of a connection that have not arrived yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryCheck {
    /// Every frame with attempts has arrived.
    Delivered,
    /// Some frames may not have arrived, and they may still do so.
    Pending,
    /// A frame must not arrive any more: the kernel has to discard its bytes.
    Discard,
}

impl Dispatcher {
    /// Whether the rest of the frame that is being written may be written now. If an attempt of the frame has
    /// lost its permission, the attempt ends as never sent, and the frame is truncated.
    pub fn may_continue_frame(&mut self, node: &str, number: u64) -> bool {
        let now = self.clock.now();
        let Some(connection) = self.endpoints.connection(node, number) else { return false };
        if connection.has_truncated_frame {
            return false;
        }
        let writing = connection.writing_attempts().to_vec();
        let mut may_continue = true;
        for id in &writing {
            if let Err(denial) = self.may_complete(id, now) {
                self.counters.increment(&format!("calls_truncated{{{}}}", denial.label()));
                self.abort_attempt(id, AttemptOutcome::NeverSent);
                may_continue = false;
            }
        }
        may_continue
    }

    /// Whether an attempt whose frame has not arrived completely may still arrive at `now`.
    fn may_complete(&self, id: &AttemptId, now: f64) -> Result<(), Denial> {
        let (class, request) = self.queries.class_and_request(&id.request_id).ok_or(Denial::QueryEnded)?;
        let attempt = self.attempts.get(id).ok_or(Denial::QueryEnded)?;
        permits::may_complete_attempt(&permits::AttemptToComplete {
            now_s: now,
            deadline_s: self.attempt_deadline_s(id).unwrap_or(now),
            arrive_by_s: attempt.advertised.map_or(f64::INFINITY, |advertised| advertised.arrive_by_s),
            idempotency: self.query_classes[class].idempotency,
            first_effect_at_s: request.first_possible_execution(Some(id.number)),
        })
    }

    /// Truncates the frame that is being written on a connection. The attempts of the frame and of the frames
    /// queued behind it are put back, to be sent on another connection to the same data node.
    pub(super) fn truncate_frame(&mut self, node: &str, number: u64) {
        let Some(connection) = self.endpoints.connection(node, number) else { return };
        let unsent = connection.truncate_frame();
        self.counters.increment("frames_truncated");
        self.put_back(node, unsent);
    }

    /// Queues attempts that the data node cannot have executed for another connection to the data node. If
    /// the data node takes no new attempts any more, they end as never sent.
    pub(super) fn put_back(&mut self, node: &str, attempts: Vec<AttemptId>) {
        self.counters.add("calls_put_back", attempts.len());
        for id in attempts {
            self.rule_out_execution(&id);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.connection = None;
                attempt.advertised = None;
            }
            match self.endpoints.nodes.get_mut(node) {
                Some(record) if record.state == NodeState::Serving => {
                    record.unsent_attempts.push(id);
                    self.nodes_to_flush.insert(node.to_string());
                }
                _ => self.record_attempt_end(&id, AttemptOutcome::NeverSent),
            }
        }
        // The attempts are put into frames after the next run of the policy.
        self.work_ready.notify_one();
    }

    /// Checks the written frames of a connection that may not have arrived. `delivery` says how far the bytes
    /// of the connection have come.
    pub fn check_delivery(&mut self, node: &str, number: u64, delivery: Delivery) -> DeliveryCheck {
        let now = self.clock.now();
        let Some(connection) = self.endpoints.connection(node, number) else {
            return DeliveryCheck::Delivered;
        };
        if !connection.undelivered.drop_acknowledged(delivery) {
            return DeliveryCheck::Delivered;
        }
        if connection.undelivered.has_late_cancelled(delivery, now) {
            return DeliveryCheck::Discard;
        }
        let (untransmitted, unacknowledged) =
            (connection.untransmitted(delivery), connection.unacknowledged(delivery, now));
        let denied = untransmitted.iter().any(|id| self.may_complete(id, now).is_err());
        let repeats = |id: &AttemptId| self.may_complete(id, now) == Err(Denial::IdempotencyWindowPassed);
        if denied || unacknowledged.iter().any(repeats) {
            return DeliveryCheck::Discard;
        }
        DeliveryCheck::Pending
    }

    /// Removes a connection whose bytes the kernel is to discard. The attempts without a written frame are
    /// put back. The attempts in flight end as cancelled: closing the connection cancels them at the data
    /// node, which may have executed them.
    pub fn discard_undelivered(&mut self, node: &str, number: u64) {
        let Some(connection) = self.remove_connection(node, number) else { return };
        self.counters.increment("connections_reset{undelivered}");
        let unfinished = connection.into_unfinished();
        unfinished.in_flight.iter().for_each(|id| self.record_attempt_end(id, AttemptOutcome::Cancelled));
        self.put_back(node, unfinished.unsent);
    }
}
