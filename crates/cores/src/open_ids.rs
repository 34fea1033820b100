//! The ids of open queries of all cores, in a lock-free hash table. An id is claimed before its query is admitted and
//! released when the claim is dropped. A slot holds 54 bits of the id's hash under a key of the process; the row is
//! chosen by other bits. Two different ids that are open at once collide with a probability below 10^-16; the later one
//! is rejected.
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Slots of a row; an id has one row and may be in any of its slots.
const SLOTS_PER_ROW: usize = 8;
const FREE: u64 = 0;
/// Set in a confirmed claim. Without it the claim is tentative, and a core with a tentative claim of the same id in an
/// earlier slot may remove it.
const CONFIRMED: u64 = 1 << 63;
/// Set in every claim, so that no claim looks like a free slot.
const OCCUPIED: u64 = 1 << 62;
/// Lowest bit of the claiming core's index. A core claims an id only once at a time, so no two claims write the same word
/// into a slot. Without the index a core could confirm a slot from which its claim was removed and which holds another
/// core's claim by then.
const CORE_SHIFT: u32 = 54;
const HASH_MASK: u64 = (1 << CORE_SHIFT) - 1;

/// The open ids of all cores.
pub struct OpenQueryIds {
    rows: Vec<[AtomicU64; SLOTS_PER_ROW]>,
    key: RandomState,
}

/// Why an id can't be claimed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimError {
    /// A query with this id is open.
    AlreadyOpen,
    /// All slots of the id's row are occupied.
    RowFull,
}

/// A claimed id; it is released on drop.
pub struct IdClaim {
    ids: Arc<OpenQueryIds>,
    row: usize,
    slot: usize,
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        self.ids.rows[self.row][self.slot].store(FREE, Ordering::SeqCst);
    }
}

impl OpenQueryIds {
    /// A table for `capacity` open queries. It has as many rows, so that the probability of nine ids in one row, which has
    /// eight slots, is about one in a million.
    pub fn new(capacity: usize) -> Arc<Self> {
        let row = || std::array::from_fn(|_| AtomicU64::new(FREE));
        let rows = (0..capacity.clamp(64, 1 << 20)).map(|_| row()).collect();
        Arc::new(OpenQueryIds { rows, key: RandomState::new() })
    }

    /// Claims an id if it is open on no core. Of several cores that claim the same id at once, exactly one succeeds: each
    /// writes a tentative claim and then reads the whole row. A core withdraws if it finds the id confirmed, or tentative
    /// in an earlier slot. It removes a tentative claim in a later slot, or withdraws if that has been confirmed
    /// meanwhile. No core waits for another: a core that is paused halfway blocks none, and at worst its id is rejected
    /// until it continues.
    ///
    /// # Errors
    /// The id is open, or its row has no free slot.
    pub fn claim(self: &Arc<Self>, core: u8, id: &str) -> Result<IdClaim, ClaimError> {
        let (hash, row) = (self.key.hash_one(id), self.key.hash_one((1, id)) as usize % self.rows.len());
        let tentative = OCCUPIED | u64::from(core) << CORE_SHIFT | (hash & HASH_MASK);
        let slots = &self.rows[row];
        let load = |slot: &AtomicU64| slot.load(Ordering::SeqCst);
        let is_same_id = |word: u64| word != FREE && word & HASH_MASK == hash & HASH_MASK;
        let is_confirmed = |word: u64| is_same_id(word) && word & CONFIRMED != 0;
        if slots.iter().any(|slot| is_confirmed(load(slot))) {
            return Err(ClaimError::AlreadyOpen);
        }
        let occupy = |slot: &AtomicU64| {
            slot.compare_exchange(FREE, tentative, Ordering::SeqCst, Ordering::SeqCst).is_ok()
        };
        let own = slots.iter().position(occupy).ok_or(ClaimError::RowFull)?;
        let withdraw = || {
            let _ = slots[own].compare_exchange(tentative, FREE, Ordering::SeqCst, Ordering::SeqCst);
            Err(ClaimError::AlreadyOpen)
        };
        for (index, slot) in slots.iter().enumerate().filter(|(index, _)| *index != own) {
            let word = load(slot);
            if is_confirmed(word) || (is_same_id(word) && index < own) {
                return withdraw();
            }
            if is_same_id(word) {
                let removed = slot.compare_exchange(word, FREE, Ordering::SeqCst, Ordering::SeqCst);
                if removed.is_err_and(is_confirmed) {
                    return withdraw();
                }
            }
        }
        // Fails if a core with a claim in an earlier slot has removed this one.
        let confirmed = tentative | CONFIRMED;
        match slots[own].compare_exchange(tentative, confirmed, Ordering::SeqCst, Ordering::SeqCst) {
            Ok(_) => Ok(IdClaim { ids: self.clone(), row, slot: own }),
            Err(_) => Err(ClaimError::AlreadyOpen),
        }
    }

    /// How many ids are open.
    pub fn count(&self) -> usize {
        let is_claimed = |slot: &&AtomicU64| slot.load(Ordering::SeqCst) & CONFIRMED != 0;
        self.rows.iter().flatten().filter(is_claimed).count()
    }
}
