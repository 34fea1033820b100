//! Events of the endpoint list, and odd ones.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn a_replaced_endpoint_list_drops_nodes_that_it_does_not_name() {
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
fn odd_but_legal_events_are_harmless() {
    let mut host = Host::with(|_| ());
    host.round(|r| {
        r.attempt_ended("nobody", 3, "nowhere", AttemptOutcome::Success, 0.1);
        r.client_disconnected("nobody");
        r.timer_fired(99);
        r.shard_request_added(5, "orphan", 0, 1.0);
        r.endpoint_list_replaced();
    });
    host.query(1, &[]);
    assert_eq!(host.count("reject q1"), 1);
}
