//! Connections of clients as the state sees them. The task of a connection owns its socket.
use super::response::{PendingResponse, QueryResponse};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Whether a connection is asked to close.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CloseRequest {
    /// It goes on.
    #[default]
    KeepOpen,
    /// To close while nothing of a request has come: what has begun to come is served first.
    WhenIdle,
    /// To close though part of a request has come: the rest takes too long.
    EvenIfHalfSent,
    /// To close as the program, or its core, ends: where part of a request has come, its client is told so.
    AtProgramEnd,
}

/// One connection of a client.
#[derive(Default)]
pub struct ClientConnection {
    /// Final responses that the edge has not encoded yet: one at most, as one query is open at a time. A second would
    /// go out as well, where tests and clients see it.
    pub pending_responses: RefCell<Vec<PendingResponse>>,
    /// Encoded bytes that wait to be written.
    pub output: RefCell<Vec<u8>>,
    /// Wakes the task of the connection.
    pub wake: Notify,
    /// Number of the open query; one at a time.
    pub open_query: Cell<Option<u64>>,
    /// Whether it ends after the present response.
    pub close_after_answer: Cell<bool>,
    /// Whether it is asked to close.
    pub close_request: Cell<CloseRequest>,
    /// Whether it has sent a request before.
    pub has_sent_request: Cell<bool>,
    /// Since when it is idle, or waits for the rest of a request; none from a whole request to the last byte of its
    /// response.
    pub idle_since: Cell<Option<f64>>,
    /// Whether part of a request has come.
    pub is_half_sent: Cell<bool>,
    /// Whether bytes have come behind the present request.
    pub has_bytes_behind: Cell<bool>,
    /// Whether it had bytes of a response since this was last looked at.
    pub was_served: Cell<bool>,
}

impl ClientConnection {
    /// Leaves the final response of its query for the edge.
    pub fn respond(&self, response: QueryResponse, closes_connection: bool) {
        self.pending_responses.borrow_mut().push(PendingResponse { response, closes_connection });
    }

    fn request_close(&self) {
        let how = if self.is_half_sent.get() { CloseRequest::EvenIfHalfSent } else { CloseRequest::WhenIdle };
        self.close_request.set(how);
        self.wake.notify_one();
    }

    /// Whether it is to close now, with nothing open on it.
    pub fn should_close(&self) -> bool {
        match self.close_request.get() {
            CloseRequest::KeepOpen => false,
            CloseRequest::WhenIdle => !self.is_half_sent.get(),
            CloseRequest::EvenIfHalfSent | CloseRequest::AtProgramEnd => true,
        }
    }
}

/// In which order connections make room for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRank {
    NeverUsed,
    HalfSent,
    Used,
}

/// All connections of clients.
#[derive(Default)]
pub struct ClientTable {
    all: BTreeMap<u64, Rc<ClientConnection>>,
    last_id: u64,
}

impl ClientTable {
    /// Adds a connection that was accepted now; returns its id.
    pub fn add(&mut self, now: f64) -> (u64, Rc<ClientConnection>) {
        let client = Rc::new(ClientConnection::default());
        client.idle_since.set(Some(now));
        self.last_id += 1;
        self.all.insert(self.last_id, client.clone());
        (self.last_id, client)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: u64) {
        self.all.remove(&id);
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// How many had a response since this was last called.
    pub fn take_active_count(&self) -> usize {
        self.all.values().filter(|client| client.was_served.take()).count()
    }

    /// Asks one connection to close, to make room for a new one: the longest idle of those that have never sent a
    /// request, else one of which only part of a request has come for `patience_s` or longer, else one that was used.
    pub fn close_longest_idle(&self, now: f64, patience_s: f64) {
        let candidates = self.all.values().filter_map(|client| {
            let idle_since = client.idle_since.get().filter(|_| !client.should_close())?;
            let is_half_sent = client.is_half_sent.get();
            let rank = match (is_half_sent, client.has_sent_request.get()) {
                (true, _) => CloseRank::HalfSent,
                (false, false) => CloseRank::NeverUsed,
                (false, true) => CloseRank::Used,
            };
            (!is_half_sent || idle_since + patience_s <= now).then_some((rank, idle_since, client))
        });
        let chosen = candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        if let Some((.., client)) = chosen {
            client.request_close();
        }
    }

    /// Asks all connections without an open query to close, as the program ends.
    pub fn close_at_program_end(&self) {
        for client in self.all.values().filter(|client| client.idle_since.get().is_some()) {
            client.close_request.set(CloseRequest::AtProgramEnd);
            client.wake.notify_one();
        }
    }

    /// Asks all idle connections to close.
    pub fn close_idle(&self) {
        let idle = self
            .all
            .values()
            .filter(|client| client.idle_since.get().is_some() && !client.is_half_sent.get());
        idle.for_each(|client| client.request_close());
    }
}
