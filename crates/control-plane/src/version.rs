//! Configuration versions and the proposals they come from.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Position of a version in the log. The first is 1; 0 stands for no version.
pub type VersionNumber = u64;

/// A committed configuration: complete settings under their number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Position in the log.
    pub number: VersionNumber,
    /// Id of the proposal that made it.
    #[serde(rename = "proposal")]
    pub proposal_id: String,
    /// Who proposed it.
    pub author: String,
    /// Why it was proposed, in the author's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// Milliseconds since the Unix epoch by the proposer's clock. For operators to read; nothing depends on it.
    pub at_unix_ms: u64,
    /// The value of the key `settings` of a router's configuration.
    pub settings: Value,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Idempotency key: a proposal is committed once, however often it is sent.
    pub id: String,
    /// The newest version that the proposer has seen. A proposal on an older base is rejected, because it would undo
    /// later versions.
    pub base: VersionNumber,
    /// Who proposes it.
    pub author: String,
    /// Why, in the author's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// Milliseconds since the Unix epoch by the proposer's clock.
    pub at_unix_ms: u64,
    /// The complete settings that are to apply.
    pub settings: Value,
}
