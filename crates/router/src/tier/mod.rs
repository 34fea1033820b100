//! The two levels on sockets. A forwarder is a router whose decisions come from planners, as far as any can be asked: it
//! holds clients, queries, leaf calls and connections to data nodes, and stands between its dispatcher and its own module
//! (`forwarder`); `links` are its connections to planners. A planner holds the module for many forwarders (`planner`);
//! `post` is its listener. Who decides for what stands in `alderway_tier`, which data node in the decision module.
pub mod forwarder;
pub mod links;
pub mod planner;
pub mod post;

use alderway::interface::NodeObservation;
use alderway_tier::messages::Message;
use alderway_transport::{Hello, encode_hello, encode_message};
use std::rc::Rc;
use tokio::sync::Notify;

/// What waits to be written to a peer.
#[derive(Default)]
pub struct Outbox {
    pub bytes: Vec<u8>,
    pub wake: Rc<Notify>,
    /// It took too little for too long.
    pub over: bool,
}

/// Most bytes that wait for one peer: past that it is taken for one that does not read.
const MOST: usize = 8 * 1024 * 1024;

impl Outbox {
    pub fn new(hello: &Hello) -> Self {
        let mut outbox = Outbox::default();
        encode_hello::<Message>(&mut outbox.bytes, hello);
        outbox
    }

    pub fn send(&mut self, message: &Message) {
        if self.bytes.len() > MOST || encode_message(&mut self.bytes, message).is_err() {
            self.over = true;
        }
        self.wake.notify_one();
    }
}

/// Two readings of one start, each by its own side's clock, differ by less, in seconds.
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
