//! Control servers and routers without sockets: connections with delays that hold bytes while they are cut, clocks that
//! differ and drift, control servers that are stale, stop and restart, routers that reject versions and crash. Time passes
//! as a test says, and random choices are seeded. The invariants of a subscription are asserted with each step.
use super::traffic::{Connection, TrafficMeter};
use alderway_control_plane::content;
use alderway_control_plane::messages::ApplyOutcome;
use alderway_control_plane::publisher::{LinkId, Publisher, PublisherConfig};
use alderway_control_plane::rate_limit::{CONTROL_TO_ALL_ROUTERS, CONTROL_TO_ROUTER, ROUTER_TO_CONTROL};
use alderway_control_plane::subscriber::{
    Command, ConfigVersion, ControlEndpoint, Event, Subscriber, SubscriptionConfig,
};
use alderway_control_plane::version::{Version, VersionNumber};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds within which all routers have the newest version after the last fault.
pub const CONVERGENCE_LIMIT_S: f64 = 16.0;
/// Seconds between two steps of the time.
const STEP_S: f64 = 0.02;
/// What a byte count may exceed its limit by, because the clocks of both sides drift against the network's.
const CLOCK_TOLERANCE: f64 = 1.002;

pub fn version(number: VersionNumber, settings: Value) -> Version {
    Version {
        number,
        proposal_id: format!("p{number}"),
        author: "a".into(),
        reason: "w".into(),
        at_unix_ms: 0,
        settings,
    }
}

/// Settings that differ little from one number to the next, of about so many bytes.
pub fn settings(number: VersionNumber, filler: usize) -> Value {
    json!({"Limits": {"MaxOpen": 100 + number, "MayCancel": true}, "Discovery": "automatic",
           "Filler": (0..filler / 16).map(|n| format!("{:013}", n)).collect::<Vec<_>>()})
}

/// Settings that have nothing in common with those of another number.
pub fn random_settings(number: VersionNumber, length: usize) -> Value {
    let mut random = Pcg32::new(number, 5);
    let text: String = (0..length / 8).map(|_| format!("{:08x}", random.next_u32())).collect();
    json!({"Filler": text})
}

pub struct Router {
    pub subscriber: Subscriber,
    pub name: String,
    pub zone: String,
    /// Its clock: seconds at the network's time 0, and seconds per second.
    clock_offset_s: f64,
    clock_rate: f64,
    /// The persisted version; lasts through a crash.
    pub disk: Option<ConfigVersion>,
    pub crashes: u64,
    /// Versions that it rejects.
    pub rejects: BTreeSet<VersionNumber>,
    /// Versions that need a restart, with the keys that do.
    pub needs_restart: BTreeMap<VersionNumber, Vec<String>>,
    /// A version that is being applied, and when that ends.
    applying: Option<(f64, VersionNumber)>,
    /// Versions by the time at which they became active.
    pub applied: Vec<(f64, VersionNumber)>,
    pub events: Vec<(f64, Event)>,
    pub connection: Option<u64>,
    /// Bytes to the router and from it.
    pub received: TrafficMeter,
    pub sent: TrafficMeter,
}

pub struct ControlServer {
    pub publisher: Publisher,
    pub name: String,
    pub zone: String,
    pub is_running: bool,
    /// Gets what is committed.
    pub follows: bool,
    /// When its newest version was last confirmed.
    pub confirmed_at: f64,
    pub has_quorum: bool,
    pub sent: TrafficMeter,
}

pub struct SubscriptionNetwork {
    pub now: f64,
    pub routers: Vec<Router>,
    pub servers: Vec<ControlServer>,
    pub(super) connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    /// Pairs of router and control server between which no bytes pass; connection attempts time out.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Committed settings by number, and when they were committed.
    pub(super) committed: BTreeMap<VersionNumber, (f64, String)>,
    pub(super) delay_s: f64,
    /// Seconds that a router takes to apply a version.
    apply_s: f64,
    random: Pcg32,
}

impl SubscriptionNetwork {
    pub fn new(routers: usize, servers: usize, seed: u64) -> SubscriptionNetwork {
        let mut network = SubscriptionNetwork {
            now: 0.0,
            routers: vec![],
            servers: vec![],
            connections: BTreeMap::new(),
            last_connection: 0,
            cut_links: BTreeSet::new(),
            committed: BTreeMap::new(),
            delay_s: 0.01,
            apply_s: 0.05,
            random: Pcg32::new(seed, 3),
        };
        for n in 0..servers {
            network.add_server(n);
        }
        for n in 0..routers {
            network.add_router(n, servers);
        }
        network
    }

    fn add_server(&mut self, n: usize) {
        self.servers.push(ControlServer {
            publisher: Publisher::new(PublisherConfig::default(), self.server_clock(n)),
            name: format!("c{n}"),
            zone: format!("z{n}"),
            is_running: true,
            follows: true,
            confirmed_at: f64::NEG_INFINITY,
            has_quorum: true,
            sent: TrafficMeter::default(),
        });
    }

    fn add_router(&mut self, n: usize, servers: usize) {
        let clock_offset_s = 1e4 * self.draw();
        let clock_rate = 1.0 + 0.0008 * (2.0 * self.draw() - 1.0);
        let zone = format!("z{}", n % servers);
        let subscriber = self.new_subscriber(n, &zone, None, clock_offset_s);
        self.routers.push(Router {
            subscriber,
            name: format!("r{n:03}"),
            zone,
            clock_offset_s,
            clock_rate,
            disk: None,
            crashes: 0,
            rejects: BTreeSet::new(),
            needs_restart: BTreeMap::new(),
            applying: None,
            applied: vec![],
            events: vec![],
            connection: None,
            received: TrafficMeter::default(),
            sent: TrafficMeter::default(),
        });
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn new_subscriber(
        &mut self,
        n: usize,
        zone: &str,
        persisted: Option<ConfigVersion>,
        now: f64,
    ) -> Subscriber {
        let endpoint =
            |server: &ControlServer| ControlEndpoint { name: server.name.clone(), zone: server.zone.clone() };
        let endpoints = self.servers.iter().map(endpoint).collect();
        let seed = u64::from(self.random.next_u32()) ^ (n as u64) << 33;
        let persisted = persisted.map(|version| (version, None));
        Subscriber::new(SubscriptionConfig::default(), endpoints, zone, persisted, seed, now)
    }

    pub fn router_clock(&self, n: usize) -> f64 {
        self.routers[n].clock_offset_s + self.routers[n].clock_rate * self.now
    }

    pub fn server_clock(&self, n: usize) -> f64 {
        500.0 * (n + 1) as f64 + (1.0 - 0.0003 * n as f64) * self.now
    }

    /// Commits a version: every control server that follows gets it.
    pub fn commit(&mut self, settings: Value) {
        let number = self.latest() + 1;
        self.committed.insert(number, (self.now, content::canonical_json(&settings)));
        for n in 0..self.servers.len() {
            if self.servers[n].follows && self.servers[n].is_running {
                let at = self.server_clock(n);
                assert_eq!(
                    self.servers[n].publisher.commit(&version(number, settings.clone()), at),
                    Ok(true)
                );
            }
        }
    }

    /// The newest committed version.
    pub fn latest(&self) -> VersionNumber {
        self.committed.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// A control server gets everything that was committed, and follows from now on.
    pub fn follow(&mut self, n: usize) {
        self.servers[n].follows = true;
        self.publish_committed(n, self.latest());
    }

    /// A control server starts anew with the versions up to a number.
    pub fn restart_server(&mut self, n: usize, up_to: VersionNumber) {
        self.stop_server(n);
        self.servers[n].publisher = Publisher::new(PublisherConfig::default(), self.server_clock(n));
        self.servers[n].is_running = true;
        self.publish_committed(n, up_to);
    }

    fn publish_committed(&mut self, n: usize, up_to: VersionNumber) {
        let at = self.server_clock(n);
        for (number, (_, text)) in self.committed.range(..=up_to) {
            let settings = serde_json::from_str(text).expect("canonical settings");
            let committed = self.servers[n].publisher.commit(&version(*number, settings), at);
            assert!(committed.is_ok(), "{committed:?}");
        }
    }

    pub fn stop_server(&mut self, n: usize) {
        self.servers[n].is_running = false;
        let of_server = self.connections.iter().filter(|(_, connection)| connection.server == n);
        let closed: Vec<u64> = of_server.map(|(id, _)| *id).collect();
        closed.into_iter().for_each(|id| self.close(id));
    }

    /// A connection ends for both sides.
    pub fn close(&mut self, id: u64) {
        let Some(closed) = self.connections.remove(&id) else { return };
        if let Some(link) = closed.link {
            self.servers[closed.server].publisher.close_link(link);
        }
        if self.routers[closed.router].connection == Some(id) {
            let at = self.router_clock(closed.router);
            self.routers[closed.router].connection = None;
            self.routers[closed.router].subscriber.connection_closed(at);
        }
    }

    /// A router crashes and starts with its persisted version.
    pub fn crash_router(&mut self, n: usize) {
        if let Some(id) = self.routers[n].connection.take() {
            self.close(id);
        }
        let (zone, persisted) = (self.routers[n].zone.clone(), self.routers[n].disk.clone());
        let subscriber = self.new_subscriber(n, &zone, persisted, self.router_clock(n));
        let router = &mut self.routers[n];
        router.subscriber = subscriber;
        router.applying = None;
        router.crashes += 1;
        let active = router.subscriber.versions().active().number;
        router.applied.push((self.now, active));
    }

    pub fn is_cut(&self, router: usize, server: usize) -> bool {
        self.cut_links.contains(&(router, server))
    }

    /// Cuts a control server off from the routers of a zone, or from all.
    pub fn cut_zone(&mut self, server: usize, zone: Option<usize>) {
        for (n, router) in self.routers.iter().enumerate() {
            if zone.is_none_or(|zone| router.zone == format!("z{zone}")) {
                self.cut_links.insert((n, server));
            }
        }
    }

    /// Advances the time by a step.
    pub fn step(&mut self) {
        self.now += STEP_S;
        for n in 0..self.servers.len() {
            if self.servers[n].is_running {
                self.tick_server(n);
            }
        }
        self.open_connections();
        self.deliver();
        for n in 0..self.routers.len() {
            self.complete_apply(n);
            let at = self.router_clock(n);
            if self.routers[n].subscriber.next_deadline() <= at {
                self.routers[n].subscriber.tick(at);
            }
            self.run_commands(n);
            self.send_from_router(n);
            self.check_staleness(n);
        }
        self.send_from_servers();
    }

    fn tick_server(&mut self, n: usize) {
        let at = self.server_clock(n);
        let server = &mut self.servers[n];
        if server.follows && server.has_quorum {
            server.confirmed_at = self.now;
        }
        server.publisher.set_freshness(self.now - server.confirmed_at, server.has_quorum, at);
        for (link, _) in server.publisher.tick(at) {
            self.close_timed_out(n, link);
        }
    }

    fn close_timed_out(&mut self, server: usize, link: LinkId) {
        let mut connections = self.connections.iter();
        let found = connections.find(|(_, connection)| connection.is_link(server, link));
        if let Some((id, router)) = found.map(|(id, connection)| (*id, connection.router))
            && !self.is_cut(router, server)
        {
            self.close(id);
        }
    }

    /// A router has applied a version, or not.
    fn complete_apply(&mut self, n: usize) {
        let router = &mut self.routers[n];
        let Some((_, number)) = router.applying.take_if(|(end, _)| self.now >= *end) else { return };
        let outcome = if router.rejects.contains(&number) {
            ApplyOutcome::Rejected(format!("key `Limits` of {number}"))
        } else if let Some(keys) = router.needs_restart.get(&number) {
            ApplyOutcome::PendingRestart(keys.clone())
        } else {
            ApplyOutcome::Applied
        };
        if outcome == ApplyOutcome::Applied {
            let before = router.applied.last().map_or(0, |(_, number)| *number);
            assert!(number > before, "{} went back from {before} to {number}", router.name);
            router.applied.push((self.now, number));
        }
        router.subscriber.offer_completed(number, outcome);
    }

    fn run_commands(&mut self, n: usize) {
        while let Some(command) = self.routers[n].subscriber.next_command() {
            match command {
                Command::Connect(server) => self.connect(n, server),
                Command::Disconnect => self.disconnect(n),
                Command::Apply { number, settings } => {
                    self.assert_committed(number, &content::canonical_json(&settings));
                    self.routers[n].applying = Some((self.now + self.apply_s, number));
                }
                Command::Persist(version) => {
                    self.assert_committed(version.number, &version.text);
                    let before = self.routers[n].disk.as_ref().map_or(0, |disk| disk.number);
                    assert!(version.number > before, "{} after {before}", version.number);
                    self.routers[n].disk = Some(version);
                }
                Command::Log(event) => self.routers[n].events.push((self.now, event)),
            }
        }
    }

    fn connect(&mut self, router: usize, server: usize) {
        if let Some(id) = self.routers[router].connection.take() {
            self.close(id);
        }
        self.last_connection += 1;
        let open_at = self.now + 2.0 * self.delay_s;
        self.connections.insert(self.last_connection, Connection::new(router, server, open_at));
        self.routers[router].connection = Some(self.last_connection);
    }

    /// The router closes its connection. Over a cut link the control server does not learn of it.
    fn disconnect(&mut self, router: usize) {
        if let Some(id) = self.routers[router].connection.take()
            && let Some(closed) = self.connections.remove(&id)
            && let Some(link) = closed.link
            && !self.is_cut(router, closed.server)
        {
            self.servers[closed.server].publisher.close_link(link);
        }
    }

    /// A version has the settings that were committed under its number.
    fn assert_committed(&self, number: VersionNumber, text: &str) {
        let (_, committed) = &self.committed[&number];
        assert_eq!(text, committed, "version {number} is what was committed");
    }

    /// The staleness that a router states is never less than the true one.
    fn check_staleness(&self, n: usize) {
        let active = self.active(n);
        let Some(stated_s) = self.routers[n].subscriber.staleness_s(self.router_clock(n)) else { return };
        let next = self.committed.range(active + 1..).next();
        let true_s = next.map_or(0.0, |(_, (committed_at, _))| self.now - committed_at);
        assert!(
            stated_s + 1e-6 >= true_s,
            "{} states {stated_s} s, true is {true_s} s",
            self.routers[n].name
        );
    }

    pub fn run_for(&mut self, duration_s: f64) {
        let end = self.now + duration_s;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds, and returns after how many seconds it does.
    pub fn run_until(&mut self, limit_s: f64, holds: impl Fn(&SubscriptionNetwork) -> bool) -> f64 {
        let start = self.now;
        while !holds(self) {
            assert!(self.now - start < limit_s, "not within {limit_s} s");
            self.step();
        }
        self.now - start
    }

    /// The version that is active at a router.
    pub fn active(&self, n: usize) -> VersionNumber {
        self.routers[n].subscriber.versions().active().number
    }

    /// The newest version is active at all routers.
    pub fn all_current(&self) -> bool {
        (0..self.routers.len()).all(|n| self.active(n) == self.latest())
    }

    /// Name of the control server that a router is subscribed at.
    pub fn connected_to(&self, n: usize) -> Option<String> {
        self.routers[n].subscriber.connected_to().map(|endpoint| endpoint.name.clone())
    }

    pub fn has_logged(&self, n: usize, matches: impl Fn(&Event) -> bool) -> bool {
        self.routers[n].events.iter().any(|(_, event)| matches(event))
    }

    /// The bytes of any one second to each router, from it, and from each control server were within the limits.
    pub fn assert_rate_limits(&self) {
        let check = |name: &str, meter: &TrafficMeter, limit: f64| {
            assert!(meter.peak_bytes as f64 <= limit * CLOCK_TOLERANCE, "{name}: {}", meter.peak_bytes);
        };
        for router in &self.routers {
            check(&router.name, &router.received, CONTROL_TO_ROUTER.max_bytes_in_one_second());
            check(&router.name, &router.sent, ROUTER_TO_CONTROL.max_bytes_in_one_second());
        }
        for server in &self.servers {
            check(&server.name, &server.sent, CONTROL_TO_ALL_ROUTERS.max_bytes_in_one_second());
        }
    }
}
