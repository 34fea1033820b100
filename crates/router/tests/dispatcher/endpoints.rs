//! Changes of the endpoint list.
use crate::common::dispatcher::{send, write};
use crate::{dispatcher, endpoints, take, told};
use alderway::interface::DecisionSink;
use alderway::interface::NodeState;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::endpoints::Endpoint;
use alderway_router::state::shared::MulticoreConfig;
use alderway_router::state::shared::SharedState;
use rstest::rstest;

#[rstest]
fn an_older_list_brings_no_node_back_that_was_told_to_drain() {
    let mut dispatcher = dispatcher();
    let list = |dispatcher: &mut Dispatcher, index, state| {
        dispatcher.endpoints.begin_update(index, true);
        endpoints(dispatcher, "s", 1, state, None);
        dispatcher.endpoints.nodes["s"].state
    };
    assert_eq!(list(&mut dispatcher, 9, NodeState::Draining), NodeState::Draining);
    assert_eq!(list(&mut dispatcher, 8, NodeState::Serving), NodeState::Draining);
    assert_eq!(list(&mut dispatcher, 10, NodeState::Serving), NodeState::Serving);
}

#[rstest]
fn a_node_that_moved_or_started_again_loses_its_connections() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1, 2]);
    let (old, again) =
        (send(&mut dispatcher, "s", &["q.1"]).remove(0), send(&mut dispatcher, "t", &["q.2"]).remove(0));
    endpoints(&mut dispatcher, "s", 9, NodeState::Serving, None);
    let line = dispatcher.endpoints.connection("s", old.connection).expect("a connection");
    assert!(line.is_retired && !line.is_aborted, "what is out there may still come");
    let later = dispatcher.clock.now() + 1.0;
    endpoints(&mut dispatcher, "t", 2, NodeState::Serving, Some(later));
    assert!(
        dispatcher.endpoints.connection("t", again.connection).expect("a connection").is_aborted,
        "nobody there will answer"
    );
}

#[rstest]
fn a_whole_list_tells_who_is_gone_and_forgets_them_with_their_last_connection() {
    let mut dispatcher = dispatcher();
    take(&mut dispatcher, "q", &[1]);
    let dial = send(&mut dispatcher, "s", &["q.1"]).remove(0);
    write(&mut dispatcher, &dial);
    dispatcher.endpoints.begin_update(2, true);
    dispatcher.endpoints_changed();
    assert_eq!(told(&mut dispatcher), ["whole", "s 0 Removed", "t 0 Removed"]);
    assert_eq!(dispatcher.endpoints.nodes.len(), 1, "`s` has a call out");
    dispatcher.connection_lost("s", dial.connection);
    told(&mut dispatcher);
    assert!(dispatcher.endpoints.nodes.is_empty());
}

#[rstest]
fn a_core_that_lacks_the_newest_list_begins_no_call_until_it_has_it() {
    let mut dispatcher = dispatcher();
    let (shared, _inboxes) =
        SharedState::new(100, MulticoreConfig { cores: 2, ..MulticoreConfig::default() }, 1.0);
    dispatcher.shared = shared.clone();
    shared.fence.record_discovery_read(dispatcher.clock.now());
    take(&mut dispatcher, "q", &[0]);
    told(&mut dispatcher);
    dispatcher.start_attempt("q.0", "s", 1.0);
    let now = dispatcher.clock.now();
    let line = dispatcher.flush_attempts(now).remove(0).connection;
    // The lead has a list that says that `s` drains; this core has not taken it in yet.
    let number = shared.fence.publish();
    let mut out = vec![];
    assert!(!dispatcher.next_frame("s", line, &mut out) && out.is_empty());
    let address = "127.0.0.1:1".parse().expect("an address");
    let (name, cell, started) = ("s".to_string(), 0, None);
    dispatcher.endpoints.adopt(&[Endpoint {
        name,
        address,
        replica_group: cell,
        state: NodeState::Draining,
        started_at_s: started,
    }]);
    dispatcher.endpoints_generation = number;
    dispatcher.endpoints_changed();
    assert!(!dispatcher.next_frame("s", line, &mut out), "it was taken back");
    assert!(told(&mut dispatcher).contains(&"q.0 0 s NeverSent".to_string()));
}

#[rstest]
fn a_list_taken_over_tells_what_changed_and_nothing_else() {
    let mut dispatcher = dispatcher();
    let same = dispatcher.endpoints.endpoints();
    dispatcher.endpoints.adopt(&same);
    assert!(told(&mut dispatcher).is_empty());
    dispatcher.endpoints.adopt(&same[1..]);
    assert_eq!(told(&mut dispatcher), ["s 0 Removed"]);
    assert_eq!(dispatcher.endpoints.nodes.len(), 1);
}
