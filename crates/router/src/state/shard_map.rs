//! The shard map as one core follows it: its history, how requests are mapped to shards, and what the next round has to tell
//! the policy of it. A core whose shards lie in the platform's ring has none.
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

/// How a shard map is followed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardMapConfig {
    /// Seconds for which a client may name a shard that is gone.
    pub retired_shard_grace_s: f64,
    /// Seconds that a data node which lags behind has to catch up.
    pub lagging_node_grace_s: f64,
}

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryTarget {
    /// A shard by its id.
    pub shard: Option<ShardId>,
    /// Keys from the first to below the second.
    pub keys: Option<(u32, u32)>,
    /// Its fraction of the query.
    pub weight: f64,
}

/// One of the requests that a shard request was split into.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPart {
    /// Its id.
    pub id: Rc<str>,
    /// The shard asked.
    pub shard: ShardId,
    /// Its fraction of the query.
    pub weight: f64,
}

/// A shard request that was split into several.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitShardRequest {
    /// Number of its query.
    pub query: u64,
    /// Its id.
    pub request_id: Rc<str>,
    /// What it was split into.
    pub parts: Vec<SplitPart>,
}

/// The shard map, and what the policy has not been told of it.
pub struct ShardMapView {
    config: ShardMapConfig,
    history: Option<History>,
    /// Shard requests that were split, and who still waits for their attempts.
    pub families: SplitRequests<Rc<str>>,
    /// For tests: every answer counts, whatever keys it is for.
    #[cfg(feature = "faults")]
    pub by_answers: bool,
    /// New shards with those that they came of.
    inherited: Vec<(ShardId, Vec<ShardId>)>,
    changed_shards: BTreeSet<ShardId>,
    splits: Vec<SplitShardRequest>,
}

impl ShardMapView {
    /// A view that knows no shard map yet.
    pub fn new(config: ShardMapConfig) -> Self {
        ShardMapView {
            config,
            history: None,
            families: SplitRequests::default(),
            #[cfg(feature = "faults")]
            by_answers: false,
            inherited: vec![],
            changed_shards: BTreeSet::new(),
            splits: vec![],
        }
    }

    /// The newest version, if any is known.
    pub fn version(&self) -> Option<Version> {
        self.history.as_ref().map(|history| history.latest().version())
    }

    /// The shard map with the shards that are retired but still referred to.
    pub fn history(&self) -> Option<&History> {
        self.history.as_ref()
    }

    /// Applies news of discovery. Returns the shards whose open requests have to be looked at.
    ///
    /// # Errors
    /// The news does not fit; nothing is changed by it.
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

    /// Applies a shard map that another core has checked. Returns the shards whose open requests have to be looked at.
    ///
    /// # Errors
    /// It does not follow on the one that is applied; nothing is changed by it.
    pub fn adopt(&mut self, layout: &Layout, now: f64) -> Result<Vec<ShardId>, LayoutError> {
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

    /// The next round tells all shards, as to a policy that starts anew.
    pub fn mark_all_changed(&mut self) {
        self.inherited.clear();
        self.splits.clear();
        if let Some(history) = &self.history {
            self.changed_shards.extend(history.latest().shards().map(|(id, _)| id));
            self.changed_shards.extend(history.shards_with_open_requests());
        }
    }

    /// The shard requests of a query for these targets, by the newest shard map.
    ///
    /// # Errors
    /// [`QueryError`] if the targets do not exist or overlap, or no shard map is known.
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

    /// What a shard request is split into by the newest shard map.
    pub fn split_requests(&self, query_id: &str, request: &ShardRequest) -> Vec<ShardRequest> {
        let (Some(history), Some(keys)) = (&self.history, request.keys) else { return vec![] };
        let mut split_into = requests_by_keys(history, query_id, keys.range, request.weight);
        split_into.iter_mut().for_each(|part| part.attempts = request.attempts);
        split_into
    }

    /// Whether an open shard request has to be split: its shard is gone, and either its keys lie with several replica
    /// groups, or nothing was sent for it yet, so that it may as well go by the newest shard map. Guards against a
    /// request whose one common holder hangs while each of its parts has another holder.
    pub fn must_split(&self, request: &ShardRequest) -> bool {
        let (Some(history), Some(keys)) = (&self.history, request.keys) else { return false };
        let is_settled = keys.is_whole_shard || keys.is_split || keys.is_answered;
        !is_settled
            && history.is_retired(request.shard)
            && (request.attempts == 0 || history.successors_have_different_holders(request.shard))
    }

    /// A shard request is open: its shard is not forgotten before it is closed.
    pub fn request_opened(&mut self, request: &ShardRequest) {
        if let Some(history) = self.history.as_mut().filter(|_| request.keys.is_some()) {
            history.request_opened(request.shard);
        }
    }

    /// A shard request is over. One that was split has been closed by that.
    pub fn request_closed(&mut self, request: &ShardRequest) {
        let is_open = request.keys.is_some_and(|keys| !keys.is_split);
        if let Some(history) = self.history.as_mut().filter(|_| is_open) {
            history.request_closed(request.shard);
        }
    }

    /// The replica groups that hold a shard.
    pub fn holders(&self, shard: ShardId) -> Vec<u32> {
        self.history.as_ref().map_or(vec![], |history| history.holders(shard))
    }

    /// A shard request was split. Of a query that is `new` to the policy the next round tells it as it is then.
    pub fn request_split(&mut self, split: SplitShardRequest, new: bool) {
        let part_ids: Vec<Rc<str>> = split.parts.iter().map(|part| part.id.clone()).collect();
        self.families.split(&split.request_id, &part_ids);
        if !new {
            self.splits.push(split);
        }
    }

    /// The outcome of an attempt by what the data node reports of the shard map. An answer counts for just the keys that
    /// were asked for. Guards against a node that answers by another shard map, and against one that knows of none and
    /// is asked for part of what it calls a shard.
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

    /// Tells the policy which shards changed, before the queries of the round.
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

    /// Tells the policy which shard requests were split, of the queries that it knows.
    pub fn notify_splits(&mut self, policy: &mut dyn PolicyInput) {
        for split in std::mem::take(&mut self.splits) {
            let parts: Vec<(&str, u32, f64)> =
                split.parts.iter().map(|part| (&*part.id, part.shard, part.weight)).collect();
            policy.shard_request_split(split.query, &split.request_id, &parts);
        }
    }

    /// For a holder of the list that has no policy to tell.
    pub fn discard_notifications(&mut self, now: f64) {
        self.inherited.clear();
        self.changed_shards.clear();
        self.history.iter_mut().for_each(|history| drop(history.expire_retired(now)));
    }

    /// Tells the policy which shards nothing refers to any more, at the end of the round.
    pub fn notify_retired(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        if let Some(history) = &mut self.history {
            history.expire_retired(now).into_iter().for_each(|shard| policy.shard_retired(shard));
        }
    }

    /// A shard request no longer waits for an attempt that it shares with others of its split; returns whether it was the
    /// last.
    pub fn release_attempt(&mut self, id: &AttemptId, request_id: &Rc<str>) -> bool {
        self.families.remove_waiter(&(id.request_id.clone(), id.number), request_id)
    }

    /// The shard requests for which the end of an attempt is told in place of a request that was split: those that still
    /// wait for it, or all of them where it brought an answer. None where the request was not split.
    pub fn outcome_recipients(&self, id: &AttemptId, outcome: AttemptOutcome) -> Option<Vec<Rc<str>>> {
        if self.families.is_empty() {
            return None;
        }
        let parts = self.families.parts(&id.request_id);
        let call = (id.request_id.clone(), id.number);
        let waits =
            |part: &&Rc<str>| outcome == AttemptOutcome::Success || self.families.is_awaited_by(&call, part);
        (!parts.is_empty()).then(|| parts.iter().filter(waits).cloned().collect())
    }
}

/// The keys of a shard, or those that it had while nodes still serve it.
fn shard_range(history: &History, shard: ShardId) -> Result<KeyRange, QueryError> {
    let is_served = || !history.is_retired(shard) || !history.holders(shard).is_empty();
    history.keys(shard).filter(|_| is_served()).ok_or(QueryError::UnknownShard)
}

/// Requests for keys by the newest shard map; each key weighs the same.
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
