//! Decoding of shard maps, which assign ranges of keys to shards, and of changes to shard maps from
//! discovery; decoding of keys in queries.
use crate::{move_shard, split_shard};
use alderway_layouts::KeyRange;
use alderway_layouts::history::LayoutUpdate;
use alderway_layouts::layout::Change;
use alderway_router::wire::query;
use alderway_router::wire::shard_map;
use rstest::rstest;

const CHANGES: &str = r#"{"index":4,"snapshot":false,"endpoints":[],"layout":{"version":9,"after":8,"changes":[
    {"into":[{"shard":7,"from":0},{"from":32,"shard":8}],"split":1,"new":[1]},{"merge":[7,8],"as":9},
    {"move":9,"holders":[1,2]}]}}"#;

#[rstest]
fn updates_are_read_with_fields_in_any_order() {
    let update = shard_map::read_update(CHANGES.as_bytes()).expect("readable").expect("an update");
    let merge = Change::Merge { parents: vec![7, 8], child: 9 };
    let changes = vec![split_shard(1, &[(7, 0), (8, 32)]), merge, move_shard(9, &[1, 2])];
    assert_eq!(update, LayoutUpdate::Changes { version: 9, base: 8, changes });
    let text = r#"{"layout":{"keys":10,"shards":[{"shard":1,"from":0,"to":10,"holders":[3]}],"version":2}}"#;
    let Some(LayoutUpdate::Full { version: 2, keys: 10, shards }) =
        shard_map::read_update(text.as_bytes()).expect("readable")
    else {
        panic!("not a full shard map")
    };
    assert_eq!(shards[0].1.keys, KeyRange::new(0, 10));
    assert_eq!(shard_map::read_update(br#"{"index":4,"snapshot":false,"endpoints":[]}"#), Ok(None));
}

#[rstest]
#[case::no_version(r#"{"layout":{"after":1,"changes":[]}}"#, "`layout` has no `version`")]
#[case::neither(r#"{"layout":{"version":1}}"#, "a layout has either `shards` or `changes`")]
#[case::no_keys(r#"{"layout":{"version":1,"shards":[]}}"#, "`layout` has no `keys`")]
#[case::no_end_key(
    r#"{"layout":{"version":1,"keys":9,"shards":[{"shard":1,"from":0,"holders":[1]}]}}"#,
    "an entry of `shards` has no `to`"
)]
#[case::two_kinds_of_change(
    r#"{"layout":{"version":2,"after":1,"changes":[{"split":1,"move":2}]}}"#,
    "a change must be exactly one of `split`, `merge` and `move`"
)]
#[case::too_large(
    r#"{"layout":{"version":2,"after":1,"changes":[{"move":4294967296,"holders":[1]}]}}"#,
    "a number in `layout` is too large"
)]
#[case::duplicate_layout(
    r#"{"layout":{"version":1,"keys":1,"shards":[]},"layout":{"version":1,"keys":1,"shards":[]}}"#,
    "`layout` is given twice"
)]
fn malformed_updates_are_rejected(#[case] text: &str, #[case] error: &str) {
    assert_eq!(shard_map::read_update(text.as_bytes()), Err(error));
}

/// A truncated object is an error: it causes no panic and yields no partial update.
#[rstest]
fn truncated_updates_are_rejected() {
    for length in 0..CHANGES.len() {
        assert!(shard_map::read_update(&CHANGES.as_bytes()[..length]).is_err(), "truncated to {length}");
    }
}

#[rstest]
#[case::three_bounds("[1,2,3]")]
#[case::one_bound("[1]")]
#[case::too_large("[0,4294967296]")]
#[case::negative("[-1,4]")]
#[case::strings(r#"["a","b"]"#)]
fn keys_that_are_not_a_range_are_rejected(#[case] keys: &str) {
    let body = format!(r#"{{"targets":[{{"keys":{keys},"share":1}}],"query":"x"}}"#);
    assert!(query::read_query(body.as_bytes(), true, |_, _, _| Ok(())).is_err());
    // Without a shard map `keys` is ignored, like any unknown field.
    let body = body.replace("\"share\"", "\"partition\":1,\"share\"");
    assert!(query::read_query(body.as_bytes(), false, |_, _, _| Ok(())).is_ok());
}
