//! Queries at the end of a shutdown and after a failure of the policy.
use crate::common::dispatcher::{one_class_policy, played, response_text};
use crate::{dispatcher, told};
use alderway_router::io::policy_loop;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::descriptors;
use alderway_router::state::queries::Query;
use alderway_router::state::queries::ShardRequest;
use alderway_router::state::shutdown_phase::ShutdownPhase;
use rstest::rstest;
use std::convert::Infallible;
use std::rc::Rc;

#[rstest]
fn a_query_that_comes_as_the_program_ends_is_turned_away_at_once() {
    let mut dispatcher = dispatcher();
    dispatcher.shutdown_phase = ShutdownPhase::Ending;
    let client = Rc::new(ClientConnection::default());
    let (id, part) = ("q".into(), ShardRequest::new("q.1".into(), 1, 1.0));
    let (not_after, text, parts) = (dispatcher.clock.now() + 5.0, String::new(), vec![part]);
    let (of, coverage) = (client.clone(), None);
    let query = Query { id, class: 0, not_after_s: not_after, text, requests: parts, client: of, coverage };
    dispatcher.open_query(&client, query).expect("answered");
    assert!(response_text(&client).starts_with("HTTP/1.1 503 "));
    assert!(told(&mut dispatcher).is_empty() && dispatcher.queries.is_empty());
}

#[rstest]
fn a_failure_of_the_module_aborts_what_is_open_and_the_router_goes_on() {
    // The module knows one vertical, the dispatcher two: a query of the second makes it panic.
    let module = || Ok::<_, Infallible>(one_class_policy());
    let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
    dispatcher.borrow_mut().query_classes.push("w".into());
    let taken = |id: &str, vertical| {
        let client = Rc::new(ClientConnection::default());
        let part = ShardRequest::new(format!("{id}.1").into(), 1, 1.0);
        let (not_after, text, parts) = (dispatcher.borrow().clock.now() + 5.0, String::new(), vec![part]);
        let (of, coverage) = (client.clone(), None);
        let query = Query {
            id: id.into(),
            class: vertical,
            not_after_s: not_after,
            text,
            requests: parts,
            client: of,
            coverage,
        };
        dispatcher.borrow_mut().open_query(&client, query).expect("taken");
        client
    };
    played(async {
        let share = descriptors::split(64, usize::MAX, 1).1;
        tokio::task::spawn_local(policy_loop::run(dispatcher.clone(), None, module, share));
        let bad = taken("bad", 1);
        bad.wake.notified().await;
        assert!(response_text(&bad).starts_with("HTTP/1.1 504 "));
        // Both nodes refuse connections here: a decision all the same, and by the endpoint list told again.
        let good = taken("good", 0);
        good.wake.notified().await;
        assert!(response_text(&good).starts_with("HTTP/1.1 503 "));
        assert!(dispatcher.borrow().metrics_text().contains("leaf_calls_sent{first} 1"));
    });
}
