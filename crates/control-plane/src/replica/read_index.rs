//! How new the applied versions are, by read indexes: the leader confirms with a quorum that it is the leader, and tells its
//! commit index. Once that is applied, everything that was committed before the request is too. Only this replica's
//! monotonic clock is used.
use std::collections::BTreeMap;

/// Requests that may be unanswered; the oldest are forgotten beyond that.
const MAX_PENDING_READS: usize = 64;

#[derive(Default)]
pub(super) struct ReadIndex {
    last_request: u64,
    /// When each unanswered request was made.
    pending: BTreeMap<u64, f64>,
    /// Answered requests whose index is not applied yet: the index, and when the request was made.
    confirmed: Vec<(u64, f64)>,
    /// When the applied versions were last known to be the newest.
    fresh_at: Option<f64>,
}

impl ReadIndex {
    /// A new request: returns its number.
    pub(super) fn request(&mut self, now: f64) -> u64 {
        self.last_request += 1;
        self.pending.insert(self.last_request, now);
        while self.pending.len() > MAX_PENDING_READS {
            self.pending.pop_first();
        }
        self.last_request
    }

    /// Forms the context of a request. Ids and seeds keep the requests of all replicas and starts apart.
    pub(super) fn context(replica_id: u64, seed: u64, request: u64) -> Vec<u8> {
        [replica_id, seed, request].map(u64::to_be_bytes).concat()
    }

    /// A request was answered: it holds once `index` is applied.
    pub(super) fn answered(&mut self, context: &[u8], index: u64) {
        let request = context.get(16..24).and_then(|bytes| bytes.try_into().ok()).map(u64::from_be_bytes);
        if let Some(requested_at) = request.and_then(|request| self.pending.remove(&request)) {
            self.confirmed.push((index, requested_at));
        }
    }

    /// Entries up to `index` are applied.
    pub(super) fn applied(&mut self, index: u64) {
        for (_, requested_at) in self.confirmed.extract_if(.., |(needed, _)| *needed <= index) {
            let fresh_at = self.fresh_at.map_or(requested_at, |at| at.max(requested_at));
            self.fresh_at = Some(fresh_at);
        }
    }

    /// Seconds since the applied versions were the newest; infinite if that is not known.
    pub(super) fn staleness_s(&self, now: f64) -> f64 {
        self.fresh_at.map_or(f64::INFINITY, |at| (now - at).max(0.0))
    }
}
