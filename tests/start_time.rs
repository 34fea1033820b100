//! The start of a data node.
use alderway::start_time::bounded_start_time;
use rstest::rstest;

#[rstest]
#[case::as_reported(98.0, Some(99.0), 98.0)]
#[case::an_hour_ago_by_a_wrong_clock(-3500.0, Some(99.0), 93.0)]
#[case::in_an_hour_by_a_wrong_clock(3700.0, Some(99.0), 100.0)]
#[case::long_before_an_outage_ended(60.0, Some(50.0), 60.0)]
#[case::before_the_first_list(-3500.0, None, -3500.0)]
fn a_reported_start_is_bounded_by_what_was_observed(
    #[case] reported_s: f64,
    #[case] last_list_at_s: Option<f64>,
    #[case] expected_s: f64,
) {
    assert_eq!(bounded_start_time(reported_s, 100.0, last_list_at_s), expected_s);
}
