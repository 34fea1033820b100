//! What incoming and outgoing connections share.
use crate::outbox::PeerFrame;
use crate::state::SharedState;
use alderway_transport::{FrameError, HandshakeError, Hello};
use thiserror::Error;

/// Why a connection between control servers was ended by this side.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    /// Another machine answers at the peer's address.
    #[error("the peer is {0}")]
    UnexpectedPeer(String),
    /// A machine connected that isn't a member by this machine's configuration.
    #[error("{0} is not a member here")]
    UnknownPeer(String),
    /// The peer sent something on a connection that this side opened.
    #[error("the peer sent a message on a connection that it did not open")]
    UnexpectedMessage,
    #[error("the peer stopped reading")]
    WriteStalled,
    #[error("the peer sent a second hello")]
    RepeatedHello,
    #[error(transparent)]
    Frame(#[from] FrameError),
}

pub(super) fn own_hello(state: &SharedState) -> Hello {
    let replica = &state.borrow().replica;
    Hello::new::<PeerFrame>(replica.name(), replica.id())
}
