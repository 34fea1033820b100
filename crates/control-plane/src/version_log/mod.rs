//! The committed versions, numbered from 1. Replicas apply the same proposals in the same order, so the log is the same
//! on each of them: it depends on no clock and no random choice. Settings are validated before they are proposed.
mod changed_keys;

use crate::version::{Proposal, Version, VersionNumber};
pub use changed_keys::changed_keys;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Versions that are retained.
pub const MAX_VERSIONS: usize = 4000;
/// Bytes of retained settings as JSON. The newest version is retained whatever its size.
pub const MAX_RETAINED_BYTES: usize = 24 * 1024 * 1024;
/// Versions that [`ProposalError::WouldUndo`] lists.
pub const MAX_UNDONE_VERSIONS: usize = 20;

/// The retained versions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionLog {
    versions: VecDeque<Version>,
    /// Retained versions by the id of their proposal. Rebuilt by [`VersionLog::from_versions`].
    #[serde(skip)]
    numbers_by_proposal: BTreeMap<String, VersionNumber>,
    /// Bytes of the retained settings as JSON. Rebuilt by [`VersionLog::from_versions`].
    #[serde(skip)]
    retained_bytes: usize,
}

/// A version that a rejected proposal would have undone, because its proposer had not seen it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UndoneVersion {
    /// Its position in the log.
    pub number: VersionNumber,
    /// Who proposed it.
    pub author: String,
    /// Why, in the author's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// The keys that it changed, as [`changed_keys`] names them.
    #[serde(rename = "keys")]
    pub changed_keys: Vec<String>,
}

/// Why a proposal did not become a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum ProposalError {
    /// Versions were committed after the proposal's base.
    #[error("{count} versions up to {newest} would be undone")]
    WouldUndo {
        /// The newest version.
        newest: VersionNumber,
        /// Versions after the base.
        count: u64,
        /// The last of them, at most [`MAX_UNDONE_VERSIONS`], oldest first.
        undone: Vec<UndoneVersion>,
    },
    /// The proposal's base does not exist yet.
    #[error("version {base} does not exist, the newest is {newest}")]
    BaseUnknown {
        /// The base of the proposal.
        base: VersionNumber,
        /// The newest version.
        newest: VersionNumber,
    },
    /// The proposal's id belongs to a version with other settings.
    #[error("its id was used for version {number}, which has other settings")]
    IdTaken {
        /// The version with that id.
        number: VersionNumber,
    },
    /// The committed entry is no proposal.
    #[error("it cannot be read as a proposal")]
    Unreadable,
}

impl VersionLog {
    /// A log with the versions of a snapshot, oldest first.
    pub fn from_versions(versions: VecDeque<Version>) -> VersionLog {
        let numbers_by_proposal =
            versions.iter().map(|version| (version.proposal_id.clone(), version.number)).collect();
        let retained_bytes = versions.iter().map(settings_bytes).sum();
        VersionLog { versions, numbers_by_proposal, retained_bytes }
    }

    /// The retained versions, oldest first.
    pub fn versions(&self) -> &VecDeque<Version> {
        &self.versions
    }

    /// The newest version.
    pub fn latest(&self) -> Option<&Version> {
        self.versions.back()
    }

    /// Number of the newest version; 0 if there is none.
    pub fn latest_number(&self) -> VersionNumber {
        self.latest().map_or(0, |version| version.number)
    }

    /// A retained version by its number.
    pub fn get(&self, number: VersionNumber) -> Option<&Version> {
        let first = self.versions.front()?.number;
        self.versions.get(usize::try_from(number.checked_sub(first)?).ok()?)
    }

    /// Appends the proposal as the next version and returns its number. A proposal that was applied before returns the
    /// number it got then.
    ///
    /// # Errors
    ///
    /// A [`ProposalError`] if its id was used for other settings, or its base is not the newest version. The log is
    /// unchanged.
    pub fn apply(&mut self, proposal: Proposal) -> Result<VersionNumber, ProposalError> {
        if let Some(&number) = self.numbers_by_proposal.get(&proposal.id) {
            let same = self.get(number).is_some_and(|version| version.settings == proposal.settings);
            return if same { Ok(number) } else { Err(ProposalError::IdTaken { number }) };
        }
        let newest = self.latest_number();
        if proposal.base > newest {
            return Err(ProposalError::BaseUnknown { base: proposal.base, newest });
        }
        if proposal.base < newest {
            return Err(self.would_undo(proposal.base));
        }
        Ok(self.append(proposal))
    }

    fn append(&mut self, proposal: Proposal) -> VersionNumber {
        let Proposal { id, author, reason, at_unix_ms, settings, base: _ } = proposal;
        let number = self.latest_number() + 1;
        let version = Version { number, proposal_id: id.clone(), author, reason, at_unix_ms, settings };
        self.retained_bytes += settings_bytes(&version);
        self.versions.push_back(version);
        self.numbers_by_proposal.insert(id, number);
        self.drop_oldest();
        number
    }

    /// Drops the oldest versions until the rest is within the limits.
    fn drop_oldest(&mut self) {
        while self.versions.len() > MAX_VERSIONS
            || (self.retained_bytes > MAX_RETAINED_BYTES && self.versions.len() > 1)
        {
            let Some(dropped) = self.versions.pop_front() else { return };
            self.retained_bytes -= settings_bytes(&dropped);
            self.numbers_by_proposal.remove(&dropped.proposal_id);
        }
    }

    fn would_undo(&self, base: VersionNumber) -> ProposalError {
        let newest = self.latest_number();
        let newest_first = self.versions.iter().filter(|version| version.number > base).rev();
        let mut undone: Vec<UndoneVersion> =
            newest_first.take(MAX_UNDONE_VERSIONS).map(|version| self.undone(version)).collect();
        undone.reverse();
        ProposalError::WouldUndo { newest, count: newest - base, undone }
    }

    fn undone(&self, version: &Version) -> UndoneVersion {
        let previous = version.number.checked_sub(1).and_then(|number| self.get(number));
        UndoneVersion {
            number: version.number,
            author: version.author.clone(),
            reason: version.reason.clone(),
            changed_keys: previous
                .map_or(vec![], |previous| changed_keys(&previous.settings, &version.settings)),
        }
    }
}

fn settings_bytes(version: &Version) -> usize {
    version.settings.to_string().len()
}
