//! Forwarders and planners on sockets. A forwarder is a router that holds clients, queries, attempts and
//! connections to data nodes, and gets the decisions on its queries from planners, or from its local policy
//! while no planner is available. `forwarder` is the part of a forwarder that passes input to planners and
//! the local policy and carries out their decisions; `planner_links` holds a forwarder's connections to
//! planners. A planner runs one policy for many forwarders: `planner` is a planner's state, `planner_server`
//! accepts forwarders. The crate `alderway_tier` assigns each query to a planner or the local policy; the
//! policy chooses the data nodes.
pub mod forwarder;
pub mod planner;
pub mod planner_links;
pub mod planner_server;

use alderway::interface::NodeObservation;
use alderway_tier::messages::Message;
use alderway_transport::{Hello, encode_hello, encode_message};
use std::rc::Rc;
use tokio::sync::Notify;

/// The bytes that wait to be written to the peer of one connection.
#[derive(Default)]
pub struct Outbox {
    /// The encoded messages that were not written yet.
    pub bytes: Vec<u8>,
    /// Notified when bytes are to be written to the connection, or when the connection is to be closed.
    pub wake: Rc<Notify>,
    /// Whether the connection is to be closed: more than `MAX_OUTBOX_BYTES` bytes waited because the peer
    /// does not read, a message could not be encoded, or, on a planner, the forwarder has not acknowledged a
    /// heartbeat in time.
    pub is_overfull: bool,
}

/// Maximum number of waiting bytes; beyond it the peer is assumed not to read, and the connection is closed.
const MAX_OUTBOX_BYTES: usize = 8 * 1024 * 1024;

impl Outbox {
    /// Creates the outbox of a new connection, which starts with `hello`.
    pub fn new(hello: &Hello) -> Self {
        let mut outbox = Outbox::default();
        encode_hello::<Message>(&mut outbox.bytes, hello);
        outbox
    }

    /// Appends an encoded message and notifies the task of the connection. If the message can't be encoded,
    /// or more than `MAX_OUTBOX_BYTES` bytes wait already, the connection is marked to be closed.
    pub fn send(&mut self, message: &Message) {
        if self.bytes.len() > MAX_OUTBOX_BYTES || encode_message(&mut self.bytes, message).is_err() {
            self.is_overfull = true;
        }
        self.wake.notify_one();
    }
}

/// Maximum difference in seconds between the start times of one data node process as computed by two
/// machines.
const START_TOLERANCE_S: f64 = 1.0;

/// Converts a received observation of a data node. `started_at_s` is when the node's process started
/// according to this process's endpoint list, in seconds of this process's clock; `started_ago_s` are the
/// seconds from the start of the observed process to the sending of the message. `spans_s` are the seconds
/// from receipt, `now_s`, for which the node counts as slow, as very slow and as unresponsive. Returns `None`
/// if the observation is of an earlier or later process of the node.
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
