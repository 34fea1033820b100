//! A client that disconnects and sends a query with the same id before the policy, the code that decides
//! about queries and attempts, has been notified of the disconnect. A round is one run of the policy.
use crate::common::dispatcher::{
    DispatcherSink, one_class_policy, open_query, response_text, shard_requests,
};
use crate::dispatcher;
use alderway::interface::{AttemptOutcome, PolicyInput};
use alderway::policy::Policy;
use alderway_router::state::attempts::AttemptId;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;

/// A dispatcher and its policy.
struct Router {
    dispatcher: RefCell<Dispatcher>,
    policy: Policy,
}

impl Router {
    fn new() -> Self {
        let mut dispatcher = dispatcher();
        dispatcher.endpoints.mark_all_changed();
        Router { dispatcher: RefCell::new(dispatcher), policy: one_class_policy() }
    }

    /// Opens a query for shard 1.
    fn open(&self, id: &str) -> Rc<ClientConnection> {
        let requests = shard_requests(id, &[1], 1.0);
        open_query(&mut self.dispatcher.borrow_mut(), id, 0, 5.0, requests, None).expect("the query opens")
    }

    fn disconnect(&self, client: &ClientConnection) {
        let query = client.open_query.get().expect("an open query");
        self.dispatcher.borrow_mut().client_disconnected(query);
    }

    /// Runs the policy once and writes all frames.
    fn round(&mut self) {
        let dispatcher = &self.dispatcher;
        let now = dispatcher.borrow().clock.now();
        let add_input = |input: &mut dyn PolicyInput| {
            dispatcher.borrow_mut().notify_policy(now, input);
            Ok::<(), ()>(())
        };
        self.policy.round(now, add_input, &mut DispatcherSink(dispatcher)).expect("a round");
        let mut dispatcher = dispatcher.borrow_mut();
        dispatcher.flush_attempts(now);
        let connections: Vec<(String, u64)> = dispatcher
            .endpoints
            .nodes
            .iter()
            .flat_map(|(node, record)| record.connections.keys().map(|number| (node.clone(), *number)))
            .collect();
        for (node, connection) in connections {
            while dispatcher.encode_next_frame(&node, connection, &mut vec![]) {
                dispatcher
                    .endpoints
                    .connection(&node, connection)
                    .expect("a connection")
                    .frame_written(now, 0);
            }
        }
    }

    /// Delivers a reply to the first attempt for shard 1; false if there is no such attempt.
    fn reply(&self, id: &str, value: &str) -> bool {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let attempt = AttemptId::new(format!("{id}.1"), 0);
        let Some(attempt) = dispatcher.attempts.get(&attempt) else { return false };
        let (node, connection) = (attempt.node.clone(), attempt.connection.expect("a connection"));
        dispatcher.record_reply(&node, connection, &format!("{id}.1"), AttemptOutcome::Success, value);
        true
    }
}

/// Guards against the end of an earlier query, or a reply to it, being applied to a later query with the same
/// id.
#[rstest]
#[case::before_the_first_round(false, false)]
#[case::with_an_attempt_in_flight(true, false)]
#[case::with_a_reply(true, true)]
fn a_query_with_the_id_of_a_disconnected_one_gets_its_own_answer(
    #[case] is_known: bool,
    #[case] is_answered: bool,
) {
    let mut router = Router::new();
    let earlier = router.open("q");
    if is_known {
        router.round();
    }
    if is_answered {
        assert!(router.reply("q", "\"earlier\""));
    }
    router.disconnect(&earlier);
    let client = router.open("q");
    router.round();
    assert_eq!(response_text(&client), "", "there is no reply yet");
    assert!(router.reply("q", "\"its own\""), "an attempt is in flight");
    router.round();
    let response = response_text(&client);
    assert!(response.starts_with("HTTP/1.1 200 ") && response.contains("its own"), "{response}");
}
