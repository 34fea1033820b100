//! Applies a change of the shard map, which assigns ranges of keys to shards and shards to replica groups
//! (the holders of the shard), to open queries. The policy is the code that decides about queries and
//! attempts. Attempts of which no byte has been written end if the replica group of their data node no longer
//! holds the shard. Shard requests whose shard no longer exists are split by the new shard map if necessary.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::node_connection::SendProgress;
use crate::state::shard_map::{SplitPart, SplitShardRequest};
use alderway::interface::{AttemptOutcome, PolicyInput};
use alderway_layouts::ShardId;
use std::rc::Rc;

impl Dispatcher {
    /// Applies a change of the shard map. `shards` are the shards that are held by other replica groups than
    /// before or no longer exist.
    pub fn shard_map_changed(&mut self, shards: &[ShardId]) {
        self.counters.increment("layout_changes");
        // Searches all open shard requests. An index by shard would cost more, because changes are much rarer
        // than queries.
        let open = self.queries.unsplit_requests_of(shards);
        for &shard in shards {
            let Some(shard_map) = &self.shard_map else { return };
            let holders = shard_map.replica_groups_of(shard);
            for request_id in open.get(&shard).into_iter().flatten() {
                for id in self.attempts_of_family(request_id) {
                    self.recall_from_former_holder(&id, &holders);
                }
                self.split_request(request_id);
            }
        }
        self.work_ready.notify_one();
    }

    fn recall_from_former_holder(&mut self, id: &AttemptId, holders: &[u32]) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let Some(record) = self.endpoints.nodes.get(&attempt.node) else { return };
        if !holders.contains(&record.replica_group)
            && matches!(self.send_progress_of(id), Some(SendProgress::Queued))
        {
            self.counters.increment("calls_taken_back{moved}");
            self.abort_attempt(id, AttemptOutcome::NeverSent);
        }
    }

    /// Splits an open shard request by the newest shard map, if
    /// [`must_split`](crate::state::shard_map::ShardMapView::must_split) requires it.
    fn split_request(&mut self, request_id: &Rc<str>) {
        let Some((number, query, index)) = self.queries.query_of_request(request_id) else { return };
        let request = &query.requests[index];
        let Some(shard_map) = self.shard_map.as_mut().filter(|shard_map| shard_map.must_split(request))
        else {
            return;
        };
        let split_into = shard_map.split_requests(&query.id, request);
        // Each new shard request needs capacity; without it, the request stays unsplit. Guards against one
        // change of the shard map splitting so many queries that the process exceeds its memory limit.
        let Some(capacity) = self.shared.capacity.acquire(split_into.len()) else {
            return self.counters.increment("divisions_without_room");
        };
        shard_map.record_request_closed(request);
        split_into.iter().for_each(|request| shard_map.record_request_opened(request));
        let parts = split_into
            .iter()
            .map(|part| SplitPart { id: part.id.clone(), shard: part.shard, weight: part.weight })
            .collect();
        let split = SplitShardRequest { query: number, request_id: request_id.clone(), parts };
        shard_map.record_split(split, self.pending.new_queries.contains(&number));
        self.queries.split_request(request_id, split_into, capacity);
        self.counters.increment("parts_divided");
    }

    /// Drops the retired shards that are no longer in use, and reports them to the policy. A shard is retired
    /// if the newest shard map no longer contains it. Also drops the records of splits whose requests and
    /// attempts have all ended.
    pub(super) fn retire_shards(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        let Some(shard_map) = &mut self.shard_map else { return };
        shard_map.notify_retired_shards(now, policy);
        if !shard_map.families.is_empty() {
            let (queries, attempts) = (&self.queries, &self.attempts);
            shard_map.families.remove_finished(|request| {
                !queries.has_request(request) && attempts.of_request(request).is_empty()
            });
        }
    }
}
