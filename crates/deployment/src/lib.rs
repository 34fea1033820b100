//! The one place where a deployment's settings become trade types: those that the decision module is started
//! with, and those that the router on sockets needs for its connections and its room. Both hosts use it.
use alderway::choice::Router;
use alderway::host::*;
use serde_json::Value;

pub mod live;

/// What a reading gives, or the setting that is lacking or at fault.
pub type Read<T> = Result<T, String>;

fn item<'a>(from: &'a Value, key: &str) -> Read<&'a Value> {
    from.get(key).filter(|v| !v.is_null()).ok_or_else(|| format!("a setting `{key}`"))
}

fn number(from: &Value, key: &str) -> Read<f64> {
    item(from, key)?.as_f64().ok_or_else(|| format!("a number in setting `{key}`"))
}

fn seconds(from: &Value, key: &str) -> Read<f64> {
    Ok(number(from, key)? / 1e6)
}

fn whole(from: &Value, key: &str) -> Read<usize> {
    let value = number(from, key)?;
    if value >= 0.0 && value.fract() == 0.0 && value < 4e9 {
        Ok(value as usize)
    } else {
        Err(format!("a whole number in setting `{key}`"))
    }
}

fn above_zero(from: &Value, key: &str) -> Read<usize> {
    let value = whole(from, key)?;
    if value > 0 { Ok(value) } else { Err(format!("more than 0 in setting `{key}`")) }
}

/// A span of time that must not be 0.
fn span(from: &Value, key: &str) -> Read<f64> {
    let value = seconds(from, key)?;
    if value > 0.0 { Ok(value) } else { Err(format!("more than 0 in setting `{key}`")) }
}

/// A setting that may be absent; one that is there must be readable.
fn or<T>(usual: T, from: &Value, key: &str, read: impl FnOnce(&Value, &str) -> Read<T>) -> Read<T> {
    if from.get(key).is_none_or(Value::is_null) { Ok(usual) } else { read(from, key) }
}

fn flag(from: &Value, key: &str) -> Read<bool> {
    item(from, key)?.as_bool().ok_or_else(|| format!("true or false in setting `{key}`"))
}

fn word<'a>(from: &'a Value, key: &str) -> Read<&'a str> {
    item(from, key)?.as_str().ok_or_else(|| format!("text in setting `{key}`"))
}

fn list<'a>(from: &'a Value, key: &str) -> Read<&'a Vec<Value>> {
    item(from, key)?.as_array().ok_or_else(|| format!("a list in setting `{key}`"))
}

/// One figure of a list that has an entry for each vertical; `usual` where the list is absent.
fn of_each(from: &Value, key: &str, at: usize, usual: f64) -> Read<f64> {
    if from.get(key).is_none() {
        return Ok(usual);
    }
    let entry = list(from, key)?.get(at).and_then(Value::as_f64);
    entry.ok_or_else(|| format!("a number for each vertical in setting `{key}`"))
}

pub fn parse(text: &str) -> Read<Value> {
    serde_json::from_str(text).map_err(|why| format!("settings in JSON ({why})"))
}

/// Whether query routers may send each other messages.
pub fn peers(all: &Value) -> Read<bool> {
    or(false, item(all, "Limits")?, "Peers", flag)
}

/// A query router as its settings describe it, with the names of its verticals in their order.
pub fn router(seed: u64, all: &Value) -> Read<(Router, Vec<String>)> {
    let (terms, names) = terms(all)?;
    Ok((Router::new(seed, terms), names))
}

/// What a decision module is started with, or goes by from here on, with the names of its verticals in their order.
pub fn terms(all: &Value) -> Read<(Terms, Vec<String>)> {
    let (extra, limits, rules) = (item(all, "Extra")?, item(all, "Limits")?, item(all, "Obligations")?);
    let mut names = Vec::new();
    let mut verticals = Vec::new();
    for (at, service) in list(all, "Services")?.iter().enumerate() {
        names.push(word(service, "Name")?.to_string());
        verticals.push(Vertical {
            slo: seconds(service, "PromiseUs")?,
            deadline: seconds(service, "DeadlineUs")?,
            effect: effect(service)?,
            utility: number(service, "Worth")?,
            late_share: number(service, "LateShare")?,
            need: of_each(extra, "ClassNeed", at, 1.0)?,
            floor: of_each(extra, "FloorByClass", at, 1.0)?,
            fetch: of_each(extra, "ClassFetch", at, 0.0)? as usize,
        });
    }
    let customer =
        |t: &Value| Ok(Customer { name: word(t, "Name")?.to_string(), quota: number(t, "QuotaPerS")? });
    let customers = match all.get("Tenants") {
        None | Some(Value::Null) => vec![],
        Some(_) => list(all, "Tenants")?.iter().map(customer).collect::<Read<Vec<_>>>()?,
    };
    let placement = Placement {
        cells: above_zero(extra, "Cells")? as u32,
        reach: above_zero(extra, "Reach")? as u32,
        bundle: or(1, extra, "BundleMax", above_zero)?,
        call_work: or(0.0, extra, "PerCallWorkUs", seconds)?,
        listed: None,
    };
    let advice = or(false, limits, "RetryAfter", flag)?;
    let allowance = Allowance {
        cancel: flag(limits, "MayCancel")?,
        parallel: flag(limits, "ParallelTries")?,
        calls: whole(limits, "MaxAttempts")?,
        come_back: if advice { Some(seconds(limits, "MaxRetryAfterUs")?) } else { None },
        follow: word(all, "Discovery")? == "subscribe",
        over_share: or(1.0, all, "OverShareWorth", number)?,
    };
    let budget = match rules.get("ResendRatio") {
        None => None,
        Some(_) => Some(Budget { free: number(rules, "ExtraFree")?, ratio: number(rules, "ResendRatio")? }),
    };
    let cold = match rules.get("ColdFrom") {
        None => None,
        Some(_) => Some(ColdRule {
            share: number(rules, "ColdFrom")?,
            warm_up: seconds(rules, "WarmUpUs")?,
            multiple: number(rules, "FallMultiple")?,
            span: seconds(rules, "FallUs")?,
        }),
    };
    let peers = whole(all, "ReplicasOfMe")?;
    Ok((Terms { peers, verticals, customers, placement, allowance, budget, cold }, names))
}

/// What connections to data nodes keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trunk {
    /// Parts that one connection carries at once, and most parts in one call.
    pub places: usize,
    pub bundle: usize,
    /// Seconds after which a dial has failed, and after which a data node closes an idle connection.
    pub dial: f64,
    pub idle: f64,
}

/// What a router on sockets takes in and how it paces its rounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Intake {
    /// Queries and parts held at once.
    pub room: usize,
    /// Shards are numbered from 0 to below this.
    pub shards: u32,
    /// Least seconds between two rounds.
    pub tick: f64,
    /// The longest SLO time and the longest deadline of any vertical, in seconds.
    pub slo: f64,
    pub deadline: f64,
    /// Roster changes come only when the module asks to follow them.
    pub follow: bool,
}

fn effect(service: &Value) -> Read<Effect> {
    match word(service, "Effect")? {
        "idempotent" => Ok(Effect::Repeatable),
        "deduplicated" => Ok(Effect::Deduplicated { window: seconds(service, "WindowUs")? }),
        "at_most_once" => Ok(Effect::SideEffecting),
        _ => Err("a known effect in setting `Effect`".into()),
    }
}

/// The connections and the intake of a router on sockets.
pub fn sockets(all: &Value) -> Read<(Trunk, Intake)> {
    let (extra, limits) = (item(all, "Extra")?, item(all, "Limits")?);
    let trunk = Trunk {
        places: above_zero(limits, "StreamsPerConn")?,
        bundle: or(1, extra, "BundleMax", above_zero)?,
        dial: span(limits, "DialTimeoutUs")?,
        idle: span(limits, "KeepaliveUs")?,
    };
    let (mut slo, mut deadline) = (0.0f64, 0.0f64);
    for (at, service) in list(all, "Services")?.iter().enumerate() {
        slo = slo.max(span(service, "PromiseUs")?);
        deadline = deadline.max(span(service, "DeadlineUs")?);
        if of_each(extra, "ClassFetch", at, 0.0)? > 0.0 {
            return Err("only queries of one step on sockets, 0 in setting `ClassFetch`".into());
        }
    }
    if deadline == 0.0 {
        return Err("at least one vertical in setting `Services`".into());
    }
    let intake = Intake {
        room: above_zero(limits, "MaxOpen")?,
        shards: above_zero(extra, "Slices")? as u32,
        tick: span(all, "TickUs")?,
        slo,
        deadline,
        follow: word(all, "Discovery")? == "subscribe",
    };
    Ok((trunk, intake))
}
