//! What the dispatcher exchanges with the protocol edge towards data nodes: typed frames out, typed replies in.
use alderway::interface::AttemptOutcome;
use alderway_layouts::{KeyRange, Version};

/// Keys that a shard request asks for, by a version of the shard map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeysAtVersion {
    /// The version of the shard map that the request was mapped by.
    pub version: Version,
    /// The keys asked for.
    pub keys: KeyRange,
}

/// One attempt of an outbound frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRequest<'a> {
    /// Id of the shard request.
    pub request_id: &'a str,
    /// The shard asked.
    pub shard: u32,
    /// For how long the router waits, in milliseconds.
    pub timeout_ms: u64,
    /// The query's text.
    pub text: &'a str,
    /// The keys asked for, where a shard map is followed.
    pub keys: Option<KeysAtVersion>,
}

/// Encodes frames to a data node.
pub trait NodeFrameWriter {
    /// One frame with all of these attempts.
    fn write_attempts<'a>(&mut self, attempts: impl Iterator<Item = AttemptRequest<'a>>);
    /// Tells the node that nobody waits for a shard request any more.
    fn write_cancel(&mut self, request_id: &str);
}

/// What a data node reports about the shard map in its reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShardReport {
    /// The version by which the node does not hold the shard.
    pub moved_at_version: Option<Version>,
    /// The keys that it answered for, from the first to below the second; an empty range if it named unreadable ones.
    pub keys: Option<(u32, u32)>,
}

/// The reply of a data node to one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeReply<'a> {
    /// Id of the shard request.
    pub request_id: &'a str,
    /// How the attempt ended, in the node's own words.
    pub outcome: AttemptOutcome,
    /// What it says about the shard map.
    pub report: ShardReport,
    /// The value; empty unless it succeeded.
    pub value: &'a str,
}
