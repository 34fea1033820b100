//! Serves one client connection: reads requests one at a time and writes the responses. Closes the connection
//! if the client sends no request, leaves a request incomplete or does not read the response. A core is a
//! thread that serves client connections; the program can hand a client connection over from one core to
//! another.
mod close;

use super::{arrival, sleep_until};
use crate::requests;
use crate::state::DispatcherHandle;
use crate::state::clients::{ClientConnection, CloseRequest};
use crate::state::descriptors::DescriptorPermit;
use crate::state::dispatcher::{ClientHandover, Dispatcher};
use crate::state::shared::{CoreCommand, TransferredConnection};
use crate::state::shutdown_phase::ShutdownPhase;
use crate::wire::buffer::ReadBuffer;
use crate::wire::http::{HttpError, MAX_MESSAGE_BYTES, MessageReader};
use crate::wire::response;
use alderway_sockets::Sender;
use alderway_telemetry::clock::Clock;
use close::{CloseReason, linger};
use std::future::ready;
use std::ops::ControlFlow;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Time after which an idle client connection is closed, in seconds. The client protocol allows the router to
/// close a connection that has had no open request for 2 s.
const IDLE_TIMEOUT_S: f64 = 2.0;
/// Time from connecting, in seconds, by which a client that has sent no complete request must have received
/// an error response or the close of the connection, according to the client protocol. The router sends a 408
/// response if a part of the request has arrived, and closes the connection otherwise.
const FIRST_REQUEST_TIMEOUT_S: f64 = 3.0;
/// Serves a client connection on this core until the connection closes or moves to another core.
/// `has_sent_request` says whether another core has already received a request on the connection.
pub async fn serve(
    dispatcher: DispatcherHandle,
    mut stream: TcpStream,
    mut permit: DescriptorPermit,
    has_sent_request: bool,
) {
    // A failure is ignored: without this option, small responses are only delayed.
    let _ = stream.set_nodelay(true);
    if !has_sent_request {
        dispatcher.borrow_mut().counters.increment("clients{accepted}");
    }
    let (mut id, mut client) = register(&dispatcher, has_sent_request);
    let reason = loop {
        let core = match ClientSession::new(&dispatcher, &client, &stream).run().await {
            CloseReason::MovesTo(core) => core,
            reason => break reason,
        };
        // This core has no open request and no buffered bytes of the connection, so the other core can read
        // from where this core stopped.
        dispatcher.borrow_mut().clients.remove(id);
        let Some(returned) = transfer(&dispatcher, stream, permit, core) else { return };
        (stream, permit) = returned;
        (id, client) = register(&dispatcher, true);
        dispatcher.borrow_mut().handover = None;
    };
    end_open_query(&dispatcher, &client, reason);
    client.idle_since.set(None);
    if reason == CloseReason::AfterAnswer {
        linger(&mut stream).await;
    }
    // The stream is dropped before its permit: another connection may use the permit only once this file
    // descriptor is closed.
    drop(stream);
    drop(permit);
    let mut dispatcher = dispatcher.borrow_mut();
    dispatcher.clients.remove(id);
    dispatcher.counters.increment("clients{closed}");
    dispatcher.counters.increment(&format!("client_closes{{{}}}", reason.label()));
}

fn register(dispatcher: &DispatcherHandle, has_sent_request: bool) -> (u64, Rc<ClientConnection>) {
    let mut dispatcher = dispatcher.borrow_mut();
    let now = dispatcher.clock.now();
    let (id, client) = dispatcher.clients.add(now);
    client.has_sent_request.set(has_sent_request);
    (id, client)
}

/// Hands a client connection over to the core with this number. Returns the connection if that core's command
/// queue is full or closed.
fn transfer(
    dispatcher: &DispatcherHandle,
    stream: TcpStream,
    permit: DescriptorPermit,
    core: usize,
) -> Option<(TcpStream, DescriptorPermit)> {
    let stream = stream.into_std().ok()?;
    let connection = TransferredConnection { stream, permit, has_sent_request: true };
    let sent = dispatcher.borrow().shared.send_command(core, CoreCommand::Serve(connection));
    match sent {
        Err(CoreCommand::Serve(returned)) => {
            Some((TcpStream::from_std(returned.stream).ok()?, returned.permit))
        }
        _ => {
            dispatcher.borrow_mut().counters.increment("clients{moved}");
            None
        }
    }
}

fn end_open_query(dispatcher: &DispatcherHandle, client: &ClientConnection, reason: CloseReason) {
    let Some(query) = client.open_query.get() else { return };
    let mut dispatcher = dispatcher.borrow_mut();
    if reason != CloseReason::ClientDisconnected {
        dispatcher.report_unanswered_close(query);
    }
    dispatcher.client_disconnected(query);
}

/// When a session entered each state that has a time limit, in seconds of the monotonic clock; `None` if the
/// session is not in that state.
#[derive(Default)]
struct StateTimes {
    /// Since when no query has been open and no response has had to be written, in seconds of the monotonic
    /// clock.
    idle_since: Option<f64>,
    /// When this session found the first part of a request that is still incomplete, in seconds of the
    /// monotonic clock; `None` if there is no incomplete request.
    partial_request_since: Option<f64>,
    /// When the writing of a response began or last made progress, in seconds of the monotonic clock; `None`
    /// if no response is being written.
    write_stalled_since: Option<f64>,
}

/// What a session is doing just before the session waits for the next event. [`ClientSession::run`] chooses
/// from these values the events for which the session waits.
struct Waiting {
    has_open_query: bool,
    is_writing: bool,
    has_partial_request: bool,
    /// Whether the read buffer has room for more bytes.
    has_room: bool,
    /// Whether the connection is idle and may be closed, unless bytes are unread.
    should_close: bool,
    /// When the session times out, in seconds of the monotonic clock; infinite while a query is open and no
    /// response is being written.
    deadline: f64,
}

/// What a session has waited for.
#[derive(Clone, Copy, PartialEq)]
enum SessionEvent {
    Readable,
    Writable,
    /// The dispatcher has a response or asks for a close.
    Woken,
    /// The connection is idle and is to be closed.
    MayClose,
    DeadlineReached,
}

/// A client connection that this core serves, with the buffered bytes and the progress of the current request
/// and response.
struct ClientSession<'a> {
    dispatcher: &'a DispatcherHandle,
    client: &'a Rc<ClientConnection>,
    stream: &'a TcpStream,
    clock: Clock,
    buffer: ReadBuffer,
    messages: MessageReader,
    sender: Sender,
    /// Number of bytes of the current response that were written to the socket.
    written_bytes: usize,
    /// Whether the rest of the input is not parsed, because the router has sent an error as the last
    /// response: a request was malformed, was incomplete for too long or at a shutdown, or more bytes arrived
    /// than the buffer holds.
    is_unreadable: bool,
    /// Whether the client sent more bytes than the buffer holds while a query was open. The surplus was
    /// discarded, so no later request can be parsed.
    has_overrun: bool,
    /// Whether `100 Continue` was sent to the client for the current request.
    has_sent_continue: bool,
    /// Deadline for receiving the first complete request, in seconds of the monotonic clock. After this time,
    /// the router rejects an incomplete first request.
    first_request_by: f64,
    /// When the last byte from the client arrived, in seconds of the monotonic clock.
    read_at: f64,
    /// When the socket last had no unread bytes, in seconds of the monotonic clock.
    drained_at: f64,
    times: StateTimes,
}

impl<'a> ClientSession<'a> {
    fn new(
        dispatcher: &'a DispatcherHandle,
        client: &'a Rc<ClientConnection>,
        stream: &'a TcpStream,
    ) -> Self {
        let clock = dispatcher.borrow().clock;
        let accepted_at = clock.now();
        // The error response for an incomplete request has to reach the client within
        // `FIRST_REQUEST_TIMEOUT_S`. The timeout for connecting to a data node serves as the upper bound of
        // the network delay to the client.
        let network_s = dispatcher.borrow().connection_config.dial_timeout_s;
        let error_by = accepted_at + FIRST_REQUEST_TIMEOUT_S - network_s;
        ClientSession {
            dispatcher,
            client,
            stream,
            clock,
            buffer: ReadBuffer::new(MAX_MESSAGE_BYTES),
            messages: MessageReader::default(),
            sender: Sender::default(),
            written_bytes: 0,
            is_unreadable: false,
            has_overrun: false,
            has_sent_continue: false,
            first_request_by: error_by.max(accepted_at + IDLE_TIMEOUT_S),
            read_at: accepted_at,
            // Bytes may have arrived before the connection was accepted. A client waits at most
            // `FIRST_REQUEST_TIMEOUT_S` for its first response, so the bytes are not older than that.
            drained_at: accepted_at - FIRST_REQUEST_TIMEOUT_S,
            times: StateTimes::default(),
        }
    }

    /// Reads requests and writes responses until the session ends; returns why the session ended.
    async fn run(mut self) -> CloseReason {
        let mut turns = self.dispatcher.borrow().turn_queue.turns();
        loop {
            turns.give_way().await;
            if self.has_left_open_query() {
                return CloseReason::ClientDisconnected;
            }
            self.handle_requests();
            match self.write_answer() {
                ControlFlow::Break(reason) => return reason,
                ControlFlow::Continue(Progress::Complete) => continue,
                ControlFlow::Continue(Progress::Blocked | Progress::NothingToWrite) => {}
            }
            if let Some(core) = self.core_to_move_to() {
                return CloseReason::MovesTo(core);
            }
            let waiting = self.waiting(self.clock.now());
            let event = turns.wait(self.next_event(&waiting)).await;
            if let ControlFlow::Break(reason) = self.handle_event(event, &waiting) {
                return reason;
            }
            if event == SessionEvent::MayClose {
                // Lets the runtime report bytes that have arrived meanwhile.
                turns.wait(yield_now()).await;
            }
        }
    }

    /// Whether the client has closed its connection while its query is open. Requests may still be unread
    /// behind the query; no query of a client that has left is opened.
    fn has_left_open_query(&self) -> bool {
        let has_left = alderway_sockets::is_closed_by_peer(self.stream);
        self.client.has_left.set(has_left);
        has_left && self.client.open_query.get().is_some()
    }

    async fn next_event(&self, waiting: &Waiting) -> SessionEvent {
        tokio::select! {
            biased;
            _ = self.stream.readable(), if waiting.has_room || waiting.has_open_query => SessionEvent::Readable,
            () = self.sender.ready(self.stream), if waiting.is_writing => SessionEvent::Writable,
            () = self.client.wake.notified() => SessionEvent::Woken,
            () = ready(()), if waiting.should_close => SessionEvent::MayClose,
            () = sleep_until(self.clock, waiting.deadline), if waiting.deadline.is_finite() => {
                SessionEvent::DeadlineReached
            }
        }
    }

    fn handle_event(&mut self, event: SessionEvent, waiting: &Waiting) -> ControlFlow<CloseReason> {
        match event {
            SessionEvent::Readable if !self.read() => {
                return ControlFlow::Break(CloseReason::ClientDisconnected);
            }
            SessionEvent::DeadlineReached if waiting.is_writing => {
                return ControlFlow::Break(CloseReason::AnswerNotRead);
            }
            SessionEvent::DeadlineReached if waiting.has_partial_request => {
                let refusal = (408, "the request did not come in time");
                self.reject_unreadable("requests{half_sent}", refusal);
            }
            // If the buffer has room, a connection with unread bytes is not closed yet: the bytes may be a
            // request, which has to be answered. If the buffer is full, the bytes cannot be read, and the
            // connection is closed.
            SessionEvent::MayClose if !waiting.has_room || !arrival::has_unread_bytes(self.stream) => {
                if !self.must_reject_partial_request() {
                    return ControlFlow::Break(self.closed_while_idle());
                }
                self.reject_unreadable("requests{half_sent}", (503, "not served any more"));
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    /// Whether an incomplete request has to be rejected because the program or this core shuts down. Guards
    /// against a client that completes its request just before the shutdown and gets no response.
    fn must_reject_partial_request(&self) -> bool {
        self.client.has_partial_request.get() && self.client.close_request.get() == CloseRequest::AtShutdown
    }

    fn closed_while_idle(&self) -> CloseReason {
        if self.client.has_sent_request.get() { CloseReason::AfterAnswer } else { CloseReason::NoRequest }
    }

    /// Handles the requests in the buffer one at a time: a request is parsed only once the previous response
    /// is written.
    fn handle_requests(&mut self) {
        while !self.is_unreadable && self.client.open_query.get().is_none() && !self.has_output() {
            match self.messages.find_message(&mut self.buffer) {
                Ok(true) => self.handle_request(),
                Ok(false) => {
                    self.send_continue_if_awaited();
                    if !self.has_overrun {
                        return;
                    }
                    let refusal = (400, "more came at once than is kept");
                    self.reject_unreadable("requests{too_many_at_once}", refusal);
                }
                Err(refusal) => self.reject_unreadable("requests{unreadable}", refusal),
            }
        }
    }

    /// Whether part of a response is not yet written to the socket; encodes a pending response first.
    fn has_output(&self) -> bool {
        response::encode_pending(self.client);
        !self.client.output.borrow().is_empty()
    }

    fn handle_request(&mut self) {
        let (head, body) = self.messages.message(&self.buffer);
        let has_pipelined_bytes = self.buffer.data().len() > self.messages.message_end();
        self.client.has_pipelined_bytes.set(has_pipelined_bytes);
        requests::handle(self.dispatcher, self.client, head, body, self.read_at);
        self.messages.consume_message(&mut self.buffer);
        self.client.has_sent_request.set(true);
        self.has_sent_continue = false;
    }

    fn send_continue_if_awaited(&mut self) {
        if !self.has_sent_continue && self.messages.expects_continue(&self.buffer) {
            self.has_sent_continue = true;
            self.client.output.borrow_mut().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /// Writes an error as the last response of this connection, stops parsing input, and increments
    /// `counter`.
    fn reject_unreadable(&mut self, counter: &str, refusal: HttpError) {
        self.dispatcher.borrow_mut().counters.increment(counter);
        response::write_http_error(&mut self.client.output.borrow_mut(), refusal);
        self.is_unreadable = true;
        self.client.close_after_response.set(true);
    }

    /// Writes as much of the current response as the socket accepts, if there is a response.
    fn write_answer(&mut self) -> ControlFlow<CloseReason, Progress> {
        if !self.has_output() {
            return ControlFlow::Continue(Progress::NothingToWrite);
        }
        let mut output = self.client.output.borrow_mut();
        self.client.was_served.set(true);
        match self.sender.write(self.stream, &output[self.written_bytes..]) {
            Ok(count) => {
                self.written_bytes += count;
                self.dispatcher.borrow_mut().counters.add("bytes_to_clients", count);
                if count > 0 && self.written_bytes < output.len() {
                    self.times.write_stalled_since = None;
                }
            }
            Err(_) => return ControlFlow::Break(CloseReason::ClientDisconnected),
        }
        if self.written_bytes < output.len() {
            return ControlFlow::Continue(Progress::Blocked);
        }
        output.clear();
        self.written_bytes = 0;
        if self.client.close_after_response.get() && self.client.open_query.get().is_none() {
            return ControlFlow::Break(CloseReason::AfterAnswer);
        }
        ControlFlow::Continue(Progress::Complete)
    }

    /// Reads from the socket once; returns false if the connection is closed or failed. While the buffer is
    /// full, bytes are read and discarded, so that the close of a client that has sent too much is still
    /// detected.
    fn read(&mut self) -> bool {
        self.has_overrun |= self.buffer.unfilled().is_empty();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.stall_detector.check(self.clock.now());
        let Dispatcher { arrival_times: estimator, discarded_bytes, .. } = &mut *dispatcher;
        let space = if self.has_overrun { &mut discarded_bytes[..] } else { self.buffer.unfilled() };
        match arrival::read_with_arrival_time(self.stream, space, self.clock, estimator, &mut self.drained_at)
        {
            Ok(Some((0, _))) | Err(_) => return false,
            Ok(Some((count, at))) => {
                if !self.has_overrun {
                    self.client.has_pipelined_bytes.set(self.client.open_query.get().is_some());
                    self.buffer.add_filled(count);
                    self.read_at = at;
                }
                dispatcher.counters.add("bytes_from_clients", count);
            }
            Ok(None) => {}
        }
        true
    }

    /// The number of the core to which this connection has to move: `None` if no connection is to be handed
    /// over, or this connection is not between two requests.
    fn core_to_move_to(&self) -> Option<usize> {
        let is_between_requests = self.client.open_query.get().is_none()
            && !self.has_output()
            && !self.is_unreadable
            && self.buffer.is_empty()
            && self.client.has_sent_request.get();
        if !is_between_requests {
            return None;
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        // During a shutdown, the other core may end before the connection reaches that core.
        if dispatcher.shutdown_phase > ShutdownPhase::Serving {
            return None;
        }
        let ClientHandover { to, connections } =
            dispatcher.handover.filter(|handover| handover.connections > 0)?;
        dispatcher.handover = Some(ClientHandover { to, connections: connections - 1 });
        Some(to)
    }

    /// Updates the times of the session's states at `now`, in seconds of the monotonic clock, and returns
    /// what the session is doing, from which the caller chooses the events to wait for.
    fn waiting(&mut self, now: f64) -> Waiting {
        let has_open_query = self.client.open_query.get().is_some();
        let is_writing = self.has_output();
        let is_idle = !has_open_query && !is_writing;
        let has_partial_request = is_idle && !self.buffer.is_empty();
        let times = &mut self.times;
        times.idle_since = since(times.idle_since, is_idle, now);
        times.partial_request_since = since(times.partial_request_since, has_partial_request, now);
        times.write_stalled_since = since(times.write_stalled_since, is_writing, now);
        self.client.idle_since.set(times.idle_since);
        self.client.has_partial_request.set(has_partial_request);
        let (deadline, has_room) = (self.deadline(), !self.buffer.unfilled().is_empty());
        let is_overdue = deadline <= now && !has_partial_request;
        let should_close = is_idle && (self.client.should_close() || is_overdue);
        Waiting { has_open_query, is_writing, has_partial_request, has_room, should_close, deadline }
    }

    /// When the session times out, in seconds of the monotonic clock. Guards against clients that send no
    /// request, leave a request incomplete or do not read their response.
    fn deadline(&self) -> f64 {
        if self.times.partial_request_since.is_some() && !self.client.has_sent_request.get() {
            return self.first_request_by;
        }
        let StateTimes { idle_since, partial_request_since, write_stalled_since } = self.times;
        let since = partial_request_since.or(idle_since).or(write_stalled_since);
        since.map_or(f64::INFINITY, |since| since + IDLE_TIMEOUT_S)
    }
}

/// Progress of writing a response.
enum Progress {
    /// There is no response to write.
    NothingToWrite,
    /// The socket's send buffer is full.
    Blocked,
    /// The whole response is written.
    Complete,
}

/// When a condition became true: `before`, or `now` if the condition was false until now; `None` if the
/// condition is false.
fn since(before: Option<f64>, holds: bool, now: f64) -> Option<f64> {
    holds.then(|| before.unwrap_or(now))
}
