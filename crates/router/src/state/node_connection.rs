//! The state of a connection to a data node: queued frames, the frame that is being written, and attempts in
//! flight. Each connection has a task, which owns the socket of the connection. An attempt uses one stream of
//! the connection from when the attempt is queued until it is answered or cancelled. A retired connection
//! gets no new attempts and closes when it is idle. All times are seconds of the monotonic clock.
use super::attempts::AttemptId;
use super::undelivered::{Delivery, UndeliveredFrames};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// A request to open a connection to a data node.
pub struct DialRequest {
    /// The data node's name.
    pub node: String,
    /// The number that identifies the connection among this core's connections to data nodes.
    pub connection: u64,
    /// The address on which the data node listens.
    pub address: SocketAddr,
}

/// A frame to a data node.
pub enum OutboundFrame {
    /// Sends these attempts.
    Attempts(Vec<AttemptId>),
    /// Cancels this shard request.
    Cancel(Rc<str>),
}

/// How much of the frame of an attempt has been sent.
pub enum SendProgress {
    /// No byte of the attempt's frame has been written.
    Queued,
    /// The attempt's frame may be partly written, but is not completely written.
    Writing,
    /// The attempt's frame is completely written, and no reply has been received.
    InFlight,
    /// The attempt is not on this connection: it has ended or is on another connection.
    NotOnConnection,
}

/// The result of matching a reply with the attempts of its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplyMatch {
    /// The reply ends an attempt in flight.
    InFlight {
        /// Index of the attempt among the attempts of its shard request, from 0.
        attempt: usize,
    },
    /// The attempt has ended: it was cancelled, or the reply is a second one to the shard request that was
    /// answered last on this connection.
    AlreadyEnded,
    /// The shard request was not sent on this connection.
    NotRequested,
}

/// The attempts without a reply on a connection that has closed.
pub struct UnfinishedAttempts {
    /// Attempts whose frame was not completely written: the data node cannot have executed them.
    pub unsent: Vec<AttemptId>,
    /// Attempts whose frame was completely written: the data node may have executed them.
    pub in_flight: Vec<AttemptId>,
}

/// One connection to a data node.
#[derive(Default)]
pub struct NodeConnection {
    /// Wakes the task of the connection when a frame is to be written or the connection is to close.
    pub wake: Rc<Notify>,
    /// Whether the connection is established.
    pub is_open: bool,
    /// When the router began to open the connection.
    pub opened_at_s: f64,
    /// Whether the connection is retired.
    pub is_retired: bool,
    /// Whether the connection is to close immediately.
    pub is_aborted: bool,
    /// Whether a frame was truncated: a part of it was written, and the rest never is. Nothing more is written
    /// then; the connection is retired, and stays open for the replies to the attempts in flight.
    pub has_truncated_frame: bool,
    /// The frames with attempts that may not have arrived at the data node yet.
    pub undelivered: UndeliveredFrames,
    queued: VecDeque<OutboundFrame>,
    writing: Option<OutboundFrame>,
    /// Shard requests whose frame has been completely written and that have no reply, each with the number of
    /// its attempt.
    in_flight: BTreeMap<Rc<str>, usize>,
    has_received: bool,
    /// When the first frame with attempts since the last reply was completely written; `None` if no such
    /// frame was written since the last reply.
    silent_since_s: Option<f64>,
    /// Cancelled shard requests, each with the time until which a reply may still arrive. Guards against
    /// matching a late reply with a later attempt of the same request, and against treating it as a reply to
    /// a request that was never sent.
    cancelled: BTreeMap<Rc<str>, f64>,
    /// The shard request that was answered last on this connection. Some data nodes answer a request twice.
    last_answered: Option<Rc<str>>,
    idle_since_s: f64,
}

impl NodeConnection {
    /// The state of a connection that the router begins to open at `now`.
    pub fn new(now: f64) -> Self {
        NodeConnection { opened_at_s: now, idle_since_s: now, ..NodeConnection::default() }
    }

    fn unwritten_attempts(&self) -> impl Iterator<Item = &AttemptId> {
        self.queued.iter().chain(&self.writing).flat_map(|frame| match frame {
            OutboundFrame::Attempts(attempts) => attempts.as_slice(),
            OutboundFrame::Cancel(_) => &[],
        })
    }

    /// Number of streams in use.
    pub fn used_streams(&self) -> usize {
        self.in_flight.len() + self.unwritten_attempts().count()
    }

    fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.queued.is_empty() && self.writing.is_none()
    }

    /// Since when the connection is idle, that is, without attempts and frames; `None` if it is not idle.
    pub fn idle_since(&self) -> Option<f64> {
        self.is_idle().then_some(self.idle_since_s)
    }

    /// Whether the next frame to write has attempts and is the first one after an idle time: a reply has been
    /// received on the connection before, and no attempt is in flight.
    pub fn will_reuse_after_idle(&self) -> bool {
        self.has_received && self.in_flight.is_empty() && !self.next_attempts().is_empty()
    }

    /// Whether these attempts may be queued on this connection with at most `streams` streams in use
    /// afterwards.
    pub fn can_take(&self, attempts: &[AttemptId], streams: usize) -> bool {
        let is_known = |id: &AttemptId| {
            self.in_flight.contains_key(&id.request_id) || self.cancelled.contains_key(&id.request_id)
        };
        !self.is_retired
            && !self.is_aborted
            && self.used_streams() + attempts.len() <= streams
            && !attempts.iter().any(is_known)
    }

    /// Appends a frame to the queue and wakes the task of the connection.
    pub fn enqueue(&mut self, frame: OutboundFrame) {
        self.queued.push_back(frame);
        self.wake.notify_one();
    }

    /// Empties the queue; returns the attempts of the queued frames, of which no byte has been written.
    pub fn take_queued(&mut self) -> Vec<AttemptId> {
        let attempts = self.queued.drain(..).filter_map(|frame| match frame {
            OutboundFrame::Attempts(attempts) => Some(attempts),
            OutboundFrame::Cancel(_) => None,
        });
        attempts.flatten().collect()
    }

    /// Removes an attempt from its queued frame, and removes the frame if no attempt is left in it.
    pub fn remove_queued(&mut self, id: &AttemptId) {
        for frame in &mut self.queued {
            if let OutboundFrame::Attempts(attempts) = frame {
                attempts.retain(|queued| queued != id);
            }
        }
        self.queued
            .retain(|frame| !matches!(frame, OutboundFrame::Attempts(attempts) if attempts.is_empty()));
    }

    /// Removes an attempt that ends from the frame that is being written. Guards against the attempt ending a
    /// second time when the frame is truncated.
    pub fn remove_writing(&mut self, id: &AttemptId) {
        if let Some(OutboundFrame::Attempts(attempts)) = &mut self.writing {
            attempts.retain(|writing| writing != id);
        }
    }

    /// The attempts of the next queued frame. Empty if another frame is being written or the next frame has
    /// no attempts.
    pub fn next_attempts(&self) -> &[AttemptId] {
        match (&self.writing, self.queued.front()) {
            (None, Some(OutboundFrame::Attempts(attempts))) => attempts,
            _ => &[],
        }
    }

    /// Whether no frame is being written and the next queued frame has attempts.
    pub fn next_starts_attempts(&self) -> bool {
        self.writing.is_none() && matches!(self.queued.front(), Some(OutboundFrame::Attempts(_)))
    }

    /// Whether the frame that is being written, or the next one if there is none, has attempts.
    pub fn next_sends_attempts(&self) -> bool {
        matches!(self.writing.as_ref().or(self.queued.front()), Some(OutboundFrame::Attempts(_)))
    }

    /// The attempts of the frame that is being written.
    pub fn writing_attempts(&self) -> &[AttemptId] {
        match &self.writing {
            Some(OutboundFrame::Attempts(attempts)) => attempts,
            _ => &[],
        }
    }

    /// The frame that is being written. If there is none, takes the next frame from the queue.
    pub fn begin_frame(&mut self) -> Option<&OutboundFrame> {
        if self.writing.is_none() {
            self.writing = self.queued.pop_front();
        }
        self.writing.as_ref()
    }

    /// Puts the frame that was to be written back to the front of the queue, because the socket accepted no
    /// byte of it.
    pub fn return_frame(&mut self) {
        if let Some(frame) = self.writing.take() {
            self.queued.push_front(frame);
        }
    }

    /// Records that the last byte of the frame that is being written was written at `now`, and is byte number
    /// `end` of the connection: the attempts of that frame are in flight from then on.
    pub fn frame_written(&mut self, now: f64, end: u64) {
        if let Some(OutboundFrame::Attempts(attempts)) = self.writing.take() {
            self.undelivered.frame_written(attempts.clone(), end, now);
            self.in_flight.extend(attempts.into_iter().map(|id| (id.request_id, id.number)));
            self.silent_since_s.get_or_insert(now);
        }
    }

    /// How much of the frame of an attempt has been sent on this connection.
    pub fn send_progress(&self, id: &AttemptId) -> SendProgress {
        let holds = |frame: &OutboundFrame| matches!(frame, OutboundFrame::Attempts(ids) if ids.contains(id));
        if self.in_flight.get(&id.request_id) == Some(&id.number) {
            SendProgress::InFlight
        } else if self.writing.as_ref().is_some_and(holds) {
            SendProgress::Writing
        } else if self.queued.iter().any(holds) {
            SendProgress::Queued
        } else {
            SendProgress::NotOnConnection
        }
    }

    /// Cancels an attempt in flight at `now`. A reply to the attempt that arrives until the time
    /// `reply_until_s` is dropped.
    ///
    /// If no reply has been received for `silence_timeout_s` seconds while attempts were in flight, the
    /// connection is also retired. Guards against a dead connection to a healthy data node: the connection
    /// would have the most free streams and get further attempts, and the time-outs of these attempts would
    /// make the data node look unresponsive. If the data node had only paused, the cost is one more
    /// connection.
    pub fn cancel(&mut self, id: &AttemptId, now: f64, reply_until_s: f64, silence_timeout_s: f64) {
        if self.in_flight.remove(&id.request_id).is_none() {
            return;
        }
        self.is_retired |= self.silent_since_s.is_some_and(|since| since + silence_timeout_s <= now);
        self.cancelled.retain(|_, until_s| *until_s > now);
        self.cancelled.insert(id.request_id.clone(), reply_until_s);
        self.undelivered.cancelled(id, now);
        self.idle_since_s = now;
        if self.has_truncated_frame {
            // No frame can be written; the connection closes when the last attempt in flight has ended.
            self.wake.notify_one();
        } else {
            self.enqueue(OutboundFrame::Cancel(id.request_id.clone()));
        }
    }

    /// Truncates the frame that is being written, because its rest must not reach the data node, and retires
    /// the connection. Leaving out the rest makes any later frame unreadable, so nothing more can be written.
    /// The connection stays open for the replies to the attempts in flight, or is aborted if there are none.
    /// Returns the attempts of the truncated frame and of the queued frames, which the data node cannot have
    /// executed.
    pub fn truncate_frame(&mut self) -> Vec<AttemptId> {
        let mut attempts = match self.writing.take() {
            Some(OutboundFrame::Attempts(attempts)) => attempts,
            Some(OutboundFrame::Cancel(_)) | None => vec![],
        };
        attempts.extend(self.take_queued());
        (self.has_truncated_frame, self.is_retired) = (true, true);
        self.is_aborted |= self.in_flight.is_empty();
        self.wake.notify_one();
        attempts
    }

    /// The attempts in flight whose frame has not been transmitted completely, by `delivery`.
    pub fn untransmitted(&self, delivery: Delivery) -> Vec<AttemptId> {
        let attempts = self.undelivered.untransmitted(delivery);
        attempts.filter(|id| self.in_flight.get(&id.request_id) == Some(&id.number)).cloned().collect()
    }

    /// The attempts in flight whose frame was transmitted and not acknowledged for so long at `now` that it
    /// may be lost, by `delivery`.
    pub fn unacknowledged(&self, delivery: Delivery, now: f64) -> Vec<AttemptId> {
        let attempts = self.undelivered.unacknowledged(delivery, now);
        attempts.filter(|id| self.in_flight.get(&id.request_id) == Some(&id.number)).cloned().collect()
    }

    /// Matches a reply that is received at `now` with an attempt, and removes the attempt from those in
    /// flight.
    pub fn reply_received(&mut self, request_id: &str, now: f64) -> ReplyMatch {
        (self.idle_since_s, self.silent_since_s, self.has_received) = (now, None, true);
        if let Some((request_id, attempt)) = self.in_flight.remove_entry(request_id) {
            self.last_answered = Some(request_id);
            return ReplyMatch::InFlight { attempt };
        }
        let was_cancelled = self.cancelled.remove(request_id).is_some();
        if was_cancelled || self.last_answered.as_deref() == Some(request_id) {
            return ReplyMatch::AlreadyEnded;
        }
        ReplyMatch::NotRequested
    }

    /// The attempts without a reply when the connection closes.
    pub fn into_unfinished(self) -> UnfinishedAttempts {
        let unsent = self.unwritten_attempts().cloned().collect();
        let in_flight = self.in_flight.into_iter();
        let in_flight = in_flight.map(|(request_id, number)| AttemptId { request_id, number }).collect();
        UnfinishedAttempts { unsent, in_flight }
    }
}
