//! Checks settings as a router does at its start, for the admin endpoint of control servers and for `alderway config check`.
use alderway_control_plane::content::{MAX_SETTINGS_BYTES, canonical_json};
use alderway_control_server::InvalidSettings;
use serde_json::Value;
use thiserror::Error;

/// Why a file contains no settings.
#[derive(Debug, Error)]
pub enum MalformedSettings {
    #[error("{file}:{line}: not JSON ({source})", line = source.line())]
    NotJson { file: String, source: serde_json::Error },
    #[error("{file}: expected an object")]
    NotAnObject { file: String },
}

/// Checks that a router would start with these settings, and that a router that runs with the earlier ones could apply them.
pub fn check(settings: &Value, earlier: Option<&Value>) -> Result<(), InvalidSettings> {
    let length = canonical_json(settings).len();
    if length > MAX_SETTINGS_BYTES {
        return Err(InvalidSettings(format!(
            "the settings are too large for routers: {length} bytes, at most {MAX_SETTINGS_BYTES} are allowed"
        )));
    }
    let checked = alderway_router::lifecycle::live_config::check(settings, earlier);
    checked.map(drop).map_err(|reason| InvalidSettings(reason.to_string()))
}

/// Reads the settings of a file, which contains either the settings alone or a router's configuration with the key
/// `settings`.
pub fn read(file: &str, text: &str) -> Result<Value, MalformedSettings> {
    let all: Value = serde_json::from_str(text)
        .map_err(|source| MalformedSettings::NotJson { file: file.into(), source })?;
    match all.get("settings") {
        Some(settings) => Ok(settings.clone()),
        None if all.is_object() => Ok(all),
        None => Err(MalformedSettings::NotAnObject { file: file.into() }),
    }
}

/// Prefixes a reason with the file, and with the line of the key that it names if the text contains that key.
pub fn located(file: &str, text: &str, reason: &str) -> String {
    match line_of_named_key(text, reason) {
        Some(line) => format!("{file}:{line}: {reason}"),
        None => format!("{file}: {reason}"),
    }
}

/// The number, from 1, of the first line with a key that the reason names.
fn line_of_named_key(text: &str, reason: &str) -> Option<usize> {
    let line_of = |key: &&str| {
        let quoted = format!("\"{key}\"");
        text.lines().position(|line| line.contains(&quoted))
    };
    // Keys are paths in backquotes with the innermost key last; every path starts at `settings`.
    let paths = reason.split('`').skip(1).step_by(2);
    let keys: Vec<&str> = paths
        .flat_map(|path| path.split(['.', '[', ']']))
        .filter(|key| !key.is_empty() && *key != "settings")
        .collect();
    // Some reasons contain a key without backquotes. Words of up to three letters are taken for words of the sentence.
    let words = reason.split(|c: char| !(c.is_alphanumeric() || c == '_' || c == '-'));
    let mut words = words.filter(|word| word.len() > 3 && *word != "settings");
    let found = keys.iter().rev().find_map(line_of).or_else(|| words.find_map(|word| line_of(&word)));
    found.map(|line| line + 1)
}
