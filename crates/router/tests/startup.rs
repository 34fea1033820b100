//! Tests of the configuration file at the start: which values are read from the file, and the messages for
//! invalid files.
mod common;
use alderway_router::lifecycle::startup::{Overrides, ProgramRole, StartupConfig, StartupError};
use alderway_telemetry::clock::Clock;
use rstest::rstest;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The content of a configuration file that has every key.
fn document() -> Value {
    let settings: Value = serde_json::from_str(&common::settings_json(1000, 180)).expect("settings");
    let known = format!(
        r#"{{"index":7,"snapshot":true,"endpoints":[{}]}}"#,
        common::endpoint_entry("s-1", ([127, 0, 0, 1], 9).into(), "SERVING")
    );
    json!({
        "name": "r1",
        "listen": "127.0.0.1:7001",
        "discovery": "127.0.0.1:7002",
        "seed": "1f",
        "limits": {"sockets": 256, "memory_mb": 64},
        "known": serde_json::from_str::<Value>(&known).expect("a list"),
        "settings": settings,
    })
}

/// A temporary configuration file, which is deleted when the value is dropped.
struct ConfigFile(PathBuf);

impl ConfigFile {
    fn new(text: &str) -> ConfigFile {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("startup-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("written");
        ConfigFile(path)
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn read(path: &Path) -> Result<StartupConfig, StartupError> {
    StartupConfig::read(path, Overrides::default(), Clock::default())
}

fn error_of(text: &str) -> String {
    let file = ConfigFile::new(text);
    read(&file.0).err().expect("rejected").to_string()
}

#[rstest]
fn every_key_is_read() {
    let file = ConfigFile::new(&document().to_string());
    let config = read(&file.0).expect("a valid file");
    assert_eq!((config.name.as_str(), config.path.as_path()), ("r1", file.0.as_path()));
    assert_eq!(
        (config.listen.to_string(), config.discovery.to_string()),
        ("127.0.0.1:7001".into(), "127.0.0.1:7002".into())
    );
    assert_eq!((config.max_descriptors, config.max_memory_bytes, config.seed), (256, 64 * 1024 * 1024, 0x1f));
    assert_eq!(config.endpoints.nodes.keys().cloned().collect::<Vec<_>>(), ["s-1"]);
    assert_eq!(config.settings_json, document()["settings"]);
    assert_eq!(config.settings.policy.router_count, 2);
    let classes: Vec<&str> = config.query_classes.iter().map(|class| class.name.as_str()).collect();
    assert_eq!(classes, ["site-search", "region-report"]);
    let fixed = document();
    assert_eq!(
        config.restart_only_keys,
        ["name", "listen", "limits", "settings"].map(|key| (key, fixed[key].clone()))
    );
    assert_eq!(config.role, ProgramRole::Router);
    assert!(config.operator_file_check.is_none() && config.shard_map.is_none() && config.gossip.is_none());
}

#[rstest]
fn limits_seed_and_known_data_nodes_have_defaults() {
    let mut document = document();
    for key in ["seed", "limits", "known"] {
        document.as_object_mut().expect("an object").remove(key);
    }
    let file = ConfigFile::new(&document.to_string());
    let config = read(&file.0).expect("a valid file");
    assert_eq!((config.max_descriptors, config.max_memory_bytes, config.seed), (1024, 192 * 1024 * 1024, 0));
    assert!(config.endpoints.nodes.is_empty());
}

#[rstest]
fn overrides_replace_the_settings_and_the_count_of_routers() {
    let file = ConfigFile::new(&document().to_string());
    let mut settings = document()["settings"].clone();
    settings["TickUs"] = json!(7000);
    let config = StartupConfig::read(
        &file.0,
        Overrides { router_count: Some(9), settings: Some(settings.clone()) },
        Clock::default(),
    )
    .expect("valid");
    assert_eq!((&config.settings_json, config.settings.policy.router_count), (&settings, 9));
    assert_eq!(config.settings.admission.min_round_interval_s, 0.007);
    // A reload compares the file with its earlier content, so the overrides are not included.
    assert_eq!(config.restart_only_keys[3], ("settings", document()["settings"].clone()));
}

#[rstest]
#[case::invalid_name("/name", json!(7), "configuration key `name`: expected text")]
#[case::invalid_address("/listen", json!("here"), "configuration key `listen`: expected address:port, found `here`")]
#[case::null_address("/discovery", json!(null), "configuration key `discovery`: expected text")]
#[case::too_few_descriptors("/limits/sockets", json!(19), "configuration key `limits.sockets`: expected a whole number of at least 20")]
#[case::invalid_memory("/limits/memory_mb", json!("64"), "configuration key `limits.memory_mb`: expected a whole number of at least 1")]
#[case::invalid_seed("/seed", json!("xyz"), "configuration key `seed`: expected up to 16 hex digits")]
#[case::invalid_settings(
    "/settings/TickUs",
    json!("soon"),
    "configuration key `settings`: expected a number in setting `TickUs`"
)]
fn an_error_names_the_invalid_key(#[case] path: &str, #[case] value: Value, #[case] message: &str) {
    let mut document = document();
    *document.pointer_mut(path).expect("a key") = value;
    assert_eq!(error_of(&document.to_string()), message);
}

#[rstest]
fn an_unreadable_list_of_known_data_nodes_is_named() {
    let mut document = document();
    document["known"] = json!({"index": "x"});
    let error = error_of(&document.to_string());
    assert!(error.starts_with("configuration key `known`: "), "{error}");
}

#[rstest]
fn a_file_that_is_no_configuration_is_rejected() {
    assert!(error_of("{").starts_with("the configuration file is not JSON ("));
    assert_eq!(error_of("{}"), "configuration key `settings`: missing");
    let missing = Path::new("/nowhere/at/all.json");
    let error = read(missing).err().expect("rejected").to_string();
    let expected = "cannot read the configuration file /nowhere/at/all.json of `PROXY_CONFIG`: ";
    assert!(error.starts_with(expected), "{error}");
}
