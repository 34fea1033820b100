//! Decides whether a new query is taken for a client's retry of an earlier one, whose latency objective then counts
//! from the client's first query.
//!
//! Inputs are the time in seconds that the client still waits, against the longest of its class, and how many queries
//! ended unserved, whose clients may come again. A retry has less time left than a first query. Only unserved queries
//! explain one, which guards against taking all clients for retrying when they have shortened their deadlines.

use super::Policy;

/// A query whose deadline is this much closer than its class's longest may be a retry.
const PATIENCE_TOLERANCE_S: f64 = 0.05;
/// Most unserved queries that are remembered.
const UNSERVED_QUERIES_MAX: f64 = 100.0;
/// How many retries an unserved query may bring: a retry is less often retried again.
const RETRIES_OF_FIRST_QUERY: f64 = 1.0;
const RETRIES_OF_RETRY: f64 = 0.5;

impl Policy {
    /// Whether a new query is taken for a client's retry.
    pub(super) fn is_client_retry(&mut self, class: usize, not_after_s: f64) -> bool {
        let time_left_s = not_after_s - self.now_s;
        let longest_s = &mut self.classes[class].longest_patience_s;
        *longest_s = longest_s.max(time_left_s);
        let is_retry = time_left_s < *longest_s - PATIENCE_TOLERANCE_S && self.unserved_queries >= 1.0;
        self.unserved_queries = self.unserved_queries.min(UNSERVED_QUERIES_MAX);
        if is_retry {
            self.unserved_queries -= 1.0;
        }
        is_retry
    }

    /// Records that a query was abandoned.
    pub(super) fn record_unserved(&mut self, was_client_retry: bool) {
        self.unserved_queries += if was_client_retry { RETRIES_OF_RETRY } else { RETRIES_OF_FIRST_QUERY };
    }

    /// Records that a client disconnected before its query ended.
    pub(super) fn record_disconnected(&mut self) {
        self.unserved_queries += RETRIES_OF_FIRST_QUERY;
    }
}
