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
pub fn whole(subject: &str, name: &str, value: Value, least: usize, most: usize) -> anyhow::Result<usize> {
    let given =
        value.unpack_i32().and_then(|v| usize::try_from(v).ok()).filter(|v| (least..=most).contains(v));
    given.ok_or_else(|| {
        anyhow::anyhow!(
            "`{subject}`: `{name}` is a whole number from {least} to {most}, found {}",
            value.to_repr()
        )
    })
}

/// Seconds from an argument in whole milliseconds, `usual` where it is not given.
///
/// # Errors
/// Names the subject, the argument and what was found.
pub fn seconds(
    subject: &str,
    name: &str,
    value: Option<Value>,
    usual: usize,
    bounds: RangeInclusive<usize>,
) -> anyhow::Result<f64> {
    let (least, most) = bounds.into_inner();
    let value = value.map_or(Ok(usual), |value| whole(subject, name, value, least, most))?;
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
pub fn addresses(subject: &str, what: &str, value: Value) -> anyhow::Result<BTreeMap<String, SocketAddr>> {
    let wrong = || {
        let found = value.to_repr();
        anyhow::anyhow!("`{subject}`: `{what}` gives names, each with its address:port, found {found}")
    };
    let given = DictRef::from_value(value).ok_or_else(wrong)?;
    let entry = |(name, at): (Value, Value)| {
        let name = name.unpack_str().filter(|name| !name.is_empty() && name.len() <= 64)?;
        Some((name.to_string(), at.unpack_str()?.parse().ok()?))
    };
    let all = given.iter().map(entry).collect::<Option<BTreeMap<String, SocketAddr>>>().ok_or_else(wrong)?;
    let apart: BTreeSet<&SocketAddr> = all.values().filter(|at| at.port() > 0).collect();
    if apart.len() < all.values().filter(|at| at.port() > 0).count() {
        return Err(anyhow::anyhow!("`{subject}`: `{what}` gives one address twice"));
    }
    Ok(all)
}
