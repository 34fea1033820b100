//! Applies a change of the configuration between two rounds (calls of [`Policy::round`]) and keeps the state.
//! A slot is the index of a query class. A changed query class gets a new slot with the latencies observed so
//! far, while open queries keep the old slot. Tenants keep the tokens of their quotas, and the token bucket
//! of the retry budget gets its new capacity. This module makes no decisions.

use super::Policy;
use super::latency::{ClassState, LatencyWindow};
use super::retry_budget::RetryTokenConfig;
use super::slow_start::warm_up_history_s;
use super::tenant_quota::TenantQuota;
use crate::interface::{ClassSlot, PolicyConfig, QueryClass, SlowStartConfig, Tenant};

/// Latency objective in seconds of a slot to which no query class is assigned. With an infinite objective,
/// this slot affects neither the shortest objective of all slots nor the largest quotient of work and
/// objective.
const UNUSED_SLOT_OBJECTIVE_S: f64 = f64::INFINITY;

impl Policy {
    /// Applies all settings of a configuration at once, so that no round mixes two configurations.
    pub(super) fn apply_config(&mut self, config: &PolicyConfig, slots: &[ClassSlot]) {
        let mut keeps_priorities = self.capabilities.over_quota_weight_fraction.to_bits()
            == config.capabilities.over_quota_weight_fraction.to_bits();
        for (class, slot) in config.query_classes.iter().zip(slots) {
            keeps_priorities &= self.keeps_priority_weight(class, slot);
            self.place_class(class, slot);
        }
        if !keeps_priorities {
            self.load_shedding.reset_highest_value();
        }
        let router_count = config.router_count.max(1) as f64;
        self.change_tenants(&config.tenants, router_count);
        self.router_count = router_count;
        self.capabilities = config.capabilities;
        // A change of the configuration changes neither the ring nor the explicit list of holders.
        self.placement.max_batch = config.placement.max_batch;
        self.placement.attempt_overhead_s = config.placement.attempt_overhead_s;
        self.retry_tokens = RetryTokenConfig::new(config.retry_budget);
        self.apply_capacity_to_token_bucket();
        let previous = std::mem::replace(&mut self.slow_start, config.slow_start);
        self.change_slow_start(previous);
    }

    /// Whether the priority weight of a query class equals that of its previous slot, bit by bit.
    fn keeps_priority_weight(&self, class: &QueryClass, slot: &ClassSlot) -> bool {
        let previous = slot.previous_slot.and_then(|slot| self.classes.get(slot));
        previous.is_some_and(|previous| {
            previous.config.priority_weight.to_bits() == class.priority_weight.to_bits()
        })
    }

    /// Assigns a query class to its slot. A new slot gets the latencies of the previous slot; the previous
    /// slot keeps a copy for its open queries.
    fn place_class(&mut self, config: &QueryClass, slot: &ClassSlot) {
        let ClassSlot { slot, previous_slot } = *slot;
        while self.classes.len() <= slot {
            let unused = QueryClass { latency_objective_s: UNUSED_SLOT_OBJECTIVE_S, ..config.clone() };
            self.classes.push(ClassState::new(unused));
        }
        if let Some(from) = previous_slot.filter(|from| *from != slot && *from < self.classes.len()) {
            let previous = &mut self.classes[from];
            let copy = LatencyWindow::inherit(&[&previous.latencies], usize::MAX);
            let latencies = std::mem::replace(&mut previous.latencies, copy);
            let (lowest_median_s, longest_time_left_s) =
                (previous.lowest_median_s, previous.longest_time_left_s);
            let class = &mut self.classes[slot];
            class.latencies = latencies;
            class.lowest_median_s = lowest_median_s;
            class.longest_time_left_s = longest_time_left_s;
        }
        self.classes[slot].config = config.clone();
    }

    /// Releases a slot by deleting the latencies of its class and making its latency objective infinite. The
    /// host guarantees that no query of this slot is open.
    pub(super) fn retire_class(&mut self, slot: usize) {
        if let Some(class) = self.classes.get_mut(slot) {
            let config = QueryClass { latency_objective_s: UNUSED_SLOT_OBJECTIVE_S, ..class.config.clone() };
            *class = ClassState::new(config);
        }
    }

    /// Sets the tenants and their quotas. Known tenants keep their tokens, up to the new capacity; new
    /// tenants start with `INITIAL_TOKENS`.
    fn change_tenants(&mut self, tenants: &[Tenant], router_count: f64) {
        let previous = std::mem::take(&mut self.tenants);
        let (now_s, old_routers) = (self.now_s, self.router_count);
        let changed = |tenant: &Tenant| match previous.iter().find(|quota| quota.is_for(&tenant.name)) {
            Some(quota) => quota.reconfigured(tenant.clone(), now_s, old_routers, router_count),
            None => TenantQuota::new(tenant.clone(), now_s),
        };
        self.tenants = tenants.iter().map(changed).collect();
    }

    /// Marks the quotas of nodes that are warming up as used up if the work sent to them was recorded for a
    /// shorter time than the window of the new slow-start rule. They are free again after one new window.
    /// `previous` is the rule before the change.
    fn change_slow_start(&mut self, previous: Option<SlowStartConfig>) {
        let Some(rule) = self.slow_start else { return };
        let known_s = warm_up_history_s(previous);
        let knows_window = known_s >= rule.window_s && !self.shared_limits.has_several_cores();
        // With several cores, a core has recorded only the work of its own turns, which lasted as long as the
        // previous window.
        if knows_window || previous.is_some_and(|previous| previous.window_s >= rule.window_s) {
            return;
        }
        let now_s = self.now_s;
        let warming_up = |started_at_s: f64| now_s - started_at_s < rule.warm_up_s + rule.window_s;
        for node in self.nodes.values_mut().filter(|node| node.started_at_s.is_some_and(warming_up)) {
            node.warm_up_load.mark_exhausted(now_s);
        }
    }
}
