//! Gossip among query routers (the members) over TCP: a listener for the members that dial this router, a
//! task for each member that this router dials, and the timers. Members exchange frames of updates, which are
//! reports about a member, its queries or a data node. The crate `alderway_peers` decides which updates are
//! sent, stored and accepted; observations of data nodes that a quorum of other routers agrees on are passed
//! to the dispatcher.
use crate::state::gossip_link::GossipLink;
use crate::state::metrics::{MetricsSnapshot, MetricsSource};
use crate::state::shared::ObservationMessage;
use crate::state::{DispatcherHandle, counters::Counters};
use alderway::interface::NodeObservation;
use alderway_peers::view::{LinkError, MemberState, View};
use alderway_peers::{Frame, GossipConfig, Name, ring};
use alderway_sockets::Sender;
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::turns::TaskKind;
use alderway_transport::{
    FrameReader, Hello, Received, SessionEnd, WireMessage, encode_hello, encode_message, exchange_hellos,
    keep_connected, serve_each,
};
use nix::sys::signal::Signal;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

/// A link on which no bytes are received for this many alive intervals (`GossipConfig::alive_interval_s`) is
/// closed.
const LINK_TIMEOUT_INTERVALS: f64 = 6.0;
/// Maximum number of bytes read from a socket at once.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The address at which each member accepts connections of other members, by member name.
pub type MemberAddresses = BTreeMap<Name, SocketAddr>;

/// The members and settings of gossip.
#[derive(Clone)]
pub struct GossipGroup {
    /// The addresses of all members, this router included, by name.
    pub members: MemberAddresses,
    /// Intervals and limits of gossip.
    pub config: GossipConfig,
    /// Whether this router sends its observations of data nodes to the other members.
    pub shares_observations: bool,
    /// Reads the list of members again; called at SIGHUP. `None` if the list can't change while the router
    /// runs.
    pub reload_members: Option<Arc<dyn Fn() -> Result<MemberAddresses, String> + Send + Sync>>,
}

impl GossipGroup {
    /// Maximum number of file descriptors that gossip uses: one for the listener, and four for each member
    /// that this router dials. As many members dial this router as this router dials. So there are at most
    /// two descriptors for each outgoing link and two for each incoming link: one for the open connection,
    /// and one for a further connection that is being opened.
    pub fn max_descriptors(&self) -> usize {
        if self.members.is_empty() { 0 } else { 2 * self.max_incoming_links() + 1 }
    }

    /// Maximum number of connections that other members may open: two for each member that dials this router.
    fn max_incoming_links(&self) -> usize {
        let names: BTreeSet<Name> = self.members.keys().cloned().collect();
        names.first().map_or(0, |any| 2 * ring::dial_targets(&names, any).len())
    }
}

/// The running gossip service, shared by the dispatcher and the tasks of the links.
pub struct GossipService {
    view: View,
    clock: Clock,
    name: Name,
    shares_observations: bool,
    counters: Counters,
}

type GossipHandle = Rc<RefCell<GossipService>>;

impl GossipService {
    /// Sends an observation of a data node by this router's policy. Operators disable `shares_observations`
    /// where routers reach data nodes over different network paths, since slowness then depends on the path
    /// too.
    fn share_observation(&mut self, node: &str, observation: NodeObservation) {
        if self.shares_observations {
            let NodeObservation { slow_for_s, very_slow_for_s, unresponsive_for_s, .. } = observation;
            let spans_s = [slow_for_s, very_slow_for_s, unresponsive_for_s];
            self.view.observe_node(node, observation.started_at_s, spans_s, self.clock.now());
        }
    }

    fn hello(&self) -> Hello {
        let (incarnation, name) = (self.view.incarnation(), self.name.clone());
        Hello { version: Frame::VERSION, is_planner: false, incarnation, name }
    }

    fn metrics(&self) -> MetricsSnapshot {
        let (counted, view) = (self.view.counters, &self.view);
        let mut counters = self.counters.clone();
        counters.add("words_told", counted.updates_sent as usize);
        counters.add("words_taken", counted.updates_new as usize);
        counters.add("words_known", counted.updates_known as usize);
        counters.add("words_stale", counted.updates_stale as usize);
        counters.add("words_former", counted.updates_of_former_incarnations as usize);
        counters.add("words_strange", counted.updates_of_unknown_origins as usize);
        counters.add("words_too_long", counted.updates_with_long_names as usize);
        counters.add("words_refuting", counted.refutations as usize);
        counters.add("frames_undated", counted.frames_undated as usize);
        let gauges = vec![
            ("peers_alive", view.count(MemberState::Alive) as u64),
            ("peers_missed", view.count(MemberState::Missed) as u64),
            ("peers_dead", view.count(MemberState::Dead) as u64),
            ("peers_left", view.count(MemberState::Left) as u64),
            ("peers_unheard", view.count(MemberState::NeverSeen) as u64),
            ("peer_links", view.link_count() as u64),
            ("words_kept", view.update_count() as u64),
        ];
        MetricsSnapshot { counters, gauges }
    }
}

impl MetricsSource for RefCell<GossipService> {
    fn metrics(&self) -> MetricsSnapshot {
        self.borrow().metrics()
    }
}

impl GossipLink for RefCell<GossipService> {
    fn share_observation(&self, node: &str, observation: NodeObservation) {
        self.borrow_mut().share_observation(node, observation);
    }

    fn query_ended(&self, late: bool) {
        self.borrow_mut().view.query_ended(late);
    }
}

/// Starts to listen and to dial members, and attaches the gossip service to the dispatcher, which shares
/// observations from then on.
///
/// # Errors
/// The group does not contain `name`, or a socket or a signal handler can't be created.
pub async fn start(
    dispatcher: &DispatcherHandle,
    group: GossipGroup,
    name: &str,
    incarnation: u64,
) -> io::Result<()> {
    let clock = dispatcher.borrow().clock;
    let listen = group.members.get(name).copied();
    let listen = listen.ok_or_else(|| {
        io::Error::other(format!("the list of gossip members does not contain this router's name, `{name}`"))
    })?;
    let listener = TcpListener::bind(listen).await?;
    tracing::info!(target: "peers", "{name} hears peers at {}", listener.local_addr()?);
    let (names, max_links) = (group.members.keys().cloned().collect(), group.max_incoming_links());
    let view = View::new(name, incarnation, &names, group.config, clock.now());
    let (name, shares_observations) = (name.to_string(), group.shares_observations);
    let gossip =
        GossipService { view, clock, name: name.clone(), shares_observations, counters: Counters::default() };
    let gossip = Rc::new(RefCell::new(gossip));
    dispatcher.borrow_mut().gossip = Some(gossip.clone());
    let context = LinkContext { dispatcher: dispatcher.clone(), gossip, config: group.config };
    spawn_local(accept(context.clone(), listener, max_links));
    spawn_local(tick(context.clone()));
    let mut dialer = Dialer { context, own_name: name, seed: incarnation, tasks: BTreeMap::new() };
    dialer.dial(&group.members);
    let (mut terminations, mut hangups) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGHUP)?);
    spawn_local(async move {
        loop {
            tokio::select! {
                () = terminations.recv() => {
                    dialer.context.gossip.borrow_mut().view.announce_leaving(clock.now());
                }
                () = hangups.recv() => dialer.reload(&group),
            }
        }
    });
    Ok(())
}

/// The tasks that keep this router connected to the members that it dials, by member name and address.
struct Dialer {
    context: LinkContext,
    own_name: Name,
    seed: u64,
    tasks: BTreeMap<(Name, SocketAddr), JoinHandle<()>>,
}

impl Dialer {
    /// Starts a task for each member that this router is to dial and has no task for, and aborts the tasks of
    /// other members.
    fn dial(&mut self, members: &MemberAddresses) {
        let targets = self.context.gossip.borrow().view.dial_targets();
        let targets: BTreeSet<(Name, SocketAddr)> = targets
            .into_iter()
            .filter_map(|name| members.get(&name).map(|address| (name, *address)))
            .collect();
        self.tasks.retain(|target, task| {
            let stays = targets.contains(target);
            if !stays {
                task.abort();
            }
            stays
        });
        for target in targets {
            let (context, address) = (self.context.clone(), target.1);
            let seed = self.seed ^ (self.tasks.len() as u64) << 17;
            self.tasks.entry(target).or_insert_with(|| spawn_local(stay_connected(context, address, seed)));
        }
    }

    /// Reads the list of members again. If the new list can't be read, is invalid or lacks this router, the
    /// old list remains in use.
    fn reload(&mut self, group: &GossipGroup) {
        let Some(reload_members) = &group.reload_members else { return };
        match reload_members() {
            Ok(members) if members.contains_key(&self.own_name) => {
                let (names, now) = (members.keys().cloned().collect(), self.context.now());
                self.context.gossip.borrow_mut().view.set_members(&names, now);
                self.dial(&members);
                tracing::info!(target: "peers", "reloaded the list of members: {} members", members.len());
            }
            Ok(_) => {
                tracing::warn!(
                    target: "peers",
                    "the reloaded list of members does not contain this router, `{}`; the old list holds",
                    self.own_name
                );
            }
            Err(error) => {
                tracing::warn!(target: "peers", "cannot reload the list of members: {error}; the old list holds")
            }
        }
    }
}

/// The state that the tasks of all links share.
#[derive(Clone)]
struct LinkContext {
    dispatcher: DispatcherHandle,
    gossip: GossipHandle,
    config: GossipConfig,
}

impl LinkContext {
    fn now(&self) -> f64 {
        self.gossip.borrow().clock.now()
    }

    fn log_changes(changes: Vec<(Name, MemberState)>) {
        for (name, state) in changes {
            tracing::info!(target: "peers", "member {name} changed to state `{state}`");
        }
    }

    /// Processes a received frame, logs members whose state has changed, and passes observations that a
    /// quorum of other routers agrees on to the dispatcher.
    fn frame_received(&self, link: u64, frame: Frame) {
        let now = self.now();
        LinkContext::log_changes(self.gossip.borrow_mut().view.frame_received(link, frame, now));
        let agreed = {
            let dispatcher = self.dispatcher.borrow();
            let started_at = |node: &str| dispatcher.endpoints.nodes.get(node).map(|node| node.started_at_s);
            self.gossip.borrow_mut().view.take_agreed_observations(started_at, now)
        };
        for (node, agreed) in agreed {
            let observation = NodeObservation {
                started_at_s: agreed.started_at_s,
                observed_at_s: agreed.observed_at_s,
                slow_for_s: agreed.slow_for_s,
                very_slow_for_s: agreed.very_slow_for_s,
                unresponsive_for_s: agreed.unresponsive_for_s,
            };
            let mut dispatcher = self.dispatcher.borrow_mut();
            let core = dispatcher.core;
            dispatcher.remote_observation(ObservationMessage { core, node, observation });
        }
    }

    fn open_link(&self, hello: &Hello) -> Result<OpenLink<'_>, LinkError> {
        let number = self.gossip.borrow_mut().view.link_opened(&hello.name, hello.incarnation)?;
        Ok(OpenLink { context: self, number })
    }
}

/// Calls `View::tick` twice in each frame interval, and passes the query counts of all routers to the
/// dispatcher.
async fn tick(context: LinkContext) {
    let mut ticks = interval(Duration::from_secs_f64(0.5 * context.config.frame_interval_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = context.now();
        LinkContext::log_changes(context.gossip.borrow_mut().view.tick(now));
        let counts = context.gossip.borrow_mut().view.take_query_counts();
        if let Some((late, in_time)) = counts {
            context.dispatcher.borrow_mut().receive_fleet_latency_counts(late, in_time);
        }
    }
}

async fn accept(context: LinkContext, listener: TcpListener, max_links: usize) {
    let turn_queue = context.dispatcher.borrow().turn_queue.clone();
    let serve = |stream: TcpStream| {
        let context = context.clone();
        async move {
            let address = stream.peer_addr();
            if let Err(error) = run_link(&context, &stream).await {
                context.gossip.borrow_mut().counters.increment("peer_links_refused");
                let address = address.map_or("a peer".into(), |address| address.to_string());
                tracing::warn!(target: "peers", "closed the connection from {address}: {error}");
            }
        }
    };
    serve_each(listener, max_links, &turn_queue, serve).await;
}

/// Dials a member and keeps a link to it until the task is aborted.
async fn stay_connected(context: LinkContext, address: SocketAddr, seed: u64) {
    let session = async |stream: TcpStream| {
        let connected_at = context.now();
        match run_link(&context, &stream).await {
            // A peer whose list of members lacks this router closes the connection at once. A connection that
            // ends within one alive interval therefore counts as unusable, so that the waits between dials
            // grow.
            Ok(()) if context.now() - connected_at > context.config.alive_interval_s => {
                SessionEnd::Established
            }
            Ok(()) => SessionEnd::Unusable,
            Err(error) => {
                tracing::warn!(target: "peers", "closed the connection to the peer at {address}: {error}");
                SessionEnd::Unusable
            }
        }
    };
    keep_connected(address, seed, session).await;
}

/// An open link to a member. Dropping this value removes the link from the gossip state.
struct OpenLink<'a> {
    context: &'a LinkContext,
    number: u64,
}

impl Drop for OpenLink<'_> {
    fn drop(&mut self) {
        self.context.gossip.borrow_mut().view.link_closed(self.number);
    }
}

/// What a link has waited for.
enum LinkEvent {
    Readable,
    Writable,
    /// The next frame to the peer is due.
    FrameDue,
}

/// Exchanges frames with a peer until the connection ends.
///
/// # Errors
/// The peer is not a member or violates the protocol.
async fn run_link(context: &LinkContext, stream: &TcpStream) -> Result<(), String> {
    let turn_times = context.dispatcher.borrow().turn_times.clone();
    turn_times.measure(TaskKind::Peer, exchange_frames(context, stream)).await
}

async fn exchange_frames(context: &LinkContext, stream: &TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let mut sender = Sender::default();
    let (mut out, mut reader, mut buffer) =
        (vec![], FrameReader::<Frame>::default(), vec![0; READ_BUFFER_BYTES]);
    encode_hello::<Frame>(&mut out, &context.gossip.borrow().hello());
    let hello = exchange_hellos(stream, &mut out, &mut reader, &mut buffer).await;
    let hello = hello.map_err(|error| error.to_string())?;
    let link = context.open_link(&hello).map_err(|error| error.to_string())?;
    let mut last_received_at = context.now();
    let timeout_s = LINK_TIMEOUT_INTERVALS * context.config.alive_interval_s;
    let mut frames = interval(Duration::from_secs_f64(context.config.frame_interval_s));
    frames.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut turns = context.dispatcher.borrow().turn_queue.turns();
    loop {
        loop {
            turns.give_way().await;
            match reader.next_frame() {
                Ok(Some(Received::Message(frame))) => context.frame_received(link.number, frame),
                Ok(Some(Received::Hello(_))) => return Err("the peer sent a second hello".into()),
                Ok(None) => break,
                Err(error) => return Err(error.to_string()),
            }
        }
        if !out.is_empty() {
            match sender.write(stream, &out) {
                Ok(count) => drop(out.drain(..count)),
                Err(_) => return Ok(()),
            }
        }
        let event = async {
            tokio::select! {
                _ = stream.readable() => LinkEvent::Readable,
                () = sender.ready(stream), if !out.is_empty() => LinkEvent::Writable,
                _ = frames.tick() => LinkEvent::FrameDue,
            }
        };
        match turns.wait(event).await {
            LinkEvent::Readable => {}
            LinkEvent::Writable => continue,
            // While the last frame is not fully written, no new frame is created. Updates that arrive
            // meanwhile remain in the store and are sent in the next frame.
            LinkEvent::FrameDue => {
                let now = context.now();
                if now - last_received_at > timeout_s {
                    tracing::warn!(
                        target: "peers",
                        "closed the link to {}: nothing was received for {timeout_s:.1} s",
                        hello.name
                    );
                    return Ok(());
                }
                if out.is_empty() {
                    let frame = context.gossip.borrow_mut().view.next_frame(link.number, now);
                    let Some(frame) = frame else { return Ok(()) };
                    // If the frame exceeds the maximum message length, nothing is sent, and the updates in
                    // the frame are not sent again on this link. The next frame contains only updates that
                    // were not in the dropped frame.
                    let _ = encode_message(&mut out, &frame);
                }
                continue;
            }
        }
        match alderway_sockets::read(stream, &mut buffer) {
            Ok(Some(0)) | Err(_) => return Ok(()),
            Ok(Some(count)) => {
                last_received_at = context.now();
                reader.feed(&buffer[..count]);
            }
            Ok(None) => {}
        }
    }
}
