//! The state of a connection to a data node: queued frames, the frame that is being written, and attempts in flight. The
//! connection's task owns its socket.
use super::attempts::AttemptId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// A connection that is to be opened.
pub struct DialRequest {
    /// The data node's name.
    pub node: String,
    /// The connection's number.
    pub connection: u64,
    /// Where the node listens.
    pub address: SocketAddr,
}

/// A frame to a data node.
pub enum OutboundFrame {
    /// Attempts that start with one frame.
    Attempts(Vec<AttemptId>),
    /// Cancels this shard request.
    Cancel(Rc<str>),
}

/// How far an attempt has got on its connection.
pub enum SendProgress {
    /// No byte of its frame has been written.
    Queued,
    /// Part of its frame may have been written, but not all of it.
    Writing,
    /// Its frame has been written completely, and no reply has been received.
    InFlight,
    /// It is not on this connection.
    NotOnConnection,
}

/// Which attempt a reply belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplyMatch {
    /// The attempt with this number.
    InFlight {
        /// Its number among its shard request's attempts.
        attempt: usize,
    },
    /// An attempt that has ended: it was cancelled, or this is a second reply to the request answered last.
    AlreadyEnded,
    /// None: the shard request was not sent on this connection.
    NotRequested,
}

/// The attempts that were left on a connection when it closed.
pub struct UnfinishedAttempts {
    /// Those whose frame was not written completely: the data node has not executed them.
    pub unsent: Vec<AttemptId>,
    /// Those whose frame was written completely: the data node may have executed them.
    pub in_flight: Vec<AttemptId>,
}

/// One connection to a data node.
#[derive(Default)]
pub struct NodeConnection {
    /// Wakes the task of the connection.
    pub wake: Rc<Notify>,
    /// Whether the connection is established.
    pub is_open: bool,
    /// When its dial began.
    pub opened_at_s: f64,
    /// Whether it accepts no new attempts and closes when it is idle.
    pub is_retired: bool,
    /// Whether it is to close at once.
    pub is_aborted: bool,
    queued: VecDeque<OutboundFrame>,
    writing: Option<OutboundFrame>,
    /// Unanswered shard requests whose frame has been written completely, with the attempt's number.
    in_flight: BTreeMap<Rc<str>, usize>,
    has_received: bool,
    /// When the first frame with attempts after the last reply was written; `None` if there is no such frame.
    silent_since_s: Option<f64>,
    /// Cancelled shard requests that may still be answered, with the time after which they cannot. Guards against taking a
    /// late reply for the reply to a later attempt, or for one to a request that was never sent.
    cancelled: BTreeMap<Rc<str>, f64>,
    /// The request answered last. Some data nodes answer a request twice.
    last_answered: Option<Rc<str>>,
    idle_since_s: f64,
}

impl NodeConnection {
    /// A connection whose dial begins now.
    pub fn new(now: f64) -> Self {
        NodeConnection { opened_at_s: now, idle_since_s: now, ..NodeConnection::default() }
    }

    fn unwritten_attempts(&self) -> impl Iterator<Item = &AttemptId> {
        self.queued.iter().chain(&self.writing).flat_map(|frame| match frame {
            OutboundFrame::Attempts(attempts) => attempts.as_slice(),
            OutboundFrame::Cancel(_) => &[],
        })
    }

    /// Streams in use: an attempt uses one from when it is queued until it is answered or cancelled.
    pub fn used_streams(&self) -> usize {
        self.in_flight.len() + self.unwritten_attempts().count()
    }

    fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.queued.is_empty() && self.writing.is_none()
    }

    /// Since when the connection is idle, if it is.
    pub fn idle_since(&self) -> Option<f64> {
        self.is_idle().then_some(self.idle_since_s)
    }

    /// Whether attempts are to be written next on a connection that has received a reply before and has none in flight.
    pub fn will_reuse_after_idle(&self) -> bool {
        self.has_received && self.in_flight.is_empty() && !self.next_attempts().is_empty()
    }

    /// Whether these attempts may be queued here so that at most `streams` are in use.
    pub fn can_take(&self, attempts: &[AttemptId], streams: usize) -> bool {
        let is_known = |id: &AttemptId| {
            self.in_flight.contains_key(&id.request_id) || self.cancelled.contains_key(&id.request_id)
        };
        !self.is_retired
            && !self.is_aborted
            && self.used_streams() + attempts.len() <= streams
            && !attempts.iter().any(is_known)
    }

    /// Queues a frame.
    pub fn enqueue(&mut self, frame: OutboundFrame) {
        self.queued.push_back(frame);
        self.wake.notify_one();
    }

    /// Takes all attempts of which no byte has been written.
    pub fn take_queued(&mut self) -> Vec<AttemptId> {
        let attempts = self.queued.drain(..).filter_map(|frame| match frame {
            OutboundFrame::Attempts(attempts) => Some(attempts),
            OutboundFrame::Cancel(_) => None,
        });
        attempts.flatten().collect()
    }

    /// Removes an attempt from its queued frame, and the frame if it is then empty.
    pub fn remove_queued(&mut self, id: &AttemptId) {
        for frame in &mut self.queued {
            if let OutboundFrame::Attempts(attempts) = frame {
                attempts.retain(|queued| queued != id);
            }
        }
        self.queued
            .retain(|frame| !matches!(frame, OutboundFrame::Attempts(attempts) if attempts.is_empty()));
    }

    /// The attempts of the next frame. Empty if a frame is being written or the next one starts no attempts.
    pub fn next_attempts(&self) -> &[AttemptId] {
        match (&self.writing, self.queued.front()) {
            (None, Some(OutboundFrame::Attempts(attempts))) => attempts,
            _ => &[],
        }
    }

    /// Whether no frame is being written and the next one starts attempts.
    pub fn next_starts_attempts(&self) -> bool {
        self.writing.is_none() && matches!(self.queued.front(), Some(OutboundFrame::Attempts(_)))
    }

    /// The attempts of the frame that is being written.
    pub fn writing_attempts(&self) -> &[AttemptId] {
        match &self.writing {
            Some(OutboundFrame::Attempts(attempts)) => attempts,
            _ => &[],
        }
    }

    /// Begins the next frame, or returns the one that is being written.
    pub fn begin_frame(&mut self) -> Option<&OutboundFrame> {
        if self.writing.is_none() {
            self.writing = self.queued.pop_front();
        }
        self.writing.as_ref()
    }

    /// Puts the frame that had begun back in front of the queue: the socket accepted no byte of it.
    pub fn return_frame(&mut self) {
        if let Some(frame) = self.writing.take() {
            self.queued.push_front(frame);
        }
    }

    /// The last byte of the frame that had begun has been written.
    pub fn frame_written(&mut self, now: f64) {
        if let Some(OutboundFrame::Attempts(attempts)) = self.writing.take() {
            self.in_flight.extend(attempts.into_iter().map(|id| (id.request_id, id.number)));
            self.silent_since_s.get_or_insert(now);
        }
    }

    /// How far an attempt has got on this connection.
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

    /// Cancels an attempt in flight. Its reply may still come until `reply_until_s`. If no reply has come for
    /// `silence_timeout_s` while attempts were in flight, the connection is retired too. Guards against a dead connection to
    /// a data node that serves: the connection has the most free streams, so it would get more attempts, and their
    /// time-outs would make the node look unresponsive. If the node had only paused, this costs one more dial.
    pub fn cancel(&mut self, id: &AttemptId, now: f64, reply_until_s: f64, silence_timeout_s: f64) {
        if self.in_flight.remove(&id.request_id).is_none() {
            return;
        }
        self.is_retired |= self.silent_since_s.is_some_and(|since| since + silence_timeout_s <= now);
        self.cancelled.retain(|_, until_s| *until_s > now);
        self.cancelled.insert(id.request_id.clone(), reply_until_s);
        self.idle_since_s = now;
        self.enqueue(OutboundFrame::Cancel(id.request_id.clone()));
    }

    /// Closes the connection because an attempt was aborted while its frame was being written. Guards against the attempt
    /// ending a second time when the connection closes, as one that was never executed.
    pub fn abort_for(&mut self, id: &AttemptId) {
        if let Some(OutboundFrame::Attempts(attempts)) = &mut self.writing {
            attempts.retain(|writing| writing != id);
        }
        self.is_aborted = true;
        self.wake.notify_one();
    }

    /// Finds the attempt that a reply ends.
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

    /// The attempts that are left when the connection closes.
    pub fn into_unfinished(self) -> UnfinishedAttempts {
        let unsent = self.unwritten_attempts().cloned().collect();
        let in_flight = self.in_flight.into_iter();
        let in_flight = in_flight.map(|(request_id, number)| AttemptId { request_id, number }).collect();
        UnfinishedAttempts { unsent, in_flight }
    }
}
