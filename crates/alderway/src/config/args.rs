//! Arguments that several commands share. Their doc comments are the help that operators read.
use alderway_control_plane::version::VersionNumber;
use clap::Args;
use std::net::SocketAddr;

#[derive(Args)]
pub struct AdminAddresses {
    /// Control machines' addresses for operators; the first that answers is asked
    #[arg(long = "at", value_name = "ADDRESS", required = true, value_delimiter = ',')]
    pub(super) at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct OptionalAdminAddresses {
    /// Control machines' addresses for operators
    #[arg(long = "at", value_name = "ADDRESS", value_delimiter = ',')]
    pub(super) at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct ProposalArgs {
    /// Why, for whoever reads the history
    #[arg(long, value_name = "TEXT")]
    pub(super) why: String,
    /// Who; the user of this shell if it is left out
    #[arg(long, value_name = "NAME", env = "USER", default_value = "unknown")]
    pub(super) author: String,
    /// The version that this was made from; the newest if it is left out
    #[arg(long, value_name = "N")]
    pub(super) base: Option<VersionNumber>,
    /// The same id counts once: to ask again what came of it
    #[arg(long, value_name = "ID")]
    pub(super) id: Option<String>,
    /// How long to wait until it is in force everywhere
    #[arg(long, value_name = "SECONDS", default_value_t = 16.0)]
    pub(super) wait: f64,
    #[command(flatten)]
    pub(super) addresses: AdminAddresses,
}
