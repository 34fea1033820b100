//! Shards that split, merge and move while queries run, over sockets: `alderway serve` beside stand-ins of data nodes and
//! discovery that change layout. Stories wait for what the program does or says, never for a span that it might miss.
mod common;
use alderway_lab::agent::{Agent, Entry};
use alderway_lab::fleet::{Fleet, Order};
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use alderway_lab::shuffle::{self, Run};
use alderway_lab::{Clock, inventory};
use alderway_layouts::layout::{Change, Layout, Shard};
use alderway_layouts::{Key, KeyRange, ShardId};
use common::{Client, logged, until};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::sync::atomic::Ordering::Relaxed;

/// A router that follows layouts, with four data nodes, one a cell.
struct Place {
    clock: Clock,
    fleet: Fleet,
    agent: Agent,
    entries: Vec<Entry>,
    program: Program,
    layout: Layout,
    setting: Setting,
}

fn layout(shards: &[(ShardId, Key, Key, &[u32])]) -> Layout {
    let shard = |&(id, from, to, holders): &(ShardId, Key, Key, &[u32])| {
        (id, Shard { keys: KeyRange::new(from, to), holders: holders.iter().copied().collect() })
    };
    Layout::new(1, 100, shards.iter().map(shard).collect()).expect("sound")
}

fn place(cores: usize, shards: &[(ShardId, Key, Key, &[u32])]) -> Place {
    let (clock, make, layout) =
        (Clock::default(), Make { service: 0.001, exponential: false, ..Make::default() }, layout(shards));
    let fleet = Fleet::start(4, 1, &make, 7, clock, false).expect("data nodes");
    let entries = fleet.entries(|n| n);
    let agent = Agent::start(entries.clone()).expect("discovery");
    agent.layout(inventory::whole(&layout), inventory::whole(&layout));
    let operator = Some(format!("cores(count = {cores})\nlayouts()\n"));
    let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator };
    let setting = Setting { slo_ms: 4000, deadline_ms: 8000, ..Setting::default() };
    let program = Program::start(&build, &setting.configuration(agent.address, &entries));
    let program = program.unwrap_or_else(|why| panic!("{why}"));
    if cores > 1 {
        until(&program, "all cores serve", |c| c["cores_serving"] == cores as u64);
    }
    let place = Place { clock, fleet, agent, entries, program, layout, setting };
    place.nodes_follow();
    place
}

impl Place {
    fn nodes_follow(&self) {
        for (n, node) in self.fleet.nodes.iter().enumerate() {
            node.tell(Order::Layout(n as u32, self.layout.clone()));
        }
    }

    /// The next version; the router hears of it.
    fn change(&mut self, changes: &[Change]) {
        self.prepare(changes);
        self.router_follows(changes);
    }

    /// The next version, which nobody has heard of yet.
    fn prepare(&mut self, changes: &[Change]) {
        self.layout = self.layout.with_changes(self.layout.version() + 1, changes).expect("sound");
    }

    fn router_follows(&self, changes: &[Change]) {
        let version = self.layout.version();
        let told = inventory::changes(version, version - 1, changes);
        self.agent.layout(told, inventory::whole(&self.layout));
    }

    fn logged(&self, what: &str) {
        logged(&self.program, what);
    }

    fn parts(&self, node: usize) -> u64 {
        self.fleet.nodes[node].met.parts.load(Relaxed)
    }

    /// Waits until a node has met so many parts.
    fn asked(&self, node: usize, parts: u64) {
        until(&self.program, "a part has come", |_| self.parts(node) >= parts);
    }
}

fn moved(shard: ShardId, holders: &[u32]) -> Change {
    Change::Move { shard, holders: holders.iter().copied().collect() }
}

/// A query for keys from one to below another, and its answer checked key by key.
fn right(client: &mut Client, id: &str, from: Key, to: Key) {
    client.ask(id, 6000, &format!(r#"{{"keys":[{from},{to}],"share":1}}"#));
    checked(client, id, from, to);
}

fn checked(client: &mut Client, id: &str, from: Key, to: Key) {
    let (status, body) = client.answer();
    assert_eq!(status, 200, "{body}");
    let (faults, keys) = inventory::check(body.as_bytes(), &[KeyRange::new(from, to)], id);
    assert_eq!((faults, keys), (Default::default(), u64::from(to - from)), "{body}");
}

#[rstest]
#[case::one_core(1, "idempotent", 11)]
#[case::two_cores(2, "idempotent", 12)]
#[case::to_run_once(1, "at_most_once", 13)]
fn answers_stay_right_while_shards_split_merge_and_move_and_nodes_fail(
    #[case] cores: usize,
    #[case] effect: &'static str,
    #[case] seed: u64,
) {
    let operator = Some(format!("cores(count = {cores})\nlayouts()\n"));
    let run = Run {
        build: Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator },
        nodes: 6,
        keys: 1024,
        shards: 16,
        reach: 2,
        rate: 100.0,
        span: 3.0,
        every: Some(0.2),
        only_moves: false,
        late: 0.2,
        faults: true,
        newcomer: true,
        floor: 0.5,
        service: 0.002,
        node_cores: 4,
        effect,
        fault: None,
        range: 64,
    };
    let report = shuffle::play(&run, seed).unwrap_or_else(|why| panic!("{why}"));
    let outcome = &report.outcome;
    assert!(outcome.merged() > 50 && report.versions > 5, "{:?}", outcome.statuses);
    assert_eq!((outcome.wrong, outcome.double, outcome.missing), (0, 0, 0));
    assert_eq!((outcome.lost, outcome.late, report.again), (0, 0, 0), "{:?}", outcome.statuses);
    assert!(!report.counters.contains_key("module_failures"));
}

/// An old part's answer comes after that of one of its successors. Counted by keys each key counts once; counted by
/// answers, as a router built for tests can be told to, the check must find it out.
#[rstest]
#[case::by_keys(None)]
#[case::by_answers(Some("count-by-answers"))]
fn a_late_answer_of_the_old_part_counts_in_place_of_its_successors(#[case] fault: Option<&str>) {
    let mut place = place(1, &[(1, 0, 100, &[0])]);
    fault.iter().for_each(|fault| place.program.fault(fault, 1));
    let mut client = Client::to(&place.program);
    place.fleet.nodes[0].set(Fault::Paused);
    place.fleet.nodes[2].set(Fault::Paused);
    client.ask("q", 6000, r#"{"keys":[0,100],"share":1}"#);
    place.asked(0, 1);
    let split = Change::Split { parent: 1, children: vec![(2, 0), (3, 40)] };
    place.change(&[split, moved(2, &[1]), moved(3, &[2])]);
    // Nodes 1 and 2 have the data; node 0 still answers what it has taken.
    place.nodes_follow();
    until(&place.program, "it is divided", |c| c.get("parts_divided") == Some(&1));
    // Late, each successor is asked for; one of them answers.
    until(&place.program, "one is in", |c| c.get("leaf_calls_ended{success}") == Some(&1));
    place.fleet.nodes[0].set(Fault::None);
    if fault.is_none() {
        checked(&mut client, "q", 0, 100);
        assert_eq!(place.program.counters().get("answers_in_place_of_parts"), Some(&1));
        return;
    }
    let (status, body) = client.answer();
    let (faults, _) = inventory::check(body.as_bytes(), &[KeyRange::new(0, 100)], "q");
    assert_eq!((status, faults.double), (200, 40), "{body}");
}

#[rstest]
fn a_router_that_hears_late_waits_for_the_news_and_answers_right() {
    let mut place = place(1, &[(1, 0, 50, &[0, 1]), (2, 50, 100, &[0, 1])]);
    let mut client = Client::to(&place.program);
    right(&mut client, "before", 10, 90);
    // The nodes have the new layout already.
    let changes = [moved(1, &[2]), moved(2, &[3])];
    place.prepare(&changes);
    place.nodes_follow();
    client.ask("during", 6000, r#"{"keys":[10,90],"share":1}"#);
    until(&place.program, "both old holders disown both shards", |c| c.get("parts_disowned") == Some(&4));
    place.router_follows(&changes);
    checked(&mut client, "during", 10, 90);
    assert_eq!(place.fleet.nodes[2].met.disowned.load(Relaxed), 0);
}

#[rstest]
fn a_node_that_lags_behind_is_asked_again_once_it_has_had_time() {
    let mut place = place(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::to(&place.program);
    place.change(&[moved(1, &[1])]);
    place.logged("layout: version 2");
    until(&place.program, "the module is told", |c| c.get("layout_changes").is_some_and(|n| *n >= 1));
    client.ask("q", 6000, r#"{"keys":[10,90],"share":1}"#);
    until(&place.program, "it disowns the shard", |c| c.get("parts_disowned").is_some_and(|n| *n >= 1));
    place.nodes_follow();
    checked(&mut client, "q", 10, 90);
}

#[rstest]
#[case::a_hole(
    r#"{"version":2,"keys":100,"shards":[{"shard":1,"from":0,"to":40,"holders":[0]}]}"#,
    "no shard covers key 40"
)]
#[case::no_holder(r#"{"version":2,"after":1,"changes":[{"move":1,"holders":[]}]}"#, "shard 1 has no holder")]
#[case::backwards(
    r#"{"version":1,"after":1,"changes":[{"move":1,"holders":[2]}]}"#,
    "version 1 is not newer than version 1"
)]
#[case::half_of_it(r#"{"version":2,"after":1}"#, "a layout has either `shards` or `changes`")]
#[case::unknown(r#"{"version":2,"after":1,"changes":[{"move":9,"holders":[2]}]}"#, "shard 9 does not exist")]
fn a_faulty_layout_is_refused_in_one_line_and_the_old_one_holds(#[case] told: &str, #[case] why: &str) {
    let place = place(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::to(&place.program);
    place.agent.layout(told.to_string(), inventory::whole(&place.layout));
    place.logged(&format!("layout: refused: {why}; version 1 holds"));
    right(&mut client, "q", 0, 100);
    assert_eq!(place.parts(0), 1);
}

#[rstest]
fn after_news_that_were_missed_the_whole_layout_is_asked_for() {
    let mut place = place(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::to(&place.program);
    place.prepare(&[moved(1, &[1])]);
    place.change(&[moved(1, &[2])]);
    place.nodes_follow();
    place.logged("changes apply to version 2, which is not the current version; version 1 holds");
    place.logged("layout: version 3");
    right(&mut client, "q", 0, 100);
    assert_eq!((place.parts(0), place.parts(1), place.parts(2)), (0, 0, 1));
}

#[rstest]
fn a_shard_that_moves_to_a_node_that_drains_is_asked_of_its_other_holder() {
    let mut place = place(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::to(&place.program);
    place.agent.change(vec![Entry { status: "DRAINING", ..place.entries[1].clone() }]);
    place.change(&[moved(1, &[1, 2])]);
    place.nodes_follow();
    place.logged("layout: version 2");
    (0..8).for_each(|n| right(&mut client, &format!("q{n}"), 0, 100));
    assert_eq!((place.parts(0), place.parts(1), place.parts(2)), (0, 0, 8));
}

#[rstest]
fn while_discovery_is_silent_the_old_layout_holds_and_at_its_new_address_the_new_one() {
    let mut place = place(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::to(&place.program);
    right(&mut client, "before", 0, 100);
    let other = Agent::start(place.entries.clone()).expect("discovery");
    place.prepare(&[moved(1, &[3])]);
    place.nodes_follow();
    other.layout(inventory::whole(&place.layout), inventory::whole(&place.layout));
    let text = place.setting.configuration(other.address, &place.entries);
    std::fs::write(&place.program.config, text).expect("written");
    place.program.signal(Signal::SIGHUP);
    place.logged("layout: version 2");
    right(&mut client, "after", 0, 100);
    assert_eq!((place.parts(0), place.parts(3)), (1, 1));
}

/// Guards against a core that goes on by a layout that the others have left: it takes the new one in before anything
/// it has decided goes out.
#[rstest]
fn a_core_that_hung_through_a_move_sends_nothing_to_the_old_holder() {
    let mut place = place(2, &[(1, 0, 100, &[0])]);
    let mut clients: Vec<Client> = (0..2).map(|_| Client::to(&place.program)).collect();
    clients.iter_mut().enumerate().for_each(|(n, client)| right(client, &format!("before{n}"), 0, 100));
    let before = place.parts(0);
    clients[0].fault("hang 1700");
    place.logged("hangs since");
    clients[0].ask("held", 6000, r#"{"keys":[0,100],"share":1}"#);
    place.change(&[moved(1, &[3])]);
    place.nodes_follow();
    place.logged("layout: version 2");
    let told = place.clock.now();
    checked(&mut clients[0], "held", 0, 100);
    right(&mut clients[1], "other", 0, 100);
    assert_eq!((place.parts(0), place.parts(3)), (before, 2));
    assert!(place.fleet.nodes[0].last_call() < told);
}

/// Shards of the ring are no shards of a layout: without the operator's word nothing of the news matters.
#[rstest]
fn without_the_operators_word_the_ring_holds_whatever_discovery_tells() {
    let place = place(1, &[(1, 0, 100, &[0])]);
    let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator: Some(String::new()) };
    let program = Program::start(&build, &place.setting.configuration(place.agent.address, &place.entries));
    let program = program.unwrap_or_else(|why| panic!("{why}"));
    let mut client = Client::to(&program);
    client.query("q", 6000);
    let (status, body) = client.answer();
    assert!(status == 200 && !body.contains("keys"), "{body}");
    assert!(!program.counters().contains_key("layout_changes"));
}
