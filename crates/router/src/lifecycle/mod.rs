//! Start, reload and stop: what is read at the start and again, and the way out.
pub mod control_settings;
pub mod reload;
pub mod serve;
pub mod settings;
pub mod start;
pub mod stop;
