//! The two levels: forwarders hold clients, queries and connections to data nodes; planners hold the decision module and
//! what was learnt. This package says what they say to each other and decides who decides for whom, free of I/O and
//! clocks: bytes and times are passed in. It never chooses a data node; that is the decision module's, wherever it runs.
//!
//! - `messages`: what they say to each other on the wire.
//! - `planner_membership`: which planners are available, by heartbeats with incarnations.
//! - `query_assignments`: which decider each query is assigned to, through planners that die, hang or are cut off.
//! - `slow_start`: how a planner that has just started accepts forwarders one after the other.
//! - `leases`: shares of a stated amount with an end, so that the sum holds whoever cannot be reached.
pub mod leases;
pub mod messages;
pub mod planner_membership;
pub mod query_assignments;
pub mod slow_start;

pub use alderway_transport::{Incarnation, Name};
