//! A connection to a data node as the rest of the program sees it: what waits to be written, what is being
//! written, and what is out. Its driver owns the socket.
use super::AttemptId;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

pub enum OutboundFrame {
    Attempts(Vec<AttemptId>),
    Cancel(Rc<str>),
}

/// Where a part stands on its connection.
pub enum AttemptPosition {
    Queued,
    Writing,
    InFlight,
    Absent,
}

#[derive(Default)]
pub struct NodeConnection {
    pub wake: Rc<Notify>,
    pub is_up: bool,
    pub opened_at_s: f64,
    /// Takes no new call; closes once it is empty.
    pub is_retired: bool,
    /// Closes at once.
    pub is_aborted: bool,
    queued: VecDeque<OutboundFrame>,
    writing: Option<OutboundFrame>,
    /// Parts whose frame has gone out whole and that are unanswered, with the call's number.
    in_flight: BTreeMap<Rc<str>, usize>,
    /// Something has come on it.
    has_received: bool,
    /// Since when calls have gone out and nothing has come.
    silent_since_s: Option<f64>,
    /// Parts given up whose reply may still come, with the moment from which none can: it must not be read as
    /// that of a later call, nor as a reply for a part that nobody sent.
    cancelled: BTreeMap<Rc<str>, f64>,
    /// The part answered last, which some data nodes answer twice.
    last_answered: Option<Rc<str>>,
    idle_since_s: f64,
}

impl NodeConnection {
    pub fn new(now: f64) -> Self {
        NodeConnection { opened_at_s: now, idle_since_s: now, ..NodeConnection::default() }
    }

    fn queued_attempts(&self) -> impl Iterator<Item = &AttemptId> {
        self.queued.iter().chain(&self.writing).flat_map(|f| match f {
            OutboundFrame::Attempts(parts) => parts.as_slice(),
            OutboundFrame::Cancel(_) => &[],
        })
    }

    /// Places taken: every part on its way or out has one until it is answered or given up.
    pub fn used_streams(&self) -> usize {
        self.in_flight.len() + self.queued_attempts().count()
    }

    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.queued.is_empty() && self.writing.is_none()
    }

    /// Whether a call is next where nothing is out, on a connection that has served before.
    pub fn is_reuse_after_idle(&self) -> bool {
        self.has_received && self.in_flight.is_empty() && !self.next_attempts().is_empty()
    }

    /// The calls that wait, of which no byte has gone out.
    pub fn take_queued(&mut self) -> Vec<AttemptId> {
        let calls = self.queued.drain(..).filter_map(|frame| match frame {
            OutboundFrame::Attempts(parts) => Some(parts),
            OutboundFrame::Cancel(_) => None,
        });
        calls.flatten().collect()
    }

    pub fn idle_since(&self) -> Option<f64> {
        self.is_idle().then_some(self.idle_since_s)
    }

    /// Whether a call of these parts may go on this connection.
    pub fn can_take(&self, parts: &[AttemptId], places: usize) -> bool {
        let known = |id: &AttemptId| self.in_flight.contains_key(&id.0) || self.cancelled.contains_key(&id.0);
        !self.is_retired
            && !self.is_aborted
            && self.used_streams() + parts.len() <= places
            && !parts.iter().any(known)
    }

    pub fn enqueue(&mut self, frame: OutboundFrame) {
        self.queued.push_back(frame);
        self.wake.notify_one();
    }

    /// The parts of the next frame, where that has not begun and asks for something new.
    pub fn next_attempts(&self) -> &[AttemptId] {
        match (&self.writing, self.queued.front()) {
            (None, Some(OutboundFrame::Attempts(parts))) => parts,
            _ => &[],
        }
    }

    /// The parts of the frame that has begun to go out.
    pub fn writing_attempts(&self) -> &[AttemptId] {
        match &self.writing {
            Some(OutboundFrame::Attempts(parts)) => parts,
            _ => &[],
        }
    }

    /// Whether the next frame asks for something new.
    pub fn next_starts_attempts(&self) -> bool {
        self.writing.is_none() && matches!(self.queued.front(), Some(OutboundFrame::Attempts(_)))
    }

    /// The next frame to write; it has begun once this returns it.
    pub fn begin_frame(&mut self) -> Option<&OutboundFrame> {
        if self.writing.is_none() {
            self.writing = self.queued.pop_front();
        }
        self.writing.as_ref()
    }

    /// Of the frame that had begun no byte was taken: it is the next one again.
    pub fn return_frame(&mut self) {
        if let Some(frame) = self.writing.take() {
            self.queued.push_front(frame);
        }
    }

    /// The last byte of the frame that had begun is written.
    pub fn frame_written(&mut self, now: f64) {
        if let Some(OutboundFrame::Attempts(parts)) = self.writing.take() {
            self.in_flight.extend(parts);
            self.silent_since_s.get_or_insert(now);
        }
    }

    pub fn position(&self, id: &AttemptId) -> AttemptPosition {
        let holds = |f: &OutboundFrame| matches!(f, OutboundFrame::Attempts(parts) if parts.contains(id));
        match () {
            _ if self.in_flight.get(&id.0) == Some(&id.1) => AttemptPosition::InFlight,
            _ if self.writing.as_ref().is_some_and(holds) => AttemptPosition::Writing,
            _ if self.queued.iter().any(holds) => AttemptPosition::Queued,
            _ => AttemptPosition::Absent,
        }
    }

    /// Takes a part that has not begun out of its frame.
    pub fn remove_queued(&mut self, id: &AttemptId) {
        for frame in &mut self.queued {
            if let OutboundFrame::Attempts(parts) = frame {
                parts.retain(|p| p != id);
            }
        }
        self.queued.retain(|f| !matches!(f, OutboundFrame::Attempts(parts) if parts.is_empty()));
    }

    /// Gives up a part that is out; its reply may still come `until` then. Guards against a connection that has
    /// fallen silent while its data node goes on: it has the most places free, and calls that took them one
    /// after the other would make the node look silent. After `patience` it takes no new call, which costs a
    /// node that only paused one more dial.
    pub fn cancel(&mut self, id: &AttemptId, now: f64, until: f64, patience: f64) {
        if self.in_flight.remove(&id.0).is_some() {
            self.is_retired |= self.silent_since_s.is_some_and(|since| since + patience <= now);
            self.cancelled.retain(|_, until| *until > now);
            self.cancelled.insert(id.0.clone(), until);
            self.idle_since_s = now;
            self.enqueue(OutboundFrame::Cancel(id.0.clone()));
        }
    }

    /// Cuts the connection over a part given up in the midst of its frame, whose call has ended. Guards against
    /// its being ended a second time with the connection, as one that never ran, or a later call by the same id
    /// in its place.
    pub fn abort_for(&mut self, id: &AttemptId) {
        if let Some(OutboundFrame::Attempts(parts)) = &mut self.writing {
            parts.retain(|p| p != id);
        }
        self.is_aborted = true;
        self.wake.notify_one();
    }

    /// A reply has come; returns the number of the call that it ends, none where the part is over, or nothing
    /// at all for a part that is not asked for here.
    pub fn reply_received(&mut self, part: &str, now: f64) -> Option<Option<usize>> {
        (self.idle_since_s, self.silent_since_s, self.has_received) = (now, None, true);
        if let Some((part, hop)) = self.in_flight.remove_entry(part) {
            self.last_answered = Some(part);
            return Some(Some(hop));
        }
        let over = self.cancelled.remove(part).is_some() || self.last_answered.as_deref() == Some(part);
        over.then_some(None)
    }

    /// The parts that had not gone out whole when the connection ended, and those that had.
    pub fn into_unfinished(self) -> (Vec<AttemptId>, Vec<AttemptId>) {
        let unsent = self.queued_attempts().cloned().collect();
        (unsent, self.in_flight.into_iter().collect())
    }
}
