//! Requests and responses of the admin endpoint, as JSON in the frames of `alderway_transport`. The JSON names are older than the
//! names here; `#[serde(rename)]` maps them, in this file only.
use alderway_control_plane::replica::{ProposalOutcome, ReplicaName, ReplicaStatus};
use alderway_control_plane::version::{Proposal, Version, VersionNumber};
use alderway_control_plane::version_sink::RouterSummary;
use alderway_transport::WireMessage;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The longest time that a client may wait for the outcome of its proposal.
pub const MAX_WAIT_S: f64 = 120.0;

/// One request or response as JSON text; the message of a frame.
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct JsonFrame(pub String);

impl WireMessage for JsonFrame {
    const PROTOCOL_ID: [u8; 4] = *b"ALDO";
    const VERSION: u16 = 1;
}

/// What an operator asks of a control server.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRequest {
    /// Whether routers would take these settings; changes nothing.
    Check {
        /// Settings as the key `settings` of a router's configuration has them.
        settings: Value,
    },
    /// Proposes settings as the next version.
    Propose {
        /// The settings, who proposes them and why.
        proposal: Proposal,
        /// How long the client waits for the outcome, 0 to [`MAX_WAIT_S`].
        wait_s: f64,
    },
    /// The latest versions without their settings.
    History {
        /// Only versions before this one.
        before: Option<VersionNumber>,
        /// How many at most.
        count: usize,
    },
    /// One version with its settings.
    Show {
        /// The latest where there is none.
        number: Option<VersionNumber>,
    },
    /// The state of all control servers and routers.
    Status,
}

/// What a control server answers.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminResponse {
    /// The settings pass the checks.
    #[serde(rename = "sound")]
    Valid,
    /// The settings fail the checks; nothing was proposed.
    #[serde(rename = "faulty")]
    Invalid {
        /// One line that names the key.
        #[serde(rename = "why")]
        reason: String,
    },
    /// What became of a proposal.
    #[serde(rename = "answer")]
    Proposed {
        /// The replica's outcome.
        #[serde(rename = "answer")]
        outcome: ProposalOutcome,
        /// The admin endpoints of all control servers, for a client that tries another one.
        #[serde(rename = "doors")]
        admin_addresses: BTreeMap<ReplicaName, SocketAddr>,
    },
    /// The versions asked for, oldest first.
    History {
        /// Number of the latest version; 0: there is none.
        newest: VersionNumber,
        /// As many as asked for, up to a limit of the server.
        versions: Vec<VersionSummary>,
    },
    /// The version asked for.
    Version {
        /// With its settings.
        version: Version,
    },
    /// The version asked for was compacted or doesn't exist yet.
    #[serde(rename = "no_such")]
    VersionNotFound {
        /// The oldest version that is stored.
        oldest: VersionNumber,
        /// The latest version; 0: there is none.
        newest: VersionNumber,
    },
    /// The state of all control servers and routers.
    Status(Box<ClusterStatus>),
    /// The request can't be used.
    #[serde(rename = "wrong")]
    BadRequest {
        /// One line that names what is wrong.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A version without its settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// Its place in the order of versions.
    pub number: VersionNumber,
    /// The id of the proposal that made it.
    #[serde(rename = "proposal")]
    pub proposal_id: String,
    /// Who proposed it.
    pub author: String,
    /// Why, in the author's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// When it was proposed, in milliseconds of Unix time by the client's clock.
    pub at_unix_ms: u64,
    /// Keys of the settings that differ from the version before; empty where that one is not stored any more.
    #[serde(rename = "keys")]
    pub changed_keys: Vec<String>,
}

/// The state of all control servers and routers, as one control server collected it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The control server that answers.
    #[serde(rename = "machine")]
    pub replica: ReplicaStatus,
    /// The latest version of each control server that answered in time.
    pub versions: BTreeMap<ReplicaName, VersionNumber>,
    /// Why a control server takes no part, for each that said so.
    #[serde(rename = "out")]
    pub unavailable: BTreeMap<ReplicaName, String>,
    /// Control servers that did not answer in time; their routers are not counted.
    #[serde(rename = "silent")]
    pub unresponsive: BTreeSet<ReplicaName>,
    /// The routers subscribed at the control servers that answered.
    pub routers: RouterSummary,
}
