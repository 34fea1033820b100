//! The tasks that read and write sockets and wait for timers. Protocols are in [`crate::wire`], and the state
//! of queries, attempts and connections is in [`crate::state`].
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

/// Sleeps until `at_s`, in seconds of the monotonic clock.
pub fn sleep_until(clock: Clock, at_s: f64) -> Sleep {
    tokio::time::sleep_until(clock.instant(at_s).into())
}
