//! The control plane: a replicated log of configuration versions, and the subscriptions by which hundreds of query routers
//! follow it. State machines without I/O, clocks or threads: they are fed events and the time, and drivers own the
//! sockets and disks. Nothing here decides anything about a query.
//!
//! From an operator's change to a router:
//!
//! | module | job |
//! | --- | --- |
//! | [`version`] | what is replicated: complete settings under a number |
//! | [`consensus`] | a log of entries that a quorum agrees on, by the `raft` crate |
//! | [`replica`] | a member of the group: proposals, membership, snapshots, freshness |
//! | [`version_log`] | the committed versions, and what a proposal would undo |
//! | [`version_sink`] | the interface between a replica and the subscriptions |
//! | [`publisher`] | the control server's end of subscriptions |
//! | [`messages`], [`content`] | what the two ends send, and how a version is transferred |
//! | [`rate_limit`] | bytes per second of a subscription |
//! | [`subscriber`] | the router's end of a subscription |
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod consensus;
pub mod content;
pub mod messages;
pub mod publisher;
pub mod rate_limit;
pub mod replica;
pub mod subscriber;
pub mod version;
pub mod version_log;
pub mod version_sink;
