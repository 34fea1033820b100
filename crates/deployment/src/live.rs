//! Settings as one whole, before anything is made of them, and which of them may be taken over by a running router.
use super::*;

/// All that settings say to a router on sockets.
#[derive(Clone, Debug)]
pub struct Settings {
    pub terms: PolicyConfig,
    /// The verticals' names, in the order of `terms`.
    pub names: Vec<String>,
    pub trunk: ConnectionConfig,
    pub intake: AdmissionConfig,
}

/// By the checks of a start.
pub fn settings(all: &Value) -> Read<Settings> {
    let (terms, names) = terms(all)?;
    let (trunk, intake) = sockets(all)?;
    Ok(Settings { terms, names, trunk, intake })
}

/// What one set of settings says otherwise than another, by its keys. Keys that no router on sockets reads count for
/// nothing, nor does how a number is written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// May be taken over between two rounds.
    pub live: Vec<&'static str>,
    /// Hold from the start to the end.
    pub fixed: Vec<&'static str>,
}

/// `Cells`, `Reach` and `Slices` say where data lies: nobody moves it with a change of settings, parts on their way were
/// sent by them, and of many routers some would look elsewhere than others (layouts are for that). `ClassFetch` would make
/// a second step of queries that are open. `Discovery` says how discovery's watch is opened: the one that is open was
/// opened by it. `MaxOpen` is what the room and the table of ids, which all cores share, are made for at the start.
const FIXED: [&str; 6] =
    ["Extra.Cells", "Extra.Reach", "Extra.Slices", "Extra.ClassFetch", "Discovery", "Limits.MaxOpen"];

const LIVE: [&str; 23] = [
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

/// What a change from settings that hold to others would change; both have passed `settings`.
pub fn changes(held: &Value, new: &Value) -> Changes {
    let differs = |key: &&'static str| !same(at(held, key), at(new, key));
    let of = |keys: &[&'static str]| keys.iter().copied().filter(differs).collect();
    Changes { live: of(&LIVE), fixed: of(&FIXED) }
}

fn at<'a>(all: &'a Value, key: &str) -> Option<&'a Value> {
    key.split('.').try_fold(all, |from, key| from.get(key)).filter(|value| !value.is_null())
}

fn same(one: Option<&Value>, other: Option<&Value>) -> bool {
    match (one, other) {
        (Some(Value::Number(one)), Some(Value::Number(other))) => one.as_f64() == other.as_f64(),
        (Some(Value::Array(one)), Some(Value::Array(other))) => {
            one.len() == other.len() && one.iter().zip(other).all(|(a, b)| same(Some(a), Some(b)))
        }
        (Some(Value::Object(one)), Some(Value::Object(other))) => {
            one.keys().chain(other.keys()).all(|key| same(one.get(key), other.get(key)))
        }
        (one, other) => one == other,
    }
}
