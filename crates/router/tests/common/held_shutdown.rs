//! Shutdowns that are held up at each moment of their last part, for tests of one core and of several.
use std::thread;

/// The users' standing test: a router may be held up for so long.
pub const HELD_UP_S: f64 = 0.15;

/// The users' protocol: SIGKILL comes no sooner than the longest deadline and so much after SIGTERM.
pub const KILL_AFTER_DEADLINE_S: f64 = 0.7;

/// Plays a shutdown for each of so many moments at once, of the last `last_part_s` seconds before the earliest SIGKILL; no
/// fault may come of any.
pub fn play_moments(
    earliest_kill_s: f64,
    last_part_s: f64,
    moments: usize,
    faults_held_from: fn(f64) -> Vec<String>,
) {
    let first_s = earliest_kill_s - last_part_s;
    let interval_s = (last_part_s - HELD_UP_S) / moments as f64;
    let held_from_s = (0..moments).map(|number| first_s + number as f64 * interval_s);
    let played: Vec<_> =
        held_from_s.map(|held_from_s| thread::spawn(move || faults_held_from(held_from_s))).collect();
    let faults: Vec<String> =
        played.into_iter().flat_map(|played| played.join().expect("a shutdown is played")).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// What is wrong with a shutdown held from a moment on: each client was owed one response, and the process its end.
pub fn faults(held_from_s: f64, received: &[String], ended_s: f64, earliest_kill_s: f64) -> Vec<String> {
    let mut faults = vec![];
    for (number, received) in received.iter().enumerate() {
        if received.matches("HTTP/1.1 ").count() != 1 {
            faults.push(format!("held at {held_from_s:.2}: client {number} got {received:?}"));
        }
    }
    if ended_s > earliest_kill_s {
        faults.push(format!("held at {held_from_s:.2}: ended {ended_s:.3} s after SIGTERM"));
    }
    faults
}
