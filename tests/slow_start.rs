//! Since when a data node is taken to run.
use alderway::slow_start::believed_start;
use rstest::rstest;

#[rstest]
#[case::as_told(98.0, Some(99.0), 98.0)]
#[case::an_hour_ago_by_a_wrong_clock(-3500.0, Some(99.0), 93.0)]
#[case::in_an_hour_by_a_wrong_clock(3700.0, Some(99.0), 100.0)]
#[case::long_before_an_outage_ended(60.0, Some(50.0), 60.0)]
#[case::before_the_first_list(-3500.0, None, -3500.0)]
fn a_start_is_believed_as_far_as_it_agrees_with_what_was_seen(
    #[case] told: f64,
    #[case] heard: Option<f64>,
    #[case] believed: f64,
) {
    assert_eq!(believed_start(told, 100.0, heard), believed);
}
