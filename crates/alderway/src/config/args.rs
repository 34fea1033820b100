//! Command-line arguments that several `alderway config` commands have. The doc comments of fields are printed as help.
use alderway_control_plane::version::VersionNumber;
use clap::Args;
use std::net::SocketAddr;

#[derive(Args)]
pub struct AdminAddresses {
    /// Addresses at which control servers listen for `alderway config`; the first server that responds is used
    #[arg(long = "at", value_name = "ADDRESS", required = true, value_delimiter = ',')]
    pub(super) at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct OptionalAdminAddresses {
    /// Addresses at which control servers listen for `alderway config`
    #[arg(long = "at", value_name = "ADDRESS", value_delimiter = ',')]
    pub(super) at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct ProposalArgs {
    /// Reason for the change, which `alderway config history` prints
    #[arg(long, value_name = "TEXT")]
    pub(super) why: String,
    /// Author of the change; defaults to the current user
    #[arg(long, value_name = "NAME", env = "USER", default_value = "unknown")]
    pub(super) author: String,
    /// Number of the settings version that the change is based on; defaults to the newest
    #[arg(long, value_name = "N")]
    pub(super) base: Option<VersionNumber>,
    /// Id of the proposal; if a proposal with this id was already committed, its version is printed
    #[arg(long, value_name = "ID")]
    pub(super) id: Option<String>,
    /// How long to wait, in seconds, until all routers use the version
    #[arg(long, value_name = "SECONDS", default_value_t = 16.0)]
    pub(super) wait: f64,
    #[command(flatten)]
    pub(super) addresses: AdminAddresses,
}
