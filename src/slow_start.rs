//! Decides since when a data node is taken to run, which is what its slow start goes by. Free of I/O.
//!
//! Discovery tells a start by a wall clock, which may be wrong on either side. What this router has seen itself bounds
//! it: a process that was not there when discovery was last heard has not started long before that, and none starts
//! in the future.

/// STANDING: a change counts as told so long after discovery had it at the latest, in seconds.
const TOLD_LATE: f64 = 6.0;

/// When a process that is new to this router started, on the steady clock: `told` is what discovery says, `now` when
/// it is heard, and `heard` when discovery was last heard before, none where this is the first list. Too late a start
/// costs a data node some load for a while; too early a one may push it over.
pub fn believed_start(told: f64, now: f64, heard: Option<f64>) -> f64 {
    let earliest = heard.map_or(f64::NEG_INFINITY, |heard| heard - TOLD_LATE);
    told.max(earliest).min(now)
}
