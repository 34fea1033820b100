//! One version of the layout, and the changes that produce the next version. If any shard of a layout or any
//! change of a list of changes is invalid, the whole layout or list is rejected.
use crate::{Key, KeyRange, ReplicaGroupId, ShardId, Version};
use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// The keys of a shard, and its holders: the replica groups that store these keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    pub keys: KeyRange,
    pub holders: BTreeSet<ReplicaGroupId>,
}

/// Shards that together contain each key from 0 up to but excluding `key_count` exactly once. Layouts may
/// have 10,000 shards; versions share the shards that they have in common, so that a change copies only the
/// shards that it affects.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    version: Version,
    keys: Key,
    shards: OrdMap<ShardId, Arc<Shard>>,
    /// The id of each shard, by the first key of the shard.
    starts: OrdMap<Key, ShardId>,
}

/// The differences between the shards of two versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LayoutDiff {
    /// Shards of the first version only.
    pub removed: Vec<ShardId>,
    /// Shards of the second version only.
    pub added: Vec<ShardId>,
    /// Shards that both versions contain, with different keys or holders.
    pub changed: Vec<ShardId>,
}

/// A change of the layout. The next version is the result of applying one or more changes in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Replaces the shard `parent` by at least two shards with the same holders: `children` has the new id
    /// and the first key of each, in ascending order of keys.
    Split { parent: ShardId, children: Vec<(ShardId, Key)> },
    /// Replaces the adjacent shards `parents`, in ascending order of keys, by the shard `child`. The holders
    /// of `child` are the replica groups that hold every parent.
    Merge { parents: Vec<ShardId>, child: ShardId },
    /// Replaces the holders of a shard. The new holders store the keys of the shard from this version on.
    Move { shard: ShardId, holders: BTreeSet<ReplicaGroupId> },
}

/// Why a layout or a change is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum LayoutError {
    /// No shard contains the key.
    Gap {
        at: Key,
    },
    /// The first key of the shard belongs to another shard, too.
    Overlap {
        shard: ShardId,
        at: Key,
    },
    EmptyShard {
        shard: ShardId,
    },
    NoHolder {
        shard: ShardId,
    },
    /// The layout that the change applies to does not contain the shard.
    UnknownShard {
        shard: ShardId,
    },
    /// The id belongs to another shard, or to a retired shard with other keys.
    ShardIdInUse {
        shard: ShardId,
    },
    /// The shards to merge are not adjacent: this shard does not begin where the preceding shard of the list
    /// ends.
    NotAdjacent {
        shard: ShardId,
    },
    /// A boundary of the shard is out of order, or outside of its parent or of the key space.
    OutOfBounds {
        shard: ShardId,
        at: Key,
    },
    /// The received version is not newer than the current one.
    StaleVersion {
        current: Version,
        received: Version,
    },
    /// A layout without shards, an empty list of changes, or a split or merge of fewer than two shards.
    TooFewShards,
    /// The changes are based on version `base`, which is not the current version.
    UnknownBase {
        base: Version,
    },
}

impl fmt::Display for LayoutError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LayoutError::Gap { at } => write!(out, "no shard covers key {at}"),
            LayoutError::Overlap { shard, at } => {
                write!(out, "key {at} of shard {shard} belongs to another shard too")
            }
            LayoutError::EmptyShard { shard } => write!(out, "shard {shard} has no keys"),
            LayoutError::NoHolder { shard } => write!(out, "shard {shard} has no holder"),
            LayoutError::UnknownShard { shard } => write!(out, "shard {shard} does not exist"),
            LayoutError::ShardIdInUse { shard } => write!(out, "shard id {shard} is already in use"),
            LayoutError::NotAdjacent { shard } => {
                write!(out, "shard {shard} is not adjacent to the shard before it")
            }
            LayoutError::OutOfBounds { shard, at } => {
                write!(out, "shard {shard} has a boundary at key {at}, which is out of order or out of range")
            }
            LayoutError::StaleVersion { current, received } => {
                write!(out, "version {received} is not newer than version {current}")
            }
            LayoutError::TooFewShards => write!(out, "too few shards or changes"),
            LayoutError::UnknownBase { base } => {
                write!(out, "changes apply to version {base}, which is not the current version")
            }
        }
    }
}

impl std::error::Error for LayoutError {}

impl Layout {
    /// Creates a layout, if its shards contain each key from 0 up to but excluding
    /// `keys` exactly once.
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

    /// The number of keys in the layout: it contains each key from 0 up to but excluding this number.
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

    /// The differences from this layout to `other`. The cost is proportional to the number of differences,
    /// not of shards.
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

    /// The id of the shard that contains the key. `None` if the key is outside of the layout.
    pub fn shard_at(&self, key: Key) -> Option<ShardId> {
        self.overlapping(KeyRange::new(key, key.saturating_add(1))).next().map(|found| found.0)
    }

    /// The shards that overlap the range, in ascending order of keys.
    pub fn overlapping(&self, range: KeyRange) -> impl Iterator<Item = (ShardId, &Shard)> {
        let first = self.starts.get_prev(&range.from).map_or(range.from, |(&from, _)| from);
        let from_first = self.starts.range(first..range.to.max(first));
        from_first.map(|(_, &id)| (id, &*self.shards[&id])).filter(move |(_, s)| s.keys.overlaps(range))
    }

    /// Returns the layout that results from applying the changes in order. `self` is left unchanged.
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

    fn existing_shard(&self, id: ShardId) -> Result<&Shard, LayoutError> {
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

    /// Applies one change. Only the affected shards are checked: a valid change leaves every key in exactly
    /// one shard. After an error the layout is inconsistent and must be discarded.
    fn apply(&mut self, change: &Change) -> Result<(), LayoutError> {
        match change {
            Change::Split { parent, children } => {
                let old = self.existing_shard(*parent)?.clone();
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
                let mut merged = self.existing_shard(first)?.clone();
                for &parent in &parents[1..] {
                    let next = self.existing_shard(parent)?;
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
                let keys = self.existing_shard(*shard)?.keys;
                if holders.is_empty() {
                    return Err(LayoutError::NoHolder { shard: *shard });
                }
                self.shards.insert(*shard, Arc::new(Shard { keys, holders: holders.clone() }));
            }
        }
        Ok(())
    }
}
