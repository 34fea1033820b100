//! Forwarders and planners over sockets, on loopback: planners that are killed, stopped, cut off from discovery, started
//! anew, of another version, or not there at all. Every answer is counted and checked.
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
use common::{Client, logged, until};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};

struct House {
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

/// Data nodes, discovery and so many planners.
fn house(planners: usize, setting: Setting, make: Make) -> House {
    let clock = Clock::default();
    let once = setting.effect == "at_most_once";
    let fleet = Fleet::start(6, 1, &make, 7, clock, once).expect("data nodes");
    let entries = fleet.entries(|_| 0);
    let agent = Agent::start(entries.clone()).expect("discovery");
    let mut house = House { clock, fleet, agent, entries, setting, planners: vec![] };
    for n in 0..planners {
        let planner = house.planner(n, planners, house.agent.address, "127.0.0.1:0");
        house.planners.push(planner);
    }
    house
}

fn quick() -> Make {
    Make { service: 0.005, exponential: true, ..Make::default() }
}

impl House {
    fn planner(&self, n: usize, count: usize, discovery: SocketAddr, listen: &str) -> Program {
        let text = self.setting.configuration(discovery, &self.entries);
        let text = text.replace("\"n0\"", &format!("\"p-{n}\"")).replace("127.0.0.1:0", listen);
        let planner = Program::begin(&build(format!("planner(count = {count})\n")), &text);
        planner.unwrap_or_else(|why| panic!("{why}"))
    }

    fn forwarder(&self, planners: &[SocketAddr]) -> Program {
        self.named("f-0", planners)
    }

    fn named(&self, name: &str, planners: &[SocketAddr]) -> Program {
        let all: Vec<String> = planners.iter().map(|at| format!("\"{at}\"")).collect();
        let operator = format!("forwarder(planners = [{}], count = 1, patience_ms = 200)\n", all.join(", "));
        let text = self.setting.configuration(self.agent.address, &self.entries);
        let text = text.replace("\"n0\"", &format!("\"{name}\""));
        Program::start(&build(operator), &text).unwrap_or_else(|why| panic!("{why}"))
    }

    /// A forwarder that all planners take queries of.
    fn met(&self) -> Program {
        self.met_as("f-0")
    }

    fn met_as(&self, name: &str) -> Program {
        let planners: Vec<SocketAddr> = self.planners.iter().map(|p| p.address).collect();
        let forwarder = self.named(name, &planners);
        until(&forwarder, "all planners are able", |c| {
            c.get("planners_able") == Some(&(planners.len() as u64))
        });
        forwarder
    }

    fn load(&self, rate: f64, span: f64) -> Load {
        common::load(rate, span)
    }
}

fn sound(outcome: &Outcome) {
    assert_eq!((outcome.wrong, outcome.lost, outcome.late), (0, 0, 0), "{:?}", outcome.statuses);
    assert_eq!(outcome.statuses.values().sum::<u64>(), outcome.sent);
}

/// Sends a load while something happens in its midst.
fn during(house: &House, forwarder: &Program, load: &Load, happens: impl FnOnce()) -> Outcome {
    let (to, clock) = (forwarder.address, house.clock);
    std::thread::scope(|scope| {
        let sent = scope.spawn(move || load::send(to, load, clock));
        sleep(Duration::from_secs_f64(0.3 * load.span));
        happens();
        sent.join().expect("the load does not panic")
    })
}

fn counted(program: &Program, name: &str) -> u64 {
    program.counters().get(name).copied().unwrap_or(0)
}

#[rstest]
fn planners_decide_for_a_forwarder_and_its_answers_are_right() {
    let house = house(2, Setting::default(), quick());
    let forwarder = house.met();
    let outcome = load::send(forwarder.address, &house.load(150.0, 1.5), house.clock);
    sound(&outcome);
    assert_eq!(outcome.merged(), outcome.sent);
    assert_eq!(counted(&forwarder, "queries_decided{planner}"), outcome.sent);
    assert_eq!(counted(&forwarder, "queries_decided{own}"), 0);
    until(&forwarder, "nothing is left", |c| c["leaf_calls_open"] == 0 && c["queries_with_planners"] == 0);
    assert_eq!(counted(&forwarder, "decisions_refused"), 0);
}

#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::stopped(Signal::SIGSTOP)]
#[case::planned(Signal::SIGTERM)]
fn a_planner_that_goes_in_the_midst_of_a_load_leaves_each_query_one_answer(#[case] signal: Signal) {
    let house = house(2, Setting::default(), quick());
    let forwarder = house.met();
    let outcome = during(&house, &forwarder, &house.load(200.0, 3.0), || {
        house.planners.iter().for_each(|p| p.signal(signal));
        sleep(Duration::from_millis(700));
        // One that was only stopped speaks again: what it decided for queries that it has lost counts no more.
        house.planners.iter().for_each(|p| p.signal(Signal::SIGCONT));
    });
    sound(&outcome);
    assert!(outcome.merged() as f64 > 0.95 * outcome.sent as f64, "{:?}", outcome.statuses);
    assert!(
        counted(&forwarder, "queries_decided{own}") > 0
            && counted(&forwarder, "queries_decided{planner}") > 0
    );
    until(&forwarder, "nothing is left", |c| c["leaf_calls_open"] == 0 && c["queries_open"] == 0);
}

#[rstest]
fn what_may_have_run_is_not_asked_for_again_by_whoever_takes_over() {
    let setting = Setting { effect: "at_most_once", ..Setting::default() };
    let house = house(2, setting, Make { service: 0.05, ..quick() });
    let forwarder = house.met();
    let first = &house.planners;
    let outcome = during(&house, &forwarder, &house.load(60.0, 3.0), || {
        first[0].signal(Signal::SIGKILL);
        sleep(Duration::from_millis(600));
        first[1].signal(Signal::SIGKILL);
    });
    sound(&outcome);
    let again: u64 = house.fleet.nodes.iter().map(|n| n.met.again.load(Relaxed)).sum();
    assert_eq!(again, 0);
    assert!(counted(&forwarder, "queries_asked_anew") > 0, "nothing was held when a planner went");
}

#[rstest]
fn with_all_planners_gone_the_forwarder_decides_by_itself_until_one_is_back() {
    let mut house = house(1, Setting::default(), quick());
    let at = house.planners[0].address;
    let forwarder = house.met();
    let gone = house.planners.remove(0);
    gone.signal(Signal::SIGKILL);
    drop(gone);
    until(&forwarder, "it is lost", |c| c["planners_able"] == 0);
    let mut client = Client::to(&forwarder);
    client.query("alone", 1500);
    assert_eq!(client.answer().0, 200);
    assert_eq!(counted(&forwarder, "queries_decided{own}"), 1);
    let back = house.planner(0, 1, house.agent.address, &at.to_string());
    until(&forwarder, "it is back", |c| c["planners_able"] == 1);
    client.query("led", 1500);
    assert_eq!(client.answer().0, 200);
    assert_eq!(counted(&forwarder, "queries_decided{planner}"), 1);
    drop(back);
}

/// The planner follows a discovery that never hears of the drain.
#[rstest]
fn a_stale_plan_sends_nothing_to_a_node_that_drains() {
    let mut house = house(0, Setting::default(), quick());
    let deaf = Agent::start(house.entries.clone()).expect("discovery");
    house.planners.push(house.planner(0, 1, deaf.address, "127.0.0.1:0"));
    let forwarder = house.met();
    let before = load::send(forwarder.address, &house.load(100.0, 0.5), house.clock);
    sound(&before);
    for entry in &house.entries[..3] {
        house.agent.change(vec![Entry { status: "DRAINING", ..entry.clone() }]);
    }
    until(&forwarder, "it has heard", |c| c["roster_changes"] >= 3);
    let told = house.clock.now();
    let outcome = load::send(forwarder.address, &house.load(100.0, 2.0), house.clock);
    sound(&outcome);
    assert!(outcome.merged() as f64 > 0.9 * outcome.sent as f64, "{:?}", outcome.statuses);
    for node in &house.fleet.nodes[..3] {
        assert!(node.last_call() < told, "{} was sent something new", node.name);
    }
    assert!(counted(&forwarder, "calls_of_nodes_not_serving") > 0, "no plan was stale");
    // Half the grace on it asks the planner no more.
    until(&forwarder, "the planner is behind", |c| c["planners_able"] == 0);
}

/// With one planner it is the planner's own; with two, one tells the other by way of a forwarder.
#[rstest]
#[case::one_planner(1)]
#[case::two_planners(2)]
fn a_slow_node_that_one_forwarder_meets_is_passed_over_by_the_others(#[case] planners: usize) {
    let house = house(planners, Setting::default(), Make { service: 0.002, exponential: false, ..quick() });
    // Two forwarders that ask different planners, where there are two.
    let all: Vec<String> = (0..planners).map(|n| format!("p-{n}")).collect();
    let asks = |n: &usize| QueryAssignments::new(&format!("f-{n}")).preferred_decider(all.iter());
    let second = (1..100).find(|n| planners == 1 || asks(n) != asks(&0)).expect("there is one");
    let (one, other) = (house.met(), house.met_as(&format!("f-{second}")));
    sound(&load::send(one.address, &house.load(150.0, 1.0), house.clock));
    house.fleet.nodes[0].set(Fault::Silent);
    sound(&load::send(one.address, &house.load(150.0, 1.0), house.clock));
    let before = house.fleet.nodes[0].met.parts.load(Relaxed);
    let outcome = load::send(other.address, &house.load(100.0, 1.0), house.clock);
    sound(&outcome);
    let to_it = house.fleet.nodes[0].met.parts.load(Relaxed) - before;
    // In turn it would be a sixth of them all; it is tried now and then.
    assert!(4 * to_it < 3 * outcome.sent / 6, "{to_it} parts of {} queries", outcome.sent);
}

/// Speaks the wire of planners, in another version or in none.
#[rstest]
#[case::another_version(Some(2), "the peer speaks version 2 of the protocol, this side version 1")]
#[case::something_else(None, "the peer does not speak this protocol")]
fn a_peer_that_is_no_planner_of_this_version_is_told_of_in_one_line(
    #[case] version: Option<u16>,
    #[case] why: &str,
) {
    let house = house(0, Setting::default(), quick());
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
    let forwarder = house.forwarder(&[at]);
    logged(&forwarder, &format!("planner at {at}: {why}"));
    let mut client = Client::to(&forwarder);
    client.query("q", 1500);
    assert_eq!(client.answer().0, 200);
}

/// A planner that takes queries and never decides, nor answers a beat, though its connection stands.
#[rstest]
fn a_planner_that_takes_queries_and_falls_silent_costs_them_no_more_than_its_patience() {
    let house = house(0, Setting::default(), quick());
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
            // Reads all, says nothing.
            let mut space = [0; 4096];
            while matches!(stream.read(&mut space), Ok(1..)) {}
        });
        let forwarder = house.forwarder(&[at]);
        let mut client = Client::to(&forwarder);
        client.query("q", 1900);
        assert_eq!(client.answer().0, 200);
        until(&forwarder, "it is lost", |c| c.get("planners_lost") == Some(&1));
        forwarder
    });
    assert_eq!(counted(&forwarder, "queries_open"), 0);
}

/// Guards against queues that nobody reads in time: past its room a planner turns queries away at once, with words that
/// reach the client as a rejection.
#[rstest]
fn a_planner_past_its_room_turns_queries_away_at_once() {
    let setting = Setting { room: 8, ..Setting::default() };
    let house = house(1, setting.clone(), quick());
    // The forwarder itself has room enough.
    let planners: Vec<SocketAddr> = house.planners.iter().map(|p| p.address).collect();
    let wide = House { setting: Setting { room: 20_000, ..setting }, ..house };
    let forwarder = wide.forwarder(&planners);
    until(&forwarder, "the planner is able", |c| c.get("planners_able") == Some(&1));
    wide.fleet.nodes.iter().for_each(|n| n.set(Fault::Silent));
    let mut clients: Vec<Client> = (0..8).map(|_| Client::to(&forwarder)).collect();
    let began = Instant::now();
    clients.iter_mut().enumerate().for_each(|(n, client)| client.query(&format!("q{n}"), 1800));
    until(&forwarder, "some are rejected", |c| {
        c.get("queries_rejected{site-search}").is_some_and(|n| *n >= 1)
    });
    let in_time = began.elapsed() < Duration::from_millis(1000);
    assert!(in_time, "rejected after {:?}", began.elapsed());
    let statuses: Vec<u16> = clients.iter_mut().map(|client| client.answer().0).collect();
    assert!(statuses.contains(&503), "{statuses:?}");
}

/// All planners, then all forwarders, one after the other, as a rolling deploy does it.
#[rstest]
fn a_rolling_restart_of_planners_and_forwarders_loses_nothing() {
    let mut house = house(2, Setting::default(), quick());
    let forwarder = house.met();
    let ats: Vec<SocketAddr> = house.planners.iter().map(|p| p.address).collect();
    let load = house.load(150.0, 4.0);
    let (to, clock) = (forwarder.address, house.clock);
    let outcome = std::thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        for (n, at) in ats.iter().enumerate() {
            sleep(Duration::from_millis(300));
            // It ends by itself, once what it holds has ended.
            drop(house.planners.remove(0).stop());
            let next = house.planner(n, 2, house.agent.address, &at.to_string());
            house.planners.push(next);
            until(&forwarder, "both are able", |c| c.get("planners_able") == Some(&2));
        }
        sent.join().expect("the load does not panic")
    });
    sound(&outcome);
    assert_eq!(outcome.merged(), outcome.sent, "{:?}", outcome.statuses);
    let log = forwarder.stop();
    assert!(log.iter().any(|line| line.contains("ended after")), "{log:?}");
}
