//! Counters of what came in, went out and was answered, printed on request and at exit.
use alderway::interface::AttemptOutcome;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One figure a name; a name may end in the vertical or the ending that it is counted by.
#[derive(Clone, Default)]
pub struct Counters {
    sums: BTreeMap<String, u64>,
    /// The largest figure seen.
    most: BTreeMap<String, u64>,
}

impl Counters {
    pub fn add(&mut self, name: &str, count: usize) {
        match self.sums.get_mut(name) {
            Some(figure) => *figure += count as u64,
            None => drop(self.sums.insert(name.to_string(), count as u64)),
        }
    }

    pub fn increment(&mut self, name: &str) {
        self.add(name, 1);
    }

    /// Keeps the largest figure.
    pub fn record_max(&mut self, name: &str, figure: u64) {
        let held = self.most.entry(name.to_string()).or_default();
        *held = figure.max(*held);
    }

    /// Adds what another core counted.
    pub fn merge(&mut self, other: &Counters) {
        other.sums.iter().for_each(|(name, figure)| self.add(name, *figure as usize));
        other.most.iter().for_each(|(name, figure)| self.record_max(name, *figure));
    }

    pub fn attempt_ended(&mut self, ending: AttemptOutcome) {
        self.increment(match ending {
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

    pub fn text(&self) -> String {
        self.sums.iter().chain(&self.most).fold(String::new(), |mut text, (name, figure)| {
            let _ = writeln!(text, "{name} {figure}");
            text
        })
    }
}
