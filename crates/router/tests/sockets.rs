//! Starts the program and speaks to it over loopback as client, data node and discovery. Ports are the
//! system's; stories wait for what the program does, never for a span that it might miss.
mod common;
use common::*;
use rstest::rstest;
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

#[rstest]
fn a_query_is_asked_for_in_one_call_and_answered_with_what_came() {
    let (program, nodes, _agent) = start_router(1);
    let mut client = program.connect();
    client.send_query("9b1f", &[3, 9], 4000);
    let ReceivedFrame { text, mut stream, .. } = nodes.next_frame('S');
    let (first, second) = text.split_at(text.len() / 2);
    for (part, id) in [(first, "9b1f.3 3 d="), (second, "9b1f.9 9 d=")] {
        let wait = part.strip_prefix(id).and_then(|rest| rest.split(' ').next()).expect("in the form");
        assert!((1000..=4000).contains(&wait.parse::<u64>().expect("a number")), "{part}");
        assert!(part.ends_with(" 8\nc41e77d0"), "{part}");
    }
    send_reply(&mut stream, "9b1f.9 done 184 inflight=7,util=0.61\nnine");
    send_reply(&mut stream, "9b1f.9 done 184 -\nsent twice");
    send_reply(&mut stream, "9b1f.3 done 184 -\nthree");
    let (head, body) = client.read_response();
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    let merged =
        r#"{"whole":true,"results":[{"partition":3,"value":"three"},{"partition":9,"value":"nine"}]}"#;
    assert_eq!(body, merged);
}

#[rstest]
fn a_request_may_come_byte_by_byte_and_the_next_ones_right_behind() {
    let (program, nodes, _agent) = start_router(1);
    let mut client = program.connect();
    client.0.get_mut().set_nodelay(true).expect("set");
    for byte in query_request("a", "region-report", &[0], 4000).as_bytes() {
        client.0.get_mut().write_all(&[*byte]).expect("written");
    }
    client.send(&(query_request("b", "site-search", &[1], 4000) + "GET /up HTTP/1.1\r\n\r\n"));
    for id in ["a.0", "b.1"] {
        assert_eq!(nodes.answer_next().0, [id]);
        assert!(client.read_response().1.contains(&format!("value of {id}")));
    }
    assert_eq!(client.read_response().1, "up\n");
}

#[rstest]
#[case::unknown_path("GET /elsewhere HTTP/1.1\r\n\r\n", "404")]
#[case::wrong_method("GET /api HTTP/1.1\r\n\r\n", "405")]
#[case::unknown_vertical(&query_request("q", "checkout", &[1], 400), "400")]
#[case::repeated_shard(&query_request("q", "site-search", &[1, 1], 400), "400")]
#[case::unplaced_shard(&query_request("q", "site-search", &[40], 400), "400")]
#[case::no_parts(&query_request("q", "site-search", &[], 400), "400")]
#[case::no_time(&query_request("q", "site-search", &[1], 400).replace("X-Time-Left-Ms", "X"), "400")]
#[case::time_in_words(&query_request("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: soon"), "400")]
#[case::time_with_sign(&query_request("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: +400"), "400")]
#[case::time_below_0(&query_request("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: -400"), "400")]
#[case::no_id(&query_request("", "site-search", &[1], 400), "400")]
#[case::shares_short_of_1(&query_request("q", "site-search", &[1, 2], 400).replace("0.5", "0.4"), "400")]
#[case::shares_past_1(&query_request("q", "site-search", &[1, 2], 400).replace("0.5", "0.6"), "400")]
#[case::share_past_1(&query_request("q", "site-search", &[1], 400).replace(":1,\"est", ":3,\"est"), "400")]
#[case::id_in_words(&query_request("a b", "site-search", &[1], 400), "400")]
#[case::not_json(&query_request("q", "site-search", &[1], 400).replace("\"query\"", "'query'"), "400")]
fn a_request_out_of_form_is_told_so_and_the_connection_kept(#[case] request: &str, #[case] status: &str) {
    let (program, nodes, _agent) = start_router(1);
    let mut client = program.connect();
    client.send(request);
    assert_eq!(client.read_status(), status);
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), "200");
    assert!(nodes.frames.try_recv().is_err(), "no call for what no client asked for");
}

#[rstest]
#[case::too_large("POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413")]
#[case::no_framing("POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400")]
#[case::no_request("hello\r\n\r\n", "505")]
#[case::length_and_chunks(
    &(query_request("a", "site-search", &[1], 400).replace("Host", "Transfer-Encoding: chunked\r\nHost")
        + "0\r\n\r\n" + &query_request("b", "site-search", &[1], 400)),
    "400"
)]
#[case::endless_head(&format!("POST /api HTTP/1.1\r\nX: {}", "x".repeat(20_000)), "431")]
#[case::endless_body(
    &format!("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n{}", "x".repeat(70_000)),
    "413"
)]
fn where_the_framing_is_lost_the_connection_closes_after_the_answer(
    #[case] request: &str,
    #[case] status: &str,
) {
    let (program, nodes, _agent) = start_router(1);
    let mut client = program.connect();
    client.send(request);
    assert_eq!(client.read_status(), status);
    client.wait_for_close();
    assert!(nodes.frames.try_recv().is_err(), "nothing behind it is read as a request");
}

#[rstest]
fn a_part_whose_connection_breaks_is_asked_for_elsewhere() {
    let (program, nodes, _agent) = start_router(2);
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    let first = nodes.next_frame('S');
    first.stream.shutdown(Shutdown::Both).expect("shut");
    assert_eq!(nodes.answer_next(), (vec!["q.0".to_string()], 1 - first.node));
    assert_eq!(client.read_status(), "200");
    assert_eq!(program.counters()["leaf_calls_ended{reset}"], 1);
}

/// Two queries take turns: one of them meets the bad node first.
fn two_queries_past_a_bad_node(program: &Program, nodes: &FakeNodes) {
    let mut client = program.connect();
    for id in ["a", "b"] {
        client.send_query(id, &[0], 4000);
        assert_eq!(nodes.answer_next().0, [format!("{id}.0")]);
        assert_eq!(client.read_status(), "200");
    }
    assert_eq!(program.counters()["leaf_calls_ended{unreachable}"], 1);
}

#[rstest]
fn a_node_that_refuses_connections_never_ran_the_part() {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let refuses = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let both = [nodes.addresses[0], refuses];
    let program = Program::start(&both, agent.address, &settings_json(4000, 180), "{}");
    two_queries_past_a_bad_node(&program, &nodes);
}

#[rstest]
fn a_dial_that_never_comes_up_ends_at_its_time_out() {
    // Nobody accepts here: once the system's queue is full, new connections hang.
    let full = TcpListener::bind("127.0.0.1:0").expect("a port");
    let hangs = full.local_addr().expect("an address");
    let brief = Duration::from_millis(50);
    let held: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&hangs, brief).ok()).take(10_000).collect();
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let both = [nodes.addresses[0], hangs];
    let program = Program::start(&both, agent.address, &settings_json(4000, 180), "{}");
    two_queries_past_a_bad_node(&program, &nodes);
    assert_eq!(program.counters()["connections{dial_timed_out}"], 1);
    drop(held);
}

#[rstest]
#[case::unknown_letter(b"\0\0\0\x01Z")]
#[case::too_long(b"\x7f\0\0\0R")]
#[case::unreadable_line(b"\0\0\0\x04R???")]
#[case::unknown_ending(b"\0\0\0\x0dRa.0 well 1 -\n")]
#[case::nobodys_part(b"\0\0\0\x0eRz.0 done 1 -\nv")]
#[case::less_than_its_length(b"\0\0\0\x7fRa.0 done 1 -\nv")]
fn a_frame_that_cannot_be_read_ends_its_connection_and_nothing_else(#[case] bytes: &[u8]) {
    let (program, nodes, _agent) = start_router_with(2, 4000, 180, "{}");
    let (mut one, mut other) = (program.connect(), program.connect());
    one.send_query("a", &[0], 4000);
    let mut bad = nodes.next_frame('S');
    other.send_query("b", &[0], 4000);
    let mut good = nodes.next_frame('S');
    assert_eq!(good.node, 1 - bad.node);
    bad.stream.write_all(bytes).expect("written");
    program.wait_for_log("its connection is closed");
    assert_eq!(nodes.answer_next(), (vec!["a.0".to_string()], good.node));
    send_reply(&mut good.stream, "b.0 done 1 -\nv");
    assert_eq!((one.read_status(), other.read_status()), ("200".to_string(), "200".to_string()));
}

#[rstest]
fn a_client_that_leaves_has_its_parts_given_up() {
    let (program, nodes, _agent) = start_router(1);
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    nodes.next_frame('S');
    drop(client);
    assert_eq!(nodes.next_frame('C').text, "q.0");
    let figures = program.counters();
    assert_eq!((figures["queries_left{site-search}"], figures["leaf_calls_open"]), (1, 0));
}

#[rstest]
fn the_loser_of_a_copy_is_given_up_and_its_late_reply_passed_over() {
    let (program, nodes, _agent) = start_router_with(2, 400, 180, "{}");
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    let mut late = nodes.next_frame('S');
    assert_eq!(
        nodes.answer_next(),
        (vec!["q.0".to_string()], 1 - late.node),
        "a copy after a quarter of the SLO time"
    );
    let given_up = nodes.next_frame('C');
    assert_eq!((&*given_up.text, given_up.node), ("q.0", late.node));
    assert!(client.read_response().1.contains("value of q.0"));
    send_reply(&mut late.stream, "q.0 done 1 -\nlate");
    client.send_query("r", &[0], 4000);
    nodes.answer_next();
    assert!(client.read_response().1.contains("value of r.0"));
    let figures = program.counters();
    assert_eq!((figures["leaf_calls_sent{first}"], figures["leaf_calls_sent{copy}"]), (2, 1));
}

#[rstest]
fn a_query_beyond_the_room_is_turned_away_at_once() {
    let (program, nodes, _agent) = start_router_with(1, 1000, 3, "{}");
    let (mut one, mut other) = (program.connect(), program.connect());
    one.send_query("a", &[0, 1], 4000);
    let mut held = nodes.next_frame('S');
    other.send_query("b", &[0], 4000);
    assert_eq!(other.read_status(), "503");
    request_ids(&held.text).iter().for_each(|id| send_reply(&mut held.stream, &format!("{id} done 1 -\nv")));
    assert_eq!(one.read_status(), "200");
    other.send_query("c", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["c.0"]);
    assert_eq!(other.read_status(), "200");
}

#[rstest]
fn idle_connections_make_room_where_descriptors_are_few() {
    let (program, nodes, _agent) = start_router_with(1, 1000, 180, r#"{"sockets":32}"#);
    let mut idle: Vec<Client> = (0..50).map(|_| program.connect()).collect();
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
    idle.remove(0).wait_for_close();
}

#[rstest]
fn a_dial_waits_for_a_descriptor_instead_of_ending_its_parts() {
    // Two connections to four data nodes: most calls need one that another has to give back first.
    let (program, nodes, _agent) = start_router_with(4, 4000, 180, r#"{"sockets":20}"#);
    let mut client = program.connect();
    for id in 0..8 {
        client.send_query(&format!("q{id}"), &[0], 4000);
        assert_eq!(nodes.answer_next().0, [format!("q{id}.0")]);
        assert_eq!(client.read_status(), "200");
    }
    let figures = program.counters();
    assert!(figures["dials_short_of_descriptors"] > 0);
    assert_eq!((sum_by_prefix(&figures, "leaf_calls_ended{"), figures["leaf_calls_ended{success}"]), (8, 8));
}

#[rstest]
fn half_sent_requests_do_not_hold_all_places() {
    let (program, nodes, _agent) = start_router_with(1, 1000, 180, r#"{"sockets":20}"#);
    let request = query_request("half", "site-search", &[1], 4000);
    let mut half: Vec<Client> = (0..2).map(|_| program.connect()).collect();
    half.iter_mut().for_each(|client| client.send(&request[..request.len() - 1]));
    let (mut client, began) = (program.connect(), Instant::now());
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
    // Else it would have waited for the longest deadline of 5 s.
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
}

#[rstest]
fn a_slow_reader_holds_up_nobody() {
    let (program, nodes, _agent) = start_router(1);
    let mut slow = program.connect();
    // Answers pile up unread until the system takes no more requests.
    slow.0.get_mut().set_nonblocking(true).expect("set");
    let (asked, mut full) = ("GET /counters HTTP/1.1\r\n\r\n".repeat(1000), 0);
    while full < 20 {
        let taken = slow.0.get_mut().write(asked.as_bytes()).unwrap_or_default();
        full = if taken > 0 { 0 } else { full + 1 };
        thread::sleep(Duration::from_millis(5));
    }
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
    // Nor does it keep its place: an answer that gets no further ends its connection.
    let began = Instant::now();
    while program.counters()["clients_open"] > 2 {
        assert!(began.elapsed() < Duration::from_millis(4500));
        thread::sleep(Duration::from_millis(50));
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_status(), "200");
    }
}

#[rstest]
fn time_counts_from_the_requests_last_byte_though_the_router_stood_still() {
    let (program, nodes, _agent) = start_router_with(1, 200, 180, "{}");
    let mut client = program.connect();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), "200");
    program.signal("STOP");
    let sent = Instant::now();
    client.send_query("q", &[0], 1500);
    thread::sleep(Duration::from_millis(1000));
    program.signal("CONT");
    nodes.next_frame('S');
    assert_eq!(client.read_status(), "503");
    // Counted from when it was read, the time would be up after 2.5 s.
    let took = sent.elapsed();
    assert!(took < Duration::from_millis(2000), "{took:?}");
}

#[rstest]
fn a_draining_node_gets_nothing_new_and_a_new_one_is_asked() {
    let (nodes, agent) = (FakeNodes::new(2), FakeDiscovery::new());
    let program = Program::start(&nodes.addresses[..1], agent.address, &settings_json(1000, 180), "{}");
    let (asked, mut watch) = agent.accept_watch();
    assert!(asked.starts_with("GET /discovery/hosts?follow=1&since=41 "), "{asked}");
    let change = [
        endpoint_entry("s-0", nodes.addresses[0], "DRAINING"),
        endpoint_entry("s-9", nodes.addresses[1], "SERVING"),
    ];
    send_update(&mut watch, &endpoint_update(43, false, &change));
    program.wait_for_log("change 43: 2 entries");
    let mut client = program.connect();
    for id in ["a", "b", "c"] {
        client.send_query(id, &[0], 4000);
        assert_eq!(nodes.answer_next(), (vec![format!("{id}.0")], 1));
        assert_eq!(client.read_status(), "200");
    }
}

#[rstest]
fn a_router_that_knows_no_node_is_ready_once_discovery_has_told_one() {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let program = Program::start(&[], agent.address, &settings_json(1000, 180), "{}");
    let mut client = program.connect();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), "503");
    let (_, mut watch) = agent.accept_watch();
    send_update(
        &mut watch,
        &endpoint_update(42, false, &[endpoint_entry("s-0", nodes.addresses[0], "SERVING")]),
    );
    program.wait_for_log("ready: serves: 1 data nodes known");
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), "200");
}

#[rstest]
fn what_discovery_says_in_no_form_leads_to_a_new_watch_and_the_old_list_holds() {
    let (program, nodes, agent) = start_router(1);
    let (_, mut watch) = agent.accept_watch();
    send_update(&mut watch, r#"{"index":44,"snapshot":true,"endpoints":["s-0"]}"#);
    program.wait_for_log("the watch is lost");
    let (asked, watch) = agent.accept_watch();
    assert!(asked.contains("since=41 "), "{asked}");
    drop(watch);
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
    let (_, mut watch) = agent.accept_watch();
    send_update(&mut watch, &endpoint_update(40, false, &[]));
    let (asked, _watch) = agent.accept_watch();
    assert!(
        asked.starts_with("GET /discovery/hosts?follow=1 "),
        "{asked}: the whole list after an older one"
    );
}

#[rstest]
fn a_silent_watch_is_asked_for_anew() {
    let (program, _nodes, agent) = start_router(1);
    let (_, _silent) = agent.accept_watch();
    let (_, mut watch) = agent.accept_watch();
    program.wait_for_log("silence");
    send_update(&mut watch, "");
    send_update(&mut watch, &endpoint_update(45, true, &[]));
    program.wait_for_log("whole list 45: 0 entries");
}

#[rstest]
fn a_new_configuration_moves_discovery_and_a_faulty_one_changes_nothing() {
    let (program, nodes, old) = start_router(1);
    let (_, mut watch) = old.accept_watch();
    let (good, new) = (std::fs::read_to_string(&program.config).expect("readable"), FakeDiscovery::new());
    let moved = good.replace(&old.address.to_string(), &new.address.to_string());
    let seed = moved.replace("8c1f30d27a5be964", "no hex");
    for (text, says) in [("", "not JSON"), (&moved[..moved.len() / 2], "not JSON"), (&seed, "key `seed`")] {
        std::fs::write(&program.config, text).expect("written");
        program.signal("HUP");
        assert!(program.wait_for_log("the old configuration holds").contains(says));
    }
    std::fs::remove_file(&program.config).expect("removed");
    program.signal("HUP");
    assert!(program.wait_for_log("the old configuration holds").contains("`PROXY_CONFIG`"));
    send_update(&mut watch, &endpoint_update(42, false, &[]));
    program.wait_for_log("change 42: 0 entries");
    std::fs::write(&program.config, moved.replace("\"sockets\":256", "\"sockets\":300")).expect("written");
    program.signal("HUP");
    assert!(program.wait_for_log("takes effect with a restart").contains("key `limits`"));
    let (asked, mut watch_there) = new.accept_watch();
    assert!(asked.contains("since=42 "), "{asked}");
    assert_eq!(watch.read(&mut [0; 100]).unwrap_or_default(), 0, "the old watch has ended");
    // Neither has told anything since: the old list holds.
    let mut client = program.connect();
    client.send_query("a", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["a.0"]);
    assert_eq!(client.read_status(), "200");
    let drains = endpoint_entry("s-0", nodes.addresses[0], "DRAINING");
    send_update(&mut watch_there, &endpoint_update(43, false, &[drains]));
    program.wait_for_log("change 43: 1 entries");
    program.signal("HUP");
    assert!(program.wait_for_log("configuration read").contains("stays at"));
    program.signal("TERM");
    program.signal("HUP");
    drop(client);
    assert_eq!(program.wait_for_exit().0.code(), Some(0));
}

#[rstest]
fn sigterm_loses_nothing_that_was_taken_and_kept_connections_are_served_on() {
    let (program, nodes, _agent) = start_router_with(1, 1000, 180, "{}");
    let (mut kept, mut open) = (program.connect(), program.connect());
    open.send_query("a", &[0], 4000);
    let mut held = nodes.next_frame('S');
    program.signal("TERM");
    program.wait_for_log("SIGTERM");
    let began = Instant::now();
    let mut late = program.connect();
    late.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(late.read_status(), "503");
    // SIGKILL comes after 3.7 s at the earliest, and other routers may be away as well.
    while began.elapsed() < Duration::from_millis(2000) {
        kept.send_query("b", &[1], 4000);
        assert_eq!(nodes.answer_next().0, ["b.1"]);
        assert!(!kept.read_response().0.contains("Connection: close"));
    }
    kept.wait_for_close();
    send_reply(&mut held.stream, "a.0 done 1 -\nv");
    let (head, _) = open.read_response();
    assert!(head.starts_with("HTTP/1.1 200") && head.contains("Connection: close"), "{head}");
    open.wait_for_close();
    let (status, figures) = program.wait_for_exit();
    assert!(began.elapsed() < Duration::from_millis(3700), "{:?}", began.elapsed());
    assert_eq!(status.code(), Some(0));
    assert_eq!(sum_by_prefix(&figures, "queries_taken"), sum_by_prefix(&figures, "queries_merged{"));
    assert_eq!(figures["clients_open"], 0);
}

#[rstest]
fn what_is_open_when_a_stop_ends_is_answered_all_the_same() {
    let (program, nodes, _agent) = start_router_with(1, 4000, 180, "{}");
    let mut open = program.connect();
    open.send_query("a", &[0], 4900);
    nodes.next_frame('S');
    program.signal("TERM");
    assert_eq!(open.read_status(), "504");
    open.wait_for_close();
    assert_eq!(program.wait_for_exit().0.code(), Some(0));
}

#[rstest]
fn a_partial_vertical_is_answered_at_its_slo_time_with_what_came() {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let partial =
        settings_json(400, 180).replace("\"BundleMax\"", "\"FloorByClass\":[0.5,0.5],\"BundleMax\"");
    let program = Program::start(&nodes.addresses, agent.address, &partial, "{}");
    let mut client = program.connect();
    client.send_query("q", &[3, 9], 4000);
    let mut held = nodes.next_frame('S');
    send_reply(&mut held.stream, "q.9 done 1 -\nnine");
    let (_, body) = client.read_response();
    assert_eq!(body, r#"{"whole":false,"results":[{"partition":9,"value":"nine"}]}"#);
    assert_eq!(nodes.next_frame('C').text, "q.3");
}

#[rstest]
fn where_the_roster_must_be_asked_for_the_watch_follows_the_modules_word() {
    let (nodes, agent) = (FakeNodes::new(1), FakeDiscovery::new());
    let asked = settings_json(400, 180).replace("automatic", "subscribe");
    let program = Program::start(&nodes.addresses, agent.address, &asked, "{}");
    drop(agent.accept_watch());
    program.wait_for_log("the watch is lost");
    // Told that following has failed, the module asks again.
    let (_, mut watch) = agent.accept_watch();
    send_update(&mut watch, &endpoint_update(45, true, &[]));
    program.wait_for_log("whole list 45: 0 entries");
}

#[rstest]
fn a_client_may_ask_for_the_end_of_its_connection_and_no_id_is_open_twice() {
    let (program, nodes, _agent) = start_router(1);
    let (mut client, mut other) = (program.connect(), program.connect());
    client.send(&query_request("q", "site-search", &[1], 4000).replace("Host", "Connection: close\r\nHost"));
    let mut held = nodes.next_frame('S');
    other.send_query("q", &[1], 4000);
    assert_eq!(other.read_status(), "400");
    send_reply(&mut held.stream, "q.1 done 1 -\nv");
    assert_eq!(client.read_status(), "200");
    client.wait_for_close();
}

#[rstest]
fn a_client_that_waits_for_a_word_before_its_body_gets_it() {
    let (program, nodes, _agent) = start_router(1);
    let mut client = program.connect();
    let request =
        query_request("q", "site-search", &[1], 4000).replace("Host", "Expect: 100-continue\r\nHost");
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    client.send(&format!("{head}\r\n\r\n"));
    let mut word = String::new();
    client.0.read_line(&mut word).and_then(|_| client.0.read_line(&mut word)).expect("a word");
    assert_eq!(word, "HTTP/1.1 100 Continue\r\n\r\n");
    client.send(body);
    assert_eq!(nodes.answer_next().0, ["q.1"]);
    assert_eq!(client.read_status(), "200");
}

#[rstest]
fn requests_that_came_before_sigterm_was_seen_are_answered() {
    let (program, nodes, _agent) = start_router_with(1, 4000, 180, "{}");
    let mut idle = program.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(idle.read_status(), "200");
    program.signal("STOP");
    idle.send_query("a", &[0], 4000);
    let mut fresh = program.connect();
    fresh.send_query("b", &[1], 4000);
    program.signal("TERM");
    program.signal("CONT");
    let mut asked = nodes.answer_next().0;
    if asked.len() < 2 {
        asked.extend(nodes.answer_next().0);
    }
    asked.sort();
    assert_eq!(asked, ["a.0", "b.1"]);
    assert_eq!((idle.read_status(), fresh.read_status()), ("200".to_string(), "200".to_string()));
}

#[rstest]
fn silent_and_half_sent_connections_end_within_three_seconds() {
    let (program, nodes, _agent) = start_router(1);
    let (began, request) = (Instant::now(), query_request("q", "site-search", &[1], 4000));
    let (silent, mut half, mut kept, mut open) =
        (program.connect(), program.connect(), program.connect(), program.connect());
    half.send(&request[..request.len() - 1]);
    kept.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(kept.read_status(), "200");
    open.send_query("a", &[0], 4000);
    let mut held = nodes.next_frame('S');
    silent.wait_for_close();
    kept.wait_for_close();
    assert_eq!(half.read_status(), "408");
    half.wait_for_close();
    let took = began.elapsed();
    // The longest deadline is 5 s.
    assert!((2.0..4.5).contains(&took.as_secs_f64()), "{took:?}");
    send_reply(&mut held.stream, "a.0 done 1 -\nv");
    assert_eq!(open.read_status(), "200", "a query is waited for");
}

#[rstest]
fn counters_add_up() {
    let (program, nodes, _agent) = start_router_with(1, 200, 3, "{}");
    let (mut client, mut other) = (program.connect(), program.connect());
    client.send_query("a", &[0], 4000);
    nodes.answer_next();
    client.send_query("b", &[0], 1000);
    nodes.next_frame('S');
    assert_eq!([client.read_status(), client.read_status()], ["200", "503"]);
    assert_eq!(nodes.next_frame('C').text, "b.0");
    client.send_query("c", &[0], 4000);
    nodes.next_frame('S');
    other.send_query("d", &[0, 1], 4000);
    assert_eq!(other.read_status(), "503");
    let figures = program.counters();
    let ended = ["merged", "merged_in_part", "rejected", "aborted", "turned_away", "left", "overdue"];
    let ended: u64 = ended.iter().map(|what| sum_by_prefix(&figures, &format!("queries_{what}{{"))).sum();
    assert_eq!((sum_by_prefix(&figures, "queries_taken{"), ended, figures["queries_open"]), (4, 3, 1));
    let calls = sum_by_prefix(&figures, "leaf_calls_ended{") + figures["leaf_calls_open"];
    assert_eq!((sum_by_prefix(&figures, "leaf_calls_sent{"), calls), (3, 3));
}

#[rstest]
#[case::not_json("{", "configuration")]
#[case::no_settings(r#"{"listen":"127.0.0.1:0"}"#, "`settings`")]
#[case::wrong_type(r#"{"name":7,"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{S}}"#, "`name`")]
#[case::no_address(r#"{"name":"n","listen":"nowhere","discovery":"127.0.0.1:1","settings":{S}}"#, "`listen`")]
#[case::seed(r#"{"seed":"xyz","settings":{S}}"#, "`seed`")]
#[case::too_few(
    r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"sockets":5},"settings":{S}}"#,
    "`limits.sockets`"
)]
#[case::known(
    r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","known":{"index":1},"settings":{S}}"#,
    "`known`"
)]
#[case::lacking(r#"{"settings":{S}}"#, "`StreamsPerConn`")]
#[case::out_of_range(r#"{"settings":{S}}"#, "`TickUs`")]
#[case::not_whole(r#"{"settings":{S}}"#, "`Cells`")]
#[case::optional_of_wrong_type(r#"{"settings":{S}}"#, "`BundleMax`")]
fn a_faulty_configuration_ends_the_program_with_its_key(#[case] config: &str, #[case] key: &str) {
    let settings = match key {
        "`StreamsPerConn`" => settings_json(1000, 180).replace("StreamsPerConn", "Other"),
        "`TickUs`" => settings_json(1000, 180).replace("5000,\"OverShare", "0,\"OverShare"),
        "`Cells`" => settings_json(1000, 180).replace("\"Cells\":1", "\"Cells\":1.5"),
        "`BundleMax`" => settings_json(1000, 180).replace("\"BundleMax\":8", "\"BundleMax\":\"8\""),
        _ => settings_json(1000, 180),
    };
    let (child, path) = spawn(&config.replace("{S}", &settings));
    let output = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(path);
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(key) && errors.lines().count() == 1, "{errors}");
}
