//! The life of a program: what it starts with, how its configuration changes while it serves, and how it shuts down.
//!
//! - [`startup`]: the configuration file, read and checked.
//! - [`reload`]: the same file read again at SIGHUP.
//! - [`live_config`]: settings applied to the running router, whole or not at all.
//! - [`graceful_shutdown`]: from SIGTERM to the end of the program.
//!
//! Nothing here knows who brings a configuration beside the file; `control` and `server` build on these modules.
pub mod graceful_shutdown;
pub mod live_config;
pub mod reload;
pub mod startup;
