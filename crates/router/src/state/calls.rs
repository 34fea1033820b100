//! Leaf calls that have not ended, and the endings that the next round tells.
use super::CallId;
use super::due::Due;
use alderway::interface::AttemptOutcome;
use std::collections::BTreeMap;

pub struct Call {
    pub node: String,
    /// The connection that carries it, once one is chosen.
    pub line: Option<u64>,
    pub at: f64,
    /// When its time-out is over.
    pub until: f64,
}

/// A call is out from `start` to `end`, which gives back all that is kept about it.
#[derive(Default)]
pub struct Calls {
    out: BTreeMap<CallId, Call>,
    due: Due<CallId>,
    ended: Vec<(CallId, String, AttemptOutcome, f64)>,
}

impl Calls {
    pub fn start(&mut self, id: CallId, node: &str, at: f64, until: f64) {
        self.due.add(until, id.clone());
        self.out.insert(id, Call { node: node.into(), line: None, at, until });
    }

    pub fn get_mut(&mut self, id: &CallId) -> Option<&mut Call> {
        self.out.get_mut(id)
    }

    pub fn get(&self, id: &CallId) -> Option<&Call> {
        self.out.get(id)
    }

    /// The first ending counts; a call that has ended is not known any more.
    pub fn end(&mut self, id: &CallId, ending: AttemptOutcome, now: f64) -> Option<Call> {
        let call = self.out.remove(id)?;
        self.due.remove(call.until, id);
        self.ended.push((id.clone(), call.node.clone(), ending, now - call.at));
        Some(call)
    }

    /// A call has ended for a part that shares it with others.
    pub fn tell(&mut self, id: CallId, node: &str, ending: AttemptOutcome, latency: f64) {
        self.ended.push((id, node.into(), ending, latency));
    }

    pub fn take_ended(&mut self) -> Vec<(CallId, String, AttemptOutcome, f64)> {
        std::mem::take(&mut self.ended)
    }

    pub fn count_out(&self) -> usize {
        self.out.len()
    }

    pub fn all(&self) -> Vec<CallId> {
        self.out.keys().cloned().collect()
    }

    pub fn of_part(&self, part: &str) -> Vec<CallId> {
        let from = (part.into(), 0);
        let here = self.out.range(from..).take_while(|(id, _)| &*id.0 == part);
        here.map(|(id, _)| id.clone()).collect()
    }

    pub fn of_node(&self, node: &str) -> Vec<CallId> {
        self.out.iter().filter(|(_, c)| c.node == node).map(|(id, _)| id.clone()).collect()
    }

    pub fn overdue(&self, now: f64) -> Vec<CallId> {
        self.due.by(now).cloned().collect()
    }

    pub fn next_due(&self) -> f64 {
        self.due.next()
    }
}
