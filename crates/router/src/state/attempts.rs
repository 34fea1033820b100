//! Leaf calls that have not ended, and the endings that the next round tells.
use super::AttemptId;
use super::timer_queue::TimerQueue;
use alderway::interface::AttemptOutcome;
use std::collections::BTreeMap;

pub struct Attempt {
    pub node: String,
    /// The connection that carries it, once one is chosen.
    pub line: Option<u64>,
    pub at: f64,
    /// When its time-out is over.
    pub until: f64,
}

/// A call is out from `start` to `end`, which gives back all that is kept about it.
#[derive(Default)]
pub struct AttemptTable {
    out: BTreeMap<AttemptId, Attempt>,
    due: TimerQueue<AttemptId>,
    ended: Vec<(AttemptId, String, AttemptOutcome, f64)>,
}

impl AttemptTable {
    pub fn start(&mut self, id: AttemptId, node: &str, at: f64, until: f64) {
        self.due.add(until, id.clone());
        self.out.insert(id, Attempt { node: node.into(), line: None, at, until });
    }

    pub fn get_mut(&mut self, id: &AttemptId) -> Option<&mut Attempt> {
        self.out.get_mut(id)
    }

    pub fn get(&self, id: &AttemptId) -> Option<&Attempt> {
        self.out.get(id)
    }

    /// The first ending counts; a call that has ended is not known any more.
    pub fn end(&mut self, id: &AttemptId, ending: AttemptOutcome, now: f64) -> Option<Attempt> {
        let call = self.out.remove(id)?;
        self.due.remove(call.until, id);
        self.ended.push((id.clone(), call.node.clone(), ending, now - call.at));
        Some(call)
    }

    /// A call has ended for a part that shares it with others.
    pub fn tell(&mut self, id: AttemptId, node: &str, ending: AttemptOutcome, latency: f64) {
        self.ended.push((id, node.into(), ending, latency));
    }

    pub fn take_ended(&mut self) -> Vec<(AttemptId, String, AttemptOutcome, f64)> {
        std::mem::take(&mut self.ended)
    }

    pub fn count_out(&self) -> usize {
        self.out.len()
    }

    pub fn all(&self) -> Vec<AttemptId> {
        self.out.keys().cloned().collect()
    }

    pub fn of_part(&self, part: &str) -> Vec<AttemptId> {
        let from = (part.into(), 0);
        let here = self.out.range(from..).take_while(|(id, _)| &*id.0 == part);
        here.map(|(id, _)| id.clone()).collect()
    }

    pub fn of_node(&self, node: &str) -> Vec<AttemptId> {
        self.out.iter().filter(|(_, c)| c.node == node).map(|(id, _)| id.clone()).collect()
    }

    pub fn overdue(&self, now: f64) -> Vec<AttemptId> {
        self.due.by(now).cloned().collect()
    }

    pub fn next_due(&self) -> f64 {
        self.due.next()
    }
}
