//! The router's side of its subscription: which control machine it is connected to, what it takes of its words, and how old
//! its version may be. It is fed what became of connections and offers, words and a time of the own steady clock, and
//! gives orders to its driver. A version never goes back, whoever says so.
use crate::bucket::{Bucket, Budget, UP};
use crate::version::Number;
use crate::words::{self, Content, Digest, LARGEST, Outcome, Say, Tell};
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
pub struct Terms {
    /// Between two pulses.
    pub pulse: f64,
    /// Without a word for so long a machine is left.
    pub silent: f64,
    /// For a connection and its hello.
    pub dial: f64,
    /// Waits between two rounds through all machines grow from the least to the most; those between two dials of a round
    /// stay the least. Each is drawn between a quarter of it and all.
    pub least: f64,
    pub most: f64,
    /// A machine that is behind, or sees no majority, is left after so long; each time after twice as long.
    pub behind: f64,
    /// At a machine of another zone for so long, drawn between this and its double, the own zone's is tried again.
    pub home: f64,
    /// When a version has not been known to be the newest for so long, that is said.
    pub old: f64,
    /// By what part a steady clock may go wrong.
    pub drift: f64,
    pub up: Budget,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            pulse: 1.0,
            silent: 3.0,
            dial: 1.0,
            least: 0.4,
            most: 4.0,
            behind: 5.0,
            home: 60.0,
            old: 10.0,
            drift: 0.001,
            up: UP,
        }
    }
}

/// A control machine, as the router's list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub name: String,
    pub zone: String,
}

/// A version in hand: settings in canonical form.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settled {
    pub number: Number,
    pub digest: Digest,
    pub text: Arc<str>,
}

impl Settled {
    pub fn new(number: Number, text: &str) -> Self {
        Settled { number, digest: words::digest(text), text: text.into() }
    }
}

impl Default for Settled {
    fn default() -> Self {
        Settled::new(0, "")
    }
}

/// What became of a content that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    New,
    /// The router has that or a newer one.
    Old,
    /// What comes out is not what was meant: the whole is needed.
    Mismatch,
    /// It has another content under that number.
    Clash,
}

/// What a router has: what it got, what it was offered, what is in force, and what the next start is to be with. The one
/// place where a version is taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holding {
    got: Settled,
    held: Settled,
    kept: Settled,
    offered: Option<Settled>,
    /// Offered last and not in force.
    lacks: Number,
}

impl Holding {
    /// As started with a version in force.
    pub fn resumed(held: Settled) -> Self {
        Holding { got: held.clone(), kept: held.clone(), held, ..Holding::default() }
    }

    pub fn got(&self) -> &Settled {
        &self.got
    }

    /// In force.
    pub fn held(&self) -> &Settled {
        &self.held
    }

    /// What the next start is to be with.
    pub fn kept(&self) -> &Settled {
        &self.kept
    }

    pub fn take(&mut self, content: &Content) -> Taken {
        if content.number == self.got.number && content.digest != self.got.digest {
            return Taken::Clash;
        }
        if content.number <= self.got.number {
            return Taken::Old;
        }
        let text = match content.base {
            0 => serde_json::from_str::<Value>(&content.text).is_ok().then(|| content.text.clone()),
            base if base == self.got.number => words::patched(&self.got.text, &content.text),
            _ => None,
        };
        let Some(text) = text.filter(|text| words::digest(text) == content.digest) else {
            return Taken::Mismatch;
        };
        self.got = Settled { number: content.number, digest: content.digest, text: text.into() };
        Taken::New
    }

    /// The newest, if it is to be offered to the router now; one offer at a time.
    pub fn offer(&mut self) -> Option<Settled> {
        if self.offered.is_some() || self.got.number <= self.lacks.max(self.held.number) {
            return None;
        }
        self.offered = Some(self.got.clone());
        self.offered.clone()
    }

    /// What the router made of its offer; whether that was one.
    pub fn ended(&mut self, number: Number, outcome: &Outcome) -> bool {
        let Some(offered) = self.offered.take_if(|offered| offered.number == number) else { return false };
        match outcome {
            Outcome::InForce => (self.held, self.kept) = (offered.clone(), offered),
            Outcome::Waits(_) => (self.kept, self.lacks) = (offered, number),
            Outcome::Refused(_) => self.lacks = number,
        }
        true
    }
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Connect to this machine of the list; what was connected is over.
    Dial(usize),
    /// End the connection, or the try at one.
    Leave,
    Offer {
        number: Number,
        settings: Value,
    },
    /// The next start is to be with it: to be kept where something lasts.
    Keep(Settled),
    Note(Note),
}

/// What is worth a line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    InForce(Number),
    /// A version, and the one that holds.
    Waits(Number, Number, Vec<String>),
    Refused(Number, Number, String),
    Connected(String),
    Lost(String),
    Silent(String, f64),
    Behind(String),
    Home(String),
    Mismatch(String, Number),
    Clash(String, Number),
    /// Nothing was heard that counts for a span: the version in force, its age at most, and whether some machine speaks
    /// that is behind or sees no majority.
    Old {
        number: Number,
        span: f64,
        age: Option<f64>,
        speaks: bool,
    },
    Fresh(Number),
}

impl Note {
    /// Whether somebody should look.
    pub fn warns(&self) -> bool {
        !matches!(self, Note::InForce(_) | Note::Connected(_) | Note::Home(_) | Note::Fresh(_))
    }
}

impl fmt::Display for Note {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Note::InForce(number) => write!(out, "version {number} in force"),
            Note::Waits(number, held, keys) => {
                let keys = keys.join(", ");
                write!(out, "version {number} waits for a start ({keys}); {}", Held(*held))
            }
            Note::Refused(number, held, why) => {
                write!(out, "version {number} refused: {why}; {}", Held(*held))
            }
            Note::Connected(machine) => write!(out, "subscribed at control machine {machine}"),
            Note::Lost(machine) => write!(out, "control machine {machine}: the connection ended"),
            Note::Silent(machine, span) => {
                write!(out, "control machine {machine}: silent for {span:.1} s, left")
            }
            Note::Behind(machine) => {
                write!(out, "control machine {machine}: behind, or without a majority; another is tried")
            }
            Note::Home(machine) => write!(out, "control machine {machine}: left for the own zone's"),
            Note::Mismatch(machine, number) => write!(
                out,
                "control machine {machine}: version {number} did not come out as told; asked for the whole"
            ),
            Note::Clash(machine, number) => {
                write!(out, "control machine {machine}: another content under number {number}; not taken")
            }
            Note::Old { number, span, age, speaks } => {
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
            Note::Fresh(number) => write!(out, "version {number} is known to be the newest again"),
        }
    }
}

/// What holds on.
struct Held(Number);

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
pub struct Met {
    pub dials: u64,
    pub lost: u64,
    pub silent: u64,
    pub behind: u64,
    pub taken_over: u64,
    pub refused: u64,
    pub waits: u64,
    pub whole: u64,
    pub deltas: u64,
    pub mismatches: u64,
    pub clashes: u64,
    /// Words of versions that are here already, or newer.
    pub old_words: u64,
    pub bytes_up: u64,
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
    parts: Option<Content>,
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
    terms: Terms,
    zone: String,
    machines: Vec<Machine>,
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
    holding: Holding,
    /// What has yet to be told, and what every machine is told that has not heard it.
    outcome: Option<(Number, Outcome)>,
    lasting: Option<(Number, Outcome)>,
    stamp: u64,
    /// When the version in force was last known to be the newest of all.
    as_of: Option<f64>,
    /// Which version was known to be the newest, and when, by the last good beat.
    known: (Number, f64),
    /// When the last good word came, and how long after it the next line is due.
    good: f64,
    quiet: f64,
    bucket: Bucket,
    orders: VecDeque<Order>,
    pub met: Met,
}

impl Subscriber {
    /// `kept` is in force from the start on, if there is one, with when it was known to be the newest by this clock.
    pub fn new(
        terms: Terms,
        machines: Vec<Machine>,
        zone: &str,
        kept: Option<(Settled, Option<f64>)>,
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
            terms,
            zone: zone.into(),
            machines,
            tries,
            next: 0,
            chance,
            failures: 0,
            wait: 2.0 * terms.least,
            patience: terms.behind,
            homecomings: 0,
            stage: Stage::Wait(now),
            holding: Holding::resumed(held),
            outcome: None,
            lasting: None,
            stamp: 0,
            as_of,
            known: (0, f64::NEG_INFINITY),
            good: now,
            quiet: terms.old,
            bucket: Bucket::empty(terms.up, now),
            orders: VecDeque::new(),
            met: Met::default(),
        };
        // Many routers that start at once are not one herd.
        subscriber.stage = Stage::Wait(now + subscriber.draw(0.0, terms.least));
        subscriber
    }

    fn draw(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * f64::from(self.chance.next_u32()) / 4_294_967_296.0
    }

    pub fn holding(&self) -> &Holding {
        &self.holding
    }

    pub fn connected(&self) -> Option<&Machine> {
        match &self.stage {
            Stage::Open(link) => self.machines.get(link.machine),
            _ => None,
        }
    }

    /// How old the version in force may be at most: for longer it was known to be the newest. None: of any age.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.as_of.map(|as_of| (now - as_of).max(0.0) * (1.0 + self.terms.drift))
    }

    /// When the version in force was last known to be the newest, by the clock that it is fed.
    pub fn as_of(&self) -> Option<f64> {
        self.as_of
    }

    /// Since the last word of a machine that is neither behind nor without a majority.
    pub fn quiet(&self, now: f64) -> f64 {
        now - self.good
    }

    /// What the driver is to do next, in its order.
    pub fn order(&mut self) -> Option<Order> {
        self.orders.pop_front()
    }

    fn say(&mut self, note: Note) {
        if self.orders.len() < ORDERS {
            self.orders.push_back(Order::Note(note));
        }
    }

    fn name(&self, machine: usize) -> String {
        self.machines.get(machine).map_or_else(String::new, |machine| machine.name.clone())
    }

    /// When `tick` or `word` has something to do again, if nothing comes in before.
    pub fn due(&self) -> f64 {
        let quiet = self.good + self.quiet;
        let stage = match &self.stage {
            Stage::Wait(_) if self.machines.is_empty() => f64::INFINITY,
            Stage::Wait(until) | Stage::Dial(until) => *until,
            Stage::Open(link) => {
                let poor = link.poor.map_or(f64::INFINITY, |poor| poor + self.patience);
                let word = if link.ask.is_some() || self.outcome.is_some() {
                    self.bucket.when(self.terms.up.burst as usize)
                } else {
                    link.pulse_at.max(self.bucket.when(PULSE))
                };
                let home = if link.poor.is_none() { link.home_at } else { f64::INFINITY };
                (link.heard + self.terms.silent).min(poor).min(word).min(home)
            }
        };
        stage.min(quiet)
    }

    /// What is due by the time alone.
    pub fn tick(&mut self, now: f64) {
        if now >= self.good + self.quiet {
            let (span, age) = (self.quiet(now), self.age(now));
            let speaks = matches!(&self.stage, Stage::Open(link) if link.poor.is_some());
            self.say(Note::Old { number: self.holding.held.number, span, age, speaks });
            self.quiet = 2.0 * span.max(self.quiet);
        }
        match &mut self.stage {
            Stage::Wait(until) if now >= *until && !self.machines.is_empty() => {
                self.next %= self.tries.len();
                self.stage = Stage::Dial(now + self.terms.dial);
                self.met.dials += 1;
                self.orders.push_back(Order::Dial(self.tries[self.next]));
            }
            Stage::Dial(until) if now >= *until => {
                self.orders.push_back(Order::Leave);
                self.on(now);
            }
            Stage::Open(link) => {
                let (machine, silent) = (link.machine, now - link.heard);
                let poor = link.poor.is_some_and(|poor| now >= poor + self.patience);
                let home = now >= link.home_at && link.poor.is_none();
                if silent >= self.terms.silent {
                    self.met.silent += 1;
                    self.leave(Note::Silent(self.name(machine), silent), now);
                } else if poor {
                    self.met.behind += 1;
                    self.patience = (2.0 * self.patience).min(PATIENCE.max(self.terms.behind));
                    self.leave(Note::Behind(self.name(machine)), now);
                } else if home {
                    self.homecomings = (self.homecomings + 1).min(4);
                    self.leave(Note::Home(self.name(machine)), now);
                    (self.next, self.stage) = (0, Stage::Wait(now));
                }
            }
            Stage::Wait(_) | Stage::Dial(_) => {}
        }
    }

    fn leave(&mut self, note: Note, now: f64) {
        self.say(note);
        self.orders.push_back(Order::Leave);
        self.on(now);
    }

    /// On to the next machine, after a wait that is drawn and grows.
    fn on(&mut self, now: f64) {
        self.next = (self.next + 1) % self.tries.len().max(1);
        self.failures += 1;
        let mut wait = self.terms.least;
        if self.failures >= self.tries.len() {
            self.failures = 0;
            wait = self.wait;
            self.wait = (2.0 * wait).min(self.terms.most);
        }
        self.stage = Stage::Wait(now + self.draw(0.25 * wait, wait));
    }

    /// The machine that was dialled has said hello.
    pub fn opened(&mut self, now: f64) {
        if !matches!(self.stage, Stage::Dial(_)) {
            return;
        }
        let machine = self.tries[self.next];
        let foreign = self.machines[machine].zone != self.zone
            && self.machines.iter().any(|machine| machine.zone == self.zone);
        let home = self.terms.home * f64::from(1 << self.homecomings);
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
        self.say(Note::Connected(self.name(machine)));
    }

    /// The dial was in vain, or the connection ended.
    pub fn closed(&mut self, now: f64) {
        match &self.stage {
            Stage::Wait(_) => {}
            Stage::Dial(_) => self.on(now),
            Stage::Open(link) => {
                let machine = self.name(link.machine);
                self.met.lost += 1;
                self.say(Note::Lost(machine));
                self.on(now);
            }
        }
    }

    /// A word of the machine that it is connected to.
    pub fn heard(&mut self, tell: Tell, now: f64) {
        let Stage::Open(link) = &mut self.stage else { return };
        link.heard = now;
        match tell {
            Tell::Beat { stamp, newest, digest, age, majority } => {
                self.beat(stamp, (newest, digest), age, majority, now);
            }
            Tell::Part { number, base, digest, length, at, bytes } => {
                if number < self.holding.got.number {
                    self.met.old_words += 1;
                    return;
                }
                let (length, at) = (length as usize, at as usize);
                if at == 0 {
                    link.parts = Some(Content { number, base, digest, text: String::new() });
                    (link.bytes, link.length) = (vec![], length);
                }
                let follows = link.parts.as_ref().is_some_and(|parts| {
                    (parts.number, parts.base, parts.digest) == (number, base, digest)
                        && link.bytes.len() == at
                        && link.length == length
                });
                if !follows || length > LARGEST || at + bytes.len() > length {
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
                    (Some(content), Ok(text)) => self.content(Content { text, ..content }, now),
                    _ => self.mismatch(number, base, now),
                }
            }
        }
    }

    fn content(&mut self, content: Content, now: f64) {
        let (number, base) = (content.number, content.base);
        match self.holding.take(&content) {
            Taken::New => {
                let count = if base > 0 { &mut self.met.deltas } else { &mut self.met.whole };
                *count += 1;
                self.offer();
            }
            Taken::Old => self.met.old_words += 1,
            Taken::Mismatch => self.mismatch(number, base, now),
            Taken::Clash => self.clash(number, now),
        }
    }

    /// Somebody errs about a number: what is held stays, another machine is asked.
    fn clash(&mut self, number: Number, now: f64) {
        let Stage::Open(link) = &mut self.stage else { return };
        if link.poor.is_none() {
            link.poor = Some(now);
            self.met.clashes += 1;
            let machine = link.machine;
            self.say(Note::Clash(self.name(machine), number));
        }
    }

    /// A patch of no use: the whole is asked for. Whoever tells a whole that is of no use is left.
    fn mismatch(&mut self, number: Number, base: Number, now: f64) {
        self.met.mismatches += 1;
        let Stage::Open(link) = &mut self.stage else { return };
        let machine = link.machine;
        link.ask = Some(true);
        let note = Note::Mismatch(self.name(machine), number);
        if base > 0 {
            self.say(note);
        } else {
            self.leave(note, now);
        }
    }

    fn beat(&mut self, stamp: u64, (newest, digest): (Number, Digest), age: f64, majority: bool, now: f64) {
        let Stage::Open(link) = &mut self.stage else { return };
        let Some(at) = link.pulses.iter().position(|pulse| pulse.0 == stamp) else { return };
        let asked = link.pulses[at].1;
        link.pulses.drain(..=at);
        // Not a number, or from the future: nothing is known by it.
        let age = if age >= 0.0 { age } else { f64::INFINITY };
        // The beat was made after its pulse: it is no older here than that, beside what it says itself.
        let as_of = asked - age * (1.0 + self.terms.drift);
        let got = &self.holding.got;
        if newest == got.number && digest != got.digest {
            self.clash(newest, now);
            return;
        }
        let good = newest >= got.number && majority && age <= self.terms.old;
        if newest >= got.number && newest > 0 && as_of.is_finite() {
            self.known =
                if newest > self.known.0 { (newest, as_of) } else { (newest, as_of.max(self.known.1)) };
            if newest == self.holding.held.number {
                self.as_of = Some(self.as_of.map_or(as_of, |held| held.max(as_of)));
            }
        }
        let Stage::Open(link) = &mut self.stage else { return };
        if !good {
            link.poor.get_or_insert(now);
            return;
        }
        link.poor = None;
        if now - link.since >= self.terms.pulse {
            (self.wait, self.patience) = (2.0 * self.terms.least, self.terms.behind);
            self.failures = 0;
        }
        let was_old = self.quiet > self.terms.old;
        (self.good, self.quiet) = (now, self.terms.old);
        if was_old && newest == self.holding.held.number {
            self.say(Note::Fresh(newest));
        }
    }

    fn offer(&mut self) {
        let Some(offer) = self.holding.offer() else { return };
        // Whatever was got has been read once.
        let settings = serde_json::from_str(&offer.text).unwrap_or_default();
        self.orders.push_back(Order::Offer { number: offer.number, settings });
    }

    /// What the router made of an offer.
    pub fn ended(&mut self, number: Number, outcome: Outcome) {
        let outcome = outcome.cut();
        let before = self.holding.kept.number;
        if !self.holding.ended(number, &outcome) {
            return;
        }
        let held = self.holding.held.number;
        match &outcome {
            Outcome::InForce => {
                self.met.taken_over += 1;
                // It was the newest later than any before it.
                let (known, at) = self.known;
                if known > 0 && known <= number {
                    self.as_of = Some(self.as_of.map_or(at, |held| held.max(at)));
                }
                self.say(Note::InForce(number));
            }
            Outcome::Waits(keys) => {
                self.met.waits += 1;
                self.say(Note::Waits(number, held, keys.clone()));
            }
            Outcome::Refused(why) => {
                self.met.refused += 1;
                self.say(Note::Refused(number, held, why.clone()));
            }
        }
        if self.holding.kept.number != before {
            self.orders.push_back(Order::Keep(self.holding.kept.clone()));
        }
        self.lasting = Some((number, outcome.clone())).filter(|_| outcome != Outcome::InForce);
        self.outcome = Some((number, outcome));
        self.offer();
    }

    /// What goes out next, if anything may go now: what asks for a change, before a pulse, before a report.
    pub fn word(&mut self, now: f64) -> Option<Vec<u8>> {
        let Stage::Open(link) = &mut self.stage else { return None };
        let (got, held) = (self.holding.got(), self.holding.held().number);
        let say = if let Some(whole) = link.ask {
            Say::Ask { got: got.number, digest: got.digest, held, whole }
        } else if now >= link.pulse_at {
            Say::Pulse { stamp: self.stamp + 1 }
        } else if let Some((number, outcome)) = &self.outcome {
            Say::Outcome { number: *number, outcome: outcome.clone() }
        } else {
            return None;
        };
        let bytes = words::framed(&say);
        if !self.bucket.take(bytes.len(), now) {
            return None;
        }
        self.met.bytes_up += bytes.len() as u64;
        match say {
            Say::Ask { .. } => link.ask = None,
            Say::Pulse { stamp } => {
                self.stamp = stamp;
                link.pulses.push_back((stamp, now));
                if link.pulses.len() > PULSES {
                    link.pulses.pop_front();
                }
                link.pulse_at = now + self.terms.pulse;
            }
            Say::Outcome { .. } => self.outcome = None,
        }
        Some(bytes)
    }
}
