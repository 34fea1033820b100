//! The newest version, and what still matters of older ones: shards that are gone but for which parts are open, or which
//! a client that has not heard yet may name. What no longer matters is given back, so that years of weekly changes do
//! not grow memory.
//!
//! Nobody sends by an old version. A part that is open while its shard goes keeps its keys, and goes on to whoever holds
//! all of them now; where its keys lie with other cells here and there, it is better divided. A data node that says that it does not hold a shard
//! (`disown`) is left out for it until this side knows what the node knows, or the node has had time to catch up.
use crate::layout::{Change, Layout, LayoutError, Shard};
use crate::{Key, KeyRange, ShardId, Version};
use std::collections::{BTreeMap, BTreeSet};

/// News of the layout: the whole of it, or changes to a version that is held.
#[derive(Clone, Debug, PartialEq)]
pub enum LayoutUpdate {
    Full { version: Version, keys: Key, shards: Vec<(ShardId, Shard)> },
    Changes { version: Version, base: Version, changes: Vec<Change> },
}

struct RetiredShard {
    keys: KeyRange,
    /// Since when it is gone, by the caller's clock.
    retired_at: f64,
}

/// A data node that does not hold a shard by its own word.
struct Exclusion {
    /// The version by which it said so.
    version: Version,
    /// When it is asked again, where that version is known here.
    retry_at: f64,
}

pub struct History {
    latest: Layout,
    retired: BTreeMap<ShardId, RetiredShard>,
    /// Parts open, by the shard that they were made for.
    open_requests: BTreeMap<ShardId, usize>,
    exclusions: BTreeMap<ShardId, BTreeMap<String, Exclusion>>,
    /// Seconds for which a client may name a shard that is gone.
    retired_shard_grace_s: f64,
    /// Seconds that a data node which lags behind has to catch up.
    lagging_node_grace_s: f64,
}

/// What a new version has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedUpdate {
    pub retired: Vec<ShardId>,
    /// New shards, each with those whose keys it has now.
    pub added: Vec<(ShardId, Vec<ShardId>)>,
    /// Shards whose holders are others now, new ones among them, or that a node may be asked for again; and gone ones
    /// with parts open.
    pub changed_holders: Vec<ShardId>,
}

impl History {
    pub fn new(layout: Layout, retired_shard_grace_s: f64, lagging_node_grace_s: f64) -> Self {
        let (retired, open_requests, exclusions) = Default::default();
        History {
            latest: layout,
            retired,
            open_requests,
            exclusions,
            retired_shard_grace_s,
            lagging_node_grace_s,
        }
    }

    /// From the first news, which must be whole.
    pub fn from_update(
        update: LayoutUpdate,
        retired_shard_grace_s: f64,
        lagging_node_grace_s: f64,
    ) -> Result<Self, LayoutError> {
        match update {
            LayoutUpdate::Full { version, keys, shards } => Ok(Self::new(
                checked_layout(version, keys, shards)?,
                retired_shard_grace_s,
                lagging_node_grace_s,
            )),
            LayoutUpdate::Changes { base, .. } => Err(LayoutError::UnknownBase { base }),
        }
    }

    pub fn latest(&self) -> &Layout {
        &self.latest
    }

    /// Takes news in, or refuses them whole; then the old version holds. What is known already changes nothing.
    pub fn apply(&mut self, update: LayoutUpdate, now: f64) -> Result<AppliedUpdate, LayoutError> {
        match update {
            LayoutUpdate::Full { version, .. } if version == self.latest.version() => {
                Ok(AppliedUpdate::default())
            }
            LayoutUpdate::Full { version, keys, shards } => {
                self.replace(checked_layout(version, keys, shards)?, now)
            }
            LayoutUpdate::Changes { base, .. } if base != self.latest.version() => {
                Err(LayoutError::UnknownBase { base })
            }
            LayoutUpdate::Changes { version, changes, .. } => self.apply_changes(version, &changes, now),
        }
    }

    /// Takes a chain of changes in as the next version, or refuses it whole.
    pub fn apply_changes(
        &mut self,
        version: Version,
        changes: &[Change],
        now: f64,
    ) -> Result<AppliedUpdate, LayoutError> {
        self.advance_to(self.latest.with_changes(version, changes)?, now)
    }

    /// Takes a whole layout in, as after news that were missed. One that is no newer is refused.
    pub fn replace(&mut self, layout: Layout, now: f64) -> Result<AppliedUpdate, LayoutError> {
        let (current, received) = (self.latest.version(), layout.version());
        if received <= current {
            return Err(LayoutError::StaleVersion { current, received });
        }
        self.advance_to(layout, now)
    }

    fn advance_to(&mut self, next: Layout, now: f64) -> Result<AppliedUpdate, LayoutError> {
        let diff = self.latest.diff(&next);
        // Guards against a number that is used again for other keys: old answers would count for them.
        let has_other_keys = |id: &&ShardId| {
            self.keys(**id).is_some_and(|keys| next.shard(**id).is_some_and(|s| s.keys != keys))
        };
        if let Some(shard) = diff.added.iter().chain(&diff.changed).find(has_other_keys) {
            return Err(LayoutError::ShardIdInUse { shard: *shard });
        }
        let previous = std::mem::replace(&mut self.latest, next);
        for &id in &diff.removed {
            if let Some(shard) = previous.shard(id) {
                self.retired.insert(id, RetiredShard { keys: shard.keys, retired_at: now });
            }
        }
        let parents = |id: ShardId| {
            let keys = self.latest.shard(id).map_or(KeyRange::new(0, 0), |s| s.keys);
            (id, previous.overlapping(keys).map(|(parent, _)| parent).collect())
        };
        let added = diff.added.iter().map(|&id| parents(id)).collect();
        for id in &diff.added {
            self.retired.remove(id);
        }
        let version = self.latest.version();
        let readmitted = self.drop_exclusions(|exclusion| exclusion.version <= version);
        let open = self.open_requests.keys().filter(|id| self.retired.contains_key(id));
        let changed_holders: BTreeSet<ShardId> =
            diff.added.iter().chain(&diff.changed).chain(open).copied().chain(readmitted).collect();
        Ok(AppliedUpdate {
            retired: diff.removed,
            added,
            changed_holders: changed_holders.into_iter().collect(),
        })
    }

    /// The keys of a shard, of the newest version or one that still matters.
    pub fn keys(&self, shard: ShardId) -> Option<KeyRange> {
        self.latest.shard(shard).map(|s| s.keys).or(self.retired.get(&shard).map(|g| g.keys))
    }

    pub fn is_retired(&self, shard: ShardId) -> bool {
        self.retired.contains_key(&shard)
    }

    /// The shards that cover a range now, each with the keys that they have in common.
    pub fn overlapping(&self, range: KeyRange) -> Vec<(ShardId, KeyRange)> {
        self.latest.overlapping(range).filter_map(|(id, s)| Some((id, s.keys.intersection(range)?))).collect()
    }

    /// The cells that hold every key of a shard now; for one that is gone, all of its successors.
    pub fn holders(&self, shard: ShardId) -> Vec<u32> {
        if let Some(shard) = self.latest.shard(shard) {
            return shard.holders.iter().copied().collect();
        }
        let Some(keys) = self.keys(shard) else { return vec![] };
        let mut overlapping = self.latest.overlapping(keys).map(|(_, s)| &s.holders);
        let first = overlapping.next().cloned().unwrap_or_default();
        overlapping.fold(first, |all, next| all.intersection(next).copied().collect()).into_iter().collect()
    }

    /// Whether the keys of a shard that is gone lie with other cells here and there: then more data nodes can be asked
    /// for pieces of it than for all.
    pub fn has_mixed_holders(&self, shard: ShardId) -> bool {
        let Some(retired) = self.retired.get(&shard) else { return false };
        let mut overlapping = self.latest.overlapping(retired.keys).map(|(_, s)| &s.holders);
        let first = overlapping.next();
        overlapping.any(|holders| Some(holders) != first)
    }

    /// A part is made for a shard; `closed` gives it back.
    pub fn request_opened(&mut self, shard: ShardId) {
        *self.open_requests.entry(shard).or_insert(0) += 1;
    }

    /// Shards with parts open.
    pub fn shards_with_open_requests(&self) -> impl Iterator<Item = ShardId> {
        self.open_requests.keys().copied()
    }

    pub fn request_closed(&mut self, shard: ShardId) {
        if let Some(open) = self.open_requests.get_mut(&shard) {
            *open -= 1;
            if *open == 0 {
                self.open_requests.remove(&shard);
            }
        }
    }

    /// A data node says that by its version it does not hold a shard. True where that is news: it is asked no more
    /// for it until `lapse` says so, or a version at least as new as its own has come. Guards against asking the
    /// same node again and again while one side lags behind, and against two nodes that each name the other.
    pub fn exclude_node(&mut self, shard: ShardId, node: &str, version: Version, now: f64) -> bool {
        let exclusion = Exclusion { version, retry_at: now + self.lagging_node_grace_s };
        self.exclusions.entry(shard).or_default().insert(node.into(), exclusion).is_none()
    }

    /// Data nodes that are left out for a shard.
    pub fn excluded_nodes(&self, shard: ShardId) -> impl Iterator<Item = &str> {
        self.exclusions.get(&shard).into_iter().flatten().map(|(node, _)| node.as_str())
    }

    /// Shards for which some data node that lagged behind may be asked again.
    pub fn expire_exclusions(&mut self, now: f64) -> Vec<ShardId> {
        // A node ahead of this side is waited for ten times as long: it may have dropped out of the news.
        let (version, grace) = (self.latest.version(), self.lagging_node_grace_s);
        self.drop_exclusions(|exclusion| {
            now >= exclusion.retry_at + if exclusion.version > version { 9.0 * grace } else { 0.0 }
        })
    }

    /// Drops words that are over, and says for which shards: whoever was told of them has to hear of that. Guards
    /// against a node that is left out for ever of a shard that a new version did not change.
    fn drop_exclusions(&mut self, is_over: impl Fn(&Exclusion) -> bool) -> Vec<ShardId> {
        let mut readmitted = vec![];
        self.exclusions.retain(|shard, nodes| {
            let before = nodes.len();
            nodes.retain(|_, exclusion| !is_over(exclusion));
            if nodes.len() < before {
                readmitted.push(*shard);
            }
            !nodes.is_empty()
        });
        readmitted
    }

    /// Gives back shards that nothing is open for and that nobody names any more; returns them.
    pub fn expire_retired(&mut self, now: f64) -> Vec<ShardId> {
        let (open, grace) = (&self.open_requests, self.retired_shard_grace_s);
        let is_expired = |(id, shard): &(&ShardId, &RetiredShard)| {
            !open.contains_key(id) && now >= shard.retired_at + grace
        };
        let expired: Vec<ShardId> = self.retired.iter().filter(is_expired).map(|(id, _)| *id).collect();
        for id in &expired {
            self.retired.remove(id);
            self.exclusions.remove(id);
        }
        expired
    }

    /// Gone shards that are kept, shards with parts open, and shards that some node disowns.
    pub fn tracked_counts(&self) -> (usize, usize, usize) {
        (self.retired.len(), self.open_requests.len(), self.exclusions.len())
    }
}

fn checked_layout(version: Version, keys: Key, shards: Vec<(ShardId, Shard)>) -> Result<Layout, LayoutError> {
    let mut all = BTreeMap::new();
    for (id, shard) in shards {
        if all.insert(id, shard).is_some() {
            return Err(LayoutError::ShardIdInUse { shard: id });
        }
    }
    Layout::new(version, keys, all)
}
