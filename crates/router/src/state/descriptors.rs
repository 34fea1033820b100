//! The file descriptors of the process, split into a pool for clients and one for data nodes. Clients cannot
//! use up the descriptors for data nodes, nor the reverse, and both pools leave descriptors for the listener
//! and the connection to discovery.
use alderway_cores::pool::{Pool, PoolPermit};
use std::sync::Arc;
use tokio::sync::Notify;

/// The largest size of a client connection's read buffer: as large as the largest request.
pub const CLIENT_BUFFER_BYTES: usize = 84 * 1024;

/// Number of descriptors reserved for the standard streams, the acceptor's runtime, the listener, the
/// connection to discovery, and one file that is open briefly.
const RESERVED_BASE: usize = 16;
/// Number of descriptors reserved for the async runtime of each core if the process has several cores.
const RESERVED_PER_CORE: usize = 4;
/// The smallest number of descriptors for the clients and data nodes of each core with which the router
/// starts.
const MINIMUM_PER_CORE: usize = 4;
/// Clients get `1 / CLIENT_DIVISOR` of all descriptors.
const CLIENT_DIVISOR: usize = 3;
/// The read buffers of all clients together may use `1 / CLIENT_MEMORY_DIVISOR` of the configured memory
/// limit of the process.
const CLIENT_MEMORY_DIVISOR: usize = 4;

/// A pool of file descriptors that all cores share.
pub struct DescriptorPool {
    /// Counts the free descriptors.
    pub pool: Arc<Pool>,
    /// Notified when a descriptor is released.
    pub released: Notify,
}

/// The right to use one file descriptor. Dropping the permit returns the descriptor to its pool.
pub struct DescriptorPermit {
    taken: Option<PoolPermit>,
    pool: Arc<DescriptorPool>,
}

impl DescriptorPool {
    fn new(count: usize) -> Arc<Self> {
        Arc::new(DescriptorPool { pool: Pool::new(count), released: Notify::new() })
    }

    /// Acquires one descriptor; `None` if no descriptor is free.
    pub fn acquire(self: &Arc<Self>) -> Option<DescriptorPermit> {
        Some(DescriptorPermit { taken: Some(self.pool.acquire(1)?), pool: self.clone() })
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.taken.take();
        self.pool.released.notify_one();
    }
}

/// Number of descriptors that are neither in the pool for clients nor in the pool for data nodes. A single
/// core runs in the acceptor's runtime and needs no descriptors for another runtime.
pub fn reserved(cores: usize) -> usize {
    RESERVED_BASE + if cores > 1 { RESERVED_PER_CORE * cores } else { 0 }
}

/// The smallest limit of file descriptors with which a process of `cores` cores can run.
pub fn minimum(cores: usize) -> usize {
    reserved(cores) + MINIMUM_PER_CORE * cores.max(1)
}

/// Creates the pool for clients and the pool for data nodes. `limit` is the number of descriptors that the
/// process may open, `memory` its memory limit in bytes.
pub fn split(limit: usize, memory: usize, cores: usize) -> (Arc<DescriptorPool>, Arc<DescriptorPool>) {
    let available = limit.saturating_sub(reserved(cores)).max(2);
    let clients = (limit / CLIENT_DIVISOR).min(available - available / 2);
    let by_memory = memory / CLIENT_MEMORY_DIVISOR / CLIENT_BUFFER_BYTES;
    (DescriptorPool::new(clients.min(by_memory).max(1)), DescriptorPool::new(available - clients))
}
