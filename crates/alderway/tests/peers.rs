//! Query routers that share observations (outcomes of shard requests, and which data nodes are slow or
//! unhealthy), as processes on loopback with the lab's relay between any two. They
//! are partitioned, also in one direction, stopped, killed and restarted, get false reports and malformed
//! frames, and have different peer lists.
mod common;
use alderway_lab::Clock;
use alderway_lab::agent::{Agent, Entry};
use alderway_lab::fleet::Fleet;
use alderway_lab::load::{self, Outcome};
use alderway_lab::model::{Fault as NodeFault, Make};
use alderway_lab::program::{Build, Program, Setting};
use alderway_lab::wires::{Act, Fault, Schedule, Wires};
use alderway_peers::Frame;
use alderway_peers::updates::{Update, UpdateBody};
use alderway_transport::{FrameReader, Hello, Received, encode_hello, encode_message};
use common::{TIMEOUT, wait_until};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Routers, the data nodes that all routers use, and the proxies through which the routers are connected to
/// each other. A proxy can delay or drop messages.
struct Testbed {
    clock: Clock,
    fleet: Fleet,
    agent: Agent,
    entries: Vec<Entry>,
    wires: Wires,
    names: Vec<String>,
    /// The routers by name, with the address at which each listens for its peers.
    routers: BTreeMap<String, (Program, SocketAddr)>,
}

/// Messages expire after 600 ms, so that the tests are short.
const SHORT_TIMES: &str = "beat_ms = 25, pulse_ms = 200, stale_ms = 600";

impl Testbed {
    /// Starts routers and waits until all of them consider each other alive.
    fn new(count: usize) -> Testbed {
        let clock = Clock::default();
        let make = Make { service: 0.002, exponential: false, ..Make::default() };
        let fleet = Fleet::start(6, 1, &make, 7, clock, false).expect("data nodes");
        let entries = fleet.entries(|_| 0);
        let agent = Agent::start(entries.clone()).expect("discovery");
        let names: Vec<String> = (0..count).map(|n| format!("r{n}")).collect();
        let wires = Wires::between(&names).expect("ports");
        let mut testbed = Testbed { clock, fleet, agent, entries, wires, names, routers: BTreeMap::new() };
        for name in testbed.names.clone() {
            testbed.start(&name, &testbed.names.clone());
        }
        testbed.wait_until_all_alive();
        testbed
    }

    /// The operator's file of a router with the given members.
    fn operator_file(&self, own: &str, members: &[String]) -> String {
        let entry = |name: &String| match name == own {
            true => format!("\"{name}\": \"127.0.0.1:0\""),
            false => format!("\"{name}\": \"{}\"", self.wires.address(own, name)),
        };
        let all: Vec<String> = members.iter().map(entry).collect();
        format!("peers(members = {{{}}}, {SHORT_TIMES}, witnesses = 2)\n", all.join(", "))
    }

    fn start(&mut self, name: &str, members: &[String]) {
        let setting = Setting { peers: self.names.len(), ..Setting::default() };
        let text = setting
            .configuration(self.agent.address, &self.entries)
            .replace("\"n0\"", &format!("\"{name}\""));
        let build = Build {
            path: env!("CARGO_BIN_EXE_alderway").into(),
            operator: Some(self.operator_file(name, members)),
        };
        let program = Program::start(&build, &text).unwrap_or_else(|why| panic!("{why}"));
        let at = program.hears_peers_at().unwrap_or_else(|why| panic!("{why}"));
        self.wires.lead_to(name, at);
        self.routers.insert(name.into(), (program, at));
    }

    fn router(&self, n: usize) -> &Program {
        &self.routers[&self.names[n]].0
    }

    fn wait_until_all_alive(&self) {
        let others = self.names.len() as u64 - 1;
        for (program, _) in self.routers.values() {
            wait_until(program, "all peers are alive", |c| c.get("peers_alive") == Some(&others));
        }
    }

    fn send(&self, n: usize, rate: f64, span: f64) -> Outcome {
        send(self.router(n).address, self.clock, rate, span)
    }

    /// How many shard requests the first data node has received.
    fn first_node_requests(&self) -> u64 {
        self.fleet.nodes[0].met.parts.load(Relaxed)
    }

    /// Makes the first data node stop answering, and sends queries to two routers, which observe and report
    /// the failure.
    fn two_routers_observe_failure(&self) {
        self.send(0, 100.0, 0.5);
        self.fleet.nodes[0].set(NodeFault::Silent);
        self.send_to_both(100.0, 0.8);
    }

    /// Sends queries to the first two routers.
    fn send_to_both(&self, rate: f64, span: f64) {
        let (one, other, clock) = (self.router(0).address, self.router(1).address, self.clock);
        std::thread::scope(|scope| {
            scope.spawn(move || send(one, clock, rate, span));
            scope.spawn(move || send(other, clock, rate, span));
        });
    }
}

/// Sends queries to a router and checks that each is answered once, correctly and in time.
fn send(to: SocketAddr, clock: Clock, rate: f64, span: f64) -> Outcome {
    let outcome = load::send(to, &common::load(rate, span), clock);
    assert_eq!((outcome.wrong, outcome.lost, outcome.late), (0, 0, 0), "{:?}", outcome.statuses);
    assert_eq!(outcome.statuses.values().sum::<u64>(), outcome.sent);
    outcome
}

fn counted(program: &Program, name: &str) -> u64 {
    program.counters().get(name).copied().unwrap_or(0)
}

/// Guards against each router losing time on an unresponsive data node before it avoids the node: after two
/// routers have observed the node, the others avoid the node from their first query on.
#[rstest]
fn a_router_avoids_a_data_node_that_two_others_report_as_unresponsive() {
    let testbed = Testbed::new(5);
    testbed.two_routers_observe_failure();
    let (one, other, clock) = (testbed.router(0).address, testbed.router(1).address, testbed.clock);
    std::thread::scope(|scope| {
        // The two routers continue to observe the node, because they still send a few attempts to unhealthy
        // nodes.
        scope.spawn(move || send(one, clock, 60.0, 1.2));
        scope.spawn(move || send(other, clock, 60.0, 1.2));
        wait_until(testbed.router(4), "observations are received", |c| {
            c.get("evidence_heard").is_some_and(|n| *n > 0)
        });
        let before = testbed.first_node_requests();
        let outcome = testbed.send(4, 100.0, 0.5);
        let requests = testbed.first_node_requests() - before;
        assert!(12 * requests < 3 * outcome.sent, "{requests} of {} shard requests", 3 * outcome.sent);
    });
}

/// Guards against messages that cross a partition, and against messages that are still missing after the
/// partition has ended.
#[rstest]
fn no_messages_cross_a_partition_until_it_is_healed() {
    let testbed = Testbed::new(5);
    testbed.wires.part(&["r0", "r1"]);
    for n in 0..5 {
        let (near, far) = if n < 2 { (1, 3) } else { (2, 2) };
        wait_until(testbed.router(n), "the partition is detected", |c| {
            c["peers_alive"] == near && c["peers_dead"] + c["peers_missed"] == far
        });
    }
    let before = counted(testbed.router(3), "evidence_heard");
    testbed.two_routers_observe_failure();
    assert_eq!(counted(testbed.router(3), "evidence_heard"), before);
    testbed.wires.heal();
    testbed.wait_until_all_alive();
    testbed.two_routers_observe_failure();
    wait_until(testbed.router(3), "observations are received", |c| {
        c.get("evidence_heard").is_some_and(|n| *n > before)
    });
}

/// Guards against a router that is considered dead, or messages that are lost, because one direction of one
/// link is blocked.
#[rstest]
fn a_link_blocked_in_one_direction_loses_no_messages() {
    let testbed = Testbed::new(5);
    testbed.wires.set("r0", "r1", Fault::Held);
    sleep(Duration::from_millis(1500));
    for n in 0..5 {
        assert_eq!(counted(testbed.router(n), "peers_alive"), 4, "r{n}");
    }
    testbed.two_routers_observe_failure();
    wait_until(testbed.router(4), "observations are received", |c| {
        c.get("evidence_heard").is_some_and(|n| *n > 0)
    });
}

/// Guards against acting on messages that were delayed beyond their maximum age.
#[rstest]
fn messages_delayed_beyond_their_maximum_age_are_ignored() {
    let testbed = Testbed::new(5);
    for from in 0..4 {
        testbed.wires.set(&testbed.names[from], "r4", Fault::Delayed(0.9));
    }
    sleep(Duration::from_millis(1000));
    let before = counted(testbed.router(4), "evidence_heard");
    testbed.two_routers_observe_failure();
    wait_until(testbed.router(4), "delayed messages arrive", |c| {
        c.get("words_stale").is_some_and(|n| *n > 20)
    });
    assert_eq!(counted(testbed.router(4), "evidence_heard"), before);
    // Only messages to router 4 are delayed, so router 3 still receives observations.
    wait_until(testbed.router(3), "observations are received", |c| {
        c.get("evidence_heard").is_some_and(|n| *n > 0)
    });
}

/// Guards against a router that is considered dead forever after a pause, or that spreads outdated
/// information after it.
#[rstest]
fn a_stopped_router_is_detected_and_alive_again_after_it_resumes() {
    let testbed = Testbed::new(5);
    testbed.router(2).signal(Signal::SIGSTOP);
    wait_until(testbed.router(0), "the router is suspected", |c| c["peers_dead"] + c["peers_missed"] == 1);
    wait_until(testbed.router(4), "the router is dead", |c| c["peers_dead"] == 1);
    testbed.router(2).signal(Signal::SIGCONT);
    testbed.wait_until_all_alive();
    testbed.send(2, 100.0, 0.3);
}

/// Guards against a router that is not accepted again after a crash, and against a planned shutdown that
/// looks like a crash.
#[rstest]
fn a_killed_router_rejoins_and_a_planned_shutdown_is_announced() {
    let mut testbed = Testbed::new(5);
    testbed.router(3).signal(Signal::SIGKILL);
    wait_until(testbed.router(0), "the router is suspected", |c| c["peers_alive"] == 3);
    testbed.routers.remove("r3");
    let names = testbed.names.clone();
    testbed.start("r3", &names);
    testbed.wait_until_all_alive();
    let (leaving, _) = testbed.routers.remove("r1").expect("there");
    drop(leaving.stop());
    wait_until(testbed.router(0), "the router has left", |c| c["peers_left"] == 1 && c["peers_alive"] == 3);
}

#[rstest]
fn half_of_the_routers_rejoin_after_a_simultaneous_restart() {
    let mut testbed = Testbed::new(6);
    let names = testbed.names.clone();
    for name in &names[..3] {
        testbed.routers.remove(name);
    }
    for name in &names[..3] {
        testbed.start(name, &names);
    }
    testbed.wait_until_all_alive();
}

/// Connects to a router as a peer with a member's name.
fn connect_as(testbed: &Testbed, to: usize, name: &str, incarnation: u64) -> (TcpStream, FrameReader<Frame>) {
    let at = testbed.routers[&testbed.names[to]].1;
    let mut stream = TcpStream::connect(at).expect("dialled");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    let mut bytes = vec![];
    let hello = Hello { version: 1, is_planner: false, incarnation, name: name.into() };
    encode_hello::<Frame>(&mut bytes, &hello);
    stream.write_all(&bytes).expect("written");
    (stream, FrameReader::default())
}

/// Reads the next frame. `None` if the connection is closed.
fn read_frame(stream: &mut TcpStream, reader: &mut FrameReader<Frame>) -> Option<Frame> {
    let mut space = [0; 65536];
    loop {
        match reader.next_frame() {
            Ok(Some(Received::Message(frame))) => return Some(frame),
            Ok(Some(Received::Hello(_))) => {}
            Ok(None) => match stream.read(&mut space) {
                Ok(count @ 1..) => reader.feed(&space[..count]),
                _ => return None,
            },
            Err(_) => return None,
        }
    }
}

/// A peer reports all data nodes as unhealthy. Guards against other routers that avoid healthy nodes because
/// of the reports of a single peer.
#[rstest]
fn false_reports_of_one_router_exclude_no_data_node() {
    let testbed = Testbed::new(5);
    let (mut stream, mut reader) = connect_as(&testbed, 0, "r4", u64::MAX - 5);
    let nodes: Vec<String> = testbed.fleet.nodes.iter().map(|node| node.name.clone()).collect();
    let received = read_frame(&mut stream, &mut reader).expect("a frame");
    let false_reports = nodes.iter().enumerate().map(|(n, node)| Update {
        origin: "r4".into(),
        incarnation: u64::MAX - 5,
        number: n as u64 + 1,
        age_s: 0.0,
        body: UpdateBody::Observation {
            node: node.clone(),
            uptime_s: None,
            observed_ago_s: 0.0,
            slow_for_s: 1e9,
            very_slow_for_s: 1e9,
            unresponsive_for_s: 1e9,
        },
    });
    let mut bytes = vec![];
    let updates = false_reports.collect();
    encode_message(&mut bytes, &Frame { sent_at_s: 1.0, echo: Some((received.sent_at_s, 0.0)), updates })
        .expect("it fits a frame");
    stream.write_all(&bytes).expect("written");
    let taken = counted(testbed.router(0), "words_taken");
    wait_until(testbed.router(0), "the reports are received", |c| c["words_taken"] >= taken + 6);
    let observations = counted(testbed.router(0), "evidence_heard");
    let outcome = testbed.send(0, 100.0, 0.5);
    assert_eq!(outcome.merged(), outcome.sent);
    assert_eq!(observations, 0);
    // Every data node still receives more than half of an equal share of the shard requests.
    let least = testbed.fleet.nodes.iter().map(|node| node.met.parts.load(Relaxed)).min();
    assert!(least.is_some_and(|n| n * 12 > outcome.sent * 3), "{least:?} of {}", 3 * outcome.sent);
}

#[rstest]
#[case::http(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::zeroes(vec![0; 300])]
#[case::excessive_length(vec![255; 64])]
fn malformed_input_only_ends_its_own_connection(#[case] bytes: Vec<u8>) {
    let testbed = Testbed::new(5);
    let mut stream = TcpStream::connect(testbed.routers["r0"].1).expect("dialled");
    stream.write_all(&bytes).expect("written");
    wait_until(testbed.router(0), "the connection is closed", |c| c.get("peer_links_refused") == Some(&1));
    assert_eq!(counted(testbed.router(0), "peers_alive"), 4);
    testbed.send(0, 100.0, 0.3);
}

/// The routers have different peer lists until a reload: r4 is unknown to r0 until the operator's file of
/// r0 contains r4.
#[rstest]
fn a_reload_adds_a_peer_that_was_missing_in_one_list() {
    let mut testbed = Testbed::new(5);
    let four = testbed.names[..4].to_vec();
    testbed.routers.remove("r0");
    testbed.start("r0", &four);
    wait_until(testbed.router(0), "three peers are alive", |c| c["peers_alive"] == 3);
    wait_until(testbed.router(0), "messages of an unknown router are received", |c| c["words_strange"] > 0);
    let file = testbed.router(0).operator_file().expect("a file").to_path_buf();
    std::fs::write(&file, "peers(members = 7)\n").expect("written");
    testbed.router(0).signal(Signal::SIGHUP);
    common::wait_for_log(testbed.router(0), "the old list holds");
    assert_eq!(counted(testbed.router(0), "peers_alive"), 3);
    let text = testbed
        .operator_file("r0", &testbed.names)
        .replace("127.0.0.1:0", &testbed.routers["r0"].1.to_string());
    std::fs::write(&file, text).expect("written");
    testbed.router(0).signal(Signal::SIGHUP);
    common::wait_for_log(testbed.router(0), "5 members");
    testbed.wait_until_all_alive();
}

/// Random faults from a seed, under load: each query is answered once, and in the end all routers consider
/// each other alive.
#[rstest]
#[case(1)]
#[case(2)]
fn each_query_is_answered_once_during_random_faults(#[case] seed: u64) {
    let mut testbed = Testbed::new(5);
    let names = testbed.names.clone();
    let schedule = Schedule::drawn(seed, &names, 4.0);
    let start = Instant::now();
    for (at, act) in &schedule.0 {
        // r0 serves throughout: faults of the other routers must not affect its answers.
        let router = match act {
            Act::Stop(name) | Act::Go(name) | Act::Kill(name) | Act::Start(name) => Some(name.as_str()),
            _ => None,
        };
        let remaining = Duration::from_secs_f64(*at).saturating_sub(start.elapsed());
        testbed.send(0, 80.0, remaining.as_secs_f64().max(0.01));
        match (act, router) {
            (_, Some("r0")) => {}
            (Act::Stop(_), Some(name)) => testbed.routers[name].0.signal(Signal::SIGSTOP),
            (Act::Go(_), Some(name)) => testbed.routers[name].0.signal(Signal::SIGCONT),
            (Act::Kill(_), Some(name)) => testbed.routers[name].0.signal(Signal::SIGKILL),
            (Act::Start(_), Some(name)) => {
                testbed.routers.remove(name);
                testbed.start(name, &names);
            }
            _ => testbed.wires.act(act),
        }
    }
    testbed.wait_until_all_alive();
}
