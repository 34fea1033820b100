//! A control server as a program: the replica of `alderway-control-plane` on sockets and on disk, the admin endpoint through
//! which operators change the configuration, and the subscriptions of routers. Run by `alderway control`; it serves no
//! query and knows no data node.
//!
//! | module | job |
//! | --- | --- |
//! | [`server`] | starts the tasks below and ticks the replica |
//! | `state` | what the tasks share; the order of durable writes and what is sent |
//! | [`log_store`] | the replica's log on disk |
//! | `outbox` | frames that wait for other control servers |
//! | [`replica_links`] | connections among control servers |
//! | [`admin`] | requests of operators, server and client |
//! | [`subscriptions`] | subscriptions of routers |
#![warn(missing_docs, clippy::missing_errors_doc)]
pub mod admin;
pub mod log_store;
mod outbox;
pub mod replica_links;
pub mod server;
mod state;
pub mod subscriptions;

pub use state::{InvalidSettings, SettingsCheck};
