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
use tokio::time::Sleep;

/// Sleeps until a time of the steady clock.
pub fn sleep_until(clock: Clock, at_s: f64) -> Sleep {
    tokio::time::sleep_until(clock.instant(at_s).into())
}
