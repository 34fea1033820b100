//! Attempts in flight, and the outcomes of ended attempts until the policy gets them in its next run.
use super::timer_queue::TimerQueue;
use alderway::interface::AttemptOutcome;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Identifies an attempt among all attempts of this core.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Id of the shard request.
    pub request_id: Rc<str>,
    /// Index of the attempt among the attempts of its shard request, from 0.
    pub number: usize,
}

impl AttemptId {
    /// The id of attempt `number`, counted from 0, of a shard request.
    pub fn new(request_id: impl Into<Rc<str>>, number: usize) -> Self {
        AttemptId { request_id: request_id.into(), number }
    }
}

/// An attempt in flight.
pub struct Attempt {
    /// Name of the data node that the attempt is sent to.
    pub node: String,
    /// Number of the connection that carries the attempt; `None` until a connection is chosen.
    pub connection: Option<u64>,
    /// When the policy started the attempt, in seconds of the monotonic clock.
    pub started_at_s: f64,
    /// When the attempt times out, in seconds of the monotonic clock.
    pub timeout_at_s: f64,
    /// The time-out that the attempt's frame tells the data node; `None` until the frame is encoded.
    pub advertised: Option<AdvertisedTimeout>,
}

/// The time-out that a frame tells a data node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedTimeout {
    /// The time-out in milliseconds, from the arrival of the attempt.
    pub timeout_ms: u64,
    /// When the attempt has to have arrived, so that the time-out does not expire too long after the client's
    /// deadline, in seconds of the monotonic clock.
    pub arrive_by_s: f64,
}

/// An ended attempt whose outcome the policy has not received yet.
pub struct EndedAttempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Name of the data node that the attempt was sent to.
    pub node: String,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Seconds from the start of the attempt to its end.
    pub latency_s: f64,
}

/// The attempts of one core. An attempt is in flight from [`start`](Self::start) to [`end`](Self::end), even
/// before its frame is sent.
#[derive(Default)]
pub struct AttemptTable {
    in_flight: BTreeMap<AttemptId, Attempt>,
    timeouts: TimerQueue<AttemptId>,
    ended: Vec<EndedAttempt>,
}

impl AttemptTable {
    /// Adds an attempt that starts at `now` and times out at `timeout_at_s`, in seconds of the monotonic
    /// clock.
    pub fn start(&mut self, id: AttemptId, node: &str, now: f64, timeout_at_s: f64) {
        self.timeouts.insert(timeout_at_s, id.clone());
        let attempt = Attempt {
            node: node.into(),
            connection: None,
            started_at_s: now,
            timeout_at_s,
            advertised: None,
        };
        self.in_flight.insert(id, attempt);
    }

    /// The attempt with this id; `None` if the attempt has ended.
    pub fn get_mut(&mut self, id: &AttemptId) -> Option<&mut Attempt> {
        self.in_flight.get_mut(id)
    }

    /// The attempt with this id; `None` if the attempt has ended.
    pub fn get(&self, id: &AttemptId) -> Option<&Attempt> {
        self.in_flight.get(id)
    }

    /// Removes an attempt that ends at `now`, in seconds of the monotonic clock, and queues its outcome for
    /// the policy. Does nothing and returns `None` if the attempt has ended already: the first outcome
    /// counts.
    pub fn end(&mut self, id: &AttemptId, outcome: AttemptOutcome, now: f64) -> Option<Attempt> {
        let attempt = self.in_flight.remove(id)?;
        self.timeouts.remove(attempt.timeout_at_s, id);
        self.queue_outcome(id.clone(), &attempt.node, outcome, now - attempt.started_at_s);
        Some(attempt)
    }

    /// Queues an outcome for the policy without removing an attempt from those in flight. When a shard
    /// request is split, the new requests share the attempts that the split request has in flight; this
    /// function is called when one of the new requests stops waiting for such an attempt. `latency_s` is the
    /// time in seconds since the start of the attempt.
    pub fn queue_outcome(&mut self, id: AttemptId, node: &str, outcome: AttemptOutcome, latency_s: f64) {
        self.ended.push(EndedAttempt { id, node: node.into(), outcome, latency_s });
    }

    /// Takes the outcomes queued since the last call, oldest first.
    pub fn take_ended(&mut self) -> Vec<EndedAttempt> {
        std::mem::take(&mut self.ended)
    }

    /// Number of attempts in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Ids of all attempts in flight.
    pub fn ids(&self) -> Vec<AttemptId> {
        self.in_flight.keys().cloned().collect()
    }

    /// Ids of the attempts in flight of one shard request.
    pub fn of_request(&self, request_id: &str) -> Vec<AttemptId> {
        let first = AttemptId::new(request_id, 0);
        let attempts = self.in_flight.range(first..).take_while(|(id, _)| &*id.request_id == request_id);
        attempts.map(|(id, _)| id.clone()).collect()
    }

    /// Ids of the attempts in flight at one data node.
    pub fn on_node(&self, node: &str) -> Vec<AttemptId> {
        let attempts = self.in_flight.iter().filter(|(_, attempt)| attempt.node == node);
        attempts.map(|(id, _)| id.clone()).collect()
    }

    /// Ids of the attempts in flight that time out at or before `now`, in seconds of the monotonic clock; the
    /// earliest time-out comes first.
    pub fn overdue(&self, now: f64) -> Vec<AttemptId> {
        self.timeouts.due(now).cloned().collect()
    }

    /// When the next attempt times out, in seconds of the monotonic clock; infinite if no attempt is in
    /// flight.
    pub fn next_timeout_s(&self) -> f64 {
        self.timeouts.next_due()
    }
}
