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
    let (program, nodes, _agent) = started(1);
    let mut client = program.connect();
    client.ask("9b1f", &[3, 9], 4000);
    let Came { text, mut stream, .. } = nodes.next('S');
    let (first, second) = text.split_at(text.len() / 2);
    for (part, id) in [(first, "9b1f.3 3 d="), (second, "9b1f.9 9 d=")] {
        let wait = part.strip_prefix(id).and_then(|rest| rest.split(' ').next()).expect("in the form");
        assert!((1000..=4000).contains(&wait.parse::<u64>().expect("a number")), "{part}");
        assert!(part.ends_with(" 8\nc41e77d0"), "{part}");
    }
    reply(&mut stream, "9b1f.9 done 184 inflight=7,util=0.61\nnine");
    reply(&mut stream, "9b1f.9 done 184 -\nsent twice");
    reply(&mut stream, "9b1f.3 done 184 -\nthree");
    let (head, body) = client.answer();
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    let merged =
        r#"{"whole":true,"results":[{"partition":3,"value":"three"},{"partition":9,"value":"nine"}]}"#;
    assert_eq!(body, merged);
}

#[rstest]
fn a_request_may_come_byte_by_byte_and_the_next_ones_right_behind() {
    let (program, nodes, _agent) = started(1);
    let mut client = program.connect();
    client.0.get_mut().set_nodelay(true).expect("set");
    for byte in post("a", "region-report", &[0], 4000).as_bytes() {
        client.0.get_mut().write_all(&[*byte]).expect("written");
    }
    client.send(&(post("b", "site-search", &[1], 4000) + "GET /up HTTP/1.1\r\n\r\n"));
    for id in ["a.0", "b.1"] {
        assert_eq!(nodes.serve().0, [id]);
        assert!(client.answer().1.contains(&format!("value of {id}")));
    }
    assert_eq!(client.answer().1, "up\n");
}

#[rstest]
#[case::unknown_path("GET /elsewhere HTTP/1.1\r\n\r\n", "404")]
#[case::wrong_method("GET /api HTTP/1.1\r\n\r\n", "405")]
#[case::unknown_vertical(&post("q", "checkout", &[1], 400), "400")]
#[case::repeated_shard(&post("q", "site-search", &[1, 1], 400), "400")]
#[case::unplaced_shard(&post("q", "site-search", &[40], 400), "400")]
#[case::no_parts(&post("q", "site-search", &[], 400), "400")]
#[case::no_time(&post("q", "site-search", &[1], 400).replace("X-Time-Left-Ms", "X"), "400")]
#[case::time_in_words(&post("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: soon"), "400")]
#[case::time_with_sign(&post("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: +400"), "400")]
#[case::time_below_0(&post("q", "site-search", &[1], 400).replace("Ms: 400", "Ms: -400"), "400")]
#[case::no_id(&post("", "site-search", &[1], 400), "400")]
#[case::shares_short_of_1(&post("q", "site-search", &[1, 2], 400).replace("0.5", "0.4"), "400")]
#[case::shares_past_1(&post("q", "site-search", &[1, 2], 400).replace("0.5", "0.6"), "400")]
#[case::share_past_1(&post("q", "site-search", &[1], 400).replace(":1,\"est", ":3,\"est"), "400")]
#[case::id_in_words(&post("a b", "site-search", &[1], 400), "400")]
#[case::not_json(&post("q", "site-search", &[1], 400).replace("\"query\"", "'query'"), "400")]
fn a_request_out_of_form_is_told_so_and_the_connection_kept(#[case] request: &str, #[case] status: &str) {
    let (program, nodes, _agent) = started(1);
    let mut client = program.connect();
    client.send(request);
    assert_eq!(client.status(), status);
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.status(), "200");
    assert!(nodes.frames.try_recv().is_err(), "no call for what no client asked for");
}

#[rstest]
#[case::too_large("POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413")]
#[case::no_framing("POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400")]
#[case::no_request("hello\r\n\r\n", "505")]
#[case::length_and_chunks(
    &(post("a", "site-search", &[1], 400).replace("Host", "Transfer-Encoding: chunked\r\nHost")
        + "0\r\n\r\n" + &post("b", "site-search", &[1], 400)),
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
    let (program, nodes, _agent) = started(1);
    let mut client = program.connect();
    client.send(request);
    assert_eq!(client.status(), status);
    client.ended();
    assert!(nodes.frames.try_recv().is_err(), "nothing behind it is read as a request");
}

#[rstest]
fn a_part_whose_connection_breaks_is_asked_for_elsewhere() {
    let (program, nodes, _agent) = started(2);
    let mut client = program.connect();
    client.ask("q", &[0], 4000);
    let first = nodes.next('S');
    first.stream.shutdown(Shutdown::Both).expect("shut");
    assert_eq!(nodes.serve(), (vec!["q.0".to_string()], 1 - first.node));
    assert_eq!(client.status(), "200");
    assert_eq!(program.counters()["leaf_calls_ended{reset}"], 1);
}

/// Two queries take turns: one of them meets the bad node first.
fn two_queries_past_a_bad_node(program: &Program, nodes: &Nodes) {
    let mut client = program.connect();
    for id in ["a", "b"] {
        client.ask(id, &[0], 4000);
        assert_eq!(nodes.serve().0, [format!("{id}.0")]);
        assert_eq!(client.status(), "200");
    }
    assert_eq!(program.counters()["leaf_calls_ended{unreachable}"], 1);
}

#[rstest]
fn a_node_that_refuses_connections_never_ran_the_part() {
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let refuses = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let both = [nodes.addresses[0], refuses];
    let program = Program::start(&both, agent.address, &settings(4000, 180), "{}");
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
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let both = [nodes.addresses[0], hangs];
    let program = Program::start(&both, agent.address, &settings(4000, 180), "{}");
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
    let (program, nodes, _agent) = limited(2, 4000, 180, "{}");
    let (mut one, mut other) = (program.connect(), program.connect());
    one.ask("a", &[0], 4000);
    let mut bad = nodes.next('S');
    other.ask("b", &[0], 4000);
    let mut good = nodes.next('S');
    assert_eq!(good.node, 1 - bad.node);
    bad.stream.write_all(bytes).expect("written");
    program.says("its connection is closed");
    assert_eq!(nodes.serve(), (vec!["a.0".to_string()], good.node));
    reply(&mut good.stream, "b.0 done 1 -\nv");
    assert_eq!((one.status(), other.status()), ("200".to_string(), "200".to_string()));
}

#[rstest]
fn a_client_that_leaves_has_its_parts_given_up() {
    let (program, nodes, _agent) = started(1);
    let mut client = program.connect();
    client.ask("q", &[0], 4000);
    nodes.next('S');
    drop(client);
    assert_eq!(nodes.next('C').text, "q.0");
    let figures = program.counters();
    assert_eq!((figures["queries_left{site-search}"], figures["leaf_calls_open"]), (1, 0));
}

#[rstest]
fn the_loser_of_a_copy_is_given_up_and_its_late_reply_passed_over() {
    let (program, nodes, _agent) = limited(2, 400, 180, "{}");
    let mut client = program.connect();
    client.ask("q", &[0], 4000);
    let mut late = nodes.next('S');
    assert_eq!(
        nodes.serve(),
        (vec!["q.0".to_string()], 1 - late.node),
        "a copy after a quarter of the SLO time"
    );
    let given_up = nodes.next('C');
    assert_eq!((&*given_up.text, given_up.node), ("q.0", late.node));
    assert!(client.answer().1.contains("value of q.0"));
    reply(&mut late.stream, "q.0 done 1 -\nlate");
    client.ask("r", &[0], 4000);
    nodes.serve();
    assert!(client.answer().1.contains("value of r.0"));
    let figures = program.counters();
    assert_eq!((figures["leaf_calls_sent{first}"], figures["leaf_calls_sent{copy}"]), (2, 1));
}

#[rstest]
fn a_query_beyond_the_room_is_turned_away_at_once() {
    let (program, nodes, _agent) = limited(1, 1000, 3, "{}");
    let (mut one, mut other) = (program.connect(), program.connect());
    one.ask("a", &[0, 1], 4000);
    let mut held = nodes.next('S');
    other.ask("b", &[0], 4000);
    assert_eq!(other.status(), "503");
    parts(&held.text).iter().for_each(|id| reply(&mut held.stream, &format!("{id} done 1 -\nv")));
    assert_eq!(one.status(), "200");
    other.ask("c", &[0], 4000);
    assert_eq!(nodes.serve().0, ["c.0"]);
    assert_eq!(other.status(), "200");
}

#[rstest]
fn idle_connections_make_room_where_descriptors_are_few() {
    let (program, nodes, _agent) = limited(1, 1000, 180, r#"{"sockets":32}"#);
    let mut idle: Vec<Client> = (0..50).map(|_| program.connect()).collect();
    let mut client = program.connect();
    client.ask("q", &[0], 4000);
    assert_eq!(nodes.serve().0, ["q.0"]);
    assert_eq!(client.status(), "200");
    idle.remove(0).ended();
}

#[rstest]
fn a_dial_waits_for_a_descriptor_instead_of_ending_its_parts() {
    // Two connections to four data nodes: most calls need one that another has to give back first.
    let (program, nodes, _agent) = limited(4, 4000, 180, r#"{"sockets":20}"#);
    let mut client = program.connect();
    for id in 0..8 {
        client.ask(&format!("q{id}"), &[0], 4000);
        assert_eq!(nodes.serve().0, [format!("q{id}.0")]);
        assert_eq!(client.status(), "200");
    }
    let figures = program.counters();
    assert!(figures["dials_short_of_descriptors"] > 0);
    assert_eq!((sum(&figures, "leaf_calls_ended{"), figures["leaf_calls_ended{success}"]), (8, 8));
}

#[rstest]
fn half_sent_requests_do_not_hold_all_places() {
    let (program, nodes, _agent) = limited(1, 1000, 180, r#"{"sockets":20}"#);
    let request = post("half", "site-search", &[1], 4000);
    let mut half: Vec<Client> = (0..2).map(|_| program.connect()).collect();
    half.iter_mut().for_each(|client| client.send(&request[..request.len() - 1]));
    let (mut client, began) = (program.connect(), Instant::now());
    client.ask("q", &[0], 4000);
    assert_eq!(nodes.serve().0, ["q.0"]);
    assert_eq!(client.status(), "200");
    // Else it would have waited for the longest deadline of 5 s.
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
}

#[rstest]
fn a_slow_reader_holds_up_nobody() {
    let (program, nodes, _agent) = started(1);
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
    client.ask("q", &[0], 4000);
    assert_eq!(nodes.serve().0, ["q.0"]);
    assert_eq!(client.status(), "200");
    // Nor does it keep its place: an answer that gets no further ends its connection.
    let began = Instant::now();
    while program.counters()["clients_open"] > 2 {
        assert!(began.elapsed() < Duration::from_millis(4500));
        thread::sleep(Duration::from_millis(50));
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.status(), "200");
    }
}

#[rstest]
fn time_counts_from_the_requests_last_byte_though_the_router_stood_still() {
    let (program, nodes, _agent) = limited(1, 200, 180, "{}");
    let mut client = program.connect();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.status(), "200");
    program.signal("STOP");
    let sent = Instant::now();
    client.ask("q", &[0], 1500);
    thread::sleep(Duration::from_millis(1000));
    program.signal("CONT");
    nodes.next('S');
    assert_eq!(client.status(), "503");
    // Counted from when it was read, the time would be up after 2.5 s.
    let took = sent.elapsed();
    assert!(took < Duration::from_millis(2000), "{took:?}");
}

#[rstest]
fn a_draining_node_gets_nothing_new_and_a_new_one_is_asked() {
    let (nodes, agent) = (Nodes::new(2), Agent::new());
    let program = Program::start(&nodes.addresses[..1], agent.address, &settings(1000, 180), "{}");
    let (asked, mut watch) = agent.watch();
    assert!(asked.starts_with("GET /discovery/hosts?follow=1&since=41 "), "{asked}");
    let change = [entry("s-0", nodes.addresses[0], "DRAINING"), entry("s-9", nodes.addresses[1], "SERVING")];
    tell(&mut watch, &object(43, false, &change));
    program.says("change 43: 2 entries");
    let mut client = program.connect();
    for id in ["a", "b", "c"] {
        client.ask(id, &[0], 4000);
        assert_eq!(nodes.serve(), (vec![format!("{id}.0")], 1));
        assert_eq!(client.status(), "200");
    }
}

#[rstest]
fn a_router_that_knows_no_node_is_ready_once_discovery_has_told_one() {
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let program = Program::start(&[], agent.address, &settings(1000, 180), "{}");
    let mut client = program.connect();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.status(), "503");
    let (_, mut watch) = agent.watch();
    tell(&mut watch, &object(42, false, &[entry("s-0", nodes.addresses[0], "SERVING")]));
    program.says("ready: serves: 1 data nodes known");
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.status(), "200");
}

#[rstest]
fn what_discovery_says_in_no_form_leads_to_a_new_watch_and_the_old_list_holds() {
    let (program, nodes, agent) = started(1);
    let (_, mut watch) = agent.watch();
    tell(&mut watch, r#"{"index":44,"snapshot":true,"endpoints":["s-0"]}"#);
    program.says("the watch is lost");
    let (asked, watch) = agent.watch();
    assert!(asked.contains("since=41 "), "{asked}");
    drop(watch);
    let mut client = program.connect();
    client.ask("q", &[0], 4000);
    assert_eq!(nodes.serve().0, ["q.0"]);
    assert_eq!(client.status(), "200");
    let (_, mut watch) = agent.watch();
    tell(&mut watch, &object(40, false, &[]));
    let (asked, _watch) = agent.watch();
    assert!(
        asked.starts_with("GET /discovery/hosts?follow=1 "),
        "{asked}: the whole list after an older one"
    );
}

#[rstest]
fn a_silent_watch_is_asked_for_anew() {
    let (program, _nodes, agent) = started(1);
    let (_, _silent) = agent.watch();
    let (_, mut watch) = agent.watch();
    program.says("silence");
    tell(&mut watch, "");
    tell(&mut watch, &object(45, true, &[]));
    program.says("whole list 45: 0 entries");
}

#[rstest]
fn a_new_configuration_moves_discovery_and_a_faulty_one_changes_nothing() {
    let (program, nodes, old) = started(1);
    let (_, mut watch) = old.watch();
    let (good, new) = (std::fs::read_to_string(&program.config).expect("readable"), Agent::new());
    let moved = good.replace(&old.address.to_string(), &new.address.to_string());
    let seed = moved.replace("8c1f30d27a5be964", "no hex");
    for (text, says) in [("", "not JSON"), (&moved[..moved.len() / 2], "not JSON"), (&seed, "key `seed`")] {
        std::fs::write(&program.config, text).expect("written");
        program.signal("HUP");
        assert!(program.says("the old configuration holds").contains(says));
    }
    std::fs::remove_file(&program.config).expect("removed");
    program.signal("HUP");
    assert!(program.says("the old configuration holds").contains("`PROXY_CONFIG`"));
    tell(&mut watch, &object(42, false, &[]));
    program.says("change 42: 0 entries");
    std::fs::write(&program.config, moved.replace("\"sockets\":256", "\"sockets\":300")).expect("written");
    program.signal("HUP");
    assert!(program.says("takes effect with a restart").contains("key `limits`"));
    let (asked, mut watch_there) = new.watch();
    assert!(asked.contains("since=42 "), "{asked}");
    assert_eq!(watch.read(&mut [0; 100]).unwrap_or_default(), 0, "the old watch has ended");
    // Neither has told anything since: the old list holds.
    let mut client = program.connect();
    client.ask("a", &[0], 4000);
    assert_eq!(nodes.serve().0, ["a.0"]);
    assert_eq!(client.status(), "200");
    let drains = entry("s-0", nodes.addresses[0], "DRAINING");
    tell(&mut watch_there, &object(43, false, &[drains]));
    program.says("change 43: 1 entries");
    program.signal("HUP");
    assert!(program.says("configuration read").contains("stays at"));
    program.signal("TERM");
    program.signal("HUP");
    drop(client);
    assert_eq!(program.ends().0.code(), Some(0));
}

#[rstest]
fn sigterm_loses_nothing_that_was_taken_and_kept_connections_are_served_on() {
    let (program, nodes, _agent) = limited(1, 1000, 180, "{}");
    let (mut kept, mut open) = (program.connect(), program.connect());
    open.ask("a", &[0], 4000);
    let mut held = nodes.next('S');
    program.signal("TERM");
    program.says("SIGTERM");
    let began = Instant::now();
    let mut late = program.connect();
    late.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(late.status(), "503");
    // SIGKILL comes after 3.7 s at the earliest, and other routers may be away as well.
    while began.elapsed() < Duration::from_millis(2000) {
        kept.ask("b", &[1], 4000);
        assert_eq!(nodes.serve().0, ["b.1"]);
        assert!(!kept.answer().0.contains("Connection: close"));
    }
    kept.ended();
    reply(&mut held.stream, "a.0 done 1 -\nv");
    let (head, _) = open.answer();
    assert!(head.starts_with("HTTP/1.1 200") && head.contains("Connection: close"), "{head}");
    open.ended();
    let (status, figures) = program.ends();
    assert!(began.elapsed() < Duration::from_millis(3700), "{:?}", began.elapsed());
    assert_eq!(status.code(), Some(0));
    assert_eq!(sum(&figures, "queries_taken"), sum(&figures, "queries_merged{"));
    assert_eq!(figures["clients_open"], 0);
}

#[rstest]
fn what_is_open_when_a_stop_ends_is_answered_all_the_same() {
    let (program, nodes, _agent) = limited(1, 4000, 180, "{}");
    let mut open = program.connect();
    open.ask("a", &[0], 4900);
    nodes.next('S');
    program.signal("TERM");
    assert_eq!(open.status(), "504");
    open.ended();
    assert_eq!(program.ends().0.code(), Some(0));
}

#[rstest]
fn a_partial_vertical_is_answered_at_its_slo_time_with_what_came() {
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let partial = settings(400, 180).replace("\"BundleMax\"", "\"FloorByClass\":[0.5,0.5],\"BundleMax\"");
    let program = Program::start(&nodes.addresses, agent.address, &partial, "{}");
    let mut client = program.connect();
    client.ask("q", &[3, 9], 4000);
    let mut held = nodes.next('S');
    reply(&mut held.stream, "q.9 done 1 -\nnine");
    let (_, body) = client.answer();
    assert_eq!(body, r#"{"whole":false,"results":[{"partition":9,"value":"nine"}]}"#);
    assert_eq!(nodes.next('C').text, "q.3");
}

#[rstest]
fn where_the_roster_must_be_asked_for_the_watch_follows_the_modules_word() {
    let (nodes, agent) = (Nodes::new(1), Agent::new());
    let asked = settings(400, 180).replace("automatic", "subscribe");
    let program = Program::start(&nodes.addresses, agent.address, &asked, "{}");
    drop(agent.watch());
    program.says("the watch is lost");
    // Told that following has failed, the module asks again.
    let (_, mut watch) = agent.watch();
    tell(&mut watch, &object(45, true, &[]));
    program.says("whole list 45: 0 entries");
}

#[rstest]
fn a_client_may_ask_for_the_end_of_its_connection_and_no_id_is_open_twice() {
    let (program, nodes, _agent) = started(1);
    let (mut client, mut other) = (program.connect(), program.connect());
    client.send(&post("q", "site-search", &[1], 4000).replace("Host", "Connection: close\r\nHost"));
    let mut held = nodes.next('S');
    other.ask("q", &[1], 4000);
    assert_eq!(other.status(), "400");
    reply(&mut held.stream, "q.1 done 1 -\nv");
    assert_eq!(client.status(), "200");
    client.ended();
}

#[rstest]
fn a_client_that_waits_for_a_word_before_its_body_gets_it() {
    let (program, nodes, _agent) = started(1);
    let mut client = program.connect();
    let request = post("q", "site-search", &[1], 4000).replace("Host", "Expect: 100-continue\r\nHost");
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    client.send(&format!("{head}\r\n\r\n"));
    let mut word = String::new();
    client.0.read_line(&mut word).and_then(|_| client.0.read_line(&mut word)).expect("a word");
    assert_eq!(word, "HTTP/1.1 100 Continue\r\n\r\n");
    client.send(body);
    assert_eq!(nodes.serve().0, ["q.1"]);
    assert_eq!(client.status(), "200");
}

#[rstest]
fn requests_that_came_before_sigterm_was_seen_are_answered() {
    let (program, nodes, _agent) = limited(1, 4000, 180, "{}");
    let mut idle = program.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(idle.status(), "200");
    program.signal("STOP");
    idle.ask("a", &[0], 4000);
    let mut fresh = program.connect();
    fresh.ask("b", &[1], 4000);
    program.signal("TERM");
    program.signal("CONT");
    let mut asked = nodes.serve().0;
    if asked.len() < 2 {
        asked.extend(nodes.serve().0);
    }
    asked.sort();
    assert_eq!(asked, ["a.0", "b.1"]);
    assert_eq!((idle.status(), fresh.status()), ("200".to_string(), "200".to_string()));
}

#[rstest]
fn silent_and_half_sent_connections_end_within_three_seconds() {
    let (program, nodes, _agent) = started(1);
    let (began, request) = (Instant::now(), post("q", "site-search", &[1], 4000));
    let (silent, mut half, mut kept, mut open) =
        (program.connect(), program.connect(), program.connect(), program.connect());
    half.send(&request[..request.len() - 1]);
    kept.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(kept.status(), "200");
    open.ask("a", &[0], 4000);
    let mut held = nodes.next('S');
    silent.ended();
    kept.ended();
    assert_eq!(half.status(), "408");
    half.ended();
    let took = began.elapsed();
    // The longest deadline is 5 s.
    assert!((2.0..4.5).contains(&took.as_secs_f64()), "{took:?}");
    reply(&mut held.stream, "a.0 done 1 -\nv");
    assert_eq!(open.status(), "200", "a query is waited for");
}

#[rstest]
fn counters_add_up() {
    let (program, nodes, _agent) = limited(1, 200, 3, "{}");
    let (mut client, mut other) = (program.connect(), program.connect());
    client.ask("a", &[0], 4000);
    nodes.serve();
    client.ask("b", &[0], 1000);
    nodes.next('S');
    assert_eq!([client.status(), client.status()], ["200", "503"]);
    assert_eq!(nodes.next('C').text, "b.0");
    client.ask("c", &[0], 4000);
    nodes.next('S');
    other.ask("d", &[0, 1], 4000);
    assert_eq!(other.status(), "503");
    let figures = program.counters();
    let ended = ["merged", "merged_in_part", "rejected", "aborted", "turned_away", "left", "overdue"];
    let ended: u64 = ended.iter().map(|what| sum(&figures, &format!("queries_{what}{{"))).sum();
    assert_eq!((sum(&figures, "queries_taken{"), ended, figures["queries_open"]), (4, 3, 1));
    let calls = sum(&figures, "leaf_calls_ended{") + figures["leaf_calls_open"];
    assert_eq!((sum(&figures, "leaf_calls_sent{"), calls), (3, 3));
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
        "`StreamsPerConn`" => settings(1000, 180).replace("StreamsPerConn", "Other"),
        "`TickUs`" => settings(1000, 180).replace("5000,\"OverShare", "0,\"OverShare"),
        "`Cells`" => settings(1000, 180).replace("\"Cells\":1", "\"Cells\":1.5"),
        "`BundleMax`" => settings(1000, 180).replace("\"BundleMax\":8", "\"BundleMax\":\"8\""),
        _ => settings(1000, 180),
    };
    let (child, path) = spawn(&config.replace("{S}", &settings));
    let output = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(path);
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(key) && errors.lines().count() == 1, "{errors}");
}
