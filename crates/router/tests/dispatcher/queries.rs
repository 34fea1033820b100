//! Queries in the last phase of a shutdown and after a failure of the policy.
use crate::common::dispatcher::{one_class_policy, open_query, response_text, run_in_local_runtime};
use crate::{dispatcher, policy_events};
use alderway::interface::DecisionSink;
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
fn a_query_in_the_last_shutdown_phase_is_rejected_at_once() {
    let mut dispatcher = dispatcher();
    dispatcher.shutdown_phase = ShutdownPhase::Ending;
    let client = Rc::new(ClientConnection::default());
    let query = Query {
        id: "q".into(),
        class: 0,
        not_after_s: dispatcher.clock.now() + 5.0,
        text: String::new(),
        requests: vec![ShardRequest::new("q.1".into(), 1, 1.0)],
        client: client.clone(),
        coverage: None,
    };
    dispatcher.open_query(&client, query).expect("a response");
    assert!(response_text(&client).starts_with("HTTP/1.1 503 "));
    assert!(policy_events(&mut dispatcher).is_empty() && dispatcher.queries.is_empty());
}

#[rstest]
fn a_panic_of_the_policy_fails_open_queries_and_the_router_continues() {
    // The policy has one query class, the dispatcher two: a query of the second class makes the policy panic.
    let new_policy = || Ok::<_, Infallible>(one_class_policy());
    let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
    dispatcher.borrow_mut().query_classes.push("w".into());
    let open = |id: &str, class| {
        let client = Rc::new(ClientConnection::default());
        let query = Query {
            id: id.into(),
            class,
            not_after_s: dispatcher.borrow().clock.now() + 5.0,
            text: String::new(),
            requests: vec![ShardRequest::new(format!("{id}.1").into(), 1, 1.0)],
            client: client.clone(),
            coverage: None,
        };
        dispatcher.borrow_mut().open_query(&client, query).expect("the query opens");
        client
    };
    run_in_local_runtime(async {
        let descriptors = descriptors::split(64, usize::MAX, 1).1;
        tokio::task::spawn_local(policy_loop::run(dispatcher.clone(), None, new_policy, descriptors));
        let bad = open("bad", 1);
        bad.wake.notified().await;
        assert!(response_text(&bad).starts_with("HTTP/1.1 504 "));
        // Both data nodes refuse connections. The restarted policy has received the endpoint list again, so
        // that policy starts an attempt before it rejects the query.
        let good = open("good", 0);
        good.wake.notified().await;
        assert!(response_text(&good).starts_with("HTTP/1.1 503 "));
        assert!(dispatcher.borrow().metrics_text().contains("leaf_calls_sent{first} 1"));
    });
}

/// Guards against the decision of a planner that takes the sum of rounded weights for the whole: without the
/// last shard request, 1.005 less 0.005 is in.
#[rstest]
fn an_answer_with_a_shard_request_missing_is_not_marked_complete() {
    let mut dispatcher = dispatcher();
    dispatcher.query_classes[0].complete_fraction = 1.0;
    let request = |(shard, weight)| ShardRequest::new(format!("q.{shard}").into(), shard, weight);
    let requests = [(1, 0.6), (2, 0.4), (3, 0.005)].map(request).into();
    let client = open_query(&mut dispatcher, "q", 0, 5.0, requests, None).expect("the query opens");
    for request in ["q.1", "q.2"] {
        dispatcher.queries.request_mut(request).expect("open").value = Some("v".into());
    }
    dispatcher.answer("q", true);
    let response = response_text(&client);
    assert!(response.contains("\"whole\":false"), "{response}");
}
