//! A forwarder without sockets: what its planner hears of the calls that it decided.
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

/// A dispatcher that notes which calls it is told to start and to cancel.
#[derive(Default)]
struct NotingSink(Vec<String>);

impl DecisionSink for NotingSink {
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

/// A forwarder with one planner, which takes queries.
struct Router {
    forwarder: Forwarder,
    planner: Hello,
    reader: FrameReader<Message>,
    sink: NotingSink,
}

impl Router {
    fn new() -> Self {
        let watch = HeartbeatConfig { interval_s: 0.05, timeout_s: 1.0 };
        let mut forwarder = Forwarder::new("r-0", 1, watch, Clock::default(), Rc::default());
        let planner = Hello::of_planner::<Message>("p-0", 1);
        forwarder.planner_connected(&planner).expect("it is new");
        let mut router =
            Router { forwarder, planner, reader: FrameReader::default(), sink: NotingSink::default() };
        router.hears(Message::Heartbeat { number: 1, endpoints_version: 1, accepts_queries: true });
        // Before a planner is able, its own beat has to be answered.
        router.forwarder.tick();
        for message in router.sent() {
            if let Message::Heartbeat { number, .. } = message {
                router.hears(Message::HeartbeatAck { number });
            }
        }
        router
    }

    fn hears(&mut self, message: Message) {
        self.forwarder.message_received(&self.planner, message, &mut self.sink);
    }

    /// What the planner has been sent since the last look, beats and their answers apart.
    fn sent(&mut self) -> Vec<Message> {
        let outbox = self.forwarder.outbox(&self.planner).expect("it is there");
        let mut messages = take_messages(outbox, &mut self.reader);
        messages.retain(|message| !matches!(message, Message::HeartbeatAck { .. }));
        messages
    }

    /// Plays one round with what the dispatcher tells in it.
    fn round(&mut self, tell: impl FnOnce(&mut dyn PolicyInput)) -> Vec<Message> {
        let mut own = RecordingPolicy::new(Recorded::Endpoints);
        let mut split = InputSplitter::begin(&mut self.forwarder, &mut own);
        tell(&mut split);
        split.end();
        assert!(own.events.is_empty(), "nothing is the own policy's: {:?}", own.events);
        self.sent()
    }

    /// A query of one part is asked of the planner; returns its term.
    fn ask(&mut self, number: u64, id: &str) -> u64 {
        let sent = self.round(|input| {
            input.query_arrived(number, id, 0, "", 5.0);
            input.shard_request_added(number, &format!("{id}.0"), 0, 1.0);
        });
        match sent[..] {
            [Message::AssignQuery { term, .. }] => term,
            _ => panic!("{sent:?}"),
        }
    }

    fn call(&mut self, term: u64, request: &str) {
        self.hears(Message::StartAttempt { term, request: request.into(), node: "s".into(), timeout_s: 1.0 });
    }
}

fn ended(message: &Message) -> Option<(&str, u32, &str, WireOutcome)> {
    match message {
        Message::AttemptEnded { request, attempt, node, outcome, .. } => {
            Some((request, *attempt, node, *outcome))
        }
        _ => None,
    }
}

/// Guards against calls that count at a planner's data nodes for ever.
#[rstest]
fn a_failure_of_the_own_policy_ends_the_planners_calls_for_it_too() {
    let mut router = Router::new();
    let answered = router.ask(0, "q");
    router.call(answered, "q.0");
    router.hears(Message::Answer { term: answered, query: "q".into(), complete: false });
    let open = router.ask(1, "r");
    router.call(open, "r.0");
    router.forwarder.start_over();
    let sent = router.sent();
    let ends: Vec<_> = sent.iter().filter_map(ended).collect();
    assert_eq!(ends, [("q.0", 0, "s", WireOutcome::Cancelled), ("r.0", 0, "s", WireOutcome::Cancelled)]);
    assert_eq!(sent.last(), Some(&Message::QueryClosed { query: "r".into() }));
}

/// Guards against records that stay for ever: the dispatcher starts nothing for a query that is over.
#[rstest]
fn a_call_that_came_as_its_query_was_over_is_forgotten_with_it() {
    let mut router = Router::new();
    let term = router.ask(0, "q");
    router.call(term, "q.0");
    assert_eq!(
        router.round(|input| input.client_disconnected("q")),
        [Message::QueryClosed { query: "q".into() }]
    );
    router.hears(Message::CancelAttempt { term, request: "q.0".into(), attempt: 0 });
    assert!(router.forwarder.counters.text().contains("cancels_crossed 1"), "nothing is known of it");
    assert_eq!(router.sink.0, ["start q.0 s"]);
}

#[rstest]
fn the_end_of_a_planners_call_is_told_to_the_planner() {
    let mut router = Router::new();
    let term = router.ask(0, "q");
    router.call(term, "q.0");
    let sent = router.round(|input| input.attempt_ended("q.0", 0, "s", AttemptOutcome::Success, 0.1));
    assert_eq!(sent.iter().filter_map(ended).collect::<Vec<_>>(), [("q.0", 0, "s", WireOutcome::Success)]);
}
