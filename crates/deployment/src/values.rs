//! Reads single values of the settings. Each function returns a [`SettingsError`] if the key is absent or its
//! value has another type.

use crate::SettingsError;
use serde_json::Value;

type Result<T> = std::result::Result<T, SettingsError>;

/// Upper limit, exclusive, of a whole number in the settings.
const WHOLE_NUMBER_LIMIT: f64 = 4e9;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

pub fn required<'a>(from: &'a Value, key: &'static str) -> Result<&'a Value> {
    from.get(key).filter(|value| !value.is_null()).ok_or(SettingsError::Missing(key))
}

pub fn number(from: &Value, key: &'static str) -> Result<f64> {
    required(from, key)?.as_f64().ok_or(SettingsError::NotANumber(key))
}

/// Reads a duration in microseconds; returns it in seconds.
pub fn seconds(from: &Value, key: &'static str) -> Result<f64> {
    Ok(number(from, key)? / MICROSECONDS_PER_SECOND)
}

pub fn whole_number(from: &Value, key: &'static str) -> Result<usize> {
    let value = number(from, key)?;
    if value >= 0.0 && value.fract() == 0.0 && value < WHOLE_NUMBER_LIMIT {
        Ok(value as usize)
    } else {
        Err(SettingsError::NotAWholeNumber(key, value))
    }
}

pub fn positive_whole_number(from: &Value, key: &'static str) -> Result<usize> {
    let value = whole_number(from, key)?;
    if value > 0 { Ok(value) } else { Err(SettingsError::NotPositive(key, value as f64)) }
}

/// Reads a duration of more than 0 in microseconds; returns it in seconds.
pub fn positive_seconds(from: &Value, key: &'static str) -> Result<f64> {
    let value_s = seconds(from, key)?;
    if value_s > 0.0 { Ok(value_s) } else { Err(SettingsError::NotPositive(key, number(from, key)?)) }
}

/// Reads a value with `read`; returns `default` if the value is absent or null.
pub fn or_default<T>(
    default: T,
    from: &Value,
    key: &'static str,
    read: impl FnOnce(&Value, &'static str) -> Result<T>,
) -> Result<T> {
    if from.get(key).is_none_or(Value::is_null) { Ok(default) } else { read(from, key) }
}

pub fn boolean(from: &Value, key: &'static str) -> Result<bool> {
    let value = required(from, key)?;
    value.as_bool().ok_or_else(|| SettingsError::NotABoolean(key, value.clone()))
}

pub fn text<'a>(from: &'a Value, key: &'static str) -> Result<&'a str> {
    let value = required(from, key)?;
    value.as_str().ok_or_else(|| SettingsError::NotText(key, value.clone()))
}

pub fn list<'a>(from: &'a Value, key: &'static str) -> Result<&'a Vec<Value>> {
    let value = required(from, key)?;
    value.as_array().ok_or_else(|| SettingsError::NotAList(key, value.clone()))
}

/// Reads the number of the query class with index `class` from a list with one number for each query class.
/// Returns `default` if the list is absent.
pub fn number_for_class(from: &Value, key: &'static str, class: usize, default: f64) -> Result<f64> {
    if from.get(key).is_none() {
        return Ok(default);
    }
    let number = list(from, key)?.get(class).and_then(Value::as_f64);
    number.ok_or(SettingsError::NotANumberPerClass(key, class))
}
