//! A control machine: the drivers of `alderway-control` on sockets and on disk, and the door through which operators
//! change the configuration. Called by `alderway control`; serves no query and knows no data node.
pub mod admin;
mod listener;
pub mod log_store;
pub mod replica_links;
pub mod server;
pub mod simulated_router;
pub mod subscriptions;
