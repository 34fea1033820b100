//! Settings that change while the router serves, as a dispatcher takes them over: which place each vertical has, so that an
//! open query goes on by what it was promised and a new one by the newest, and what the module has yet to be told.
use super::dispatcher::{ClassRules, Dispatcher};
use alderway::interface::{ClassSlot, PolicyConfig, PolicyInput, QueryClass};
use alderway_deployment::AdmissionConfig;
use alderway_deployment::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::watch;

/// Settings that every core is to take over; a later one has a larger serial.
#[derive(Debug)]
pub struct ConfigGeneration {
    pub serial: u64,
    pub settings: Settings,
}

/// Where verticals stand. A place is a vertical's newest, or left behind with queries that are open by what they were
/// promised, or free; a place that is left behind is free with the last of them, so that there are never more places than
/// verticals that anybody goes by.
#[derive(Default)]
pub struct ClassTable {
    updates: Option<watch::Receiver<Arc<ConfigGeneration>>>,
    current: Option<Arc<ConfigGeneration>>,
    /// Of the newest verticals, in their order; as they stand where there has been no change.
    newest_slots: Option<Vec<usize>>,
    rules_by_slot: BTreeMap<usize, QueryClass>,
    retiring_slots: BTreeSet<usize>,
    free_slots: BTreeSet<usize>,
    /// What the next round tells.
    pending_changes: Vec<(Arc<ConfigGeneration>, Vec<ClassSlot>)>,
    /// The longest deadline of before, and until when it may matter.
    previous_deadline: (f64, f64),
}

impl ClassTable {
    /// What a module that starts now is started with.
    pub fn policy_config(&self) -> Option<&PolicyConfig> {
        Some(&self.current.as_ref()?.settings.policy)
    }

    /// The place of a vertical for queries that come now.
    fn slot_of(&self, verticals: &[ClassRules], name: &str) -> Option<usize> {
        match &self.newest_slots {
            None => verticals.iter().position(|class| class.name == name),
            Some(newest) => newest.iter().copied().find(|&at| verticals[at].name == name),
        }
    }

    /// Each vertical in its order, as at a start.
    fn reset(&mut self, issue: Arc<ConfigGeneration>) {
        self.rules_by_slot = issue.settings.policy.query_classes.iter().cloned().enumerate().collect();
        (self.newest_slots, self.retiring_slots, self.free_slots) = (None, BTreeSet::new(), BTreeSet::new());
        self.pending_changes.clear();
        self.current = Some(issue);
    }

    /// Gives each vertical its place: the one that it has where nothing of it changed, else one of its own.
    fn assign_slots(&mut self, issue: &ConfigGeneration, verticals: &mut Vec<ClassRules>) -> Vec<ClassSlot> {
        let mut before = self.newest_slots.take().unwrap_or_else(|| (0..verticals.len()).collect());
        let (mut placed, mut moved) = (vec![], vec![]);
        for (class, vertical) in
            ClassRules::all(&issue.settings).into_iter().zip(&issue.settings.policy.query_classes)
        {
            let follows = before.iter().position(|&at| verticals[at].name == class.name);
            let follows = follows.map(|i| before.remove(i));
            let stays = follows.filter(|at| self.rules_by_slot.get(at) == Some(vertical));
            let at = stays.or_else(|| self.free_slots.pop_first()).unwrap_or(verticals.len());
            match verticals.get_mut(at) {
                Some(place) => *place = class,
                None => verticals.push(class),
            }
            moved.extend(follows.filter(|from| *from != at));
            self.rules_by_slot.insert(at, vertical.clone());
            placed.push(ClassSlot { slot: at, previous_slot: follows });
        }
        self.retiring_slots.extend(before.into_iter().chain(moved));
        self.newest_slots = Some(placed.iter().map(|placed| placed.slot).collect());
        placed
    }
}

impl Dispatcher {
    /// Follows settings from the newest on.
    pub fn subscribe_config(&mut self, mut news: watch::Receiver<Arc<ConfigGeneration>>) {
        let issue = news.borrow_and_update().clone();
        (self.connection_config, self.admission) = (issue.settings.connections, self.admission_for(&issue));
        self.query_classes = ClassRules::all(&issue.settings);
        self.class_table.updates = Some(news);
        self.class_table.reset(issue);
    }

    /// Queries and shards, and how discovery is followed, are as at the start.
    fn admission_for(&self, issue: &ConfigGeneration) -> AdmissionConfig {
        let AdmissionConfig { max_open: room, shard_count: shards, polls_endpoints: follow, .. } =
            self.admission;
        AdmissionConfig {
            max_open: room,
            shard_count: shards,
            polls_endpoints: follow,
            ..issue.settings.admission
        }
    }

    /// Takes over what is newer than what is held: before a request is read and before a round, so that neither ever goes
    /// by what is not in force any more, however long this core stood still.
    pub fn refresh_config(&mut self) {
        let Some(news) = self.class_table.updates.as_mut().filter(|news| news.has_changed().unwrap_or(false))
        else {
            return;
        };
        let issue = news.borrow_and_update().clone();
        self.apply_config(issue);
    }

    pub fn apply_config(&mut self, issue: Arc<ConfigGeneration>) {
        let now = self.clock.now();
        let longest = self.longest_deadline_s(now);
        self.class_table.previous_deadline = (longest, now + longest);
        (self.connection_config, self.admission) = (issue.settings.connections, self.admission_for(&issue));
        let placed = self.class_table.assign_slots(&issue, &mut self.query_classes);
        self.class_table.pending_changes.push((issue.clone(), placed));
        self.class_table.current = Some(issue);
        self.work_ready.notify_one();
    }

    /// The longest that an open query may have had from its client, by these settings or by those of before.
    pub fn longest_deadline_s(&self, now: f64) -> f64 {
        let (before, until) = self.class_table.previous_deadline;
        if now < until { self.admission.max_deadline_s.max(before) } else { self.admission.max_deadline_s }
    }

    /// The place of a vertical for a query that comes now.
    pub fn class_slot(&self, name: &str) -> Option<usize> {
        self.class_table.slot_of(&self.query_classes, name)
    }

    /// Tells the module what it goes by from this round on.
    pub(super) fn notify_config(&mut self, module: &mut dyn PolicyInput) {
        self.refresh_config();
        for (issue, placed) in std::mem::take(&mut self.class_table.pending_changes) {
            module.change_config(&issue.settings.policy, &placed);
        }
        self.publish_config_serial();
    }

    /// Tells the module which places nobody is open in any more, after it has been told who left.
    pub(super) fn notify_retired_classes(&mut self, module: &mut dyn PolicyInput) {
        let ClassTable { retiring_slots: left, free_slots: free, .. } = &mut self.class_table;
        for at in left.extract_if(.., |at| self.queries.open_in_class(*at) == 0) {
            module.class_retired(at);
            free.insert(at);
        }
    }

    /// The module starts anew with the newest settings and nothing open.
    pub(super) fn reset_classes(&mut self) {
        if let Some(issue) = self.class_table.current.clone() {
            self.query_classes = ClassRules::all(&issue.settings);
            self.class_table.reset(issue);
            self.publish_config_serial();
        }
    }

    fn publish_config_serial(&self) {
        if let Some(issue) = &self.class_table.current {
            let taken = |serial: &mut u64| std::mem::replace(serial, issue.serial) != issue.serial;
            self.shared.cores[self.core].config_serial.send_if_modified(taken);
        }
    }

    /// Places for verticals, all together: a bound of what changes leave behind.
    pub fn class_slot_count(&self) -> usize {
        self.query_classes.len()
    }
}
