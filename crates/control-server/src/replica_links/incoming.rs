//! Connections that other control servers opened, and the messages that come on them.
use super::link::{LinkError, own_hello};
use crate::outbox::PeerFrame;
use crate::state::{RouterSummaryReply, SharedState};
use alderway_control_plane::replica::{ReplicaMessage, ReplicaName};
use alderway_transport::{FrameReader, Received, encode_hello, exchange_hellos, serve_each};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Connections that others may hold at once.
const MAX_CONNECTIONS: usize = 64;
/// Messages that are handled before other connections get their turn.
const MAX_MESSAGES_PER_STEP: usize = 32;
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The latest connection of each peer. An earlier one is read no further: its messages are older than those on the latest.
type LatestConnections = RefCell<BTreeMap<ReplicaName, u64>>;

/// Serves other control servers for as long as the program runs.
pub(crate) async fn accept(state: SharedState, listener: TcpListener) {
    let latest = Rc::<LatestConnections>::default();
    let turn_queue = state.borrow().turn_queue.clone();
    let serve = |stream| {
        let (state, latest) = (state.clone(), latest.clone());
        async move {
            if let Err(error) = serve(&state, &stream, &latest).await {
                tracing::warn!(target: "replica_links", "incoming connection: {error}");
            }
        }
    };
    serve_each(listener, MAX_CONNECTIONS, &turn_queue, serve).await;
}

/// Feeds the replica what a peer sends until the connection ends or a later one of the same peer replaces it.
async fn serve(state: &SharedState, stream: &TcpStream, latest: &LatestConnections) -> Result<(), LinkError> {
    let _ = stream.set_nodelay(true);
    let (mut output, mut reader) = (vec![], FrameReader::<PeerFrame>::default());
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    encode_hello::<PeerFrame>(&mut output, &own_hello(state));
    let hello = exchange_hellos(stream, &mut output, &mut reader, &mut buffer).await?;
    let peer = hello.name;
    let connection = register(state, &peer, latest)?;
    let is_latest = || latest.borrow().get(&peer) == Some(&connection);
    let mut turns = state.borrow().turn_queue.turns();
    loop {
        turns.give_way().await;
        match receive_messages(state, &peer, &mut reader, &is_latest)? {
            Progress::Replaced => return Ok(()),
            Progress::Unhandled => continue,
            Progress::Drained => {}
        }
        if turns.wait(stream.readable()).await.is_err() {
            return Ok(());
        }
        match alderway_sockets::read(stream, &mut buffer) {
            Ok(Some(0)) | Err(_) => return Ok(()),
            Ok(Some(count)) => reader.feed(&buffer[..count]),
            Ok(None) => {}
        }
    }
}

/// Makes this the peer's latest connection. Parts of a message from an earlier one are dropped.
fn register(state: &SharedState, peer: &str, latest: &LatestConnections) -> Result<u64, LinkError> {
    let mut state = state.borrow_mut();
    let is_member = state.admin_addresses.contains_key(peer);
    if !is_member || peer == state.replica.name() {
        return Err(LinkError::UnknownPeer(peer.into()));
    }
    state.replica.link_replaced(peer);
    let connection = state.next_number();
    latest.borrow_mut().insert(peer.into(), connection);
    Ok(connection)
}

/// How far the messages of a connection have been handled.
enum Progress {
    /// All whole messages that were read.
    Drained,
    /// More may be left.
    Unhandled,
    /// A later connection of the peer has replaced this one.
    Replaced,
}

/// Hands some whole messages to the replica, and has it act on them together.
fn receive_messages(
    state: &SharedState,
    peer: &str,
    reader: &mut FrameReader<PeerFrame>,
    is_latest: &impl Fn() -> bool,
) -> Result<Progress, LinkError> {
    let mut received_count = 0;
    while received_count < MAX_MESSAGES_PER_STEP {
        match reader.next_frame()? {
            Some(Received::Message(PeerFrame(message))) => {
                if !is_latest() {
                    return Ok(Progress::Replaced);
                }
                receive(state, peer, message);
                received_count += 1;
            }
            Some(Received::Hello(_)) => return Err(LinkError::RepeatedHello),
            None => break,
        }
    }
    if received_count > 0 {
        state.borrow_mut().advance();
    }
    Ok(if received_count == MAX_MESSAGES_PER_STEP { Progress::Unhandled } else { Progress::Drained })
}

fn receive(state: &SharedState, peer: &str, message: ReplicaMessage) {
    let mut state = state.borrow_mut();
    match message {
        ReplicaMessage::SummaryRequest { request_id } => {
            let reply = ReplicaMessage::SummaryResponse {
                request_id,
                version: state.replica.version_log().latest_number(),
                unavailable_reason: state.replica.unavailable_reason().map(|reason| reason.to_string()),
                summary: state.version_sink.summary(),
            };
            state.outboxes.push(peer, &reply);
        }
        ReplicaMessage::SummaryResponse {
            request_id: request,
            version,
            unavailable_reason: unavailable,
            summary: routers,
        } => {
            let from = peer.into();
            state.deliver_summary(RouterSummaryReply { request, from, version, unavailable, routers });
        }
        message => {
            let now = state.now();
            state.replica.receive(peer, message, now);
        }
    }
}
