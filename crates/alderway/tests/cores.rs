//! One query router on several cores, over sockets: `alderway serve` beside stand-ins of data nodes and discovery.
//! Stories wait for what the program does or says, never for a span that it might miss.
mod common;
use alderway_lab::Clock;
use alderway_lab::agent::{Agent, Entry};
use alderway_lab::fleet::Fleet;
use alderway_lab::load::{self, Load, Pace};
use alderway_lab::model::{Fault, Make};
use alderway_lab::program::{Build, Program, Setting};
use alderway_router::state::descriptors;
use common::{Client, PATIENCE};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// A router on so many cores with data nodes that it knows.
struct House {
    clock: Clock,
    fleet: Fleet,
    agent: Agent,
    entries: Vec<Entry>,
    program: Program,
}

fn house(cores: usize, nodes: usize, setting: &Setting) -> House {
    said(&format!("cores(count = {cores})"), nodes, setting)
}

fn said(operator: &str, nodes: usize, setting: &Setting) -> House {
    let (clock, make) = (Clock::default(), Make { service: 0.0005, ..Make::default() });
    let fleet = Fleet::start(nodes, 1, &make, 7, clock, false).expect("data nodes");
    let entries = fleet.entries(|_| 0);
    let agent = Agent::start(entries.clone()).expect("discovery");
    let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator: Some(operator.into()) };
    let program = Program::start(&build, &setting.configuration(agent.address, &entries));
    let program = program.unwrap_or_else(|why| panic!("{why}"));
    let house = House { clock, fleet, agent, entries, program };
    let cores = if operator.contains("count = 1)") { 0 } else { 1 };
    house.until("all cores serve", |c| c.get("cores_serving").copied().unwrap_or(1) >= cores);
    house
}

impl House {
    fn until(&self, what: &str, holds: impl Fn(&std::collections::BTreeMap<String, u64>) -> bool) {
        common::until(&self.program, what, holds);
    }

    /// Connections on cores that serve: as many as cores, dealt one to each.
    fn clients(&self, count: usize) -> Vec<Client> {
        self.until("all serve", |c| c["cores_serving"] >= count as u64);
        (0..count).map(|_| Client::to(&self.program)).collect()
    }

    fn load(&self, pace: Pace, span: f64) -> Load {
        Load { pace, connections: 16, ..common::load(0.0, span) }
    }
}

#[rstest]
fn queries_on_four_cores_get_their_one_right_answer_and_the_counters_add_up() {
    let house = house(4, 4, &Setting::default());
    let sent = load::send(house.program.address, &house.load(Pace::Closed, 1.0), house.clock);
    assert!(sent.sent > 100 && sent.wrong + sent.lost + sent.late == 0, "{:?}", sent.statuses);
    house.until("all counted", |c| {
        c.get("queries_taken{site-search}").copied() == Some(sent.sent) && c["queries_open"] == 0
    });
    let counted = house.program.counters();
    let of = |name: &str| counted.get(&format!("queries_{name}{{site-search}}")).copied().unwrap_or(0);
    let ended = ["merged", "merged_in_part", "rejected", "aborted", "turned_away", "left", "overdue"];
    assert_eq!(of("taken"), ended.iter().map(|name| of(name)).sum::<u64>() + counted["queries_open"]);
    // A query may be answered in part under load, with the same status.
    assert_eq!(of("merged") + of("merged_in_part"), sent.merged(), "{counted:?}");
    house.until("ids come back", |c| c["ids_open"] == 0);
}

/// Guards against counters that go back: a core that answers for all of them knew only what the others had last told.
#[rstest]
fn counters_do_not_go_back_when_another_core_is_asked_for_them() {
    let house = house(4, 2, &Setting::default());
    let mut clients = house.clients(4);
    let merged =
        |client: &mut Client| client.counters().get("queries_merged{site-search}").copied().unwrap_or(0);
    for query in 0..20 {
        let (serving, another) = (query % 4, (query + 1) % 4);
        clients[serving].query(&format!("q{query}"), 1500);
        assert_eq!(clients[serving].answer().0, 200);
        let before = merged(&mut clients[serving]);
        let after = merged(&mut clients[another]);
        assert!(after >= before, "query {query}: {before}, then {after}");
    }
}

#[rstest]
fn an_id_open_on_one_core_is_refused_on_every_other() {
    let house = house(4, 1, &Setting::default());
    house.fleet.nodes[0].set(Fault::Silent);
    let mut clients = house.clients(4);
    clients.iter_mut().for_each(|c| c.query("9b1f", 700));
    let mut statuses: Vec<u16> = clients.iter_mut().map(|c| c.answer().0).collect();
    statuses.sort_unstable();
    assert_eq!(statuses[..3], [400, 400, 400]);
    assert!(statuses[3] >= 500, "the one that was taken: {statuses:?}");
    // Answered, the id may come again, on any core.
    house.fleet.nodes[0].set(Fault::None);
    clients[2].query("9b1f", 1500);
    assert_ne!(clients[2].answer().0, 400);
}

#[rstest]
fn the_room_for_queries_is_the_whole_programs() {
    let house = house(4, 1, &Setting { room: 10, ..Setting::default() });
    house.fleet.nodes[0].set(Fault::Silent);
    // Each takes a place for itself and one for its part: five of them fit.
    let mut clients: Vec<Client> = (0..12).map(|_| Client::to(&house.program)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.query(&format!("q{n}"), 1500);
    }
    house.until("seven are turned away", |c| {
        c.get("queries_turned_away{site-search}") == Some(&7) && c["queries_and_parts_held"] == 10
    });
}

#[rstest]
fn a_core_that_hangs_leaves_the_others_serving_and_comes_back() {
    let house = house(3, 2, &Setting::default());
    let mut clients = house.clients(3);
    clients[0].fault("hang 1500");
    common::logged(&house.program, "hangs since");
    // New connections go to cores that serve, and are answered meanwhile.
    for n in 0..6 {
        let mut client = Client::to(&house.program);
        client.query(&format!("new{n}"), 1500);
        assert_eq!(client.answer().0, 200);
    }
    house.until("it is back", |c| c["cores_hung"] == 0 && c["cores_serving"] == 3);
    clients[0].query("after", 1500);
    assert_eq!(clients[0].answer().0, 200);
}

#[rstest]
fn a_core_that_fails_answers_what_it_held_and_starts_again() {
    // An SLO time that leaves the module no reason to give them up before the core fails.
    let house = house(3, 2, &Setting { slo_ms: 1900, ..Setting::default() });
    // Whose turn a connection comes at depends on those that ask for the counters: three a core, so that
    // each holds some.
    house.until("all serve", |c| c["cores_serving"] == 3);
    let mut clients: Vec<Client> = (0..9).map(|_| Client::to(&house.program)).collect();
    house.fleet.nodes.iter().for_each(|n| n.set(Fault::Silent));
    clients.iter_mut().enumerate().for_each(|(n, c)| c.query(&format!("held{n}"), 1900));
    house.until("all are open", |c| c["queries_open"] == 9);
    let mut another = Client::to(&house.program);
    another.fault("fail");
    let held: Vec<(u16, String)> = clients.iter_mut().map(Client::answer).collect();
    let aborted = held.iter().filter(|(status, _)| *status == 504).count();
    assert_eq!((held.len(), aborted >= 1), (9, true), "{held:?}");
    house.fleet.nodes.iter().for_each(|n| n.set(Fault::None));
    house.until("it is back", |c| c.get("core_failures") == Some(&1) && c["cores_serving"] == 3);
    house.until("what it held is given back", |c| c["ids_open"] == 0 && c["queries_and_parts_held"] == 0);
    let sent = load::send(house.program.address, &house.load(Pace::Closed, 0.3), house.clock);
    assert_eq!((sent.wrong, sent.lost, sent.late), (0, 0, 0));
}

/// Guards against a request that a core has read, in whole or in half, and nobody answers as the core fails.
#[rstest]
#[case::behind_an_open_query(|client: &mut Client, number: usize| {
    client.query(&format!("held{number}"), 1900);
    client.query(&format!("behind{number}"), 1900);
}, 2)]
#[case::half_sent(|client: &mut Client, _| client.send("POST /api HTTP/1.1\r\nX-Correlation-Id: h\r\n"), 1)]
fn a_core_that_fails_answers_what_it_has_begun_to_read(
    #[case] ask: impl Fn(&mut Client, usize),
    #[case] answers: usize,
) {
    let house = house(3, 2, &Setting { slo_ms: 1900, ..Setting::default() });
    house.until("all serve", |c| c["cores_serving"] == 3);
    house.fleet.nodes.iter().for_each(|n| n.set(Fault::Silent));
    // Three a core, so that the core that fails has some of them.
    let mut clients: Vec<Client> = (0..9).map(|_| Client::to(&house.program)).collect();
    clients.iter_mut().enumerate().for_each(|(number, client)| ask(client, number));
    house.until("all are read", |c| c["bytes_from_clients"] > 0 && c["clients_open"] >= 9);
    let mut another = Client::to(&house.program);
    another.fault("fail");
    let statuses = |client: &mut Client| (0..answers).map(|_| client.answer().0).collect::<Vec<u16>>();
    let answered: Vec<Vec<u16>> = clients.iter_mut().map(statuses).collect();
    assert!(answered.iter().flatten().all(|status| *status >= 408), "{answered:?}");
}

#[rstest]
fn a_drain_reaches_every_core_also_one_that_hangs_through_it() {
    let house = house(3, 3, &Setting::default());
    let mut clients = house.clients(3);
    let drained = &house.fleet.nodes[1];
    let (to, load, clock) = (house.program.address, house.load(Pace::Open(300.0), 5.0), house.clock);
    let sent = thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        house.until("it is used", |_| drained.last_call() > 0.0);
        clients[0].fault("hang 3000");
        common::logged(&house.program, "hangs since");
        let told = clock.now();
        house.agent.change(vec![Entry { status: "DRAINING", ..house.entries[1].clone() }]);
        house.until("the core is back", |c| c["cores_hung"] == 0 && c["cores_serving"] == 3);
        let sent = sent.join().expect("the load does not panic");
        // It slept through the grace with calls to make: none of them went to the drained node when it woke.
        assert!(drained.last_call() < told + 2.0, "{} s after the notice", drained.last_call() - told);
        sent
    });
    assert_eq!(sent.wrong, 0);
}

#[rstest]
fn a_whole_program_that_was_stopped_sends_nothing_by_an_old_list_when_it_goes_on() {
    let house = house(2, 2, &Setting::default());
    let (to, load, clock) = (house.program.address, house.load(Pace::Open(200.0), 4.5), house.clock);
    let drained = &house.fleet.nodes[0];
    thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        house.until("it is used", |_| drained.last_call() > 0.0);
        house.program.signal(Signal::SIGSTOP);
        let told = clock.now();
        house.agent.change(vec![Entry { status: "DRAINING", ..house.entries[0].clone() }]);
        thread::sleep(Duration::from_millis(2300));
        house.program.signal(Signal::SIGCONT);
        sent.join().expect("the load does not panic");
        assert!(drained.last_call() < told + 2.0, "{} s after the notice", drained.last_call() - told);
    });
}

#[rstest]
fn cores_tell_each_other_of_a_slow_node() {
    let house = house(3, 4, &Setting::default());
    house.fleet.nodes[2].set(Fault::Slow(2000.0));
    let sent = load::send(house.program.address, &house.load(Pace::Open(200.0), 1.5), house.clock);
    assert_eq!((sent.wrong, sent.lost), (0, 0));
    house.until("told", |c| {
        let of = |name: &str| c.get(name).copied().unwrap_or(0);
        of("evidence_told") > 0 && of("evidence_heard") >= of("evidence_told")
    });
}

#[rstest]
fn cores_that_keep_evidence_to_themselves_tell_nothing() {
    let house = said("cores(count = 3, evidence = False)", 4, &Setting::default());
    house.fleet.nodes[2].set(Fault::Slow(2000.0));
    load::send(house.program.address, &house.load(Pace::Open(200.0), 1.0), house.clock);
    let counters = house.program.counters();
    assert_eq!((counters.get("evidence_told"), counters.get("evidence_heard")), (None, None));
}

#[rstest]
fn a_client_that_comes_while_every_core_hangs_waits_and_is_served() {
    let house = house(2, 1, &Setting::default());
    let mut clients = house.clients(2);
    clients.iter_mut().for_each(|c| c.fault("hang 1500"));
    thread::sleep(Duration::from_millis(800));
    let mut late = Client::to(&house.program);
    late.query("late", 1900);
    assert_eq!(late.answer().0, 200);
}

#[rstest]
fn busy_connections_move_to_a_core_with_time_and_lose_nothing() {
    let house = house(2, 2, &Setting::default());
    // Every second connection is dealt to the first core; only those ask.
    let mut all = house.clients(2);
    all.extend((0..30).map(|_| Client::to(&house.program)));
    let mut busy: Vec<Client> = all.into_iter().step_by(2).collect();
    let end = Instant::now() + PATIENCE;
    let stop = std::sync::atomic::AtomicBool::new(false);
    let answered: usize = thread::scope(|scope| {
        let asking: Vec<_> = busy
            .iter_mut()
            .enumerate()
            .map(|(c, client)| {
                let stop = &stop;
                scope.spawn(move || {
                    let mut n = 0;
                    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                        client.query(&format!("c{c}-{n}"), 1900);
                        let (status, body) = client.answer();
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
        let moved = || house.program.counters().get("clients{moved}").copied().unwrap_or(0);
        while moved() == 0 && Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
        }
        let seen = moved();
        thread::sleep(Duration::from_millis(200));
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        assert!(seen > 0, "none moved");
        asking.into_iter().map(|a| a.join().expect("each query has its one answer")).sum()
    });
    assert!(answered > 0);
}

#[rstest]
fn connections_to_a_node_keep_to_the_stated_number_however_many_cores() {
    // One place on a connection, so that calls would open many.
    let setting = Setting { places: 1, ..Setting::default() };
    let house = said("cores(count = 4, node_connections = 8)", 2, &setting);
    let load = Load { connections: 64, ..house.load(Pace::Closed, 0.7) };
    let sent = load::send(house.program.address, &load, house.clock);
    assert_eq!((sent.wrong, sent.lost, sent.late), (0, 0, 0));
    for node in &house.fleet.nodes {
        let open = node.met.open.load(std::sync::atomic::Ordering::Relaxed);
        assert!((1..=8).contains(&open), "{open} connections");
    }
}

#[rstest]
fn descriptors_stay_under_the_limit_of_the_whole_program() {
    let setting = Setting { sockets: 96, places: 1, ..Setting::default() };
    let house = house(4, 6, &setting);
    let load = Load { connections: 200, ..house.load(Pace::Open(400.0), 1.0) };
    let (to, clock) = (house.program.address, house.clock);
    let most = thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        let mut most = 0;
        while !sent.is_finished() {
            most = most.max(house.program.descriptors());
            thread::sleep(Duration::from_millis(5));
        }
        most
    });
    assert!(most <= 96, "{most} descriptors");
}

#[rstest]
fn a_reload_and_a_stop_are_the_whole_programs() {
    let house = house(3, 2, &Setting::default());
    let mut clients = house.clients(3);
    // A faulty configuration changes nothing.
    let good = std::fs::read_to_string(&house.program.config).expect("it is there");
    std::fs::write(&house.program.config, "{").expect("written");
    house.program.signal(Signal::SIGHUP);
    says(&house.program, "the old configuration holds");
    // A moved agent is followed.
    let moved = Agent::start(house.entries.clone()).expect("discovery");
    let new = good.replace(&house.agent.address.to_string(), &moved.address.to_string());
    std::fs::write(&house.program.config, new).expect("written");
    house.program.signal(Signal::SIGHUP);
    says(&house.program, "discovery moves to");
    house.until("the new list", |c| c.get("roster_lists").copied().unwrap_or(0) >= 2);
    moved.change(vec![Entry { status: "DELETED", ..house.entries[0].clone() }]);
    house.until("told to all cores", |c| c["nodes_known"] == 1);
    // A stop answers what every core holds, and goes on serving a while.
    house.fleet.nodes[1].set(Fault::Paused);
    clients.iter_mut().enumerate().for_each(|(n, c)| c.query(&format!("last{n}"), 1900));
    house.until("all are open", |c| c["queries_open"] == 3);
    house.program.signal(Signal::SIGTERM);
    // Each core hears of it by itself.
    (0..3).for_each(|_| says(&house.program, "SIGTERM:"));
    house.fleet.nodes[1].set(Fault::None);
    clients.iter_mut().for_each(|c| assert_eq!(c.answer().0, 200));
    assert_eq!(clients[0].up(), 503);
    drop(clients);
    let House { program, .. } = house;
    let last = program.stop();
    assert!(last.iter().any(|l| l.starts_with("queries_merged{site-search} 3")), "{last:?}");
}

fn says(program: &Program, text: &str) {
    let end = Instant::now() + PATIENCE;
    while let Ok(line) = program.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
        if line.contains(text) {
            return;
        }
    }
    panic!("it never says: {text}");
}

#[rstest]
#[case::an_operators_file_that_is_faulty("cores(count = 0)", "{}", "count")]
#[case::a_configuration_that_is_faulty("cores(count = 2)", "{}", "key `settings`")]
fn a_faulty_file_ends_the_program_with_one_line(
    #[case] operator: &str,
    #[case] config: &str,
    #[case] expected: &str,
) {
    for verb in ["serve", "check"] {
        let name = format!("alderway-{}-{verb}-{}", std::process::id(), expected.len());
        let path = |ending: &str| std::env::temp_dir().join(format!("{name}.{ending}"));
        std::fs::write(path("star"), operator).expect("written");
        std::fs::write(path("json"), config).expect("written");
        let ran = std::process::Command::new(Path::new(env!("CARGO_BIN_EXE_alderway")))
            .arg(verb)
            .arg("--operator")
            .arg(path("star"))
            .arg("--config")
            .arg(path("json"))
            .output()
            .expect("it runs");
        let said = String::from_utf8_lossy(&ran.stderr);
        assert_eq!((ran.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains(expected), "{said}");
        ["star", "json"].iter().for_each(|ending| drop(std::fs::remove_file(path(ending))));
    }
}

/// Guards against a core's own descriptors that nobody counts: two runtimes beside the lead's have eight.
#[rstest]
#[case(1)]
#[case(2)]
#[case(4)]
fn what_is_kept_apart_holds_what_an_idle_program_has_open(#[case] cores: usize) {
    let house = house(cores, 1, &Setting::default());
    let open = house.program.descriptors();
    // One more may be discovery's connection in passing.
    assert!(open < descriptors::reserved(cores), "{open} open on {cores} cores");
}

#[rstest]
fn what_connects_to_a_program_that_stood_still_as_it_was_told_to_end_is_served() {
    let house = house(2, 2, &Setting::default());
    house.program.signal(Signal::SIGSTOP);
    let mut clients: Vec<Client> = (0..6).map(|_| Client::to(&house.program)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.query(&format!("q{number}"), 2000);
    }
    // For longer than a core may be silent.
    thread::sleep(Duration::from_millis(700));
    house.program.signal(Signal::SIGTERM);
    house.program.signal(Signal::SIGCONT);
    for client in &mut clients {
        assert_eq!(client.answer().0, 200);
    }
}
