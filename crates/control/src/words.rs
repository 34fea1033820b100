//! What a control machine and a router say to each other, in the frames of `alderway_transport`. Contents are told in parts that a
//! bounded link can take between other words: whole, or as a JSON Patch (RFC 6902) upon a version that the router has,
//! with a digest of what must come out.
use crate::version::Number;
use alderway_transport::{WireMessage, encode_message};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The longest settings in canonical form: they go through a router's budget whole in 13.5 s.
pub const LARGEST: usize = 64_000;
/// Bytes of a content in one part, and what a part takes beside them at most.
pub const PART: usize = 900;
pub const PART_HEAD: usize = 60;
/// The longest text that says why.
const WHY: usize = 200;

/// Length and CRC-32 of a canonical text. Against accidents, not against malice: both ends are the operators'.
pub type Digest = u64;

/// Settings as text: keys in their order, no space between.
pub fn canonical(settings: &Value) -> String {
    settings.to_string()
}

pub fn digest(text: &str) -> Digest {
    (text.len() as u64) << 32 | u64::from(crc32fast::hash(text.as_bytes()))
}

/// From a control machine. Spans are seconds; no time of a clock is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Tell {
    /// A part of what makes version `number`: a patch upon `base`, or with 0 the whole. `length` is that of all parts
    /// together, `digest` that of the settings that must come out.
    Part { number: Number, base: Number, digest: Digest, length: u32, at: u32, bytes: Vec<u8> },
    /// The answer to a pulse: the newest version here, how long ago it was last known to be the newest of all, and whether a
    /// majority of the control machines stands as seen from here.
    Beat { stamp: u64, newest: Number, digest: Digest, age: f64, majority: bool },
}

impl WireMessage for Tell {
    const PROTOCOL_ID: [u8; 4] = *b"ALDC";
    const VERSION: u16 = 1;
}

/// From a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Say {
    /// What came after `got`, please; `whole` where a patch is of no use. `held` is in force.
    Ask { got: Number, digest: Digest, held: Number, whole: bool },
    /// Asks for a beat.
    Pulse { stamp: u64 },
    /// What became of a version there.
    Outcome { number: Number, outcome: Outcome },
}

impl WireMessage for Say {
    const PROTOCOL_ID: [u8; 4] = *b"ALDS";
    const VERSION: u16 = 1;
}

/// What a router made of a version that it was offered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    InForce,
    /// Nothing of it is in force, as these keys only change with a start; the next start is with it.
    Waits(Vec<String>),
    /// Nothing of it is in force.
    Refused(String),
}

impl Outcome {
    /// No longer than the narrow way back allows.
    pub fn cut(self) -> Self {
        match self {
            Outcome::InForce => Outcome::InForce,
            Outcome::Refused(why) => Outcome::Refused(cut(why)),
            Outcome::Waits(keys) => {
                let (mut kept, mut room, all) = (vec![], WHY, keys.len());
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
                Outcome::Waits(kept)
            }
        }
    }
}

fn cut(mut text: String) -> String {
    let end = (0..=WHY.min(text.len())).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    text.truncate(end);
    text
}

/// A word as it goes out.
pub fn framed<M: WireMessage>(word: &M) -> Vec<u8> {
    let mut out = vec![];
    // A message over the limit is not sent; parts are far shorter.
    let _ = encode_message(&mut out, word);
    out
}

/// What makes a version: as one side tells it and the other puts it together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Content {
    pub number: Number,
    /// 0: `text` is the settings, else a patch upon those of this version.
    pub base: Number,
    pub digest: Digest,
    pub text: String,
}

impl Content {
    /// The part from byte `at` on.
    pub fn part(&self, at: usize) -> Tell {
        let bytes = self.text.as_bytes();
        let end = (at + PART).min(bytes.len());
        let bytes = bytes.get(at..end).unwrap_or_default().to_vec();
        let length = self.text.len() as u32;
        Tell::Part { number: self.number, base: self.base, digest: self.digest, length, at: at as u32, bytes }
    }
}

/// The patch that makes `to` of `from`, both canonical; none where it would not come out so to the byte, or is no
/// shorter than the whole.
pub fn patch_between(from: &str, to: &str) -> Option<String> {
    let old: Value = serde_json::from_str(from).ok()?;
    let new: Value = serde_json::from_str(to).ok()?;
    let patch = serde_json::to_string(&json_patch::diff(&old, &new)).ok()?;
    (patch.len() < to.len() && patched(from, &patch).as_deref() == Some(to)).then_some(patch)
}

/// The canonical text that a patch makes.
pub fn patched(from: &str, patch: &str) -> Option<String> {
    let mut settings: Value = serde_json::from_str(from).ok()?;
    let patch: json_patch::Patch = serde_json::from_str(patch).ok()?;
    json_patch::patch(&mut settings, &patch).ok()?;
    Some(canonical(&settings))
}
