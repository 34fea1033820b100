//! What tests of the control server share.
#![allow(dead_code)]
use std::fs;
use std::path::{Path, PathBuf};

/// A folder for a test's files, removed when it is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("alderway-server-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        TempFolder(path)
    }

    /// A folder with a copy of the reference log.
    pub fn with_reference_log(name: &str) -> TempFolder {
        let folder = TempFolder::new(name);
        let reference = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/control-log.redb");
        fs::copy(reference, folder.0.join("log.redb")).expect("copied");
        folder
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
