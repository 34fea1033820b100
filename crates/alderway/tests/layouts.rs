//! Shards that split, merge and move while queries run: a query router as a process, with simulated data
//! nodes and simulated discovery that change the layout. The tests wait for observable conditions, because
//! fixed delays can be too short on a busy machine.
mod common;
use alderway_lab::agent::{Agent, Entry};
use alderway_lab::fleet::{Fleet, Order};
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use alderway_lab::shuffle::{self, Run};
use alderway_lab::{Clock, inventory};
use alderway_layouts::layout::{Change, Layout, Shard};
use alderway_layouts::{Key, KeyRange, ShardId};
use common::{Client, wait_for_log, wait_until};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::sync::atomic::Ordering::Relaxed;

/// A router with layouts enabled, and four data nodes in a replica group each.
struct Testbed {
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
    Layout::new(1, 100, shards.iter().map(shard).collect()).expect("valid")
}

fn testbed(cores: usize, shards: &[(ShardId, Key, Key, &[u32])]) -> Testbed {
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
        wait_until(&program, "all cores serve", |c| c["cores_serving"] == cores as u64);
    }
    let testbed = Testbed { clock, fleet, agent, entries, program, layout, setting };
    testbed.update_nodes();
    testbed
}

impl Testbed {
    /// Sends the current layout to the data nodes.
    fn update_nodes(&self) {
        for (n, node) in self.fleet.nodes.iter().enumerate() {
            node.tell(Order::Layout(n as u32, self.layout.clone()));
        }
    }

    /// Creates the next version and publishes it in discovery.
    fn change(&mut self, changes: &[Change]) {
        self.create_version(changes);
        self.publish(changes);
    }

    /// Creates the next version without publishing it.
    fn create_version(&mut self, changes: &[Change]) {
        self.layout = self.layout.with_changes(self.layout.version() + 1, changes).expect("valid");
    }

    /// Publishes the current version in discovery, as changes since the previous version and as a full
    /// layout.
    fn publish(&self, changes: &[Change]) {
        let version = self.layout.version();
        let update = inventory::changes(version, version - 1, changes);
        self.agent.layout(update, inventory::whole(&self.layout));
    }

    fn wait_for_log(&self, text: &str) {
        wait_for_log(&self.program, text);
    }

    /// How many shard requests a data node has received.
    fn request_count(&self, node: usize) -> u64 {
        self.fleet.nodes[node].met.parts.load(Relaxed)
    }

    /// Waits until a data node has received this many shard requests.
    fn wait_for_requests(&self, node: usize, count: u64) {
        wait_until(&self.program, "the data node has received requests", |_| {
            self.request_count(node) >= count
        });
    }
}

fn moved(shard: ShardId, holders: &[u32]) -> Change {
    Change::Move { shard, holders: holders.iter().copied().collect() }
}

/// Sends a query for the keys from `from` up to but excluding `to`, and checks each key of the response.
fn query_and_check(client: &mut Client, id: &str, from: Key, to: Key) {
    client.send_query_for(id, 6000, &format!(r#"{{"keys":[{from},{to}],"share":1}}"#));
    check_response(client, id, from, to);
}

/// Reads a response and checks each of its keys.
fn check_response(client: &mut Client, id: &str, from: Key, to: Key) {
    let (status, body) = client.read_response();
    assert_eq!(status, 200, "{body}");
    let (faults, keys) = inventory::check(body.as_bytes(), &[KeyRange::new(from, to)], id);
    assert_eq!((faults, keys), (Default::default(), u64::from(to - from)), "{body}");
}

#[rstest]
#[case::one_core(1, "idempotent", 11)]
#[case::two_cores(2, "idempotent", 12)]
#[case::at_most_once(1, "at_most_once", 13)]
fn answers_are_correct_while_shards_split_merge_and_move_and_nodes_fail(
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

/// Shard 1 is split into shards 2 and 3. The answer for shard 1 arrives after the answer for shard 2; each
/// key must be counted once. With the injected fault the router counts answers instead of keys, and the check
/// must detect keys counted twice.
#[rstest]
#[case::by_keys(None)]
#[case::by_answers(Some("count-by-answers"))]
fn a_late_answer_for_a_split_shard_replaces_those_for_its_successors(#[case] fault: Option<&str>) {
    let mut testbed = testbed(1, &[(1, 0, 100, &[0])]);
    fault.iter().for_each(|fault| testbed.program.fault(fault, 1));
    let mut client = Client::connect(&testbed.program);
    testbed.fleet.nodes[0].set(Fault::Paused);
    testbed.fleet.nodes[2].set(Fault::Paused);
    client.send_query_for("q", 6000, r#"{"keys":[0,100],"share":1}"#);
    testbed.wait_for_requests(0, 1);
    let split = Change::Split { parent: 1, children: vec![(2, 0), (3, 40)] };
    testbed.change(&[split, moved(2, &[1]), moved(3, &[2])]);
    // From here on, nodes 1 and 2 hold the keys. Node 0 no longer holds shard 1, but still answers the
    // request that it has already received.
    testbed.update_nodes();
    wait_until(&testbed.program, "the request is split", |c| c.get("parts_divided") == Some(&1));
    // Node 0 does not answer in time, so that the router requests shards 2 and 3 from nodes 1 and 2. Only
    // node 1 answers, since node 2 is paused.
    wait_until(&testbed.program, "one successor is answered", |c| {
        c.get("leaf_calls_ended{success}") == Some(&1)
    });
    testbed.fleet.nodes[0].set(Fault::None);
    if fault.is_none() {
        check_response(&mut client, "q", 0, 100);
        assert_eq!(testbed.program.counters().get("answers_in_place_of_parts"), Some(&1));
        return;
    }
    let (status, body) = client.read_response();
    let (faults, _) = inventory::check(body.as_bytes(), &[KeyRange::new(0, 100)], "q");
    assert_eq!((status, faults.double), (200, 40), "{body}");
}

#[rstest]
fn a_router_with_an_outdated_layout_waits_for_the_update_and_answers_correctly() {
    let mut testbed = testbed(1, &[(1, 0, 50, &[0, 1]), (2, 50, 100, &[0, 1])]);
    let mut client = Client::connect(&testbed.program);
    query_and_check(&mut client, "before", 10, 90);
    // The data nodes receive the new layout before the router does.
    let changes = [moved(1, &[2]), moved(2, &[3])];
    testbed.create_version(&changes);
    testbed.update_nodes();
    client.send_query_for("during", 6000, r#"{"keys":[10,90],"share":1}"#);
    wait_until(&testbed.program, "both former holders reject both shards", |c| {
        c.get("parts_disowned") == Some(&4)
    });
    testbed.publish(&changes);
    check_response(&mut client, "during", 10, 90);
    assert_eq!(testbed.fleet.nodes[2].met.disowned.load(Relaxed), 0);
}

#[rstest]
fn a_node_with_an_outdated_layout_is_asked_again_after_its_grace_period() {
    let mut testbed = testbed(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::connect(&testbed.program);
    testbed.change(&[moved(1, &[1])]);
    testbed.wait_for_log("layout: version 2");
    wait_until(&testbed.program, "the policy has the change", |c| {
        c.get("layout_changes").is_some_and(|n| *n >= 1)
    });
    client.send_query_for("q", 6000, r#"{"keys":[10,90],"share":1}"#);
    wait_until(&testbed.program, "the node rejects the shard", |c| {
        c.get("parts_disowned").is_some_and(|n| *n >= 1)
    });
    testbed.update_nodes();
    check_response(&mut client, "q", 10, 90);
}

#[rstest]
#[case::gap(
    r#"{"version":2,"keys":100,"shards":[{"shard":1,"from":0,"to":40,"holders":[0]}]}"#,
    "no shard covers key 40"
)]
#[case::no_holder(r#"{"version":2,"after":1,"changes":[{"move":1,"holders":[]}]}"#, "shard 1 has no holder")]
#[case::stale_version(
    r#"{"version":1,"after":1,"changes":[{"move":1,"holders":[2]}]}"#,
    "version 1 is not newer than version 1"
)]
#[case::no_shards_and_no_changes(r#"{"version":2,"after":1}"#, "a layout has either `shards` or `changes`")]
#[case::unknown_shard(
    r#"{"version":2,"after":1,"changes":[{"move":9,"holders":[2]}]}"#,
    "shard 9 does not exist"
)]
fn an_invalid_layout_is_rejected_with_one_log_line_and_the_current_one_stays(
    #[case] update: &str,
    #[case] why: &str,
) {
    let testbed = testbed(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::connect(&testbed.program);
    testbed.agent.layout(update.to_string(), inventory::whole(&testbed.layout));
    testbed.wait_for_log(&format!("layout: refused: {why}; version 1 holds"));
    query_and_check(&mut client, "q", 0, 100);
    assert_eq!(testbed.request_count(0), 1);
}

#[rstest]
fn after_a_missed_update_the_full_layout_is_requested() {
    let mut testbed = testbed(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::connect(&testbed.program);
    testbed.create_version(&[moved(1, &[1])]);
    testbed.change(&[moved(1, &[2])]);
    testbed.update_nodes();
    testbed.wait_for_log("changes apply to version 2, which is not the current version; version 1 holds");
    testbed.wait_for_log("layout: version 3");
    query_and_check(&mut client, "q", 0, 100);
    assert_eq!((testbed.request_count(0), testbed.request_count(1), testbed.request_count(2)), (0, 0, 1));
}

#[rstest]
fn a_shard_moved_to_a_draining_node_is_requested_from_its_other_holder() {
    let mut testbed = testbed(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::connect(&testbed.program);
    testbed.agent.change(vec![Entry { status: "DRAINING", ..testbed.entries[1].clone() }]);
    testbed.change(&[moved(1, &[1, 2])]);
    testbed.update_nodes();
    testbed.wait_for_log("layout: version 2");
    (0..8).for_each(|n| query_and_check(&mut client, &format!("q{n}"), 0, 100));
    assert_eq!((testbed.request_count(0), testbed.request_count(1), testbed.request_count(2)), (0, 0, 8));
}

#[rstest]
fn the_layout_of_a_new_discovery_address_replaces_the_one_in_use() {
    let mut testbed = testbed(1, &[(1, 0, 100, &[0])]);
    let mut client = Client::connect(&testbed.program);
    query_and_check(&mut client, "before", 0, 100);
    let new_agent = Agent::start(testbed.entries.clone()).expect("discovery");
    testbed.create_version(&[moved(1, &[3])]);
    testbed.update_nodes();
    new_agent.layout(inventory::whole(&testbed.layout), inventory::whole(&testbed.layout));
    let text = testbed.setting.configuration(new_agent.address, &testbed.entries);
    std::fs::write(&testbed.program.config, text).expect("written");
    testbed.program.signal(Signal::SIGHUP);
    testbed.wait_for_log("layout: version 2");
    query_and_check(&mut client, "after", 0, 100);
    assert_eq!((testbed.request_count(0), testbed.request_count(3)), (1, 1));
}

/// Guards against a core that hangs while the other cores apply a new layout: after the hang, the core must
/// apply the new layout before it sends shard requests.
#[rstest]
fn a_core_that_hung_during_a_move_sends_nothing_to_the_former_holder() {
    let mut testbed = testbed(2, &[(1, 0, 100, &[0])]);
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(&testbed.program)).collect();
    clients
        .iter_mut()
        .enumerate()
        .for_each(|(n, client)| query_and_check(client, &format!("before{n}"), 0, 100));
    let before = testbed.request_count(0);
    clients[0].inject_fault("hang 1700");
    testbed.wait_for_log("hangs since");
    clients[0].send_query_for("during", 6000, r#"{"keys":[0,100],"share":1}"#);
    testbed.change(&[moved(1, &[3])]);
    testbed.update_nodes();
    testbed.wait_for_log("layout: version 2");
    let moved_at = testbed.clock.now();
    check_response(&mut clients[0], "during", 0, 100);
    query_and_check(&mut clients[1], "other", 0, 100);
    assert_eq!((testbed.request_count(0), testbed.request_count(3)), (before, 2));
    assert!(testbed.fleet.nodes[0].last_call() < moved_at);
}

/// Without the section `layouts` in the operator's file, shards are placed by the hash ring, and the router
/// must ignore layout updates from discovery.
#[rstest]
fn without_layouts_in_the_operators_file_updates_from_discovery_are_ignored() {
    let testbed = testbed(1, &[(1, 0, 100, &[0])]);
    let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator: Some(String::new()) };
    let program =
        Program::start(&build, &testbed.setting.configuration(testbed.agent.address, &testbed.entries));
    let program = program.unwrap_or_else(|why| panic!("{why}"));
    let mut client = Client::connect(&program);
    client.send_query("q", 6000);
    let (status, body) = client.read_response();
    assert!(status == 200 && !body.contains("keys"), "{body}");
    assert!(!program.counters().contains_key("layout_changes"));
}
