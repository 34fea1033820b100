//! What a connection writes to its data node.
use crate::state::undelivered::Delivery;
use alderway_sockets::{SendQueue, Sender};
use tokio::net::TcpStream;

/// The frame that is being written, and the number of bytes written.
#[derive(Default)]
pub struct Outgoing {
    /// Writes to the socket.
    pub sender: Sender,
    /// The encoded frame; empty if none is being written.
    pub frame: Vec<u8>,
    /// Number of bytes of the current frame that were written to the socket.
    pub written_bytes: usize,
    /// Number of bytes that were written to the socket since the connection was opened.
    pub total_bytes: u64,
}

impl Outgoing {
    /// Whether a part of the frame is written, and the rest is not.
    pub fn is_partly_written(&self) -> bool {
        (1..self.frame.len()).contains(&self.written_bytes)
    }

    /// Drops the frame, so that nothing more of it is written.
    pub fn clear_frame(&mut self) {
        self.frame.clear();
        self.written_bytes = 0;
    }

    /// How far the bytes of this connection have come. If the kernel does not tell, they count as arrived.
    pub fn delivery(&self, stream: &TcpStream) -> Delivery {
        let held = SendQueue::of(stream).unwrap_or_default();
        Delivery {
            transmitted: self.total_bytes.saturating_sub(held.untransmitted),
            acknowledged: self.total_bytes.saturating_sub(held.unacknowledged),
        }
    }
}
