//! Checks settings as a router does at startup. Control servers (for proposals) and `alderway config` use
//! these checks.
use alderway_control_plane::content::{MAX_SETTINGS_BYTES, canonical_json};
use alderway_control_server::InvalidSettings;
use serde_json::Value;
use thiserror::Error;

/// The reason why the text of a settings file is malformed: not JSON, or not a JSON object.
#[derive(Debug, Error)]
pub enum MalformedSettings {
    #[error("{file}:{line}: not JSON ({source})", line = source.line())]
    NotJson { file: String, source: serde_json::Error },
    #[error("{file}: expected an object")]
    NotAnObject { file: String },
}

/// Checks that a router could start with `settings` and, if `current` is given, that a router that runs with
/// the settings `current` could switch to `settings` without a restart.
pub fn check(settings: &Value, current: Option<&Value>) -> Result<(), InvalidSettings> {
    let length = canonical_json(settings).len();
    if length > MAX_SETTINGS_BYTES {
        return Err(InvalidSettings(format!(
            "the settings are too large for routers: {length} bytes, at most {MAX_SETTINGS_BYTES} are allowed"
        )));
    }
    let checked = alderway_router::lifecycle::live_config::check(settings, current);
    checked.map(drop).map_err(|reason| InvalidSettings(reason.to_string()))
}

/// Parses `text`, the content of a file that contains either settings only, or the configuration of a router
/// with the settings under the key `settings`.
pub fn read(file: &str, text: &str) -> Result<Value, MalformedSettings> {
    let all: Value = serde_json::from_str(text)
        .map_err(|source| MalformedSettings::NotJson { file: file.into(), source })?;
    match all.get("settings") {
        Some(settings) => Ok(settings.clone()),
        None if all.is_object() => Ok(all),
        None => Err(MalformedSettings::NotAnObject { file: file.into() }),
    }
}

/// Prefixes `reason` with the file name. If `reason` names a key and `text`, the content of the file,
/// contains this key, also adds the line number of the key.
pub fn with_location(file: &str, text: &str, reason: &str) -> String {
    match line_of_named_key(text, reason) {
        Some(line) => format!("{file}:{line}: {reason}"),
        None => format!("{file}: {reason}"),
    }
}

/// The number, from 1, of the first line of `text` that contains a key that `reason` names. `None` if there
/// is no such line.
fn line_of_named_key(text: &str, reason: &str) -> Option<usize> {
    let line_of = |key: &&str| {
        let quoted = format!("\"{key}\"");
        text.lines().position(|line| line.contains(&quoted))
    };
    // A key is named by its path in backquotes, for example `settings.Limits.MaxOpen`. The last key of
    // the path is searched for first.
    let paths = reason.split('`').skip(1).step_by(2);
    let keys: Vec<&str> = paths
        .flat_map(|path| path.split(['.', '[', ']']))
        .filter(|key| !key.is_empty() && *key != "settings")
        .collect();
    // Some reasons name a key without backquotes, so each word of `reason` is searched for in `text`. Words
    // of up to three bytes are skipped because most of them are not keys, and `settings` is skipped as above.
    let words = reason.split(|c: char| !(c.is_alphanumeric() || c == '_' || c == '-'));
    let mut words = words.filter(|word| word.len() > 3 && *word != "settings");
    let found = keys.iter().rev().find_map(line_of).or_else(|| words.find_map(|word| line_of(&word)));
    found.map(|line| line + 1)
}
