//! Leaf calls that have not ended, and the endings that the next round tells.
use super::AttemptId;
use super::timer_queue::TimerQueue;
use alderway::interface::AttemptOutcome;
use std::collections::BTreeMap;

pub struct Attempt {
    pub node: String,
    /// The connection that carries it, once one is chosen.
    pub connection: Option<u64>,
    pub started_at_s: f64,
    /// When its time-out is over.
    pub timeout_at_s: f64,
}

/// A call is out from `start` to `end`, which gives back all that is kept about it.
#[derive(Default)]
pub struct AttemptTable {
    in_flight: BTreeMap<AttemptId, Attempt>,
    timeouts: TimerQueue<AttemptId>,
    ended: Vec<(AttemptId, String, AttemptOutcome, f64)>,
}

impl AttemptTable {
    pub fn start(&mut self, id: AttemptId, node: &str, at: f64, until: f64) {
        self.timeouts.insert(until, id.clone());
        self.in_flight.insert(
            id,
            Attempt { node: node.into(), connection: None, started_at_s: at, timeout_at_s: until },
        );
    }

    pub fn get_mut(&mut self, id: &AttemptId) -> Option<&mut Attempt> {
        self.in_flight.get_mut(id)
    }

    pub fn get(&self, id: &AttemptId) -> Option<&Attempt> {
        self.in_flight.get(id)
    }

    /// The first ending counts; a call that has ended is not known any more.
    pub fn end(&mut self, id: &AttemptId, ending: AttemptOutcome, now: f64) -> Option<Attempt> {
        let call = self.in_flight.remove(id)?;
        self.timeouts.remove(call.timeout_at_s, id);
        self.ended.push((id.clone(), call.node.clone(), ending, now - call.started_at_s));
        Some(call)
    }

    /// A call has ended for a part that shares it with others.
    pub fn report_end(&mut self, id: AttemptId, node: &str, ending: AttemptOutcome, latency: f64) {
        self.ended.push((id, node.into(), ending, latency));
    }

    pub fn take_ended(&mut self) -> Vec<(AttemptId, String, AttemptOutcome, f64)> {
        std::mem::take(&mut self.ended)
    }

    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    pub fn ids(&self) -> Vec<AttemptId> {
        self.in_flight.keys().cloned().collect()
    }

    pub fn of_request(&self, part: &str) -> Vec<AttemptId> {
        let from = (part.into(), 0);
        let here = self.in_flight.range(from..).take_while(|(id, _)| &*id.0 == part);
        here.map(|(id, _)| id.clone()).collect()
    }

    pub fn on_node(&self, node: &str) -> Vec<AttemptId> {
        self.in_flight.iter().filter(|(_, c)| c.node == node).map(|(id, _)| id.clone()).collect()
    }

    pub fn overdue(&self, now: f64) -> Vec<AttemptId> {
        self.timeouts.due(now).cloned().collect()
    }

    pub fn next_timeout_s(&self) -> f64 {
        self.timeouts.next_due()
    }
}
