//! The checks of settings that a control machine makes at its door, and `alderway config check` here: a router's own.
use alderway_control_plane::content::{MAX_SETTINGS_BYTES, canonical_json};
use alderway_router::lifecycle::live_config::check as check_settings;
use serde_json::Value;

/// Whether a router would start by these settings, and could take them over while it serves by those in force before.
pub fn check(settings: &Value, before: Option<&Value>) -> Result<(), String> {
    let length = canonical_json(settings).len();
    if length > MAX_SETTINGS_BYTES {
        return Err(format!(
            "settings are larger than routers are told: {length} bytes of {MAX_SETTINGS_BYTES} at most"
        ));
    }
    check_settings(settings, before).map(drop).map_err(|error| error.to_string())
}

/// Settings as a file gives them: by themselves, or as the key `settings` of a router's configuration.
pub fn read(name: &str, text: &str) -> Result<Value, String> {
    let all: Value =
        serde_json::from_str(text).map_err(|why| format!("{name}:{}: not JSON ({why})", why.line()))?;
    match all.get("settings") {
        Some(settings) => Ok(settings.clone()),
        None if all.is_object() => Ok(all),
        None => Err(format!("{name}: expected an object")),
    }
}

/// A fault with the line of the key that it names, where the text has that.
pub fn located(name: &str, text: &str, why: &str) -> String {
    let named = |word: &&str| {
        let key = format!("\"{word}\"");
        text.lines().position(|line| line.contains(&key))
    };
    let words: Vec<&str> = why.split(|c: char| !(c.is_alphanumeric() || c == '_' || c == '-')).collect();
    // The innermost key comes last in a path; words of the sentence are no keys of the file.
    let path = why.split('`').skip(1).step_by(2).flat_map(|path| path.split(['.', '[', ']']));
    let path: Vec<&str> = path.filter(|word| !word.is_empty() && *word != "settings").collect();
    let found = path.iter().rev().find_map(named);
    let line = found.or_else(|| words.iter().filter(|w| w.len() > 3 && **w != "settings").find_map(named));
    match line {
        Some(line) => format!("{name}:{}: {why}", line + 1),
        None => format!("{name}: {why}"),
    }
}
