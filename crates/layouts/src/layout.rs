//! One version of the layout, and the changes that make the next. A faulty layout or change is refused whole.
use crate::{Key, KeyRange, ShardId, Version};
use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// A shard: its keys, and the cells that hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    pub keys: KeyRange,
    pub holders: BTreeSet<u32>,
}

/// Shards that cover all keys from 0 to below `keys`, each key once. Versions share what is the same in them, so that
/// a change costs what it touches and not a copy of ten thousand shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    version: Version,
    keys: Key,
    shards: OrdMap<ShardId, Arc<Shard>>,
    /// Where each shard begins.
    starts: OrdMap<Key, ShardId>,
}

/// What one version has that another has not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LayoutDiff {
    pub removed: Vec<ShardId>,
    pub added: Vec<ShardId>,
    /// Other keys or other holders.
    pub changed: Vec<ShardId>,
}

/// What happens to shards; a chain of these makes one version.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// One shard becomes several, in the order of their keys: each new number with where it begins; holders stay.
    Split { parent: ShardId, children: Vec<(ShardId, Key)> },
    /// Neighbours become one, held by those that hold all of them.
    Merge { parents: Vec<ShardId>, child: ShardId },
    /// Other holders: those that are named have the data from here on.
    Move { shard: ShardId, holders: BTreeSet<u32> },
}

/// Why a layout or change is refused, in one line.
#[derive(Clone, Debug, PartialEq)]
pub enum LayoutError {
    Gap { at: Key },
    Overlap { shard: ShardId, at: Key },
    EmptyShard { shard: ShardId },
    NoHolder { shard: ShardId },
    UnknownShard { shard: ShardId },
    ShardIdInUse { shard: ShardId },
    NotAdjacent { shard: ShardId },
    OutOfBounds { shard: ShardId, at: Key },
    StaleVersion { current: Version, received: Version },
    TooFewShards,
    UnknownBase { base: Version },
}

impl fmt::Display for LayoutError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LayoutError::Gap { at } => write!(out, "no shard covers key {at}"),
            LayoutError::Overlap { shard, at } => write!(out, "shard {shard} covers key {at} beside another"),
            LayoutError::EmptyShard { shard } => write!(out, "shard {shard} covers no key"),
            LayoutError::NoHolder { shard } => write!(out, "shard {shard} has no holder"),
            LayoutError::UnknownShard { shard } => write!(out, "shard {shard} is not known"),
            LayoutError::ShardIdInUse { shard } => write!(out, "shard number {shard} is taken already"),
            LayoutError::NotAdjacent { shard } => {
                write!(out, "shard {shard} does not follow on the one before it")
            }
            LayoutError::OutOfBounds { shard, at } => {
                write!(out, "shard {shard} would begin at key {at}, not in order")
            }
            LayoutError::StaleVersion { current, received } => {
                write!(out, "version {received} does not follow version {current}")
            }
            LayoutError::TooFewShards => write!(out, "it names nothing"),
            LayoutError::UnknownBase { base } => write!(out, "it changes version {base}, which is not held"),
        }
    }
}

impl std::error::Error for LayoutError {}

impl Layout {
    /// A whole layout, once it has proved to cover every key once.
    pub fn new(version: Version, keys: Key, shards: BTreeMap<ShardId, Shard>) -> Result<Self, LayoutError> {
        let mut starts = OrdMap::new();
        for (&id, shard) in &shards {
            if shard.keys.is_empty() {
                return Err(LayoutError::EmptyShard { shard: id });
            }
            if shard.holders.is_empty() {
                return Err(LayoutError::NoHolder { shard: id });
            }
            if starts.insert(shard.keys.from, id).is_some() {
                return Err(LayoutError::Overlap { shard: id, at: shard.keys.from });
            }
        }
        let mut next = 0;
        for (&from, &id) in &starts {
            if from > next {
                return Err(LayoutError::Gap { at: next });
            }
            if from < next {
                return Err(LayoutError::Overlap { shard: id, at: from });
            }
            next = shards[&id].keys.to;
        }
        match next.cmp(&keys) {
            std::cmp::Ordering::Less => Err(LayoutError::Gap { at: next }),
            std::cmp::Ordering::Greater => {
                let last = starts.get_max().map(|last| last.1).unwrap_or_default();
                Err(LayoutError::OutOfBounds { shard: last, at: keys })
            }
            std::cmp::Ordering::Equal if shards.is_empty() => Err(LayoutError::TooFewShards),
            std::cmp::Ordering::Equal => {
                let shards = shards.into_iter().map(|(id, shard)| (id, Arc::new(shard))).collect();
                Ok(Layout { version, keys, shards, starts })
            }
        }
    }

    pub fn version(&self) -> Version {
        self.version
    }

    /// Keys are numbered from 0 to below this.
    pub fn key_count(&self) -> Key {
        self.keys
    }

    pub fn shards(&self) -> impl Iterator<Item = (ShardId, &Shard)> {
        self.shards.iter().map(|(id, shard)| (*id, &**shard))
    }

    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    pub fn shard(&self, id: ShardId) -> Option<&Shard> {
        self.shards.get(&id).map(|shard| &**shard)
    }

    /// What changes from this version to another; costs what differs.
    pub fn diff(&self, other: &Layout) -> LayoutDiff {
        let mut diff = LayoutDiff::default();
        for item in self.shards.diff(&other.shards) {
            match item {
                DiffItem::Add(id, _) => diff.added.push(*id),
                DiffItem::Remove(id, _) => diff.removed.push(*id),
                DiffItem::Update { old: (id, _), .. } => diff.changed.push(*id),
            }
        }
        diff
    }

    /// The shard of a key.
    pub fn shard_at(&self, key: Key) -> Option<ShardId> {
        self.overlapping(KeyRange::new(key, key.saturating_add(1))).next().map(|found| found.0)
    }

    /// The shards that cover a range, in the order of their keys.
    pub fn overlapping(&self, range: KeyRange) -> impl Iterator<Item = (ShardId, &Shard)> {
        let first = self.starts.get_prev(&range.from).map_or(range.from, |(&from, _)| from);
        let begun = self.starts.range(first..range.to.max(first));
        begun.map(|(_, &id)| (id, &*self.shards[&id])).filter(move |(_, s)| s.keys.overlaps(range))
    }

    /// The next version after a chain of changes; this one stays as it is.
    pub fn with_changes(&self, version: Version, changes: &[Change]) -> Result<Layout, LayoutError> {
        if version <= self.version {
            return Err(LayoutError::StaleVersion { current: self.version, received: version });
        }
        if changes.is_empty() {
            return Err(LayoutError::TooFewShards);
        }
        let mut next = Layout { version, ..self.clone() };
        for change in changes {
            next.apply(change)?;
        }
        Ok(next)
    }

    fn known(&self, id: ShardId) -> Result<&Shard, LayoutError> {
        self.shard(id).ok_or(LayoutError::UnknownShard { shard: id })
    }

    fn add(&mut self, id: ShardId, shard: Shard) -> Result<(), LayoutError> {
        self.starts.insert(shard.keys.from, id);
        match self.shards.insert(id, Arc::new(shard)) {
            None => Ok(()),
            Some(_) => Err(LayoutError::ShardIdInUse { shard: id }),
        }
    }

    fn remove(&mut self, id: ShardId) {
        if let Some(shard) = self.shards.remove(&id) {
            self.starts.remove(&shard.keys.from);
        }
    }

    /// Each change keeps every key covered once, so that only what it touches has to be looked at. After an error
    /// this is of no use any more.
    fn apply(&mut self, change: &Change) -> Result<(), LayoutError> {
        match change {
            Change::Split { parent, children } => {
                let old = self.known(*parent)?.clone();
                if children.len() < 2 {
                    return Err(LayoutError::TooFewShards);
                }
                self.starts.remove(&old.keys.from);
                let ends = children.iter().skip(1).map(|c| c.1).chain([old.keys.to]);
                let mut next = old.keys.from;
                for (&(id, from), to) in children.iter().zip(ends) {
                    if from != next {
                        return Err(LayoutError::OutOfBounds { shard: id, at: from });
                    }
                    if to <= from || to > old.keys.to {
                        return Err(LayoutError::OutOfBounds { shard: id, at: to });
                    }
                    self.add(id, Shard { keys: KeyRange::new(from, to), holders: old.holders.clone() })?;
                    next = to;
                }
                self.shards.remove(parent);
            }
            Change::Merge { parents, child } => {
                let (Some(&first), true) = (parents.first(), parents.len() > 1) else {
                    return Err(LayoutError::TooFewShards);
                };
                let mut merged = self.known(first)?.clone();
                for &parent in &parents[1..] {
                    let next = self.known(parent)?;
                    if next.keys.from != merged.keys.to {
                        return Err(LayoutError::NotAdjacent { shard: parent });
                    }
                    merged.keys.to = next.keys.to;
                    merged.holders = merged.holders.intersection(&next.holders).copied().collect();
                }
                if merged.holders.is_empty() {
                    return Err(LayoutError::NoHolder { shard: *child });
                }
                if self.shards.contains_key(child) {
                    return Err(LayoutError::ShardIdInUse { shard: *child });
                }
                parents.iter().for_each(|parent| self.remove(*parent));
                self.add(*child, merged)?;
            }
            Change::Move { shard, holders } => {
                let keys = self.known(*shard)?.keys;
                if holders.is_empty() {
                    return Err(LayoutError::NoHolder { shard: *shard });
                }
                self.shards.insert(*shard, Arc::new(Shard { keys, holders: holders.clone() }));
            }
        }
        Ok(())
    }
}
