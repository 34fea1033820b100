//! A data node without sockets: calls wait in a queue for one of its cores, take a time drawn from the seed, and end
//! in a reply. Faults change what happens to calls from the moment at which they are set.
use crate::draw;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

/// What a data node is.
#[derive(Clone, Debug)]
pub struct Make {
    pub cores: usize,
    /// Mean seconds that one part takes on a core; exponential, or always the same.
    pub service: f64,
    pub exponential: bool,
    /// Parts that may wait; further ones are turned away.
    pub queue: usize,
    /// After a start parts take up to so many times as long, less and less over the warm-up.
    pub cold: f64,
    pub warm_up: f64,
}

impl Default for Make {
    fn default() -> Self {
        Make { cores: 4, service: 0.002, exponential: true, queue: 1000, cold: 1.0, warm_up: 1.0 }
    }
}

/// What is wrong with a data node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Parts take so many times as long.
    Slow(f64),
    /// Nothing begins or ends; what came waits.
    Paused,
    /// What comes is read and never answered.
    Silent,
    /// Connections are reset as soon as a call comes.
    Resetting,
    /// Every call is answered `full`.
    Draining,
}

pub type Job = u64;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Its reply goes out when `due` says so.
    Taken,
    Full,
    Reset,
    Never,
}

pub struct Node {
    make: Make,
    chance: Pcg32,
    fault: Fault,
    started: f64,
    waiting: VecDeque<Job>,
    /// Jobs on a core, by when they end.
    running: BTreeMap<(u64, Job), ()>,
    given_up: Vec<Job>,
    last: Job,
}

/// Whole nanoseconds, so that ends have an order.
fn nanos(time: f64) -> u64 {
    (time * 1e9) as u64
}

impl Node {
    pub fn new(make: Make, seed: u64, started: f64) -> Self {
        Node {
            make,
            chance: Pcg32::new(seed, 0x5851_f42d),
            fault: Fault::None,
            started,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            given_up: vec![],
            last: 0,
        }
    }

    pub fn set(&mut self, fault: Fault, now: f64) {
        self.fault = fault;
        self.begin(now);
    }

    pub fn fault(&self) -> Fault {
        self.fault
    }

    fn service(&mut self, now: f64) -> f64 {
        let drawn = if self.make.exponential { -(1.0 - draw(&mut self.chance)).ln() } else { 1.0 };
        let cold = (1.0 - (now - self.started) / self.make.warm_up).clamp(0.0, 1.0);
        let slow = if let Fault::Slow(times) = self.fault { times } else { 1.0 };
        drawn * self.make.service * slow * (1.0 + (self.make.cold - 1.0) * cold)
    }

    fn begin(&mut self, now: f64) {
        while self.fault != Fault::Paused && self.running.len() < self.make.cores {
            let Some(job) = self.waiting.pop_front() else { return };
            let end = now + self.service(now);
            self.running.insert((nanos(end), job), ());
        }
    }

    /// A part has come; its number is for `due` and `give_up`.
    pub fn call(&mut self, now: f64) -> (Job, Verdict) {
        self.last += 1;
        let verdict = match self.fault {
            Fault::Silent => Verdict::Never,
            Fault::Resetting => Verdict::Reset,
            Fault::Draining => Verdict::Full,
            _ if self.waiting.len() >= self.make.queue => Verdict::Full,
            _ => Verdict::Taken,
        };
        if verdict == Verdict::Taken {
            self.waiting.push_back(self.last);
            self.begin(now);
        }
        (self.last, verdict)
    }

    /// The router waits for it no longer: it leaves the queue, or its core has worked for nothing.
    pub fn give_up(&mut self, job: Job) {
        let before = self.waiting.len();
        self.waiting.retain(|waits| *waits != job);
        if self.waiting.len() == before && self.running.keys().any(|(_, runs)| *runs == job) {
            self.given_up.push(job);
        }
    }

    /// When `due` next has something to say; nothing ends while the node is paused.
    pub fn next(&self) -> Option<f64> {
        let (end, _) = self.running.keys().next().filter(|_| self.fault != Fault::Paused)?;
        Some(*end as f64 / 1e9)
    }

    /// Jobs that have ended by now and are to be answered, each once.
    pub fn due(&mut self, now: f64) -> Vec<Job> {
        let mut done = vec![];
        while let Some((&(end, job), ())) = self.running.first_key_value() {
            if self.fault == Fault::Paused || end > nanos(now) {
                break;
            }
            self.running.pop_first();
            match self.given_up.iter().position(|given| *given == job) {
                Some(at) => drop(self.given_up.swap_remove(at)),
                None if self.fault != Fault::Silent => done.push(job),
                None => {}
            }
            self.begin(now);
        }
        done
    }

    /// Parts that wait or run.
    pub fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }
}
