//! Token buckets that limit bytes per second: in any span of `s` seconds at most `burst_bytes + s * bytes_per_s` bytes
//! pass. Times are seconds of a monotonic clock of the caller's choice.

/// Rounding errors of sums of doubles must not make [`TokenBucket::ready_at`] fail by a fraction of a byte.
const ROUNDING_BYTES: f64 = 1e-6;

/// Sustained rate and burst of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, bytes per second.
    pub bytes_per_s: f64,
    /// Capacity of the bucket in bytes; no single message is longer.
    pub burst_bytes: f64,
}

impl RateLimit {
    /// Upper bound of the bytes in any one second.
    pub fn max_bytes_in_one_second(&self) -> f64 {
        self.bytes_per_s + self.burst_bytes
    }
}

/// What a control server sends to one router.
pub const CONTROL_TO_ROUTER: RateLimit = RateLimit { bytes_per_s: 5_000.0, burst_bytes: 1_000.0 };
/// What a router reads from its control server. Together with [`ROUTER_TO_CONTROL`] a router spends at most 7,000 bytes in
/// any second on its subscription.
pub const ROUTER_READ: RateLimit = RateLimit { bytes_per_s: 5_200.0, burst_bytes: 1_200.0 };
/// What a router sends to its control server.
pub const ROUTER_TO_CONTROL: RateLimit = RateLimit { bytes_per_s: 300.0, burst_bytes: 300.0 };
/// What a control server sends to all its routers together.
pub const CONTROL_TO_ALL_ROUTERS: RateLimit = RateLimit { bytes_per_s: 1_500_000.0, burst_bytes: 50_000.0 };

/// A token bucket; one token is one byte.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A bucket that allows a burst at once.
    pub fn full(limit: RateLimit, now: f64) -> Self {
        TokenBucket { limit, tokens: limit.burst_bytes, refilled_at: now }
    }

    /// A bucket that starts without tokens. For buckets that replace each other, as with each new connection: a full one
    /// each time would exceed the limit.
    pub fn empty(limit: RateLimit, now: f64) -> Self {
        TokenBucket { limit, tokens: 0.0, refilled_at: now }
    }

    fn refill(&mut self, now: f64) {
        let elapsed_s = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + elapsed_s * self.limit.bytes_per_s).min(self.limit.burst_bytes);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Bytes that may pass now.
    pub fn available_bytes(&mut self, now: f64) -> usize {
        self.refill(now);
        (self.tokens + ROUNDING_BYTES) as usize
    }

    /// Takes the tokens for so many bytes, and returns whether there were enough. Takes none otherwise.
    pub fn try_take(&mut self, bytes: usize, now: f64) -> bool {
        let fits = self.available_bytes(now) >= bytes;
        if fits {
            self.tokens -= bytes as f64;
        }
        fits
    }

    /// The time from which so many bytes may pass, if nothing else does before; infinite for more than a burst.
    pub fn ready_at(&self, bytes: usize) -> f64 {
        if bytes as f64 > self.limit.burst_bytes {
            return f64::INFINITY;
        }
        self.refilled_at + (bytes as f64 - self.tokens).max(0.0) / self.limit.bytes_per_s
    }
}
