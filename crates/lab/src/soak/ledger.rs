//! What passed on every socket of a soak, with times: nothing here judges.
use std::collections::BTreeMap;

/// One process of a router, from its start to its end.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub router: usize,
    pub started: f64,
    /// When `GET /up` first answered 200.
    pub ready: Option<f64>,
    pub terminated: Option<f64>,
    pub killed: Option<f64>,
    pub ended: Option<f64>,
    /// It ended by itself, or with another code than 0 after SIGTERM.
    pub crashed: Option<String>,
    /// SIGSTOP to SIGCONT.
    pub held: Vec<(f64, f64)>,
    /// The same within a stop, for no longer than the pages allow: its SIGKILL is not put off.
    pub held_in_stop: Vec<(f64, f64)>,
    /// Holds between the last look and the write of a frame that a SIGSTOP made longer than the pages allow.
    pub held_in_send: Vec<(f64, f64)>,
    /// Violations that the process counted itself, by counter.
    pub counted: BTreeMap<String, u64>,
    /// Lines of its log that tell of a failure.
    pub failures: Vec<String>,
    /// The highest memory that it was seen with, in KiB.
    pub memory_kib: u64,
}

impl Run {
    /// Seconds between two times in which the process was held.
    pub fn held_within(&self, from: f64, until: f64) -> f64 {
        within(&self.held, from, until) + within(&self.held_in_stop, from, until)
    }

    /// For how long the process was held within the call that wrote a frame's first byte at `begun`, if that was longer
    /// than the pages allow; the two times differ by `tolerance` at most. No program can look again in there.
    pub fn held_in_send_before(&self, begun: f64, tolerance: f64) -> f64 {
        let ends_there = self.held_in_send.iter().filter(|(_, until)| (until - begun).abs() <= tolerance);
        ends_there.map(|(from, until)| until - from).fold(0.0, f64::max)
    }

    /// Seconds between two times by which a SIGKILL that is due is put off.
    pub fn kill_put_off(&self, from: f64, until: f64) -> f64 {
        within(&self.held, from, until)
    }
}

fn within(spans: &[(f64, f64)], from: f64, until: f64) -> f64 {
    spans.iter().map(|(began, ended)| (ended.min(until) - began.max(from)).max(0.0)).sum()
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Nothing has come.
    Open,
    /// A whole answer: its status, and what is at fault in it.
    Answered { at: f64, status: u16, fault: Option<String> },
    /// The connection ended with no whole answer.
    Closed { at: f64, reset: bool },
    /// The client closed its connection.
    Left { at: f64 },
}

/// One request that was written whole to an accepted connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub run: usize,
    pub class: usize,
    pub parts: Vec<u32>,
    /// When its connection was made, and whether it had carried a request before.
    pub connected: f64,
    pub reused: bool,
    /// Requests written before it on the connection had no answer yet.
    pub pipelined: bool,
    pub sent: f64,
    /// Seconds that the client waits from then on.
    pub patience: f64,
    /// The longest that it waits for this request or for one before it in the same write: answers come in order.
    pub in_order: f64,
    pub outcome: Outcome,
}

/// A client that never completes a request: when it connected and when it had its error or close.
#[derive(Clone, Debug)]
pub struct Stalled {
    pub run: usize,
    pub connected: f64,
    pub ended: Option<f64>,
}

/// One leaf call of a part, whole on the wire.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub part: String,
    pub run: usize,
    pub node: usize,
    /// When its frame's first byte and its last byte had been read.
    pub begun: f64,
    pub whole: f64,
    /// Seconds that it told the data node.
    pub told: f64,
    /// When a reply that says that it never ran was written back.
    pub turned_away: Option<f64>,
}

/// A state of a data node that a router was told, or counts as told, and from when.
#[derive(Clone, Debug)]
pub struct Told {
    pub run: usize,
    pub node: usize,
    /// Drains or is gone; else it serves (again).
    pub leaving: bool,
    pub at: f64,
}

/// A data node's process has started, and discovery has heard of it.
#[derive(Clone, Copy, Debug)]
pub struct NodeStart {
    pub node: usize,
    pub at: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub runs: Vec<Run>,
    pub requests: Vec<Request>,
    pub stalled: Vec<Stalled>,
    pub attempts: Vec<Attempt>,
    pub told: Vec<Told>,
    pub node_starts: Vec<NodeStart>,
    /// How late this process itself was: by time, the lag of a timer.
    pub lag: Vec<(f64, f64)>,
    pub counts: BTreeMap<&'static str, u64>,
    /// Requests that were sent once more after their client had left, by id, and when.
    pub asked_again: BTreeMap<String, f64>,
}

impl Ledger {
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// The most that this process itself was late between two times.
    pub fn lag(&self, from: f64, until: f64) -> f64 {
        let within = self.lag.iter().filter(|(at, _)| *at >= from - 0.2 && *at <= until + 0.2);
        within.map(|(_, lag)| *lag).fold(0.0, f64::max)
    }
}
