//! The order as applied: versions numbered from 1 on. The same on every machine, as it goes by the order alone: no clock,
//! no chance. Whether settings are sound was checked at the door, before they were proposed.
use crate::version::{Proposal, Version, VersionNumber};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Versions that are kept, and bytes of their settings as JSON; the newest is kept whatever its size.
pub const MAX_VERSIONS: usize = 4000;
pub const MAX_SETTINGS_BYTES: usize = 24 * 1024 * 1024;
/// Versions that a refusal names.
pub const MAX_UNDONE_VERSIONS: usize = 20;
/// Keys that it names of each.
const MAX_CHANGED_KEYS: usize = 40;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionLog {
    versions: VecDeque<Version>,
    /// Of proposals that were made versions which are kept.
    #[serde(skip)]
    ids: BTreeMap<String, VersionNumber>,
    #[serde(skip)]
    bytes: usize,
}

/// A version that a proposal would undo, as its proposer had not seen it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UndoneVersion {
    pub number: VersionNumber,
    pub author: String,
    #[serde(rename = "why")]
    pub reason: String,
    /// What it changed: keys of the settings, of a vertical with its name.
    #[serde(rename = "keys")]
    pub changed_keys: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalError {
    /// Versions were made since `base`: the newest of them, and how many there are.
    WouldUndo { newest: VersionNumber, count: u64, undone: Vec<UndoneVersion> },
    /// There is no version of this number yet.
    BaseUnknown { base: VersionNumber, newest: VersionNumber },
    /// The same id was used for other settings.
    IdTaken { number: VersionNumber },
    /// It was committed, but cannot be read as a proposal.
    Unreadable,
}

impl VersionLog {
    /// Of a snapshot's text.
    pub fn from_versions(versions: VecDeque<Version>) -> VersionLog {
        let ids = versions.iter().map(|version| (version.proposal_id.clone(), version.number)).collect();
        let bytes = versions.iter().map(size).sum();
        VersionLog { versions, ids, bytes }
    }

    pub fn versions(&self) -> &VecDeque<Version> {
        &self.versions
    }

    pub fn latest(&self) -> Option<&Version> {
        self.versions.back()
    }

    pub fn latest_number(&self) -> VersionNumber {
        self.latest().map_or(0, |version| version.number)
    }

    /// One that is still kept.
    pub fn get(&self, number: VersionNumber) -> Option<&Version> {
        let first = self.versions.front()?.number;
        self.versions.get(usize::try_from(number.checked_sub(first)?).ok()?)
    }

    /// The next in order, or why not. Of the same proposal again the same.
    pub fn apply(&mut self, proposal: Proposal) -> Result<VersionNumber, ProposalError> {
        let newest = self.latest_number();
        if let Some(&number) = self.ids.get(&proposal.id) {
            let same = self.get(number).is_some_and(|version| version.settings == proposal.settings);
            return if same { Ok(number) } else { Err(ProposalError::IdTaken { number }) };
        }
        if proposal.base > newest {
            return Err(ProposalError::BaseUnknown { base: proposal.base, newest });
        }
        if proposal.base < newest {
            return Err(self.undone_by(proposal.base));
        }
        let Proposal { id, author, reason, at_unix_ms, settings, .. } = proposal;
        let number = newest + 1;
        let version = Version { number, proposal_id: id.clone(), author, reason, at_unix_ms, settings };
        self.bytes += size(&version);
        self.versions.push_back(version);
        self.ids.insert(id, number);
        while self.versions.len() > MAX_VERSIONS
            || (self.bytes > MAX_SETTINGS_BYTES && self.versions.len() > 1)
        {
            if let Some(gone) = self.versions.pop_front() {
                self.bytes -= size(&gone);
                self.ids.remove(&gone.proposal_id);
            }
        }
        Ok(number)
    }

    fn undone_by(&self, base: VersionNumber) -> ProposalError {
        let newest = self.latest_number();
        let since =
            self.versions.iter().filter(|version| version.number > base).rev().take(MAX_UNDONE_VERSIONS);
        let mut undone: Vec<UndoneVersion> = since.map(|version| self.undone(version)).collect();
        undone.reverse();
        ProposalError::WouldUndo { newest, count: newest - base, undone }
    }

    fn undone(&self, version: &Version) -> UndoneVersion {
        let before = version.number.checked_sub(1).and_then(|number| self.get(number));
        let keys = before.map_or(vec![], |before| changed_keys(&before.settings, &version.settings));
        UndoneVersion {
            number: version.number,
            author: version.author.clone(),
            reason: version.reason.clone(),
            changed_keys: keys,
        }
    }
}

fn size(version: &Version) -> usize {
    version.settings.to_string().len()
}

/// The keys by which settings differ: at the top level, and below a list of things that have names, such as verticals,
/// each thing's own.
pub fn changed_keys(one: &Value, other: &Value) -> Vec<String> {
    let mut keys = vec![];
    if let (Value::Object(one), Value::Object(other)) = (one, other) {
        for key in differing_keys(one, other) {
            match (one.get(&key).and_then(named), other.get(&key).and_then(named)) {
                (Some(one), Some(other)) => below(&key, &one, &other, &mut keys),
                _ => keys.push(key),
            }
        }
    } else if one != other {
        keys.push("all".into());
    }
    keys.truncate(MAX_CHANGED_KEYS);
    keys
}

fn differing_keys(one: &Map<String, Value>, other: &Map<String, Value>) -> BTreeSet<String> {
    one.keys().chain(other.keys()).filter(|key| one.get(*key) != other.get(*key)).cloned().collect()
}

type Named<'a> = BTreeMap<&'a str, &'a Map<String, Value>>;

/// A list's things by name, if they all have names of their own.
fn named(value: &Value) -> Option<Named<'_>> {
    let list = value.as_array()?;
    let all: Option<Named> =
        list.iter().map(|thing| Some((thing.get("Name")?.as_str()?, thing.as_object()?))).collect();
    all.filter(|all| all.len() == list.len())
}

fn below(key: &str, one: &Named, other: &Named, keys: &mut Vec<String>) {
    let before = keys.len();
    let names: BTreeSet<&&str> = one.keys().chain(other.keys()).collect();
    for name in names {
        match (one.get(*name), other.get(*name)) {
            (Some(one), Some(other)) => {
                keys.extend(differing_keys(one, other).iter().map(|k| format!("{key}.{name}.{k}")));
            }
            _ => keys.push(format!("{key}.{name}")),
        }
    }
    if keys.len() == before {
        // The same things in another order.
        keys.push(key.into());
    }
}
