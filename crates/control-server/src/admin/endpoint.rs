//! The listener for operators and the connections to them.
use super::handlers::respond;
use super::messages::{AdminResponse, JsonFrame};
use crate::state::SharedState;
use alderway_transport::{
    EncodeError, FrameError, FrameReader, HandshakeError, Hello, Received, encode_hello, encode_message,
    exchange_hellos, serve_each, write_all,
};
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Connections of operators at once.
const MAX_CONNECTIONS: usize = 32;
/// How long a client may send no request, or not read its response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Why a connection was ended by this side.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    #[error("the client sent a second hello")]
    RepeatedHello,
    #[error("no request in time")]
    IdleTooLong,
    #[error("the client stopped reading")]
    WriteTimedOut,
    #[error(transparent)]
    Write(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Encode(#[from] EncodeError),
}

/// Serves operators for as long as the program runs.
pub(crate) async fn accept(state: SharedState, listener: TcpListener) {
    let turn_queue = state.borrow().turn_queue.clone();
    let serve = |stream| {
        let state = state.clone();
        async move {
            if let Err(error) = serve(&state, &stream).await {
                tracing::warn!(target: "admin", "operator's connection: {error}");
            }
        }
    };
    serve_each(listener, MAX_CONNECTIONS, &turn_queue, serve).await;
}

/// Answers requests until the client closes the connection.
async fn serve(state: &SharedState, stream: &TcpStream) -> Result<(), ConnectionError> {
    let _ = stream.set_nodelay(true);
    let mut output = vec![];
    let mut requests = RequestReader::new(stream);
    encode_hello::<JsonFrame>(&mut output, &own_hello(state));
    exchange_hellos(stream, &mut output, &mut requests.reader, &mut requests.buffer).await?;
    let mut turns = state.borrow().turn_queue.turns();
    while let Some(JsonFrame(text)) = turns.wait(requests.next()).await? {
        turns.give_way().await;
        let response = match serde_json::from_str(&text) {
            Ok(request) => respond(state, stream, request).await,
            Err(error) => Some(AdminResponse::BadRequest {
                reason: format!("not a question that this version knows: {error}"),
            }),
        };
        let Some(response) = response else { return Ok(()) };
        encode(&mut output, &response)?;
        let written = timeout(IDLE_TIMEOUT, write_all(stream, &mut output)).await;
        written.map_err(|_| ConnectionError::WriteTimedOut)??;
    }
    Ok(())
}

fn own_hello(state: &SharedState) -> Hello {
    let replica = &state.borrow().replica;
    Hello::new::<JsonFrame>(replica.name(), replica.id())
}

/// Appends the frame of a response, or of an error where the response doesn't fit into one.
fn encode(output: &mut Vec<u8>, response: &AdminResponse) -> Result<(), ConnectionError> {
    let response = JsonFrame(serde_json::to_string(response)?);
    if encode_message(output, &response).is_err() {
        let reason = "the answer is longer than a frame".into();
        let too_long = serde_json::to_string(&AdminResponse::BadRequest { reason })?;
        encode_message(output, &JsonFrame(too_long))?;
    }
    Ok(())
}

struct RequestReader<'a> {
    stream: &'a TcpStream,
    reader: FrameReader<JsonFrame>,
    buffer: Vec<u8>,
}

impl<'a> RequestReader<'a> {
    fn new(stream: &'a TcpStream) -> Self {
        RequestReader { stream, reader: FrameReader::default(), buffer: vec![0; READ_BUFFER_BYTES] }
    }

    /// The next request; none once the client has closed the connection.
    async fn next(&mut self) -> Result<Option<JsonFrame>, ConnectionError> {
        loop {
            match self.reader.next_frame()? {
                Some(Received::Message(frame)) => return Ok(Some(frame)),
                Some(Received::Hello(_)) => return Err(ConnectionError::RepeatedHello),
                None => {}
            }
            let readable = timeout(IDLE_TIMEOUT, self.stream.readable()).await;
            if readable.map_err(|_| ConnectionError::IdleTooLong)?.is_err() {
                return Ok(None);
            }
            match alderway_sockets::read(self.stream, &mut self.buffer) {
                Ok(Some(0)) | Err(_) => return Ok(None),
                Ok(Some(count)) => self.reader.feed(&self.buffer[..count]),
                Ok(None) => {}
            }
        }
    }
}
