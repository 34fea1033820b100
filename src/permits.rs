//! Decides whether an action may happen at this very moment: an attempt may start, a connection may be closed, a query
//! may be admitted or rejected.
//!
//! The policy's decisions can be some time old when they are carried out, for example when an attempt has waited for a
//! connection. Whoever carries one out therefore asks here at the moment of the action, with the facts of that moment.
//! This guards against effects that happen twice and attempts that nobody waits for. Times are seconds on the
//! monotonic clock.

use crate::interface::{Idempotency, NodeState};

/// Why an action may not happen now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The shard request's query has had its final answer, or its client has disconnected.
    QueryEnded,
    /// The attempt's time-out or its client's deadline has passed.
    DeadlinePassed,
    /// The window in which repeats are dropped has passed since the first attempt that may have had an effect.
    IdempotencyWindowPassed,
    /// An earlier attempt of a non-idempotent shard request may have had an effect.
    PossibleEffect,
    /// The data node is draining or removed.
    NodeNotServing,
    /// Bytes that have not been read yet are waiting on the connection.
    UnreadBytes,
    /// A query is open on the connection.
    QueryOpen,
    /// An answer has not been written completely.
    UnwrittenBytes,
    /// The router has shut down.
    ShutDown,
    /// There is no capacity for the query and its shard requests.
    NoCapacity,
}

impl Denial {
    /// Its label in counters.
    pub fn label(self) -> &'static str {
        match self {
            Denial::QueryEnded => "query_over",
            Denial::DeadlinePassed => "time_over",
            Denial::IdempotencyWindowPassed => "window_over",
            Denial::PossibleEffect => "may_have_run",
            Denial::NodeNotServing => "node_leaving",
            Denial::UnreadBytes => "unread",
            Denial::QueryOpen => "query_open",
            Denial::UnwrittenBytes => "unwritten",
            Denial::ShutDown => "ended",
            Denial::NoCapacity => "no_room",
        }
    }
}

/// An attempt whose frame is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart {
    /// The time now.
    pub now_s: f64,
    /// When its time-out or its client's deadline passes, whichever is first.
    pub deadline_s: f64,
    /// Whether the shard request may be repeated.
    pub idempotency: Idempotency,
    /// Start of the shard request's first earlier attempt that may have had an effect.
    pub first_effect_at_s: Option<f64>,
    /// The data node's state.
    pub node_state: NodeState,
}

/// Whether an attempt may start.
///
/// # Errors
/// `NodeNotServing`, `DeadlinePassed`, `IdempotencyWindowPassed` or `PossibleEffect`.
pub fn may_start_attempt(attempt: &AttemptStart) -> Result<(), Denial> {
    if attempt.node_state != NodeState::Serving {
        return Err(Denial::NodeNotServing);
    }
    if attempt.deadline_s <= attempt.now_s {
        return Err(Denial::DeadlinePassed);
    }
    match (attempt.idempotency, attempt.first_effect_at_s) {
        (Idempotency::Idempotent, _) | (_, None) => Ok(()),
        (Idempotency::IdempotentWithKey { window_s }, Some(at_s)) if at_s + window_s <= attempt.now_s => {
            Err(Denial::IdempotencyWindowPassed)
        }
        (Idempotency::IdempotentWithKey { .. }, Some(_)) => Ok(()),
        (Idempotency::NonIdempotent, Some(_)) => Err(Denial::PossibleEffect),
    }
}

/// The time-out told to a data node ends this long before the client's deadline: the frame takes time to arrive, and a
/// final answer is sent ahead of its limit.
const TRANSIT_MARGIN_S: f64 = 0.01;

/// Milliseconds, 1 at least, that an attempt which starts now tells its data node as its time-out. `timeout_at_s` is
/// the end of the attempt's own time-out, `not_after_s` the client's deadline.
pub fn advertised_timeout_ms(now_s: f64, timeout_at_s: f64, not_after_s: f64) -> u64 {
    let left_s = timeout_at_s.min(not_after_s - TRANSIT_MARGIN_S) - now_s;
    (left_s * 1e3).max(1.0) as u64
}

/// A client's connection that the router wants to close.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionClose {
    /// Whether a query is open on it.
    pub query_open: bool,
    /// Whether bytes of an answer have not been written yet.
    pub unwritten: bool,
    /// Whether bytes have arrived that could still be read.
    pub unread: bool,
}

/// Whether a connection may be closed without losing a query or an answer.
///
/// # Errors
/// `QueryOpen`, `UnwrittenBytes` or `UnreadBytes`.
pub fn may_close_connection(connection: &ConnectionClose) -> Result<(), Denial> {
    match connection {
        ConnectionClose { query_open: true, .. } => Err(Denial::QueryOpen),
        ConnectionClose { unwritten: true, .. } => Err(Denial::UnwrittenBytes),
        ConnectionClose { unread: true, .. } => Err(Denial::UnreadBytes),
        _ => Ok(()),
    }
}

/// Whether a query may be admitted; otherwise it is rejected at once.
///
/// # Errors
/// `ShutDown` or `NoCapacity`.
pub fn may_admit(shut_down: bool, has_capacity: bool) -> Result<(), Denial> {
    match (shut_down, has_capacity) {
        (true, _) => Err(Denial::ShutDown),
        (false, false) => Err(Denial::NoCapacity),
        (false, true) => Ok(()),
    }
}

/// Whether a query may be rejected, which promises its client that a retry is harmless. `possible_effect` is whether any
/// attempt of it may have had an effect.
///
/// # Errors
/// `PossibleEffect`.
pub fn may_reject(idempotency: Idempotency, possible_effect: bool) -> Result<(), Denial> {
    if idempotency == Idempotency::NonIdempotent && possible_effect {
        Err(Denial::PossibleEffect)
    } else {
        Ok(())
    }
}
