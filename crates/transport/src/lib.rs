//! Framed connections between the programs of alderway: routers, forwarders, planners and control servers.
//!
//! - `frames`: length and checksum round each message; reading them back from any pieces of a stream.
//! - `hello`: the first frame of a connection, which says who speaks which protocol in which version.
//! - `handshake`: the exchange of hellos on a socket, within a time limit.
//! - `listener`: accepting a limited number of connections.
//! - `dial`: connecting within a time limit, again and again, with `backoff` between the attempts.
//!
//! What a protocol's messages mean stands in the crate that implements [`WireMessage`] for them.
#![warn(missing_docs, clippy::missing_errors_doc)]

mod backoff;
mod dial;
mod frames;
mod handshake;
mod hello;
mod listener;

pub use backoff::Backoff;
pub use dial::{CONNECT_TIMEOUT, SessionEnd, connect, keep_connected};
pub use frames::{
    EncodeError, FrameError, FrameReader, MAX_MESSAGE_BYTES, Received, WireMessage, encode_message,
};
pub use handshake::{HANDSHAKE_TIMEOUT, HandshakeError, exchange_hellos, write_all};
pub use hello::{Hello, encode_hello};
pub use listener::serve_each;

/// The name of a program among its peers, as the operator's file gives it.
pub type Name = String;

/// Tells the starts of a program of one name apart: a later incarnation supersedes every earlier one.
pub type Incarnation = u64;
