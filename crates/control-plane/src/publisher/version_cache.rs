//! The newest committed versions, from which patches are made.
use crate::content::{self, Digest, MAX_SETTINGS_BYTES, VersionContent};
use crate::version::VersionNumber;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Why a version was not cached.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CacheError {
    /// Another content has this number already. The first one stays.
    #[error("version {number} has two contents; the first is kept")]
    Conflict {
        /// The version.
        number: VersionNumber,
    },
    /// Settings of more than [`MAX_SETTINGS_BYTES`] are never distributed.
    #[error("version {number} has {bytes} bytes of settings; at most {MAX_SETTINGS_BYTES} are distributed")]
    TooLarge {
        /// The version.
        number: VersionNumber,
        /// Bytes of its settings in canonical form.
        bytes: usize,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CachedVersion {
    digest: Digest,
    text: Arc<str>,
}

/// Committed versions by number. Numbers only grow, and a number keeps the content that came first.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionCache {
    capacity: usize,
    versions: BTreeMap<VersionNumber, CachedVersion>,
}

/// Where a subscriber stands, by the version that it received last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriberPosition {
    /// It has the newest version.
    UpToDate,
    /// It has a version that is not known here, and gets nothing.
    Ahead,
    /// It has another content under the newest number, and gets nothing until there is a newer one.
    Conflict,
    /// The newest version can be sent as a patch on what it has.
    PatchAvailable,
    /// The complete settings have to be sent.
    SnapshotNeeded,
}

impl VersionCache {
    /// A cache for the newest `capacity` versions; the newest one is always kept.
    pub fn new(capacity: usize) -> Self {
        VersionCache { capacity: capacity.max(1), versions: BTreeMap::new() }
    }

    /// Number of the newest version; 0 if there is none.
    pub fn latest(&self) -> VersionNumber {
        self.latest_with_digest().0
    }

    /// Number and digest of the newest version; zeros if there is none.
    pub fn latest_with_digest(&self) -> (VersionNumber, Digest) {
        self.versions.last_key_value().map_or((0, 0), |(number, version)| (*number, version.digest))
    }

    /// Adds a version with canonical settings, and returns whether it is the newest now. A version that is older than the
    /// newest is not added.
    ///
    /// # Errors
    ///
    /// [`CacheError::Conflict`] if the number has another content, [`CacheError::TooLarge`] for settings that cannot be
    /// distributed. The cache is unchanged.
    pub fn insert(&mut self, number: VersionNumber, text: &str) -> Result<bool, CacheError> {
        let digest = content::digest(text);
        match self.versions.get(&number) {
            Some(cached) if cached.digest != digest => return Err(CacheError::Conflict { number }),
            Some(_) => return Ok(false),
            None if number <= self.latest() => return Ok(false),
            None => {}
        }
        if text.len() > MAX_SETTINGS_BYTES {
            return Err(CacheError::TooLarge { number, bytes: text.len() });
        }
        self.versions.insert(number, CachedVersion { digest, text: text.into() });
        while self.versions.len() > self.capacity {
            self.versions.pop_first();
        }
        Ok(true)
    }

    /// The position of a subscriber that received version `received` with this digest.
    pub fn position(&self, received: VersionNumber, digest: Digest) -> SubscriberPosition {
        let latest = self.latest();
        if latest == 0 || received > latest {
            return SubscriberPosition::Ahead;
        }
        let same_content = self.versions.get(&received).map(|version| version.digest == digest);
        match same_content {
            Some(true) if received == latest => SubscriberPosition::UpToDate,
            Some(false) if received == latest => SubscriberPosition::Conflict,
            Some(true) => SubscriberPosition::PatchAvailable,
            Some(false) | None => SubscriberPosition::SnapshotNeeded,
        }
    }

    /// The newest version: as a patch on `base` if that is cached and the patch is shorter, else complete.
    pub fn content(&self, base: Option<VersionNumber>) -> Option<VersionContent> {
        let (&number, newest) = self.versions.last_key_value()?;
        let patch = base.and_then(|base| {
            let cached = self.versions.get(&base)?;
            Some((base, content::make_patch(&cached.text, &newest.text)?))
        });
        let (base, text) = patch.unwrap_or_else(|| (0, newest.text.to_string()));
        Some(VersionContent { number, base, digest: newest.digest, text })
    }
}
