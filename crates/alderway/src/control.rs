//! `alderway control`: runs a control server with the configuration of the `control` section of the
//! operator's file.
use crate::{EXIT_INVALID_INPUT, settings};
use alderway_control_plane::publisher::PublisherConfig;
use alderway_control_plane::version_sink::{DiscardVersions, VersionSink};
use alderway_control_server::server::{self, ServerConfig};
use alderway_control_server::subscriptions::Subscriptions;
use alderway_operator::{self as operator, ControlConfig};
use alderway_router::tier::planner_server;
use alderway_telemetry::log::{self, LogFormat};
use clap::Args;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct ControlArgs {
    /// The operator's file; must contain the section `control(...)`
    #[arg(long, value_name = "FILE")]
    operator: PathBuf,
}

/// Runs a control server until the process receives SIGTERM or SIGINT.
pub fn run(args: &ControlArgs) -> ExitCode {
    let (control, log_format) = match read(args) {
        Ok(read) => read,
        Err(message) => {
            eprintln!("alderway: {message}");
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    log::init(match log_format {
        operator::LogFormat::Text => LogFormat::Text,
        operator::LogFormat::Json => LogFormat::Json,
    });
    match server::run(server_config(control)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("alderway: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read(args: &ControlArgs) -> Result<(ControlConfig, operator::LogFormat), String> {
    let (config, _) = crate::read_operator_file(Some(&args.operator))?;
    let missing = || format!("{}: the section `control` is missing", args.operator.display());
    Ok((config.control.ok_or_else(missing)?, config.log_format))
}

fn server_config(control: ControlConfig) -> ServerConfig {
    let (name, router_address) = (control.name.clone(), control.router_address);
    ServerConfig {
        name: control.name,
        replica_addresses: control.replica_addresses,
        admin_addresses: control.admin_addresses,
        data_path: control.data_path.into(),
        settings_check: Box::new(settings::check),
        version_sink: Box::new(move || Box::pin(version_sink(name, router_address))),
    }
}

/// Creates the sink for committed versions of the settings. The sink listens on `address` for subscriptions
/// of routers. If `address` is `None`, the sink discards all versions.
async fn version_sink(name: String, address: Option<SocketAddr>) -> io::Result<Box<dyn VersionSink>> {
    let Some(address) = address else { return Ok(Box::new(DiscardVersions)) };
    let config = PublisherConfig::default();
    let subscriptions = Subscriptions::listen(&name, planner_server::incarnation(), address, config).await;
    let named = |error: io::Error| {
        io::Error::new(error.kind(), format!("cannot listen for routers at {address}: {error}"))
    };
    Ok(Box::new(subscriptions.map_err(named)?))
}
