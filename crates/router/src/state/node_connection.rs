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
    pub up: bool,
    pub opened: f64,
    /// Takes no new call; closes once it is empty.
    pub retired: bool,
    /// Closes at once.
    pub cut: bool,
    frames: VecDeque<OutboundFrame>,
    begun: Option<OutboundFrame>,
    /// Parts whose frame has gone out whole and that are unanswered, with the call's number.
    out: BTreeMap<Rc<str>, usize>,
    /// Something has come on it.
    heard: bool,
    /// Since when calls have gone out and nothing has come.
    unheard: Option<f64>,
    /// Parts given up whose reply may still come, with the moment from which none can: it must not be read as
    /// that of a later call, nor as a reply for a part that nobody sent.
    given_up: BTreeMap<Rc<str>, f64>,
    /// The part answered last, which some data nodes answer twice.
    answered: Option<Rc<str>>,
    idle_since: f64,
}

impl NodeConnection {
    pub fn new(now: f64) -> Self {
        NodeConnection { opened: now, idle_since: now, ..NodeConnection::default() }
    }

    fn in_frames(&self) -> impl Iterator<Item = &AttemptId> {
        self.frames.iter().chain(&self.begun).flat_map(|f| match f {
            OutboundFrame::Attempts(parts) => parts.as_slice(),
            OutboundFrame::Cancel(_) => &[],
        })
    }

    /// Places taken: every part on its way or out has one until it is answered or given up.
    pub fn taken(&self) -> usize {
        self.out.len() + self.in_frames().count()
    }

    pub fn is_idle(&self) -> bool {
        self.out.is_empty() && self.frames.is_empty() && self.begun.is_none()
    }

    /// Whether a call is next where nothing is out, on a connection that has served before.
    pub fn is_unasked(&self) -> bool {
        self.heard && self.out.is_empty() && !self.next_call().is_empty()
    }

    /// The calls that wait, of which no byte has gone out.
    pub fn take_waiting(&mut self) -> Vec<AttemptId> {
        let calls = self.frames.drain(..).filter_map(|frame| match frame {
            OutboundFrame::Attempts(parts) => Some(parts),
            OutboundFrame::Cancel(_) => None,
        });
        calls.flatten().collect()
    }

    pub fn idle_since(&self) -> Option<f64> {
        self.is_idle().then_some(self.idle_since)
    }

    /// Whether a call of these parts may go on this connection.
    pub fn takes(&self, parts: &[AttemptId], places: usize) -> bool {
        let known = |id: &AttemptId| self.out.contains_key(&id.0) || self.given_up.contains_key(&id.0);
        !self.retired && !self.cut && self.taken() + parts.len() <= places && !parts.iter().any(known)
    }

    pub fn queue(&mut self, frame: OutboundFrame) {
        self.frames.push_back(frame);
        self.wake.notify_one();
    }

    /// The parts of the next frame, where that has not begun and asks for something new.
    pub fn next_call(&self) -> &[AttemptId] {
        match (&self.begun, self.frames.front()) {
            (None, Some(OutboundFrame::Attempts(parts))) => parts,
            _ => &[],
        }
    }

    /// The parts of the frame that has begun to go out.
    pub fn begun_call(&self) -> &[AttemptId] {
        match &self.begun {
            Some(OutboundFrame::Attempts(parts)) => parts,
            _ => &[],
        }
    }

    /// Whether the next frame asks for something new.
    pub fn next_is_call(&self) -> bool {
        self.begun.is_none() && matches!(self.frames.front(), Some(OutboundFrame::Attempts(_)))
    }

    /// The next frame to write; it has begun once this returns it.
    pub fn begin(&mut self) -> Option<&OutboundFrame> {
        if self.begun.is_none() {
            self.begun = self.frames.pop_front();
        }
        self.begun.as_ref()
    }

    /// Of the frame that had begun no byte was taken: it is the next one again.
    pub fn not_begun(&mut self) {
        if let Some(frame) = self.begun.take() {
            self.frames.push_front(frame);
        }
    }

    /// The last byte of the frame that had begun is written.
    pub fn written(&mut self, now: f64) {
        if let Some(OutboundFrame::Attempts(parts)) = self.begun.take() {
            self.out.extend(parts);
            self.unheard.get_or_insert(now);
        }
    }

    pub fn place(&self, id: &AttemptId) -> AttemptPosition {
        let holds = |f: &OutboundFrame| matches!(f, OutboundFrame::Attempts(parts) if parts.contains(id));
        match () {
            _ if self.out.get(&id.0) == Some(&id.1) => AttemptPosition::InFlight,
            _ if self.begun.as_ref().is_some_and(holds) => AttemptPosition::Writing,
            _ if self.frames.iter().any(holds) => AttemptPosition::Queued,
            _ => AttemptPosition::Absent,
        }
    }

    /// Takes a part that has not begun out of its frame.
    pub fn take_back(&mut self, id: &AttemptId) {
        for frame in &mut self.frames {
            if let OutboundFrame::Attempts(parts) = frame {
                parts.retain(|p| p != id);
            }
        }
        self.frames.retain(|f| !matches!(f, OutboundFrame::Attempts(parts) if parts.is_empty()));
    }

    /// Gives up a part that is out; its reply may still come `until` then. Guards against a connection that has
    /// fallen silent while its data node goes on: it has the most places free, and calls that took them one
    /// after the other would make the node look silent. After `patience` it takes no new call, which costs a
    /// node that only paused one more dial.
    pub fn give_up(&mut self, id: &AttemptId, now: f64, until: f64, patience: f64) {
        if self.out.remove(&id.0).is_some() {
            self.retired |= self.unheard.is_some_and(|since| since + patience <= now);
            self.given_up.retain(|_, until| *until > now);
            self.given_up.insert(id.0.clone(), until);
            self.idle_since = now;
            self.queue(OutboundFrame::Cancel(id.0.clone()));
        }
    }

    /// Cuts the connection over a part given up in the midst of its frame, whose call has ended. Guards against
    /// its being ended a second time with the connection, as one that never ran, or a later call by the same id
    /// in its place.
    pub fn cut_over(&mut self, id: &AttemptId) {
        if let Some(OutboundFrame::Attempts(parts)) = &mut self.begun {
            parts.retain(|p| p != id);
        }
        self.cut = true;
        self.wake.notify_one();
    }

    /// A reply has come; returns the number of the call that it ends, none where the part is over, or nothing
    /// at all for a part that is not asked for here.
    pub fn replied(&mut self, part: &str, now: f64) -> Option<Option<usize>> {
        (self.idle_since, self.unheard, self.heard) = (now, None, true);
        if let Some((part, hop)) = self.out.remove_entry(part) {
            self.answered = Some(part);
            return Some(Some(hop));
        }
        let over = self.given_up.remove(part).is_some() || self.answered.as_deref() == Some(part);
        over.then_some(None)
    }

    /// The parts that had not gone out whole when the connection ended, and those that had.
    pub fn remains(self) -> (Vec<AttemptId>, Vec<AttemptId>) {
        let unsent = self.in_frames().cloned().collect();
        (unsent, self.out.into_iter().collect())
    }
}
