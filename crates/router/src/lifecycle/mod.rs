//! Reads the program's configuration at the start, applies changes of the configuration while the program
//! serves, and shuts the program down.
//!
//! - [`startup`]: reads and checks the configuration file.
//! - [`reload`]: reads the configuration file again at SIGHUP.
//! - [`live_config`]: applies new settings to the running router.
//! - [`graceful_shutdown`]: shuts the program down after SIGTERM.
//!
//! These modules do not depend on `control`, which receives settings from control servers, or on `server`;
//! both use these modules.
pub mod graceful_shutdown;
pub mod live_config;
pub mod reload;
pub mod startup;
