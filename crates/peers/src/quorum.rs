//! Decides when observations of a data node by other routers are accepted. An observation holds three spans:
//! the seconds for which the node counts as slow, as very slow and as unresponsive. A quorum is the number of
//! other routers that must agree on whether the node is healthy, each by an update that is not stale. An
//! accepted span is the longest one that the updates of a quorum of routers confirm. So faulty or stuck
//! routers, as long as they are fewer than the quorum, can't make a healthy node count as unhealthy, extend
//! the time for which a node counts as unhealthy, or make an unresponsive node count as healthy. If this
//! router observes the node itself later, the policy prefers that observation. All times without another
//! clock are seconds of this router's monotonic clock.
use crate::updates::{StoredUpdate, UpdateBody};

/// An observation of a data node's process that a quorum of other routers agrees on. The spans count from
/// `observed_at_s`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgreedObservation {
    /// When the node's process started, in seconds of this router's clock, if known.
    pub started_at_s: Option<f64>,
    /// A lower bound, in seconds of this router's clock, on when the node was observed: at least a quorum of
    /// routers observed the node at this time or later. It is the latest time for which this holds.
    pub observed_at_s: f64,
    /// Seconds after `observed_at_s` for which the node counts as slow.
    pub slow_for_s: f64,
    /// Seconds after `observed_at_s` for which the node counts as very slow.
    pub very_slow_for_s: f64,
    /// Seconds after `observed_at_s` for which the node counts as unresponsive.
    pub unresponsive_for_s: f64,
}

/// Two start times of a node that differ by fewer seconds are of the same process. They may differ since each
/// router computes start times by its own clock.
const START_TOLERANCE_S: f64 = 0.5;

fn is_same_process(one: Option<f64>, other: Option<f64>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => (one - other).abs() < START_TOLERANCE_S,
        (None, None) => true,
        _ => false,
    }
}

/// The highest value that at least `quorum` of the values equal or exceed; `None` if there are fewer values.
fn reached_by_quorum(values: impl Iterator<Item = f64>, quorum: usize) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(|a, b| b.total_cmp(a));
    values.get(quorum.max(1) - 1).copied()
}

/// One router's observation, in seconds of the clock of the router that runs this code.
struct Observation {
    observed_at: f64,
    /// When the node stops counting as slow, as very slow and as unresponsive, in seconds of this router's
    /// clock.
    until: [f64; 3],
    is_unhealthy: bool,
}

/// Returns what a quorum of routers observed of the data node's process that started at `started_at_s`, or
/// `None` if no quorum agrees. `updates` holds the latest update about this node of each other router.
/// Updates that are `max_age_s` seconds old or older don't count, and each span ends at most `max_age_s`
/// seconds after the creation of its update.
pub fn agreed_observation(
    updates: &[&StoredUpdate],
    started_at_s: Option<f64>,
    now: f64,
    max_age_s: f64,
    quorum: usize,
) -> Option<AgreedObservation> {
    let observation = |update: &&StoredUpdate| match update.body {
        UpdateBody::Observation {
            uptime_s,
            observed_ago_s,
            slow_for_s,
            very_slow_for_s,
            unresponsive_for_s,
            ..
        } if observed_ago_s >= 0.0 && now - update.created_at < max_age_s => {
            let observed_at = update.created_at - f64::from(observed_ago_s);
            let spans = [slow_for_s, very_slow_for_s, unresponsive_for_s].map(f64::from);
            let until = spans.map(|span| update.created_at + span.clamp(0.0, max_age_s));
            let is_unhealthy = spans.iter().any(|span| *span > 0.0);
            let observed_start = uptime_s.map(|uptime_s| observed_at - f64::from(uptime_s));
            is_same_process(observed_start, started_at_s).then_some(Observation {
                observed_at,
                until,
                is_unhealthy,
            })
        }
        _ => None,
    };
    let (unhealthy, healthy): (Vec<Observation>, Vec<Observation>) =
        updates.iter().filter_map(observation).partition(|observation| observation.is_unhealthy);
    let observed_at = |list: &[Observation]| reached_by_quorum(list.iter().map(|o| o.observed_at), quorum);
    let agreed_unhealthy = observed_at(&unhealthy).map(|observed_at_s| {
        let span = |n: usize| {
            let until = reached_by_quorum(unhealthy.iter().map(|o| o.until[n]), quorum);
            until.map_or(0.0, |until| (until - observed_at_s).max(0.0))
        };
        AgreedObservation {
            started_at_s,
            observed_at_s,
            slow_for_s: span(0),
            very_slow_for_s: span(1),
            unresponsive_for_s: span(2),
        }
    });
    let agreed_healthy = observed_at(&healthy).map(|observed_at_s| AgreedObservation {
        started_at_s,
        observed_at_s,
        slow_for_s: 0.0,
        very_slow_for_s: 0.0,
        unresponsive_for_s: 0.0,
    });
    match (agreed_unhealthy, agreed_healthy) {
        (Some(unhealthy), Some(healthy)) => {
            Some(if healthy.observed_at_s > unhealthy.observed_at_s { healthy } else { unhealthy })
        }
        (unhealthy, healthy) => unhealthy.or(healthy),
    }
}
