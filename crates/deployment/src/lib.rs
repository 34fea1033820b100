//! The one place where a deployment's settings become trade types: those that the decision module is started
//! with, and those that the router on sockets needs for its connections and its room. Both hosts use it.
use alderway::choice::Router;
use alderway::host::*;
use serde_json::Value;

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

/// A query router as its settings describe it, with the names of its verticals in their order.
pub fn router(seed: u64, all: &Value) -> Read<(Router, Vec<String>)> {
    let (extra, limits, rules) = (item(all, "Extra")?, item(all, "Limits")?, item(all, "Obligations")?);
    let mut names = Vec::new();
    let mut verticals = Vec::new();
    for (at, service) in list(all, "Services")?.iter().enumerate() {
        names.push(word(service, "Name")?.to_string());
        verticals.push(Vertical {
            slo: seconds(service, "PromiseUs")?,
            deadline: seconds(service, "DeadlineUs")?,
            effect: match word(service, "Effect")? {
                "idempotent" => Effect::Repeatable,
                "deduplicated" => Effect::Deduplicated { window: seconds(service, "WindowUs")? },
                "at_most_once" => Effect::SideEffecting,
                _ => return Err("a known effect in setting `Effect`".into()),
            },
            utility: number(service, "Worth")?,
            late_share: number(service, "LateShare")?,
            need: of_each(extra, "ClassNeed", at, 1.0)?,
            floor: of_each(extra, "FloorByClass", at, 1.0)?,
            fetch: of_each(extra, "ClassFetch", at, 0.0)? as usize,
        });
    }
    let tenants = all.get("Tenants").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let customer =
        |t: &Value| Ok(Customer { name: word(t, "Name")?.to_string(), quota: number(t, "QuotaPerS")? });
    let customers = tenants.iter().map(customer).collect::<Read<Vec<_>>>()?;
    let cells = number(extra, "Cells")? as u32;
    let reach = number(extra, "Reach")? as u32;
    if cells == 0 || reach == 0 {
        return Err("`Cells` and `Reach` above 0".into());
    }
    let placement = Placement {
        cells,
        reach,
        bundle: number(extra, "BundleMax").unwrap_or(1.0).max(1.0) as usize,
        call_work: seconds(extra, "PerCallWorkUs").unwrap_or(0.0),
    };
    let advice = flag(limits, "RetryAfter").unwrap_or(false);
    let allowance = Allowance {
        cancel: flag(limits, "MayCancel")?,
        parallel: flag(limits, "ParallelTries")?,
        calls: number(limits, "MaxAttempts")? as usize,
        come_back: if advice { Some(seconds(limits, "MaxRetryAfterUs")?) } else { None },
        follow: word(all, "Discovery")? == "subscribe",
        over_share: number(all, "OverShareWorth").unwrap_or(1.0),
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
    let peers = number(all, "ReplicasOfMe")? as usize;
    Ok((Router::new(seed, peers, verticals, customers, placement, allowance, budget, cold), names))
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
    /// The longest deadline of any vertical, in seconds.
    pub deadline: f64,
    /// Roster changes come only when the module asks to follow them.
    pub follow: bool,
}

fn above_zero(value: f64, key: &str) -> Read<f64> {
    if value > 0.0 { Ok(value) } else { Err(format!("more than 0 in setting `{key}`")) }
}

/// The connections and the intake of a router on sockets.
pub fn sockets(all: &Value) -> Read<(Trunk, Intake)> {
    let (extra, limits) = (item(all, "Extra")?, item(all, "Limits")?);
    let trunk = Trunk {
        places: above_zero(number(limits, "StreamsPerConn")?, "StreamsPerConn")? as usize,
        bundle: number(extra, "BundleMax").unwrap_or(1.0).max(1.0) as usize,
        dial: above_zero(seconds(limits, "DialTimeoutUs")?, "DialTimeoutUs")?,
        idle: above_zero(seconds(limits, "KeepaliveUs")?, "KeepaliveUs")?,
    };
    let mut deadline = 0.0f64;
    for (at, service) in list(all, "Services")?.iter().enumerate() {
        deadline = deadline.max(seconds(service, "DeadlineUs")?);
        if of_each(extra, "ClassFetch", at, 0.0)? > 0.0 {
            return Err("only queries of one step on sockets, 0 in setting `ClassFetch`".into());
        }
    }
    let intake = Intake {
        room: above_zero(number(limits, "MaxOpen")?, "MaxOpen")? as usize,
        shards: above_zero(number(extra, "Slices")?, "Slices")? as u32,
        tick: above_zero(seconds(all, "TickUs")?, "TickUs")?,
        deadline: above_zero(deadline, "Services")?,
        follow: word(all, "Discovery")? == "subscribe",
    };
    Ok((trunk, intake))
}
