//! Why a connection to a data node was closed.
use crate::wire::ParseError;

/// Why a connection to a data node was closed.
#[derive(Debug)]
pub enum CloseReason {
    /// The dispatcher has removed the connection from its state.
    Forgotten,
    /// The data node closed the connection while the connection was idle; the router detected the close
    /// before writing the next frame.
    EndedWhileIdle,
    /// Writing failed, or the router aborted the connection: an attempt ended while its frame was partly
    /// written, or the data node has restarted since the connection was opened.
    CutOrBroken,
    /// The connection was idle, and its file descriptor was needed for another connection.
    Retired,
    /// The connection was idle for longer than the idle timeout.
    Idle,
    /// The data node closed the connection, or reading failed.
    EndedByNode,
    /// No byte of a frame could be written within the idle timeout, as the data node did not read.
    WriteTimeout,
    /// The kernel held bytes of an attempt that must not arrive any more. Closing resets the connection, so
    /// that the kernel discards these bytes.
    Undelivered,
    /// The data node sent a malformed or unexpected frame.
    Corrupted(CorruptedFrame),
}

impl CloseReason {
    /// The label of this reason in the counter `connection_closes`.
    pub fn label(&self) -> &'static str {
        match self {
            CloseReason::Forgotten => "forgotten",
            CloseReason::EndedWhileIdle => "ended_idle",
            CloseReason::CutOrBroken => "cut_or_broken",
            CloseReason::Retired => "retired",
            CloseReason::Idle => "idle",
            CloseReason::EndedByNode => "ended_by_node",
            CloseReason::WriteTimeout => "takes_nothing",
            CloseReason::Undelivered => "undelivered",
            CloseReason::Corrupted(_) => "spoilt",
        }
    }
}

/// A malformed or unexpected frame from a data node, with the id of the shard request that the frame answers,
/// if the id could be read.
#[derive(Debug)]
pub struct CorruptedFrame {
    /// What is wrong with the frame.
    pub problem: ParseError,
    /// The id of the shard request; `None` if it could not be read.
    pub shard_request: Option<String>,
}

impl CorruptedFrame {
    /// A frame without a readable id.
    pub fn unnamed(problem: ParseError) -> Self {
        CorruptedFrame { problem, shard_request: None }
    }
}
