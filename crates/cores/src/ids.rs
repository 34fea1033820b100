//! The ids of open queries, of all cores. An id is claimed before its query is taken and given back when the
//! claim is dropped. Ids stand here as hashes of 54 bits under a key of the process, beside a row by other bits: two
//! different ids that are open at once meet with odds of less than one in 10^16, and then the later one is refused.
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Places of one row; an id has its row and may stand in any place of it.
const PLACES: usize = 8;
const FREE: u64 = 0;
/// A claim that stands. Without it the place is only asked for, and whoever asks in a place before it may take
/// it away.
const HELD: u64 = 1 << 63;
/// So that no hash looks like a free place.
const USED: u64 = 1 << 62;
/// Who asks. A core asks for one id at a time, so no two askers ever write the same word into a place: without it
/// one core could confirm a place that was taken from it and that another asks in by now.
const ASKER: u32 = 54;
const HASH: u64 = (1 << ASKER) - 1;

pub struct Ids {
    rows: Vec<[AtomicU64; PLACES]>,
    key: RandomState,
}

/// Why an id is not to be had.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refused {
    /// A query with this id is open.
    Open,
    /// More ids than the table is made for would meet in one row.
    Full,
}

/// An id that is open here; dropped, it is free again.
pub struct Claim {
    ids: Arc<Ids>,
    row: usize,
    place: usize,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.ids.rows[self.row][self.place].store(FREE, Ordering::SeqCst);
    }
}

impl Ids {
    /// For so many open queries: as many rows, so that eight of them meet in one with odds of one in a million.
    pub fn new(open: usize) -> Arc<Self> {
        let row = || std::array::from_fn(|_| AtomicU64::new(FREE));
        Arc::new(Ids { rows: (0..open.clamp(64, 1 << 20)).map(|_| row()).collect(), key: RandomState::new() })
    }

    /// Takes an id if it is open nowhere. Of several cores that ask for the same one at once, exactly one gets it:
    /// each first writes that it asks, then looks at the whole row. One that finds the id held, or asked for in a
    /// place before its own, withdraws; one that finds it asked for behind its own place takes that away, unless
    /// it has become held meanwhile. Nobody waits for anybody: a core that stops in the midst of this holds up
    /// none, and at worst its id is refused until it goes on.
    pub fn claim(self: &Arc<Self>, core: u8, id: &str) -> Result<Claim, Refused> {
        let (hash, row) = (self.key.hash_one(id), self.key.hash_one((1, id)) as usize % self.rows.len());
        let asked = USED | u64::from(core) << ASKER | (hash & HASH);
        let places = &self.rows[row];
        let seen = |place: &AtomicU64| place.load(Ordering::SeqCst);
        let same = |word: u64| word != FREE && word & HASH == hash & HASH;
        let held = |word: u64| same(word) && word & HELD != 0;
        if places.iter().any(|p| held(seen(p))) {
            return Err(Refused::Open);
        }
        let take =
            |p: &AtomicU64| p.compare_exchange(FREE, asked, Ordering::SeqCst, Ordering::SeqCst).is_ok();
        let mine = places.iter().position(take).ok_or(Refused::Full)?;
        let withdraw = || {
            let _ = places[mine].compare_exchange(asked, FREE, Ordering::SeqCst, Ordering::SeqCst);
            Err(Refused::Open)
        };
        for (at, place) in places.iter().enumerate().filter(|(at, _)| *at != mine) {
            let there = seen(place);
            if held(there) || (same(there) && at < mine) {
                return withdraw();
            }
            if same(there) {
                let taken = place.compare_exchange(there, FREE, Ordering::SeqCst, Ordering::SeqCst);
                if taken.is_err_and(held) {
                    return withdraw();
                }
            }
        }
        // Fails where one with a place before this took it away.
        match places[mine].compare_exchange(asked, asked | HELD, Ordering::SeqCst, Ordering::SeqCst) {
            Ok(_) => Ok(Claim { ids: self.clone(), row, place: mine }),
            Err(_) => Err(Refused::Open),
        }
    }

    /// How many are open.
    pub fn count(&self) -> usize {
        self.rows.iter().flatten().filter(|p| p.load(Ordering::SeqCst) & HELD != 0).count()
    }
}
