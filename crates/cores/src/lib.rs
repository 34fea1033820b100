//! State that the cores of one query router share, and the decisions about the cores. A router on several cores runs one
//! thread a core, each with its own clients, connections to data nodes and policy, and one acceptor thread, which follows
//! discovery, accepts connections and supervises the cores. This crate does no I/O and reads no clock: times are passed
//! in, as seconds of a clock that all threads share. It opens no socket, starts no thread, never blocks and takes no
//! lock; state that several threads touch is made of single atomics.
//!
//! - `open_ids`: which query ids are open on any core.
//! - `pool`: amounts (capacity for queries, file descriptors) that hold for the whole process at every instant.
//! - `fence`: whether a core has every update that it needs before it starts new attempts.
//! - `observation_cache`: the newest observation of each data node, for the policy of a core that is restarted.
//! - `core_table`: which cores serve, hang or have failed, which gets the next connection, when one is not restarted.
//! - `rebalancer`: which client connections move from a busy core to a less busy one.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod core_table;
pub mod fence;
pub mod observation_cache;
pub mod open_ids;
pub mod pool;
pub mod rebalancer;
