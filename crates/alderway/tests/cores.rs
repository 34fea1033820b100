//! A query router on several cores, as a process with simulated data nodes and simulated discovery. The tests
//! wait for observable conditions, because fixed delays can be too short on a busy machine.
mod common;
use alderway_lab::Clock;
use alderway_lab::agent::{Agent, Entry};
use alderway_lab::fleet::Fleet;
use alderway_lab::load::{self, Load, Pace};
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use alderway_router::state::descriptors;
use common::{Client, TIMEOUT, wait_for_log};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// A router process, simulated data nodes that are in the router's endpoint list, and simulated discovery.
struct Testbed {
    clock: Clock,
    fleet: Fleet,
    agent: Agent,
    entries: Vec<Entry>,
    program: Program,
}

/// Starts a router on `cores` cores with `nodes` data nodes and discovery.
fn testbed(cores: usize, nodes: usize, setting: &Setting) -> Testbed {
    testbed_with(&format!("cores(count = {cores})"), nodes, setting)
}

/// Starts a router with the given text of the operator's file, `nodes` data nodes and discovery.
fn testbed_with(operator: &str, nodes: usize, setting: &Setting) -> Testbed {
    let (clock, make) = (Clock::default(), Make { service: 0.0005, ..Make::default() });
    let fleet = Fleet::start(nodes, 1, &make, 7, clock, false).expect("data nodes");
    let entries = fleet.entries(|_| 0);
    let agent = Agent::start(entries.clone()).expect("discovery");
    let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator: Some(operator.into()) };
    let program = Program::start(&build, &setting.configuration(agent.address, &entries));
    let program = program.unwrap_or_else(|why| panic!("{why}"));
    let testbed = Testbed { clock, fleet, agent, entries, program };
    let cores = if operator.contains("count = 1)") { 0 } else { 1 };
    testbed.wait_until("all cores serve", |c| c.get("cores_serving").copied().unwrap_or(1) >= cores);
    testbed
}

impl Testbed {
    fn wait_until(
        &self,
        description: &str,
        holds: impl Fn(&std::collections::BTreeMap<String, u64>) -> bool,
    ) {
        common::wait_until(&self.program, description, holds);
    }

    /// Waits until at least `count` cores serve, then opens `count` connections: one on each core if there
    /// are `count` cores.
    fn clients(&self, count: usize) -> Vec<Client> {
        self.wait_until("all serve", |c| c["cores_serving"] >= count as u64);
        (0..count).map(|_| Client::connect(&self.program)).collect()
    }

    fn load(&self, pace: Pace, span: f64) -> Load {
        Load { pace, connections: 16, ..common::load(0.0, span) }
    }
}

#[rstest]
fn each_query_on_four_cores_is_answered_correctly_once_and_the_counters_add_up() {
    let testbed = testbed(4, 4, &Setting::default());
    let sent = load::send(testbed.program.address, &testbed.load(Pace::Closed, 1.0), testbed.clock);
    assert!(sent.sent > 100 && sent.wrong + sent.lost + sent.late == 0, "{:?}", sent.statuses);
    testbed.wait_until("all counted", |c| {
        c.get("queries_taken{site-search}").copied() == Some(sent.sent) && c["queries_open"] == 0
    });
    let counted = testbed.program.counters();
    let count = |name: &str| counted.get(&format!("queries_{name}{{site-search}}")).copied().unwrap_or(0);
    let ended = ["merged", "merged_in_part", "rejected", "aborted", "turned_away", "left", "overdue"];
    assert_eq!(count("taken"), ended.iter().map(|name| count(name)).sum::<u64>() + counted["queries_open"]);
    // Under load a query may be answered partially. Full and partial answers both have status 200.
    assert_eq!(count("merged") + count("merged_in_part"), sent.merged(), "{counted:?}");
    testbed.wait_until("ids are released", |c| c["ids_open"] == 0);
}

/// Guards against counters that decrease because the core that returns the counters of all cores uses
/// outdated values of the other cores.
#[rstest]
fn counters_do_not_decrease_when_read_from_another_core() {
    let testbed = testbed(4, 2, &Setting::default());
    let mut clients = testbed.clients(4);
    let merged =
        |client: &mut Client| client.counters().get("queries_merged{site-search}").copied().unwrap_or(0);
    for query in 0..20 {
        let (serving, another) = (query % 4, (query + 1) % 4);
        clients[serving].send_query(&format!("q{query}"), 1500);
        assert_eq!(clients[serving].read_response().0, 200);
        let before = merged(&mut clients[serving]);
        let after = merged(&mut clients[another]);
        assert!(after >= before, "query {query}: {before}, then {after}");
    }
}

#[rstest]
fn a_query_id_open_on_one_core_is_rejected_on_all_others() {
    let testbed = testbed(4, 1, &Setting::default());
    testbed.fleet.nodes[0].set(Fault::Silent);
    let mut clients = testbed.clients(4);
    clients.iter_mut().for_each(|c| c.send_query("9b1f", 700));
    let mut statuses: Vec<u16> = clients.iter_mut().map(|c| c.read_response().0).collect();
    statuses.sort_unstable();
    assert_eq!(statuses[..3], [400, 400, 400]);
    assert!(statuses[3] >= 500, "the accepted query: {statuses:?}");
    // After the response, any core accepts the id again.
    testbed.fleet.nodes[0].set(Fault::None);
    clients[2].send_query("9b1f", 1500);
    assert_ne!(clients[2].read_response().0, 400);
}

#[rstest]
fn the_limit_of_open_queries_applies_to_all_cores_together() {
    let testbed = testbed(4, 1, &Setting { room: 10, ..Setting::default() });
    testbed.fleet.nodes[0].set(Fault::Silent);
    // Each query counts twice against the limit of 10, once for itself and once for its shard request, so
    // five of the 12 queries are accepted.
    let mut clients: Vec<Client> = (0..12).map(|_| Client::connect(&testbed.program)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_query(&format!("q{n}"), 1500);
    }
    testbed.wait_until("seven are rejected", |c| {
        c.get("queries_turned_away{site-search}") == Some(&7) && c["queries_and_parts_held"] == 10
    });
}

#[rstest]
fn while_a_core_hangs_the_others_serve_until_it_recovers() {
    let testbed = testbed(3, 2, &Setting::default());
    let mut clients = testbed.clients(3);
    clients[0].inject_fault("hang 1500");
    wait_for_log(&testbed.program, "hangs since");
    // New connections are assigned to the two cores that do not hang.
    for n in 0..6 {
        let mut client = Client::connect(&testbed.program);
        client.send_query(&format!("new{n}"), 1500);
        assert_eq!(client.read_response().0, 200);
    }
    testbed.wait_until("the core serves again", |c| c["cores_hung"] == 0 && c["cores_serving"] == 3);
    clients[0].send_query("after", 1500);
    assert_eq!(clients[0].read_response().0, 200);
}

#[rstest]
fn a_failed_core_answers_its_open_queries_and_restarts() {
    // With a latency objective of 1900 ms, the routing policy does not abort the queries before the core
    // fails.
    let testbed = testbed(3, 2, &Setting { slo_ms: 1900, ..Setting::default() });
    // Connections that read the counters shift the assignment: with nine clients on three cores, each
    // core still has at least one client.
    testbed.wait_until("all serve", |c| c["cores_serving"] == 3);
    let mut clients: Vec<Client> = (0..9).map(|_| Client::connect(&testbed.program)).collect();
    testbed.fleet.nodes.iter().for_each(|n| n.set(Fault::Silent));
    clients.iter_mut().enumerate().for_each(|(n, c)| c.send_query(&format!("open{n}"), 1900));
    testbed.wait_until("all are open", |c| c["queries_open"] == 9);
    let mut another = Client::connect(&testbed.program);
    another.inject_fault("fail");
    let responses: Vec<(u16, String)> = clients.iter_mut().map(Client::read_response).collect();
    let aborted = responses.iter().filter(|(status, _)| *status == 504).count();
    assert_eq!((responses.len(), aborted >= 1), (9, true), "{responses:?}");
    testbed.fleet.nodes.iter().for_each(|n| n.set(Fault::None));
    testbed.wait_until("the core serves again", |c| {
        c.get("core_failures") == Some(&1) && c["cores_serving"] == 3
    });
    testbed.wait_until("its ids and capacity are released", |c| {
        c["ids_open"] == 0 && c["queries_and_parts_held"] == 0
    });
    let sent = load::send(testbed.program.address, &testbed.load(Pace::Closed, 0.3), testbed.clock);
    assert_eq!((sent.wrong, sent.lost, sent.late), (0, 0, 0));
}

/// Guards against a request that is never answered because the core that has read all or part of the request
/// fails.
#[rstest]
#[case::second_request_on_a_connection(|client: &mut Client, number: usize| {
    client.send_query(&format!("open{number}"), 1900);
    client.send_query(&format!("behind{number}"), 1900);
}, 2)]
#[case::half_sent(|client: &mut Client, _| client.send("POST /api HTTP/1.1\r\nX-Correlation-Id: h\r\n"), 1)]
fn a_failed_core_answers_requests_that_it_has_begun_to_read(
    #[case] send: impl Fn(&mut Client, usize),
    #[case] answers: usize,
) {
    let testbed = testbed(3, 2, &Setting { slo_ms: 1900, ..Setting::default() });
    testbed.wait_until("all serve", |c| c["cores_serving"] == 3);
    testbed.fleet.nodes.iter().for_each(|n| n.set(Fault::Silent));
    // Three connections for each core, so that the core that fails has some connections.
    let mut clients: Vec<Client> = (0..9).map(|_| Client::connect(&testbed.program)).collect();
    clients.iter_mut().enumerate().for_each(|(number, client)| send(client, number));
    testbed.wait_until("all requests are read", |c| c["bytes_from_clients"] > 0 && c["clients_open"] >= 9);
    let mut another = Client::connect(&testbed.program);
    another.inject_fault("fail");
    let statuses = |client: &mut Client| (0..answers).map(|_| client.read_response().0).collect::<Vec<u16>>();
    let answered: Vec<Vec<u16>> = clients.iter_mut().map(statuses).collect();
    assert!(answered.iter().flatten().all(|status| *status >= 408), "{answered:?}");
}

#[rstest]
fn a_core_that_hung_during_a_drain_sends_nothing_to_the_drained_node() {
    let testbed = testbed(3, 3, &Setting::default());
    let mut clients = testbed.clients(3);
    let drained = &testbed.fleet.nodes[1];
    let (to, load, clock) = (testbed.program.address, testbed.load(Pace::Open(300.0), 5.0), testbed.clock);
    let sent = thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        testbed.wait_until("the node receives requests", |_| drained.last_call() > 0.0);
        clients[0].inject_fault("hang 3000");
        wait_for_log(&testbed.program, "hangs since");
        let drained_at = clock.now();
        testbed.agent.change(vec![Entry { status: "DRAINING", ..testbed.entries[1].clone() }]);
        testbed.wait_until("the core serves again", |c| c["cores_hung"] == 0 && c["cores_serving"] == 3);
        let sent = sent.join().expect("the load does not panic");
        // The core hung for longer than the grace period while attempts were queued. After the hang, the core
        // must not send these attempts to the drained node.
        assert!(
            drained.last_call() < drained_at + 2.0,
            "{} s after the notice",
            drained.last_call() - drained_at
        );
        sent
    });
    assert_eq!(sent.wrong, 0);
}

#[rstest]
fn a_resumed_process_sends_nothing_by_an_outdated_endpoint_list() {
    let testbed = testbed(2, 2, &Setting::default());
    let (to, load, clock) = (testbed.program.address, testbed.load(Pace::Open(200.0), 4.5), testbed.clock);
    let drained = &testbed.fleet.nodes[0];
    thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        testbed.wait_until("the node receives requests", |_| drained.last_call() > 0.0);
        testbed.program.signal(Signal::SIGSTOP);
        let drained_at = clock.now();
        testbed.agent.change(vec![Entry { status: "DRAINING", ..testbed.entries[0].clone() }]);
        thread::sleep(Duration::from_millis(2300));
        testbed.program.signal(Signal::SIGCONT);
        sent.join().expect("the load does not panic");
        assert!(
            drained.last_call() < drained_at + 2.0,
            "{} s after the notice",
            drained.last_call() - drained_at
        );
    });
}

#[rstest]
fn cores_share_observations_of_a_slow_node() {
    let testbed = testbed(3, 4, &Setting::default());
    testbed.fleet.nodes[2].set(Fault::Slow(2000.0));
    let sent = load::send(testbed.program.address, &testbed.load(Pace::Open(200.0), 1.5), testbed.clock);
    assert_eq!((sent.wrong, sent.lost), (0, 0));
    testbed.wait_until("observations are shared", |c| {
        let count = |name: &str| c.get(name).copied().unwrap_or(0);
        count("evidence_told") > 0 && count("evidence_heard") >= count("evidence_told")
    });
}

#[rstest]
fn cores_with_sharing_disabled_exchange_no_observations() {
    let testbed = testbed_with("cores(count = 3, evidence = False)", 4, &Setting::default());
    testbed.fleet.nodes[2].set(Fault::Slow(2000.0));
    load::send(testbed.program.address, &testbed.load(Pace::Open(200.0), 1.0), testbed.clock);
    let counters = testbed.program.counters();
    assert_eq!((counters.get("evidence_told"), counters.get("evidence_heard")), (None, None));
}

#[rstest]
fn a_client_that_connects_while_all_cores_hang_is_served_afterwards() {
    let testbed = testbed(2, 1, &Setting::default());
    let mut clients = testbed.clients(2);
    clients.iter_mut().for_each(|c| c.inject_fault("hang 1500"));
    thread::sleep(Duration::from_millis(800));
    let mut late = Client::connect(&testbed.program);
    late.send_query("late", 1900);
    assert_eq!(late.read_response().0, 200);
}

#[rstest]
fn connections_of_a_busy_core_move_to_an_idle_one_without_losing_queries() {
    let testbed = testbed(2, 2, &Setting::default());
    // Every second connection is assigned to the first core; only those send queries.
    let mut all = testbed.clients(2);
    all.extend((0..30).map(|_| Client::connect(&testbed.program)));
    let mut busy: Vec<Client> = all.into_iter().step_by(2).collect();
    let end = Instant::now() + TIMEOUT;
    let stop = std::sync::atomic::AtomicBool::new(false);
    let answered: usize = thread::scope(|scope| {
        let senders: Vec<_> = busy
            .iter_mut()
            .enumerate()
            .map(|(c, client)| {
                let stop = &stop;
                scope.spawn(move || {
                    let mut n = 0;
                    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                        client.send_query(&format!("c{c}-{n}"), 1900);
                        let (status, body) = client.read_response();
                        assert!(
                            status == 503 || (status == 200 && body.contains("\"whole\":true")),
                            "{body}"
                        );
                        n += 1;
                    }
                    n
                })
            })
            .collect();
        let moved = || testbed.program.counters().get("clients{moved}").copied().unwrap_or(0);
        while moved() == 0 && Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
        }
        let seen = moved();
        thread::sleep(Duration::from_millis(200));
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        assert!(seen > 0, "no connection moved");
        senders.into_iter().map(|sender| sender.join().expect("one response for each query")).sum()
    });
    assert!(answered > 0);
}

#[rstest]
fn the_limit_of_connections_to_a_node_applies_to_all_cores_together() {
    // Each connection carries one attempt at a time, so that without the limit the router would open many
    // connections.
    let setting = Setting { places: 1, ..Setting::default() };
    let testbed = testbed_with("cores(count = 4, node_connections = 8)", 2, &setting);
    let load = Load { connections: 64, ..testbed.load(Pace::Closed, 0.7) };
    let sent = load::send(testbed.program.address, &load, testbed.clock);
    assert_eq!((sent.wrong, sent.lost, sent.late), (0, 0, 0));
    for node in &testbed.fleet.nodes {
        let open = node.met.open.load(std::sync::atomic::Ordering::Relaxed);
        assert!((1..=8).contains(&open), "{open} connections");
    }
}

#[rstest]
fn the_limit_of_descriptors_applies_to_the_whole_process() {
    let setting = Setting { sockets: 96, places: 1, ..Setting::default() };
    let testbed = testbed(4, 6, &setting);
    let load = Load { connections: 200, ..testbed.load(Pace::Open(400.0), 1.0) };
    let (to, clock) = (testbed.program.address, testbed.clock);
    let most = thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        let mut most = 0;
        while !sent.is_finished() {
            most = most.max(testbed.program.descriptors());
            thread::sleep(Duration::from_millis(5));
        }
        most
    });
    assert!(most <= 96, "{most} descriptors");
}

#[rstest]
fn a_reload_and_a_shutdown_apply_to_all_cores() {
    let testbed = testbed(3, 2, &Setting::default());
    let mut clients = testbed.clients(3);
    // An invalid configuration changes nothing.
    let valid = std::fs::read_to_string(&testbed.program.config).expect("a file");
    std::fs::write(&testbed.program.config, "{").expect("written");
    testbed.program.signal(Signal::SIGHUP);
    wait_for_log(&testbed.program, "the old configuration holds");
    // After a reload with another address of the discovery service, the router connects to that address.
    let moved = Agent::start(testbed.entries.clone()).expect("discovery");
    let new = valid.replace(&testbed.agent.address.to_string(), &moved.address.to_string());
    std::fs::write(&testbed.program.config, new).expect("written");
    testbed.program.signal(Signal::SIGHUP);
    wait_for_log(&testbed.program, "discovery moves to");
    testbed.wait_until("the list of the new address", |c| c.get("roster_lists").copied().unwrap_or(0) >= 2);
    moved.change(vec![Entry { status: "DELETED", ..testbed.entries[0].clone() }]);
    testbed.wait_until("all cores have the change", |c| c["nodes_known"] == 1);
    // During a shutdown, the router answers the open queries of every core, and serves for a while.
    testbed.fleet.nodes[1].set(Fault::Paused);
    clients.iter_mut().enumerate().for_each(|(n, c)| c.send_query(&format!("last{n}"), 1900));
    testbed.wait_until("all are open", |c| c["queries_open"] == 3);
    testbed.program.signal(Signal::SIGTERM);
    // Each core logs that it received the signal.
    (0..3).for_each(|_| wait_for_log(&testbed.program, "SIGTERM:"));
    testbed.fleet.nodes[1].set(Fault::None);
    clients.iter_mut().for_each(|c| assert_eq!(c.read_response().0, 200));
    assert_eq!(clients[0].readiness_status(), 503);
    drop(clients);
    let Testbed { program, .. } = testbed;
    let last = program.stop();
    assert!(last.iter().any(|l| l.starts_with("queries_merged{site-search} 3")), "{last:?}");
}

#[rstest]
#[case::operators_file("cores(count = 0)", "{}", "count")]
#[case::configuration("cores(count = 2)", "{}", "key `settings`")]
fn an_invalid_file_ends_the_process_with_one_line(
    #[case] operator: &str,
    #[case] config: &str,
    #[case] expected: &str,
) {
    for verb in ["serve", "check"] {
        let name = format!("alderway-{}-{verb}-{}", std::process::id(), expected.len());
        let path = |ending: &str| std::env::temp_dir().join(format!("{name}.{ending}"));
        std::fs::write(path("star"), operator).expect("written");
        std::fs::write(path("json"), config).expect("written");
        let output = std::process::Command::new(Path::new(env!("CARGO_BIN_EXE_alderway")))
            .arg(verb)
            .arg("--operator")
            .arg(path("star"))
            .arg("--config")
            .arg(path("json"))
            .output()
            .expect("run");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!((output.status.code(), errors.lines().count()), (Some(2), 1), "{errors}");
        assert!(errors.contains(expected), "{errors}");
        ["star", "json"].iter().for_each(|ending| drop(std::fs::remove_file(path(ending))));
    }
}

/// Guards against too few file descriptors that the router reserves for its own use: the reserved number must
/// include those of each core's runtime, which are four for each core after the first.
#[rstest]
#[case(1)]
#[case(2)]
#[case(4)]
fn reserved_descriptors_cover_those_of_an_idle_process(#[case] cores: usize) {
    let testbed = testbed(cores, 1, &Setting::default());
    let open = testbed.program.descriptors();
    // The reservation must be larger than the number of open descriptors, because a reconnection to the
    // discovery service opens one more descriptor.
    assert!(open < descriptors::reserved(cores), "{open} open on {cores} cores");
}

#[rstest]
fn clients_that_connect_to_a_stopped_process_before_its_sigterm_are_served() {
    let testbed = testbed(2, 2, &Setting::default());
    testbed.program.signal(Signal::SIGSTOP);
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(&testbed.program)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query(&format!("q{number}"), 2000);
    }
    // The pause is longer than the time after which a core is considered hung.
    thread::sleep(Duration::from_millis(700));
    testbed.program.signal(Signal::SIGTERM);
    testbed.program.signal(Signal::SIGCONT);
    for client in &mut clients {
        assert_eq!(client.read_response().0, 200);
    }
}
