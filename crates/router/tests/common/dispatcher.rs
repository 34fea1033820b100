//! Helpers for tests that drive a dispatcher step by step: open queries, start attempts, write frames and
//! record the policy's input.
use alderway::interface::{
    AttemptOutcome, DecisionSink, NodeState, PolicyInput, ShardHolders, StateTransfer,
};
use alderway::policy::Policy;
use alderway_deployment::{self as deployment, AdmissionConfig, ConnectionConfig};
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::DialRequest;
use alderway_router::state::queries::{Query, QueryError, ShardRequest};
use alderway_router::state::response::AnswerCoverage;
use alderway_router::wire::response;
use std::cell::RefCell;
use std::rc::Rc;

/// The kind of policy input that a `RecordingPolicy` records.
#[derive(Clone, Copy, PartialEq)]
pub enum Recorded {
    /// The endpoint list, queries and shard requests with their numbers, and timers.
    Endpoints,
    /// Shards, queries, shard requests, and splits of shard requests.
    Shards,
}

/// A policy that records each input as one line of text and makes no decisions.
pub struct RecordingPolicy {
    pub events: Vec<String>,
    recorded: Recorded,
}

impl RecordingPolicy {
    pub fn new(recorded: Recorded) -> Self {
        RecordingPolicy { events: vec![], recorded }
    }

    fn record(&mut self, recorded: Recorded, event: String) {
        if self.recorded == recorded {
            self.events.push(event);
        }
    }
}

impl PolicyInput for RecordingPolicy {
    fn endpoint_list_replaced(&mut self) {
        self.record(Recorded::Endpoints, "full list".into());
    }
    fn endpoint_updated(&mut self, node: &str, group: u32, state: NodeState, _started_at_s: Option<f64>) {
        self.record(Recorded::Endpoints, format!("{node} {group} {state:?}"));
    }
    fn endpoint_poll_failed(&mut self) {
        self.record(Recorded::Endpoints, "poll failed".into());
    }
    fn query_arrived(&mut self, number: u64, id: &str, class: usize, _tenant: &str, _not_after_s: f64) {
        self.record(Recorded::Endpoints, format!("query {number} {id} {class}"));
        self.record(Recorded::Shards, format!("query {id}"));
    }
    fn shard_request_added(&mut self, number: u64, id: &str, shard: u32, weight: f64) {
        self.record(Recorded::Endpoints, format!("request {number} {id} {shard} {weight}"));
        self.record(Recorded::Shards, format!("request {id} {shard} {weight:.2}"));
    }
    fn attempt_ended(
        &mut self,
        request: &str,
        attempt: usize,
        node: &str,
        outcome: AttemptOutcome,
        _latency_s: f64,
    ) {
        self.events.push(format!("{request} {attempt} {node} {outcome:?}"));
    }
    fn client_disconnected(&mut self, query: &str) {
        self.events.push(format!("disconnected {query}"));
    }
    fn timer_fired(&mut self, tag: u64) {
        self.record(Recorded::Endpoints, format!("timer {tag}"));
    }
}

impl StateTransfer for RecordingPolicy {
    fn set_shard_holders(&mut self, shard: u32, holders: ShardHolders) {
        let (groups, excluded) = (holders.replica_groups, holders.excluded_nodes);
        self.record(Recorded::Shards, format!("shard {shard} held by {groups:?} except {excluded:?}"));
    }
    fn inherit_shard(&mut self, shard: u32, parents: &[u32]) {
        self.record(Recorded::Shards, format!("shard {shard} inherits from {parents:?}"));
    }
    fn shard_retired(&mut self, shard: u32) {
        self.record(Recorded::Shards, format!("shard {shard} retired"));
    }
    fn shard_request_split(&mut self, _query: u64, request: &str, into: &[(&str, u32, f64)]) {
        self.record(Recorded::Shards, format!("{request} split into {into:?}"));
    }
}

/// A policy whose configuration has one query class.
pub fn one_class_policy() -> Policy {
    let settings = r#"{"Extra":{"Cells":1,"Reach":1},"Discovery":"automatic","Obligations":{},"ReplicasOfMe":1,
        "Limits":{"MayCancel":true,"ParallelTries":true,"MaxAttempts":3},"Services":[{"Name":"v","Worth":1,
        "PromiseUs":1000000,"DeadlineUs":5000000,"Effect":"idempotent","LateShare":0.3}]}"#;
    let settings = deployment::parse(settings).expect("valid settings");
    deployment::policy(7, &settings).expect("a valid policy").0
}

/// Applies each decision of a policy to a dispatcher immediately.
pub struct DispatcherSink<'a>(pub &'a RefCell<Dispatcher>);

impl DecisionSink for DispatcherSink<'_> {
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64) {
        self.0.borrow_mut().start_attempt(request, node, timeout_s);
    }
    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        self.0.borrow_mut().cancel_attempt(request, attempt);
    }
    fn answer(&mut self, query: &str, complete: bool) {
        self.0.borrow_mut().answer(query, complete);
    }
    fn reject(&mut self, query: &str, retry_after_s: Option<f64>) {
        self.0.borrow_mut().reject(query, retry_after_s);
    }
    fn fail(&mut self, query: &str) {
        self.0.borrow_mut().fail(query);
    }
    fn set_timer(&mut self, span_s: f64, tag: u64) {
        self.0.borrow_mut().set_timer(span_s, tag);
    }
    fn poll_endpoints(&mut self) {}
    fn log(&mut self, _: &str) {}
}

pub fn connection_config(streams_per_connection: usize, max_batch: usize) -> ConnectionConfig {
    ConnectionConfig { streams_per_connection, max_batch, dial_timeout_s: 0.25, idle_timeout_s: 15.0 }
}

pub fn admission_config(max_open: usize, shard_count: u32) -> AdmissionConfig {
    AdmissionConfig {
        max_open,
        shard_count,
        min_round_interval_s: 0.005,
        max_latency_objective_s: 1.0,
        max_deadline_s: 10.0,
        polls_endpoints: false,
    }
}

/// Opens a query whose deadline is `time_left_s` seconds from now; returns its client's connection.
pub fn open_query(
    dispatcher: &mut Dispatcher,
    id: &str,
    class: usize,
    time_left_s: f64,
    requests: Vec<ShardRequest>,
    coverage: Option<AnswerCoverage>,
) -> Result<Rc<ClientConnection>, QueryError> {
    let client = Rc::new(ClientConnection::default());
    let query = Query {
        id: id.into(),
        class,
        not_after_s: dispatcher.clock.now() + time_left_s,
        text: "text".to_string(),
        requests,
        client: client.clone(),
        coverage,
    };
    dispatcher.open_query(&client, query)?;
    Ok(client)
}

/// One shard request for each shard, each with the weight `weight`.
pub fn shard_requests(query_id: &str, shards: &[u32], weight: f64) -> Vec<ShardRequest> {
    let request = |shard: &u32| ShardRequest::new(format!("{query_id}.{shard}").into(), *shard, weight);
    shards.iter().map(request).collect()
}

/// Starts attempts at a data node and puts them into frames, as after one run of the policy; returns the
/// connections to open.
pub fn start_attempts(dispatcher: &mut Dispatcher, node: &str, requests: &[&str]) -> Vec<DialRequest> {
    requests.iter().for_each(|request| dispatcher.start_attempt(request, node, 5.0));
    let now = dispatcher.clock.now();
    dispatcher.flush_attempts(now)
}

/// Writes the next frame of a connection completely; returns its type byte and body as text, if there is a
/// frame.
pub fn write_next_frame(dispatcher: &mut Dispatcher, dial: &DialRequest) -> Option<String> {
    let mut out = vec![];
    let has_frame = dispatcher.encode_next_frame(&dial.node, dial.connection, &mut out);
    let now = dispatcher.clock.now();
    dispatcher.endpoints.connection(&dial.node, dial.connection)?.frame_written(now, 0);
    has_frame.then(|| String::from_utf8_lossy(&out[4..]).to_string())
}

/// Encodes the pending responses to a client, and returns all unwritten response bytes as text.
pub fn response_text(client: &ClientConnection) -> String {
    response::encode_pending(client);
    String::from_utf8_lossy(&client.output.borrow()).to_string()
}

/// Runs a test in its own single-threaded runtime: no other task runs between two of its steps unless it
/// awaits.
pub fn run_in_local_runtime(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let result = tokio::time::timeout(std::time::Duration::from_secs(20), test).await;
        result.expect("the test ends within 20 s");
    });
}
