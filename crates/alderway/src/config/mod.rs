//! `alderway config`: commands with which operators send requests to control servers. Exit codes: 0 success,
//! 1 rejected or failed, 2 invalid input, 3 no quorum, timed out, or not all routers use the committed
//! settings version yet.
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
use report::print_line;
use settings_file::SettingsFile;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Checks settings as a router does at startup; with addresses, a control server checks them too
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        addresses: OptionalAdminAddresses,
    },
    /// Proposes settings as the next version, and waits until all routers use the version
    Propose {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        proposal: ProposalArgs,
    },
    /// Lists the newest versions with their numbers, authors, reasons and changed keys
    History {
        /// List only versions with lower numbers than this
        #[arg(long, value_name = "N")]
        before: Option<VersionNumber>,
        /// Largest number of versions to list
        #[arg(long, value_name = "COUNT", default_value_t = 20)]
        count: usize,
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        addresses: AdminAddresses,
    },
    /// Prints the settings of a version as JSON that `propose` accepts; defaults to the newest version
    Show {
        #[arg(value_name = "N")]
        number: Option<VersionNumber>,
        #[command(flatten)]
        addresses: AdminAddresses,
    },
    /// Prints the newest version, the number of routers by version, the routers with older versions, and whether there is a quorum
    Status {
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        addresses: AdminAddresses,
    },
    /// Proposes the settings of an earlier version as the next version
    Revert {
        #[arg(value_name = "N")]
        number: VersionNumber,
        #[command(flatten)]
        proposal: ProposalArgs,
    },
}

/// Runs the command. Prints results on standard output and errors on standard error.
pub fn run(config: &ConfigCommand) -> ExitCode {
    match execute(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("alderway: {error}");
            error.exit_code()
        }
    }
}

fn execute(config: &ConfigCommand) -> Result<(), CommandError> {
    match config {
        ConfigCommand::Check { file, addresses } => check(file, &addresses.at),
        ConfigCommand::Propose { file, proposal } => {
            let file = SettingsFile::read(file)?;
            proposal::propose(file.settings.clone(), proposal, Some(&file))
        }
        ConfigCommand::History { before, count, json, addresses } => {
            list_versions(&addresses.at, *before, *count, *json)
        }
        ConfigCommand::Show { number, addresses } => show(&addresses.at, *number),
        ConfigCommand::Status { json, addresses } => status(&addresses.at, *json),
        ConfigCommand::Revert { number, proposal } => {
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
    print_line(&format!("{}: valid", file.name));
    Ok(())
}

fn show(addresses: &[SocketAddr], number: Option<VersionNumber>) -> Result<(), CommandError> {
    let version = request::version(addresses, number)?;
    eprintln!("version {} by {}: {}", version.number, version.author, version.reason);
    print_line(&serde_json::to_string_pretty(&version.settings).unwrap_or_default());
    Ok(())
}

fn list_versions(
    addresses: &[SocketAddr],
    before: Option<VersionNumber>,
    count: usize,
    json: bool,
) -> Result<(), CommandError> {
    let (newest, versions) = request::list_versions(addresses, AdminRequest::History { before, count })?;
    if json {
        print_line(&serde_json::json!({"newest": newest, "versions": versions}).to_string());
    } else {
        versions.iter().rev().for_each(|version| print_line(&report::history_line(version)));
    }
    Ok(())
}

fn status(addresses: &[SocketAddr], json: bool) -> Result<(), CommandError> {
    let status = request::status(addresses)?;
    if json {
        print_line(&serde_json::to_string(&status).unwrap_or_default());
    } else {
        report::status_lines(&status).iter().for_each(|line| print_line(line));
    }
    if status.replica.has_quorum { Ok(()) } else { Err(CommandError::NoQuorum { name: status.replica.name }) }
}
