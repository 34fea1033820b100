//! Reads the configuration that a query router with network connections needs in addition to that of the
//! policy: the limits of its connections to data nodes, and of the queries that it admits. The simulator does
//! not need it.

use crate::SettingsError;
use crate::values::{
    list, number_for_class, or_default, positive_seconds, positive_whole_number, required, text,
};
use serde_json::Value;

/// Limits of the connections to data nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionConfig {
    /// Maximum number of shard requests in flight on one connection.
    pub streams_per_connection: usize,
    /// Maximum number of shard requests in one attempt.
    pub max_batch: usize,
    /// Seconds after which an attempt to open a connection fails.
    pub dial_timeout_s: f64,
    /// Seconds after which a data node closes an idle connection.
    pub idle_timeout_s: f64,
}

/// How many queries a router admits, and how often the router runs rounds, in which the policy handles
/// events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Maximum number of open queries and shard requests together.
    pub max_open: usize,
    /// Number of shards, which are numbered from 0.
    pub shard_count: u32,
    /// Shortest time between two rounds, in seconds.
    pub min_round_interval_s: f64,
    /// The longest latency objective of any query class, in seconds.
    pub max_latency_objective_s: f64,
    /// The longest deadline of any query class, in seconds.
    pub max_deadline_s: f64,
    /// Whether changes of the endpoint list arrive only when the policy polls for them.
    pub polls_endpoints: bool,
}

/// Reads the limits of connections and of admission from the settings.
///
/// # Errors
/// The first setting that is absent or unusable, a query class with a second phase, or no query class at all.
pub fn router_config(settings: &Value) -> Result<(ConnectionConfig, AdmissionConfig), SettingsError> {
    let (extra, limits) = (required(settings, "Extra")?, required(settings, "Limits")?);
    let connections = ConnectionConfig {
        streams_per_connection: positive_whole_number(limits, "StreamsPerConn")?,
        max_batch: or_default(1, extra, "BundleMax", positive_whole_number)?,
        dial_timeout_s: positive_seconds(limits, "DialTimeoutUs")?,
        idle_timeout_s: positive_seconds(limits, "KeepaliveUs")?,
    };
    let (max_latency_objective_s, max_deadline_s) = longest_times(settings, extra)?;
    let admission = AdmissionConfig {
        max_open: positive_whole_number(limits, "MaxOpen")?,
        shard_count: positive_whole_number(extra, "Slices")? as u32,
        min_round_interval_s: positive_seconds(settings, "TickUs")?,
        max_latency_objective_s,
        max_deadline_s,
        polls_endpoints: text(settings, "Discovery")? == "subscribe",
    };
    Ok((connections, admission))
}

/// The longest latency objective and the longest deadline of any query class, in seconds.
fn longest_times(settings: &Value, extra: &Value) -> Result<(f64, f64), SettingsError> {
    let (mut objective_s, mut deadline_s) = (0.0f64, 0.0f64);
    for (class, service) in list(settings, "Services")?.iter().enumerate() {
        objective_s = objective_s.max(positive_seconds(service, "PromiseUs")?);
        deadline_s = deadline_s.max(positive_seconds(service, "DeadlineUs")?);
        let second_phase_requests = number_for_class(extra, "ClassFetch", class, 0.0)?;
        if second_phase_requests > 0.0 {
            return Err(SettingsError::SecondPhaseUnsupported(second_phase_requests));
        }
    }
    if deadline_s == 0.0 {
        return Err(SettingsError::NoQueryClass);
    }
    Ok((objective_s, deadline_s))
}
