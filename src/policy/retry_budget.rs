//! Limits the attempts after the first one of each shard request with a token bucket. Each shard request adds tokens.
//!
//! A hedge always costs one token. If a retry budget is configured, every attempt after a first one costs a token, so
//! that any window has at most as many as the bucket's capacity plus the ratio times the window's shard requests. This
//! keeps retries from multiplying an overload. The cost: while the bucket is empty, an answer may be late. All cores of
//! a router share the tokens ([`crate::interface::SharedLimits`]).

use super::Policy;
use crate::interface::RetryBudget;

/// Upper limits for the tokens that a shard request adds and for the capacity of the bucket; a larger configured budget
/// is cut to them.
const TOKENS_PER_REQUEST_MAX: f64 = 0.1;
const CAPACITY_MAX_TOKENS: f64 = 40.0;
/// Cost of an attempt.
const ATTEMPT_COST_TOKENS: f64 = 1.0;

/// How the token bucket is filled, and which attempts cost a token.
#[derive(Default)]
pub(super) struct RetryTokenConfig {
    /// Tokens that each shard request adds.
    pub tokens_per_request: f64,
    pub capacity_tokens: f64,
    /// Whether every attempt after a first one costs a token, not only hedges.
    pub charges_retries: bool,
}

impl RetryTokenConfig {
    pub fn new(configured: Option<RetryBudget>) -> Self {
        RetryTokenConfig {
            tokens_per_request: configured
                .map_or(TOKENS_PER_REQUEST_MAX, |budget| budget.ratio.min(TOKENS_PER_REQUEST_MAX)),
            capacity_tokens: configured
                .map_or(CAPACITY_MAX_TOKENS, |budget| budget.burst.min(CAPACITY_MAX_TOKENS)),
            charges_retries: configured.is_some(),
        }
    }
}

impl Policy {
    /// Applies the configured capacity to the bucket that the cores share.
    pub(super) fn apply_retry_token_capacity(&self) {
        let config = &self.retry_tokens;
        self.shared_limits.change_capacity(config.capacity_tokens, config.charges_retries);
    }

    /// Adds the tokens of a new shard request.
    pub(super) fn deposit_retry_tokens(&self) {
        let config = &self.retry_tokens;
        self.shared_limits.deposit(config.tokens_per_request, config.capacity_tokens);
    }

    /// Removes the tokens of a shard request that already added tokens on another host.
    pub(super) fn return_retry_tokens(&self) {
        let config = &self.retry_tokens;
        self.shared_limits.deposit(-config.tokens_per_request, config.capacity_tokens);
    }

    /// Whether the bucket holds a whole token.
    pub(super) fn has_retry_token(&self) -> bool {
        self.shared_limits.tokens() >= ATTEMPT_COST_TOKENS
    }

    /// Whether there is a token for a retry, or retries cost none.
    pub(super) fn can_afford_retry(&self) -> bool {
        !self.retry_tokens.charges_retries || self.has_retry_token()
    }

    /// Takes a token for a retry if retries cost one; returns false if there is none.
    pub(super) fn try_charge_retry(&self) -> bool {
        !self.retry_tokens.charges_retries || self.shared_limits.try_withdraw()
    }

    /// Takes a token for a hedge; returns false if there is none.
    pub(super) fn try_charge_hedge(&self) -> bool {
        self.shared_limits.try_withdraw()
    }
}
