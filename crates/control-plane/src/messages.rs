//! What a control machine and a router say to each other, in the frames of `alderway_transport`. Contents are told in parts that a
//! bounded link can take between other words: whole, or as a JSON Patch (RFC 6902) upon a version that the router has,
//! with a digest of what must come out.
use crate::version::VersionNumber;
use alderway_transport::{WireMessage, encode_message};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The longest settings in canonical form: they go through a router's budget whole in 13.5 s.
pub const MAX_SETTINGS_BYTES: usize = 64_000;
/// Bytes of a content in one part, and what a part takes beside them at most.
pub const MAX_PART_BYTES: usize = 900;
pub const PART_HEADER_BYTES: usize = 60;
/// The longest text that says why.
const MAX_REASON_BYTES: usize = 200;

/// Length and CRC-32 of a canonical text. Against accidents, not against malice: both ends are the operators'.
pub type Digest = u64;

/// Settings as text: keys in their order, no space between.
pub fn canonical_json(settings: &Value) -> String {
    settings.to_string()
}

pub fn digest(text: &str) -> Digest {
    (text.len() as u64) << 32 | u64::from(crc32fast::hash(text.as_bytes()))
}

/// From a control machine. Spans are seconds; no time of a clock is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A part of what makes version `number`: a patch upon `base`, or with 0 the whole. `length` is that of all parts
    /// together, `digest` that of the settings that must come out.
    ContentPart {
        number: VersionNumber,
        base: VersionNumber,
        digest: Digest,
        total_bytes: u32,
        offset: u32,
        bytes: Vec<u8>,
    },
    /// The answer to a pulse: the newest version here, how long ago it was last known to be the newest of all, and whether a
    /// majority of the control machines stands as seen from here.
    Heartbeat { sequence: u64, latest: VersionNumber, digest: Digest, staleness_s: f64, has_quorum: bool },
}

impl WireMessage for ControlMessage {
    const PROTOCOL_ID: [u8; 4] = *b"ALDC";
    const VERSION: u16 = 1;
}

/// From a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouterMessage {
    /// What came after `got`, please; `whole` where a patch is of no use. `held` is in force.
    Subscribe { received: VersionNumber, digest: Digest, active: VersionNumber, needs_snapshot: bool },
    /// Asks for a beat.
    HeartbeatRequest { sequence: u64 },
    /// What became of a version there.
    ApplyReport { number: VersionNumber, outcome: ApplyOutcome },
}

impl WireMessage for RouterMessage {
    const PROTOCOL_ID: [u8; 4] = *b"ALDS";
    const VERSION: u16 = 1;
}

/// What a router made of a version that it was offered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ApplyOutcome {
    Applied,
    /// Nothing of it is in force, as these keys only change with a start; the next start is with it.
    PendingRestart(Vec<String>),
    /// Nothing of it is in force.
    Rejected(String),
}

impl ApplyOutcome {
    /// No longer than the narrow way back allows.
    pub fn cut(self) -> Self {
        match self {
            ApplyOutcome::Applied => ApplyOutcome::Applied,
            ApplyOutcome::Rejected(why) => ApplyOutcome::Rejected(cut(why)),
            ApplyOutcome::PendingRestart(keys) => {
                let (mut kept, mut room, all) = (vec![], MAX_REASON_BYTES, keys.len());
                for key in keys {
                    let key = cut(key);
                    if key.len() + 1 > room {
                        break;
                    }
                    room -= key.len() + 1;
                    kept.push(key);
                }
                if kept.len() < all {
                    kept.push(format!("and {} more", all - kept.len()));
                }
                ApplyOutcome::PendingRestart(kept)
            }
        }
    }
}

fn cut(mut text: String) -> String {
    let end = (0..=MAX_REASON_BYTES.min(text.len())).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    text.truncate(end);
    text
}

/// A word as it goes out.
pub fn encode_frame<M: WireMessage>(word: &M) -> Vec<u8> {
    let mut out = vec![];
    // A message over the limit is not sent; parts are far shorter.
    let _ = encode_message(&mut out, word);
    out
}

/// What makes a version: as one side tells it and the other puts it together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionContent {
    pub number: VersionNumber,
    /// 0: `text` is the settings, else a patch upon those of this version.
    pub base: VersionNumber,
    pub digest: Digest,
    pub text: String,
}

impl VersionContent {
    /// The part from byte `at` on.
    pub fn part(&self, at: usize) -> ControlMessage {
        let bytes = self.text.as_bytes();
        let end = (at + MAX_PART_BYTES).min(bytes.len());
        let bytes = bytes.get(at..end).unwrap_or_default().to_vec();
        let length = self.text.len() as u32;
        ControlMessage::ContentPart {
            number: self.number,
            base: self.base,
            digest: self.digest,
            total_bytes: length,
            offset: at as u32,
            bytes,
        }
    }
}

/// The patch that makes `to` of `from`, both canonical; none where it would not come out so to the byte, or is no
/// shorter than the whole.
pub fn make_patch(from: &str, to: &str) -> Option<String> {
    let old: Value = serde_json::from_str(from).ok()?;
    let new: Value = serde_json::from_str(to).ok()?;
    let patch = serde_json::to_string(&json_patch::diff(&old, &new)).ok()?;
    (patch.len() < to.len() && apply_patch(from, &patch).as_deref() == Some(to)).then_some(patch)
}

/// The canonical text that a patch makes.
pub fn apply_patch(from: &str, patch: &str) -> Option<String> {
    let mut settings: Value = serde_json::from_str(from).ok()?;
    let patch: json_patch::Patch = serde_json::from_str(patch).ok()?;
    json_patch::patch(&mut settings, &patch).ok()?;
    Some(canonical_json(&settings))
}
