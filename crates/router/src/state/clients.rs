//! The state of the connections to clients. The task of a connection owns its socket.
use super::response::{PendingResponse, QueryResponse};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Whether, and when, a connection is to be closed by this side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CloseRequest {
    /// It stays open.
    #[default]
    KeepOpen,
    /// Close it unless part of a request has been received; that request is then served first.
    WhenIdle,
    /// Close it even if part of a request has been received: the rest has not come in time.
    EvenIfPartial,
    /// Close it because the program or its core shuts down. If part of a request has been received, the client first
    /// gets an error response.
    AtShutdown,
}

/// One connection of a client.
#[derive(Default)]
pub struct ClientConnection {
    /// Final responses that are not yet encoded: at most one, as one query is open at a time. A second one would be sent
    /// too, so that tests and clients notice the fault.
    pub pending_responses: RefCell<Vec<PendingResponse>>,
    /// Encoded bytes that are not yet written.
    pub output: RefCell<Vec<u8>>,
    /// Wakes the task of the connection.
    pub wake: Notify,
    /// Number of the open query, if there is one.
    pub open_query: Cell<Option<u64>>,
    /// Whether the connection closes after the current response.
    pub close_after_response: Cell<bool>,
    /// Whether, and when, the connection is to be closed by this side.
    pub close_request: Cell<CloseRequest>,
    /// Whether the client has sent a complete request on this connection, to this core or to another one.
    pub has_sent_request: Cell<bool>,
    /// Since when the connection is idle or the rest of a request is missing; `None` from the end of a request to the last
    /// byte of its response.
    pub idle_since: Cell<Option<f64>>,
    /// Whether part of a request has been received, but not all of it.
    pub has_partial_request: Cell<bool>,
    /// Whether more bytes have been received behind the current request.
    pub has_pipelined_bytes: Cell<bool>,
    /// Whether bytes of a response were written since [`ClientTable::take_active_count`] last reset this.
    pub was_served: Cell<bool>,
}

impl ClientConnection {
    /// Stores the final response of the query, which the connection's task then encodes.
    pub fn respond(&self, response: QueryResponse, closes_connection: bool) {
        self.pending_responses.borrow_mut().push(PendingResponse { response, closes_connection });
    }

    fn request_close(&self) {
        let request =
            if self.has_partial_request.get() { CloseRequest::EvenIfPartial } else { CloseRequest::WhenIdle };
        self.close_request.set(request);
        self.wake.notify_one();
    }

    /// Whether the connection is to close now, provided that no query is open on it.
    pub fn should_close(&self) -> bool {
        match self.close_request.get() {
            CloseRequest::KeepOpen => false,
            CloseRequest::WhenIdle => !self.has_partial_request.get(),
            CloseRequest::EvenIfPartial | CloseRequest::AtShutdown => true,
        }
    }
}

/// Which connections close first to free a descriptor for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRank {
    NeverUsed,
    PartialRequest,
    Used,
}

/// All connections to clients.
#[derive(Default)]
pub struct ClientTable {
    all: BTreeMap<u64, Rc<ClientConnection>>,
    last_id: u64,
}

impl ClientTable {
    /// Adds a connection that has just been accepted; returns its id.
    pub fn add(&mut self, now: f64) -> (u64, Rc<ClientConnection>) {
        let client = Rc::new(ClientConnection::default());
        client.idle_since.set(Some(now));
        self.last_id += 1;
        self.all.insert(self.last_id, client.clone());
        (self.last_id, client)
    }

    /// Removes a connection that has closed.
    pub fn remove(&mut self, id: u64) {
        self.all.remove(&id);
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// How many connections had bytes of a response written since the last call.
    pub fn take_active_count(&self) -> usize {
        self.all.values().filter(|client| client.was_served.take()).count()
    }

    /// Closes one connection to free its descriptor for a new one. The choice is the connection that has been idle longest
    /// among those without any request so far; else among those with a partial request for `partial_request_timeout_s` or
    /// longer; else among the others.
    pub fn close_longest_idle(&self, now: f64, partial_request_timeout_s: f64) {
        let candidates = self.all.values().filter_map(|client| {
            let idle_since = client.idle_since.get().filter(|_| !client.should_close())?;
            let has_partial_request = client.has_partial_request.get();
            let rank = match (has_partial_request, client.has_sent_request.get()) {
                (true, _) => CloseRank::PartialRequest,
                (false, false) => CloseRank::NeverUsed,
                (false, true) => CloseRank::Used,
            };
            (!has_partial_request || idle_since + partial_request_timeout_s <= now)
                .then_some((rank, idle_since, client))
        });
        let chosen = candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        if let Some((.., client)) = chosen {
            client.request_close();
        }
    }

    /// Closes all connections without an open query, as the program shuts down.
    pub fn close_for_shutdown(&self) {
        for client in self.all.values().filter(|client| client.idle_since.get().is_some()) {
            client.close_request.set(CloseRequest::AtShutdown);
            client.wake.notify_one();
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let idle = self
            .all
            .values()
            .filter(|client| client.idle_since.get().is_some() && !client.has_partial_request.get());
        idle.for_each(|client| client.request_close());
    }
}
