//! Frames: four bytes of length, big-endian, four bytes of CRC-32 over the body, big-endian, then the body. The first frame
//! of either side holds a [`Hello`], each further one a message in postcard's encoding.
use crate::hello::Hello;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use thiserror::Error;

/// Bytes of length and checksum before each body.
const HEADER_BYTES: usize = 8;
/// The longest body of a frame, in bytes: room for a query of some thousands of shard requests.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// The longest body of a hello's frame, in bytes. Guards against memory held for peers that have not said who they are.
const MAX_HELLO_BYTES: usize = 1024;

/// A message of one protocol. The hello of a connection names the protocol and its version.
pub trait WireMessage: Serialize + DeserializeOwned {
    /// Opens the hello and tells this protocol from others.
    const PROTOCOL_ID: [u8; 4];
    /// Both sides of a connection have to speak the same version.
    const VERSION: u16;
}

/// Why bytes from a peer cannot be used. The connection is of no further use then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The header announces a body over [`MAX_MESSAGE_BYTES`].
    #[error("the peer sent a frame of {length_bytes} bytes; {MAX_MESSAGE_BYTES} at most")]
    TooLong {
        /// The announced length.
        length_bytes: usize,
    },
    /// The checksum does not match the body.
    #[error("the peer sent a frame with a wrong checksum")]
    ChecksumMismatch,
    /// The body is not exactly one message of the protocol.
    #[error("the peer sent a frame that holds no message")]
    NoMessage,
    /// What came first is not a hello of this protocol.
    #[error("the peer does not speak this protocol")]
    OtherProtocol,
    /// The hello is of another version of the protocol.
    #[error("the peer speaks version {theirs} of the protocol, this side version {ours}")]
    OtherVersion {
        /// The peer's version.
        theirs: u16,
        /// The version of this side.
        ours: u16,
    },
}

/// Why a message was not encoded; nothing was appended.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// No peer would read it.
    #[error("a message of {length_bytes} bytes; {MAX_MESSAGE_BYTES} at most")]
    TooLong {
        /// The length of the encoded message.
        length_bytes: usize,
    },
    /// The message has no form on the wire.
    #[error("a message that cannot be encoded: {0}")]
    Unserializable(#[from] postcard::Error),
}

pub(crate) fn append_frame(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&crc32fast::hash(body).to_be_bytes());
    out.extend_from_slice(body);
}

/// Appends the frame of a message to `out`.
///
/// # Errors
/// The message is longer than a peer would read, or cannot be encoded; `out` is unchanged then.
pub fn encode_message<M: WireMessage>(out: &mut Vec<u8>, message: &M) -> Result<(), EncodeError> {
    let body = postcard::to_stdvec(message)?;
    if body.len() > MAX_MESSAGE_BYTES {
        return Err(EncodeError::TooLong { length_bytes: body.len() });
    }
    append_frame(out, &body);
    Ok(())
}

/// What a frame held.
#[derive(Clone, Debug, PartialEq)]
pub enum Received<M> {
    /// The first frame of a connection.
    Hello(Hello),
    /// Any further frame.
    Message(M),
}

/// Reads frames of one connection from the pieces in which its bytes arrive. Whatever the bytes are, the result is a
/// frame or an error, never a panic.
#[derive(Debug)]
pub struct FrameReader<M> {
    bytes: Vec<u8>,
    /// How many of `bytes` have been returned as frames.
    consumed: usize,
    hello_received: bool,
    message_type: PhantomData<M>,
}

impl<M> Default for FrameReader<M> {
    fn default() -> Self {
        FrameReader { bytes: vec![], consumed: 0, hello_received: false, message_type: PhantomData }
    }
}

impl<M: WireMessage> FrameReader<M> {
    /// Takes in the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The next complete frame; none until more bytes are fed.
    ///
    /// # Errors
    /// The peer broke the protocol; see [`FrameError`].
    pub fn next_frame(&mut self) -> Result<Option<Received<M>>, FrameError> {
        let unread = &self.bytes[self.consumed..];
        let Some((length, unread)) = unread.split_first_chunk::<4>() else { return Ok(None) };
        let Some((checksum, unread)) = unread.split_first_chunk::<4>() else { return Ok(None) };
        let length_bytes = u32::from_be_bytes(*length) as usize;
        let max_bytes = if self.hello_received { MAX_MESSAGE_BYTES } else { MAX_HELLO_BYTES };
        if length_bytes > max_bytes {
            return Err(self.header_error(FrameError::TooLong { length_bytes }));
        }
        let Some(body) = unread.get(..length_bytes) else { return Ok(None) };
        if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
            return Err(self.header_error(FrameError::ChecksumMismatch));
        }
        let received = if self.hello_received {
            Received::Message(decode_message(body)?)
        } else {
            Received::Hello(Hello::decode::<M>(body)?)
        };
        self.hello_received = true;
        self.consumed += HEADER_BYTES + length_bytes;
        Ok(Some(received))
    }

    /// Before the hello, a faulty header means that the peer speaks something else altogether.
    fn header_error(&self, error: FrameError) -> FrameError {
        if self.hello_received { error } else { FrameError::OtherProtocol }
    }
}

fn decode_message<M: WireMessage>(body: &[u8]) -> Result<M, FrameError> {
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(FrameError::NoMessage),
    }
}
