//! Stories of layouts that change: faulty ones refused whole, old shards found again, keys counted once.
use alderway_layouts::coverage::{Count, Coverage};
use alderway_layouts::history::{History, Now};
use alderway_layouts::layout::{Change, Faulty, Layout, Shard};
use alderway_layouts::{Key, Range, ShardId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

fn holders(cells: &[u32]) -> BTreeSet<u32> {
    cells.iter().copied().collect()
}

fn shards(of: &[(ShardId, Key, Key)]) -> BTreeMap<ShardId, Shard> {
    of.iter()
        .map(|&(id, from, to)| (id, Shard { keys: Range::new(from, to), holders: holders(&[1, 2]) }))
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
#[case::unknown_parent(2, Change::Split { parent: 9, children: vec![(10, 0), (11, 5)] }, Faulty::Unknown { shard: 9 })]
#[case::a_child_out_of_order(2, Change::Split { parent: 1, children: vec![(10, 0), (11, 12)] }, Faulty::Outside { shard: 10, at: 12 })]
#[case::a_child_elsewhere(2, Change::Split { parent: 1, children: vec![(10, 1), (11, 5)] }, Faulty::Outside { shard: 10, at: 1 })]
#[case::a_number_taken(2, Change::Split { parent: 1, children: vec![(2, 0), (11, 5)] }, Faulty::Used { shard: 2 })]
#[case::not_neighbours(2, Change::Merge { parents: vec![1, 3], child: 10 }, Faulty::Apart { shard: 3 })]
#[case::nobody_holds_it(2, Change::Move { shard: 1, holders: BTreeSet::new() }, Faulty::NoHolder { shard: 1 })]
#[case::backwards(1, Change::Move { shard: 1, holders: BTreeSet::new() }, Faulty::Backwards { held: 1, told: 1 })]
fn a_faulty_change_is_refused_whole(#[case] version: u64, #[case] change: Change, #[case] why: Faulty) {
    let mut history = History::new(layout(), 2.0);
    let good = Change::Split { parent: 2, children: vec![(20, 10), (21, 15)] };
    assert_eq!(history.change(version, &[good, change], 0.0), Err(why));
    assert_eq!(history.newest(), &layout());
}

#[rstest]
fn a_split_shard_is_found_in_its_children_until_it_no_longer_matters() {
    let mut history = History::new(layout(), 2.0);
    assert!(history.sent(1, 0.0));
    let split = Change::Split { parent: 1, children: vec![(10, 0), (11, 4)] };
    assert_eq!(history.change(2, &[split], 1.0), Ok(vec![1]));
    let merge = Change::Merge { parents: vec![11, 2], child: 12 };
    history.change(3, &[merge], 1.5).expect("sound");
    let into = Now::In(vec![(10, Range::new(0, 4)), (12, Range::new(4, 10))]);
    assert_eq!((history.now(1), history.now(3), history.now(99)), (into.clone(), Now::Same, Now::Unknown));
    // By an old version new parts go out within the grace only; an open part keeps what it needs.
    assert!(history.sent(1, 2.9) && !history.sent(1, 3.0));
    history.over(1, 3.1);
    assert_eq!(history.now(1), into);
    history.over(1, 10.0);
    assert_eq!((history.now(1), history.kept()), (Now::Unknown, (0, 0)));
}

#[rstest]
fn a_year_of_weekly_changes_leaves_nothing_behind() {
    let mut history = History::new(layout(), 2.0);
    for week in 0..52u32 {
        let now = f64::from(week) * 604_800.0;
        let whole = if week == 0 { 2 } else { 1000 + week - 1 };
        let (a, b) = (2000 + 2 * week, 2001 + 2 * week);
        let split = Change::Split { parent: whole, children: vec![(a, 10), (b, 15)] };
        history.change(u64::from(2 * week + 2), &[split], now).expect("sound");
        let merge = Change::Merge { parents: vec![a, b], child: 1000 + week };
        history.change(u64::from(2 * week + 3), &[merge], now + 60.0).expect("sound");
        history.retire(now + 120.0);
        assert_eq!(history.kept(), (0, 0));
    }
}

#[rstest]
fn a_whole_layout_that_uses_a_number_again_is_refused() {
    let mut history = History::new(layout(), 2.0);
    let other = Layout::new(7, 30, shards(&[(1, 0, 5), (4, 5, 30)])).expect("sound");
    assert_eq!(history.replace(other, 0.0), Err(Faulty::Used { shard: 1 }));
    let again = Layout::new(7, 30, shards(&[(1, 0, 10), (4, 10, 30)])).expect("sound");
    assert_eq!(history.replace(again, 0.0), Ok(vec![2, 3]));
}

#[rstest]
fn a_parents_late_answer_takes_the_place_of_its_successors_and_never_counts_beside_them() {
    let mut coverage = Coverage::new(vec![(Range::new(0, 10), 1.0)]).expect("sound");
    assert_eq!(coverage.take(Range::new(0, 4), "child"), Count::Counts { replaced: 0 });
    assert!((coverage.weight() - 0.4).abs() < 1e-9 && !coverage.is_whole());
    assert_eq!(coverage.take(Range::new(0, 10), "parent"), Count::Counts { replaced: 1 });
    assert_eq!(coverage.take(Range::new(4, 10), "child"), Count::Known);
    assert!(coverage.is_whole() && (coverage.weight() - 1.0).abs() < 1e-9);
    assert_eq!(coverage.answers().collect::<Vec<_>>(), [(Range::new(0, 10), &"parent")]);
}

#[rstest]
fn answers_that_cross_do_not_both_count() {
    let asked = vec![(Range::new(0, 10), 0.5), (Range::new(20, 30), 0.5)];
    let mut coverage = Coverage::new(asked).expect("sound");
    assert_eq!(coverage.take(Range::new(0, 6), ()), Count::Counts { replaced: 0 });
    assert_eq!(coverage.take(Range::new(3, 10), ()), Count::Crosses);
    assert_eq!(coverage.take(Range::new(10, 20), ()), Count::NotAsked);
    assert_eq!(coverage.missing(Range::new(0, 30)), [Range::new(6, 10), Range::new(20, 30)]);
    assert!(Coverage::<()>::new(vec![(Range::new(0, 10), 0.5), (Range::new(9, 12), 0.5)]).is_none());
}

/// A random valid change of a layout, drawn from `choice` and `at`.
fn draw(layout: &Layout, choice: u8, at: usize, next: &mut ShardId) -> Option<Change> {
    let all: Vec<(ShardId, Range)> =
        layout.covering(Range::new(0, layout.keys())).map(|(i, s)| (i, s.keys)).collect();
    let (id, keys) = all[at % all.len()];
    *next += 2;
    match choice % 3 {
        0 if keys.keys() > 1 => {
            let middle = keys.from + 1 + (at as u32 % (keys.keys() as u32 - 1));
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
        let (mut history, mut next) = (History::new(layout(), 1e9), 100);
        let mut versions = vec![layout()];
        for (n, (choice, at)) in changes.into_iter().enumerate() {
            if let Some(change) = draw(history.newest(), choice, at, &mut next) {
                history.change(n as u64 + 2, &[change], n as f64).expect("a sound change");
                versions.push(history.newest().clone());
            }
        }
        let asked = Range::new(from, (from + len).min(30));
        prop_assume!(!asked.is_empty());
        let mut coverage = Coverage::new(vec![(asked, 1.0)]).expect("sound");
        let mut best = 0.0;
        for (version, shard) in answers {
            let layout = &versions[version % versions.len()];
            let all: Vec<Range> = layout.covering(asked).map(|(_, s)| s.keys).collect();
            let range = all[shard % all.len()];
            // The plain inventory: what a data node answers for its keys.
            let value: Vec<Key> = (range.from..range.to).collect();
            coverage.take(range, value);
            prop_assert!(coverage.weight() >= best - 1e-9, "an answer made it less");
            best = coverage.weight();
        }
        let mut seen = BTreeSet::new();
        for (range, value) in coverage.answers() {
            prop_assert_eq!(value, &(range.from..range.to).collect::<Vec<_>>());
            for key in value {
                prop_assert!(seen.insert(*key), "key {} twice", key);
            }
        }
        let within = seen.iter().filter(|k| asked.covers(Range::new(**k, **k + 1))).count() as f64;
        prop_assert!((coverage.weight() - within / asked.keys() as f64).abs() < 1e-9);
        prop_assert_eq!(coverage.is_whole(), within as u64 == asked.keys());
        // What is missing is just the keys that are not in.
        let missing: u64 = coverage.missing(asked).iter().map(Range::keys).sum();
        prop_assert_eq!(missing + within as u64, asked.keys());
    }

    /// Whatever changes, every shard that ever was and still matters is found again with just its keys.
    #[test]
    fn an_old_shards_keys_are_found_again_each_once(
        changes in prop::collection::vec((any::<u8>(), 0..50usize), 1..20),
    ) {
        let (mut history, mut next, mut ever) = (History::new(layout(), 1e9), 100, BTreeMap::new());
        for (n, (choice, at)) in changes.into_iter().enumerate() {
            ever.extend(history.newest().shards().iter().map(|(id, s)| (*id, s.keys)));
            if let Some(change) = draw(history.newest(), choice, at, &mut next) {
                history.change(n as u64 + 2, &[change], n as f64).expect("a sound change");
            }
        }
        for (id, keys) in ever {
            match history.now(id) {
                Now::Same => prop_assert_eq!(history.keys(id), Some(keys)),
                Now::In(into) => {
                    let mut from = keys.from;
                    for (_, part) in into {
                        prop_assert_eq!(part.from, from);
                        from = part.to;
                    }
                    prop_assert_eq!(from, keys.to);
                }
                Now::Unknown => prop_assert!(false, "shard {} is lost", id),
            }
        }
    }
}
