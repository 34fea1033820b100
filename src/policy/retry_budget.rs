//! Limits retries and hedges, which are the attempts after the first one of each shard request, with a token
//! bucket. Each new shard request adds a fraction of a token.
//!
//! A hedge always costs one token. If a retry budget is configured, every attempt after a first one costs a
//! token, so that any window has at most as many as the bucket's capacity plus the ratio times the window's
//! shard requests. This keeps retries from multiplying an overload. The cost: while the bucket is empty, an
//! answer may be late. All cores of a router share the tokens ([`crate::interface::SharedLimits`]).

use super::Policy;
use crate::interface::RetryBudget;

/// Upper limits for the tokens that a shard request adds and for the capacity of the bucket. Larger
/// configured values are reduced to these limits.
const TOKENS_PER_REQUEST_MAX: f64 = 0.1;
const CAPACITY_MAX_TOKENS: f64 = 40.0;
/// Number of tokens that a hedge, or a retry if a retry budget is configured, costs.
const ATTEMPT_COST_TOKENS: f64 = 1.0;

/// How the token bucket is filled, and which attempts cost a token.
#[derive(Default)]
pub(super) struct RetryTokenConfig {
    /// Tokens that each shard request adds.
    pub tokens_per_request: f64,
    pub capacity_tokens: f64,
    /// Whether retries cost a token too, not only hedges. True if a retry budget is configured.
    pub retries_cost_tokens: bool,
}

impl RetryTokenConfig {
    pub fn new(configured: Option<RetryBudget>) -> Self {
        RetryTokenConfig {
            tokens_per_request: configured
                .map_or(TOKENS_PER_REQUEST_MAX, |budget| budget.ratio.min(TOKENS_PER_REQUEST_MAX)),
            capacity_tokens: configured
                .map_or(CAPACITY_MAX_TOKENS, |budget| budget.burst.min(CAPACITY_MAX_TOKENS)),
            retries_cost_tokens: configured.is_some(),
        }
    }
}

impl Policy {
    /// Applies the configured capacity to the bucket that the cores share.
    pub(super) fn apply_capacity_to_token_bucket(&self) {
        let config = &self.retry_tokens;
        self.shared_limits.change_capacity(config.capacity_tokens, config.retries_cost_tokens);
    }

    /// Adds the fraction of a token that a new shard request earns, up to the bucket's capacity.
    pub(super) fn deposit_tokens_for_new_request(&self) {
        let config = &self.retry_tokens;
        self.shared_limits.deposit(config.tokens_per_request, config.capacity_tokens);
    }

    /// Removes the tokens that a shard request added to this host's bucket. Called if this host continues the
    /// shard request for another host process, as the shard request added its tokens there when it arrived.
    pub(super) fn undo_deposit_for_adopted_request(&self) {
        let config = &self.retry_tokens;
        self.shared_limits.deposit(-config.tokens_per_request, config.capacity_tokens);
    }

    /// Whether the bucket contains at least the token that an attempt costs.
    pub(super) fn bucket_has_token(&self) -> bool {
        self.shared_limits.tokens() >= ATTEMPT_COST_TOKENS
    }

    /// Whether a retry may start: the bucket contains a token, or retries cost none.
    pub(super) fn budget_allows_retry(&self) -> bool {
        !self.retry_tokens.retries_cost_tokens || self.bucket_has_token()
    }

    /// Takes a token for a retry if retries cost one; returns false if there is none.
    pub(super) fn try_take_token_for_retry(&self) -> bool {
        !self.retry_tokens.retries_cost_tokens || self.shared_limits.try_withdraw()
    }

    /// Takes a token for a hedge; returns false if there is none.
    pub(super) fn try_take_token_for_hedge(&self) -> bool {
        self.shared_limits.try_withdraw()
    }
}
