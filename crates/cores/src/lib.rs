//! What the cores of one query router share, and what is decided about them. A program that serves on several
//! cores has one thread a core, each with its own clients, connections to data nodes and decision module, and one
//! thread more, the lead, which follows discovery, accepts connections and watches over the cores. This package
//! holds their common ground, free of I/O and clocks: times are passed in, seconds of one clock that all threads
//! read. It never opens a socket, starts a thread, waits or takes a lock; what several threads touch is a single
//! atomic each.
//!
//! - `ids`: which query ids are open on any core.
//! - `pool`: amounts (capacity for queries, file descriptors) that hold for the whole process at every instant.
//! - `fence`: whether a core has every update that it needs before it starts new attempts.
//! - `observation_cache`: the newest observation of each data node, for the policy of a core that is restarted.
//! - `core_table`: which cores serve, hang or have failed, which gets the next connection, when one is not restarted.
//! - `rebalancer`: which client connections move from a busy core to a less busy one.
pub mod core_table;
pub mod fence;
pub mod ids;
pub mod observation_cache;
pub mod pool;
pub mod rebalancer;
