//! Functions that check and convert one argument of a section of an operator's file.
use starlark::values::Value;
use starlark::values::dict::DictRef;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Converts an argument that must be an integer from `min` to `max`.
///
/// # Errors
/// The error message contains the section, the argument and the rejected value.
pub fn integer(section: &str, name: &str, value: Value, min: usize, max: usize) -> anyhow::Result<usize> {
    let given = value.unpack_i32().and_then(|v| usize::try_from(v).ok()).filter(|v| (min..=max).contains(v));
    given.ok_or_else(|| {
        anyhow::anyhow!(
            "`{section}`: `{name}` must be a whole number from {min} to {max}, found {}",
            value.to_repr()
        )
    })
}

/// Converts an argument that must be an integer number of milliseconds within `bounds_ms` to seconds. If the
/// argument is missing, `default_ms` is converted.
///
/// # Errors
/// The error message contains the section, the argument and the rejected value.
pub fn milliseconds_as_seconds(
    section: &str,
    name: &str,
    value: Option<Value>,
    default_ms: usize,
    bounds_ms: RangeInclusive<usize>,
) -> anyhow::Result<f64> {
    let (min, max) = bounds_ms.into_inner();
    let value = value.map_or(Ok(default_ms), |value| integer(section, name, value, min, max))?;
    Ok(value as f64 / 1e3)
}

/// Converts an argument that must be True or False.
///
/// # Errors
/// The error message contains the section, the argument and the rejected value.
pub fn flag(section: &str, name: &str, value: Value) -> anyhow::Result<bool> {
    let given = value.unpack_bool();
    given.ok_or_else(|| {
        anyhow::anyhow!("`{section}`: `{name}` must be True or False, found {}", value.to_repr())
    })
}

/// Converts an argument that must be a dict from names to addresses. Two names must not have the same
/// address, unless its port is 0, which stands for any free port.
///
/// # Errors
/// The error message contains the section, the argument and the rejected value.
pub fn addresses(section: &str, name: &str, value: Value) -> anyhow::Result<BTreeMap<String, SocketAddr>> {
    let invalid = || {
        let found = value.to_repr();
        anyhow::anyhow!("`{section}`: `{name}` must map names to address:port, found {found}")
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
        return Err(anyhow::anyhow!("`{section}`: `{name}` contains a duplicate address"));
    }
    Ok(all)
}
