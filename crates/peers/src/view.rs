//! One router's gossip state: its links to other members, the updates that it stores and sends, and which
//! members are alive. Received frames, periodic ticks and the observations of this router's policy are passed
//! in; frames to send, changes of members' states, and observations that a quorum of routers agrees on are
//! returned. An observation holds three spans: the seconds for which a data node counts as slow, as very slow
//! and as unresponsive. All times are seconds of this router's monotonic clock.
use crate::quorum::{self, AgreedObservation};
use crate::transit_time::TransitEstimator;
use crate::updates::{MergeResult, StoredUpdate, Update, UpdateBody, UpdateStore, UpdateSubject};
use crate::{Frame, GossipConfig, Incarnation, Name, ring};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Maximum number of updates in one frame; further updates follow in the next frame.
const MAX_UPDATES_PER_FRAME: usize = 4096;
/// Number of alive intervals (`GossipConfig::alive_interval_s`) since the creation of a member's newest
/// `Alive` update after which the member is `Missed`.
const MISSED_AFTER_INTERVALS: f64 = 3.0;
/// Number of alive intervals since the creation of a member's newest `Alive` update after which the member is
/// `Dead`.
const DEAD_AFTER_INTERVALS: f64 = 6.0;

/// The state of a member, by the updates that this router has received. The states `Missed` and `Dead` are
/// set by `View::tick`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberState {
    /// No `Alive` or `Leaving` update of the member has been received.
    NeverSeen,
    /// The member's newest `Alive` update is at most `MISSED_AFTER_INTERVALS` alive intervals old.
    Alive,
    /// The member's newest `Alive` update is more than `MISSED_AFTER_INTERVALS` alive intervals old.
    Missed,
    /// The member's newest `Alive` update is more than `DEAD_AFTER_INTERVALS` alive intervals old.
    Dead,
    /// The member has reported by a `Leaving` update that it is shutting down.
    Left,
}

impl fmt::Display for MemberState {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            MemberState::NeverSeen => "never seen",
            MemberState::Alive => "alive",
            MemberState::Missed => "missed",
            MemberState::Dead => "dead",
            MemberState::Left => "shut down",
        })
    }
}

/// Why a link to a peer is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkError {
    /// The peer is not in the list of members.
    UnknownMember(Name),
    /// The peer's hello has this router's own name.
    OwnName,
}

impl fmt::Display for LinkError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LinkError::UnknownMember(name) => write!(out, "`{name}` is not in this router's list of members"),
            LinkError::OwnName => write!(out, "the peer uses the name of this router"),
        }
    }
}

#[derive(Clone, Debug)]
struct Member {
    state: MemberState,
    /// When the member created its newest `Alive` or `Leaving` update, in seconds of this router's clock: the
    /// time of receipt minus an upper bound on the update's age. Until the first such update, the time at
    /// which the member was added to this router's list of members.
    last_alive_at: f64,
}

#[derive(Debug)]
struct Link {
    peer: Name,
    transit: TransitEstimator,
    /// The highest serial in the update store up to which updates were put into frames for this link.
    sent_up_to: u64,
}

/// The last observation of a data node by this router's policy, stored until its longest span ends.
#[derive(Clone, Debug)]
struct OwnObservation {
    started_at: Option<f64>,
    observed_at: f64,
    /// When the node stops counting as slow, as very slow and as unresponsive, in seconds of this router's
    /// clock.
    until: [f64; 3],
    /// When this router last created an update with this observation.
    sent_at: f64,
}

/// Counters of sent and received updates and frames, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ViewCounters {
    /// Updates sent over all links, counted once per link.
    pub updates_sent: u64,
    /// Received updates that were new and have been stored.
    pub updates_new: u64,
    /// Received updates that were known already.
    pub updates_known: u64,
    /// Received updates that were as old as the maximum age or older, or had an invalid age.
    pub updates_stale: u64,
    /// Received updates of an earlier incarnation of their origin.
    pub updates_of_former_incarnations: u64,
    /// Received updates whose origin is not a member.
    pub updates_of_unknown_origins: u64,
    /// Received updates about a subject whose name is too long.
    pub updates_with_long_names: u64,
    /// Received `Missed` updates about this router, each of which this router refuted by a new `Alive`
    /// update.
    pub refutations: u64,
    /// Received frames whose updates were dropped because the frame's time in transit was unknown: no round
    /// trip had been completed on the link.
    pub frames_undated: u64,
}

/// The gossip state of one router: the other members and their states, the open links, the stored updates,
/// and the updates that this router has to create. A view also decides which updates are sent over each link.
#[derive(Debug)]
pub struct View {
    config: GossipConfig,
    own_name: Name,
    incarnation: Incarnation,
    /// The state of each member except this router, by name.
    members: BTreeMap<Name, Member>,
    updates: UpdateStore,
    links: BTreeMap<u64, Link>,
    last_link: u64,
    /// Number of the last update that this router created.
    last_number: u64,
    next_alive_at: f64,
    is_leaving: bool,
    own_observations: BTreeMap<Name, OwnObservation>,
    /// Data nodes about which updates were received since the last call of `take_agreed_observations`.
    changed_nodes: BTreeSet<Name>,
    /// Members that connected with an earlier incarnation than the latest one known to this router. The next
    /// tick creates a `Missed` update with the later incarnation for each of them.
    superseded: BTreeSet<Name>,
    /// How many queries of this router have ended since its last `QueryCounts` update: those that were late,
    /// and those that were not. The router's policy decides which queries are late, see
    /// `UpdateBody::QueryCounts`.
    own_query_counts: (u32, u32),
    /// The sums of the `QueryCounts` updates that this router has created or received since the last call of
    /// `take_query_counts`: the number of late queries, and of all other queries that have ended.
    query_counts: (u32, u32),
    query_counts_sent_at: f64,
    /// Counters of sent and received updates, for the metrics.
    pub counters: ViewCounters,
}

impl View {
    /// Creates the gossip state of the router `own_name`, which starts at `now`.
    pub fn new(
        own_name: &str,
        incarnation: Incarnation,
        members: &BTreeSet<Name>,
        config: GossipConfig,
        now: f64,
    ) -> Self {
        let mut view = View {
            config,
            own_name: own_name.into(),
            incarnation,
            members: BTreeMap::new(),
            updates: UpdateStore::default(),
            links: BTreeMap::new(),
            last_link: 0,
            last_number: 0,
            next_alive_at: now,
            is_leaving: false,
            own_observations: BTreeMap::new(),
            changed_nodes: BTreeSet::new(),
            superseded: BTreeSet::new(),
            own_query_counts: (0, 0),
            query_counts: (0, 0),
            query_counts_sent_at: now,
            counters: ViewCounters::default(),
        };
        view.set_members(members, now);
        view
    }

    /// Replaces the list of members. Updates of removed members and links to them are dropped.
    pub fn set_members(&mut self, members: &BTreeSet<Name>, now: f64) {
        self.members.retain(|name, _| members.contains(name));
        for name in members.iter().filter(|name| **name != self.own_name) {
            let member = Member { state: MemberState::NeverSeen, last_alive_at: now };
            self.members.entry(name.clone()).or_insert(member);
        }
        let (own_name, members) = (&self.own_name, &self.members);
        self.updates.retain_origins(|name| name == own_name || members.contains_key(name));
        self.links.retain(|_, link| members.contains_key(&link.peer));
    }

    /// Returns this router's incarnation. The incarnation rises when this router learns that another member
    /// knows a later one.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the members that this router dials.
    pub fn dial_targets(&self) -> Vec<Name> {
        let all: BTreeSet<Name> = self.members.keys().cloned().chain([self.own_name.clone()]).collect();
        ring::dial_targets(&all, &self.own_name)
    }

    /// Opens a link to a peer whose hello was received, and returns the link's number. If the peer's
    /// incarnation is earlier than the latest one known to this router, the peer is sent the later one and
    /// raises its own: incarnations are taken from wall clocks, and the peer's clock may have been set back.
    ///
    /// # Errors
    /// The peer is not a member, or uses this router's own name.
    pub fn link_opened(&mut self, peer: &str, incarnation: Incarnation) -> Result<u64, LinkError> {
        if peer == self.own_name {
            return Err(LinkError::OwnName);
        }
        if !self.members.contains_key(peer) {
            return Err(LinkError::UnknownMember(peer.into()));
        }
        if self.updates.incarnation(peer).is_some_and(|known| incarnation < known) {
            self.superseded.insert(peer.into());
        }
        self.last_link += 1;
        let link = Link { peer: peer.into(), transit: TransitEstimator::default(), sent_up_to: 0 };
        self.links.insert(self.last_link, link);
        Ok(self.last_link)
    }

    /// Removes a link whose connection has closed.
    pub fn link_closed(&mut self, link: u64) {
        self.links.remove(&link);
    }

    /// The number of links to other members whose connection is open, regardless of which side dialled.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Returns the next frame for a link, or `None` if the link is closed. Call this once in each frame
    /// interval, after the previous frame was written in full: unsent updates stay in the store, where newer
    /// updates replace older ones. Before the first round trip on the link a frame contains no updates, as
    /// the peer can't determine their age.
    pub fn next_frame(&mut self, link: u64, now: f64) -> Option<Frame> {
        let open = self.links.get_mut(&link)?;
        let echo = open.transit.next_echo(now);
        let mut updates = vec![];
        if echo.is_some() {
            (updates, open.sent_up_to) =
                self.updates.updates_after(open.sent_up_to, link, now, MAX_UPDATES_PER_FRAME);
        }
        self.counters.updates_sent += updates.len() as u64;
        Some(Frame { sent_at_s: now, echo, updates })
    }

    /// Processes a received frame, and returns the members whose state has changed.
    pub fn frame_received(&mut self, link: u64, frame: Frame, now: f64) -> Vec<(Name, MemberState)> {
        let GossipConfig { max_age_s, max_updates_per_origin, max_clock_drift, .. } = self.config;
        let Some(open) = self.links.get_mut(&link) else { return vec![] };
        let transit_s = open.transit.bound_transit_s(frame.sent_at_s, frame.echo, now, max_clock_drift);
        let Some(transit_s) = transit_s else {
            // The frame's updates are dropped; the peer repeats those that remain valid.
            self.counters.frames_undated += u64::from(!frame.updates.is_empty());
            return vec![];
        };
        let mut changes = vec![];
        for mut update in frame.updates {
            update.age_s += transit_s;
            if update.origin == self.own_name {
                if update.incarnation > self.incarnation {
                    self.supersede_incarnation(update.incarnation, now);
                }
                continue;
            }
            if !self.members.contains_key(&update.origin) {
                self.counters.updates_of_unknown_origins += 1;
                continue;
            }
            let (origin, body, created_at) = (update.origin.clone(), update.body.clone(), now - update.age_s);
            match self.updates.merge(update, now, max_age_s, max_updates_per_origin, Some(link)) {
                MergeResult::New => self.counters.updates_new += 1,
                MergeResult::Known => {
                    self.counters.updates_known += 1;
                    continue;
                }
                MergeResult::Stale => {
                    self.counters.updates_stale += 1;
                    continue;
                }
                MergeResult::NameTooLong => {
                    self.counters.updates_with_long_names += 1;
                    continue;
                }
                MergeResult::FormerIncarnation => {
                    self.counters.updates_of_former_incarnations += 1;
                    continue;
                }
            }
            match body {
                UpdateBody::Alive => changes.extend(self.set_state(&origin, MemberState::Alive, created_at)),
                UpdateBody::Leaving => changes.extend(self.set_state(&origin, MemberState::Left, created_at)),
                UpdateBody::Missed { member, incarnation } => {
                    if member == self.own_name && incarnation >= self.incarnation && !self.is_leaving {
                        self.counters.refutations += 1;
                        self.supersede_incarnation(incarnation, now);
                    }
                }
                UpdateBody::QueryCounts { late, in_time } => self.add_query_counts(late, in_time),
                UpdateBody::Observation { node, .. } => drop(self.changed_nodes.insert(node)),
            }
        }
        changes
    }

    /// Schedules an `Alive` update for the next tick, and raises this router's incarnation above `known`, an
    /// incarnation of this router that others know, if `known` is later than this router's current
    /// incarnation. Otherwise the other members would ignore this router's updates as those of an earlier
    /// incarnation if this router's wall clock was set back between two starts.
    fn supersede_incarnation(&mut self, known: Incarnation, now: f64) {
        if known > self.incarnation {
            self.incarnation = known.saturating_add(1);
        }
        self.next_alive_at = now;
    }

    /// Counts a query of this router that has ended, for the next `QueryCounts` update. `late` is the
    /// decision of this router's policy whether the query was late.
    pub fn query_ended(&mut self, late: bool) {
        let count = if late { &mut self.own_query_counts.0 } else { &mut self.own_query_counts.1 };
        *count = count.saturating_add(1);
    }

    fn add_query_counts(&mut self, late: u32, in_time: u32) {
        let (sum_late, sum_in_time) = self.query_counts;
        self.query_counts = (sum_late.saturating_add(late), sum_in_time.saturating_add(in_time));
    }

    /// Returns how many queries of all routers, this router included, were late and how many were not, by the
    /// `QueryCounts` updates that this router has created or received since the last call. Returns `None` if
    /// both numbers are 0.
    pub fn take_query_counts(&mut self) -> Option<(u32, u32)> {
        Some(std::mem::take(&mut self.query_counts)).filter(|counts| *counts != (0, 0))
    }

    fn set_state(&mut self, name: &str, state: MemberState, created_at: f64) -> Option<(Name, MemberState)> {
        let member = self.members.get_mut(name)?;
        member.last_alive_at = member.last_alive_at.max(created_at);
        (std::mem::replace(&mut member.state, state) != state).then(|| (name.into(), state))
    }

    fn create_update(&mut self, body: UpdateBody, now: f64) {
        self.last_number += 1;
        let (origin, incarnation, number) = (self.own_name.clone(), self.incarnation, self.last_number);
        let update = Update { origin, incarnation, number, age_s: 0.0, body };
        let GossipConfig { max_age_s, max_updates_per_origin, .. } = self.config;
        self.updates.merge(update, now, max_age_s, max_updates_per_origin, None);
    }

    /// Records an observation of a data node by this router's policy, made at `now`, and creates an update
    /// with the observation for the other routers. `spans_s` are the seconds from `now` on for which the node
    /// counts as slow, as very slow and as unresponsive; `started_at` is when the node's process started, in
    /// seconds of this router's clock, or `None` if unknown. An observation whose spans are all 0, which
    /// means that the node is healthy, is ignored unless an earlier observation of the node is still recorded
    /// and has to be replaced.
    pub fn observe_node(&mut self, node: &str, started_at: Option<f64>, spans_s: [f64; 3], now: f64) {
        if spans_s.iter().all(|span| *span <= 0.0) && !self.own_observations.contains_key(node) {
            return;
        }
        let until = spans_s.map(|span| now + span);
        let own = OwnObservation { started_at, observed_at: now, until, sent_at: f64::NEG_INFINITY };
        self.own_observations.insert(node.into(), own);
        self.send_own_observations(now);
    }

    /// Creates updates for new observations of this router's policy, and repeats unexpired observations after
    /// half the maximum age of an update, so that the newest update at other routers does not become stale
    /// before the observation expires. Expired observations are dropped.
    fn send_own_observations(&mut self, now: f64) {
        let due: Vec<(Name, OwnObservation)> = {
            let repeat_after_s = 0.5 * self.config.max_age_s;
            let due = self.own_observations.iter().filter(|(_, own)| now - own.sent_at >= repeat_after_s);
            due.map(|(node, own)| (node.clone(), own.clone())).collect()
        };
        for (node, own) in due {
            let holds = own.until.iter().any(|until| *until > now);
            if !holds && own.sent_at.is_finite() {
                self.own_observations.remove(&node);
                continue;
            }
            let spans = own.until.map(|until| (until - now).max(0.0) as f32);
            let [slow_for_s, very_slow_for_s, unresponsive_for_s] = spans;
            let body = UpdateBody::Observation {
                node: node.clone(),
                uptime_s: own.started_at.map(|at| (own.observed_at - at) as f32),
                observed_ago_s: (now - own.observed_at) as f32,
                slow_for_s,
                very_slow_for_s,
                unresponsive_for_s,
            };
            self.create_update(body, now);
            self.own_observations.entry(node).and_modify(|own| own.sent_at = now);
        }
    }

    /// Creates a `Leaving` update, which reports that this router is shutting down. The next frame on each
    /// link contains this update.
    pub fn announce_leaving(&mut self, now: f64) {
        self.is_leaving = true;
        self.create_update(UpdateBody::Leaving, now);
    }

    /// Creates the updates that are due, drops stale updates, and returns the members whose state has changed
    /// to `Missed` or `Dead`. Call this several times in each frame interval.
    pub fn tick(&mut self, now: f64) -> Vec<(Name, MemberState)> {
        let alive_interval_s = self.config.alive_interval_s;
        if now >= self.next_alive_at && !self.is_leaving {
            self.next_alive_at = now + alive_interval_s;
            self.create_update(UpdateBody::Alive, now);
        }
        let counts_are_due = now - self.query_counts_sent_at >= 0.5 * alive_interval_s;
        if counts_are_due && self.own_query_counts != (0, 0) {
            self.query_counts_sent_at = now;
            let (late, in_time) = std::mem::take(&mut self.own_query_counts);
            self.add_query_counts(late, in_time);
            self.create_update(UpdateBody::QueryCounts { late, in_time }, now);
        }
        self.send_own_observations(now);
        self.updates.sweep(now, self.config.max_age_s);
        let (mut changes, mut missed) = (vec![], vec![]);
        for (name, member) in &mut self.members {
            let silent_intervals = (now - member.last_alive_at) / alive_interval_s;
            let state = match member.state {
                MemberState::Alive if silent_intervals > MISSED_AFTER_INTERVALS => MemberState::Missed,
                MemberState::Missed if silent_intervals > DEAD_AFTER_INTERVALS => MemberState::Dead,
                state => state,
            };
            if state != member.state {
                member.state = state;
                changes.push((name.clone(), state));
                missed.extend((state == MemberState::Missed).then(|| name.clone()));
            }
        }
        missed.extend(std::mem::take(&mut self.superseded));
        for member in missed {
            if let Some(incarnation) = self.updates.incarnation(&member) {
                self.create_update(UpdateBody::Missed { member, incarnation }, now);
            }
        }
        changes
    }

    /// Returns the observations on which a quorum of other routers agrees at `now`, for those data nodes
    /// about which updates were received since the last call. `started_at` returns when a node's process
    /// started according to this router's endpoint list: `None` if the list lacks the node, `Some(None)` if
    /// the start is unknown.
    pub fn take_agreed_observations(
        &mut self,
        started_at: impl Fn(&str) -> Option<Option<f64>>,
        now: f64,
    ) -> Vec<(Name, AgreedObservation)> {
        let GossipConfig { max_age_s, quorum, .. } = self.config;
        let mut agreed = vec![];
        for node in std::mem::take(&mut self.changed_nodes) {
            let Some(started_at) = started_at(&node) else { continue };
            let subject = UpdateSubject::Node(node.clone());
            let others = self.updates.updates_about(&subject).filter(|(origin, _)| **origin != self.own_name);
            let updates: Vec<&StoredUpdate> = others.map(|(_, update)| update).collect();
            if let Some(observation) =
                quorum::agreed_observation(&updates, started_at, now, max_age_s, quorum)
            {
                agreed.push((node, observation));
            }
        }
        agreed
    }

    /// Returns the state of a member, or `None` if the name is not in the list of members.
    pub fn state(&self, name: &str) -> Option<MemberState> {
        self.members.get(name).map(|member| member.state)
    }

    /// The number of members, except this router, in this state.
    pub fn count(&self, state: MemberState) -> usize {
        self.members.values().filter(|member| member.state == state).count()
    }

    /// The number of updates in the update store, both those received and those that this router created.
    pub fn update_count(&self) -> usize {
        self.updates.len()
    }

    /// Returns all updates in the update store, both those received and those that this router created,
    /// sorted by origin and number. Their ages are those at `now`.
    pub fn all_updates(&self, now: f64) -> Vec<Update> {
        let mut updates = self.updates.updates_after(0, 0, now, usize::MAX).0;
        updates.sort_by(|a, b| (&a.origin, a.number).cmp(&(&b.origin, b.number)));
        updates
    }
}
