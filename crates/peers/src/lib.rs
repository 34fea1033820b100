//! Gossip among query routers. Each router sends the others what it observes of data nodes and of its queries, forwards
//! the updates that it receives, and accepts an observation of others once a quorum of them agrees on it. This crate decides
//! which routers are linked, which updates are stored and sent, how old an update is at most, which members are alive, and
//! which observations reach the policy. It does no I/O and reads no clock: frames and times are passed in. Gossip never
//! carries a query, chooses a data node or rejects anything; losing any update costs knowledge and breaks no invariant.
//!
//! - `ring`: which members dial which, from the list of members alone.
//! - `transit_time`: an upper bound on how long a frame was in transit, by clocks that agree only on their rate.
//! - `updates`: the updates that are gossiped, and the newest of each origin about each subject.
//! - `view`: the state of one router, built from the other modules.
//! - `quorum`: when other routers' observations of a data node are accepted.
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

/// What is sent over a link in each frame interval. Encoded by `postcard`: the order and the types of the fields are the
/// wire format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// When it was sent, by the sender's own monotonic clock. Only comparable to other timestamps of the same sender.
    pub sent_at_s: f64,
    /// The newest timestamp received over this link, and for how many seconds it was held.
    pub echo: Option<(f64, f64)>,
    /// Updates that the receiver may lack.
    pub updates: Vec<Update>,
}

impl WireMessage for Frame {
    const PROTOCOL_ID: [u8; 4] = *b"ALDP";
    const VERSION: u16 = 1;
}

/// How routers gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipConfig {
    /// Seconds between two frames on a link.
    pub frame_interval_s: f64,
    /// Seconds between two updates that a member is alive.
    pub alive_interval_s: f64,
    /// Age in seconds from which an update is stale and no longer counts.
    pub max_age_s: f64,
    /// How many other routers have to agree on an observation of a data node.
    pub quorum: usize,
    /// Most by which two monotonic clocks differ in rate, as a fraction.
    pub max_clock_drift: f64,
    /// Most updates of one origin that are stored.
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
