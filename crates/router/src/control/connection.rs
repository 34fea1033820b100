//! A connection to a control server: reads and writes frames.
use alderway_control_plane::messages::{ControlMessage, RouterMessage};
use alderway_sockets::Sender;
use alderway_transport::{FrameError, FrameReader, Hello, Incarnation, Name, Received, encode_hello};
use thiserror::Error;
use tokio::net::TcpStream;

/// Why a connection cannot be used any more.
#[derive(Debug, Error)]
pub(super) enum ConnectionError {
    #[error("the connection was closed")]
    Closed,
    /// The control server has another name than the configuration gives it.
    #[error("the control server at this address is `{0}`, which the configuration names differently")]
    UnexpectedServer(Name),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// What a control server sent.
pub(super) enum Incoming {
    /// The hello of the control server: from then on messages may be sent.
    Greeted,
    Message(ControlMessage),
}

pub(super) struct Connection {
    stream: TcpStream,
    sender: Sender,
    reader: FrameReader<ControlMessage>,
    /// The name of the control server in the configuration.
    expected_name: Name,
    is_greeted: bool,
    /// Encoded bytes that are not written yet.
    output: Vec<u8>,
}

impl Connection {
    /// Starts the protocol on a connected stream: the router's hello is the first output.
    pub(super) fn new(
        stream: TcpStream,
        expected_name: Name,
        own_name: Name,
        incarnation: Incarnation,
    ) -> Self {
        // Only reduces latency: a failure is ignored.
        let _ = stream.set_nodelay(true);
        let mut output = vec![];
        encode_hello::<RouterMessage>(&mut output, &Hello::new::<RouterMessage>(own_name, incarnation));
        let (sender, reader) = (Sender::default(), FrameReader::default());
        Connection { stream, sender, reader, expected_name, is_greeted: false, output }
    }

    /// Whether the next message may be passed to [`Self::send`]: one at a time, and none before the control server's
    /// hello.
    pub(super) fn is_ready_to_send(&self) -> bool {
        self.is_greeted && self.output.is_empty()
    }

    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Sets an encoded message as the next output.
    pub(super) fn send(&mut self, message: Vec<u8>) {
        self.output = message;
    }

    /// Writes as much of the output as the socket accepts; returns the number of bytes.
    pub(super) fn write(&mut self) -> Result<usize, ConnectionError> {
        let written = self.sender.write(&self.stream, &self.output);
        let count = written.map_err(|_| ConnectionError::Closed)?;
        self.output.drain(..count);
        Ok(count)
    }

    /// Reads available bytes, at most the size of `buffer`; returns the number of bytes.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> Result<usize, ConnectionError> {
        match alderway_sockets::read(&self.stream, buffer) {
            Ok(Some(0)) | Err(_) => Err(ConnectionError::Closed),
            Ok(Some(count)) => {
                self.reader.feed(&buffer[..count]);
                Ok(count)
            }
            Ok(None) => Ok(0),
        }
    }

    /// The next frame in the bytes read so far; none where no further one is complete.
    pub(super) fn next_incoming(&mut self) -> Result<Option<Incoming>, ConnectionError> {
        match self.reader.next_frame()? {
            Some(Received::Hello(hello)) if hello.name == self.expected_name => {
                self.is_greeted = true;
                Ok(Some(Incoming::Greeted))
            }
            Some(Received::Hello(hello)) => Err(ConnectionError::UnexpectedServer(hello.name)),
            Some(Received::Message(message)) => Ok(Some(Incoming::Message(message))),
            None => Ok(None),
        }
    }

    /// Waits until the connection is readable; false where it has failed.
    pub(super) async fn readable(&self) -> bool {
        self.stream.readable().await.is_ok()
    }

    /// Waits until the connection is writable.
    pub(super) async fn writable(&self) {
        self.sender.ready(&self.stream).await;
    }
}
