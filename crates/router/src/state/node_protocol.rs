//! The types that the dispatcher exchanges with the encoder and decoder of the data node protocol. If the
//! router has a shard map, which assigns ranges of keys to shards, a shard request also names the requested
//! keys.
use alderway::interface::AttemptOutcome;
use alderway_layouts::{KeyRange, Version};

/// The keys of a shard request, and the version of the shard map by which the router chose the shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeysAtVersion {
    /// The router's version of the shard map when the frame is encoded.
    pub version: Version,
    /// The requested keys.
    pub keys: KeyRange,
}

/// One attempt in a frame to a data node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRequest<'a> {
    /// Id of the shard request.
    pub request_id: &'a str,
    /// Id of the requested shard.
    pub shard: u32,
    /// How long the router waits for a reply, in milliseconds from the encoding of the frame.
    pub timeout_ms: u64,
    /// The text that the client sent as its query.
    pub text: &'a str,
    /// The requested keys; `None` if the router has no shard map.
    pub keys: Option<KeysAtVersion>,
}

/// Encodes frames to a data node.
pub trait NodeFrameWriter {
    /// Encodes one frame with all of these attempts.
    fn write_attempts<'a>(&mut self, attempts: impl Iterator<Item = AttemptRequest<'a>>);
    /// Encodes a frame that cancels a shard request.
    fn write_cancel(&mut self, request_id: &str);
}

/// The part of a data node's reply that concerns the shard map.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShardReport {
    /// The data node's version of the shard map, if by that version the data node does not hold the shard.
    pub moved_at_version: Option<Version>,
    /// The keys that the reply is for, from the first (inclusive) to the second (exclusive); an empty range
    /// if the field is unreadable; `None` if it is missing.
    pub keys: Option<(u32, u32)>,
}

/// The reply of a data node to one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeReply<'a> {
    /// Id of the shard request.
    pub request_id: &'a str,
    /// The outcome of the attempt that the data node reports.
    pub outcome: AttemptOutcome,
    /// The part of the reply that concerns the shard map.
    pub report: ShardReport,
    /// The value for the shard request; empty unless the outcome is success.
    pub value: &'a str,
}
