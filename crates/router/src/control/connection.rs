//! A connection to a control server: frames in, frames out, nothing decided.
use alderway_control_plane::messages::{ControlMessage, RouterMessage};
use alderway_sockets::Sender;
use alderway_transport::{FrameError, FrameReader, Hello, Incarnation, Name, Received, encode_hello};
use thiserror::Error;
use tokio::net::TcpStream;

/// Why a connection is of no further use.
#[derive(Debug, Error)]
pub(super) enum ConnectionError {
    #[error("the connection was closed")]
    Closed,
    /// The list of control servers names this address otherwise than the machine there calls itself.
    #[error("`{0}` answers where another control machine is")]
    UnexpectedMachine(Name),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// What a control server sent.
pub(super) enum Incoming {
    /// Its hello: messages may be sent from now on.
    Greeted,
    Message(ControlMessage),
}

pub(super) struct Connection {
    stream: TcpStream,
    sender: Sender,
    reader: FrameReader<ControlMessage>,
    /// What the list of control servers calls the one at this address.
    expected_name: Name,
    is_greeted: bool,
    /// Encoded and not written yet.
    output: Vec<u8>,
}

impl Connection {
    /// Takes over a stream that has just been connected. The own hello is the first thing to be written.
    pub(super) fn new(
        stream: TcpStream,
        expected_name: Name,
        own_name: Name,
        incarnation: Incarnation,
    ) -> Self {
        // Only a matter of latency: the connection works without it.
        let _ = stream.set_nodelay(true);
        let mut output = vec![];
        encode_hello::<RouterMessage>(&mut output, &Hello::new::<RouterMessage>(own_name, incarnation));
        let (sender, reader) = (Sender::default(), FrameReader::default());
        Connection { stream, sender, reader, expected_name, is_greeted: false, output }
    }

    /// Whether the next message may be given to [`Self::send`]: one at a time, and none before the control server's hello.
    pub(super) fn is_ready_to_send(&self) -> bool {
        self.is_greeted && self.output.is_empty()
    }

    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Makes an encoded message the next output.
    pub(super) fn send(&mut self, message: Vec<u8>) {
        self.output = message;
    }

    /// Writes what the socket takes of the output now, and returns how many bytes that were.
    pub(super) fn write(&mut self) -> Result<usize, ConnectionError> {
        let written = self.sender.write(&self.stream, &self.output);
        let count = written.map_err(|_| ConnectionError::Closed)?;
        self.output.drain(..count);
        Ok(count)
    }

    /// Reads what has arrived, as far as `buffer` holds it, and returns how many bytes that were.
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

    /// The next frame among the bytes that were read.
    pub(super) fn next_incoming(&mut self) -> Result<Option<Incoming>, ConnectionError> {
        match self.reader.next_frame()? {
            Some(Received::Hello(hello)) if hello.name == self.expected_name => {
                self.is_greeted = true;
                Ok(Some(Incoming::Greeted))
            }
            Some(Received::Hello(hello)) => Err(ConnectionError::UnexpectedMachine(hello.name)),
            Some(Received::Message(message)) => Ok(Some(Incoming::Message(message))),
            None => Ok(None),
        }
    }

    /// Waits until something can be read; false where the connection is known to have failed.
    pub(super) async fn readable(&self) -> bool {
        self.stream.readable().await.is_ok()
    }

    /// Waits until another write may get further.
    pub(super) async fn writable(&self) {
        self.sender.ready(&self.stream).await;
    }
}
