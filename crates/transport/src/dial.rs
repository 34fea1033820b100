//! Connecting to a peer, once or for as long as the program runs.
use crate::backoff::Backoff;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A connection that is not established in this time counts as failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How a session on a connection ended, for the backoff before the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// The peer was of use: the next attempt comes soon.
    Established,
    /// The peer was of no use: the backoff goes on growing.
    Unusable,
}

/// Connects within [`CONNECT_TIMEOUT`], without Nagle's delay.
///
/// # Errors
/// The peer refused, cannot be reached, or took too long ([`io::ErrorKind::TimedOut`]).
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, alderway_sockets::dial(address)).await??;
    // Without it frames are late, not lost.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Keeps a connection to a peer: connects, runs `session` on it until that ends, and connects again after a pause. Never
/// returns; the task is aborted where the peer is not wanted any more.
pub async fn keep_connected(
    address: SocketAddr,
    seed: u64,
    mut session: impl AsyncFnMut(TcpStream) -> SessionEnd,
) {
    let mut backoff = Backoff::new(seed);
    loop {
        if let Ok(stream) = connect(address).await
            && session(stream).await == SessionEnd::Established
        {
            backoff.reset();
        }
        backoff.wait().await;
    }
}
