//! Forwarders and planners as processes on loopback: planners select the data nodes for the queries that
//! forwarders receive. Planners are killed, paused, disconnected from
//! discovery, restarted, use another protocol version, or do not run. The tests count and check every answer.
mod common;
use alderway_lab::Clock;
use alderway_lab::agent::{Agent, Entry};
use alderway_lab::fleet::Fleet;
use alderway_lab::load::{self, Load, Outcome};
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use alderway_tier::messages::Message;
use alderway_tier::query_assignments::QueryAssignments;
use alderway_transport::{Hello, WireMessage, encode_hello, encode_message};
use common::{Client, wait_for_log, wait_until};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The planner processes, simulated data nodes and simulated discovery of a test. Forwarders are separate.
struct Testbed {
    clock: Clock,
    fleet: Fleet,
    agent: Agent,
    entries: Vec<Entry>,
    setting: Setting,
    planners: Vec<Program>,
}

fn build(operator: String) -> Build {
    Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator: Some(operator) }
}

/// Starts data nodes, discovery and planners.
fn testbed(planners: usize, setting: Setting, make: Make) -> Testbed {
    let clock = Clock::default();
    let once = setting.effect == "at_most_once";
    let fleet = Fleet::start(6, 1, &make, 7, clock, once).expect("data nodes");
    let entries = fleet.entries(|_| 0);
    let agent = Agent::start(entries.clone()).expect("discovery");
    let mut testbed = Testbed { clock, fleet, agent, entries, setting, planners: vec![] };
    for n in 0..planners {
        let planner = testbed.planner(n, planners, testbed.agent.address, "127.0.0.1:0");
        testbed.planners.push(planner);
    }
    testbed
}

/// Data nodes with short service times.
fn quick() -> Make {
    Make { service: 0.005, exponential: true, ..Make::default() }
}

impl Testbed {
    fn planner(&self, n: usize, count: usize, discovery: SocketAddr, listen: &str) -> Program {
        let text = self.setting.configuration(discovery, &self.entries);
        let text = text.replace("\"n0\"", &format!("\"p-{n}\"")).replace("127.0.0.1:0", listen);
        let planner = Program::begin(&build(format!("planner(count = {count})\n")), &text);
        planner.unwrap_or_else(|why| panic!("{why}"))
    }

    fn forwarder(&self, planners: &[SocketAddr]) -> Program {
        self.start_forwarder("f-0", planners)
    }

    /// Starts a forwarder for the planners at the given addresses. The forwarder considers a planner
    /// lost after 200 ms without a message.
    fn start_forwarder(&self, name: &str, planners: &[SocketAddr]) -> Program {
        let all: Vec<String> = planners.iter().map(|at| format!("\"{at}\"")).collect();
        let operator = format!("forwarder(planners = [{}], count = 1, patience_ms = 200)\n", all.join(", "));
        let text = self.setting.configuration(self.agent.address, &self.entries);
        let text = text.replace("\"n0\"", &format!("\"{name}\""));
        Program::start(&build(operator), &text).unwrap_or_else(|why| panic!("{why}"))
    }

    /// Starts a forwarder, and waits until it can use all planners.
    fn ready_forwarder(&self) -> Program {
        self.ready_forwarder_named("f-0")
    }

    fn ready_forwarder_named(&self, name: &str) -> Program {
        let planners: Vec<SocketAddr> = self.planners.iter().map(|p| p.address).collect();
        let forwarder = self.start_forwarder(name, &planners);
        wait_until(&forwarder, "all planners are available", |c| {
            c.get("planners_able") == Some(&(planners.len() as u64))
        });
        forwarder
    }

    fn load(&self, rate: f64, span: f64) -> Load {
        common::load(rate, span)
    }
}

/// Checks that each query was answered once, correctly and in time.
fn assert_sound(outcome: &Outcome) {
    assert_eq!((outcome.wrong, outcome.lost, outcome.late), (0, 0, 0), "{:?}", outcome.statuses);
    assert_eq!(outcome.statuses.values().sum::<u64>(), outcome.sent);
}

/// Sends queries for `load.span` seconds, and runs `action` in parallel after 30% of that time.
fn send_during(testbed: &Testbed, forwarder: &Program, load: &Load, action: impl FnOnce()) -> Outcome {
    let (to, clock) = (forwarder.address, testbed.clock);
    std::thread::scope(|scope| {
        let sent = scope.spawn(move || load::send(to, load, clock));
        sleep(Duration::from_secs_f64(0.3 * load.span));
        action();
        sent.join().expect("the load does not panic")
    })
}

fn counted(program: &Program, name: &str) -> u64 {
    program.counters().get(name).copied().unwrap_or(0)
}

#[rstest]
fn planners_decide_for_a_forwarder_and_its_answers_are_correct() {
    let testbed = testbed(2, Setting::default(), quick());
    let forwarder = testbed.ready_forwarder();
    let outcome = load::send(forwarder.address, &testbed.load(150.0, 1.5), testbed.clock);
    assert_sound(&outcome);
    assert_eq!(outcome.merged(), outcome.sent);
    assert_eq!(counted(&forwarder, "queries_decided{planner}"), outcome.sent);
    assert_eq!(counted(&forwarder, "queries_decided{own}"), 0);
    wait_until(&forwarder, "nothing is open", |c| {
        c["leaf_calls_open"] == 0 && c["queries_with_planners"] == 0
    });
    assert_eq!(counted(&forwarder, "decisions_refused"), 0);
}

#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::stopped(Signal::SIGSTOP)]
#[case::planned(Signal::SIGTERM)]
fn each_query_is_answered_once_when_planners_end_under_load(#[case] signal: Signal) {
    let testbed = testbed(2, Setting::default(), quick());
    let forwarder = testbed.ready_forwarder();
    let outcome = send_during(&testbed, &forwarder, &testbed.load(200.0, 3.0), || {
        testbed.planners.iter().for_each(|p| p.signal(signal));
        sleep(Duration::from_millis(700));
        // A planner that was paused by SIGSTOP resumes. The forwarder must ignore the planner's decisions for
        // queries that were reassigned in the meantime.
        testbed.planners.iter().for_each(|p| p.signal(Signal::SIGCONT));
    });
    assert_sound(&outcome);
    assert!(outcome.merged() as f64 > 0.95 * outcome.sent as f64, "{:?}", outcome.statuses);
    assert!(
        counted(&forwarder, "queries_decided{own}") > 0
            && counted(&forwarder, "queries_decided{planner}") > 0
    );
    wait_until(&forwarder, "nothing is open", |c| c["leaf_calls_open"] == 0 && c["queries_open"] == 0);
}

#[rstest]
fn a_takeover_does_not_repeat_attempts_that_may_have_run() {
    let setting = Setting { effect: "at_most_once", ..Setting::default() };
    let testbed = testbed(2, setting, Make { service: 0.05, ..quick() });
    let forwarder = testbed.ready_forwarder();
    let planners = &testbed.planners;
    let outcome = send_during(&testbed, &forwarder, &testbed.load(60.0, 3.0), || {
        planners[0].signal(Signal::SIGKILL);
        sleep(Duration::from_millis(600));
        planners[1].signal(Signal::SIGKILL);
    });
    assert_sound(&outcome);
    let again: u64 = testbed.fleet.nodes.iter().map(|n| n.met.again.load(Relaxed)).sum();
    assert_eq!(again, 0);
    assert!(counted(&forwarder, "queries_asked_anew") > 0, "no query was open when a planner ended");
}

#[rstest]
fn without_planners_the_forwarder_decides_by_itself_until_one_is_available() {
    let mut testbed = testbed(1, Setting::default(), quick());
    let at = testbed.planners[0].address;
    let forwarder = testbed.ready_forwarder();
    let killed = testbed.planners.remove(0);
    killed.signal(Signal::SIGKILL);
    drop(killed);
    wait_until(&forwarder, "the planner is lost", |c| c["planners_able"] == 0);
    let mut client = Client::connect(&forwarder);
    client.send_query("alone", 1500);
    assert_eq!(client.read_response().0, 200);
    assert_eq!(counted(&forwarder, "queries_decided{own}"), 1);
    let restarted = testbed.planner(0, 1, testbed.agent.address, &at.to_string());
    wait_until(&forwarder, "the planner is available", |c| c["planners_able"] == 1);
    client.send_query("led", 1500);
    assert_eq!(client.read_response().0, 200);
    assert_eq!(counted(&forwarder, "queries_decided{planner}"), 1);
    drop(restarted);
}

/// Three data nodes are drained, but the planner uses a discovery instance that does not publish their new
/// status. The forwarder must not send requests to these nodes.
#[rstest]
fn decisions_by_an_outdated_endpoint_list_send_nothing_to_a_draining_node() {
    let mut testbed = testbed(0, Setting::default(), quick());
    let outdated_discovery = Agent::start(testbed.entries.clone()).expect("discovery");
    testbed.planners.push(testbed.planner(0, 1, outdated_discovery.address, "127.0.0.1:0"));
    let forwarder = testbed.ready_forwarder();
    let before = load::send(forwarder.address, &testbed.load(100.0, 0.5), testbed.clock);
    assert_sound(&before);
    for entry in &testbed.entries[..3] {
        testbed.agent.change(vec![Entry { status: "DRAINING", ..entry.clone() }]);
    }
    wait_until(&forwarder, "the forwarder has the drain", |c| c["roster_changes"] >= 3);
    let drained_at = testbed.clock.now();
    let outcome = load::send(forwarder.address, &testbed.load(100.0, 2.0), testbed.clock);
    assert_sound(&outcome);
    assert!(outcome.merged() as f64 > 0.9 * outcome.sent as f64, "{:?}", outcome.statuses);
    for node in &testbed.fleet.nodes[..3] {
        assert!(node.last_call() < drained_at, "{} received new requests", node.name);
    }
    assert!(counted(&forwarder, "calls_of_nodes_not_serving") > 0, "no decision was outdated");
    // After half of the grace period the forwarder no longer uses the planner.
    wait_until(&forwarder, "the planner is outdated", |c| c["planners_able"] == 0);
}

/// One forwarder's queries let its planner observe a slow data node; the other forwarder must then avoid this
/// node. With two planners, each forwarder uses another planner, and the observations must reach the second
/// planner through a forwarder.
#[rstest]
#[case::one_planner(1)]
#[case::two_planners(2)]
fn other_forwarders_avoid_a_slow_node_that_one_has_observed(#[case] planners: usize) {
    let testbed =
        testbed(planners, Setting::default(), Make { service: 0.002, exponential: false, ..quick() });
    // With two planners, the second forwarder gets a name for which it prefers another planner than the first
    // forwarder.
    let all: Vec<String> = (0..planners).map(|n| format!("p-{n}")).collect();
    let asks = |n: &usize| QueryAssignments::new(&format!("f-{n}")).preferred_decider(all.iter());
    let second = (1..100).find(|n| planners == 1 || asks(n) != asks(&0)).expect("a name");
    let (one, other) = (testbed.ready_forwarder(), testbed.ready_forwarder_named(&format!("f-{second}")));
    assert_sound(&load::send(one.address, &testbed.load(150.0, 1.0), testbed.clock));
    testbed.fleet.nodes[0].set(Fault::Silent);
    assert_sound(&load::send(one.address, &testbed.load(150.0, 1.0), testbed.clock));
    let before = testbed.fleet.nodes[0].met.parts.load(Relaxed);
    let outcome = load::send(other.address, &testbed.load(100.0, 1.0), testbed.clock);
    assert_sound(&outcome);
    let requests = testbed.fleet.nodes[0].met.parts.load(Relaxed) - before;
    // Each query has three shard requests. Without the observation that node 0 does not respond, node 0 would
    // get a sixth of them. Node 0 still gets a few attempts, so the test allows up to a quarter of that
    // sixth.
    assert!(4 * requests < 3 * outcome.sent / 6, "{requests} shard requests of {} queries", outcome.sent);
}

/// The peer sends a hello message of another protocol version, or bytes of another protocol.
#[rstest]
#[case::another_version(Some(2), "the peer speaks version 2 of the protocol, this side version 1")]
#[case::another_protocol(None, "the peer does not speak this protocol")]
fn a_peer_of_another_protocol_version_is_logged_with_one_line(
    #[case] version: Option<u16>,
    #[case] why: &str,
) {
    let testbed = testbed(0, Setting::default(), quick());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().take(2) {
            let Ok(mut stream) = stream else { return };
            let mut bytes = vec![];
            match version {
                Some(version) => {
                    let name = "p-9".to_string();
                    encode_hello::<Message>(
                        &mut bytes,
                        &Hello { version, is_planner: true, incarnation: 1, name },
                    );
                }
                None => bytes.extend_from_slice(b"HTTP/1.1 400 Bad Request\r\n\r\n"),
            }
            let _ = stream.write_all(&bytes);
            let _ = stream.read(&mut [0; 100]);
        }
    });
    let forwarder = testbed.forwarder(&[at]);
    wait_for_log(&forwarder, &format!("planner at {at}: {why}"));
    let mut client = Client::connect(&forwarder);
    client.send_query("q", 1500);
    assert_eq!(client.read_response().0, 200);
}

/// The planner accepts queries, but sends neither decisions nor heartbeats on its open connection.
#[rstest]
fn queries_of_an_unresponsive_planner_are_answered_after_its_heartbeat_timeout() {
    let testbed = testbed(0, Setting::default(), quick());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let forwarder = std::thread::scope(|scope| {
        scope.spawn(move || {
            let (mut stream, _) = listener.accept().expect("a forwarder");
            let mut bytes = vec![];
            let name = "p-9".to_string();
            encode_hello::<Message>(
                &mut bytes,
                &Hello { version: Message::VERSION, is_planner: true, incarnation: 1, name },
            );
            encode_message(
                &mut bytes,
                &Message::Heartbeat { number: 1, endpoints_version: 1_000_000, accepts_queries: true },
            )
            .expect("it fits a frame");
            stream.write_all(&bytes).expect("written");
            // This simulated planner reads all messages and never responds.
            let mut space = [0; 4096];
            while matches!(stream.read(&mut space), Ok(1..)) {}
        });
        let forwarder = testbed.forwarder(&[at]);
        let mut client = Client::connect(&forwarder);
        client.send_query("q", 1900);
        assert_eq!(client.read_response().0, 200);
        wait_until(&forwarder, "the planner is lost", |c| c.get("planners_lost") == Some(&1));
        forwarder
    });
    assert_eq!(counted(&forwarder, "queries_open"), 0);
}

/// Guards against queries that wait in a planner until their deadline: a planner whose open queries and shard
/// requests together reach the limit `room` must reject further queries at once, and the forwarder must
/// respond to the client with the rejection.
#[rstest]
fn a_planner_at_its_limit_rejects_queries_at_once() {
    let setting = Setting { room: 8, ..Setting::default() };
    let testbed = testbed(1, setting.clone(), quick());
    // The forwarder has a limit of 20,000 instead of 8, so that only the planner rejects queries.
    let planners: Vec<SocketAddr> = testbed.planners.iter().map(|p| p.address).collect();
    let wide = Testbed { setting: Setting { room: 20_000, ..setting }, ..testbed };
    let forwarder = wide.forwarder(&planners);
    wait_until(&forwarder, "the planner is available", |c| c.get("planners_able") == Some(&1));
    wide.fleet.nodes.iter().for_each(|n| n.set(Fault::Silent));
    let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(&forwarder)).collect();
    let start = Instant::now();
    clients.iter_mut().enumerate().for_each(|(n, client)| client.send_query(&format!("q{n}"), 1800));
    wait_until(&forwarder, "some are rejected", |c| {
        c.get("queries_rejected{site-search}").is_some_and(|n| *n >= 1)
    });
    let in_time = start.elapsed() < Duration::from_millis(1000);
    assert!(in_time, "rejected after {:?}", start.elapsed());
    let statuses: Vec<u16> = clients.iter_mut().map(|client| client.read_response().0).collect();
    assert!(statuses.contains(&503), "{statuses:?}");
}

/// Planners are restarted one after the other, then the forwarder is shut down, as in a rolling deployment.
#[rstest]
fn a_rolling_restart_of_planners_and_forwarders_loses_no_query() {
    let mut testbed = testbed(2, Setting::default(), quick());
    let forwarder = testbed.ready_forwarder();
    let addresses: Vec<SocketAddr> = testbed.planners.iter().map(|p| p.address).collect();
    let load = testbed.load(150.0, 4.0);
    let (to, clock) = (forwarder.address, testbed.clock);
    let outcome = std::thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        for (n, at) in addresses.iter().enumerate() {
            sleep(Duration::from_millis(300));
            // `stop` sends SIGTERM; the planner exits after its open queries have ended.
            drop(testbed.planners.remove(0).stop());
            let next = testbed.planner(n, 2, testbed.agent.address, &at.to_string());
            testbed.planners.push(next);
            wait_until(&forwarder, "both planners are available", |c| c.get("planners_able") == Some(&2));
        }
        sent.join().expect("the load does not panic")
    });
    assert_sound(&outcome);
    assert_eq!(outcome.merged(), outcome.sent, "{:?}", outcome.statuses);
    let log = forwarder.stop();
    assert!(log.iter().any(|line| line.contains("ended after")), "{log:?}");
}
