//! Reads and writes the file with the latest version of the settings from control servers, with which the
//! router starts the next time. This allows a start while no control server is reachable.
//!
//! The first line of the file is `alderway-version 1 NUMBER DIGEST CONFIRMED`: the version's number, the
//! digest of the settings text in hexadecimal, and the time at which the version was last confirmed as the
//! latest, in milliseconds of Unix time, or `-` if unknown. The settings text follows. The digest detects a
//! damaged file. A version is applied before it is written; after a crash in between, the next start uses the
//! previous version.
use alderway_control_plane::content::MAX_SETTINGS_BYTES;
use alderway_control_plane::subscriber::ConfigVersion;
use alderway_control_plane::version::VersionNumber;
use alderway_telemetry::clock::Clock;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::timeout;

/// The start of the file, which identifies the format.
const FORMAT: &str = "alderway-version 1";
/// Upper bound of the length of the file's first line, in bytes.
const MAX_HEADER_BYTES: u64 = 200;
const MAX_FILE_BYTES: u64 = MAX_SETTINGS_BYTES as u64 + MAX_HEADER_BYTES;
/// The text for an unknown time of the last confirmation in the file's first line.
const UNKNOWN_TIME: &str = "-";
/// Pause before writing is retried, after a version could not be written.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The content of the file: a version of the settings and the time of its last confirmation.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedVersion {
    /// The version's number, digest and settings text.
    pub version: ConfigVersion,
    /// When a control server last confirmed the version as the latest, in milliseconds of Unix time; `None`
    /// if unknown.
    pub confirmed_at_unix_ms: Option<u64>,
}

/// Why [`PersistedVersion`] could not be read from its file or written to it. At the start,
/// [`UnusablePersistedVersion`] wraps this error.
#[derive(Debug, Error)]
pub enum PersistedVersionError {
    /// The operating system reported an error.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is longer than any valid file, which has at most `MAX_FILE_BYTES`.
    #[error("{path}: the file is longer than any version can be", path = path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
    },
    /// The file is damaged, or has a different format.
    #[error("{path}: torn or not of this program", path = path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
    },
}

/// Why a router does not use its persisted version at the start. The message is one line.
#[derive(Debug, Error)]
pub enum UnusablePersistedVersion {
    /// The file with the version cannot be read.
    #[error("persisted version {0}; ignored")]
    File(#[from] PersistedVersionError),
    /// This program rejects the settings of the persisted version.
    #[error("persisted version {number}: {reason}; ignored")]
    InvalidSettings {
        /// The number that the control servers have given the persisted version.
        number: VersionNumber,
        /// One line that names the invalid key.
        reason: String,
    },
}

impl PersistedVersion {
    /// Reads the persisted version from `path`; returns `None` if the file does not exist.
    ///
    /// # Errors
    /// The file cannot be read, is damaged, or has a different format.
    pub fn load(path: &Path) -> Result<Option<PersistedVersion>, PersistedVersionError> {
        let io_error = |source| PersistedVersionError::Io { path: path.into(), source };
        match fs::metadata(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(io_error(error)),
            Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
                return Err(PersistedVersionError::TooLong { path: path.into() });
            }
            Ok(_) => {}
        }
        let text = String::from_utf8(fs::read(path).map_err(io_error)?).ok();
        match text.as_deref().and_then(PersistedVersion::decode) {
            Some(persisted) => Ok(Some(persisted)),
            None => Err(PersistedVersionError::Corrupt { path: path.into() }),
        }
    }

    /// Replaces the file at `path` atomically: writes and syncs a temporary file in the same directory,
    /// renames it to `path`, and syncs the directory. After a crash at any time, `path` has either its
    /// previous content or the new one.
    ///
    /// # Errors
    /// The operating system reported an error; the file has either its previous content or the new one.
    pub fn store(&self, path: &Path) -> Result<(), PersistedVersionError> {
        let stored = self.replace(path);
        stored.map_err(|source| PersistedVersionError::Io { path: path.into(), source })
    }

    fn replace(&self, path: &Path) -> io::Result<()> {
        let temporary = path.with_extension("new");
        let mut file = File::create(&temporary)?;
        file.write_all(self.encode().as_bytes())?;
        file.sync_all()?;
        drop(file);
        fs::rename(&temporary, path)?;
        let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
        File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
    }

    fn encode(&self) -> String {
        let ConfigVersion { number, digest, text } = &self.version;
        let confirmed_at = self.confirmed_at_unix_ms.map_or(UNKNOWN_TIME.into(), |ms| ms.to_string());
        format!("{FORMAT} {number} {digest:016x} {confirmed_at}\n{text}")
    }

    fn decode(file: &str) -> Option<PersistedVersion> {
        let (header, text) = file.split_once('\n')?;
        let mut fields = header.strip_prefix(FORMAT)?.split_whitespace();
        let number = fields.next()?.parse().ok().filter(|number| *number > 0)?;
        let digest = u64::from_str_radix(fields.next()?, 16).ok()?;
        let confirmed_at_unix_ms = match fields.next()? {
            UNKNOWN_TIME => None,
            ms => Some(ms.parse().ok()?),
        };
        let version = ConfigVersion::new(number, text);
        let is_intact = version.digest == digest && fields.next().is_none();
        is_intact.then_some(PersistedVersion { version, confirmed_at_unix_ms })
    }
}

/// The version that the writer task has to write next.
#[derive(Clone)]
struct Pending {
    version: ConfigVersion,
    /// When a control server last confirmed the version as the latest, in seconds of the monotonic clock;
    /// `None` if unknown.
    confirmed_at: Option<f64>,
}

/// Writes versions to the file with the persisted version, on a separate thread, so that the current thread
/// does not wait for the disk.
pub struct VersionWriter(watch::Sender<Option<Pending>>);

impl VersionWriter {
    /// Starts the task that writes versions to `path`. The task ends when the returned writer is dropped.
    pub fn spawn(path: PathBuf, clock: Clock) -> VersionWriter {
        let (sender, pending) = watch::channel(None);
        spawn_local(write_all(pending, path, clock));
        VersionWriter(sender)
    }

    /// Queues a version to be written; an earlier version that is not yet written is dropped. `confirmed_at`
    /// is when a control server last confirmed the version as the latest, in seconds of the monotonic clock.
    pub fn persist(&self, version: ConfigVersion, confirmed_at: Option<f64>) {
        self.0.send_replace(Some(Pending { version, confirmed_at }));
    }
}

async fn write_all(mut pending: watch::Receiver<Option<Pending>>, path: PathBuf, clock: Clock) {
    while pending.changed().await.is_ok() {
        // Disk errors may be temporary, so the writer retries until a version is written, always with the
        // latest version.
        while let Err((number, error)) = write_latest(&mut pending, &path, clock).await {
            let delay_s = RETRY_DELAY.as_secs();
            tracing::error!(target: "control", "settings version {number} could not be written to the disk: {error}; retrying in {delay_s} s");
            let is_writer_gone = matches!(timeout(RETRY_DELAY, pending.changed()).await, Ok(Err(_)));
            if is_writer_gone {
                return;
            }
        }
    }
}

/// Writes the latest queued version to `path`; the error includes the number of the version that could not be
/// written.
async fn write_latest(
    pending: &mut watch::Receiver<Option<Pending>>,
    path: &Path,
    clock: Clock,
) -> Result<(), (VersionNumber, PersistedVersionError)> {
    let latest = pending.borrow_and_update().clone();
    let Some(Pending { version, confirmed_at }) = latest else { return Ok(()) };
    let number = version.number;
    let age_s = confirmed_at.map(|confirmed_at| clock.now() - confirmed_at);
    let confirmed_at_unix_ms = age_s.map(|age_s| ((clock.unix_now() - age_s).max(0.0) * 1e3) as u64);
    let persisted = PersistedVersion { version, confirmed_at_unix_ms };
    let target = path.to_path_buf();
    let stored = spawn_blocking(move || persisted.store(&target)).await;
    let stored = stored.unwrap_or_else(|error| {
        Err(PersistedVersionError::Io { path: path.into(), source: io::Error::other(error) })
    });
    stored.map_err(|error| (number, error))
}
