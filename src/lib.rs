//! alderway reads many shards for one request. `choice` decides, `host` is what it is called through, `kept`
//! what it keeps its observations in.
pub mod choice;
pub mod host;
mod kept;
