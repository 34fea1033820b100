//! Graceful shutdowns on several cores of a process that stands still in the midst of one: every query that was read is
//! answered, and the process has ended before the earliest SIGKILL.
mod common;
use alderway_lab::Clock;
use alderway_lab::agent::Agent;
use alderway_lab::fleet::Fleet;
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use common::{Client, PATIENCE, until};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::sync::mpsc::RecvTimeoutError;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CORES: u64 = 3;
/// The longest deadline of the settings below, in milliseconds.
const LONGEST_DEADLINE_MS: u64 = 1000;
/// The users' protocol: SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
const EARLIEST_KILL_S: f64 = LONGEST_DEADLINE_MS as f64 / 1e3 + 0.7;
/// The users' standing test: a router may be held up for so long.
const HELD_UP_S: f64 = 0.15;
/// The last part of a shutdown, in seconds before the earliest SIGKILL, in which its moments are tried.
const LAST_PART_S: f64 = 0.4;
const MOMENTS: usize = 20;
/// Two on each core.
const CLIENTS: usize = 2 * CORES as usize;

/// A router on several cores whose data node answers.
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
        until(&program, "all cores serve", |c| c.get("cores_serving") == Some(&CORES));
        Router { fleet, _discovery: discovery, program }
    }

    /// Waits until the process has closed its log.
    fn ended(&self) {
        let patient_until = Instant::now() + PATIENCE;
        loop {
            match self.program.log.recv_timeout(patient_until.saturating_duration_since(Instant::now())) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => panic!("it does not end"),
            }
        }
    }
}

/// Stands still at a moment of the shutdown; what went wrong, if anything did.
fn faults_of_a_shutdown_held_up(held_from_s: f64) -> Vec<String> {
    let router = Router::start();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::to(&router.program)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.query(&format!("before{number}"), 900);
        assert_eq!(client.answer().0, 200);
    }
    // It answers nothing from now on, so that queries are open until the end.
    router.fleet.nodes[0].set(Fault::Silent);
    let terminated = Instant::now();
    let at = |since_s: f64| {
        sleep((terminated + Duration::from_secs_f64(since_s)).saturating_duration_since(Instant::now()));
    };
    router.program.signal(Signal::SIGTERM);
    // Read in time to be answered, and with more time left than the shutdown may take.
    at(0.6);
    clients.iter_mut().enumerate().for_each(|(number, client)| client.query(&format!("open{number}"), 5000));
    at(held_from_s);
    router.program.signal(Signal::SIGSTOP);
    at(held_from_s + HELD_UP_S);
    router.program.signal(Signal::SIGCONT);

    let mut faults = vec![];
    for (number, client) in clients.iter_mut().enumerate() {
        let received = client.rest();
        if received.matches("HTTP/1.1 ").count() != 1 {
            faults.push(format!("held at {held_from_s:.2}: client {number} got {received:?}"));
        }
    }
    router.ended();
    let ended_s = terminated.elapsed().as_secs_f64();
    if ended_s > EARLIEST_KILL_S {
        faults.push(format!("held at {held_from_s:.2}: ended {ended_s:.3} s after SIGTERM"));
    }
    faults
}

/// Guards against queries read and never answered on some core, as the process that stood still ends first.
#[rstest]
fn a_shutdown_on_several_cores_held_up_at_any_moment_of_its_last_part_answers_what_was_read() {
    let moment = |number: usize| {
        EARLIEST_KILL_S - LAST_PART_S + number as f64 * (LAST_PART_S - HELD_UP_S) / MOMENTS as f64
    };
    let held: Vec<_> = (0..MOMENTS)
        .map(|number| thread::spawn(move || faults_of_a_shutdown_held_up(moment(number))))
        .collect();
    let faults: Vec<String> =
        held.into_iter().flat_map(|held| held.join().expect("a shutdown is played")).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}
