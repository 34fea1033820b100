//! System calls that fail as Linux documents, and a wall clock that steps, while the program serves and stops.
mod common;
use common::*;
use rstest::rstest;
use std::thread;
use std::time::{Duration, Instant};

/// A router under a plan of faults over one data node, which answers every part at once.
fn serving_under(faults: &str) -> (Program, Agent) {
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let program = Program::with_faults(&nodes.addresses, agent.address, &settings(1000, 180), faults);
    thread::spawn(move || {
        while let Ok(mut came) = nodes.frames.recv() {
            for id in parts(&came.text) {
                reply(&mut came.stream, &format!("{id} done 17 -\nvalue of {id}"));
            }
        }
    });
    (program, agent)
}

/// Asks so many queries, one after the other on a connection; how many were not merged.
fn ask_in_turn(program: &Program, count: usize) -> usize {
    let mut client = program.connect();
    let mut failed = 0;
    for number in 0..count {
        client.ask(&format!("q{number}"), &[1, 2, 3], 1000);
        failed += usize::from(client.status() != "200");
    }
    failed
}

#[rstest]
#[case::interrupted("seed=1 eintr=0.05")]
#[case::short("seed=2 short=0.3")]
#[case::without_buffers("seed=3 nobufs=0.02")]
fn a_call_on_a_socket_that_fails_for_now_ends_no_connection(#[case] faults: &str) {
    let (program, _agent) = serving_under(faults);
    assert_eq!(ask_in_turn(&program, 300), 0, "queries that were not merged");
    let counters = program.counters();
    assert_eq!(counters.get("connections{closed}"), None, "{counters:?}");
}

#[rstest]
fn connections_that_wait_at_a_stop_are_served_though_accepting_fails_at_times() {
    let (program, _agent) = serving_under("seed=4 accept=0.2");
    program.signal("TERM");
    program.says("SIGTERM");
    program.signal("STOP");
    let mut clients: Vec<Client> = (0..40).map(|_| program.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(&format!("q{number}"), &[1], 4000);
    }
    // Past the moment at which the listener was to close.
    thread::sleep(Duration::from_millis(700));
    program.signal("CONT");
    for client in &mut clients {
        assert_eq!(client.status(), "200");
    }
}

#[rstest]
#[case::an_hour_ahead("wall=3600")]
#[case::an_hour_behind("wall=-3600")]
#[case::to_and_fro("wobble=3600")]
fn what_the_wall_clock_shows_takes_no_time_from_a_client(#[case] faults: &str) {
    let (program, _agent) = serving_under(faults);
    assert_eq!(ask_in_turn(&program, 200), 0, "queries that were not merged");
}

#[rstest]
fn a_request_that_waited_to_be_read_has_less_time_left_whatever_the_wall_clock_shows() {
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let settings = settings(4000, 180);
    let program = Program::with_faults(&nodes.addresses, agent.address, &settings, "wobble=3600");
    let mut client = program.connect();
    client.ask("a", &[1], 4000);
    nodes.serve();
    assert_eq!(client.status(), "200");
    program.signal("STOP");
    let asked = Instant::now();
    client.ask("b", &[1], 4000);
    thread::sleep(Duration::from_millis(600));
    program.signal("CONT");
    let call = nodes.next('S').text;
    let told = call.split("d=").nth(1).and_then(|rest| rest.split(' ').next()).expect("in the form");
    let left = Duration::from_millis(4000).saturating_sub(asked.elapsed());
    let told = Duration::from_millis(told.parse().expect("a number"));
    assert!(told <= left + Duration::from_millis(150), "told {told:?}, left {left:?}");
}
