//! Ids of queries that have ended and may have had an effect which must not happen again. A client that has
//! disconnected may send such a query once more, on any core. The ids are in a table of a fixed size, in rows
//! of eight slots each; a slot holds 36 bits of the id's hash under a key of the process, and until when the
//! id is remembered. A second hash selects the row. An id that was never recorded is taken for a recorded one
//! with a probability below 10^-9.
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Rows of the table: half a mebibyte, enough for a thousand ids a second.
const ROWS: usize = 1 << 13;
/// Slots in a row. If all slots of a row hold ids that are still remembered, a further id takes the place of
/// the one that is forgotten first.
const SLOTS_PER_ROW: usize = 8;
/// How long an id is remembered, in seconds.
pub const REMEMBERED_S: f64 = 60.0;
/// Position of the lowest bit of the hash in a slot; below it is the time until which the id is remembered, in
/// seconds. An empty slot is 0.
const HASH_SHIFT: u32 = 28;
const TIME_MASK: u64 = (1 << HASH_SHIFT) - 1;

/// The ids of ended queries that may have had an effect, on any core.
pub struct ExecutedIds {
    rows: Vec<[AtomicU64; SLOTS_PER_ROW]>,
    key: RandomState,
}

impl ExecutedIds {
    /// Creates an empty table.
    pub fn new() -> Arc<Self> {
        let row = || std::array::from_fn(|_| AtomicU64::new(0));
        Arc::new(ExecutedIds { rows: (0..ROWS).map(|_| row()).collect(), key: RandomState::new() })
    }

    fn row(&self, id: &str) -> &[AtomicU64; SLOTS_PER_ROW] {
        &self.rows[self.key.hash_one((1, id)) as usize % ROWS]
    }

    fn hash(&self, id: &str) -> u64 {
        self.key.hash_one(id) >> HASH_SHIFT
    }

    /// Remembers an id from `now`, in seconds of the clock that all cores share, for [`REMEMBERED_S`]. Must
    /// be called before the id's claim is released.
    pub fn record(&self, id: &str, now: f64) {
        let (row, hash) = (self.row(id), self.hash(id));
        let until = ((now + REMEMBERED_S).max(1.0) as u64).min(TIME_MASK);
        let word = hash << HASH_SHIFT | until;
        let rank = |held: u64| (held == 0 || held >> HASH_SHIFT != hash, held & TIME_MASK);
        loop {
            let slots = row.iter().map(|slot| (slot, slot.load(Ordering::SeqCst)));
            let Some((slot, held)) = slots.min_by_key(|(_, held)| rank(*held)) else { return };
            // Fails if another core has taken the slot meanwhile.
            if slot.compare_exchange(held, word, Ordering::SeqCst, Ordering::SeqCst).is_ok() {
                return;
            }
        }
    }

    /// Whether the id is remembered at `now`, in seconds.
    pub fn contains(&self, id: &str, now: f64) -> bool {
        let hash = self.hash(id);
        let is_remembered = |slot: &AtomicU64| {
            let held = slot.load(Ordering::SeqCst);
            held != 0 && held >> HASH_SHIFT == hash && (held & TIME_MASK) as f64 > now
        };
        self.row(id).iter().any(is_remembered)
    }
}
