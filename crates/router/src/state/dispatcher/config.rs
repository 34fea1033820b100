//! A configuration that changes while queries are open.
use super::Dispatcher;
use crate::state::query_classes::{ClassRules, ConfigGeneration};
use alderway::interface::PolicyInput;
use alderway_deployment::AdmissionConfig;
use std::sync::Arc;
use tokio::sync::watch;

impl Dispatcher {
    /// Follows a stream of configurations from its newest on.
    pub fn subscribe_config(&mut self, updates: watch::Receiver<Arc<ConfigGeneration>>) {
        let generation = self.class_table.subscribe(updates);
        self.connection_config = generation.settings.connections;
        self.admission = self.admission_for(&generation);
        self.query_classes = ClassRules::all(&generation.settings);
    }

    /// Capacity, the number of shards and how discovery is followed stay as they were at the start.
    fn admission_for(&self, generation: &ConfigGeneration) -> AdmissionConfig {
        let AdmissionConfig { max_open, shard_count, polls_endpoints, .. } = self.admission;
        AdmissionConfig { max_open, shard_count, polls_endpoints, ..generation.settings.admission }
    }

    /// Applies the newest configuration, if it is not applied yet. To be called before a request is read and before a
    /// round: neither may go by what is no longer in force, however long this core stood still.
    pub fn refresh_config(&mut self) {
        if let Some(generation) = self.class_table.take_update() {
            self.apply_config(generation);
        }
    }

    /// Applies a configuration; open queries keep the rules of their class.
    pub fn apply_config(&mut self, generation: Arc<ConfigGeneration>) {
        let now = self.clock.now();
        let longest_deadline_s = self.longest_deadline_s(now);
        self.connection_config = generation.settings.connections;
        self.admission = self.admission_for(&generation);
        self.class_table.apply(generation, &mut self.query_classes, now, longest_deadline_s);
        self.work_ready.notify_one();
    }

    /// The longest deadline that an open query may have, in seconds.
    pub fn longest_deadline_s(&self, now: f64) -> f64 {
        self.class_table.longest_deadline_s(self.admission.max_deadline_s, now)
    }

    /// The slot of a class for a query that comes now.
    pub fn class_slot(&self, name: &str) -> Option<usize> {
        self.class_table.slot_of(&self.query_classes, name)
    }

    /// Tells the policy what it goes by from this round on.
    pub(super) fn notify_config(&mut self, policy: &mut dyn PolicyInput) {
        self.refresh_config();
        self.class_table.notify_changes(policy);
        self.publish_config_serial();
    }

    /// Tells the policy which slots no query is open in any more, after it was told who left.
    pub(super) fn notify_retired_classes(&mut self, policy: &mut dyn PolicyInput) {
        let queries = &self.queries;
        self.class_table.notify_retired(|slot| queries.open_in_class(slot), policy);
    }

    /// The policy starts anew, with the newest configuration and nothing open.
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

    /// Slots in use, retiring or free.
    pub fn class_slot_count(&self) -> usize {
        self.query_classes.len()
    }
}
