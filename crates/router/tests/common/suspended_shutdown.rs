//! Runs shutdowns in which the process is suspended shortly before its end, each at another time. Tests of routers on
//! one core and on several cores use this module.
use std::thread;

/// How long the process is suspended, in seconds, as in the users' acceptance tests.
pub const SUSPENSION_S: f64 = 0.15;

/// Minimum time between the longest query deadline, counted from SIGTERM, and SIGKILL by the client protocol, in
/// seconds.
pub const KILL_AFTER_DEADLINE_S: f64 = 0.7;

/// Runs `count` shutdowns concurrently and asserts that none has an error. `errors_of_shutdown` runs one shutdown,
/// suspends the process at the given time in seconds after SIGTERM, and returns the errors. The times are evenly
/// distributed over the last `last_part_s` seconds before `earliest_kill_s`.
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

/// Returns the errors of a shutdown in which the process was suspended at `suspended_at_s`: each client must have
/// received exactly one response, and the process must have exited before the earliest SIGKILL. All times are in
/// seconds after SIGTERM.
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
