//! Stories of layouts that change: faulty ones refused whole, old shards found again, keys counted once.
use alderway_layouts::coverage::{AddOutcome, Coverage};
use alderway_layouts::history::{History, LayoutUpdate};
use alderway_layouts::layout::{Change, Layout, LayoutError, Shard};
use alderway_layouts::split_requests::SplitRequests;
use alderway_layouts::{Key, KeyRange, ShardId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

fn holders(cells: &[u32]) -> BTreeSet<u32> {
    cells.iter().copied().collect()
}

fn shards(of: &[(ShardId, Key, Key)]) -> BTreeMap<ShardId, Shard> {
    of.iter()
        .map(|&(id, from, to)| (id, Shard { keys: KeyRange::new(from, to), holders: holders(&[1, 2]) }))
        .collect()
}

fn layout() -> Layout {
    Layout::new(1, 30, shards(&[(1, 0, 10), (2, 10, 20), (3, 20, 30)])).expect("sound")
}

#[rstest]
#[case::a_hole(&[(1, 0, 10), (2, 11, 30)], "no shard covers key 10")]
#[case::the_end_is_missing(&[(1, 0, 10)], "no shard covers key 10")]
#[case::an_overlap(&[(1, 0, 10), (2, 9, 30)], "shard 2 covers key 9 beside another")]
#[case::two_begin_alike(&[(1, 0, 10), (2, 0, 30)], "shard 2 covers key 0 beside another")]
#[case::nothing_in_it(&[(1, 0, 30), (2, 30, 30)], "shard 2 covers no key")]
#[case::beyond_the_end(&[(1, 0, 40)], "shard 1 would begin at key 30, not in order")]
fn a_faulty_layout_is_refused_with_its_place(#[case] of: &[(ShardId, Key, Key)], #[case] why: &str) {
    assert_eq!(Layout::new(1, 30, shards(of)).expect_err("faulty").to_string(), why);
}

#[rstest]
#[case::unknown_parent(2, Change::Split { parent: 9, children: vec![(10, 0), (11, 5)] }, LayoutError::UnknownShard { shard: 9 })]
#[case::a_child_out_of_order(2, Change::Split { parent: 1, children: vec![(10, 0), (11, 12)] }, LayoutError::OutOfBounds { shard: 10, at: 12 })]
#[case::a_child_elsewhere(2, Change::Split { parent: 1, children: vec![(10, 1), (11, 5)] }, LayoutError::OutOfBounds { shard: 10, at: 1 })]
#[case::a_number_taken(2, Change::Split { parent: 1, children: vec![(2, 0), (11, 5)] }, LayoutError::ShardIdInUse { shard: 2 })]
#[case::not_neighbours(2, Change::Merge { parents: vec![1, 3], child: 10 }, LayoutError::NotAdjacent { shard: 3 })]
#[case::nobody_holds_it(2, Change::Move { shard: 1, holders: BTreeSet::new() }, LayoutError::NoHolder { shard: 1 })]
#[case::backwards(1, Change::Move { shard: 1, holders: BTreeSet::new() }, LayoutError::StaleVersion { current: 1, received: 1 })]
fn a_faulty_change_is_refused_whole(#[case] version: u64, #[case] change: Change, #[case] why: LayoutError) {
    let mut history = History::new(layout(), 2.0, 0.25);
    let good = Change::Split { parent: 2, children: vec![(20, 10), (21, 15)] };
    assert_eq!(history.apply_changes(version, &[good, change], 0.0), Err(why));
    assert_eq!(history.latest(), &layout());
}

#[rstest]
fn a_part_of_a_shard_that_is_gone_goes_to_whoever_holds_all_its_keys_while_it_matters() {
    let mut history = History::new(layout(), 2.0, 0.25);
    history.request_opened(1);
    let split = Change::Split { parent: 1, children: vec![(10, 0), (11, 4)] };
    let followed = history.apply_changes(2, &[split], 1.0).expect("sound");
    assert_eq!((followed.retired, followed.added), (vec![1], vec![(10, vec![1]), (11, vec![1])]));
    assert_eq!(followed.changed_holders, [1, 10, 11]);
    assert_eq!((history.holders(1), history.has_mixed_holders(1)), (vec![1, 2], false));
    // One child is on its way: only the cell that has both holds all of the old shard, then none does.
    let to = |cells: &[u32]| Change::Move { shard: 11, holders: holders(cells) };
    assert_eq!(history.apply_changes(3, &[to(&[2, 3])], 1.5).expect("sound").changed_holders, [1, 11]);
    assert_eq!((history.holders(1), history.has_mixed_holders(1)), (vec![2], true));
    history.apply_changes(4, &[to(&[3])], 1.6).expect("sound");
    assert!(history.holders(1).is_empty());
    assert_eq!(
        history.overlapping(KeyRange::new(2, 12)),
        [(10, KeyRange::new(2, 4)), (11, KeyRange::new(4, 10)), (2, KeyRange::new(10, 12))]
    );
    assert_eq!(history.expire_retired(100.0), [] as [ShardId; 0]);
    history.request_closed(1);
    assert_eq!((history.expire_retired(2.9), history.expire_retired(3.0)), (vec![], vec![1]));
    assert_eq!((history.keys(1), history.tracked_counts()), (None, (0, 0, 0)));
}

#[rstest]
fn a_node_that_disowns_a_shard_is_left_out_until_one_side_has_caught_up() {
    let mut history = History::new(layout(), 2.0, 0.25);
    // One is ahead of this side, the other lags behind; both name the shard at once.
    assert!(history.exclude_node(2, "ahead", 3, 0.0) && history.exclude_node(2, "behind", 0, 0.0));
    assert!(!history.exclude_node(2, "ahead", 3, 0.1), "the same word again is no news");
    let out = |history: &History| history.excluded_nodes(2).map(str::to_string).collect::<Vec<_>>();
    assert_eq!(out(&history), ["ahead", "behind"]);
    assert_eq!((history.expire_exclusions(0.2), history.expire_exclusions(0.3)), (vec![], vec![2]));
    assert_eq!(out(&history), ["ahead"]);
    let split = Change::Split { parent: 1, children: vec![(10, 0), (11, 4)] };
    history.apply_changes(2, &[split], 0.4).expect("sound");
    assert_eq!(out(&history), ["ahead"]);
    let to = Change::Move { shard: 2, holders: holders(&[5]) };
    assert_eq!(history.apply_changes(3, &[to], 0.5).expect("sound").changed_holders, [2]);
    assert_eq!(out(&history), [] as [&str; 0]);
    // Nor for ever, where the version that it names never comes.
    history.exclude_node(2, "ahead", 9, 1.0);
    assert_eq!((history.expire_exclusions(3.4), history.expire_exclusions(3.6)), (vec![], vec![2]));
}

#[rstest]
fn a_node_left_out_for_a_shard_comes_back_with_a_version_that_changes_another() {
    let mut history = History::new(layout(), 2.0, 0.25);
    history.exclude_node(2, "behind", 0, 0.0);
    let split = Change::Split { parent: 1, children: vec![(10, 0), (11, 4)] };
    assert_eq!(history.apply_changes(2, &[split], 0.1).expect("sound").changed_holders, [2, 10, 11]);
    assert_eq!(history.excluded_nodes(2).count(), 0);
}

#[rstest]
fn news_of_another_version_or_that_name_a_shard_twice_are_refused() {
    let mut history = History::new(layout(), 2.0, 0.25);
    let to = Change::Move { shard: 2, holders: holders(&[5]) };
    let news = |after| LayoutUpdate::Changes { version: 9, base: after, changes: vec![to.clone()] };
    assert_eq!(history.apply(news(4), 0.0), Err(LayoutError::UnknownBase { base: 4 }));
    let shard = |from, to| (1, Shard { keys: KeyRange::new(from, to), holders: holders(&[1]) });
    let twice = LayoutUpdate::Full { version: 9, keys: 30, shards: vec![shard(0, 10), shard(10, 30)] };
    assert_eq!(history.apply(twice, 0.0), Err(LayoutError::ShardIdInUse { shard: 1 }));
    assert!(History::from_update(news(1), 2.0, 0.25).is_err());
    assert!(history.apply(news(1), 0.0).is_ok() && history.latest().version() == 9);
}

/// What two versions share is not copied: otherwise a thousand changes a minute would cost ten thousand shards each.
#[rstest]
fn a_thousand_changes_of_ten_thousand_shards_leave_nothing_behind() {
    let all = (0..10_000u32).map(|n| {
        (
            n,
            Shard {
                keys: KeyRange::new(100 * n, 100 * n + 100),
                holders: holders(&[n % 400, (n + 1) % 400]),
            },
        )
    });
    let layout = Layout::new(1, 1_000_000, all.collect()).expect("sound");
    let (mut history, mut next) = (History::new(layout, 2.0, 0.25), 10_000);
    for n in 0..1000u32 {
        let (at, now) = (f64::from(n) * 0.06, u64::from(n) + 2);
        let shard = history.latest().shard_at((n * 7919) % 1_000_000).expect("covered");
        let keys = history.latest().shard(shard).expect("known").keys;
        let changes = if keys.len() > 1 && n % 2 == 0 {
            next += 2;
            let middle = keys.from + keys.len() as u32 / 2;
            vec![Change::Split { parent: shard, children: vec![(next, keys.from), (next + 1, middle)] }]
        } else {
            vec![Change::Move { shard, holders: holders(&[n % 400, 399]) }]
        };
        history.apply_changes(now, &changes, at).expect("sound");
        history.expire_retired(at);
        assert!(history.tracked_counts().0 <= 40, "{:?}", history.tracked_counts());
    }
    assert_eq!(history.latest().shard_count(), 10_500);
    history.expire_retired(100.0);
    assert_eq!(history.tracked_counts(), (0, 0, 0));
}

#[rstest]
fn a_call_serves_all_heirs_and_is_given_up_with_the_last() {
    let mut splits = SplitRequests::default();
    splits.split(&"p", &["a", "b"]);
    assert!(!splits.release(&("p", 0), &"a"));
    splits.split(&"b", &["c", "d"]);
    assert_eq!(splits.parts(&"p"), ["a", "c", "d"]);
    assert_eq!(splits.lineage(&"d").copied().collect::<Vec<_>>(), ["d", "b", "p"]);
    assert!(splits.is_waiting(&("p", 0), &"c") && !splits.is_waiting(&("p", 0), &"a"));
    assert!(splits.is_waiting(&("p", 1), &"a"), "another call of it is another matter");
    assert!(!splits.release(&("p", 0), &"c") && splits.release(&("p", 0), &"d"));
    splits.forget(|_| true);
    assert!(splits.is_empty() && splits.parts(&"p").is_empty());
    assert_eq!(splits.lineage(&"d").count(), 1);
}

#[rstest]
fn a_year_of_weekly_changes_leaves_nothing_behind() {
    let mut history = History::new(layout(), 2.0, 0.25);
    for week in 0..52u32 {
        let now = f64::from(week) * 604_800.0;
        let whole = if week == 0 { 2 } else { 1000 + week - 1 };
        let (a, b) = (2000 + 2 * week, 2001 + 2 * week);
        let split = Change::Split { parent: whole, children: vec![(a, 10), (b, 15)] };
        history.apply_changes(u64::from(2 * week + 2), &[split], now).expect("sound");
        let merge = Change::Merge { parents: vec![a, b], child: 1000 + week };
        history.apply_changes(u64::from(2 * week + 3), &[merge], now + 60.0).expect("sound");
        history.expire_retired(now + 120.0);
        assert_eq!(history.tracked_counts(), (0, 0, 0));
    }
}

#[rstest]
fn a_whole_layout_that_uses_a_number_again_is_refused() {
    let mut history = History::new(layout(), 2.0, 0.25);
    let other = Layout::new(7, 30, shards(&[(1, 0, 5), (4, 5, 30)])).expect("sound");
    assert_eq!(history.replace(other, 0.0), Err(LayoutError::ShardIdInUse { shard: 1 }));
    let again = Layout::new(7, 30, shards(&[(1, 0, 10), (4, 10, 30)])).expect("sound");
    assert_eq!(history.replace(again, 0.0).expect("sound").retired, [2, 3]);
}

#[rstest]
fn a_parents_late_answer_takes_the_place_of_its_successors_and_never_counts_beside_them() {
    let mut coverage = Coverage::new(vec![(KeyRange::new(0, 10), 1.0)]).expect("sound");
    assert_eq!(coverage.add(KeyRange::new(0, 4), "child"), AddOutcome::Counted { replaced: 0 });
    assert!((coverage.answered_weight() - 0.4).abs() < 1e-9 && !coverage.is_complete());
    assert_eq!(coverage.add(KeyRange::new(0, 10), "parent"), AddOutcome::Counted { replaced: 1 });
    assert_eq!(coverage.add(KeyRange::new(4, 10), "child"), AddOutcome::Redundant);
    assert!(coverage.is_complete() && (coverage.answered_weight() - 1.0).abs() < 1e-9);
    assert_eq!(coverage.answers().collect::<Vec<_>>(), [(KeyRange::new(0, 10), &"parent")]);
}

#[rstest]
fn answers_that_cross_do_not_both_count() {
    let asked = vec![(KeyRange::new(0, 10), 0.5), (KeyRange::new(20, 30), 0.5)];
    let mut coverage = Coverage::new(asked).expect("sound");
    assert_eq!(coverage.add(KeyRange::new(0, 6), ()), AddOutcome::Counted { replaced: 0 });
    assert_eq!(coverage.add(KeyRange::new(3, 10), ()), AddOutcome::Conflicting);
    assert_eq!(coverage.add(KeyRange::new(10, 20), ()), AddOutcome::NotRequested);
    assert_eq!(coverage.missing(KeyRange::new(0, 30)), [KeyRange::new(6, 10), KeyRange::new(20, 30)]);
    assert!(Coverage::<()>::new(vec![(KeyRange::new(0, 10), 0.5), (KeyRange::new(9, 12), 0.5)]).is_none());
}

/// A random valid change of a layout, drawn from `choice` and `at`.
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

    /// Random layouts, changes, and answers of any version in any order, against a plain inventory of keys: none
    /// counts twice, what counts is right, and the weight is that of the keys that are in.
    #[test]
    fn every_key_counts_once_and_with_its_value(
        changes in prop::collection::vec((any::<u8>(), 0..50usize), 1..12),
        answers in prop::collection::vec((0..13usize, 0..20usize), 1..40),
        (from, len) in (0..30u32, 1..30u32),
    ) {
        let (mut history, mut next) = (History::new(layout(), 1e9, 0.25), 100);
        let mut versions = vec![layout()];
        for (n, (choice, at)) in changes.into_iter().enumerate() {
            if let Some(change) = draw(history.latest(), choice, at, &mut next) {
                history.apply_changes(n as u64 + 2, &[change], n as f64).expect("a sound change");
                versions.push(history.latest().clone());
            }
        }
        let asked = KeyRange::new(from, (from + len).min(30));
        prop_assume!(!asked.is_empty());
        let mut coverage = Coverage::new(vec![(asked, 1.0)]).expect("sound");
        let mut best = 0.0;
        for (version, shard) in answers {
            let layout = &versions[version % versions.len()];
            let all: Vec<KeyRange> = layout.overlapping(asked).map(|(_, s)| s.keys).collect();
            let range = all[shard % all.len()];
            // The plain inventory: what a data node answers for its keys.
            let value: Vec<Key> = (range.from..range.to).collect();
            coverage.add(range, value);
            prop_assert!(coverage.answered_weight() >= best - 1e-9, "an answer made it less");
            best = coverage.answered_weight();
        }
        let mut seen = BTreeSet::new();
        for (range, value) in coverage.answers() {
            prop_assert_eq!(value, &(range.from..range.to).collect::<Vec<_>>());
            for key in value {
                prop_assert!(seen.insert(*key), "key {} twice", key);
            }
        }
        let within = seen.iter().filter(|k| asked.contains(KeyRange::new(**k, **k + 1))).count() as f64;
        prop_assert!((coverage.answered_weight() - within / asked.len() as f64).abs() < 1e-9);
        prop_assert_eq!(coverage.is_complete(), within as u64 == asked.len());
        // What is missing is just the keys that are not in.
        let missing: u64 = coverage.missing(asked).iter().map(KeyRange::len).sum();
        prop_assert_eq!(missing + within as u64, asked.len());
    }

    /// Whatever changes, every shard that ever was and still matters is found again with just its keys.
    #[test]
    fn an_old_shards_keys_are_found_again_each_once(
        changes in prop::collection::vec((any::<u8>(), 0..50usize), 1..20),
    ) {
        let (mut history, mut next, mut ever) = (History::new(layout(), 1e9, 0.25), 100, BTreeMap::new());
        for (n, (choice, at)) in changes.into_iter().enumerate() {
            ever.extend(history.latest().shards().map(|(id, s)| (id, s.keys)));
            if let Some(change) = draw(history.latest(), choice, at, &mut next) {
                history.apply_changes(n as u64 + 2, &[change], n as f64).expect("a sound change");
            }
        }
        for (id, keys) in ever {
            prop_assert_eq!(history.keys(id), Some(keys), "shard {} is lost", id);
            let mut from = keys.from;
            for (_, part) in history.overlapping(keys) {
                prop_assert_eq!(part.from, from);
                from = part.to;
            }
            prop_assert_eq!(from, keys.to);
            // Whoever is said to hold a shard holds every one of its keys.
            for key in keys.from..keys.to {
                let now = history.latest().shard_at(key).and_then(|s| history.latest().shard(s)).expect("covered");
                prop_assert!(history.holders(id).iter().all(|cell| now.holders.contains(cell)));
            }
        }
        // By small steps or as a whole, the same layout comes out.
        let shards = history.latest().shards().map(|(id, s)| (id, s.clone())).collect();
        let whole = Layout::new(history.latest().version(), 30, shards).expect("still covers every key once");
        prop_assert_eq!(&whole, history.latest());
    }
}
