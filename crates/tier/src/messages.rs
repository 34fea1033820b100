//! What forwarders and planners say to each other, in the frames of `alderway_transport`.
use alderway::interface::AttemptOutcome;
use alderway_transport::WireMessage;
use serde::{Deserialize, Serialize};

impl WireMessage for Message {
    const PROTOCOL_ID: [u8; 4] = *b"ALDT";
    const VERSION: u16 = 1;
}

/// A leaf call as a forwarder made it, for a planner that takes a query over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tried {
    pub node: String,
    /// Seconds ago.
    pub age: f64,
    pub ending: Option<Ended>,
}

/// How a leaf call ended, as the wire has it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ended {
    Success,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Reset,
    Cancelled,
    NeverSent,
    Moved,
}

impl From<AttemptOutcome> for Ended {
    fn from(ending: AttemptOutcome) -> Self {
        match ending {
            AttemptOutcome::Success => Ended::Success,
            AttemptOutcome::Error => Ended::Error,
            AttemptOutcome::Rejected => Ended::Full,
            AttemptOutcome::TimedOut => Ended::TimedOut,
            AttemptOutcome::Unreachable => Ended::Unreachable,
            AttemptOutcome::ConnectionReset => Ended::Reset,
            AttemptOutcome::Cancelled => Ended::Cancelled,
            AttemptOutcome::NeverSent => Ended::NeverSent,
            AttemptOutcome::ShardMoved => Ended::Moved,
        }
    }
}

impl From<Ended> for AttemptOutcome {
    fn from(ended: Ended) -> Self {
        match ended {
            Ended::Success => AttemptOutcome::Success,
            Ended::Error => AttemptOutcome::Error,
            Ended::Full => AttemptOutcome::Rejected,
            Ended::TimedOut => AttemptOutcome::TimedOut,
            Ended::Unreachable => AttemptOutcome::Unreachable,
            Ended::Reset => AttemptOutcome::ConnectionReset,
            Ended::Cancelled => AttemptOutcome::Cancelled,
            Ended::NeverSent => AttemptOutcome::NeverSent,
            Ended::Moved => AttemptOutcome::ShardMoved,
        }
    }
}

/// What follows a hello. Spans are seconds; no time of a clock is ever told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A forwarder asks a planner to decide for a query; `term` counts its askings, `left` is the client's time.
    Take {
        term: u64,
        query: String,
        vertical: u32,
        customer: String,
        left: f64,
        parts: Vec<(String, u32, f64, Vec<Tried>)>,
    },
    Ended {
        part: String,
        hop: u32,
        node: String,
        ending: Ended,
        latency: f64,
    },
    Left {
        query: String,
    },
    /// A planner's decisions, each for the term in which it was asked.
    Call {
        term: u64,
        part: String,
        node: String,
        limit: f64,
    },
    Cancel {
        term: u64,
        part: String,
        hop: u32,
    },
    Answer {
        term: u64,
        query: String,
        whole: bool,
    },
    Reject {
        term: u64,
        query: String,
        come_back: Option<f64>,
    },
    Abort {
        term: u64,
        query: String,
    },
    /// Both: alive, with how far the roster is known, and whether more is taken.
    Beat {
        number: u64,
        roster: u64,
        able: bool,
    },
    /// The answer to a beat.
    Heard {
        number: u64,
    },
    /// What a planner saw of a data node, which started so many seconds ago, if that is known; the spans count from now.
    /// The forwarder that gets it to relay passes it on to the other planners.
    Evidence {
        node: String,
        started: Option<f64>,
        late: f64,
        far: f64,
        sick: f64,
        relay: bool,
    },
}
