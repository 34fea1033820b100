//! The router's side of its subscription: which control machine it is connected to, what it takes of its words, and how old
//! its version may be. It is fed what became of connections and offers, words and a time of the own steady clock, and
//! gives orders to its driver. A version never goes back, whoever says so.
use crate::messages::{
    self, ApplyOutcome, ControlMessage, Digest, MAX_SETTINGS_BYTES, RouterMessage, VersionContent,
};
use crate::rate_limit::{ROUTER_TO_CONTROL, RateLimit, TokenBucket};
use crate::version::VersionNumber;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use serde_json::Value;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Pulses whose beats may still come.
const PULSES: usize = 64;
/// A pulse as it goes out takes no more.
const PULSE: usize = 24;
/// Longest patience with a machine that is behind, after it was left again and again.
const PATIENCE: f64 = 60.0;
/// Most notes that are kept for a driver that does not take them.
const ORDERS: usize = 256;

/// How a router keeps to its subscription; spans are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubscriptionConfig {
    /// Between two pulses.
    pub heartbeat_interval_s: f64,
    /// Without a word for so long a machine is left.
    pub heartbeat_timeout_s: f64,
    /// For a connection and its hello.
    pub connect_timeout_s: f64,
    /// Waits between two rounds through all machines grow from the least to the most; those between two dials of a round
    /// stay the least. Each is drawn between a quarter of it and all.
    pub min_backoff_s: f64,
    pub max_backoff_s: f64,
    /// A machine that is behind, or sees no majority, is left after so long; each time after twice as long.
    pub behind_timeout_s: f64,
    /// At a machine of another zone for so long, drawn between this and its double, the own zone's is tried again.
    pub own_zone_retry_s: f64,
    /// When a version has not been known to be the newest for so long, that is said.
    pub stale_after_s: f64,
    /// By what part a steady clock may go wrong.
    pub clock_drift_fraction: f64,
    pub send_limit: RateLimit,
}

impl Default for SubscriptionConfig {
    fn default() -> Self {
        SubscriptionConfig {
            heartbeat_interval_s: 1.0,
            heartbeat_timeout_s: 3.0,
            connect_timeout_s: 1.0,
            min_backoff_s: 0.4,
            max_backoff_s: 4.0,
            behind_timeout_s: 5.0,
            own_zone_retry_s: 60.0,
            stale_after_s: 10.0,
            clock_drift_fraction: 0.001,
            send_limit: ROUTER_TO_CONTROL,
        }
    }
}

/// A control machine, as the router's list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlEndpoint {
    pub name: String,
    pub zone: String,
}

/// A version in hand: settings in canonical form.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigVersion {
    pub number: VersionNumber,
    pub digest: Digest,
    pub text: Arc<str>,
}

impl ConfigVersion {
    pub fn new(number: VersionNumber, text: &str) -> Self {
        ConfigVersion { number, digest: messages::digest(text), text: text.into() }
    }
}

impl Default for ConfigVersion {
    fn default() -> Self {
        ConfigVersion::new(0, "")
    }
}

/// What became of a content that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveResult {
    New,
    /// The router has that or a newer one.
    Stale,
    /// What comes out is not what was meant: the whole is needed.
    DigestMismatch,
    /// It has another content under that number.
    Conflict,
}

/// What a router has: what it got, what it was offered, what is in force, and what the next start is to be with. The one
/// place where a version is taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionState {
    received: ConfigVersion,
    active: ConfigVersion,
    persisted: ConfigVersion,
    offered: Option<ConfigVersion>,
    /// Offered last and not in force.
    rejected: VersionNumber,
}

impl VersionState {
    /// As started with a version in force.
    pub fn resume(active: ConfigVersion) -> Self {
        VersionState {
            received: active.clone(),
            persisted: active.clone(),
            active,
            ..VersionState::default()
        }
    }

    pub fn received(&self) -> &ConfigVersion {
        &self.received
    }

    /// In force.
    pub fn active(&self) -> &ConfigVersion {
        &self.active
    }

    /// What the next start is to be with.
    pub fn persisted(&self) -> &ConfigVersion {
        &self.persisted
    }

    pub fn receive(&mut self, content: &VersionContent) -> ReceiveResult {
        if content.number == self.received.number && content.digest != self.received.digest {
            return ReceiveResult::Conflict;
        }
        if content.number <= self.received.number {
            return ReceiveResult::Stale;
        }
        let text = match content.base {
            0 => serde_json::from_str::<Value>(&content.text).is_ok().then(|| content.text.clone()),
            base if base == self.received.number => messages::apply_patch(&self.received.text, &content.text),
            _ => None,
        };
        let Some(text) = text.filter(|text| messages::digest(text) == content.digest) else {
            return ReceiveResult::DigestMismatch;
        };
        self.received = ConfigVersion { number: content.number, digest: content.digest, text: text.into() };
        ReceiveResult::New
    }

    /// The newest, if it is to be offered to the router now; one offer at a time.
    pub fn next_offer(&mut self) -> Option<ConfigVersion> {
        if self.offered.is_some() || self.received.number <= self.rejected.max(self.active.number) {
            return None;
        }
        self.offered = Some(self.received.clone());
        self.offered.clone()
    }

    /// What the router made of its offer; whether that was one.
    pub fn complete_offer(&mut self, number: VersionNumber, outcome: &ApplyOutcome) -> bool {
        let Some(offered) = self.offered.take_if(|offered| offered.number == number) else { return false };
        match outcome {
            ApplyOutcome::Applied => (self.active, self.persisted) = (offered.clone(), offered),
            ApplyOutcome::PendingRestart(_) => (self.persisted, self.rejected) = (offered, number),
            ApplyOutcome::Rejected(_) => self.rejected = number,
        }
        true
    }
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Connect to this machine of the list; what was connected is over.
    Connect(usize),
    /// End the connection, or the try at one.
    Disconnect,
    Apply {
        number: VersionNumber,
        settings: Value,
    },
    /// The next start is to be with it: to be kept where something lasts.
    Persist(ConfigVersion),
    Log(Event),
}

/// What is worth a line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Applied(VersionNumber),
    /// A version, and the one that holds.
    PendingRestart(VersionNumber, VersionNumber, Vec<String>),
    Rejected(VersionNumber, VersionNumber, String),
    Connected(String),
    ConnectionLost(String),
    ConnectionTimedOut(String, f64),
    ReplicaBehind(String),
    ReturningToOwnZone(String),
    DigestMismatch(String, VersionNumber),
    Conflict(String, VersionNumber),
    /// Nothing was heard that counts for a span: the version in force, its age at most, and whether some machine speaks
    /// that is behind or sees no majority.
    Stale {
        number: VersionNumber,
        span: f64,
        age: Option<f64>,
        speaks: bool,
    },
    FreshAgain(VersionNumber),
}

impl Event {
    /// Whether somebody should look.
    pub fn is_warning(&self) -> bool {
        !matches!(
            self,
            Event::Applied(_) | Event::Connected(_) | Event::ReturningToOwnZone(_) | Event::FreshAgain(_)
        )
    }
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Event::Applied(number) => write!(out, "version {number} in force"),
            Event::PendingRestart(number, held, keys) => {
                let keys = keys.join(", ");
                write!(out, "version {number} waits for a start ({keys}); {}", Held(*held))
            }
            Event::Rejected(number, held, why) => {
                write!(out, "version {number} refused: {why}; {}", Held(*held))
            }
            Event::Connected(machine) => write!(out, "subscribed at control machine {machine}"),
            Event::ConnectionLost(machine) => write!(out, "control machine {machine}: the connection ended"),
            Event::ConnectionTimedOut(machine, span) => {
                write!(out, "control machine {machine}: silent for {span:.1} s, left")
            }
            Event::ReplicaBehind(machine) => {
                write!(out, "control machine {machine}: behind, or without a majority; another is tried")
            }
            Event::ReturningToOwnZone(machine) => {
                write!(out, "control machine {machine}: left for the own zone's")
            }
            Event::DigestMismatch(machine, number) => write!(
                out,
                "control machine {machine}: version {number} did not come out as told; asked for the whole"
            ),
            Event::Conflict(machine, number) => {
                write!(out, "control machine {machine}: another content under number {number}; not taken")
            }
            Event::Stale { number, span, age, speaks } => {
                let what = if *speaks {
                    "no control machine with a majority and this version"
                } else {
                    "heard nothing of control machines"
                };
                write!(out, "{what} for {span:.0} s: ")?;
                match (number, age) {
                    (0, _) => write!(out, "{}", Held(0)),
                    (_, Some(age)) => write!(out, "version {number} may be {age:.0} s old"),
                    (_, None) => write!(out, "version {number} may be of any age"),
                }
            }
            Event::FreshAgain(number) => write!(out, "version {number} is known to be the newest again"),
        }
    }
}

/// What holds on.
struct Held(VersionNumber);

impl fmt::Display for Held {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            0 => write!(out, "the configuration's own settings hold"),
            number => write!(out, "version {number} holds"),
        }
    }
}

/// What was met, for counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SubscriberMetrics {
    pub connect_attempts: u64,
    pub connections_lost: u64,
    pub connections_timed_out: u64,
    pub replicas_behind: u64,
    pub versions_applied: u64,
    pub versions_rejected: u64,
    pub versions_pending_restart: u64,
    pub snapshots: u64,
    pub patches: u64,
    pub digest_mismatches: u64,
    pub conflicts: u64,
    /// Words of versions that are here already, or newer.
    pub stale_messages: u64,
    pub bytes_sent: u64,
}

#[derive(Debug)]
struct Link {
    machine: usize,
    since: f64,
    heard: f64,
    ask: Option<bool>,
    pulse_at: f64,
    pulses: VecDeque<(u64, f64)>,
    /// Since when it has been behind or without a majority.
    poor: Option<f64>,
    home_at: f64,
    parts: Option<VersionContent>,
    bytes: Vec<u8>,
    length: usize,
}

#[derive(Debug)]
enum Stage {
    Wait(f64),
    Dial(f64),
    Open(Box<Link>),
}

#[derive(Debug)]
pub struct Subscriber {
    config: SubscriptionConfig,
    zone: String,
    machines: Vec<ControlEndpoint>,
    /// The order in which they are tried: the own zone's, then the others, each drawn.
    tries: Vec<usize>,
    next: usize,
    chance: Pcg32,
    /// Machines that were tried in vain in this round, and the wait after it.
    failures: usize,
    wait: f64,
    patience: f64,
    /// How often the own zone's was tried from another in vain: such tries grow rarer.
    homecomings: i32,
    stage: Stage,
    holding: VersionState,
    /// What has yet to be told, and what every machine is told that has not heard it.
    outcome: Option<(VersionNumber, ApplyOutcome)>,
    lasting: Option<(VersionNumber, ApplyOutcome)>,
    stamp: u64,
    /// When the version in force was last known to be the newest of all.
    confirmed_at: Option<f64>,
    /// Which version was known to be the newest, and when, by the last good beat.
    known: (VersionNumber, f64),
    /// When the last good word came, and how long after it the next line is due.
    good: f64,
    quiet: f64,
    bucket: TokenBucket,
    orders: VecDeque<Command>,
    pub metrics: SubscriberMetrics,
}

impl Subscriber {
    /// `kept` is in force from the start on, if there is one, with when it was known to be the newest by this clock.
    pub fn new(
        config: SubscriptionConfig,
        machines: Vec<ControlEndpoint>,
        zone: &str,
        kept: Option<(ConfigVersion, Option<f64>)>,
        seed: u64,
        now: f64,
    ) -> Self {
        let mut chance = Pcg32::new(seed, 7);
        let mut tries: Vec<usize> = (0..machines.len()).collect();
        for n in (1..tries.len()).rev() {
            tries.swap(n, chance.next_u32() as usize % (n + 1));
        }
        tries.sort_by_key(|n| machines[*n].zone != zone);
        let (held, as_of) = kept.unwrap_or_default();
        let mut subscriber = Subscriber {
            config,
            zone: zone.into(),
            machines,
            tries,
            next: 0,
            chance,
            failures: 0,
            wait: 2.0 * config.min_backoff_s,
            patience: config.behind_timeout_s,
            homecomings: 0,
            stage: Stage::Wait(now),
            holding: VersionState::resume(held),
            outcome: None,
            lasting: None,
            stamp: 0,
            confirmed_at: as_of,
            known: (0, f64::NEG_INFINITY),
            good: now,
            quiet: config.stale_after_s,
            bucket: TokenBucket::empty(config.send_limit, now),
            orders: VecDeque::new(),
            metrics: SubscriberMetrics::default(),
        };
        // Many routers that start at once are not one herd.
        subscriber.stage = Stage::Wait(now + subscriber.draw(0.0, config.min_backoff_s));
        subscriber
    }

    fn draw(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * f64::from(self.chance.next_u32()) / 4_294_967_296.0
    }

    pub fn versions(&self) -> &VersionState {
        &self.holding
    }

    pub fn connected_to(&self) -> Option<&ControlEndpoint> {
        match &self.stage {
            Stage::Open(link) => self.machines.get(link.machine),
            _ => None,
        }
    }

    /// How old the version in force may be at most: for longer it was known to be the newest. None: of any age.
    pub fn staleness_s(&self, now: f64) -> Option<f64> {
        self.confirmed_at.map(|as_of| (now - as_of).max(0.0) * (1.0 + self.config.clock_drift_fraction))
    }

    /// When the version in force was last known to be the newest, by the clock that it is fed.
    pub fn confirmed_at(&self) -> Option<f64> {
        self.confirmed_at
    }

    /// Since the last word of a machine that is neither behind nor without a majority.
    pub fn unconfirmed_s(&self, now: f64) -> f64 {
        now - self.good
    }

    /// What the driver is to do next, in its order.
    pub fn next_command(&mut self) -> Option<Command> {
        self.orders.pop_front()
    }

    fn say(&mut self, note: Event) {
        if self.orders.len() < ORDERS {
            self.orders.push_back(Command::Log(note));
        }
    }

    fn name(&self, machine: usize) -> String {
        self.machines.get(machine).map_or_else(String::new, |machine| machine.name.clone())
    }

    /// When `tick` or `word` has something to do again, if nothing comes in before.
    pub fn next_deadline(&self) -> f64 {
        let quiet = self.good + self.quiet;
        let stage = match &self.stage {
            Stage::Wait(_) if self.machines.is_empty() => f64::INFINITY,
            Stage::Wait(until) | Stage::Dial(until) => *until,
            Stage::Open(link) => {
                let poor = link.poor.map_or(f64::INFINITY, |poor| poor + self.patience);
                let word = if link.ask.is_some() || self.outcome.is_some() {
                    self.bucket.ready_at(self.config.send_limit.burst_bytes as usize)
                } else {
                    link.pulse_at.max(self.bucket.ready_at(PULSE))
                };
                let home = if link.poor.is_none() { link.home_at } else { f64::INFINITY };
                (link.heard + self.config.heartbeat_timeout_s).min(poor).min(word).min(home)
            }
        };
        stage.min(quiet)
    }

    /// What is due by the time alone.
    pub fn tick(&mut self, now: f64) {
        if now >= self.good + self.quiet {
            let (span, age) = (self.unconfirmed_s(now), self.staleness_s(now));
            let speaks = matches!(&self.stage, Stage::Open(link) if link.poor.is_some());
            self.say(Event::Stale { number: self.holding.active.number, span, age, speaks });
            self.quiet = 2.0 * span.max(self.quiet);
        }
        match &mut self.stage {
            Stage::Wait(until) if now >= *until && !self.machines.is_empty() => {
                self.next %= self.tries.len();
                self.stage = Stage::Dial(now + self.config.connect_timeout_s);
                self.metrics.connect_attempts += 1;
                self.orders.push_back(Command::Connect(self.tries[self.next]));
            }
            Stage::Dial(until) if now >= *until => {
                self.orders.push_back(Command::Disconnect);
                self.on(now);
            }
            Stage::Open(link) => {
                let (machine, silent) = (link.machine, now - link.heard);
                let poor = link.poor.is_some_and(|poor| now >= poor + self.patience);
                let home = now >= link.home_at && link.poor.is_none();
                if silent >= self.config.heartbeat_timeout_s {
                    self.metrics.connections_timed_out += 1;
                    self.leave(Event::ConnectionTimedOut(self.name(machine), silent), now);
                } else if poor {
                    self.metrics.replicas_behind += 1;
                    self.patience = (2.0 * self.patience).min(PATIENCE.max(self.config.behind_timeout_s));
                    self.leave(Event::ReplicaBehind(self.name(machine)), now);
                } else if home {
                    self.homecomings = (self.homecomings + 1).min(4);
                    self.leave(Event::ReturningToOwnZone(self.name(machine)), now);
                    (self.next, self.stage) = (0, Stage::Wait(now));
                }
            }
            Stage::Wait(_) | Stage::Dial(_) => {}
        }
    }

    fn leave(&mut self, note: Event, now: f64) {
        self.say(note);
        self.orders.push_back(Command::Disconnect);
        self.on(now);
    }

    /// On to the next machine, after a wait that is drawn and grows.
    fn on(&mut self, now: f64) {
        self.next = (self.next + 1) % self.tries.len().max(1);
        self.failures += 1;
        let mut wait = self.config.min_backoff_s;
        if self.failures >= self.tries.len() {
            self.failures = 0;
            wait = self.wait;
            self.wait = (2.0 * wait).min(self.config.max_backoff_s);
        }
        self.stage = Stage::Wait(now + self.draw(0.25 * wait, wait));
    }

    /// The machine that was dialled has said hello.
    pub fn connection_opened(&mut self, now: f64) {
        if !matches!(self.stage, Stage::Dial(_)) {
            return;
        }
        let machine = self.tries[self.next];
        let foreign = self.machines[machine].zone != self.zone
            && self.machines.iter().any(|machine| machine.zone == self.zone);
        let home = self.config.own_zone_retry_s * f64::from(1 << self.homecomings);
        let home_at = if foreign { now + self.draw(home, 2.0 * home) } else { f64::INFINITY };
        if !foreign {
            self.homecomings = 0;
        }
        let link = Link {
            machine,
            since: now,
            heard: now,
            ask: Some(false),
            pulse_at: now,
            pulses: VecDeque::new(),
            poor: None,
            home_at,
            parts: None,
            bytes: vec![],
            length: 0,
        };
        self.stage = Stage::Open(Box::new(link));
        // What is in force is told with what is asked; of a refusal, and of what waits, this machine has yet to hear.
        self.outcome = self.lasting.clone();
        self.say(Event::Connected(self.name(machine)));
    }

    /// The dial was in vain, or the connection ended.
    pub fn connection_closed(&mut self, now: f64) {
        match &self.stage {
            Stage::Wait(_) => {}
            Stage::Dial(_) => self.on(now),
            Stage::Open(link) => {
                let machine = self.name(link.machine);
                self.metrics.connections_lost += 1;
                self.say(Event::ConnectionLost(machine));
                self.on(now);
            }
        }
    }

    /// A word of the machine that it is connected to.
    pub fn receive(&mut self, tell: ControlMessage, now: f64) {
        let Stage::Open(link) = &mut self.stage else { return };
        link.heard = now;
        match tell {
            ControlMessage::Heartbeat {
                sequence: stamp,
                latest: newest,
                digest,
                staleness_s: age,
                has_quorum: majority,
            } => {
                self.beat(stamp, (newest, digest), age, majority, now);
            }
            ControlMessage::ContentPart { number, base, digest, total_bytes: length, offset: at, bytes } => {
                if number < self.holding.received.number {
                    self.metrics.stale_messages += 1;
                    return;
                }
                let (length, at) = (length as usize, at as usize);
                if at == 0 {
                    link.parts = Some(VersionContent { number, base, digest, text: String::new() });
                    (link.bytes, link.length) = (vec![], length);
                }
                let follows = link.parts.as_ref().is_some_and(|parts| {
                    (parts.number, parts.base, parts.digest) == (number, base, digest)
                        && link.bytes.len() == at
                        && link.length == length
                });
                if !follows || length > MAX_SETTINGS_BYTES || at + bytes.len() > length {
                    link.parts = None;
                    self.mismatch(number, base, now);
                    return;
                }
                link.bytes.extend_from_slice(&bytes);
                if link.bytes.len() < length {
                    return;
                }
                let (parts, bytes) = (link.parts.take(), std::mem::take(&mut link.bytes));
                match (parts, String::from_utf8(bytes)) {
                    (Some(content), Ok(text)) => self.content(VersionContent { text, ..content }, now),
                    _ => self.mismatch(number, base, now),
                }
            }
        }
    }

    fn content(&mut self, content: VersionContent, now: f64) {
        let (number, base) = (content.number, content.base);
        match self.holding.receive(&content) {
            ReceiveResult::New => {
                let count = if base > 0 { &mut self.metrics.patches } else { &mut self.metrics.snapshots };
                *count += 1;
                self.offer();
            }
            ReceiveResult::Stale => self.metrics.stale_messages += 1,
            ReceiveResult::DigestMismatch => self.mismatch(number, base, now),
            ReceiveResult::Conflict => self.clash(number, now),
        }
    }

    /// Somebody errs about a number: what is held stays, another machine is asked.
    fn clash(&mut self, number: VersionNumber, now: f64) {
        let Stage::Open(link) = &mut self.stage else { return };
        if link.poor.is_none() {
            link.poor = Some(now);
            self.metrics.conflicts += 1;
            let machine = link.machine;
            self.say(Event::Conflict(self.name(machine), number));
        }
    }

    /// A patch of no use: the whole is asked for. Whoever tells a whole that is of no use is left.
    fn mismatch(&mut self, number: VersionNumber, base: VersionNumber, now: f64) {
        self.metrics.digest_mismatches += 1;
        let Stage::Open(link) = &mut self.stage else { return };
        let machine = link.machine;
        link.ask = Some(true);
        let note = Event::DigestMismatch(self.name(machine), number);
        if base > 0 {
            self.say(note);
        } else {
            self.leave(note, now);
        }
    }

    fn beat(
        &mut self,
        stamp: u64,
        (newest, digest): (VersionNumber, Digest),
        age: f64,
        majority: bool,
        now: f64,
    ) {
        let Stage::Open(link) = &mut self.stage else { return };
        let Some(at) = link.pulses.iter().position(|pulse| pulse.0 == stamp) else { return };
        let asked = link.pulses[at].1;
        link.pulses.drain(..=at);
        // Not a number, or from the future: nothing is known by it.
        let age = if age >= 0.0 { age } else { f64::INFINITY };
        // The beat was made after its pulse: it is no older here than that, beside what it says itself.
        let as_of = asked - age * (1.0 + self.config.clock_drift_fraction);
        let got = &self.holding.received;
        if newest == got.number && digest != got.digest {
            self.clash(newest, now);
            return;
        }
        let good = newest >= got.number && majority && age <= self.config.stale_after_s;
        if newest >= got.number && newest > 0 && as_of.is_finite() {
            self.known =
                if newest > self.known.0 { (newest, as_of) } else { (newest, as_of.max(self.known.1)) };
            if newest == self.holding.active.number {
                self.confirmed_at = Some(self.confirmed_at.map_or(as_of, |held| held.max(as_of)));
            }
        }
        let Stage::Open(link) = &mut self.stage else { return };
        if !good {
            link.poor.get_or_insert(now);
            return;
        }
        link.poor = None;
        if now - link.since >= self.config.heartbeat_interval_s {
            (self.wait, self.patience) = (2.0 * self.config.min_backoff_s, self.config.behind_timeout_s);
            self.failures = 0;
        }
        let was_old = self.quiet > self.config.stale_after_s;
        (self.good, self.quiet) = (now, self.config.stale_after_s);
        if was_old && newest == self.holding.active.number {
            self.say(Event::FreshAgain(newest));
        }
    }

    fn offer(&mut self) {
        let Some(offer) = self.holding.next_offer() else { return };
        // Whatever was got has been read once.
        let settings = serde_json::from_str(&offer.text).unwrap_or_default();
        self.orders.push_back(Command::Apply { number: offer.number, settings });
    }

    /// What the router made of an offer.
    pub fn offer_completed(&mut self, number: VersionNumber, outcome: ApplyOutcome) {
        let outcome = outcome.cut();
        let before = self.holding.persisted.number;
        if !self.holding.complete_offer(number, &outcome) {
            return;
        }
        let held = self.holding.active.number;
        match &outcome {
            ApplyOutcome::Applied => {
                self.metrics.versions_applied += 1;
                // It was the newest later than any before it.
                let (known, at) = self.known;
                if known > 0 && known <= number {
                    self.confirmed_at = Some(self.confirmed_at.map_or(at, |held| held.max(at)));
                }
                self.say(Event::Applied(number));
            }
            ApplyOutcome::PendingRestart(keys) => {
                self.metrics.versions_pending_restart += 1;
                self.say(Event::PendingRestart(number, held, keys.clone()));
            }
            ApplyOutcome::Rejected(why) => {
                self.metrics.versions_rejected += 1;
                self.say(Event::Rejected(number, held, why.clone()));
            }
        }
        if self.holding.persisted.number != before {
            self.orders.push_back(Command::Persist(self.holding.persisted.clone()));
        }
        self.lasting = Some((number, outcome.clone())).filter(|_| outcome != ApplyOutcome::Applied);
        self.outcome = Some((number, outcome));
        self.offer();
    }

    /// What goes out next, if anything may go now: what asks for a change, before a pulse, before a report.
    pub fn next_message(&mut self, now: f64) -> Option<Vec<u8>> {
        let Stage::Open(link) = &mut self.stage else { return None };
        let (got, held) = (self.holding.received(), self.holding.active().number);
        let say = if let Some(whole) = link.ask {
            RouterMessage::Subscribe {
                received: got.number,
                digest: got.digest,
                active: held,
                needs_snapshot: whole,
            }
        } else if now >= link.pulse_at {
            RouterMessage::HeartbeatRequest { sequence: self.stamp + 1 }
        } else if let Some((number, outcome)) = &self.outcome {
            RouterMessage::ApplyReport { number: *number, outcome: outcome.clone() }
        } else {
            return None;
        };
        let bytes = messages::encode_frame(&say);
        if !self.bucket.try_take(bytes.len(), now) {
            return None;
        }
        self.metrics.bytes_sent += bytes.len() as u64;
        match say {
            RouterMessage::Subscribe { .. } => link.ask = None,
            RouterMessage::HeartbeatRequest { sequence: stamp } => {
                self.stamp = stamp;
                link.pulses.push_back((stamp, now));
                if link.pulses.len() > PULSES {
                    link.pulses.pop_front();
                }
                link.pulse_at = now + self.config.heartbeat_interval_s;
            }
            RouterMessage::ApplyReport { .. } => self.outcome = None,
        }
        Some(bytes)
    }
}
