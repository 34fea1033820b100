//! The shard map of one core. A shard map assigns each range of keys to a shard, and each shard to its
//! holders: the replica groups that store all keys of the shard. A shard that the newest version no longer
//! contains is retired: it is kept until its last request is closed and a grace period is over. New versions
//! split, merge or move shards, so open shard requests may have to be split into parts, which share the
//! attempts of the split request.
//!
//! This module maps queries to shard requests and collects the changes that the policy, the code that decides
//! about attempts, gets in its next run. Whether a router uses a shard map is a setting of the process.
//! Without a shard map, the hosting platform places shards on data nodes by a hash ring, and this module is
//! not used. Times are seconds of the monotonic clock.
use super::attempts::AttemptId;
use super::node_protocol::ShardReport;
use super::queries::{QueryError, RequestedKeys, ShardRequest};
use super::response::AnswerCoverage;
use alderway::interface::{AttemptOutcome, PolicyInput, ShardHolders};
use alderway_layouts::coverage::Coverage;
use alderway_layouts::history::{AppliedUpdate, History, LayoutUpdate};
use alderway_layouts::layout::{Layout, LayoutError};
use alderway_layouts::split_requests::SplitRequests;
use alderway_layouts::{KeyRange, ShardId, Version};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Settings for changes of the shard map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardMapConfig {
    /// How long clients may still request a shard that no longer exists, in seconds.
    pub retired_shard_grace_s: f64,
    /// How long no requests for a shard are sent to a data node that has replied that it does not hold the
    /// shard, in seconds. A data node with an older shard map than this router can receive the newer one in
    /// this time. If the data node has a newer shard map, no requests are sent until this router applies that
    /// version, but for at most ten times as long.
    pub lagging_node_grace_s: f64,
}

/// A target of a query: either a shard or a range of keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryTarget {
    /// Id of the requested shard; `None` if the target names keys.
    pub shard: Option<ShardId>,
    /// The requested keys, from the first (inclusive) to the second (exclusive); `None` if the target names a
    /// shard.
    pub keys: Option<(u32, u32)>,
    /// The target's fraction of the query, from 0 to 1.
    pub weight: f64,
}

/// A part of a split: one of the shard requests that a shard request was split into.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPart {
    /// Id of the new shard request.
    pub id: Rc<str>,
    /// Id of the requested shard.
    pub shard: ShardId,
    /// The part's fraction of the query, from 0 to 1.
    pub weight: f64,
}

/// A shard request that was split, and the shard requests that replace it.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitShardRequest {
    /// The number that identifies the query on this core.
    pub query: u64,
    /// Id of the shard request that was split.
    pub request_id: Rc<str>,
    /// The shard requests that replace the split one.
    pub parts: Vec<SplitPart>,
}

/// The shard map of one core, and the changes that the policy has not received yet.
pub struct ShardMapView {
    config: ShardMapConfig,
    history: Option<History>,
    /// For each split shard request, its parts, and which parts no longer wait for which of its attempts.
    pub families: SplitRequests<Rc<str>>,
    /// A fault that a test may set: the value of every answer counts, even if the answer is for other keys
    /// than requested.
    #[cfg(feature = "faults")]
    pub counts_all_answers: bool,
    /// New shards, each with the former shards that had its keys.
    inherited: Vec<(ShardId, Vec<ShardId>)>,
    /// Shards whose holders the policy gets in its next run.
    changed_shards: BTreeSet<ShardId>,
    splits: Vec<SplitShardRequest>,
}

impl ShardMapView {
    /// The state before a shard map is received.
    pub fn new(config: ShardMapConfig) -> Self {
        ShardMapView {
            config,
            history: None,
            families: SplitRequests::default(),
            #[cfg(feature = "faults")]
            counts_all_answers: false,
            inherited: vec![],
            changed_shards: BTreeSet::new(),
            splits: vec![],
        }
    }

    /// The version of the newest shard map; `None` before the first one.
    pub fn version(&self) -> Option<Version> {
        self.history.as_ref().map(|history| history.latest().version())
    }

    /// The newest shard map, and the shards that no longer exist but are still in use; `None` before the
    /// first shard map.
    pub fn history(&self) -> Option<&History> {
        self.history.as_ref()
    }

    /// Applies a full shard map or changes from discovery. Returns the shards whose holders may have changed,
    /// and those that no longer exist but have open requests: the caller recalls attempts to former holders
    /// and splits requests for these shards if necessary.
    ///
    /// # Errors
    /// The shard map or the changes are invalid, or the changes are not based on the current version. The
    /// current shard map then stays in use.
    pub fn apply(&mut self, news: LayoutUpdate, now: f64) -> Result<Vec<ShardId>, LayoutError> {
        let ShardMapConfig { retired_shard_grace_s, lagging_node_grace_s } = self.config;
        match &mut self.history {
            Some(history) => {
                let followed = history.apply(news, now)?;
                Ok(self.note_changes(followed))
            }
            None => {
                self.history = Some(History::from_update(news, retired_shard_grace_s, lagging_node_grace_s)?);
                self.mark_all_changed();
                Ok(vec![])
            }
        }
    }

    /// Replaces the shard map by one that the acceptor core has validated. Returns the same shards as
    /// [`apply`](Self::apply).
    ///
    /// # Errors
    /// The shard map is older than the current one, or reuses the id of a shard for other keys. The current
    /// shard map then stays in use.
    pub fn replace_from_core(&mut self, layout: &Layout, now: f64) -> Result<Vec<ShardId>, LayoutError> {
        let ShardMapConfig { retired_shard_grace_s, lagging_node_grace_s } = self.config;
        match &mut self.history {
            Some(history) if history.latest().version() == layout.version() => Ok(vec![]),
            Some(history) => {
                let followed = history.replace_layout(layout.clone(), now)?;
                Ok(self.note_changes(followed))
            }
            None => {
                let history = History::new(layout.clone(), retired_shard_grace_s, lagging_node_grace_s);
                self.history = Some(history);
                self.mark_all_changed();
                Ok(vec![])
            }
        }
    }

    fn note_changes(&mut self, followed: AppliedUpdate) -> Vec<ShardId> {
        self.inherited.extend(followed.added);
        self.changed_shards.extend(followed.changed_holders.iter().copied());
        followed.changed_holders
    }

    /// Marks all shards as changed, and drops the collected splits and new shards, so that a restarted policy
    /// gets all shards in its first run.
    pub fn mark_all_changed(&mut self) {
        self.inherited.clear();
        self.splits.clear();
        if let Some(history) = &self.history {
            self.changed_shards.extend(history.latest().shards().map(|(id, _)| id));
            self.changed_shards.extend(history.shards_with_open_requests());
        }
    }

    /// Maps the targets of a query to shard requests by the newest shard map. Also returns the coverage that
    /// records which keys of the query are answered.
    ///
    /// # Errors
    /// [`QueryError`] if a target does not exist or names both or neither of shard and keys, targets overlap,
    /// or there is no shard map.
    pub fn requests_for(
        &self,
        query_id: &str,
        targets: &[QueryTarget],
    ) -> Result<(Vec<ShardRequest>, AnswerCoverage), QueryError> {
        let history = self.history.as_ref().ok_or(QueryError::NoShardMap)?;
        let (mut requests, mut asked) = (vec![], vec![]);
        for &QueryTarget { shard, keys, weight } in targets {
            match (shard, keys) {
                (Some(shard), None) => {
                    let range = shard_range(history, shard)?;
                    let mut request = ShardRequest::new(format!("{query_id}.{shard}").into(), shard, weight);
                    request.keys = Some(RequestedKeys::new(range, true));
                    requests.push(request);
                    asked.push((range, weight));
                }
                (None, Some((from, to))) => {
                    let range = KeyRange::new(from, to);
                    if range.is_empty() || to > history.latest().key_count() {
                        return Err(QueryError::UnknownKeys);
                    }
                    requests.extend(requests_by_keys(history, query_id, range, weight));
                    asked.push((range, weight));
                }
                _ => return Err(QueryError::AmbiguousTarget),
            }
        }
        let coverage = Coverage::new(asked).ok_or(QueryError::DuplicateKeys)?;
        Ok((requests, coverage))
    }

    /// The shard requests that replace `request` if it is split by the newest shard map.
    pub fn split_requests(&self, query_id: &str, request: &ShardRequest) -> Vec<ShardRequest> {
        let (Some(history), Some(keys)) = (&self.history, request.keys) else { return vec![] };
        let mut split_into = requests_by_keys(history, query_id, keys.range, request.weight);
        split_into.iter_mut().for_each(|part| part.inherit_attempts(request));
        split_into
    }

    /// Whether an open shard request has to be split: the client asked for keys, the shard of the request no
    /// longer exists, and either no attempt of the request has been started or the new shards of the
    /// requested keys have different holders. Guards against a request that can only go to a hanging replica
    /// group, the only one that holds all of its keys, although other groups hold some of the keys.
    pub fn must_split(&self, request: &ShardRequest) -> bool {
        let (Some(history), Some(keys)) = (&self.history, request.keys) else { return false };
        let is_settled = keys.is_whole_shard || keys.is_split || keys.is_answered;
        !is_settled
            && history.is_retired(request.shard)
            && (request.attempts == 0 || history.successors_have_different_holders(request.shard))
    }

    /// Records that a shard request is open. The shard is kept until all requests for it are closed, even if
    /// it no longer exists.
    pub fn record_request_opened(&mut self, request: &ShardRequest) {
        if let Some(history) = self.history.as_mut().filter(|_| request.keys.is_some()) {
            history.request_opened(request.shard);
        }
    }

    /// Records that a shard request is closed. Does nothing for a split request, which was closed when it was
    /// split.
    pub fn record_request_closed(&mut self, request: &ShardRequest) {
        let is_open = request.keys.is_some_and(|keys| !keys.is_split);
        if let Some(history) = self.history.as_mut().filter(|_| is_open) {
            history.request_closed(request.shard);
        }
    }

    /// Ids of the replica groups that hold all keys of a shard.
    pub fn replica_groups_of(&self, shard: ShardId) -> Vec<u32> {
        self.history.as_ref().map_or(vec![], |history| history.holders(shard))
    }

    /// Records that a shard request was split. `is_new` says that the policy has not received the query yet;
    /// it then receives the query with the parts instead of the split request, and the split is not passed to
    /// the policy.
    pub fn record_split(&mut self, split: SplitShardRequest, is_new: bool) {
        let part_ids: Vec<Rc<str>> = split.parts.iter().map(|part| part.id.clone()).collect();
        self.families.split(&split.request_id, &part_ids);
        if !is_new {
            self.splits.push(split);
        }
    }

    /// Corrects the outcome of an attempt by the data node's report about the shard map, and returns the
    /// corrected outcome. If the data node rejected the attempt because it does not hold the shard, the
    /// outcome is `ShardMoved`, and the data node is excluded for this shard: from `now`, in seconds of the
    /// monotonic clock, the policy sends no requests for the shard to that data node until the exclusion
    /// ends. An answer is a success only if the answer is for exactly the requested keys; an answer without
    /// keys counts as one for the whole shard. Guards against data nodes with another version of the shard
    /// map, and against data nodes without a shard map, which always answer for the whole shard.
    pub fn classify_outcome(
        &mut self,
        node: &str,
        request: &ShardRequest,
        outcome: AttemptOutcome,
        report: ShardReport,
        now: f64,
    ) -> AttemptOutcome {
        let (Some(history), Some(asked)) = (&mut self.history, request.keys) else { return outcome };
        match (outcome, report.moved_at_version, report.keys) {
            (AttemptOutcome::Rejected, Some(version), _) => {
                if history.exclude_node(request.shard, node, version, now) {
                    self.changed_shards.insert(request.shard);
                }
                AttemptOutcome::ShardMoved
            }
            (AttemptOutcome::Success, _, Some((from, to))) if KeyRange::new(from, to) != asked.range => {
                AttemptOutcome::Error
            }
            (AttemptOutcome::Success, _, None) if history.keys(request.shard) != Some(asked.range) => {
                AttemptOutcome::Error
            }
            _ => outcome,
        }
    }

    /// Passes the new shards, and the holders of all changed shards, to the policy. Must be called before new
    /// queries are passed to the policy.
    pub fn notify_shards(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        let Some(history) = &mut self.history else { return };
        self.changed_shards.extend(history.expire_exclusions(now));
        for (shard, parents) in std::mem::take(&mut self.inherited) {
            policy.inherit_shard(shard, &parents);
        }
        for shard in std::mem::take(&mut self.changed_shards) {
            let excluded_nodes = history.excluded_nodes(shard).map(str::to_string).collect();
            let holders = ShardHolders { replica_groups: history.holders(shard), excluded_nodes };
            policy.set_shard_holders(shard, holders);
        }
    }

    /// Passes the splits of shard requests to the policy, for queries that the policy has received before.
    pub fn notify_splits(&mut self, policy: &mut dyn PolicyInput) {
        for split in std::mem::take(&mut self.splits) {
            let parts: Vec<(&str, u32, f64)> =
                split.parts.iter().map(|part| (&*part.id, part.shard, part.weight)).collect();
            policy.shard_request_split(split.query, &split.request_id, &parts);
        }
    }

    /// Drops the changes that are collected for the policy, and the shards that are no longer in use. For the
    /// publisher of the shard map in the acceptor core, which has a shard map but no policy.
    pub fn discard_notifications(&mut self, now: f64) {
        self.inherited.clear();
        self.changed_shards.clear();
        self.history.iter_mut().for_each(|history| drop(history.expire_retired(now)));
    }

    /// Drops the shards that are no longer in use, and reports them to the policy. Must be called after all
    /// other input has been passed to the policy.
    pub fn notify_retired_shards(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        if let Some(history) = &mut self.history {
            history.expire_retired(now).into_iter().for_each(|shard| policy.shard_retired(shard));
        }
    }

    /// Records that the part `request_id` of a split no longer waits for an attempt that the parts share.
    /// Returns whether no part waits for the attempt any more.
    pub fn remove_waiting_request(&mut self, id: &AttemptId, request_id: &Rc<str>) -> bool {
        self.families.remove_waiter(&(id.request_id.clone(), id.number), request_id)
    }

    /// The shard requests for which the policy gets the end of an attempt, if the shard request of the
    /// attempt was split: all parts of the split if the attempt succeeded, otherwise the parts that still
    /// wait for the attempt. `None` if the request was not split.
    pub fn outcome_recipients(&self, id: &AttemptId, outcome: AttemptOutcome) -> Option<Vec<Rc<str>>> {
        if self.families.is_empty() {
            return None;
        }
        let parts = self.families.parts(&id.request_id);
        let attempt = (id.request_id.clone(), id.number);
        let is_awaited_by = |part: &&Rc<str>| {
            outcome == AttemptOutcome::Success || self.families.is_awaited_by(&attempt, part)
        };
        (!parts.is_empty()).then(|| parts.iter().filter(is_awaited_by).cloned().collect())
    }
}

/// The keys of a shard that a client requests. A shard that no longer exists can be requested while some
/// replica group holds all of its keys.
fn shard_range(history: &History, shard: ShardId) -> Result<KeyRange, QueryError> {
    let is_served = || !history.is_retired(shard) || !history.holders(shard).is_empty();
    history.keys(shard).filter(|_| is_served()).ok_or(QueryError::UnknownShard)
}

/// One shard request for each shard that has keys of `range` by the newest shard map. `weight` is divided in
/// proportion to the number of keys.
fn requests_by_keys(history: &History, query_id: &str, range: KeyRange, weight: f64) -> Vec<ShardRequest> {
    let weight_per_key = weight / range.len() as f64;
    let request = |(shard, keys): (ShardId, KeyRange)| {
        let id = format!("{query_id}.{shard}.{}-{}", keys.from, keys.to).into();
        let mut request = ShardRequest::new(id, shard, weight_per_key * keys.len() as f64);
        request.keys = Some(RequestedKeys::new(keys, false));
        request
    };
    history.overlapping(range).into_iter().map(request).collect()
}
