//! The query router of alderway. An attempt is one transmission of a shard request to one data node. The
//! policy of the `alderway` crate decides which attempts to start, cancel and retry; this crate connects the
//! policy to sockets, timers and the operating system.
//!
//! A policy round is one call of the policy: the call receives all events since the last round and returns
//! decisions. A forwarder is a router that serves clients but gets its decisions from planners; a planner is
//! a separate program that runs the policy for many forwarders. An observation is a measurement of a data
//! node, such as that the data node is slow.
//!
//! - [`server`]: runs the program on one core, on several cores, or as a planner.
//! - [`lifecycle`]: reads the configuration at the start, applies changes of the configuration while serving,
//!   and shuts down.
//! - [`io`]: the tasks that read and write sockets.
//! - [`wire`]: the formats of HTTP requests, responses, data node frames and discovery.
//! - [`state`]: open queries, attempts, connections, endpoints and counters.
//! - [`requests`]: the HTTP requests of clients.
//! - [`control`]: the subscription to control servers.
//! - [`gossip`]: observations exchanged with other routers.
//! - [`tier`]: forwarders and planners.
pub mod control;
pub mod gossip;
pub mod io;
pub mod lifecycle;
pub mod requests;
pub mod server;
pub mod state;
pub mod tier;
pub mod wire;
