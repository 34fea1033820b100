//! alderway reads many shards for one request. `choice` decides, `permits` says what may happen in a moment, `host` is what it is called through, `kept`
//! what it keeps its observations in.
pub mod choice;
pub mod host;
mod kept;
pub mod permits;
pub mod slow_start;
