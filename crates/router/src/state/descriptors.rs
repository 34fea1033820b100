//! The file descriptors of the process, split into a pool for clients and one for data nodes. Neither can use up the
//! descriptors of the other, or those of the listener and the connection to discovery.
use alderway_cores::pool::{Pool, Taken};
use std::sync::Arc;
use tokio::sync::Notify;

/// The largest size of a client connection's read buffer: that of the largest request.
pub const CLIENT_BUFFER_BYTES: usize = 84 * 1024;

/// Reserved: standard streams, the acceptor's runtime, the listener, the connection to discovery, and one for a file that
/// is open briefly.
const RESERVED_BASE: usize = 16;
/// Reserved for the runtime of each core if there are several cores.
const RESERVED_PER_CORE: usize = 4;
/// The least number of descriptors for the clients and data nodes of each core.
const MINIMUM_PER_CORE: usize = 4;
/// Clients get this fraction, as a divisor, of all descriptors.
const CLIENT_DIVISOR: usize = 3;
/// The read buffers of all clients may take this fraction, as a divisor, of the memory.
const CLIENT_MEMORY_DIVISOR: usize = 4;

/// A pool of descriptors that all cores share.
pub struct DescriptorPool {
    /// Counts the free descriptors.
    pub pool: Arc<Pool>,
    /// Notified when a descriptor is released.
    pub released: Notify,
}

/// The right to use one descriptor, released on drop.
pub struct DescriptorPermit {
    taken: Option<Taken>,
    pool: Arc<DescriptorPool>,
}

impl DescriptorPool {
    fn new(count: usize) -> Arc<Self> {
        Arc::new(DescriptorPool { pool: Pool::new(count), released: Notify::new() })
    }

    /// Acquires a descriptor, if one is free.
    pub fn acquire(self: &Arc<Self>) -> Option<DescriptorPermit> {
        Some(DescriptorPermit { taken: Some(self.pool.take(1)?), pool: self.clone() })
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.taken.take();
        self.pool.released.notify_one();
    }
}

/// Number of descriptors in neither pool. A single core runs in the acceptor's runtime and needs no further descriptors.
pub fn reserved(cores: usize) -> usize {
    RESERVED_BASE + if cores > 1 { RESERVED_PER_CORE * cores } else { 0 }
}

/// The least number of descriptors with which `cores` cores can run.
pub fn minimum(cores: usize) -> usize {
    reserved(cores) + MINIMUM_PER_CORE * cores.max(1)
}

/// The pool for clients and the pool for data nodes, from a limit of `limit` descriptors and `memory` bytes.
pub fn split(limit: usize, memory: usize, cores: usize) -> (Arc<DescriptorPool>, Arc<DescriptorPool>) {
    let available = limit.saturating_sub(reserved(cores)).max(2);
    let clients = (limit / CLIENT_DIVISOR).min(available - available / 2);
    let by_memory = memory / CLIENT_MEMORY_DIVISOR / CLIENT_BUFFER_BYTES;
    (DescriptorPool::new(clients.min(by_memory).max(1)), DescriptorPool::new(available - clients))
}
