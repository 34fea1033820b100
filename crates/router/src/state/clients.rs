//! The state of the connections to clients. Each connection has a task, which owns the socket of the
//! connection and reads and writes that socket. Times are in seconds of the monotonic clock.
use super::response::{PendingResponse, QueryResponse};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A connection is not closed to free a file descriptor before it has been idle for this time, in seconds: its
/// client may be about to send a request.
const MIN_IDLE_S: f64 = 0.1;

/// Whether, and when, the router is to close a client connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CloseRequest {
    /// Keep the connection open.
    #[default]
    KeepOpen,
    /// Close the connection once no request is partly received. A partly received request is served first.
    WhenIdle,
    /// Close the connection even if a request is partly received, because the rest of the request has not
    /// come in time.
    EvenIfPartial,
    /// Close the connection because the process or its core shuts down. If a request is partly received, the
    /// client first gets an error response.
    AtShutdown,
}

/// The state of one client connection.
#[derive(Default)]
pub struct ClientConnection {
    /// Final responses that are not yet encoded: at most one, because a connection has at most one open
    /// query. A list is used so that a second response, stored by a fault of the router, is sent and detected
    /// instead of replacing the first one.
    pub pending_responses: RefCell<Vec<PendingResponse>>,
    /// Encoded response bytes that are not yet written to the socket.
    pub output: RefCell<Vec<u8>>,
    /// Wakes the task of the connection when a response is to be written or the connection is to close.
    pub wake: Notify,
    /// The number that identifies the open query of the connection in the query table; `None` if no query is
    /// open.
    pub open_query: Cell<Option<u64>>,
    /// Whether the router closes the connection after the current response.
    pub close_after_response: Cell<bool>,
    /// Whether, and when, the router is to close the connection.
    pub close_request: Cell<CloseRequest>,
    /// Whether the client has sent a complete request on this connection, to this core or to another one.
    pub has_sent_request: Cell<bool>,
    /// Since when the connection is idle, in seconds of the monotonic clock. An idle connection has no open
    /// query and no response bytes to write; a request may be partly received. `None` if the connection is
    /// not idle.
    pub idle_since: Cell<Option<f64>>,
    /// Whether a request is partly received.
    pub has_partial_request: Cell<bool>,
    /// Whether bytes after the end of the current request have been received.
    pub has_pipelined_bytes: Cell<bool>,
    /// Whether the client has closed its side of the connection; requests may still be unread.
    pub has_left: Cell<bool>,
    /// Whether response bytes were written to the socket since the last call of
    /// [`ClientTable::take_active_count`].
    pub was_served: Cell<bool>,
}

impl ClientConnection {
    /// Stores the final response to the open query. The connection's task encodes and sends the response.
    pub fn respond(&self, response: QueryResponse, closes_connection: bool) {
        self.pending_responses.borrow_mut().push(PendingResponse { response, closes_connection });
    }

    fn request_close(&self) {
        let request =
            if self.has_partial_request.get() { CloseRequest::EvenIfPartial } else { CloseRequest::WhenIdle };
        self.close_request.set(request);
        self.wake.notify_one();
    }

    /// Whether the connection is to close now. Must be called only while the connection has no open query.
    pub fn should_close(&self) -> bool {
        match self.close_request.get() {
            CloseRequest::KeepOpen => false,
            CloseRequest::WhenIdle => !self.has_partial_request.get(),
            CloseRequest::EvenIfPartial | CloseRequest::AtShutdown => true,
        }
    }
}

/// The order in which idle connections are closed to free a file descriptor: `NeverUsed` first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRank {
    NeverUsed,
    PartialRequest,
    Used,
}

/// All client connections of one core, by id.
#[derive(Default)]
pub struct ClientTable {
    all: BTreeMap<u64, Rc<ClientConnection>>,
    last_id: u64,
}

impl ClientTable {
    /// Adds a connection that is idle since `now`; returns the id and the state of the connection.
    pub fn add(&mut self, now: f64) -> (u64, Rc<ClientConnection>) {
        let client = Rc::new(ClientConnection::default());
        client.idle_since.set(Some(now));
        self.last_id += 1;
        self.all.insert(self.last_id, client.clone());
        (self.last_id, client)
    }

    /// Removes a connection whose socket is closed.
    pub fn remove(&mut self, id: u64) {
        self.all.remove(&id);
    }

    /// Whether this core has no client connection.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Number of client connections of this core.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Number of connections on which response bytes were written since the last call. Resets `was_served` of
    /// every connection.
    pub fn take_active_count(&self) -> usize {
        self.all.values().filter(|client| client.was_served.take()).count()
    }

    /// Closes one idle connection to free a file descriptor for a new connection: the longest idle one that
    /// has never sent a complete request; else the longest idle one with a partly received request, if it is
    /// idle for at least `partial_request_timeout_s` seconds; else the longest idle one of the others. Those
    /// without a partly received request have to be idle for at least [`MIN_IDLE_S`]. Guards against closing
    /// connections that are in use, or have just been opened, because many others come and go.
    pub fn close_longest_idle(&self, now: f64, partial_request_timeout_s: f64) {
        let candidates = self.all.values().filter_map(|client| {
            let idle_since = client.idle_since.get().filter(|_| !client.should_close())?;
            let has_partial_request = client.has_partial_request.get();
            let rank = match (has_partial_request, client.has_sent_request.get()) {
                (true, _) => CloseRank::PartialRequest,
                (false, false) => CloseRank::NeverUsed,
                (false, true) => CloseRank::Used,
            };
            let min_idle_s = match rank {
                CloseRank::PartialRequest => partial_request_timeout_s,
                CloseRank::NeverUsed | CloseRank::Used => MIN_IDLE_S,
            };
            (idle_since + min_idle_s <= now).then_some((rank, idle_since, client))
        });
        let chosen = candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        if let Some((.., client)) = chosen {
            client.request_close();
        }
    }

    /// Closes all idle connections, even with a partly received request, because the process or this core
    /// shuts down.
    pub fn close_for_shutdown(&self) {
        for client in self.all.values().filter(|client| client.idle_since.get().is_some()) {
            client.close_request.set(CloseRequest::AtShutdown);
            client.wake.notify_one();
        }
    }

    /// Closes all idle connections without a partly received request.
    pub fn close_idle(&self) {
        let idle = self
            .all
            .values()
            .filter(|client| client.idle_since.get().is_some() && !client.has_partial_request.get());
        idle.for_each(|client| client.request_close());
    }
}
