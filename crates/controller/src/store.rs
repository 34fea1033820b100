//! The disk of a control machine: one file in which an embedded database keeps the order's log. Each write is one
//! transaction, synced before it counts. Every value has a checksum of its own: a file that is torn, of another program or
//! of another version is refused with one line.
use alderway_control_plane::consensus::{RecoveredState, StableStorage, WriteBatch};
use alderway_control_plane::replica::REPLACE_DISK_ADVICE;
use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::{self, File};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const FORM: &str = "alderway control 1";
/// Bytes of the file that may be held in memory.
const CACHE: usize = 16 * 1024 * 1024;
/// In the folder of a machine's data.
const FILE: &str = "log.redb";

/// The file, and the folder's lock while the program runs.
pub struct Disk {
    path: PathBuf,
    /// None after a failed write: it is opened anew before the next.
    open: Option<Database>,
    _lock: File,
}

fn sealed(bytes: &[u8]) -> Vec<u8> {
    let mut sealed = crc32fast::hash(bytes).to_be_bytes().to_vec();
    sealed.extend_from_slice(bytes);
    sealed
}

fn unsealed(sealed: &[u8], what: &str) -> Result<Vec<u8>, String> {
    let (seal, bytes) = sealed.split_first_chunk::<4>().ok_or_else(|| format!("{what} is torn"))?;
    if u32::from_be_bytes(*seal) != crc32fast::hash(bytes) {
        return Err(format!("{what} is not what was written"));
    }
    Ok(bytes.to_vec())
}

/// The database's errors, and what it does not stand of a spoilt file.
fn guarded<T>(act: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, String> {
    match catch_unwind(AssertUnwindSafe(act)) {
        Ok(done) => done.map_err(|why| why.to_string()),
        Err(_) => Err("its pages contradict each other".into()),
    }
}

impl Disk {
    /// Opens the folder's file, or makes an empty one, and reads what it holds.
    pub fn open(folder: &Path) -> Result<(Disk, RecoveredState), String> {
        let path = folder.join(FILE);
        let tell = |why: String| format!("{}: {why}", path.display());
        fs::create_dir_all(folder).map_err(|why| tell(why.to_string()))?;
        let lock = File::create(folder.join("lock")).map_err(|why| tell(why.to_string()))?;
        lock.try_lock().map_err(|_| tell("another program uses it".into()))?;
        // An empty file promised nobody anything: the disk gets an id of its own.
        let fresh = fs::metadata(&path).map_or(true, |about| about.len() == 0);
        let refused = |why: String| tell(format!("{why}; {REPLACE_DISK_ADVICE}"));
        let open = Disk::database(&path).map_err(refused)?;
        if fresh {
            guarded(|| Disk::make(&open)).map_err(tell)?;
            // That there is such a file has to be on disk too.
            File::open(folder).and_then(|folder| folder.sync_all()).map_err(|why| tell(why.to_string()))?;
        }
        let held = Disk::read(&open).map_err(refused)?;
        Ok((Disk { path, open: Some(open), _lock: lock }, held))
    }

    fn database(path: &Path) -> Result<Database, String> {
        guarded(|| Ok(Builder::new().set_cache_size(CACHE).create(path)?))
    }

    fn make(open: &Database) -> Result<(), redb::Error> {
        let writes = open.begin_write()?;
        writes.open_table(ENTRIES)?;
        writes.open_table(STATE)?.insert("form", sealed(FORM.as_bytes()).as_slice())?;
        Ok(writes.commit()?)
    }

    fn read(open: &Database) -> Result<RecoveredState, String> {
        let (state, entries) = guarded(|| {
            let reads = open.begin_read()?;
            let (mut state, mut entries) = (vec![], vec![]);
            for row in reads.open_table(STATE)?.iter()? {
                let (key, value) = row?;
                state.push((key.value().to_string(), value.value().to_vec()));
            }
            for row in reads.open_table(ENTRIES)?.iter()? {
                let (key, value) = row?;
                entries.push((key.value(), value.value().to_vec()));
            }
            Ok((state, entries))
        })?;
        let mut held = RecoveredState::default();
        let mut form = vec![];
        for (key, value) in state {
            let bytes = unsealed(&value, &format!("`{key}`"))?;
            match key.as_str() {
                "form" => form = bytes,
                "identity" => held.identity = Some(bytes),
                "snapshot" => held.snapshot = Some(bytes),
                "hard" => held.hard_state = Some(bytes),
                "floor" => {
                    let word = |at: usize| bytes.get(at..at + 8)?.try_into().ok().map(u64::from_be_bytes);
                    held.compacted_to = word(0).zip(word(8)).ok_or("`floor` is torn")?;
                }
                _ => return Err(format!("`{key}` is nothing that this version writes")),
            }
        }
        if form != FORM.as_bytes() {
            return Err("it is not a log of this version".into());
        }
        for (index, value) in entries {
            held.entries.push(unsealed(&value, &format!("entry {index}"))?);
        }
        Ok(held)
    }

    fn keep(open: &Database, what: &WriteBatch) -> Result<(), redb::Error> {
        let mut writes = open.begin_write()?;
        writes.set_durability(Durability::Immediate)?;
        {
            let mut state = writes.open_table(STATE)?;
            let floor = what.compacted_to.map(|(index, term)| [index, term].map(u64::to_be_bytes).concat());
            let rows = [
                ("identity", &what.identity),
                ("snapshot", &what.snapshot),
                ("hard", &what.hard_state),
                ("floor", &floor),
            ];
            for (key, value) in rows {
                if let Some(bytes) = value {
                    state.insert(key, sealed(bytes).as_slice())?;
                }
            }
            let mut entries = writes.open_table(ENTRIES)?;
            if what.clear_entries {
                entries.retain(|_, _| false)?;
            } else if let Some((index, _)) = what.compacted_to {
                entries.retain_in(..=index, |_, _| false)?;
            }
            if let Some((first, _)) = what.entries.first() {
                entries.retain_in(*first.., |_, _| false)?;
            }
            for (index, bytes) in &what.entries {
                entries.insert(index, sealed(bytes).as_slice())?;
            }
        }
        Ok(writes.commit()?)
    }
}

impl StableStorage for Disk {
    fn write(&mut self, what: &WriteBatch) -> io::Result<()> {
        let open = match self.open.take() {
            Some(open) => open,
            None => Disk::database(&self.path).map_err(io::Error::other)?,
        };
        self.open = Some(
            guarded(move || {
                Disk::keep(&open, what)?;
                Ok(open)
            })
            .map_err(io::Error::other)?,
        );
        Ok(())
    }
}
