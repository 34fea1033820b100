//! Arguments of several commands. Their doc comments are printed as help.
use alderway_control_plane::version::VersionNumber;
use clap::Args;
use std::net::SocketAddr;

#[derive(Args)]
pub struct AdminAddresses {
    /// Addresses of control servers for operators; the first that responds is used
    #[arg(long = "at", value_name = "ADDRESS", required = true, value_delimiter = ',')]
    pub(super) at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct OptionalAdminAddresses {
    /// Addresses of control servers for operators
    #[arg(long = "at", value_name = "ADDRESS", value_delimiter = ',')]
    pub(super) at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct ProposalArgs {
    /// Reason for the change, shown in the history
    #[arg(long, value_name = "TEXT")]
    pub(super) why: String,
    /// Author of the change; defaults to the current user
    #[arg(long, value_name = "NAME", env = "USER", default_value = "unknown")]
    pub(super) author: String,
    /// Version that the change is based on; defaults to the newest
    #[arg(long, value_name = "N")]
    pub(super) base: Option<VersionNumber>,
    /// Id of the proposal; a repeated command with the same id gets the outcome of the first
    #[arg(long, value_name = "ID")]
    pub(super) id: Option<String>,
    /// How long to wait until the version is in force on all routers
    #[arg(long, value_name = "SECONDS", default_value_t = 16.0)]
    pub(super) wait: f64,
    #[command(flatten)]
    pub(super) addresses: AdminAddresses,
}
