//! Stories of control machines and routers without sockets: connections with delays that hold bytes while they are cut,
//! clocks that agree on nothing and drift, machines that are stale, stop and start anew, routers that refuse, wait and
//! crash. Time passes as a story says; chance is seeded. Bytes are counted as they go out.
use alderway_control_plane::content::{self, MAX_SETTINGS_BYTES, VersionContent};
use alderway_control_plane::messages::{ApplyOutcome, ControlMessage, RouterMessage};
use alderway_control_plane::publisher::{self, CACHED_VERSIONS, CacheError, LinkError, Publisher};
use alderway_control_plane::rate_limit::{CONTROL_TO_ALL_ROUTERS, CONTROL_TO_ROUTER, ROUTER_TO_CONTROL};
use alderway_control_plane::subscriber::{
    Command, ConfigVersion, ControlEndpoint, Event, Subscriber, SubscriptionConfig,
};
use alderway_control_plane::version::{Version, VersionNumber};
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// After healing all are at one version within so long.
const HEALED: f64 = 16.0;
const STEP: f64 = 0.02;

fn version(number: VersionNumber, settings: Value) -> Version {
    Version {
        number,
        proposal_id: format!("p{number}"),
        author: "a".into(),
        reason: "w".into(),
        at_unix_ms: 0,
        settings,
    }
}

fn settings(number: VersionNumber, filler: usize) -> Value {
    json!({"Limits": {"MaxOpen": 100 + number, "MayCancel": true}, "Discovery": "automatic",
           "Filler": (0..filler / 16).map(|n| format!("{:013}", n)).collect::<Vec<_>>()})
}

/// Settings that are nowhere like those of another number.
fn strewn(number: VersionNumber, length: usize) -> Value {
    let mut chance = Pcg32::new(number, 5);
    let text: String = (0..length / 8).map(|_| format!("{:08x}", chance.next_u32())).collect();
    json!({"Filler": text})
}

struct Router {
    subscriber: Subscriber,
    name: String,
    zone: String,
    offset: f64,
    rate: f64,
    /// What lasts through a crash.
    disk: Option<ConfigVersion>,
    crashes: u64,
    /// Versions that it refuses, and the keys that wait for a start in each.
    refuses: BTreeSet<VersionNumber>,
    waits: BTreeMap<VersionNumber, Vec<String>>,
    /// An offer under way: when it ends by the world's clock.
    offer: Option<(f64, VersionNumber)>,
    in_force: Vec<(f64, VersionNumber)>,
    notes: Vec<(f64, Event)>,
    conn: Option<u64>,
    /// Bytes down and up, as they went out.
    down: VecDeque<(f64, usize)>,
    up: VecDeque<(f64, usize)>,
    most: (usize, usize),
    sum: (usize, usize),
}

struct Conn {
    router: usize,
    machine: usize,
    link: Option<u64>,
    /// Not before then has the dial come through.
    open_at: f64,
    greeted: bool,
    to_router: VecDeque<(f64, Vec<u8>)>,
    to_machine: VecDeque<(f64, Vec<u8>)>,
    by_router: FrameReader<ControlMessage>,
    by_machine: FrameReader<RouterMessage>,
}

struct Desk {
    publisher: Publisher,
    name: String,
    zone: String,
    up: bool,
    /// Follows what is committed.
    follows: bool,
    /// When it last knew its newest to be the newest.
    as_of: f64,
    majority: bool,
    sent: VecDeque<(f64, usize)>,
    most: usize,
}

struct World {
    now: f64,
    routers: Vec<Router>,
    machines: Vec<Desk>,
    conns: BTreeMap<u64, Conn>,
    last: u64,
    /// No bytes pass between these, router and machine; dials time out.
    cut: BTreeSet<(usize, usize)>,
    committed: BTreeMap<VersionNumber, (f64, String)>,
    delay: f64,
    take_over: f64,
    terms: SubscriptionConfig,
    chance: Pcg32,
}

fn record(sent: &mut VecDeque<(f64, usize)>, most: &mut usize, now: f64, bytes: usize) {
    sent.push_back((now, bytes));
    while sent.front().is_some_and(|(at, _)| now - at > 1.0) {
        sent.pop_front();
    }
    *most = (*most).max(sent.iter().map(|(_, bytes)| bytes).sum());
}

impl World {
    fn new(routers: usize, machines: usize, seed: u64) -> World {
        let mut world = World {
            now: 0.0,
            routers: vec![],
            machines: vec![],
            conns: BTreeMap::new(),
            last: 0,
            cut: BTreeSet::new(),
            committed: BTreeMap::new(),
            delay: 0.01,
            take_over: 0.05,
            terms: SubscriptionConfig::default(),
            chance: Pcg32::new(seed, 3),
        };
        for n in 0..machines {
            let publisher = Publisher::new(publisher::PublisherConfig::default(), world.machine_clock(n));
            let (name, zone) = (format!("c{n}"), format!("z{n}"));
            let (as_of, sent) = (f64::NEG_INFINITY, VecDeque::new());
            let (up, follows, majority) = (true, true, true);
            world.machines.push(Desk { publisher, name, zone, up, follows, as_of, majority, sent, most: 0 });
        }
        for n in 0..routers {
            let offset = 1e4 * world.draw();
            let rate = 1.0 + 0.0008 * (2.0 * world.draw() - 1.0);
            let zone = format!("z{}", n % machines);
            let subscriber = world.subscriber(n, &zone, None, offset);
            world.routers.push(Router {
                subscriber,
                name: format!("r{n:03}"),
                zone,
                offset,
                rate,
                disk: None,
                crashes: 0,
                refuses: BTreeSet::new(),
                waits: BTreeMap::new(),
                offer: None,
                in_force: vec![],
                notes: vec![],
                conn: None,
                down: VecDeque::new(),
                up: VecDeque::new(),
                most: (0, 0),
                sum: (0, 0),
            });
        }
        world
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.chance.next_u32()) / 4_294_967_296.0
    }

    fn subscriber(&mut self, n: usize, zone: &str, kept: Option<ConfigVersion>, now: f64) -> Subscriber {
        let machine = |desk: &Desk| ControlEndpoint { name: desk.name.clone(), zone: desk.zone.clone() };
        let machines = self.machines.iter().map(machine).collect();
        let seed = u64::from(self.chance.next_u32()) ^ (n as u64) << 33;
        Subscriber::new(self.terms, machines, zone, kept.map(|kept| (kept, None)), seed, now)
    }

    fn local(&self, n: usize) -> f64 {
        self.routers[n].offset + self.routers[n].rate * self.now
    }

    fn machine_clock(&self, n: usize) -> f64 {
        500.0 * (n + 1) as f64 + (1.0 - 0.0003 * n as f64) * self.now
    }

    /// A majority decides: every machine that follows has it.
    fn commit(&mut self, settings: Value) {
        let number = self.committed.last_key_value().map_or(1, |(number, _)| number + 1);
        self.committed.insert(number, (self.now, content::canonical_json(&settings)));
        for n in 0..self.machines.len() {
            if self.machines[n].follows && self.machines[n].up {
                let at = self.machine_clock(n);
                assert_eq!(
                    self.machines[n].publisher.commit(&version(number, settings.clone()), at),
                    Ok(true)
                );
            }
        }
    }

    fn newest(&self) -> VersionNumber {
        self.committed.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// A machine catches up with the order.
    fn follow(&mut self, n: usize) {
        let at = self.machine_clock(n);
        self.machines[n].follows = true;
        for (number, (_, text)) in self.committed.clone() {
            let settings = serde_json::from_str(&text).expect("canonical text");
            let put = self.machines[n].publisher.commit(&version(number, settings), at);
            assert!(put.is_ok(), "{put:?}");
        }
    }

    fn restart_machine(&mut self, n: usize, upto: VersionNumber) {
        self.stop_machine(n);
        self.machines[n].publisher =
            Publisher::new(publisher::PublisherConfig::default(), self.machine_clock(n));
        self.machines[n].up = true;
        let at = self.machine_clock(n);
        for (number, (_, text)) in self.committed.clone().range(..=upto) {
            let settings = serde_json::from_str(text).expect("canonical text");
            let put = self.machines[n].publisher.commit(&version(*number, settings), at);
            assert!(put.is_ok(), "{put:?}");
        }
    }

    fn stop_machine(&mut self, n: usize) {
        self.machines[n].up = false;
        let gone: Vec<u64> =
            self.conns.iter().filter(|(_, conn)| conn.machine == n).map(|(conn, _)| *conn).collect();
        gone.into_iter().for_each(|conn| self.end(conn));
    }

    /// The connection ends for both sides.
    fn end(&mut self, conn: u64) {
        let Some(gone) = self.conns.remove(&conn) else { return };
        if let Some(link) = gone.link {
            self.machines[gone.machine].publisher.close_link(link);
        }
        if self.routers[gone.router].conn == Some(conn) {
            let at = self.local(gone.router);
            self.routers[gone.router].conn = None;
            self.routers[gone.router].subscriber.connection_closed(at);
        }
    }

    fn crash_router(&mut self, n: usize) {
        if let Some(conn) = self.routers[n].conn.take() {
            self.end(conn);
        }
        let (zone, kept, at) = (self.routers[n].zone.clone(), self.routers[n].disk.clone(), self.local(n));
        let subscriber = self.subscriber(n, &zone, kept, at);
        let router = &mut self.routers[n];
        (router.subscriber, router.offer) = (subscriber, None);
        router.crashes += 1;
        let held = router.subscriber.versions().active().number;
        router.in_force.push((self.now, held));
    }

    fn is_cut(&self, router: usize, machine: usize) -> bool {
        self.cut.contains(&(router, machine))
    }

    fn orders(&mut self, n: usize) {
        while let Some(order) = self.routers[n].subscriber.next_command() {
            match order {
                Command::Connect(machine) => {
                    if let Some(conn) = self.routers[n].conn.take() {
                        self.end(conn);
                    }
                    self.last += 1;
                    let open_at = self.now + 2.0 * self.delay;
                    let conn = Conn {
                        router: n,
                        machine,
                        link: None,
                        open_at,
                        greeted: false,
                        to_router: VecDeque::new(),
                        to_machine: VecDeque::new(),
                        by_router: FrameReader::default(),
                        by_machine: FrameReader::default(),
                    };
                    self.conns.insert(self.last, conn);
                    self.routers[n].conn = Some(self.last);
                }
                Command::Disconnect => {
                    // The machine of a cut connection does not hear of it.
                    if let Some(conn) = self.routers[n].conn.take()
                        && let Some(gone) = self.conns.remove(&conn)
                        && let Some(link) = gone.link
                        && !self.is_cut(n, gone.machine)
                    {
                        self.machines[gone.machine].publisher.close_link(link);
                    }
                }
                Command::Apply { number, settings } => {
                    let (_, text) = &self.committed[&number];
                    assert_eq!(
                        &content::canonical_json(&settings),
                        text,
                        "version {number} is what was committed"
                    );
                    self.routers[n].offer = Some((self.now + self.take_over, number));
                }
                Command::Persist(kept) => {
                    let (_, text) = &self.committed[&kept.number];
                    assert_eq!(&*kept.text, text, "version {} is what was committed", kept.number);
                    let disk = self.routers[n].disk.as_ref().map_or(0, |disk| disk.number);
                    assert!(kept.number > disk, "{} after {disk}", kept.number);
                    self.routers[n].disk = Some(kept);
                }
                Command::Log(note) => self.routers[n].notes.push((self.now, note)),
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for n in 0..self.machines.len() {
            let at = self.machine_clock(n);
            let machine = &mut self.machines[n];
            if !machine.up {
                continue;
            }
            if machine.follows && machine.majority {
                machine.as_of = self.now;
            }
            let age = self.now - machine.as_of;
            machine.publisher.set_freshness(age, machine.majority, at);
            for (link, _) in machine.publisher.tick(at) {
                let conn = self.conns.iter().find(|(_, c)| c.machine == n && c.link == Some(link));
                if let Some(conn) = conn.map(|(conn, _)| *conn)
                    && !self.is_cut(self.conns[&conn].router, n)
                {
                    self.end(conn);
                }
            }
        }
        self.open();
        self.carry();
        for n in 0..self.routers.len() {
            let at = self.local(n);
            if let Some((end, number)) = self.routers[n].offer
                && self.now >= end
            {
                let router = &mut self.routers[n];
                router.offer = None;
                let outcome = if router.refuses.contains(&number) {
                    ApplyOutcome::Rejected(format!("key `Limits` of {number}"))
                } else if let Some(keys) = router.waits.get(&number) {
                    ApplyOutcome::PendingRestart(keys.clone())
                } else {
                    ApplyOutcome::Applied
                };
                if outcome == ApplyOutcome::Applied {
                    let before = router.in_force.last().map_or(0, |(_, number)| *number);
                    assert!(number > before, "{} went back from {before} to {number}", router.name);
                    router.in_force.push((self.now, number));
                }
                router.subscriber.offer_completed(number, outcome);
            }
            if self.routers[n].subscriber.next_deadline() <= at {
                self.routers[n].subscriber.tick(at);
            }
            self.orders(n);
            self.speak(n);
            self.ages(n);
        }
        self.publish();
    }

    /// The age that a router states is never less than its true one.
    fn ages(&self, n: usize) {
        let held = self.routers[n].subscriber.versions().active().number;
        let Some(age) = self.routers[n].subscriber.staleness_s(self.local(n)) else { return };
        let next = self.committed.range(held + 1..).next();
        let truth = next.map_or(0.0, |(_, (at, _))| self.now - at);
        assert!(age + 1e-6 >= truth, "{} says {age} where {truth} is true", self.routers[n].name);
    }

    fn open(&mut self) {
        let coming = self.conns.iter().filter(|(_, conn)| !conn.greeted && self.now >= conn.open_at);
        let coming: Vec<(u64, usize, usize)> =
            coming.map(|(at, conn)| (*at, conn.router, conn.machine)).collect();
        for (at, router, machine) in coming {
            if self.is_cut(router, machine) {
                continue;
            }
            let (name, incarnation) = (self.routers[router].name.clone(), self.routers[router].crashes + 1);
            let clock = self.machine_clock(machine);
            let desk = &mut self.machines[machine];
            let opened = desk.up.then(|| desk.publisher.open_link(&name, incarnation, clock));
            let Some(Ok(link)) = opened else {
                self.end(at);
                continue;
            };
            let Some(conn) = self.conns.get_mut(&at) else { continue };
            (conn.greeted, conn.link) = (true, Some(link));
            let mut hello = vec![];
            let said = Hello {
                version: ControlMessage::VERSION,
                is_planner: false,
                incarnation: 1,
                name: desk.name.clone(),
            };
            encode_hello::<ControlMessage>(&mut hello, &said);
            conn.by_router.feed(&hello);
            let said = Hello { version: RouterMessage::VERSION, is_planner: false, incarnation, name };
            hello.clear();
            encode_hello::<RouterMessage>(&mut hello, &said);
            conn.by_machine.feed(&hello);
            let clock = self.local(router);
            self.routers[router].subscriber.connection_opened(clock);
        }
    }

    /// Bytes whose time has come arrive, unless the way is cut: then they wait, as TCP has them wait.
    fn carry(&mut self) {
        let all: Vec<u64> = self.conns.keys().copied().collect();
        for at in all {
            let Some(conn) = self.conns.get_mut(&at) else { continue };
            let (router, machine) = (conn.router, conn.machine);
            if self.cut.contains(&(router, machine)) {
                continue;
            }
            let (mut tells, mut says) = (vec![], vec![]);
            while conn.to_router.front().is_some_and(|(at, _)| *at <= self.now) {
                let (_, bytes) = conn.to_router.pop_front().expect("looked at");
                conn.by_router.feed(&bytes);
                while let Some(read) = conn.by_router.next_frame().expect("sound frames") {
                    if let Received::Message(tell) = read {
                        tells.push(tell);
                    }
                }
            }
            while conn.to_machine.front().is_some_and(|(at, _)| *at <= self.now) {
                let (_, bytes) = conn.to_machine.pop_front().expect("looked at");
                conn.by_machine.feed(&bytes);
                while let Some(read) = conn.by_machine.next_frame().expect("sound frames") {
                    if let Received::Message(say) = read {
                        says.push(say);
                    }
                }
            }
            let link = conn.link;
            let clock = self.local(router);
            for tell in tells {
                // Never a version, or a content, that was not committed.
                if let ControlMessage::ContentPart { number, digest, .. } = &tell {
                    let (_, text) = self.committed.get(number).expect("a committed version");
                    assert_eq!(*digest, content::digest(text));
                }
                self.routers[router].subscriber.receive(tell, clock);
            }
            let clock = self.machine_clock(machine);
            for say in says {
                if let Some(link) = link {
                    self.machines[machine].publisher.receive(link, say, clock);
                }
            }
        }
    }

    fn speak(&mut self, n: usize) {
        let (at, way) = (self.local(n), self.now + self.delay);
        let Some(conn) = self.routers[n].conn else { return };
        if !self.conns.get(&conn).is_some_and(|conn| conn.greeted) {
            return;
        }
        while let Some(bytes) = self.routers[n].subscriber.next_message(at) {
            let router = &mut self.routers[n];
            record(&mut router.up, &mut router.most.1, self.now, bytes.len());
            router.sum.1 += bytes.len();
            if let Some(conn) = self.conns.get_mut(&conn) {
                conn.to_machine.push_back((way, bytes));
            }
        }
    }

    fn publish(&mut self) {
        for n in 0..self.machines.len() {
            if !self.machines[n].up {
                continue;
            }
            let (clock, way) = (self.machine_clock(n), self.now + self.delay);
            let by_link: BTreeMap<u64, u64> = self
                .conns
                .iter()
                .filter(|(_, conn)| conn.machine == n)
                .filter_map(|(at, conn)| Some((conn.link?, *at)))
                .collect();
            while let Some((link, bytes)) = self.machines[n].publisher.next_message(clock) {
                let desk = &mut self.machines[n];
                desk.publisher.message_sent(link);
                record(&mut desk.sent, &mut desk.most, self.now, bytes.len());
                // A connection that its router has left over a cut way.
                let Some(conn) = by_link.get(&link).and_then(|at| self.conns.get_mut(at)) else { continue };
                let router = &mut self.routers[conn.router];
                record(&mut router.down, &mut router.most.0, self.now, bytes.len());
                router.sum.0 += bytes.len();
                conn.to_router.push_back((way, bytes));
            }
        }
    }

    fn run(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn run_until(&mut self, most: f64, what: impl Fn(&World) -> bool) -> f64 {
        let from = self.now;
        while !what(self) {
            assert!(self.now - from < most, "not within {most} s");
            self.step();
        }
        self.now - from
    }

    fn held(&self, n: usize) -> VersionNumber {
        self.routers[n].subscriber.versions().active().number
    }

    fn all_newest(&self) -> bool {
        (0..self.routers.len()).all(|n| self.held(n) == self.newest())
    }

    fn connected(&self, n: usize) -> Option<String> {
        self.routers[n].subscriber.connected_to().map(|machine| machine.name.clone())
    }

    fn cut_zone(&mut self, machine: usize, zone: Option<usize>) {
        for (n, router) in self.routers.iter().enumerate() {
            if zone.is_none_or(|zone| router.zone == format!("z{zone}")) {
                self.cut.insert((n, machine));
            }
        }
    }

    /// What went in any one second, to each router and from it, and from each machine.
    fn within_budget(&self) {
        // The clocks of both sides may go apart from the world's.
        let some = 1.002;
        for router in &self.routers {
            assert!(
                router.most.0 as f64 <= CONTROL_TO_ROUTER.max_bytes_in_one_second() * some,
                "{}: {:?}",
                router.name,
                router.most
            );
            assert!(
                router.most.1 as f64 <= ROUTER_TO_CONTROL.max_bytes_in_one_second() * some,
                "{}: {:?}",
                router.name,
                router.most
            );
        }
        for machine in &self.machines {
            assert!(
                machine.most as f64 <= CONTROL_TO_ALL_ROUTERS.max_bytes_in_one_second() * some,
                "{}: {}",
                machine.name,
                machine.most
            );
        }
    }

    fn noted(&self, n: usize, what: impl Fn(&Event) -> bool) -> bool {
        self.routers[n].notes.iter().any(|(_, note)| what(note))
    }
}

#[rstest]
fn a_version_is_in_force_at_all_routers_and_the_summary_says_so() {
    let mut world = World::new(10, 2, 1);
    world.commit(settings(1, 400));
    let first = world.run_until(4.0, World::all_newest);
    world.commit(settings(2, 400));
    let second = world.run_until(1.0, World::all_newest);
    assert!(first < 2.0 && second < 0.3, "{first} {second}");
    world.run(1.0);
    let mut all = world.machines[0].publisher.summary(world.machine_clock(0));
    all.merge(&world.machines[1].publisher.summary(world.machine_clock(1)));
    assert_eq!(all.by_version, BTreeMap::from([(2, 10)]));
    assert_eq!((all.lagging.len(), all.omitted), (0, 0));
    // Each is connected in its own zone.
    (0..10).for_each(|n| assert_eq!(world.connected(n), Some(format!("c{}", n % 2))));
    world.within_budget();
}

#[rstest]
fn a_small_change_goes_as_a_patch_and_past_the_gap_one_whole() {
    let mut world = World::new(1, 1, 2);
    world.commit(settings(1, 8_000));
    world.run_until(6.0, World::all_newest);
    let whole = world.routers[0].sum.0;
    world.commit(settings(2, 8_000));
    world.run_until(1.0, World::all_newest);
    let patch = world.routers[0].sum.0 - whole;
    assert!(whole > 8_000 && patch < 400, "{whole} {patch}");
    assert_eq!(
        (world.routers[0].subscriber.metrics.snapshots, world.routers[0].subscriber.metrics.patches),
        (1, 1)
    );
    // Behind by less than the gap: one patch for all of it.
    world.stop_machine(0);
    (0..CACHED_VERSIONS as u64 - 1).for_each(|n| world.commit(settings(3 + n, 8_000)));
    world.restart_machine(0, world.newest());
    world.run_until(8.0, World::all_newest);
    assert_eq!(
        (world.routers[0].subscriber.metrics.snapshots, world.routers[0].subscriber.metrics.patches),
        (1, 2)
    );
    // And by more: one whole.
    world.stop_machine(0);
    (0..CACHED_VERSIONS as u64).for_each(|n| world.commit(settings(100 + n, 8_000)));
    world.restart_machine(0, world.newest());
    world.run_until(10.0, World::all_newest);
    assert_eq!(
        (world.routers[0].subscriber.metrics.snapshots, world.routers[0].subscriber.metrics.patches),
        (2, 2)
    );
    world.within_budget();
}

#[rstest]
fn the_longest_settings_go_through_the_budget_in_parts_in_time() {
    let mut world = World::new(2, 1, 3);
    world.run(2.0);
    let longest = strewn(1, MAX_SETTINGS_BYTES - 32);
    assert!(content::canonical_json(&longest).len() > MAX_SETTINGS_BYTES - 32);
    world.commit(longest);
    let span = world.run_until(HEALED, World::all_newest);
    world.within_budget();
    // Pulses were answered meanwhile or later; nobody was taken for silent.
    assert!(!world.noted(0, |note| matches!(note, Event::ConnectionTimedOut { .. })), "{span}");
    // Longer ones are nothing that is ever told.
    let at = world.machine_clock(0);
    let long = world.machines[0].publisher.commit(&version(2, strewn(2, MAX_SETTINGS_BYTES)), at);
    assert!(
        matches!(long, Err(CacheError::TooLarge { number: 2, bytes }) if bytes > MAX_SETTINGS_BYTES),
        "{long:?}"
    );
    assert_eq!(world.machines[0].publisher.latest(), 1);
}

#[rstest]
fn a_flood_of_changes_starves_nobody_and_only_the_newest_are_offered() {
    let mut world = World::new(4, 1, 4);
    world.run(2.0);
    for n in 0..60 {
        world.commit(strewn(n, 3_000));
        world.run(0.1);
    }
    world.run_until(4.0, World::all_newest);
    let taken = world.routers[0].in_force.len();
    assert!((4..30).contains(&taken), "{taken}");
    world.within_budget();
}

#[rstest]
fn a_silent_machine_is_left_for_another_and_the_own_zones_is_tried_again() {
    let mut world = World::new(3, 3, 5);
    world.commit(settings(1, 100));
    world.run_until(3.0, World::all_newest);
    world.cut_zone(0, None);
    let span = world.run_until(HEALED, |world| world.connected(0).is_some_and(|name| name != "c0"));
    assert!(span < 3.0 + 1.0 + 0.6, "{span}");
    assert!(
        world.noted(0, |note| matches!(note, Event::ConnectionTimedOut { endpoint, .. } if endpoint == "c0"))
    );
    world.commit(settings(2, 100));
    world.run_until(1.0, World::all_newest);
    world.cut.clear();
    let span = world.run_until(500.0, |world| world.connected(0) == Some("c0".into()));
    assert!(span > 10.0, "{span}");
    assert!(world.noted(0, |note| matches!(note, Event::ReturningToOwnZone { .. })));
    world.commit(settings(3, 100));
    world.run_until(1.0, World::all_newest);
}

#[rstest]
fn a_machine_that_stops_is_left_at_once() {
    let mut world = World::new(2, 2, 6);
    world.commit(settings(1, 100));
    world.run_until(3.0, World::all_newest);
    world.stop_machine(0);
    let span = world.run_until(HEALED, |world| world.connected(0) == Some("c1".into()));
    assert!(span < 1.0, "{span}");
}

#[rstest]
fn a_stale_machine_takes_nobody_back_and_is_left() {
    let mut world = World::new(1, 2, 7);
    world.commit(settings(1, 100));
    world.run_until(3.0, World::all_newest);
    // The own zone's machine stops following; the router has a later version of the other.
    world.machines[0].follows = false;
    world.commit(settings(2, 100));
    world.commit(settings(3, 100));
    world.cut_zone(0, None);
    world.run_until(HEALED, World::all_newest);
    // Now only the stale one is to be had, and it still takes itself for one of a majority.
    world.cut.clear();
    world.cut_zone(1, None);
    world.run_until(HEALED, |world| world.connected(0) == Some("c0".into()));
    let before = world.routers[0].subscriber.confirmed_at();
    world.run(4.0);
    assert_eq!((world.held(0), world.routers[0].in_force.last().map(|f| f.1)), (3, Some(3)));
    assert_eq!(world.routers[0].subscriber.confirmed_at(), before, "its word does not count");
    world.cut.clear();
    let span = world.run_until(HEALED, |world| world.connected(0) == Some("c1".into()));
    assert!(span < 5.0, "{span}");
    assert!(world.noted(0, |note| matches!(note, Event::ReplicaBehind { endpoint } if endpoint == "c0")));
    assert_eq!(world.held(0), 3);
}

#[rstest]
fn what_was_refused_stays_out_is_said_and_the_next_version_is_offered() {
    let mut world = World::new(2, 1, 8);
    world.routers[0].refuses.insert(2);
    world.routers[1].waits.insert(2, vec!["Extra.Cells".into()]);
    world.commit(settings(1, 100));
    world.run_until(3.0, World::all_newest);
    world.commit(settings(2, 100));
    world.run(3.0);
    assert_eq!((world.held(0), world.held(1)), (1, 1));
    // What waits is what the next start is with; what was refused is not.
    let kept = |n: usize| world.routers[n].disk.as_ref().map(|disk| disk.number);
    assert_eq!((kept(0), kept(1)), (Some(1), Some(2)));
    let summary = world.machines[0].publisher.summary(world.machine_clock(0));
    assert_eq!(summary.by_version, BTreeMap::from([(1, 2)]));
    let lagging: Vec<(&str, VersionNumber, &str)> =
        summary.lagging.iter().map(|l| (l.router.as_str(), l.version, l.reason.as_str())).collect();
    let refused = ("r000", 1, "refused 2: key `Limits` of 2");
    assert_eq!(lagging, [refused, ("r001", 1, "2 waits for a start: Extra.Cells")]);
    assert!(summary.lagging.iter().all(|l| (2.5..3.1).contains(&l.since_s)), "{:?}", summary.lagging);
    // A machine that starts anew hears of both again.
    world.restart_machine(0, 2);
    world.run(6.0);
    let again = world.machines[0].publisher.summary(world.machine_clock(0));
    let whys: Vec<&str> = again.lagging.iter().map(|l| l.reason.as_str()).collect();
    assert_eq!(whys.len(), 2, "{again:?}");
    assert!(whys.contains(&refused.2) && whys.contains(&"2 waits for a start: Extra.Cells"), "{whys:?}");
    // The next one goes as a patch upon what was got, not upon what is in force.
    world.commit(settings(3, 100));
    world.run_until(1.0, World::all_newest);
    assert_eq!(world.routers[0].subscriber.metrics.digest_mismatches, 0);
    // A start with what waited.
    world.routers[1].waits.insert(4, vec!["Extra.Cells".into()]);
    world.commit(settings(4, 100));
    world.run(1.0);
    assert_eq!((world.held(0), world.held(1)), (4, 3));
    world.crash_router(1);
    assert_eq!(world.held(1), 4);
}

fn by_hand(kept: Option<ConfigVersion>) -> Subscriber {
    let machines = vec![ControlEndpoint { name: "c0".into(), zone: "z".into() }; 2];
    let mut by_hand =
        Subscriber::new(SubscriptionConfig::default(), machines, "z", kept.map(|kept| (kept, None)), 1, 0.0);
    by_hand.tick(1.0);
    assert!(matches!(by_hand.next_command(), Some(Command::Connect(_))));
    by_hand.connection_opened(1.0);
    while by_hand.next_message(1.0).is_some() {}
    while by_hand.next_command().is_some() {}
    by_hand
}

fn asked(bytes: &[u8]) -> RouterMessage {
    let mut reader = FrameReader::<RouterMessage>::default();
    let mut hello = vec![];
    let said = Hello { version: RouterMessage::VERSION, is_planner: false, incarnation: 1, name: "r".into() };
    encode_hello::<RouterMessage>(&mut hello, &said);
    reader.feed(&hello);
    reader.feed(bytes);
    assert!(matches!(reader.next_frame(), Ok(Some(Received::Hello(_)))));
    match reader.next_frame() {
        Ok(Some(Received::Message(say))) => say,
        other => panic!("{other:?}"),
    }
}

#[rstest]
fn a_patch_that_does_not_come_out_as_told_is_not_taken_and_the_whole_is_asked_for() {
    let held = ConfigVersion::new(4, r#"{"a":1}"#);
    let mut router = by_hand(Some(held));
    let patch = r#"[{"op":"replace","path":"/a","value":2}]"#.to_string();
    let content =
        VersionContent { number: 5, base: 4, digest: content::digest(r#"{"a":3}"#), text: patch.clone() };
    router.receive(content.part(0), 1.1);
    assert_eq!(router.versions().received().number, 4);
    assert!(matches!(router.next_command(), Some(Command::Log(Event::DigestMismatch { number: 5, .. }))));
    let word = router.next_message(2.2).expect("asks again");
    assert!(matches!(
        asked(&word),
        RouterMessage::Subscribe { received: 4, active: 4, needs_snapshot: true, .. }
    ));
    // A patch upon a version that it has not.
    let content = VersionContent { number: 6, base: 5, digest: content::digest(r#"{"a":2}"#), text: patch };
    router.receive(content.part(0), 2.3);
    assert_eq!(router.versions().received().number, 4);
    // The whole, and a whole that is none: its machine is left.
    let whole = r#"{"a":3}"#.to_string();
    let content = VersionContent { number: 5, base: 0, digest: content::digest(&whole), text: whole };
    router.receive(content.part(0), 2.4);
    assert_eq!(router.versions().received().number, 5);
    let content = VersionContent { number: 6, base: 0, digest: 7, text: "{}".into() };
    router.receive(content.part(0), 2.5);
    assert_eq!((router.versions().received().number, router.connected_to()), (5, None));
}

#[rstest]
fn one_number_never_has_two_contents() {
    let mut publisher = Publisher::new(publisher::PublisherConfig::default(), 0.0);
    assert_eq!(publisher.commit(&version(1, json!({"a": 1})), 0.0), Ok(true));
    assert_eq!(publisher.commit(&version(1, json!({"a": 1})), 0.0), Ok(false));
    assert_eq!(publisher.commit(&version(1, json!({"a": 2})), 0.0), Err(CacheError::Conflict { number: 1 }));
    // A router that has another one stays with it, and both sides say so.
    let mut router = by_hand(Some(ConfigVersion::new(1, r#"{"a":2}"#)));
    let link = publisher.open_link("r", 1, 0.0).expect("room");
    let (got, digest) = (1, content::digest(r#"{"a":2}"#));
    publisher.receive(
        link,
        RouterMessage::Subscribe { received: got, digest, active: 1, needs_snapshot: false },
        0.0,
    );
    assert_eq!((publisher.next_message(0.0), publisher.metrics.conflicts), (None, 1));
    let content = VersionContent {
        number: 1,
        base: 0,
        digest: content::digest(r#"{"a":1}"#),
        text: r#"{"a":1}"#.into(),
    };
    router.receive(content.part(0), 1.1);
    assert_eq!(&*router.versions().received().text, r#"{"a":2}"#);
    assert!(matches!(router.next_command(), Some(Command::Log(Event::Conflict { number: 1, .. }))));
    // The next version goes to it as a whole.
    assert_eq!(publisher.commit(&version(2, json!({"a": 1, "b": 1})), 1.0), Ok(true));
    assert!(publisher.next_message(2.0).is_some());
    assert_eq!((publisher.metrics.snapshots, publisher.metrics.patches), (1, 0));
}

#[rstest]
fn a_router_of_an_earlier_start_and_one_too_many_are_refused() {
    let mut publisher = Publisher::new(
        publisher::PublisherConfig { max_links: 2, ..publisher::PublisherConfig::default() },
        0.0,
    );
    let first = publisher.open_link("r", 2, 0.0).expect("room");
    assert_eq!(
        publisher.open_link("r", 1, 0.0),
        Err(LinkError::StaleIncarnation { router: "r".into(), incarnation: 1 })
    );
    let later = publisher.open_link("r", 3, 0.0).expect("in the place of the first");
    assert!(!publisher.has_link(first) && publisher.has_link(later));
    assert!(publisher.open_link("s", 1, 0.0).is_ok());
    assert_eq!(publisher.open_link("t", 1, 0.0), Err(LinkError::TooManyLinks { limit: 2 }));
    assert_eq!(publisher.open_link("", 1, 0.0), Err(LinkError::InvalidName));
    let silent = publisher.tick(11.0);
    assert_eq!((silent.len(), publisher.link_count()), (2, 0));
}

#[rstest]
fn a_change_comes_before_a_beat_and_links_take_turns() {
    let mut publisher = Publisher::new(publisher::PublisherConfig::default(), 0.0);
    publisher.commit(&version(1, strewn(1, 2_000)), 0.0).expect("a version");
    let links: Vec<u64> =
        (0..3).map(|n| publisher.open_link(&format!("r{n}"), 1, 0.0).expect("room")).collect();
    for link in &links {
        publisher.receive(*link, RouterMessage::HeartbeatRequest { sequence: 1 }, 0.0);
        publisher.receive(
            *link,
            RouterMessage::Subscribe { received: 0, digest: 0, active: 0, needs_snapshot: false },
            0.0,
        );
    }
    // A connection begins with nothing to spend: one that comes again and again would have a burst each time.
    assert_eq!(publisher.next_message(0.0), None);
    assert!(publisher.next_deadline() > 0.0, "{}", publisher.next_deadline());
    let mut order = vec![];
    while let Some((link, bytes)) = publisher.next_message(1.0) {
        order.push((link, bytes.len() > 100));
        publisher.message_sent(link);
    }
    let expected: Vec<(u64, bool)> =
        links.iter().map(|l| (*l, true)).chain(links.iter().map(|l| (*l, false))).collect();
    assert_eq!(order, expected, "a part to each, then what is left of each budget takes a beat");
    assert!(publisher.next_deadline() > 1.0);
}

#[rstest]
fn the_side_without_a_majority_serves_on_says_so_and_is_current_once_healed() {
    let mut world = World::new(10, 5, 9);
    world.commit(settings(1, 400));
    world.run_until(4.0, World::all_newest);
    // Zones 0 and 1 with their machines are cut off; the others go on.
    let side = |zone: &str| zone == "z0" || zone == "z1";
    for (n, router) in world.routers.iter().enumerate() {
        for (m, machine) in world.machines.iter().enumerate() {
            if side(&router.zone) != side(&machine.zone) {
                world.cut.insert((n, m));
            }
        }
    }
    for n in 0..2 {
        (world.machines[n].follows, world.machines[n].majority) = (false, false);
    }
    for n in 2..8 {
        world.commit(settings(n, 400));
        world.run(100.0);
    }
    for n in 0..10 {
        let within = side(&world.routers[n].zone);
        assert_eq!(world.held(n), if within { 1 } else { 7 });
        let said =
            world.noted(n, |note| matches!(note, Event::Stale { number: 1, staleness_s: Some(_), .. }));
        assert_eq!(said, within);
        let age = world.routers[n].subscriber.staleness_s(world.local(n)).expect("stated");
        assert!(if within { (590.0..620.0).contains(&age) } else { age < 3.0 }, "{n}: {age}");
    }
    let some = world.routers[0].notes.iter().filter(|(_, note)| matches!(note, Event::Stale { .. })).count();
    assert!((2..10).contains(&some), "said ever more rarely: {some}");
    world.cut.clear();
    for n in 0..2 {
        world.machines[n].majority = true;
        world.follow(n);
    }
    let span = world.run_until(HEALED, World::all_newest);
    assert!(span < HEALED, "{span}");
    world.run_until(HEALED, |world| {
        (0..10).all(|n| world.routers[n].subscriber.staleness_s(world.local(n)).is_some_and(|age| age < 3.0))
    });
    world.within_budget();
}

#[rstest]
fn a_router_starts_from_what_it_kept_and_takes_nothing_older() {
    let mut world = World::new(1, 1, 10);
    (1..4).for_each(|n| world.commit(settings(n, 100)));
    world.run_until(4.0, World::all_newest);
    // All control machines are gone; the router crashes.
    world.stop_machine(0);
    world.crash_router(0);
    assert_eq!(world.held(0), 3);
    world.run(30.0);
    assert!(world.noted(0, |note| matches!(note, Event::Stale { number: 3, staleness_s: None, .. })));
    // A machine comes back that has lost the last version.
    world.machines[0].follows = false;
    world.restart_machine(0, 2);
    world.run(20.0);
    assert_eq!(world.held(0), 3);
    world.follow(0);
    world.commit(settings(4, 100));
    world.run_until(HEALED, World::all_newest);
}

/// 550 routers, all cut off from the five machines, then all healed at once; a machine takes a fifth of them.
#[rstest]
fn a_herd_after_a_healed_cut_stays_within_its_budget_and_is_current_in_time() {
    let mut world = World::new(550, 5, 11);
    world.commit(settings(1, 6_000));
    world.run_until(HEALED, World::all_newest);
    (0..5).for_each(|n| world.cut_zone(n, None));
    world.run(30.0);
    let before: usize = world.routers.iter().map(|router| router.sum.0).sum();
    // Past the gap: all need the whole.
    (0..CACHED_VERSIONS as u64 + 1).for_each(|n| world.commit(settings(2 + n, 6_000)));
    world.cut.clear();
    let span = world.run_until(HEALED, World::all_newest);
    world.within_budget();
    let down: usize = world.routers.iter().map(|router| router.sum.0).sum();
    let most = world.routers.iter().map(|router| router.most).max().expect("550");
    let machine = world.machines.iter().map(|machine| machine.most).max().expect("five");
    println!(
        "herd of 550 over 5 machines: all current {span:.1} s after healing, {} bytes a router, in a second {} to one \
         router, {} from it, {machine} from one machine",
        (down - before) / 550,
        most.0,
        most.1
    );
}

/// The same with four machines gone for good: one has all 550.
#[rstest]
fn one_machine_carries_the_herd_alone() {
    let mut world = World::new(550, 5, 12);
    (1..5).for_each(|n| world.stop_machine(n));
    world.commit(settings(1, 6_000));
    let span = world.run_until(HEALED, World::all_newest);
    world.within_budget();
    println!("550 that start anew at one machine: current after {span:.1} s");
    world.cut_zone(0, None);
    world.run(20.0);
    (0..CACHED_VERSIONS as u64 + 1).for_each(|n| world.commit(settings(2 + n, 6_000)));
    world.cut.clear();
    let span = world.run_until(HEALED, World::all_newest);
    world.within_budget();
    println!("after a cut: {span:.1} s, in a second {} bytes from the machine", world.machines[0].most);
}

#[derive(Clone, Debug)]
enum Act {
    Commit {
        long: bool,
    },
    Cut(usize, usize),
    Mend,
    Reset(usize),
    StopMachine(usize),
    /// Comes back with less than it had.
    StartMachine(usize, u64),
    Lag(usize),
    CrashRouter(usize),
    Refuse(usize),
    Wait(f64),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => any::<bool>().prop_map(|long| Act::Commit { long }),
        2 => (0..4usize, 0..3usize).prop_map(|(r, m)| Act::Cut(r, m)),
        1 => Just(Act::Mend),
        2 => (0..4usize).prop_map(Act::Reset),
        1 => (0..3usize).prop_map(Act::StopMachine),
        2 => (0..3usize, 0..4u64).prop_map(|(m, less)| Act::StartMachine(m, less)),
        1 => (0..3usize).prop_map(Act::Lag),
        2 => (0..4usize).prop_map(Act::CrashRouter),
        1 => (0..4usize).prop_map(Act::Refuse),
        6 => (0.02..3.0f64).prop_map(Act::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(23), ..ProptestConfig::with_cases(96) })]

    /// Whatever fails in whatever order: no router goes back, contents are what was committed, bytes in any second stay
    /// within their budget, stated ages hold, and once all is healed all are at the newest version in time. All but
    /// the last are asserted with each step.
    #[test]
    fn whatever_fails_nobody_goes_back_and_all_are_current_once_healed(
        acts in prop::collection::vec(act(), 1..60), seed in any::<u64>(),
    ) {
        let mut world = World::new(4, 3, seed);
        for act in acts {
            match act {
                Act::Commit { long } => {
                    let number = world.newest() + 1;
                    let new = if long { strewn(number, 4_000) } else { settings(number, 300) };
                    world.commit(new);
                }
                Act::Cut(router, machine) => drop(world.cut.insert((router, machine))),
                Act::Mend => world.cut.clear(),
                Act::Reset(router) => {
                    if let Some(conn) = world.routers[router].conn {
                        world.end(conn);
                    }
                }
                Act::StopMachine(machine) => world.stop_machine(machine),
                Act::StartMachine(machine, less) => {
                    world.machines[machine].follows = less == 0;
                    world.machines[machine].as_of = f64::NEG_INFINITY;
                    let upto = world.newest().saturating_sub(less);
                    world.restart_machine(machine, upto);
                }
                Act::Lag(machine) => world.machines[machine].follows = false,
                Act::CrashRouter(router) => world.crash_router(router),
                Act::Refuse(router) => {
                    let next = world.newest() + 1;
                    world.routers[router].refuses.insert(next);
                }
                Act::Wait(span) => world.run(span),
            }
            world.within_budget();
        }
        world.cut.clear();
        for n in 0..3 {
            if !world.machines[n].up {
                let newest = world.newest();
                world.restart_machine(n, newest);
            }
            world.follow(n);
        }
        world.routers.iter_mut().for_each(|router| router.refuses.clear());
        world.commit(settings(world.newest() + 1, 300));
        world.run_until(HEALED, World::all_newest);
        world.within_budget();
    }
}

#[rstest]
fn at_rest_a_router_hears_and_says_little() {
    let mut world = World::new(5, 5, 13);
    world.commit(settings(1, 6_000));
    world.run_until(HEALED, World::all_newest);
    let sum = |world: &World| world.routers.iter().fold((0, 0), |sum, r| (sum.0 + r.sum.0, sum.1 + r.sum.1));
    let before = sum(&world);
    world.run(60.0);
    let after = sum(&world);
    let each = |bytes: usize| bytes as f64 / 5.0 / 60.0;
    let (down, up) = (each(after.0 - before.0), each(after.1 - before.1));
    println!("at rest, bytes a second and router: {down:.0} down, {up:.0} up");
    assert!(down < 50.0 && up < 20.0, "{down} {up}");
}
