//! What is ordered: whole settings under a number, and what a proposal says.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Its place in the one order; 1 is the first, 0 stands for none.
pub type VersionNumber = u64;

/// Settings, as the key `settings` of a router's configuration has them, under their number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub number: VersionNumber,
    /// Of the proposal that made it.
    #[serde(rename = "proposal")]
    pub proposal_id: String,
    pub author: String,
    #[serde(rename = "why")]
    pub reason: String,
    /// Milliseconds since 1970 by the proposer's clock: for operators to read, decides nothing.
    pub at_unix_ms: u64,
    pub settings: Value,
}

/// What an operator asks for. The same `id` counts once, however often it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    pub id: String,
    /// The version that the proposer has seen; one that was made since would be undone unseen.
    pub base: VersionNumber,
    pub author: String,
    #[serde(rename = "why")]
    pub reason: String,
    pub at_unix_ms: u64,
    pub settings: Value,
}
