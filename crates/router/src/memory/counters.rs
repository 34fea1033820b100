//! Counters of what came in, went out and was answered, printed on request and at exit.
use alderway::host::Ending;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One figure a name; a name may end in the vertical or the ending that it is counted by.
#[derive(Clone, Default)]
pub struct Counters(BTreeMap<String, u64>);

impl Counters {
    pub fn add(&mut self, name: &str, count: usize) {
        match self.0.get_mut(name) {
            Some(figure) => *figure += count as u64,
            None => drop(self.0.insert(name.to_string(), count as u64)),
        }
    }

    pub fn one(&mut self, name: &str) {
        self.add(name, 1);
    }

    /// Adds what another core counted.
    pub fn join(&mut self, other: &Counters) {
        other.0.iter().for_each(|(name, figure)| self.add(name, *figure as usize));
    }

    pub fn ended(&mut self, ending: Ending) {
        self.one(match ending {
            Ending::Success => "leaf_calls_ended{success}",
            Ending::Error => "leaf_calls_ended{error}",
            Ending::Full => "leaf_calls_ended{full}",
            Ending::TimedOut => "leaf_calls_ended{timed_out}",
            Ending::Unreachable => "leaf_calls_ended{unreachable}",
            Ending::Reset => "leaf_calls_ended{reset}",
            Ending::Cancelled => "leaf_calls_ended{cancelled}",
            Ending::NeverSent => "leaf_calls_ended{never_sent}",
            Ending::Moved => "leaf_calls_ended{moved}",
        });
    }

    pub fn text(&self) -> String {
        self.0.iter().fold(String::new(), |mut text, (name, figure)| {
            let _ = writeln!(text, "{name} {figure}");
            text
        })
    }
}
