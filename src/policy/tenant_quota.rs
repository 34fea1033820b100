//! Decides whether a query is within its tenant's quota.
//!
//! Inputs are the quota in queries a second of all routers together and the number of routers. Each router grants an
//! equal part of it with a token bucket. A query beyond the quota has a lower priority weight under overload; it is not
//! rejected for that alone.

use crate::interface::Tenant;

/// Time over which unused quota is saved, and the least number of queries that can be saved.
const SAVED_FOR_S: f64 = 2.0;
const SAVED_QUERIES_MIN: f64 = 2.0;
/// Queries that a new tenant has saved.
const INITIAL_QUERIES: f64 = 1.0;

/// The quota of one tenant at this router.
pub(super) struct TenantQuota {
    tenant: Tenant,
    /// Queries saved at `updated_at_s`.
    saved_queries: f64,
    updated_at_s: f64,
}

/// Most queries that can be saved at a rate of queries a second.
fn saved_max(rate_per_s: f64) -> f64 {
    (SAVED_FOR_S * rate_per_s).max(SAVED_QUERIES_MIN)
}

impl TenantQuota {
    pub fn new(tenant: Tenant, now_s: f64) -> Self {
        TenantQuota { tenant, saved_queries: INITIAL_QUERIES, updated_at_s: now_s }
    }

    pub fn is_of(&self, tenant: &str) -> bool {
        self.tenant.name == tenant
    }

    /// Takes one query from the quota; false if it is beyond it.
    pub fn try_take(&mut self, now_s: f64, router_count: f64) -> bool {
        self.saved_queries = self.saved_at(now_s, router_count);
        self.updated_at_s = now_s;
        let within_quota = self.saved_queries >= 1.0;
        if within_quota {
            self.saved_queries -= 1.0;
        }
        within_quota
    }

    fn saved_at(&self, now_s: f64, router_count: f64) -> f64 {
        let rate_per_s = self.tenant.quota_per_s / router_count;
        (self.saved_queries + (now_s - self.updated_at_s) * rate_per_s).min(saved_max(rate_per_s))
    }

    /// The quota after a change of the configuration: what has been saved until now stays, as far as the new quota
    /// allows.
    pub fn changed(&self, tenant: Tenant, now_s: f64, old_routers: f64, new_routers: f64) -> Self {
        let most = saved_max(tenant.quota_per_s / new_routers);
        let saved_queries = self.saved_at(now_s, old_routers).min(most);
        TenantQuota { tenant, saved_queries, updated_at_s: now_s }
    }
}
