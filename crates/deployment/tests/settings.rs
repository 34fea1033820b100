//! How settings are read, and the errors for invalid settings.

use alderway::interface::Idempotency;
use alderway_deployment::{AdmissionConfig, ChangedKeys, ConnectionConfig, Settings, changes, parse};
use rstest::rstest;
use serde_json::{Value, json};

fn valid_settings() -> Value {
    json!({
        "Extra": {"Cells": 3, "Reach": 2, "Slices": 12, "ClassNeed": [0.9], "FloorByClass": [0.5]},
        "Limits": {"MayCancel": true, "ParallelTries": true, "MaxAttempts": 3, "StreamsPerConn": 8,
            "DialTimeoutUs": 200000, "KeepaliveUs": 5000000, "MaxOpen": 100},
        "Obligations": {"ResendRatio": 0.1, "ExtraFree": 10},
        "Services": [{"Name": "search", "PromiseUs": 1000000, "DeadlineUs": 4000000, "Effect": "deduplicated",
            "WindowUs": 500000, "Worth": 2, "LateShare": 0.3}],
        "Tenants": [{"Name": "t", "QuotaPerS": 5}],
        "Discovery": "subscribe",
        "ReplicasOfMe": 4,
        "TickUs": 1000,
    })
}

/// The valid settings, in which `value` replaces the value at the JSON pointer `path`.
fn settings_with(path: &str, value: Value) -> Value {
    let mut settings = valid_settings();
    *settings.pointer_mut(path).expect("a path of the valid settings") = value;
    settings
}

#[rstest]
fn settings_become_typed_values_in_seconds() {
    let settings = Settings::read(&valid_settings()).expect("valid");
    assert_eq!(settings.class_names, ["search"]);
    let class = &settings.policy.query_classes[0];
    assert_eq!((class.latency_objective_s, class.deadline_s), (1.0, 4.0));
    assert_eq!(class.idempotency, Idempotency::IdempotentWithKey { window_s: 0.5 });
    assert_eq!((class.complete_fraction, class.minimum_fraction), (0.9, 0.5));
    assert_eq!(settings.policy.tenants[0].quota_per_s, 5.0);
    let budget = settings.policy.retry_budget.expect("a retry budget");
    assert_eq!((budget.burst, budget.ratio), (10.0, 0.1));
    let connections = ConnectionConfig {
        streams_per_connection: 8,
        max_batch: 1,
        dial_timeout_s: 0.2,
        idle_timeout_s: 5.0,
    };
    assert_eq!(settings.connections, connections);
    let admission = AdmissionConfig {
        max_open: 100,
        shard_count: 12,
        min_round_interval_s: 0.001,
        max_latency_objective_s: 1.0,
        max_deadline_s: 4.0,
        polls_endpoints: true,
    };
    assert_eq!(settings.admission, admission);
}

#[rstest]
#[case::missing("/Limits", json!(null), "setting `Limits`, which is absent")]
#[case::not_a_number("/Services/0/Worth", json!("high"), "a number in setting `Worth`")]
#[case::not_a_whole_number("/Limits/MaxAttempts", json!(1.5), "a whole number in setting `MaxAttempts`, found `1.5`")]
#[case::not_positive("/Extra/Cells", json!(0), "more than 0 in setting `Cells`, found `0`")]
#[case::zero_interval("/TickUs", json!(0), "more than 0 in setting `TickUs`, found `0`")]
#[case::not_a_boolean("/Limits/MayCancel", json!(1), "true or false in setting `MayCancel`, found `1`")]
#[case::not_text("/Discovery", json!(7), "a string in setting `Discovery`, found `7`")]
#[case::not_a_list("/Services", json!({}), "a list in setting `Services`, found `{}`")]
#[case::no_number_for_a_class("/Extra/ClassNeed", json!([]), "a number for each query class in setting `ClassNeed`, found none for the class with index 0")]
#[case::unknown_effect("/Services/0/Effect", json!("none"), "`idempotent`, `deduplicated` or `at_most_once` in setting `Effect`, found `none`")]
#[case::no_class("/Services", json!([]), "at least one query class in setting `Services`, found an empty list")]
fn the_error_names_the_key(#[case] path: &str, #[case] value: Value, #[case] expected: &str) {
    let error = Settings::read(&settings_with(path, value)).expect_err("invalid");
    assert_eq!(error.to_string(), expected);
}

#[rstest]
fn a_query_class_with_a_second_phase_is_an_error() {
    let mut settings = valid_settings();
    settings["Extra"]["ClassFetch"] = json!([2]);
    let error = Settings::read(&settings).expect_err("a second phase");
    assert_eq!(
        error.to_string(),
        "0 in setting `ClassFetch`, found `2`: only the simulator supports a second phase of shard requests"
    );
}

#[rstest]
fn settings_that_are_not_json_are_an_error() {
    let error = parse("{").expect_err("not JSON");
    assert!(
        error
            .to_string()
            .starts_with("settings in JSON, found text that cannot be parsed (EOF while parsing"),
        "{error}"
    );
}

#[rstest]
#[case::live("/Limits/MaxAttempts", json!(5), &["Limits.MaxAttempts"], &[])]
#[case::restart("/Extra/Slices", json!(24), &[], &["Extra.Slices"])]
#[case::same_number_in_another_notation("/TickUs", json!(1000.0), &[], &[])]
fn changed_keys_are_listed(
    #[case] path: &str,
    #[case] value: Value,
    #[case] live: &[&'static str],
    #[case] restart: &[&'static str],
) {
    let expected = ChangedKeys { live: live.to_vec(), restart: restart.to_vec() };
    assert_eq!(changes(&valid_settings(), &settings_with(path, value)), expected);
}
