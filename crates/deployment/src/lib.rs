//! Reads a deployment's settings from JSON into the configuration of the policy and of the router on sockets. No other
//! crate reads the keys of these settings; the host for the simulator uses this crate too.
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

/// The configuration of a router on sockets.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The configuration of the policy.
    pub policy: PolicyConfig,
    /// The names of the query classes, in the order of `policy`.
    pub class_names: Vec<String>,
    /// Limits of the connections to data nodes.
    pub connections: ConnectionConfig,
    /// Limits of admission and the pace of rounds.
    pub admission: AdmissionConfig,
}

impl Settings {
    /// Reads settings and checks them completely, as at the start of a router.
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
/// `Limits` is absent, or `Peers` is present and not a boolean.
pub fn allows_gossip(settings: &Value) -> Result<bool, SettingsError> {
    values::or_default(false, values::required(settings, "Limits")?, "Peers", values::boolean)
}

/// Creates a policy with the configuration in the settings. Returns it with the names of its query classes, in the
/// order of their indices. `seed` determines its random choices.
///
/// # Errors
/// The first setting that is absent or unusable.
pub fn policy(seed: u64, settings: &Value) -> Result<(Policy, Vec<String>), SettingsError> {
    let (config, class_names) = policy_config(settings)?;
    Ok((Policy::new(seed, config), class_names))
}
