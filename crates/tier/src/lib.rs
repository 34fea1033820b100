//! Query routers in two tiers. Forwarders hold the clients, the queries and the connections to data nodes; planners run the
//! policy for many forwarders. This crate holds the messages between them and decides which planner decides for which
//! query. It does no I/O and reads no clock: bytes and times are passed in. It never chooses a data node; the policy does.
//!
//! - `messages`: the messages between forwarders and planners.
//! - `planner_membership`: which planners are available, by heartbeats with incarnations.
//! - `query_assignments`: which decider each query is assigned to, through planners that die, hang or are cut off.
//! - `slow_start`: how a planner that has just started accepts forwarders one after the other.
//! - `leases`: leases on a budget, so that its sum holds even if a holder or the grantor can't be reached.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod leases;
pub mod messages;
pub mod planner_membership;
pub mod query_assignments;
pub mod slow_start;

pub use alderway_transport::{Incarnation, Name};
