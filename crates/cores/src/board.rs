//! The newest evidence of each data node, kept by the lead for cores that start anew. NodeObservation that has run out is
//! given back, as is that of nodes that the roster no longer names.
use alderway::interface::NodeObservation;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Board(BTreeMap<String, NodeObservation>);

fn ends(word: &NodeObservation) -> f64 {
    word.observed_at_s + word.slow_for_s.max(word.very_slow_for_s).max(word.unresponsive_for_s)
}

impl Board {
    /// Takes in what a core told; older word than is held says nothing.
    pub fn note(&mut self, node: &str, word: NodeObservation) {
        if self.0.get(node).is_some_and(|held| {
            held.started_at_s == word.started_at_s && held.observed_at_s >= word.observed_at_s
        }) {
            return;
        }
        // Word that a node is sound ends what was held against it, and is no more than that.
        if ends(&word) <= word.observed_at_s {
            self.0.remove(node);
        } else {
            self.0.insert(node.into(), word);
        }
    }

    /// Keeps nodes that are named, and what has not run out.
    pub fn sweep(&mut self, now: f64, named: impl Fn(&str) -> bool) {
        self.0.retain(|node, word| named(node) && ends(word) > now);
    }

    /// What a core that starts now should hear.
    pub fn tell(&self, now: f64) -> Vec<(String, NodeObservation)> {
        let holds = self.0.iter().filter(|(_, word)| ends(word) > now);
        holds.map(|(node, word)| (node.clone(), *word)).collect()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
