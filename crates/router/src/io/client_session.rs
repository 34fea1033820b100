//! Serves a client's connection: reads requests one at a time, writes answers, and closes connections that send no
//! request, leave a request incomplete or do not read their answer.
use super::{arrival, sleep_until};
use crate::requests;
use crate::state::DispatcherHandle;
use crate::state::clients::{ClientConnection, CloseRequest};
use crate::state::descriptors::DescriptorPermit;
use crate::state::dispatcher::Handover;
use crate::state::shared::{CoreCommand, TransferredConnection};
use crate::state::shutdown_phase::ShutdownPhase;
use crate::wire::answer;
use crate::wire::buffer::Buffer;
use crate::wire::http::{MESSAGE, Messages, Refusal};
use alderway_sockets::Sender;
use alderway_telemetry::clock::Clock;
use std::future::ready;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// The client protocol allows to close a connection that has had no open request for 2 s.
const IDLE_TIMEOUT_S: f64 = 2.0;
/// The client protocol requires an error response or a close within 3 s of connecting, for a client that sends no
/// complete request.
const FIRST_REQUEST_TIMEOUT_S: f64 = 3.0;
/// How long to wait for the client to close a connection after the router has closed its sending side. Bytes that
/// arrive at a closed socket would make the system reset the connection before the client has read the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer for bytes that are read and dropped.
const DISCARD_BYTES: usize = 4096;

/// Why a session on this core ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The client closed the connection, or it broke.
    ClientDisconnected,
    /// The client never sent a request.
    NoRequest,
    /// The client does not read its answer.
    AnswerNotRead,
    /// The router closes the connection after an answer, and lingers until the client has read it.
    AfterAnswer,
    /// The connection moves to the core with this number.
    MovesTo(usize),
}

impl CloseReason {
    /// The label of the counter `client_closes`.
    fn label(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "left",
            CloseReason::NoRequest => "never_asked",
            CloseReason::AnswerNotRead => "reads_nothing",
            CloseReason::AfterAnswer => "in_order",
            CloseReason::MovesTo(_) => "moved",
        }
    }
}

/// Serves one connection on this core until it ends or moves to another core.
pub async fn serve(
    dispatcher: DispatcherHandle,
    mut stream: TcpStream,
    mut permit: DescriptorPermit,
    has_sent_request: bool,
) {
    // Not fatal: without this option small answers are delayed.
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
        // No request is open and no byte is buffered here: the new core reads whatever the client sends next.
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
    // The stream is dropped first: the permit must not be given to another connection before its descriptor is closed.
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

/// Hands a connection over to another core. Returns the connection if that core accepts none.
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
        dispatcher.check_closed_connection(query);
    }
    dispatcher.client_disconnected(query);
}

/// Closes the sending side and reads until the client closes its own. Reads at most as many bytes as the longest
/// request may have, so that a client that never stops sending cannot occupy the core.
async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let (mut discarded, mut remaining_bytes) = ([0; DISCARD_BYTES], MESSAGE);
    let discard = async {
        while remaining_bytes > 0 && stream.readable().await.is_ok() {
            match alderway_sockets::read(stream, &mut discarded) {
                Ok(Some(0)) | Err(_) => break,
                Ok(Some(count)) => remaining_bytes = remaining_bytes.saturating_sub(count),
                Ok(None) => {}
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}

/// Since when a session has been in states that may last for a limited time only, in seconds of the clock.
#[derive(Default)]
struct StateTimes {
    /// Since when no query is open and no answer has to be written.
    idle_since: Option<f64>,
    /// Since when a request is incomplete.
    partial_request_since: Option<f64>,
    /// Since when the client has read no byte of an answer.
    write_stalled_since: Option<f64>,
}

/// What a session waits for.
struct Waiting {
    has_open_query: bool,
    is_writing: bool,
    has_partial_request: bool,
    /// No query is open, and no answer has to be written.
    is_idle: bool,
    /// When the session ends unless the client sends or reads more; infinite while a query is open.
    deadline: f64,
}

/// A connection while this core serves it: its unread bytes, and the progress of the current request and answer.
struct ClientSession<'a> {
    dispatcher: &'a DispatcherHandle,
    client: &'a Rc<ClientConnection>,
    stream: &'a TcpStream,
    clock: Clock,
    buffer: Buffer,
    messages: Messages,
    sender: Sender,
    /// Bytes of the current answer that the socket has accepted.
    written_bytes: usize,
    /// No further request can be parsed, or none is expected.
    is_unreadable: bool,
    /// More bytes arrived behind an open query than the buffer holds. The rest was dropped, so no request after it can be
    /// parsed.
    has_overrun: bool,
    /// `100 Continue` was sent for the current request.
    has_sent_continue: bool,
    /// When the first request has to be complete, in seconds of the clock.
    first_request_by: f64,
    /// When the last byte arrived, in seconds of the clock.
    read_at: f64,
    /// When the connection last had no unread bytes, in seconds of the clock.
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
        // The error for an incomplete request has to reach the client in time: the dial timeout is taken as the
        // longest delay of its network.
        let network_s = dispatcher.borrow().connection_config.dial_timeout_s;
        let error_by = accepted_at + FIRST_REQUEST_TIMEOUT_S - network_s;
        ClientSession {
            dispatcher,
            client,
            stream,
            clock,
            buffer: Buffer::new(MESSAGE),
            messages: Messages::default(),
            sender: Sender::default(),
            written_bytes: 0,
            is_unreadable: false,
            has_overrun: false,
            has_sent_continue: false,
            first_request_by: error_by.max(accepted_at + IDLE_TIMEOUT_S),
            read_at: accepted_at,
            // Bytes may have arrived before the connection was accepted, but a client waits no longer than this.
            drained_at: accepted_at - FIRST_REQUEST_TIMEOUT_S,
            times: StateTimes::default(),
        }
    }

    /// Reads requests and writes answers until the session ends; returns why.
    async fn run(mut self) -> CloseReason {
        let (client, stream, clock) = (self.client, self.stream, self.clock);
        loop {
            self.handle_requests();
            match self.write_answer() {
                ControlFlow::Break(reason) => return reason,
                ControlFlow::Continue(Progress::Complete) => continue,
                ControlFlow::Continue(Progress::Blocked | Progress::NothingToWrite) => {}
            }
            if let Some(core) = self.core_to_move_to() {
                return CloseReason::MovesTo(core);
            }
            let now = clock.now();
            let waiting = self.waiting(now);
            let has_room = !self.buffer.space().is_empty();
            let is_overdue = waiting.deadline <= now && !waiting.has_partial_request;
            let should_close = waiting.is_idle && (client.should_close() || is_overdue);
            tokio::select! {
                biased;
                _ = stream.readable(), if has_room || waiting.has_open_query => {
                    if !self.read() {
                        return CloseReason::ClientDisconnected;
                    }
                }
                () = self.sender.ready(stream), if waiting.is_writing => {}
                () = client.wake.notified() => {}
                () = ready(()), if should_close => {
                    // Guards against closing a connection with an unread request, which the router has to answer.
                    if !has_room || !arrival::has_unread_bytes(stream) {
                        if !self.must_reject_partial_request() {
                            return self.closed_while_idle();
                        }
                        self.reject_unreadable("requests{half_sent}", (503, "not served any more"));
                    }
                    yield_now().await;
                }
                () = sleep_until(clock, waiting.deadline), if waiting.deadline.is_finite() && !should_close => {
                    if waiting.is_writing {
                        return CloseReason::AnswerNotRead;
                    }
                    if waiting.has_partial_request {
                        let refusal = (408, "the request did not come in time");
                        self.reject_unreadable("requests{half_sent}", refusal);
                    }
                }
            }
        }
    }

    /// Whether an incomplete request has to be rejected because the program or its core ends. Guards against a client
    /// that completes its request at the last moment and never gets an answer.
    fn must_reject_partial_request(&self) -> bool {
        self.client.is_half_sent.get() && self.client.close_request.get() == CloseRequest::AtProgramEnd
    }

    fn closed_while_idle(&self) -> CloseReason {
        if self.client.has_sent_request.get() { CloseReason::AfterAnswer } else { CloseReason::NoRequest }
    }

    /// Handles the requests in the buffer one at a time: the next is not parsed before the answer is written.
    fn handle_requests(&mut self) {
        while !self.is_unreadable && self.client.open_query.get().is_none() && !self.has_output() {
            match self.messages.find(&mut self.buffer) {
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

    /// Whether bytes wait to be written, including those of a response that is not encoded yet.
    fn has_output(&self) -> bool {
        answer::encode_pending(self.client);
        !self.client.output.borrow().is_empty()
    }

    fn handle_request(&mut self) {
        let (head, body) = self.messages.message(&self.buffer);
        let has_bytes_behind = self.buffer.data().len() > self.messages.end();
        self.client.has_bytes_behind.set(has_bytes_behind);
        requests::handle(self.dispatcher, self.client, head, body, self.read_at);
        self.messages.done(&mut self.buffer);
        self.client.has_sent_request.set(true);
        self.has_sent_continue = false;
    }

    fn send_continue_if_awaited(&mut self) {
        if !self.has_sent_continue && self.messages.awaits_go_ahead(&self.buffer) {
            self.has_sent_continue = true;
            self.client.output.borrow_mut().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /// Writes an error as the last answer of this connection, on which no further request can be parsed.
    fn reject_unreadable(&mut self, counter: &str, refusal: Refusal) {
        self.dispatcher.borrow_mut().counters.increment(counter);
        answer::unreadable(&mut self.client.output.borrow_mut(), refusal);
        self.is_unreadable = true;
        self.client.close_after_answer.set(true);
    }

    /// Writes as much of the answer as the socket accepts, if there is an answer.
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
        if self.client.close_after_answer.get() && self.client.open_query.get().is_none() {
            return ControlFlow::Break(CloseReason::AfterAnswer);
        }
        ControlFlow::Continue(Progress::Complete)
    }

    /// Reads once; false when the client has closed the connection. Once the buffer is full, further bytes are read and
    /// dropped. Guards against missing the close of a client that sends more than the buffer holds and then leaves.
    fn read(&mut self) -> bool {
        let mut discarded = [0; DISCARD_BYTES];
        self.has_overrun |= self.buffer.space().is_empty();
        let space = if self.has_overrun { &mut discarded[..] } else { self.buffer.space() };
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.stall_detector.check(self.clock.now());
        let estimator = &mut dispatcher.arrival_times;
        match arrival::read_with_arrival_time(self.stream, space, self.clock, estimator, &mut self.drained_at)
        {
            Ok(Some((0, _))) | Err(_) => return false,
            Ok(Some((count, at))) => {
                if !self.has_overrun {
                    self.client.has_bytes_behind.set(self.client.open_query.get().is_some());
                    self.buffer.filled(count);
                    self.read_at = at;
                }
                dispatcher.counters.add("bytes_from_clients", count);
            }
            Ok(None) => {}
        }
        true
    }

    /// The core to which this connection has to move, if connections are being handed over and this one is between two
    /// requests.
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
        // Guards against a connection that would reach another core after that has shut down.
        if dispatcher.shutdown_phase > ShutdownPhase::Serving {
            return None;
        }
        let Handover { to, connections } = dispatcher.handover.filter(|handover| handover.connections > 0)?;
        dispatcher.handover = Some(Handover { to, connections: connections - 1 });
        Some(to)
    }

    /// What the session waits for, and until when.
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
        self.client.is_half_sent.set(has_partial_request);
        Waiting { has_open_query, is_writing, has_partial_request, is_idle, deadline: self.deadline() }
    }

    /// When the session times out. Guards against connections that send no request, leave a request incomplete, or do
    /// not read their answer.
    fn deadline(&self) -> f64 {
        if self.times.partial_request_since.is_some() && !self.client.has_sent_request.get() {
            return self.first_request_by;
        }
        let StateTimes { idle_since, partial_request_since, write_stalled_since } = self.times;
        let since = partial_request_since.or(idle_since).or(write_stalled_since);
        since.map_or(f64::INFINITY, |since| since + IDLE_TIMEOUT_S)
    }
}

/// Progress of writing an answer.
enum Progress {
    /// There is no answer to write.
    NothingToWrite,
    /// The socket accepts no more bytes for now.
    Blocked,
    /// The whole answer is written.
    Complete,
}

/// Since when a condition holds: `before`, or now if it did not hold before. None if it does not hold.
fn since(before: Option<f64>, holds: bool, now: f64) -> Option<f64> {
    holds.then(|| before.unwrap_or(now))
}
