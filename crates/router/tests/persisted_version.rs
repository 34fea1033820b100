//! Tests that the format of the file with the persisted version stays compatible: each reference file is
//! read, compared field by field, and written again to the same bytes.
use alderway_control_plane::subscriber::ConfigVersion;
use alderway_router::control::persisted_version::PersistedVersion;
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};

const SETTINGS: &str = r#"{"Limits":{"MaxOpen":107},"Verticals":[{"Name":"web","Slo":0.25}]}"#;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("alderway-persisted-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[rstest]
#[case("persisted-version", Some(1_700_000_000_007))]
#[case("persisted-version-of-unknown-age", None)]
fn a_reference_file_is_read_and_written_back_to_the_same_bytes(
    #[case] file: &str,
    #[case] confirmed_at_unix_ms: Option<u64>,
) {
    let reference = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(file);
    let persisted = PersistedVersion::load(&reference).expect("readable").expect("the file exists");
    let PersistedVersion {
        version: ConfigVersion { number, digest, text },
        confirmed_at_unix_ms: read_confirmed_at,
    } = persisted.clone();
    assert_eq!((number, digest, &*text), (7, 0x0000_0042_5779_502b, SETTINGS));
    assert_eq!(read_confirmed_at, confirmed_at_unix_ms);
    let folder = Folder::new(file);
    let copy = folder.0.join("version");
    persisted.store(&copy).expect("written");
    assert_eq!(fs::read(&copy).expect("read"), fs::read(&reference).expect("read"));
    assert_eq!(fs::read_dir(&folder.0).expect("a folder").count(), 1);
}

#[rstest]
fn the_file_is_a_header_line_and_the_settings() {
    let reference = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/persisted-version");
    let expected = format!("alderway-version 1 7 000000425779502b 1700000000007\n{SETTINGS}");
    assert_eq!(fs::read_to_string(reference).expect("read"), expected);
}
