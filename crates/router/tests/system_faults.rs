//! System calls that fail as Linux documents, and a wall clock that steps, while the program serves and stops.
mod common;
use alderway_fault_injection::HELD_IN_SEND;
use common::*;
use nix::sys::socket::{Backlog, listen};
use rstest::rstest;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A router under a plan of faults over one data node, which answers every part at once.
fn serving_under(faults: &str) -> (Program, FakeDiscovery) {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let program = Program::with_faults(&nodes.addresses, agent.address, &settings_json(1000, 180), faults);
    thread::spawn(move || {
        while let Ok(mut came) = nodes.frames.recv() {
            for id in request_ids(&came.text) {
                send_reply(&mut came.stream, &format!("{id} done 17 -\nvalue of {id}"));
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
        client.send_query(&format!("q{number}"), &[1, 2, 3], 1000);
        failed += usize::from(client.read_status() != "200");
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
    program.wait_for_log("SIGTERM");
    program.signal("STOP");
    let mut clients: Vec<Client> = (0..40).map(|_| program.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query(&format!("q{number}"), &[1], 4000);
    }
    // Past the moment at which the listener was to close.
    thread::sleep(Duration::from_millis(700));
    program.signal("CONT");
    for client in &mut clients {
        assert_eq!(client.read_status(), "200");
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

/// How long a call of one part tells its data node that its answer is waited for.
fn told(call: &str) -> Duration {
    let told = call.split("d=").nth(1).and_then(|rest| rest.split(' ').next()).expect("in the form");
    Duration::from_millis(told.parse().expect("a number"))
}

#[rstest]
#[case::kept_connection("wobble=3600", false)]
#[case::new_connection("seed=7", true)]
#[case::new_connection_and_interrupted("seed=8 eintr=0.2", true)]
fn a_request_that_waited_to_be_read_has_less_time_left_whatever_the_wall_clock_shows(
    #[case] faults: &str,
    #[case] new: bool,
) {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let settings = settings_json(4000, 180);
    let program = Program::with_faults(&nodes.addresses, agent.address, &settings, faults);
    let mut client = program.connect();
    for round in 0..6 {
        client.send_query(&format!("a{round}"), &[1], 4000);
        nodes.answer_next();
        assert_eq!(client.read_status(), "200");
        program.signal("STOP");
        let asked = Instant::now();
        if new {
            client = program.connect();
        }
        client.send_query(&format!("b{round}"), &[1], 4000);
        thread::sleep(Duration::from_millis(400));
        program.signal("CONT");
        let mut came = nodes.next_frame('S');
        let told = told(&came.text);
        let left = Duration::from_millis(4000).saturating_sub(asked.elapsed());
        assert!(told <= left + Duration::from_millis(150), "round {round}: told {told:?}, left {left:?}");
        send_reply(&mut came.stream, &format!("b{round}.1 done 17 -\nvalue"));
        assert_eq!(client.read_status(), "200");
    }
}

/// A data node whose dial stays pending until it accepts: its queue of connections is full.
struct Reluctant {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl Reluctant {
    fn new() -> Reluctant {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listen(&listener, Backlog::new(0).expect("in range")).expect("a short queue");
        let address = listener.local_addr().expect("an address");
        let dial = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let queued = std::iter::from_fn(|| dial().ok()).collect();
        Reluctant { listener, queued }
    }

    /// Accepts all that waited and then the program's connection, which its system tries again meanwhile.
    fn accept(self) -> TcpStream {
        self.queued.iter().for_each(|_| drop(self.listener.accept().expect("a queued connection")));
        self.listener.accept().expect("the program's connection").0
    }
}

/// Settings under which a dial may take seconds.
fn patient_settings() -> String {
    settings_json(8000, 180)
        .replace("\"DeadlineUs\":5000000", "\"DeadlineUs\":9000000")
        .replace("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":6000000")
}

/// Waits until something has been counted once.
fn counted(program: &Program, name: &str) {
    let end = Instant::now() + TIMEOUT;
    while program.counters().get(name) != Some(&1) {
        assert!(Instant::now() < end, "{name} is not counted");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The dial comes up, and then the client leaves, while the program stands still.
#[rstest]
fn nothing_begins_for_a_client_that_left_while_the_program_stood_still() {
    let (node, agent) = (Reluctant::new(), FakeDiscovery::new());
    let address = node.listener.local_addr().expect("an address");
    let settings = patient_settings();
    let program = Program::start(&[address], agent.address, &settings, r#"{"sockets":256}"#);
    let mut client = program.connect();
    client.send_query("q", &[1], 9000);
    counted(&program, "leaf_calls_sent{first}");
    program.signal("STOP");
    let mut call = node.accept();
    drop(client);
    program.signal("CONT");
    counted(&program, "queries_left{site-search}");
    call.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    let came = call.read(&mut [0; 64]);
    assert!(!matches!(came, Ok(1..)), "a call began for a client that had left");
}

/// The same where the data node begins to drain instead.
#[rstest]
fn nothing_begins_at_a_data_node_that_drains_since_the_program_stood_still() {
    let (node, agent) = (Reluctant::new(), FakeDiscovery::new());
    let address = node.listener.local_addr().expect("an address");
    let settings = patient_settings();
    let program = Program::start(&[address], agent.address, &settings, r#"{"sockets":256}"#);
    let (_, mut watch) = agent.accept_watch();
    send_update(&mut watch, &endpoint_update(42, true, &[endpoint_entry("s-0", address, "SERVING")]));
    program.wait_for_log("whole list 42");
    let mut client = program.connect();
    client.send_query("q", &[1], 9000);
    counted(&program, "leaf_calls_sent{first}");
    program.signal("STOP");
    let mut call = node.accept();
    send_update(&mut watch, &endpoint_update(43, false, &[endpoint_entry("s-0", address, "DRAINING")]));
    program.signal("CONT");
    program.wait_for_log("change 43");
    call.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    let came = call.read(&mut [0; 64]);
    assert!(!matches!(came, Ok(1..)), "a call began at a data node that drains");
}

#[rstest]
fn signals_are_taken_though_calls_are_interrupted() {
    let (mut program, _agent) = serving_under("seed=5 eintr=0.2 nobufs=0.2");
    for _ in 0..15 {
        program.signal("HUP");
        program.wait_for_log("configuration read");
    }
    program.signal("TERM");
    program.wait_for_log("SIGTERM");
    let status = program.child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A data node that starts while the program serves is cold, whatever the wall clock said as the program began.
#[rstest]
#[case::right("seed=6")]
#[case::an_hour_ahead("wall=3600")]
#[case::an_hour_behind("wall=-3600")]
fn a_data_node_seen_to_start_is_cold_whatever_the_wall_clock_shows(#[case] faults: &str) {
    let (nodes, agent) = (FakeNodes::new(2), FakeDiscovery::new());
    let settings = settings_json(1000, 180).replace("\"ReplicasOfMe\":2", "\"ReplicasOfMe\":200").replace(
        "\"Obligations\":{}",
        r#""Obligations":{"ColdFrom":0.2,"WarmUpUs":20000000,"FallMultiple":2.5,"FallUs":1000000}"#,
    );
    let program = Program::with_faults(&nodes.addresses[..1], agent.address, &settings, faults);
    let (_, mut watch) = agent.accept_watch();
    let address = nodes.addresses[1];
    send_update(
        &mut watch,
        &endpoint_update(42, true, &[endpoint_entry("s-0", nodes.addresses[0], "SERVING")]),
    );
    program.wait_for_log("whole list 42");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
    let fresh =
        endpoint_entry("s-1", address, "SERVING").replace("\"since_ms\":0", &format!("\"since_ms\":{unix}"));
    let gone = endpoint_entry("s-0", nodes.addresses[0], "DELETED");
    send_update(&mut watch, &endpoint_update(43, false, &[fresh, gone]));
    program.wait_for_log("change 43");
    let mut client = program.connect();
    let mut sent = 0;
    for number in 0..30 {
        client.send_query(&format!("q{number}"), &[1], 1000);
        if let Ok(mut came) = nodes.frames.recv_timeout(Duration::from_millis(100)) {
            sent += usize::from(came.frame_type == 'S' && came.node == 1);
            send_reply(&mut came.stream, &format!("q{number}.1 done 17 -\nvalue"));
        }
        client.read_status();
    }
    assert!(sent <= 5, "{sent} of 30 queries went to a cold data node of 200 routers");
}

/// A call that is ready to be written as the system has no buffers for two seconds: what it says, and whether it may go
/// out at all, is decided as its first byte does.
#[rstest]
#[case::its_data_node_drains(true)]
#[case::its_client_waits_on(false)]
fn a_call_that_could_not_be_written_is_decided_anew(#[case] drains: bool) {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let settings = settings_json(4000, 180);
    let program = Program::with_faults(&nodes.addresses, agent.address, &settings, "seed=9 nobufs=1@1.5-3.5");
    // The plan counts from a moment before the program says where it listens.
    let began = Instant::now();
    let (_, mut watch) = agent.accept_watch();
    send_update(
        &mut watch,
        &endpoint_update(42, true, &[endpoint_entry("s-0", nodes.addresses[0], "SERVING")]),
    );
    program.wait_for_log("whole list 42");
    let mut client = program.connect();
    client.send_query("a", &[1], 4000);
    nodes.answer_next();
    assert_eq!(client.read_status(), "200");
    thread::sleep(Duration::from_millis(1700).saturating_sub(began.elapsed()));
    let asked = Instant::now();
    client.send_query("b", &[1], 4000);
    if drains {
        thread::sleep(Duration::from_millis(100));
        send_update(
            &mut watch,
            &endpoint_update(43, false, &[endpoint_entry("s-0", nodes.addresses[0], "DRAINING")]),
        );
        program.wait_for_log("change 43");
        let came = nodes.frames.recv_timeout(Duration::from_millis(2500));
        assert!(came.is_err(), "a call began long after its data node was told to drain");
    } else {
        let call = nodes.next_frame('S').text;
        let told = told(&call);
        let left = Duration::from_millis(4000).saturating_sub(asked.elapsed());
        assert!(told <= left + Duration::from_millis(150), "told {told:?}, left {left:?}");
    }
}

/// The soak's oracle goes by this trace: without it, a SIGSTOP within a held call would look like a frame encoded too early.
#[rstest]
fn a_hold_that_a_stop_prolongs_is_told_with_its_times() {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let program = Program::with_faults(&nodes.addresses, agent.address, &settings_json(1000, 180), "hold=1");
    // The answer's call is held for 0.15 s. A process that is slow to answer, as beside load, is stopped before that.
    let stopped_within_the_call = || {
        let mut client = program.connect();
        client.send("GET /up HTTP/1.1\r\n\r\n");
        thread::sleep(Duration::from_millis(75));
        program.signal("STOP");
        thread::sleep(Duration::from_millis(300));
        program.signal("CONT");
        assert_eq!(client.read_status(), "200");
        program.log.try_iter().find(|line| line.starts_with(HELD_IN_SEND))
    };
    let line = (0..10).find_map(|_| stopped_within_the_call()).expect("a stop within a call is told");
    let times = line.strip_prefix(HELD_IN_SEND).and_then(|times| times.trim().split_once(' '));
    let (from, until) = times.expect("two times");
    let span = until.parse::<f64>().expect("seconds") - from.parse::<f64>().expect("seconds");
    assert!((0.3..5.0).contains(&span), "{line}");
}
