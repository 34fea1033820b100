//! One core's view of the shard map: its history, the mapping of queries to shard requests, and the changes that the policy
//! gets in the next round. A core whose shards are placed by the platform's ring has no shard map.
use super::attempts::AttemptId;
use super::node_protocol::ShardReport;
use super::queries::{QueryError, RequestedKeys, ShardRequest};
use super::response::AnswerCoverage;
use alderway::interface::{AttemptOutcome, PolicyInput, ShardHolders};
use alderway_layouts::coverage::Coverage;
use alderway_layouts::family::Families;
use alderway_layouts::history::{Followed, History, News};
use alderway_layouts::layout::{Faulty, Layout};
use alderway_layouts::{Range, ShardId, Version};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Settings for following a shard map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardMapConfig {
    /// How long a client may still name a shard that no longer exists, in seconds.
    pub retired_shard_grace_s: f64,
    /// How long a data node that lags behind has to catch up before it is asked for the shard again, in seconds.
    pub lagging_node_grace_s: f64,
}

/// A target of a query: a shard or keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryTarget {
    /// The id of the shard.
    pub shard: Option<ShardId>,
    /// The keys, from the first to below the second.
    pub keys: Option<(u32, u32)>,
    /// Its fraction of the query.
    pub weight: f64,
}

/// One of the requests that a shard request was split into.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPart {
    /// Id of the new request.
    pub id: Rc<str>,
    /// The requested shard.
    pub shard: ShardId,
    /// Its fraction of the query.
    pub weight: f64,
}

/// A shard request that was split into several.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitShardRequest {
    /// Number of the query.
    pub query: u64,
    /// Id of the split request.
    pub request_id: Rc<str>,
    /// The requests that it was split into.
    pub parts: Vec<SplitPart>,
}

/// The shard map, and the changes to it since the last round.
pub struct ShardMapView {
    config: ShardMapConfig,
    history: Option<History>,
    /// The split shard requests, and which of their parts still wait for which attempts.
    pub families: Families<Rc<str>>,
    /// For tests: every answer counts, whatever keys it is for.
    #[cfg(feature = "faults")]
    pub counts_all_answers: bool,
    /// New shards, each with the shards whose keys it took over.
    inherited: Vec<(ShardId, Vec<ShardId>)>,
    changed_shards: BTreeSet<ShardId>,
    splits: Vec<SplitShardRequest>,
}

impl ShardMapView {
    /// A view without a shard map.
    pub fn new(config: ShardMapConfig) -> Self {
        ShardMapView {
            config,
            history: None,
            families: Families::default(),
            #[cfg(feature = "faults")]
            counts_all_answers: false,
            inherited: vec![],
            changed_shards: BTreeSet::new(),
            splits: vec![],
        }
    }

    /// The newest version, if there is a shard map.
    pub fn version(&self) -> Option<Version> {
        self.history.as_ref().map(|history| history.newest().version())
    }

    /// The shard map, with the shards that no longer exist but are still in use.
    pub fn history(&self) -> Option<&History> {
        self.history.as_ref()
    }

    /// Applies a shard map or changes from discovery. Returns the shards whose open requests have to be checked.
    ///
    /// # Errors
    /// The shard map or the changes are invalid or do not follow the current version. Nothing is changed then.
    pub fn apply(&mut self, news: News, now: f64) -> Result<Vec<ShardId>, Faulty> {
        let ShardMapConfig { retired_shard_grace_s, lagging_node_grace_s } = self.config;
        match &mut self.history {
            Some(history) => {
                let followed = history.take(news, now)?;
                Ok(self.note_changes(followed))
            }
            None => {
                self.history = Some(History::begin(news, retired_shard_grace_s, lagging_node_grace_s)?);
                self.mark_all_changed();
                Ok(vec![])
            }
        }
    }

    /// Applies a shard map that another core has validated. Returns the shards whose open requests have to be checked.
    ///
    /// # Errors
    /// The shard map does not follow the current version. Nothing is changed then.
    pub fn replace_from_core(&mut self, layout: &Layout, now: f64) -> Result<Vec<ShardId>, Faulty> {
        let ShardMapConfig { retired_shard_grace_s, lagging_node_grace_s } = self.config;
        match &mut self.history {
            Some(history) if history.newest().version() == layout.version() => Ok(vec![]),
            Some(history) => {
                let followed = history.replace(layout.clone(), now)?;
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

    fn note_changes(&mut self, followed: Followed) -> Vec<ShardId> {
        self.inherited.extend(followed.new);
        self.changed_shards.extend(followed.held.iter().copied());
        followed.held
    }

    /// Marks all shards as changed, so that a restarted policy gets all of them in the next round.
    pub fn mark_all_changed(&mut self) {
        self.inherited.clear();
        self.splits.clear();
        if let Some(history) = &self.history {
            self.changed_shards.extend(history.newest().shards().map(|(id, _)| id));
            self.changed_shards.extend(history.open());
        }
    }

    /// The shard requests for the targets of a query by the newest shard map, and the coverage that records their answers.
    ///
    /// # Errors
    /// [`QueryError`] if a target does not exist, targets overlap, or there is no shard map.
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
                    let range = Range::new(from, to);
                    if range.is_empty() || to > history.newest().keys() {
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

    /// The requests that a shard request is split into by the newest shard map.
    pub fn split_requests(&self, query_id: &str, request: &ShardRequest) -> Vec<ShardRequest> {
        let (Some(history), Some(keys)) = (&self.history, request.keys) else { return vec![] };
        let mut split_into = requests_by_keys(history, query_id, keys.range, request.weight);
        split_into.iter_mut().for_each(|part| part.attempts = request.attempts);
        split_into
    }

    /// Whether an open shard request has to be split. That is so if its shard no longer exists, and either the shards that now
    /// cover its keys have different holders, or the request has had no attempt and can follow the newest shard map.
    /// Guards against a request whose only common holder hangs while other nodes hold each of its parts.
    pub fn must_split(&self, request: &ShardRequest) -> bool {
        let (Some(history), Some(keys)) = (&self.history, request.keys) else { return false };
        let is_settled = keys.is_whole_shard || keys.is_split || keys.is_answered;
        !is_settled
            && history.is_gone(request.shard)
            && (request.attempts == 0 || history.is_scattered(request.shard))
    }

    /// Records that a shard request is open. Its shard is kept until the request is closed.
    pub fn record_request_opened(&mut self, request: &ShardRequest) {
        if let Some(history) = self.history.as_mut().filter(|_| request.keys.is_some()) {
            history.opened(request.shard);
        }
    }

    /// Records that a shard request is closed. A split request is closed by its split and is ignored here.
    pub fn record_request_closed(&mut self, request: &ShardRequest) {
        let is_open = request.keys.is_some_and(|keys| !keys.is_split);
        if let Some(history) = self.history.as_mut().filter(|_| is_open) {
            history.closed(request.shard);
        }
    }

    /// The replica groups that hold a shard.
    pub fn replica_groups_of(&self, shard: ShardId) -> Vec<u32> {
        self.history.as_ref().map_or(vec![], |history| history.holders(shard))
    }

    /// Records that a shard request was split. If its query is `is_new` to the policy, the next round passes the query with
    /// the parts in the first place, so the split itself is not reported.
    pub fn record_split(&mut self, split: SplitShardRequest, is_new: bool) {
        let part_ids: Vec<Rc<str>> = split.parts.iter().map(|part| part.id.clone()).collect();
        self.families.divide(&split.request_id, &part_ids);
        if !is_new {
            self.splits.push(split);
        }
    }

    /// The outcome of an attempt, corrected by what the data node reports about the shard map. An answer succeeds only if it
    /// is for exactly the requested keys. Guards against a node that answers by another version of the shard map, and
    /// against one that knows no shard map and is asked for a part of what it takes for the shard.
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
                if history.disown(request.shard, node, version, now) {
                    self.changed_shards.insert(request.shard);
                }
                AttemptOutcome::ShardMoved
            }
            (AttemptOutcome::Success, _, Some((from, to))) if Range::new(from, to) != asked.range => {
                AttemptOutcome::Error
            }
            (AttemptOutcome::Success, _, None) if history.keys(request.shard) != Some(asked.range) => {
                AttemptOutcome::Error
            }
            _ => outcome,
        }
    }

    /// Passes the changed shards to the policy. It must get them before the queries of the round.
    pub fn notify_shards(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        let Some(history) = &mut self.history else { return };
        self.changed_shards.extend(history.lapse(now));
        for (shard, parents) in std::mem::take(&mut self.inherited) {
            policy.inherit_shard(shard, &parents);
        }
        for shard in std::mem::take(&mut self.changed_shards) {
            let excluded_nodes = history.disowned(shard).map(str::to_string).collect();
            let holders = ShardHolders { replica_groups: history.holders(shard), excluded_nodes };
            policy.set_shard_holders(shard, holders);
        }
    }

    /// Passes the splits of shard requests to the policy, for queries that it knows.
    pub fn notify_splits(&mut self, policy: &mut dyn PolicyInput) {
        for split in std::mem::take(&mut self.splits) {
            let parts: Vec<(&str, u32, f64)> =
                split.parts.iter().map(|part| (&*part.id, part.shard, part.weight)).collect();
            policy.shard_request_split(split.query, &split.request_id, &parts);
        }
    }

    /// Drops the pending changes, for an owner of the shard map that has no policy.
    pub fn discard_notifications(&mut self, now: f64) {
        self.inherited.clear();
        self.changed_shards.clear();
        self.history.iter_mut().for_each(|history| drop(history.retire(now)));
    }

    /// Drops the shards that are no longer in use, and reports them to the policy. Called at the end of the round.
    pub fn notify_retired_shards(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        if let Some(history) = &mut self.history {
            history.retire(now).into_iter().for_each(|shard| policy.shard_retired(shard));
        }
    }

    /// Records that a shard request no longer waits for an attempt that it shares with the other parts of its split. Returns
    /// whether none of them waits any more.
    pub fn remove_waiting_request(&mut self, id: &AttemptId, request_id: &Rc<str>) -> bool {
        self.families.release(&(id.request_id.clone(), id.number), request_id)
    }

    /// The shard requests for which the policy gets the end of an attempt whose request was split: all parts of the split if
    /// the attempt succeeded, otherwise those that still wait for it. `None` if the request was not split.
    pub fn outcome_recipients(&self, id: &AttemptId, outcome: AttemptOutcome) -> Option<Vec<Rc<str>>> {
        if self.families.is_empty() {
            return None;
        }
        let parts = self.families.heirs(&id.request_id);
        let attempt = (id.request_id.clone(), id.number);
        let waits =
            |part: &&Rc<str>| outcome == AttemptOutcome::Success || self.families.waits(&attempt, part);
        (!parts.is_empty()).then(|| parts.iter().filter(waits).cloned().collect())
    }
}

/// The keys of a shard. A shard that no longer exists still has its keys while some replica group holds all of them.
fn shard_range(history: &History, shard: ShardId) -> Result<Range, QueryError> {
    let is_served = || !history.is_gone(shard) || !history.holders(shard).is_empty();
    history.keys(shard).filter(|_| is_served()).ok_or(QueryError::UnknownShard)
}

/// One shard request for each shard that covers part of `range` by the newest shard map. Every key has the same weight.
fn requests_by_keys(history: &History, query_id: &str, range: Range, weight: f64) -> Vec<ShardRequest> {
    let weight_per_key = weight / range.keys() as f64;
    let request = |(shard, keys): (ShardId, Range)| {
        let id = format!("{query_id}.{shard}.{}-{}", keys.from, keys.to).into();
        let mut request = ShardRequest::new(id, shard, weight_per_key * keys.keys() as f64);
        request.keys = Some(RequestedKeys::new(keys, false));
        request
    };
    history.cover(range).into_iter().map(request).collect()
}
