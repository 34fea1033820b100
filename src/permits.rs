//! Decides whether an act that the rules bound may happen at this moment: a leaf call may begin, a connection may be
//! closed, a query may be taken. What the decision module wanted may be some time ago, as for a call that waited for a
//! connection, so whoever carries a decision out asks here in the moment of the act. Free of I/O: facts come with the
//! question.

use crate::interface::{Idempotency, NodeState};

/// Why an act may not happen now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The part's query has had its final answer, or its client has left.
    QueryOver,
    /// The call's time-out or its client's time has passed.
    TimeOver,
    /// The window in which repeats are dropped has passed since the part's first call that may have run.
    WindowOver,
    /// An earlier call of a part that must not run twice may have run.
    MayHaveRun,
    /// The data node drains or is gone.
    NodeLeaving,
    /// Something that is not read yet waits on the connection.
    Unread,
    /// A query is open on the connection.
    QueryOpen,
    /// An answer has not gone out whole.
    Unwritten,
    /// The router has ended.
    Ended,
    /// No room is left for the query and its parts.
    NoRoom,
}

impl Denial {
    /// How counters name it.
    pub fn label(self) -> &'static str {
        match self {
            Denial::QueryOver => "query_over",
            Denial::TimeOver => "time_over",
            Denial::WindowOver => "window_over",
            Denial::MayHaveRun => "may_have_run",
            Denial::NodeLeaving => "node_leaving",
            Denial::Unread => "unread",
            Denial::QueryOpen => "query_open",
            Denial::Unwritten => "unwritten",
            Denial::Ended => "ended",
            Denial::NoRoom => "no_room",
        }
    }
}

/// A leaf call whose frame is about to begin. Times are seconds of the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub now: f64,
    /// When its time-out or its client's time has passed, whichever is first.
    pub until: f64,
    pub effect: Idempotency,
    /// When the first of the part's earlier calls that may have run began.
    pub begun: Option<f64>,
    pub node: NodeState,
}

/// Whether a leaf call may begin.
pub fn call(call: &Call) -> Result<(), Denial> {
    if call.node != NodeState::Serving {
        return Err(Denial::NodeLeaving);
    }
    if call.until <= call.now {
        return Err(Denial::TimeOver);
    }
    match call.effect {
        Idempotency::Idempotent => Ok(()),
        Idempotency::IdempotentWithKey { window_s: window }
            if call.begun.is_some_and(|at| at + window <= call.now) =>
        {
            Err(Denial::WindowOver)
        }
        Idempotency::IdempotentWithKey { .. } => Ok(()),
        Idempotency::NonIdempotent if call.begun.is_none() => Ok(()),
        Idempotency::NonIdempotent => Err(Denial::MayHaveRun),
    }
}

/// What a call tells its data node is shorter than what its client has left by so much, in seconds: the frame is some
/// time on its way, and a final answer goes out ahead of its limit in any case.
const ON_THE_WAY: f64 = 0.01;

/// How many milliseconds a call that begins now tells its data node that its answer is waited for; 1 at least. `until` is
/// the end of the call's own time-out, `not_after` of its client's time.
pub fn told_ms(now: f64, until: f64, not_after: f64) -> u64 {
    let left = until.min(not_after - ON_THE_WAY) - now;
    (left * 1e3).max(1.0) as u64
}

/// A client's connection that this side wants to end in order.
#[derive(Clone, Copy, Debug)]
pub struct Closing {
    pub query_open: bool,
    /// Bytes of an answer that are not out.
    pub unwritten: bool,
    /// Bytes that have come and that could still be read.
    pub unread: bool,
}

/// Whether a connection may be closed without losing what was asked on it.
pub fn close(closing: &Closing) -> Result<(), Denial> {
    match closing {
        Closing { query_open: true, .. } => Err(Denial::QueryOpen),
        Closing { unwritten: true, .. } => Err(Denial::Unwritten),
        Closing { unread: true, .. } => Err(Denial::Unread),
        _ => Ok(()),
    }
}

/// Whether a query may be taken; where not, it is refused at once.
pub fn take(ended: bool, has_room: bool) -> Result<(), Denial> {
    match (ended, has_room) {
        (true, _) => Err(Denial::Ended),
        (false, false) => Err(Denial::NoRoom),
        (false, true) => Ok(()),
    }
}

/// Whether a rejection, which promises that trying again is harmless, may be given: `begun` is whether any call of the
/// query may have run.
pub fn reject(effect: Idempotency, begun: bool) -> Result<(), Denial> {
    if effect == Idempotency::NonIdempotent && begun { Err(Denial::MayHaveRun) } else { Ok(()) }
}
