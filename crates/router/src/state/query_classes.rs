//! Query classes across changes of the configuration. Each version of the rules of a class has a slot, an
//! index into the list of class rules, so that an open query keeps the rules that it was opened with while
//! new queries use the newest rules. A slot is retiring if only open queries still use the rules in the slot.
//! The policy, the code that decides about queries and attempts, gets changes in its next run.
use alderway::interface::{ClassSlot, Idempotency, PolicyConfig, PolicyInput, QueryClass};
use alderway_deployment::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::watch;

/// A configuration of the router that every core applies.
#[derive(Debug)]
pub struct ConfigGeneration {
    /// Number of the configuration within this process: 0 for the first, one more for each further one.
    pub serial: u64,
    /// Settings of the policy, the query classes, the admission of queries, and the connections to data
    /// nodes.
    pub settings: Settings,
}

/// The settings of a query class that the dispatcher itself uses.
#[derive(Clone, Debug)]
pub struct ClassRules {
    /// The name of the class in clients' requests.
    pub name: String,
    /// Whether a shard request may be sent again after an attempt that may have been executed.
    pub idempotency: Idempotency,
    /// Smallest answered fraction of a query's weight, from 0 to 1, with which its answer counts as complete.
    pub complete_fraction: f64,
    /// Smallest answered fraction of a query's weight, from 0 to 1, with which an answer may be sent.
    pub minimum_fraction: f64,
}

impl ClassRules {
    /// The rules of all query classes, in the order of the settings.
    pub fn all(settings: &Settings) -> Vec<ClassRules> {
        let classes = settings.class_names.iter().zip(&settings.policy.query_classes);
        let rules = |(name, class): (&String, &QueryClass)| ClassRules {
            name: name.clone(),
            idempotency: class.idempotency,
            complete_fraction: class.complete_fraction,
            minimum_fraction: class.minimum_fraction,
        };
        classes.map(rules).collect()
    }
}

impl From<&str> for ClassRules {
    /// The rules of an idempotent class whose queries may be answered without any result.
    fn from(name: &str) -> Self {
        ClassRules {
            name: name.into(),
            idempotency: Idempotency::Idempotent,
            complete_fraction: 0.0,
            minimum_fraction: 0.0,
        }
    }
}

/// The longest time limit for queries before the last change of the configuration, in seconds after the
/// arrival of a query. Queries with that limit may be open until `until_s`, in seconds of the monotonic
/// clock.
#[derive(Clone, Copy, Default)]
struct PreviousDeadline {
    deadline_s: f64,
    until_s: f64,
}

/// A change of the configuration that the policy gets in its next run.
struct PendingChange {
    generation: Arc<ConfigGeneration>,
    slots: Vec<ClassSlot>,
}

/// Assigns slots to query classes. A slot has the newest rules of a class, or is retiring because open
/// queries still use the rules in the slot, or is free for reuse. Free slots are reused, so that the number
/// of slots stays bounded.
#[derive(Default)]
pub struct ClassTable {
    updates: Option<watch::Receiver<Arc<ConfigGeneration>>>,
    current: Option<Arc<ConfigGeneration>>,
    /// The slots for new queries, in the order of the classes in the settings; `None` if no configuration has
    /// been applied by `apply` since `reset`; each class then has the slot of its index.
    newest_slots: Option<Vec<usize>>,
    /// The policy's settings of the class in each slot.
    classes_by_slot: BTreeMap<usize, QueryClass>,
    retiring_slots: BTreeSet<usize>,
    free_slots: BTreeSet<usize>,
    pending_changes: Vec<PendingChange>,
    previous_deadline: PreviousDeadline,
}

impl ClassTable {
    /// The part of the configuration in use that a policy starts with; `None` before `subscribe`.
    pub fn policy_config(&self) -> Option<&PolicyConfig> {
        Some(&self.current.as_ref()?.settings.policy)
    }

    /// The configuration in use; `None` before `subscribe`.
    pub fn current(&self) -> Option<&Arc<ConfigGeneration>> {
        self.current.as_ref()
    }

    /// The slot for new queries of the class `name`; `None` if there is no such class. `rules` are the class
    /// rules by slot.
    pub fn slot_of(&self, rules: &[ClassRules], name: &str) -> Option<usize> {
        match &self.newest_slots {
            None => rules.iter().position(|class| class.name == name),
            Some(newest) => newest.iter().copied().find(|&slot| rules[slot].name == name),
        }
    }

    /// Subscribes to the channel of configurations; applies and returns the newest one.
    pub fn subscribe(
        &mut self,
        mut updates: watch::Receiver<Arc<ConfigGeneration>>,
    ) -> Arc<ConfigGeneration> {
        let generation = updates.borrow_and_update().clone();
        self.updates = Some(updates);
        self.reset(generation.clone());
        generation
    }

    /// The newest configuration from the channel; `None` if it has been returned before.
    pub fn take_update(&mut self) -> Option<Arc<ConfigGeneration>> {
        let updates = self.updates.as_mut().filter(|updates| updates.has_changed().unwrap_or(false))?;
        Some(updates.borrow_and_update().clone())
    }

    /// Applies a configuration without regard to open queries: each class gets the slot of its index in the
    /// settings.
    pub fn reset(&mut self, generation: Arc<ConfigGeneration>) {
        self.classes_by_slot = generation.settings.policy.query_classes.iter().cloned().enumerate().collect();
        self.newest_slots = None;
        self.retiring_slots.clear();
        self.free_slots.clear();
        self.pending_changes.clear();
        self.current = Some(generation);
    }

    /// Applies a configuration. A class that did not change keeps its slot; a new or changed class gets
    /// another slot, whose entry in `rules` is replaced or added. `longest_deadline_s` is the longest time
    /// limit that a query opened until `now` may have, in seconds after the arrival of the query; `now` is in
    /// seconds of the monotonic clock.
    pub fn apply(
        &mut self,
        generation: Arc<ConfigGeneration>,
        rules: &mut Vec<ClassRules>,
        now: f64,
        longest_deadline_s: f64,
    ) {
        let until_s = now + longest_deadline_s;
        self.previous_deadline = PreviousDeadline { deadline_s: longest_deadline_s, until_s };
        let slots = self.assign_slots(&generation, rules);
        self.pending_changes.push(PendingChange { generation: generation.clone(), slots });
        self.current = Some(generation);
    }

    fn assign_slots(&mut self, generation: &ConfigGeneration, rules: &mut Vec<ClassRules>) -> Vec<ClassSlot> {
        let mut previous_slots = self.newest_slots.take().unwrap_or_else(|| (0..rules.len()).collect());
        let (mut assigned, mut superseded) = (vec![], vec![]);
        let classes = &generation.settings.policy.query_classes;
        for (new_rules, class) in ClassRules::all(&generation.settings).into_iter().zip(classes) {
            let previous_slot = previous_slots.iter().position(|&slot| rules[slot].name == new_rules.name);
            let previous_slot = previous_slot.map(|index| previous_slots.remove(index));
            let unchanged = previous_slot.filter(|slot| self.classes_by_slot.get(slot) == Some(class));
            let slot = unchanged.or_else(|| self.free_slots.pop_first()).unwrap_or(rules.len());
            match rules.get_mut(slot) {
                Some(place) => *place = new_rules,
                None => rules.push(new_rules),
            }
            superseded.extend(previous_slot.filter(|previous| *previous != slot));
            self.classes_by_slot.insert(slot, class.clone());
            assigned.push(ClassSlot { slot, previous_slot });
        }
        self.retiring_slots.extend(previous_slots.into_iter().chain(superseded));
        self.newest_slots = Some(assigned.iter().map(|assigned| assigned.slot).collect());
        assigned
    }

    /// The longest time limit that an open query may have, in seconds after its arrival: the present limit
    /// `max_deadline_s`, or the previous configuration's limit if that is longer and queries opened under
    /// that configuration may still be open at `now`.
    pub fn longest_deadline_s(&self, max_deadline_s: f64, now: f64) -> f64 {
        let PreviousDeadline { deadline_s, until_s } = self.previous_deadline;
        if now < until_s { max_deadline_s.max(deadline_s) } else { max_deadline_s }
    }

    /// Passes the configurations that were applied since the policy's last run to the policy.
    pub fn notify_changes(&mut self, policy: &mut dyn PolicyInput) {
        for PendingChange { generation, slots } in std::mem::take(&mut self.pending_changes) {
            policy.change_config(&generation.settings.policy, &slots);
        }
    }

    /// Frees the retiring slots without open queries, and reports these slots to the policy. `open_in`
    /// returns the number of open queries of a slot.
    pub fn notify_retired_slots(&mut self, open_in: impl Fn(usize) -> usize, policy: &mut dyn PolicyInput) {
        for slot in self.retiring_slots.extract_if(.., |slot| open_in(*slot) == 0) {
            policy.class_retired(slot);
            self.free_slots.insert(slot);
        }
    }
}
