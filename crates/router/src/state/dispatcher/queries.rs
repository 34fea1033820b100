//! Queries, from the receipt of their last byte to their final response. Each query gets exactly one final
//! response, unless the client disconnects before. The policy is the code that decides about queries and
//! attempts.
use super::Dispatcher;
use crate::state::clients::ClientConnection;
use crate::state::queries::{Query, QueryError, QueryResources, ShardRequest};
use crate::state::response::{QueryResponse, ShardResult};
use crate::state::shutdown_phase::ShutdownPhase;
use alderway::interface::{AttemptOutcome, Idempotency, PolicyInput};
use alderway::permits::{self, Denial, QueryToAdmit};
use alderway_cores::open_ids::ClaimError;
use std::rc::Rc;

impl Dispatcher {
    /// Opens a query, or stores an error response if there is no capacity or the router is in the last phase
    /// of a shutdown.
    ///
    /// # Errors
    /// [`QueryError::IdInUse`] if a query with the same id is open on any core.
    pub fn open_query(&mut self, client: &Rc<ClientConnection>, query: Query) -> Result<(), QueryError> {
        let class = query.class;
        let capacity = self.shared.capacity.acquire(1 + query.requests.len());
        let id_claim = self.shared.ids.claim(self.core as u8, &query.id);
        if matches!(id_claim, Err(ClaimError::AlreadyOpen)) {
            return Err(QueryError::IdInUse);
        }
        self.count_query("taken", class);
        let idempotency = self.query_classes[class].idempotency;
        let permit = permits::may_admit(&QueryToAdmit {
            is_shut_down: self.shutdown_phase == ShutdownPhase::Ending,
            has_capacity: capacity.is_some() && id_claim.is_ok(),
            has_client_left: client.has_left.get(),
            idempotency,
            possible_effect: idempotency != Idempotency::Idempotent
                && self.shared.executed_ids.contains(&query.id, self.clock.now()),
        });
        let (Some(capacity), Ok(id_claim), Ok(())) = (capacity, id_claim, permit) else {
            self.count_query("turned_away", class);
            let reason = permit.err().map_or("", Denial::label);
            self.counters.increment(&format!("queries_denied{{{reason}}}"));
            let response = match permit {
                Err(Denial::PossibleEffect) => QueryResponse::MayHaveExecuted,
                _ => QueryResponse::NoCapacity,
            };
            client.respond(response, client.close_after_response.get());
            return Ok(());
        };
        self.abort_attempts_of_earlier_query(&query);
        if let Some(shard_map) = &mut self.shard_map {
            query.requests.iter().for_each(|request| shard_map.record_request_opened(request));
        }
        let resources = QueryResources { id_claim, capacity: vec![capacity] };
        let number = self.queries.insert(query, resources);
        client.open_query.set(Some(number));
        self.pending.new_queries.push(number);
        self.work_ready.notify_one();
        Ok(())
    }

    /// Aborts attempts of an earlier query with the same id that are still in flight, because ended queries
    /// do not always cancel their attempts. Guards against a reply to the earlier query being recorded for
    /// the new one.
    fn abort_attempts_of_earlier_query(&mut self, query: &Query) {
        for request in &query.requests {
            for id in self.attempts.of_request(&request.id) {
                self.abort_attempt(&id, AttemptOutcome::Cancelled);
            }
        }
    }

    /// Ends a query whose client has closed its connection.
    pub fn client_disconnected(&mut self, number: u64) {
        self.abandon_query(number, "left");
    }

    /// Ends a query whose deadline has passed, with an error response.
    pub(super) fn expire_query(&mut self, number: u64) {
        let Some(client) = self.queries.get(number).map(|query| query.client.clone()) else { return };
        client.respond(QueryResponse::DeadlineExceeded, client.close_after_response.get());
        client.wake.notify_one();
        self.abandon_query(number, "overdue");
    }

    /// Ends a query without a decision of the policy. The policy gets the query's id in its next run. Counted
    /// as `queries_{counter}`.
    fn abandon_query(&mut self, number: u64, counter: &str) {
        self.remember_execution(number);
        let Some(query) = self.queries.remove(number) else { return };
        self.count_query(counter, query.class);
        self.close_shard_requests(&query);
        for request in &query.requests {
            for id in self.attempts.of_request(&request.id) {
                self.abort_attempt(&id, AttemptOutcome::Cancelled);
            }
        }
        self.pending.disconnected_queries.push(query.id);
        self.work_ready.notify_one();
    }

    /// Answers a query with the values that data nodes have sent so far. Ends the query. `complete` says
    /// whether the response is marked as complete.
    pub(super) fn answer_query(&mut self, query_id: &str, complete: bool) {
        let number = self.queries.number(query_id);
        let Some(query) = number.and_then(|number| self.queries.get(number)) else { return };
        let is_complete = complete && self.may_mark_complete(query);
        if is_complete != complete {
            self.counters.increment("answers_not_complete");
        }
        let complete = is_complete;
        let counter = if complete { "merged" } else { "merged_in_part" };
        let Some(query) = self.close_query(query_id, counter) else { return };
        self.check_answer(&query, complete);
        let client = query.client.clone();
        client.respond(self.results(query, complete), client.close_after_response.get());
    }

    fn results(&self, query: Query, complete: bool) -> QueryResponse {
        #[cfg(feature = "faults")]
        if self.shard_map.as_ref().is_some_and(|shard_map| shard_map.counts_all_answers) {
            let results = query.requests.into_iter().filter_map(|request| {
                let keys = request.keys.map(|keys| (keys.range.from, keys.range.to));
                Some(ShardResult { shard: request.shard, keys, value: request.value? })
            });
            return QueryResponse::Results { complete, results: results.collect() };
        }
        if let Some(coverage) = query.coverage {
            return QueryResponse::ResultsByKeys { complete, coverage };
        }
        let results = query.requests.into_iter().filter_map(|request| {
            Some(ShardResult { shard: request.shard, keys: None, value: request.value? })
        });
        QueryResponse::Results { complete, results: results.collect() }
    }

    /// Rejects a query by a decision of the policy. The policy must do so only if the client may retry the
    /// query; `check_rejection` reports a violation. `retry_after_s` is sent to the client as the number of
    /// seconds to wait before the retry; if it is `None`, no time is sent.
    pub(super) fn reject_query(&mut self, query_id: &str, retry_after_s: Option<f64>) {
        let Some(query) = self.close_query(query_id, "rejected") else { return };
        self.check_rejection(&query);
        query
            .client
            .respond(QueryResponse::Rejected { retry_after_s }, query.client.close_after_response.get());
    }

    /// Fails a query. Data nodes may have executed parts of the query, so a retry by the client may execute
    /// these parts a second time.
    pub(super) fn fail_query(&mut self, query_id: &str) {
        let Some(query) = self.close_query(query_id, "aborted") else { return };
        query.client.respond(QueryResponse::Failed, query.client.close_after_response.get());
    }

    /// Fails every open query.
    pub fn fail_all_queries(&mut self) {
        for query_id in self.queries.ids() {
            self.fail_query(&query_id);
        }
    }

    /// Removes a query that gets its final response, and decides whether its client's connection closes after
    /// the response. Counted as `queries_{counter}`.
    fn close_query(&mut self, query_id: &str, counter: &str) -> Option<Query> {
        let number = self.queries.number(query_id)?;
        self.remember_execution(number);
        let query = self.queries.remove(number)?;
        self.count_query(counter, query.class);
        self.close_shard_requests(&query);
        for request in &query.requests {
            self.recall_unsent(&request.id, AttemptOutcome::NeverSent);
        }
        let closes = query.client.close_after_response.get() || self.closes_for_shutdown(&query.client);
        query.client.close_after_response.set(closes);
        query.client.wake.notify_one();
        Some(query)
    }

    /// Remembers the id of a query that ends, if it may have had an effect that must not happen again. Must be
    /// called before the id's claim is released. Guards against the effect happening twice where a client that
    /// has disconnected sends the query once more.
    fn remember_execution(&self, number: u64) {
        let Some(query) = self.queries.get(number) else { return };
        let may_repeat = self.query_classes[query.class].idempotency == Idempotency::Idempotent;
        if !may_repeat && query.requests.iter().any(ShardRequest::may_have_executed) {
            self.shared.executed_ids.record(&query.id, self.clock.now());
        }
    }

    /// Whether the router closes a client connection after its current response because of a shutdown. Guards
    /// against dropping a pipelined request whose bytes have been read: the connection stays open until that
    /// request is answered.
    pub fn closes_for_shutdown(&self, client: &ClientConnection) -> bool {
        let closing = permits::ConnectionToClose {
            query_open: false,
            unwritten: false,
            unread: client.has_pipelined_bytes.get(),
        };
        self.shutdown_phase >= ShutdownPhase::Closing && permits::may_close_connection(&closing).is_ok()
    }

    fn close_shard_requests(&mut self, query: &Query) {
        if let Some(shard_map) = &mut self.shard_map {
            query.requests.iter().for_each(|request| shard_map.record_request_closed(request));
        }
    }

    /// Passes the queries that have been opened since the policy's last run to the policy.
    pub(super) fn notify_new_queries(&mut self, policy: &mut dyn PolicyInput) {
        for number in std::mem::take(&mut self.pending.new_queries) {
            let Some(query) = self.queries.get(number) else { continue };
            policy.query_arrived(number, &query.id, query.class, "", query.not_after_s);
            for request in query.requests.iter().filter(|request| !request.is_split()) {
                policy.shard_request_added(number, &request.id, request.shard, request.weight);
            }
        }
    }

    fn count_query(&mut self, what: &str, class: usize) {
        let name = format!("queries_{what}{{{}}}", self.query_classes[class].name);
        self.counters.increment(&name);
    }
}
