//! Graceful shutdowns of a router on several cores, during which the process is paused (SIGSTOP, then
//! SIGCONT). The router must answer every query that it has read, and must exit before the earliest time at
//! which a supervisor sends SIGKILL.
mod common;
#[path = "../../router/tests/common/suspended_shutdown.rs"]
mod suspended_shutdown;
use alderway_lab::Clock;
use alderway_lab::agent::Agent;
use alderway_lab::fleet::Fleet;
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use common::{Client, TIMEOUT, wait_until};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::sync::mpsc::RecvTimeoutError;
use std::thread::sleep;
use std::time::{Duration, Instant};
use suspended_shutdown::{KILL_AFTER_DEADLINE_S, SUSPENSION_S, run_suspended_shutdowns, shutdown_errors};

const CORES: u64 = 3;
/// The longest deadline of the settings below, in milliseconds.
const LONGEST_DEADLINE_MS: u64 = 1000;
const EARLIEST_KILL_S: f64 = LONGEST_DEADLINE_MS as f64 / 1e3 + KILL_AFTER_DEADLINE_S;
/// The process is paused within this many seconds before the earliest SIGKILL.
const LAST_PART_S: f64 = 0.4;
/// The number of shutdowns. The process is paused (SIGSTOP) at a different time of each shutdown.
const MOMENTS: usize = 20;
/// The number of client connections: two for each core.
const CLIENTS: usize = 2 * CORES as usize;

/// A router on several cores, and its data node.
struct Router {
    fleet: Fleet,
    _discovery: Agent,
    program: Program,
}

impl Router {
    fn start() -> Self {
        let make = Make { service: 0.0005, ..Make::default() };
        let fleet = Fleet::start(1, 1, &make, 7, Clock::default(), false).expect("a data node");
        let entries = fleet.entries(|_| 0);
        let discovery = Agent::start(entries.clone()).expect("discovery");
        let operator = Some(format!("cores(count = {CORES})"));
        let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator };
        let setting = Setting { deadline_ms: LONGEST_DEADLINE_MS, ..Setting::default() };
        let program = Program::start(&build, &setting.configuration(discovery.address, &entries));
        let program = program.unwrap_or_else(|why| panic!("{why}"));
        wait_until(&program, "all cores serve", |c| c.get("cores_serving") == Some(&CORES));
        Router { fleet, _discovery: discovery, program }
    }

    /// Waits until the process exits, which closes its log.
    fn wait_for_end(&self) {
        let end = Instant::now() + TIMEOUT;
        loop {
            match self.program.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => panic!("the process does not end"),
            }
        }
    }
}

/// Shuts down a router, pauses the process `held_from_s` seconds after SIGTERM and resumes the process
/// `SUSPENSION_S` seconds later. Returns a text for each client without exactly one response, and for an exit
/// after the earliest SIGKILL.
fn faults_of_a_shutdown_stopped_at(held_from_s: f64) -> Vec<String> {
    let router = Router::start();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::connect(&router.program)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query(&format!("before{number}"), 900);
        assert_eq!(client.read_response().0, 200);
    }
    // The data node no longer answers, so queries stay open until the end of the shutdown.
    router.fleet.nodes[0].set(Fault::Silent);
    let terminated = Instant::now();
    let sleep_until = |since_s: f64| {
        sleep((terminated + Duration::from_secs_f64(since_s)).saturating_duration_since(Instant::now()));
    };
    router.program.signal(Signal::SIGTERM);
    // These queries are sent early enough for the router to read them, with deadlines after the end of the
    // shutdown.
    sleep_until(0.6);
    clients
        .iter_mut()
        .enumerate()
        .for_each(|(number, client)| client.send_query(&format!("open{number}"), 5000));
    sleep_until(held_from_s);
    router.program.signal(Signal::SIGSTOP);
    sleep_until(held_from_s + SUSPENSION_S);
    router.program.signal(Signal::SIGCONT);

    let received: Vec<String> = clients.iter_mut().map(Client::read_to_end).collect();
    router.wait_for_end();
    shutdown_errors(held_from_s, &received, terminated.elapsed().as_secs_f64(), EARLIEST_KILL_S)
}

/// Guards against queries that a core has read but not answered because the process exits right after a
/// pause.
#[rstest]
fn a_shutdown_on_several_cores_stopped_at_any_late_moment_answers_all_queries_read() {
    run_suspended_shutdowns(EARLIEST_KILL_S, LAST_PART_S, MOMENTS, faults_of_a_shutdown_stopped_at);
}
