//! The listener for routers: each holds one connection, asks for versions and is sent those that it lacks. Which router is
//! sent what, and when, is decided by [`alderway_control_plane::publisher`]; here are the sockets.
mod connection;
mod distributor;
mod hub;

use alderway_control_plane::publisher::{PublisherConfig, PublisherMetrics};
use alderway_control_plane::version::{Version, VersionNumber};
use alderway_control_plane::version_sink::{RouterSummary, VersionSink};
use hub::Hub;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};

/// The subscriptions at one control server. A clone is another handle on the same ones; the tasks run on the thread that
/// called [`Subscriptions::listen`] until the last handle is dropped.
#[derive(Clone)]
pub struct Subscriptions {
    hub: Rc<Hub>,
    tasks: Rc<Tasks>,
    address: SocketAddr,
}

struct Tasks(Vec<JoinHandle<()>>);

impl Tasks {
    fn abort(&self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.abort();
    }
}

impl Subscriptions {
    /// Listens for routers. `name` is what routers' lists call this control server, `incarnation` a number that each of its
    /// starts has for itself.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn listen(
        name: &str,
        incarnation: u64,
        address: SocketAddr,
        config: PublisherConfig,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let hub = Rc::new(Hub::new(name, incarnation, config));
        let accept = spawn_local(connection::accept(hub.clone(), listener));
        let distribute = spawn_local(distributor::run(hub.clone()));
        Ok(Subscriptions { hub, tasks: Rc::new(Tasks(vec![accept, distribute])), address })
    }

    /// Where it listens, with the port that the system chose if none was given.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections of routers.
    pub fn link_count(&self) -> usize {
        self.hub.publisher.borrow().link_count()
    }

    /// The latest version that it has to send; 0: none.
    pub fn latest(&self) -> VersionNumber {
        self.hub.publisher.borrow().latest()
    }

    /// What was sent and received so far.
    pub fn metrics(&self) -> PublisherMetrics {
        self.hub.publisher.borrow().metrics
    }

    /// Stops listening and ends every connection.
    pub fn stop(&self) {
        self.tasks.abort();
        self.hub.close_all();
    }
}

impl VersionSink for Subscriptions {
    fn committed(&mut self, version: &Version) {
        let now = self.hub.clock.now();
        match self.hub.publisher.borrow_mut().commit(version, now) {
            Ok(true) => tracing::info!(target: "subscriptions", "version {} is distributed", version.number),
            Ok(false) => {}
            Err(error) => tracing::error!(target: "subscriptions", "{error}"),
        }
        self.hub.changed.notify_one();
    }

    fn freshness(&mut self, staleness_s: f64, has_quorum: bool) {
        let now = self.hub.clock.now();
        self.hub.publisher.borrow_mut().set_freshness(staleness_s, has_quorum, now);
    }

    fn summary(&self) -> RouterSummary {
        self.hub.publisher.borrow().summary(self.hub.clock.now())
    }
}
