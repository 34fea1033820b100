//! Counters of a core. The `/counters` endpoint returns the counters, and the router logs them at exit.
use alderway::interface::AttemptOutcome;
use alderway_telemetry::turns::{TaskKind, TurnTimes};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Counters by name: sums of events, and maxima of measured values. A name may end with a label, as in
/// `queries_taken{search}`.
#[derive(Clone, Default)]
pub struct Counters {
    sums: BTreeMap<String, u64>,
    maxima: BTreeMap<String, u64>,
}

impl Counters {
    /// Adds `count` events to the sum `name`, which starts at 0.
    pub fn add(&mut self, name: &str, count: usize) {
        match self.sums.get_mut(name) {
            Some(sum) => *sum += count as u64,
            None => drop(self.sums.insert(name.to_string(), count as u64)),
        }
    }

    /// Adds one event to the sum `name`.
    pub fn increment(&mut self, name: &str) {
        self.add(name, 1);
    }

    /// Raises the maximum `name` to `value` if `value` is larger.
    pub fn record_max(&mut self, name: &str, value: u64) {
        match self.maxima.get_mut(name) {
            Some(largest) => *largest = value.max(*largest),
            None => drop(self.maxima.insert(name.to_string(), value)),
        }
    }

    /// Adds the sums of another core to those of this core, and keeps the larger of the two values of each
    /// maximum.
    pub fn merge(&mut self, other: &Counters) {
        other.sums.iter().for_each(|(name, sum)| self.add(name, *sum as usize));
        other.maxima.iter().for_each(|(name, value)| self.record_max(name, *value));
    }

    /// Counts one ended attempt under the label of its outcome.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        self.increment(match outcome {
            AttemptOutcome::Success => "leaf_calls_ended{success}",
            AttemptOutcome::Error => "leaf_calls_ended{error}",
            AttemptOutcome::Rejected => "leaf_calls_ended{full}",
            AttemptOutcome::TimedOut => "leaf_calls_ended{timed_out}",
            AttemptOutcome::Unreachable => "leaf_calls_ended{unreachable}",
            AttemptOutcome::ConnectionReset => "leaf_calls_ended{reset}",
            AttemptOutcome::Cancelled => "leaf_calls_ended{cancelled}",
            AttemptOutcome::NeverSent => "leaf_calls_ended{never_sent}",
            AttemptOutcome::ShardMoved => "leaf_calls_ended{moved}",
        });
    }

    /// Records the longest turn of each kind of task, in microseconds.
    pub fn record_turns(&mut self, turns: &TurnTimes) {
        for kind in TaskKind::ALL {
            self.record_max(&format!("turn_us_most{{{kind}}}"), turns.longest(kind).as_micros() as u64);
        }
    }

    /// All counters as text: one line `NAME VALUE` for each, like `rounds 17`.
    pub fn text(&self) -> String {
        self.sums.iter().chain(&self.maxima).fold(String::new(), |mut text, (name, value)| {
            let _ = writeln!(text, "{name} {value}");
            text
        })
    }
}
