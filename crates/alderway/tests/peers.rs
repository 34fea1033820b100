//! Query routers that know each other, as processes on loopback with the lab's relay between any two: parted, cut one way,
//! stopped, killed and started anew, lied to, told nonsense, and with lists that differ.
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
use common::{PATIENCE, until};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};

struct House {
    clock: Clock,
    fleet: Fleet,
    agent: Agent,
    entries: Vec<Entry>,
    wires: Wires,
    names: Vec<String>,
    /// With where each listens for its peers.
    routers: BTreeMap<String, (Program, SocketAddr)>,
}

/// Words that are stale soon, so that stories are short.
const SOON: &str = "beat_ms = 25, pulse_ms = 200, stale_ms = 600";

impl House {
    /// So many routers, all of which have heard of each other.
    fn new(count: usize) -> House {
        let clock = Clock::default();
        let make = Make { service: 0.002, exponential: false, ..Make::default() };
        let fleet = Fleet::start(6, 1, &make, 7, clock, false).expect("data nodes");
        let entries = fleet.entries(|_| 0);
        let agent = Agent::start(entries.clone()).expect("discovery");
        let names: Vec<String> = (0..count).map(|n| format!("r{n}")).collect();
        let wires = Wires::between(&names).expect("ports");
        let mut house = House { clock, fleet, agent, entries, wires, names, routers: BTreeMap::new() };
        for name in house.names.clone() {
            house.start(&name, &house.names.clone());
        }
        house.met();
        house
    }

    /// What a router's operator's file says: these are the members.
    fn operator(&self, own: &str, members: &[String]) -> String {
        let entry = |name: &String| match name == own {
            true => format!("\"{name}\": \"127.0.0.1:0\""),
            false => format!("\"{name}\": \"{}\"", self.wires.address(own, name)),
        };
        let all: Vec<String> = members.iter().map(entry).collect();
        format!("peers(members = {{{}}}, {SOON}, witnesses = 2)\n", all.join(", "))
    }

    fn start(&mut self, name: &str, members: &[String]) {
        let setting = Setting { peers: self.names.len(), ..Setting::default() };
        let text = setting
            .configuration(self.agent.address, &self.entries)
            .replace("\"n0\"", &format!("\"{name}\""));
        let build = Build {
            path: env!("CARGO_BIN_EXE_alderway").into(),
            operator: Some(self.operator(name, members)),
        };
        let program = Program::start(&build, &text).unwrap_or_else(|why| panic!("{why}"));
        let at = program.hears_peers_at().unwrap_or_else(|why| panic!("{why}"));
        self.wires.lead_to(name, at);
        self.routers.insert(name.into(), (program, at));
    }

    fn router(&self, n: usize) -> &Program {
        &self.routers[&self.names[n]].0
    }

    fn met(&self) {
        let others = self.names.len() as u64 - 1;
        for (program, _) in self.routers.values() {
            until(program, "all are there", |c| c.get("peers_alive") == Some(&others));
        }
    }

    fn send(&self, n: usize, rate: f64, span: f64) -> Outcome {
        send(self.router(n).address, self.clock, rate, span)
    }

    /// Parts that have come to the first data node.
    fn to_first(&self) -> u64 {
        self.fleet.nodes[0].met.parts.load(Relaxed)
    }

    /// Two routers meet the first data node as it falls silent, and say so for as long as they meet it so.
    fn two_learn(&self) {
        self.send(0, 100.0, 0.5);
        self.fleet.nodes[0].set(NodeFault::Silent);
        self.both_send(100.0, 0.8);
    }

    fn both_send(&self, rate: f64, span: f64) {
        let (one, other, clock) = (self.router(0).address, self.router(1).address, self.clock);
        std::thread::scope(|scope| {
            scope.spawn(move || send(one, clock, rate, span));
            scope.spawn(move || send(other, clock, rate, span));
        });
    }
}

fn send(to: SocketAddr, clock: Clock, rate: f64, span: f64) -> Outcome {
    let outcome = load::send(to, &common::load(rate, span), clock);
    assert_eq!((outcome.wrong, outcome.lost, outcome.late), (0, 0, 0), "{:?}", outcome.statuses);
    assert_eq!(outcome.statuses.values().sum::<u64>(), outcome.sent);
    outcome
}

fn counted(program: &Program, name: &str) -> u64 {
    program.counters().get(name).copied().unwrap_or(0)
}

/// Guards against every router that learns of a silent data node by losing time on it: two have, the third passes it over
/// from its first query on.
#[rstest]
fn what_two_routers_saw_of_a_data_node_the_others_need_not_see() {
    let house = House::new(5);
    house.two_learn();
    let (one, other, clock) = (house.router(0).address, house.router(1).address, house.clock);
    std::thread::scope(|scope| {
        // They go on meeting it: a sick node is tried now and then.
        scope.spawn(move || send(one, clock, 60.0, 1.2));
        scope.spawn(move || send(other, clock, 60.0, 1.2));
        until(house.router(4), "it hears", |c| c.get("evidence_heard").is_some_and(|n| *n > 0));
        let before = house.to_first();
        let outcome = house.send(4, 100.0, 0.5);
        let to_it = house.to_first() - before;
        assert!(12 * to_it < 3 * outcome.sent, "{to_it} of {} parts", 3 * outcome.sent);
    });
}

/// Guards against words that go round by a link that is cut, or stay away once it is mended.
#[rstest]
fn halves_hear_nothing_of_each_other_and_do_again_when_the_cut_is_over() {
    let house = House::new(5);
    house.wires.part(&["r0", "r1"]);
    for n in 0..5 {
        let (near, far) = if n < 2 { (1, 3) } else { (2, 2) };
        until(house.router(n), "halves", |c| {
            c["peers_alive"] == near && c["peers_dead"] + c["peers_missed"] == far
        });
    }
    let before = counted(house.router(3), "evidence_heard");
    house.two_learn();
    assert_eq!(counted(house.router(3), "evidence_heard"), before);
    house.wires.heal();
    house.met();
    house.two_learn();
    until(house.router(3), "it hears", |c| c.get("evidence_heard").is_some_and(|n| *n > before));
}

/// Guards against a router taken for dead, or words taken for lost, because one way to one peer is cut.
#[rstest]
fn a_link_cut_one_way_costs_nobody_a_word() {
    let house = House::new(5);
    house.wires.set("r0", "r1", Fault::Held);
    sleep(Duration::from_millis(1500));
    for n in 0..5 {
        assert_eq!(counted(house.router(n), "peers_alive"), 4, "r{n}");
    }
    house.two_learn();
    until(house.router(4), "it hears", |c| c.get("evidence_heard").is_some_and(|n| *n > 0));
}

/// Guards against words that were under way for longer than they are worth.
#[rstest]
fn words_delayed_past_their_time_are_stale() {
    let house = House::new(5);
    for from in 0..4 {
        house.wires.set(&house.names[from], "r4", Fault::Delayed(0.9));
    }
    sleep(Duration::from_millis(1000));
    let before = counted(house.router(4), "evidence_heard");
    house.two_learn();
    until(house.router(4), "they come", |c| c.get("words_stale").is_some_and(|n| *n > 20));
    assert_eq!(counted(house.router(4), "evidence_heard"), before);
    // The others hear as ever.
    until(house.router(3), "it hears", |c| c.get("evidence_heard").is_some_and(|n| *n > 0));
}

/// Guards against a router that is taken for dead for ever after a pause, or spreads what it knew before it.
#[rstest]
fn a_router_that_was_stopped_is_missed_and_found_again() {
    let house = House::new(5);
    house.router(2).signal(Signal::SIGSTOP);
    until(house.router(0), "it is missed", |c| c["peers_dead"] + c["peers_missed"] == 1);
    until(house.router(4), "it is dead", |c| c["peers_dead"] == 1);
    house.router(2).signal(Signal::SIGCONT);
    house.met();
    house.send(2, 100.0, 0.3);
}

/// Guards against a router that nobody takes back after a crash, and one whose planned end looks like a crash.
#[rstest]
fn a_killed_router_comes_back_and_one_that_goes_says_so() {
    let mut house = House::new(5);
    house.router(3).signal(Signal::SIGKILL);
    until(house.router(0), "it is missed", |c| c["peers_alive"] == 3);
    house.routers.remove("r3");
    let names = house.names.clone();
    house.start("r3", &names);
    house.met();
    let (gone, _) = house.routers.remove("r1").expect("there");
    drop(gone.stop());
    until(house.router(0), "it went as planned", |c| c["peers_left"] == 1 && c["peers_alive"] == 3);
}

#[rstest]
fn half_of_all_started_anew_at_once_are_met_again() {
    let mut house = House::new(6);
    let names = house.names.clone();
    for name in &names[..3] {
        house.routers.remove(name);
    }
    for name in &names[..3] {
        house.start(name, &names);
    }
    house.met();
}

/// A peer that this story plays: it says hello under a member's name.
fn play(house: &House, to: usize, name: &str, incarnation: u64) -> (TcpStream, FrameReader<Frame>) {
    let at = house.routers[&house.names[to]].1;
    let mut stream = TcpStream::connect(at).expect("dialled");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let mut bytes = vec![];
    let hello = Hello { version: 1, is_planner: false, incarnation, name: name.into() };
    encode_hello::<Frame>(&mut bytes, &hello);
    stream.write_all(&bytes).expect("written");
    (stream, FrameReader::default())
}

fn frame(stream: &mut TcpStream, reader: &mut FrameReader<Frame>) -> Option<Frame> {
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

/// Guards against one router, broken or bribed, that takes sound data nodes out for all others.
#[rstest]
fn a_liar_takes_no_data_node_out() {
    let house = House::new(5);
    let (mut stream, mut reader) = play(&house, 0, "r4", u64::MAX - 5);
    let nodes: Vec<String> = house.fleet.nodes.iter().map(|node| node.name.clone()).collect();
    let heard = frame(&mut stream, &mut reader).expect("a frame");
    let lies = nodes.iter().enumerate().map(|(n, node)| Update {
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
    let words = lies.collect();
    encode_message(&mut bytes, &Frame { sent_at_s: 1.0, echo: Some((heard.sent_at_s, 0.0)), updates: words })
        .expect("it fits a frame");
    stream.write_all(&bytes).expect("written");
    let taken = counted(house.router(0), "words_taken");
    until(house.router(0), "the lies are taken in", |c| c["words_taken"] >= taken + 6);
    let heard = counted(house.router(0), "evidence_heard");
    let outcome = house.send(0, 100.0, 0.5);
    assert_eq!(outcome.merged(), outcome.sent);
    assert_eq!(heard, 0);
    // All nodes have their turns as ever.
    let least = house.fleet.nodes.iter().map(|node| node.met.parts.load(Relaxed)).min();
    assert!(least.is_some_and(|n| n * 12 > outcome.sent * 3), "{least:?} of {}", 3 * outcome.sent);
}

#[rstest]
#[case::http(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::zeroes(vec![0; 300])]
#[case::a_length_past_all_memory(vec![255; 64])]
fn nonsense_ends_its_own_link_and_nothing_else(#[case] bytes: Vec<u8>) {
    let house = House::new(5);
    let mut stream = TcpStream::connect(house.routers["r0"].1).expect("dialled");
    stream.write_all(&bytes).expect("written");
    until(house.router(0), "it is refused", |c| c.get("peer_links_refused") == Some(&1));
    assert_eq!(counted(house.router(0), "peers_alive"), 4);
    house.send(0, 100.0, 0.3);
}

/// Lists that differ, and a reload that makes them one: r4 is unknown to r0 until its file names it.
#[rstest]
fn a_reload_adds_a_member_that_one_list_lacked() {
    let mut house = House::new(5);
    let four = house.names[..4].to_vec();
    house.routers.remove("r0");
    house.start("r0", &four);
    until(house.router(0), "it knows three", |c| c["peers_alive"] == 3);
    until(house.router(0), "and hears a stranger's words", |c| c["words_strange"] > 0);
    let file = house.router(0).operator_file().expect("there is one").to_path_buf();
    std::fs::write(&file, "peers(members = 7)\n").expect("written");
    house.router(0).signal(Signal::SIGHUP);
    common::logged(house.router(0), "the old list holds");
    assert_eq!(counted(house.router(0), "peers_alive"), 3);
    let text = house.operator("r0", &house.names).replace("127.0.0.1:0", &house.routers["r0"].1.to_string());
    std::fs::write(&file, text).expect("written");
    house.router(0).signal(Signal::SIGHUP);
    common::logged(house.router(0), "5 members");
    house.met();
}

/// Faults by chance from a seed, under load: every query has its one answer, and in the end all know each other again.
#[rstest]
#[case(1)]
#[case(2)]
fn whatever_happens_between_them_each_query_has_one_answer(#[case] seed: u64) {
    let mut house = House::new(5);
    let names = house.names.clone();
    let schedule = Schedule::drawn(seed, &names, 4.0);
    let began = Instant::now();
    for (at, act) in &schedule.0 {
        // r0 serves throughout: what happens to the others must not show in its answers.
        let whom = match act {
            Act::Stop(whom) | Act::Go(whom) | Act::Kill(whom) | Act::Start(whom) => Some(whom.as_str()),
            _ => None,
        };
        let until = Duration::from_secs_f64(*at).saturating_sub(began.elapsed());
        house.send(0, 80.0, until.as_secs_f64().max(0.01));
        match (act, whom) {
            (_, Some("r0")) => {}
            (Act::Stop(_), Some(name)) => house.routers[name].0.signal(Signal::SIGSTOP),
            (Act::Go(_), Some(name)) => house.routers[name].0.signal(Signal::SIGCONT),
            (Act::Kill(_), Some(name)) => house.routers[name].0.signal(Signal::SIGKILL),
            (Act::Start(_), Some(name)) => {
                house.routers.remove(name);
                house.start(name, &names);
            }
            _ => house.wires.act(act),
        }
    }
    house.met();
}
