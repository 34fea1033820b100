//! Tests of the router program with fake clients, data nodes and discovery over loopback connections. The
//! operating system chooses the ports. The tests wait for events of the program instead of sleeping for a
//! fixed time.
mod common;
use common::*;
use rstest::rstest;
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

#[rstest]
fn the_shard_requests_of_a_query_are_sent_in_one_frame_and_their_replies_merged() {
    let (program, nodes, _discovery) = start_router(1);
    let mut client = program.connect();
    client.send_query("9b1f", &[3, 9], 4000);
    let ReceivedFrame { text, mut stream, .. } = nodes.next_frame('S');
    let (first, second) = text.split_at(text.len() / 2);
    for (request, id) in [(first, "9b1f.3 3 d="), (second, "9b1f.9 9 d=")] {
        let wait_ms = request.strip_prefix(id).and_then(|rest| rest.split(' ').next()).expect("a wait");
        assert!((1000..=4000).contains(&wait_ms.parse::<u64>().expect("a number")), "{request}");
        assert!(request.ends_with(" 8\nc41e77d0"), "{request}");
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
fn a_request_may_arrive_byte_by_byte_and_further_ones_pipelined_behind_it() {
    let (program, nodes, _discovery) = start_router(1);
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
#[case::unknown_class(&query_request("q", "checkout", &[1], 400), "400")]
#[case::repeated_shard(&query_request("q", "site-search", &[1, 1], 400), "400")]
#[case::unknown_shard(&query_request("q", "site-search", &[40], 400), "400")]
#[case::no_targets(&query_request("q", "site-search", &[], 400), "400")]
#[case::no_time_limit(&query_request("q", "site-search", &[1], 400).replace("X-Time-Left-Ms", "X"), "400")]
#[case::time_in_words(&query_request("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: soon"), "400")]
#[case::time_with_sign(&query_request("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: +400"), "400")]
#[case::time_below_0(&query_request("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: -400"), "400")]
#[case::no_id(&query_request("", "site-search", &[1], 400), "400")]
#[case::shares_short_of_1(&query_request("q", "site-search", &[1, 2], 400).replace("0.5", "0.4"), "400")]
#[case::shares_past_1(&query_request("q", "site-search", &[1, 2], 400).replace("0.5", "0.6"), "400")]
#[case::share_past_1(&query_request("q", "site-search", &[1], 400).replace(":1,\"est", ":3,\"est"), "400")]
#[case::id_in_words(&query_request("a b", "site-search", &[1], 400), "400")]
#[case::not_json(&query_request("q", "site-search", &[1], 400).replace("\"query\"", "'query'"), "400")]
fn an_invalid_request_gets_an_error_and_the_connection_stays_open(
    #[case] request: &str,
    #[case] status: &str,
) {
    let (program, nodes, _discovery) = start_router(1);
    let mut client = program.connect();
    client.send(request);
    assert_eq!(client.read_status(), status);
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), "200");
    assert!(nodes.frames.try_recv().is_err(), "an invalid request starts no attempt");
}

#[rstest]
#[case::too_large("POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413")]
#[case::invalid_length("POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400")]
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
fn after_an_error_in_the_framing_the_connection_closes_with_the_response(
    #[case] request: &str,
    #[case] status: &str,
) {
    let (program, nodes, _discovery) = start_router(1);
    let mut client = program.connect();
    client.send(request);
    assert_eq!(client.read_status(), status);
    client.wait_for_close();
    assert!(nodes.frames.try_recv().is_err(), "bytes behind the error are not read as a request");
}

#[rstest]
fn a_shard_request_whose_connection_breaks_is_retried_on_another_node() {
    let (program, nodes, _discovery) = start_router(2);
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    let first = nodes.next_frame('S');
    first.stream.shutdown(Shutdown::Both).expect("shut");
    assert_eq!(nodes.answer_next(), (vec!["q.0".to_string()], 1 - first.node));
    assert_eq!(client.read_status(), "200");
    assert_eq!(program.counters()["leaf_calls_ended{reset}"], 1);
}

/// Sends two queries one after the other, and asserts that the router tries the unreachable data node first
/// for exactly one of them.
fn send_two_queries_past_an_unreachable_node(program: &Program, nodes: &FakeNodes) {
    let mut client = program.connect();
    for id in ["a", "b"] {
        client.send_query(id, &[0], 4000);
        assert_eq!(nodes.answer_next().0, [format!("{id}.0")]);
        assert_eq!(client.read_status(), "200");
    }
    assert_eq!(program.counters()["leaf_calls_ended{unreachable}"], 1);
}

#[rstest]
fn an_attempt_on_a_node_that_refuses_connections_is_retried_elsewhere() {
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let refuses = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let both = [nodes.addresses[0], refuses];
    let program = Program::start(&both, discovery.address, &settings_json(4000, 180), "{}");
    send_two_queries_past_an_unreachable_node(&program, &nodes);
}

#[rstest]
fn a_connection_that_is_never_accepted_times_out() {
    // This listener never accepts, so connecting hangs once the listener's queue in the kernel is full.
    let full = TcpListener::bind("127.0.0.1:0").expect("a port");
    let hangs = full.local_addr().expect("an address");
    let connect_timeout = Duration::from_millis(50);
    let held: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&hangs, connect_timeout).ok())
            .take(10_000)
            .collect();
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let both = [nodes.addresses[0], hangs];
    let program = Program::start(&both, discovery.address, &settings_json(4000, 180), "{}");
    send_two_queries_past_an_unreachable_node(&program, &nodes);
    assert_eq!(program.counters()["connections{dial_timed_out}"], 1);
    drop(held);
}

#[rstest]
#[case::unknown_type(b"\0\0\0\x01Z")]
#[case::too_long(b"\x7f\0\0\0R")]
#[case::unreadable_line(b"\0\0\0\x04R???")]
#[case::unknown_status(b"\0\0\0\x0dRa.0 well 1 -\n")]
#[case::unknown_shard_request(b"\0\0\0\x0eRz.0 done 1 -\nv")]
#[case::shorter_than_its_length(b"\0\0\0\x7fRa.0 done 1 -\nv")]
fn an_unreadable_frame_closes_only_its_own_connection(#[case] bytes: &[u8]) {
    let (program, nodes, _discovery) = start_router_with(2, 4000, 180, "{}");
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
fn attempts_are_cancelled_when_their_client_disconnects() {
    let (program, nodes, _discovery) = start_router(1);
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    nodes.next_frame('S');
    drop(client);
    assert_eq!(nodes.next_frame('C').text, "q.0");
    let counters = program.counters();
    assert_eq!((counters["queries_left{site-search}"], counters["leaf_calls_open"]), (1, 0));
}

#[rstest]
fn the_slower_attempt_of_a_hedged_request_is_cancelled_and_its_late_reply_ignored() {
    let (program, nodes, _discovery) = start_router_with(2, 400, 180, "{}");
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    let mut late = nodes.next_frame('S');
    assert_eq!(
        nodes.answer_next(),
        (vec!["q.0".to_string()], 1 - late.node),
        "a hedge after a quarter of the latency objective"
    );
    let cancelled = nodes.next_frame('C');
    assert_eq!((&*cancelled.text, cancelled.node), ("q.0", late.node));
    assert!(client.read_response().1.contains("value of q.0"));
    send_reply(&mut late.stream, "q.0 done 1 -\nlate");
    client.send_query("r", &[0], 4000);
    nodes.answer_next();
    assert!(client.read_response().1.contains("value of r.0"));
    let counters = program.counters();
    assert_eq!((counters["leaf_calls_sent{first}"], counters["leaf_calls_sent{copy}"]), (2, 1));
}

#[rstest]
fn a_query_beyond_the_limit_of_open_queries_is_rejected_at_once() {
    let (program, nodes, _discovery) = start_router_with(1, 1000, 3, "{}");
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
fn idle_connections_are_closed_when_descriptors_run_out() {
    let (program, nodes, _discovery) = start_router_with(1, 1000, 180, r#"{"sockets":32}"#);
    let mut idle: Vec<Client> = (0..50).map(|_| program.connect()).collect();
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
    idle.remove(0).wait_for_close();
}

#[rstest]
fn a_new_connection_waits_for_a_descriptor_instead_of_failing_its_attempts() {
    // The router has file descriptors for connections to two of the four data nodes, so most attempts wait
    // until another connection is closed.
    let (program, nodes, _discovery) = start_router_with(4, 4000, 180, r#"{"sockets":20}"#);
    let mut client = program.connect();
    for id in 0..8 {
        client.send_query(&format!("q{id}"), &[0], 4000);
        assert_eq!(nodes.answer_next().0, [format!("q{id}.0")]);
        assert_eq!(client.read_status(), "200");
    }
    let counters = program.counters();
    assert!(counters["dials_short_of_descriptors"] > 0);
    assert_eq!(
        (sum_by_prefix(&counters, "leaf_calls_ended{"), counters["leaf_calls_ended{success}"]),
        (8, 8)
    );
}

#[rstest]
fn incomplete_requests_do_not_hold_all_descriptors() {
    let (program, nodes, _discovery) = start_router_with(1, 1000, 180, r#"{"sockets":20}"#);
    let request = query_request("half", "site-search", &[1], 4000);
    let mut half: Vec<Client> = (0..2).map(|_| program.connect()).collect();
    half.iter_mut().for_each(|client| client.send(&request[..request.len() - 1]));
    let (mut client, began) = (program.connect(), Instant::now());
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
    // If the router did not close the incomplete requests' connections, the query would wait for the longest
    // deadline of 5 s.
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
}

#[rstest]
fn a_client_that_does_not_read_delays_no_other_client() {
    let (program, nodes, _discovery) = start_router(1);
    let mut slow = program.connect();
    // The client reads no responses, so the router stops reading requests and the client's socket accepts no
    // more bytes.
    slow.0.get_mut().set_nonblocking(true).expect("set");
    let (requests, mut full) = ("GET /counters HTTP/1.1\r\n\r\n".repeat(1000), 0);
    while full < 20 {
        let written = slow.0.get_mut().write(requests.as_bytes()).unwrap_or_default();
        full = if written > 0 { 0 } else { full + 1 };
        thread::sleep(Duration::from_millis(5));
    }
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
    // After a timeout of 2 s, the router closes the connection of a client that reads no responses.
    let began = Instant::now();
    while program.counters()["clients_open"] > 2 {
        assert!(began.elapsed() < Duration::from_millis(4500));
        thread::sleep(Duration::from_millis(50));
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_status(), "200");
    }
}

#[rstest]
fn the_time_limit_counts_from_the_last_byte_although_the_process_was_suspended() {
    let (program, nodes, _discovery) = start_router_with(1, 200, 180, "{}");
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
    // If the time limit started when the router reads the request, the response would arrive 2.5 s after the
    // client sent the request.
    let took = sent.elapsed();
    assert!(took < Duration::from_millis(2000), "{took:?}");
}

#[rstest]
fn a_draining_node_gets_no_new_attempt_and_an_added_node_does() {
    let (nodes, discovery) = (FakeNodes::new(2), FakeDiscovery::new());
    let program = Program::start(&nodes.addresses[..1], discovery.address, &settings_json(1000, 180), "{}");
    let (request, mut watch) = discovery.accept_watch();
    assert!(request.starts_with("GET /discovery/hosts?follow=1&since=41 "), "{request}");
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
fn a_router_without_known_nodes_is_ready_once_discovery_has_sent_one() {
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let program = Program::start(&[], discovery.address, &settings_json(1000, 180), "{}");
    let mut client = program.connect();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), "503");
    let (_, mut watch) = discovery.accept_watch();
    send_update(
        &mut watch,
        &endpoint_update(42, false, &[endpoint_entry("s-0", nodes.addresses[0], "SERVING")]),
    );
    program.wait_for_log("ready: serves: 1 data nodes known");
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), "200");
}

#[rstest]
fn an_invalid_message_of_discovery_ends_the_watch_and_the_last_list_stays_in_force() {
    let (program, nodes, discovery) = start_router(1);
    let (_, mut watch) = discovery.accept_watch();
    send_update(&mut watch, r#"{"index":44,"snapshot":true,"endpoints":["s-0"]}"#);
    program.wait_for_log("the watch is lost");
    let (request, watch) = discovery.accept_watch();
    assert!(request.contains("since=41 "), "{request}");
    drop(watch);
    let mut client = program.connect();
    client.send_query("q", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["q.0"]);
    assert_eq!(client.read_status(), "200");
    let (_, mut watch) = discovery.accept_watch();
    send_update(&mut watch, &endpoint_update(40, false, &[]));
    let (request, _watch) = discovery.accept_watch();
    assert!(
        request.starts_with("GET /discovery/hosts?follow=1 "),
        "{request}: the whole list is requested after a change of an older list"
    );
}

#[rstest]
fn a_silent_watch_times_out_and_is_opened_again() {
    let (program, _nodes, discovery) = start_router(1);
    let (_, _silent) = discovery.accept_watch();
    let (_, mut watch) = discovery.accept_watch();
    program.wait_for_log("silence");
    send_update(&mut watch, "");
    send_update(&mut watch, &endpoint_update(45, true, &[]));
    program.wait_for_log("whole list 45: 0 entries");
}

#[rstest]
fn a_reload_changes_the_address_of_discovery_and_an_invalid_file_changes_nothing() {
    let (program, nodes, old) = start_router(1);
    let (_, mut watch) = old.accept_watch();
    let (good, new) = (std::fs::read_to_string(&program.config).expect("readable"), FakeDiscovery::new());
    let moved = good.replace(&old.address.to_string(), &new.address.to_string());
    let seed = moved.replace("8c1f30d27a5be964", "no hex");
    for (text, error) in [("", "not JSON"), (&moved[..moved.len() / 2], "not JSON"), (&seed, "key `seed`")] {
        std::fs::write(&program.config, text).expect("written");
        program.signal("HUP");
        assert!(program.wait_for_log("the old configuration holds").contains(error));
    }
    std::fs::remove_file(&program.config).expect("removed");
    program.signal("HUP");
    assert!(program.wait_for_log("the old configuration holds").contains("`PROXY_CONFIG`"));
    send_update(&mut watch, &endpoint_update(42, false, &[]));
    program.wait_for_log("change 42: 0 entries");
    std::fs::write(&program.config, moved.replace("\"sockets\":256", "\"sockets\":300")).expect("written");
    program.signal("HUP");
    assert!(program.wait_for_log("takes effect with a restart").contains("key `limits`"));
    let (request, mut new_watch) = new.accept_watch();
    assert!(request.contains("since=42 "), "{request}");
    assert_eq!(watch.read(&mut [0; 100]).unwrap_or_default(), 0, "the old watch is closed");
    // Discovery has sent no data node on any watch, so the router still uses the data node of the
    // configuration file.
    let mut client = program.connect();
    client.send_query("a", &[0], 4000);
    assert_eq!(nodes.answer_next().0, ["a.0"]);
    assert_eq!(client.read_status(), "200");
    let drains = endpoint_entry("s-0", nodes.addresses[0], "DRAINING");
    send_update(&mut new_watch, &endpoint_update(43, false, &[drains]));
    program.wait_for_log("change 43: 1 entries");
    program.signal("HUP");
    assert!(program.wait_for_log("configuration read").contains("stays at"));
    program.signal("TERM");
    program.signal("HUP");
    drop(client);
    assert_eq!(program.wait_for_exit().0.code(), Some(0));
}

#[rstest]
fn after_sigterm_open_queries_are_answered_and_open_connections_are_still_served() {
    let (program, nodes, _discovery) = start_router_with(1, 1000, 180, "{}");
    let (mut kept, mut open) = (program.connect(), program.connect());
    open.send_query("a", &[0], 4000);
    let mut held = nodes.next_frame('S');
    program.signal("TERM");
    program.wait_for_log("SIGTERM");
    let began = Instant::now();
    let mut late = program.connect();
    late.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(late.read_status(), "503");
    // The router serves queries until shortly before its end, because other routers may be down; SIGKILL
    // follows 3.7 s after SIGTERM at the earliest.
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
    let (status, counters) = program.wait_for_exit();
    assert!(began.elapsed() < Duration::from_millis(3700), "{:?}", began.elapsed());
    assert_eq!(status.code(), Some(0));
    assert_eq!(sum_by_prefix(&counters, "queries_taken"), sum_by_prefix(&counters, "queries_merged{"));
    assert_eq!(counters["clients_open"], 0);
}

#[rstest]
fn queries_open_at_the_end_of_a_shutdown_get_an_error() {
    let (program, nodes, _discovery) = start_router_with(1, 4000, 180, "{}");
    let mut open = program.connect();
    open.send_query("a", &[0], 4900);
    nodes.next_frame('S');
    program.signal("TERM");
    assert_eq!(open.read_status(), "504");
    open.wait_for_close();
    assert_eq!(program.wait_for_exit().0.code(), Some(0));
}

#[rstest]
fn a_class_with_partial_answers_is_answered_at_its_latency_objective() {
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let partial =
        settings_json(400, 180).replace("\"BundleMax\"", "\"FloorByClass\":[0.5,0.5],\"BundleMax\"");
    let program = Program::start(&nodes.addresses, discovery.address, &partial, "{}");
    let mut client = program.connect();
    client.send_query("q", &[3, 9], 4000);
    let mut held = nodes.next_frame('S');
    send_reply(&mut held.stream, "q.9 done 1 -\nnine");
    let (_, body) = client.read_response();
    assert_eq!(body, r#"{"whole":false,"results":[{"partition":9,"value":"nine"}]}"#);
    assert_eq!(nodes.next_frame('C').text, "q.3");
}

#[rstest]
fn with_discovery_on_request_a_lost_watch_is_opened_again_when_the_policy_asks() {
    let (nodes, discovery) = (FakeNodes::new(1), FakeDiscovery::new());
    let asked = settings_json(400, 180).replace("automatic", "subscribe");
    let program = Program::start(&nodes.addresses, discovery.address, &asked, "{}");
    drop(discovery.accept_watch());
    program.wait_for_log("the watch is lost");
    // The router notifies the policy that the request for the endpoint list failed, and the policy requests
    // the list again.
    let (_, mut watch) = discovery.accept_watch();
    send_update(&mut watch, &endpoint_update(45, true, &[]));
    program.wait_for_log("whole list 45: 0 entries");
}

#[rstest]
fn connection_close_is_honoured_and_an_id_cannot_be_open_twice() {
    let (program, nodes, _discovery) = start_router(1);
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
fn a_client_that_expects_100_continue_gets_it() {
    let (program, nodes, _discovery) = start_router(1);
    let mut client = program.connect();
    let request =
        query_request("q", "site-search", &[1], 4000).replace("Host", "Expect: 100-continue\r\nHost");
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    client.send(&format!("{head}\r\n\r\n"));
    let mut response = String::new();
    client.0.read_line(&mut response).and_then(|_| client.0.read_line(&mut response)).expect("a response");
    assert_eq!(response, "HTTP/1.1 100 Continue\r\n\r\n");
    client.send(body);
    assert_eq!(nodes.answer_next().0, ["q.1"]);
    assert_eq!(client.read_status(), "200");
}

#[rstest]
fn requests_that_arrive_before_sigterm_is_handled_are_answered() {
    let (program, nodes, _discovery) = start_router_with(1, 4000, 180, "{}");
    let mut idle = program.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(idle.read_status(), "200");
    program.signal("STOP");
    idle.send_query("a", &[0], 4000);
    let mut fresh = program.connect();
    fresh.send_query("b", &[1], 4000);
    program.signal("TERM");
    program.signal("CONT");
    let mut requests = nodes.answer_next().0;
    if requests.len() < 2 {
        requests.extend(nodes.answer_next().0);
    }
    requests.sort();
    assert_eq!(requests, ["a.0", "b.1"]);
    assert_eq!((idle.read_status(), fresh.read_status()), ("200".to_string(), "200".to_string()));
}

#[rstest]
fn connections_without_a_complete_request_end_within_three_seconds() {
    let (program, nodes, _discovery) = start_router(1);
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
    // The timeouts for idle connections and incomplete requests closed the connections, and not the longest
    // query deadline of 5 s.
    assert!((2.0..4.5).contains(&took.as_secs_f64()), "{took:?}");
    send_reply(&mut held.stream, "a.0 done 1 -\nv");
    assert_eq!(open.read_status(), "200", "a connection with an open query stays open");
}

#[rstest]
fn counters_are_consistent() {
    let (program, nodes, _discovery) = start_router_with(1, 200, 3, "{}");
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
    let counters = program.counters();
    let ended = ["merged", "merged_in_part", "rejected", "aborted", "turned_away", "left", "overdue"];
    let ended: u64 = ended.iter().map(|what| sum_by_prefix(&counters, &format!("queries_{what}{{"))).sum();
    assert_eq!((sum_by_prefix(&counters, "queries_taken{"), ended, counters["queries_open"]), (4, 3, 1));
    let calls = sum_by_prefix(&counters, "leaf_calls_ended{") + counters["leaf_calls_open"];
    assert_eq!((sum_by_prefix(&counters, "leaf_calls_sent{"), calls), (3, 3));
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
#[case::missing_key(r#"{"settings":{S}}"#, "`StreamsPerConn`")]
#[case::out_of_range(r#"{"settings":{S}}"#, "`TickUs`")]
#[case::not_a_whole_number(r#"{"settings":{S}}"#, "`Cells`")]
#[case::optional_key_of_wrong_type(r#"{"settings":{S}}"#, "`BundleMax`")]
fn an_invalid_configuration_ends_the_program_with_an_error_that_names_the_key(
    #[case] config: &str,
    #[case] key: &str,
) {
    let settings = match key {
        "`StreamsPerConn`" => settings_json(1000, 180).replace("StreamsPerConn", "Other"),
        "`TickUs`" => settings_json(1000, 180).replace("5000,\"OverShare", "0,\"OverShare"),
        "`Cells`" => settings_json(1000, 180).replace("\"Cells\":1", "\"Cells\":1.5"),
        "`BundleMax`" => settings_json(1000, 180).replace("\"BundleMax\":8", "\"BundleMax\":\"8\""),
        _ => settings_json(1000, 180),
    };
    let (child, path) = spawn(&config.replace("{S}", &settings));
    let output = child.wait_with_output().expect("the program ends");
    let _ = std::fs::remove_file(path);
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(key) && errors.lines().count() == 1, "{errors}");
}
