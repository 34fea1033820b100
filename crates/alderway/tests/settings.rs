//! Changes of settings on several cores and on a forwarder: a query router as a process with simulated data
//! nodes and simulated discovery. The tests wait for log lines and responses.
mod common;
use alderway_lab::Clock;
use alderway_lab::agent::Agent;
use alderway_lab::fleet::Fleet;
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use common::{Client, wait_for_log, wait_until};
use nix::sys::signal::Signal;
use rstest::rstest;

/// Renames the vertical that the clients of these tests query, so that their queries are rejected.
const RENAMED_VERTICAL: (&str, &str) = (r#""Name":"site-search""#, r#""Name":"another""#);

/// A router with two data nodes and discovery.
struct Testbed {
    fleet: Fleet,
    _agent: Agent,
    program: Program,
}

fn testbed(operator: &str) -> Testbed {
    let (clock, make) = (Clock::default(), Make { service: 0.0005, ..Make::default() });
    let fleet = Fleet::start(2, 1, &make, 7, clock, false).expect("data nodes");
    let entries = fleet.entries(|_| 0);
    let agent = Agent::start(entries.clone()).expect("discovery");
    let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator: Some(operator.into()) };
    let program = Program::start(&build, &Setting::default().configuration(agent.address, &entries));
    Testbed { fleet, _agent: agent, program: program.unwrap_or_else(|why| panic!("{why}")) }
}

/// A router on three cores, with a client on each.
fn three_cores() -> (Testbed, Vec<Client>) {
    let testbed = testbed("cores(count = 3)");
    wait_until(&testbed.program, "all serve", |c| c["cores_serving"] == 3);
    let clients = (0..3).map(|_| Client::connect(&testbed.program)).collect();
    (testbed, clients)
}

impl Testbed {
    /// Replaces texts of the configuration and reloads it.
    fn reload(&self, changes: &[(&str, &str)]) {
        let mut text = std::fs::read_to_string(&self.program.config).expect("readable");
        for (from, to) in changes {
            assert!(text.contains(from), "{from} in {text}");
            text = text.replace(from, to);
        }
        std::fs::write(&self.program.config, text).expect("written");
        self.program.signal(Signal::SIGHUP);
    }

    fn rename_vertical(&self) {
        self.reload(&[RENAMED_VERTICAL]);
    }
}

#[rstest]
fn a_change_applies_on_every_core_and_open_queries_complete() {
    let (testbed, mut clients) = three_cores();
    testbed.fleet.nodes.iter().for_each(|node| node.set(Fault::Paused));
    clients.iter_mut().enumerate().for_each(|(n, client)| client.send_query(&format!("open{n}"), 1900));
    wait_until(&testbed.program, "all are open", |c| c["queries_open"] == 3);
    testbed.rename_vertical();
    wait_for_log(&testbed.program, "in force, `Services` changed");
    let mut new_clients: Vec<Client> = (0..6).map(|_| Client::connect(&testbed.program)).collect();
    for (n, client) in new_clients.iter_mut().enumerate() {
        client.send_query(&format!("late{n}"), 1900);
        assert_eq!(client.read_response(), (400, "an unknown vertical\n".to_string()));
        assert_eq!(client.readiness_status(), 200);
    }
    testbed.fleet.nodes.iter().for_each(|node| node.set(Fault::None));
    clients.iter_mut().for_each(|client| assert_eq!(client.read_response().0, 200));
    wait_until(&testbed.program, "counted once", |c| {
        c.get("settings_taken") == Some(&1) && c.get("queries_merged{site-search}") == Some(&3)
    });
}

#[rstest]
fn a_hung_core_does_not_delay_a_change_and_reads_nothing_by_the_old_settings() {
    let (testbed, mut clients) = three_cores();
    clients[0].inject_fault("hang 2000");
    wait_for_log(&testbed.program, "hangs since");
    testbed.rename_vertical();
    wait_for_log(&testbed.program, "do not serve");
    // The core reads the query after the hang, and must apply the change before it reads the query.
    clients[0].send_query("waits", 5000);
    assert_eq!(clients[0].read_response().0, 400);
}

#[rstest]
fn a_restarted_core_uses_the_newest_settings() {
    let (testbed, mut clients) = three_cores();
    testbed.rename_vertical();
    wait_for_log(&testbed.program, "in force, `Services` changed");
    clients[0].inject_fault("fail");
    wait_for_log(&testbed.program, "failed; 2 serve");
    wait_until(&testbed.program, "the core serves again", |c| c["cores_serving"] == 3);
    let mut new_clients: Vec<Client> = (0..9).map(|_| Client::connect(&testbed.program)).collect();
    for (n, client) in new_clients.iter_mut().enumerate() {
        client.send_query(&format!("q{n}"), 1900);
        assert_eq!(client.read_response().0, 400);
    }
    // A further change also applies on the core that was replaced after its failure.
    testbed.reload(&[(RENAMED_VERTICAL.1, RENAMED_VERTICAL.0)]);
    wait_for_log(&testbed.program, "in force, `Services` changed");
    for (n, client) in new_clients.iter_mut().enumerate() {
        client.send_query(&format!("r{n}"), 1900);
        assert_eq!(client.read_response().0, 200);
    }
}

#[rstest]
fn a_change_that_needs_a_restart_is_rejected_on_all_cores() {
    let (testbed, mut clients) = three_cores();
    testbed.reload(&[(r#""MaxOpen":20000"#, r#""MaxOpen":10"#), RENAMED_VERTICAL]);
    wait_for_log(&testbed.program, "`Limits.MaxOpen` can't change while serving");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_query(&format!("q{n}"), 1900);
        assert_eq!(client.read_response().0, 200);
    }
    wait_until(&testbed.program, "counted", |c| c.get("settings_refused") == Some(&1));
}

#[rstest]
fn a_forwarder_rejects_changes_of_settings_while_serving() {
    let testbed = testbed(r#"forwarder(planners = ["127.0.0.1:1"], count = 2)"#);
    testbed.rename_vertical();
    wait_for_log(&testbed.program, "`settings` can't change while serving");
    let mut client = Client::connect(&testbed.program);
    client.send_query("q", 1900);
    assert_eq!(client.read_response().0, 200);
}
