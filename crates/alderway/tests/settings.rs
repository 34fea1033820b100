//! Settings that change on several cores, and on two levels, over sockets: `alderway serve` beside stand-ins of data nodes
//! and discovery. Stories wait for what the program says or answers.
mod common;
use alderway_lab::Clock;
use alderway_lab::agent::Agent;
use alderway_lab::fleet::Fleet;
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use common::{Client, logged, until};
use nix::sys::signal::Signal;
use rstest::rstest;

/// The one vertical that clients here ask for goes.
const HERE_TO_GONE: (&str, &str) = (r#""Name":"site-search""#, r#""Name":"another""#);

struct Place {
    fleet: Fleet,
    _agent: Agent,
    program: Program,
}

fn place(operator: &str) -> Place {
    let (clock, make) = (Clock::default(), Make { service: 0.0005, ..Make::default() });
    let fleet = Fleet::start(2, 1, &make, 7, clock, false).expect("data nodes");
    let entries = fleet.entries(|_| 0);
    let agent = Agent::start(entries.clone()).expect("discovery");
    let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator: Some(operator.into()) };
    let program = Program::start(&build, &Setting::default().configuration(agent.address, &entries));
    Place { fleet, _agent: agent, program: program.unwrap_or_else(|why| panic!("{why}")) }
}

/// A router on three cores, with a client of each.
fn three() -> (Place, Vec<Client>) {
    let place = place("cores(count = 3)");
    until(&place.program, "all serve", |c| c["cores_serving"] == 3);
    let clients = (0..3).map(|_| Client::to(&place.program)).collect();
    (place, clients)
}

impl Place {
    fn reload(&self, changes: &[(&str, &str)]) {
        let mut text = std::fs::read_to_string(&self.program.config).expect("readable");
        for (from, to) in changes {
            assert!(text.contains(from), "{from} in {text}");
            text = text.replace(from, to);
        }
        std::fs::write(&self.program.config, text).expect("written");
        self.program.signal(Signal::SIGHUP);
    }

    fn rename(&self) {
        self.reload(&[HERE_TO_GONE]);
    }
}

#[rstest]
fn a_change_is_in_force_on_every_core_and_what_is_open_there_ends_by_the_rules() {
    let (place, mut clients) = three();
    place.fleet.nodes.iter().for_each(|node| node.set(Fault::Paused));
    clients.iter_mut().enumerate().for_each(|(n, client)| client.query(&format!("open{n}"), 1900));
    until(&place.program, "all are open", |c| c["queries_open"] == 3);
    place.rename();
    logged(&place.program, "in force, `Services` changed");
    let mut others: Vec<Client> = (0..6).map(|_| Client::to(&place.program)).collect();
    for (n, client) in others.iter_mut().enumerate() {
        client.query(&format!("late{n}"), 1900);
        assert_eq!(client.answer(), (400, "an unknown vertical\n".to_string()));
        assert_eq!(client.up(), 200);
    }
    place.fleet.nodes.iter().for_each(|node| node.set(Fault::None));
    clients.iter_mut().for_each(|client| assert_eq!(client.answer().0, 200));
    until(&place.program, "counted once", |c| {
        c.get("settings_taken") == Some(&1) && c.get("queries_merged{site-search}") == Some(&3)
    });
}

#[rstest]
fn a_core_that_hangs_keeps_nobody_waiting_and_reads_nothing_by_the_old_settings() {
    let (place, mut clients) = three();
    clients[0].fault("hang 2000");
    logged(&place.program, "hangs since");
    place.rename();
    logged(&place.program, "do not serve");
    // It waits there until the core wakes, which takes the change over before it reads it.
    clients[0].query("waits", 5000);
    assert_eq!(clients[0].answer().0, 400);
}

#[rstest]
fn a_core_that_starts_anew_starts_with_the_newest() {
    let (place, mut clients) = three();
    place.rename();
    logged(&place.program, "in force, `Services` changed");
    clients[0].fault("fail");
    logged(&place.program, "failed; 2 serve");
    until(&place.program, "it is back", |c| c["cores_serving"] == 3);
    let mut others: Vec<Client> = (0..9).map(|_| Client::to(&place.program)).collect();
    for (n, client) in others.iter_mut().enumerate() {
        client.query(&format!("q{n}"), 1900);
        assert_eq!(client.answer().0, 400);
    }
    // A further change finds it as well.
    place.reload(&[(HERE_TO_GONE.1, HERE_TO_GONE.0)]);
    logged(&place.program, "in force, `Services` changed");
    for (n, client) in others.iter_mut().enumerate() {
        client.query(&format!("r{n}"), 1900);
        assert_eq!(client.answer().0, 200);
    }
}

#[rstest]
fn what_cannot_change_is_refused_before_any_core_hears_of_it() {
    let (place, mut clients) = three();
    place.reload(&[(r#""MaxOpen":20000"#, r#""MaxOpen":10"#), HERE_TO_GONE]);
    logged(&place.program, "`Limits.MaxOpen` can't change while serving");
    for (n, client) in clients.iter_mut().enumerate() {
        client.query(&format!("q{n}"), 1900);
        assert_eq!(client.answer().0, 200);
    }
    until(&place.program, "counted", |c| c.get("settings_refused") == Some(&1));
}

#[rstest]
fn a_forwarders_settings_wait_for_a_start() {
    let place = place(r#"forwarder(planners = ["127.0.0.1:1"], count = 2)"#);
    place.rename();
    logged(&place.program, "`settings` can't change while serving");
    let mut client = Client::to(&place.program);
    client.query("q", 1900);
    assert_eq!(client.answer().0, 200);
}
