//! Checks whether a router may now start an attempt, close a connection, or admit or reject a query.
//!
//! The policy may have decided on an action some time before, for example if an attempt has waited for a
//! connection. The code that carries out the action therefore calls these functions immediately before it,
//! with the current state. This prevents effects that happen twice and attempts whose result no client waits
//! for. Times are seconds on the host's monotonic clock.

use crate::interface::{Idempotency, NodeState};

/// Why an action is not allowed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The shard request's query has its final answer, or its client has disconnected.
    QueryEnded,
    /// The attempt's time-out or its client's deadline has passed.
    DeadlinePassed,
    /// The period in which data nodes discard repeated attempts has passed; it begins with the first attempt
    /// that may have had an effect.
    IdempotencyWindowPassed,
    /// An earlier attempt of a non-idempotent shard request may have had an effect.
    PossibleEffect,
    /// The time-out that the data node is told would expire too long after the client's deadline.
    AdvertisedTimeoutTooLong,
    /// The data node is draining or removed.
    NodeNotServing,
    /// Bytes have arrived on the connection that have not been read yet.
    UnreadBytes,
    /// A query is open on the connection.
    QueryOpen,
    /// An answer has not been written completely.
    UnwrittenBytes,
    /// The router has shut down.
    ShutDown,
    /// The router has no capacity for the query and its shard requests.
    NoCapacity,
    /// The client has closed its connection.
    ClientLeft,
}

impl Denial {
    /// The label in counters.
    pub fn label(self) -> &'static str {
        match self {
            Denial::QueryEnded => "query_over",
            Denial::DeadlinePassed => "time_over",
            Denial::IdempotencyWindowPassed => "window_over",
            Denial::PossibleEffect => "may_have_run",
            Denial::AdvertisedTimeoutTooLong => "told_too_long",
            Denial::NodeNotServing => "node_leaving",
            Denial::UnreadBytes => "unread",
            Denial::QueryOpen => "query_open",
            Denial::UnwrittenBytes => "unwritten",
            Denial::ShutDown => "ended",
            Denial::NoCapacity => "no_room",
            Denial::ClientLeft => "client_left",
        }
    }
}

/// The state of an attempt that is about to be sent; input of [`may_start_attempt`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptToStart {
    /// The current time.
    pub now_s: f64,
    /// When the attempt's time-out or the client's deadline passes, whichever is first.
    pub deadline_s: f64,
    /// Whether the shard request may be repeated.
    pub idempotency: Idempotency,
    /// When the first earlier attempt of the shard request that may have had an effect started; `None` if
    /// there is no such attempt.
    pub first_effect_at_s: Option<f64>,
    /// The data node's state.
    pub node_state: NodeState,
}

/// Checks whether an attempt may start.
///
/// # Errors
/// `NodeNotServing`, `DeadlinePassed`, `IdempotencyWindowPassed` or `PossibleEffect`.
pub fn may_start_attempt(attempt: &AttemptToStart) -> Result<(), Denial> {
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

/// The state of an attempt of which a part has been sent; input of [`may_complete_attempt`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptToComplete {
    /// The current time.
    pub now_s: f64,
    /// When the attempt's time-out or the client's deadline passes, whichever is first.
    pub deadline_s: f64,
    /// When the attempt has to have arrived, by [`latest_arrival_s`].
    pub arrive_by_s: f64,
    /// Whether the shard request may be repeated.
    pub idempotency: Idempotency,
    /// When the first other attempt of the shard request that may have had an effect started; `None` if there
    /// is no such attempt.
    pub first_effect_at_s: Option<f64>,
}

/// Checks whether the rest of an attempt may reach the data node. The data node executes the attempt once the
/// last byte has arrived, so the permission to start the attempt has to last until then. Only the node's
/// state does not matter any more: a node that begins to drain finishes the attempts that have started.
///
/// # Errors
/// `DeadlinePassed`, `AdvertisedTimeoutTooLong`, `IdempotencyWindowPassed` or `PossibleEffect`.
pub fn may_complete_attempt(attempt: &AttemptToComplete) -> Result<(), Denial> {
    let &AttemptToComplete { now_s, deadline_s, arrive_by_s, idempotency, first_effect_at_s } = attempt;
    if arrive_by_s <= now_s {
        return Err(Denial::AdvertisedTimeoutTooLong);
    }
    let node_state = NodeState::Serving;
    may_start_attempt(&AttemptToStart { now_s, deadline_s, idempotency, first_effect_at_s, node_state })
}

/// The time-out sent to a data node expires at least this many seconds before the client's deadline. The
/// request takes time to arrive at the node, and the router has to send the query's final answer before the
/// deadline.
const TRANSIT_MARGIN_S: f64 = 0.01;
/// The time-out sent to a data node counts from the arrival of the attempt. It may expire this many seconds
/// after the client's deadline, because the attempt may arrive late.
const LATE_ARRIVAL_S: f64 = 0.1;

/// The throughput to a data node that the router expects at least, in bytes per second.
const MIN_THROUGHPUT_BYTES_PER_S: f64 = 1e6;

/// How long a frame of this size may take to arrive, in seconds: at most half of `time_left_s`, so that the
/// data node has time left for its work.
pub fn transit_time_s(frame_bytes: usize, time_left_s: f64) -> f64 {
    (frame_bytes as f64 / MIN_THROUGHPUT_BYTES_PER_S).min(time_left_s.max(0.0) / 2.0)
}

/// The time-out in milliseconds, at least 1, that the router sends to the data node with an attempt that
/// starts at `now_s`. The time-out expires at `timeout_at_s` or `TRANSIT_MARGIN_S` before the client's
/// deadline `not_after_s`, whichever is first.
pub fn attempt_timeout_for_node_ms(now_s: f64, timeout_at_s: f64, not_after_s: f64) -> u64 {
    let left_s = timeout_at_s.min(not_after_s - TRANSIT_MARGIN_S) - now_s;
    (left_s * 1e3).max(1.0) as u64
}

/// The last time at which an attempt may arrive at the data node that is told the time-out `timeout_ms`, in
/// milliseconds from the arrival: later, the data node could work on it for too long after the client's
/// deadline `not_after_s`.
pub fn latest_arrival_s(timeout_ms: u64, not_after_s: f64) -> f64 {
    not_after_s + LATE_ARRIVAL_S - timeout_ms as f64 / 1e3
}

/// The state of a client connection that the router is about to close; input of [`may_close_connection`].
#[derive(Clone, Copy, Debug)]
pub struct ConnectionToClose {
    /// Whether a query that arrived on the connection has not been answered yet.
    pub query_open: bool,
    /// Whether bytes of an answer have not been written yet.
    pub unwritten: bool,
    /// Whether bytes have arrived that have not been read yet.
    pub unread: bool,
}

/// Checks whether a connection can be closed without losing a query or an answer.
///
/// # Errors
/// `QueryOpen`, `UnwrittenBytes` or `UnreadBytes`.
pub fn may_close_connection(connection: &ConnectionToClose) -> Result<(), Denial> {
    match connection {
        ConnectionToClose { query_open: true, .. } => Err(Denial::QueryOpen),
        ConnectionToClose { unwritten: true, .. } => Err(Denial::UnwrittenBytes),
        ConnectionToClose { unread: true, .. } => Err(Denial::UnreadBytes),
        _ => Ok(()),
    }
}

/// The state of the router and of a query that has arrived; input of [`may_admit`].
#[derive(Clone, Copy, Debug)]
pub struct QueryToAdmit {
    /// Whether the router has shut down.
    pub is_shut_down: bool,
    /// Whether the router has capacity for the query and its shard requests.
    pub has_capacity: bool,
    /// Whether the client has closed its connection.
    pub has_client_left: bool,
    /// Whether the query may be repeated.
    pub idempotency: Idempotency,
    /// Whether an earlier query with the same id has ended and may have had an effect.
    pub possible_effect: bool,
}

/// Checks whether a query may be admitted. A query with a possible effect has to be failed, as the client may
/// retry a rejected one; other queries are rejected. A deduplicated query is not admitted a second time either:
/// the period in which data nodes discard repeated attempts began with the earlier query.
///
/// # Errors
/// `ClientLeft`, `PossibleEffect`, `ShutDown` or `NoCapacity`.
pub fn may_admit(query: &QueryToAdmit) -> Result<(), Denial> {
    let may_repeat = query.idempotency == Idempotency::Idempotent;
    match query {
        QueryToAdmit { has_client_left: true, .. } => Err(Denial::ClientLeft),
        QueryToAdmit { possible_effect: true, .. } if !may_repeat => Err(Denial::PossibleEffect),
        QueryToAdmit { is_shut_down: true, .. } => Err(Denial::ShutDown),
        QueryToAdmit { has_capacity: false, .. } => Err(Denial::NoCapacity),
        _ => Ok(()),
    }
}

/// Checks whether a query may be rejected. After a rejection the client may retry the query, so that a query
/// that is not idempotent must not have had an effect. `possible_effect` is whether any attempt of the query
/// may have had an effect.
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
