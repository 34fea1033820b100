//! Encoding and decoding of the protocols: HTTP with clients, discovery's watch, and frames with data nodes. Nothing here
//! reads a socket or a clock. Decoders get the received bytes and return slices of the buffer that holds them.
pub mod buffer;
pub mod discovery;
pub mod frames;
pub mod http;
pub mod json;
pub mod query;
pub mod response;
pub mod shard_map;

/// Why received bytes cannot be used: a short text for a log line or a response body.
pub type ParseError = &'static str;
