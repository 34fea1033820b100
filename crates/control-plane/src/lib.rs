//! Configuration in force everywhere: one order of versions that a majority of the control machines decides, and how
//! hundreds of query routers come to have the newest one. `version` is what is ordered, `consensus` orders it, `version_log`
//! is the order as applied, `publisher` and `subscriber` are the two ends of a router's subscription. State machines
//! that are fed events and a time; sockets, disks and clocks are the drivers'. Never decides anything about a query.
pub mod consensus;
pub mod messages;
pub mod publisher;
pub mod rate_limit;
pub mod replica;
pub mod subscriber;
pub mod version;
pub mod version_log;
pub mod version_sink;
