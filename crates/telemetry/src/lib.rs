//! What every program of alderway needs to be observed.
//!
//! - [`clock`]: the monotonic clock of the process, in seconds since its start.
//! - [`log`]: the log on standard error: one line a record, never blocking, limited in rate for each target.
//! - [`turns`]: how long tasks run without giving way to the others of their thread.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod clock;
pub mod log;
pub mod turns;
