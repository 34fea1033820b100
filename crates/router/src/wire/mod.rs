//! Encoding and decoding of the protocols: HTTP with clients, the watch on discovery, and frames with data
//! nodes. This module reads no socket and no clock. Decoders get received bytes and return slices of the
//! buffer with those bytes.
pub mod buffer;
pub mod discovery;
pub mod frames;
pub mod http;
pub mod json;
pub mod query;
pub mod response;
pub mod shard_map;

/// Why received bytes cannot be used, as a short text for a log line or an error response.
pub type ParseError = &'static str;
