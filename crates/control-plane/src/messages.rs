//! Messages between a control server and a router. They travel in the frames of `alderway_transport`, encoded by `postcard`: the
//! order of variants and fields is the wire format. Durations are seconds; no message carries a point in time, because
//! the clocks of the two ends are not comparable.
use crate::content::{Digest, MAX_PART_BYTES, VersionContent};
use crate::version::VersionNumber;
use alderway_transport::{WireMessage, encode_message};
use serde::{Deserialize, Serialize};

/// Bytes of a reason, or of a list of keys, in an [`ApplyOutcome`].
const MAX_REASON_BYTES: usize = 200;

/// From a control server to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A part of the content of a version. Content is split so that other messages are not delayed by the rate limit.
    ContentPart {
        /// The version.
        number: VersionNumber,
        /// 0: the content is the complete settings. Otherwise it is a patch on the settings of this version.
        base: VersionNumber,
        /// Digest of the resulting settings.
        digest: Digest,
        /// Bytes of the whole content.
        total_bytes: u32,
        /// Position of `bytes` in the content, in bytes.
        offset: u32,
        /// The part.
        bytes: Vec<u8>,
    },
    /// Answers [`RouterMessage::HeartbeatRequest`].
    Heartbeat {
        /// Of the request.
        sequence: u64,
        /// The newest version of this control server.
        latest: VersionNumber,
        /// Digest of its settings.
        digest: Digest,
        /// Seconds since it was confirmed to be the newest of all; infinite if it never was.
        staleness_s: f64,
        /// Whether this control server sees a quorum.
        has_quorum: bool,
    },
}

impl ControlMessage {
    /// The message with the part of a content from byte `offset` on.
    pub fn content_part(content: &VersionContent, offset: usize) -> Self {
        let bytes = content.text.as_bytes();
        let end = (offset + MAX_PART_BYTES).min(bytes.len());
        ControlMessage::ContentPart {
            number: content.number,
            base: content.base,
            digest: content.digest,
            total_bytes: bytes.len() as u32,
            offset: offset as u32,
            bytes: bytes.get(offset..end).unwrap_or_default().to_vec(),
        }
    }
}

impl WireMessage for ControlMessage {
    const PROTOCOL_ID: [u8; 4] = *b"ALDC";
    const VERSION: u16 = 1;
}

/// From a router to its control server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouterMessage {
    /// Requests every version after `received`.
    Subscribe {
        /// The newest version that the router received; 0 for none.
        received: VersionNumber,
        /// Digest of its settings.
        digest: Digest,
        /// The version that is active; 0 for none.
        active: VersionNumber,
        /// The last patch failed: complete settings are needed.
        needs_snapshot: bool,
    },
    /// Requests a heartbeat.
    HeartbeatRequest {
        /// Returned by the heartbeat.
        sequence: u64,
    },
    /// What the router made of a version.
    ApplyReport {
        /// The version.
        number: VersionNumber,
        /// What became of it.
        outcome: ApplyOutcome,
    },
}

impl WireMessage for RouterMessage {
    const PROTOCOL_ID: [u8; 4] = *b"ALDS";
    const VERSION: u16 = 1;
}

/// What a router made of a version that it was offered. A version is applied completely or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The version is active.
    Applied,
    /// These keys change only with a restart. The version becomes active with the next one.
    PendingRestart(Vec<String>),
    /// The version is not valid here, for this reason.
    Rejected(String),
}

impl ApplyOutcome {
    /// Shortens reason and keys to what the rate limit from a router allows.
    pub fn truncated(self) -> Self {
        match self {
            ApplyOutcome::Applied => ApplyOutcome::Applied,
            ApplyOutcome::Rejected(reason) => ApplyOutcome::Rejected(truncate(reason)),
            ApplyOutcome::PendingRestart(keys) => ApplyOutcome::PendingRestart(truncate_list(keys)),
        }
    }
}

fn truncate(mut text: String) -> String {
    let longest = MAX_REASON_BYTES.min(text.len());
    let end = (0..=longest).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    text.truncate(end);
    text
}

fn truncate_list(keys: Vec<String>) -> Vec<String> {
    let (mut listed, mut left_bytes, count) = (vec![], MAX_REASON_BYTES, keys.len());
    for key in keys {
        let key = truncate(key);
        if key.len() + 1 > left_bytes {
            break;
        }
        left_bytes -= key.len() + 1;
        listed.push(key);
    }
    if listed.len() < count {
        listed.push(format!("and {} more", count - listed.len()));
    }
    listed
}

/// A message as it is written to the connection. Empty for one that is longer than a frame; those of a subscription are far
/// shorter.
pub fn encode_frame<M: WireMessage>(message: &M) -> Vec<u8> {
    let mut frame = vec![];
    let _ = encode_message(&mut frame, message);
    frame
}
