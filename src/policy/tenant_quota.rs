//! Decides whether a query is within its tenant's quota.
//!
//! Inputs are the quota in queries per second for all routers together, and the number of routers. Each
//! router limits the tenant to an equal fraction of the quota with a token bucket; a query costs one token. A
//! query beyond the quota has a lower priority weight under overload, but is not rejected for this reason
//! alone.

use crate::interface::Tenant;

/// Capacity of the bucket: the tokens that the quota adds in this many seconds, but at least this many
/// tokens.
const BURST_DURATION_S: f64 = 2.0;
const BURST_MIN_TOKENS: f64 = 2.0;
/// Number of tokens in the bucket of a new tenant.
const INITIAL_TOKENS: f64 = 1.0;

/// The quota of one tenant at this router.
pub(super) struct TenantQuota {
    tenant: Tenant,
    /// Tokens in the bucket at `updated_at_s`, in seconds on the host's monotonic clock.
    tokens: f64,
    updated_at_s: f64,
}

/// Capacity of the bucket in tokens, for a rate in queries per second at this router.
fn capacity_tokens(rate_per_s: f64) -> f64 {
    (BURST_DURATION_S * rate_per_s).max(BURST_MIN_TOKENS)
}

impl TenantQuota {
    pub fn new(tenant: Tenant, now_s: f64) -> Self {
        TenantQuota { tenant, tokens: INITIAL_TOKENS, updated_at_s: now_s }
    }

    pub fn is_for(&self, tenant: &str) -> bool {
        self.tenant.name == tenant
    }

    /// Takes a token for one query; returns false if there is none, so that the query is beyond the quota.
    pub fn try_take(&mut self, now_s: f64, router_count: f64) -> bool {
        self.tokens = self.tokens_at(now_s, router_count);
        self.updated_at_s = now_s;
        let within_quota = self.tokens >= 1.0;
        if within_quota {
            self.tokens -= 1.0;
        }
        within_quota
    }

    fn tokens_at(&self, now_s: f64, router_count: f64) -> f64 {
        let rate_per_s = self.tenant.quota_per_s / router_count;
        (self.tokens + (now_s - self.updated_at_s) * rate_per_s).min(capacity_tokens(rate_per_s))
    }

    /// Returns the quota after a change of the tenant's settings or of the number of routers. The tokens are
    /// kept, up to the new capacity of the bucket.
    pub fn reconfigured(&self, tenant: Tenant, now_s: f64, old_routers: f64, new_routers: f64) -> Self {
        let capacity = capacity_tokens(tenant.quota_per_s / new_routers);
        let tokens = self.tokens_at(now_s, old_routers).min(capacity);
        TenantQuota { tenant, tokens, updated_at_s: now_s }
    }
}
