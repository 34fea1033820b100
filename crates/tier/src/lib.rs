//! Query routers in two tiers. A forwarder holds the connections to clients and data nodes and the open
//! queries; a planner runs the policy for many forwarders. This crate defines the messages between forwarders
//! and planners, and decides which planner decides on which query. It does no I/O and reads no clock: bytes
//! and times are passed in. The policy, not this crate, chooses data nodes.
//!
//! - `messages`: the messages between forwarders and planners.
//! - `planner_membership`: which planners are available to a forwarder, determined by heartbeats.
//! - `query_assignments`: which planner or local policy decides on each query, and the reassignment of
//!   queries when a planner crashes, hangs or is disconnected.
//! - `slow_start`: the gradual admission of forwarders by a planner that has just started.
//! - `leases`: leases on a budget of work that several holders share, such that the total spent stays within
//!   the budget even if a holder or the grantor is unreachable.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod leases;
pub mod messages;
pub mod planner_membership;
pub mod query_assignments;
pub mod slow_start;

pub use alderway_transport::{Incarnation, Name};
