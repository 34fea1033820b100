//! Runs shutdowns that are suspended at different times of their last part, for tests on one core and on several.
use std::thread;

/// Time for which the users' acceptance tests suspend a router, in seconds.
pub const SUSPENSION_S: f64 = 0.15;

/// By the client protocol, SIGKILL follows SIGTERM no sooner than after the longest deadline plus this time, in seconds.
pub const KILL_AFTER_DEADLINE_S: f64 = 0.7;

/// Runs `count` shutdowns at once and asserts that none has an error. `errors_of_shutdown` runs one of them,
/// suspended at the given time in seconds after SIGTERM; the times are spread over the last `last_part_s` seconds
/// before the earliest SIGKILL.
pub fn run_suspended_shutdowns(
    earliest_kill_s: f64,
    last_part_s: f64,
    count: usize,
    errors_of_shutdown: fn(f64) -> Vec<String>,
) {
    let first_s = earliest_kill_s - last_part_s;
    let interval_s = (last_part_s - SUSPENSION_S) / count as f64;
    let suspended_at_s = (0..count).map(|number| first_s + number as f64 * interval_s);
    let shutdowns: Vec<_> = suspended_at_s
        .map(|suspended_at_s| thread::spawn(move || errors_of_shutdown(suspended_at_s)))
        .collect();
    let errors: Vec<String> =
        shutdowns.into_iter().flat_map(|shutdown| shutdown.join().expect("the shutdown ran")).collect();
    assert!(errors.is_empty(), "{errors:#?}");
}

/// Errors of a shutdown that was suspended at `suspended_at_s`: each client must have received exactly one response,
/// and the process must have ended before the earliest SIGKILL. All times are in seconds after SIGTERM.
pub fn shutdown_errors(
    suspended_at_s: f64,
    received: &[String],
    ended_s: f64,
    earliest_kill_s: f64,
) -> Vec<String> {
    let mut errors = vec![];
    for (number, received) in received.iter().enumerate() {
        if received.matches("HTTP/1.1 ").count() != 1 {
            errors.push(format!("suspended at {suspended_at_s:.2} s: client {number} received {received:?}"));
        }
    }
    if ended_s > earliest_kill_s {
        errors.push(format!("suspended at {suspended_at_s:.2} s: ended {ended_s:.3} s after SIGTERM"));
    }
    errors
}
