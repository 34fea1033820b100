//! What a change of the shard map does to open queries: attempts that have not begun are taken back from nodes that lost
//! the shard, and shard requests that no node holds whole any more are split.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::node_connection::AttemptPosition;
use crate::state::shard_map::{SplitPart, SplitShardRequest};
use alderway::interface::{AttemptOutcome, PolicyInput};
use alderway_layouts::ShardId;
use std::rc::Rc;

impl Dispatcher {
    /// These shards have other holders now, or are gone.
    pub fn shard_map_changed(&mut self, shards: &[ShardId]) {
        self.counters.increment("layout_changes");
        // A change is rare, a query is not: open requests are searched here rather than indexed by shard.
        let open = self.queries.unsplit_requests_of(shards);
        for &shard in shards {
            let Some(shard_map) = &self.shard_map else { return };
            let holders = shard_map.holders(shard);
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
            && matches!(self.position_of(id), Some(AttemptPosition::Queued))
        {
            self.counters.increment("calls_taken_back{moved}");
            self.abort_attempt(id, AttemptOutcome::NeverSent);
        }
    }

    /// Splits an open shard request by the newest shard map, if it must be.
    fn split_request(&mut self, request_id: &Rc<str>) {
        let Some((number, query, index)) = self.queries.query_of_request(request_id) else { return };
        let request = &query.requests[index];
        let Some(shard_map) = self.shard_map.as_mut().filter(|shard_map| shard_map.must_split(request))
        else {
            return;
        };
        let split_into = shard_map.split_requests(&query.id, request);
        // Guards against many queries that grow past the memory limit by one change of the shard map.
        let Some(capacity) = self.shared.capacity.take(split_into.len()) else {
            return self.counters.increment("divisions_without_room");
        };
        shard_map.request_closed(request);
        split_into.iter().for_each(|request| shard_map.request_opened(request));
        let parts = split_into
            .iter()
            .map(|part| SplitPart { id: part.id.clone(), shard: part.shard, weight: part.weight })
            .collect();
        let split = SplitShardRequest { query: number, request_id: request_id.clone(), parts };
        shard_map.request_split(split, self.pending.new_queries.contains(&number));
        self.queries.split_request(request_id, split_into, capacity);
        self.counters.increment("parts_divided");
    }

    /// Tells the policy the shards that nothing refers to any more, and forgets splits of requests that are over.
    pub(super) fn notify_retired_shards(&mut self, now: f64, policy: &mut dyn PolicyInput) {
        let Some(shard_map) = &mut self.shard_map else { return };
        shard_map.notify_retired(now, policy);
        if !shard_map.families.is_empty() {
            let (queries, attempts) = (&self.queries, &self.attempts);
            shard_map.families.remove_finished(|request| {
                !queries.has_request(request) && attempts.of_request(request).is_empty()
            });
        }
    }
}
