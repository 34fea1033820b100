//! `alderway control`: a control machine by the operator's file.
use crate::settings;
use alderway_control_plane::publisher::PublisherConfig;
use alderway_control_plane::version_sink::{DiscardVersions, VersionSink};
use alderway_control_server::InvalidSettings;
use alderway_control_server::server::{self, ServerConfig};
use alderway_control_server::subscriptions::Subscriptions;
use alderway_operator::{LogForm, Operator};
use alderway_router::tier::post;
use alderway_telemetry::log::{self, LogFormat};
use clap::Args;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct Control {
    /// The operator's file; it says `control(...)`
    #[arg(long, value_name = "FILE")]
    operator: PathBuf,
}

fn plan(operator: &Operator, path: &std::path::Path) -> Result<ServerConfig, String> {
    let Some(control) = operator.control.clone() else {
        return Err(format!("{}: it says nothing of `control`", path.display()));
    };
    let name = control.name.clone();
    Ok(ServerConfig {
        name: control.name,
        replica_addresses: control.members,
        admin_addresses: control.doors,
        data_path: control.data.into(),
        settings_check: Box::new(|settings, earlier| {
            settings::check(settings, earlier).map_err(InvalidSettings)
        }),
        version_sink: Box::new(move || Box::pin(outlet(name, control.routers))),
    })
}

/// Where routers subscribe, if the file says where they are heard.
async fn outlet(name: String, routers: Option<SocketAddr>) -> io::Result<Box<dyn VersionSink>> {
    let Some(at) = routers else { return Ok(Box::new(DiscardVersions)) };
    let subscriptions =
        Subscriptions::listen(&name, post::incarnation(), at, PublisherConfig::default()).await?;
    Ok(Box::new(subscriptions))
}

pub fn run(control: &Control) -> ExitCode {
    let read = crate::operator_at(Some(&control.operator));
    let planned = read.and_then(|(operator, _)| Ok((plan(&operator, &control.operator)?, operator.log)));
    let (plan, log) = match planned {
        Ok(planned) => planned,
        Err(why) => {
            eprintln!("alderway: {why}");
            return ExitCode::from(2);
        }
    };
    log::init(match log {
        LogForm::Text => LogFormat::Text,
        LogForm::Json => LogFormat::Json,
    });
    match server::run(plan) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("alderway: {why}");
            ExitCode::FAILURE
        }
    }
}
