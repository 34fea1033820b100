//! Events of the endpoint list, and events that refer to unknown queries or nodes.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn a_replaced_endpoint_list_removes_nodes_that_it_does_not_contain() {
    let mut host = Host::with(|_| ());
    host.round(|r| {
        r.endpoint_list_replaced();
        r.endpoint_updated("n2", 2, NodeState::Serving, None);
    });
    host.answer_queries(0, 4, 0.05);
    assert_eq!(host.count("attempt"), host.decisions.iter().filter(|n| n.ends_with(" n2")).count());
}

#[rstest]
fn the_endpoint_list_is_polled_again_after_a_failure() {
    let mut host = Host::with(|d| d.capabilities.polls_endpoints = true);
    host.round(|r| r.endpoint_poll_failed());
    assert_eq!(host.count("poll"), 1);
    host.wait(1.1);
    assert_eq!(host.count("poll"), 2);
}

#[rstest]
fn events_for_unknown_queries_and_nodes_are_ignored() {
    let mut host = Host::with(|_| ());
    host.round(|r| {
        r.attempt_ended("unknown", 3, "unknown", AttemptOutcome::Success, 0.1);
        r.client_disconnected("unknown");
        r.timer_fired(99);
        r.shard_request_added(5, "orphan", 0, 1.0);
        r.endpoint_list_replaced();
    });
    host.query(1, &[]);
    assert_eq!(host.count("reject q1"), 1);
}
