//! Determines which settings differ between two versions, and which of the changed settings a running router
//! can apply.

use serde_json::Value;

/// The keys whose values differ between two versions of the settings. Only keys that routers with network
/// connections read are compared; `1` and `1.0` are equal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangedKeys {
    /// Changed keys that a running router applies without a restart.
    pub live: Vec<&'static str>,
    /// Changed keys that the router applies only after a restart.
    pub restart: Vec<&'static str>,
}

/// Keys whose changes a router applies only after a restart:
/// - `Cells` (number of replica groups), `Reach` (replica groups per shard) and `Slices` (number of shards)
///   determine which replica group holds a shard. A change of settings moves no data, and routers would
///   disagree until all of them have applied the change.
/// - `ClassFetch` is the number of shard requests of a query's second phase; open queries would get another
///   second phase than the one with which they arrived.
/// - `Discovery` determines how the router receives changes of the endpoint list.
/// - `MaxOpen` is the size of tables that all cores allocate together at the start.
const RESTART_KEYS: [&str; 6] =
    ["Extra.Cells", "Extra.Reach", "Extra.Slices", "Extra.ClassFetch", "Discovery", "Limits.MaxOpen"];

/// Keys whose changes a running router applies without a restart.
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
