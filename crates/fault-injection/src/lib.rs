//! Fault plans for processes under test: which system calls fail, how often and when.
//!
//! The library of `alderway-fault-preload` is preloaded (`LD_PRELOAD`) into a process that a test starts; it reads its
//! plan from the environment variable [`VARIABLE`] and replaces a few functions of the C library in that process alone.
//! A package whose tests use it names `alderway-fault-preload` as a dependency, so that it is built first.

mod plan;

pub use plan::{Fault, Kind, Plan};

use std::path::PathBuf;
use std::process::Command;

/// The environment variable that holds the plan.
pub const VARIABLE: &str = "ALDERWAY_FAULTS";

/// How a line begins that tells of a `hold` that took longer than it should: from when until when, in seconds of the
/// monotonic clock, follow.
pub const HELD_IN_SEND: &str = "fault-preload: held in send";

const LIBRARY: &str = "libalderway_fault_preload.so";

/// Where the library lies: beside the running executable, or among its dependencies.
///
/// # Errors
/// Names the folder in which it was looked for.
pub fn library() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|why| why.to_string())?;
    let folder = own.parent().ok_or("no folder")?;
    let places = [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)];
    let found = places.into_iter().find(|path| path.exists());
    found.ok_or_else(|| format!("{LIBRARY} is not in {}", folder.display()))
}

/// Has a command play a plan once it is started.
///
/// # Errors
/// The library cannot be found.
pub fn inject(command: &mut Command, plan: &Plan) -> Result<(), String> {
    command.env("LD_PRELOAD", library()?).env(VARIABLE, plan.to_string());
    Ok(())
}
