//! The connection of one router.
use super::hub::{Hub, Link, LinkNumber};
use alderway_control_plane::messages::{ControlMessage, RouterMessage};
use alderway_control_plane::publisher::LinkError;
use alderway_sockets::Sender;
use alderway_transport::{
    FrameError, FrameReader, HandshakeError, Hello, Received, encode_hello, exchange_hellos, serve_each,
};
use std::rc::Rc;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};

/// Connections beside those of subscribed routers: those that have not sent their hello yet, and those about to be refused.
const MAX_UNSUBSCRIBED_CONNECTIONS: usize = 64;
/// No message of a router is longer.
const MAX_MESSAGE_BYTES: usize = 2048;

/// Why a connection was ended by this side.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    #[error("{0}")]
    Refused(LinkError),
    #[error("{router}: {source}")]
    Frame { router: String, source: FrameError },
    #[error("{0} sent a second hello")]
    RepeatedHello(String),
    #[error("{0} sent a message over {MAX_MESSAGE_BYTES} bytes")]
    MessageTooLong(String),
}

/// Serves routers for as long as the subscriptions live.
pub(super) async fn accept(hub: Rc<Hub>, listener: TcpListener) {
    let max_connections = hub.config.max_links + MAX_UNSUBSCRIBED_CONNECTIONS;
    let turn_queue = hub.turn_queue.clone();
    let serve = |stream| {
        let hub = hub.clone();
        async move {
            if let Err(error) = serve(&hub, &stream).await {
                tracing::warn!(target: "subscriptions", "incoming connection: {error}");
            }
        }
    };
    serve_each(listener, max_connections, &turn_queue, serve).await;
}

/// Reads requests and writes messages until the connection or its link ends.
async fn serve(hub: &Hub, stream: &TcpStream) -> Result<(), ConnectionError> {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::open(hub, stream).await?;
    let mut turns = hub.turn_queue.turns();
    loop {
        turns.give_way().await;
        connection.receive_all()?;
        if !connection.has_link() {
            return Ok(());
        }
        let Ok(is_pending) = connection.write() else { return Ok(()) };
        let is_readable = turns.wait(connection.readable_or_changed(is_pending)).await;
        if is_readable && !connection.read() {
            return Ok(());
        }
    }
}

/// The connection was closed, by either side or by the network.
struct ConnectionOver;

/// A subscribed router's connection. Dropping it closes its link, however the connection ended.
struct Connection<'a> {
    hub: &'a Hub,
    stream: &'a TcpStream,
    router: String,
    number: LinkNumber,
    link: Rc<Link>,
    reader: FrameReader<RouterMessage>,
    sender: Sender,
    buffer: Vec<u8>,
    /// Bytes received since the last whole message.
    partial_bytes: usize,
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        self.hub.close(self.number);
    }
}

impl<'a> Connection<'a> {
    /// Exchanges hellos and opens a link with the publisher.
    async fn open(hub: &'a Hub, stream: &'a TcpStream) -> Result<Self, ConnectionError> {
        let (mut output, mut reader) = (vec![], FrameReader::<RouterMessage>::default());
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        let own_hello = Hello::new::<ControlMessage>(hub.name.clone(), hub.incarnation);
        encode_hello::<ControlMessage>(&mut output, &own_hello);
        let hello = exchange_hellos(stream, &mut output, &mut reader, &mut buffer).await?;
        let Hello { name: router, incarnation, .. } = hello;
        let number = hub.publisher.borrow_mut().open_link(&router, incarnation, hub.clock.now());
        let number = number.map_err(ConnectionError::Refused)?;
        let link = hub.add(number);
        hub.close_replaced();
        let sender = Sender::default();
        Ok(Connection { hub, stream, router, number, link, reader, sender, buffer, partial_bytes: 0 })
    }

    fn has_link(&self) -> bool {
        self.hub.publisher.borrow().has_link(self.number)
    }

    /// Waits until there is something to read, which is also the end of the connection, or to write; true for the former.
    async fn readable_or_changed(&self, is_pending: bool) -> bool {
        tokio::select! {
            _ = self.stream.readable() => true,
            () = self.sender.ready(self.stream), if is_pending => false,
            () = self.link.changed.notified() => false,
        }
    }

    /// Hands all whole messages to the publisher.
    fn receive_all(&mut self) -> Result<(), ConnectionError> {
        let router = || self.router.clone();
        loop {
            let frame = self.reader.next_frame();
            match frame.map_err(|source| ConnectionError::Frame { router: router(), source })? {
                Some(Received::Message(message)) => {
                    self.partial_bytes = 0;
                    self.hub.publisher.borrow_mut().receive(self.number, message, self.hub.clock.now());
                    self.hub.changed.notify_one();
                }
                Some(Received::Hello(_)) => return Err(ConnectionError::RepeatedHello(router())),
                None if self.partial_bytes > MAX_MESSAGE_BYTES => {
                    return Err(ConnectionError::MessageTooLong(router()));
                }
                None => return Ok(()),
            }
        }
    }

    /// Writes what the socket takes of the link's output, and tells the publisher once all of it is written; true where
    /// some is left.
    fn write(&mut self) -> Result<bool, ConnectionOver> {
        let mut output = self.link.output.borrow_mut();
        if output.is_empty() {
            return Ok(false);
        }
        let count = self.sender.write(self.stream, &output).map_err(|_| ConnectionOver)?;
        output.drain(..count);
        if output.is_empty() {
            self.hub.publisher.borrow_mut().message_sent(self.number);
            self.hub.changed.notify_one();
        }
        Ok(!output.is_empty())
    }

    /// Reads what has arrived; false at the end of the connection.
    fn read(&mut self) -> bool {
        match alderway_sockets::read(self.stream, &mut self.buffer) {
            Ok(Some(0)) | Err(_) => false,
            Ok(Some(count)) => {
                self.partial_bytes += count;
                self.reader.feed(&self.buffer[..count]);
                true
            }
            Ok(None) => true,
        }
    }
}
