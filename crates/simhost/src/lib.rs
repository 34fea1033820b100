//! Hosts the policies of several query routers for the simulator, which exchanges lines of text with this
//! process.

pub mod wire;
