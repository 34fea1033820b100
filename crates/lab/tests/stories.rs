//! Stories of the laboratory itself: each fault does what it says, and a generator tells the truth about itself.
use alderway_lab::fleet::Fleet;
use alderway_lab::load::{self, Load, Pace};
use alderway_lab::model::{Fault, Make, Node, Verdict};
use alderway_lab::{Clock, relay};
use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

fn make() -> Make {
    Make { cores: 1, service: 0.1, exponential: false, queue: 2, ..Make::default() }
}

#[rstest]
fn calls_wait_for_a_core_and_are_turned_away_beyond_the_queue() {
    let mut node = Node::new(make(), 1, 0.0);
    let verdicts: Vec<Verdict> = (0..4).map(|_| node.call(10.0).1).collect();
    assert_eq!(verdicts, [Verdict::Taken, Verdict::Taken, Verdict::Taken, Verdict::Full]);
    assert!(node.due(10.05).is_empty());
    assert_eq!((node.due(10.11), node.due(10.15)), (vec![1], vec![]));
    assert_eq!(node.due(10.22), [2]);
}

#[rstest]
#[case::slow(Fault::Slow(5.0), Verdict::Taken, &[], &[1])]
#[case::paused(Fault::Paused, Verdict::Taken, &[], &[])]
#[case::silent(Fault::Silent, Verdict::Never, &[], &[])]
#[case::resetting(Fault::Resetting, Verdict::Reset, &[], &[])]
#[case::draining(Fault::Draining, Verdict::Full, &[], &[])]
fn a_fault_does_what_it_says(
    #[case] fault: Fault,
    #[case] verdict: Verdict,
    #[case] soon: &[u64],
    #[case] later: &[u64],
) {
    let mut node = Node::new(make(), 1, 0.0);
    node.set(fault, 10.0);
    assert_eq!(node.call(10.0).1, verdict);
    assert_eq!((node.due(10.2).as_slice(), node.due(10.6).as_slice()), (soon, later));
    node.set(Fault::None, 11.0);
    assert_eq!(node.call(11.0).1, Verdict::Taken);
}

#[rstest]
fn a_cold_node_is_slow_at_first_and_a_call_given_up_leaves_the_queue() {
    let cold = Make { cold: 3.0, warm_up: 10.0, ..make() };
    let mut node = Node::new(cold, 1, 10.0);
    node.call(10.0);
    assert_eq!((node.due(10.29), node.due(10.31)), (vec![], vec![1]));
    node.call(30.0);
    assert_eq!(node.due(30.11), [2]);
    let mut node = Node::new(make(), 1, 0.0);
    assert_eq!((node.call(10.0).1, node.call(10.0).1), (Verdict::Taken, Verdict::Taken));
    node.give_up(2);
    node.give_up(1);
    assert_eq!((node.due(10.5), node.load()), (vec![], 0));
}

fn load(pace: Pace, connections: usize) -> Load {
    Load {
        pace,
        span: 2.0,
        threads: 1,
        connections,
        parts: 2,
        shards: 16,
        keys: None,
        vertical: "site-search".into(),
        patience: 3000,
        seed: 3,
    }
}

/// Data nodes that all stand still for half a second in the midst of a load through the bare relay.
fn stalled(pace: Pace, connections: usize) -> load::Outcome {
    let (clock, make) = (Clock::default(), Make { service: 0.001, ..Make::default() });
    let fleet = Fleet::start(2, 1, &make, 1, clock, false).expect("data nodes");
    let addresses: Vec<_> = fleet.nodes.iter().map(|n| n.address).collect();
    let relay = relay::start(1, &addresses).expect("a relay");
    thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(relay.address, &load(pace, connections), clock));
        thread::sleep(Duration::from_millis(700));
        fleet.nodes.iter().for_each(|n| n.set(Fault::Paused));
        thread::sleep(Duration::from_millis(500));
        fleet.nodes.iter().for_each(|n| n.set(Fault::None));
        sent.join().expect("it does not panic")
    })
}

#[rstest]
fn a_stall_shows_in_a_schedule_and_hides_in_a_loop() {
    let (open, closed) = (stalled(Pace::Open(200.0), 400), stalled(Pace::Closed, 2));
    assert!(open.sent > 100 && closed.sent > 100, "{} {}", open.sent, closed.sent);
    assert_eq!((open.wrong + open.lost + open.late, closed.wrong + closed.lost + closed.late), (0, 0));
    // A quarter of the schedule fell into the stall; of the loop, one query on each connection.
    assert!(open.quantile(0.9) > 100.0, "p90 {} ms", open.quantile(0.9));
    assert!(closed.quantile(0.9) < 100.0, "p90 {} ms", closed.quantile(0.9));
}

#[rstest]
fn a_generator_short_of_connections_says_how_far_it_fell_behind() {
    let outcome = stalled(Pace::Open(200.0), 1);
    assert!(outcome.behind > 0.3, "{} s", outcome.behind);
    // And the wait counts: nobody's latency is less than what it was late by.
    assert!(outcome.quantile(1.0) > 300.0);
}

#[rstest]
#[case::a_value_of_nobody(r#"{"whole":true,"results":[{"partition":P,"value":"beef"}]}"#)]
#[case::a_part_lacks_though_whole(r#"{"whole":true,"results":[]}"#)]
#[case::no_answer_at_all("{}")]
fn a_wrong_answer_is_counted(#[case] body: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let body = body.to_string();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let (mut reader, body) = (BufReader::new(stream), body.clone());
            thread::spawn(move || {
                let (mut length, mut line) = (0, String::new());
                while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                    if let Some(l) = line.strip_prefix("Content-Length: ") {
                        length = l.trim().parse().unwrap_or(0);
                    }
                    if line == "\r\n" {
                        let mut asked = vec![0; length];
                        let _ = reader.read_exact(&mut asked);
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        let _ = write!(reader.get_mut(), "{head}{body}");
                    }
                    line.clear();
                }
            });
        }
    });
    let asked = Load { span: 0.2, ..load(Pace::Closed, 1) };
    let outcome = load::send(to, &asked, Clock::default());
    assert!(outcome.sent > 0 && outcome.wrong == outcome.merged(), "{} of {}", outcome.wrong, outcome.sent);
}

#[rstest]
fn the_same_seed_gives_the_same_node() {
    let ends = || {
        let mut node = Node::new(Make { exponential: true, ..make() }, 9, 0.0);
        let mut ends = vec![];
        for _ in 0..20 {
            node.call(1.0);
            let at = node.next().expect("a job runs");
            ends.push(at);
            node.due(at);
        }
        ends
    };
    assert_eq!(ends(), ends());
}
