//! Each fault of the relay against what it is said to be.
use alderway_lab::wires::{Act, Fault, Schedule, Wires};
use rstest::rstest;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const SOON: Duration = Duration::from_millis(150);
const PATIENCE: Duration = Duration::from_secs(10);

/// A connection that `a` dials to `b` through the relay, both ends of it.
fn line() -> (Wires, TcpStream, TcpStream) {
    let names = ["a".to_string(), "b".to_string()];
    let wires = Wires::between(&names).expect("ports");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    wires.lead_to("b", listener.local_addr().expect("bound"));
    let near = TcpStream::connect(wires.address("a", "b")).expect("dialled");
    let (far, _) = listener.accept().expect("met");
    (wires, near, far)
}

fn says(from: &mut TcpStream, word: &[u8; 4]) {
    from.write_all(word).expect("written");
}

fn hears(to: &mut TcpStream, within: Duration) -> Result<[u8; 4], ErrorKind> {
    to.set_read_timeout(Some(within)).expect("set");
    let mut word = [0; 4];
    to.read_exact(&mut word).map(|()| word).map_err(|why| why.kind())
}

#[rstest]
fn a_cut_one_way_holds_that_way_alone_and_loses_nothing() {
    let (wires, mut near, mut far) = line();
    wires.set("a", "b", Fault::Held);
    says(&mut near, b"one.");
    says(&mut far, b"back");
    assert_eq!(hears(&mut near, PATIENCE), Ok(*b"back"));
    assert!(hears(&mut far, SOON).is_err());
    says(&mut near, b"two.");
    wires.set("a", "b", Fault::None);
    assert_eq!(hears(&mut far, PATIENCE), Ok(*b"one."));
    assert_eq!(hears(&mut far, PATIENCE), Ok(*b"two."));
}

#[rstest]
fn a_delay_is_added_to_each_word_and_not_to_their_sum() {
    let (wires, mut near, mut far) = line();
    wires.set("a", "b", Fault::Delayed(0.3));
    let began = Instant::now();
    for _ in 0..5 {
        says(&mut near, b"word");
        std::thread::sleep(Duration::from_millis(40));
    }
    for _ in 0..5 {
        assert_eq!(hears(&mut far, PATIENCE), Ok(*b"word"));
    }
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(300), "{took:?}");
    assert!(took < Duration::from_millis(1400), "not five times as long: {took:?}");
}

#[rstest]
fn a_reset_ends_what_is_there_and_the_next_dial_is_met() {
    let names = ["a".to_string(), "b".to_string()];
    let wires = Wires::between(&names).expect("ports");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    wires.lead_to("b", listener.local_addr().expect("bound"));
    let mut near = TcpStream::connect(wires.address("a", "b")).expect("dialled");
    let (mut far, _) = listener.accept().expect("met");
    says(&mut near, b"word");
    assert_eq!(hears(&mut far, PATIENCE), Ok(*b"word"));
    wires.reset("b", "a");
    assert!(hears(&mut near, PATIENCE).is_err());
    let mut near = TcpStream::connect(wires.address("a", "b")).expect("dialled again");
    let (mut far, _) = listener.accept().expect("met again");
    says(&mut near, b"more");
    assert_eq!(hears(&mut far, PATIENCE), Ok(*b"more"));
}

#[rstest]
fn a_parted_group_hears_nothing_of_the_rest_until_it_is_healed() {
    let (wires, mut near, mut far) = line();
    wires.part(&["a"]);
    says(&mut near, b"one.");
    says(&mut far, b"two.");
    assert!(hears(&mut near, SOON).is_err() && hears(&mut far, SOON).is_err());
    wires.heal();
    assert_eq!((hears(&mut far, PATIENCE), hears(&mut near, PATIENCE)), (Ok(*b"one."), Ok(*b"two.")));
}

#[rstest]
fn a_schedule_reads_as_it_is_written_and_the_same_seed_draws_the_same() {
    let names: Vec<String> = (0..5).map(|n| format!("r{n}")).collect();
    let drawn = Schedule::drawn(7, &names, 10.0);
    assert_eq!(drawn, Schedule::drawn(7, &names, 10.0));
    assert_ne!(drawn, Schedule::drawn(8, &names, 10.0));
    assert!(drawn.0.len() > 3);
    let text = drawn.to_string();
    assert_eq!(Schedule::read(&text).expect("as written").to_string(), text);
    // Whatever is done is undone before the end.
    let count = |wanted: fn(&Act) -> bool| drawn.0.iter().filter(|(_, act)| wanted(act)).count();
    assert_eq!(count(|a| matches!(a, Act::Stop(_))), count(|a| matches!(a, Act::Go(_))));
    assert_eq!(count(|a| matches!(a, Act::Kill(_))), count(|a| matches!(a, Act::Start(_))));
}

#[rstest]
#[case::no_time("hold a b", "line 1: `hold` is no time in milliseconds")]
#[case::no_fault("# a\n5 melt a", "line 2: `melt a` is no fault that is known")]
#[case::nothing("7", "line 1: a time and a fault are wanted")]
#[case::no_span("5 delay a b soon", "line 1: `soon` is no time in milliseconds")]
fn a_faulty_schedule_names_its_line(#[case] text: &str, #[case] why: &str) {
    assert_eq!(Schedule::read(text), Err(why.to_string()));
}
