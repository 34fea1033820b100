//! What every program of alderway needs to be observed: its log and its clock.
//!
//! - `clock`: the monotonic clock of the process, in seconds since its start.
//! - `log`: one line a record on standard error, never blocking, limited in rate for each target.
pub mod clock;
pub mod log;
