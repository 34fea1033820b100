//! Layouts of shards that change while queries run. A shard is a range of keys with its holders; a change splits,
//! merges or moves shards and makes the next version. This package says which shards cover a query's keys at a version,
//! who holds them, what became of an old shard, and which keys of a query are answered. It is free of I/O and clocks:
//! times are passed in. It never sends anything, and it decides nothing about data nodes: mapping stands beside the
//! decision module, which knows only holders and parts.
//!
//! - `layout`: one version, checked whole; changes that make the next.
//! - `history`: the newest version, what still matters of older ones, and data nodes that disown a shard.
//! - `coverage`: which keys of a query are in, by answers of whatever versions; no key twice, none forgotten.
//! - `split_requests`: parts divided while leaf calls for them are out.
pub mod coverage;
pub mod history;
pub mod layout;
pub mod split_requests;

/// A key of a park block.
pub type Key = u32;
/// A shard's number; never used again for other keys.
pub type ShardId = u32;
pub type Version = u64;

/// Keys from one to below another.
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

    pub fn len(&self) -> u64 {
        u64::from(self.to.saturating_sub(self.from))
    }

    pub fn contains(&self, other: KeyRange) -> bool {
        self.from <= other.from && other.to <= self.to
    }

    pub fn overlaps(&self, other: KeyRange) -> bool {
        self.from < other.to && other.from < self.to
    }

    /// The keys of both.
    pub fn intersection(&self, other: KeyRange) -> Option<KeyRange> {
        let both = KeyRange::new(self.from.max(other.from), self.to.min(other.to));
        (!both.is_empty()).then_some(both)
    }
}
