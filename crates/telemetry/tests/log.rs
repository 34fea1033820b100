//! Lines of the log: how they are written, and what a flood of them comes to.
use alderway_telemetry::log::{LogFormat, LogRateLimiter, LogRecord, MAX_LINE_BYTES};
use rstest::rstest;

fn record(text: &str) -> LogRecord<'_> {
    LogRecord { at_s: 1.5, level: "WARN", target: "frame", core: None, text, dropped_before: 0 }
}

#[rstest]
fn a_flood_of_one_target_is_limited_and_counted() {
    let mut limiter = LogRateLimiter::default();
    let written = (0..100).filter(|_| limiter.admit("frame", 1.0).is_some()).count();
    assert_eq!((written, limiter.admit("other", 1.0)), (20, Some(0)));
    assert_eq!((limiter.admit("frame", 1.5), limiter.admit("frame", 1.5)), (Some(80), None));
}

#[rstest]
fn lines_that_could_not_be_written_are_counted_with_the_next_one() {
    let mut limiter = LogRateLimiter::default();
    assert_eq!(limiter.admit("frame", 1.0), Some(0));
    limiter.add_dropped("frame", 1);
    assert_eq!((limiter.admit("frame", 1.0), limiter.admit("frame", 1.0)), (Some(1), Some(0)));
}

#[rstest]
#[case::plain(record("a line"), "1.500 WARN frame: a line")]
#[case::of_a_core(LogRecord { core: Some(2), ..record("a line") }, "1.500 WARN frame: core 2: a line")]
#[case::after_dropped_ones(
    LogRecord { dropped_before: 7, ..record("a line") },
    "1.500 WARN frame: a line (7 more left out)"
)]
fn a_line_of_text_has_time_level_target_and_message(#[case] record: LogRecord, #[case] line: &str) {
    assert_eq!(LogFormat::Text.line(&record), line);
}

#[rstest]
fn a_line_in_json_holds_what_there_is() {
    let line = LogFormat::Json.line(&record("a line"));
    let expected = serde_json::json!({"at": 1.5, "level": "WARN", "kind": "frame", "text": "a line"});
    assert_eq!(serde_json::from_str::<serde_json::Value>(&line).expect("an object"), expected);
}

#[rstest]
fn a_line_in_json_stays_an_object_however_long_its_text_is() {
    let text = "\"quoted\" \u{e9}".repeat(400);
    let line = LogFormat::Json.line(&LogRecord { core: Some(2), dropped_before: 7, ..record(&text) });
    let object: serde_json::Value = serde_json::from_str(&line).expect("an object");
    assert!(line.len() < MAX_LINE_BYTES && line.len() > MAX_LINE_BYTES - 20, "{}", line.len());
    assert_eq!((&object["core"], &object["left_out"], &object["at"]), (&2.into(), &7.into(), &1.5.into()));
}
