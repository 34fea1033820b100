//! The file descriptors of the process, split into two pools so that neither clients nor data nodes can take the other's,
//! nor those of the listener and discovery.
use alderway_cores::pool::{Pool, PoolPermit};
use std::sync::Arc;
use tokio::sync::Notify;

/// What the buffer of one client's connection may grow to: the largest request.
pub const CLIENT_BUFFER_BYTES: usize = 84 * 1024;

/// Kept apart: standard streams, those of the acceptor's runtime, the listener, discovery's connection and one in passing.
const RESERVED_BASE: usize = 16;
/// Kept apart for the runtime of each core, where there are several.
const RESERVED_PER_CORE: usize = 4;
/// The fewest descriptors for clients and data nodes of a core.
const MINIMUM_PER_CORE: usize = 4;
/// Clients get one of so many parts of the descriptors.
const CLIENT_DIVISOR: usize = 3;
/// Half-sent requests of all clients may take one of so many parts of the memory.
const CLIENT_MEMORY_DIVISOR: usize = 4;

/// One pool, shared by all cores.
pub struct DescriptorPool {
    /// The descriptors that are free.
    pub pool: Arc<Pool>,
    /// Woken when one is given back.
    pub released: Notify,
}

/// The right to hold one descriptor, given back on drop.
pub struct DescriptorPermit {
    taken: Option<PoolPermit>,
    pool: Arc<DescriptorPool>,
}

impl DescriptorPool {
    fn new(count: usize) -> Arc<Self> {
        Arc::new(DescriptorPool { pool: Pool::new(count), released: Notify::new() })
    }

    /// Takes one, if any is free.
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

/// Descriptors kept apart from both pools. A single core is its own acceptor.
pub fn reserved(cores: usize) -> usize {
    RESERVED_BASE + if cores > 1 { RESERVED_PER_CORE * cores } else { 0 }
}

/// The fewest descriptors that so many cores can run with.
pub fn minimum(cores: usize) -> usize {
    reserved(cores) + MINIMUM_PER_CORE * cores.max(1)
}

/// The pools of clients and of data nodes, out of `limit` descriptors and `memory` bytes.
pub fn split(limit: usize, memory: usize, cores: usize) -> (Arc<DescriptorPool>, Arc<DescriptorPool>) {
    let available = limit.saturating_sub(reserved(cores)).max(2);
    let clients = (limit / CLIENT_DIVISOR).min(available - available / 2);
    let by_memory = memory / CLIENT_MEMORY_DIVISOR / CLIENT_BUFFER_BYTES;
    (DescriptorPool::new(clients.min(by_memory).max(1)), DescriptorPool::new(available - clients))
}
