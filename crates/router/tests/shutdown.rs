//! Tests of a graceful shutdown during which SIGSTOP suspends the process for a short time: every query that
//! was read is answered, and the process exits before the earliest SIGKILL.
mod common;
#[path = "common/suspended_shutdown.rs"]
mod suspended_shutdown;
use common::*;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};
use suspended_shutdown::{KILL_AFTER_DEADLINE_S, SUSPENSION_S, run_suspended_shutdowns, shutdown_errors};

/// The longest query deadline in the settings of these tests, in seconds.
const LONGEST_DEADLINE_S: f64 = 1.0;
/// Earliest time of SIGKILL by the client protocol, in seconds after SIGTERM.
const EARLIEST_KILL_S: f64 = LONGEST_DEADLINE_S + KILL_AFTER_DEADLINE_S;
/// Every suspension begins in this last part of the time before the earliest SIGKILL, in seconds.
const LAST_PART_S: f64 = 0.7;
/// Number of shutdowns that run concurrently, each suspended at another time.
const SHUTDOWNS: usize = 20;
const CLIENTS: usize = 4;

/// Returns everything that a client receives until its connection is closed.
fn received(client: Client) -> String {
    let mut bytes = client.0.buffer().to_vec();
    let mut stream: TcpStream = client.0.into_inner();
    // An error is ignored: a reset also closes the connection.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Runs a shutdown in which the process is suspended at `suspended_at_s`, in seconds after SIGTERM, for
/// `SUSPENSION_S`; returns what went wrong, one text for each error.
fn errors_of_suspended_shutdown(suspended_at_s: f64) -> Vec<String> {
    let settings = settings_json(500, 180).replace("\"DeadlineUs\":5000000", "\"DeadlineUs\":1000000");
    // The test sends no reply of the data node after SIGTERM, so the queries stay open until the shutdown
    // fails them.
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let mut program = Program::start(&nodes.addresses, discovery.address, &settings, r#"{"sockets":256}"#);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| program.connect()).collect();
    let process = Pid::from_raw(program.child.id() as i32);
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query(&format!("before{number}"), &[number as u32], 900);
        nodes.answer_next();
        assert_eq!(client.read_status(), "200");
    }
    let terminated = Instant::now();
    let at = |since_s: f64| {
        sleep((terminated + Duration::from_secs_f64(since_s)).saturating_duration_since(Instant::now()));
    };
    kill(process, Signal::SIGTERM).expect("it runs");
    // The queries are sent early enough to be admitted, with a time limit that is longer than the shutdown.
    at(0.6);
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query(&format!("open{number}"), &[number as u32], 5000);
    }
    at(suspended_at_s);
    let _ = kill(process, Signal::SIGSTOP);
    at(suspended_at_s + SUSPENSION_S);
    let _ = kill(process, Signal::SIGCONT);

    let received: Vec<String> = clients.into_iter().map(received).collect();
    program.child.wait().expect("it ends");
    shutdown_errors(suspended_at_s, &received, terminated.elapsed().as_secs_f64(), EARLIEST_KILL_S)
}

/// Guards against a process that was suspended and then exits before its tasks have written the last
/// responses, so that queries that were read are never answered.
#[rstest]
fn a_shutdown_suspended_at_any_time_of_its_last_part_answers_every_read_query() {
    run_suspended_shutdowns(EARLIEST_KILL_S, LAST_PART_S, SHUTDOWNS, errors_of_suspended_shutdown);
}

/// Guards against a client that completes its request just before the program exits and gets no response.
#[rstest]
#[case::the_rest_never_arrives(None)]
#[case::the_rest_arrives_at_the_end(Some(1.35))]
fn an_incomplete_request_at_the_end_of_the_program_is_answered(#[case] rest_at_s: Option<f64>) {
    let settings = settings_json(500, 180).replace("\"DeadlineUs\":5000000", "\"DeadlineUs\":1000000");
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let program = Program::start(&nodes.addresses, discovery.address, &settings, r#"{"sockets":256}"#);
    let mut client = program.connect();
    client.send_query("before", &[1], 900);
    nodes.answer_next();
    assert_eq!(client.read_status(), "200");
    let request = query_request("half", "site-search", &[1], 5000);
    let (first, rest) = request.split_at(request.len() / 2);
    let terminated = Instant::now();
    kill(Pid::from_raw(program.child.id() as i32), Signal::SIGTERM).expect("it runs");
    // 0.3 s after SIGTERM, the router still serves idle connections.
    sleep(Duration::from_secs_f64(0.3));
    client.send(first);
    if let Some(at_s) = rest_at_s {
        sleep((terminated + Duration::from_secs_f64(at_s)).saturating_duration_since(Instant::now()));
        // A failure is ignored: the router may already have sent its response and closed the connection.
        let _ = client.0.get_mut().write_all(rest.as_bytes());
    }
    let received = received(client);
    assert_eq!(received.matches("HTTP/1.1 503 ").count(), 1, "{received:?}");
}
