//! Settings that change while the router serves, as a desk takes them over: which place each vertical has, so that an
//! open query goes on by what it was promised and a new one by the newest, and what the module has yet to be told.
use super::desk::{Class, Desk};
use alderway::interface::{ClassSlot, PolicyConfig, PolicyInput, QueryClass};
use alderway_deployment::AdmissionConfig;
use alderway_deployment::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::watch;

/// Settings that every core is to take over; a later one has a larger serial.
#[derive(Debug)]
pub struct Issue {
    pub serial: u64,
    pub settings: Settings,
}

/// Where verticals stand. A place is a vertical's newest, or left behind with queries that are open by what they were
/// promised, or free; a place that is left behind is free with the last of them, so that there are never more places than
/// verticals that anybody goes by.
#[derive(Default)]
pub struct Places {
    news: Option<watch::Receiver<Arc<Issue>>>,
    held: Option<Arc<Issue>>,
    /// Of the newest verticals, in their order; as they stand where there has been no change.
    newest: Option<Vec<usize>>,
    known: BTreeMap<usize, QueryClass>,
    left: BTreeSet<usize>,
    free: BTreeSet<usize>,
    /// What the next round tells.
    untold: Vec<(Arc<Issue>, Vec<ClassSlot>)>,
    /// The longest deadline of before, and until when it may matter.
    before: (f64, f64),
}

impl Places {
    /// What a module that starts now is started with.
    pub fn newest(&self) -> Option<&PolicyConfig> {
        Some(&self.held.as_ref()?.settings.policy)
    }

    /// The place of a vertical for queries that come now.
    fn find(&self, verticals: &[Class], name: &str) -> Option<usize> {
        match &self.newest {
            None => verticals.iter().position(|class| class.name == name),
            Some(newest) => newest.iter().copied().find(|&at| verticals[at].name == name),
        }
    }

    /// Each vertical in its order, as at a start.
    fn begin(&mut self, issue: Arc<Issue>) {
        self.known = issue.settings.policy.query_classes.iter().cloned().enumerate().collect();
        (self.newest, self.left, self.free) = (None, BTreeSet::new(), BTreeSet::new());
        self.untold.clear();
        self.held = Some(issue);
    }

    /// Gives each vertical its place: the one that it has where nothing of it changed, else one of its own.
    fn place(&mut self, issue: &Issue, verticals: &mut Vec<Class>) -> Vec<ClassSlot> {
        let mut before = self.newest.take().unwrap_or_else(|| (0..verticals.len()).collect());
        let (mut placed, mut moved) = (vec![], vec![]);
        for (class, vertical) in
            Class::all(&issue.settings).into_iter().zip(&issue.settings.policy.query_classes)
        {
            let follows = before.iter().position(|&at| verticals[at].name == class.name);
            let follows = follows.map(|i| before.remove(i));
            let stays = follows.filter(|at| self.known.get(at) == Some(vertical));
            let at = stays.or_else(|| self.free.pop_first()).unwrap_or(verticals.len());
            match verticals.get_mut(at) {
                Some(place) => *place = class,
                None => verticals.push(class),
            }
            moved.extend(follows.filter(|from| *from != at));
            self.known.insert(at, vertical.clone());
            placed.push(ClassSlot { slot: at, previous_slot: follows });
        }
        self.left.extend(before.into_iter().chain(moved));
        self.newest = Some(placed.iter().map(|placed| placed.slot).collect());
        placed
    }
}

impl Desk {
    /// Follows settings from the newest on.
    pub fn follow_settings(&mut self, mut news: watch::Receiver<Arc<Issue>>) {
        let issue = news.borrow_and_update().clone();
        (self.trunk, self.room) = (issue.settings.connections, self.room_by(&issue));
        self.verticals = Class::all(&issue.settings);
        self.terms.news = Some(news);
        self.terms.begin(issue);
    }

    /// Queries and shards, and how discovery is followed, are as at the start.
    fn room_by(&self, issue: &Issue) -> AdmissionConfig {
        let AdmissionConfig { max_open: room, shard_count: shards, polls_endpoints: follow, .. } = self.room;
        AdmissionConfig {
            max_open: room,
            shard_count: shards,
            polls_endpoints: follow,
            ..issue.settings.admission
        }
    }

    /// Takes over what is newer than what is held: before a request is read and before a round, so that neither ever goes
    /// by what is not in force any more, however long this core stood still.
    pub fn renew(&mut self) {
        let Some(news) = self.terms.news.as_mut().filter(|news| news.has_changed().unwrap_or(false)) else {
            return;
        };
        let issue = news.borrow_and_update().clone();
        self.take_over(issue);
    }

    pub fn take_over(&mut self, issue: Arc<Issue>) {
        let now = self.clock.now();
        let longest = self.longest_deadline(now);
        self.terms.before = (longest, now + longest);
        (self.trunk, self.room) = (issue.settings.connections, self.room_by(&issue));
        let placed = self.terms.place(&issue, &mut self.verticals);
        self.terms.untold.push((issue.clone(), placed));
        self.terms.held = Some(issue);
        self.came.notify_one();
    }

    /// The longest that an open query may have had from its client, by these settings or by those of before.
    pub fn longest_deadline(&self, now: f64) -> f64 {
        let (before, until) = self.terms.before;
        if now < until { self.room.max_deadline_s.max(before) } else { self.room.max_deadline_s }
    }

    /// The place of a vertical for a query that comes now.
    pub fn vertical(&self, name: &str) -> Option<usize> {
        self.terms.find(&self.verticals, name)
    }

    /// Tells the module what it goes by from this round on.
    pub(super) fn tell_terms(&mut self, module: &mut dyn PolicyInput) {
        self.renew();
        for (issue, placed) in std::mem::take(&mut self.terms.untold) {
            module.change_config(&issue.settings.policy, &placed);
        }
        self.say_taken();
    }

    /// Tells the module which places nobody is open in any more, after it has been told who left.
    pub(super) fn tell_places(&mut self, module: &mut dyn PolicyInput) {
        let Places { left, free, .. } = &mut self.terms;
        for at in left.extract_if(.., |at| self.queries.open_in(*at) == 0) {
            module.class_retired(at);
            free.insert(at);
        }
    }

    /// The module starts anew with the newest settings and nothing open.
    pub(super) fn begin_terms(&mut self) {
        if let Some(issue) = self.terms.held.clone() {
            self.verticals = Class::all(&issue.settings);
            self.terms.begin(issue);
            self.say_taken();
        }
    }

    fn say_taken(&self) {
        if let Some(issue) = &self.terms.held {
            let taken = |serial: &mut u64| std::mem::replace(serial, issue.serial) != issue.serial;
            self.house.seats[self.core].settings.send_if_modified(taken);
        }
    }

    /// Places for verticals, all together: a bound of what changes leave behind.
    pub fn places(&self) -> usize {
        self.verticals.len()
    }
}
