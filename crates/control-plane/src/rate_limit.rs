//! Bytes a second, by a token bucket: in any span of `s` seconds at most `burst + s * rate` go, whatever is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Bytes a second.
    pub bytes_per_s: f64,
    /// Bytes at once after a rest; no single word is longer.
    pub burst_bytes: f64,
}

impl RateLimit {
    /// The most in any one second.
    pub fn max_bytes_in_one_second(&self) -> f64 {
        self.bytes_per_s + self.burst_bytes
    }
}

/// To a router as a control machine sends, to a router as that one reads, and from it: the latter two are 7,000 bytes in
/// any second at most.
pub const CONTROL_TO_ROUTER: RateLimit = RateLimit { bytes_per_s: 5_000.0, burst_bytes: 1_000.0 };
pub const ROUTER_READ: RateLimit = RateLimit { bytes_per_s: 5_200.0, burst_bytes: 1_200.0 };
pub const ROUTER_TO_CONTROL: RateLimit = RateLimit { bytes_per_s: 300.0, burst_bytes: 300.0 };
/// From one control machine to all of its routers.
pub const CONTROL_TO_ALL_ROUTERS: RateLimit = RateLimit { bytes_per_s: 1_500_000.0, burst_bytes: 50_000.0 };

#[derive(Clone, Debug)]
pub struct TokenBucket {
    budget: RateLimit,
    tokens: f64,
    at: f64,
}

impl TokenBucket {
    pub fn full(budget: RateLimit, now: f64) -> Self {
        TokenBucket { budget, tokens: budget.burst_bytes, at: now }
    }

    /// For one of several that follow each other, as connections or starts do: together they hold what one holds.
    pub fn empty(budget: RateLimit, now: f64) -> Self {
        TokenBucket { budget, tokens: 0.0, at: now }
    }

    fn fill(&mut self, now: f64) {
        let span = (now - self.at).max(0.0);
        self.tokens = (self.tokens + span * self.budget.bytes_per_s).min(self.budget.burst_bytes);
        self.at = self.at.max(now);
    }

    /// Whole bytes that may go now.
    pub fn available_bytes(&mut self, now: f64) -> usize {
        self.fill(now);
        // What `when` promised must not fail by a rounding.
        (self.tokens + 1e-6) as usize
    }

    /// Takes so many bytes if they may go now.
    pub fn try_take(&mut self, bytes: usize, now: f64) -> bool {
        let fits = self.available_bytes(now) >= bytes;
        if fits {
            self.tokens -= bytes as f64;
        }
        fits
    }

    /// When so many bytes may go, if nothing else does before; never, where it is more than a burst.
    pub fn ready_at(&self, bytes: usize) -> f64 {
        if bytes as f64 > self.budget.burst_bytes {
            return f64::INFINITY;
        }
        self.at + (bytes as f64 - self.tokens).max(0.0) / self.budget.bytes_per_s
    }
}
