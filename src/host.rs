//! The interface between the decision module and whatever hosts it: what comes in, what goes out, and
//! the plain trade types that both sides speak. Times are seconds; ids are kept as they came.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// What a second run of a part would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Repeatable,
    /// Repeats are dropped for so long after the first call that may have run.
    Deduplicated {
        window: f64,
    },
    SideEffecting,
}

/// One sort of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Vertical {
    pub slo: f64,
    pub deadline: f64,
    pub effect: Effect,
    pub utility: f64,
    /// Share of the utility left when the answer comes after the SLO time.
    pub late_share: f64,
    /// Share of the parts' weight that makes a whole answer.
    pub need: f64,
    /// Least share of the weight that may be answered.
    pub floor: f64,
    /// Parts of a second step; 0 where there is one step only.
    pub fetch: usize,
}

/// A customer and what it may ask of one query router within its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub name: String,
    pub quota: f64,
}

/// Where shards lie: shard s is held by the cells (s + j) mod `cells`, j below `reach`; or, where shards change while
/// queries run, by those that are listed for it.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    pub cells: u32,
    pub reach: u32,
    /// Most parts in one call, and the work that a call costs beside its parts.
    pub bundle: usize,
    pub call_work: f64,
    pub listed: Option<BTreeMap<u32, Held>>,
}

/// Who holds a shard: all nodes of these cells, without those that have said that they do not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    pub cells: Vec<u32>,
    pub without: BTreeSet<String>,
}

impl Placement {
    /// How many cells a cell lies past the first one of a shard in the ring.
    pub fn steps(&self, cell: u32, shard: u32) -> u32 {
        (cell % self.cells + self.cells - shard % self.cells) % self.cells
    }

    /// The cell that a node's counts as.
    pub fn cell(&self, cell: u32) -> u32 {
        if self.listed.is_some() { cell } else { cell % self.cells }
    }

    fn listed(&self, shard: u32) -> Option<&[u32]> {
        let listed = self.listed.as_ref()?;
        Some(listed.get(&shard).map_or(&[], |held| &held.cells))
    }

    /// The cells that hold a shard, from its first one on.
    pub fn holding(&self, shard: u32) -> impl Iterator<Item = u32> + '_ {
        let (cells, first, listed) = (self.cells, shard % self.cells, self.listed(shard));
        let count = listed.map_or(self.reach.min(cells), |listed| listed.len() as u32);
        (0..count).map(move |step| listed.map_or((first + step) % cells, |listed| listed[step as usize]))
    }

    /// The nodes of its cells that do not hold a shard by their own word.
    pub fn without(&self, shard: u32) -> Option<&BTreeSet<String>> {
        Some(&self.listed.as_ref()?.get(&shard)?.without)
    }

    pub fn holds(&self, node: &str, cell: u32, shard: u32) -> bool {
        match self.listed(shard) {
            Some(listed) => listed.contains(&cell) && self.without(shard).is_none_or(|w| !w.contains(node)),
            None => self.steps(cell, shard) < self.reach,
        }
    }
}

/// What the deployment allows a query router to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    pub cancel: bool,
    pub parallel: bool,
    pub calls: usize,
    /// Longest come-back advice that clients follow; none where it is not passed on.
    pub come_back: Option<f64>,
    /// Roster changes come only when followed.
    pub follow: bool,
    /// Share of the usual utility that traffic beyond a customer's share has.
    pub over_share: f64,
}

/// The stated budget for leaf calls past a part's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub free: f64,
    pub ratio: f64,
}

/// When a cold data node is pushed over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    pub share: f64,
    pub warm_up: f64,
    pub multiple: f64,
    pub span: f64,
}

/// All that a decision module is started with, and that may change while it runs, but for the ring in `placement`.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Query routers of the tier.
    pub peers: usize,
    pub verticals: Vec<Vertical>,
    pub customers: Vec<Customer>,
    pub placement: Placement,
    pub allowance: Allowance,
    pub budget: Option<Budget>,
    pub cold: Option<ColdRule>,
}

/// Where a vertical of new terms stands among those that the module knows by number: in a place of its own from here
/// on, or unchanged in the one that it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    pub at: usize,
    /// The place that it had until now; what was learnt there goes with it.
    pub follows: Option<usize>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NodeState {
    #[default]
    Serving,
    Draining,
    Gone,
}

/// How a leaf call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Success,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Reset,
    Cancelled,
    NeverSent,
    /// The node does not hold the shard by its own word.
    Moved,
}

impl Ending {
    /// True where the ending proves that the call had no effect.
    pub fn never_ran(self) -> bool {
        self.turned_away() || matches!(self, Ending::NeverSent | Ending::Moved)
    }

    /// True where the node itself let nothing in, be it full or not to be connected to.
    pub fn turned_away(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreachable)
    }
}

/// What one decision point saw of a data node with its own calls. Spans count from `seen`, a time of the clock
/// that all decision points of one program share; a span of 0 says that the node is sound in that respect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The start of the node's process that was seen: of another process it says nothing.
    pub started: Option<f64>,
    pub seen: f64,
    pub late: f64,
    pub far: f64,
    pub sick: f64,
}

/// What the modules of one query router's cores hold in common: single atomics, so that a stated sum holds for
/// all of them at every instant and none keeps a part of it unused. Each core has a clone with its own number.
#[derive(Clone, Debug, Default)]
pub struct Common {
    core: u8,
    /// Whether other cores are there to be told.
    shared: bool,
    /// The bucket's tokens, as the bits of their negative, so that an empty bucket is told from an untouched one.
    tokens: Arc<AtomicU64>,
    /// The most that it may hold by a stated budget, in the same bits; infinite where none is stated.
    capacity: Arc<AtomicU64>,
    /// For cold nodes, by a hash of their ids: in milliseconds until when one core alone may send, and its number.
    cold: Arc<[AtomicU64]>,
}

impl Common {
    /// Nodes that meet in one of these places take turns, which costs them work and breaks no rule.
    const PLACES: usize = 1024;

    /// For `cores` cores, 255 at most; each takes its own with `of`.
    pub fn new(cores: usize) -> Self {
        let places = if cores > 1 { Self::PLACES } else { 0 };
        Common {
            shared: cores > 1,
            cold: (0..places).map(|_| AtomicU64::new(0)).collect(),
            ..Self::default()
        }
    }

    pub fn of(&self, core: u8) -> Self {
        Common { core, ..self.clone() }
    }

    pub fn is_shared(&self) -> bool {
        self.shared
    }

    fn bits(tokens: f64) -> u64 {
        (-tokens).to_bits()
    }

    fn held(bits: u64) -> f64 {
        -f64::from_bits(bits)
    }

    pub fn tokens(&self) -> f64 {
        Self::held(self.tokens.load(Relaxed))
    }

    /// Fills an untouched bucket. A module that starts later, as after a failure, finds what is left.
    pub fn fill(&self, tokens: f64) {
        let _ = self.tokens.compare_exchange(0, Self::bits(tokens), Relaxed, Relaxed);
    }

    /// Fills an untouched bucket; one that was filled by other terms is brought to this capacity, once, by the first of
    /// the cores that comes with it.
    ///
    /// A stated budget allows in any window so many calls as the bucket holds when the window begins and as its parts
    /// earn. Across a change from capacity a to capacity b:
    /// - nothing is filled up, so a window that begins before the change still begins with a at most, and what b has
    ///   more than a has to be earned after it;
    /// - where b is less, the difference is taken away, into debt if it has been spent: with s spent in a window before
    ///   the change, b - s at most is left for the rest of it, beside what its parts earn, or nothing where s is more.
    ///
    /// So in every window across it, the calls past what had been spent when it came are within the lesser capacity
    /// and what the window's parts earn, each by the ratio that held when it was taken. Where no budget was stated
    /// before, none was promised until here: the bucket holds b at most from here on.
    pub fn bring_to(&self, capacity: f64, stated: bool) {
        let promised = if stated { capacity } else { f64::INFINITY };
        let before = self.capacity.swap(Self::bits(promised), Relaxed);
        self.fill(capacity);
        if before == 0 {
            return;
        }
        let before = Self::held(before);
        let less = if before.is_finite() { (before - promised).max(0.0) } else { 0.0 };
        // An empty bucket, not an untouched one, where the sum is a negative zero.
        let brought = |held| Some(Self::bits((Self::held(held) - less).min(capacity) + 0.0));
        let _ = self.tokens.fetch_update(Relaxed, Relaxed, brought);
    }

    /// Never past the capacity of the newest terms, though the core that earns may not have taken those over yet.
    pub fn earn(&self, tokens: f64, capacity: f64) {
        let promised = self.capacity.load(Relaxed);
        let most = if promised == 0 { capacity } else { capacity.min(Self::held(promised)) };
        let more = |held| Some(Self::bits((Self::held(held) + tokens).min(most)));
        let _ = self.tokens.fetch_update(Relaxed, Relaxed, more);
    }

    /// Pays one whole token, if there is one.
    pub fn pay(&self) -> bool {
        let less = |held| Some(Self::held(held) - 1.0).filter(|left| *left >= 0.0).map(Self::bits);
        self.tokens.fetch_update(Relaxed, Relaxed, less).is_ok()
    }

    /// Takes, or keeps, the sole right to send to a cold node for `span` seconds from `now` on; false while it is
    /// another core's. Guards against cores that each spend the whole router's share on one newcomer: nobody else
    /// may send until all that the last holder sent has left the window that the share is stated for.
    pub fn cold_turn(&self, node: &str, now: f64, span: f64) -> bool {
        if self.cold.is_empty() {
            return true;
        }
        let mut hash = DefaultHasher::new();
        node.hash(&mut hash);
        let place = &self.cold[hash.finish() as usize % self.cold.len()];
        let (from, until) = ((now * 1e3) as u64, ((now + span) * 1e3).ceil() as u64 + 1);
        let take = |held: u64| {
            let mine = held & 0xff == u64::from(self.core);
            let longest = if mine { until.max(held >> 8) } else { until };
            (mine || held >> 8 <= from).then_some(longest << 8 | u64::from(self.core))
        };
        place.fetch_update(Relaxed, Relaxed, take).is_ok()
    }
}

/// What a host tells of what was decided or learnt elsewhere: records that the module takes over as they are. A host
/// whose shards lie in the ring and that decides everything by itself has none of these to tell.
pub trait Records {
    /// Who holds a shard from here on; the first of these puts the list in the place of the ring.
    fn shard_held(&mut self, _shard: u32, _held: Held) {}
    /// A shard has keys of others, which may be gone since: what was learnt of those is told of it too.
    fn shard_follows(&mut self, _shard: u32, _parents: &[u32]) {}
    /// A shard that no part is open for and none will be.
    fn shard_over(&mut self, _shard: u32) {}
    /// A part of an open query becomes several (id, shard, weight): nobody holds all of it any more. Each has the
    /// leaf calls of the old one for its own; how those end is told for each.
    fn part_divided(&mut self, _number: u64, _part: &str, _into: &[(&str, u32, f64)]) {}
    /// A part of an open query was sent for before, by whoever decided until now; its calls are told in their order.
    /// One that has not ended is this module's from here on. `age` in seconds.
    fn part_tried(&mut self, _part: &str, _node: &str, _age: f64, _ending: Option<Ending>) {}
    /// Other terms hold from here on, each vertical in the place that is told for it. A place that is not among them
    /// stays as it is for the queries that are open there, which none is added to, until `vertical_over`.
    fn terms(&mut self, _terms: &Terms, _placed: &[Placed]) {}
    /// A place that no query is open in and none will be, until another vertical is put there.
    fn vertical_over(&mut self, _at: usize) {}
}

/// What a host tells the module; one call for each thing that came in, in order.
pub trait Intake: Records {
    /// The roster that follows is the whole one: nodes that it does not name are gone.
    fn roster_whole(&mut self);
    fn roster_entry(&mut self, node: &str, cell: u32, state: NodeState, started: Option<f64>);
    /// Following or asking for the roster failed; the old one holds.
    fn roster_failed(&mut self);
    fn query(&mut self, number: u64, id: &str, vertical: usize, customer: &str, not_after: f64);
    fn part(&mut self, number: u64, id: &str, shard: u32, weight: f64);
    fn call_ended(&mut self, part: &str, hop: usize, node: &str, ending: Ending, latency: f64);
    fn client_left(&mut self, query: &str);
    fn alarm(&mut self, tag: u64);
    /// What another core of this query router saw of a data node.
    fn evidence(&mut self, _node: &str, _seen: Evidence) {}
    /// How so many queries of the whole fleet, this router's among them, have ended since it was last told: too late to
    /// earn all that they could, or in time.
    fn fleet(&mut self, _late: u32, _in_time: u32) {}
}

/// Where the module writes its decisions, in the order in which they are to happen.
pub trait Writer {
    /// Starts a leaf call; `limit` is its time-out.
    fn call(&mut self, part: &str, node: &str, limit: f64);
    fn cancel(&mut self, part: &str, hop: usize);
    fn answer(&mut self, query: &str, whole: bool);
    fn reject(&mut self, query: &str, come_back: Option<f64>);
    fn abort(&mut self, query: &str);
    fn alarm(&mut self, span: f64, tag: u64);
    fn follow_roster(&mut self);
    fn remark(&mut self, text: &str);
    /// What this core saw of a data node, for the others.
    fn evidence(&mut self, _node: &str, _seen: Evidence) {}
    /// A query that leaf calls went out for is over, too late or in time; for the fleet's count.
    fn over(&mut self, _late: bool) {}
}
