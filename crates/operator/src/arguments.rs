//! Arguments of the calls in an operator's file, checked one by one.
use starlark::values::Value;
use starlark::values::dict::DictRef;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// A whole number from `least` to `most`.
///
/// # Errors
/// Names the subject, the argument and what was found.
pub fn integer(subject: &str, name: &str, value: Value, min: usize, max: usize) -> anyhow::Result<usize> {
    let given = value.unpack_i32().and_then(|v| usize::try_from(v).ok()).filter(|v| (min..=max).contains(v));
    given.ok_or_else(|| {
        anyhow::anyhow!(
            "`{subject}`: `{name}` is a whole number from {min} to {max}, found {}",
            value.to_repr()
        )
    })
}

/// Seconds from an argument in whole milliseconds, `default_ms` where it is not given.
///
/// # Errors
/// Names the subject, the argument and what was found.
pub fn seconds(
    subject: &str,
    name: &str,
    value: Option<Value>,
    default_ms: usize,
    bounds: RangeInclusive<usize>,
) -> anyhow::Result<f64> {
    let (min, max) = bounds.into_inner();
    let value = value.map_or(Ok(default_ms), |value| integer(subject, name, value, min, max))?;
    Ok(value as f64 / 1e3)
}

/// True or False.
///
/// # Errors
/// Names the subject, the argument and what was found.
pub fn flag(subject: &str, name: &str, value: Value) -> anyhow::Result<bool> {
    let given = value.unpack_bool();
    given.ok_or_else(|| anyhow::anyhow!("`{subject}`: `{name}` is True or False, found {}", value.to_repr()))
}

/// Names, each with its own address.
///
/// # Errors
/// Names the subject, the argument and what was found.
pub fn addresses(subject: &str, name: &str, value: Value) -> anyhow::Result<BTreeMap<String, SocketAddr>> {
    let invalid = || {
        let found = value.to_repr();
        anyhow::anyhow!("`{subject}`: `{name}` gives names, each with its address:port, found {found}")
    };
    let given = DictRef::from_value(value).ok_or_else(invalid)?;
    let entry = |(key, address): (Value, Value)| {
        let key = key.unpack_str().filter(|key| !key.is_empty() && key.len() <= 64)?;
        Some((key.to_string(), address.unpack_str()?.parse().ok()?))
    };
    let all =
        given.iter().map(entry).collect::<Option<BTreeMap<String, SocketAddr>>>().ok_or_else(invalid)?;
    let distinct: BTreeSet<&SocketAddr> = all.values().filter(|at| at.port() > 0).collect();
    if distinct.len() < all.values().filter(|at| at.port() > 0).count() {
        return Err(anyhow::anyhow!("`{subject}`: `{name}` gives one address twice"));
    }
    Ok(all)
}
