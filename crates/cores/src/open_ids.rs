//! The ids of the open queries of all cores, the threads of the router process that serve clients. The ids
//! are in a lock-free hash table of rows with eight slots each. A core claims an id before it admits the
//! query, and dropping the claim releases the id. A slot holds 54 bits of the id's hash under a key of the
//! process; a second hash selects the row. Two different ids that are open at the same time collide with a
//! probability below 10^-16; the later claim is then rejected.
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Slots in a row. Each id has one row and may occupy any slot of that row.
const SLOTS_PER_ROW: usize = 8;
/// Value of a slot without a claim.
const FREE: u64 = 0;
/// Bit that is set in a confirmed claim. A claim without this bit is tentative, and a core with a tentative
/// claim of the same id in an earlier slot may remove it.
const CONFIRMED: u64 = 1 << 63;
/// Bit that is set in every claim, so that no claim equals `FREE`.
const OCCUPIED: u64 = 1 << 62;
/// Position of the lowest bit of the claiming core's index in a slot. A core claims an id only once at a
/// time, so no two claims write the same value into a slot. Without the index a core could confirm a slot
/// from which its claim was removed and into which another core has meanwhile written a claim.
const CORE_SHIFT: u32 = 54;
const HASH_MASK: u64 = (1 << CORE_SHIFT) - 1;

/// The ids of the queries that are open on any core.
pub struct OpenQueryIds {
    rows: Vec<[AtomicU64; SLOTS_PER_ROW]>,
    key: RandomState,
}

/// Why an id was not claimed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimError {
    /// A query with this id is open, on this core or another.
    AlreadyOpen,
    /// Every slot of the id's row is occupied.
    RowFull,
}

/// A claimed id. Dropping the claim releases the id.
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
    /// Creates a table with one row for each of `capacity` open queries, but at least 64 and at most 2^20
    /// rows. With as many open queries as rows, a given row gets more ids than its eight slots with a
    /// probability of about one in a million.
    pub fn new(capacity: usize) -> Arc<Self> {
        let row = || std::array::from_fn(|_| AtomicU64::new(FREE));
        let rows = (0..capacity.clamp(64, 1 << 20)).map(|_| row()).collect();
        Arc::new(OpenQueryIds { rows, key: RandomState::new() })
    }

    /// Claims an id if no core has claimed it. Of several cores that claim the same id at once, exactly one
    /// succeeds: each core writes a tentative claim and then reads the whole row. A core withdraws its claim
    /// if the id is confirmed in another slot, or tentative in an earlier slot. A core removes a tentative
    /// claim in a later slot, or withdraws if that claim has been confirmed meanwhile. No core waits for
    /// another: if a core is paused halfway, other claims of the same id are at worst rejected until the core
    /// continues.
    ///
    /// # Errors
    /// `AlreadyOpen` if the id is claimed, `RowFull` if the id's row has no free slot.
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
        // Fails if a core with a claim in an earlier slot has removed this core's claim.
        let confirmed = tentative | CONFIRMED;
        match slots[own].compare_exchange(tentative, confirmed, Ordering::SeqCst, Ordering::SeqCst) {
            Ok(_) => Ok(IdClaim { ids: self.clone(), row, slot: own }),
            Err(_) => Err(ClaimError::AlreadyOpen),
        }
    }

    /// The number of confirmed claims, that is, of open queries.
    pub fn count(&self) -> usize {
        let is_claimed = |slot: &&AtomicU64| slot.load(Ordering::SeqCst) & CONFIRMED != 0;
        self.rows.iter().flatten().filter(is_claimed).count()
    }
}
