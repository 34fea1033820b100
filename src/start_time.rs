//! Estimates when a data node's process started. Slow start limits the node's load from that time on.
//!
//! The endpoint list reports the start by the wall clock, which may be wrong on either machine. This router's
//! own observations bound the reported time: a process that was missing from the previous list did not start
//! long before that list arrived, and no process starts in the future. Times are seconds on the host's
//! monotonic clock.

/// Longest time between a node's start and its appearance in the endpoint list.
const LISTING_DELAY_MAX_S: f64 = 6.0;

/// Returns the estimated start of a process that is new to this router. `reported_s` is the start in the
/// endpoint list, `now_s` when that list arrived, and `last_list_at_s` when the previous list arrived; `None`
/// for the first list.
///
/// An estimate that is too late makes the router send the node less load than it could take; an estimate that
/// is too early may overload the node.
pub fn estimated_process_start_s(reported_s: f64, now_s: f64, last_list_at_s: Option<f64>) -> f64 {
    let earliest_s = last_list_at_s.map_or(f64::NEG_INFINITY, |at_s| at_s - LISTING_DELAY_MAX_S);
    reported_s.max(earliest_s).min(now_s)
}
