//! The control log on disk: one file of an embedded database in the replica's data folder.
//!
//! A batch of the replica is one transaction. [`StableStorage::write`] returns only once the transaction has been synced to disk;
//! the replica sends no vote, no acknowledgement and no answer that follows from a batch before that. Each value carries a
//! CRC-32 of its own, so that a truncated file, a file of another program and one of another version are told apart from a
//! sound one and refused when they are opened.
use alderway_control_plane::consensus::{RecoveredState, StableStorage, WriteBatch};
use alderway_control_plane::replica::REPLACE_DISK_ADVICE;
use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::{self, File, TryLockError};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Entries of the log by their index.
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// Everything else, by the keys below.
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");

const KEY_FORMAT: &str = "form";
const KEY_IDENTITY: &str = "identity";
const KEY_SNAPSHOT: &str = "snapshot";
const KEY_HARD_STATE: &str = "hard";
/// Index and term of the last compacted entry, eight bytes each, most significant byte first.
const KEY_FLOOR: &str = "floor";

/// The value of [`KEY_FORMAT`] in files that this version reads and writes.
const FORMAT: &str = "alderway control 1";
/// The part of the file that may be held in memory.
const CACHE_BYTES: usize = 16 * 1024 * 1024;
const FILE_NAME: &str = "log.redb";
/// The log while it is made.
const UNFINISHED_FILE_NAME: &str = "log.redb.new";
const LOCK_FILE_NAME: &str = "lock";

/// Why the control log cannot be opened or written. Each message names the file.
#[derive(Debug, Error)]
pub enum LogStoreError {
    /// The data folder or a file in it cannot be created, locked or synced.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// The log file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// Another process holds the lock of the data folder.
    #[error("{path}: another program uses it", path = path.display())]
    InUse {
        /// The log file.
        path: PathBuf,
    },
    /// The file exists, but what it holds cannot be used: the replica's disk has to be replaced by an empty one.
    #[error("{path}: {source}; {REPLACE_DISK_ADVICE}", path = path.display())]
    Unreadable {
        /// The log file.
        path: PathBuf,
        /// What is wrong with the contents.
        source: ContentError,
    },
    /// A transaction failed. All of it or nothing may have reached the disk.
    #[error("{path}: {source}", path = path.display())]
    Write {
        /// The log file.
        path: PathBuf,
        /// What the database reported.
        source: DatabaseError,
    },
}

/// Why the contents of a log file cannot be used.
#[derive(Debug, Error)]
pub enum ContentError {
    /// The database cannot read the file.
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// A value is shorter than its checksum and fixed fields.
    #[error("{record} is torn")]
    Truncated {
        /// The key of the state, or the entry.
        record: String,
    },
    /// A value's checksum is not that of its bytes.
    #[error("{record} is not what was written")]
    ChecksumMismatch {
        /// The key of the state, or the entry.
        record: String,
    },
    /// The state has a key that this version doesn't know.
    #[error("`{0}` is nothing that this version writes")]
    UnknownKey(String),
    /// The file's format isn't [`FORMAT`].
    #[error("it is not a log of this version")]
    UnknownFormat,
}

/// Why the database refused an operation.
#[derive(Debug, Error)]
pub enum DatabaseError {
    /// As the database reports it.
    #[error(transparent)]
    Reported(#[from] Box<redb::Error>),
    /// The database panicked, as it does on some damaged files.
    #[error("its pages contradict each other")]
    InconsistentPages,
}

/// The open log file. The data folder stays locked for as long as this value lives.
pub struct LogStore {
    path: PathBuf,
    /// `None` after a failed write: the database can't be used after an error, and is opened anew for the next write.
    database: Option<Database>,
    _lock: File,
}

impl LogStore {
    /// Opens the log in `folder`, or creates an empty one, and reads everything that it holds.
    ///
    /// # Errors
    /// The folder is in use or can't be written, or the log in it is damaged or of another version.
    pub fn open(folder: &Path) -> Result<(LogStore, RecoveredState), LogStoreError> {
        let path = folder.join(FILE_NAME);
        let io_error = |source| LogStoreError::Io { path: path.clone(), source };
        let unreadable = |source| LogStoreError::Unreadable { path: path.clone(), source };
        fs::create_dir_all(folder).map_err(io_error)?;
        let lock = lock_folder(folder, &path)?;
        // A replica with an empty file has made no promise to its peers yet: it gets a new identity.
        let is_new = fs::metadata(&path).map_or(true, |metadata| metadata.len() == 0);
        if is_new {
            create_log(folder, &path)?;
        }
        let database = open_database(&path).map_err(|source| unreadable(source.into()))?;
        let recovered = recover(&database).map_err(unreadable)?;
        Ok((LogStore { path, database: Some(database), _lock: lock }, recovered))
    }

    /// Writes a batch as one transaction and syncs it.
    ///
    /// # Errors
    /// The disk or the database refused it; all of the batch or nothing may be on disk.
    fn write_batch(&mut self, batch: &WriteBatch) -> Result<(), DatabaseError> {
        let database = match self.database.take() {
            Some(database) => database,
            None => open_database(&self.path)?,
        };
        // Moved in, as closing a database after a failed write may panic too.
        let written = without_panic(move || {
            commit_batch(&database, batch)?;
            Ok(database)
        });
        self.database = Some(written?);
        Ok(())
    }
}

impl StableStorage for LogStore {
    fn write(&mut self, batch: &WriteBatch) -> io::Result<()> {
        let written = self.write_batch(batch);
        written.map_err(|source| io::Error::other(LogStoreError::Write { path: self.path.clone(), source }))
    }
}

fn lock_folder(folder: &Path, log_path: &Path) -> Result<File, LogStoreError> {
    let path = || log_path.to_path_buf();
    let lock = File::create(folder.join(LOCK_FILE_NAME))
        .map_err(|source| LogStoreError::Io { path: path(), source })?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(LogStoreError::InUse { path: path() }),
        Err(TryLockError::Error(source)) => Err(LogStoreError::Io { path: path(), source }),
    }
}

/// Runs a database operation. The database panics on some damaged files where it should report an error.
fn without_panic<T>(operation: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, DatabaseError> {
    match catch_unwind(AssertUnwindSafe(operation)) {
        Ok(result) => result.map_err(|error| DatabaseError::Reported(Box::new(error))),
        Err(_) => Err(DatabaseError::InconsistentPages),
    }
}

fn open_database(path: &Path) -> Result<Database, DatabaseError> {
    without_panic(|| Ok(Builder::new().set_cache_size(CACHE_BYTES).create(path)?))
}

/// Makes an empty log. It gets its name only once it is whole and synced: guards against a process that is killed in the
/// midst of it, or a disk that fails, and a file that every later start would refuse.
fn create_log(folder: &Path, path: &Path) -> Result<(), LogStoreError> {
    let io_error = |source| LogStoreError::Io { path: path.into(), source };
    let unfinished = folder.join(UNFINISHED_FILE_NAME);
    match fs::remove_file(&unfinished) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(io_error(error)),
        _ => {}
    }
    let created = open_database(&unfinished).and_then(|database| {
        // Moved in, as closing a database after a failed write may panic too.
        without_panic(move || initialize(&database))
    });
    created.map_err(|source| LogStoreError::Write { path: path.into(), source })?;
    File::open(&unfinished).and_then(|file| file.sync_all()).map_err(io_error)?;
    fs::rename(&unfinished, path).map_err(io_error)?;
    // Without this a crash can lose the new file's directory entry, and with it promises made later.
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(io_error)
}

fn initialize(database: &Database) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    transaction.open_table(ENTRIES)?;
    transaction.open_table(STATE)?.insert(KEY_FORMAT, with_checksum(FORMAT.as_bytes()).as_slice())?;
    Ok(transaction.commit()?)
}

/// The rows of both tables, with their checksums.
struct StoredRows {
    state: Vec<(String, Vec<u8>)>,
    entries: Vec<(u64, Vec<u8>)>,
}

fn read_rows(database: &Database) -> Result<StoredRows, redb::Error> {
    let transaction = database.begin_read()?;
    let mut rows = StoredRows { state: vec![], entries: vec![] };
    for row in transaction.open_table(STATE)?.iter()? {
        let (key, value) = row?;
        rows.state.push((key.value().to_string(), value.value().to_vec()));
    }
    for row in transaction.open_table(ENTRIES)?.iter()? {
        let (index, value) = row?;
        rows.entries.push((index.value(), value.value().to_vec()));
    }
    Ok(rows)
}

fn recover(database: &Database) -> Result<RecoveredState, ContentError> {
    let rows = without_panic(|| read_rows(database))?;
    let mut recovered = RecoveredState::default();
    let mut format = None;
    for (key, value) in rows.state {
        let bytes = verified(&value, || format!("`{key}`"))?;
        match key.as_str() {
            KEY_FORMAT => format = Some(bytes),
            KEY_IDENTITY => recovered.identity = Some(bytes),
            KEY_SNAPSHOT => recovered.snapshot = Some(bytes),
            KEY_HARD_STATE => recovered.hard_state = Some(bytes),
            KEY_FLOOR => recovered.compacted_to = decode_floor(&bytes)?,
            _ => return Err(ContentError::UnknownKey(key)),
        }
    }
    if format.as_deref() != Some(FORMAT.as_bytes()) {
        return Err(ContentError::UnknownFormat);
    }
    for (index, value) in rows.entries {
        recovered.entries.push(verified(&value, || format!("entry {index}"))?);
    }
    Ok(recovered)
}

fn encode_floor((index, term): (u64, u64)) -> Vec<u8> {
    [index, term].map(u64::to_be_bytes).concat()
}

fn decode_floor(bytes: &[u8]) -> Result<(u64, u64), ContentError> {
    let number = |at: usize| bytes.get(at..at + 8)?.try_into().ok().map(u64::from_be_bytes);
    number(0).zip(number(8)).ok_or(ContentError::Truncated { record: format!("`{KEY_FLOOR}`") })
}

/// The order of steps is that of [`WriteBatch`]: state, entries that go, entries that are replaced.
fn commit_batch(database: &Database, batch: &WriteBatch) -> Result<(), redb::Error> {
    let mut transaction = database.begin_write()?;
    // The commit below returns only after the file has been synced.
    transaction.set_durability(Durability::Immediate)?;
    let floor = batch.compacted_to.map(encode_floor);
    let state_rows = [
        (KEY_IDENTITY, &batch.identity),
        (KEY_SNAPSHOT, &batch.snapshot),
        (KEY_HARD_STATE, &batch.hard_state),
        (KEY_FLOOR, &floor),
    ];
    {
        let mut state = transaction.open_table(STATE)?;
        for (key, value) in state_rows {
            if let Some(bytes) = value {
                state.insert(key, with_checksum(bytes).as_slice())?;
            }
        }
        let mut entries = transaction.open_table(ENTRIES)?;
        if batch.clear_entries {
            entries.retain(|_, _| false)?;
        } else if let Some((compacted_index, _)) = batch.compacted_to {
            entries.retain_in(..=compacted_index, |_, _| false)?;
        }
        if let Some((first_index, _)) = batch.entries.first() {
            entries.retain_in(*first_index.., |_, _| false)?;
        }
        for (index, bytes) in &batch.entries {
            entries.insert(index, with_checksum(bytes).as_slice())?;
        }
    }
    Ok(transaction.commit()?)
}

/// A value as it is stored: CRC-32, most significant byte first, then the bytes.
fn with_checksum(bytes: &[u8]) -> Vec<u8> {
    let mut stored = crc32fast::hash(bytes).to_be_bytes().to_vec();
    stored.extend_from_slice(bytes);
    stored
}

/// The bytes of a stored value; `record` names it for an error.
fn verified(stored: &[u8], record: impl Fn() -> String) -> Result<Vec<u8>, ContentError> {
    let Some((checksum, bytes)) = stored.split_first_chunk::<4>() else {
        return Err(ContentError::Truncated { record: record() });
    };
    if u32::from_be_bytes(*checksum) != crc32fast::hash(bytes) {
        return Err(ContentError::ChecksumMismatch { record: record() });
    }
    Ok(bytes.to_vec())
}
