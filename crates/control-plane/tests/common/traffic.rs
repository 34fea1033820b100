//! Bytes between control servers and routers: connections, delays, and what passed in any one second.
use super::subscription_network::SubscriptionNetwork;
use alderway_control_plane::content;
use alderway_control_plane::messages::{ControlMessage, RouterMessage};
use alderway_control_plane::publisher::LinkId;
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;

/// Counts bytes, and the most of them in any one second.
#[derive(Default)]
pub struct TrafficMeter {
    recent: VecDeque<(f64, usize)>,
    pub peak_bytes: usize,
    pub total_bytes: usize,
}

impl TrafficMeter {
    fn record(&mut self, now: f64, bytes: usize) {
        self.total_bytes += bytes;
        self.recent.push_back((now, bytes));
        while self.recent.front().is_some_and(|(at, _)| now - at > 1.0) {
            self.recent.pop_front();
        }
        self.peak_bytes = self.peak_bytes.max(self.recent.iter().map(|(_, bytes)| bytes).sum());
    }
}

pub struct Connection {
    pub router: usize,
    pub server: usize,
    /// None before the control server has accepted it.
    pub link: Option<LinkId>,
    open_at: f64,
    /// Frames by the time at which they arrive.
    to_router: VecDeque<(f64, Vec<u8>)>,
    to_server: VecDeque<(f64, Vec<u8>)>,
    router_reader: FrameReader<ControlMessage>,
    server_reader: FrameReader<RouterMessage>,
}

impl Connection {
    pub fn new(router: usize, server: usize, open_at: f64) -> Connection {
        Connection {
            router,
            server,
            link: None,
            open_at,
            to_router: VecDeque::new(),
            to_server: VecDeque::new(),
            router_reader: FrameReader::default(),
            server_reader: FrameReader::default(),
        }
    }

    pub fn is_link(&self, server: usize, link: LinkId) -> bool {
        self.server == server && self.link == Some(link)
    }
}

/// A hello as the first frame of a connection.
pub fn hello_frame<M: WireMessage>(name: &str, incarnation: u64) -> Vec<u8> {
    let mut frame = vec![];
    let hello = Hello { version: M::VERSION, is_planner: false, incarnation, name: name.into() };
    encode_hello::<M>(&mut frame, &hello);
    frame
}

/// The messages in the frames that have arrived.
fn arrived<M: WireMessage + Debug>(
    queue: &mut VecDeque<(f64, Vec<u8>)>,
    reader: &mut FrameReader<M>,
    now: f64,
) -> Vec<M> {
    let mut messages = vec![];
    while let Some((_, bytes)) = queue.pop_front_if(|(at, _)| *at <= now) {
        reader.feed(&bytes);
        while let Some(read) = reader.next_frame().expect("sound frames") {
            if let Received::Message(message) = read {
                messages.push(message);
            }
        }
    }
    messages
}

impl SubscriptionNetwork {
    /// Connections whose attempt has taken its time come to be, where the control server accepts them.
    pub(super) fn open_connections(&mut self) {
        let due = self.connections.iter().filter(|(_, connection)| {
            connection.link.is_none()
                && self.now >= connection.open_at
                && !self.is_cut(connection.router, connection.server)
        });
        let due: Vec<(u64, usize, usize)> =
            due.map(|(id, connection)| (*id, connection.router, connection.server)).collect();
        for (id, router, server) in due {
            self.open_connection(id, router, server);
        }
    }

    fn open_connection(&mut self, id: u64, router: usize, server: usize) {
        let (name, incarnation) = (self.routers[router].name.clone(), self.routers[router].crashes + 1);
        let at = self.server_clock(server);
        let control = &mut self.servers[server];
        let opened = control.is_running.then(|| control.publisher.open_link(&name, incarnation, at));
        let Some(Ok(link)) = opened else { return self.close(id) };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.link = Some(link);
        connection.router_reader.feed(&hello_frame::<ControlMessage>(&control.name, 1));
        connection.server_reader.feed(&hello_frame::<RouterMessage>(&name, incarnation));
        let at = self.router_clock(router);
        self.routers[router].subscriber.connection_opened(at);
    }

    /// Bytes arrive whose time has come. Over a cut link they wait, as TCP has them wait.
    pub(super) fn deliver(&mut self) {
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        for id in ids {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            let (router, server, link) = (connection.router, connection.server, connection.link);
            if self.cut_links.contains(&(router, server)) {
                continue;
            }
            let to_router = arrived(&mut connection.to_router, &mut connection.router_reader, self.now);
            let to_server = arrived(&mut connection.to_server, &mut connection.server_reader, self.now);
            let at = self.router_clock(router);
            for message in to_router {
                self.assert_content_committed(&message);
                self.routers[router].subscriber.receive(message, at);
            }
            let at = self.server_clock(server);
            if let Some(link) = link {
                let publisher = &mut self.servers[server].publisher;
                to_server.into_iter().for_each(|message| publisher.receive(link, message, at));
            }
        }
    }

    /// No version and no content is sent that was not committed.
    fn assert_content_committed(&self, message: &ControlMessage) {
        if let ControlMessage::ContentPart { number, digest, .. } = message {
            let (_, text) = self.committed.get(number).expect("a committed version");
            assert_eq!(*digest, content::digest(text));
        }
    }

    pub(super) fn send_from_router(&mut self, n: usize) {
        let (at, arrives_at) = (self.router_clock(n), self.now + self.delay_s);
        let Some(id) = self.routers[n].connection else { return };
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.link.is_some())
        else {
            return;
        };
        let router = &mut self.routers[n];
        while let Some(frame) = router.subscriber.next_message(at) {
            router.sent.record(self.now, frame.len());
            connection.to_server.push_back((arrives_at, frame));
        }
    }

    pub(super) fn send_from_servers(&mut self) {
        for n in 0..self.servers.len() {
            if self.servers[n].is_running {
                self.send_from_server(n);
            }
        }
    }

    fn send_from_server(&mut self, n: usize) {
        let (at, arrives_at) = (self.server_clock(n), self.now + self.delay_s);
        let of_server = self.connections.iter().filter(|(_, connection)| connection.server == n);
        let by_link: BTreeMap<LinkId, u64> =
            of_server.filter_map(|(id, connection)| Some((connection.link?, *id))).collect();
        let server = &mut self.servers[n];
        while let Some((link, frame)) = server.publisher.next_message(at) {
            server.publisher.message_sent(link);
            server.sent.record(self.now, frame.len());
            // The router may have left the connection over a cut link.
            let Some(connection) = by_link.get(&link).and_then(|id| self.connections.get_mut(id)) else {
                continue;
            };
            self.routers[connection.router].received.record(self.now, frame.len());
            connection.to_router.push_back((arrives_at, frame));
        }
    }
}
