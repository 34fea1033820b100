//! Events in any order beside a model of the rules that attempts keep.
use crate::{dispatcher, endpoints, told};
use alderway::interface::AttemptOutcome;
use alderway::interface::DecisionSink;
use alderway::interface::Idempotency;
use alderway::interface::NodeState;
use alderway_router::state::attempts::AttemptId;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::queries::Query;
use alderway_router::state::queries::ShardRequest;
use alderway_router::state::query_classes::ClassRules;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// One thing that can happen; numbers pick one of what is there.
#[derive(Clone, Copy, Debug)]
enum Event {
    Take(bool),
    Call(usize, bool),
    Post,
    Up(usize),
    Begin(usize),
    Written(usize),
    Replied(usize, usize, usize),
    Spoilt(usize),
    Lost(usize),
    PutBack(usize),
    Cancel(usize, usize),
    Left(usize),
    Reject(usize),
    State(bool, usize),
    Tell,
}

fn event() -> impl Strategy<Value = Event> {
    let n = 0..64usize;
    prop_oneof![
        2 => any::<bool>().prop_map(Event::Take),
        6 => (n.clone(), any::<bool>()).prop_map(|(part, s)| Event::Call(part, s)),
        4 => Just(Event::Post),
        2 => n.clone().prop_map(Event::Up),
        5 => n.clone().prop_map(Event::Begin),
        5 => n.clone().prop_map(Event::Written),
        4 => (n.clone(), n.clone(), 0..3usize).prop_map(|(line, part, end)| Event::Replied(line, part, end)),
        1 => n.clone().prop_map(Event::Spoilt),
        2 => n.clone().prop_map(Event::Lost),
        1 => n.clone().prop_map(Event::PutBack),
        2 => (n.clone(), 0..3usize).prop_map(|(part, hop)| Event::Cancel(part, hop)),
        1 => n.clone().prop_map(Event::Left),
        1 => n.clone().prop_map(Event::Reject),
        2 => (any::<bool>(), 0..3usize).prop_map(|(s, state)| Event::State(s, state)),
        4 => Just(Event::Tell),
    ]
}

/// What must hold of calls, whatever the order: a model beside the dispatcher.
struct Model {
    dispatcher: Dispatcher,
    clients: Vec<Rc<ClientConnection>>,
    lines: Vec<(String, u64)>,
    /// Frames that have begun, by connection, and calls whose frame is out whole.
    begun: BTreeMap<u64, Vec<String>>,
    written: BTreeSet<String>,
    /// Calls that have not ended, and for each part those that have begun and may have run.
    open: BTreeSet<String>,
    ran: BTreeMap<String, BTreeSet<String>>,
    calls: BTreeMap<String, usize>,
    deduplicated: BTreeSet<String>,
}

impl Model {
    fn new() -> Self {
        let mut dispatcher = dispatcher();
        // Nothing is dropped a second time: one call that may have run is the last that may begin.
        dispatcher.query_classes.push(ClassRules {
            idempotency: Idempotency::IdempotentWithKey { window_s: 0.0 },
            ..ClassRules::from("once")
        });
        Model {
            dispatcher,
            clients: vec![],
            lines: vec![],
            begun: BTreeMap::new(),
            written: BTreeSet::new(),
            open: BTreeSet::new(),
            ran: BTreeMap::new(),
            calls: BTreeMap::new(),
            deduplicated: BTreeSet::new(),
        }
    }

    fn pick<T: Clone>(all: &[T], at: usize) -> Option<T> {
        all.get(at % all.len().max(1)).cloned()
    }

    fn part(&self, at: usize) -> Option<String> {
        Self::pick(&self.calls.keys().cloned().collect::<Vec<_>>(), at)
    }

    fn line(&self, at: usize) -> Option<(String, u64)> {
        Self::pick(&self.lines, at)
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Take(once) => {
                let id = format!("q{}", self.clients.len());
                let client = Rc::new(ClientConnection::default());
                let parts: Vec<ShardRequest> =
                    (0..2).map(|s| ShardRequest::new(format!("{id}.{s}").into(), s, 0.5)).collect();
                for part in &parts {
                    self.calls.insert(part.id.to_string(), 0);
                    if once {
                        self.deduplicated.insert(part.id.to_string());
                    }
                }
                let (not_after, text) = (self.dispatcher.clock.now() + 60.0, "text".to_string());
                let (id, vertical, of, coverage) = (id.into(), usize::from(once), client.clone(), None);
                let query = Query {
                    id,
                    class: vertical,
                    not_after_s: not_after,
                    text,
                    requests: parts,
                    client: of,
                    coverage,
                };
                self.dispatcher.open_query(&client, query).expect("taken");
                self.clients.push(client);
            }
            Event::Call(part, s) => {
                let Some(part) = self.part(part) else { return };
                if !self.dispatcher.queries.has_request(&part) {
                    return;
                }
                let hop = self.calls.get_mut(&part).expect("a part");
                self.open.insert(format!("{part} {hop}"));
                *hop += 1;
                self.dispatcher.start_attempt(&part, if s { "s" } else { "t" }, 60.0);
            }
            Event::Post => {
                let now = self.dispatcher.clock.now();
                let dials = self.dispatcher.flush_attempts(now);
                self.lines.extend(dials.into_iter().map(|dial| (dial.node, dial.connection)));
            }
            Event::Up(line) => {
                let Some((node, line)) = self.line(line) else { return };
                self.dispatcher
                    .endpoints
                    .connection(&node, line)
                    .into_iter()
                    .for_each(|line| line.is_open = true);
            }
            Event::Begin(line) => self.begin(line),
            Event::Written(line) => {
                let Some((node, line)) = self.line(line) else { return };
                let now = self.dispatcher.clock.now();
                // A driver that finds its connection cut writes nothing more.
                if let Some(there) =
                    self.dispatcher.endpoints.connection(&node, line).filter(|there| !there.is_aborted)
                {
                    there.frame_written(now);
                    self.written.extend(self.begun.remove(&line).unwrap_or_default());
                }
            }
            Event::Replied(line, part, ending) => {
                let (Some((node, line)), Some(part)) = (self.line(line), self.part(part)) else { return };
                let ending =
                    [AttemptOutcome::Success, AttemptOutcome::Error, AttemptOutcome::Rejected][ending];
                self.dispatcher.record_reply(&node, line, &part, ending, "value");
            }
            Event::Spoilt(line) => {
                let Some((node, line)) = self.line(line) else { return };
                self.dispatcher.connection_corrupted(&node, line, None);
                self.begun.remove(&line);
            }
            Event::Lost(line) => {
                let Some((node, line)) = self.line(line) else { return };
                self.dispatcher.connection_lost(&node, line);
                self.begun.remove(&line);
            }
            Event::PutBack(line) => {
                let Some((node, line)) = self.line(line) else { return };
                // As its driver does: with a call next, nothing out, and something heard before.
                if self
                    .dispatcher
                    .endpoints
                    .connection(&node, line)
                    .is_some_and(|line| line.is_reuse_after_idle())
                {
                    self.dispatcher.requeue_unsent(&node, line);
                }
            }
            Event::Cancel(part, hop) => {
                let Some(part) = self.part(part) else { return };
                self.dispatcher.cancel_attempt(&part, hop);
            }
            Event::Left(query) => {
                let number =
                    self.dispatcher.queries.number(&format!("q{}", query % self.clients.len().max(1)));
                number.into_iter().for_each(|number| self.dispatcher.client_disconnected(number));
            }
            Event::Reject(query) => {
                self.dispatcher.reject(&format!("q{}", query % self.clients.len().max(1)), None)
            }
            Event::State(s, state) => {
                let (name, port) = if s { ("s", 1) } else { ("t", 2) };
                let state = [NodeState::Serving, NodeState::Draining, NodeState::Removed][state];
                endpoints(&mut self.dispatcher, name, port, state, None);
            }
            Event::Tell => self.tell(),
        }
    }

    /// A frame begins: only what may still go out, and only where it may go.
    fn begin(&mut self, line: usize) {
        let Some((node, line)) = self.line(line) else { return };
        // What is known of calls that have ended counts.
        self.tell();
        let mut out = vec![];
        if self.dispatcher.endpoints.connection(&node, line).is_none_or(|line| line.is_aborted) {
            return;
        }
        let fresh = self
            .dispatcher
            .endpoints
            .connection(&node, line)
            .is_some_and(|line| !line.next_attempts().is_empty());
        if !self.dispatcher.next_frame(&node, line, &mut out) || !fresh || out[4] != b'S' {
            return;
        }
        assert_eq!(
            self.dispatcher.endpoints.nodes[&node].state,
            NodeState::Serving,
            "a drain is looked at as it begins"
        );
        let frame = String::from_utf8(out[5..].to_vec()).expect("text");
        for id in frame.split("text").filter_map(|part| Some(part.split_once(' ')?.0.to_string())) {
            assert!(self.dispatcher.queries.has_request(&id), "{id}: nothing of a query that is over");
            let ran = self.ran.entry(id.clone()).or_default();
            assert!(
                !self.deduplicated.contains(&id) || ran.is_empty(),
                "{id}: past its window, {ran:?} may have run"
            );
            let hops: Vec<usize> = (0..self.calls[&id])
                .filter(|hop| {
                    self.dispatcher
                        .attempts
                        .get(&AttemptId::new(id.as_str(), *hop))
                        .is_some_and(|c| c.connection == Some(line))
                })
                .collect();
            assert_eq!(hops.len(), 1, "{id}: one call of a part on a connection at a time");
            let call = format!("{id} {}", hops[0]);
            ran.insert(call.clone());
            self.begun.entry(line).or_default().push(call);
        }
    }

    /// Every call ends once, by what is known of whether it ran.
    fn tell(&mut self) {
        for told in told(&mut self.dispatcher) {
            let words: Vec<&str> = told.split(' ').collect();
            let [part, hop, _, ending] = words[..] else { continue };
            if part == "query" || part == "part" {
                continue;
            }
            let call = format!("{part} {hop}");
            assert!(self.open.remove(&call), "{told}: it has ended once");
            match ending {
                "NeverSent" | "Unreachable" => {
                    assert!(!self.written.contains(&call), "{told}: it was written whole")
                }
                "ConnectionReset" => {
                    assert!(self.written.contains(&call), "{told}: its last byte was never written")
                }
                _ => {}
            }
            if matches!(ending, "NeverSent" | "Unreachable" | "Rejected") {
                self.ran.get_mut(part).into_iter().for_each(|ran| ran.retain(|held| *held != call));
            }
        }
    }
}

/// Plays events in order; in the end every connection is lost, and every call has ended.
fn play_out(events: impl IntoIterator<Item = Event>) {
    let mut model = Model::new();
    events.into_iter().for_each(|event| model.play(event));
    model.play(Event::Post);
    for (node, line) in model.lines.clone() {
        model.dispatcher.connection_lost(&node, line);
    }
    model.tell();
    assert_eq!(model.open.len(), 0, "calls without an end: {:?}", model.open);
    assert_eq!(model.dispatcher.attempts.in_flight_count(), 0);
}

/// Found by the property below: what was said of a call as it ended stands, whatever its connection comes to.
#[rstest]
fn a_part_given_up_in_the_midst_of_its_frame_counts_as_begun_after_its_connection_is_gone() {
    use Event::*;
    play_out([
        Take(false),
        Take(true),
        Call(51, false),
        Post,
        Begin(0),
        Cancel(3, 0),
        Call(0, true),
        Take(false),
        Take(false),
        Take(false),
        Call(53, false),
        Spoilt(0),
        Post,
        Begin(2),
    ]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Calls, frames, answers, breaks, drains and leaving clients in any order.
    #[test]
    fn calls_keep_their_rules_in_any_order(events in prop::collection::vec(event(), 1..160)) {
        play_out(events);
    }
}
