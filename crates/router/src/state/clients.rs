//! Clients' connections as the rest of the program sees them.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// What the rest of the program wants of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CloseRequest {
    #[default]
    Stay,
    /// To close while nothing of a request has come: what has begun to come is served first.
    CloseIdle,
    /// To close though part of a request has come: the rest has kept it waiting too long.
    CloseHalfSent,
}

/// One connection of a client. Its driver owns the socket; what is to be written stands in `out`.
#[derive(Default)]
pub struct ClientConnection {
    pub out: RefCell<Vec<u8>>,
    pub wake: Notify,
    /// The open query, one at a time.
    pub query: Cell<Option<u64>>,
    /// Ends after the present answer.
    pub closes: Cell<bool>,
    pub wish: Cell<CloseRequest>,
    /// Has sent a request before.
    pub used: Cell<bool>,
    /// Since when it stands idle, or waits for the rest of a request; `None` from a whole request to the last
    /// byte of its answer.
    pub idle: Cell<Option<f64>>,
    /// Part of a request has come.
    pub half_sent: Cell<bool>,
    /// Bytes have come behind the present request.
    pub behind: Cell<bool>,
    /// Has had bytes of an answer since this was last looked at.
    pub served: Cell<bool>,
}

impl ClientConnection {
    fn dismiss(&self) {
        self.wish.set(if self.half_sent.get() {
            CloseRequest::CloseHalfSent
        } else {
            CloseRequest::CloseIdle
        });
        self.wake.notify_one();
    }

    /// Whether it is to close now, with nothing open on it.
    pub fn is_dismissed(&self) -> bool {
        match self.wish.get() {
            CloseRequest::Stay => false,
            CloseRequest::CloseIdle => !self.half_sent.get(),
            CloseRequest::CloseHalfSent => true,
        }
    }
}

#[derive(Default)]
pub struct ClientTable {
    all: BTreeMap<u64, Rc<ClientConnection>>,
    next: u64,
}

impl ClientTable {
    pub fn arrive(&mut self, now: f64) -> (u64, Rc<ClientConnection>) {
        let client = Rc::new(ClientConnection::default());
        client.idle.set(Some(now));
        self.next += 1;
        self.all.insert(self.next, client.clone());
        (self.next, client)
    }

    pub fn depart(&mut self, id: u64) {
        self.all.remove(&id);
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// How many have had an answer since this was last asked.
    pub fn take_active(&self) -> usize {
        self.all.values().filter(|c| c.served.take()).count()
    }

    /// Dismisses a connection to make room for a new one: the longest idle of those that have never sent a request,
    /// else one of which only part of a request has come for `patience` or longer, else one that was of use.
    pub fn dismiss_oldest(&self, now: f64, patience: f64) {
        let idle = self.all.values().filter(|c| !c.is_dismissed());
        let idle = idle.filter_map(|c| Some((c.used.get(), c.half_sent.get(), c.idle.get()?, c)));
        let idle = idle.filter(|(_, half, since, _)| !half || since + patience <= now);
        let rank = |used, half| if half { 1 } else { 2 * i32::from(used) };
        let oldest = idle.min_by(|a, b| rank(a.0, a.1).cmp(&rank(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        oldest.into_iter().for_each(|(.., client)| client.dismiss());
    }

    /// Dismisses idle connections.
    pub fn dismiss_idle(&self) {
        let idle = self.all.values().filter(|c| c.idle.get().is_some() && !c.half_sent.get());
        idle.for_each(|c| c.dismiss());
    }
}
