//! The clock of the process: monotonic seconds, and Unix times on them.
use alderway_telemetry::clock::Clock;
use rstest::rstest;

#[rstest]
fn it_counts_seconds_from_its_creation_and_never_goes_back() {
    let clock = Clock::default();
    let (first, second) = (clock.now(), clock.now());
    assert!(0.0 <= first && first <= second, "{first} {second}");
}

#[rstest]
fn unix_times_are_told_on_the_clock() {
    let clock = Clock::default();
    assert_eq!(clock.from_unix_ms(0), None);
    let now_unix_ms = (clock.unix_now() * 1e3) as u64;
    let now = clock.from_unix_ms(now_unix_ms).expect("a time");
    assert!((now - clock.now()).abs() < 5.0, "{now}");
    let minute_earlier = clock.from_unix_ms(now_unix_ms - 60_000).expect("a time");
    assert!((now - minute_earlier - 60.0).abs() < 1e-6);
}

#[rstest]
fn times_of_the_clock_are_instants_of_the_system() {
    let clock = Clock::default();
    assert_eq!((clock.instant(2.5) - clock.instant(0.0)).as_secs_f64(), 2.5);
    assert_eq!(clock.instant(-1.0), clock.instant(0.0));
    assert!(clock.instant(f64::INFINITY) > clock.instant(1e6));
}

/// Guards against a panic by a time that another process sent.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(f64::NEG_INFINITY)]
fn a_time_that_is_no_finite_number_has_an_instant(#[case] at: f64) {
    let clock = Clock::default();
    assert!(clock.instant(at) >= clock.instant(0.0));
}
