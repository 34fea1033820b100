//! Reads the configuration of the request policy ([`PolicyConfig`]) from the settings.

use crate::values::{
    boolean, list, number, number_for_class, or_default, positive_whole_number, required, seconds, text,
    whole_number,
};
use crate::{ClassNames, SettingsError};
use alderway::interface::{
    Idempotency, PolicyConfig, QueryClass, RetryBudget, RouterCapabilities, ShardPlacement, SlowStartConfig,
    Tenant,
};
use serde_json::Value;

type Result<T> = std::result::Result<T, SettingsError>;

/// Reads the configuration of a policy from the settings. Returns the configuration and the names of its
/// query classes, in the order of the classes' indices.
///
/// # Errors
/// The first setting that is absent or unusable.
pub fn policy_config(settings: &Value) -> Result<(PolicyConfig, ClassNames)> {
    let extra = required(settings, "Extra")?;
    let limits = required(settings, "Limits")?;
    let obligations = required(settings, "Obligations")?;
    let mut class_names = Vec::new();
    let mut query_classes = Vec::new();
    for (class, service) in list(settings, "Services")?.iter().enumerate() {
        class_names.push(text(service, "Name")?.to_string());
        query_classes.push(query_class(service, extra, class)?);
    }
    let config = PolicyConfig {
        query_classes,
        tenants: tenants(settings)?,
        placement: placement(extra)?,
        capabilities: capabilities(settings, limits)?,
        retry_budget: retry_budget(obligations)?,
        slow_start: slow_start(obligations)?,
        router_count: whole_number(settings, "ReplicasOfMe")?,
    };
    Ok((config, class_names))
}

fn query_class(service: &Value, extra: &Value, class: usize) -> Result<QueryClass> {
    Ok(QueryClass {
        latency_objective_s: seconds(service, "PromiseUs")?,
        deadline_s: seconds(service, "DeadlineUs")?,
        idempotency: idempotency(service)?,
        priority_weight: number(service, "Worth")?,
        late_weight_fraction: number(service, "LateShare")?,
        complete_fraction: number_for_class(extra, "ClassNeed", class, 1.0)?,
        minimum_fraction: number_for_class(extra, "FloorByClass", class, 1.0)?,
        second_phase_requests: number_for_class(extra, "ClassFetch", class, 0.0)? as usize,
    })
}

fn idempotency(service: &Value) -> Result<Idempotency> {
    match text(service, "Effect")? {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => Ok(Idempotency::IdempotentWithKey { window_s: seconds(service, "WindowUs")? }),
        "at_most_once" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::UnknownIdempotency(other.to_string())),
    }
}

fn tenants(settings: &Value) -> Result<Vec<Tenant>> {
    let tenant = |entry: &Value| {
        Ok(Tenant { name: text(entry, "Name")?.to_string(), quota_per_s: number(entry, "QuotaPerS")? })
    };
    match settings.get("Tenants") {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(_) => list(settings, "Tenants")?.iter().map(tenant).collect(),
    }
}

fn placement(extra: &Value) -> Result<ShardPlacement> {
    Ok(ShardPlacement {
        replica_groups: positive_whole_number(extra, "Cells")? as u32,
        groups_per_shard: positive_whole_number(extra, "Reach")? as u32,
        max_batch: or_default(1, extra, "BundleMax", positive_whole_number)?,
        attempt_overhead_s: or_default(0.0, extra, "PerCallWorkUs", seconds)?,
        explicit_holders: None,
    })
}

fn capabilities(settings: &Value, limits: &Value) -> Result<RouterCapabilities> {
    let sends_retry_after = or_default(false, limits, "RetryAfter", boolean)?;
    Ok(RouterCapabilities {
        can_cancel: boolean(limits, "MayCancel")?,
        can_hedge: boolean(limits, "ParallelTries")?,
        max_attempts: whole_number(limits, "MaxAttempts")?,
        max_retry_after_s: if sends_retry_after { Some(seconds(limits, "MaxRetryAfterUs")?) } else { None },
        polls_endpoints: text(settings, "Discovery")? == "subscribe",
        over_quota_weight_fraction: or_default(1.0, settings, "OverShareWorth", number)?,
    })
}

fn retry_budget(obligations: &Value) -> Result<Option<RetryBudget>> {
    if obligations.get("ResendRatio").is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        burst: number(obligations, "ExtraFree")?,
        ratio: number(obligations, "ResendRatio")?,
    }))
}

fn slow_start(obligations: &Value) -> Result<Option<SlowStartConfig>> {
    if obligations.get("ColdFrom").is_none() {
        return Ok(None);
    }
    Ok(Some(SlowStartConfig {
        initial_fraction: number(obligations, "ColdFrom")?,
        warm_up_s: seconds(obligations, "WarmUpUs")?,
        capacity_multiple: number(obligations, "FallMultiple")?,
        window_s: seconds(obligations, "FallUs")?,
    }))
}
