//! The committed versions: retention, and the names of changed keys.
use alderway_control_plane::version::Proposal;
use alderway_control_plane::version_log::{self, ProposalError, VersionLog, changed_keys};
use rstest::rstest;
use serde_json::{Value, json};

#[rstest]
#[case(json!({"a": 1, "b": 2}), json!({"a": 1, "b": 3, "c": 4}), &["b", "c"])]
#[case(
    json!({"Services": [{"Name": "x", "Worth": 1}, {"Name": "y"}]}),
    json!({"Services": [{"Name": "x", "Worth": 2}, {"Name": "z"}]}),
    &["Services.x.Worth", "Services.y", "Services.z"]
)]
#[case(json!({"Services": [{"Name": "x"}, {"Name": "y"}]}), json!({"Services": [{"Name": "y"}, {"Name": "x"}]}), &["Services"])]
#[case(json!({"Services": [1]}), json!({"Services": [2]}), &["Services"])]
#[case(json!(1), json!({}), &["all"])]
fn changed_keys_are_named(#[case] before: Value, #[case] after: Value, #[case] keys: &[&str]) {
    assert_eq!(changed_keys(&before, &after), keys);
}

#[test]
fn the_log_retains_the_newest_versions_and_drops_the_oldest() {
    let mut log = VersionLog::default();
    for n in 0..version_log::MAX_VERSIONS as u64 + 10 {
        let proposal = Proposal {
            id: format!("p{n}"),
            base: n,
            author: String::new(),
            reason: String::new(),
            at_unix_ms: n,
            settings: json!({"TickUs": n}),
        };
        assert_eq!(log.apply(proposal), Ok(n + 1));
    }
    assert_eq!(log.versions().len(), version_log::MAX_VERSIONS);
    assert!(log.get(10).is_none() && log.get(11).is_some_and(|version| version.number == 11));
    // A proposal whose id is no longer retained is rejected by its base.
    let old = Proposal {
        id: "p0".into(),
        base: 0,
        author: String::new(),
        reason: String::new(),
        at_unix_ms: 0,
        settings: json!({"TickUs": 0}),
    };
    let number = log.latest_number();
    assert!(
        matches!(log.apply(old), Err(ProposalError::WouldUndo { undone, .. }) if undone.len() == version_log::MAX_UNDONE_VERSIONS)
    );
    assert_eq!(log.latest_number(), number);
    assert_eq!(VersionLog::from_versions(log.versions().clone()), log);
}
