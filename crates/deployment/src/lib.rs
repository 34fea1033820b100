//! Reads a deployment's settings from JSON into the configuration of the policy, and into that of a query
//! router with network connections. No other crate reads the keys of these settings; the simulator's host
//! uses this crate too.
//!
//! The platform defines the keys; `docs/configuration.md` lists them.
#![warn(missing_docs, clippy::missing_errors_doc)]

mod changes;
mod error;
mod policy_config;
mod router_config;
mod values;

use alderway::interface::PolicyConfig;
use alderway::policy::Policy;
use serde_json::Value;

pub use changes::{ChangedKeys, changes};
pub use error::SettingsError;
pub use policy_config::policy_config;
pub use router_config::{AdmissionConfig, ConnectionConfig, router_config};

/// Names of query classes, in the order of the classes' indices.
pub type ClassNames = Vec<String>;

/// The configuration of a query router with network connections.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The configuration of the policy.
    pub policy: PolicyConfig,
    /// The names of the query classes in `policy`, in the same order.
    pub class_names: ClassNames,
    /// Limits of the connections to data nodes.
    pub connections: ConnectionConfig,
    /// Limits of admission, and how often the router runs rounds.
    pub admission: AdmissionConfig,
}

impl Settings {
    /// Reads and checks all settings. A router uses this function at its start and for each change of its
    /// settings, so that both apply the same checks.
    ///
    /// # Errors
    /// The first setting that is absent or unusable.
    pub fn read(settings: &Value) -> Result<Settings, SettingsError> {
        let (policy, class_names) = policy_config(settings)?;
        let (connections, admission) = router_config(settings)?;
        Ok(Settings { policy, class_names, connections, admission })
    }
}

/// Parses settings as JSON.
///
/// # Errors
/// [`SettingsError::InvalidJson`].
pub fn parse(text: &str) -> Result<Value, SettingsError> {
    Ok(serde_json::from_str(text)?)
}

/// Whether the settings allow query routers to send messages to each other.
///
/// # Errors
/// `Limits` is absent, or `Peers` is present and not a boolean.
pub fn allows_gossip(settings: &Value) -> Result<bool, SettingsError> {
    values::or_default(false, values::required(settings, "Limits")?, "Peers", values::boolean)
}

/// Creates a policy with the configuration in the settings. Returns the policy and the names of its query
/// classes, in the order of the classes' indices. `seed` is the seed of the policy's random number generator.
///
/// # Errors
/// The first setting that is absent or unusable.
pub fn policy(seed: u64, settings: &Value) -> Result<(Policy, ClassNames), SettingsError> {
    let (config, class_names) = policy_config(settings)?;
    Ok((Policy::new(seed, config), class_names))
}
