//! The two tiers on sockets. A forwarder is a router whose decisions come from planners as long as any is available: it
//! holds clients, queries, attempts and connections to data nodes. `forwarder` is its part between its dispatcher and its own
//! policy, `planner_links` are its connections to planners. A planner runs the policy for many forwarders: `planner` is its
//! state, `planner_server` accepts the forwarders. Which decider decides for which query is decided in `alderway_tier`, and
//! which data node is sent to in the policy.
pub mod forwarder;
pub mod planner;
pub mod planner_links;
pub mod planner_server;

use alderway::interface::NodeObservation;
use alderway_tier::messages::Message;
use alderway_transport::{Hello, encode_hello, encode_message};
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes that wait to be written to a peer.
#[derive(Default)]
pub struct Outbox {
    /// The encoded messages.
    pub bytes: Vec<u8>,
    /// Notified when there is something to write, or the connection is to end.
    pub wake: Rc<Notify>,
    /// Whether the connection has to end because the peer does not read.
    pub is_overfull: bool,
}

/// Bytes waiting for a peer beyond which the peer is assumed not to read.
const MAX_OUTBOX_BYTES: usize = 8 * 1024 * 1024;

impl Outbox {
    /// An outbox with the hello of a new connection.
    pub fn new(hello: &Hello) -> Self {
        let mut outbox = Outbox::default();
        encode_hello::<Message>(&mut outbox.bytes, hello);
        outbox
    }

    /// Appends a message.
    pub fn send(&mut self, message: &Message) {
        if self.bytes.len() > MAX_OUTBOX_BYTES || encode_message(&mut self.bytes, message).is_err() {
            self.is_overfull = true;
        }
        self.wake.notify_one();
    }
}

/// Most by which the start of a process differs as seen by the clocks of the two sides, in seconds.
const START_TOLERANCE_S: f64 = 1.0;

/// An observation that the other side sent, as this side knows the node: `started_at_s` is the start of its process here,
/// `started_ago_s` the start that was observed. None where it was of another process. `spans_s` are for how long the node
/// counts as slow, very slow and unresponsive.
fn received_observation(
    started_at_s: Option<f64>,
    started_ago_s: Option<f64>,
    spans_s: [f64; 3],
    now_s: f64,
) -> Option<NodeObservation> {
    let is_same_process = match (started_at_s, started_ago_s) {
        (Some(here), Some(ago)) => (now_s - ago - here).abs() < START_TOLERANCE_S,
        (here, ago) => here.is_none() && ago.is_none(),
    };
    let [slow_for_s, very_slow_for_s, unresponsive_for_s] = spans_s;
    is_same_process.then_some(NodeObservation {
        started_at_s,
        observed_at_s: now_s,
        slow_for_s,
        very_slow_for_s,
        unresponsive_for_s,
    })
}
