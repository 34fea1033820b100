//! Frames to other control servers, and where they wait to be written.
use alderway_control_plane::replica::{ReplicaMessage, ReplicaName};
use alderway_transport::{WireMessage, encode_message};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The message of a frame between control servers.
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct PeerFrame(pub ReplicaMessage);

impl WireMessage for PeerFrame {
    const PROTOCOL_ID: [u8; 4] = *b"ALDC";
    const VERSION: u16 = 1;
}

/// Past so many bytes further messages to that machine are dropped: consensus tolerates lost messages.
const MAX_OUTBOX_BYTES: usize = 48 * 1024 * 1024;

/// An outbox for each other control server; nothing is put into that of a machine without a connection.
pub(crate) struct Outboxes(BTreeMap<ReplicaName, Outbox>);

struct Outbox {
    is_connected: bool,
    bytes: Vec<u8>,
    /// Notified when something was put in.
    filled: Rc<Notify>,
}

impl Outboxes {
    pub(crate) fn new<'a>(peers: impl Iterator<Item = &'a ReplicaName>) -> Outboxes {
        let outbox = || Outbox { is_connected: false, bytes: vec![], filled: Rc::default() };
        Outboxes(peers.map(|peer| (peer.clone(), outbox())).collect())
    }

    /// Puts a message into a peer's outbox; false where it was dropped.
    pub(crate) fn push(&mut self, peer: &str, message: &ReplicaMessage) -> bool {
        let Some(outbox) = self.0.get_mut(peer) else { return false };
        if !outbox.is_connected || outbox.bytes.len() >= MAX_OUTBOX_BYTES {
            return false;
        }
        let is_encoded = encode_message(&mut outbox.bytes, &PeerFrame(message.clone())).is_ok();
        outbox.filled.notify_one();
        is_encoded
    }

    /// A connection to the peer was opened: its outbox is empty and takes messages from now on. Returns what is notified
    /// when something was put in; none for a machine that is no peer.
    pub(crate) fn connect(&mut self, peer: &str) -> Option<Rc<Notify>> {
        self.reset(peer, true).map(|outbox| outbox.filled.clone())
    }

    /// The connection to the peer has ended: what was not written is dropped.
    pub(crate) fn disconnect(&mut self, peer: &str) {
        self.reset(peer, false);
    }

    fn reset(&mut self, peer: &str, is_connected: bool) -> Option<&Outbox> {
        let outbox = self.0.get_mut(peer)?;
        outbox.is_connected = is_connected;
        outbox.bytes = vec![];
        Some(outbox)
    }

    /// Takes everything out of a peer's outbox.
    pub(crate) fn take(&mut self, peer: &str) -> Vec<u8> {
        self.0.get_mut(peer).map(|outbox| std::mem::take(&mut outbox.bytes)).unwrap_or_default()
    }
}
