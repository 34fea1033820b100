//! Their wire: four bytes of length, most significant first, four of CRC-32 over the rest, then one message. The first
//! frame of each side is a hello, whose form never changes: a word, the protocol's version, and who it is. Fed bytes, in
//! pieces of any size; whatever they are, an error or a message, never a panic.
use crate::{Incarnation, Name};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::marker::PhantomData;

/// What follows a hello between two programs of one kind; the word and the version tell kinds apart.
pub trait Speech: Serialize + DeserializeOwned {
    const WORD: [u8; 4];
    const VERSION: u16;
}

const HEAD: usize = 8;
/// The longest message: a query of some thousands of parts.
pub const LONGEST: usize = 1024 * 1024;

/// Who speaks; the first frame of a connection, in bytes that every version reads alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    pub version: u16,
    pub planner: bool,
    pub incarnation: Incarnation,
    pub name: Name,
}

/// Why bytes cannot be used, in one line that says what the peer did.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    TooLong(usize),
    Spoilt,
    Unreadable,
    NoHello,
    Version { theirs: u16, ours: u16 },
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::TooLong(length) => {
                write!(out, "the peer sent a frame of {length} bytes; {LONGEST} at most")
            }
            Fault::Spoilt => write!(out, "the peer sent a frame whose checksum is not its own"),
            Fault::Unreadable => write!(out, "the peer sent a frame that holds no message"),
            Fault::NoHello => write!(out, "the peer does not speak this protocol"),
            Fault::Version { theirs, ours } => {
                write!(out, "the peer speaks version {theirs} of the protocol, this side version {ours}")
            }
        }
    }
}

impl std::error::Error for Fault {}

fn frame(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&crc32fast::hash(body).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn hello_of<M: Speech>(out: &mut Vec<u8>, hello: &Hello) {
    let mut body = M::WORD.to_vec();
    body.extend_from_slice(&hello.version.to_be_bytes());
    body.push(u8::from(hello.planner));
    body.extend_from_slice(&hello.incarnation.to_be_bytes());
    body.extend_from_slice(hello.name.as_bytes());
    frame(out, &body);
}

/// Writes a message; one that is too long to be read is not written, and false.
pub fn message<M: Speech>(out: &mut Vec<u8>, message: &M) -> bool {
    let Ok(body) = postcard::to_stdvec(message) else { return false };
    let fits = body.len() <= LONGEST;
    if fits {
        frame(out, &body);
    }
    fits
}

/// What one side reads: hello first, then messages.
#[derive(Debug)]
pub struct Reader<M> {
    bytes: Vec<u8>,
    used: usize,
    greeted: bool,
    speech: PhantomData<M>,
}

impl<M> Default for Reader<M> {
    fn default() -> Self {
        Reader { bytes: vec![], used: 0, greeted: false, speech: PhantomData }
    }
}

/// One thing that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Read<M> {
    Hello(Hello),
    Message(M),
}

impl<M: Speech> Reader<M> {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.used);
        self.used = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole thing; after an error the connection is of no further use.
    pub fn read(&mut self) -> Result<Option<Read<M>>, Fault> {
        let rest = &self.bytes[self.used..];
        let Some((head, rest)) = rest.split_at_checked(HEAD) else { return Ok(None) };
        let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let length = word(0) as usize;
        if length > LONGEST {
            // Before a hello whatever comes is more likely no frame at all.
            return Err(if self.greeted { Fault::TooLong(length) } else { Fault::NoHello });
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        if crc32fast::hash(body) != word(4) {
            return Err(if self.greeted { Fault::Spoilt } else { Fault::NoHello });
        }
        let read = if self.greeted {
            let (message, left) = postcard::take_from_bytes(body).map_err(|_| Fault::Unreadable)?;
            if !left.is_empty() {
                return Err(Fault::Unreadable);
            }
            Read::Message(message)
        } else {
            Read::Hello(read_hello::<M>(body)?)
        };
        self.greeted = true;
        self.used += HEAD + length;
        Ok(Some(read))
    }
}

fn read_hello<M: Speech>(body: &[u8]) -> Result<Hello, Fault> {
    let (word, body) = body.split_first_chunk::<4>().ok_or(Fault::NoHello)?;
    let (version, body) = body.split_first_chunk::<2>().ok_or(Fault::NoHello)?;
    if *word != M::WORD {
        return Err(Fault::NoHello);
    }
    let version = u16::from_be_bytes(*version);
    if version != M::VERSION {
        return Err(Fault::Version { theirs: version, ours: M::VERSION });
    }
    let (planner, body) = body.split_first_chunk::<1>().ok_or(Fault::NoHello)?;
    let (incarnation, name) = body.split_first_chunk::<8>().ok_or(Fault::NoHello)?;
    let name = std::str::from_utf8(name).map_err(|_| Fault::NoHello)?.to_string();
    Ok(Hello { version, planner: planner[0] == 1, incarnation: u64::from_be_bytes(*incarnation), name })
}
