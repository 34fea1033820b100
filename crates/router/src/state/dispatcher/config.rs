//! Changes of the configuration while queries are open. Each version of the rules of a query class has a
//! slot, an index into `Dispatcher::query_classes`, so that open queries keep the rules that they were opened
//! with. The policy is the code that decides about queries and attempts.
use super::Dispatcher;
use crate::state::query_classes::{ClassRules, ConfigGeneration};
use alderway::interface::PolicyInput;
use alderway_deployment::AdmissionConfig;
use std::sync::Arc;
use tokio::sync::watch;

impl Dispatcher {
    /// Subscribes to the channel of configurations, and applies the newest configuration in the channel.
    /// Later configurations are applied by `apply_newest_config`.
    pub fn subscribe_config(&mut self, updates: watch::Receiver<Arc<ConfigGeneration>>) {
        let generation = self.class_table.subscribe(updates);
        self.connection_config = generation.settings.connections;
        self.admission = self.admission_for(&generation);
        self.query_classes = ClassRules::all(&generation.settings);
    }

    /// The admission settings of a configuration, except for three that never change after the start: the
    /// capacity, the number of shards, and whether changes of the endpoint list are polled.
    fn admission_for(&self, generation: &ConfigGeneration) -> AdmissionConfig {
        let AdmissionConfig { max_open, shard_count, polls_endpoints, .. } = self.admission;
        AdmissionConfig { max_open, shard_count, polls_endpoints, ..generation.settings.admission }
    }

    /// Applies the newest configuration if this core has not applied it yet. Must be called before a request
    /// is read and before the policy runs, so that neither uses an outdated configuration, however long this
    /// core was stalled.
    pub fn apply_newest_config(&mut self) {
        if let Some(generation) = self.class_table.take_update() {
            self.apply_config(generation);
        }
    }

    /// Applies a configuration. Open queries keep the rules that they were opened with.
    pub fn apply_config(&mut self, generation: Arc<ConfigGeneration>) {
        let now = self.clock.now();
        let longest_deadline_s = self.longest_deadline_s(now);
        self.connection_config = generation.settings.connections;
        self.admission = self.admission_for(&generation);
        self.class_table.apply(generation, &mut self.query_classes, now, longest_deadline_s);
        self.work_ready.notify_one();
    }

    /// The longest time from arrival to deadline, in seconds, that a query open at `now` may have; `now` is
    /// in seconds of the monotonic clock.
    pub fn longest_deadline_s(&self, now: f64) -> f64 {
        self.class_table.longest_deadline_s(self.admission.max_deadline_s, now)
    }

    /// The index into `query_classes` for new queries of the class `name`; `None` if there is no such class.
    pub fn class_slot(&self, name: &str) -> Option<usize> {
        self.class_table.slot_of(&self.query_classes, name)
    }

    /// Applies the newest configuration, and passes the configurations that the policy has not received to
    /// the policy.
    pub(super) fn notify_config(&mut self, policy: &mut dyn PolicyInput) {
        self.apply_newest_config();
        self.class_table.notify_changes(policy);
        self.publish_config_serial();
    }

    /// Reports class slots that are retiring and have no open query to the policy. Must be called after the
    /// policy has received the ended queries.
    pub(super) fn notify_retired_classes(&mut self, policy: &mut dyn PolicyInput) {
        let queries = &self.queries;
        self.class_table.notify_retired_slots(|slot| queries.open_in_class(slot), policy);
    }

    /// Gives each query class the slot of its index in the configuration in use. Called when the policy is
    /// restarted after a failure: the new policy starts with that configuration and without open queries.
    pub(super) fn reset_classes(&mut self) {
        if let Some(generation) = self.class_table.current().cloned() {
            self.query_classes = ClassRules::all(&generation.settings);
            self.class_table.reset(generation);
            self.publish_config_serial();
        }
    }

    fn publish_config_serial(&self) {
        if let Some(generation) = self.class_table.current() {
            let replace =
                |serial: &mut u64| std::mem::replace(serial, generation.serial) != generation.serial;
            self.shared.cores[self.core].config_serial.send_if_modified(replace);
        }
    }

    /// Number of class slots, including retiring and free ones.
    pub fn class_slot_count(&self) -> usize {
        self.query_classes.len()
    }
}
