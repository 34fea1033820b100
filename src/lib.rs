//! The decisions of alderway, which reads many shards for one request. Free of I/O.
//!
//! [`policy`] decides, [`permits`] says what may happen at this moment, [`interface`] is how a host calls the policy.
pub mod interface;
mod kept;
pub mod permits;
pub mod policy;
mod shard_placement;
mod shared_limits;
pub mod start_time;
