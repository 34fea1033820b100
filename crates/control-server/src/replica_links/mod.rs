//! Connections between control servers. Each machine connects to every other one and only sends on the connections that it
//! opened; on connections that others opened it only receives. A connection that ends is opened again with backoff.
mod incoming;
mod link;
mod outgoing;

pub use crate::outbox::PeerFrame;
pub(crate) use incoming::accept;
pub(crate) use outgoing::keep_connected;
