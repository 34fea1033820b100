//! Tests of a planner without sockets: sessions, which are the connections of forwarders, and a policy that
//! panics. A round is one run of the policy on all input since the previous round.
mod common;
use alderway::interface::{NodeState, PolicyConfig};
use alderway::policy::Policy;
use alderway_router::state::endpoints::EndpointTable;
use alderway_router::tier::planner::{self, Planner, SessionId};
use alderway_telemetry::clock::Clock;
use alderway_tier::messages::Message;
use alderway_transport::{FrameReader, Hello};
use common::dispatcher::one_class_policy;
use common::tier::take_messages;
use rstest::rstest;
use std::cell::RefCell;

fn assign_query(query: &str) -> Message {
    let requests = vec![(format!("{query}.0"), 0, 1.0, vec![])];
    let (query, tenant) = (query.into(), String::new());
    Message::AssignQuery { term: 1, query, query_class: 0, tenant, time_left_s: 5.0, requests }
}

/// After a panic of its policy, a planner must close all sessions, so that the forwarders reassign their
/// queries, and must continue with a new policy. Otherwise a query that makes the policy panic could stop all
/// planners, one after another, because its forwarder reassigns the query to the next planner.
#[rstest]
fn a_policy_panic_closes_the_sessions_and_the_planner_continues_with_another() {
    let hello = Hello::of_planner::<Message>("p-0", 1);
    let planner = RefCell::new(Planner::new(Clock::default(), 1, 5.0, 100, EndpointTable::default()));
    let (session, _wake) = planner.borrow_mut().open_session(&hello);
    assert!(planner.borrow_mut().accept_message(session, assign_query("q")));
    // A policy without query classes panics on any query.
    let mut without_classes = Policy::new(7, PolicyConfig::default());
    assert!(planner::run_round(&planner, &mut without_classes).is_err());

    planner.borrow_mut().close_all_sessions();
    assert!(planner.borrow_mut().outbox(session).is_none(), "the session is closed");
    assert_eq!(planner.borrow().open_query_count(), 0);
    assert!(planner.borrow().counters.text().contains("module_failures 1"));

    let (session, _wake) = planner.borrow_mut().open_session(&hello);
    let greeting_bytes = planner.borrow_mut().outbox(session).expect("an open session").bytes.len();
    assert!(planner.borrow_mut().accept_message(session, assign_query("r")));
    assert!(planner::run_round(&planner, &mut one_class_policy()).is_ok());
    assert_eq!(planner.borrow().open_query_count(), 0, "a query without data nodes is rejected at once");
    assert!(planner.borrow_mut().outbox(session).expect("an open session").bytes.len() > greeting_bytes);
}

/// Creates a planner whose endpoint list has one data node, `s`.
fn planner_with_one_node() -> RefCell<Planner> {
    let mut endpoints = EndpointTable::default();
    endpoints.begin_update(1, true);
    endpoints.update("s", ([127, 0, 0, 1], 1).into(), 0, NodeState::Serving, None);
    RefCell::new(Planner::new(Clock::default(), 1, 5.0, 100, endpoints))
}

/// A forwarder that is connected to a planner by one session.
struct Forwarder<'a> {
    planner: &'a RefCell<Planner>,
    session: SessionId,
    reader: FrameReader<Message>,
}

impl<'a> Forwarder<'a> {
    fn connect(planner: &'a RefCell<Planner>) -> Self {
        let hello = Hello::of_planner::<Message>("p-0", 1);
        let (session, _wake) = planner.borrow_mut().open_session(&hello);
        Forwarder { planner, session, reader: FrameReader::default() }
    }

    /// Sends a message to the planner, runs one round of the policy, and returns the messages that the
    /// planner sends to the forwarder.
    fn send(&mut self, message: Message, policy: &mut Policy) -> Vec<Message> {
        assert!(self.planner.borrow_mut().accept_message(self.session, message));
        planner::run_round(self.planner, policy).expect("the policy does not panic");
        let mut planner = self.planner.borrow_mut();
        let outbox = planner.outbox(self.session).expect("an open session");
        take_messages(outbox, &mut self.reader)
    }
}

/// A forwarder whose query ends while a `StartAttempt` message is in flight does not start that attempt and
/// does not report its end. The planner must not count such an attempt as in flight at the data node forever.
#[rstest]
fn an_attempt_that_crosses_the_end_of_its_query_does_not_count_at_its_node() {
    let (planner, mut policy) = (planner_with_one_node(), one_class_policy());
    let mut forwarder = Forwarder::connect(&planner);
    for number in 0..200 {
        let query = format!("q{number}");
        let decided = forwarder.send(assign_query(&query), &mut policy);
        assert!(matches!(decided[..], [Message::StartAttempt { .. }]), "{query}: {decided:?}");
        forwarder.send(Message::QueryClosed { query }, &mut policy);
    }
}
