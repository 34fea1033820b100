//! Queries from their last byte to their final response: each gets exactly one.
use super::Dispatcher;
use crate::state::clients::ClientConnection;
use crate::state::queries::{Query, QueryError, QueryReservation};
use crate::state::response::{QueryResponse, ShardResult};
use crate::state::shutdown_phase::ShutdownPhase;
use alderway::interface::{AttemptOutcome, PolicyInput};
use alderway::permits::{self, Denial};
use alderway_cores::ids::Refused;
use std::rc::Rc;

impl Dispatcher {
    /// Opens a query, or rejects it where no capacity is left; either way it gets its one response.
    ///
    /// # Errors
    /// [`QueryError::IdInUse`] if a query with its id is open on some core.
    pub fn open_query(&mut self, client: &Rc<ClientConnection>, query: Query) -> Result<(), QueryError> {
        let class = query.class;
        let capacity = self.shared.capacity.take(1 + query.requests.len());
        let id_claim = self.shared.ids.claim(self.core as u8, &query.id);
        if matches!(id_claim, Err(Refused::Open)) {
            return Err(QueryError::IdInUse);
        }
        self.count_query("taken", class);
        let is_rejecting = self.shutdown_phase == ShutdownPhase::Ending;
        let permit = permits::may_admit(is_rejecting, capacity.is_some() && id_claim.is_ok());
        let (Some(capacity), Ok(id_claim), Ok(())) = (capacity, id_claim, permit) else {
            self.count_query("turned_away", class);
            let reason = permit.err().map_or("", Denial::label);
            self.counters.increment(&format!("queries_denied{{{reason}}}"));
            client.respond(QueryResponse::NoCapacity, client.close_after_answer.get());
            return Ok(());
        };
        self.abort_attempts_of_earlier_query(&query);
        if let Some(shard_map) = &mut self.shard_map {
            query.requests.iter().for_each(|request| shard_map.request_opened(request));
        }
        let reservation = QueryReservation { id_claim, capacity: vec![capacity] };
        let number = self.queries.insert(query, reservation);
        client.open_query.set(Some(number));
        self.pending.new_queries.push(number);
        self.work_ready.notify_one();
        Ok(())
    }

    /// Guards against an answer to an attempt of an earlier query with the same id, in flight still where nothing is
    /// cancelled: it would be taken for one of this query.
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

    /// Ends a query whose client waits no longer.
    pub(super) fn expire_query(&mut self, number: u64) {
        let Some(client) = self.queries.get(number).map(|query| query.client.clone()) else { return };
        client.respond(QueryResponse::DeadlineExceeded, client.close_after_answer.get());
        client.wake.notify_one();
        self.abandon_query(number, "overdue");
    }

    /// Ends a query without the policy, which is told in the next round.
    fn abandon_query(&mut self, number: u64, what: &str) {
        let Some(query) = self.queries.remove(number) else { return };
        self.count_query(what, query.class);
        self.close_shard_requests(&query);
        for request in &query.requests {
            for id in self.attempts.of_request(&request.id) {
                self.abort_attempt(&id, AttemptOutcome::Cancelled);
            }
        }
        self.pending.disconnected_queries.push(query.id);
        self.work_ready.notify_one();
    }

    /// Answers a query with what has come in.
    pub(super) fn answer_query(&mut self, query_id: &str, complete: bool) {
        let what = if complete { "merged" } else { "merged_in_part" };
        let Some(query) = self.close_query(query_id, what) else { return };
        self.check_answer(&query, complete);
        let client = query.client.clone();
        client.respond(self.results(query, complete), client.close_after_answer.get());
    }

    fn results(&self, query: Query, complete: bool) -> QueryResponse {
        #[cfg(feature = "faults")]
        if self.shard_map.as_ref().is_some_and(|shard_map| shard_map.by_answers) {
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

    /// Rejects a query: a retry by its client is harmless.
    pub(super) fn reject_query(&mut self, query_id: &str, retry_after_s: Option<f64>) {
        let Some(query) = self.close_query(query_id, "rejected") else { return };
        self.check_rejection(&query);
        query
            .client
            .respond(QueryResponse::Rejected { retry_after_s }, query.client.close_after_answer.get());
    }

    /// Fails a query that may have had an effect.
    pub(super) fn fail_query(&mut self, query_id: &str) {
        let Some(query) = self.close_query(query_id, "aborted") else { return };
        query.client.respond(QueryResponse::Failed, query.client.close_after_answer.get());
    }

    /// Fails every open query.
    pub fn fail_all_queries(&mut self) {
        for query_id in self.queries.ids() {
            self.fail_query(&query_id);
        }
    }

    /// Takes a query out of the table for its response, and settles whether its connection closes after that.
    fn close_query(&mut self, query_id: &str, what: &str) -> Option<Query> {
        let query = self.queries.number(query_id).and_then(|number| self.queries.remove(number))?;
        self.count_query(what, query.class);
        self.close_shard_requests(&query);
        for request in &query.requests {
            self.recall_unsent(&request.id, AttemptOutcome::NeverSent);
        }
        let closes = query.client.close_after_answer.get() || self.closes_connection(&query.client);
        query.client.close_after_answer.set(closes);
        query.client.wake.notify_one();
        Some(query)
    }

    /// Whether this side ends a connection with its present response. Guards against dropping what has been read behind
    /// the request: it is owed a response as well.
    pub fn closes_connection(&self, client: &ClientConnection) -> bool {
        let closing = permits::ConnectionToClose {
            query_open: false,
            unwritten: false,
            unread: client.has_bytes_behind.get(),
        };
        self.shutdown_phase >= ShutdownPhase::Closing && permits::may_close_connection(&closing).is_ok()
    }

    fn close_shard_requests(&mut self, query: &Query) {
        if let Some(shard_map) = &mut self.shard_map {
            query.requests.iter().for_each(|request| shard_map.request_closed(request));
        }
    }

    /// Tells the policy the queries opened since the last round.
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
