//! Limits that the cores of one router share: the token bucket for retries and hedges, and which core may
//! send to a data node that is warming up. A core's turn is the period in which it alone may send to such a
//! node.
//!
//! Each limit is a single atomic, so that the configured total holds for all cores at every instant and no
//! core reserves capacity that it does not use. This module does no I/O. Times are in seconds on the host's
//! monotonic clock.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Number of entries in the table of turns. Nodes whose ids have the same hash share an entry, so that one
/// turn covers both; this reduces throughput and exceeds no limit.
const TURN_ENTRIES: usize = 1024;
/// Number of low bits in an entry of the table of turns that contain a core's number. Only this core may send
/// to the entry's nodes that are warming up. The other bits contain the time at which this restriction ends,
/// in milliseconds on the host's monotonic clock.
const CORE_BITS: u32 = 8;
const CORE_MASK: u64 = (1 << CORE_BITS) - 1;

/// The limits that the policies of one router's cores share: the token bucket for retries and hedges, and the
/// core that may send to each node that is warming up. Each core has a clone with its own number.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits {
    core: u8,
    several_cores: bool,
    /// Number of tokens, stored as the bits of the negated value: an empty bucket (-0.0) then differs from
    /// one that was never filled (0).
    tokens: Arc<AtomicU64>,
    /// Capacity in tokens of the configured retry budget, stored in the same form; infinite if no budget is
    /// configured.
    budget_capacity: Arc<AtomicU64>,
    /// For each node that is warming up, the core that may send to it and until when; indexed by a hash of
    /// the node id.
    slow_start_turns: Arc<[AtomicU64]>,
}

impl SharedLimits {
    /// Creates limits for `cores` cores, at most 255; each core uses its own clone from
    /// [`SharedLimits::for_core`].
    pub fn new(cores: usize) -> Self {
        let entries = if cores > 1 { TURN_ENTRIES } else { 0 };
        SharedLimits {
            several_cores: cores > 1,
            slow_start_turns: (0..entries).map(|_| AtomicU64::new(0)).collect(),
            ..Self::default()
        }
    }

    /// Returns the clone for one core.
    pub fn for_core(&self, core: u8) -> Self {
        SharedLimits { core, ..self.clone() }
    }

    /// Whether the router has more than one core.
    pub fn has_several_cores(&self) -> bool {
        self.several_cores
    }

    fn encode(tokens: f64) -> u64 {
        (-tokens).to_bits()
    }

    fn decode(bits: u64) -> f64 {
        -f64::from_bits(bits)
    }

    /// Number of tokens in the bucket for retries and hedges. The number is negative after a
    /// reduction of the capacity by more than the tokens that were left.
    pub fn tokens(&self) -> f64 {
        Self::decode(self.tokens.load(Relaxed))
    }

    /// Puts `tokens` into the bucket if it was never filled. A core that restarts does not change the bucket.
    pub fn fill(&self, tokens: f64) {
        let _ = self.tokens.compare_exchange(0, Self::encode(tokens), Relaxed, Relaxed);
    }

    /// Fills the bucket if it was never filled. If the bucket has another capacity, the first core that
    /// applies the new configuration adjusts the tokens, once. `is_budget` is whether a retry budget is
    /// configured, which is then guaranteed.
    ///
    /// A retry budget allows in any window as many attempts as there are tokens at the start of the window
    /// plus those that the window's shard requests add. On a change from capacity a to capacity b:
    /// - No tokens are added, so that a window that starts before the change starts with at most a, and shard
    ///   requests after the change have to add what b exceeds a by.
    /// - If b is less than a, the difference is subtracted, below 0 if the tokens have been spent. If s
    ///   tokens were spent in a window before the change, at most b - s are left for the rest of the window
    ///   (none if s exceeds b), plus those that its shard requests add.
    ///
    /// In every window that includes the change, the attempts beyond those made before the change are
    /// therefore at most the smaller capacity plus what the window's shard requests add, each by the ratio in
    /// use when it arrived. If no budget was configured before, nothing was guaranteed until the change, and
    /// the bucket holds at most b after it.
    pub fn change_capacity(&self, capacity: f64, is_budget: bool) {
        let guaranteed = if is_budget { capacity } else { f64::INFINITY };
        let previous_bits = self.budget_capacity.swap(Self::encode(guaranteed), Relaxed);
        self.fill(capacity);
        if previous_bits == 0 {
            return;
        }
        let previous = Self::decode(previous_bits);
        let reduction = if previous.is_finite() { (previous - guaranteed).max(0.0) } else { 0.0 };
        // Adding 0.0 turns -0.0 into 0.0, as -0.0 would be encoded like a bucket that was never filled.
        let changed = |bits| Some(Self::encode((Self::decode(bits) - reduction).min(capacity) + 0.0));
        let _ = self.tokens.fetch_update(Relaxed, Relaxed, changed);
    }

    /// Adds tokens up to `capacity`, and never beyond the capacity of the newest retry budget, which the
    /// calling core may not have applied yet.
    pub fn deposit(&self, tokens: f64, capacity: f64) {
        let budget_bits = self.budget_capacity.load(Relaxed);
        let limit = if budget_bits == 0 { capacity } else { capacity.min(Self::decode(budget_bits)) };
        let add = |bits| Some(Self::encode((Self::decode(bits) + tokens).min(limit)));
        let _ = self.tokens.fetch_update(Relaxed, Relaxed, add);
    }

    /// Removes one whole token; returns false if there is none.
    pub fn try_withdraw(&self) -> bool {
        let take = |bits| Some(Self::decode(bits) - 1.0).filter(|left| *left >= 0.0).map(Self::encode);
        self.tokens.fetch_update(Relaxed, Relaxed, take).is_ok()
    }

    /// Acquires or extends this core's turn to send to a node that is warming up, for `duration_s` seconds
    /// from `now_s` on. Returns false while another core has the turn.
    ///
    /// Without turns, each core could use up the router's whole slow-start quota for a node. Another core
    /// may send only when all requests of the previous core are outside the window of the quota.
    pub fn try_slow_start_turn(&self, node: &str, now_s: f64, duration_s: f64) -> bool {
        if self.slow_start_turns.is_empty() {
            return true;
        }
        let mut hash = DefaultHasher::new();
        node.hash(&mut hash);
        let entry = &self.slow_start_turns[hash.finish() as usize % self.slow_start_turns.len()];
        let now_ms = (now_s * 1e3) as u64;
        let until_ms = ((now_s + duration_s) * 1e3).ceil() as u64 + 1;
        let core = u64::from(self.core);
        let take = |turn: u64| {
            let turn_ends_ms = turn >> CORE_BITS;
            let is_own = turn & CORE_MASK == core;
            let end_ms = if is_own { until_ms.max(turn_ends_ms) } else { until_ms };
            (is_own || turn_ends_ms <= now_ms).then_some(end_ms << CORE_BITS | core)
        };
        entry.fetch_update(Relaxed, Relaxed, take).is_ok()
    }
}
