//! Decides since when a data node's process is taken to run, which its slow start is counted from.
//!
//! The endpoint list gives the start by a wall clock, which may be wrong on either machine. What this router has
//! observed itself bounds it: a process that was not in the list last time has not started long before that, and none
//! starts in the future. Times are seconds on the monotonic clock.

/// Longest time between a node's start and its appearance in the endpoint list.
const LISTING_DELAY_MAX_S: f64 = 6.0;

/// Start of a process that is new to this router. `reported_s` is what the endpoint list says, `now_s` when it arrived,
/// and `last_list_at_s` when a list arrived before, none for the first one.
///
/// Too late a start gives the node less load than it can take for a while; too early a one may overload it.
pub fn bounded_start_time(reported_s: f64, now_s: f64, last_list_at_s: Option<f64>) -> f64 {
    let earliest_s = last_list_at_s.map_or(f64::NEG_INFINITY, |at_s| at_s - LISTING_DELAY_MAX_S);
    reported_s.max(earliest_s).min(now_s)
}
