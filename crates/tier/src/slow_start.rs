//! Slow start of a planner. A planner that has just started has observed no data node, so it accepts forwarders
//! gradually: each has a fixed position between 0 and 1, by a hash of its name, and is accepted once that fraction of the
//! ramp has passed. Forwarders that all reconnect at once are thereby spread over the ramp, and the planner learns from the
//! queries of the first ones.
use std::hash::{DefaultHasher, Hash, Hasher};

/// Whether a planner that began to serve at `serving_since` accepts queries of a forwarder at `now`, if it accepts all
/// forwarders after `ramp_s` seconds.
pub fn accepts_forwarder(forwarder: &str, serving_since: f64, ramp_s: f64, now: f64) -> bool {
    let mut hash = DefaultHasher::new();
    forwarder.hash(&mut hash);
    let position = (hash.finish() >> 11) as f64 / (1u64 << 53) as f64;
    now - serving_since >= position * ramp_s
}
