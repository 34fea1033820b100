//! Which versions a router has. The one place where a version is accepted: it never goes back, whoever sends it.
use crate::content::{self, Digest, VersionContent};
use crate::messages::ApplyOutcome;
use crate::version::VersionNumber;
use serde_json::Value;
use std::sync::Arc;

/// A version with its settings in canonical form. The default is no version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigVersion {
    /// 0 stands for no version.
    pub number: VersionNumber,
    /// Digest of the settings.
    pub digest: Digest,
    /// Settings in canonical form.
    pub text: Arc<str>,
}

impl ConfigVersion {
    /// A version of canonical settings.
    pub fn new(number: VersionNumber, text: &str) -> Self {
        ConfigVersion { number, digest: content::digest(text), text: text.into() }
    }
}

impl Default for ConfigVersion {
    fn default() -> Self {
        ConfigVersion::new(0, "")
    }
}

/// What became of content that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveResult {
    /// It is the newest version now.
    New,
    /// The router has this version or a newer one.
    Stale,
    /// It does not result in the settings that its digest tells, or is a patch on another version.
    DigestMismatch,
    /// The router has other settings under this number. It keeps them.
    Conflict,
}

/// The versions of a router.
///
/// A received version is offered to the router, one at a time. An applied one is active and persisted. One that needs a
/// restart is persisted only, so that the next start is with it. A rejected one is neither.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionState {
    received: ConfigVersion,
    active: ConfigVersion,
    persisted: ConfigVersion,
    offered: Option<ConfigVersion>,
    /// The last version that was offered and did not become active.
    not_applied: VersionNumber,
}

impl VersionState {
    /// The state of a router that started with this version.
    pub fn resume(active: ConfigVersion) -> Self {
        VersionState {
            received: active.clone(),
            persisted: active.clone(),
            active,
            ..VersionState::default()
        }
    }

    /// The newest version that was received; patches are made on it.
    pub fn received(&self) -> &ConfigVersion {
        &self.received
    }

    /// The version that the router works with.
    pub fn active(&self) -> &ConfigVersion {
        &self.active
    }

    /// The version that the next start has to be with.
    pub fn persisted(&self) -> &ConfigVersion {
        &self.persisted
    }

    /// Accepts content if it results in a newer version.
    pub fn receive(&mut self, content: &VersionContent) -> ReceiveResult {
        if content.number == self.received.number && content.digest != self.received.digest {
            return ReceiveResult::Conflict;
        }
        if content.number <= self.received.number {
            return ReceiveResult::Stale;
        }
        let Some(text) = self.settings_of(content).filter(|text| content::digest(text) == content.digest)
        else {
            return ReceiveResult::DigestMismatch;
        };
        self.received = ConfigVersion { number: content.number, digest: content.digest, text: text.into() };
        ReceiveResult::New
    }

    /// The settings that content results in, if it is complete or a patch on the received version.
    fn settings_of(&self, content: &VersionContent) -> Option<String> {
        match content.base {
            0 => serde_json::from_str::<Value>(&content.text).is_ok().then(|| content.text.clone()),
            base if base == self.received.number => content::apply_patch(&self.received.text, &content.text),
            _ => None,
        }
    }

    /// The received version, if it is to be offered to the router now.
    pub fn next_offer(&mut self) -> Option<ConfigVersion> {
        if self.offered.is_some() || self.received.number <= self.not_applied.max(self.active.number) {
            return None;
        }
        self.offered = Some(self.received.clone());
        self.offered.clone()
    }

    /// The router's answer to an offer. Returns false if this version is not on offer; nothing changes then.
    pub fn complete_offer(&mut self, number: VersionNumber, outcome: &ApplyOutcome) -> bool {
        let Some(offered) = self.offered.take_if(|offered| offered.number == number) else { return false };
        match outcome {
            ApplyOutcome::Applied => {
                self.active = offered.clone();
                self.persisted = offered;
            }
            ApplyOutcome::PendingRestart(_) => {
                self.persisted = offered;
                self.not_applied = number;
            }
            ApplyOutcome::Rejected(_) => self.not_applied = number,
        }
        true
    }
}
