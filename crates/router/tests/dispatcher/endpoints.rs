//! Changes of the endpoint list, the list of data nodes from discovery, while attempts are queued or in
//! flight.
use crate::common::dispatcher::{start_attempts, write_next_frame};
use crate::{dispatcher, open, policy_events, update_endpoint};
use alderway::interface::DecisionSink;
use alderway::interface::NodeState;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::endpoints::Endpoint;
use alderway_router::state::shared::MulticoreConfig;
use alderway_router::state::shared::SharedState;
use rstest::rstest;

#[rstest]
fn an_older_list_does_not_return_a_draining_node_to_service() {
    let mut dispatcher = dispatcher();
    let apply_list = |dispatcher: &mut Dispatcher, version, state| {
        dispatcher.endpoints.begin_update(version, true);
        update_endpoint(dispatcher, "s", 1, state, None);
        dispatcher.endpoints.nodes["s"].state
    };
    assert_eq!(apply_list(&mut dispatcher, 9, NodeState::Draining), NodeState::Draining);
    assert_eq!(apply_list(&mut dispatcher, 8, NodeState::Serving), NodeState::Draining);
    assert_eq!(apply_list(&mut dispatcher, 10, NodeState::Serving), NodeState::Serving);
}

#[rstest]
fn a_new_address_retires_connections_and_a_restart_aborts_them() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1, 2]);
    let (moved, restarted) = (
        start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0),
        start_attempts(&mut dispatcher, "t", &["q.2"]).remove(0),
    );
    update_endpoint(&mut dispatcher, "s", 9, NodeState::Serving, None);
    let connection = dispatcher.endpoints.connection("s", moved.connection).expect("a connection");
    assert!(connection.is_retired && !connection.is_aborted, "the reply in flight may still come");
    let later = dispatcher.clock.now() + 1.0;
    update_endpoint(&mut dispatcher, "t", 2, NodeState::Serving, Some(later));
    assert!(
        dispatcher.endpoints.connection("t", restarted.connection).expect("a connection").is_aborted,
        "the old process will not answer"
    );
}

#[rstest]
fn a_full_list_removes_missing_nodes_and_drops_them_with_their_last_connection() {
    let mut dispatcher = dispatcher();
    open(&mut dispatcher, "q", &[1]);
    let dial = start_attempts(&mut dispatcher, "s", &["q.1"]).remove(0);
    write_next_frame(&mut dispatcher, &dial);
    dispatcher.endpoints.begin_update(2, true);
    dispatcher.endpoints_changed();
    assert_eq!(policy_events(&mut dispatcher), ["full list", "s 0 Removed", "t 0 Removed"]);
    assert_eq!(dispatcher.endpoints.nodes.len(), 1, "`s` has an attempt in flight");
    dispatcher.connection_lost("s", dial.connection);
    policy_events(&mut dispatcher);
    assert!(dispatcher.endpoints.nodes.is_empty());
}

#[rstest]
fn a_core_starts_no_attempt_until_it_has_applied_the_newest_list() {
    let mut dispatcher = dispatcher();
    let (shared, _commands) =
        SharedState::new(100, MulticoreConfig { cores: 2, ..MulticoreConfig::default() }, 1.0);
    dispatcher.shared = shared.clone();
    shared.fence.record_discovery_read(dispatcher.clock.now());
    open(&mut dispatcher, "q", &[0]);
    policy_events(&mut dispatcher);
    dispatcher.start_attempt("q.0", "s", 1.0);
    let now = dispatcher.clock.now();
    let connection = dispatcher.flush_attempts(now).remove(0).connection;
    // The acceptor core has published a list in which `s` drains; this core has not applied that list yet.
    let generation = shared.fence.publish();
    let mut out = vec![];
    assert!(!dispatcher.encode_next_frame("s", connection, &mut out) && out.is_empty());
    let address = "127.0.0.1:1".parse().expect("an address");
    dispatcher.endpoints.replace_from_core(&[Endpoint {
        name: "s".to_string(),
        address,
        replica_group: 0,
        state: NodeState::Draining,
        started_at_s: None,
    }]);
    dispatcher.endpoints_generation = generation;
    dispatcher.endpoints_changed();
    assert!(!dispatcher.encode_next_frame("s", connection, &mut out), "the attempt was ended unsent");
    assert!(policy_events(&mut dispatcher).contains(&"q.0 0 s NeverSent".to_string()));
}

#[rstest]
fn only_changes_in_a_list_from_another_core_reach_the_policy() {
    let mut dispatcher = dispatcher();
    let list = dispatcher.endpoints.endpoints();
    dispatcher.endpoints.replace_from_core(&list);
    assert!(policy_events(&mut dispatcher).is_empty());
    dispatcher.endpoints.replace_from_core(&list[1..]);
    assert_eq!(policy_events(&mut dispatcher), ["s 0 Removed"]);
    assert_eq!(dispatcher.endpoints.nodes.len(), 1);
}
