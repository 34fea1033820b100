//! The descriptors that this program may hold, dealt out in two shares so that neither clients nor data nodes
//! can take the other's, nor those of the listener and discovery.
use crate::wire::http::MESSAGE;
use alderway_cores::pool::{Pool, Taken};
use std::sync::Arc;
use tokio::sync::Notify;

/// Kept apart: standard streams, the lead's runtime's own, the listener, discovery's connection and one in passing;
/// and for each core that has a runtime beside the lead's, that one's own.
const RESERVED_BASE: usize = 16;
const RESERVED_PER_CORE: usize = 4;

/// One share, of all cores. What is taken is given back when its holder is dropped, and nowhere else.
pub struct DescriptorPool {
    pub pool: Arc<Pool>,
    pub released: Notify,
}

pub struct DescriptorPermit {
    taken: Option<Taken>,
    pool: Arc<DescriptorPool>,
}

impl DescriptorPool {
    fn new(count: usize) -> Arc<Self> {
        Arc::new(DescriptorPool { pool: Pool::new(count), released: Notify::new() })
    }

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

/// How many are kept apart. A lone core is its own lead.
pub fn reserved(cores: usize) -> usize {
    RESERVED_BASE + if cores > 1 { RESERVED_PER_CORE * cores } else { 0 }
}

/// The fewest descriptors that so many cores can run with: beside what is kept apart a few for clients and nodes.
pub fn minimum(cores: usize) -> usize {
    reserved(cores) + 4 * cores.max(1)
}

/// The shares of clients and of data nodes, out of so many descriptors and so many bytes of memory. Clients get
/// a third, which is what usual ones hold at most (LATER); what all of them may make this program keep of
/// half-sent requests is held to a quarter of the memory.
pub fn split(limit: usize, memory: usize, cores: usize) -> (Arc<DescriptorPool>, Arc<DescriptorPool>) {
    let rest = limit.saturating_sub(reserved(cores)).max(2);
    let clients = (limit / 3).min(rest - rest / 2);
    (DescriptorPool::new(clients.min(memory / 4 / MESSAGE).max(1)), DescriptorPool::new(rest - clients))
}
