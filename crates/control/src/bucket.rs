//! Bytes a second, by a token bucket: in any span of `s` seconds at most `burst + s * rate` go, whatever is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Bytes a second.
    pub rate: f64,
    /// Bytes at once after a rest; no single word is longer.
    pub burst: f64,
}

impl Budget {
    /// The most in any one second.
    pub fn a_second(&self) -> f64 {
        self.rate + self.burst
    }
}

/// To a router as a control machine sends, to a router as that one reads, and from it: the latter two are 7,000 bytes in
/// any second at most.
pub const DOWN: Budget = Budget { rate: 5_000.0, burst: 1_000.0 };
pub const READ: Budget = Budget { rate: 5_200.0, burst: 1_200.0 };
pub const UP: Budget = Budget { rate: 300.0, burst: 300.0 };
/// From one control machine to all of its routers.
pub const TOTAL: Budget = Budget { rate: 1_500_000.0, burst: 50_000.0 };

#[derive(Clone, Debug)]
pub struct Bucket {
    budget: Budget,
    tokens: f64,
    at: f64,
}

impl Bucket {
    pub fn new(budget: Budget, now: f64) -> Self {
        Bucket { budget, tokens: budget.burst, at: now }
    }

    /// For one of several that follow each other, as connections or starts do: together they hold what one holds.
    pub fn empty(budget: Budget, now: f64) -> Self {
        Bucket { budget, tokens: 0.0, at: now }
    }

    fn fill(&mut self, now: f64) {
        let span = (now - self.at).max(0.0);
        self.tokens = (self.tokens + span * self.budget.rate).min(self.budget.burst);
        self.at = self.at.max(now);
    }

    /// Whole bytes that may go now.
    pub fn room(&mut self, now: f64) -> usize {
        self.fill(now);
        // What `when` promised must not fail by a rounding.
        (self.tokens + 1e-6) as usize
    }

    /// Takes so many bytes if they may go now.
    pub fn take(&mut self, bytes: usize, now: f64) -> bool {
        let fits = self.room(now) >= bytes;
        if fits {
            self.tokens -= bytes as f64;
        }
        fits
    }

    /// When so many bytes may go, if nothing else does before; never, where it is more than a burst.
    pub fn when(&self, bytes: usize) -> f64 {
        if bytes as f64 > self.budget.burst {
            return f64::INFINITY;
        }
        self.at + (bytes as f64 - self.tokens).max(0.0) / self.budget.rate
    }
}
