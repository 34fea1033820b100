//! Clients' connections as the rest of the program sees them.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// What the rest of the program wants of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CloseRequest {
    #[default]
    KeepOpen,
    /// To close while nothing of a request has come: what has begun to come is served first.
    WhenIdle,
    /// To close though part of a request has come: the rest has kept it waiting too long.
    EvenIfHalfSent,
}

/// One connection of a client. Its driver owns the socket; what is to be written stands in `out`.
#[derive(Default)]
pub struct ClientConnection {
    pub output: RefCell<Vec<u8>>,
    pub wake: Notify,
    /// The open query, one at a time.
    pub open_query: Cell<Option<u64>>,
    /// Ends after the present answer.
    pub close_after_answer: Cell<bool>,
    pub close_request: Cell<CloseRequest>,
    /// Has sent a request before.
    pub has_sent_request: Cell<bool>,
    /// Since when it stands idle, or waits for the rest of a request; `None` from a whole request to the last
    /// byte of its answer.
    pub idle_since: Cell<Option<f64>>,
    /// Part of a request has come.
    pub is_half_sent: Cell<bool>,
    /// Bytes have come behind the present request.
    pub has_bytes_behind: Cell<bool>,
    /// Has had bytes of an answer since this was last looked at.
    pub was_served: Cell<bool>,
}

impl ClientConnection {
    fn request_close(&self) {
        self.close_request.set(if self.is_half_sent.get() {
            CloseRequest::EvenIfHalfSent
        } else {
            CloseRequest::WhenIdle
        });
        self.wake.notify_one();
    }

    /// Whether it is to close now, with nothing open on it.
    pub fn should_close(&self) -> bool {
        match self.close_request.get() {
            CloseRequest::KeepOpen => false,
            CloseRequest::WhenIdle => !self.is_half_sent.get(),
            CloseRequest::EvenIfHalfSent => true,
        }
    }
}

#[derive(Default)]
pub struct ClientTable {
    all: BTreeMap<u64, Rc<ClientConnection>>,
    next: u64,
}

impl ClientTable {
    pub fn add(&mut self, now: f64) -> (u64, Rc<ClientConnection>) {
        let client = Rc::new(ClientConnection::default());
        client.idle_since.set(Some(now));
        self.next += 1;
        self.all.insert(self.next, client.clone());
        (self.next, client)
    }

    pub fn remove(&mut self, id: u64) {
        self.all.remove(&id);
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// How many have had an answer since this was last asked.
    pub fn take_active_count(&self) -> usize {
        self.all.values().filter(|c| c.was_served.take()).count()
    }

    /// Dismisses a connection to make room for a new one: the longest idle of those that have never sent a request,
    /// else one of which only part of a request has come for `patience` or longer, else one that was of use.
    pub fn close_longest_idle(&self, now: f64, patience: f64) {
        let idle = self.all.values().filter(|c| !c.should_close());
        let idle = idle
            .filter_map(|c| Some((c.has_sent_request.get(), c.is_half_sent.get(), c.idle_since.get()?, c)));
        let idle = idle.filter(|(_, half, since, _)| !half || since + patience <= now);
        let rank = |used, half| if half { 1 } else { 2 * i32::from(used) };
        let oldest = idle.min_by(|a, b| rank(a.0, a.1).cmp(&rank(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        oldest.into_iter().for_each(|(.., client)| client.request_close());
    }

    /// Dismisses idle connections.
    pub fn close_idle(&self) {
        let idle = self.all.values().filter(|c| c.idle_since.get().is_some() && !c.is_half_sent.get());
        idle.for_each(|c| c.request_close());
    }
}
