//! The drivers of the listener and of clients' connections.
use super::{arrival, until};
use crate::requests;
use crate::state::DispatcherHandle;
use crate::state::clients::ClientConnection;
use crate::state::descriptors::{DescriptorPermit, DescriptorPool};
use crate::state::dispatcher::ShutdownPhase;
use crate::state::shared::{CoreCommand, TransferredConnection};
use crate::wire::answer;
use crate::wire::buffer::Buffer;
use crate::wire::http::{MESSAGE, Messages, Refusal};
use alderway_sockets::Sender;
use alderway_telemetry::clock::Clock;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Between two tries where the system gives no descriptor, or all connections are busy.
const PAUSE: Duration = Duration::from_millis(10);
/// LATER: a connection with no open request on it may be closed after 2 s; whoever sends no request is owed an
/// error or a close within 3 s of connecting.
const IDLE: f64 = 2.0;
const OWED: f64 = 3.0;
/// How long a connection that this side ends waits for the client to end it too, so that what the client
/// still sends does not reset the answer on its way.
const LINGER: Duration = Duration::from_millis(500);

/// Where accepted connections go.
pub trait Door {
    /// Closes an idle connection, so that a descriptor comes free.
    fn make_room(&self);
    fn take(&self, stream: TcpStream, held: DescriptorPermit) -> impl Future<Output = ()>;
}

/// The door of a program on one core.
impl Door for DispatcherHandle {
    fn make_room(&self) {
        let (now, patience) = (self.borrow().clock.now(), self.borrow().connection_config.dial_timeout_s);
        self.borrow().clients.close_longest_idle(now, patience);
    }

    async fn take(&self, stream: TcpStream, held: DescriptorPermit) {
        drop(spawn_local(serve(self.clone(), stream, held, false)));
    }
}

/// Waits for a descriptor, for which idle connections make room.
async fn descriptor(door: &impl Door, share: &Arc<DescriptorPool>) -> DescriptorPermit {
    loop {
        if let Some(held) = share.acquire() {
            return held;
        }
        door.make_room();
        let _ = timeout(PAUSE, share.released.notified()).await;
    }
}

/// Accepts for as long as descriptors are left; idle connections make room. Ends with `close`, after taking
/// in all that the system had accepted by then, whether or not the runtime had been told of it.
pub async fn listen(door: impl Door, listener: TcpListener, share: Arc<DescriptorPool>, close: Rc<Notify>) {
    loop {
        let held = descriptor(&door, &share).await;
        let came = tokio::select! {
            biased;
            came = alderway_sockets::accept(&listener) => came,
            () = close.notified() => break,
        };
        match came {
            Ok((stream, _)) => door.take(stream, held).await,
            Err(why) => {
                tracing::warn!(target: "accept", "no connection accepted: {why}");
                sleep(PAUSE).await;
            }
        }
    }
    let Ok(listener) = listener.into_std() else { return };
    loop {
        let held = descriptor(&door, &share).await;
        match alderway_sockets::accept_waiting(&listener).await {
            Ok(Some(stream)) => door.take(stream, held).await,
            Ok(None) => return,
            Err(why) => return tracing::warn!(target: "accept", "the listener failed as it closed: {why}"),
        }
    }
}

/// A connection that comes from the lead, or from another core between two of its requests.
pub fn board(dispatcher: &DispatcherHandle, transferred: TransferredConnection) {
    let TransferredConnection { stream, permit: held, has_sent_request: used } = transferred;
    match TcpStream::from_std(stream) {
        Ok(stream) => drop(spawn_local(serve(dispatcher.clone(), stream, held, used))),
        Err(why) => tracing::warn!(target: "accept", "a connection could not be taken over: {why}"),
    }
}

/// How this side's part in a connection ends.
#[derive(Clone, Copy)]
enum End {
    /// The client has ended it, or it is broken.
    Left,
    /// The client takes no byte of an answer, or never brought a request.
    Gone(&'static str),
    /// This side ends it after an answer: what the client still sends must not reset that on its way.
    Closed,
    /// Another core goes on with it.
    Moves(usize),
}

impl End {
    /// How counters name it.
    fn reason(self) -> &'static str {
        match self {
            End::Left => "left",
            End::Gone(reason) => reason,
            End::Closed => "in_order",
            End::Moves(_) => "moved",
        }
    }
}

/// One connection from its first byte to its last.
async fn serve(dispatcher: DispatcherHandle, mut stream: TcpStream, mut held: DescriptorPermit, used: bool) {
    let _ = stream.set_nodelay(true);
    let arrive = || {
        let mut dispatcher = dispatcher.borrow_mut();
        let now = dispatcher.clock.now();
        dispatcher.clients.add(now)
    };
    if !used {
        dispatcher.borrow_mut().counters.increment("clients{accepted}");
    }
    let (mut id, mut client) = arrive();
    client.has_sent_request.set(used);
    let end = loop {
        let to = match converse(&dispatcher, &client, &stream).await {
            End::Moves(to) => to,
            end => break end,
        };
        // Nothing of it is open or read here: what the client sends next waits in the system for the new core.
        dispatcher.borrow_mut().clients.remove(id);
        let Ok(socket) = stream.into_std() else { return };
        let back = dispatcher.borrow().shared.send_command(
            to,
            CoreCommand::Serve(TransferredConnection {
                stream: socket,
                permit: held,
                has_sent_request: true,
            }),
        );
        let Err(CoreCommand::Serve(transferred)) = back else {
            return dispatcher.borrow_mut().counters.increment("clients{moved}");
        };
        let Ok(again) = TcpStream::from_std(transferred.stream) else { return };
        (stream, held) = (again, transferred.permit);
        (id, client) = arrive();
        client.has_sent_request.set(true);
        dispatcher.borrow_mut().handover = None;
    };
    if let Some(number) = client.open_query.get() {
        let mut dispatcher = dispatcher.borrow_mut();
        if !matches!(end, End::Left) {
            dispatcher.check_closed_connection(number);
        }
        dispatcher.client_disconnected(number);
    }
    client.idle_since.set(None);
    if matches!(end, End::Closed) && stream.shutdown().await.is_ok() {
        // As much as the longest request, so that nobody's endless body takes the core.
        let (mut rest, mut left) = ([0; 4096], MESSAGE);
        let _ = timeout(LINGER, async {
            while left > 0 && stream.readable().await.is_ok() {
                match alderway_sockets::read(&stream, &mut rest) {
                    Ok(Some(0)) | Err(_) => break,
                    Ok(Some(count)) => left = left.saturating_sub(count),
                    Ok(None) => {}
                }
            }
        })
        .await;
    }
    drop(stream);
    drop(held);
    let mut dispatcher = dispatcher.borrow_mut();
    dispatcher.clients.remove(id);
    dispatcher.counters.increment("clients{closed}");
    dispatcher.counters.increment(&format!("client_closes{{{}}}", end.reason()));
}

/// What a connection is in the midst of.
struct Talk<'a> {
    dispatcher: &'a DispatcherHandle,
    client: &'a Rc<ClientConnection>,
    stream: &'a TcpStream,
    buffer: Buffer,
    messages: Messages,
    /// Bytes of the present answer that are out.
    written: usize,
    /// No further request can be made out, or is waited for.
    lost: bool,
    /// More came behind an open query than is kept: what followed is gone, so nothing after it can be made out.
    overrun: bool,
    /// The client has been told to send the body of the present request.
    went_ahead: bool,
    /// When the last byte came.
    read_at: f64,
    /// When nothing of the connection was unread.
    quiet_at: f64,
    sender: Sender,
}

impl Talk<'_> {
    /// Takes the requests that have come, one at a time: the next waits unread until the answer is out.
    fn take_requests(&mut self) {
        while !self.lost && self.client.open_query.get().is_none() && self.client.output.borrow().is_empty() {
            match self.messages.find(&mut self.buffer) {
                Ok(true) => {
                    let (head, body) = self.messages.message(&self.buffer);
                    self.client.has_bytes_behind.set(self.buffer.data().len() > self.messages.end());
                    requests::take(self.dispatcher, self.client, head, body, self.read_at);
                    self.messages.done(&mut self.buffer);
                    self.client.has_sent_request.set(true);
                    self.went_ahead = false;
                }
                Ok(false) => {
                    if !self.went_ahead && self.messages.awaits_go_ahead(&self.buffer) {
                        self.went_ahead = true;
                        self.client.output.borrow_mut().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    if !self.overrun {
                        return;
                    }
                    self.lose("requests{too_many_at_once}", (400, "more came at once than is kept"));
                }
                Err(refusal) => self.lose("requests{unreadable}", refusal),
            }
        }
    }

    /// The last answer on this connection, as nothing more can be made out on it.
    fn lose(&mut self, counter: &str, refusal: Refusal) {
        self.dispatcher.borrow_mut().counters.increment(counter);
        answer::unreadable(&mut self.client.output.borrow_mut(), refusal);
        self.lost = true;
        self.client.close_after_answer.set(true);
    }

    /// Writes what the socket takes of an answer: goes on with whether all of it is out, or ends the
    /// connection.
    fn write(&mut self) -> ControlFlow<End, bool> {
        let mut out = self.client.output.borrow_mut();
        match self.sender.write(self.stream, &out[self.written..]) {
            Ok(count) => {
                self.written += count;
                self.dispatcher.borrow_mut().counters.add("bytes_to_clients", count);
            }
            Err(_) => return ControlFlow::Break(End::Left),
        }
        if self.written < out.len() {
            return ControlFlow::Continue(false);
        }
        out.clear();
        self.written = 0;
        if self.client.close_after_answer.get() && self.client.open_query.get().is_none() {
            return ControlFlow::Break(End::Closed);
        }
        ControlFlow::Continue(true)
    }

    /// Reads once what has come; false when the client has ended the connection. Guards against a client that sends
    /// more than is kept and goes, whose end stands behind it: past a full buffer what comes is read and dropped.
    fn read(&mut self, clock: Clock) -> bool {
        let mut dropped = [0; 4096];
        self.overrun |= self.buffer.space().is_empty();
        let space = if self.overrun { &mut dropped[..] } else { self.buffer.space() };
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.stall_detector.check(clock.now());
        match arrival::read(self.stream, space, clock, &mut dispatcher.arrival_times, &mut self.quiet_at) {
            Ok(Some((0, _))) | Err(_) => return false,
            Ok(Some((count, at))) => {
                if !self.overrun {
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
}

/// Reads requests and writes answers.
async fn converse(dispatcher: &DispatcherHandle, client: &Rc<ClientConnection>, stream: &TcpStream) -> End {
    let (clock, dial) = (dispatcher.borrow().clock, dispatcher.borrow().connection_config.dial_timeout_s);
    let (buffer, messages, accepted) = (Buffer::new(MESSAGE), Messages::default(), clock.now());
    let (written, lost, overrun, went_ahead) = (0, false, false, false);
    let mut talk = Talk {
        dispatcher,
        client,
        stream,
        buffer,
        messages,
        written,
        lost,
        overrun,
        went_ahead,
        read_at: accepted,
        // It may have waited for this side, but not for longer than a client is owed anything.
        quiet_at: accepted - OWED,
        sender: Sender::default(),
    };
    // Since when nothing is open here, a request is coming, and an answer has got no further.
    let (mut quiet, mut begun, mut stuck) = (None, None, None);
    loop {
        talk.take_requests();
        if !client.output.borrow().is_empty() {
            let before = talk.written;
            client.was_served.set(true);
            match talk.write() {
                ControlFlow::Break(end) => return end,
                ControlFlow::Continue(true) => continue,
                ControlFlow::Continue(false) if talk.written > before => stuck = None,
                ControlFlow::Continue(false) => {}
            }
        }
        let (open, writing) = (client.open_query.get().is_some(), !client.output.borrow().is_empty());
        let waiting = !open && !writing;
        let half_sent = waiting && !talk.buffer.is_empty();
        if waiting && !talk.lost && talk.buffer.is_empty() && client.has_sent_request.get() {
            let mut dispatcher = dispatcher.borrow_mut();
            // Guards against a connection that would reach a core as its stop ends.
            let stays = dispatcher.shutdown_phase > ShutdownPhase::Serving;
            if let Some((to, left)) = dispatcher.handover.filter(|(_, left)| *left > 0 && !stays) {
                dispatcher.handover = Some((to, left - 1));
                return End::Moves(to);
            }
        }
        let now = clock.now();
        let since = |mark: &mut Option<f64>, holds: bool| {
            *mark = holds.then(|| mark.unwrap_or(now));
            *mark
        };
        let (quiet, begun, stuck) =
            (since(&mut quiet, waiting), since(&mut begun, half_sent), since(&mut stuck, writing));
        client.idle_since.set(quiet);
        client.is_half_sent.set(half_sent);
        // Guards against connections that say nothing, send half a request, or read half an answer.
        let first = (accepted + OWED - dial).max(accepted + IDLE);
        let by = match begun {
            Some(_) if !client.has_sent_request.get() => first,
            Some(_) => begun.map_or(f64::INFINITY, |at| at + IDLE),
            None => quiet.or(stuck).map_or(f64::INFINITY, |at| at + IDLE),
        };
        let room = !talk.buffer.space().is_empty();
        let dismissed = client.should_close() || (by <= now && begun.is_none());
        tokio::select! {
            biased;
            _ = stream.readable(), if room || open => {
                if !talk.read(clock) {
                    return End::Left;
                }
            }
            () = talk.sender.ready(stream), if writing => {}
            () = client.wake.notified() => {}
            () = std::future::ready(()), if waiting && dismissed => {
                // Guards against closing on a request that has come and is not read yet: it counts as taken.
                if !room || !arrival::waits(stream) {
                    return if client.has_sent_request.get() { End::Closed } else { End::Gone("never_asked") };
                }
                yield_now().await;
            }
            () = until(clock, by), if by.is_finite() && !(waiting && dismissed) => {
                if writing {
                    return End::Gone("reads_nothing");
                }
                if half_sent {
                    talk.lose("requests{half_sent}", (408, "the request did not come in time"));
                }
            }
        }
    }
}
