//! The admin endpoint: operators check settings, propose them, and read versions and status, one JSON request a frame, one
//! response for each, in order. A proposal whose settings fail the checks that a router makes at its start is refused
//! here, before it reaches the replica.
pub mod client;
pub(crate) mod endpoint;
mod handlers;
mod messages;

pub use messages::{AdminRequest, AdminResponse, ClusterStatus, JsonFrame, MAX_WAIT_S, VersionSummary};
