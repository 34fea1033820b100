//! What is spoken. Everything here is fed bytes and knows neither a socket nor a clock; messages are slices
//! of the buffer that they were read into.
pub mod answer;
pub mod buffer;
pub mod discovery;
pub mod frames;
pub mod http;
pub mod json;
pub mod layout;
pub mod query;

/// Why bytes could not be used, in a few words.
pub type Fault = &'static str;
