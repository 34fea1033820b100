//! Plans as text: what is read, what is written, and what a word that cannot be used is told.
use alderway_fault_injection::{Kind, Plan};
use rstest::rstest;

#[rstest]
fn a_plan_reads_back_as_it_was_written() {
    let text = "seed=7 eintr=0.01@0- accept=0.1@2-5 wall=-3600@3-";
    let plan = Plan::parse(text).expect("in form");
    assert_eq!(plan.to_string(), text);
    assert_eq!(Plan::parse("seed=7 eintr=0.01 accept=0.1@2-5 wall=-3600@3-"), Ok(plan));
}

#[rstest]
fn a_fault_is_active_in_its_window_only() {
    let plan = Plan::parse("accept=0.1@2-5").expect("in form");
    let at = |now| plan.active(Kind::Accept, now);
    assert_eq!([at(1.9), at(2.0), at(4.9), at(5.0)], [None, Some(0.1), Some(0.1), None]);
    assert_eq!(plan.active(Kind::Wall, 3.0), None);
}

#[rstest]
#[case("eintr")]
#[case("eintr=often")]
#[case("eintr=0.1@2")]
#[case("thunder=0.1")]
fn a_word_that_is_no_fault_is_named(#[case] word: &str) {
    assert_eq!(Plan::parse(&format!("seed=1 {word}")), Err(format!("`{word}` is no fault")));
}
