//! Runs a subscription: executes the commands of the [`Subscriber`], such as connecting to a control server
//! or applying settings, and passes the results to the subscriber.
use super::connection::{Connection, ConnectionError, Incoming};
use alderway_control_plane::messages::ApplyOutcome;
use alderway_control_plane::rate_limit::{ROUTER_READ, TokenBucket};
use alderway_control_plane::subscriber::{Command, ConfigVersion, Event as LogEvent, Subscriber};
use alderway_control_plane::version::VersionNumber;
use alderway_telemetry::clock::Clock;
use alderway_transport::{Incarnation, Name};
use serde_json::Value;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The driver does not read from the control server while the rate limit allows fewer bytes than this.
const MIN_READ_BYTES: usize = 200;
/// Interval between two calls of [`SubscribedRouter::observe`], in seconds.
const OBSERVE_INTERVAL_S: f64 = 0.5;
/// Longest time that the driver waits for an event before it calls the subscriber again, in seconds.
const MAX_WAIT_S: f64 = 1.0;
/// Shortest time that the driver waits for an event before it calls the subscriber again, in seconds.
const MIN_WAIT_S: f64 = 0.0005;

type BoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A function that applies the settings of a version, and returns the outcome.
pub type ApplyCallback = Box<dyn Fn(Value, VersionNumber) -> BoxFuture<ApplyOutcome>>;
/// A function that publishes metrics of the subscription. Its arguments are the subscriber, the bytes
/// transferred so far, and the time in seconds of [`SubscribedRouter::clock`]; the function is called every
/// `OBSERVE_INTERVAL_S` seconds.
pub type ObserveCallback = Box<dyn FnMut(&Subscriber, ControlTraffic, f64)>;
/// A function that persists a version for the next start, with the time at which the version was last
/// confirmed as the latest, in seconds of [`SubscribedRouter::clock`]; `None` if that time is unknown.
pub type PersistCallback = Box<dyn Fn(ConfigVersion, Option<f64>)>;

/// Number of bytes transferred on all connections to control servers since the program started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Bytes received from control servers.
    pub received_bytes: u64,
    /// Bytes sent to control servers.
    pub sent_bytes: u64,
}

/// The data that the driver needs about the router that subscribes: the router's identity, the addresses of
/// its control servers, and the functions that the driver calls.
pub struct SubscribedRouter {
    /// The name that the router sends to control servers.
    pub name: Name,
    /// A number that identifies this process among all runs of the router.
    pub incarnation: Incarnation,
    /// The name and address of each control server, in the same order as in the subscriber.
    pub control_servers: Vec<(Name, SocketAddr)>,
    /// The clock whose time is passed to the subscriber and the callbacks.
    pub clock: Clock,
    /// Applies the settings of a version.
    pub apply: ApplyCallback,
    /// Persists a version for the next start.
    pub persist: PersistCallback,
    /// Publishes metrics of the subscription. The driver calls this function every `OBSERVE_INTERVAL_S`
    /// seconds with the subscriber and the number of bytes transferred.
    pub observe: ObserveCallback,
    /// Whether the driver writes the events in the subscriber's [`Command::Log`] to the log, for example that
    /// a connection to a control server was closed.
    pub log_events: bool,
}

/// Runs a subscription for ever; abort the task to end the subscription.
pub async fn run(subscriber: Subscriber, router: SubscribedRouter) {
    let read_limit = TokenBucket::empty(ROUTER_READ, router.clock.now());
    let driver = Driver {
        subscriber,
        router,
        connecting: None,
        connection: None,
        applying: None,
        read_limit,
        buffer: vec![0; ROUTER_READ.burst_bytes as usize],
        traffic: ControlTraffic::default(),
        next_observation: 0.0,
    };
    driver.run().await;
}

struct Connecting {
    server_name: Name,
    stream: BoxFuture<io::Result<TcpStream>>,
}

struct Applying {
    number: VersionNumber,
    outcome: BoxFuture<ApplyOutcome>,
}

/// An event for which the driver waits.
enum Event {
    Connected(io::Result<TcpStream>),
    Applied(ApplyOutcome),
    /// The connection to the control server is readable; the value is false if the connection has failed.
    Readable(bool),
    Writable,
    DeadlineReached,
}

struct Driver {
    subscriber: Subscriber,
    router: SubscribedRouter,
    connecting: Option<Connecting>,
    connection: Option<Connection>,
    applying: Option<Applying>,
    read_limit: TokenBucket,
    buffer: Vec<u8>,
    traffic: ControlTraffic,
    next_observation: f64,
}

impl Driver {
    async fn run(mut self) {
        loop {
            let now = self.router.clock.now();
            self.subscriber.tick(now);
            self.execute_commands();
            self.observe(now);
            self.send_messages(now);
            let max_read_bytes = self.read_limit.available_bytes(now).min(self.buffer.len());
            let event = self.next_event(now, max_read_bytes).await;
            self.handle(event, max_read_bytes);
        }
    }

    fn execute_commands(&mut self) {
        while let Some(command) = self.subscriber.next_command() {
            match command {
                Command::Connect(index) => self.connect(index),
                Command::Disconnect => (self.connection, self.connecting) = (None, None),
                Command::Apply { number, settings } => {
                    let outcome = (self.router.apply)(settings, number);
                    self.applying = Some(Applying { number, outcome });
                }
                Command::Persist(version) => (self.router.persist)(version, self.subscriber.confirmed_at()),
                Command::Log(event) if self.router.log_events => log(&event),
                Command::Log(_) => {}
            }
        }
    }

    fn connect(&mut self, index: usize) {
        self.connection = None;
        let Some((server_name, address)) = self.router.control_servers.get(index).cloned() else { return };
        let stream = Box::pin(alderway_sockets::dial(address));
        self.connecting = Some(Connecting { server_name, stream });
    }

    fn observe(&mut self, now: f64) {
        if now >= self.next_observation {
            (self.router.observe)(&self.subscriber, self.traffic, now);
            self.next_observation = now + OBSERVE_INTERVAL_S;
        }
    }

    /// Sends the subscriber's messages to the control server, as many as the socket accepts.
    fn send_messages(&mut self, now: f64) {
        let Some(connection) = &mut self.connection else { return };
        while connection.is_ready_to_send()
            && let Some(message) = self.subscriber.next_message(now)
        {
            connection.send(message);
            match connection.write() {
                Ok(count) => self.traffic.sent_bytes += count as u64,
                // The message stays queued; the next write also fails, and that failure closes the
                // connection.
                Err(_) => return,
            }
        }
    }

    async fn next_event(&mut self, now: f64, max_read_bytes: usize) -> Event {
        let may_read = max_read_bytes >= MIN_READ_BYTES;
        let has_output = self.connection.as_ref().is_some_and(Connection::has_output);
        let wait = Duration::from_secs_f64(self.wait_s(now, may_read));
        tokio::select! {
            biased;
            stream = connected(&mut self.connecting) => Event::Connected(stream),
            outcome = applied(&mut self.applying) => Event::Applied(outcome),
            is_open = readable(&self.connection), if may_read => Event::Readable(is_open),
            () = writable(&self.connection), if has_output => Event::Writable,
            () = sleep(wait) => Event::DeadlineReached,
        }
    }

    /// Returns how long to wait for an event, in seconds: until the subscriber's next deadline, or until the
    /// rate limit allows reading again.
    fn wait_s(&self, now: f64, may_read: bool) -> f64 {
        let waits_for_limit = !may_read && self.connection.is_some();
        let read_at = if waits_for_limit { self.read_limit.ready_at(MIN_READ_BYTES) } else { f64::INFINITY };
        let deadline = self.subscriber.next_deadline().min(read_at).min(now + MAX_WAIT_S);
        (deadline - now).max(MIN_WAIT_S)
    }

    fn handle(&mut self, event: Event, max_read_bytes: usize) {
        match event {
            Event::Connected(Ok(stream)) => self.open(stream),
            Event::Connected(Err(_)) => {
                self.connecting = None;
                self.subscriber.connection_closed(self.router.clock.now());
            }
            Event::Applied(outcome) => {
                if let Some(Applying { number, .. }) = self.applying.take() {
                    self.subscriber.offer_completed(number, outcome);
                }
            }
            Event::Readable(true) => {
                let received = self.receive(max_read_bytes);
                self.close_on_error(received);
            }
            Event::Readable(false) => self.close_on_error(Err(ConnectionError::Closed)),
            Event::Writable => {
                let written = self.write();
                self.close_on_error(written);
            }
            Event::DeadlineReached => {}
        }
    }

    fn open(&mut self, stream: TcpStream) {
        let Some(Connecting { server_name, .. }) = self.connecting.take() else { return };
        let (own_name, incarnation) = (self.router.name.clone(), self.router.incarnation);
        self.connection = Some(Connection::new(stream, server_name, own_name, incarnation));
    }

    /// Reads at most `max_bytes` from the control server, and passes all complete messages to the subscriber.
    fn receive(&mut self, max_bytes: usize) -> Result<(), ConnectionError> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        let count = connection.read(&mut self.buffer[..max_bytes])?;
        self.read_limit.try_take(count, self.router.clock.now());
        self.traffic.received_bytes += count as u64;
        while let Some(incoming) = connection.next_incoming()? {
            let now = self.router.clock.now();
            match incoming {
                Incoming::Greeted => self.subscriber.connection_opened(now),
                Incoming::Message(message) => self.subscriber.receive(message, now),
            }
        }
        Ok(())
    }

    fn write(&mut self) -> Result<(), ConnectionError> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        self.traffic.sent_bytes += connection.write()? as u64;
        Ok(())
    }

    fn close_on_error(&mut self, result: Result<(), ConnectionError>) {
        let Err(error) = result else { return };
        // The subscriber logs closed connections.
        if !matches!(error, ConnectionError::Closed) {
            tracing::warn!(target: "control", "the connection to a control server is closed: {error}");
        }
        if self.connection.take().is_some() {
            self.subscriber.connection_closed(self.router.clock.now());
        }
    }
}

fn log(event: &LogEvent) {
    if event.is_warning() {
        tracing::warn!(target: "control", "{event}");
    } else {
        tracing::info!(target: "control", "{event}");
    }
}

async fn connected(connecting: &mut Option<Connecting>) -> io::Result<TcpStream> {
    match connecting {
        Some(connecting) => connecting.stream.as_mut().await,
        None => pending().await,
    }
}

async fn applied(applying: &mut Option<Applying>) -> ApplyOutcome {
    match applying {
        Some(applying) => applying.outcome.as_mut().await,
        None => pending().await,
    }
}

async fn readable(connection: &Option<Connection>) -> bool {
    match connection {
        Some(connection) => connection.readable().await,
        None => pending().await,
    }
}

async fn writable(connection: &Option<Connection>) {
    match connection {
        Some(connection) => connection.writable().await,
        None => pending().await,
    }
}
