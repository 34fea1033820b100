//! The hello: who speaks, in a form that never changes, so that peers of different versions can say so to each other.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | [`WireMessage::PROTOCOL_ID`] |
//! | 2 | version of the protocol, big-endian |
//! | 1 | 1 for a planner, 0 otherwise |
//! | 8 | incarnation, big-endian |
//! | the rest | name, UTF-8 |
use crate::frames::{FrameError, WireMessage, append_frame};
use crate::{Incarnation, Name};

/// The first frame of either side of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    /// Version of the protocol that the sender speaks.
    pub version: u16,
    /// Whether the sender is a planner.
    pub is_planner: bool,
    /// Which start of the sender this is.
    pub incarnation: Incarnation,
    /// The sender's name.
    pub name: Name,
}

impl Hello {
    /// The hello of a program that speaks `M` and is no planner.
    pub fn new<M: WireMessage>(name: impl Into<Name>, incarnation: Incarnation) -> Self {
        Hello { version: M::VERSION, is_planner: false, incarnation, name: name.into() }
    }

    /// The hello of a planner that speaks `M`.
    pub fn of_planner<M: WireMessage>(name: impl Into<Name>, incarnation: Incarnation) -> Self {
        Hello { is_planner: true, ..Hello::new::<M>(name, incarnation) }
    }

    /// Reads the body of a hello's frame.
    pub(crate) fn decode<M: WireMessage>(body: &[u8]) -> Result<Hello, FrameError> {
        let other = FrameError::OtherProtocol;
        let (protocol_id, body) = body.split_first_chunk::<4>().ok_or(other)?;
        let (version, body) = body.split_first_chunk::<2>().ok_or(other)?;
        if *protocol_id != M::PROTOCOL_ID {
            return Err(other);
        }
        let version = u16::from_be_bytes(*version);
        if version != M::VERSION {
            return Err(FrameError::OtherVersion { theirs: version, ours: M::VERSION });
        }
        let (planner, body) = body.split_first_chunk::<1>().ok_or(other)?;
        let (incarnation, name) = body.split_first_chunk::<8>().ok_or(other)?;
        let name = std::str::from_utf8(name).map_err(|_| other)?.to_string();
        let incarnation = u64::from_be_bytes(*incarnation);
        Ok(Hello { version, is_planner: planner[0] == 1, incarnation, name })
    }
}

/// Appends the frame of a hello to `out`.
pub fn encode_hello<M: WireMessage>(out: &mut Vec<u8>, hello: &Hello) {
    let mut body = M::PROTOCOL_ID.to_vec();
    body.extend_from_slice(&hello.version.to_be_bytes());
    body.push(u8::from(hello.is_planner));
    body.extend_from_slice(&hello.incarnation.to_be_bytes());
    body.extend_from_slice(hello.name.as_bytes());
    append_frame(out, &body);
}
