//! Two events that meet in one instant, over sockets: each story does both, and says which rule must hold. The list
//! of all such pairs is docs/crossings.md.
mod common;
use common::*;
use rstest::rstest;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

#[rstest]
fn a_client_that_floods_and_leaves_has_its_parts_given_up() {
    let (program, nodes, _agent) = start_router_with(1, 4000, 180, "{}");
    let mut client = program.connect();
    // More than one read buffer holds stands behind the query, and the client's end behind that.
    client
        .send(&(query_request("q", "site-search", &[0], 4900) + &"GET /up HTTP/1.1\r\n\r\n".repeat(20_000)));
    nodes.next_frame('S');
    drop(client);
    assert_eq!(nodes.next_frame('C').text, "q.0");
    let figures = program.counters();
    assert_eq!(figures["queries_left{site-search}"], 1);
}

#[rstest]
fn a_client_that_floods_behind_a_query_gets_its_answers_and_an_error_for_the_rest() {
    let (program, nodes, _agent) = start_router_with(1, 4000, 180, "{}");
    let mut client = program.connect();
    let many = 20_000;
    client.send(&(query_request("q", "site-search", &[0], 4900) + &"GET /up HTTP/1.1\r\n\r\n".repeat(many)));
    nodes.answer_next();
    let mut answers = vec![client.read_status()];
    while answers.last().is_some_and(|status| status == "200") {
        answers.push(client.read_status());
    }
    client.wait_for_close();
    assert_eq!(answers.pop().as_deref(), Some("400"));
    assert!((2..many).contains(&answers.len()), "{}", answers.len());
    let mut other = program.connect();
    other.send_query("r", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["r.0"]);
    assert_eq!(other.read_status(), "200");
}

#[rstest]
fn a_request_that_came_while_the_program_stood_still_in_its_stop_is_answered() {
    let (program, nodes, _agent) = start_router_with(1, 4000, 180, "{}");
    program.signal("TERM");
    program.wait_for_log("SIGTERM");
    program.signal("STOP");
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    // Past the moment at which the listener was to close.
    thread::sleep(Duration::from_millis(700));
    program.signal("CONT");
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
}

#[rstest]
#[case::says_nothing(b"")]
#[case::begins_its_head(b"HTTP/1.1 200 OK\r\n")]
fn an_agent_that_accepts_and_says_nothing_is_left_for_a_new_watch(#[case] says: &[u8]) {
    let (nodes, mute) = (FakeNodes::new(1), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let address = mute.local_addr().expect("an address");
    let _program = Program::start(&nodes.addresses, address, &settings_json(1000, 180), "{}");
    let (sender, watches) = channel();
    thread::spawn(move || while mute.accept().is_ok_and(|watch| sender.send(watch.0).is_ok()) {});
    let mut first = receive(&watches, "a watch");
    first.write_all(says).expect("written");
    let began = Instant::now();
    let _second = receive(&watches, "another watch");
    // A second and a quarter; by silence alone it would be more than three.
    assert!(began.elapsed() < Duration::from_millis(2900), "{:?}", began.elapsed());
}

#[rstest]
#[case::blanks(" ")]
#[case::an_object_that_never_ends("{\"x\":1,")]
fn a_watch_that_drips_bytes_and_tells_nothing_is_lost(#[case] begins: &'static str) {
    let (program, _nodes, agent) = start_router(1);
    let (_, mut dripping) = agent.accept_watch();
    let drip = thread::spawn(move || {
        let mut next = begins;
        while write!(dripping, "{:x}\r\n{next}\r\n", next.len()).is_ok() {
            thread::sleep(Duration::from_millis(50));
            next = " ";
        }
    });
    let (_, mut watch) = agent.accept_watch();
    program.wait_for_log("silence");
    send_update(&mut watch, &endpoint_update(45, true, &[]));
    program.wait_for_log("whole list 45: 0 entries");
    drip.join().expect("the old watch is closed");
    assert!(program.counters()["discovery_quiet_ms_most"] >= 3000);
}

#[rstest]
fn a_list_may_be_indented() {
    let (nodes, agent) = (FakeNodes::new(2), FakeDiscovery::new());
    let program = Program::start(&nodes.addresses[..1], agent.address, &settings_json(1000, 180), "{}");
    let (_, mut watch) = agent.accept_watch();
    let list = endpoint_update(45, true, &[endpoint_entry("s-9", nodes.addresses[1], "SERVING")]);
    send_update(&mut watch, &list.replace(',', ",\n    ").replace('{', "{\n  "));
    program.wait_for_log("whole list 45: 1 entries");
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next(), (vec!["q.0".to_string()], 1));
    assert_eq!(client.read_status(), "200");
}

#[rstest]
fn an_entry_that_cannot_be_used_leaves_its_node_as_it_was_and_hides_no_other() {
    let (nodes, agent) = (FakeNodes::new(2), FakeDiscovery::new());
    let program = Program::start(&nodes.addresses, agent.address, &settings_json(1000, 180), "{}");
    let (_, mut watch) = agent.accept_watch();
    let wrong =
        endpoint_entry("s-0", nodes.addresses[0], "SERVING").replace("\"group\":0", "\"group\":\"x\"");
    let drains = endpoint_entry("s-1", nodes.addresses[1], "DRAINING");
    send_update(&mut watch, &endpoint_update(45, true, &[wrong, drains]));
    let said = program.wait_for_log("1 entries cannot be used");
    assert!(said.contains("`s-0`: `group` is not a whole number"), "{said}");
    program.wait_for_log("whole list 45: 1 entries");
    let mut client = program.connect();
    for id in ["a", "b"] {
        client.send_query(id, &[0], 4000);
        assert_eq!(nodes.answer_next(), (vec![format!("{id}.0")], 0));
        assert_eq!(client.read_status(), "200");
    }
    // A state that can be read holds whatever else is wrong.
    let drains = endpoint_entry("s-0", nodes.addresses[0], "DRAINING").replace("127.0.0.1", "nowhere");
    send_update(&mut watch, &endpoint_update(46, false, &[drains]));
    program.wait_for_log("change 46: 0 entries");
    client.send_query("c", &[0], 400);
    assert_ne!(client.read_status(), "200");
    assert!(nodes.frames.try_recv().is_err(), "nothing new goes to a node that drains");
}

#[rstest]
fn idle_clients_that_hold_all_descriptors_keep_neither_discovery_nor_others_out() {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let limits = r#"{"sockets":32}"#;
    let program = Program::start(&nodes.addresses, agent.address, &settings_json(1000, 180), limits);
    // Each has had an answer, so none is dismissed before the others; none closes when it is.
    let mut idle: Vec<Client> = vec![];
    for _ in 0..40 {
        let mut client = program.connect();
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_status(), "200");
        idle.push(client);
    }
    drop(agent.accept_watch());
    let (_, mut watch) = agent.accept_watch();
    send_update(&mut watch, &endpoint_update(45, false, &[]));
    program.wait_for_log("change 45: 0 entries");
    let mut client = program.connect();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), "200");
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
}

#[rstest]
fn a_request_that_came_behind_another_at_the_end_of_a_stop_is_answered_too() {
    let (program, nodes, _agent) = start_router_with(1, 4000, 180, "{}");
    let mut client = program.connect();
    client.send_query("first", &[0], 4000);
    let mut call = nodes.next_frame('S');
    program.signal("TERM");
    program.wait_for_log("SIGTERM");
    // By now connections close with their present answer.
    let end = Instant::now() + TIMEOUT;
    while TcpStream::connect(program.address).is_ok() {
        assert!(Instant::now() < end, "the listener stays open");
        thread::sleep(Duration::from_millis(5));
    }
    client.send_query("second", &[0], 4000);
    send_reply(&mut call.stream, "first.0 done 17 -\nvalue");
    assert_eq!(client.read_status(), "200");
    assert_eq!(nodes.answer_next().0, ["second.0"]);
    assert_eq!(client.read_status(), "200");
    client.wait_for_close();
}
