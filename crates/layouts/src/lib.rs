//! Versioned shard layouts that change while queries run. A shard is a range of keys; its holders are the
//! replica groups of data nodes that store these keys. A change splits, merges or moves shards and produces
//! the next version of the layout. A shard of an earlier version that the latest version does not contain is
//! retired; its successors are the shards of the latest version that contain its keys.
//!
//! This crate finds the shards that contain the keys of a query, the holders of each shard, the successors of
//! a retired shard, and the keys of a query that have been answered. The crate does no I/O and reads no
//! clock: the caller passes the time in seconds on a monotonic clock. The routing policy, not this crate,
//! chooses the data node of each shard request.
//!
//! - `layout`: one validated version, and the changes that produce the next.
//! - `history`: the latest version, the retired shards that open requests or clients still use, and the data
//!   nodes that are excluded for a shard.
//! - `coverage`: the answered keys of one query, each counted once although answers may be for shards of
//!   different versions.
//! - `split_requests`: shard requests that are split while attempts for them are in flight.
pub mod coverage;
pub mod history;
pub mod layout;
pub mod split_requests;

/// A key of the data set. Keys are consecutive integers from 0.
pub type Key = u32;
/// The id of a shard. An id is never reused for a different range of keys.
pub type ShardId = u32;
/// The number of a replica group: the data nodes that store copies of the same shards.
pub type ReplicaGroupId = u32;
/// The version number of a layout. A newer layout has a higher number.
pub type Version = u64;

/// The keys from `from` up to but excluding `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyRange {
    pub from: Key,
    pub to: Key,
}

impl KeyRange {
    pub fn new(from: Key, to: Key) -> Self {
        KeyRange { from, to }
    }

    pub fn is_empty(&self) -> bool {
        self.from >= self.to
    }

    /// The number of keys in the range.
    pub fn len(&self) -> u64 {
        u64::from(self.to.saturating_sub(self.from))
    }

    pub fn contains(&self, other: KeyRange) -> bool {
        self.from <= other.from && other.to <= self.to
    }

    pub fn overlaps(&self, other: KeyRange) -> bool {
        self.from < other.to && other.from < self.to
    }

    /// The range of keys that both ranges contain. `None` if the ranges do not overlap.
    pub fn intersection(&self, other: KeyRange) -> Option<KeyRange> {
        let both = KeyRange::new(self.from.max(other.from), self.to.min(other.to));
        (!both.is_empty()).then_some(both)
    }
}
