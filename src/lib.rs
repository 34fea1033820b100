//! The decisions of alderway, which reads many shards for one request. Free of I/O.
//!
//! [`policy`] decides, [`permits`] says what may happen at this moment, [`interface`] is how a host calls the policy.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod interface;
pub mod permits;
pub mod policy;
mod shard_placement;
mod shared_limits;
pub mod start_time;
