//! Limits that the cores of one router share: the retry tokens, and whose turn it is at a warming data node.
//!
//! Each limit is a single atomic, so that its stated sum holds for all cores at every instant and no core keeps a part
//! of it unused. Free of I/O.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Slots for turns at warming data nodes. Nodes whose hashes meet in a slot take turns with each other, which costs
/// throughput and breaks no limit.
const SLOW_START_SLOTS: usize = 1024;
/// The low bits of a slot that hold the core's number; the others hold the end of its turn, in milliseconds.
const CORE_BITS: u32 = 8;
const CORE_MASK: u64 = (1 << CORE_BITS) - 1;

/// The limits that the policies of one router's cores share. Each core has a clone with its own number.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits {
    core: u8,
    several_cores: bool,
    /// Tokens, as the bits of their negative: an empty bucket (-0.0) differs from one that was never filled (0).
    tokens: Arc<AtomicU64>,
    /// Capacity by the stated budget, in the same form; infinite where none is stated.
    stated_capacity: Arc<AtomicU64>,
    /// Turns at warming nodes, by a hash of their ids.
    slow_start_turns: Arc<[AtomicU64]>,
}

impl SharedLimits {
    /// Limits for `cores` cores, 255 at most; each core takes its own clone with [`SharedLimits::for_core`].
    pub fn new(cores: usize) -> Self {
        let slots = if cores > 1 { SLOW_START_SLOTS } else { 0 };
        SharedLimits {
            several_cores: cores > 1,
            slow_start_turns: (0..slots).map(|_| AtomicU64::new(0)).collect(),
            ..Self::default()
        }
    }

    /// The clone for one core.
    pub fn for_core(&self, core: u8) -> Self {
        SharedLimits { core, ..self.clone() }
    }

    /// Whether there are other cores.
    pub fn is_shared(&self) -> bool {
        self.several_cores
    }

    fn encode(tokens: f64) -> u64 {
        (-tokens).to_bits()
    }

    fn decode(bits: u64) -> f64 {
        -f64::from_bits(bits)
    }

    /// Tokens in the bucket; negative while it is in debt.
    pub fn tokens(&self) -> f64 {
        Self::decode(self.tokens.load(Relaxed))
    }

    /// Fills a bucket that was never filled. A core that restarts finds what is left.
    pub fn fill(&self, tokens: f64) {
        let _ = self.tokens.compare_exchange(0, Self::encode(tokens), Relaxed, Relaxed);
    }

    /// Fills a bucket that was never filled; one with another capacity is brought to this one, once, by the first core
    /// that applies the new configuration. `stated` is whether the budget is a promise.
    ///
    /// A stated budget allows in any window as many attempts as the bucket holds when the window begins plus those that
    /// its shard requests earn. Across a change from capacity a to capacity b:
    /// - nothing is filled up, so a window that begins before the change still begins with a at most, and what b has
    ///   more than a has to be earned after it;
    /// - where b is less, the difference is taken away, into debt if it has been spent: with s spent in a window before
    ///   the change, b - s at most is left for the rest of it, beside what its shard requests earn, or nothing where s
    ///   is more.
    ///
    /// So in every window across it, the attempts past what had been spent at the change are within the lesser capacity
    /// plus what the window's shard requests earn, each by the ratio that held when it arrived. Where no budget was
    /// stated before, none was promised until here: the bucket holds b at most from here on.
    pub fn change_capacity(&self, capacity: f64, stated: bool) {
        let promised = if stated { capacity } else { f64::INFINITY };
        let previous_bits = self.stated_capacity.swap(Self::encode(promised), Relaxed);
        self.fill(capacity);
        if previous_bits == 0 {
            return;
        }
        let previous = Self::decode(previous_bits);
        let reduction = if previous.is_finite() { (previous - promised).max(0.0) } else { 0.0 };
        // Adding zero turns -0.0 into 0.0, so that an empty bucket is not taken for one that was never filled.
        let changed = |bits| Some(Self::encode((Self::decode(bits) - reduction).min(capacity) + 0.0));
        let _ = self.tokens.fetch_update(Relaxed, Relaxed, changed);
    }

    /// Adds tokens up to `capacity`, and never past the newest stated capacity, which the calling core may not have
    /// applied yet.
    pub fn deposit(&self, tokens: f64, capacity: f64) {
        let stated = self.stated_capacity.load(Relaxed);
        let limit = if stated == 0 { capacity } else { capacity.min(Self::decode(stated)) };
        let add = |bits| Some(Self::encode((Self::decode(bits) + tokens).min(limit)));
        let _ = self.tokens.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes one whole token; false if there is none.
    pub fn try_withdraw(&self) -> bool {
        let take = |bits| Some(Self::decode(bits) - 1.0).filter(|left| *left >= 0.0).map(Self::encode);
        self.tokens.fetch_update(Relaxed, Relaxed, take).is_ok()
    }

    /// Takes, or extends, this core's exclusive turn at a warming node for `span_s` seconds from `now_s` on; false
    /// while another core has it.
    ///
    /// Guards against cores that each spend the router's whole slow-start quota on one node: no other core may send
    /// until everything that the last holder sent has left the window that the quota is stated for.
    pub fn try_slow_start_turn(&self, node: &str, now_s: f64, span_s: f64) -> bool {
        if self.slow_start_turns.is_empty() {
            return true;
        }
        let mut hash = DefaultHasher::new();
        node.hash(&mut hash);
        let slot = &self.slow_start_turns[hash.finish() as usize % self.slow_start_turns.len()];
        let now_ms = (now_s * 1e3) as u64;
        let until_ms = ((now_s + span_s) * 1e3).ceil() as u64 + 1;
        let core = u64::from(self.core);
        let take = |turn: u64| {
            let held_until_ms = turn >> CORE_BITS;
            let mine = turn & CORE_MASK == core;
            let end_ms = if mine { until_ms.max(held_until_ms) } else { until_ms };
            (mine || held_until_ms <= now_ms).then_some(end_ms << CORE_BITS | core)
        };
        slot.fetch_update(Relaxed, Relaxed, take).is_ok()
    }
}
