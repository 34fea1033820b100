//! The query router of alderway. The policy of the `alderway` crate makes every decision, once a round; this crate
//! connects it to sockets, timers and the operating system.
//!
//! - [`server`]: runs the program on one core, on several cores, or as a planner.
//! - [`lifecycle`]: configuration at the start, changes of it while serving, and shutdown.
//! - [`io`]: the tasks that read and write sockets.
//! - [`wire`]: the formats of HTTP requests, answers, data node frames and discovery.
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
