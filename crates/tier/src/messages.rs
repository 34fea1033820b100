//! The messages between forwarders and planners, in the frames of `alderway_transport`. They are encoded by `postcard`: the
//! order of variants and fields and the types of the fields are the wire format.
use alderway::interface::AttemptOutcome;
use alderway_transport::WireMessage;
use serde::{Deserialize, Serialize};

impl WireMessage for Message {
    const PROTOCOL_ID: [u8; 4] = *b"ALDT";
    const VERSION: u16 = 1;
}

/// An attempt that a forwarder has started for a shard request, for a planner that takes over the query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PriorAttempt {
    /// The data node that it was sent to.
    pub node: String,
    /// Seconds since it was started.
    pub age_s: f64,
    /// How it ended; none while it is in flight.
    pub outcome: Option<WireOutcome>,
}

/// How an attempt ended, as encoded on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum WireOutcome {
    /// See [`AttemptOutcome::Success`].
    Success,
    /// See [`AttemptOutcome::Error`].
    Error,
    /// See [`AttemptOutcome::Rejected`].
    Rejected,
    /// See [`AttemptOutcome::TimedOut`].
    TimedOut,
    /// See [`AttemptOutcome::Unreachable`].
    Unreachable,
    /// See [`AttemptOutcome::ConnectionReset`].
    ConnectionReset,
    /// See [`AttemptOutcome::Cancelled`].
    Cancelled,
    /// See [`AttemptOutcome::NeverSent`].
    NeverSent,
    /// See [`AttemptOutcome::ShardMoved`].
    ShardMoved,
}

impl From<AttemptOutcome> for WireOutcome {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Success => WireOutcome::Success,
            AttemptOutcome::Error => WireOutcome::Error,
            AttemptOutcome::Rejected => WireOutcome::Rejected,
            AttemptOutcome::TimedOut => WireOutcome::TimedOut,
            AttemptOutcome::Unreachable => WireOutcome::Unreachable,
            AttemptOutcome::ConnectionReset => WireOutcome::ConnectionReset,
            AttemptOutcome::Cancelled => WireOutcome::Cancelled,
            AttemptOutcome::NeverSent => WireOutcome::NeverSent,
            AttemptOutcome::ShardMoved => WireOutcome::ShardMoved,
        }
    }
}

impl From<WireOutcome> for AttemptOutcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Success => AttemptOutcome::Success,
            WireOutcome::Error => AttemptOutcome::Error,
            WireOutcome::Rejected => AttemptOutcome::Rejected,
            WireOutcome::TimedOut => AttemptOutcome::TimedOut,
            WireOutcome::Unreachable => AttemptOutcome::Unreachable,
            WireOutcome::ConnectionReset => AttemptOutcome::ConnectionReset,
            WireOutcome::Cancelled => AttemptOutcome::Cancelled,
            WireOutcome::NeverSent => AttemptOutcome::NeverSent,
            WireOutcome::ShardMoved => AttemptOutcome::ShardMoved,
        }
    }
}

/// What follows the hello on a connection between a forwarder and a planner. Clocks differ between machines, so messages
/// hold spans in seconds and never points in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Forwarder to planner: assigns a query to the planner.
    AssignQuery {
        /// The forwarder's number of this assignment; the planner repeats it in its decisions.
        term: u64,
        /// The query's id.
        query: String,
        /// Index of its query class.
        query_class: u32,
        /// The tenant that sent it.
        tenant: String,
        /// Seconds until its deadline.
        time_left_s: f64,
        /// Its shard requests: id, shard, weight and the attempts so far.
        requests: Vec<(String, u32, f64, Vec<PriorAttempt>)>,
    },
    /// Forwarder to planner: an attempt that the planner has started or taken over ended.
    AttemptEnded {
        /// The shard request's id.
        request: String,
        /// Number of the attempt within the shard request, from 0.
        attempt: u32,
        /// The data node that it was sent to.
        node: String,
        /// How it ended.
        outcome: WireOutcome,
        /// Seconds from its start to its end.
        latency_s: f64,
    },
    /// Forwarder to planner: a query has ended without the planner's decision, for example because its client left.
    QueryClosed {
        /// The query's id.
        query: String,
    },
    /// Planner to forwarder: starts an attempt.
    StartAttempt {
        /// The term of the query's assignment.
        term: u64,
        /// The shard request's id.
        request: String,
        /// The data node to send it to.
        node: String,
        /// Seconds after which the attempt times out.
        timeout_s: f64,
    },
    /// Planner to forwarder: cancels an attempt.
    CancelAttempt {
        /// The term of the query's assignment.
        term: u64,
        /// The shard request's id.
        request: String,
        /// Number of the attempt within the shard request, from 0.
        attempt: u32,
    },
    /// Planner to forwarder: answers a query from the replies received.
    Answer {
        /// The term of the query's assignment.
        term: u64,
        /// The query's id.
        query: String,
        /// Whether the answer counts as complete.
        complete: bool,
    },
    /// Planner to forwarder: rejects a query.
    Reject {
        /// The term of the query's assignment.
        term: u64,
        /// The query's id.
        query: String,
        /// Seconds after which the client may retry.
        retry_after_s: Option<f64>,
    },
    /// Planner to forwarder: fails a query.
    Fail {
        /// The term of the query's assignment.
        term: u64,
        /// The query's id.
        query: String,
    },
    /// Either way: the sender is alive.
    Heartbeat {
        /// Number of the heartbeat on this connection, from 1.
        number: u64,
        /// The latest version of the endpoint list that the sender knows.
        endpoints_version: u64,
        /// Whether a planner accepts new queries; always true from a forwarder.
        accepts_queries: bool,
    },
    /// Either way: acknowledges a heartbeat.
    HeartbeatAck {
        /// The heartbeat's number.
        number: u64,
    },
    /// What a planner observed of a data node. The spans count from the time of sending; one of 0 says that the node is
    /// healthy in that respect.
    Observation {
        /// The data node's name.
        node: String,
        /// Seconds since the node's process started, if known.
        started_ago_s: Option<f64>,
        /// For how long the node counts as slow.
        slow_for_s: f64,
        /// For how long it counts as very slow.
        very_slow_for_s: f64,
        /// For how long it counts as unresponsive.
        unresponsive_for_s: f64,
        /// Whether the forwarder that receives it forwards it to the other planners.
        relay: bool,
    },
}
