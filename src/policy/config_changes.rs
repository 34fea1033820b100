//! Carries state across a change of the configuration between two rounds: a changed query class starts in a slot of its
//! own with the latencies that it had, open queries keep their old one, tenants' quotas and the retry budget go on from
//! where they stand. It carries state only and decides nothing.

use super::Policy;
use super::latency::{ClassState, LatencyWindow};
use super::retry_budget::RetryTokenConfig;
use super::slow_start::warm_up_memory_s;
use super::tenant_quota::TenantQuota;
use crate::interface::{ClassSlot, PolicyConfig, QueryClass, SlowStartConfig, Tenant};

/// Latency objective of a slot without open queries: never the shortest one, and its work never the heaviest.
const UNUSED_SLOT_OBJECTIVE_S: f64 = f64::INFINITY;

impl Policy {
    /// Applies a configuration as a whole, so that no round decides by parts of two.
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
        // The ring stays as it is, and so do the explicit holders that replaced it.
        self.placement.max_batch = config.placement.max_batch;
        self.placement.attempt_overhead_s = config.placement.attempt_overhead_s;
        self.retry_tokens = RetryTokenConfig::new(config.retry_budget);
        self.apply_retry_token_capacity();
        let previous = std::mem::replace(&mut self.slow_start, config.slow_start);
        self.change_slow_start(previous);
    }

    /// Whether a query class keeps the priority weight of its previous slot, to the bit.
    fn keeps_priority_weight(&self, class: &QueryClass, slot: &ClassSlot) -> bool {
        let previous = slot.previous_slot.and_then(|slot| self.classes.get(slot));
        previous.is_some_and(|previous| {
            previous.config.priority_weight.to_bits() == class.priority_weight.to_bits()
        })
    }

    /// Puts a query class into its slot. In a new slot it starts with the latencies that it had in the previous one,
    /// where open queries go on with a copy.
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
            let (lowest_median_s, longest_patience_s) =
                (previous.lowest_median_s, previous.longest_patience_s);
            let class = &mut self.classes[slot];
            class.latencies = latencies;
            class.lowest_median_s = lowest_median_s;
            class.longest_patience_s = longest_patience_s;
        }
        self.classes[slot].config = config.clone();
    }

    /// Forgets the class of a slot without open queries.
    pub(super) fn retire_class(&mut self, slot: usize) {
        if let Some(class) = self.classes.get_mut(slot) {
            let config = QueryClass { latency_objective_s: UNUSED_SLOT_OBJECTIVE_S, ..class.config.clone() };
            *class = ClassState::new(config);
        }
    }

    /// Sets the tenants and their quotas; known ones keep what they have saved, new ones begin as at a start.
    fn change_tenants(&mut self, tenants: &[Tenant], router_count: f64) {
        let previous = std::mem::take(&mut self.tenants);
        let (now_s, old_routers) = (self.now_s, self.router_count);
        let changed = |tenant: &Tenant| match previous.iter().find(|quota| quota.is_for(&tenant.name)) {
            Some(quota) => quota.reconfigured(tenant.clone(), now_s, old_routers, router_count),
            None => TenantQuota::new(tenant.clone(), now_s),
        };
        self.tenants = tenants.iter().map(changed).collect();
    }

    /// Work sent to nodes that are warming up is known as far back as the previous rule looked. Where the new one looks
    /// back further, their quota counts as used up until that time has passed.
    fn change_slow_start(&mut self, previous: Option<SlowStartConfig>) {
        let Some(rule) = self.slow_start else { return };
        let known_s = warm_up_memory_s(previous);
        let knows_window = known_s >= rule.window_s && !self.shared_limits.is_shared();
        // On several cores each knows only its own turns, which lasted as long as the previous window.
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
