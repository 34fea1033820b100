//! Tests of the router program while system calls fail in ways that Linux documents, or the wall clock jumps.
//! The faults occur while the program serves and while it shuts down.
mod common;
use alderway_fault_injection::HELD_IN_SEND;
use common::*;
use nix::sys::socket::{Backlog, listen};
use rstest::rstest;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Starts a router with the fault injection plan `faults` and one data node that answers every shard request
/// at once.
fn start_with_faults(faults: &str) -> (Program, FakeDiscovery) {
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let program =
        Program::with_faults(&nodes.addresses, discovery.address, &settings_json(1000, 180), faults);
    thread::spawn(move || {
        while let Ok(mut frame) = nodes.frames.recv() {
            for id in request_ids(&frame.text) {
                send_reply(&mut frame.stream, &format!("{id} done 17 -\nvalue of {id}"));
            }
        }
    });
    (program, discovery)
}

/// Sends `count` queries one after the other on one connection; returns the number of responses whose status
/// is not 200.
fn send_queries_in_turn(program: &Program, count: usize) -> usize {
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
fn temporary_errors_of_socket_calls_close_no_connection(#[case] faults: &str) {
    let (program, _discovery) = start_with_faults(faults);
    assert_eq!(send_queries_in_turn(&program, 300), 0, "queries without status 200");
    let counters = program.counters();
    assert_eq!(counters.get("connections{closed}"), None, "{counters:?}");
}

#[rstest]
fn connections_that_wait_at_a_shutdown_are_served_although_accepting_sometimes_fails() {
    let (program, _discovery) = start_with_faults("seed=4 accept=0.2");
    program.signal("TERM");
    program.wait_for_log("SIGTERM");
    program.signal("STOP");
    let mut clients: Vec<Client> = (0..40).map(|_| program.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query(&format!("q{number}"), &[1], 4000);
    }
    // The process stays suspended for 0.7 s, longer than the listener stays open after SIGTERM.
    thread::sleep(Duration::from_millis(700));
    program.signal("CONT");
    for client in &mut clients {
        assert_eq!(client.read_status(), "200");
    }
}

#[rstest]
#[case::an_hour_ahead("wall=3600")]
#[case::an_hour_behind("wall=-3600")]
#[case::back_and_forth("wobble=3600")]
fn steps_of_the_wall_clock_do_not_change_the_time_left(#[case] faults: &str) {
    let (program, _discovery) = start_with_faults(faults);
    assert_eq!(send_queries_in_turn(&program, 200), 0, "queries without status 200");
}

/// Returns the time that is left for an attempt, which the router sends to the data node in milliseconds in a
/// frame with a single attempt.
fn time_left_in_frame(frame: &str) -> Duration {
    let time_left_ms = frame.split("d=").nth(1).and_then(|rest| rest.split(' ').next()).expect("a wait");
    Duration::from_millis(time_left_ms.parse().expect("a number"))
}

#[rstest]
#[case::kept_connection("wobble=3600", false)]
#[case::new_connection("seed=7", true)]
#[case::new_connection_and_interrupted("seed=8 eintr=0.2", true)]
fn time_before_a_request_is_read_reduces_its_time_left_whatever_the_wall_clock_shows(
    #[case] faults: &str,
    #[case] is_new_connection: bool,
) {
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let settings = settings_json(4000, 180);
    let program = Program::with_faults(&nodes.addresses, discovery.address, &settings, faults);
    let mut client = program.connect();
    for round in 0..6 {
        client.send_query(&format!("a{round}"), &[1], 4000);
        nodes.answer_next();
        assert_eq!(client.read_status(), "200");
        program.signal("STOP");
        let sent_at = Instant::now();
        if is_new_connection {
            client = program.connect();
        }
        client.send_query(&format!("b{round}"), &[1], 4000);
        thread::sleep(Duration::from_millis(400));
        program.signal("CONT");
        let mut frame = nodes.next_frame('S');
        let time_left = time_left_in_frame(&frame.text);
        let left = Duration::from_millis(4000).saturating_sub(sent_at.elapsed());
        assert!(
            time_left <= left + Duration::from_millis(150),
            "round {round}: sent {time_left:?}, left {left:?}"
        );
        send_reply(&mut frame.stream, &format!("b{round}.1 done 17 -\nvalue"));
        assert_eq!(client.read_status(), "200");
    }
}

/// A fake data node whose listener's queue in the kernel is full, so that connecting hangs until
/// [`FullListener::accept`] is called.
struct FullListener {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullListener {
    fn new() -> FullListener {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listen(&listener, Backlog::new(0).expect("in range")).expect("a short queue");
        let address = listener.local_addr().expect("an address");
        let dial = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let queued = std::iter::from_fn(|| dial().ok()).collect();
        FullListener { listener, queued }
    }

    /// Accepts all queued connections, and then the router's connection, for which the kernel has retried
    /// connecting.
    fn accept(self) -> TcpStream {
        self.queued.iter().for_each(|_| drop(self.listener.accept().expect("a queued connection")));
        self.listener.accept().expect("the program's connection").0
    }
}

/// Settings in which the timeout for connecting to a data node is 6 s, and the query deadline 9 s.
fn settings_with_long_dial_timeout() -> String {
    settings_json(8000, 180)
        .replace("\"DeadlineUs\":5000000", "\"DeadlineUs\":9000000")
        .replace("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":6000000")
}

/// Waits until the router's counter `name` is 1; panics after [`TIMEOUT`].
fn wait_for_counter(program: &Program, name: &str) {
    let deadline = Instant::now() + TIMEOUT;
    while program.counters().get(name) != Some(&1) {
        assert!(Instant::now() < deadline, "{name} is not 1");
        thread::sleep(Duration::from_millis(5));
    }
}

/// While the process is suspended, the data node accepts the router's connection, and then the client
/// disconnects.
#[rstest]
fn no_attempt_starts_for_a_client_that_disconnected_while_the_process_was_suspended() {
    let (node, discovery) = (FullListener::new(), FakeDiscovery::new());
    let address = node.listener.local_addr().expect("an address");
    let settings = settings_with_long_dial_timeout();
    let program = Program::start(&[address], discovery.address, &settings, r#"{"sockets":256}"#);
    let mut client = program.connect();
    client.send_query("q", &[1], 9000);
    wait_for_counter(&program, "leaf_calls_sent{first}");
    program.signal("STOP");
    let mut connection = node.accept();
    drop(client);
    program.signal("CONT");
    wait_for_counter(&program, "queries_left{site-search}");
    connection.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    let received = connection.read(&mut [0; 64]);
    assert!(!matches!(received, Ok(1..)), "an attempt started for a client that had disconnected");
}

/// While the process is suspended, the data node accepts the router's connection, and then discovery reports
/// that the data node is draining.
#[rstest]
fn no_attempt_starts_on_a_node_that_began_to_drain_while_the_process_was_suspended() {
    let (node, discovery) = (FullListener::new(), FakeDiscovery::new());
    let address = node.listener.local_addr().expect("an address");
    let settings = settings_with_long_dial_timeout();
    let program = Program::start(&[address], discovery.address, &settings, r#"{"sockets":256}"#);
    let (_, mut watch) = discovery.accept_watch();
    send_update(&mut watch, &endpoint_update(42, true, &[endpoint_entry("s-0", address, "SERVING")]));
    program.wait_for_log("whole list 42");
    let mut client = program.connect();
    client.send_query("q", &[1], 9000);
    wait_for_counter(&program, "leaf_calls_sent{first}");
    program.signal("STOP");
    let mut connection = node.accept();
    send_update(&mut watch, &endpoint_update(43, false, &[endpoint_entry("s-0", address, "DRAINING")]));
    program.signal("CONT");
    program.wait_for_log("change 43");
    connection.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    let received = connection.read(&mut [0; 64]);
    assert!(!matches!(received, Ok(1..)), "an attempt started on a node that drains");
}

#[rstest]
fn signals_are_handled_although_system_calls_are_interrupted() {
    let (mut program, _discovery) = start_with_faults("seed=5 eintr=0.2 nobufs=0.2");
    for _ in 0..15 {
        program.signal("HUP");
        program.wait_for_log("configuration read");
    }
    program.signal("TERM");
    program.wait_for_log("SIGTERM");
    let status = program.child.wait().expect("the program ends");
    assert!(status.success(), "{status}");
}

/// A data node that starts while the router serves is in slow start, even if the wall clock was wrong when
/// the router started.
#[rstest]
#[case::right("seed=6")]
#[case::an_hour_ahead("wall=3600")]
#[case::an_hour_behind("wall=-3600")]
fn a_data_node_that_starts_is_in_slow_start_whatever_the_wall_clock_shows(#[case] faults: &str) {
    let (nodes, discovery) = (FakeNodes::new(2), FakeDiscovery::new());
    let settings = settings_json(1000, 180).replace("\"ReplicasOfMe\":2", "\"ReplicasOfMe\":200").replace(
        "\"Obligations\":{}",
        r#""Obligations":{"ColdFrom":0.2,"WarmUpUs":20000000,"FallMultiple":2.5,"FallUs":1000000}"#,
    );
    let program = Program::with_faults(&nodes.addresses[..1], discovery.address, &settings, faults);
    let (_, mut watch) = discovery.accept_watch();
    let address = nodes.addresses[1];
    send_update(
        &mut watch,
        &endpoint_update(42, true, &[endpoint_entry("s-0", nodes.addresses[0], "SERVING")]),
    );
    program.wait_for_log("whole list 42");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
    let started =
        endpoint_entry("s-1", address, "SERVING").replace("\"since_ms\":0", &format!("\"since_ms\":{unix}"));
    let deleted = endpoint_entry("s-0", nodes.addresses[0], "DELETED");
    send_update(&mut watch, &endpoint_update(43, false, &[started, deleted]));
    program.wait_for_log("change 43");
    let mut client = program.connect();
    let mut sent = 0;
    for number in 0..30 {
        client.send_query(&format!("q{number}"), &[1], 1000);
        if let Ok(mut frame) = nodes.frames.recv_timeout(Duration::from_millis(100)) {
            sent += usize::from(frame.frame_type == 'S' && frame.node == 1);
            send_reply(&mut frame.stream, &format!("q{number}.1 done 17 -\nvalue"));
        }
        client.read_status();
    }
    assert!(sent <= 5, "{sent} of 30 queries were sent to a node in slow start that 200 routers share");
}

/// Send calls fail for lack of kernel buffers for 2 s while an attempt is ready to be written. When the first
/// byte is finally written, the router checks whether the attempt may still be sent, and computes the
/// remaining time.
#[rstest]
#[case::node_drains(true)]
#[case::client_still_waits(false)]
fn an_attempt_that_could_not_be_written_is_checked_again(#[case] drains: bool) {
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let settings = settings_json(4000, 180);
    let program =
        Program::with_faults(&nodes.addresses, discovery.address, &settings, "seed=9 nobufs=1@1.5-3.5");
    // The plan's times count from the start of the program, shortly before the program logs its address.
    let started_at = Instant::now();
    let (_, mut watch) = discovery.accept_watch();
    send_update(
        &mut watch,
        &endpoint_update(42, true, &[endpoint_entry("s-0", nodes.addresses[0], "SERVING")]),
    );
    program.wait_for_log("whole list 42");
    let mut client = program.connect();
    client.send_query("a", &[1], 4000);
    nodes.answer_next();
    assert_eq!(client.read_status(), "200");
    thread::sleep(Duration::from_millis(1700).saturating_sub(started_at.elapsed()));
    let sent_at = Instant::now();
    client.send_query("b", &[1], 4000);
    if drains {
        thread::sleep(Duration::from_millis(100));
        send_update(
            &mut watch,
            &endpoint_update(43, false, &[endpoint_entry("s-0", nodes.addresses[0], "DRAINING")]),
        );
        program.wait_for_log("change 43");
        let frame = nodes.frames.recv_timeout(Duration::from_millis(2500));
        assert!(frame.is_err(), "an attempt started long after its node had begun to drain");
    } else {
        let frame = nodes.next_frame('S').text;
        let time_left = time_left_in_frame(&frame);
        let left = Duration::from_millis(4000).saturating_sub(sent_at.elapsed());
        assert!(time_left <= left + Duration::from_millis(150), "sent {time_left:?}, left {left:?}");
    }
}

/// The fault injection library logs each system call that it has delayed, with the times of its start and
/// end. The soak test needs this line: otherwise, a SIGSTOP during a delayed send call would look like a
/// frame that the router encoded too early.
#[rstest]
fn a_held_call_that_a_suspension_prolongs_is_logged_with_its_times() {
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let program =
        Program::with_faults(&nodes.addresses, discovery.address, &settings_json(1000, 180), "hold=1");
    // The library delays the send call of the response for 0.15 s. On a busy machine, the process may be
    // stopped before the process makes the call, so the test tries up to ten times.
    let line_of_held_call = || {
        let mut client = program.connect();
        client.send("GET /up HTTP/1.1\r\n\r\n");
        thread::sleep(Duration::from_millis(75));
        program.signal("STOP");
        thread::sleep(Duration::from_millis(300));
        program.signal("CONT");
        assert_eq!(client.read_status(), "200");
        program.log.try_iter().find(|line| line.starts_with(HELD_IN_SEND))
    };
    let line = (0..10).find_map(|_| line_of_held_call()).expect("a log line of the held call");
    let times = line.strip_prefix(HELD_IN_SEND).and_then(|times| times.trim().split_once(' '));
    let (from, until) = times.expect("two times");
    let span = until.parse::<f64>().expect("seconds") - from.parse::<f64>().expect("seconds");
    assert!((0.3..5.0).contains(&span), "{line}");
}
