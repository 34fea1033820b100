//! What the tasks of the subscriptions share: the publisher, and the output of each connection.
use alderway_control_plane::publisher::{Publisher, PublisherConfig};
use alderway_sockets::TurnQueue;
use alderway_telemetry::clock::Clock;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A connection's number with the publisher.
pub(super) type LinkNumber = u64;

/// The side of a connection that the distributor writes to.
#[derive(Default)]
pub(super) struct Link {
    /// The message that is being written to the socket.
    pub(super) output: RefCell<Vec<u8>>,
    /// Notified when there is output, or when the connection has been closed.
    pub(super) changed: Notify,
}

pub(super) struct Hub {
    /// What routers' lists call this control server.
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) clock: Clock,
    /// The tasks of the subscriptions that have used up their turn.
    pub(super) turn_queue: TurnQueue,
    pub(super) config: PublisherConfig,
    pub(super) publisher: RefCell<Publisher>,
    links: RefCell<BTreeMap<LinkNumber, Rc<Link>>>,
    /// Notified when a message may be due that was not due before.
    pub(super) changed: Notify,
}

impl Hub {
    pub(super) fn new(name: &str, incarnation: u64, config: PublisherConfig) -> Hub {
        let clock = Clock::default();
        Hub {
            name: name.into(),
            incarnation,
            clock,
            turn_queue: TurnQueue::default(),
            config,
            publisher: RefCell::new(Publisher::new(config, clock.now())),
            links: RefCell::default(),
            changed: Notify::new(),
        }
    }

    pub(super) fn link(&self, number: LinkNumber) -> Option<Rc<Link>> {
        self.links.borrow().get(&number).cloned()
    }

    pub(super) fn add(&self, number: LinkNumber) -> Rc<Link> {
        let link = Rc::<Link>::default();
        self.links.borrow_mut().insert(number, link.clone());
        link
    }

    /// Closes a link. The task that serves its connection is woken, sees that the publisher has no such link any more, and
    /// ends the connection.
    pub(super) fn close(&self, number: LinkNumber) {
        self.publisher.borrow_mut().close_link(number);
        if let Some(link) = self.links.borrow_mut().remove(&number) {
            link.changed.notify_one();
        }
    }

    pub(super) fn close_all(&self) {
        let all: Vec<LinkNumber> = self.links.borrow().keys().copied().collect();
        all.into_iter().for_each(|number| self.close(number));
    }

    /// Closes links that the publisher has replaced, because their routers connected again. Guards against connections
    /// whose other end vanished without closing them: nothing else would ever wake their tasks.
    pub(super) fn close_replaced(&self) {
        let publisher = self.publisher.borrow();
        let replaced: Vec<Rc<Link>> = {
            let mut links = self.links.borrow_mut();
            links.extract_if(.., |number, _| !publisher.has_link(*number)).map(|(_, link)| link).collect()
        };
        replaced.iter().for_each(|link| link.changed.notify_one());
    }
}
