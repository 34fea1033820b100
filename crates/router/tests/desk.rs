//! Stories of what is kept: frames taken back, endings that prove what they say, connections with their places,
//! descriptors given back; and of drivers that run in the test's own runtime, where an order of events is sure.
use alderway::interface::{AttemptOutcome, DecisionSink, Idempotency, NodeState, PolicyInput, StateTransfer};
use alderway_deployment as deployment;
use alderway_router::io::{clients, nodes, rounds};
use alderway_router::state::clients::{Client, Clients};
use alderway_router::state::descriptors;
use alderway_router::state::desk::{Class, Desk, Dial, Stage};
use alderway_router::state::house::{House, Sharing};
use alderway_router::state::queries::{Part, Query};
use alderway_router::state::roster::Entry;
use alderway_telemetry::clock::Clock;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Writes down what the module is told.
#[derive(Default)]
struct Told(Vec<String>);

impl StateTransfer for Told {}

impl PolicyInput for Told {
    fn endpoint_list_replaced(&mut self) {
        self.0.push("whole".into());
    }
    fn endpoint_updated(&mut self, node: &str, cell: u32, state: NodeState, _started: Option<f64>) {
        self.0.push(format!("{node} {cell} {state:?}"));
    }
    fn endpoint_poll_failed(&mut self) {
        self.0.push("failed".into());
    }
    fn query_arrived(&mut self, number: u64, id: &str, vertical: usize, _customer: &str, _not_after: f64) {
        self.0.push(format!("query {number} {id} {vertical}"));
    }
    fn shard_request_added(&mut self, number: u64, id: &str, shard: u32, weight: f64) {
        self.0.push(format!("part {number} {id} {shard} {weight}"));
    }
    fn attempt_ended(&mut self, part: &str, hop: usize, node: &str, ending: AttemptOutcome, _latency: f64) {
        self.0.push(format!("{part} {hop} {node} {ending:?}"));
    }
    fn client_disconnected(&mut self, query: &str) {
        self.0.push(format!("left {query}"));
    }
    fn timer_fired(&mut self, tag: u64) {
        self.0.push(format!("alarm {tag}"));
    }
}

/// A desk with data nodes `s` and `t`; bundles of two parts, four places on a connection.
fn desk() -> Desk {
    let trunk = deployment::ConnectionConfig {
        streams_per_connection: 4,
        max_batch: 2,
        dial_timeout_s: 0.25,
        idle_timeout_s: 15.0,
    };
    let room = deployment::AdmissionConfig {
        max_open: 100,
        shard_count: 40,
        min_round_interval_s: 0.005,
        max_latency_objective_s: 1.0,
        max_deadline_s: 10.0,
        polls_endpoints: false,
    };
    let mut desk = Desk::new(Clock::default(), trunk, room, vec!["v".into()]);
    desk.roster.begin(1, true);
    for (name, port) in [("s", 1), ("t", 2)] {
        roster(&mut desk, name, port, NodeState::Serving, None);
    }
    told(&mut desk);
    desk
}

fn roster(desk: &mut Desk, name: &str, port: u16, state: NodeState, started: Option<f64>) {
    desk.roster.entry(name, ([127, 0, 0, 1], port).into(), 0, state, started);
    desk.roster_changed();
}

fn told(desk: &mut Desk) -> Vec<String> {
    let (mut told, now) = (Told::default(), desk.clock.now());
    desk.expire(now);
    desk.tell(now, &mut told);
    told.0
}

/// Takes in query `id` with one part for each shard.
fn take(desk: &mut Desk, id: &str, shards: &[u32]) -> Rc<Client> {
    let client = Rc::new(Client::default());
    let part = |s: &u32| Part::new(format!("{id}.{s}").into(), *s, 1.0);
    let parts = shards.iter().map(part).collect();
    let (not_after, text) = (desk.clock.now() + 5.0, "text".to_string());
    let (query, client_of, coverage) = (id.into(), client.clone(), None);
    let query = Query { id: query, vertical: 0, not_after, text, parts, client: client_of, coverage };
    desk.take(&client, query).expect("taken");
    told(desk);
    client
}

/// Sends parts to a node as one round would; returns the dials that this takes.
fn send(desk: &mut Desk, node: &str, parts: &[&str]) -> Vec<Dial> {
    parts.iter().for_each(|part| desk.start_attempt(part, node, 5.0));
    let now = desk.clock.now();
    desk.post(now)
}

/// Writes the next frame of a connection to its last byte; its text, if one waits.
fn write(desk: &mut Desk, dial: &Dial) -> Option<String> {
    let mut out = vec![];
    let begun = desk.next_frame(&dial.node, dial.line, &mut out);
    let now = desk.clock.now();
    desk.roster.line(&dial.node, dial.line)?.written(now);
    begun.then(|| String::from_utf8_lossy(&out[4..]).to_string())
}

fn up(desk: &mut Desk, dial: &Dial) {
    desk.roster.line(&dial.node, dial.line).expect("a connection").up = true;
}

#[rstest]
fn parts_of_one_round_are_calls_of_a_bundle_on_one_connection() {
    let mut desk = desk();
    take(&mut desk, "q", &[1, 2, 3]);
    let dials = send(&mut desk, "s", &["q.1", "q.2", "q.3"]);
    assert_eq!(dials.len(), 1);
    let frames = [write(&mut desk, &dials[0]), write(&mut desk, &dials[0]), write(&mut desk, &dials[0])];
    let parts = frames.map(|f| f.map(|text| text.matches(" d=").count()));
    assert_eq!(parts, [Some(2), Some(1), None]);
}

#[rstest]
fn a_connection_carries_no_more_than_its_places_and_answers_free_them() {
    let mut desk = desk();
    take(&mut desk, "q", &[1, 2, 3, 4, 5]);
    let first = send(&mut desk, "s", &["q.1", "q.2", "q.3", "q.4"]);
    let second = send(&mut desk, "s", &["q.5"]);
    assert_eq!((first.len(), second.len()), (1, 1));
    take(&mut desk, "r", &[1]);
    while write(&mut desk, &first[0]).is_some() {}
    desk.replied("s", first[0].line, "q.1", AttemptOutcome::Success, "v");
    up(&mut desk, &first[0]);
    assert!(send(&mut desk, "s", &["r.1"]).is_empty());
    assert!(write(&mut desk, &first[0]).is_some_and(|text| text.contains("r.1 ")));
}

#[rstest]
#[case::cancelled(|desk: &mut Desk, _| desk.cancel_attempt("q.1", 0), "q.1 0 s Cancelled")]
#[case::answered_elsewhere(|desk: &mut Desk, _| {
    let dial = send(desk, "t", &["q.1"]).remove(0);
    write(desk, &dial);
    desk.replied("t", dial.line, "q.1", AttemptOutcome::Success, "v");
}, "q.1 0 s Cancelled")]
#[case::query_over(|desk: &mut Desk, _| desk.reject("q", None), "q.1 0 s NeverSent")]
#[case::client_gone(|desk: &mut Desk, number| desk.client_left(number), "q.1 0 s Cancelled")]
#[case::node_drains(|desk: &mut Desk, _| roster(desk, "s", 1, NodeState::Draining, None), "q.1 0 s NeverSent")]
#[case::node_gone(|desk: &mut Desk, _| roster(desk, "s", 1, NodeState::Removed, None), "q.1 0 s NeverSent")]
fn a_frame_not_begun_is_taken_back(#[case] happens: impl FnOnce(&mut Desk, u64), #[case] ending: &str) {
    let mut desk = desk();
    take(&mut desk, "q", &[1]);
    let number = desk.queries.number("q").expect("open");
    let dial = send(&mut desk, "s", &["q.1"]).remove(0);
    happens(&mut desk, number);
    up(&mut desk, &dial);
    assert_eq!(write(&mut desk, &dial), None);
    let told = told(&mut desk);
    assert!(told.iter().any(|t| t == ending), "{told:?}");
}

#[rstest]
fn a_part_taken_back_leaves_the_rest_of_its_call() {
    let mut desk = desk();
    take(&mut desk, "q", &[1, 2]);
    let dial = send(&mut desk, "s", &["q.1", "q.2"]).remove(0);
    desk.cancel_attempt("q.1", 0);
    let text = write(&mut desk, &dial).expect("a call");
    assert!(text.starts_with("Sq.2 2 d="), "{text}");
}

#[rstest]
fn only_a_break_before_the_last_byte_proves_that_a_part_never_ran() {
    let mut desk = desk();
    take(&mut desk, "q", &[1, 2, 3, 4]);
    let dial = send(&mut desk, "s", &["q.1", "q.2", "q.3", "q.4"]).remove(0);
    write(&mut desk, &dial);
    // The second call has begun, its last byte is not written.
    assert!(desk.next_frame("s", dial.line, &mut vec![]));
    desk.line_lost("s", dial.line);
    let told = told(&mut desk);
    for ending in
        ["q.1 0 s ConnectionReset", "q.2 0 s ConnectionReset", "q.3 0 s Unreachable", "q.4 0 s Unreachable"]
    {
        assert!(told.iter().any(|t| t == ending), "{ending}: {told:?}");
    }
    assert_eq!(desk.calls.count_out(), 0);
}

#[rstest]
#[case::named(Some("q.2"), ["q.2 0 s Error", "q.1 0 s Cancelled"])]
#[case::of_nobody(Some("z.2"), ["q.1 0 s Error", "q.2 0 s Cancelled"])]
#[case::nameless(None, ["q.1 0 s Error", "q.2 0 s Cancelled"])]
fn a_spoilt_answer_is_one_failed_call_and_those_beside_it_are_given_up(
    #[case] part: Option<&str>,
    #[case] out: [&str; 2],
) {
    let mut desk = desk();
    take(&mut desk, "q", &[1, 2, 3]);
    let dial = send(&mut desk, "s", &["q.1", "q.2", "q.3"]).remove(0);
    write(&mut desk, &dial);
    desk.spoilt("s", dial.line, part);
    desk.line_lost("s", dial.line);
    let mut told = told(&mut desk);
    told.sort();
    let mut all = [out[0], out[1], "q.3 0 s NeverSent"];
    all.sort();
    assert_eq!(told, all);
}

#[rstest]
fn a_part_given_up_in_the_midst_of_its_frame_ends_the_connection() {
    let mut desk = desk();
    take(&mut desk, "q", &[1]);
    let dial = send(&mut desk, "s", &["q.1"]).remove(0);
    assert!(desk.next_frame("s", dial.line, &mut vec![]));
    desk.reject("q", None);
    assert!(desk.roster.line("s", dial.line).expect("a connection").cut);
}

#[rstest]
#[case::broken(|desk: &mut Desk, dial: &Dial| desk.line_lost("s", dial.line))]
#[case::spoilt(|desk: &mut Desk, dial: &Dial| desk.spoilt("s", dial.line, None))]
fn a_connection_cut_over_a_part_says_nothing_of_a_later_call_by_the_same_id(
    #[case] ends: impl FnOnce(&mut Desk, &Dial),
) {
    let mut desk = desk();
    take(&mut desk, "q", &[1]);
    let cut = send(&mut desk, "s", &["q.1"]).remove(0);
    assert!(desk.next_frame("s", cut.line, &mut vec![]));
    desk.reject("q", None);
    // The client asks again by the same id before the driver has left the connection.
    take(&mut desk, "q", &[1]);
    let dial = send(&mut desk, "t", &["q.1"]).remove(0);
    assert!(write(&mut desk, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    told(&mut desk);
    ends(&mut desk, &cut);
    assert!(told(&mut desk).is_empty(), "the later call is out, and may have run");
    assert_eq!(desk.calls.count_out(), 1);
}

#[rstest]
fn a_late_reply_is_not_taken_for_that_of_a_later_query_by_the_same_id() {
    let mut desk = desk();
    take(&mut desk, "q", &[1]);
    let old = send(&mut desk, "s", &["q.1"]).remove(0);
    write(&mut desk, &old);
    // Where nothing may be cancelled, the call stays out after its query's answer.
    desk.reject("q", None);
    take(&mut desk, "q", &[1]);
    let dial = send(&mut desk, "t", &["q.1"]).remove(0);
    told(&mut desk);
    desk.replied("s", old.line, "q.1", AttemptOutcome::Rejected, "");
    assert!(told(&mut desk).is_empty(), "the later call waits to go out");
    assert!(write(&mut desk, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    assert!(told(&mut desk).is_empty());
}

#[rstest]
fn a_call_that_ended_while_its_frame_waited_does_not_begin() {
    let mut desk = desk();
    take(&mut desk, "q", &[1, 2]);
    let dial = send(&mut desk, "s", &["q.1", "q.2"]).remove(0);
    let now = desk.clock.now();
    desk.calls.end(&("q.1".into(), 0), AttemptOutcome::Cancelled, now);
    assert!(write(&mut desk, &dial).is_some_and(|text| text.starts_with("Sq.2 ")));
    assert_eq!(write(&mut desk, &dial), None);
}

#[rstest]
fn a_late_reply_is_not_taken_for_that_of_a_later_call_to_the_same_node() {
    let mut desk = desk();
    take(&mut desk, "q", &[1]);
    let first = send(&mut desk, "s", &["q.1"]).remove(0);
    up(&mut desk, &first);
    write(&mut desk, &first);
    desk.cancel_attempt("q.1", 0);
    let second = send(&mut desk, "s", &["q.1"]);
    assert_eq!(second.len(), 1, "another connection");
    assert_eq!(write(&mut desk, &first).as_deref(), Some("Cq.1"));
    write(&mut desk, &second[0]);
    desk.replied("s", first.line, "q.1", AttemptOutcome::Rejected, "");
    assert_eq!(told(&mut desk), ["q.1 0 s Cancelled"], "the second call is still out");
}

#[rstest]
fn a_connection_that_fell_silent_gets_no_further_call() {
    let mut desk = desk();
    desk.trunk.dial_timeout_s = 0.05;
    take(&mut desk, "q", &[1, 2, 3, 4]);
    let silent = send(&mut desk, "s", &["q.1", "q.2"]).remove(0);
    up(&mut desk, &silent);
    write(&mut desk, &silent);
    let pause = || std::thread::sleep(std::time::Duration::from_millis(60));
    pause();
    desk.replied("s", silent.line, "q.1", AttemptOutcome::Success, "v");
    desk.cancel_attempt("q.2", 0);
    assert!(send(&mut desk, "s", &["q.3"]).is_empty(), "heard since `q.2` went out: a slow part, no more");
    while write(&mut desk, &silent).is_some() {}
    pause();
    desk.cancel_attempt("q.3", 0);
    assert_eq!(send(&mut desk, "s", &["q.4"]).len(), 1, "nothing heard since: another connection");
}

#[rstest]
fn a_time_out_ends_the_call_and_tells_the_node() {
    let mut desk = desk();
    take(&mut desk, "q", &[1]);
    desk.start_attempt("q.1", "s", 0.05);
    let now = desk.clock.now();
    let dial = desk.post(now).remove(0);
    assert!(write(&mut desk, &dial).is_some_and(|text| text.starts_with("Sq.1 ")));
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert_eq!(told(&mut desk), ["q.1 0 s TimedOut"]);
    assert_eq!(write(&mut desk, &dial).as_deref(), Some("Cq.1"));
}

/// How the first call of a part ends, and whether another may begin once its window is over.
#[rstest]
#[case::failed(AttemptOutcome::Error, None)]
#[case::turned_away(AttemptOutcome::Rejected, Some("Sq.1 "))]
fn a_deduplicated_part_that_waited_past_its_window_does_not_begin_again(
    #[case] first: AttemptOutcome,
    #[case] second: Option<&str>,
) {
    let mut desk = desk();
    desk.verticals[0].effect = Idempotency::IdempotentWithKey { window_s: 0.05 };
    take(&mut desk, "q", &[1]);
    let dial = send(&mut desk, "s", &["q.1"]).remove(0);
    write(&mut desk, &dial);
    desk.replied("s", dial.line, "q.1", first, "");
    // Decided in time; the connection comes up when the node drops no repeat any more.
    let dial = send(&mut desk, "t", &["q.1"]).remove(0);
    told(&mut desk);
    std::thread::sleep(std::time::Duration::from_millis(60));
    let text = write(&mut desk, &dial);
    assert_eq!(text.as_deref().map(|text| &text[..5]), second);
    let ended = if second.is_none() { vec!["q.1 1 t NeverSent"] } else { vec![] };
    assert_eq!(told(&mut desk), ended);
}

#[rstest]
fn a_call_whose_time_is_over_does_not_begin_and_those_beside_it_do() {
    let mut desk = desk();
    take(&mut desk, "q", &[1, 2]);
    desk.start_attempt("q.1", "s", 0.0);
    desk.start_attempt("q.2", "s", 5.0);
    let now = desk.clock.now();
    let dial = desk.post(now).remove(0);
    let text = write(&mut desk, &dial).expect("a call");
    assert!(text.starts_with("Sq.2 "), "{text}");
    assert_eq!(told(&mut desk), ["q.1 0 s NeverSent"]);
}

#[rstest]
fn a_query_that_comes_as_the_program_ends_is_turned_away_at_once() {
    let mut desk = desk();
    desk.stage = Stage::Ended;
    let client = Rc::new(Client::default());
    let (id, part) = ("q".into(), Part::new("q.1".into(), 1, 1.0));
    let (not_after, text, parts) = (desk.clock.now() + 5.0, String::new(), vec![part]);
    let (of, coverage) = (client.clone(), None);
    let query = Query { id, vertical: 0, not_after, text, parts, client: of, coverage };
    desk.take(&client, query).expect("answered");
    assert!(client.out.borrow().starts_with(b"HTTP/1.1 503 "));
    assert!(told(&mut desk).is_empty() && desk.queries.is_empty());
}

#[rstest]
fn an_older_list_brings_no_node_back_that_was_told_to_drain() {
    let mut desk = desk();
    let list = |desk: &mut Desk, index, state| {
        desk.roster.begin(index, true);
        roster(desk, "s", 1, state, None);
        desk.roster.nodes["s"].state
    };
    assert_eq!(list(&mut desk, 9, NodeState::Draining), NodeState::Draining);
    assert_eq!(list(&mut desk, 8, NodeState::Serving), NodeState::Draining);
    assert_eq!(list(&mut desk, 10, NodeState::Serving), NodeState::Serving);
}

#[rstest]
fn a_node_that_moved_or_started_again_loses_its_connections() {
    let mut desk = desk();
    take(&mut desk, "q", &[1, 2]);
    let (old, again) = (send(&mut desk, "s", &["q.1"]).remove(0), send(&mut desk, "t", &["q.2"]).remove(0));
    roster(&mut desk, "s", 9, NodeState::Serving, None);
    let line = desk.roster.line("s", old.line).expect("a connection");
    assert!(line.retired && !line.cut, "what is out there may still come");
    let later = desk.clock.now() + 1.0;
    roster(&mut desk, "t", 2, NodeState::Serving, Some(later));
    assert!(desk.roster.line("t", again.line).expect("a connection").cut, "nobody there will answer");
}

#[rstest]
fn a_whole_list_tells_who_is_gone_and_forgets_them_with_their_last_connection() {
    let mut desk = desk();
    take(&mut desk, "q", &[1]);
    let dial = send(&mut desk, "s", &["q.1"]).remove(0);
    write(&mut desk, &dial);
    desk.roster.begin(2, true);
    desk.roster_changed();
    assert_eq!(told(&mut desk), ["whole", "s 0 Removed", "t 0 Removed"]);
    assert_eq!(desk.roster.nodes.len(), 1, "`s` has a call out");
    desk.line_lost("s", dial.line);
    told(&mut desk);
    assert!(desk.roster.nodes.is_empty());
}

#[rstest]
fn a_failure_of_the_module_aborts_what_is_open_and_the_router_goes_on() {
    // The module knows one vertical, the desk two: a query of the second makes it panic.
    let settings = r#"{"Extra":{"Cells":1,"Reach":1},"Discovery":"automatic","Obligations":{},"ReplicasOfMe":1,
        "Limits":{"MayCancel":true,"ParallelTries":true,"MaxAttempts":3},"Services":[{"Name":"v","Worth":1,
        "PromiseUs":1000000,"DeadlineUs":5000000,"Effect":"idempotent","LateShare":0.3}]}"#;
    let settings = deployment::parse(settings).expect("readable");
    let module = move || deployment::policy(7, &settings).map(|made| made.0);
    let desk = Rc::new(std::cell::RefCell::new(desk()));
    desk.borrow_mut().verticals.push("w".into());
    let taken = |id: &str, vertical| {
        let client = Rc::new(Client::default());
        let part = Part::new(format!("{id}.1").into(), 1, 1.0);
        let (not_after, text, parts) = (desk.borrow().clock.now() + 5.0, String::new(), vec![part]);
        let (of, coverage) = (client.clone(), None);
        let query = Query { id: id.into(), vertical, not_after, text, parts, client: of, coverage };
        desk.borrow_mut().take(&client, query).expect("taken");
        client
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let share = descriptors::shares(64, usize::MAX, 1).1;
        tokio::task::spawn_local(rounds::run(desk.clone(), module, share));
        let bad = taken("bad", 1);
        bad.wake.notified().await;
        assert!(bad.out.borrow().starts_with(b"HTTP/1.1 504 "));
        // Both nodes refuse connections here: a decision all the same, and by the roster told again.
        let good = taken("good", 0);
        good.wake.notified().await;
        assert!(good.out.borrow().starts_with(b"HTTP/1.1 503 "));
        assert!(desk.borrow().figures().contains("leaf_calls_sent{first} 1"));
    });
}

/// A client's connection to a desk that listens, in the story's own runtime.
async fn listened_to(desk: &Rc<std::cell::RefCell<Desk>>) -> tokio::net::TcpStream {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let share = descriptors::shares(64, usize::MAX, 1).0;
    tokio::task::spawn_local(clients::listen(desk.clone(), listener, share, Rc::default()));
    tokio::net::TcpStream::connect(address).await.expect("connected")
}

#[rstest]
fn a_connection_dismissed_with_a_request_unread_serves_it_first() {
    let desk = Rc::new(std::cell::RefCell::new(desk()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut stream = listened_to(&desk).await;
        let mut answer = [0; 200];
        for dismissed in [false, true] {
            stream.writable().await.expect("writable");
            stream.try_write(b"GET /up HTTP/1.1\r\n\r\n").expect("written");
            // Nothing has run since: the runtime does not know yet that bytes wait there.
            if dismissed {
                desk.borrow().clients.dismiss_idle();
            }
            let count = stream.read(&mut answer).await.expect("an answer");
            assert!(answer[..count].starts_with(b"HTTP/1.1 200 "), "dismissed: {dismissed}");
        }
        assert_eq!(stream.read(&mut answer).await.expect("an end"), 0);
    });
}

/// Plays a story in the test's own runtime, where nothing runs between two of its steps that do not wait.
fn played(story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let ended = tokio::time::timeout(std::time::Duration::from_secs(20), story).await;
        ended.expect("the story comes to its end");
    });
}

#[rstest]
fn a_connection_that_the_system_accepted_is_served_though_the_listener_closes() {
    played(async {
        let desk = Rc::new(std::cell::RefCell::new(desk()));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = std::net::TcpStream::connect(address).expect("connected");
        std::io::Write::write_all(&mut client, b"GET /up HTTP/1.1\r\n\r\n").expect("written");
        client.set_nonblocking(true).expect("set");
        // The runtime has not looked at the listener since.
        let (share, close) = (descriptors::shares(64, usize::MAX, 1).0, Rc::new(tokio::sync::Notify::new()));
        close.notify_one();
        clients::listen(desk, listener, share, close).await;
        let mut answer = [0; 200];
        let mut client = tokio::net::TcpStream::from_std(client).expect("a stream");
        let count = client.read(&mut answer).await.expect("an answer");
        assert!(answer[..count].starts_with(b"HTTP/1.1 200 "));
    });
}

#[rstest]
fn a_connection_dismissed_as_a_request_begins_to_come_serves_it_and_closes() {
    played(async {
        let desk = Rc::new(std::cell::RefCell::new(desk()));
        let mut stream = listened_to(&desk).await;
        let mut answer = [0; 200];
        stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").await.expect("written");
        assert!(stream.read(&mut answer).await.expect("an answer") > 0);
        // Both in one instant; the rest comes once the first half is read.
        stream.try_write(b"GET /up HTTP/1.1\r\n").expect("written");
        desk.borrow().clients.dismiss_idle();
        while desk.borrow().figures().contains("bytes_from_clients 20\n") {
            tokio::task::yield_now().await;
        }
        stream.write_all(b"\r\n").await.expect("written");
        let count = stream.read(&mut answer).await.expect("an answer");
        assert!(answer[..count].starts_with(b"HTTP/1.1 200 "));
        assert_eq!(stream.read(&mut answer).await.expect("an end"), 0);
    });
}

#[rstest]
fn a_client_that_speaks_as_its_connection_closes_is_not_reset() {
    played(async {
        let desk = Rc::new(std::cell::RefCell::new(desk()));
        let mut stream = listened_to(&desk).await;
        let mut answer = [0; 200];
        stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").await.expect("written");
        assert!(stream.read(&mut answer).await.expect("an answer") > 0);
        desk.borrow().clients.dismiss_idle();
        assert_eq!(stream.read(&mut answer).await.expect("an end"), 0);
        // What crosses the close: the client has not looked at its connection yet.
        stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").await.expect("written");
        while !desk.borrow().clients.is_empty() {
            tokio::task::yield_now().await;
        }
        assert!(
            stream.take_error().expect("readable").is_none(),
            "no reset, which would take an answer with it"
        );
        assert!(desk.borrow().figures().contains("bytes_from_clients 20\n"), "nor is it read as a request");
    });
}

#[rstest]
fn a_call_on_a_connection_that_its_node_closes_just_then_goes_out_on_another() {
    played(async {
        let desk = Rc::new(std::cell::RefCell::new(desk()));
        let node = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = node.local_addr().expect("an address").port();
        roster(&mut desk.borrow_mut(), "u", port, NodeState::Serving, None);
        let share = descriptors::shares(64, usize::MAX, 1).1;
        let _client = take(&mut desk.borrow_mut(), "q", &[1, 2]);
        let dial = send(&mut desk.borrow_mut(), "u", &["q.1"]).remove(0);
        tokio::task::spawn_local(nodes::run(desk.clone(), dial, share.clone()));
        let (mut first, _) = node.accept().await.expect("a connection");
        let mut frame = [0; 100];
        assert!(first.read(&mut frame).await.expect("a call") > 0);
        first.write_all(b"\0\0\0\x0fRq.1 done 1 -\nv").await.expect("written");
        while desk.borrow().calls.count_out() > 0 {
            tokio::task::yield_now().await;
        }
        // Nothing of the router runs in between: it does not know of the end as it decides.
        drop(first);
        assert!(send(&mut desk.borrow_mut(), "u", &["q.2"]).is_empty(), "a connection with places is there");
        let (mut second, _) = node.accept().await.expect("another connection");
        let count = second.read(&mut frame).await.expect("the call");
        assert!(frame[4..count].starts_with(b"Sq.2 "));
        let told = told(&mut desk.borrow_mut());
        assert!(!told.iter().any(|t| t.starts_with("q.2")), "it is still out: {told:?}");
    });
}

#[rstest]
fn a_frame_that_gets_no_further_ends_its_connection() {
    let desk = Rc::new(std::cell::RefCell::new(desk()));
    desk.borrow_mut().trunk.idle_timeout_s = 0.5;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = silent.local_addr().expect("an address").port();
        roster(&mut desk.borrow_mut(), "u", port, NodeState::Serving, None);
        // More than the system takes on its own; nobody reads.
        let client = Rc::new(Client::default());
        let part = Part::new("r.1".into(), 1, 1.0);
        let (not_after, text, parts) = (desk.borrow().clock.now() + 60.0, "x".repeat(1 << 25), vec![part]);
        let (of, coverage) = (client.clone(), None);
        let query = Query { id: "r".into(), vertical: 0, not_after, text, parts, client: of, coverage };
        desk.borrow_mut().take(&client, query).expect("taken");
        let dial = send(&mut desk.borrow_mut(), "u", &["r.1"]).remove(0);
        let share = descriptors::shares(64, usize::MAX, 1).1;
        let driver = tokio::task::spawn_local(nodes::run(desk.clone(), dial, share));
        let _open = silent.accept().await.expect("a connection");
        let ended = tokio::time::timeout(std::time::Duration::from_secs(4), driver).await;
        assert!(ended.is_ok(), "the driver ends by itself, before the call's time-out");
        assert!(told(&mut desk.borrow_mut()).iter().any(|t| t == "r.1 0 u Unreachable"));
    });
}

#[rstest]
fn who_never_sent_a_request_makes_room_before_who_did() {
    let mut all = Clients::default();
    let [kept, silent, half, busy] = [0.0, 1.0, 0.5, 0.0].map(|at| all.arrive(at).1);
    kept.used.set(true);
    busy.idle.set(None);
    half.half_sent.set(true);
    for goes in [&silent, &half, &kept] {
        assert!(!goes.is_dismissed());
        all.dismiss_oldest(2.0, 0.25);
        assert!(goes.is_dismissed());
    }
    all.dismiss_oldest(2.0, 0.25);
    assert!(!busy.is_dismissed());
}

#[rstest]
fn descriptors_come_back_when_their_holder_is_dropped() {
    let (clients, nodes) = descriptors::shares(32, usize::MAX, 1);
    let held: Vec<_> = std::iter::from_fn(|| clients.take()).collect();
    assert_eq!(held.len(), 8);
    assert!(nodes.take().is_some(), "clients cannot take the data nodes' share");
    drop(held);
    assert!(clients.take().is_some());
    let (few, _) = descriptors::shares(1024, 4 * 1024 * 1024, 1);
    let held: Vec<_> = std::iter::from_fn(|| few.take()).collect();
    assert!(held.len() < 20, "memory bounds half-sent requests too");
    let most = descriptors::shares(384, usize::MAX, 1).0;
    assert_eq!(std::iter::from_fn(|| most.take()).collect::<Vec<_>>().len(), 128, "a third");
}

#[rstest]
fn a_core_that_lacks_the_newest_list_begins_no_call_until_it_has_it() {
    let mut desk = desk();
    let (house, _inboxes) = House::new(100, Sharing { cores: 2, ..Sharing::default() }, 1.0);
    desk.house = house.clone();
    house.fence.looked(desk.clock.now());
    take(&mut desk, "q", &[0]);
    told(&mut desk);
    desk.start_attempt("q.0", "s", 1.0);
    let now = desk.clock.now();
    let line = desk.post(now).remove(0).line;
    // The lead has a list that says that `s` drains; this core has not taken it in yet.
    let number = house.fence.publish();
    let mut out = vec![];
    assert!(!desk.next_frame("s", line, &mut out) && out.is_empty());
    let address = "127.0.0.1:1".parse().expect("an address");
    let (name, cell, started) = ("s".to_string(), 0, None);
    desk.roster.adopt(&[Entry { name, address, cell, state: NodeState::Draining, started }]);
    desk.known = number;
    desk.roster_changed();
    assert!(!desk.next_frame("s", line, &mut out), "it was taken back");
    assert!(told(&mut desk).contains(&"q.0 0 s NeverSent".to_string()));
}

#[rstest]
fn a_list_taken_over_tells_what_changed_and_nothing_else() {
    let mut desk = desk();
    let same = desk.roster.entries();
    desk.roster.adopt(&same);
    assert!(told(&mut desk).is_empty());
    desk.roster.adopt(&same[1..]);
    assert_eq!(told(&mut desk), ["s 0 Removed"]);
    assert_eq!(desk.roster.nodes.len(), 1);
}

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

/// What must hold of calls, whatever the order: a model beside the desk.
struct Model {
    desk: Desk,
    clients: Vec<Rc<Client>>,
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
        let mut desk = desk();
        // Nothing is dropped a second time: one call that may have run is the last that may begin.
        desk.verticals
            .push(Class { effect: Idempotency::IdempotentWithKey { window_s: 0.0 }, ..Class::from("once") });
        Model {
            desk,
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
                let client = Rc::new(Client::default());
                let parts: Vec<Part> =
                    (0..2).map(|s| Part::new(format!("{id}.{s}").into(), s, 0.5)).collect();
                for part in &parts {
                    self.calls.insert(part.id.to_string(), 0);
                    if once {
                        self.deduplicated.insert(part.id.to_string());
                    }
                }
                let (not_after, text) = (self.desk.clock.now() + 60.0, "text".to_string());
                let (id, vertical, of, coverage) = (id.into(), usize::from(once), client.clone(), None);
                let query = Query { id, vertical, not_after, text, parts, client: of, coverage };
                self.desk.take(&client, query).expect("taken");
                self.clients.push(client);
            }
            Event::Call(part, s) => {
                let Some(part) = self.part(part) else { return };
                if !self.desk.queries.knows(&part) {
                    return;
                }
                let hop = self.calls.get_mut(&part).expect("a part");
                self.open.insert(format!("{part} {hop}"));
                *hop += 1;
                self.desk.start_attempt(&part, if s { "s" } else { "t" }, 60.0);
            }
            Event::Post => {
                let now = self.desk.clock.now();
                let dials = self.desk.post(now);
                self.lines.extend(dials.into_iter().map(|dial| (dial.node, dial.line)));
            }
            Event::Up(line) => {
                let Some((node, line)) = self.line(line) else { return };
                self.desk.roster.line(&node, line).into_iter().for_each(|line| line.up = true);
            }
            Event::Begin(line) => self.begin(line),
            Event::Written(line) => {
                let Some((node, line)) = self.line(line) else { return };
                let now = self.desk.clock.now();
                // A driver that finds its connection cut writes nothing more.
                if let Some(there) = self.desk.roster.line(&node, line).filter(|there| !there.cut) {
                    there.written(now);
                    self.written.extend(self.begun.remove(&line).unwrap_or_default());
                }
            }
            Event::Replied(line, part, ending) => {
                let (Some((node, line)), Some(part)) = (self.line(line), self.part(part)) else { return };
                let ending =
                    [AttemptOutcome::Success, AttemptOutcome::Error, AttemptOutcome::Rejected][ending];
                self.desk.replied(&node, line, &part, ending, "value");
            }
            Event::Spoilt(line) => {
                let Some((node, line)) = self.line(line) else { return };
                self.desk.spoilt(&node, line, None);
                self.begun.remove(&line);
            }
            Event::Lost(line) => {
                let Some((node, line)) = self.line(line) else { return };
                self.desk.line_lost(&node, line);
                self.begun.remove(&line);
            }
            Event::PutBack(line) => {
                let Some((node, line)) = self.line(line) else { return };
                // As its driver does: with a call next, nothing out, and something heard before.
                if self.desk.roster.line(&node, line).is_some_and(|line| line.is_unasked()) {
                    self.desk.put_back(&node, line);
                }
            }
            Event::Cancel(part, hop) => {
                let Some(part) = self.part(part) else { return };
                self.desk.cancel_attempt(&part, hop);
            }
            Event::Left(query) => {
                let number = self.desk.queries.number(&format!("q{}", query % self.clients.len().max(1)));
                number.into_iter().for_each(|number| self.desk.client_left(number));
            }
            Event::Reject(query) => {
                self.desk.reject(&format!("q{}", query % self.clients.len().max(1)), None)
            }
            Event::State(s, state) => {
                let (name, port) = if s { ("s", 1) } else { ("t", 2) };
                let state = [NodeState::Serving, NodeState::Draining, NodeState::Removed][state];
                roster(&mut self.desk, name, port, state, None);
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
        if self.desk.roster.line(&node, line).is_none_or(|line| line.cut) {
            return;
        }
        let fresh = self.desk.roster.line(&node, line).is_some_and(|line| !line.next_call().is_empty());
        if !self.desk.next_frame(&node, line, &mut out) || !fresh || out[4] != b'S' {
            return;
        }
        assert_eq!(
            self.desk.roster.nodes[&node].state,
            NodeState::Serving,
            "a drain is looked at as it begins"
        );
        let frame = String::from_utf8(out[5..].to_vec()).expect("text");
        for id in frame.split("text").filter_map(|part| Some(part.split_once(' ')?.0.to_string())) {
            assert!(self.desk.queries.knows(&id), "{id}: nothing of a query that is over");
            let ran = self.ran.entry(id.clone()).or_default();
            assert!(
                !self.deduplicated.contains(&id) || ran.is_empty(),
                "{id}: past its window, {ran:?} may have run"
            );
            let hops: Vec<usize> = (0..self.calls[&id])
                .filter(|hop| {
                    self.desk.calls.get(&(id.as_str().into(), *hop)).is_some_and(|c| c.line == Some(line))
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
        for told in told(&mut self.desk) {
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
        model.desk.line_lost(&node, line);
    }
    model.tell();
    assert_eq!(model.open.len(), 0, "calls without an end: {:?}", model.open);
    assert_eq!(model.desk.calls.count_out(), 0);
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
