//! State that the cores of one query router share, and the decisions about the cores. A core is one thread
//! with its own clients, connections to data nodes and policy. A router on several cores also runs one
//! acceptor thread, which follows discovery, accepts connections and supervises the cores. This crate does no
//! I/O and reads no clock: times are passed in, as seconds of a clock that all threads share. It starts no
//! thread, never blocks and takes no lock; state that several threads share consists of single atomics.
//!
//! - `open_ids`: the ids of the queries that are open on any core.
//! - `executed_ids`: the ids of ended queries whose effect must not happen again.
//! - `pool`: a fixed number of units (query capacity or file descriptors) that all cores of the process
//!   share.
//! - `fence`: blocks new attempts on a core whose endpoint list may be outdated.
//! - `observation_cache`: the newest observation of each data node, for the policy of a core that is
//!   restarted.
//! - `core_table`: the status of each core, the core for each new connection, and which failed cores are
//!   restarted.
//! - `rebalancer`: moves client connections from a busy core to a less busy one.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod core_table;
pub mod executed_ids;
pub mod fence;
pub mod observation_cache;
pub mod open_ids;
pub mod pool;
pub mod rebalancer;
