//! Which control server a router connects to next, and when.
//!
//! The own zone's come first, then the others, each group in random order, so that the routers of a zone spread over its
//! control servers. Backoffs are random too: routers that start or lose their connection at the same time must not
//! reconnect at the same time.
use super::config::{ControlEndpoint, SubscriptionConfig};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

/// Fraction of a backoff below which none is drawn.
const MIN_BACKOFF_FRACTION: f64 = 0.25;
/// How often the retry interval of the own zone doubles at most.
const MAX_OWN_ZONE_DOUBLINGS: u32 = 4;
/// Stream of the random numbers.
const RANDOM_STREAM: u64 = 7;

#[derive(Debug)]
pub(super) struct EndpointSelector {
    config: SubscriptionConfig,
    own_zone: String,
    endpoints: Vec<ControlEndpoint>,
    /// Indices of the endpoints in the order of attempts.
    order: Vec<usize>,
    /// Position in `order` of the current attempt or connection.
    position: usize,
    /// Attempts that failed in this round.
    failed_attempts: usize,
    /// Longest backoff in seconds after this round.
    round_backoff_s: f64,
    /// Returns to the own zone since its last connection; the interval between them grows.
    own_zone_returns: u32,
    random: Pcg32,
}

impl EndpointSelector {
    pub(super) fn new(
        config: SubscriptionConfig,
        endpoints: Vec<ControlEndpoint>,
        own_zone: &str,
        seed: u64,
    ) -> Self {
        let mut random = Pcg32::new(seed, RANDOM_STREAM);
        let mut order: Vec<usize> = (0..endpoints.len()).collect();
        for last in (1..order.len()).rev() {
            order.swap(last, random.next_u32() as usize % (last + 1));
        }
        order.sort_by_key(|index| endpoints[*index].zone != own_zone);
        EndpointSelector {
            config,
            own_zone: own_zone.into(),
            endpoints,
            order,
            position: 0,
            failed_attempts: 0,
            round_backoff_s: 2.0 * config.attempt_backoff_s,
            own_zone_returns: 0,
            random,
        }
    }

    fn draw(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    pub(super) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    pub(super) fn endpoint(&self, index: usize) -> Option<&ControlEndpoint> {
        self.endpoints.get(index)
    }

    /// Index of the endpoint to connect to.
    pub(super) fn current(&self) -> usize {
        self.order.get(self.position).copied().unwrap_or_default()
    }

    /// Seconds before the first attempt.
    pub(super) fn initial_delay_s(&mut self) -> f64 {
        self.draw(0.0, self.config.attempt_backoff_s)
    }

    /// The attempt or connection failed: goes on to the next endpoint, and returns the backoff in seconds.
    pub(super) fn advance(&mut self) -> f64 {
        self.position = (self.position + 1) % self.order.len().max(1);
        self.failed_attempts += 1;
        let mut backoff_s = self.config.attempt_backoff_s;
        if self.failed_attempts >= self.order.len() {
            self.failed_attempts = 0;
            backoff_s = self.round_backoff_s;
            self.round_backoff_s = (2.0 * backoff_s).min(self.config.round_backoff_max_s);
        }
        self.draw(MIN_BACKOFF_FRACTION * backoff_s, backoff_s)
    }

    /// The connection proved good: backoffs start anew.
    pub(super) fn reset_backoff(&mut self) {
        self.round_backoff_s = 2.0 * self.config.attempt_backoff_s;
        self.failed_attempts = 0;
    }

    /// Connected to an endpoint. Returns the seconds after which to return to the own zone; none for its own endpoints,
    /// and where the own zone has none.
    pub(super) fn connected(&mut self, index: usize) -> Option<f64> {
        let own_zone_exists = self.endpoints.iter().any(|endpoint| endpoint.zone == self.own_zone);
        if self.endpoints[index].zone == self.own_zone || !own_zone_exists {
            self.own_zone_returns = 0;
            return None;
        }
        let min_s = self.config.own_zone_retry_s * f64::from(1 << self.own_zone_returns);
        Some(self.draw(min_s, 2.0 * min_s))
    }

    /// The next attempt is at the own zone.
    pub(super) fn return_to_own_zone(&mut self) {
        self.own_zone_returns = (self.own_zone_returns + 1).min(MAX_OWN_ZONE_DOUBLINGS);
        self.position = 0;
    }
}
