//! The control server's end of subscriptions: decides which message goes to which router, and when.
//!
//! Fed committed versions, connections, messages and the time, in seconds of the caller's monotonic clock; returns
//! messages within the rate limit of each router and the one of all routers together. Only committed versions are
//! distributed, and a number always with the same content.
mod link;
mod version_cache;

use crate::content::{self, VersionContent};
use crate::messages::{self, ControlMessage, RouterMessage};
use crate::rate_limit::{CONTROL_TO_ALL_ROUTERS, CONTROL_TO_ROUTER, RateLimit, TokenBucket};
use crate::version::{Version, VersionNumber};
use crate::version_sink::{LaggingRouter, RouterSummary};
use alderway_transport::{Incarnation, Name};
use link::{Link, MAX_NAME_BYTES, Transfer};
pub use link::{LinkError, LinkId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
pub use version_cache::{CacheError, SubscriberPosition, VersionCache};

/// Versions on which patches are made; a router with an older one gets complete settings.
pub const CACHED_VERSIONS: usize = 64;
/// Bytes of the longest frame with a heartbeat.
const MAX_HEARTBEAT_BYTES: usize = 48;

/// Limits of a [`Publisher`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublisherConfig {
    /// Versions on which patches are made.
    pub cached_versions: usize,
    /// Rate limit to each router.
    pub router_limit: RateLimit,
    /// Rate limit to all routers together.
    pub total_limit: RateLimit,
    /// Seconds without a message of a router after which its connection is closed.
    pub link_timeout_s: f64,
    /// Routers that may be connected at once.
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

/// Counters of a [`Publisher`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PublisherMetrics {
    /// Connections that were accepted.
    pub links: u64,
    /// Connections that were closed for lack of messages.
    pub links_timed_out: u64,
    /// Versions that were sent complete.
    pub snapshots: u64,
    /// Versions that were sent as patches.
    pub patches: u64,
    /// Heartbeats that were sent.
    pub heartbeats: u64,
    /// Bytes to all routers.
    pub bytes: u64,
    /// Subscriptions of routers with another content under the newest number.
    pub conflicts: u64,
}

/// What a turn of [`Publisher::next_message`] may send, in order of precedence.
#[derive(Clone, Copy, PartialEq)]
enum MessageKind {
    ContentPart,
    Heartbeat,
}

/// The state of all subscriptions at one control server.
#[derive(Debug)]
pub struct Publisher {
    config: PublisherConfig,
    cache: VersionCache,
    /// When each cached version was committed here.
    committed_at: BTreeMap<VersionNumber, f64>,
    /// The newest version by the base of its patch; 0 for the complete settings. Shared by all links.
    contents: BTreeMap<VersionNumber, Rc<VersionContent>>,
    /// When the newest version was last confirmed to be the newest of all.
    confirmed_at: f64,
    has_quorum: bool,
    links: BTreeMap<LinkId, Link>,
    link_by_router: BTreeMap<Name, LinkId>,
    last_link: LinkId,
    total_bucket: TokenBucket,
    /// Links that may need a newer version.
    links_to_update: BTreeSet<LinkId>,
    /// Links with an unanswered heartbeat request.
    links_to_heartbeat: BTreeSet<LinkId>,
    /// The link that was served last: turns are round robin.
    last_served: LinkId,
    /// Counters.
    pub metrics: PublisherMetrics,
}

impl Publisher {
    /// A publisher without versions and links.
    pub fn new(config: PublisherConfig, now: f64) -> Self {
        Publisher {
            config,
            cache: VersionCache::new(config.cached_versions),
            committed_at: BTreeMap::new(),
            contents: BTreeMap::new(),
            confirmed_at: f64::NEG_INFINITY,
            has_quorum: false,
            links: BTreeMap::new(),
            link_by_router: BTreeMap::new(),
            last_link: 0,
            total_bucket: TokenBucket::full(config.total_limit, now),
            links_to_update: BTreeSet::new(),
            links_to_heartbeat: BTreeSet::new(),
            last_served: 0,
            metrics: PublisherMetrics::default(),
        }
    }

    /// Distributes a committed version from now on. Returns whether it is newer than those before.
    ///
    /// # Errors
    ///
    /// A [`CacheError`] if the version cannot be distributed; nothing changes.
    pub fn commit(&mut self, version: &Version, now: f64) -> Result<bool, CacheError> {
        let text = content::canonical_json(&version.settings);
        let is_new = self.cache.insert(version.number, &text)?;
        if is_new {
            self.committed_at.insert(version.number, now);
            while self.committed_at.len() > self.config.cached_versions.max(1) {
                self.committed_at.pop_first();
            }
            self.contents.clear();
            // A transfer that has begun is completed first: frequent versions must not starve a router of all of them.
            let subscribed = self.links.iter().filter(|(_, link)| link.sent.is_some());
            self.links_to_update.extend(subscribed.map(|(id, _)| *id));
        }
        Ok(is_new)
    }

    /// The newest version was confirmed to be the newest of all `staleness_s` seconds ago.
    pub fn set_freshness(&mut self, staleness_s: f64, has_quorum: bool, now: f64) {
        self.confirmed_at = now - staleness_s;
        self.has_quorum = has_quorum;
    }

    /// Number of the newest version; 0 if there is none.
    pub fn latest(&self) -> VersionNumber {
        self.cache.latest()
    }

    /// Number of connected routers.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// A router connected and said hello. Closes an earlier link of the same router.
    ///
    /// # Errors
    ///
    /// A [`LinkError`] if the connection is to be closed.
    pub fn open_link(
        &mut self,
        router: &str,
        incarnation: Incarnation,
        now: f64,
    ) -> Result<LinkId, LinkError> {
        if router.is_empty() || router.len() > MAX_NAME_BYTES {
            return Err(LinkError::InvalidName);
        }
        if let Some(earlier) = self.link_by_router.get(router).copied() {
            // Fencing: a process that was replaced may still dial.
            let connected = self.links.get(&earlier).map(|link| link.incarnation);
            if connected.is_some_and(|connected| incarnation < connected) {
                return Err(LinkError::StaleIncarnation { router: router.into(), incarnation });
            }
            self.close_link(earlier);
        }
        if self.links.len() >= self.config.max_links {
            return Err(LinkError::TooManyLinks { limit: self.config.max_links });
        }
        self.last_link += 1;
        self.metrics.links += 1;
        let bucket = TokenBucket::empty(self.config.router_limit, now);
        self.links.insert(self.last_link, Link::new(router, incarnation, bucket, now));
        self.link_by_router.insert(router.into(), self.last_link);
        Ok(self.last_link)
    }

    /// Whether a link is open. It ends by [`Publisher::close_link`], by a later link of its router, or by a timeout.
    pub fn has_link(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// The connection ended.
    pub fn close_link(&mut self, link: LinkId) {
        self.links_to_update.remove(&link);
        self.links_to_heartbeat.remove(&link);
        let Some(closed) = self.links.remove(&link) else { return };
        if self.link_by_router.get(&closed.router) == Some(&link) {
            self.link_by_router.remove(&closed.router);
        }
    }

    /// A message came over a link.
    pub fn receive(&mut self, id: LinkId, message: RouterMessage, now: f64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.last_received = now;
        match message {
            RouterMessage::Subscribe { received, digest, active, needs_snapshot } => {
                let position = self.cache.position(received, digest);
                self.metrics.conflicts += u64::from(position == SubscriberPosition::Conflict);
                link.sent = Some((received, digest));
                link.active = active;
                link.needs_snapshot = needs_snapshot;
                link.transfer = None;
                self.links_to_update.insert(id);
            }
            RouterMessage::HeartbeatRequest { sequence } => {
                link.heartbeat = Some(sequence);
                self.links_to_heartbeat.insert(id);
            }
            RouterMessage::ApplyReport { number, outcome } => link.record_outcome(number, outcome),
        }
    }

    /// Closes links without messages, and returns them with their routers. To be called a few times a second.
    pub fn tick(&mut self, now: f64) -> Vec<(LinkId, Name)> {
        let timeout_s = self.config.link_timeout_s;
        let silent = self.links.iter().filter(|(_, link)| now - link.last_received > timeout_s);
        let silent: Vec<(LinkId, Name)> = silent.map(|(id, link)| (*id, link.router.clone())).collect();
        silent.iter().for_each(|(id, _)| self.close_link(*id));
        self.metrics.links_timed_out += silent.len() as u64;
        silent
    }

    /// The next frame to write now, and its link. The link gets no further one before [`Publisher::message_sent`].
    /// Versions precede heartbeats; links take turns.
    pub fn next_message(&mut self, now: f64) -> Option<(LinkId, Vec<u8>)> {
        let (id, message) = self
            .next_of_kind(MessageKind::ContentPart, now)
            .or_else(|| self.next_of_kind(MessageKind::Heartbeat, now))?;
        self.last_served = id;
        let frame = messages::encode_frame(&message);
        let link = self.links.get_mut(&id)?;
        link.is_writing = true;
        link.bucket.try_take(frame.len(), now);
        self.total_bucket.try_take(frame.len(), now);
        self.metrics.bytes += frame.len() as u64;
        Some((id, frame))
    }

    /// The last frame of a link was written completely.
    pub fn message_sent(&mut self, link: LinkId) {
        if let Some(link) = self.links.get_mut(&link) {
            link.is_writing = false;
        }
    }

    /// When to call [`Publisher::next_message`] again, if nothing is received before.
    pub fn next_deadline(&self) -> f64 {
        let ready = |id: &LinkId| self.links.get(id).filter(|link| !link.is_writing);
        let parts = self.links_to_update.iter().filter_map(ready).map(|link| (link, link.next_part_bytes()));
        let heartbeats =
            self.links_to_heartbeat.iter().filter_map(ready).map(|link| (link, MAX_HEARTBEAT_BYTES));
        let ready_at = |(link, bytes): (&Link, usize)| {
            link.bucket.ready_at(bytes).max(self.total_bucket.ready_at(bytes))
        };
        parts.chain(heartbeats).map(ready_at).fold(f64::INFINITY, f64::min)
    }

    /// The links that wait for a message of a kind, beginning after the one that was served last.
    fn turns(&self, kind: MessageKind) -> Vec<LinkId> {
        let waiting = match kind {
            MessageKind::ContentPart => &self.links_to_update,
            MessageKind::Heartbeat => &self.links_to_heartbeat,
        };
        waiting.range(self.last_served + 1..).chain(waiting.range(..=self.last_served)).copied().collect()
    }

    fn next_of_kind(&mut self, kind: MessageKind, now: f64) -> Option<(LinkId, ControlMessage)> {
        for id in self.turns(kind) {
            if kind == MessageKind::ContentPart && !self.prepare_transfer(id) {
                self.links_to_update.remove(&id);
                continue;
            }
            let Some(link) = self.links.get_mut(&id) else { continue };
            let bytes = match kind {
                MessageKind::ContentPart => link.next_part_bytes(),
                MessageKind::Heartbeat => MAX_HEARTBEAT_BYTES,
            };
            if link.is_writing || link.bucket.available_bytes(now) < bytes {
                continue;
            }
            // Short messages must not overtake a long one that waits for the total limit: it would never pass.
            if self.total_bucket.available_bytes(now) < bytes {
                return None;
            }
            let message = match kind {
                MessageKind::ContentPart => link.take_part(),
                MessageKind::Heartbeat => self.take_heartbeat(id, now),
            };
            if let Some(message) = message {
                return Some((id, message));
            }
        }
        None
    }

    fn take_heartbeat(&mut self, id: LinkId, now: f64) -> Option<ControlMessage> {
        self.links_to_heartbeat.remove(&id);
        let sequence = self.links.get_mut(&id)?.heartbeat.take()?;
        self.metrics.heartbeats += 1;
        let (latest, digest) = self.cache.latest_with_digest();
        let (staleness_s, has_quorum) = (now - self.confirmed_at, self.has_quorum);
        Some(ControlMessage::Heartbeat { sequence, latest, digest, staleness_s, has_quorum })
    }

    /// Begins a transfer of the newest version if none is under way. Returns false if the router needs none.
    fn prepare_transfer(&mut self, id: LinkId) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        if link.transfer.is_some() {
            return true;
        }
        let Some((number, digest)) = link.sent else { return false };
        let base = match self.cache.position(number, digest) {
            SubscriberPosition::UpToDate | SubscriberPosition::Ahead | SubscriberPosition::Conflict => {
                return false;
            }
            SubscriberPosition::PatchAvailable if !link.needs_snapshot => number,
            SubscriberPosition::PatchAvailable | SubscriberPosition::SnapshotNeeded => 0,
        };
        let content = match self.contents.get(&base) {
            Some(content) => content.clone(),
            None => {
                let Some(content) = self.cache.content((base > 0).then_some(base)) else { return false };
                let content = Rc::new(content);
                self.contents.insert(base, content.clone());
                content
            }
        };
        let counter = if content.base > 0 { &mut self.metrics.patches } else { &mut self.metrics.snapshots };
        *counter += 1;
        link.needs_snapshot = false;
        link.transfer = Some(Transfer::new(content));
        true
    }

    /// The connected routers by active version, and which of them lag.
    pub fn summary(&self, now: f64) -> RouterSummary {
        let (latest, mut summary) = (self.cache.latest(), RouterSummary::default());
        for link in self.links.values() {
            *summary.by_version.entry(link.active).or_default() += 1;
            if link.active < latest {
                summary.lagging.push(self.lagging(link, now));
            }
        }
        summary.limit_lagging();
        summary
    }

    fn lagging(&self, link: &Link, now: f64) -> LaggingRouter {
        let first_missed = self.committed_at.range(link.active + 1..).next();
        let missed_at = first_missed.map_or(now, |(_, committed_at)| *committed_at);
        LaggingRouter {
            router: link.router.clone(),
            version: link.active,
            since_s: (now - missed_at).max(0.0),
            reason: self.lag_reason(link),
        }
    }

    fn lag_reason(&self, link: &Link) -> String {
        match &link.not_applied {
            Some((number, reason)) if *number == self.cache.latest() => return reason.clone(),
            _ => {}
        }
        let Some((number, digest)) = link.sent else { return "has not subscribed yet".into() };
        if link.transfer.is_some() {
            return "transfer in progress".into();
        }
        match self.cache.position(number, digest) {
            SubscriberPosition::Conflict => "has other settings under the newest number".into(),
            _ => "has not reported yet".into(),
        }
    }
}
