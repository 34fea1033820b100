//! Effects of a change of the shard map, which assigns ranges of keys to shards, on queued attempts and on
//! the input of the policy, the code that decides about attempts.
use crate::{
    apply_changes, dispatcher, full_map, move_shard, open_query_for_keys, policy_events, start_attempts,
};
use alderway_layouts::history::LayoutUpdate;
use alderway_router::io::discovery::DiscoveryHandler;
use rstest::rstest;

#[rstest]
fn a_queued_attempt_ends_if_its_node_no_longer_holds_the_shard() {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 0, 50);
    let dial = start_attempts(&mut dispatcher, "n0", &["q.1.0-50"]);
    policy_events(&mut dispatcher);
    apply_changes(&mut dispatcher, 2, vec![move_shard(1, &[1, 2])]);
    assert_eq!(
        policy_events(&mut dispatcher),
        ["shard 1 held by [1, 2] except {}", "q.1.0-50 0 n0 NeverSent"]
    );
    assert!(!dispatcher.encode_next_frame("n0", dial.connection, &mut vec![]));
}

#[rstest]
fn a_restarted_policy_gets_every_shard() {
    let mut dispatcher = dispatcher(100);
    open_query_for_keys(&mut dispatcher, 0, 50);
    dispatcher.restart_policy();
    let events = policy_events(&mut dispatcher);
    assert!(
        events.contains(&"shard 1 held by [0, 1] except {}".into())
            && events.contains(&"shard 2 held by [0, 1] except {}".into())
    );
}

#[rstest]
fn invalid_updates_change_nothing() {
    let mut dispatcher = dispatcher(100);
    let gap = full_map(2, &[(1, 0, 50, &[0, 1])]);
    assert_eq!(dispatcher.apply_layout(gap).expect_err("a gap").to_string(), "no shard covers key 50");
    let unknown_base = LayoutUpdate::Changes { version: 3, base: 2, changes: vec![move_shard(1, &[4])] };
    assert!(dispatcher.apply_layout(unknown_base).is_err());
    assert_eq!(dispatcher.layout_version(), Some(1));
    assert!(policy_events(&mut dispatcher).is_empty());
}
