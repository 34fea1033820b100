//! Decides whether a new query is regarded as a client's retry of an earlier one. The latency objective of a
//! retry counts from the client's first query.
//!
//! Inputs are the time left to the query, which is the seconds from its arrival to its client's deadline, the
//! longest time left of any query of its class, and the number of unserved queries, which ended without an
//! answer and may be retried by their clients. A query counts as a retry if its time left is shorter than the
//! longest time left, and the number of expected retries is at least 1. Each unserved query raises this
//! number, each detected retry lowers it by 1. Without this number, all queries of a client that changes to a
//! shorter deadline would count as retries.

use super::Policy;

/// A query may be a retry if its time left is shorter by more than this than the longest time left of its
/// class.
const DEADLINE_TOLERANCE_S: f64 = 0.05;
/// Upper limit of the number of client retries that this router expects, over all query classes.
const UNSERVED_QUERIES_MAX: f64 = 100.0;
/// Number of retries expected after an unserved first query, and after an unserved retry.
const RETRIES_OF_FIRST_QUERY: f64 = 1.0;
const RETRIES_OF_RETRY: f64 = 0.5;

impl Policy {
    /// Returns whether a new query is regarded as a client's retry. If so, one retry less is expected.
    /// Updates the longest time left of the query class.
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

    /// Raises the number of expected retries after this router has ended a query without an answer.
    pub(super) fn record_unserved(&mut self, was_client_retry: bool) {
        self.unserved_queries += if was_client_retry { RETRIES_OF_RETRY } else { RETRIES_OF_FIRST_QUERY };
    }

    /// Raises the number of expected retries after a client has disconnected before the end of its query.
    pub(super) fn record_disconnected(&mut self) {
        self.unserved_queries += RETRIES_OF_FIRST_QUERY;
    }
}
