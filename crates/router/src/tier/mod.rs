//! The two levels on sockets. A forwarder is a router whose decisions come from planners, as far as any can be asked: it
//! holds clients, queries, leaf calls and connections to data nodes, and stands between its dispatcher and its own module
//! (`forwarder`); `links` are its connections to planners. A planner holds the module for many forwarders (`planner`);
//! `post` is its listener. Who decides for what stands in `alderway_tier`, which data node in the decision module.
pub mod forwarder;
pub mod links;
pub mod planner;
pub mod post;

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
