//! The versions that still matter: the newest, and older ones while parts sent by them are open or a core may still send
//! by them. What no longer matters is given back, so that years of weekly changes do not grow memory.
use crate::layout::{Change, Faulty, Layout};
use crate::{Range, ShardId, Version};
use std::collections::{BTreeMap, BTreeSet};

/// What a new version did to a shard that it does not have any more.
#[derive(Clone, Debug, PartialEq)]
struct Gone {
    keys: Range,
    /// Since when it is gone, by the caller's clock.
    at: f64,
}

struct Old {
    layout: Layout,
    /// Parts open that were sent by it.
    parts: usize,
    /// When the next version came.
    until: f64,
}

pub struct History {
    newest: Layout,
    parts: usize,
    old: BTreeMap<Version, Old>,
    gone: BTreeMap<ShardId, Gone>,
    /// Seconds after which nobody sends by a version that has been followed.
    grace: f64,
}

/// What a part for some shard has become.
#[derive(Clone, Debug, PartialEq)]
pub enum Now {
    /// The shard is as it was.
    Same,
    /// Its keys are in these shards now, each with the keys that they have in common.
    In(Vec<(ShardId, Range)>),
    /// No version that still matters knows it.
    Unknown,
}

impl History {
    pub fn new(layout: Layout, grace: f64) -> Self {
        History { newest: layout, parts: 0, old: BTreeMap::new(), gone: BTreeMap::new(), grace }
    }

    pub fn newest(&self) -> &Layout {
        &self.newest
    }

    /// Takes a chain of changes in as the next version, or refuses it whole. Returns the shards that are gone.
    pub fn change(&mut self, version: Version, changes: &[Change], now: f64) -> Result<Vec<ShardId>, Faulty> {
        let next = self.newest.after(version, changes)?;
        self.all_new(&next)?;
        Ok(self.follow(next, now))
    }

    /// Takes a whole layout in, as after news that were missed. One that is no newer is refused.
    pub fn replace(&mut self, layout: Layout, now: f64) -> Result<Vec<ShardId>, Faulty> {
        let (held, told) = (self.newest.version(), layout.version());
        if told <= held {
            return Err(Faulty::Backwards { held, told });
        }
        self.all_new(&layout)?;
        Ok(self.follow(layout, now))
    }

    /// Refuses a number that is used again for other keys: old answers would count for them.
    fn all_new(&self, layout: &Layout) -> Result<(), Faulty> {
        let again =
            layout.shards().iter().find(|(id, shard)| self.keys(**id).is_some_and(|k| k != shard.keys));
        again.map_or(Ok(()), |(id, _)| Err(Faulty::Used { shard: *id }))
    }

    fn follow(&mut self, next: Layout, now: f64) -> Vec<ShardId> {
        let last = std::mem::replace(&mut self.newest, next);
        let missing = last.shards().iter().filter(|(id, _)| self.newest.shard(**id).is_none());
        let missing: Vec<(ShardId, Range)> = missing.map(|(id, shard)| (*id, shard.keys)).collect();
        for &(id, keys) in &missing {
            self.gone.insert(id, Gone { keys, at: now });
        }
        let parts = std::mem::take(&mut self.parts);
        self.old.insert(last.version(), Old { layout: last, parts, until: now });
        self.retire(now);
        missing.into_iter().map(|(id, _)| id).collect()
    }

    /// A part goes out by a version; false where nobody may send by that one any more.
    pub fn sent(&mut self, version: Version, now: f64) -> bool {
        if version == self.newest.version() {
            self.parts += 1;
            return true;
        }
        let grace = self.grace;
        match self.old.get_mut(&version).filter(|old| now < old.until + grace) {
            Some(old) => {
                old.parts += 1;
                true
            }
            None => false,
        }
    }

    /// A part that went out by a version is over.
    pub fn over(&mut self, version: Version, now: f64) {
        if version == self.newest.version() {
            self.parts = self.parts.saturating_sub(1);
        } else if let Some(old) = self.old.get_mut(&version) {
            old.parts = old.parts.saturating_sub(1);
            self.retire(now);
        }
    }

    /// Gives back versions by which nothing is open and nobody sends, and shards that only those knew.
    pub fn retire(&mut self, now: f64) {
        let grace = self.grace;
        self.old.retain(|_, old| old.parts > 0 || now < old.until + grace);
        let known: BTreeSet<ShardId> =
            self.old.values().flat_map(|old| old.layout.shards().keys().copied()).collect();
        self.gone.retain(|id, gone| known.contains(id) || now < gone.at + grace);
    }

    pub fn layout(&self, version: Version) -> Option<&Layout> {
        if version == self.newest.version() {
            return Some(&self.newest);
        }
        self.old.get(&version).map(|old| &old.layout)
    }

    /// The keys of a shard, of the newest version or one that still matters.
    pub fn keys(&self, shard: ShardId) -> Option<Range> {
        self.newest.shard(shard).map(|s| s.keys).or(self.gone.get(&shard).map(|g| g.keys))
    }

    /// Where the keys of a shard are now.
    pub fn now(&self, shard: ShardId) -> Now {
        if self.newest.shard(shard).is_some() {
            return Now::Same;
        }
        let Some(gone) = self.gone.get(&shard) else { return Now::Unknown };
        let into = self.newest.covering(gone.keys);
        Now::In(into.filter_map(|(id, s)| Some((id, s.keys.common(gone.keys)?))).collect())
    }

    /// Versions and shards that are kept beside the newest.
    pub fn kept(&self) -> (usize, usize) {
        (self.old.len(), self.gone.len())
    }
}
