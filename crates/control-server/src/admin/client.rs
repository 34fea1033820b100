//! The operator's side of the admin endpoint: one request over one connection, blocking.
use super::messages::{AdminRequest, AdminResponse, JsonFrame};
use alderway_transport::{
    FrameError, FrameReader, Hello, MAX_MESSAGE_BYTES, Received, encode_hello, encode_message,
};
use std::io::{self, Read as _, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// For the connection, and for the server's hello.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The name that operators' programs give in their hello.
const CLIENT_NAME: &str = "operator";

/// Why there is no response.
#[derive(Debug, Error)]
#[error("{address}: {cause}")]
pub struct RequestError {
    /// The control server that was asked.
    pub address: SocketAddr,
    /// Whether the request was written: the control server may have acted on it.
    pub request_sent: bool,
    /// What went wrong.
    pub cause: RequestFailure,
}

/// What went wrong with a request.
#[derive(Debug, Error)]
pub enum RequestFailure {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A machine whose process is stopped accepts connections, but sends no hello.
    #[error("no hello: {0}")]
    NoHello(Box<RequestFailure>),
    /// The request doesn't fit into a frame.
    #[error("longer than {} bytes", MAX_MESSAGE_BYTES)]
    RequestTooLong,
    /// A second hello came in place of a response.
    #[error("a second hello in place of a response")]
    RepeatedHello,
    /// No response came within the time that the caller allows.
    #[error("no response in time")]
    TimedOut,
    /// The control server closed the connection.
    #[error("the connection was closed")]
    ConnectionClosed,
    /// What came is no frame of this protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// What came is no response that this version knows.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Sends `request` to the control server at `address`, and waits up to `timeout` for the response.
///
/// # Errors
/// No response came; [`RequestError::request_sent`] says whether the control server may have acted on the request.
pub fn send(
    address: SocketAddr,
    request: &AdminRequest,
    timeout: Duration,
) -> Result<AdminResponse, RequestError> {
    let mut request_sent = false;
    let response = exchange(address, request, timeout, &mut request_sent);
    response.map_err(|cause| RequestError { address, request_sent, cause })
}

fn exchange(
    address: SocketAddr,
    request: &AdminRequest,
    timeout: Duration,
    request_sent: &mut bool,
) -> Result<AdminResponse, RequestFailure> {
    let mut connection = Connection::open(address)?;
    connection.greet()?;
    let mut frame = vec![];
    let request = JsonFrame(serde_json::to_string(request)?);
    encode_message(&mut frame, &request).map_err(|_| RequestFailure::RequestTooLong)?;
    // Set before the write: part of a request that fails to be written may still arrive whole.
    *request_sent = true;
    let deadline = Instant::now() + timeout;
    connection.stream.set_write_timeout(Some(timeout.max(CONNECT_TIMEOUT)))?;
    connection.stream.write_all(&frame)?;
    match connection.next_frame(deadline)? {
        Received::Message(JsonFrame(text)) => Ok(serde_json::from_str(&text)?),
        Received::Hello(_) => Err(RequestFailure::RepeatedHello),
    }
}

struct Connection {
    stream: TcpStream,
    reader: FrameReader<JsonFrame>,
    buffer: Vec<u8>,
}

impl Connection {
    fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        // Only a matter of latency: the exchange works without it.
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, reader: FrameReader::default(), buffer: vec![0; READ_BUFFER_BYTES] })
    }

    /// Sends the own hello and reads the server's.
    fn greet(&mut self) -> Result<(), RequestFailure> {
        let incarnation = u64::from(std::process::id());
        let hello = Hello::new::<JsonFrame>(CLIENT_NAME, incarnation);
        let mut frame = vec![];
        encode_hello::<JsonFrame>(&mut frame, &hello);
        self.stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
        self.stream.write_all(&frame)?;
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        match self.next_frame(deadline) {
            Ok(_) => Ok(()),
            Err(failure) => Err(RequestFailure::NoHello(Box::new(failure))),
        }
    }

    fn next_frame(&mut self, deadline: Instant) -> Result<Received<JsonFrame>, RequestFailure> {
        loop {
            if let Some(frame) = self.reader.next_frame()? {
                return Ok(frame);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(RequestFailure::TimedOut);
            }
            self.stream.set_read_timeout(Some(remaining))?;
            match self.stream.read(&mut self.buffer) {
                Ok(0) => return Err(RequestFailure::ConnectionClosed),
                Ok(count) => self.reader.feed(&self.buffer[..count]),
                Err(_) if Instant::now() >= deadline => return Err(RequestFailure::TimedOut),
                Err(error) => return Err(RequestFailure::Io(error)),
            }
        }
    }
}
