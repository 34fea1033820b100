//! The checks of settings that the admin endpoint makes, and `alderway config check` here: those of a router's start.
use alderway_control_plane::content::{MAX_SETTINGS_BYTES, canonical_json};
use alderway_control_server::InvalidSettings;
use serde_json::Value;
use thiserror::Error;

/// A file that holds no settings.
#[derive(Debug, Error)]
pub enum MalformedSettings {
    #[error("{file}:{line}: not JSON ({source})", line = source.line())]
    NotJson { file: String, source: serde_json::Error },
    #[error("{file}: expected an object")]
    NotAnObject { file: String },
}

/// Whether a router would start with these settings, and could apply them while it serves by the earlier ones.
pub fn check(settings: &Value, earlier: Option<&Value>) -> Result<(), InvalidSettings> {
    let length = canonical_json(settings).len();
    if length > MAX_SETTINGS_BYTES {
        return Err(InvalidSettings(format!(
            "settings are larger than routers are told: {length} bytes of {MAX_SETTINGS_BYTES} at most"
        )));
    }
    let checked = alderway_router::lifecycle::live_config::check(settings, earlier);
    checked.map(drop).map_err(|reason| InvalidSettings(reason.to_string()))
}

/// Settings as a file gives them: by themselves, or as the key `settings` of a router's configuration.
pub fn read(file: &str, text: &str) -> Result<Value, MalformedSettings> {
    let all: Value = serde_json::from_str(text)
        .map_err(|source| MalformedSettings::NotJson { file: file.into(), source })?;
    match all.get("settings") {
        Some(settings) => Ok(settings.clone()),
        None if all.is_object() => Ok(all),
        None => Err(MalformedSettings::NotAnObject { file: file.into() }),
    }
}

/// A reason with the file and the line of the key that it names, where the text has that key.
pub fn located(file: &str, text: &str, reason: &str) -> String {
    match line_of_named_key(text, reason) {
        Some(line) => format!("{file}:{line}: {reason}"),
        None => format!("{file}: {reason}"),
    }
}

/// The first line that has a key which the reason names, counted from 1.
fn line_of_named_key(text: &str, reason: &str) -> Option<usize> {
    let line_of = |key: &&str| {
        let quoted = format!("\"{key}\"");
        text.lines().position(|line| line.contains(&quoted))
    };
    // Keys stand in backquotes, as paths, the innermost last; every path starts at `settings`.
    let paths = reason.split('`').skip(1).step_by(2);
    let keys: Vec<&str> = paths
        .flat_map(|path| path.split(['.', '[', ']']))
        .filter(|key| !key.is_empty() && *key != "settings")
        .collect();
    // Some reasons name a key as a plain word; short words are words of the sentence.
    let words = reason.split(|c: char| !(c.is_alphanumeric() || c == '_' || c == '-'));
    let mut words = words.filter(|word| word.len() > 3 && *word != "settings");
    let found = keys.iter().rev().find_map(line_of).or_else(|| words.find_map(|word| line_of(&word)));
    found.map(|line| line + 1)
}
