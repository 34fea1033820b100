//! The latest version of the layout, and the retired shards that are still referred to: by open shard requests, or by
//! clients that have not learned of the new version yet. Retired shards expire, so that memory does not grow with the
//! number of versions.
//!
//! Requests are always sent by the latest version. A shard request that is open when its shard is retired keeps its keys
//! and is sent to the replica groups that hold all of them now; if its keys are held by different replica groups, the
//! caller should split it. A data node that reports that it does not hold a shard is excluded for that shard
//! (`exclude_node`) until the layout here is as new as the node's, or until the node has had time to catch up.
use crate::layout::{Change, Layout, LayoutError, Shard};
use crate::{Key, KeyRange, ShardId, Version};
use std::collections::{BTreeMap, BTreeSet};

/// An update from discovery: a full layout, or the changes from version `base` to `version`.
#[derive(Clone, Debug, PartialEq)]
pub enum LayoutUpdate {
    Full { version: Version, keys: Key, shards: Vec<(ShardId, Shard)> },
    Changes { version: Version, base: Version, changes: Vec<Change> },
}

struct RetiredShard {
    keys: KeyRange,
    /// In seconds of the caller's clock.
    retired_at: f64,
}

/// A data node that reported that it does not hold a shard.
struct Exclusion {
    /// The version of the layout that the node reported it by.
    version: Version,
    /// When the node may be asked again if that version is not newer than the latest here, in seconds.
    retry_at: f64,
}

/// The latest layout, retired shards that are still referred to, and the data nodes excluded for each shard.
pub struct History {
    latest: Layout,
    retired: BTreeMap<ShardId, RetiredShard>,
    /// How many shard requests are open for each shard.
    open_requests: BTreeMap<ShardId, usize>,
    exclusions: BTreeMap<ShardId, BTreeMap<String, Exclusion>>,
    /// How long clients may refer to a retired shard.
    retired_shard_grace_s: f64,
    /// How long a data node with an older layout is given to catch up.
    lagging_node_grace_s: f64,
}

/// What a new version changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedUpdate {
    pub retired: Vec<ShardId>,
    /// New shards, each with the shards of the previous version that it overlaps.
    pub added: Vec<(ShardId, Vec<ShardId>)>,
    /// Shards whose holders or excluded nodes changed, including all new shards, and retired shards with open requests.
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

    /// Creates a history from the first update, which must be a full layout.
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

    /// Applies an update. After an error the current version stays in effect. A full layout of the current version
    /// changes nothing.
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

    /// Applies changes, in order, as the next version. After an error the current version stays in effect.
    pub fn apply_changes(
        &mut self,
        version: Version,
        changes: &[Change],
        now: f64,
    ) -> Result<AppliedUpdate, LayoutError> {
        self.advance_to(self.latest.with_changes(version, changes)?, now)
    }

    /// Replaces the layout by a newer one, as after missed updates.
    pub fn replace(&mut self, layout: Layout, now: f64) -> Result<AppliedUpdate, LayoutError> {
        let (current, received) = (self.latest.version(), layout.version());
        if received <= current {
            return Err(LayoutError::StaleVersion { current, received });
        }
        self.advance_to(layout, now)
    }

    fn advance_to(&mut self, next: Layout, now: f64) -> Result<AppliedUpdate, LayoutError> {
        let diff = self.latest.diff(&next);
        // Rejects a shard id that is reused for other keys: late answers for the old keys would count for the new ones.
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

    /// The keys of a shard of the latest version, or of a retired one that has not expired.
    pub fn keys(&self, shard: ShardId) -> Option<KeyRange> {
        self.latest.shard(shard).map(|s| s.keys).or(self.retired.get(&shard).map(|retired| retired.keys))
    }

    pub fn is_retired(&self, shard: ShardId) -> bool {
        self.retired.contains_key(&shard)
    }

    /// The shards of the latest version that overlap a range, each with the keys that both contain.
    pub fn overlapping(&self, range: KeyRange) -> Vec<(ShardId, KeyRange)> {
        self.latest.overlapping(range).filter_map(|(id, s)| Some((id, s.keys.intersection(range)?))).collect()
    }

    /// The replica groups that hold every key of a shard; for a retired shard, those that hold all of its successors.
    pub fn holders(&self, shard: ShardId) -> Vec<u32> {
        if let Some(shard) = self.latest.shard(shard) {
            return shard.holders.iter().copied().collect();
        }
        let Some(keys) = self.keys(shard) else { return vec![] };
        let mut overlapping = self.latest.overlapping(keys).map(|(_, s)| &s.holders);
        let first = overlapping.next().cloned().unwrap_or_default();
        overlapping.fold(first, |all, next| all.intersection(next).copied().collect()).into_iter().collect()
    }

    /// Whether the successors of a retired shard have different holders. More data nodes can then serve the successors
    /// one by one than the whole range.
    pub fn has_mixed_holders(&self, shard: ShardId) -> bool {
        let Some(retired) = self.retired.get(&shard) else { return false };
        let mut overlapping = self.latest.overlapping(retired.keys).map(|(_, s)| &s.holders);
        let first = overlapping.next();
        overlapping.any(|holders| Some(holders) != first)
    }

    /// Counts a shard request as open, until `request_closed`. A shard with open requests does not expire.
    pub fn request_opened(&mut self, shard: ShardId) {
        *self.open_requests.entry(shard).or_insert(0) += 1;
    }

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

    /// Excludes a data node which reported that it does not hold a shard by `version` of the layout. Returns whether the
    /// node was not excluded for the shard before. The exclusion ends with `expire_exclusions`, or once a version at least
    /// as new as the node's is applied. Guards against sending to the same node repeatedly while one side has an older
    /// layout, and against two nodes that each refer to the other.
    pub fn exclude_node(&mut self, shard: ShardId, node: &str, version: Version, now: f64) -> bool {
        let exclusion = Exclusion { version, retry_at: now + self.lagging_node_grace_s };
        self.exclusions.entry(shard).or_default().insert(node.into(), exclusion).is_none()
    }

    /// The data nodes that must not be asked for a shard.
    pub fn excluded_nodes(&self, shard: ShardId) -> impl Iterator<Item = &str> {
        self.exclusions.get(&shard).into_iter().flatten().map(|(node, _)| node.as_str())
    }

    /// Ends the exclusions that have expired, and returns their shards.
    pub fn expire_exclusions(&mut self, now: f64) -> Vec<ShardId> {
        // A node with a newer layout stays excluded ten times as long, as this side should catch up with it. The time is
        // limited because that version may never arrive here.
        let (version, grace) = (self.latest.version(), self.lagging_node_grace_s);
        self.drop_exclusions(|exclusion| {
            now >= exclusion.retry_at + if exclusion.version > version { 9.0 * grace } else { 0.0 }
        })
    }

    /// Removes the exclusions for which `is_over` holds, and returns their shards, so that the caller can update the holders
    /// it uses for them. Guards against a node that stays excluded for a shard that no new version changes.
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

    /// Removes and returns the retired shards that have no open request and whose grace period has passed.
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

    /// The numbers of retired shards, shards with open requests, and shards with excluded nodes.
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
