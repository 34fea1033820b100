//! Query routers that know each other. A router tells the others what it saw of data nodes, passes on what it hears, and
//! believes of others' word what several of them say. This package decides who is linked to whom, which words are kept
//! and told, how old a word is at least, who is there, and which verdicts are handed to the decision module; it is free
//! of I/O and clocks: frames and times are passed in. It never carries a query, chooses a data node or turns anything
//! away, and losing any word costs knowledge, never a rule.
//!
//! - `ring`: which members dial which, from the list of members alone.
//! - `transit_time`: an upper bound on how long a frame was in transit, by clocks that agree only on their rate.
//! - `updates`: the updates that are gossiped, and the newest of each origin about each subject.
//! - `view`: one router's part in all this; the one place where the others meet.
//! - `quorum`: when other routers' observations of a data node are accepted.
pub mod quorum;
pub mod ring;
pub mod transit_time;
pub mod updates;
pub mod view;

use alderway_transport::WireMessage;
use serde::{Deserialize, Serialize};
use updates::Update;

pub use alderway_transport::{Incarnation, Name};

/// What passes over a link at each beat. Spans are seconds; a stamp is a time of the sender's own steady clock, of use to
/// nobody but whoever hears several of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub sent_at_s: f64,
    /// The newest stamp that came over this link, and how long it was held here.
    pub echo: Option<(f64, f64)>,
    pub updates: Vec<Update>,
}

impl WireMessage for Frame {
    const PROTOCOL_ID: [u8; 4] = *b"ALDP";
    const VERSION: u16 = 1;
}

/// How routers tell each other, in seconds where it is a span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Between two frames on a link.
    pub beat: f64,
    /// Between two words that a member is there.
    pub pulse: f64,
    /// A word older than that counts for nothing.
    pub stale: f64,
    /// So many others have to say the same of a data node.
    pub witnesses: usize,
    /// By what part two steady clocks may go apart.
    pub drift: f64,
    /// Most words of one origin that are kept.
    pub most: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { beat: 0.1, pulse: 1.0, stale: 2.0, witnesses: 2, drift: 0.001, most: 512 }
    }
}
