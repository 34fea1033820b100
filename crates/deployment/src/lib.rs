//! Reads a deployment's settings: the one place where their keys become the types of the policy and of the router on
//! sockets. The simulator's host uses it too.
//!
//! The keys are those of the platform; `docs/configuration.md` lists them.
#![warn(missing_docs, clippy::missing_errors_doc)]

mod changes;
mod error;
mod policy_config;
mod router_config;
mod values;

use alderway::interface::PolicyConfig;
use alderway::policy::Policy;
use serde_json::Value;

pub use changes::{Changes, changes};
pub use error::SettingsError;
pub use policy_config::policy_config;
pub use router_config::{AdmissionConfig, ConnectionConfig, router_config};

/// All that settings say to a router on sockets.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the policy is started with.
    pub policy: PolicyConfig,
    /// The names of the query classes, in the order of `policy`.
    pub class_names: Vec<String>,
    /// Limits of the connections to data nodes.
    pub connections: ConnectionConfig,
    /// What is admitted and how rounds are paced.
    pub admission: AdmissionConfig,
}

impl Settings {
    /// Reads settings with all checks of a start.
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

/// Whether query routers may send each other messages.
///
/// # Errors
/// `Limits` is absent, or `Peers` is there and not a boolean.
pub fn allows_gossip(settings: &Value) -> Result<bool, SettingsError> {
    values::or_default(false, values::item(settings, "Limits")?, "Peers", values::boolean)
}

/// A policy as the settings describe it, and the names of its query classes in their order.
///
/// # Errors
/// The first setting that is absent or unusable.
pub fn policy(seed: u64, settings: &Value) -> Result<(Policy, Vec<String>), SettingsError> {
    let (config, class_names) = policy_config(settings)?;
    Ok((Policy::new(seed, config), class_names))
}
