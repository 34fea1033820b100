//! Gossip among query routers, the members. Over links, which are connections between two members, each
//! router periodically sends frames of updates. An update is one router's report about itself, its queries,
//! another member or a data node. Each router forwards the updates that it receives, and accepts an
//! observation of a data node once a quorum of other routers agrees on it. This crate decides which routers
//! are linked, which updates are stored and sent, which members are alive, and which observations reach the
//! policy. It does no I/O and reads no clock: frames and times are passed in. Gossip carries no query,
//! chooses no data node and rejects no query, so the loss of an update breaks no invariant; the routers only
//! know less.
//!
//! - `ring`: which members each member dials, derived from the list of members alone.
//! - `transit_time`: an upper bound on how long a frame was in transit, for clocks that agree only on their
//!   rate.
//! - `updates`: the updates, and a store of the newest update of each router about each subject.
//! - `view`: the gossip state of one router, built from the other modules.
//! - `quorum`: when observations of a data node by other routers are accepted.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod quorum;
pub mod ring;
pub mod transit_time;
pub mod updates;
pub mod view;

use alderway_transport::WireMessage;
use serde::{Deserialize, Serialize};
use updates::Update;

pub use alderway_transport::{Incarnation, Name};

/// The message that is sent over a link in each frame interval. Encoded by `postcard`: the order and the
/// types of the fields are the wire format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// When the frame was sent, in seconds of the sender's monotonic clock. Comparable only to other
    /// timestamps of the same sender.
    pub sent_at_s: f64,
    /// The newest `sent_at_s` that the sender has received over this link, and the seconds since its receipt.
    pub echo: Option<(f64, f64)>,
    /// Updates that the sender has neither sent nor received over this link yet.
    pub updates: Vec<Update>,
}

impl WireMessage for Frame {
    const PROTOCOL_ID: [u8; 4] = *b"ALDP";
    const VERSION: u16 = 1;
}

/// Intervals and limits of gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipConfig {
    /// Seconds between two frames on a link.
    pub frame_interval_s: f64,
    /// Seconds between two updates by which a member reports that it is alive.
    pub alive_interval_s: f64,
    /// Age in seconds from which an update is stale. Stale updates are no longer stored, sent, or counted
    /// towards a quorum.
    pub max_age_s: f64,
    /// Number of other routers that must agree on an observation of a data node before this router accepts
    /// it.
    pub quorum: usize,
    /// Maximum difference in rate between two monotonic clocks, as a fraction: 0.001 is one millisecond per
    /// second.
    pub max_clock_drift: f64,
    /// Maximum number of updates that a router stores of each origin, the router that created the update.
    pub max_updates_per_origin: usize,
}

impl Default for GossipConfig {
    fn default() -> Self {
        GossipConfig {
            frame_interval_s: 0.1,
            alive_interval_s: 1.0,
            max_age_s: 2.0,
            quorum: 2,
            max_clock_drift: 0.001,
            max_updates_per_origin: 512,
        }
    }
}
