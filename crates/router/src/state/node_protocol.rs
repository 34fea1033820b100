//! The types that the dispatcher exchanges with the encoder and decoder of the data node protocol.
use alderway::interface::AttemptOutcome;
use alderway_layouts::{Range, Version};

/// The keys of a shard request, by a version of the shard map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeysAtVersion {
    /// The version of the shard map that the router follows when the frame is written.
    pub version: Version,
    /// The requested keys.
    pub keys: Range,
}

/// One attempt in a frame to a data node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRequest<'a> {
    /// Id of the shard request.
    pub request_id: &'a str,
    /// The requested shard.
    pub shard: u32,
    /// How long the router waits for a reply, in milliseconds.
    pub timeout_ms: u64,
    /// The text of the query.
    pub text: &'a str,
    /// The requested keys, if a shard map is followed.
    pub keys: Option<KeysAtVersion>,
}

/// Encodes frames to a data node.
pub trait NodeFrameWriter {
    /// Writes one frame with all of these attempts.
    fn write_attempts<'a>(&mut self, attempts: impl Iterator<Item = AttemptRequest<'a>>);
    /// Writes a frame that cancels a shard request.
    fn write_cancel(&mut self, request_id: &str);
}

/// What a data node reports about the shard map in its reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShardReport {
    /// The version of the shard map by which the node does not hold the shard.
    pub moved_at_version: Option<Version>,
    /// The keys that the reply is for, from the first to below the second; an empty range if they are unreadable.
    pub keys: Option<(u32, u32)>,
}

/// The reply of a data node to one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeReply<'a> {
    /// Id of the shard request.
    pub request_id: &'a str,
    /// The outcome that the node reports.
    pub outcome: AttemptOutcome,
    /// What the node reports about the shard map.
    pub report: ShardReport,
    /// The value; empty unless the outcome is success.
    pub value: &'a str,
}
