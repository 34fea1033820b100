//! Which settings differ between two versions, and which of those a running router can apply.

use serde_json::Value;

/// The keys whose values differ between two versions of the settings. Keys that routers on sockets do not read are left
/// out, and `1` and `1.0` are the same number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangedKeys {
    /// Keys that a running router applies between two rounds.
    pub live: Vec<&'static str>,
    /// Keys that need a restart.
    pub restart: Vec<&'static str>,
}

/// `Cells`, `Reach` and `Slices` determine which replica group holds a shard; a change of settings moves no data, and
/// the routers would disagree until all have applied it. `ClassFetch` would change the phases of open queries.
/// `Discovery` determines how the endpoint list is watched. `MaxOpen` is the size of tables that all cores share from
/// the start.
const RESTART_KEYS: [&str; 6] =
    ["Extra.Cells", "Extra.Reach", "Extra.Slices", "Extra.ClassFetch", "Discovery", "Limits.MaxOpen"];

const LIVE_KEYS: [&str; 23] = [
    "Services",
    "Tenants",
    "OverShareWorth",
    "ReplicasOfMe",
    "TickUs",
    "Extra.ClassNeed",
    "Extra.FloorByClass",
    "Extra.BundleMax",
    "Extra.PerCallWorkUs",
    "Limits.MayCancel",
    "Limits.ParallelTries",
    "Limits.MaxAttempts",
    "Limits.StreamsPerConn",
    "Limits.DialTimeoutUs",
    "Limits.KeepaliveUs",
    "Limits.RetryAfter",
    "Limits.MaxRetryAfterUs",
    "Obligations.ColdFrom",
    "Obligations.WarmUpUs",
    "Obligations.FallMultiple",
    "Obligations.FallUs",
    "Obligations.ResendRatio",
    "Obligations.ExtraFree",
];

/// The keys whose values differ between `active` and `new`, both accepted by [`crate::Settings::read`].
pub fn changes(active: &Value, new: &Value) -> ChangedKeys {
    let differs = |key: &&'static str| !is_same(value_at(active, key), value_at(new, key));
    let differing = |keys: &[&'static str]| keys.iter().copied().filter(differs).collect();
    ChangedKeys { live: differing(&LIVE_KEYS), restart: differing(&RESTART_KEYS) }
}

/// The value at a path of keys joined by dots.
fn value_at<'a>(settings: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(settings, |from, key| from.get(key)).filter(|value| !value.is_null())
}

fn is_same(one: Option<&Value>, other: Option<&Value>) -> bool {
    match (one, other) {
        (Some(Value::Number(one)), Some(Value::Number(other))) => one.as_f64() == other.as_f64(),
        (Some(Value::Array(one)), Some(Value::Array(other))) => {
            one.len() == other.len() && one.iter().zip(other).all(|(a, b)| is_same(Some(a), Some(b)))
        }
        (Some(Value::Object(one)), Some(Value::Object(other))) => {
            one.keys().chain(other.keys()).all(|key| is_same(one.get(key), other.get(key)))
        }
        (one, other) => one == other,
    }
}
