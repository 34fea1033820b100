//! The version that a router starts with when no control machine can be asked: one file, written whole beside itself,
//! synced and renamed, with a head that tells a torn one.
use super::{Subscription, spawn_blocking, spawn_local, watch};
use crate::lifecycle::startup::{Overrides, StartupConfig, StartupError};
use alderway_control_plane::content;
use alderway_control_plane::subscriber::ConfigVersion;
use alderway_telemetry::clock::Clock;
use serde_json::Value;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::timeout;

const WORD: &str = "alderway-version 1";
/// A head and the longest settings.
const LONGEST: u64 = content::MAX_SETTINGS_BYTES as u64 + 200;

/// A version as it was kept.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedVersion {
    pub version: ConfigVersion,
    /// When it was last known to be the newest, by the wall clock of that time.
    pub as_of_unix_ms: Option<u64>,
}

impl PersistedVersion {
    fn text(&self) -> String {
        let ConfigVersion { number, digest, text } = &self.version;
        let as_of = self.as_of_unix_ms.map_or("-".to_string(), |ms| ms.to_string());
        format!("{WORD} {number} {digest:016x} {as_of}\n{text}")
    }

    fn read(text: &str) -> Option<PersistedVersion> {
        let (head, text) = text.split_once('\n')?;
        let mut head = head.strip_prefix(WORD)?.split_whitespace();
        let number = head.next()?.parse().ok().filter(|number| *number > 0)?;
        let digest = u64::from_str_radix(head.next()?, 16).ok()?;
        let as_of_unix_ms = match head.next()? {
            "-" => None,
            ms => Some(ms.parse().ok()?),
        };
        let version = ConfigVersion::new(number, text);
        (version.digest == digest && head.next().is_none())
            .then_some(PersistedVersion { version, as_of_unix_ms })
    }
}

/// What is kept there; none where nothing is. Guards against a file that is torn, too long or another's.
pub fn read(path: &Path) -> Result<Option<PersistedVersion>, String> {
    let torn = |why: &str| Err(format!("kept file {}: {why}; ignored", path.display()));
    match fs::metadata(path) {
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(why) => return torn(&why.to_string()),
        Ok(about) if about.len() > LONGEST => return torn("longer than any version"),
        Ok(_) => {}
    }
    match fs::read(path).map(String::from_utf8) {
        Err(why) => torn(&why.to_string()),
        Ok(Err(_)) => torn("torn or not of this program"),
        Ok(Ok(text)) => {
            PersistedVersion::read(&text).map_or_else(|| torn("torn or not of this program"), |k| Ok(Some(k)))
        }
    }
}

/// Writes beside, syncs, renames, and syncs the directory: at any moment the old one is there whole, or the new one.
pub fn write(path: &Path, kept: &PersistedVersion) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(kept.text().as_bytes())?;
    file.sync_all()?;
    drop(file);
    fs::rename(&beside, path)?;
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}

/// A version, and when it was last known to be the newest.
type Newest = Option<(ConfigVersion, Option<f64>)>;

/// Between two tries to write a version that the disk refuses.
const RETRY: Duration = Duration::from_secs(1);

/// Keeps the newest of what it is sent, off the thread that serves.
pub fn spawn_writer(path: PathBuf, clock: Clock) -> watch::Sender<Newest> {
    let (sender, mut news) = watch::channel::<Newest>(None);
    spawn_local(async move {
        while news.changed().await.is_ok() {
            // Guards against a disk that fails for a while: what is newest stays owed until it is kept.
            while let Some(why) = keep_newest(&mut news, &path, clock).await {
                tracing::error!(target: "control", "{why}; tried again in {} s", RETRY.as_secs());
                // Whoever tells of versions is gone only as the program ends.
                if let Ok(Err(_)) = timeout(RETRY, news.changed()).await {
                    return;
                }
            }
        }
    });
    sender
}

/// What a router starts with: the settings that were kept, if there are sound ones; the configuration's own where not.
///
/// # Errors
/// The configuration file cannot be used.
pub fn startup_config(
    mut subscription: Subscription,
    config: &Path,
    clock: Clock,
    router_count: Option<u64>,
) -> Result<(StartupConfig, Subscription), StartupError> {
    let kept = subscription.persist_path.as_deref().map_or(Ok(None), read);
    let (kept, mut said) = match kept {
        Ok(kept) => (kept, None),
        Err(why) => (None, Some(why)),
    };
    if let Some(kept) = kept {
        let number = kept.version.number;
        let settings = serde_json::from_str::<Value>(&kept.version.text).map_err(|why| why.to_string());
        let config = settings.and_then(|settings| {
            let overrides = Overrides { router_count, settings: Some(settings) };
            StartupConfig::read(config, overrides, clock).map_err(|why| why.to_string())
        });
        match config {
            Ok(config) => {
                subscription.persisted = Some(kept);
                return Ok((config, subscription));
            }
            Err(why) => said = Some(format!("version {number} of the kept file: {why}; ignored")),
        }
    }
    subscription.load_error = said;
    let config = StartupConfig::read(config, Overrides { router_count, settings: None }, clock)?;
    Ok((config, subscription))
}

/// Writes the newest version; why it is not kept, if it is not.
async fn keep_newest(news: &mut watch::Receiver<Newest>, path: &Path, clock: Clock) -> Option<String> {
    let (version, as_of) = news.borrow_and_update().clone()?;
    let (number, path) = (version.number, path.to_path_buf());
    let age = as_of.map(|as_of| clock.now() - as_of);
    let as_of_unix_ms = age.map(|age| ((clock.unix_now() - age).max(0.0) * 1e3) as u64);
    let kept = PersistedVersion { version, as_of_unix_ms };
    let why = match spawn_blocking(move || write(&path, &kept)).await {
        Ok(Ok(())) => return None,
        Ok(Err(why)) => why.to_string(),
        Err(why) => why.to_string(),
    };
    Some(format!("version {number} is not kept on disk: {why}"))
}
