//! Graceful shutdowns of a process that stands still in the midst of one: every query that was read is answered, and the
//! process has ended before the earliest SIGKILL.
mod common;
#[path = "common/held_shutdown.rs"]
mod held_shutdown;
use common::*;
use held_shutdown::{HELD_UP_S, KILL_AFTER_DEADLINE_S, faults, play_moments};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The longest deadline of the settings below, in seconds.
const LONGEST_DEADLINE_S: f64 = 1.0;
const EARLIEST_KILL_S: f64 = LONGEST_DEADLINE_S + KILL_AFTER_DEADLINE_S;
/// The last part of a shutdown, in seconds before the earliest SIGKILL, in which its moments are tried.
const LAST_PART_S: f64 = 0.7;
const MOMENTS: usize = 20;
const CLIENTS: usize = 4;

/// What a client's connection has brought when it ends.
fn received(client: Client) -> String {
    let mut bytes = client.0.buffer().to_vec();
    let mut stream: TcpStream = client.0.into_inner();
    // A reset is an end as well.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Stands still at a moment of the shutdown; what went wrong, if anything did.
fn faults_of_a_shutdown_held_up(held_from_s: f64) -> Vec<String> {
    let settings = settings(500, 180).replace("\"DeadlineUs\":5000000", "\"DeadlineUs\":1000000");
    // The data node answers nothing from SIGTERM on, so that queries are open until the end.
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let mut program = Program::start(&nodes.addresses, agent.address, &settings, r#"{"sockets":256}"#);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| program.connect()).collect();
    let process = Pid::from_raw(program.child.id() as i32);
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(&format!("before{number}"), &[number as u32], 900);
        nodes.serve();
        assert_eq!(client.status(), "200");
    }
    let terminated = Instant::now();
    let at = |since_s: f64| {
        sleep((terminated + Duration::from_secs_f64(since_s)).saturating_duration_since(Instant::now()));
    };
    kill(process, Signal::SIGTERM).expect("it runs");
    // Read in time to be answered, and with more time left than the shutdown may take.
    at(0.6);
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask(&format!("open{number}"), &[number as u32], 5000);
    }
    at(held_from_s);
    let _ = kill(process, Signal::SIGSTOP);
    at(held_from_s + HELD_UP_S);
    let _ = kill(process, Signal::SIGCONT);

    let received: Vec<String> = clients.into_iter().map(received).collect();
    program.child.wait().expect("it ends");
    faults(held_from_s, &received, terminated.elapsed().as_secs_f64(), EARLIEST_KILL_S)
}

/// Guards against queries read and never answered, as a process that stood still ends with its last answers unwritten.
#[rstest]
fn a_shutdown_held_up_at_any_moment_of_its_last_part_answers_what_was_read() {
    play_moments(EARLIEST_KILL_S, LAST_PART_S, MOMENTS, faults_of_a_shutdown_held_up);
}

/// Guards against a client that sends the rest of its request to a program that ends just then.
#[rstest]
#[case::the_rest_never_comes(None)]
#[case::the_rest_comes_with_the_end(Some(1.35))]
fn a_request_half_sent_as_the_program_ends_is_answered(#[case] rest_at_s: Option<f64>) {
    let settings = settings(500, 180).replace("\"DeadlineUs\":5000000", "\"DeadlineUs\":1000000");
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let program = Program::start(&nodes.addresses, agent.address, &settings, r#"{"sockets":256}"#);
    let mut client = program.connect();
    client.ask("before", &[1], 900);
    nodes.serve();
    assert_eq!(client.status(), "200");
    let request = post("half", "site-search", &[1], 5000);
    let (first, rest) = request.split_at(request.len() / 2);
    let terminated = Instant::now();
    kill(Pid::from_raw(program.child.id() as i32), Signal::SIGTERM).expect("it runs");
    // While idle connections are still served.
    sleep(Duration::from_secs_f64(0.3));
    client.send(first);
    if let Some(at_s) = rest_at_s {
        sleep((terminated + Duration::from_secs_f64(at_s)).saturating_duration_since(Instant::now()));
        // The connection may have ended by then, with the answer on it.
        let _ = client.0.get_mut().write_all(rest.as_bytes());
    }
    let received = received(client);
    assert_eq!(received.matches("HTTP/1.1 503 ").count(), 1, "{received:?}");
}
