//! Why and how a client connection is closed.
use crate::wire::http::MAX_MESSAGE_BYTES;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the router waits for the client to close a connection after the router has sent its last
/// response. If the router closed the socket first, bytes that the client still sends would make the kernel
/// reset the connection, and the client might lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer for bytes that are read and discarded, in bytes.
const DISCARD_BYTES: usize = 4096;

/// Why this core stopped serving a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed the connection, or the connection failed.
    ClientDisconnected,
    /// The router closed an idle connection on which the client had sent no complete request, after the
    /// timeout, for a shutdown, or to release the file descriptor.
    NoRequest,
    /// The client read no byte of a response for the idle timeout.
    AnswerNotRead,
    /// The router has sent its last response, or closes a connection that is idle after earlier requests. The
    /// socket is closed once the client closes its side, or after [`LINGER_TIMEOUT`].
    AfterAnswer,
    /// The connection moves to the core with this number.
    MovesTo(usize),
}

impl CloseReason {
    /// The label of this reason in the counter `client_closes`.
    pub fn label(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "left",
            CloseReason::NoRequest => "never_asked",
            CloseReason::AnswerNotRead => "reads_nothing",
            CloseReason::AfterAnswer => "in_order",
            CloseReason::MovesTo(_) => "moved",
        }
    }
}

/// Closes the router's side of the connection, then discards the client's bytes until the client closes its
/// side, for at most [`LINGER_TIMEOUT`]. Discards at most about [`MAX_MESSAGE_BYTES`], the size of the
/// longest request, so that a client that never stops sending cannot occupy the core.
pub async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let (mut discarded, mut remaining_bytes) = ([0; DISCARD_BYTES], MAX_MESSAGE_BYTES);
    let discard = async {
        while remaining_bytes > 0 && stream.readable().await.is_ok() {
            match alderway_sockets::read(stream, &mut discarded) {
                Ok(Some(0)) | Err(_) => break,
                Ok(Some(count)) => remaining_bytes = remaining_bytes.saturating_sub(count),
                Ok(None) => {}
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}
