//! Random events on a dispatcher. A model of the attempts checks that each attempt ends once, with an outcome
//! that fits how much of the attempt's frame was written, and that no attempt starts after one that may have
//! been executed if that is forbidden.
use crate::{dispatcher, policy_events, update_endpoint};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use alderway::interface::Idempotency;
use alderway::interface::NodeState;
use alderway_router::state::attempts::AttemptId;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::NodeConnection;
use alderway_router::state::queries::Query;
use alderway_router::state::queries::ShardRequest;
use alderway_router::state::query_classes::ClassRules;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A random event. The numbers in an event are indices that select one of the existing requests, connections,
/// clients or outcomes.
#[derive(Clone, Copy, Debug)]
enum Event {
    OpenQuery(bool),
    StartAttempt(usize, bool),
    Flush,
    Opened(usize),
    BeginFrame(usize),
    FrameWritten(usize),
    Reply(usize, usize, usize),
    Corrupted(usize),
    Lost(usize),
    Requeue(usize),
    CancelAttempt(usize, usize),
    Disconnect(usize),
    Reject(usize),
    SetNodeState(bool, usize),
    Round,
}

fn event() -> impl Strategy<Value = Event> {
    let n = 0..64usize;
    prop_oneof![
        2 => any::<bool>().prop_map(Event::OpenQuery),
        6 => (n.clone(), any::<bool>()).prop_map(|(request, at_s)| Event::StartAttempt(request, at_s)),
        4 => Just(Event::Flush),
        2 => n.clone().prop_map(Event::Opened),
        5 => n.clone().prop_map(Event::BeginFrame),
        5 => n.clone().prop_map(Event::FrameWritten),
        4 => (n.clone(), n.clone(), 0..3usize).prop_map(|(connection, request, outcome)| Event::Reply(connection, request, outcome)),
        1 => n.clone().prop_map(Event::Corrupted),
        2 => n.clone().prop_map(Event::Lost),
        1 => n.clone().prop_map(Event::Requeue),
        2 => (n.clone(), 0..3usize).prop_map(|(request, attempt)| Event::CancelAttempt(request, attempt)),
        1 => n.clone().prop_map(Event::Disconnect),
        1 => n.clone().prop_map(Event::Reject),
        2 => (any::<bool>(), 0..3usize).prop_map(|(is_s, state)| Event::SetNodeState(is_s, state)),
        4 => Just(Event::Round),
    ]
}

/// A dispatcher with a model of its attempts, which checks the invariants.
struct Model {
    dispatcher: Dispatcher,
    clients: Vec<Rc<ClientConnection>>,
    /// The data node and number of each connection.
    connections: Vec<(String, u64)>,
    /// Attempts whose frame is being written, by connection.
    writing: BTreeMap<u64, Vec<String>>,
    /// Attempts whose frame has been completely written.
    written: BTreeSet<String>,
    /// Attempts that have not ended.
    open: BTreeSet<String>,
    /// For each shard request, the attempts that may have been executed.
    executed: BTreeMap<String, BTreeSet<String>>,
    /// For each shard request, the number of attempts so far.
    attempts: BTreeMap<String, usize>,
    /// Shard requests that may be executed only once.
    execute_once: BTreeSet<String>,
}

impl Model {
    fn new() -> Self {
        let mut dispatcher = dispatcher();
        // The deduplication window is empty: after an attempt that may have been executed, no other attempt
        // may begin.
        dispatcher.query_classes.push(ClassRules {
            idempotency: Idempotency::IdempotentWithKey { window_s: 0.0 },
            ..ClassRules::from("once")
        });
        Model {
            dispatcher,
            clients: vec![],
            connections: vec![],
            writing: BTreeMap::new(),
            written: BTreeSet::new(),
            open: BTreeSet::new(),
            executed: BTreeMap::new(),
            attempts: BTreeMap::new(),
            execute_once: BTreeSet::new(),
        }
    }

    fn pick<T: Clone>(all: &[T], index: usize) -> Option<T> {
        all.get(index % all.len().max(1)).cloned()
    }

    fn request(&self, index: usize) -> Option<String> {
        Self::pick(&self.attempts.keys().cloned().collect::<Vec<_>>(), index)
    }

    fn connection(&self, index: usize) -> Option<(String, u64)> {
        Self::pick(&self.connections, index)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::OpenQuery(once) => {
                let id = format!("q{}", self.clients.len());
                let client = Rc::new(ClientConnection::default());
                let requests: Vec<ShardRequest> = (0..2)
                    .map(|shard| ShardRequest::new(format!("{id}.{shard}").into(), shard, 0.5))
                    .collect();
                for request in &requests {
                    self.attempts.insert(request.id.to_string(), 0);
                    if once {
                        self.execute_once.insert(request.id.to_string());
                    }
                }
                let query = Query {
                    id: id.into(),
                    class: usize::from(once),
                    not_after_s: self.dispatcher.clock.now() + 60.0,
                    text: "text".to_string(),
                    requests,
                    client: client.clone(),
                    coverage: None,
                };
                self.dispatcher.open_query(&client, query).expect("the query opens");
                self.clients.push(client);
            }
            Event::StartAttempt(request, at_s) => {
                let Some(request) = self.request(request) else { return };
                if !self.dispatcher.queries.has_request(&request) {
                    return;
                }
                let attempt = self.attempts.get_mut(&request).expect("a request");
                self.open.insert(format!("{request} {attempt}"));
                *attempt += 1;
                self.dispatcher.start_attempt(&request, if at_s { "s" } else { "t" }, 60.0);
            }
            Event::Flush => {
                let now = self.dispatcher.clock.now();
                let dials = self.dispatcher.flush_attempts(now);
                self.connections.extend(dials.into_iter().map(|dial| (dial.node, dial.connection)));
            }
            Event::Opened(connection) => {
                let Some((node, connection)) = self.connection(connection) else { return };
                self.dispatcher
                    .endpoints
                    .connection(&node, connection)
                    .into_iter()
                    .for_each(|connection| connection.is_open = true);
            }
            Event::BeginFrame(connection) => self.begin_frame(connection),
            Event::FrameWritten(number) => {
                let Some((node, number)) = self.connection(number) else { return };
                let now = self.dispatcher.clock.now();
                // After the connection is aborted, or a frame truncated, its task writes nothing more.
                let connection = self.dispatcher.endpoints.connection(&node, number);
                let writes = |connection: &&mut NodeConnection| {
                    !connection.is_aborted && !connection.has_truncated_frame
                };
                if let Some(connection) = connection.filter(writes) {
                    connection.frame_written(now, 0);
                    self.written.extend(self.writing.remove(&number).unwrap_or_default());
                }
            }
            Event::Reply(connection, request, outcome) => {
                let (Some((node, connection)), Some(request)) =
                    (self.connection(connection), self.request(request))
                else {
                    return;
                };
                let outcome =
                    [AttemptOutcome::Success, AttemptOutcome::Error, AttemptOutcome::Rejected][outcome];
                self.dispatcher.record_reply(&node, connection, &request, outcome, "value");
            }
            Event::Corrupted(connection) => {
                let Some((node, connection)) = self.connection(connection) else { return };
                self.dispatcher.connection_corrupted(&node, connection, None);
                self.writing.remove(&connection);
            }
            Event::Lost(connection) => {
                let Some((node, connection)) = self.connection(connection) else { return };
                self.dispatcher.connection_lost(&node, connection);
                self.writing.remove(&connection);
            }
            Event::Requeue(number) => {
                let Some((node, number)) = self.connection(number) else { return };
                // The task of a connection requeues attempts only if the next frame has attempts, no attempt
                // is in flight, and a reply was received on the connection.
                let connection = self.dispatcher.endpoints.connection(&node, number);
                if connection.is_some_and(|connection| connection.will_reuse_after_idle()) {
                    self.dispatcher.requeue_unsent(&node, number);
                }
            }
            Event::CancelAttempt(request, attempt) => {
                let Some(request) = self.request(request) else { return };
                self.dispatcher.cancel_attempt(&request, attempt);
            }
            Event::Disconnect(query) => {
                let number =
                    self.dispatcher.queries.number(&format!("q{}", query % self.clients.len().max(1)));
                number.into_iter().for_each(|number| self.dispatcher.client_disconnected(number));
            }
            Event::Reject(query) => {
                self.dispatcher.reject(&format!("q{}", query % self.clients.len().max(1)), None)
            }
            Event::SetNodeState(is_s, state) => {
                let (name, port) = if is_s { ("s", 1) } else { ("t", 2) };
                let state = [NodeState::Serving, NodeState::Draining, NodeState::Removed][state];
                update_endpoint(&mut self.dispatcher, name, port, state, None);
            }
            Event::Round => self.run_round(),
        }
        self.record_truncated_frames();
    }

    /// Updates the model with the frames that were truncated: none of them may have been written completely.
    /// The attempts that were put back have not been executed and may begin again.
    fn record_truncated_frames(&mut self) {
        for (node, number) in &self.connections {
            let connection = self.dispatcher.endpoints.connection(node, *number);
            if !connection.is_some_and(|connection| connection.has_truncated_frame) {
                continue;
            }
            for attempt in self.writing.remove(number).unwrap_or_default() {
                assert!(!self.written.contains(&attempt), "{attempt}: its frame was written completely");
                let (request, attempt_number) = attempt.split_once(' ').expect("an id and a number");
                let id = AttemptId::new(request, attempt_number.parse().expect("a number"));
                if self
                    .dispatcher
                    .attempts
                    .get(&id)
                    .is_some_and(|attempt| attempt.connection != Some(*number))
                {
                    self.executed.entry(request.to_string()).or_default().remove(&attempt);
                }
            }
        }
    }

    /// Encodes the next frame of a connection, and checks that each attempt of the frame may be sent.
    fn begin_frame(&mut self, connection: usize) {
        let Some((node, number)) = self.connection(connection) else { return };
        // First update the model with the attempts that have ended.
        self.run_round();
        let mut out = vec![];
        let Some(connection) = self.dispatcher.endpoints.connection(&node, number) else { return };
        if connection.is_aborted {
            return;
        }
        let starts_attempts = !connection.next_attempts().is_empty();
        if !self.dispatcher.encode_next_frame(&node, number, &mut out) || !starts_attempts || out[4] != b'S' {
            return;
        }
        assert_eq!(
            self.dispatcher.endpoints.nodes[&node].state,
            NodeState::Serving,
            "no frame begins at a node that does not serve"
        );
        let frame = String::from_utf8(out[5..].to_vec()).expect("text");
        for id in frame.split("text").filter_map(|item| Some(item.split_once(' ')?.0.to_string())) {
            assert!(self.dispatcher.queries.has_request(&id), "{id}: its query has ended");
            let executed = self.executed.entry(id.clone()).or_default();
            assert!(
                !self.execute_once.contains(&id) || executed.is_empty(),
                "{id}: after the window, {executed:?} may have been executed"
            );
            let attempts: Vec<usize> = (0..self.attempts[&id])
                .filter(|attempt| {
                    self.dispatcher
                        .attempts
                        .get(&AttemptId::new(id.as_str(), *attempt))
                        .is_some_and(|attempt| attempt.connection == Some(number))
                })
                .collect();
            assert_eq!(attempts.len(), 1, "{id}: a connection carries one attempt of a request at a time");
            let attempt = format!("{id} {}", attempts[0]);
            executed.insert(attempt.clone());
            self.writing.entry(number).or_default().push(attempt);
        }
    }

    /// Takes the input for the next run of the policy from the dispatcher, and checks that every attempt ends
    /// once and with an outcome that fits how much of the attempt's frame was written.
    fn run_round(&mut self) {
        for event in policy_events(&mut self.dispatcher) {
            let words: Vec<&str> = event.split(' ').collect();
            let [request, number, _, outcome] = words[..] else { continue };
            if request == "query" || request == "request" {
                continue;
            }
            let attempt = format!("{request} {number}");
            assert!(self.open.remove(&attempt), "{event}: the attempt ends once");
            match outcome {
                "NeverSent" | "Unreachable" => {
                    assert!(!self.written.contains(&attempt), "{event}: its frame was written completely")
                }
                "ConnectionReset" => {
                    assert!(self.written.contains(&attempt), "{event}: its frame was not written completely")
                }
                _ => {}
            }
            if matches!(outcome, "NeverSent" | "Unreachable" | "Rejected") {
                let executed = self.executed.get_mut(request);
                executed.into_iter().for_each(|executed| executed.retain(|other| *other != attempt));
            }
        }
    }
}

/// Applies events in order, then loses every connection, and checks that every attempt has ended.
fn run_events(events: impl IntoIterator<Item = Event>) {
    let mut model = Model::new();
    events.into_iter().for_each(|event| model.apply(event));
    model.apply(Event::Flush);
    for (node, connection) in model.connections.clone() {
        model.dispatcher.connection_lost(&node, connection);
    }
    model.run_round();
    assert_eq!(model.open.len(), 0, "attempts that have not ended: {:?}", model.open);
    assert_eq!(model.dispatcher.attempts.in_flight_count(), 0);
}

/// A sequence of events that once violated the property below. An attempt is ended while its frame is being
/// written, and then its connection closes: the first outcome must remain the only one.
#[rstest]
fn an_attempt_ended_while_its_frame_is_written_counts_as_begun_after_its_connection_closes() {
    use Event::*;
    run_events([
        OpenQuery(false),
        OpenQuery(true),
        StartAttempt(51, false),
        Flush,
        BeginFrame(0),
        CancelAttempt(3, 0),
        StartAttempt(0, true),
        OpenQuery(false),
        OpenQuery(false),
        OpenQuery(false),
        StartAttempt(53, false),
        Corrupted(0),
        Flush,
        BeginFrame(2),
    ]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Attempts, frames, replies, lost connections, drains and disconnects in any order.
    #[test]
    fn attempts_keep_their_invariants_in_any_order(events in prop::collection::vec(event(), 1..160)) {
        run_events(events);
    }
}
