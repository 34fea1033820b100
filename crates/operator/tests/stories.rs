//! Stories of operator's files: what they may say, and what is told of faulty ones.
use alderway_operator::{Count, LogForm, Operator, read};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

#[rstest]
fn a_file_that_says_nothing_changes_nothing() {
    assert_eq!(read("f", "# Nothing yet.\n"), Ok(Operator::default()));
}

#[rstest]
fn a_file_says_its_subjects_and_may_compute_them() {
    let said =
        read("f", "per_core = 2\ncores(count = 4, node_connections = 4 * per_core)\nlog(form = \"json\")\n");
    let said = said.expect("a good file");
    let cores = said.cores;
    assert_eq!((cores.count, cores.node_connections, cores.evidence), (Count::Cores(4), Some(8), true));
    assert_eq!(said.log, LogForm::Json);
}

#[rstest]
#[case::unknown_subject("colours(count = 4)", "f:1: Variable `colours` not found")]
#[case::unknown_name("x = 1\ncores(cuont = 4)", "f:2: Missing named-only parameter `count`")]
#[case::another_unknown_name("cores(count = 1, sise = 2)", "f:1: Found `sise` extra named parameter")]
#[case::wrong_type("cores(count = [4])", "f:1: `cores`: `count` is a whole number from 1 to 128, found [4]")]
#[case::none_at_all("cores(count = 0)", "f:1: `cores`: `count` is a whole number from 1 to 128, found 0")]
#[case::too_many(
    "\n\ncores(count = 129)",
    "f:3: `cores`: `count` is a whole number from 1 to 128, found 129"
)]
#[case::a_flag_that_is_none(
    "cores(count = 2, evidence = 1)",
    "f:1: `cores`: `evidence` is True or False, found 1"
)]
#[case::said_twice("cores(count = 2)\ncores(count = 2)", "f:2: `cores`: said twice")]
#[case::contradiction(
    "cores(count = 4, node_connections = 3)",
    "f:1: `cores`: `node_connections` of 3 leaves some"
)]
#[case::unknown_form("log(form = \"xml\")", "f:1: `log`: `form` is \"text\" or \"json\", found \"xml\"")]
#[case::not_a_script("cores(", "f:1: Parse error")]
#[case::loads_a_file("load(\"other\", \"x\")", "f:1: `load` is not allowed")]
#[case::endless(
    "def f():\n  for i in range(1000000000):\n    pass\nf()",
    "f: Execution duration limit of 200000"
)]
#[case::recursion("def f(): f()\nf()", "f:1: ")]
fn a_faulty_file_is_told_in_one_line_with_its_place(#[case] text: &str, #[case] expected: &str) {
    let why = read("f", text).expect_err("faulty");
    assert!(why.starts_with(expected) && !why.contains('\n'), "{why}");
}

#[rstest]
fn a_step_that_asks_for_gigabytes_is_an_error_not_the_end() {
    let text = "x = [1]\ndef f():\n  for i in range(60):\n    x.extend(x)\nf()\n";
    let why = read("f", text).expect_err("faulty");
    assert!(why.starts_with("f: ") && !why.contains('\n'), "{why}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Any text is a file or an error of one line, never a panic.
    #[test]
    fn any_text_is_read_or_refused(text in "[a-z0-9(),=\"\n #\\[\\]{}*+.-]{0,60}") {
        if let Err(why) = read("f", &text) {
            prop_assert!(why.starts_with('f') && !why.contains('\n'), "{}", why);
        }
    }

    /// A number of cores is taken as given or refused with its name.
    #[test]
    fn any_count_is_taken_or_refused(count in any::<i64>()) {
        match read("f", &format!("cores(count = {count})")) {
            Ok(said) => prop_assert_eq!(said.cores.count, Count::Cores(count as usize)),
            Err(why) => prop_assert!(!(1..=128).contains(&count) && why.contains("`count`"), "{}", why),
        }
    }
}
