//! The updates that routers gossip. An update has an origin, the origin's incarnation, and a number that grows with each
//! update. The newest update of each origin about each subject is stored, by whichever link and in whatever order updates
//! arrive, so routers that have received the same updates store the same. Updates are dropped once they are stale, and a
//! later incarnation of an origin drops all updates of an earlier one.
use crate::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an update reports. Encoded by `postcard`: the order of variants and fields and the types of the fields are the wire
/// format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpdateBody {
    /// The origin is alive.
    Alive,
    /// The origin is shutting down.
    Leaving,
    /// The origin has not heard from a member for long. The member refutes this when it receives it.
    Missed {
        /// The member.
        member: Name,
        /// Its latest incarnation that the origin knows.
        incarnation: Incarnation,
    },
    /// How many of the origin's queries have ended since its last update of this kind.
    QueryCounts {
        /// Those that ended too late.
        late: u32,
        /// Those that ended in time.
        in_time: u32,
    },
    /// What the origin observed of a data node by its own attempts. The spans count from the creation of the update; one of
    /// 0 says that the node is healthy in that respect.
    Observation {
        /// The data node.
        node: Name,
        /// Seconds from the start of the node's process to the observation, if known.
        uptime_s: Option<f32>,
        /// Seconds from the observation to the creation of the update.
        observed_ago_s: f32,
        /// For how long the node counts as slow.
        slow_for_s: f32,
        /// For how long it counts as very slow.
        very_slow_for_s: f32,
        /// For how long it counts as unresponsive.
        unresponsive_for_s: f32,
    },
}

impl UpdateBody {
    fn subject(&self) -> UpdateSubject {
        match self {
            UpdateBody::Alive | UpdateBody::Leaving => UpdateSubject::Origin,
            UpdateBody::Missed { member, .. } => UpdateSubject::Member(member.clone()),
            UpdateBody::QueryCounts { .. } => UpdateSubject::QueryCounts,
            UpdateBody::Observation { node, .. } => UpdateSubject::Node(node.clone()),
        }
    }
}

/// What an update is about. A later update of an origin replaces an earlier one about the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateSubject {
    /// The origin itself.
    Origin,
    /// The origin's queries.
    QueryCounts,
    /// Another member.
    Member(Name),
    /// A data node.
    Node(Name),
}

/// An update as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The member that created it.
    pub origin: Name,
    /// The origin's incarnation.
    pub incarnation: Incarnation,
    /// Grows with each update of the origin.
    pub number: u64,
    /// An upper bound on the seconds since its creation.
    pub age_s: f64,
    /// What it reports.
    pub body: UpdateBody,
}

/// An update as it is stored.
#[derive(Clone, Debug)]
pub struct StoredUpdate {
    /// Its number.
    pub number: u64,
    /// A lower bound on the time of its creation, by the own clock.
    pub created_at: f64,
    /// What it reports.
    pub body: UpdateBody,
    /// Its position among all updates stored, from which links find what they have not sent yet.
    serial: u64,
    /// The link that it was received on.
    received_on: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Origin {
    incarnation: Incarnation,
    updates: BTreeMap<UpdateSubject, StoredUpdate>,
    /// The highest number among the dropped updates of this incarnation.
    highest_dropped: u64,
}

/// What became of an update that was merged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MergeResult {
    /// It is stored.
    New,
    /// It, or a later one about its subject, was stored already.
    Known,
    /// It was too old.
    Stale,
    /// A later incarnation of its origin is known.
    FormerIncarnation,
}

/// The newest updates of all origins.
#[derive(Debug, Default)]
pub struct UpdateStore {
    origins: BTreeMap<Name, Origin>,
    last_serial: u64,
}

impl UpdateStore {
    /// Stores an update, unless it is stale or not news; `received_on` is the link that it was received on. Of each origin at most
    /// `max_per_origin` updates are stored.
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
        // Guards against an origin that sends more than can be stored: its oldest updates are dropped.
        while origin.updates.len() > max_per_origin {
            let oldest = origin.updates.iter().min_by_key(|(_, stored)| stored.number);
            let Some(oldest) = oldest.map(|(subject, _)| subject.clone()) else { break };
            origin.drop_update(&oldest);
        }
        MergeResult::New
    }

    /// Drops updates that are stale.
    pub fn sweep(&mut self, now: f64, max_age_s: f64) {
        for origin in self.origins.values_mut() {
            let stale = origin.updates.iter().filter(|(_, stored)| now - stored.created_at >= max_age_s);
            let stale: Vec<UpdateSubject> = stale.map(|(subject, _)| subject.clone()).collect();
            stale.iter().for_each(|subject| origin.drop_update(subject));
        }
    }

    /// Up to `max_updates` updates that were stored after `serial` and not received on `link`, oldest first, and the serial
    /// from which the next call for the link continues.
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

    /// Drops all updates of origins that don't match.
    pub fn retain_origins(&mut self, matches: impl Fn(&str) -> bool) {
        self.origins.retain(|name, _| matches(name));
    }

    /// The latest known incarnation of an origin.
    pub fn incarnation(&self, origin: &str) -> Option<Incarnation> {
        self.origins.get(origin).map(|origin| origin.incarnation)
    }

    /// The updates about a subject, with their origins.
    pub fn updates_about<'a>(
        &'a self,
        subject: &'a UpdateSubject,
    ) -> impl Iterator<Item = (&'a Name, &'a StoredUpdate)> {
        self.origins.iter().filter_map(move |(name, origin)| Some((name, origin.updates.get(subject)?)))
    }

    /// How many updates are stored.
    pub fn len(&self) -> usize {
        self.origins.values().map(|origin| origin.updates.len()).sum()
    }

    /// Whether none is stored.
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
