//! Decides who pays for attempts past a shard request's first one: a token bucket that each shard request adds to.
//!
//! A hedge always costs one token. With a stated budget every attempt past a first one does, so that in any window at
//! most the bucket's capacity plus the ratio times the window's shard requests are spent. This guards against retries
//! that multiply an overload; it costs a late answer where the bucket is empty. The tokens are shared by all cores of
//! a router ([`crate::interface::SharedLimits`]).

use super::Policy;
use crate::interface::RetryBudget;

/// The most that the bucket is filled by, whatever budget is stated.
const TOKENS_PER_REQUEST_MAX: f64 = 0.1;
const CAPACITY_MAX_TOKENS: f64 = 40.0;
/// Cost of an attempt.
const ATTEMPT_COST_TOKENS: f64 = 1.0;

/// How the token bucket is filled and what it pays for.
#[derive(Default)]
pub(super) struct RetryTokenConfig {
    /// Tokens that each shard request adds.
    pub tokens_per_request: f64,
    pub capacity_tokens: f64,
    /// Whether every attempt past a first one costs a token, not only hedges.
    pub charges_retries: bool,
}

impl RetryTokenConfig {
    pub fn new(stated: Option<RetryBudget>) -> Self {
        RetryTokenConfig {
            tokens_per_request: stated
                .map_or(TOKENS_PER_REQUEST_MAX, |budget| budget.ratio.min(TOKENS_PER_REQUEST_MAX)),
            capacity_tokens: stated
                .map_or(CAPACITY_MAX_TOKENS, |budget| budget.burst.min(CAPACITY_MAX_TOKENS)),
            charges_retries: stated.is_some(),
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
    pub(super) fn earn_retry_tokens(&self) {
        let config = &self.retry_tokens;
        self.shared_limits.deposit(config.tokens_per_request, config.capacity_tokens);
    }

    /// Takes back the tokens of a shard request that has earned them at another host.
    pub(super) fn return_retry_tokens(&self) {
        let config = &self.retry_tokens;
        self.shared_limits.deposit(-config.tokens_per_request, config.capacity_tokens);
    }

    /// Whether the bucket holds a whole token.
    pub(super) fn has_retry_token(&self) -> bool {
        self.shared_limits.tokens() >= ATTEMPT_COST_TOKENS
    }

    /// Whether a further attempt could be paid for, if it has to be.
    pub(super) fn can_pay_for_retry(&self) -> bool {
        !self.retry_tokens.charges_retries || self.has_retry_token()
    }

    /// Pays for an attempt that follows a failed one, if it has to be paid for.
    pub(super) fn try_pay_for_retry(&self) -> bool {
        !self.retry_tokens.charges_retries || self.shared_limits.try_withdraw()
    }

    /// Pays for a hedge.
    pub(super) fn try_pay_for_hedge(&self) -> bool {
        self.shared_limits.try_withdraw()
    }
}
