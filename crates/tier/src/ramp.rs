//! A planner that has just started knows nothing of data nodes and takes load gradually: each forwarder has a place of its
//! own between 0 and 1, by its name, and is taken once the planner has come so far. So a herd that comes back at once
//! is spread over the span, and those that come first teach it.
use std::hash::{DefaultHasher, Hash, Hasher};

/// Whether a planner that began to serve at `since` takes a forwarder's queries now, `span` seconds from none to all.
pub fn takes(forwarder: &str, since: f64, span: f64, now: f64) -> bool {
    let mut hash = DefaultHasher::new();
    forwarder.hash(&mut hash);
    let place = (hash.finish() >> 11) as f64 / (1u64 << 53) as f64;
    now - since >= place * span
}
