//! The one place where a deployment's settings become trade types: those that the decision module is started
//! with, and those that the router on sockets needs for its connections and its room. Both hosts use it.
use alderway::interface::*;
use alderway::policy::Policy;
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
pub fn router(seed: u64, all: &Value) -> Read<(Policy, Vec<String>)> {
    let (terms, names) = terms(all)?;
    Ok((Policy::new(seed, terms), names))
}

/// What a decision module is started with, or goes by from here on, with the names of its verticals in their order.
pub fn terms(all: &Value) -> Read<(PolicyConfig, Vec<String>)> {
    let (extra, limits, rules) = (item(all, "Extra")?, item(all, "Limits")?, item(all, "Obligations")?);
    let mut names = Vec::new();
    let mut verticals = Vec::new();
    for (at, service) in list(all, "Services")?.iter().enumerate() {
        names.push(word(service, "Name")?.to_string());
        verticals.push(QueryClass {
            latency_objective_s: seconds(service, "PromiseUs")?,
            deadline_s: seconds(service, "DeadlineUs")?,
            idempotency: effect(service)?,
            priority_weight: number(service, "Worth")?,
            late_weight_fraction: number(service, "LateShare")?,
            complete_fraction: of_each(extra, "ClassNeed", at, 1.0)?,
            minimum_fraction: of_each(extra, "FloorByClass", at, 1.0)?,
            second_phase_requests: of_each(extra, "ClassFetch", at, 0.0)? as usize,
        });
    }
    let customer =
        |t: &Value| Ok(Tenant { name: word(t, "Name")?.to_string(), quota_per_s: number(t, "QuotaPerS")? });
    let customers = match all.get("Tenants") {
        None | Some(Value::Null) => vec![],
        Some(_) => list(all, "Tenants")?.iter().map(customer).collect::<Read<Vec<_>>>()?,
    };
    let placement = ShardPlacement {
        replica_groups: above_zero(extra, "Cells")? as u32,
        groups_per_shard: above_zero(extra, "Reach")? as u32,
        max_batch: or(1, extra, "BundleMax", above_zero)?,
        attempt_overhead_s: or(0.0, extra, "PerCallWorkUs", seconds)?,
        explicit_holders: None,
    };
    let advice = or(false, limits, "RetryAfter", flag)?;
    let allowance = RouterCapabilities {
        can_cancel: flag(limits, "MayCancel")?,
        can_hedge: flag(limits, "ParallelTries")?,
        max_attempts: whole(limits, "MaxAttempts")?,
        max_retry_after_s: if advice { Some(seconds(limits, "MaxRetryAfterUs")?) } else { None },
        polls_endpoints: word(all, "Discovery")? == "subscribe",
        over_quota_weight_fraction: or(1.0, all, "OverShareWorth", number)?,
    };
    let budget = match rules.get("ResendRatio") {
        None => None,
        Some(_) => {
            Some(RetryBudget { burst: number(rules, "ExtraFree")?, ratio: number(rules, "ResendRatio")? })
        }
    };
    let cold = match rules.get("ColdFrom") {
        None => None,
        Some(_) => Some(SlowStartConfig {
            initial_fraction: number(rules, "ColdFrom")?,
            warm_up_s: seconds(rules, "WarmUpUs")?,
            capacity_multiple: number(rules, "FallMultiple")?,
            window_s: seconds(rules, "FallUs")?,
        }),
    };
    let peers = whole(all, "ReplicasOfMe")?;
    Ok((
        PolicyConfig {
            router_count: peers,
            query_classes: verticals,
            tenants: customers,
            placement,
            capabilities: allowance,
            retry_budget: budget,
            slow_start: cold,
        },
        names,
    ))
}

/// What connections to data nodes keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionConfig {
    /// Parts that one connection carries at once, and most parts in one call.
    pub streams_per_connection: usize,
    pub max_batch: usize,
    /// Seconds after which a dial has failed, and after which a data node closes an idle connection.
    pub dial_timeout_s: f64,
    pub idle_timeout_s: f64,
}

/// What a router on sockets takes in and how it paces its rounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Queries and parts held at once.
    pub max_open: usize,
    /// Shards are numbered from 0 to below this.
    pub shard_count: u32,
    /// Least seconds between two rounds.
    pub min_round_interval_s: f64,
    /// The longest SLO time and the longest deadline of any vertical, in seconds.
    pub max_latency_objective_s: f64,
    pub max_deadline_s: f64,
    /// Roster changes come only when the module asks to follow them.
    pub polls_endpoints: bool,
}

fn effect(service: &Value) -> Read<Idempotency> {
    match word(service, "Effect")? {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => Ok(Idempotency::IdempotentWithKey { window_s: seconds(service, "WindowUs")? }),
        "at_most_once" => Ok(Idempotency::NonIdempotent),
        _ => Err("a known effect in setting `Effect`".into()),
    }
}

/// The connections and the intake of a router on sockets.
pub fn sockets(all: &Value) -> Read<(ConnectionConfig, AdmissionConfig)> {
    let (extra, limits) = (item(all, "Extra")?, item(all, "Limits")?);
    let trunk = ConnectionConfig {
        streams_per_connection: above_zero(limits, "StreamsPerConn")?,
        max_batch: or(1, extra, "BundleMax", above_zero)?,
        dial_timeout_s: span(limits, "DialTimeoutUs")?,
        idle_timeout_s: span(limits, "KeepaliveUs")?,
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
    let intake = AdmissionConfig {
        max_open: above_zero(limits, "MaxOpen")?,
        shard_count: above_zero(extra, "Slices")? as u32,
        min_round_interval_s: span(all, "TickUs")?,
        max_latency_objective_s: slo,
        max_deadline_s: deadline,
        polls_endpoints: word(all, "Discovery")? == "subscribe",
    };
    Ok((trunk, intake))
}
