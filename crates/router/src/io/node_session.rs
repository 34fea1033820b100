//! Serves a connection to a data node: connects, writes attempts, reads replies, and closes connections that are
//! idle, blocked or corrupted.
use super::{arrival, policy_loop, sleep_until};
use crate::state::DispatcherHandle;
use crate::state::descriptors::{DescriptorPermit, DescriptorPool};
use crate::state::node_connection::Dial;
use crate::state::node_connection::NodeConnection;
use crate::state::node_protocol::NodeReply;
use crate::wire::buffer::Buffer;
use crate::wire::{Fault, frames};
use alderway::interface::AttemptOutcome;
use alderway_sockets::Sender;
use alderway_telemetry::clock::Clock;
use std::cell::Cell;
use std::io;
use std::mem::replace;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// Why a connection was closed.
#[derive(Debug)]
enum CloseReason {
    /// The dispatcher has dropped the connection.
    Forgotten,
    /// The data node had closed the idle connection before the next attempt was written.
    EndedWhileIdle,
    /// The connection broke, or was closed so that the rest of a frame is not sent.
    CutOrBroken,
    /// The connection was idle, and its descriptor was needed for another one.
    Retired,
    /// The connection was idle for the idle timeout.
    Idle,
    /// The data node closed the connection.
    EndedByNode,
    /// The data node accepted no byte of a frame within the idle timeout.
    WriteTimeout,
    /// The data node sent a frame that cannot be used.
    Corrupted(CorruptedFrame),
}

impl CloseReason {
    /// The label of the counter `connection_closes`.
    fn label(&self) -> &'static str {
        match self {
            CloseReason::Forgotten => "forgotten",
            CloseReason::EndedWhileIdle => "ended_idle",
            CloseReason::CutOrBroken => "cut_or_broken",
            CloseReason::Retired => "retired",
            CloseReason::Idle => "idle",
            CloseReason::EndedByNode => "ended_by_node",
            CloseReason::WriteTimeout => "takes_nothing",
            CloseReason::Corrupted(_) => "spoilt",
        }
    }
}

/// A frame that cannot be used, with the shard request that it names, if the name could be read.
#[derive(Debug)]
struct CorruptedFrame {
    problem: Fault,
    shard_request: Option<String>,
}

impl CorruptedFrame {
    fn unnamed(problem: Fault) -> Self {
        CorruptedFrame { problem, shard_request: None }
    }
}

/// Connects to a data node, serves the connection until it ends, and reports its end to the dispatcher.
pub async fn run(dispatcher: DispatcherHandle, dial: Dial, descriptors: Arc<DescriptorPool>) {
    let Dial { node, connection, address } = dial;
    let dial_timeout = Duration::from_secs_f64(dispatcher.borrow().connection_config.dial_timeout_s);
    let is_short_of_resources = Cell::new(false);
    let connecting = connect(&dispatcher, address, &descriptors, &is_short_of_resources);
    match timeout(dial_timeout, connecting).await {
        // The stream is dropped before the permit: the permit must not be given to another connection before the
        // descriptor is closed.
        Ok(Ok((_permit, stream))) => {
            dispatcher.borrow_mut().counters.increment("connections{opened}");
            let reason = match NodeSession::open(&dispatcher, &node, connection, &stream) {
                Some(session) => session.run().await,
                None => CloseReason::Forgotten,
            };
            log_close(&dispatcher, &node, connection, &reason);
        }
        Ok(Err(_)) => dispatcher.borrow_mut().counters.increment("connections{refused}"),
        Err(_) if is_short_of_resources.get() => {
            // Guards against counting a shortage of this machine or program as a failure of the data node.
            dispatcher.borrow_mut().counters.increment("connections{short_of_resources}");
            dispatcher.borrow_mut().connection_not_opened(&node, connection);
        }
        Err(_) => dispatcher.borrow_mut().counters.increment("connections{dial_timed_out}"),
    }
    dispatcher.borrow_mut().connection_lost(&node, connection);
    policy_loop::send_queued_attempts(&dispatcher, &descriptors);
}

fn log_close(dispatcher: &DispatcherHandle, node: &str, connection: u64, reason: &CloseReason) {
    let mut dispatcher = dispatcher.borrow_mut();
    if let CloseReason::Corrupted(CorruptedFrame { problem, shard_request }) = reason {
        tracing::warn!(target: "frame", "node {node}: {problem}; its connection is closed");
        dispatcher.connection_corrupted(node, connection, shard_request.as_deref());
    }
    dispatcher.counters.increment("connections{closed}");
    dispatcher.counters.increment(&format!("connection_closes{{{}}}", reason.label()));
}

/// Waits for a descriptor, for which idle connections are closed if none is free, and connects.
/// `is_short_of_resources` is true while this machine or program lacks a resource for the connection.
async fn connect(
    dispatcher: &DispatcherHandle,
    address: SocketAddr,
    descriptors: &Arc<DescriptorPool>,
    is_short_of_resources: &Cell<bool>,
) -> io::Result<(DescriptorPermit, TcpStream)> {
    let mut waiter = None;
    let permit = loop {
        if let Some(permit) = descriptors.acquire() {
            break permit;
        }
        is_short_of_resources.set(true);
        dispatcher.borrow_mut().counters.increment("dials_short_of_descriptors");
        dispatcher.borrow_mut().endpoints.retire_longest_idle();
        // Guards against idle connections of other cores that hold all descriptors: while this waiter exists, those cores
        // close idle connections.
        waiter.get_or_insert_with(|| descriptors.pool.waits());
        descriptors.released.notified().await;
    };
    drop(waiter);
    is_short_of_resources.set(false);
    let stream = alderway_sockets::dial_telling(address, is_short_of_resources).await?;
    // Otherwise small frames would wait until earlier ones are acknowledged.
    stream.set_nodelay(true)?;
    Ok((permit, stream))
}

/// An open connection to a data node.
struct NodeSession<'a> {
    dispatcher: &'a DispatcherHandle,
    node: &'a str,
    connection: u64,
    stream: &'a TcpStream,
    clock: Clock,
    /// Notified when the dispatcher has a frame for this connection, or wants it closed.
    wake: Rc<Notify>,
    /// Time after which an idle connection is closed, in seconds.
    idle_timeout_s: f64,
    /// Time within which a reply has to be complete once its first byte has arrived, in seconds.
    answer_timeout_s: f64,
    incoming: Buffer,
    outgoing: Outgoing,
    /// When the connection is closed unless more of the current frame is written, in seconds of the clock; infinite
    /// where no frame is blocked.
    write_by: f64,
    /// When a partially received frame has to be complete, in seconds of the clock; infinite where there is none.
    read_by: f64,
    /// The last stall of this thread after which pending input was read.
    handled_stall: u64,
}

/// The frame that is being written, and totals of what was written.
#[derive(Default)]
struct Outgoing {
    sender: Sender,
    frame: Vec<u8>,
    /// Bytes of the frame that the socket has accepted.
    written_bytes: usize,
    /// Bytes of all frames that the socket has accepted.
    total_bytes: u64,
}

/// Progress of writing.
#[derive(Clone, Copy, PartialEq)]
enum WriteProgress {
    /// All frames are written.
    Complete,
    /// The socket accepts no more bytes for now.
    Blocked,
}

impl<'a> NodeSession<'a> {
    /// None where the dispatcher has dropped the connection.
    fn open(
        dispatcher: &'a DispatcherHandle,
        node: &'a str,
        connection: u64,
        stream: &'a TcpStream,
    ) -> Option<Self> {
        let mut state = dispatcher.borrow_mut();
        let (clock, config) = (state.clock, state.connection_config);
        let node_connection = state.endpoints.connection(node, connection)?;
        node_connection.is_up = true;
        let wake = node_connection.wake.clone();
        // Idle connections are closed one dial timeout before the data node closes them, but not before half its idle
        // timeout.
        let idle_timeout_s = (config.idle_timeout_s - config.dial_timeout_s).max(0.5 * config.idle_timeout_s);
        Some(NodeSession {
            dispatcher,
            node,
            connection,
            stream,
            clock,
            wake,
            idle_timeout_s,
            answer_timeout_s: config.dial_timeout_s,
            incoming: Buffer::new(frames::LONGEST + LENGTH_BYTES),
            outgoing: Outgoing::default(),
            write_by: f64::INFINITY,
            read_by: f64::INFINITY,
            handled_stall: 0,
        })
    }

    /// Writes frames and reads replies until the connection has to be closed; returns why.
    async fn run(mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.step().await {
                return reason;
            }
        }
    }

    async fn step(&mut self) -> Result<(), CloseReason> {
        self.read_pending_input_after_stall().await;
        self.check_still_open_before_reuse()?;
        let progress = self.write_frames()?;
        let idle_since = self.check_idle()?;
        let (clock, stream, wake) = (self.clock, self.stream, self.wake.clone());
        tokio::select! {
            ready = stream.readable() => {
                if ready.is_err() {
                    return Err(CloseReason::EndedByNode);
                }
                let frames = self.read()?;
                self.limit_incomplete_answer(frames);
            }
            () = self.outgoing.sender.ready(stream), if progress == WriteProgress::Blocked => {}
            () = sleep_until(clock, self.write_by), if self.write_by.is_finite() => {
                return Err(CloseReason::WriteTimeout);
            }
            () = sleep_until(clock, self.read_by), if self.read_by.is_finite() => {
                let problem = "a reply that is not complete in time";
                return Err(CloseReason::Corrupted(CorruptedFrame::unnamed(problem)));
            }
            () = wake.notified() => {}
            () = sleep_until(clock, idle_since.unwrap_or_default() + self.idle_timeout_s), if idle_since.is_some() => {}
        }
        Ok(())
    }

    /// Calls `act` on the state of this connection; none where the dispatcher has dropped the connection.
    fn with_state<T>(&self, act: impl FnOnce(&mut NodeConnection) -> T) -> Option<T> {
        self.dispatcher.borrow_mut().endpoints.connection(self.node, self.connection).map(act)
    }

    /// After this thread was suspended, lets other tasks read what has arrived meanwhile before an attempt starts. Guards
    /// against attempts for clients that have disconnected, or on data nodes that drain, while that news is still unread.
    async fn read_pending_input_after_stall(&mut self) {
        loop {
            let stall = {
                let mut dispatcher = self.dispatcher.borrow_mut();
                let now = dispatcher.clock.now();
                dispatcher.stall_detector.check(now)
            };
            if !self.with_state(|state| state.next_starts_attempts()).unwrap_or(false) {
                return;
            }
            if replace(&mut self.handled_stall, stall) == stall {
                return;
            }
            // The runtime polls the system for input and runs the tasks that receive it first.
            yield_now().await;
        }
    }

    /// Guards against writing an attempt to a connection that the data node has closed as idle: the attempt would
    /// count as possibly executed.
    fn check_still_open_before_reuse(&self) -> Result<(), CloseReason> {
        let is_reuse = self.with_state(|state| state.is_reuse_after_idle()).unwrap_or(false);
        if is_reuse && arrival::is_closed_by_peer(self.stream) {
            self.dispatcher.borrow_mut().requeue_unsent(self.node, self.connection);
            return Err(CloseReason::EndedWhileIdle);
        }
        Ok(())
    }

    /// Writes frames until none is left or the socket accepts no more bytes. Sets a deadline for a blocked frame, as
    /// a machine that has gone down never closes its connections.
    fn write_frames(&mut self) -> Result<WriteProgress, CloseReason> {
        let before = self.outgoing.total_bytes;
        let progress = self.write_until_blocked()?;
        if progress == WriteProgress::Complete {
            self.write_by = f64::INFINITY;
        } else if self.write_by.is_infinite() || self.outgoing.total_bytes != before {
            self.write_by = self.clock.now() + self.idle_timeout_s;
        }
        Ok(progress)
    }

    fn write_until_blocked(&mut self) -> Result<WriteProgress, CloseReason> {
        loop {
            // Guards against sending the rest of a frame after a query in it has got its final answer.
            if self.with_state(|state| state.is_aborted).unwrap_or(true) {
                return Err(CloseReason::CutOrBroken);
            }
            if self.outgoing.written_bytes == self.outgoing.frame.len() && !self.begin_next_frame() {
                return Ok(WriteProgress::Complete);
            }
            if self.write_some()? == 0 {
                return Ok(WriteProgress::Blocked);
            }
        }
    }

    /// Begins the next frame; false where there is none.
    fn begin_next_frame(&mut self) -> bool {
        let Outgoing { frame, written_bytes, .. } = &mut self.outgoing;
        let mut dispatcher = self.dispatcher.borrow_mut();
        if !frame.is_empty() {
            let now = dispatcher.clock.now();
            if let Some(state) = dispatcher.endpoints.connection(self.node, self.connection) {
                state.frame_written(now);
            }
            frame.clear();
            *written_bytes = 0;
        }
        dispatcher.next_frame(self.node, self.connection, frame)
    }

    /// Writes as much of the current frame as the socket accepts; returns the number of bytes.
    fn write_some(&mut self) -> Result<usize, CloseReason> {
        let (node, connection) = (self.node, self.connection);
        let Outgoing { sender, frame, written_bytes, total_bytes } = &mut self.outgoing;
        let count =
            sender.write(self.stream, &frame[*written_bytes..]).map_err(|_| CloseReason::CutOrBroken)?;
        let mut dispatcher = self.dispatcher.borrow_mut();
        let is_start = *written_bytes == 0;
        if count == 0 {
            if is_start {
                dispatcher.frame_not_started(node, connection);
                frame.clear();
            }
            return Ok(0);
        }
        if is_start {
            dispatcher.check_frame_started(node, connection);
        }
        *written_bytes += count;
        *total_bytes += count as u64;
        dispatcher.counters.add("bytes_to_nodes", count);
        Ok(count)
    }

    /// Returns since when the connection is idle, or an error where it was idle for too long or is retired.
    fn check_idle(&self) -> Result<Option<f64>, CloseReason> {
        let now = self.clock.now();
        let checked = self.with_state(|state| {
            let idle_since = state.idle_since();
            if !idle_since.is_some_and(|since| state.is_retired || since + self.idle_timeout_s <= now) {
                return Ok(idle_since);
            }
            let was_retired = replace(&mut state.is_retired, true);
            Err(if was_retired { CloseReason::Retired } else { CloseReason::Idle })
        });
        checked.unwrap_or(Err(CloseReason::Forgotten))
    }

    /// Reads once and handles the complete frames; returns how many there were. Reads no more than once, so that no
    /// data node can occupy the core.
    fn read(&mut self) -> Result<usize, CloseReason> {
        match alderway_sockets::read(self.stream, self.incoming.space()) {
            Ok(Some(0)) | Err(_) => return Err(CloseReason::EndedByNode),
            Ok(Some(count)) => {
                self.incoming.filled(count);
                self.dispatcher.borrow_mut().counters.add("bytes_from_nodes", count);
            }
            Ok(None) => return Ok(0),
        }
        let mut frames_read = 0;
        loop {
            let next = frames::next(self.incoming.data());
            let next = next.map_err(|problem| CloseReason::Corrupted(CorruptedFrame::unnamed(problem)))?;
            let Some((frame_type, body, used_bytes)) = next else { return Ok(frames_read) };
            self.receive(frame_type, body)?;
            self.incoming.used(used_bytes);
            frames_read += 1;
        }
    }

    fn receive(&self, frame_type: u8, body: &[u8]) -> Result<(), CloseReason> {
        match frame_type {
            b'R' => self.receive_reply(body).map_err(CloseReason::Corrupted),
            b'F' => {
                tracing::warn!(target: "frame", "node {}: it could not read a frame that this router sent", self.node);
                Err(CloseReason::EndedByNode)
            }
            // Answers to health checks, which this router does not send.
            b'H' | b'M' => Ok(()),
            _ => Err(CloseReason::Corrupted(CorruptedFrame::unnamed("a frame of an unknown type"))),
        }
    }

    fn receive_reply(&self, body: &[u8]) -> Result<(), CorruptedFrame> {
        let (shard_request, status, report, value) = frames::reply(body).map_err(CorruptedFrame::unnamed)?;
        let outcome = match status {
            "done" => AttemptOutcome::Success,
            "failed" => AttemptOutcome::Error,
            "full" => AttemptOutcome::Rejected,
            _ => {
                let shard_request = Some(shard_request.to_string());
                return Err(CorruptedFrame { problem: "a reply with an unknown status", shard_request });
            }
        };
        let mut dispatcher = self.dispatcher.borrow_mut();
        let report = frames::shard_report(report);
        let reply = NodeReply { request_id: shard_request, outcome, report, value };
        if !dispatcher.reply_received(self.node, self.connection, &reply) {
            return Err(CorruptedFrame::unnamed(
                "a reply to a shard request that was not sent on this connection",
            ));
        }
        Ok(())
    }

    /// Sets a deadline for a partially received reply. A data node writes each reply at once. Guards against a frame
    /// whose length is larger than its content: the attempts on the connection would wait for the rest, and the next
    /// reply would be read as that rest.
    fn limit_incomplete_answer(&mut self, frames_read: usize) {
        if self.incoming.is_empty() {
            self.read_by = f64::INFINITY;
        } else if frames_read > 0 || self.read_by.is_infinite() {
            self.read_by = self.clock.now() + self.answer_timeout_s;
        }
    }
}
