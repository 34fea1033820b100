//! The connection that this machine keeps open to another one, and sends on.
use super::link::{LinkError, own_hello};
use crate::outbox::PeerFrame;
use crate::state::SharedState;
use alderway_control_plane::replica::ReplicaName;
use alderway_sockets::Sender;
use alderway_transport::{FrameReader, SessionEnd, encode_hello, exchange_hellos};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// A peer that takes nothing of what waits for it for so long is connected to anew.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection that lasted so long resets the backoff.
const STABLE_CONNECTION_AGE: Duration = Duration::from_secs(1);
/// Only the peer's hello is read.
const READ_BUFFER_BYTES: usize = 1024;

/// Keeps a connection to `peer` for as long as the program runs.
pub(crate) async fn keep_connected(
    state: SharedState,
    peer: ReplicaName,
    address: SocketAddr,
    backoff_seed: u64,
) {
    let session = async |stream: TcpStream| {
        let opened_at = Instant::now();
        if let Err(error) = serve(&state, &peer, &stream).await {
            tracing::warn!(target: "replica_links", "{peer} at {address}: {error}");
        }
        state.borrow_mut().outboxes.disconnect(&peer);
        let is_stable = opened_at.elapsed() > STABLE_CONNECTION_AGE;
        if is_stable { SessionEnd::Established } else { SessionEnd::Unusable }
    };
    alderway_transport::keep_connected(address, backoff_seed, session).await;
}

/// Sends what is put into the peer's outbox until the connection ends.
async fn serve(state: &SharedState, peer: &str, stream: &TcpStream) -> Result<(), LinkError> {
    greet_peer(state, peer, stream).await?;
    let filled = open_outbox(state, peer)?;
    let mut link = OutgoingLink::new(stream);
    loop {
        if link.pending.is_empty() {
            link.refill(state.borrow_mut().outboxes.take(peer));
        }
        match link.write() {
            WriteProgress::Some => continue,
            WriteProgress::None => {}
            WriteProgress::ConnectionOver => return Ok(()),
        }
        let is_open = link.wait(&filled).await?;
        if !is_open {
            return Ok(());
        }
        if link.is_stalled() {
            return Err(LinkError::WriteStalled);
        }
    }
}

/// Exchanges hellos, and makes sure that it is this peer that answers.
async fn greet_peer(state: &SharedState, peer: &str, stream: &TcpStream) -> Result<(), LinkError> {
    let mut output = vec![];
    encode_hello::<PeerFrame>(&mut output, &own_hello(state));
    let (mut reader, mut buffer) = (FrameReader::<PeerFrame>::default(), vec![0; READ_BUFFER_BYTES]);
    let hello = exchange_hellos(stream, &mut output, &mut reader, &mut buffer).await?;
    if hello.name == peer { Ok(()) } else { Err(LinkError::UnexpectedPeer(hello.name)) }
}

/// Opens the peer's outbox, with the message in it that the peer has to see first.
fn open_outbox(state: &SharedState, peer: &str) -> Result<Rc<Notify>, LinkError> {
    let mut state = state.borrow_mut();
    let filled = state.outboxes.connect(peer).ok_or_else(|| LinkError::UnknownPeer(peer.into()))?;
    let first_message = state.replica.link_opened();
    state.outboxes.push(peer, &first_message);
    Ok(filled)
}

enum WriteProgress {
    Some,
    None,
    ConnectionOver,
}

struct OutgoingLink<'a> {
    stream: &'a TcpStream,
    sender: Sender,
    /// Taken from the outbox and not written yet.
    pending: Vec<u8>,
    last_progress: Instant,
    buffer: Vec<u8>,
}

impl<'a> OutgoingLink<'a> {
    fn new(stream: &'a TcpStream) -> Self {
        let (sender, buffer) = (Sender::default(), vec![0; READ_BUFFER_BYTES]);
        OutgoingLink { stream, sender, pending: vec![], last_progress: Instant::now(), buffer }
    }

    fn refill(&mut self, bytes: Vec<u8>) {
        self.pending = bytes;
        self.last_progress = Instant::now();
    }

    fn write(&mut self) -> WriteProgress {
        if self.pending.is_empty() {
            return WriteProgress::None;
        }
        match self.sender.write(self.stream, &self.pending) {
            Ok(0) => WriteProgress::None,
            Ok(count) => {
                self.pending.drain(..count);
                self.last_progress = Instant::now();
                WriteProgress::Some
            }
            Err(_) => WriteProgress::ConnectionOver,
        }
    }

    /// Waits until more can be written, or a stall may have lasted too long; false once the connection has ended.
    async fn wait(&mut self, filled: &Notify) -> Result<bool, LinkError> {
        let is_pending = !self.pending.is_empty();
        tokio::select! {
            readable = self.stream.readable() => {
                return if readable.is_ok() { self.read_end() } else { Ok(false) };
            }
            () = self.sender.ready(self.stream), if is_pending => {}
            () = filled.notified(), if !is_pending => {}
            () = sleep(WRITE_STALL_TIMEOUT), if is_pending => {}
        }
        Ok(true)
    }

    /// The peer sends nothing on this connection: all that can be read is its end.
    fn read_end(&mut self) -> Result<bool, LinkError> {
        match alderway_sockets::read(self.stream, &mut self.buffer) {
            Ok(None) => Ok(true),
            Ok(Some(0)) | Err(_) => Ok(false),
            Ok(Some(_)) => Err(LinkError::UnexpectedMessage),
        }
    }

    fn is_stalled(&self) -> bool {
        !self.pending.is_empty() && self.last_progress.elapsed() > WRITE_STALL_TIMEOUT
    }
}
