//! Bounds on the start of a data node's process as reported by the endpoint list, whose clock may be wrong.
use alderway::start_time::estimated_process_start_s;
use rstest::rstest;

#[rstest]
#[case::as_reported(98.0, Some(99.0), 98.0)]
#[case::an_hour_early_by_a_wrong_clock(-3500.0, Some(99.0), 93.0)]
#[case::an_hour_late_by_a_wrong_clock(3700.0, Some(99.0), 100.0)]
#[case::during_an_outage_of_discovery(60.0, Some(50.0), 60.0)]
#[case::before_the_first_list(-3500.0, None, -3500.0)]
fn a_reported_start_is_bounded_by_observations(
    #[case] reported_s: f64,
    #[case] last_list_at_s: Option<f64>,
    #[case] expected_s: f64,
) {
    assert_eq!(estimated_process_start_s(reported_s, 100.0, last_list_at_s), expected_s);
}
