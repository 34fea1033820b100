//! A client that leaves and asks again by the same id, before the policy has heard that it left.
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

/// A dispatcher with the policy that decides for it.
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

    /// A client asks for shard 1.
    fn ask(&self, id: &str) -> Rc<ClientConnection> {
        let requests = shard_requests(id, &[1], 1.0);
        open_query(&mut self.dispatcher.borrow_mut(), id, 0, 5.0, requests, None).expect("taken")
    }

    fn leave(&self, client: &ClientConnection) {
        let query = client.open_query.get().expect("an open query");
        self.dispatcher.borrow_mut().client_disconnected(query);
    }

    /// One round, after which all frames are written.
    fn round(&mut self) {
        let dispatcher = &self.dispatcher;
        let now = dispatcher.borrow().clock.now();
        let tell = |input: &mut dyn PolicyInput| {
            dispatcher.borrow_mut().notify_policy(now, input);
            Ok::<(), ()>(())
        };
        self.policy.round(now, tell, &mut DispatcherSink(dispatcher)).expect("a round");
        let mut dispatcher = dispatcher.borrow_mut();
        dispatcher.flush_attempts(now);
        let connections: Vec<(String, u64)> = dispatcher
            .endpoints
            .nodes
            .iter()
            .flat_map(|(node, record)| record.connections.keys().map(|number| (node.clone(), *number)))
            .collect();
        for (node, connection) in connections {
            while dispatcher.next_frame(&node, connection, &mut vec![]) {
                dispatcher.endpoints.connection(&node, connection).expect("it is there").frame_written(now);
            }
        }
    }

    /// A data node answers the first attempt for shard 1; false where there is none.
    fn answer(&self, id: &str, value: &str) -> bool {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let attempt = AttemptId::new(format!("{id}.1"), 0);
        let Some(attempt) = dispatcher.attempts.get(&attempt) else { return false };
        let (node, connection) = (attempt.node.clone(), attempt.connection.expect("it is out"));
        dispatcher.record_reply(&node, connection, &format!("{id}.1"), AttemptOutcome::Success, value);
        true
    }
}

/// Guards against the end of an earlier query, and an answer to it, being taken for those of the query that has its id now.
#[rstest]
#[case::before_it_was_known(false, false)]
#[case::with_an_attempt_out(true, false)]
#[case::with_an_answer_in(true, true)]
fn a_query_by_the_id_of_one_just_left_gets_an_answer_of_its_own(#[case] known: bool, #[case] answered: bool) {
    let mut router = Router::new();
    let former = router.ask("q");
    if known {
        router.round();
    }
    if answered {
        assert!(router.answer("q", "\"earlier\""));
    }
    router.leave(&former);
    let client = router.ask("q");
    router.round();
    assert_eq!(response_text(&client), "", "nothing is known yet");
    assert!(router.answer("q", "\"its own\""), "an attempt is out for it");
    router.round();
    let response = response_text(&client);
    assert!(response.starts_with("HTTP/1.1 200 ") && response.contains("its own"), "{response}");
}
