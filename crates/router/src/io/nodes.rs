//! The driver of one connection to a data node.
use super::{arrival, rounds, until};
use crate::state::DispatcherHandle;
use crate::state::descriptors::{DescriptorPermit, DescriptorPool};
use crate::state::dispatcher::Dial;
use crate::wire::buffer::Buffer;
use crate::wire::{Fault, frames};
use alderway::interface::AttemptOutcome;
use alderway_sockets::Sender;
use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Why an answer cannot be used, and the part that it names.
type Spoilt = (Fault, Option<String>);

/// Dials, speaks until the connection ends, and gives everything back.
pub async fn run(dispatcher: DispatcherHandle, dial: Dial, share: Arc<DescriptorPool>) {
    let Dial { node, connection: line, address } = dial;
    let limit = Duration::from_secs_f64(dispatcher.borrow().connection_config.dial_timeout_s);
    let short = Cell::new(false);
    match timeout(limit, connect(&dispatcher, address, &share, &short)).await {
        // In this order: the stream closes before its share is given back, or another takes that in between.
        Ok(Ok((_held, stream))) => {
            dispatcher.borrow_mut().counters.increment("connections{opened}");
            let reason = match speak(&dispatcher, &node, line, &stream).await {
                Ok(reason) => reason,
                Err((why, part)) => {
                    tracing::warn!(target: "frame", "node {node}: {why}; its connection is closed");
                    dispatcher.borrow_mut().connection_corrupted(&node, line, part.as_deref());
                    "spoilt"
                }
            };
            let mut dispatcher = dispatcher.borrow_mut();
            dispatcher.counters.increment("connections{closed}");
            dispatcher.counters.increment(&format!("connection_closes{{{reason}}}"));
        }
        Ok(Err(_)) => dispatcher.borrow_mut().counters.increment("connections{refused}"),
        Err(_) if short.get() => {
            // Guards against blaming a data node for what this machine or this program lacks.
            dispatcher.borrow_mut().counters.increment("connections{short_of_resources}");
            dispatcher.borrow_mut().connection_not_opened(&node, line);
        }
        Err(_) => dispatcher.borrow_mut().counters.increment("connections{dial_timed_out}"),
    }
    dispatcher.borrow_mut().connection_lost(&node, line);
    rounds::post(&dispatcher, &share);
}

/// Waits for a descriptor, making room where all are taken, and dials.
async fn connect(
    dispatcher: &DispatcherHandle,
    address: SocketAddr,
    share: &Arc<DescriptorPool>,
    short: &Cell<bool>,
) -> std::io::Result<(DescriptorPermit, TcpStream)> {
    let mut waits = None;
    let held = loop {
        if let Some(held) = share.acquire() {
            break held;
        }
        short.set(true);
        dispatcher.borrow_mut().counters.increment("dials_short_of_descriptors");
        dispatcher.borrow_mut().endpoints.retire_longest_idle();
        // Guards against idle connections of other cores that hold what this one lacks: they let some go.
        waits.get_or_insert_with(|| share.pool.waits());
        share.released.notified().await;
    };
    drop(waits);
    short.set(false);
    let stream = alderway_sockets::dial_telling(address, short).await?;
    // Without it small frames would wait for the acknowledgement of those before.
    stream.set_nodelay(true)?;
    Ok((held, stream))
}

/// Writes what waits and reads what comes; says why the connection ended. An error is a frame that cannot be read.
async fn speak(
    dispatcher: &DispatcherHandle,
    node: &str,
    line: u64,
    stream: &TcpStream,
) -> Result<&'static str, Spoilt> {
    let (clock, wake, idle, patience) = {
        let mut dispatcher = dispatcher.borrow_mut();
        let patience = dispatcher.connection_config.dial_timeout_s;
        // Idle connections close a dial's length before the node's machine would.
        let (clock, idle) = (
            dispatcher.clock,
            (dispatcher.connection_config.idle_timeout_s - dispatcher.connection_config.dial_timeout_s)
                .max(0.5 * dispatcher.connection_config.idle_timeout_s),
        );
        let Some(line) = dispatcher.endpoints.connection(node, line) else { return Ok("forgotten") };
        line.is_up = true;
        (clock, line.wake.clone(), idle, patience)
    };
    let mut buffer = Buffer::new(frames::LONGEST + 4);
    let (mut out, mut stuck, mut settled) = (Outgoing::default(), f64::INFINITY, 0);
    // By when a frame that has begun to come must be whole.
    let mut whole_by = f64::INFINITY;
    loop {
        let before = out.taken;
        settle(dispatcher, node, line, &mut settled).await;
        // Guards against a call written to a connection that its node has closed as idle, which would count as one
        // that may have run.
        let unasked =
            dispatcher.borrow_mut().endpoints.connection(node, line).is_some_and(|l| l.is_reuse_after_idle());
        if unasked && arrival::ended(stream) {
            dispatcher.borrow_mut().requeue_unsent(node, line);
            return Ok("ended_idle");
        }
        let wrote = write(dispatcher, node, line, stream, &mut out);
        if wrote == Wrote::Broken {
            return Ok("cut_or_broken");
        }
        // A silent machine never closes: a frame that gets no further for so long ends the connection.
        if wrote == Wrote::All {
            stuck = f64::INFINITY;
        } else if stuck.is_infinite() || out.taken != before {
            stuck = clock.now() + idle;
        }
        let idle_since = {
            let mut dispatcher = dispatcher.borrow_mut();
            let Some(line) = dispatcher.endpoints.connection(node, line) else { return Ok("forgotten") };
            let idle_since = line.idle_since();
            if idle_since.is_some_and(|since| line.is_retired || since + idle <= clock.now()) {
                let reason = if line.is_retired { "retired" } else { "idle" };
                line.is_retired = true;
                return Ok(reason);
            }
            idle_since
        };
        tokio::select! {
            ready = stream.readable() => {
                let came = if ready.is_ok() { read(dispatcher, node, line, stream, &mut buffer)? } else { None };
                let Some(frames) = came else { return Ok("ended_by_node") };
                // A data node writes an answer in one go. Guards against a length that says more than comes,
                // which would hold the calls out here, and take the next answer for its rest.
                if buffer.is_empty() {
                    whole_by = f64::INFINITY;
                } else if frames > 0 || whole_by.is_infinite() {
                    whole_by = clock.now() + patience;
                }
            }
            () = out.sender.ready(stream), if wrote == Wrote::Blocked => {}
            () = until(clock, stuck), if stuck.is_finite() => return Ok("takes_nothing"),
            () = until(clock, whole_by), if whole_by.is_finite() => {
                return Err(("an answer that does not end", None));
            }
            () = wake.notified() => {}
            () = until(clock, idle_since.unwrap_or_default() + idle), if idle_since.is_some() => {}
        }
    }
}

/// Has what came while this thread stood still read before a call begins. Guards against calls for clients that have
/// left, or to data nodes that drain, where the word of it waits unread behind this connection.
async fn settle(dispatcher: &DispatcherHandle, node: &str, line: u64, settled: &mut u64) {
    loop {
        let stall = {
            let mut dispatcher = dispatcher.borrow_mut();
            let now = dispatcher.clock.now();
            let stall = dispatcher.stall_detector.check(now);
            if !dispatcher.endpoints.connection(node, line).is_some_and(|line| line.next_starts_attempts()) {
                return;
            }
            stall
        };
        if std::mem::replace(settled, stall) == stall {
            return;
        }
        // The runtime asks the system what has come, and whoever that is for goes first.
        yield_now().await;
    }
}

/// The frame that is being written.
#[derive(Default)]
struct Outgoing {
    sender: Sender,
    frame: Vec<u8>,
    /// Bytes of the frame that the socket has taken, and of all frames.
    written: usize,
    taken: u64,
}

/// How far writing has got.
#[derive(Clone, Copy, PartialEq)]
enum Wrote {
    /// No frame waits.
    All,
    /// The socket takes no more for now.
    Blocked,
    /// The connection is over, or is to end.
    Broken,
}

/// Writes frame after frame until none waits or the socket takes no more.
fn write(
    dispatcher: &DispatcherHandle,
    node: &str,
    line: u64,
    stream: &TcpStream,
    out: &mut Outgoing,
) -> Wrote {
    loop {
        // Guards against the rest of a frame going out after the final answer of a query in it.
        if dispatcher.borrow_mut().endpoints.connection(node, line).is_none_or(|l| l.is_aborted) {
            return Wrote::Broken;
        }
        if out.written == out.frame.len() {
            if !out.frame.is_empty() {
                let mut dispatcher = dispatcher.borrow_mut();
                let now = dispatcher.clock.now();
                if let Some(line) = dispatcher.endpoints.connection(node, line) {
                    line.frame_written(now);
                }
                out.frame.clear();
                out.written = 0;
            }
            if !dispatcher.borrow_mut().next_frame(node, line, &mut out.frame) {
                return Wrote::All;
            }
        }
        match out.sender.write(stream, &out.frame[out.written..]) {
            Ok(0) => {
                if out.written == 0 {
                    dispatcher.borrow_mut().frame_not_started(node, line);
                    out.frame.clear();
                }
                return Wrote::Blocked;
            }
            Ok(count) => {
                if out.written == 0 {
                    dispatcher.borrow_mut().check_frame_started(node, line);
                }
                out.written += count;
                out.taken += count as u64;
                dispatcher.borrow_mut().counters.add("bytes_to_nodes", count);
            }
            Err(_) => return Wrote::Broken,
        }
    }
}

/// Reads once what has come and says how many frames that made; none when the connection has ended. Whoever has
/// more to say waits for its next turn, so that no data node can keep the core to itself.
fn read(
    dispatcher: &DispatcherHandle,
    node: &str,
    line: u64,
    stream: &TcpStream,
    buffer: &mut Buffer,
) -> Result<Option<usize>, Spoilt> {
    match alderway_sockets::read(stream, buffer.space()) {
        Ok(Some(0)) | Err(_) => return Ok(None),
        Ok(Some(count)) => {
            buffer.filled(count);
            dispatcher.borrow_mut().counters.add("bytes_from_nodes", count);
        }
        Ok(None) => return Ok(Some(0)),
    }
    let nameless = |why| (why, None);
    let mut frames_read = 0;
    while let Some((letter, rest, used)) = frames::next(buffer.data()).map_err(nameless)? {
        match letter {
            b'R' => {
                let (part, word, report, value) = frames::reply(rest).map_err(nameless)?;
                let ending = match word {
                    "done" => AttemptOutcome::Success,
                    "failed" => AttemptOutcome::Error,
                    "full" => AttemptOutcome::Rejected,
                    _ => return Err(("a reply with an unknown ending", Some(part.to_string()))),
                };
                if !dispatcher.borrow_mut().reply_received(node, line, part, ending, report, value) {
                    return Err(nameless("a reply for a part not asked for"));
                }
            }
            b'F' => {
                tracing::warn!(target: "frame", "node {node}: it could not use a frame of ours");
                return Ok(None);
            }
            // Answers to probes, which this router does not send.
            b'H' | b'M' => {}
            _ => return Err(nameless("a frame with an unknown letter")),
        }
        buffer.used(used);
        frames_read += 1;
    }
    Ok(Some(frames_read))
}
