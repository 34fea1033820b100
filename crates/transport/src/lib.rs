//! Framed connections between the programs of alderway.
//!
//! - `frames`: length, checksum, hello and messages.
//! - `links`: waits between dials, and the exchange of hellos.
pub mod frames;
pub mod links;

/// A planner's or forwarder's name, as the operator's file gives it.
pub type Name = String;
/// How often a program of a name has started: a later one ends all that the earlier held.
pub type Incarnation = u64;
