//! Layouts and their changes: validation, retired shards, excluded data nodes, and coverage with each key
//! counted once.
use alderway_layouts::coverage::{AddOutcome, Coverage};
use alderway_layouts::history::{History, LayoutUpdate};
use alderway_layouts::layout::{Change, Layout, LayoutError, Shard};
use alderway_layouts::split_requests::SplitRequests;
use alderway_layouts::{Key, KeyRange, ShardId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

fn holders(replica_groups: &[u32]) -> BTreeSet<u32> {
    replica_groups.iter().copied().collect()
}

fn shards(ranges: &[(ShardId, Key, Key)]) -> BTreeMap<ShardId, Shard> {
    ranges
        .iter()
        .map(|&(id, from, to)| (id, Shard { keys: KeyRange::new(from, to), holders: holders(&[1, 2]) }))
        .collect()
}

fn layout() -> Layout {
    Layout::new(1, 30, shards(&[(1, 0, 10), (2, 10, 20), (3, 20, 30)])).expect("valid")
}

#[rstest]
#[case::gap(&[(1, 0, 10), (2, 11, 30)], "no shard covers key 10")]
#[case::gap_at_the_end(&[(1, 0, 10)], "no shard covers key 10")]
#[case::overlap(&[(1, 0, 10), (2, 9, 30)], "key 9 of shard 2 belongs to another shard too")]
#[case::same_first_key(&[(1, 0, 10), (2, 0, 30)], "key 0 of shard 2 belongs to another shard too")]
#[case::empty_shard(&[(1, 0, 30), (2, 30, 30)], "shard 2 has no keys")]
#[case::beyond_the_last_key(&[(1, 0, 40)], "shard 1 has a boundary at key 30, which is out of order or out of range")]
fn an_invalid_layout_is_rejected_with_shard_and_key(
    #[case] ranges: &[(ShardId, Key, Key)],
    #[case] message: &str,
) {
    assert_eq!(Layout::new(1, 30, shards(ranges)).expect_err("invalid").to_string(), message);
}

#[rstest]
#[case::unknown_parent(2, Change::Split { parent: 9, children: vec![(10, 0), (11, 5)] }, LayoutError::UnknownShard { shard: 9 })]
#[case::child_out_of_order(2, Change::Split { parent: 1, children: vec![(10, 0), (11, 12)] }, LayoutError::OutOfBounds { shard: 10, at: 12 })]
#[case::first_child_begins_after_parent(2, Change::Split { parent: 1, children: vec![(10, 1), (11, 5)] }, LayoutError::OutOfBounds { shard: 10, at: 1 })]
#[case::id_in_use(2, Change::Split { parent: 1, children: vec![(2, 0), (11, 5)] }, LayoutError::ShardIdInUse { shard: 2 })]
#[case::not_adjacent(2, Change::Merge { parents: vec![1, 3], child: 10 }, LayoutError::NotAdjacent { shard: 3 })]
#[case::no_holder(2, Change::Move { shard: 1, holders: BTreeSet::new() }, LayoutError::NoHolder { shard: 1 })]
#[case::stale_version(1, Change::Move { shard: 1, holders: BTreeSet::new() }, LayoutError::StaleVersion { current: 1, received: 1 })]
fn an_invalid_change_rejects_the_whole_update(
    #[case] version: u64,
    #[case] change: Change,
    #[case] error: LayoutError,
) {
    let mut history = History::new(layout(), 2.0, 0.25);
    let valid = Change::Split { parent: 2, children: vec![(20, 10), (21, 15)] };
    assert_eq!(history.apply_changes(version, &[valid, change], 0.0), Err(error));
    assert_eq!(history.latest(), &layout());
}

#[rstest]
fn a_retired_shard_is_held_by_the_replica_groups_of_all_its_keys_until_it_expires() {
    let mut history = History::new(layout(), 2.0, 0.25);
    history.request_opened(1);
    let split = Change::Split { parent: 1, children: vec![(10, 0), (11, 4)] };
    let applied = history.apply_changes(2, &[split], 1.0).expect("valid");
    assert_eq!((applied.retired, applied.added), (vec![1], vec![(10, vec![1]), (11, vec![1])]));
    assert_eq!(applied.changed_holders, [1, 10, 11]);
    assert_eq!((history.holders(1), history.successors_have_different_holders(1)), (vec![1, 2], false));
    // Shard 1 is split into shards 10 and 11, and shard 11 is moved twice. After the first move,
    // replica group 2 holds both shards; after the second move, no replica group holds both.
    let moved = |replica_groups: &[u32]| Change::Move { shard: 11, holders: holders(replica_groups) };
    assert_eq!(history.apply_changes(3, &[moved(&[2, 3])], 1.5).expect("valid").changed_holders, [1, 11]);
    assert_eq!((history.holders(1), history.successors_have_different_holders(1)), (vec![2], true));
    history.apply_changes(4, &[moved(&[3])], 1.6).expect("valid");
    assert!(history.holders(1).is_empty());
    assert_eq!(
        history.overlapping(KeyRange::new(2, 12)),
        [(10, KeyRange::new(2, 4)), (11, KeyRange::new(4, 10)), (2, KeyRange::new(10, 12))]
    );
    assert_eq!(history.expire_retired(100.0), [] as [ShardId; 0]);
    history.request_closed(1);
    assert_eq!((history.expire_retired(2.9), history.expire_retired(3.0)), (vec![], vec![1]));
    assert_eq!((history.keys(1), history.retired_open_excluded_counts()), (None, (0, 0, 0)));
}

#[rstest]
fn a_node_that_does_not_hold_a_shard_is_excluded_until_either_side_has_caught_up() {
    let mut history = History::new(layout(), 2.0, 0.25);
    // The node "ahead" has a newer layout than the router, and the node "behind" an older one.
    assert!(history.exclude_node(2, "ahead", 3, 0.0) && history.exclude_node(2, "behind", 0, 0.0));
    assert!(!history.exclude_node(2, "ahead", 3, 0.1), "a repeated report does not exclude the node again");
    let excluded = |history: &History| history.excluded_nodes(2).map(str::to_string).collect::<Vec<_>>();
    assert_eq!(excluded(&history), ["ahead", "behind"]);
    assert_eq!((history.expire_exclusions(0.2), history.expire_exclusions(0.3)), (vec![], vec![2]));
    assert_eq!(excluded(&history), ["ahead"]);
    let split = Change::Split { parent: 1, children: vec![(10, 0), (11, 4)] };
    history.apply_changes(2, &[split], 0.4).expect("valid");
    assert_eq!(excluded(&history), ["ahead"]);
    let moved = Change::Move { shard: 2, holders: holders(&[5]) };
    assert_eq!(history.apply_changes(3, &[moved], 0.5).expect("valid").changed_holders, [2]);
    assert_eq!(excluded(&history), [] as [&str; 0]);
    // The exclusion also ends by time, because the router may never receive the version that the node has.
    history.exclude_node(2, "ahead", 9, 1.0);
    assert_eq!((history.expire_exclusions(3.4), history.expire_exclusions(3.6)), (vec![], vec![2]));
}

#[rstest]
fn a_new_version_that_changes_only_another_shard_ends_an_exclusion() {
    let mut history = History::new(layout(), 2.0, 0.25);
    history.exclude_node(2, "behind", 0, 0.0);
    let split = Change::Split { parent: 1, children: vec![(10, 0), (11, 4)] };
    assert_eq!(history.apply_changes(2, &[split], 0.1).expect("valid").changed_holders, [2, 10, 11]);
    assert_eq!(history.excluded_nodes(2).count(), 0);
}

#[rstest]
fn updates_of_another_base_version_or_with_a_duplicate_shard_are_rejected() {
    let mut history = History::new(layout(), 2.0, 0.25);
    let moved = Change::Move { shard: 2, holders: holders(&[5]) };
    let update = |base| LayoutUpdate::Changes { version: 9, base, changes: vec![moved.clone()] };
    assert_eq!(history.apply(update(4), 0.0), Err(LayoutError::UnknownBase { base: 4 }));
    let shard = |from, to| (1, Shard { keys: KeyRange::new(from, to), holders: holders(&[1]) });
    let duplicate = LayoutUpdate::Full { version: 9, keys: 30, shards: vec![shard(0, 10), shard(10, 30)] };
    assert_eq!(history.apply(duplicate, 0.0), Err(LayoutError::ShardIdInUse { shard: 1 }));
    assert!(History::from_update(update(1), 2.0, 0.25).is_err());
    assert!(history.apply(update(1), 0.0).is_ok() && history.latest().version() == 9);
}

/// Versions share their unchanged shards, because copying 10,000 shards for each of 1000 changes per minute
/// would be too expensive. Retired shards must expire, so that their number stays small.
#[rstest]
fn retired_shards_expire_during_a_thousand_changes_of_ten_thousand_shards() {
    let all = (0..10_000u32).map(|n| {
        (
            n,
            Shard {
                keys: KeyRange::new(100 * n, 100 * n + 100),
                holders: holders(&[n % 400, (n + 1) % 400]),
            },
        )
    });
    let layout = Layout::new(1, 1_000_000, all.collect()).expect("valid");
    let (mut history, mut next) = (History::new(layout, 2.0, 0.25), 10_000);
    for n in 0..1000u32 {
        let (at, now) = (f64::from(n) * 0.06, u64::from(n) + 2);
        let shard = history.latest().shard_at((n * 7919) % 1_000_000).expect("a shard");
        let keys = history.latest().shard(shard).expect("known").keys;
        let changes = if keys.len() > 1 && n % 2 == 0 {
            next += 2;
            let middle = keys.from + keys.len() as u32 / 2;
            vec![Change::Split { parent: shard, children: vec![(next, keys.from), (next + 1, middle)] }]
        } else {
            vec![Change::Move { shard, holders: holders(&[n % 400, 399]) }]
        };
        history.apply_changes(now, &changes, at).expect("valid");
        history.expire_retired(at);
        assert!(
            history.retired_open_excluded_counts().0 <= 40,
            "{:?}",
            history.retired_open_excluded_counts()
        );
    }
    assert_eq!(history.latest().shard_count(), 10_500);
    history.expire_retired(100.0);
    assert_eq!(history.retired_open_excluded_counts(), (0, 0, 0));
}

#[rstest]
fn an_attempt_is_released_once_no_part_of_a_split_request_waits_for_it() {
    let mut splits = SplitRequests::default();
    splits.split(&"p", &["a", "b"]);
    assert!(!splits.remove_waiter(&("p", 0), &"a"));
    splits.split(&"b", &["c", "d"]);
    assert_eq!(splits.parts(&"p"), ["a", "c", "d"]);
    assert_eq!(splits.request_and_ancestors(&"d").copied().collect::<Vec<_>>(), ["d", "b", "p"]);
    assert!(splits.is_awaited_by(&("p", 0), &"c") && !splits.is_awaited_by(&("p", 0), &"a"));
    assert!(splits.is_awaited_by(&("p", 1), &"a"), "each attempt is released on its own");
    assert!(!splits.remove_waiter(&("p", 0), &"c") && splits.remove_waiter(&("p", 0), &"d"));
    splits.remove_finished(|_| true);
    assert!(splits.is_empty() && splits.parts(&"p").is_empty());
    assert_eq!(splits.request_and_ancestors(&"d").count(), 1);
}

#[rstest]
fn retired_shards_expire_during_a_year_of_weekly_changes() {
    let mut history = History::new(layout(), 2.0, 0.25);
    for week in 0..52u32 {
        let now = f64::from(week) * 604_800.0;
        let parent = if week == 0 { 2 } else { 1000 + week - 1 };
        let (a, b) = (2000 + 2 * week, 2001 + 2 * week);
        let split = Change::Split { parent, children: vec![(a, 10), (b, 15)] };
        history.apply_changes(u64::from(2 * week + 2), &[split], now).expect("valid");
        let merge = Change::Merge { parents: vec![a, b], child: 1000 + week };
        history.apply_changes(u64::from(2 * week + 3), &[merge], now + 60.0).expect("valid");
        history.expire_retired(now + 120.0);
        assert_eq!(history.retired_open_excluded_counts(), (0, 0, 0));
    }
}

#[rstest]
fn a_full_layout_that_reuses_a_shard_id_for_other_keys_is_rejected() {
    let mut history = History::new(layout(), 2.0, 0.25);
    let reused = Layout::new(7, 30, shards(&[(1, 0, 5), (4, 5, 30)])).expect("valid");
    assert_eq!(history.replace_layout(reused, 0.0), Err(LayoutError::ShardIdInUse { shard: 1 }));
    let valid = Layout::new(7, 30, shards(&[(1, 0, 10), (4, 10, 30)])).expect("valid");
    assert_eq!(history.replace_layout(valid, 0.0).expect("valid").retired, [2, 3]);
}

#[rstest]
fn a_late_answer_for_the_parent_replaces_those_for_its_children() {
    let mut coverage = Coverage::new(vec![(KeyRange::new(0, 10), 1.0)]).expect("valid");
    assert_eq!(coverage.add(KeyRange::new(0, 4), "child"), AddOutcome::Counted { replaced: 0 });
    assert!((coverage.answered_weight() - 0.4).abs() < 1e-9 && !coverage.is_complete());
    assert_eq!(coverage.add(KeyRange::new(0, 10), "parent"), AddOutcome::Counted { replaced: 1 });
    assert_eq!(coverage.add(KeyRange::new(4, 10), "child"), AddOutcome::Redundant);
    assert!(coverage.is_complete() && (coverage.answered_weight() - 1.0).abs() < 1e-9);
    assert_eq!(coverage.answers().collect::<Vec<_>>(), [(KeyRange::new(0, 10), &"parent")]);
}

#[rstest]
fn of_two_partly_overlapping_answers_only_the_first_is_counted() {
    let requested = vec![(KeyRange::new(0, 10), 0.5), (KeyRange::new(20, 30), 0.5)];
    let mut coverage = Coverage::new(requested).expect("valid");
    assert_eq!(coverage.add(KeyRange::new(0, 6), ()), AddOutcome::Counted { replaced: 0 });
    assert_eq!(coverage.add(KeyRange::new(3, 10), ()), AddOutcome::Conflicting);
    assert_eq!(coverage.add(KeyRange::new(10, 20), ()), AddOutcome::NotRequested);
    assert_eq!(coverage.missing(KeyRange::new(0, 30)), [KeyRange::new(6, 10), KeyRange::new(20, 30)]);
    assert!(Coverage::<()>::new(vec![(KeyRange::new(0, 10), 0.5), (KeyRange::new(9, 12), 0.5)]).is_none());
}

/// Returns a valid change of the layout. `choice` selects the kind of change and `at` the shard; `next` is
/// the highest shard id in use and is increased.
fn draw(layout: &Layout, choice: u8, at: usize, next: &mut ShardId) -> Option<Change> {
    let all: Vec<(ShardId, KeyRange)> =
        layout.overlapping(KeyRange::new(0, layout.key_count())).map(|(i, s)| (i, s.keys)).collect();
    let (id, keys) = all[at % all.len()];
    *next += 2;
    match choice % 3 {
        0 if keys.len() > 1 => {
            let middle = keys.from + 1 + (at as u32 % (keys.len() as u32 - 1));
            Some(Change::Split { parent: id, children: vec![(*next, keys.from), (*next + 1, middle)] })
        }
        1 if at % all.len() + 1 < all.len() => {
            Some(Change::Merge { parents: vec![id, all[at % all.len() + 1].0], child: *next })
        }
        _ => Some(Change::Move { shard: id, holders: holders(&[1, at as u32 % 7]) }),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// After random changes, answers for shards of any version are added in any order. No key is counted
    /// twice, each counted value belongs to the keys that it is counted for, and the answered weight is the
    /// weight of the answered keys.
    #[test]
    fn each_key_is_counted_once_with_its_value(
        changes in prop::collection::vec((any::<u8>(), 0..50usize), 1..12),
        answers in prop::collection::vec((0..13usize, 0..20usize), 1..40),
        (from, len) in (0..30u32, 1..30u32),
    ) {
        let (mut history, mut next) = (History::new(layout(), 1e9, 0.25), 100);
        let mut versions = vec![layout()];
        for (n, (choice, at)) in changes.into_iter().enumerate() {
            if let Some(change) = draw(history.latest(), choice, at, &mut next) {
                history.apply_changes(n as u64 + 2, &[change], n as f64).expect("a valid change");
                versions.push(history.latest().clone());
            }
        }
        let asked = KeyRange::new(from, (from + len).min(30));
        prop_assume!(!asked.is_empty());
        let mut coverage = Coverage::new(vec![(asked, 1.0)]).expect("valid");
        let mut best = 0.0;
        for (version, shard) in answers {
            let layout = &versions[version % versions.len()];
            let all: Vec<KeyRange> = layout.overlapping(asked).map(|(_, s)| s.keys).collect();
            let range = all[shard % all.len()];
            // The value of an answer is the list of its keys.
            let value: Vec<Key> = (range.from..range.to).collect();
            coverage.add(range, value);
            prop_assert!(coverage.answered_weight() >= best - 1e-9, "the weight decreased");
            best = coverage.answered_weight();
        }
        let mut seen = BTreeSet::new();
        for (range, value) in coverage.answers() {
            prop_assert_eq!(value, &(range.from..range.to).collect::<Vec<_>>());
            for key in value {
                prop_assert!(seen.insert(*key), "key {} is counted twice", key);
            }
        }
        let answered = seen.iter().filter(|k| asked.contains(KeyRange::new(**k, **k + 1))).count() as f64;
        prop_assert!((coverage.answered_weight() - answered / asked.len() as f64).abs() < 1e-9);
        prop_assert_eq!(coverage.is_complete(), answered as u64 == asked.len());
        // `missing` returns exactly the requested keys that are not answered.
        let missing: u64 = coverage.missing(asked).iter().map(KeyRange::len).sum();
        prop_assert_eq!(missing + answered as u64, asked.len());
    }

    /// After random changes, the keys of each shard of any version that has not expired are known, and the
    /// shards of the latest version contain each of these keys exactly once.
    #[test]
    fn a_retired_shards_keys_are_each_found_once(
        changes in prop::collection::vec((any::<u8>(), 0..50usize), 1..20),
    ) {
        let (mut history, mut next, mut all_shards) = (History::new(layout(), 1e9, 0.25), 100, BTreeMap::new());
        for (n, (choice, at)) in changes.into_iter().enumerate() {
            all_shards.extend(history.latest().shards().map(|(id, s)| (id, s.keys)));
            if let Some(change) = draw(history.latest(), choice, at, &mut next) {
                history.apply_changes(n as u64 + 2, &[change], n as f64).expect("a valid change");
            }
        }
        for (id, keys) in all_shards {
            prop_assert_eq!(history.keys(id), Some(keys), "shard {} is lost", id);
            let mut from = keys.from;
            for (_, part) in history.overlapping(keys) {
                prop_assert_eq!(part.from, from);
                from = part.to;
            }
            prop_assert_eq!(from, keys.to);
            // Each replica group that `holders` returns for a shard holds every key of the shard.
            for key in keys.from..keys.to {
                let now = history.latest().shard_at(key).and_then(|s| history.latest().shard(s)).expect("a shard");
                prop_assert!(history.holders(id).iter().all(|group| now.holders.contains(group)));
            }
        }
        // A full layout with the same shards equals the layout that the changes produced.
        let shards = history.latest().shards().map(|(id, s)| (id, s.clone())).collect();
        let full = Layout::new(history.latest().version(), 30, shards).expect("each key in one shard");
        prop_assert_eq!(&full, history.latest());
    }
}
