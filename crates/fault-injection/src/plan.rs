//! Fault plans: which calls fail, how often and when.
//!
//! A plan is a list of words separated by spaces, each `KIND=VALUE` with an optional `@FROM-TO` in seconds since the
//! process started: `seed=7 eintr=0.01 accept=0.1@2-5 wall=3600@3-`.

use std::fmt;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `recv`, `recvmsg` and `send` end with EINTR; the value is the share of calls.
    Interrupt,
    /// `recv`, `recvmsg` and `send` transfer one byte at least and not all that they could.
    Short,
    /// `send` ends with ENOBUFS.
    NoBuffers,
    /// `accept4` ends with ECONNABORTED, ENFILE, ENOBUFS or EINTR.
    Accept,
    /// `connect` ends with EADDRNOTAVAIL.
    NoPort,
    /// `connect` ends with ENETUNREACH.
    NoRoute,
    /// `socket` ends with ENFILE.
    NoSocket,
    /// `send` waits for 0.15 s before it writes.
    Hold,
    /// The wall clock is off by so many seconds.
    Wall,
    /// The wall clock goes forward by so many seconds and back each 5 ms.
    Wobble,
    /// `fsync` and `fdatasync` end with EIO.
    Sync,
    /// Writes to files end with ENOSPC, after half of the bytes where there are several.
    NoSpace,
    /// The process ends, as by SIGKILL, at a call that changes a file on a disk; the value says at the how many-th.
    Exit,
}

const NAMES: [(&str, Kind); 13] = [
    ("eintr", Kind::Interrupt),
    ("short", Kind::Short),
    ("nobufs", Kind::NoBuffers),
    ("accept", Kind::Accept),
    ("noport", Kind::NoPort),
    ("noroute", Kind::NoRoute),
    ("nosocket", Kind::NoSocket),
    ("hold", Kind::Hold),
    ("wall", Kind::Wall),
    ("wobble", Kind::Wobble),
    ("fsync", Kind::Sync),
    ("nospace", Kind::NoSpace),
    ("exit", Kind::Exit),
];

/// One fault, active from `from` to `until` seconds after the start of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub kind: Kind,
    /// A probability for each call, seconds for faults of the wall clock, or the number of a call.
    pub value: f64,
    pub from: f64,
    pub until: f64,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let name = NAMES.iter().find(|(_, kind)| *kind == self.kind).map_or("", |(name, _)| name);
        write!(out, "{name}={}@{}-", self.value, self.from)?;
        if self.until.is_finite() { write!(out, "{}", self.until) } else { Ok(()) }
    }
}

/// All faults of a process and the seed of their chance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub faults: Vec<Fault>,
}

impl fmt::Display for Plan {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "seed={}", self.seed)?;
        self.faults.iter().try_for_each(|fault| write!(out, " {fault}"))
    }
}

impl Plan {
    /// Reads a plan; the error names the word that cannot be used.
    pub fn parse(text: &str) -> Result<Plan, String> {
        let mut plan = Plan::default();
        for word in text.split_whitespace() {
            let wrong = || format!("`{word}` is no fault");
            let (name, rest) = word.split_once('=').ok_or_else(wrong)?;
            if name == "seed" {
                plan.seed = rest.parse().map_err(|_| wrong())?;
                continue;
            }
            let (_, kind) = NAMES.iter().find(|(known, _)| *known == name).ok_or_else(wrong)?;
            let (value, window) = rest.split_once('@').unwrap_or((rest, "0-"));
            let (from, until) = window.split_once('-').ok_or_else(wrong)?;
            let number = |text: &str| text.parse::<f64>().map_err(|_| wrong());
            let until = if until.is_empty() { f64::INFINITY } else { number(until)? };
            plan.faults.push(Fault { kind: *kind, value: number(value)?, from: number(from)?, until });
        }
        Ok(plan)
    }

    /// The value of a kind of fault at a time, none where it is not active.
    pub fn active(&self, kind: Kind, now: f64) -> Option<f64> {
        let active = |fault: &&Fault| fault.kind == kind && fault.from <= now && now < fault.until;
        self.faults.iter().find(active).map(|fault| fault.value)
    }
}
