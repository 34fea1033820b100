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
pub enum News {
    Whole { version: Version, keys: Key, shards: Vec<(ShardId, Shard)> },
    Changes { version: Version, after: Version, changes: Vec<Change> },
}

struct Gone {
    keys: KeyRange,
    /// Since when it is gone, by the caller's clock.
    at: f64,
}

/// A data node that does not hold a shard by its own word.
struct Disowned {
    /// The version by which it said so.
    version: Version,
    /// When it is asked again, where that version is known here.
    until: f64,
}

pub struct History {
    newest: Layout,
    gone: BTreeMap<ShardId, Gone>,
    /// Parts open, by the shard that they were made for.
    open: BTreeMap<ShardId, usize>,
    disowned: BTreeMap<ShardId, BTreeMap<String, Disowned>>,
    /// Seconds for which a client may name a shard that is gone.
    grace: f64,
    /// Seconds that a data node which lags behind has to catch up.
    lag: f64,
}

/// What a new version has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Followed {
    pub gone: Vec<ShardId>,
    /// New shards, each with those whose keys it has now.
    pub new: Vec<(ShardId, Vec<ShardId>)>,
    /// Shards whose holders are others now, new ones among them, or that a node may be asked for again; and gone ones
    /// with parts open.
    pub held: Vec<ShardId>,
}

impl History {
    pub fn new(layout: Layout, grace: f64, lag: f64) -> Self {
        let (gone, open, disowned) = Default::default();
        History { newest: layout, gone, open, disowned, grace, lag }
    }

    /// From the first news, which must be whole.
    pub fn begin(news: News, grace: f64, lag: f64) -> Result<Self, LayoutError> {
        match news {
            News::Whole { version, keys, shards } => Ok(Self::new(whole(version, keys, shards)?, grace, lag)),
            News::Changes { after, .. } => Err(LayoutError::UnknownBase { base: after }),
        }
    }

    pub fn newest(&self) -> &Layout {
        &self.newest
    }

    /// Takes news in, or refuses them whole; then the old version holds. What is known already changes nothing.
    pub fn take(&mut self, news: News, now: f64) -> Result<Followed, LayoutError> {
        match news {
            News::Whole { version, .. } if version == self.newest.version() => Ok(Followed::default()),
            News::Whole { version, keys, shards } => self.replace(whole(version, keys, shards)?, now),
            News::Changes { after, .. } if after != self.newest.version() => {
                Err(LayoutError::UnknownBase { base: after })
            }
            News::Changes { version, changes, .. } => self.change(version, &changes, now),
        }
    }

    /// Takes a chain of changes in as the next version, or refuses it whole.
    pub fn change(
        &mut self,
        version: Version,
        changes: &[Change],
        now: f64,
    ) -> Result<Followed, LayoutError> {
        self.follow(self.newest.with_changes(version, changes)?, now)
    }

    /// Takes a whole layout in, as after news that were missed. One that is no newer is refused.
    pub fn replace(&mut self, layout: Layout, now: f64) -> Result<Followed, LayoutError> {
        let (current, received) = (self.newest.version(), layout.version());
        if received <= current {
            return Err(LayoutError::StaleVersion { current, received });
        }
        self.follow(layout, now)
    }

    fn follow(&mut self, next: Layout, now: f64) -> Result<Followed, LayoutError> {
        let diff = self.newest.diff(&next);
        // Guards against a number that is used again for other keys: old answers would count for them.
        let other = |id: &&ShardId| {
            self.keys(**id).is_some_and(|keys| next.shard(**id).is_some_and(|s| s.keys != keys))
        };
        if let Some(shard) = diff.added.iter().chain(&diff.changed).find(other) {
            return Err(LayoutError::ShardIdInUse { shard: *shard });
        }
        let last = std::mem::replace(&mut self.newest, next);
        for &id in &diff.removed {
            if let Some(shard) = last.shard(id) {
                self.gone.insert(id, Gone { keys: shard.keys, at: now });
            }
        }
        let parents = |id: ShardId| {
            let keys = self.newest.shard(id).map_or(KeyRange::new(0, 0), |s| s.keys);
            (id, last.overlapping(keys).map(|(parent, _)| parent).collect())
        };
        let new = diff.added.iter().map(|&id| parents(id)).collect();
        for id in &diff.added {
            self.gone.remove(id);
        }
        let version = self.newest.version();
        let back = self.forgive(|word| word.version <= version);
        let open = self.open.keys().filter(|id| self.gone.contains_key(id));
        let held: BTreeSet<ShardId> =
            diff.added.iter().chain(&diff.changed).chain(open).copied().chain(back).collect();
        Ok(Followed { gone: diff.removed, new, held: held.into_iter().collect() })
    }

    /// The keys of a shard, of the newest version or one that still matters.
    pub fn keys(&self, shard: ShardId) -> Option<KeyRange> {
        self.newest.shard(shard).map(|s| s.keys).or(self.gone.get(&shard).map(|g| g.keys))
    }

    pub fn is_gone(&self, shard: ShardId) -> bool {
        self.gone.contains_key(&shard)
    }

    /// The shards that cover a range now, each with the keys that they have in common.
    pub fn cover(&self, range: KeyRange) -> Vec<(ShardId, KeyRange)> {
        self.newest.overlapping(range).filter_map(|(id, s)| Some((id, s.keys.intersection(range)?))).collect()
    }

    /// The cells that hold every key of a shard now; for one that is gone, all of its successors.
    pub fn holders(&self, shard: ShardId) -> Vec<u32> {
        if let Some(shard) = self.newest.shard(shard) {
            return shard.holders.iter().copied().collect();
        }
        let Some(keys) = self.keys(shard) else { return vec![] };
        let mut covering = self.newest.overlapping(keys).map(|(_, s)| &s.holders);
        let first = covering.next().cloned().unwrap_or_default();
        covering.fold(first, |all, next| all.intersection(next).copied().collect()).into_iter().collect()
    }

    /// Whether the keys of a shard that is gone lie with other cells here and there: then more data nodes can be asked
    /// for pieces of it than for all.
    pub fn is_scattered(&self, shard: ShardId) -> bool {
        let Some(gone) = self.gone.get(&shard) else { return false };
        let mut covering = self.newest.overlapping(gone.keys).map(|(_, s)| &s.holders);
        let first = covering.next();
        covering.any(|holders| Some(holders) != first)
    }

    /// A part is made for a shard; `closed` gives it back.
    pub fn opened(&mut self, shard: ShardId) {
        *self.open.entry(shard).or_insert(0) += 1;
    }

    /// Shards with parts open.
    pub fn open(&self) -> impl Iterator<Item = ShardId> {
        self.open.keys().copied()
    }

    pub fn closed(&mut self, shard: ShardId) {
        if let Some(open) = self.open.get_mut(&shard) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&shard);
            }
        }
    }

    /// A data node says that by its version it does not hold a shard. True where that is news: it is asked no more
    /// for it until `lapse` says so, or a version at least as new as its own has come. Guards against asking the
    /// same node again and again while one side lags behind, and against two nodes that each name the other.
    pub fn disown(&mut self, shard: ShardId, node: &str, version: Version, now: f64) -> bool {
        let word = Disowned { version, until: now + self.lag };
        self.disowned.entry(shard).or_default().insert(node.into(), word).is_none()
    }

    /// Data nodes that are left out for a shard.
    pub fn disowned(&self, shard: ShardId) -> impl Iterator<Item = &str> {
        self.disowned.get(&shard).into_iter().flatten().map(|(node, _)| node.as_str())
    }

    /// Shards for which some data node that lagged behind may be asked again.
    pub fn lapse(&mut self, now: f64) -> Vec<ShardId> {
        // A node ahead of this side is waited for ten times as long: it may have dropped out of the news.
        let (version, lag) = (self.newest.version(), self.lag);
        self.forgive(|word| now >= word.until + if word.version > version { 9.0 * lag } else { 0.0 })
    }

    /// Drops words that are over, and says for which shards: whoever was told of them has to hear of that. Guards
    /// against a node that is left out for ever of a shard that a new version did not change.
    fn forgive(&mut self, over: impl Fn(&Disowned) -> bool) -> Vec<ShardId> {
        let mut back = vec![];
        self.disowned.retain(|shard, nodes| {
            let before = nodes.len();
            nodes.retain(|_, word| !over(word));
            if nodes.len() < before {
                back.push(*shard);
            }
            !nodes.is_empty()
        });
        back
    }

    /// Gives back shards that nothing is open for and that nobody names any more; returns them.
    pub fn retire(&mut self, now: f64) -> Vec<ShardId> {
        let (open, grace) = (&self.open, self.grace);
        let over = |(id, gone): &(&ShardId, &Gone)| !open.contains_key(id) && now >= gone.at + grace;
        let over: Vec<ShardId> = self.gone.iter().filter(over).map(|(id, _)| *id).collect();
        for id in &over {
            self.gone.remove(id);
            self.disowned.remove(id);
        }
        over
    }

    /// Gone shards that are kept, shards with parts open, and shards that some node disowns.
    pub fn kept(&self) -> (usize, usize, usize) {
        (self.gone.len(), self.open.len(), self.disowned.len())
    }
}

fn whole(version: Version, keys: Key, shards: Vec<(ShardId, Shard)>) -> Result<Layout, LayoutError> {
    let mut all = BTreeMap::new();
    for (id, shard) in shards {
        if all.insert(id, shard).is_some() {
            return Err(LayoutError::ShardIdInUse { shard: id });
        }
    }
    Layout::new(version, keys, all)
}
