//! A control machine: the drivers of `alderway-control` on sockets and on disk, and the door through which operators
//! change the configuration. Called by `alderway control`; serves no query and knows no data node.
pub mod hollow;
pub mod subscriptions;
