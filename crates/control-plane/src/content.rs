//! The content of a version as it is transferred: the complete settings, or a JSON Patch (RFC 6902) on a version that the
//! receiver has. A digest of the resulting settings detects a patch that produced something else.
use crate::version::VersionNumber;
use serde_json::Value;

/// Bytes of the longest settings in canonical form. They pass a router's rate limit in 13.5 s.
pub const MAX_SETTINGS_BYTES: usize = 64_000;
/// Bytes of content in one message.
pub const MAX_PART_BYTES: usize = 900;
/// Bytes that a message with a part takes besides its content, at most.
pub const PART_HEADER_BYTES: usize = 60;

/// Length (upper 32 bits) and CRC-32 (lower 32 bits) of canonical settings. Detects accidents, not attacks: both ends of
/// a subscription belong to the same operator.
pub type Digest = u64;

/// Settings in canonical form: JSON with sorted keys and without white space.
pub fn canonical_json(settings: &Value) -> String {
    settings.to_string()
}

/// The digest of settings in canonical form.
pub fn digest(canonical: &str) -> Digest {
    (canonical.len() as u64) << 32 | u64::from(crc32fast::hash(canonical.as_bytes()))
}

/// What makes a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionContent {
    /// The version.
    pub number: VersionNumber,
    /// 0: `text` is the complete settings. Otherwise `text` is a patch on the settings of this version.
    pub base: VersionNumber,
    /// Digest of the resulting settings.
    pub digest: Digest,
    /// Canonical settings, or a JSON Patch.
    pub text: String,
}

/// The JSON Patch that turns `from` into `to`, both canonical. None if it would not reproduce `to` byte by byte, or is no
/// shorter than `to`.
pub fn make_patch(from: &str, to: &str) -> Option<String> {
    let before: Value = serde_json::from_str(from).ok()?;
    let after: Value = serde_json::from_str(to).ok()?;
    let patch = serde_json::to_string(&json_patch::diff(&before, &after)).ok()?;
    (patch.len() < to.len() && apply_patch(from, &patch).as_deref() == Some(to)).then_some(patch)
}

/// The canonical settings that a JSON Patch makes of `from`. None if either is not valid or the patch does not apply.
pub fn apply_patch(from: &str, patch: &str) -> Option<String> {
    let mut settings: Value = serde_json::from_str(from).ok()?;
    let patch: json_patch::Patch = serde_json::from_str(patch).ok()?;
    json_patch::patch(&mut settings, &patch).ok()?;
    Some(canonical_json(&settings))
}
