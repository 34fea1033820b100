//! Tests of planners that are lost, hang and resume, of leases that end, and of corrupted bytes on a
//! connection. A term is the number of a query's assignment to a planner, or, for leases, the number of a
//! grantor's period in charge.
use alderway_tier::leases::{LeaseConfig, LeaseGrantor, LeaseHolder};
use alderway_tier::messages::{Message, PriorAttempt, WireOutcome};
use alderway_tier::planner_membership::{HeartbeatConfig, PlannerChange, PlannerMembership};
use alderway_tier::query_assignments::{Assignment, Decider, QueryAssignments};
use alderway_tier::slow_start;
use alderway_transport::{
    FrameError, FrameReader, Hello, Received, WireMessage, encode_hello, encode_message,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn planner(name: &str) -> Decider {
    Decider::Planner(name.into())
}

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|name| name.to_string()).collect()
}

#[rstest]
fn queries_of_a_lost_planner_are_reassigned_and_its_decisions_are_ignored() {
    let (mut assignments, all) = (QueryAssignments::new("f-1"), names(&["p-1", "p-2"]));
    let first = assignments.assign("q", all.iter()).expect("a new query");
    assert_eq!(assignments.query_of(&first.decider, first.term), Some("q"));
    assert!(assignments.assign("q", all.iter()).is_none(), "the id is open");
    let Decider::Planner(lost) = first.decider.clone() else { panic!("no planner was chosen") };
    let reassigned = assignments.reassign_from(&lost, all.iter());
    assert!(
        reassigned.len() == 1 && reassigned[0].decider != first.decider && reassigned[0].term > first.term
    );
    // Only a decision of the new planner with the new term is accepted, even if the lost planner was only
    // paused and resumes, or the new planner sends a decision with the earlier term.
    assert_eq!(assignments.query_of(&first.decider, first.term), None);
    assert_eq!(assignments.query_of(&reassigned[0].decider, first.term), None);
    assert_eq!(assignments.query_of(&first.decider, reassigned[0].term), None);
    assert_eq!(assignments.query_of(&reassigned[0].decider, reassigned[0].term), Some("q"));
    assert_eq!(assignments.close("q"), Some(reassigned[0].clone()));
    assert_eq!(assignments.query_of(&reassigned[0].decider, reassigned[0].term), None);
    assert_eq!((assignments.open_count(), assignments.local_count()), (0, 0));
}

#[rstest]
fn without_planners_the_local_policy_decides_and_keeps_its_queries() {
    let (mut assignments, all) = (QueryAssignments::new("f-1"), names(&["p-1"]));
    assignments.assign("q", all.iter()).expect("a new query");
    assert_eq!(
        assignments.reassign_from("p-1", all.iter()),
        [Assignment { query: "q".into(), decider: Decider::Local, term: 2 }]
    );
    assert_eq!(assignments.assign("r", [].iter()).expect("a new query").decider, Decider::Local);
    // A planner that is available again gets new queries; the local policy keeps the queries that it took
    // over.
    assert_eq!(assignments.assign("s", all.iter()).expect("a new query").decider, planner("p-1"));
    assert_eq!((assignments.open_count(), assignments.local_count()), (3, 2));
}

#[rstest]
fn forwarders_spread_over_planners_and_only_those_of_a_lost_planner_move() {
    let all = names(&["p-1", "p-2", "p-3"]);
    let chosen = |n: usize, available: &[String]| {
        QueryAssignments::new(&format!("f-{n}")).preferred_decider(available.iter())
    };
    let count = |name: &str| (0..300).filter(|n| chosen(*n, &all) == planner(name)).count();
    assert!(
        all.iter().all(|name| count(name) > 60),
        "{:?}",
        all.iter().map(|n| count(n)).collect::<Vec<_>>()
    );
    for n in 0..300 {
        let before = chosen(n, &all);
        let after = chosen(n, &all[..2]);
        assert!(before == after || before == planner("p-3"));
    }
}

const HEARTBEAT_CONFIG: HeartbeatConfig = HeartbeatConfig { interval_s: 0.05, timeout_s: 0.2 };

#[rstest]
fn a_planner_that_hangs_is_lost_while_its_connection_is_open() {
    let mut membership = PlannerMembership::new(HEARTBEAT_CONFIG);
    assert_eq!(membership.connected("p", 1, 0.0), Some(vec![]));
    assert!(!membership.is_available("p", 0), "no heartbeat has reported that the planner accepts queries");
    assert_eq!(
        membership.heartbeat_received("p", 1, 7, true),
        [PlannerChange::AcceptsQueries("p".into(), true)]
    );
    assert!(
        membership.is_available("p", 7) && !membership.is_available("p", 8),
        "the planner must have the required version of the endpoint list"
    );
    assert_eq!(membership.tick(0.0), (vec![("p".into(), 1)], vec![]));
    membership.heartbeat_acknowledged("p", 1, 1);
    assert_eq!(membership.tick(0.05).0, [("p".into(), 2)]);
    // From here on the planner acknowledges no heartbeat, as if the link were cut in one direction.
    membership.heartbeat_received("p", 1, 7, true);
    assert_eq!(membership.tick(0.24).1, []);
    assert_eq!(membership.tick(0.25).1, [PlannerChange::Lost("p".into())]);
    assert!(!membership.is_available("p", 0));
    assert_eq!(membership.heartbeat_received("p", 1, 9, true), [], "the planner is no longer a member");
}

#[rstest]
fn a_later_incarnation_of_a_planner_supersedes_the_earlier_one() {
    let mut membership = PlannerMembership::new(HEARTBEAT_CONFIG);
    membership.connected("p", 1, 0.0);
    membership.heartbeat_received("p", 1, 0, true);
    assert_eq!(membership.connected("p", 2, 1.0), Some(vec![PlannerChange::Lost("p".into())]));
    assert_eq!(
        (membership.disconnected("p", 1), membership.heartbeat_received("p", 1, 0, true)),
        (vec![], vec![])
    );
    assert_eq!(membership.incarnation("p"), Some(2));
    membership.disconnected("p", 2);
    assert_eq!(membership.connected("p", 1, 2.0), None, "a hello that the network delayed");
}

/// A planner's incarnation is the wall clock time of its start, and an earlier incarnation than the connected
/// one is rejected. A planner whose wall clock was set back between two starts must not be rejected forever.
#[rstest]
fn a_planner_restarted_with_its_clock_set_back_is_accepted_once_the_later_incarnation_is_gone() {
    let mut membership = PlannerMembership::new(HEARTBEAT_CONFIG);
    membership.connected("p", 900, 0.0);
    let (heartbeats, _) = membership.tick(5.0);
    membership.heartbeat_acknowledged("p", 900, heartbeats[0].1);
    assert_eq!(membership.connected("p", 7, 5.1), None, "the later incarnation is connected");
    membership.disconnected("p", 900);
    assert_eq!(membership.connected("p", 7, 5.2), None, "the later incarnation was connected a moment ago");
    assert_eq!(membership.connected("p", 7, 8.5), Some(vec![]));
    assert_eq!(
        membership.heartbeat_received("p", 7, 0, true),
        [PlannerChange::AcceptsQueries("p".into(), true)]
    );
    assert_eq!(
        membership.connected("p", 6, 8.6),
        None,
        "an incarnation earlier than the accepted one is rejected"
    );
}

#[rstest]
fn a_planner_in_slow_start_accepts_forwarders_one_after_the_other() {
    let accepted = |now: f64| {
        (0..400).filter(|n| slow_start::accepts_forwarder(&format!("f-{n}"), 10.0, 2.0, now)).count()
    };
    assert_eq!((accepted(9.9), accepted(12.0)), (0, 400));
    assert!(
        (60..140).contains(&accepted(10.5)) && (160..240).contains(&accepted(11.0)),
        "{}",
        accepted(11.0)
    );
    assert!((0..400).all(|n| !slow_start::accepts_forwarder(&format!("f-{n}"), 10.0, 2.0, 10.5)
        || slow_start::accepts_forwarder(&format!("f-{n}"), 10.0, 2.0, 11.0)));
}

const LEASE_CONFIG: LeaseConfig =
    LeaseConfig { units_per_window: 10, window_s: 1.0, lease_s: 2.0, max_clock_drift: 0.01 };

#[rstest]
fn units_are_granted_again_only_after_they_have_left_every_window() {
    let mut grantor = LeaseGrantor::new(LEASE_CONFIG, 1, 0.0, true);
    let lease = grantor.grant("a", 8, 0.0).expect("units are left");
    assert_eq!(
        (grantor.grant("b", 8, 0.0).map(|lease| lease.units), grantor.grant("b", 8, 1.0)),
        (Some(2), None)
    );
    let mut holder = LeaseHolder::default();
    assert!(holder.accept(lease, 0.0) && holder.spend(3, 1.0) && !holder.spend(6, 1.0));
    assert_eq!((holder.remaining(1.99), holder.remaining(2.0)), (5, 0));
    assert_eq!((grantor.outstanding(3.02), grantor.outstanding(3.04)), (10, 0));
}

#[rstest]
fn a_new_grantor_grants_nothing_until_all_earlier_leases_have_ended() {
    let mut old = LeaseGrantor::new(LEASE_CONFIG, 1, 0.0, true);
    let lease = old.grant("a", 10, 5.0).expect("units are left");
    let mut new = LeaseGrantor::new(LEASE_CONFIG, 2, 5.0, false);
    assert!(new.grant("b", 1, 7.9).is_none() && new.grant("b", 1, 8.04).is_some());
    let mut holder = LeaseHolder::default();
    assert!(holder.accept(lease, 5.0));
    // The grantor of term 1 resumes after a pause: a holder that has accepted a lease of term 2 rejects the
    // leases of term 1.
    assert!(holder.accept(new.grant("a", 1, 9.0).expect("units are left"), 9.0));
    assert!(
        !holder
            .accept(old.grant("a", 10, 9.1).expect("the earlier grantor does not know the later term"), 9.1)
    );
    assert_eq!(holder.remaining(9.2), 1);
}

fn encoded(messages: &[Message]) -> Vec<u8> {
    let mut bytes = vec![];
    encode_hello::<Message>(
        &mut bytes,
        &Hello { version: Message::VERSION, is_planner: true, incarnation: 7, name: "p-1".into() },
    );
    messages.iter().for_each(|message| assert_eq!(encode_message(&mut bytes, message), Ok(())));
    bytes
}

fn sample_messages() -> Vec<Message> {
    let prior_attempt =
        PriorAttempt { node: "s-1".into(), age_s: 0.25, outcome: Some(WireOutcome::ConnectionReset) };
    vec![
        Message::AssignQuery {
            term: 9,
            query: "q".into(),
            query_class: 1,
            tenant: String::new(),
            time_left_s: 0.5,
            requests: vec![("q.3".into(), 3, 0.5, vec![prior_attempt])],
        },
        Message::StartAttempt { term: 9, request: "q.3".into(), node: "s-2".into(), timeout_s: 0.4 },
        Message::Reject { term: 9, query: "q".into(), retry_after_s: Some(0.1) },
        Message::Heartbeat { number: 3, endpoints_version: 41, accepts_queries: true },
    ]
}

#[rstest]
#[case::whole(usize::MAX)]
#[case::byte_by_byte(1)]
#[case::three_bytes_each(3)]
fn messages_are_read_from_pieces_of_any_size(#[case] size: usize) {
    let (bytes, mut reader, mut read) = (encoded(&sample_messages()), FrameReader::default(), vec![]);
    for piece in bytes.chunks(size.min(bytes.len())) {
        reader.feed(piece);
        while let Some(next) = reader.next_frame().expect("valid frames") {
            read.push(next);
        }
    }
    let hello = Hello { version: Message::VERSION, is_planner: true, incarnation: 7, name: "p-1".into() };
    let messages = sample_messages().into_iter().map(Received::Message);
    assert_eq!(read, [Received::Hello(hello)].into_iter().chain(messages).collect::<Vec<_>>());
}

#[rstest]
fn another_protocol_version_is_an_error() {
    let mut bytes = vec![];
    encode_hello::<Message>(
        &mut bytes,
        &Hello { version: 2, is_planner: false, incarnation: 1, name: "f".into() },
    );
    let mut reader: FrameReader<Message> = FrameReader::default();
    reader.feed(&bytes);
    let error = reader.next_frame().expect_err("another version");
    assert_eq!(error.to_string(), "the peer speaks version 2 of the protocol, this side version 1");
}

#[rstest]
fn another_protocol_is_an_error_at_the_first_bytes() {
    let mut reader: FrameReader<Message> = FrameReader::default();
    reader.feed(b"GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(reader.next_frame(), Err(FrameError::OtherProtocol));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn corrupted_bytes_never_panic(noise in prop::collection::vec(any::<u8>(), 0..200), at in 0..200usize) {
        let mut bytes = encoded(&sample_messages());
        let at = at.min(bytes.len());
        bytes.splice(at..(at + noise.len() / 2).min(bytes.len()), noise);
        let mut reader: FrameReader<Message> = FrameReader::default();
        reader.feed(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
    }

    /// A corrupted byte never yields a different message: the checksum detects the change.
    #[test]
    fn a_corrupted_byte_is_detected(at in 0..1000usize, flip in 1..=255u8) {
        let mut bytes = encoded(&sample_messages());
        let at = at % bytes.len();
        bytes[at] ^= flip;
        let (mut reader, mut read) = (FrameReader::default(), vec![]);
        reader.feed(&bytes);
        let mut failed = false;
        loop {
            match reader.next_frame() {
                Ok(Some(Received::Message(message))) => read.push(message),
                Ok(Some(Received::Hello(_))) => {}
                Ok(None) => break,
                Err(_) => {
                    failed = true;
                    break;
                }
            }
        }
        prop_assert!(read.len() < sample_messages().len() || failed);
        prop_assert!(sample_messages().starts_with(&read), "{:?}", read);
    }

    /// The units spent in any window stay within the budget, with grantors that replace each other, holders
    /// whose clocks drift, and lost messages that contain leases.
    #[test]
    fn spending_in_any_window_stays_within_the_budget(
        steps in prop::collection::vec((0..6u8, 0..3usize, 1..8u64, 0.0..0.6f64), 1..80),
        skews in prop::collection::vec(-0.009..0.009f64, 3),
    ) {
        let mut now = 100.0;
        let mut grantor = LeaseGrantor::new(LEASE_CONFIG, 1, now, true);
        let mut term = 1;
        let mut holders = vec![LeaseHolder::default(); 3];
        let mut spent: Vec<(f64, u64)> = vec![];
        // The monotonic clock of each holder differs in rate by up to 0.9 percent.
        let clock = |holder: usize, now: f64| 50.0 + now * (1.0 + skews[holder]);
        for (step, who, units, wait) in steps {
            match step {
                0..2 => {
                    let requested_at = clock(who, now);
                    // The round trip takes time, and a response with a lease of 7 units is lost.
                    let lease = grantor.grant(&who.to_string(), units, now);
                    now += wait / 4.0;
                    if let Some(lease) = lease.filter(|_| units != 7) {
                        holders[who].accept(lease, requested_at);
                    }
                }
                2..4 => {
                    if holders[who].spend(units, clock(who, now)) {
                        spent.push((now, units));
                    }
                }
                4 if units == 1 => {
                    term += 1;
                    grantor = LeaseGrantor::new(LEASE_CONFIG, term, now, false);
                }
                _ => now += wait,
            }
            let window: u64 = spent.iter().filter(|(at, _)| *at > now - LEASE_CONFIG.window_s).map(|(_, u)| u).sum();
            prop_assert!(window <= LEASE_CONFIG.units_per_window, "{} units in a window", window);
        }
    }
}
