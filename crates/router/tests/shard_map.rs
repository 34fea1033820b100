//! Stories of a core whose shards split, merge and move while parts are out: what its dispatcher sends, what it tells the
//! module, and what it answers.
use alderway::interface::*;
use alderway::policy::Policy;
use alderway_deployment as deployment;
use alderway_layouts::history::News;
use alderway_layouts::layout::{Change, Shard};
use alderway_layouts::{Key, Range, ShardId};
use alderway_router::io::discovery::Follower;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::{Dial, Dispatcher};
use alderway_router::state::queries::Query;
use alderway_router::state::shard_map::{QueryTarget, ShardMapConfig, ShardMapView};
use alderway_router::wire::{layout, query};
use alderway_telemetry::clock::Clock;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner, contextualize_config};
use rstest::rstest;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Default)]
struct Told(Vec<String>);

impl PolicyInput for Told {
    fn endpoint_list_replaced(&mut self) {}
    fn endpoint_updated(&mut self, _: &str, _: u32, _: NodeState, _: Option<f64>) {}
    fn endpoint_poll_failed(&mut self) {}
    fn query_arrived(&mut self, _: u64, id: &str, _: usize, _: &str, _: f64) {
        self.0.push(format!("query {id}"));
    }
    fn shard_request_added(&mut self, _: u64, id: &str, shard: u32, weight: f64) {
        self.0.push(format!("part {id} {shard} {weight:.2}"));
    }
    fn attempt_ended(&mut self, part: &str, hop: usize, node: &str, ending: AttemptOutcome, _: f64) {
        self.0.push(format!("{part} {hop} {node} {ending:?}"));
    }
    fn client_disconnected(&mut self, query: &str) {
        self.0.push(format!("left {query}"));
    }
    fn timer_fired(&mut self, _: u64) {}
}

impl StateTransfer for Told {
    fn set_shard_holders(&mut self, shard: u32, held: ShardHolders) {
        self.0.push(format!("shard {shard} {:?} without {:?}", held.replica_groups, held.excluded_nodes));
    }
    fn inherit_shard(&mut self, shard: u32, parents: &[u32]) {
        self.0.push(format!("shard {shard} follows {parents:?}"));
    }
    fn shard_retired(&mut self, shard: u32) {
        self.0.push(format!("shard {shard} over"));
    }
    fn shard_request_split(&mut self, _: u64, part: &str, into: &[(&str, u32, f64)]) {
        self.0.push(format!("{part} into {into:?}"));
    }
}

fn whole(version: u64, shards: &[(ShardId, Key, Key, &[u32])]) -> News {
    let shard = |&(id, from, to, holders): &(ShardId, Key, Key, &[u32])| {
        (id, Shard { keys: Range::new(from, to), holders: holders.iter().copied().collect() })
    };
    News::Whole { version, keys: 100, shards: shards.iter().map(shard).collect() }
}

fn change(dispatcher: &mut Dispatcher, version: u64, changes: Vec<Change>) {
    dispatcher.layout(News::Changes { version, after: version - 1, changes }).expect("a sound change");
}

fn split(parent: ShardId, children: &[(ShardId, Key)]) -> Change {
    Change::Split { parent, children: children.to_vec() }
}

fn moved(shard: ShardId, holders: &[u32]) -> Change {
    Change::Move { shard, holders: holders.iter().copied().collect() }
}

/// Nodes `n0` to `n5`, one a cell; shards 1 (keys 0 to 50) and 2 (50 to 100), both held by cells 0 and 1.
fn dispatcher(room: usize) -> Dispatcher {
    let trunk = deployment::ConnectionConfig {
        streams_per_connection: 8,
        max_batch: 8,
        dial_timeout_s: 0.25,
        idle_timeout_s: 15.0,
    };
    let room = deployment::AdmissionConfig {
        max_open: room,
        shard_count: 1,
        min_round_interval_s: 0.005,
        max_latency_objective_s: 1.0,
        max_deadline_s: 10.0,
        polls_endpoints: false,
    };
    let mut dispatcher = Dispatcher::new(Clock::default(), trunk, room, vec!["v".into()]);
    dispatcher.shard_map =
        Some(ShardMapView::new(ShardMapConfig { retired_shard_grace_s: 2.0, lagging_node_grace_s: 0.25 }));
    dispatcher.endpoints.begin_update(1, true);
    for cell in 0..6u32 {
        let at = ([127, 0, 0, 1], 1 + cell as u16).into();
        dispatcher.endpoints.update(&format!("n{cell}"), at, cell, NodeState::Serving, None);
    }
    assert!(!dispatcher.is_ready(), "no layout is known yet");
    dispatcher.layout(whole(1, &[(1, 0, 50, &[0, 1]), (2, 50, 100, &[0, 1])])).expect("sound");
    assert!(dispatcher.is_ready());
    told(&mut dispatcher);
    dispatcher
}

fn told(dispatcher: &mut Dispatcher) -> Vec<String> {
    let (mut told, now) = (Told::default(), dispatcher.clock.now());
    dispatcher.notify_policy(now, &mut told);
    told.0
}

fn ask(
    dispatcher: &mut Dispatcher,
    id: &str,
    targets: &[QueryTarget],
) -> Result<Rc<ClientConnection>, &'static str> {
    let client = Rc::new(ClientConnection::default());
    let (parts, coverage) = dispatcher
        .shard_map
        .as_ref()
        .expect("layouts")
        .requests_for(id, targets)
        .map_err(|refusal| refusal.1)?;
    let (not_after, text, of) = (dispatcher.clock.now() + 5.0, "text".to_string(), client.clone());
    let coverage = Some(coverage);
    dispatcher
        .open_query(
            &client,
            Query {
                id: id.into(),
                class: 0,
                not_after_s: not_after,
                text,
                requests: parts,
                client: of,
                coverage,
            },
        )
        .map_err(|refusal| refusal.1)?;
    Ok(client)
}

fn take(dispatcher: &mut Dispatcher, from: Key, to: Key) -> Rc<ClientConnection> {
    ask(dispatcher, "q", &[(None, Some((from, to)), 1.0)]).expect("taken")
}

fn send(dispatcher: &mut Dispatcher, node: &str, parts: &[&str]) -> Dial {
    parts.iter().for_each(|part| dispatcher.start_attempt(part, node, 5.0));
    let now = dispatcher.clock.now();
    dispatcher.flush_attempts(now).remove(0)
}

fn write(dispatcher: &mut Dispatcher, dial: &Dial) -> String {
    let mut out = vec![];
    assert!(dispatcher.next_frame(&dial.node, dial.connection, &mut out));
    let now = dispatcher.clock.now();
    dispatcher.endpoints.connection(&dial.node, dial.connection).expect("a connection").frame_written(now);
    String::from_utf8_lossy(&out[4..]).to_string()
}

fn body(client: &ClientConnection) -> String {
    let text = String::from_utf8_lossy(&client.output.borrow()).to_string();
    text.split("\r\n\r\n").nth(1).unwrap_or_default().to_string()
}

#[rstest]
fn keys_are_asked_of_the_shards_that_cover_them_and_each_weighs_the_same() {
    let mut dispatcher = dispatcher(100);
    let client = take(&mut dispatcher, 40, 60);
    assert_eq!(told(&mut dispatcher), ["query q", "part q.1.40-50 1 0.50", "part q.2.50-60 2 0.50"]);
    let dial = send(&mut dispatcher, "n0", &["q.1.40-50", "q.2.50-60"]);
    let text = write(&mut dispatcher, &dial);
    assert!(text.starts_with("Sq.1.40-50 1 d=") && text.contains(",v=1,k=40-50 4\ntext"), "{text}");
    for (part, keys) in [("q.1.40-50", "keys=40-50"), ("q.2.50-60", "load=3,keys=50-60")] {
        assert!(dispatcher.reply_received("n0", dial.connection, part, AttemptOutcome::Success, keys, "v"));
    }
    dispatcher.answer("q", true);
    assert_eq!(
        body(&client),
        r#"{"whole":true,"results":[{"partition":1,"keys":[40,50],"value":"v"},{"partition":2,"keys":[50,60],"value":"v"}]}"#
    );
}

#[rstest]
#[case::no_such_shard(&[(Some(9), None, 1.0)], "`partition` is no shard here")]
#[case::beyond_the_last_key(&[(None, Some((90, 101)), 1.0)], "`keys` are none here")]
#[case::no_keys_at_all(&[(None, Some((7, 7)), 1.0)], "`keys` are none here")]
#[case::backwards(&[(None, Some((9, 7)), 1.0)], "`keys` are none here")]
#[case::twice(&[(None, Some((0, 10)), 0.5), (None, Some((9, 20)), 0.5)], "`keys` stand twice")]
#[case::a_shard_and_its_keys(&[(Some(1), None, 0.5), (None, Some((9, 20)), 0.5)], "`keys` stand twice")]
#[case::both(&[(Some(1), Some((0, 10)), 1.0)], "a target names either `partition` or `keys`")]
fn a_query_for_what_is_not_there_is_refused(#[case] targets: &[QueryTarget], #[case] why: &str) {
    assert_eq!(ask(&mut dispatcher(100), "q", targets).err(), Some(why));
}

#[rstest]
fn a_part_that_nobody_holds_whole_is_divided_and_its_late_answer_takes_the_place_of_its_heirs() {
    let mut dispatcher = dispatcher(100);
    let client = take(&mut dispatcher, 0, 50);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &old);
    told(&mut dispatcher);
    // Split alone, it goes on as it is: the same cells hold all of it.
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)])]);
    assert!(!told(&mut dispatcher).iter().any(|t| t.contains("into")));
    change(&mut dispatcher, 3, vec![moved(3, &[2]), moved(4, &[3])]);
    let told_now = told(&mut dispatcher);
    assert!(
        told_now.contains(&r#"q.1.0-50 into [("q.3.0-20", 3, 0.4), ("q.4.20-50", 4, 0.6)]"#.to_string()),
        "{told_now:?}"
    );
    // A copy for one heir: its number follows on the parent's call.
    let new = send(&mut dispatcher, "n2", &["q.3.0-20"]);
    write(&mut dispatcher, &new);
    assert!(dispatcher.reply_received(
        "n2",
        new.connection,
        "q.3.0-20",
        AttemptOutcome::Success,
        "keys=0-20",
        "new"
    ));
    assert_eq!(told(&mut dispatcher), ["q.3.0-20 1 n2 Success"]);
    assert!(dispatcher.reply_received(
        "n0",
        old.connection,
        "q.1.0-50",
        AttemptOutcome::Success,
        "keys=0-50",
        "old"
    ));
    assert_eq!(told(&mut dispatcher), ["q.3.0-20 0 n0 Success", "q.4.20-50 0 n0 Success"]);
    dispatcher.answer("q", true);
    assert_eq!(body(&client), r#"{"whole":true,"results":[{"partition":1,"keys":[0,50],"value":"old"}]}"#);
    // Nothing of it is left once the shard's time is over.
    told(&mut dispatcher);
    let shard_map = dispatcher.shard_map.as_ref().expect("layouts");
    assert!(shard_map.families.is_empty());
    assert_eq!(shard_map.history().expect("known").kept(), (1, 0, 0));
}

/// Guards against a part that only a node which hangs holds whole, while others hold each piece of it.
#[rstest]
fn a_part_is_divided_though_one_cell_still_holds_all_of_it() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &old);
    told(&mut dispatcher);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[0, 2]), moved(4, &[0, 3])]);
    let told = told(&mut dispatcher);
    assert!(told.iter().any(|t| t.starts_with("q.1.0-50 into")), "{told:?}");
    assert!(
        told.contains(&"shard 3 [0, 2] without {}".into())
            && told.contains(&"shard 4 [0, 3] without {}".into())
    );
}

#[rstest]
fn a_call_shared_by_heirs_is_given_up_only_when_none_waits() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &old);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[2]), moved(4, &[3])]);
    told(&mut dispatcher);
    dispatcher.cancel_attempt("q.3.0-20", 0);
    assert_eq!(told(&mut dispatcher), ["q.3.0-20 0 n0 Cancelled"]);
    assert_eq!(dispatcher.attempts.in_flight_count(), 1, "the other heir waits for it");
    dispatcher.cancel_attempt("q.4.20-50", 0);
    assert_eq!(told(&mut dispatcher), ["q.4.20-50 0 n0 Cancelled"]);
    assert_eq!(
        (dispatcher.attempts.in_flight_count(), write(&mut dispatcher, &old).as_str()),
        (0, "Cq.1.0-50")
    );
}

#[rstest]
fn a_failed_call_of_the_parent_is_told_to_each_heir() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &old);
    // It ends, untold yet, before the change comes.
    dispatcher.connection_lost("n0", old.connection);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[2]), moved(4, &[3])]);
    let told = told(&mut dispatcher);
    assert!(
        told.ends_with(&["q.3.0-20 0 n0 ConnectionReset".into(), "q.4.20-50 0 n0 ConnectionReset".into()]),
        "{told:?}"
    );
}

#[rstest]
fn a_query_that_the_module_has_not_heard_of_is_told_as_it_is_now() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 10, 30);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)])]);
    let told = told(&mut dispatcher);
    let parts: Vec<&String> = told.iter().filter(|t| t.starts_with("part") || t.contains("into")).collect();
    assert_eq!(parts, ["part q.3.10-20 3 0.50", "part q.4.20-30 4 0.50"]);
}

#[rstest]
fn a_call_that_has_not_begun_is_taken_back_from_a_node_that_lost_the_shard() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let dial = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    told(&mut dispatcher);
    change(&mut dispatcher, 2, vec![moved(1, &[1, 2])]);
    assert_eq!(told(&mut dispatcher), ["shard 1 [1, 2] without {}", "q.1.0-50 0 n0 NeverSent"]);
    assert!(!dispatcher.next_frame("n0", dial.connection, &mut vec![]));
}

#[rstest]
#[case::not_mine(AttemptOutcome::Rejected, "moved=7", AttemptOutcome::ShardMoved)]
#[case::full_as_ever(AttemptOutcome::Rejected, "-", AttemptOutcome::Rejected)]
#[case::other_keys(AttemptOutcome::Success, "keys=0-40", AttemptOutcome::Error)]
#[case::keys_in_noise(AttemptOutcome::Success, "keys=0", AttemptOutcome::Error)]
#[case::a_node_that_knows_no_layouts(AttemptOutcome::Success, "inflight=7", AttemptOutcome::Success)]
fn what_a_node_says_of_the_layout_counts(
    #[case] ending: AttemptOutcome,
    #[case] report: &str,
    #[case] told_as: AttemptOutcome,
) {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let dial = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    write(&mut dispatcher, &dial);
    told(&mut dispatcher);
    assert!(dispatcher.reply_received("n0", dial.connection, "q.1.0-50", ending, report, "v"));
    let told = told(&mut dispatcher);
    assert!(told.contains(&format!("q.1.0-50 0 n0 {told_as:?}")), "{told:?}");
    let left_out = told.contains(&r#"shard 1 [0, 1] without {"n0"}"#.to_string());
    assert_eq!(left_out, told_as == AttemptOutcome::ShardMoved, "{told:?}");
}

#[rstest]
fn a_node_that_knows_no_layouts_cannot_answer_for_a_piece_of_its_shard() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 20);
    let dial = send(&mut dispatcher, "n0", &["q.1.0-20"]);
    write(&mut dispatcher, &dial);
    dispatcher.reply_received(
        "n0",
        dial.connection,
        "q.1.0-20",
        AttemptOutcome::Success,
        "-",
        "of all its keys",
    );
    assert!(told(&mut dispatcher).contains(&"q.1.0-20 0 n0 Error".into()));
}

#[rstest]
fn a_client_that_asked_for_a_shard_gets_one_value_for_it_or_none() {
    let mut dispatcher = dispatcher(100);
    let client = ask(&mut dispatcher, "q", &[(Some(1), None, 1.0)]).expect("taken");
    let dial = send(&mut dispatcher, "n0", &["q.1"]);
    assert!(write(&mut dispatcher, &dial).contains(",k=0-50 "));
    told(&mut dispatcher);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[2]), moved(4, &[3])]);
    assert!(!told(&mut dispatcher).iter().any(|t| t.contains("into")), "pieces would be of no use to it");
    dispatcher.reply_received("n0", dial.connection, "q.1", AttemptOutcome::Success, "keys=0-50", "v");
    dispatcher.answer("q", true);
    assert_eq!(body(&client), r#"{"whole":true,"results":[{"partition":1,"keys":[0,50],"value":"v"}]}"#);
    assert_eq!(
        ask(&mut dispatcher, "r", &[(Some(1), None, 1.0)]).err(),
        Some("`partition` is no shard here")
    );
}

#[rstest]
fn without_room_a_part_stays_whole_and_its_query_still_ends() {
    // One query, one part: no room for three heirs.
    let mut dispatcher = dispatcher(2);
    take(&mut dispatcher, 0, 50);
    told(&mut dispatcher);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20), (5, 30)])]);
    assert!(!told(&mut dispatcher).iter().any(|t| t.contains("into")));
    assert!(dispatcher.metrics_text().contains("divisions_without_room 1"));
    dispatcher.reject("q", None);
    assert_eq!((dispatcher.queries.reserved_count(), dispatcher.shared.capacity.free()), (0, 2));
}

#[rstest]
fn room_and_records_of_divided_parts_are_given_back_with_their_query() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 100);
    let old = send(&mut dispatcher, "n0", &["q.1.0-50", "q.2.50-100"]);
    write(&mut dispatcher, &old);
    change(&mut dispatcher, 2, vec![split(1, &[(3, 0), (4, 20)]), moved(3, &[2]), moved(4, &[3])]);
    change(&mut dispatcher, 3, vec![split(4, &[(5, 20), (6, 30)]), moved(5, &[2]), moved(6, &[0, 1])]);
    let number = dispatcher.queries.number("q").expect("open");
    dispatcher.client_disconnected(number);
    told(&mut dispatcher);
    let shard_map = dispatcher.shard_map.as_ref().expect("layouts");
    assert!(shard_map.families.is_empty());
    assert_eq!(shard_map.history().expect("known").kept().1, 0);
    assert_eq!((dispatcher.attempts.in_flight_count(), dispatcher.shared.capacity.free()), (0, 100));
}

#[rstest]
fn a_module_that_starts_anew_is_told_every_shard() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    dispatcher.restart_policy();
    let told = told(&mut dispatcher);
    assert!(
        told.contains(&"shard 1 [0, 1] without {}".into())
            && told.contains(&"shard 2 [0, 1] without {}".into())
    );
}

#[rstest]
fn faulty_news_change_nothing() {
    let mut dispatcher = dispatcher(100);
    let hole = whole(2, &[(1, 0, 50, &[0, 1])]);
    assert_eq!(dispatcher.layout(hole).expect_err("a hole").to_string(), "no shard covers key 50");
    let unknown = News::Changes { version: 3, after: 2, changes: vec![moved(1, &[4])] };
    assert!(dispatcher.layout(unknown).is_err());
    assert_eq!(dispatcher.layout_since(), Some(1));
    assert!(told(&mut dispatcher).is_empty());
}

const CHANGES: &str = r#"{"index":4,"snapshot":false,"endpoints":[],"layout":{"version":9,"after":8,"changes":[
    {"into":[{"shard":7,"from":0},{"from":32,"shard":8}],"split":1,"new":[1]},{"merge":[7,8],"as":9},
    {"move":9,"holders":[1,2]}]}}"#;

#[rstest]
fn news_of_the_layout_are_read_in_any_order() {
    let news = layout::news(CHANGES.as_bytes()).expect("readable").expect("there");
    let merge = Change::Merge { parents: vec![7, 8], child: 9 };
    let changes = vec![split(1, &[(7, 0), (8, 32)]), merge, moved(9, &[1, 2])];
    assert_eq!(news, News::Changes { version: 9, after: 8, changes });
    let text = r#"{"layout":{"keys":10,"shards":[{"shard":1,"from":0,"to":10,"holders":[3]}],"version":2}}"#;
    let Some(News::Whole { version: 2, keys: 10, shards }) = layout::news(text.as_bytes()).expect("readable")
    else {
        panic!("not whole")
    };
    assert_eq!(shards[0].1.keys, Range::new(0, 10));
    assert_eq!(layout::news(br#"{"index":4,"snapshot":false,"endpoints":[]}"#), Ok(None));
}

#[rstest]
#[case::no_version(r#"{"layout":{"after":1,"changes":[]}}"#, "a layout without `version`")]
#[case::neither(r#"{"layout":{"version":1}}"#, "a layout has either `shards` or `changes`")]
#[case::no_keys(r#"{"layout":{"version":1,"shards":[]}}"#, "a layout without `keys`")]
#[case::no_end(
    r#"{"layout":{"version":1,"keys":9,"shards":[{"shard":1,"from":0,"holders":[1]}]}}"#,
    "a layout's entry without `to`"
)]
#[case::two_in_one(
    r#"{"layout":{"version":2,"after":1,"changes":[{"split":1,"move":2}]}}"#,
    "a change is one of `split`, `merge` and `move`"
)]
#[case::too_large(
    r#"{"layout":{"version":2,"after":1,"changes":[{"move":4294967296,"holders":[1]}]}}"#,
    "a number in a layout is too large"
)]
#[case::twice(
    r#"{"layout":{"version":1,"keys":1,"shards":[]},"layout":{"version":1,"keys":1,"shards":[]}}"#,
    "`layout` stands twice"
)]
fn news_that_are_not_in_form_are_refused(#[case] text: &str, #[case] why: &str) {
    assert_eq!(layout::news(text.as_bytes()), Err(why));
}

/// Half a file, and any other piece of one, is an error and never a panic or half of the news.
#[rstest]
fn news_cut_anywhere_are_refused() {
    for cut in 0..CHANGES.len() {
        assert!(layout::news(&CHANGES.as_bytes()[..cut]).is_err(), "cut at {cut}");
    }
}

#[rstest]
#[case::three_ends("[1,2,3]")]
#[case::one_end("[1]")]
#[case::too_large("[0,4294967296]")]
#[case::negative("[-1,4]")]
#[case::words(r#"["a","b"]"#)]
fn keys_that_are_no_range_are_refused(#[case] keys: &str) {
    let body = format!(r#"{{"targets":[{{"keys":{keys},"share":1}}],"query":"x"}}"#);
    assert!(query::targets(body.as_bytes(), true, |_, _, _| Ok(())).is_err());
    // Where the ring is in force the word means nothing, as any that is not known.
    let body = body.replace("\"share\"", "\"partition\":1,\"share\"");
    assert!(query::targets(body.as_bytes(), false, |_, _, _| Ok(())).is_ok());
}

/// The dispatcher as the module writes to it.
struct Pen<'a>(&'a RefCell<Dispatcher>);

impl DecisionSink for Pen<'_> {
    fn start_attempt(&mut self, part: &str, node: &str, limit: f64) {
        self.0.borrow_mut().start_attempt(part, node, limit);
    }
    fn cancel_attempt(&mut self, part: &str, hop: usize) {
        self.0.borrow_mut().cancel_attempt(part, hop);
    }
    fn answer(&mut self, query: &str, whole: bool) {
        self.0.borrow_mut().answer(query, whole);
    }
    fn reject(&mut self, query: &str, come_back: Option<f64>) {
        self.0.borrow_mut().reject(query, come_back);
    }
    fn fail(&mut self, query: &str) {
        self.0.borrow_mut().fail(query);
    }
    fn set_timer(&mut self, span: f64, tag: u64) {
        DecisionSink::set_timer(&mut *self.0.borrow_mut(), span, tag);
    }
    fn poll_endpoints(&mut self) {}
    fn log(&mut self, _: &str) {}
}

fn module(effect: Idempotency) -> Policy {
    let vertical = QueryClass {
        latency_objective_s: 2.0,
        deadline_s: 6.0,
        idempotency: effect,
        priority_weight: 1.0,
        late_weight_fraction: 0.3,
        complete_fraction: 1.0,
        minimum_fraction: 0.5,
        second_phase_requests: 0,
    };
    let placement = ShardPlacement {
        replica_groups: 6,
        groups_per_shard: 2,
        max_batch: 8,
        attempt_overhead_s: 0.0,
        explicit_holders: None,
    };
    let allowance = RouterCapabilities {
        can_cancel: true,
        can_hedge: true,
        max_attempts: 4,
        max_retry_after_s: None,
        polls_endpoints: false,
        over_quota_weight_fraction: 0.1,
    };
    let verticals = vec![vertical];
    Policy::new(
        7,
        PolicyConfig {
            router_count: 1,
            query_classes: verticals,
            placement,
            capabilities: allowance,
            ..PolicyConfig::default()
        },
    )
}

/// A call whose frame has gone out and that nobody has answered: node, connection, part, keys.
type Out = (String, u64, String, Range);

/// One core with its module and data nodes that a test plays.
struct World {
    dispatcher: RefCell<Dispatcher>,
    router: Policy,
    /// How far the module's time is ahead of the clock.
    ahead: f64,
    out: Vec<Out>,
    lines: Vec<(String, u64)>,
    clients: Vec<(Rc<ClientConnection>, Range, bool)>,
    next: ShardId,
    /// Keys that were sent for, by query, where each may be had once.
    ran: Vec<(String, Range)>,
}

impl World {
    fn new(effect: Idempotency) -> World {
        let mut dispatcher = dispatcher(10_000);
        // Nothing is told yet.
        dispatcher.restart_policy();
        World {
            dispatcher: RefCell::new(dispatcher),
            router: module(effect),
            ahead: 0.0,
            out: vec![],
            lines: vec![],
            clients: vec![],
            next: 10,
            ran: vec![],
        }
    }

    fn round(&mut self) {
        let now = self.dispatcher.borrow().clock.now() + self.ahead;
        let dispatcher = &self.dispatcher;
        let tell = |intake: &mut dyn PolicyInput| {
            dispatcher.borrow_mut().notify_policy(now, intake);
            Ok::<(), ()>(())
        };
        self.router.round(now, tell, &mut Pen(dispatcher)).expect("a round");
        self.lines.extend(
            self.dispatcher
                .borrow_mut()
                .flush_attempts(now)
                .into_iter()
                .map(|dial| (dial.node, dial.connection)),
        );
        for (node, line) in &self.lines {
            let mut frame = vec![];
            while self.dispatcher.borrow_mut().next_frame(node, *line, &mut frame) {
                let now = self.dispatcher.borrow().clock.now();
                if let Some(line) = self.dispatcher.borrow_mut().endpoints.connection(node, *line) {
                    (line.is_up, _) = (true, line.frame_written(now));
                }
                let text = String::from_utf8(frame.split_off(4)).expect("text");
                frame.clear();
                let Some(rest) = text.strip_prefix('S') else {
                    self.out.retain(|out| text[1..] != out.2 || out.1 != *line);
                    continue;
                };
                for part in rest.split("text").filter(|part| !part.is_empty()) {
                    let mut words = part.split([' ', ',']);
                    let id = words.next().expect("an id").to_string();
                    let keys = words.find_map(|word| word.strip_prefix("k=")?.split_once('-')).expect("keys");
                    let keys = Range::new(keys.0.parse().expect("a key"), keys.1.parse().expect("a key"));
                    self.ran.push((id.split('.').next().expect("a query").to_string(), keys));
                    self.out.push((node.clone(), *line, id, keys));
                }
            }
        }
    }

    /// A call that is out ends, in one way or another.
    fn reply(&mut self, which: usize, how: u8) {
        if self.out.is_empty() {
            return;
        }
        let (node, line, part, keys) = self.out.swap_remove(which % self.out.len());
        let mut dispatcher = self.dispatcher.borrow_mut();
        let (ending, report, value) = match how % 8 {
            0 => (AttemptOutcome::Rejected, "moved=99".to_string(), String::new()),
            1 => (AttemptOutcome::Rejected, "moved=1".to_string(), String::new()),
            2 => (AttemptOutcome::Error, "-".to_string(), String::new()),
            3 => {
                drop(dispatcher);
                self.out.retain(|out| out.1 != line);
                return self.dispatcher.borrow_mut().connection_lost(&node, line);
            }
            _ => {
                let value = format!("{}-{}", keys.from, keys.to);
                (AttemptOutcome::Success, format!("keys={value}"), value)
            }
        };
        if ending == AttemptOutcome::Rejected {
            let query = part.split('.').next().expect("a query");
            if let Some(at) = self.ran.iter().rposition(|ran| *ran == (query.to_string(), keys)) {
                self.ran.remove(at);
            }
        }
        assert!(
            dispatcher.reply_received(&node, line, &part, ending, &report, &value),
            "an answer that was not asked for"
        );
    }

    fn change(&mut self, kind: u8, at: Key) {
        let layout =
            self.dispatcher.borrow().shard_map.as_ref().and_then(|g| Some(g.history()?.newest().clone()));
        let layout = layout.expect("known");
        let shard = layout.of(at % 100).expect("covered");
        let keys = layout.shard(shard).expect("known").keys;
        let cells = |n: u32| moved(shard, &[n % 6, (n / 6) % 6]).clone();
        self.next += 2;
        let (a, b) = (self.next, self.next + 1);
        let changes = match kind % 4 {
            0 if keys.keys() > 1 => vec![split(shard, &[(a, keys.from), (b, keys.from + 1)])],
            1 if keys.keys() > 1 => vec![
                split(shard, &[(a, keys.from), (b, keys.to - 1)]),
                moved(a, &[at % 6]),
                moved(b, &[(at + 1) % 6, (at + 2) % 6]),
            ],
            2 if keys.to < 100 => {
                let neighbour = layout.of(keys.to).expect("covered");
                vec![
                    moved(shard, &[at % 6]),
                    moved(neighbour, &[at % 6]),
                    Change::Merge { parents: vec![shard, neighbour], child: a },
                ]
            }
            _ => vec![cells(at)],
        };
        change(&mut self.dispatcher.borrow_mut(), layout.version() + 1, changes);
    }

    fn query(&mut self, n: usize, from: Key, keys: Key) {
        let to = (from + keys).min(100);
        let client =
            ask(&mut self.dispatcher.borrow_mut(), &format!("q{n}"), &[(None, Some((from, to)), 1.0)]);
        self.clients.push((client.expect("taken"), Range::new(from, to), false));
    }
}

/// What must have happened over all cases, or they have shown nothing.
const NAMES: [&str; 5] = [
    "queries_merged{v}",
    "queries_merged_in_part{v}",
    "parts_divided",
    "parts_disowned",
    "leaf_calls_sent{copy}",
];

fn program_figures(dispatcher: &Dispatcher) -> BTreeMap<String, u64> {
    let text = dispatcher.metrics_text();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines.filter_map(|(name, figure)| Some((name.to_string(), figure.parse().ok()?))).collect()
}

/// Whatever order queries, changes, answers, failures and time come in: each query has one answer, in which every key
/// counts once and with its own value; what may have had an effect is not asked for again; and in the end nothing is
/// held.
#[rstest]
fn any_order_of_changes_and_answers_ends_in_one_right_answer_for_each_query() {
    let config = contextualize_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let steps = prop::collection::vec((0..10u8, any::<u8>(), 0..100u32, 1..60u32), 20..120);
    let totals: [Cell<u64>; NAMES.len()] = Default::default();
    let played = TestRunner::new(config).run(&(steps, any::<bool>()), |(steps, once)| {
        let mut world = World::new(if once { Idempotency::NonIdempotent } else { Idempotency::Idempotent });
        for (n, (step, kind, at, keys)) in steps.into_iter().enumerate() {
            match step {
                0..2 => world.query(n, at, keys),
                2..4 => world.change(kind, at),
                4..7 => world.reply(at as usize, kind),
                7..9 => world.ahead += f64::from(kind) / 350.0,
                _ => {
                    let open = world
                        .clients
                        .iter_mut()
                        .filter(|c| c.0.open_query.get().is_some())
                        .nth(at as usize % 8);
                    if let Some(client) = open.filter(|_| kind % 4 == 0) {
                        client.2 = true;
                        let number = client.0.open_query.get().expect("open");
                        world.dispatcher.borrow_mut().client_disconnected(number);
                    }
                }
            }
            world.round();
        }
        for _ in 0..40 {
            world.ahead += 0.3;
            world.reply(0, 4);
            world.round();
        }
        for (client, asked, left) in &world.clients {
            let text = String::from_utf8_lossy(&client.output.borrow()).to_string();
            prop_assert_eq!(text.matches("HTTP/1.1 ").count(), usize::from(!left), "{}", text);
            if !text.starts_with("HTTP/1.1 200") {
                continue;
            }
            let body: serde_json::Value = serde_json::from_str(&body(client)).expect("readable");
            let mut counted = std::collections::BTreeSet::new();
            for result in body["results"].as_array().expect("results") {
                let ends = [0, 1].map(|at| result["keys"][at].as_u64().expect("a key") as Key);
                prop_assert_eq!(result["value"].as_str(), Some(&*format!("{}-{}", ends[0], ends[1])));
                for key in ends[0]..ends[1] {
                    prop_assert!(
                        asked.covers(Range::new(key, key + 1)) && counted.insert(key),
                        "key {}",
                        key
                    );
                }
            }
            let share = counted.len() as f64 / asked.keys() as f64;
            prop_assert!(share >= 0.4999, "under the floor: {}", share);
            prop_assert_eq!(body["whole"].as_bool(), Some(counted.len() as u64 == asked.keys()));
        }
        if once {
            for (n, (query, keys)) in world.ran.iter().enumerate() {
                let again = world.ran[..n].iter().any(|(other, ran)| other == query && ran.meets(*keys));
                prop_assert!(!again, "{} ran again for {:?}", query, keys);
            }
        }
        let dispatcher = world.dispatcher.borrow();
        let counted = program_figures(&dispatcher);
        for (total, name) in totals.iter().zip(NAMES) {
            total.set(total.get() + counted.get(name).copied().unwrap_or(0));
        }
        prop_assert_eq!(
            (
                dispatcher.queries.reserved_count(),
                dispatcher.attempts.in_flight_count(),
                dispatcher.shared.capacity.free()
            ),
            (0, 0, 10_000)
        );
        let shard_map = dispatcher.shard_map.as_ref().expect("layouts");
        prop_assert!(shard_map.families.is_empty());
        prop_assert_eq!(shard_map.history().expect("known").kept().1, 0);
        Ok(())
    });
    played.unwrap_or_else(|why| panic!("{why}"));
    for (total, name) in totals.iter().zip(NAMES) {
        eprintln!("{name} {}", total.get());
        assert!(total.get() >= 10, "{name} {} times: the cases show too little", total.get());
    }
}
