//! The latest version of the layout that this router has received, and the retired shards, which the latest
//! version no longer contains but open shard requests or clients with an older layout still use. Retired
//! shards expire, so that memory does not grow with the number of versions. All times are in seconds on the
//! caller's monotonic clock.
//!
//! Shard requests are sent to the holders of a shard (the replica groups that store its keys) in the latest
//! version. A shard request that is open when its shard is retired keeps its keys and is sent to the replica
//! groups that hold all successors of the shard; if the successors have different holders, the caller should
//! split the request. A data node that responds that it does not hold a shard is excluded for that shard
//! (`exclude_node`) until this router's layout is at least as new as the node's layout, or until a grace
//! period in which the node can update its layout has passed.
use crate::layout::{Change, Layout, LayoutError, Shard};
use crate::{Key, KeyRange, ReplicaGroupId, ShardId, Version};
use std::collections::{BTreeMap, BTreeSet};

/// A layout update from the discovery service: a full layout, or the changes from version `base` to
/// `version`.
#[derive(Clone, Debug, PartialEq)]
pub enum LayoutUpdate {
    Full { version: Version, keys: Key, shards: Vec<(ShardId, Shard)> },
    Changes { version: Version, base: Version, changes: Vec<Change> },
}

struct RetiredShard {
    keys: KeyRange,
    /// When the shard was retired, in seconds on the caller's clock.
    retired_at: f64,
}

/// Excludes a data node that responded that it does not hold a shard.
struct Exclusion {
    /// The layout version of the data node at the time of its response.
    version: Version,
    /// When the node may be sent requests again, in seconds on the caller's clock. Applies if `version` is
    /// not newer than this router's layout; otherwise the exclusion ends nine grace periods later.
    retry_at: f64,
}

/// The latest layout, the retired shards that have not expired, and the data nodes excluded for each shard.
pub struct History {
    latest: Layout,
    retired: BTreeMap<ShardId, RetiredShard>,
    /// The number of open shard requests of each shard that has any.
    open_requests: BTreeMap<ShardId, usize>,
    exclusions: BTreeMap<ShardId, BTreeMap<String, Exclusion>>,
    /// How long, in seconds, clients may request a retired shard.
    retired_shard_grace_s: f64,
    /// How long, in seconds, a data node with an older layout is excluded, so that it can receive the newer
    /// layout.
    lagging_node_grace_s: f64,
}

/// The shards that an update affected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedUpdate {
    /// Shards that the new version no longer contains.
    pub retired: Vec<ShardId>,
    /// The new shards, each with the shards of the previous version that overlap the new shard.
    pub added: Vec<(ShardId, Vec<ShardId>)>,
    /// Shards for which the caller must look up the holders and the excluded nodes again: all new shards,
    /// shards with changed holders or excluded nodes, and all retired shards with open requests.
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

    /// Applies an update. After an error the current version stays in effect. A full layout with the current
    /// version number is ignored.
    pub fn apply(&mut self, update: LayoutUpdate, now: f64) -> Result<AppliedUpdate, LayoutError> {
        match update {
            LayoutUpdate::Full { version, .. } if version == self.latest.version() => {
                Ok(AppliedUpdate::default())
            }
            LayoutUpdate::Full { version, keys, shards } => {
                self.replace_layout(checked_layout(version, keys, shards)?, now)
            }
            LayoutUpdate::Changes { base, .. } if base != self.latest.version() => {
                Err(LayoutError::UnknownBase { base })
            }
            LayoutUpdate::Changes { version, changes, .. } => self.apply_changes(version, &changes, now),
        }
    }

    /// Applies changes in order to the current version; the result becomes version `version`. After an error
    /// the current version stays in effect.
    pub fn apply_changes(
        &mut self,
        version: Version,
        changes: &[Change],
        now: f64,
    ) -> Result<AppliedUpdate, LayoutError> {
        self.advance_to(self.latest.with_changes(version, changes)?, now)
    }

    /// Replaces the current version by a newer full layout, for example after updates were missed. After an
    /// error the current version stays in effect.
    pub fn replace_layout(&mut self, layout: Layout, now: f64) -> Result<AppliedUpdate, LayoutError> {
        let (current, received) = (self.latest.version(), layout.version());
        if received <= current {
            return Err(LayoutError::StaleVersion { current, received });
        }
        self.advance_to(layout, now)
    }

    fn advance_to(&mut self, next: Layout, now: f64) -> Result<AppliedUpdate, LayoutError> {
        let diff = self.latest.diff(&next);
        // Rejects an update that reuses the id of a known shard for other keys: an answer for the old keys
        // that arrives later would be counted for the new keys.
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

    /// The keys of a shard of the latest version, or of a retired shard that has not expired. `None` for
    /// other shards.
    pub fn keys(&self, shard: ShardId) -> Option<KeyRange> {
        self.latest.shard(shard).map(|s| s.keys).or(self.retired.get(&shard).map(|retired| retired.keys))
    }

    pub fn is_retired(&self, shard: ShardId) -> bool {
        self.retired.contains_key(&shard)
    }

    /// The shards of the latest version that overlap the range, each with the keys that are in both the shard
    /// and the range.
    pub fn overlapping(&self, range: KeyRange) -> Vec<(ShardId, KeyRange)> {
        self.latest.overlapping(range).filter_map(|(id, s)| Some((id, s.keys.intersection(range)?))).collect()
    }

    /// The replica groups that hold every key of the shard. For a retired shard, the replica groups that hold
    /// all of its successors.
    pub fn holders(&self, shard: ShardId) -> Vec<ReplicaGroupId> {
        if let Some(shard) = self.latest.shard(shard) {
            return shard.holders.iter().copied().collect();
        }
        let Some(keys) = self.keys(shard) else { return vec![] };
        let mut overlapping = self.latest.overlapping(keys).map(|(_, s)| &s.holders);
        let first = overlapping.next().cloned().unwrap_or_default();
        overlapping.fold(first, |all, next| all.intersection(next).copied().collect()).into_iter().collect()
    }

    /// Returns true if the successors of a retired shard do not all have the same holders. Requests for
    /// single successors can then be sent to more data nodes than one request for all keys of the shard.
    pub fn successors_have_different_holders(&self, shard: ShardId) -> bool {
        let Some(retired) = self.retired.get(&shard) else { return false };
        let mut overlapping = self.latest.overlapping(retired.keys).map(|(_, s)| &s.holders);
        let first = overlapping.next();
        overlapping.any(|holders| Some(holders) != first)
    }

    /// Counts one more open request of the shard until `request_closed` is called. A retired shard with open
    /// requests does not expire.
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

    /// Excludes the data node for the shard, after the node responded that it does not hold the shard in its
    /// layout version `node_version`. Returns true if the node was not excluded for the shard before. The
    /// exclusion ends in `expire_exclusions`, or when this router applies version `node_version` or a newer
    /// one. Without exclusions, requests would be sent repeatedly to the same node, or alternately to two
    /// nodes, while the node or this router has an older layout.
    pub fn exclude_node(&mut self, shard: ShardId, node: &str, node_version: Version, now: f64) -> bool {
        let exclusion = Exclusion { version: node_version, retry_at: now + self.lagging_node_grace_s };
        self.exclusions.entry(shard).or_default().insert(node.into(), exclusion).is_none()
    }

    /// The data nodes that must not be sent requests for the shard.
    pub fn excluded_nodes(&self, shard: ShardId) -> impl Iterator<Item = &str> {
        self.exclusions.get(&shard).into_iter().flatten().map(|(node, _)| node.as_str())
    }

    /// Removes the exclusions that have expired at time `now`, and returns the shards that these exclusions
    /// applied to. `now` is in seconds on the caller's clock.
    pub fn expire_exclusions(&mut self, now: f64) -> Vec<ShardId> {
        // A node with a newer layout stays excluded ten times as long, because its exclusion normally ends
        // when this router receives that layout. The time is limited because this router may never receive
        // it.
        let (version, grace) = (self.latest.version(), self.lagging_node_grace_s);
        self.drop_exclusions(|exclusion| {
            now >= exclusion.retry_at + if exclusion.version > version { 9.0 * grace } else { 0.0 }
        })
    }

    /// Removes the exclusions for which `is_over` returns true. Returns the shards that these exclusions
    /// applied to, so that the caller looks up the excluded nodes again even if no update changes these
    /// shards.
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

    /// Removes and returns the retired shards that have no open requests and were retired at least the grace
    /// period before `now`.
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

    /// Three counts of shards: retired shards (no longer in the current layout), shards with open requests,
    /// and shards with excluded data nodes.
    pub fn retired_open_excluded_counts(&self) -> (usize, usize, usize) {
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
