//! `alderway config`: operators' requests to the control servers. Exit codes: 0 done, 1 rejected or failed, 2 invalid
//! input, 3 no quorum, timed out, or not applied on all routers.
mod args;
mod error;
mod proposal;
mod report;
mod request;
mod settings_file;

use alderway_control_plane::version::VersionNumber;
use alderway_control_server::admin::AdminRequest;
use args::{AdminAddresses, OptionalAdminAddresses, ProposalArgs};
use clap::Subcommand;
use error::CommandError;
use report::print;
use settings_file::SettingsFile;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Config {
    /// Checks settings as a router does at its start, and at a control server if addresses are given
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        addresses: OptionalAdminAddresses,
    },
    /// Proposes settings as the next version, and waits until it is in force on all routers
    Propose {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        proposal: ProposalArgs,
    },
    /// Lists the newest versions with their numbers, authors, reasons and changed keys
    History {
        /// Only versions before this one
        #[arg(long, value_name = "N")]
        before: Option<VersionNumber>,
        #[arg(long, value_name = "COUNT", default_value_t = 20)]
        count: usize,
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        addresses: AdminAddresses,
    },
    /// Prints the settings of a version in the form that `propose` reads; defaults to the newest
    Show {
        #[arg(value_name = "N")]
        number: Option<VersionNumber>,
        #[command(flatten)]
        addresses: AdminAddresses,
    },
    /// Prints the version in force, the routers by version, those that lag, and whether there is a quorum
    Status {
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        addresses: AdminAddresses,
    },
    /// Proposes the settings of an earlier version
    Revert {
        #[arg(value_name = "N")]
        number: VersionNumber,
        #[command(flatten)]
        proposal: ProposalArgs,
    },
}

/// Runs the command. Results go to standard output, errors to standard error.
pub fn run(config: &Config) -> ExitCode {
    match execute(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("alderway: {error}");
            error.exit_code()
        }
    }
}

fn execute(config: &Config) -> Result<(), CommandError> {
    match config {
        Config::Check { file, addresses } => check(file, &addresses.at),
        Config::Propose { file, proposal } => {
            let file = SettingsFile::read(file)?;
            proposal::propose(file.settings.clone(), proposal, Some(&file))
        }
        Config::History { before, count, json, addresses } => history(&addresses.at, *before, *count, *json),
        Config::Show { number, addresses } => show(&addresses.at, *number),
        Config::Status { json, addresses } => status(&addresses.at, *json),
        Config::Revert { number, proposal } => {
            let version = request::version(&proposal.addresses.at, Some(*number))?;
            proposal::propose(version.settings, proposal, None)
        }
    }
}

fn check(path: &Path, addresses: &[SocketAddr]) -> Result<(), CommandError> {
    let file = SettingsFile::read(path)?;
    if !addresses.is_empty() {
        request::check(addresses, &file)?;
    }
    print(&format!("{}: valid", file.name));
    Ok(())
}

fn show(addresses: &[SocketAddr], number: Option<VersionNumber>) -> Result<(), CommandError> {
    let version = request::version(addresses, number)?;
    eprintln!("version {} by {}: {}", version.number, version.author, version.reason);
    print(&serde_json::to_string_pretty(&version.settings).unwrap_or_default());
    Ok(())
}

fn history(
    addresses: &[SocketAddr],
    before: Option<VersionNumber>,
    count: usize,
    json: bool,
) -> Result<(), CommandError> {
    let (newest, versions) = request::history(addresses, AdminRequest::History { before, count })?;
    if json {
        print(&serde_json::json!({"newest": newest, "versions": versions}).to_string());
    } else {
        versions.iter().rev().for_each(|version| print(&report::history_line(version)));
    }
    Ok(())
}

fn status(addresses: &[SocketAddr], json: bool) -> Result<(), CommandError> {
    let status = request::status(addresses)?;
    if json {
        print(&serde_json::to_string(&status).unwrap_or_default());
    } else {
        report::status_lines(&status).iter().for_each(|line| print(line));
    }
    if status.replica.has_quorum { Ok(()) } else { Err(CommandError::NoQuorum { name: status.replica.name }) }
}
