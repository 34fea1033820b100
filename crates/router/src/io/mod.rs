//! The drivers: they read and write sockets and keep time, and leave all else to `wire` and `memory`.
pub mod acceptor;
pub mod arrival;
mod client_session;
pub mod connection_balancer;
pub mod core;
pub mod core_supervisor;
pub mod discovery;
pub mod endpoint_publisher;
pub mod node_session;
pub mod policy_loop;

use alderway_telemetry::clock::Clock;
use tokio::time::{Sleep, sleep_until};

/// Sleeps until a time of the steady clock.
pub fn until(clock: Clock, at: f64) -> Sleep {
    sleep_until(clock.instant(at).into())
}
