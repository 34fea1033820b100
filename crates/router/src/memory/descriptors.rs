//! The descriptors that this program may hold, dealt out in two shares so that neither clients nor data nodes
//! can take the other's, nor those of the listener and discovery.
use crate::wire::http::MESSAGE;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Kept apart: standard streams, the runtime's own, the listener, discovery's connection and one in passing.
const APART: usize = 16;

/// One share. What is taken is given back when its holder is dropped, and nowhere else.
pub struct Share {
    free: Cell<usize>,
    pub released: Notify,
}

pub struct Held(Rc<Share>);

impl Share {
    fn new(count: usize) -> Rc<Self> {
        Rc::new(Share { free: Cell::new(count), released: Notify::new() })
    }

    pub fn take(self: &Rc<Self>) -> Option<Held> {
        let free = self.free.get().checked_sub(1)?;
        self.free.set(free);
        Some(Held(self.clone()))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
        self.0.released.notify_one();
    }
}

/// The shares of clients and of data nodes, out of so many descriptors and so many bytes of memory. Clients get
/// a third, which is what usual ones hold at most (LATER); what all of them may make this program keep of
/// half-sent requests is held to a quarter of the memory.
pub fn shares(limit: usize, memory: usize) -> (Rc<Share>, Rc<Share>) {
    let rest = limit.saturating_sub(APART).max(2);
    let clients = (limit / 3).min(rest - rest / 2);
    (Share::new(clients.min(memory / 4 / MESSAGE).max(1)), Share::new(rest - clients))
}
