//! Attempts that have not ended, and outcomes that the next round tells the policy.
use super::timer_queue::TimerQueue;
use alderway::interface::AttemptOutcome;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Names an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Id of its shard request.
    pub request_id: Rc<str>,
    /// Its number among that request's attempts, from 0.
    pub number: usize,
}

impl AttemptId {
    /// Attempt number `number` of a shard request.
    pub fn new(request_id: impl Into<Rc<str>>, number: usize) -> Self {
        AttemptId { request_id: request_id.into(), number }
    }
}

/// An attempt in flight.
pub struct Attempt {
    /// The data node that was chosen.
    pub node: String,
    /// The connection that carries it, once one is chosen.
    pub connection: Option<u64>,
    /// When the policy started it.
    pub started_at_s: f64,
    /// When its time-out passes.
    pub timeout_at_s: f64,
}

/// An attempt that has ended, for the policy.
pub struct EndedAttempt {
    /// Which attempt.
    pub id: AttemptId,
    /// The data node that it went to.
    pub node: String,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Seconds from its start to its end.
    pub latency_s: f64,
}

/// Attempts from `start` to `end`.
#[derive(Default)]
pub struct AttemptTable {
    in_flight: BTreeMap<AttemptId, Attempt>,
    timeouts: TimerQueue<AttemptId>,
    ended: Vec<EndedAttempt>,
}

impl AttemptTable {
    /// Records an attempt that starts now.
    pub fn start(&mut self, id: AttemptId, node: &str, now: f64, timeout_at_s: f64) {
        self.timeouts.insert(timeout_at_s, id.clone());
        let attempt = Attempt { node: node.into(), connection: None, started_at_s: now, timeout_at_s };
        self.in_flight.insert(id, attempt);
    }

    /// An attempt in flight.
    pub fn get_mut(&mut self, id: &AttemptId) -> Option<&mut Attempt> {
        self.in_flight.get_mut(id)
    }

    /// An attempt in flight.
    pub fn get(&self, id: &AttemptId) -> Option<&Attempt> {
        self.in_flight.get(id)
    }

    /// Ends an attempt. The first outcome counts: one that has ended is unknown from there on.
    pub fn end(&mut self, id: &AttemptId, outcome: AttemptOutcome, now: f64) -> Option<Attempt> {
        let attempt = self.in_flight.remove(id)?;
        self.timeouts.remove(attempt.timeout_at_s, id);
        self.report_end(id.clone(), &attempt.node, outcome, now - attempt.started_at_s);
        Some(attempt)
    }

    /// Reports an outcome to the policy, as for a shard request that shares its attempt with others.
    pub fn report_end(&mut self, id: AttemptId, node: &str, outcome: AttemptOutcome, latency_s: f64) {
        self.ended.push(EndedAttempt { id, node: node.into(), outcome, latency_s });
    }

    /// Outcomes since this was last called, in their order.
    pub fn take_ended(&mut self) -> Vec<EndedAttempt> {
        std::mem::take(&mut self.ended)
    }

    /// Attempts in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// All attempts in flight.
    pub fn ids(&self) -> Vec<AttemptId> {
        self.in_flight.keys().cloned().collect()
    }

    /// Attempts in flight of one shard request.
    pub fn of_request(&self, request_id: &str) -> Vec<AttemptId> {
        let first = AttemptId::new(request_id, 0);
        let here = self.in_flight.range(first..).take_while(|(id, _)| &*id.request_id == request_id);
        here.map(|(id, _)| id.clone()).collect()
    }

    /// Attempts in flight at one data node.
    pub fn on_node(&self, node: &str) -> Vec<AttemptId> {
        let here = self.in_flight.iter().filter(|(_, attempt)| attempt.node == node);
        here.map(|(id, _)| id.clone()).collect()
    }

    /// Attempts past their time-out, the earliest first.
    pub fn overdue(&self, now: f64) -> Vec<AttemptId> {
        self.timeouts.due(now).cloned().collect()
    }

    /// When the next time-out passes; infinite where none is set.
    pub fn next_timeout_s(&self) -> f64 {
        self.timeouts.next_due()
    }
}
