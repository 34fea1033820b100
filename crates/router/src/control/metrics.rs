//! The counters and gauges of a subscription to control servers, with their names in `/counters`.
use super::driver::ControlTraffic;
use crate::state::counters::Counters;
use crate::state::metrics::MetricsSnapshot;
use alderway_control_plane::subscriber::Subscriber;

/// Returns the current values of all counters and gauges of the subscription; `now` is in seconds of the
/// monotonic clock.
pub(super) fn snapshot(subscriber: &Subscriber, traffic: ControlTraffic, now: f64) -> MetricsSnapshot {
    let (metrics, mut counters) = (subscriber.metrics, Counters::default());
    for (name, count) in [
        ("control_dials", metrics.connect_attempts),
        ("control_connections_lost", metrics.connections_lost),
        ("control_machines_silent", metrics.connections_timed_out),
        ("control_machines_behind", metrics.replicas_behind),
        ("control_versions_in_force", metrics.versions_applied),
        ("control_versions_refused", metrics.versions_rejected),
        ("control_versions_waiting", metrics.versions_pending_restart),
        ("control_wholes", metrics.snapshots),
        ("control_deltas", metrics.patches),
        ("control_mismatches", metrics.digest_mismatches),
        ("control_clashes", metrics.conflicts),
        ("control_words_old", metrics.stale_messages),
        ("control_bytes_in", traffic.received_bytes),
        ("control_bytes_out", traffic.sent_bytes),
    ] {
        counters.add(name, count as usize);
    }
    let milliseconds = |seconds: f64| (seconds * 1e3) as u64;
    let mut gauges = vec![
        ("control_version", subscriber.versions().active().number),
        ("control_version_got", subscriber.versions().received().number),
        ("control_connected", u64::from(subscriber.connected_to().is_some())),
        ("control_quiet_ms", milliseconds(subscriber.unconfirmed_s(now))),
    ];
    // The gauge is omitted if the age of the version is unknown.
    let age = subscriber.staleness_s(now).map(milliseconds);
    gauges.extend(age.map(|age_ms| ("control_version_age_ms", age_ms)));
    MetricsSnapshot { counters, gauges }
}
