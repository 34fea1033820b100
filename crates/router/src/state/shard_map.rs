//! The layout as one core follows it: its history, which open parts lie in which shards, and what the next round has to
//! tell the module of it. A core whose shards lie in the platform's ring has none.
use super::queries::{RequestedKeys, ShardRequest};
use crate::wire::http::Refusal;
use alderway::interface::{AttemptOutcome, PolicyInput, ShardHolders};
use alderway_layouts::coverage::Coverage;
use alderway_layouts::family::Families;
use alderway_layouts::history::{Followed, History, News};
use alderway_layouts::layout::{Faulty, Layout};
use alderway_layouts::{Range, ShardId, Version};
use std::collections::BTreeSet;
use std::rc::Rc;

/// How layouts are followed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardMapConfig {
    /// Seconds for which a client may name a shard that is gone.
    pub retired_shard_grace_s: f64,
    /// Seconds that a data node which lags behind has to catch up.
    pub lagging_node_grace_s: f64,
}

/// A part that has become several: its query, its id, and what it became.
pub type SplitShardRequest = (u64, Rc<str>, Vec<(Rc<str>, ShardId, f64)>);

/// What a client asks for: a shard, or keys, and its share.
pub type QueryTarget = (Option<u32>, Option<(u32, u32)>, f64);

/// What is in of a query, by keys: from which shard, and its value.
pub type AnswerCoverage = Coverage<(ShardId, String)>;

pub struct ShardMapView {
    config: ShardMapConfig,
    history: Option<History>,
    pub families: Families<Rc<str>>,
    /// For tests: every answer counts, whatever keys it is for.
    #[cfg(feature = "faults")]
    pub by_answers: bool,
    /// What the next round tells.
    inherited: Vec<(ShardId, Vec<ShardId>)>,
    changed_shards: BTreeSet<ShardId>,
    splits: Vec<SplitShardRequest>,
}

impl ShardMapView {
    pub fn new(following: ShardMapConfig) -> Self {
        let (history, families, follows, held, divided) = Default::default();
        ShardMapView {
            config: following,
            history,
            families,
            #[cfg(feature = "faults")]
            by_answers: false,
            inherited: follows,
            changed_shards: held,
            splits: divided,
        }
    }

    pub fn version(&self) -> Option<Version> {
        self.history.as_ref().map(|history| history.newest().version())
    }

    pub fn history(&self) -> Option<&History> {
        self.history.as_ref()
    }

    /// Takes news in; a faulty one changes nothing. Returns the shards whose open parts are to be looked at.
    pub fn apply(&mut self, news: News, now: f64) -> Result<Vec<ShardId>, Faulty> {
        let ShardMapConfig { retired_shard_grace_s: grace, lagging_node_grace_s: lag } = self.config;
        match &mut self.history {
            Some(history) => {
                let followed = history.take(news, now)?;
                Ok(self.note_changes(followed))
            }
            None => {
                self.history = Some(History::begin(news, grace, lag)?);
                self.mark_all_changed();
                Ok(vec![])
            }
        }
    }

    /// Takes over a layout that another core has checked.
    pub fn adopt(&mut self, layout: &Layout, now: f64) -> Result<Vec<ShardId>, Faulty> {
        let ShardMapConfig { retired_shard_grace_s: grace, lagging_node_grace_s: lag } = self.config;
        match &mut self.history {
            Some(history) if history.newest().version() == layout.version() => Ok(vec![]),
            Some(history) => {
                let followed = history.replace(layout.clone(), now)?;
                Ok(self.note_changes(followed))
            }
            None => {
                self.history = Some(History::new(layout.clone(), grace, lag));
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

    /// Everything is to be told, as to a module that starts anew.
    pub fn mark_all_changed(&mut self) {
        self.inherited.clear();
        self.splits.clear();
        if let Some(history) = &self.history {
            self.changed_shards.extend(history.newest().shards().map(|(id, _)| id));
            self.changed_shards.extend(history.open());
        }
    }

    /// The parts of a query that asks for these targets, by the newest layout.
    pub fn requests_for(
        &self,
        id: &str,
        targets: &[QueryTarget],
    ) -> Result<(Vec<ShardRequest>, AnswerCoverage), Refusal> {
        let history = self.history.as_ref().ok_or((503, "no layout is known yet"))?;
        let (mut parts, mut asked) = (vec![], vec![]);
        for &(shard, keys, share) in targets {
            match (shard, keys) {
                (Some(shard), None) => {
                    let range = history
                        .keys(shard)
                        .filter(|_| !history.is_gone(shard) || !history.holders(shard).is_empty());
                    let range = range.ok_or((400, "`partition` is no shard here"))?;
                    let mut part = ShardRequest::new(format!("{id}.{shard}").into(), shard, share);
                    part.keys = Some(RequestedKeys::new(range, true));
                    parts.push(part);
                    asked.push((range, share));
                }
                (None, Some((from, to))) => {
                    let range = Range::new(from, to);
                    if range.is_empty() || to > history.newest().keys() {
                        return Err((400, "`keys` are none here"));
                    }
                    parts.extend(pieces(history, id, range, share));
                    asked.push((range, share));
                }
                _ => return Err((400, "a target names either `partition` or `keys`")),
            }
        }
        let coverage = Coverage::new(asked).ok_or((400, "`keys` stand twice"))?;
        Ok((parts, coverage))
    }

    /// What a part becomes by the newest layout.
    pub fn split_requests(&self, id: &str, part: &ShardRequest) -> Vec<ShardRequest> {
        let (Some(history), Some(keys)) = (&self.history, part.keys) else { return vec![] };
        let mut heirs = pieces(history, id, keys.range, part.weight);
        heirs.iter_mut().for_each(|heir| heir.attempts = part.attempts);
        heirs
    }

    /// Whether an open part is to be divided: its shard is gone, and its keys lie with other cells here and there, or
    /// nothing was sent for it yet, so that it may as well go by the newest layout. Guards against a part whose one
    /// common holder hangs or dies while each piece of it has another.
    pub fn must_split(&self, part: &ShardRequest) -> bool {
        let (Some(history), Some(keys)) = (&self.history, part.keys) else { return false };
        let over = keys.is_whole_shard || keys.is_split || keys.is_answered || !history.is_gone(part.shard);
        !over && (part.attempts == 0 || history.is_scattered(part.shard))
    }

    pub fn request_opened(&mut self, part: &ShardRequest) {
        if let Some(history) = self.history.as_mut().filter(|_| part.keys.is_some()) {
            history.opened(part.shard);
        }
    }

    /// One that was divided has been closed by that.
    pub fn request_closed(&mut self, part: &ShardRequest) {
        if let Some(history) = self.history.as_mut().filter(|_| part.keys.is_some_and(|keys| !keys.is_split))
        {
            history.closed(part.shard);
        }
    }

    pub fn holders(&self, shard: ShardId) -> Vec<u32> {
        self.history.as_ref().map_or(vec![], |history| history.holders(shard))
    }

    /// A part has become several. A query that the module has not heard of yet is told as it is then.
    pub fn request_split(&mut self, division: SplitShardRequest, new: bool) {
        let into: Vec<Rc<str>> = division.2.iter().map(|heir| heir.0.clone()).collect();
        self.families.divide(&division.1, &into);
        if !new {
            self.splits.push(division);
        }
    }

    /// How a call ended, from what the data node says about the layout. An answer counts for just the keys that were
    /// asked for: guards against a node that answers by another layout, and against one that knows of none and is
    /// asked for a part of what it calls a shard.
    pub fn classify_outcome(
        &mut self,
        node: &str,
        part: &ShardRequest,
        ending: AttemptOutcome,
        moved: Option<Version>,
        keys: Option<(u32, u32)>,
        now: f64,
    ) -> AttemptOutcome {
        let (Some(history), Some(piece)) = (&mut self.history, part.keys) else { return ending };
        match (ending, moved, keys) {
            (AttemptOutcome::Rejected, Some(version), _) => {
                if history.disown(part.shard, node, version, now) {
                    self.changed_shards.insert(part.shard);
                }
                AttemptOutcome::ShardMoved
            }
            (AttemptOutcome::Success, _, Some((from, to))) if Range::new(from, to) != piece.range => {
                AttemptOutcome::Error
            }
            (AttemptOutcome::Success, _, None) if history.keys(part.shard) != Some(piece.range) => {
                AttemptOutcome::Error
            }
            _ => ending,
        }
    }

    /// What changed, before the queries of the round.
    pub fn notify_shards(&mut self, now: f64, module: &mut dyn PolicyInput) {
        let Some(history) = &mut self.history else { return };
        self.changed_shards.extend(history.lapse(now));
        for (shard, parents) in std::mem::take(&mut self.inherited) {
            module.inherit_shard(shard, &parents);
        }
        for shard in std::mem::take(&mut self.changed_shards) {
            let without = history.disowned(shard).map(str::to_string).collect();
            module.set_shard_holders(
                shard,
                ShardHolders { replica_groups: history.holders(shard), excluded_nodes: without },
            );
        }
    }

    /// Parts that have become several, after the queries of the round.
    pub fn notify_splits(&mut self, module: &mut dyn PolicyInput) {
        for (number, part, into) in std::mem::take(&mut self.splits) {
            let into: Vec<(&str, u32, f64)> = into.iter().map(|(id, shard, w)| (&**id, *shard, *w)).collect();
            module.shard_request_split(number, &part, &into);
        }
    }

    /// For one that tells no module: what no longer matters is given back.
    pub fn discard_notifications(&mut self, now: f64) {
        self.inherited.clear();
        self.changed_shards.clear();
        self.history.iter_mut().for_each(|history| drop(history.retire(now)));
    }

    /// What no longer matters, at the end of the round.
    pub fn notify_retired(&mut self, now: f64, module: &mut dyn PolicyInput) {
        if let Some(history) = &mut self.history {
            history.retire(now).into_iter().for_each(|shard| module.shard_retired(shard));
        }
    }

    /// Those to whom the end of a call is told in its part's place: heirs that still wait for it, or all of them
    /// where it brought an answer; none where the part is what it was.
    pub fn outcome_recipients(
        &self,
        call: &super::AttemptId,
        ending: AttemptOutcome,
    ) -> Option<Vec<Rc<str>>> {
        if self.families.is_empty() {
            return None;
        }
        let heirs = self.families.heirs(&call.0);
        let waits = |heir: &&Rc<str>| ending == AttemptOutcome::Success || self.families.waits(call, heir);
        (!heirs.is_empty()).then(|| heirs.iter().filter(waits).cloned().collect())
    }
}

/// Keys as parts by the newest layout; each key weighs the same.
fn pieces(history: &History, id: &str, range: Range, weight: f64) -> Vec<ShardRequest> {
    let each = weight / range.keys() as f64;
    let piece = |(shard, keys): (ShardId, Range)| {
        let id = format!("{id}.{shard}.{}-{}", keys.from, keys.to).into();
        let mut part = ShardRequest::new(id, shard, each * keys.keys() as f64);
        part.keys = Some(RequestedKeys::new(keys, false));
        part
    };
    history.cover(range).into_iter().map(piece).collect()
}
