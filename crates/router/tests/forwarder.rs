//! Tests of the messages that a forwarder sends to its planner about attempts that the planner decided on,
//! without sockets. A round processes all input since the previous round.
mod common;
use alderway::interface::{AttemptOutcome, DecisionSink, PolicyInput};
use alderway_router::tier::forwarder::{Forwarder, InputSplitter};
use alderway_telemetry::clock::Clock;
use alderway_tier::messages::{Message, WireOutcome};
use alderway_tier::planner_membership::HeartbeatConfig;
use alderway_transport::{FrameReader, Hello};
use common::dispatcher::{Recorded, RecordingPolicy};
use common::tier::take_messages;
use rstest::rstest;
use std::rc::Rc;

/// Records the attempts that are started or cancelled and the queries that are answered.
#[derive(Default)]
struct RecordingSink(Vec<String>);

impl DecisionSink for RecordingSink {
    fn start_attempt(&mut self, request: &str, node: &str, _timeout_s: f64) {
        self.0.push(format!("start {request} {node}"));
    }
    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        self.0.push(format!("cancel {request} {attempt}"));
    }
    fn answer(&mut self, query: &str, _complete: bool) {
        self.0.push(format!("answer {query}"));
    }
    fn reject(&mut self, _query: &str, _retry_after_s: Option<f64>) {}
    fn fail(&mut self, _query: &str) {}
    fn set_timer(&mut self, _span_s: f64, _tag: u64) {}
    fn poll_endpoints(&mut self) {}
    fn log(&mut self, _text: &str) {}
}

/// A forwarder that is connected to one planner, which accepts queries.
struct Router {
    forwarder: Forwarder,
    planner: Hello,
    reader: FrameReader<Message>,
    sink: RecordingSink,
}

impl Router {
    fn new() -> Self {
        let heartbeats = HeartbeatConfig { interval_s: 0.05, timeout_s: 1.0 };
        let mut forwarder = Forwarder::new("r-0", 1, heartbeats, Clock::default(), Rc::default());
        let planner = Hello::of_planner::<Message>("p-0", 1);
        forwarder.planner_connected(&planner).expect("a new planner");
        let mut router =
            Router { forwarder, planner, reader: FrameReader::default(), sink: RecordingSink::default() };
        router.receive(Message::Heartbeat { number: 1, endpoints_version: 1, accepts_queries: true });
        // Acknowledges the forwarder's heartbeats, as the planner does.
        router.forwarder.tick();
        for message in router.sent() {
            if let Message::Heartbeat { number, .. } = message {
                router.receive(Message::HeartbeatAck { number });
            }
        }
        router
    }

    fn receive(&mut self, message: Message) {
        self.forwarder.message_received(&self.planner, message, &mut self.sink);
    }

    /// Returns the messages sent to the planner since the last call, except acknowledgements of heartbeats.
    fn sent(&mut self) -> Vec<Message> {
        let outbox = self.forwarder.outbox(&self.planner).expect("a connected planner");
        let mut messages = take_messages(outbox, &mut self.reader);
        messages.retain(|message| !matches!(message, Message::HeartbeatAck { .. }));
        messages
    }

    /// Runs one round with the policy input that `notify` passes, and returns the messages sent to the
    /// planner. The local policy must get no input.
    fn round(&mut self, notify: impl FnOnce(&mut dyn PolicyInput)) -> Vec<Message> {
        let mut policy = RecordingPolicy::new(Recorded::Endpoints);
        let mut splitter = InputSplitter::begin_round(&mut self.forwarder, &mut policy);
        notify(&mut splitter);
        splitter.end_round();
        assert!(policy.events.is_empty(), "input for the local policy: {:?}", policy.events);
        self.sent()
    }

    /// Assigns a query with one shard request to the planner, and returns the term, which is the number of
    /// the assignment.
    fn assign(&mut self, number: u64, id: &str) -> u64 {
        let sent = self.round(|input| {
            input.query_arrived(number, id, 0, "", 5.0);
            input.shard_request_added(number, &format!("{id}.0"), 0, 1.0);
        });
        match sent[..] {
            [Message::AssignQuery { term, .. }] => term,
            _ => panic!("{sent:?}"),
        }
    }

    fn start_attempt(&mut self, term: u64, request: &str) {
        self.receive(Message::StartAttempt {
            term,
            request: request.into(),
            node: "s".into(),
            timeout_s: 1.0,
        });
    }
}

fn attempt_ended(message: &Message) -> Option<(&str, u32, &str, WireOutcome)> {
    match message {
        Message::AttemptEnded { request, attempt, node, outcome, .. } => {
            Some((request, *attempt, node, *outcome))
        }
        _ => None,
    }
}

/// After a failure of the local policy, the forwarder must report the end of every attempt that a planner
/// started. Otherwise the planner would count these attempts as in flight at their data nodes forever.
#[rstest]
fn a_failure_of_the_local_policy_ends_attempts_for_the_planner_too() {
    let mut router = Router::new();
    let answered = router.assign(0, "q");
    router.start_attempt(answered, "q.0");
    router.receive(Message::Answer { term: answered, query: "q".into(), complete: false });
    let open = router.assign(1, "r");
    router.start_attempt(open, "r.0");
    router.forwarder.abort_all_queries();
    let sent = router.sent();
    let ends: Vec<_> = sent.iter().filter_map(attempt_ended).collect();
    assert_eq!(ends, [("q.0", 0, "s", WireOutcome::Cancelled), ("r.0", 0, "s", WireOutcome::Cancelled)]);
    assert_eq!(sent.last(), Some(&Message::QueryClosed { query: "r".into() }));
}

/// The dispatcher starts no attempt of a query that has ended and reports no end of such an attempt. So the
/// forwarder must remove its record of the attempt together with the query.
#[rstest]
fn an_attempt_decided_on_as_its_query_ended_is_removed_with_it() {
    let mut router = Router::new();
    let term = router.assign(0, "q");
    router.start_attempt(term, "q.0");
    assert_eq!(
        router.round(|input| input.client_disconnected("q")),
        [Message::QueryClosed { query: "q".into() }]
    );
    router.receive(Message::CancelAttempt { term, request: "q.0".into(), attempt: 0 });
    assert!(
        router.forwarder.counters.text().contains("cancels_crossed 1"),
        "the forwarder still records the attempt"
    );
    assert_eq!(router.sink.0, ["start q.0 s"]);
}

#[rstest]
fn the_end_of_an_attempt_is_sent_to_its_planner() {
    let mut router = Router::new();
    let term = router.assign(0, "q");
    router.start_attempt(term, "q.0");
    let sent = router.round(|input| input.attempt_ended("q.0", 0, "s", AttemptOutcome::Success, 0.1));
    assert_eq!(
        sent.iter().filter_map(attempt_ended).collect::<Vec<_>>(),
        [("q.0", 0, "s", WireOutcome::Success)]
    );
}
