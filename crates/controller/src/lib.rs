//! A control machine: the drivers of `alderway-control-plane` on sockets and on disk, and the door through which operators
//! change the configuration. Called by `alderway control`; serves no query and knows no data node.
pub mod client;
pub mod door;
pub mod driver;
pub mod hollow;
pub mod links;
mod listen;
pub mod store;
pub mod subscriptions;
