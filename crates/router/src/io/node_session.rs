//! Serves one connection to a data node: connects, writes frames with attempts, and reads reply frames.
//! Closes the connection if it is idle for too long, if the data node does not read, or if a received frame
//! is malformed. An attempt is one transmission of a shard request to one data node; a frame is a message
//! with a length prefix. A retired connection takes no new attempts and closes when it is idle. A stall is a
//! time in which the operating system did not run this thread.
mod close_reason;
mod outgoing;

use super::{arrival, policy_loop, sleep_until};
use crate::state::DispatcherHandle;
use crate::state::descriptors::{DescriptorPermit, DescriptorPool};
use crate::state::dispatcher::DeliveryCheck;
use crate::state::node_connection::DialRequest;
use crate::state::node_connection::NodeConnection;
use crate::state::node_protocol::NodeReply;
use crate::wire::buffer::ReadBuffer;
use crate::wire::frames;
use alderway::interface::AttemptOutcome;
use alderway_sockets::Turns;
use alderway_telemetry::clock::Clock;
use close_reason::{CloseReason, CorruptedFrame};
use outgoing::Outgoing;
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

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Time between two checks of a connection with frames that have not arrived completely, in seconds.
const DELIVERY_CHECK_INTERVAL_S: f64 = 0.02;

/// Largest number of received frames that are handled in one step of a session.
const MAX_FRAMES_PER_STEP: usize = 32;

/// Connects to a data node, serves the connection until it closes, and reports the close to the dispatcher.
pub async fn run(dispatcher: DispatcherHandle, dial: DialRequest, descriptors: Arc<DescriptorPool>) {
    let DialRequest { node, connection, address } = dial;
    let dial_timeout = Duration::from_secs_f64(dispatcher.borrow().connection_config.dial_timeout_s);
    let is_short_of_resources = Cell::new(false);
    let connecting = connect(&dispatcher, address, &descriptors, &is_short_of_resources);
    match timeout(dial_timeout, connecting).await {
        // The stream is dropped before its permit: another connection may use the permit only once this file
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
            // Connecting timed out because this machine lacks descriptors, ports or buffers, which is not a
            // failure of the data node.
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
        tracing::warn!(target: "frame", "data node {node}: {problem}; its connection is closed");
        dispatcher.connection_corrupted(node, connection, shard_request.as_deref());
    }
    dispatcher.counters.increment("connections{closed}");
    dispatcher.counters.increment(&format!("connection_closes{{{}}}", reason.label()));
}

/// Waits for a free file descriptor and connects to a data node. While no descriptor is free, closes idle
/// connections to data nodes. Sets `is_short_of_resources` to true while the connection waits for a
/// descriptor, port or buffer of this machine.
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
        // A registered waiter marks the pool of descriptors, which all cores share, as exhausted. While a
        // waiter is registered, each core closes its longest idle connection to a data node at its heartbeat,
        // as the idle connections of other cores may hold all descriptors. Dropping the waiter unregisters
        // it.
        waiter.get_or_insert_with(|| descriptors.pool.register_waiter());
        descriptors.released.notified().await;
    };
    drop(waiter);
    is_short_of_resources.set(false);
    let stream = alderway_sockets::dial_telling(address, is_short_of_resources).await?;
    // Without this option, a small frame would wait until the data node has acknowledged earlier frames.
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
    /// Notified when the dispatcher has a frame for this connection, or requests its close.
    wake: Rc<Notify>,
    /// Time after which an idle connection is closed, and after which a connection is closed whose current
    /// frame makes no progress, in seconds.
    idle_timeout_s: f64,
    /// Timeout from the first byte of a reply until the reply is complete, in seconds.
    answer_timeout_s: f64,
    incoming: ReadBuffer,
    outgoing: Outgoing,
    /// Deadline for writing more of the current frame, in seconds of the monotonic clock; infinite if no
    /// frame is blocked.
    write_by: f64,
    /// When to check next whether the frames with attempts have arrived, in seconds of the monotonic clock;
    /// infinite if all have.
    check_delivery_at: f64,
    /// Deadline for receiving the rest of a partly received frame, in seconds of the monotonic clock;
    /// infinite if there is no such frame.
    read_by: f64,
    /// Whether complete frames may have been read that are not handled yet.
    has_unhandled_frames: bool,
    /// The stall count, from [`StallDetector`](crate::state::stall_detector::StallDetector), of the last
    /// stall after which pending input was read.
    handled_stall: u64,
}

/// What a session has waited for.
enum SessionEvent {
    /// The socket has bytes to read, or the connection has ended.
    Readable,
    /// No more of the current frame could be written in time.
    WriteTimeout,
    /// The rest of a partly received frame has not arrived in time.
    ReadTimeout,
    /// Something else has to be looked at: a frame to write, a check that is due, or a connection that is idle.
    Woken,
}

/// Progress of writing frames to a data node.
#[derive(Clone, Copy, PartialEq)]
enum WriteProgress {
    /// All frames are written.
    Complete,
    /// The socket's send buffer is full.
    Blocked,
}

impl<'a> NodeSession<'a> {
    /// Creates the session of an established connection; `None` if the dispatcher has removed the connection.
    fn open(
        dispatcher: &'a DispatcherHandle,
        node: &'a str,
        connection: u64,
        stream: &'a TcpStream,
    ) -> Option<Self> {
        let mut state = dispatcher.borrow_mut();
        let (clock, config) = (state.clock, state.connection_config);
        let node_connection = state.endpoints.connection(node, connection)?;
        node_connection.is_open = true;
        let wake = node_connection.wake.clone();
        // The router closes an idle connection before the data node would: earlier by the timeout for
        // connecting, but not before half of the data node's idle timeout.
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
            incoming: ReadBuffer::new(frames::MAX_FRAME_BYTES + LENGTH_BYTES),
            outgoing: Outgoing::default(),
            write_by: f64::INFINITY,
            check_delivery_at: f64::INFINITY,
            read_by: f64::INFINITY,
            has_unhandled_frames: false,
            handled_stall: 0,
        })
    }

    /// Writes frames and reads replies until the connection has to be closed; returns the reason.
    async fn run(mut self) -> CloseReason {
        let mut turns = self.dispatcher.borrow().turn_queue.turns();
        loop {
            turns.give_way().await;
            if let Err(reason) = self.step(&mut turns).await {
                self.discard_cancelled();
                return reason;
            }
        }
    }

    async fn step(&mut self, turns: &mut Turns) -> Result<(), CloseReason> {
        self.read_pending_input_after_stall().await;
        self.check_still_open_before_reuse()?;
        self.check_delivery()?;
        let progress = self.write_frames()?;
        let idle_since = self.check_idle()?;
        if self.has_unhandled_frames {
            return self.handle_frames().map(drop);
        }
        match turns.wait(self.next_event(progress, idle_since)).await {
            SessionEvent::Readable => {
                self.read()?;
                self.handle_frames().map(drop)
            }
            SessionEvent::WriteTimeout => Err(CloseReason::WriteTimeout),
            SessionEvent::ReadTimeout => {
                // The rest may have arrived in time, and this thread may not have run since.
                self.read()?;
                if self.handle_frames()? > 0 {
                    return Ok(());
                }
                let problem = "a reply was not complete in time";
                Err(CloseReason::Corrupted(CorruptedFrame::unnamed(problem)))
            }
            SessionEvent::Woken => Ok(()),
        }
    }

    /// Waits for the next event. `idle_since` is when the connection became idle, if it is.
    async fn next_event(&self, progress: WriteProgress, idle_since: Option<f64>) -> SessionEvent {
        let (clock, idle_until) = (self.clock, idle_since.unwrap_or_default() + self.idle_timeout_s);
        tokio::select! {
            _ = self.stream.readable() => SessionEvent::Readable,
            () = self.outgoing.sender.ready(self.stream), if progress == WriteProgress::Blocked => SessionEvent::Woken,
            () = sleep_until(clock, self.write_by), if self.write_by.is_finite() => SessionEvent::WriteTimeout,
            () = sleep_until(clock, self.check_delivery_at), if self.check_delivery_at.is_finite() => {
                SessionEvent::Woken
            }
            () = sleep_until(clock, self.read_by), if self.read_by.is_finite() => SessionEvent::ReadTimeout,
            () = self.wake.notified() => SessionEvent::Woken,
            () = sleep_until(clock, idle_until), if idle_since.is_some() => SessionEvent::Woken,
        }
    }

    /// Calls `act` on the dispatcher's state of this connection; returns `None` if the dispatcher has removed
    /// the connection.
    fn with_state<T>(&self, act: impl FnOnce(&mut NodeConnection) -> T) -> Option<T> {
        self.dispatcher.borrow_mut().endpoints.connection(self.node, self.connection).map(act)
    }

    /// After a stall of this thread, yields to the thread's other tasks, which read their sockets, before
    /// this connection writes an attempt. Guards against sending an attempt although the kernel has already
    /// received the disconnect of the attempt's client, or the message from discovery that the data node is
    /// draining.
    async fn read_pending_input_after_stall(&mut self) {
        loop {
            let stall = {
                let mut dispatcher = self.dispatcher.borrow_mut();
                let now = dispatcher.clock.now();
                dispatcher.stall_detector.check(now)
            };
            if !self.with_state(|state| state.next_sends_attempts()).unwrap_or(false) {
                return;
            }
            if replace(&mut self.handled_stall, stall) == stall {
                return;
            }
            // Yielding lets the runtime poll the sockets, and run the tasks that have input, before this
            // task.
            yield_now().await;
        }
    }

    /// Before an idle connection is reused, returns an error if the data node has closed the connection.
    /// Guards against writing an attempt to a closed connection: the attempt would count as possibly
    /// executed.
    fn check_still_open_before_reuse(&self) -> Result<(), CloseReason> {
        let is_reuse = self.with_state(|state| state.will_reuse_after_idle()).unwrap_or(false);
        if is_reuse && arrival::is_closed_by_peer(self.stream) {
            self.dispatcher.borrow_mut().requeue_unsent(self.node, self.connection);
            return Err(CloseReason::EndedWhileIdle);
        }
        Ok(())
    }

    /// Checks whether the frames that were written have arrived. Returns an error if a frame must not arrive
    /// any more; the close of the connection then makes the kernel discard the frame's bytes.
    fn check_delivery(&mut self) -> Result<(), CloseReason> {
        if self.clock.now() < self.check_delivery_at {
            return Ok(());
        }
        let delivery = self.outgoing.delivery(self.stream);
        let mut dispatcher = self.dispatcher.borrow_mut();
        let check = dispatcher.check_delivery(self.node, self.connection, delivery);
        if check == DeliveryCheck::Discard {
            // On failure the close sends the bytes; nothing more can be done about them.
            let _ = self.stream.set_zero_linger();
            dispatcher.discard_undelivered(self.node, self.connection);
            return Err(CloseReason::Undelivered);
        }
        let is_pending = check == DeliveryCheck::Pending || self.outgoing.is_partly_written();
        let next_s = self.clock.now() + DELIVERY_CHECK_INTERVAL_S;
        self.check_delivery_at = if is_pending { next_s } else { f64::INFINITY };
        Ok(())
    }

    /// Called before the connection closes. If a cancelled attempt has not arrived yet, makes the close reset
    /// the connection. Otherwise the kernel would go on sending the attempt after the close.
    fn discard_cancelled(&self) {
        let delivery = self.outgoing.delivery(self.stream);
        if self.with_state(|state| state.undelivered.has_cancelled(delivery)).unwrap_or(false) {
            let _ = self.stream.set_zero_linger();
        }
    }

    /// Writes frames until none is left or the socket's send buffer is full. Sets a deadline for a blocked
    /// frame, because a machine that has crashed never closes its connections.
    fn write_frames(&mut self) -> Result<WriteProgress, CloseReason> {
        let before = self.outgoing.total_bytes;
        let progress = self.write_until_blocked()?;
        if self.outgoing.total_bytes != before {
            self.check_delivery_at = self.check_delivery_at.min(self.clock.now() + DELIVERY_CHECK_INTERVAL_S);
        }
        if progress == WriteProgress::Complete {
            self.write_by = f64::INFINITY;
        } else if self.write_by.is_infinite() || self.outgoing.total_bytes != before {
            self.write_by = self.clock.now() + self.idle_timeout_s;
        }
        Ok(progress)
    }

    fn write_until_blocked(&mut self) -> Result<WriteProgress, CloseReason> {
        loop {
            // The rest of a frame is left out if an attempt of the frame has ended while the frame was partly
            // written, for example because its query has been answered, or has lost its permission.
            if self.outgoing.is_partly_written()
                && !self.dispatcher.borrow_mut().may_continue_frame(self.node, self.connection)
            {
                self.outgoing.clear_frame();
            }
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

    /// Begins the next frame; returns false if there is no frame to write.
    fn begin_next_frame(&mut self) -> bool {
        let mut dispatcher = self.dispatcher.borrow_mut();
        if !self.outgoing.frame.is_empty() {
            dispatcher.check_written_attempts(self.node, self.connection);
            let now = dispatcher.clock.now();
            if let Some(state) = dispatcher.endpoints.connection(self.node, self.connection) {
                state.frame_written(now, self.outgoing.total_bytes);
            }
            self.outgoing.clear_frame();
        }
        dispatcher.encode_next_frame(self.node, self.connection, &mut self.outgoing.frame)
    }

    /// Writes as much of the current frame as the socket accepts; returns the number of bytes written.
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
            dispatcher.check_started_attempts(node, connection);
        }
        *written_bytes += count;
        *total_bytes += count as u64;
        dispatcher.counters.add("bytes_to_nodes", count);
        Ok(count)
    }

    /// Returns when the connection became idle, in seconds of the monotonic clock, or `None` if the
    /// connection is in use. Returns an error if the connection was idle for longer than `idle_timeout_s`,
    /// was retired and is idle, or was removed from the dispatcher's state.
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

    /// Reads from the socket once.
    fn read(&mut self) -> Result<(), CloseReason> {
        match alderway_sockets::read(self.stream, self.incoming.unfilled()) {
            Ok(Some(0)) | Err(_) => return Err(CloseReason::EndedByNode),
            Ok(Some(count)) => {
                self.incoming.add_filled(count);
                self.dispatcher.borrow_mut().counters.add("bytes_from_nodes", count);
            }
            Ok(None) => {}
        }
        Ok(())
    }

    /// Handles the complete frames that have been read, but at most [`MAX_FRAMES_PER_STEP`] of them, so that a
    /// data node that sends many cannot occupy the core. Returns their number.
    fn handle_frames(&mut self) -> Result<usize, CloseReason> {
        let mut handled_frames = 0;
        while handled_frames < MAX_FRAMES_PER_STEP {
            let next = frames::read_frame(self.incoming.data());
            let next = next.map_err(|problem| CloseReason::Corrupted(CorruptedFrame::unnamed(problem)))?;
            let Some((frame_type, body, used_bytes)) = next else { break };
            self.receive(frame_type, body)?;
            self.incoming.consume(used_bytes);
            handled_frames += 1;
        }
        self.has_unhandled_frames = handled_frames == MAX_FRAMES_PER_STEP;
        self.limit_incomplete_answer(handled_frames);
        Ok(handled_frames)
    }

    fn receive(&self, frame_type: u8, body: &[u8]) -> Result<(), CloseReason> {
        match frame_type {
            b'R' => self.receive_reply(body).map_err(CloseReason::Corrupted),
            b'F' => {
                tracing::warn!(target: "frame", "data node {} could not read a frame that this router sent; its connection is closed", self.node);
                Err(CloseReason::EndedByNode)
            }
            // Replies to health checks are ignored, because this router sends no health checks.
            b'H' | b'M' => Ok(()),
            _ => Err(CloseReason::Corrupted(CorruptedFrame::unnamed("a frame of an unknown type"))),
        }
    }

    fn receive_reply(&self, body: &[u8]) -> Result<(), CorruptedFrame> {
        let (shard_request, status, report, value) =
            frames::parse_reply(body).map_err(CorruptedFrame::unnamed)?;
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
        let report = frames::parse_shard_report(report);
        let reply = NodeReply { request_id: shard_request, outcome, report, value };
        if !dispatcher.reply_received(self.node, self.connection, &reply) {
            return Err(CorruptedFrame::unnamed(
                "a reply to a shard request that was not sent on this connection",
            ));
        }
        Ok(())
    }

    /// Sets a deadline for the rest of a partly received reply. The deadline may be short, as data nodes
    /// write each reply in one piece. Guards against a frame whose length prefix is larger than its content:
    /// the attempts on the connection would wait for the missing bytes, and the next reply would be read as
    /// part of this one.
    fn limit_incomplete_answer(&mut self, frames_read: usize) {
        if self.incoming.is_empty() {
            self.read_by = f64::INFINITY;
        } else if frames_read > 0 || self.read_by.is_infinite() {
            self.read_by = self.clock.now() + self.answer_timeout_s;
        }
    }
}
