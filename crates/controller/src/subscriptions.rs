//! The listener of a control machine for routers: a task for each connection, and one that hands out what is due. Who is
//! told what, and when, stands in `alderway_control_plane::publisher`.
use crate::listen::serve_each;
use alderway_control_plane::messages::{ControlMessage, RouterMessage};
use alderway_control_plane::publisher::{Publisher, PublisherConfig, PublisherMetrics};
use alderway_control_plane::version::{Version, VersionNumber};
use alderway_control_plane::version_sink::{RouterSummary, VersionSink};
use alderway_sockets::Sender;
use alderway_telemetry::clock::Clock;
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello, exchange_hellos};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// Connections beside those of subscribed routers: on their way in, or about to be refused.
const PASSING: usize = 64;
/// No word of a router is longer.
const LONGEST_SAY: usize = 2048;
/// How often silences are looked at.
const LOOK: f64 = 0.5;
/// Before another try, where the system has no descriptor for a connection.
const PAUSE: Duration = Duration::from_millis(50);

struct Link {
    out: RefCell<Vec<u8>>,
    ready: Notify,
}

struct Inner {
    name: String,
    incarnation: u64,
    clock: Clock,
    terms: PublisherConfig,
    publisher: RefCell<Publisher>,
    links: RefCell<BTreeMap<u64, Rc<Link>>>,
    /// Something may be due that was not before.
    wake: Notify,
}

/// A control machine's subscriptions; its clones are the same ones. Runs in the thread that made it, until all are gone.
#[derive(Clone)]
pub struct Subscriptions {
    inner: Rc<Inner>,
    tasks: Rc<Tasks>,
    address: SocketAddr,
}

struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

impl Subscriptions {
    /// Listens from here on; `name` is how routers' lists call this machine.
    pub async fn listen(
        name: &str,
        incarnation: u64,
        at: SocketAddr,
        terms: PublisherConfig,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(at).await?;
        let (address, clock) = (listener.local_addr()?, Clock::default());
        let inner = Rc::new(Inner {
            name: name.into(),
            incarnation,
            clock,
            terms,
            publisher: RefCell::new(Publisher::new(terms, clock.now())),
            links: RefCell::default(),
            wake: Notify::new(),
        });
        let tasks = vec![spawn_local(accept(inner.clone(), listener)), spawn_local(hand_out(inner.clone()))];
        Ok(Subscriptions { inner, tasks: Rc::new(Tasks(tasks)), address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn links(&self) -> usize {
        self.inner.publisher.borrow().link_count()
    }

    pub fn newest(&self) -> VersionNumber {
        self.inner.publisher.borrow().latest()
    }

    pub fn met(&self) -> PublisherMetrics {
        self.inner.publisher.borrow().metrics
    }

    /// Stops listening and ends every connection.
    pub fn stop(&self) {
        self.tasks.0.iter().for_each(JoinHandle::abort);
        let all: Vec<u64> = self.inner.links.borrow().keys().copied().collect();
        all.into_iter().for_each(|link| self.inner.ended(link));
    }
}

impl VersionSink for Subscriptions {
    fn committed(&mut self, version: &Version) {
        let now = self.inner.clock.now();
        match self.inner.publisher.borrow_mut().commit(version, now) {
            Ok(true) => tracing::info!(target: "subscriptions", "version {} goes out", version.number),
            Ok(false) => {}
            Err(why) => tracing::error!(target: "subscriptions", "{why}"),
        }
        self.inner.wake.notify_one();
    }

    fn freshness(&mut self, age: f64, majority: bool) {
        self.inner.publisher.borrow_mut().set_freshness(age, majority, self.inner.clock.now());
    }

    fn summary(&self) -> RouterSummary {
        self.inner.publisher.borrow().summary(self.inner.clock.now())
    }
}

impl Inner {
    /// The connection's own task sees that it is no link any more.
    fn ended(&self, link: u64) {
        self.publisher.borrow_mut().close_link(link);
        if let Some(link) = self.links.borrow_mut().remove(&link) {
            link.ready.notify_one();
        }
    }

    /// Guards against connections whose other end is gone without a word, and whose routers have come again since: nothing
    /// would ever wake their tasks.
    fn end_formers(&self) {
        let publisher = self.publisher.borrow();
        let gone: Vec<Rc<Link>> = {
            let mut links = self.links.borrow_mut();
            links.extract_if(.., |number, _| !publisher.has_link(*number)).map(|(_, link)| link).collect()
        };
        gone.iter().for_each(|link| link.ready.notify_one());
    }
}

async fn hand_out(inner: Rc<Inner>) {
    let mut look = 0.0;
    loop {
        let now = inner.clock.now();
        if now >= look {
            look = now + LOOK;
            let silent = inner.publisher.borrow_mut().tick(now);
            for (link, router) in silent {
                tracing::warn!(target: "subscriptions", "router {router} is silent: its connection ends");
                inner.ended(link);
            }
        }
        loop {
            let next = inner.publisher.borrow_mut().next_message(now);
            let Some((number, bytes)) = next else { break };
            let link = inner.links.borrow().get(&number).cloned();
            if let Some(link) = link {
                *link.out.borrow_mut() = bytes;
                link.ready.notify_one();
            }
        }
        let due = inner.publisher.borrow().next_deadline().min(look);
        let wait = Duration::from_secs_f64((due - now).clamp(0.001, LOOK));
        let _ = timeout(wait, inner.wake.notified()).await;
    }
}

async fn accept(inner: Rc<Inner>, listener: TcpListener) {
    let most = inner.terms.max_links + PASSING;
    let speak = |stream| {
        let inner = inner.clone();
        async move {
            if let Err(why) = speak(&inner, &stream).await {
                tracing::warn!(target: "subscriptions", "one that dialled: {why}");
            }
        }
    };
    serve_each(listener, most, PAUSE, speak).await;
}

/// The link of one connection: it ends with it, whoever ended that.
struct Held<'a>(&'a Inner, u64, Rc<Link>);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.ended(self.1);
    }
}

/// Speaks until the connection ends; an error if it was of no use.
async fn speak(inner: &Inner, stream: &TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let (mut out, mut reader, mut space) =
        (vec![], FrameReader::<RouterMessage>::default(), vec![0; LONGEST_SAY]);
    let (name, incarnation) = (inner.name.clone(), inner.incarnation);
    encode_hello::<ControlMessage>(
        &mut out,
        &Hello { version: ControlMessage::VERSION, is_planner: false, incarnation, name },
    );
    let hello =
        exchange_hellos(stream, &mut out, &mut reader, &mut space).await.map_err(|why| why.to_string())?;
    let opened = inner.publisher.borrow_mut().open_link(&hello.name, hello.incarnation, inner.clock.now());
    let number = opened.map_err(|why| why.to_string())?;
    let link = Rc::new(Link { out: RefCell::default(), ready: Notify::new() });
    inner.links.borrow_mut().insert(number, link.clone());
    let held = Held(inner, number, link);
    inner.end_formers();
    // Bytes since the last whole word.
    let mut unread = 0;
    let mut sender = Sender::default();
    loop {
        loop {
            match reader.next_frame().map_err(|why| format!("{}: {why}", hello.name))? {
                Some(Received::Message(say)) => {
                    unread = 0;
                    inner.publisher.borrow_mut().receive(number, say, inner.clock.now());
                    inner.wake.notify_one();
                }
                Some(Received::Hello(_)) => return Err(format!("{} says hello twice", hello.name)),
                None if unread > LONGEST_SAY => return Err(format!("{}: a word too long", hello.name)),
                None => break,
            }
        }
        if !inner.publisher.borrow().has_link(number) {
            return Ok(());
        }
        let waits = {
            let mut out = held.2.out.borrow_mut();
            let given = !out.is_empty();
            if given {
                match sender.write(stream, &out) {
                    Ok(count) => drop(out.drain(..count)),
                    Err(_) => return Ok(()),
                }
                if out.is_empty() {
                    inner.publisher.borrow_mut().message_sent(number);
                    inner.wake.notify_one();
                }
            }
            !out.is_empty()
        };
        tokio::select! {
            ready = stream.readable() => if ready.is_err() { return Ok(()) },
            () = sender.ready(stream), if waits => continue,
            () = held.2.ready.notified() => continue,
        }
        match alderway_sockets::read(stream, &mut space) {
            Ok(Some(0)) | Err(_) => return Ok(()),
            Ok(Some(count)) => {
                unread += count;
                reader.feed(&space[..count]);
            }
            Ok(None) => {}
        }
    }
}
