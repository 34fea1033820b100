//! Start and stop: what is read at the start, the log, readiness, and the way out.
pub mod logger;
pub mod start;
pub mod stop;
