//! Settings of a router's subscription.
use crate::rate_limit::{ROUTER_TO_CONTROL, RateLimit};

/// Timing of a router's subscription.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubscriptionConfig {
    /// Seconds between two heartbeat requests.
    pub heartbeat_interval_s: f64,
    /// Seconds without a message after which a connection is given up.
    pub heartbeat_timeout_s: f64,
    /// Seconds for a connection attempt, the hello of the control server included.
    pub connect_timeout_s: f64,
    /// Longest backoff in seconds between two attempts of a round through all control servers. Each backoff is drawn
    /// from a quarter of it to all of it.
    pub attempt_backoff_s: f64,
    /// Longest backoff in seconds between two rounds. It doubles from twice `attempt_backoff_s` to this.
    pub round_backoff_max_s: f64,
    /// Seconds after which a control server is left that is behind or sees no quorum. Doubles with each one that is left.
    pub behind_timeout_s: f64,
    /// Seconds, drawn from this to its double, after which the own zone's control servers are tried again.
    pub own_zone_retry_s: f64,
    /// Seconds without confirmation that the active version is the newest, after which that is logged. A control server
    /// whose own confirmation is older does not count.
    pub stale_after_s: f64,
    /// Upper bound of the error of a monotonic clock, as a fraction of the time that it measures.
    pub clock_drift_fraction: f64,
    /// Rate limit of the messages from the router.
    pub send_limit: RateLimit,
}

impl Default for SubscriptionConfig {
    fn default() -> Self {
        SubscriptionConfig {
            heartbeat_interval_s: 1.0,
            heartbeat_timeout_s: 3.0,
            connect_timeout_s: 1.0,
            attempt_backoff_s: 0.4,
            round_backoff_max_s: 4.0,
            behind_timeout_s: 5.0,
            own_zone_retry_s: 60.0,
            stale_after_s: 10.0,
            clock_drift_fraction: 0.001,
            send_limit: ROUTER_TO_CONTROL,
        }
    }
}

/// A control server that the router may subscribe at.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlEndpoint {
    /// Name of the control server.
    pub name: String,
    /// Its zone.
    pub zone: String,
}
