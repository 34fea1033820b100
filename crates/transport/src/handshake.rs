//! The exchange of hellos at the start of a connection.
use crate::frames::{FrameError, FrameReader, Received, WireMessage};
use crate::hello::Hello;
use alderway_sockets::Sender;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The peer's hello has to arrive in this time.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a connection came to no hello.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// Nothing that ends the handshake happened within [`HANDSHAKE_TIMEOUT`].
    #[error("no hello in time")]
    TimedOut,
    /// The peer closed the connection first.
    #[error("the connection was closed before its hello")]
    Closed,
    /// The peer sent something else than a hello of this protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Sends `outgoing`, which holds the own hello, and reads the peer's. Further bytes that have arrived stay in `reader`;
/// `buffer` is space to read into.
///
/// # Errors
/// No hello came, or none that is of use; see [`HandshakeError`].
pub async fn exchange_hellos<M: WireMessage>(
    stream: &TcpStream,
    outgoing: &mut Vec<u8>,
    reader: &mut FrameReader<M>,
    buffer: &mut [u8],
) -> Result<Hello, HandshakeError> {
    let exchange = async {
        write_all(stream, outgoing).await?;
        read_hello(stream, reader, buffer).await
    };
    timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or(Err(HandshakeError::TimedOut))
}

/// Writes all of `outgoing` and leaves it empty. Whoever limits the time may find it partly written.
///
/// # Errors
/// The connection failed.
pub async fn write_all(stream: &TcpStream, outgoing: &mut Vec<u8>) -> io::Result<()> {
    let mut sender = Sender::default();
    while !outgoing.is_empty() {
        sender.ready(stream).await;
        let written = sender.write(stream, outgoing)?;
        outgoing.drain(..written);
    }
    Ok(())
}

async fn read_hello<M: WireMessage>(
    stream: &TcpStream,
    reader: &mut FrameReader<M>,
    buffer: &mut [u8],
) -> Result<Hello, HandshakeError> {
    loop {
        match reader.next_frame()? {
            Some(Received::Hello(hello)) => return Ok(hello),
            Some(Received::Message(_)) => return Err(FrameError::OtherProtocol.into()),
            None => {}
        }
        stream.readable().await?;
        match alderway_sockets::read(stream, buffer)? {
            Some(0) => return Err(HandshakeError::Closed),
            Some(count) => reader.feed(&buffer[..count]),
            None => {}
        }
    }
}
