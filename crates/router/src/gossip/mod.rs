//! Routers that know each other, on sockets: a listener for those that dial this one, a task for each that it dials, and
//! the beat. What is told, kept and believed stands in `alderway_peers`; this is how it gets from socket to socket, and
//! from there to the dispatcher, as word of another decision point.
use crate::state::gossip_link::GossipLink;
use crate::state::metrics::{MetricsSnapshot, MetricsSource};
use crate::state::shared::ObservationMessage;
use crate::state::{DispatcherHandle, counters::Counters};
use alderway::interface::NodeObservation;
use alderway_peers::view::{Refused, State, View};
use alderway_peers::{Frame, Name, Terms, ring};
use alderway_sockets::Sender;
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use alderway_transport::{
    FrameReader, Hello, Received, SessionEnd, WireMessage, encode_hello, encode_message, exchange_hellos,
    keep_connected,
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
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Without a frame for so many pulses a link is dialled anew.
const SILENT: f64 = 6.0;

/// All members by name, with where each listens for the others.
pub type Members = BTreeMap<Name, SocketAddr>;

/// Who the members are, and how they tell each other.
#[derive(Clone)]
pub struct Circle {
    pub members: Members,
    pub terms: Terms,
    /// Whether data nodes that are late for this router or sick are told of.
    pub verdicts: bool,
    /// Reads the list again, at SIGHUP.
    pub again: Option<Arc<dyn Fn() -> Result<Members, String> + Send + Sync>>,
}

impl Circle {
    /// Descriptors that links may take: those dialled, as many that dial, one that is on its way each, and the listener.
    pub fn descriptors(&self) -> usize {
        let names: BTreeSet<Name> = self.members.keys().cloned().collect();
        names.first().map_or(0, |any| 4 * ring::dialled(&names, any).len() + 1)
    }
}

/// What the dispatcher and the links share.
pub struct Peers {
    pub view: View,
    clock: Clock,
    name: Name,
    verdicts: bool,
    counters: Counters,
}

pub type Held = Rc<RefCell<Peers>>;

impl Peers {
    /// What the own module saw of a data node; spans from now on. Where routers have unlike ways to data nodes the
    /// operator has nothing told of these: whether a node is late depends on the way to it too.
    pub fn say(&mut self, node: &str, seen: NodeObservation) {
        if self.verdicts {
            self.view.say(
                node,
                seen.started_at_s,
                [seen.slow_for_s, seen.very_slow_for_s, seen.unresponsive_for_s],
                self.clock.now(),
            );
        }
    }

    fn hello(&self) -> Hello {
        let (incarnation, name) = (self.view.incarnation(), self.name.clone());
        Hello { version: Frame::VERSION, is_planner: false, incarnation, name }
    }

    pub fn figures(&self) -> (Counters, Vec<(&'static str, u64)>) {
        let (met, view) = (self.view.met, &self.view);
        let mut counters = self.counters.clone();
        counters.add("words_told", met.words_told as usize);
        counters.add("words_taken", met.words_taken as usize);
        counters.add("words_known", met.words_known as usize);
        counters.add("words_stale", met.words_stale as usize);
        counters.add("words_former", met.words_former as usize);
        counters.add("words_strange", met.words_strange as usize);
        counters.add("words_refuting", met.refuted as usize);
        counters.add("frames_undated", met.frames_undated as usize);
        let open = vec![
            ("peers_alive", view.count(State::Alive) as u64),
            ("peers_missed", view.count(State::Missed) as u64),
            ("peers_dead", view.count(State::Dead) as u64),
            ("peers_left", view.count(State::Left) as u64),
            ("peers_unheard", view.count(State::Unheard) as u64),
            ("peer_links", view.links() as u64),
            ("words_kept", view.kept() as u64),
        ];
        (counters, open)
    }
}

impl MetricsSource for RefCell<Peers> {
    fn metrics(&self) -> MetricsSnapshot {
        let (counters, gauges) = self.borrow().figures();
        MetricsSnapshot { counters, gauges }
    }
}

impl GossipLink for RefCell<Peers> {
    fn share_observation(&self, node: &str, observation: NodeObservation) {
        self.borrow_mut().say(node, observation);
    }

    fn query_ended(&self, late: bool) {
        self.borrow_mut().view.over(late);
    }
}

/// Starts listening and dialling; the dispatcher tells from here on what its module sees.
pub async fn start(
    dispatcher: &DispatcherHandle,
    circle: Circle,
    name: &str,
    incarnation: u64,
) -> io::Result<()> {
    let clock = dispatcher.borrow().clock;
    let own = circle.members.get(name).copied().ok_or_else(|| io::Error::other("not of the members"))?;
    let listener = TcpListener::bind(own).await?;
    tracing::info!(target: "peers", "{name} hears peers at {}", listener.local_addr()?);
    let names = circle.members.keys().cloned().collect();
    let view = View::new(name, incarnation, &names, circle.terms, clock.now());
    let (name, verdicts) = (name.to_string(), circle.verdicts);
    let held = Peers { view, clock, name: name.clone(), verdicts, counters: Counters::default() };
    let peers = Rc::new(RefCell::new(held));
    dispatcher.borrow_mut().gossip = Some(peers.clone());
    let ends = Ends { dispatcher: dispatcher.clone(), peers, terms: circle.terms };
    spawn_local(accept(ends.clone(), listener));
    spawn_local(tick(ends.clone()));
    let mut dials = Dials { ends, own: name, seed: incarnation, tasks: BTreeMap::new() };
    dials.set(&circle.members);
    let (mut terms, mut hangups) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGHUP)?);
    spawn_local(async move {
        loop {
            tokio::select! {
                () = terms.recv() => dials.ends.peers.borrow_mut().view.leave(clock.now()),
                () = hangups.recv() => dials.read_again(&circle),
            }
        }
    });
    Ok(())
}

/// Tasks that keep up links to whoever this router dials.
struct Dials {
    ends: Ends,
    own: Name,
    seed: u64,
    tasks: BTreeMap<(Name, SocketAddr), JoinHandle<()>>,
}

impl Dials {
    fn set(&mut self, members: &Members) {
        let dialled = self.ends.peers.borrow().view.dials();
        let wanted: BTreeSet<(Name, SocketAddr)> =
            dialled.into_iter().filter_map(|name| members.get(&name).map(|at| (name, *at))).collect();
        self.tasks.retain(|whom, task| {
            let stays = wanted.contains(whom);
            if !stays {
                task.abort();
            }
            stays
        });
        for whom in wanted {
            let (ends, at) = (self.ends.clone(), whom.1);
            let seed = self.seed ^ (self.tasks.len() as u64) << 17;
            self.tasks.entry(whom).or_insert_with(|| spawn_local(keep(ends, at, seed)));
        }
    }

    /// Guards against a list that is missing, faulty or leaves this router out: the old one holds.
    fn read_again(&mut self, circle: &Circle) {
        let Some(again) = &circle.again else { return };
        match again() {
            Ok(members) if members.contains_key(&self.own) => {
                let (names, now) = (members.keys().cloned().collect(), self.ends.clock());
                self.ends.peers.borrow_mut().view.set_members(&names, now);
                self.set(&members);
                tracing::info!(target: "peers", "{} members", members.len());
            }
            Ok(_) => {
                tracing::warn!(target: "peers", "the new list leaves this router out; the old one holds")
            }
            Err(why) => tracing::warn!(target: "peers", "{why}; the old list holds"),
        }
    }
}

#[derive(Clone)]
struct Ends {
    dispatcher: DispatcherHandle,
    peers: Held,
    terms: Terms,
}

impl Ends {
    fn clock(&self) -> f64 {
        self.peers.borrow().clock.now()
    }

    fn say(changes: Vec<(Name, State)>) {
        for (name, state) in changes {
            tracing::info!(target: "peers", "{name} is {state}");
        }
    }

    /// A frame has come: what it shows of members is said, what is believed of data nodes goes to the module.
    fn came(&self, link: u64, frame: Frame) {
        let now = self.clock();
        Ends::say(self.peers.borrow_mut().view.came(link, frame, now));
        let believed = {
            let dispatcher = self.dispatcher.borrow();
            let started = |node: &str| dispatcher.endpoints.nodes.get(node).map(|node| node.started_at_s);
            self.peers.borrow_mut().view.heard(started, now)
        };
        for (node, verdict) in believed {
            let (started, seen) = (verdict.started, verdict.seen);
            let seen = NodeObservation {
                started_at_s: started,
                observed_at_s: seen,
                slow_for_s: verdict.late,
                very_slow_for_s: verdict.far,
                unresponsive_for_s: verdict.sick,
            };
            let mut dispatcher = self.dispatcher.borrow_mut();
            let core = dispatcher.core;
            dispatcher.remote_observation(ObservationMessage { core, node, observation: seen });
        }
    }

    fn greeted(&self, hello: &Hello) -> Result<u64, Refused> {
        self.peers.borrow_mut().view.greeted(&hello.name, hello.incarnation)
    }
}

async fn tick(ends: Ends) {
    let mut ticks = interval(Duration::from_secs_f64(0.5 * ends.terms.beat));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = ends.clock();
        Ends::say(ends.peers.borrow_mut().view.tick(now));
        let over = ends.peers.borrow_mut().view.fleet();
        if let Some((late, in_time)) = over {
            ends.dispatcher.borrow_mut().receive_fleet_latency_counts(late, in_time);
        }
    }
}

async fn accept(ends: Ends, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = alderway_sockets::accept(&listener).await else {
            sleep(alderway_sockets::PAUSE).await;
            continue;
        };
        let ends = ends.clone();
        spawn_local(async move {
            if let Err(why) = speak(&ends, &stream).await {
                ends.peers.borrow_mut().counters.increment("peer_links_refused");
                tracing::warn!(target: "peers", "one that dialled: {why}");
            }
        });
    }
}

/// Keeps up a link for as long as it is wanted.
async fn keep(ends: Ends, at: SocketAddr, seed: u64) {
    let session = async |stream: TcpStream| {
        let connected_at = ends.clock();
        match speak(&ends, &stream).await {
            // A peer whose list lacks this router ends the connection at once: it is dialled ever less.
            Ok(()) if ends.clock() - connected_at > ends.terms.pulse => SessionEnd::Established,
            Ok(()) => SessionEnd::Unusable,
            Err(why) => {
                tracing::warn!(target: "peers", "peer at {at}: {why}");
                SessionEnd::Unusable
            }
        }
    };
    keep_connected(at, seed, session).await;
}

/// The link of one connection: it ends with it, whoever ended that.
struct Link<'a>(&'a Ends, u64);

impl Drop for Link<'_> {
    fn drop(&mut self) {
        self.0.peers.borrow_mut().view.ended(self.1);
    }
}

/// Speaks until the connection ends; an error if it was of no use.
async fn speak(ends: &Ends, stream: &TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let mut sender = Sender::default();
    let (mut out, mut reader, mut space) = (vec![], FrameReader::<Frame>::default(), vec![0; 64 * 1024]);
    encode_hello::<Frame>(&mut out, &ends.peers.borrow().hello());
    let hello =
        exchange_hellos(stream, &mut out, &mut reader, &mut space).await.map_err(|why| why.to_string())?;
    let link = Link(ends, ends.greeted(&hello).map_err(|why| why.to_string())?);
    let (mut heard, patience) = (ends.clock(), SILENT * ends.terms.pulse);
    let mut beats = interval(Duration::from_secs_f64(ends.terms.beat));
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        loop {
            match reader.next_frame() {
                Ok(Some(Received::Message(frame))) => ends.came(link.1, frame),
                Ok(Some(Received::Hello(_))) => return Err("it says hello twice".into()),
                Ok(None) => break,
                Err(why) => return Err(why.to_string()),
            }
        }
        if !out.is_empty() {
            match sender.write(stream, &out) {
                Ok(count) => drop(out.drain(..count)),
                Err(_) => return Ok(()),
            }
        }
        tokio::select! {
            ready = stream.readable() => if ready.is_err() { return Ok(()) },
            () = sender.ready(stream), if !out.is_empty() => continue,
            // What a slow link has not taken is not written twice: the next frame holds what is new by then.
            _ = beats.tick() => {
                let now = ends.clock();
                if now - heard > patience {
                    tracing::warn!(target: "peers", "{} is silent: its link ends", hello.name);
                    return Ok(());
                }
                if out.is_empty() {
                    let Some(frame) = ends.peers.borrow_mut().view.frame(link.1, now) else { return Ok(()) };
                    // A frame that is too long is left out; the next one holds what is newest.
                    let _ = encode_message(&mut out, &frame);
                }
                continue;
            }
        }
        match alderway_sockets::read(stream, &mut space) {
            Ok(Some(0)) | Err(_) => return Ok(()),
            Ok(Some(count)) => {
                heard = ends.clock();
                reader.feed(&space[..count]);
            }
            Ok(None) => {}
        }
    }
}
