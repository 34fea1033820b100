//! The messages between forwarders and planners, sent in the frames of `alderway_transport`. They are encoded
//! by `postcard`: the order of variants and fields and the types of the fields are the wire format. A term is
//! the number of one assignment of a query to a planner; a forwarder numbers its assignments in increasing
//! order and ignores decisions with an earlier term than the query's latest one.
use alderway::interface::AttemptOutcome;
use alderway_transport::WireMessage;
use serde::{Deserialize, Serialize};

impl WireMessage for Message {
    const PROTOCOL_ID: [u8; 4] = *b"ALDT";
    const VERSION: u16 = 1;
}

/// An attempt that a forwarder has started for a shard request, sent to the planner that takes over the
/// query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PriorAttempt {
    /// Name of the data node that the attempt was sent to.
    pub node: String,
    /// Seconds since the attempt was started.
    pub age_s: f64,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<WireOutcome>,
}

/// How an attempt ended, as encoded on the wire. The variants correspond to those of [`AttemptOutcome`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum WireOutcome {
    /// The data node answered.
    Success,
    /// The data node failed; the attempt may have had an effect.
    Error,
    /// The data node rejected the attempt for lack of capacity.
    Rejected,
    /// The attempt's timeout passed.
    TimedOut,
    /// No connection to the data node could be opened.
    Unreachable,
    /// The connection broke while the attempt was in flight.
    ConnectionReset,
    /// The router cancelled the attempt.
    Cancelled,
    /// The attempt ended before any byte of it was written.
    NeverSent,
    /// The data node answered that it does not hold the shard.
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

/// A message after the hello on a connection between a forwarder and a planner. The clocks of different
/// machines differ, so messages contain durations in seconds and never points in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Forwarder to planner: assigns a query to the planner.
    AssignQuery {
        /// Number of this assignment, which the planner repeats in its decisions on the query.
        term: u64,
        /// Id of the query.
        query: String,
        /// Index of the query's class.
        query_class: u32,
        /// Name of the tenant whose client sent the query.
        tenant: String,
        /// Seconds until the query's deadline.
        time_left_s: f64,
        /// The query's shard requests: id, shard, weight (the request's fraction of the query's result) and
        /// the attempts so far.
        requests: Vec<(String, u32, f64, Vec<PriorAttempt>)>,
    },
    /// Forwarder to planner: an attempt has ended that the planner had started or that `AssignQuery` had
    /// listed as in flight.
    AttemptEnded {
        /// Id of the shard request.
        request: String,
        /// Number of the attempt among those of the shard request, counted from 0.
        attempt: u32,
        /// Name of the data node that the attempt was sent to.
        node: String,
        /// How the attempt ended.
        outcome: WireOutcome,
        /// Seconds from the attempt's start to its end.
        latency_s: f64,
    },
    /// Forwarder to planner: a query has ended although the planner has not answered, rejected or failed the
    /// query, for example because the client disconnected.
    QueryClosed {
        /// Id of the query.
        query: String,
    },
    /// Planner to forwarder: start an attempt for a shard request.
    StartAttempt {
        /// Number of the query's assignment that this decision is for.
        term: u64,
        /// Id of the shard request.
        request: String,
        /// Name of the data node to send the attempt to.
        node: String,
        /// Seconds after which the attempt times out.
        timeout_s: f64,
    },
    /// Planner to forwarder: cancel an attempt.
    CancelAttempt {
        /// Number of the query's assignment that this decision is for.
        term: u64,
        /// Id of the shard request.
        request: String,
        /// Number of the attempt among those of the shard request, counted from 0.
        attempt: u32,
    },
    /// Planner to forwarder: answer a query with the replies of data nodes received so far.
    Answer {
        /// Number of the query's assignment that this decision is for.
        term: u64,
        /// Id of the query.
        query: String,
        /// Whether the policy counts the answer as complete.
        complete: bool,
    },
    /// Planner to forwarder: reject a query.
    Reject {
        /// Number of the query's assignment that this decision is for.
        term: u64,
        /// Id of the query.
        query: String,
        /// Seconds after which the client may retry; `None` if the planner suggests none.
        retry_after_s: Option<f64>,
    },
    /// Planner to forwarder: fail a query.
    Fail {
        /// Number of the query's assignment that this decision is for.
        term: u64,
        /// Id of the query.
        query: String,
    },
    /// In both directions: the sender is alive.
    Heartbeat {
        /// Number of the heartbeat on this connection, counted from 1.
        number: u64,
        /// Latest version of the endpoint list that the sender has received.
        endpoints_version: u64,
        /// Whether the planner accepts new queries; always true in a forwarder's heartbeat.
        accepts_queries: bool,
    },
    /// In both directions: acknowledges a heartbeat and all earlier ones on this connection.
    HeartbeatAck {
        /// Number of the acknowledged heartbeat.
        number: u64,
    },
    /// In both directions: a planner's observation of a data node. The receiver counts the three durations
    /// from receipt; a duration of 0 means that the node does not count as slow, very slow or unresponsive,
    /// respectively.
    Observation {
        /// Name of the data node.
        node: String,
        /// Seconds from the start of the node's process to the sending of the message, if known.
        started_ago_s: Option<f64>,
        /// Seconds from receipt for which the node counts as slow.
        slow_for_s: f64,
        /// Seconds from receipt for which the node counts as very slow.
        very_slow_for_s: f64,
        /// Seconds from receipt for which the node counts as unresponsive.
        unresponsive_for_s: f64,
        /// Whether the receiving forwarder forwards the observation to the other planners.
        relay: bool,
    },
}
