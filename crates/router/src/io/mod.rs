//! The drivers: they read and write sockets and keep time, and leave all else to `wire` and `memory`.
pub mod arrival;
pub mod clients;
pub mod core;
pub mod discovery;
pub mod lead;
pub mod nodes;
pub mod rounds;

use alderway_telemetry::clock::Clock;
use tokio::time::{Sleep, sleep_until};

/// Sleeps until a time of the steady clock.
pub fn until(clock: Clock, at: f64) -> Sleep {
    sleep_until(clock.instant(at).into())
}
