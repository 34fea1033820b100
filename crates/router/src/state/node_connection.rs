//! A connection to a data node: frames that are queued, the one that is being written, and attempts in flight. The task of
//! the connection owns its socket.
use super::attempts::AttemptId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// A connection that has to be opened.
pub struct Dial {
    /// The data node's name.
    pub node: String,
    /// The connection's number.
    pub connection: u64,
    /// Where the node listens.
    pub address: SocketAddr,
}

/// A frame to a data node.
pub enum OutboundFrame {
    /// Attempts that go out together.
    Attempts(Vec<AttemptId>),
    /// Nobody waits for this shard request any more.
    Cancel(Rc<str>),
}

/// Where an attempt stands on its connection.
pub enum AttemptPosition {
    /// No byte of its frame is written.
    Queued,
    /// Its frame has begun and is not out whole.
    Writing,
    /// Its frame is out whole, and it is unanswered.
    InFlight,
    /// It is not on this connection.
    Absent,
}

/// What a reply belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplyMatch {
    /// To the attempt of this number.
    InFlight {
        /// Its number among its shard request's attempts.
        attempt: usize,
    },
    /// To an attempt that was cancelled, or answered just before.
    AlreadyOver,
    /// To nothing that was asked here.
    NotAsked,
}

/// The attempts on a connection that has ended.
pub struct Unfinished {
    /// Those whose frame was not written whole: they were never executed.
    pub unsent: Vec<AttemptId>,
    /// Those whose frame was.
    pub in_flight: Vec<AttemptId>,
}

/// One connection to a data node.
#[derive(Default)]
pub struct NodeConnection {
    /// Wakes the task of the connection.
    pub wake: Rc<Notify>,
    /// Whether it is open.
    pub is_up: bool,
    /// When its dial began.
    pub opened_at_s: f64,
    /// Takes no new attempt, and closes once it is idle.
    pub is_retired: bool,
    /// Closes at once.
    pub is_aborted: bool,
    queued: VecDeque<OutboundFrame>,
    writing: Option<OutboundFrame>,
    /// Unanswered shard requests whose frame is out whole, with the attempt's number.
    in_flight: BTreeMap<Rc<str>, usize>,
    has_received: bool,
    /// Since when attempts are in flight and nothing has come.
    silent_since_s: Option<f64>,
    /// Cancelled requests whose reply may still come, with the time after which none can. Guards against reading it as
    /// the reply to a later attempt, or as one for a request that was not asked.
    cancelled: BTreeMap<Rc<str>, f64>,
    /// Some data nodes answer a request twice.
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

    /// Streams in use: each attempt has one from the moment it is queued until it is answered or cancelled.
    pub fn used_streams(&self) -> usize {
        self.in_flight.len() + self.unwritten_attempts().count()
    }

    fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.queued.is_empty() && self.writing.is_none()
    }

    /// Since when it is idle, if it is.
    pub fn idle_since(&self) -> Option<f64> {
        self.is_idle().then_some(self.idle_since_s)
    }

    /// Whether attempts are next on a connection that has served before and has none in flight.
    pub fn is_reuse_after_idle(&self) -> bool {
        self.has_received && self.in_flight.is_empty() && !self.next_attempts().is_empty()
    }

    /// Whether these attempts may go on this connection, with `streams` in use at most.
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

    /// Takes all attempts of which no byte is written.
    pub fn take_queued(&mut self) -> Vec<AttemptId> {
        let attempts = self.queued.drain(..).filter_map(|frame| match frame {
            OutboundFrame::Attempts(attempts) => Some(attempts),
            OutboundFrame::Cancel(_) => None,
        });
        attempts.flatten().collect()
    }

    /// Takes one attempt out of its queued frame.
    pub fn remove_queued(&mut self, id: &AttemptId) {
        for frame in &mut self.queued {
            if let OutboundFrame::Attempts(attempts) = frame {
                attempts.retain(|queued| queued != id);
            }
        }
        self.queued
            .retain(|frame| !matches!(frame, OutboundFrame::Attempts(attempts) if attempts.is_empty()));
    }

    /// The attempts of the next frame, where that has not begun and starts some.
    pub fn next_attempts(&self) -> &[AttemptId] {
        match (&self.writing, self.queued.front()) {
            (None, Some(OutboundFrame::Attempts(attempts))) => attempts,
            _ => &[],
        }
    }

    /// Whether the next frame starts attempts.
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

    /// Begins the next frame, or returns the one that has begun.
    pub fn begin_frame(&mut self) -> Option<&OutboundFrame> {
        if self.writing.is_none() {
            self.writing = self.queued.pop_front();
        }
        self.writing.as_ref()
    }

    /// The socket took no byte of the frame that had begun: it is the next one again.
    pub fn return_frame(&mut self) {
        if let Some(frame) = self.writing.take() {
            self.queued.push_front(frame);
        }
    }

    /// The last byte of the frame that had begun is written.
    pub fn frame_written(&mut self, now: f64) {
        if let Some(OutboundFrame::Attempts(attempts)) = self.writing.take() {
            self.in_flight.extend(attempts.into_iter().map(|id| (id.request_id, id.number)));
            self.silent_since_s.get_or_insert(now);
        }
    }

    /// Where an attempt stands.
    pub fn position(&self, id: &AttemptId) -> AttemptPosition {
        let holds = |frame: &OutboundFrame| matches!(frame, OutboundFrame::Attempts(ids) if ids.contains(id));
        if self.in_flight.get(&id.request_id) == Some(&id.number) {
            AttemptPosition::InFlight
        } else if self.writing.as_ref().is_some_and(holds) {
            AttemptPosition::Writing
        } else if self.queued.iter().any(holds) {
            AttemptPosition::Queued
        } else {
            AttemptPosition::Absent
        }
    }

    /// Cancels an attempt in flight; its reply may still come until `reply_until_s`. After `patience_s` of silence the
    /// connection is retired as well. Guards against a connection that is dead while its data node serves: it has
    /// the most streams free, and attempts that took them would make the node look unresponsive. A node that only
    /// paused costs one more dial.
    pub fn cancel(&mut self, id: &AttemptId, now: f64, reply_until_s: f64, patience_s: f64) {
        if self.in_flight.remove(&id.request_id).is_none() {
            return;
        }
        self.is_retired |= self.silent_since_s.is_some_and(|since| since + patience_s <= now);
        self.cancelled.retain(|_, until_s| *until_s > now);
        self.cancelled.insert(id.request_id.clone(), reply_until_s);
        self.idle_since_s = now;
        self.enqueue(OutboundFrame::Cancel(id.request_id.clone()));
    }

    /// Closes the connection over an attempt that was aborted in the midst of its frame. Guards against the attempt
    /// being ended a second time with the connection, as one that was never executed.
    pub fn abort_for(&mut self, id: &AttemptId) {
        if let Some(OutboundFrame::Attempts(attempts)) = &mut self.writing {
            attempts.retain(|writing| writing != id);
        }
        self.is_aborted = true;
        self.wake.notify_one();
    }

    /// Matches a reply with the attempt that it ends.
    pub fn reply_received(&mut self, request_id: &str, now: f64) -> ReplyMatch {
        (self.idle_since_s, self.silent_since_s, self.has_received) = (now, None, true);
        if let Some((request_id, attempt)) = self.in_flight.remove_entry(request_id) {
            self.last_answered = Some(request_id);
            return ReplyMatch::InFlight { attempt };
        }
        let was_cancelled = self.cancelled.remove(request_id).is_some();
        if was_cancelled || self.last_answered.as_deref() == Some(request_id) {
            return ReplyMatch::AlreadyOver;
        }
        ReplyMatch::NotAsked
    }

    /// The attempts that are left as the connection ends.
    pub fn into_unfinished(self) -> Unfinished {
        let unsent = self.unwritten_attempts().cloned().collect();
        let in_flight = self.in_flight.into_iter();
        let in_flight = in_flight.map(|(request_id, number)| AttemptId { request_id, number }).collect();
        Unfinished { unsent, in_flight }
    }
}
