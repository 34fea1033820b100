//! Versioned shard layouts that change while queries run. A shard is a range of keys and the replica groups that hold it;
//! a change splits, merges or moves shards and produces the next version. This crate determines which shards contain the
//! keys of a query, which replica groups hold them, which shards replaced a retired one, and which keys of a query have
//! been answered. It does no I/O and reads no clock: the caller passes the time. It chooses no data nodes either; that is
//! left to the routing policy, which only knows shard requests and holders.
//!
//! - `layout`: one validated version, and the changes that produce the next.
//! - `history`: the latest version, retired shards that are still referred to, and the data nodes excluded for a shard.
//! - `coverage`: which keys of a query are answered, each counted once, although answers may follow different versions.
//! - `split_requests`: shard requests that were split while attempts for them were in flight.
pub mod coverage;
pub mod history;
pub mod layout;
pub mod split_requests;

/// A key of the data set; keys are consecutive integers from 0.
pub type Key = u32;
/// The id of a shard. An id is never reused for a different range of keys.
pub type ShardId = u32;
/// The version number of a layout; a newer layout has a higher number.
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

    /// How many keys the range contains.
    pub fn len(&self) -> u64 {
        u64::from(self.to.saturating_sub(self.from))
    }

    pub fn contains(&self, other: KeyRange) -> bool {
        self.from <= other.from && other.to <= self.to
    }

    pub fn overlaps(&self, other: KeyRange) -> bool {
        self.from < other.to && other.from < self.to
    }

    /// The keys that both ranges contain, if there are any.
    pub fn intersection(&self, other: KeyRange) -> Option<KeyRange> {
        let both = KeyRange::new(self.from.max(other.from), self.to.min(other.to));
        (!both.is_empty()).then_some(both)
    }
}
