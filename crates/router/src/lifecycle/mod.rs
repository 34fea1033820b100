//! The lifecycle of the program: its configuration at the start, changes of it while the program serves, and shutdown.
//!
//! - [`startup`]: reads and checks the configuration file.
//! - [`reload`]: reads the file again at SIGHUP.
//! - [`live_config`]: applies settings to the running router, completely or not at all.
//! - [`graceful_shutdown`]: shuts the program down after SIGTERM.
//!
//! These modules do not depend on the other sources of settings; `control` and `server` build on them.
pub mod graceful_shutdown;
pub mod live_config;
pub mod reload;
pub mod startup;
