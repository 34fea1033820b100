//! The updates that routers gossip, and their store. An update is one router's report about one subject; that
//! router is the update's origin. An update names the origin's incarnation and a number that grows with each
//! update of the origin. The store holds the newest update of each origin about each subject, regardless of
//! the links and the order in which updates arrive, so routers that have received the same updates store the
//! same. Updates are dropped when they are as old as the maximum age or older, and the first update of a
//! later incarnation drops the origin's earlier updates. All times are seconds of this router's monotonic
//! clock.
use crate::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest name of a member or data node in an update that is stored, in bytes. Together with the number
/// of updates of each origin, the limit bounds the memory of the store.
pub const MAX_NAME_BYTES: usize = 256;

/// The content of an update. Encoded by `postcard`: the order of variants and fields and the types of the
/// fields are the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpdateBody {
    /// The update's origin is alive.
    Alive,
    /// The update's origin is shutting down.
    Leaving,
    /// The update's origin has received no `Alive` update of another member for several alive intervals, or
    /// that member has connected with an earlier incarnation than the origin knows. The member refutes the
    /// report by a new `Alive` update when it receives the report.
    Missed {
        /// The member whose `Alive` updates are missing.
        member: Name,
        /// The latest incarnation of `member` that is known to the update's origin.
        incarnation: Incarnation,
    },
    /// How many queries of the update's origin have ended since its previous update of this kind. The
    /// origin's policy decides which queries are late: those answered after their latency objective, and
    /// those that ended without an answer while more than a tenth of their shard requests had not succeeded.
    /// Queries without any attempt are not counted.
    QueryCounts {
        /// Number of queries that were late.
        late: u32,
        /// Number of queries that were not late.
        in_time: u32,
    },
    /// What the update's origin observed of a data node by its own attempts. The spans count from the
    /// creation of the update; a span of 0 means that the node does not count as slow, very slow or
    /// unresponsive, respectively.
    Observation {
        /// The data node's name.
        node: Name,
        /// Seconds from the start of the node's process to the observation, if known.
        uptime_s: Option<f32>,
        /// Seconds from the observation to the creation of the update.
        observed_ago_s: f32,
        /// Seconds after the creation of the update for which the node counts as slow.
        slow_for_s: f32,
        /// Seconds after the creation of the update for which the node counts as very slow.
        very_slow_for_s: f32,
        /// Seconds after the creation of the update for which the node counts as unresponsive.
        unresponsive_for_s: f32,
    },
}

impl UpdateBody {
    /// The name of the member or data node that the update is about; `None` if it is about its origin.
    fn subject_name(&self) -> Option<&str> {
        match self {
            UpdateBody::Missed { member: name, .. } | UpdateBody::Observation { node: name, .. } => {
                Some(name)
            }
            UpdateBody::Alive | UpdateBody::Leaving | UpdateBody::QueryCounts { .. } => None,
        }
    }

    fn subject(&self) -> UpdateSubject {
        match self {
            UpdateBody::Alive | UpdateBody::Leaving => UpdateSubject::Origin,
            UpdateBody::Missed { member, .. } => UpdateSubject::Member(member.clone()),
            UpdateBody::QueryCounts { .. } => UpdateSubject::QueryCounts,
            UpdateBody::Observation { node, .. } => UpdateSubject::Node(node.clone()),
        }
    }
}

/// The subject of an update. A later update of the same origin about the same subject replaces the earlier
/// one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateSubject {
    /// The update's origin: whether it is alive or shutting down.
    Origin,
    /// How the queries of the update's origin have ended.
    QueryCounts,
    /// Another member, named in a `Missed` update.
    Member(Name),
    /// A data node that the origin observed, by name.
    Node(Name),
}

/// One router's report about one subject, in the form in which it is sent to other routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The member that created the update.
    pub origin: Name,
    /// The incarnation of the origin that created the update.
    pub incarnation: Incarnation,
    /// Number of the update; grows with each update that the origin creates.
    pub number: u64,
    /// An upper bound, in seconds, on the update's age when the frame with the update was created. The
    /// receiver adds an upper bound on the frame's time in transit.
    pub age_s: f64,
    /// What the origin reports: the kind of the report, its subject and its values.
    pub body: UpdateBody,
}

/// An update in the form in which it is stored; the store holds the origin and the incarnation beside it.
#[derive(Clone, Debug)]
pub struct StoredUpdate {
    /// The update's number; grows with each update that the origin creates.
    pub number: u64,
    /// A lower bound on when the update was created, in seconds of this router's clock.
    pub created_at: f64,
    /// What the origin reports: the kind of the report, its subject and its values.
    pub body: UpdateBody,
    /// Number that the store assigned to the update, growing in the order in which updates were stored. Each
    /// link records up to which serial its updates were sent.
    serial: u64,
    /// The link on which the update was received and over which it is not sent back; `None` for an update
    /// that this router created.
    received_on: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Origin {
    incarnation: Incarnation,
    updates: BTreeMap<UpdateSubject, StoredUpdate>,
    /// The highest number among the dropped updates of this incarnation. While no update about a subject is
    /// stored, an update about that subject is rejected as already known if its number is not higher than
    /// this one. Otherwise a peer that still stores a dropped update could send that update again.
    highest_dropped: u64,
}

/// Whether an update was stored, or why not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MergeResult {
    /// The update was new and has been stored.
    New,
    /// The update, or a later one of the same origin about the same subject, had been received before.
    Known,
    /// The update was as old as the maximum age or older, or its age was negative or not a number.
    Stale,
    /// The update is of an earlier incarnation of its origin than the latest one known.
    FormerIncarnation,
    /// The update names a subject with more than [`MAX_NAME_BYTES`] bytes.
    NameTooLong,
}

/// The newest update of each origin about each subject.
#[derive(Debug, Default)]
pub struct UpdateStore {
    origins: BTreeMap<Name, Origin>,
    last_serial: u64,
}

impl UpdateStore {
    /// Stores an update at `now`, unless the update is `max_age_s` seconds old or older, or is not new.
    /// `received_on` is the link on which the update was received, `None` if this router created it. At most
    /// `max_per_origin` updates of each origin are stored; beyond that, those with the lowest numbers are
    /// dropped.
    pub fn merge(
        &mut self,
        update: Update,
        now: f64,
        max_age_s: f64,
        max_per_origin: usize,
        received_on: Option<u64>,
    ) -> MergeResult {
        if !(update.age_s >= 0.0 && update.age_s < max_age_s) {
            return MergeResult::Stale;
        }
        if update.body.subject_name().is_some_and(|name| name.len() > MAX_NAME_BYTES) {
            return MergeResult::NameTooLong;
        }
        let origin = self.origins.entry(update.origin).or_default();
        if update.incarnation < origin.incarnation {
            return MergeResult::FormerIncarnation;
        }
        if update.incarnation > origin.incarnation {
            *origin = Origin { incarnation: update.incarnation, ..Origin::default() };
        }
        let subject = update.body.subject();
        let known = origin.updates.get(&subject).map_or(origin.highest_dropped, |stored| stored.number);
        if known >= update.number {
            return MergeResult::Known;
        }
        self.last_serial += 1;
        let stored = StoredUpdate {
            number: update.number,
            created_at: now - update.age_s,
            body: update.body,
            serial: self.last_serial,
            received_on,
        };
        origin.updates.insert(subject, stored);
        // Limits the memory for an origin that creates updates about too many subjects, by dropping its
        // oldest updates.
        while origin.updates.len() > max_per_origin {
            let oldest = origin.updates.iter().min_by_key(|(_, stored)| stored.number);
            let Some(oldest) = oldest.map(|(subject, _)| subject.clone()) else { break };
            origin.drop_update(&oldest);
        }
        MergeResult::New
    }

    /// Drops updates that are as old as `max_age_s` seconds or older.
    pub fn sweep(&mut self, now: f64, max_age_s: f64) {
        for origin in self.origins.values_mut() {
            let stale = origin.updates.iter().filter(|(_, stored)| now - stored.created_at >= max_age_s);
            let stale: Vec<UpdateSubject> = stale.map(|(subject, _)| subject.clone()).collect();
            stale.iter().for_each(|subject| origin.drop_update(subject));
        }
    }

    /// Returns up to `max_updates` updates with a serial above `serial` that were not received on `link`, in
    /// the order of their serials, and the serial to pass in the next call for this link.
    pub fn updates_after(&self, serial: u64, link: u64, now: f64, max_updates: usize) -> (Vec<Update>, u64) {
        let mut unsent: Vec<(&Name, Incarnation, &StoredUpdate)> = vec![];
        for (name, origin) in &self.origins {
            let of_origin = origin
                .updates
                .values()
                .filter(|stored| stored.serial > serial && stored.received_on != Some(link));
            unsent.extend(of_origin.map(|stored| (name, origin.incarnation, stored)));
        }
        unsent.sort_unstable_by_key(|(_, _, stored)| stored.serial);
        let sent_up_to =
            if unsent.len() > max_updates { unsent[max_updates - 1].2.serial } else { self.last_serial };
        let update = |(origin, incarnation, stored): (&Name, Incarnation, &StoredUpdate)| Update {
            origin: origin.clone(),
            incarnation,
            number: stored.number,
            age_s: now - stored.created_at,
            body: stored.body.clone(),
        };
        (unsent.into_iter().take(max_updates).map(update).collect(), sent_up_to)
    }

    /// Drops all updates of origins whose name does not satisfy `matches`.
    pub fn retain_origins(&mut self, matches: impl Fn(&str) -> bool) {
        self.origins.retain(|name, _| matches(name));
    }

    /// Returns the latest known incarnation of an origin, or `None` if no update of this origin is known.
    pub fn incarnation(&self, origin: &str) -> Option<Incarnation> {
        self.origins.get(origin).map(|origin| origin.incarnation)
    }

    /// Returns the updates of all origins about a subject, with the names of their origins.
    pub fn updates_about<'a>(
        &'a self,
        subject: &'a UpdateSubject,
    ) -> impl Iterator<Item = (&'a Name, &'a StoredUpdate)> {
        self.origins.iter().filter_map(move |(name, origin)| Some((name, origin.updates.get(subject)?)))
    }

    /// The number of stored updates of all origins.
    pub fn len(&self) -> usize {
        self.origins.values().map(|origin| origin.updates.len()).sum()
    }

    /// Whether the store contains no update of any origin.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Origin {
    fn drop_update(&mut self, subject: &UpdateSubject) {
        if let Some(stored) = self.updates.remove(subject) {
            self.highest_dropped = self.highest_dropped.max(stored.number);
        }
    }
}
