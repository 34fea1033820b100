//! Reads single values of the settings. Each function returns [`SettingsError`] for a key that is absent or of another
//! type.

use crate::SettingsError;
use serde_json::Value;

type Result<T> = std::result::Result<T, SettingsError>;

/// Whole numbers are below this.
const WHOLE_NUMBER_LIMIT: f64 = 4e9;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

pub fn item<'a>(from: &'a Value, key: &'static str) -> Result<&'a Value> {
    from.get(key).filter(|value| !value.is_null()).ok_or(SettingsError::Missing(key))
}

pub fn number(from: &Value, key: &'static str) -> Result<f64> {
    item(from, key)?.as_f64().ok_or(SettingsError::NotANumber(key))
}

/// A span that is written in microseconds, in seconds.
pub fn seconds(from: &Value, key: &'static str) -> Result<f64> {
    Ok(number(from, key)? / MICROSECONDS_PER_SECOND)
}

pub fn whole(from: &Value, key: &'static str) -> Result<usize> {
    let value = number(from, key)?;
    if value >= 0.0 && value.fract() == 0.0 && value < WHOLE_NUMBER_LIMIT {
        Ok(value as usize)
    } else {
        Err(SettingsError::NotAWholeNumber(key))
    }
}

pub fn positive_whole(from: &Value, key: &'static str) -> Result<usize> {
    let value = whole(from, key)?;
    if value > 0 { Ok(value) } else { Err(SettingsError::NotPositive(key)) }
}

/// A span of more than 0 seconds, written in microseconds.
pub fn positive_seconds(from: &Value, key: &'static str) -> Result<f64> {
    let value_s = seconds(from, key)?;
    if value_s > 0.0 { Ok(value_s) } else { Err(SettingsError::NotPositive(key)) }
}

/// A value that may be absent; one that is there has to be readable.
pub fn or_default<T>(
    default: T,
    from: &Value,
    key: &'static str,
    read: impl FnOnce(&Value, &'static str) -> Result<T>,
) -> Result<T> {
    if from.get(key).is_none_or(Value::is_null) { Ok(default) } else { read(from, key) }
}

pub fn boolean(from: &Value, key: &'static str) -> Result<bool> {
    item(from, key)?.as_bool().ok_or(SettingsError::NotABoolean(key))
}

pub fn text<'a>(from: &'a Value, key: &'static str) -> Result<&'a str> {
    item(from, key)?.as_str().ok_or(SettingsError::NotText(key))
}

pub fn list<'a>(from: &'a Value, key: &'static str) -> Result<&'a Vec<Value>> {
    item(from, key)?.as_array().ok_or(SettingsError::NotAList(key))
}

/// The number of one query class in a list with a number for each; `default` where the list is absent.
pub fn number_of_class(from: &Value, key: &'static str, class: usize, default: f64) -> Result<f64> {
    if from.get(key).is_none() {
        return Ok(default);
    }
    let number = list(from, key)?.get(class).and_then(Value::as_f64);
    number.ok_or(SettingsError::NotANumberPerClass(key))
}
