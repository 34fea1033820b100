//! Reads and writes frames on a connection to a control server. The first frame in each direction is a hello
//! with the sender's name; messages follow.
use alderway_control_plane::messages::{ControlMessage, RouterMessage};
use alderway_sockets::Sender;
use alderway_transport::{FrameError, FrameReader, Hello, Incarnation, Name, Received, encode_hello};
use thiserror::Error;
use tokio::net::TcpStream;

/// Why a connection to a control server has to be closed.
#[derive(Debug, Error)]
pub(super) enum ConnectionError {
    #[error("the connection to the control server was closed or failed")]
    Closed,
    /// The control server's hello has a different name than the configuration has for this address.
    #[error(
        "the control server that answers calls itself `{0}`, but the configuration has another name for its address"
    )]
    UnexpectedServer(Name),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// A frame from a control server.
pub(super) enum Incoming {
    /// The control server's hello, which has the expected name. Messages can be sent from now on.
    Greeted,
    Message(ControlMessage),
}

pub(super) struct Connection {
    stream: TcpStream,
    sender: Sender,
    reader: FrameReader<ControlMessage>,
    /// The name that the configuration has for the control server.
    expected_name: Name,
    is_greeted: bool,
    /// Encoded bytes that are not yet written to the socket.
    output: Vec<u8>,
}

impl Connection {
    /// Starts the protocol on a connected stream, with the router's hello as the first output.
    pub(super) fn new(
        stream: TcpStream,
        expected_name: Name,
        own_name: Name,
        incarnation: Incarnation,
    ) -> Self {
        // A failure is ignored: the option only reduces latency.
        let _ = stream.set_nodelay(true);
        let mut output = vec![];
        encode_hello::<RouterMessage>(&mut output, &Hello::new::<RouterMessage>(own_name, incarnation));
        let (sender, reader) = (Sender::default(), FrameReader::default());
        Connection { stream, sender, reader, expected_name, is_greeted: false, output }
    }

    /// Whether [`Self::send`] can be called: the control server's hello has arrived, and the previous message
    /// is written.
    pub(super) fn is_ready_to_send(&self) -> bool {
        self.is_greeted && self.output.is_empty()
    }

    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Queues an encoded message, which [`Self::write`] writes to the socket.
    pub(super) fn send(&mut self, message: Vec<u8>) {
        self.output = message;
    }

    /// Writes as much of the queued output as the socket accepts; returns the number of bytes written.
    pub(super) fn write(&mut self) -> Result<usize, ConnectionError> {
        let written = self.sender.write(&self.stream, &self.output);
        let count = written.map_err(|_| ConnectionError::Closed)?;
        self.output.drain(..count);
        Ok(count)
    }

    /// Reads the available bytes, but not more than `buffer` holds; returns the number of bytes read.
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

    /// Returns the next frame in the bytes read so far, or `None` if the bytes hold no further complete
    /// frame. Returns an error if a frame is malformed, or if the name in the control server's hello is not
    /// the name that the configuration has for its address.
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

    /// Waits until the socket is readable; returns false if the socket has failed.
    pub(super) async fn readable(&self) -> bool {
        self.stream.readable().await.is_ok()
    }

    /// Waits until the socket can accept output again; the next [`Self::write`] detects a failed socket.
    pub(super) async fn writable(&self) {
        self.sender.ready(&self.stream).await;
    }
}
