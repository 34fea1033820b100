//! The request policy of alderway, whose query routers read many shards for one query. This crate does no
//! I/O.
//!
//! [`policy`] makes the decisions, [`permits`] checks whether an action is still allowed when it is carried
//! out, and [`interface`] is how a host program calls the policy.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod interface;
pub mod permits;
pub mod policy;
mod shard_placement;
mod shared_limits;
pub mod start_time;
