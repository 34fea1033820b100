//! Decides whether a new query is regarded as a client's retry of an earlier one. The latency objective of a retry
//! counts from the client's first query.
//!
//! Inputs are the time in seconds that the client still waits, compared with the longest of the query class, and the
//! number of queries that ended unserved, whose clients may retry. A retry has less time left than a first query. The
//! number of retries is bounded by the unserved queries; otherwise all queries would be regarded as retries once
//! clients have shortened their deadlines.

use super::Policy;

/// A query that has this much less time left than the longest of its class may be a retry.
const DEADLINE_TOLERANCE_S: f64 = 0.05;
/// Highest count of unserved queries.
const UNSERVED_QUERIES_MAX: f64 = 100.0;
/// Number of retries expected after an unserved query: a retry is retried less often than a first query.
const RETRIES_OF_FIRST_QUERY: f64 = 1.0;
const RETRIES_OF_RETRY: f64 = 0.5;

impl Policy {
    /// Whether a new query is regarded as a client's retry.
    pub(super) fn detect_client_retry(&mut self, class: usize, not_after_s: f64) -> bool {
        let time_left_s = not_after_s - self.now_s;
        let longest_s = &mut self.classes[class].longest_time_left_s;
        *longest_s = longest_s.max(time_left_s);
        let is_retry = time_left_s < *longest_s - DEADLINE_TOLERANCE_S && self.unserved_queries >= 1.0;
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
