//! Changes of the shard map that reach attempts and the policy.
use crate::{change, dispatcher, moved, send, take, told, whole};
use alderway_layouts::history::News;
use alderway_router::io::discovery::DiscoveryHandler;
use rstest::rstest;

#[rstest]
fn a_call_that_has_not_begun_is_taken_back_from_a_node_that_lost_the_shard() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    let dial = send(&mut dispatcher, "n0", &["q.1.0-50"]);
    told(&mut dispatcher);
    change(&mut dispatcher, 2, vec![moved(1, &[1, 2])]);
    assert_eq!(told(&mut dispatcher), ["shard 1 [1, 2] without {}", "q.1.0-50 0 n0 NeverSent"]);
    assert!(!dispatcher.next_frame("n0", dial.connection, &mut vec![]));
}

#[rstest]
fn a_module_that_starts_anew_is_told_every_shard() {
    let mut dispatcher = dispatcher(100);
    take(&mut dispatcher, 0, 50);
    dispatcher.restart_policy();
    let told = told(&mut dispatcher);
    assert!(
        told.contains(&"shard 1 [0, 1] without {}".into())
            && told.contains(&"shard 2 [0, 1] without {}".into())
    );
}

#[rstest]
fn faulty_news_change_nothing() {
    let mut dispatcher = dispatcher(100);
    let hole = whole(2, &[(1, 0, 50, &[0, 1])]);
    assert_eq!(dispatcher.apply_layout(hole).expect_err("a hole").to_string(), "no shard covers key 50");
    let unknown = News::Changes { version: 3, after: 2, changes: vec![moved(1, &[4])] };
    assert!(dispatcher.apply_layout(unknown).is_err());
    assert_eq!(dispatcher.layout_version(), Some(1));
    assert!(told(&mut dispatcher).is_empty());
}
