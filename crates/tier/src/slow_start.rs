//! Slow start of a planner, which accepts forwarders gradually because it has observed no data node when it
//! starts. Each forwarder has a fixed position between 0 and 1, by a hash of its name, and is accepted after
//! that fraction of the ramp, the time from the first to the last acceptance. Forwarders that reconnect at
//! the same moment are thereby accepted one after another, and the planner learns from the queries of the
//! first ones.
use std::hash::{DefaultHasher, Hash, Hasher};

/// Whether a planner accepts queries of a forwarder at `now`, if its slow start began at `serving_since` and
/// lasts `ramp_s` seconds. `now` and `serving_since` are in seconds of the planner's clock.
pub fn accepts_forwarder(forwarder: &str, serving_since: f64, ramp_s: f64, now: f64) -> bool {
    let mut hash = DefaultHasher::new();
    forwarder.hash(&mut hash);
    let position = (hash.finish() >> 11) as f64 / (1u64 << 53) as f64;
    now - serving_since >= position * ramp_s
}
