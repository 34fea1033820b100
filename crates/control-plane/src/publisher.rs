//! The control machine's side of subscriptions: which words go to which router, and when. It is fed committed versions,
//! connections, words and a time of the own steady clock, and gives words within each router's budget and one for all.
//! Only what was committed is ever told, and one content under one number.
use crate::messages::{
    self, ApplyOutcome, ControlMessage, Digest, MAX_PART_BYTES, MAX_SETTINGS_BYTES, PART_HEADER_BYTES,
    RouterMessage, VersionContent,
};
use crate::rate_limit::{CONTROL_TO_ALL_ROUTERS, CONTROL_TO_ROUTER, RateLimit, TokenBucket};
use crate::version::{Version, VersionNumber};
use crate::version_sink::{LaggingRouter, RouterSummary};
use alderway_transport::{Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

/// Versions that are kept to make deltas upon; who is further back gets the whole.
pub const CACHED_VERSIONS: usize = 64;
/// A beat as it goes out takes no more.
const BEAT: usize = 48;
const LONGEST_NAME: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublisherConfig {
    pub cached_versions: usize,
    pub router_limit: RateLimit,
    pub total_limit: RateLimit,
    /// Seconds without a word of a router before its connection ends.
    pub link_timeout_s: f64,
    /// Routers at one machine.
    pub max_links: usize,
}

impl Default for PublisherConfig {
    fn default() -> Self {
        PublisherConfig {
            cached_versions: CACHED_VERSIONS,
            router_limit: CONTROL_TO_ROUTER,
            total_limit: CONTROL_TO_ALL_ROUTERS,
            link_timeout_s: 10.0,
            max_links: 1000,
        }
    }
}

/// Why a version was not put on the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheError {
    /// Another content has that number here already.
    Conflict(VersionNumber),
    TooLarge(VersionNumber, usize),
}

impl fmt::Display for CacheError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CacheError::Conflict(number) => {
                write!(out, "version {number} came with two contents; the first holds")
            }
            CacheError::TooLarge(number, length) => {
                write!(out, "version {number} takes {length} bytes; {MAX_SETTINGS_BYTES} at most are told")
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kept {
    digest: Digest,
    text: Arc<str>,
}

/// Committed versions as a machine has them. Numbers only grow, each with the content that came first.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionCache {
    gap: usize,
    kept: BTreeMap<VersionNumber, Kept>,
}

/// How a router stands that has a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriberPosition {
    UpToDate,
    /// This machine has nothing that the router has not.
    Ahead,
    /// It has another content under a number.
    Conflict,
    /// The newest can be told as a patch upon what it has.
    PatchAvailable,
    /// The whole has to be told.
    SnapshotNeeded,
}

impl VersionCache {
    pub fn new(gap: usize) -> Self {
        VersionCache { gap, kept: BTreeMap::new() }
    }

    pub fn latest(&self) -> VersionNumber {
        self.kept.last_key_value().map_or(0, |(number, _)| *number)
    }

    fn newest_digest(&self) -> (VersionNumber, Digest) {
        self.kept.last_key_value().map_or((0, 0), |(number, kept)| (*number, kept.digest))
    }

    /// Whether it is a new one. What is older than the newest and not here is not wanted any more.
    pub fn insert(&mut self, number: VersionNumber, text: &str) -> Result<bool, CacheError> {
        let digest = messages::digest(text);
        match self.kept.get(&number) {
            Some(kept) if kept.digest != digest => return Err(CacheError::Conflict(number)),
            Some(_) => return Ok(false),
            None => {}
        }
        if number <= self.latest() {
            return Ok(false);
        }
        if text.len() > MAX_SETTINGS_BYTES {
            return Err(CacheError::TooLarge(number, text.len()));
        }
        self.kept.insert(number, Kept { digest, text: text.into() });
        while self.kept.len() > self.gap.max(1) {
            self.kept.pop_first();
        }
        Ok(true)
    }

    pub fn position(&self, got: VersionNumber, digest: Digest) -> SubscriberPosition {
        let newest = self.latest();
        let alike = self.kept.get(&got).map(|kept| kept.digest == digest);
        match alike {
            _ if got > newest || newest == 0 => SubscriberPosition::Ahead,
            Some(true) if got == newest => SubscriberPosition::UpToDate,
            Some(false) if got == newest => SubscriberPosition::Conflict,
            Some(true) => SubscriberPosition::PatchAvailable,
            _ => SubscriberPosition::SnapshotNeeded,
        }
    }

    /// The newest, as a patch upon `base` where that can be and is shorter.
    pub fn content(&self, base: Option<VersionNumber>) -> Option<VersionContent> {
        let (&number, newest) = self.kept.last_key_value()?;
        let patch = base.and_then(|base| Some((base, self.kept.get(&base)?)));
        let patch =
            patch.and_then(|(base, kept)| Some((base, messages::make_patch(&kept.text, &newest.text)?)));
        let (base, text) = patch.unwrap_or_else(|| (0, newest.text.to_string()));
        Some(VersionContent { number, base, digest: newest.digest, text })
    }
}

/// Why a connection is of no use.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkError {
    TooManyLinks(usize),
    /// A later start of that name is connected.
    StaleIncarnation(Name, Incarnation),
    InvalidName,
}

impl fmt::Display for LinkError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LinkError::TooManyLinks(most) => write!(out, "{most} routers are connected already"),
            LinkError::StaleIncarnation(name, incarnation) => {
                write!(out, "incarnation {incarnation} of `{name}` is an earlier one")
            }
            LinkError::InvalidName => write!(out, "its name has not 1 to {LONGEST_NAME} bytes"),
        }
    }
}

#[derive(Debug)]
struct Link {
    name: Name,
    incarnation: Incarnation,
    heard: f64,
    bucket: TokenBucket,
    /// A word is on its way out.
    busy: bool,
    /// What the router has once all is there that was sent; none before it asked.
    told: Option<(VersionNumber, Digest)>,
    /// A patch was of no use to it.
    whole: bool,
    sending: Option<(Rc<VersionContent>, usize)>,
    beat: Option<u64>,
    held: VersionNumber,
    /// The version that it did not take over, and why not.
    lacks: Option<(VersionNumber, String)>,
}

/// What was met, for counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PublisherMetrics {
    pub links: u64,
    pub links_timed_out: u64,
    pub snapshots: u64,
    pub patches: u64,
    pub heartbeats: u64,
    /// Bytes to all routers.
    pub bytes: u64,
    /// Routers that had another content under a number.
    pub conflicts: u64,
}

#[derive(Debug)]
pub struct Publisher {
    config: PublisherConfig,
    cache: VersionCache,
    /// When each version on the cache came.
    came: BTreeMap<VersionNumber, f64>,
    /// The newest as it is told, by what it is told upon; 0: whole.
    made: BTreeMap<VersionNumber, Rc<VersionContent>>,
    as_of: f64,
    majority: bool,
    links: BTreeMap<u64, Link>,
    by_name: BTreeMap<Name, u64>,
    last_link: u64,
    total: TokenBucket,
    /// Links with a version, or a beat, to tell; whose turn it was last.
    changes: BTreeSet<u64>,
    beats: BTreeSet<u64>,
    turn: u64,
    pub metrics: PublisherMetrics,
}

impl Publisher {
    pub fn new(config: PublisherConfig, now: f64) -> Self {
        Publisher {
            config,
            cache: VersionCache::new(config.cached_versions),
            came: BTreeMap::new(),
            made: BTreeMap::new(),
            as_of: f64::NEG_INFINITY,
            majority: false,
            links: BTreeMap::new(),
            by_name: BTreeMap::new(),
            last_link: 0,
            total: TokenBucket::full(config.total_limit, now),
            changes: BTreeSet::new(),
            beats: BTreeSet::new(),
            turn: 0,
            metrics: PublisherMetrics::default(),
        }
    }

    /// A version was committed: it goes out from here on. Whether it is a new one here.
    pub fn commit(&mut self, version: &Version, now: f64) -> Result<bool, CacheError> {
        let text = messages::canonical_json(&version.settings);
        let new = self.cache.insert(version.number, &text)?;
        if new {
            self.came.insert(version.number, now);
            while self.came.len() > self.config.cached_versions.max(1) {
                self.came.pop_first();
            }
            self.made.clear();
            // Who is being told an earlier one is told that whole first: a flood of changes must not starve all of them.
            let asked = self.links.iter().filter(|(_, link)| link.told.is_some());
            self.changes.extend(asked.map(|(number, _)| *number));
        }
        Ok(new)
    }

    /// For `age` seconds at most has the newest version here not been known to be the newest of all.
    pub fn set_freshness(&mut self, age: f64, majority: bool, now: f64) {
        self.as_of = now - age;
        self.majority = majority;
    }

    pub fn latest(&self) -> VersionNumber {
        self.cache.latest()
    }

    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// A router has said hello; the number of the link from here on. One of the same name ends.
    pub fn open_link(&mut self, name: &str, incarnation: Incarnation, now: f64) -> Result<u64, LinkError> {
        if name.is_empty() || name.len() > LONGEST_NAME {
            return Err(LinkError::InvalidName);
        }
        let former = self.by_name.get(name).copied();
        let later = former.and_then(|former| self.links.get(&former)).map(|link| link.incarnation);
        if later.is_some_and(|later| incarnation < later) {
            return Err(LinkError::StaleIncarnation(name.into(), incarnation));
        }
        if let Some(former) = former {
            self.close_link(former);
        }
        if self.links.len() >= self.config.max_links {
            return Err(LinkError::TooManyLinks(self.config.max_links));
        }
        self.last_link += 1;
        self.metrics.links += 1;
        let link = Link {
            name: name.into(),
            incarnation,
            heard: now,
            bucket: TokenBucket::empty(self.config.router_limit, now),
            busy: false,
            told: None,
            whole: false,
            sending: None,
            beat: None,
            held: 0,
            lacks: None,
        };
        self.links.insert(self.last_link, link);
        self.by_name.insert(name.into(), self.last_link);
        Ok(self.last_link)
    }

    /// Whether a link is still one: another connection of its router, or silence, ends it.
    pub fn has_link(&self, link: u64) -> bool {
        self.links.contains_key(&link)
    }

    pub fn close_link(&mut self, link: u64) {
        self.changes.remove(&link);
        self.beats.remove(&link);
        let Some(gone) = self.links.remove(&link) else { return };
        if self.by_name.get(&gone.name) == Some(&link) {
            self.by_name.remove(&gone.name);
        }
    }

    pub fn receive(&mut self, link: u64, say: RouterMessage, now: f64) {
        let number = link;
        let Some(link) = self.links.get_mut(&number) else { return };
        link.heard = now;
        match say {
            RouterMessage::Subscribe { received: got, digest, active: held, needs_snapshot: whole } => {
                let standing = self.cache.position(got, digest);
                self.metrics.conflicts += u64::from(standing == SubscriberPosition::Conflict);
                link.told = Some((got, digest));
                (link.held, link.whole, link.sending) = (held, whole, None);
                self.changes.insert(number);
            }
            RouterMessage::HeartbeatRequest { sequence: stamp } => {
                link.beat = Some(stamp);
                self.beats.insert(number);
            }
            RouterMessage::ApplyReport { number: version, outcome } => {
                link.lacks = match outcome {
                    ApplyOutcome::Applied => {
                        link.held = version;
                        None
                    }
                    ApplyOutcome::PendingRestart(keys) => {
                        Some((version, format!("{version} waits for a start: {}", keys.join(", "))))
                    }
                    ApplyOutcome::Rejected(why) => Some((version, format!("refused {version}: {why}"))),
                };
            }
        }
    }

    /// To be called a few times a second: links that were silent for too long end.
    pub fn tick(&mut self, now: f64) -> Vec<(u64, Name)> {
        let silent = self.links.iter().filter(|(_, link)| now - link.heard > self.config.link_timeout_s);
        let silent: Vec<(u64, Name)> = silent.map(|(number, link)| (*number, link.name.clone())).collect();
        silent.iter().for_each(|(link, _)| self.close_link(*link));
        self.metrics.links_timed_out += silent.len() as u64;
        silent
    }

    /// What goes out next, if anything may go now, and over which link, which is not asked again before `sent`. A change
    /// comes before a beat; links take turns.
    pub fn next_message(&mut self, now: f64) -> Option<(u64, Vec<u8>)> {
        let (link, word) = self.next_of(true, now).or_else(|| self.next_of(false, now))?;
        self.turn = link;
        let bytes = messages::encode_frame(&word);
        let held = self.links.get_mut(&link)?;
        held.busy = true;
        held.bucket.try_take(bytes.len(), now);
        self.total.try_take(bytes.len(), now);
        self.metrics.bytes += bytes.len() as u64;
        Some((link, bytes))
    }

    /// What was given for a link has gone out whole.
    pub fn message_sent(&mut self, link: u64) {
        if let Some(link) = self.links.get_mut(&link) {
            link.busy = false;
        }
    }

    /// When to ask for the next word again, if nothing comes in before.
    pub fn next_deadline(&self) -> f64 {
        let (changes, beats) = (&self.changes, &self.beats);
        let open = |link: &u64| self.links.get(link).filter(|link| !link.busy);
        let changes = changes.iter().filter_map(open).map(|link| (link, Self::part_of(link)));
        let beats = beats.iter().filter_map(open).map(|link| (link, BEAT));
        let due = changes.chain(beats).map(|(link, length)| (link.bucket.ready_at(length), length));
        due.map(|(at, length)| at.max(self.total.ready_at(length))).fold(f64::INFINITY, f64::min)
    }

    /// Bytes that the next part takes at most.
    fn part_of(link: &Link) -> usize {
        let left = link.sending.as_ref().map_or(MAX_PART_BYTES, |(content, at)| content.text.len() - at);
        left.min(MAX_PART_BYTES) + PART_HEADER_BYTES
    }

    fn next_of(&mut self, change: bool, now: f64) -> Option<(u64, ControlMessage)> {
        let ready = if change { &self.changes } else { &self.beats };
        let turns = ready.range(self.turn + 1..).chain(ready.range(..=self.turn));
        for number in turns.copied().collect::<Vec<u64>>() {
            if change && !self.prepare(number) {
                self.changes.remove(&number);
                continue;
            }
            let Some(link) = self.links.get_mut(&number) else { continue };
            let length = if change { Self::part_of(link) } else { BEAT };
            if link.busy || link.bucket.available_bytes(now) < length {
                continue;
            }
            // Guards against small words that go on while a long one waits for the budget of all.
            if self.total.available_bytes(now) < length {
                return None;
            }
            if !change {
                self.beats.remove(&number);
                let Some(stamp) = link.beat.take() else { continue };
                self.metrics.heartbeats += 1;
                let (newest, digest) = self.cache.newest_digest();
                let (age, majority) = (now - self.as_of, self.majority);
                return Some((
                    number,
                    ControlMessage::Heartbeat {
                        sequence: stamp,
                        latest: newest,
                        digest,
                        staleness_s: age,
                        has_quorum: majority,
                    },
                ));
            }
            let Some((content, at)) = &mut link.sending else { continue };
            let part = content.part(*at);
            *at += MAX_PART_BYTES;
            if *at >= content.text.len() {
                link.told = Some((content.number, content.digest));
                link.sending = None;
            }
            return Some((number, part));
        }
        None
    }

    /// Whether a link has something to be told; readies it.
    fn prepare(&mut self, number: u64) -> bool {
        let Some(link) = self.links.get_mut(&number) else { return false };
        if link.sending.is_some() {
            return true;
        }
        let Some((got, digest)) = link.told else { return false };
        let base = match self.cache.position(got, digest) {
            SubscriberPosition::UpToDate | SubscriberPosition::Ahead | SubscriberPosition::Conflict => {
                return false;
            }
            SubscriberPosition::PatchAvailable if !link.whole => got,
            SubscriberPosition::PatchAvailable | SubscriberPosition::SnapshotNeeded => 0,
        };
        let content = match self.made.get(&base) {
            Some(content) => content.clone(),
            None => {
                let Some(content) = self.cache.content((base > 0).then_some(base)) else { return false };
                let content = Rc::new(content);
                self.made.insert(base, content.clone());
                content
            }
        };
        let count = if content.base > 0 { &mut self.metrics.patches } else { &mut self.metrics.snapshots };
        *count += 1;
        (link.whole, link.sending) = (false, Some((content, 0)));
        true
    }

    /// The routers here by the version in force, and who lags.
    pub fn summary(&self, now: f64) -> RouterSummary {
        let (newest, mut summary) = (self.cache.latest(), RouterSummary::default());
        for link in self.links.values() {
            *summary.by_version.entry(link.held).or_default() += 1;
            if link.held >= newest {
                continue;
            }
            let missed = self.came.range(link.held + 1..).next().map_or(now, |(_, came)| *came);
            let why = match &link.lacks {
                Some((version, why)) if *version == newest => why.clone(),
                _ if link.told.is_none() => "has not asked yet".into(),
                _ if link.sending.is_some() => "is being told".into(),
                _ if self.clashes(link) => "has other content under the newest number".into(),
                _ => "has not answered yet".into(),
            };
            let (router, version, since_s) = (link.name.clone(), link.held, (now - missed).max(0.0));
            summary.lagging.push(LaggingRouter { router, version, since_s, reason: why });
        }
        // Sorts by who lags longest and leaves out past the bound.
        summary.merge(&RouterSummary::default());
        summary
    }

    fn clashes(&self, link: &Link) -> bool {
        link.told
            .is_some_and(|(got, digest)| self.cache.position(got, digest) == SubscriberPosition::Conflict)
    }
}
