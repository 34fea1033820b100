//! Starts a query router on one core, configured only by the file that the environment variable
//! `PROXY_CONFIG` names.
use alderway_router::lifecycle::startup::StartupConfig;
use alderway_router::server::serve;
use alderway_router::state::shared::MulticoreConfig;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log::{self, LogFormat};
use std::process::ExitCode;

fn main() -> ExitCode {
    log::init(LogFormat::Text);
    let clock = Clock::default();
    let config = match StartupConfig::from_env(clock) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("alderway-router: {error}");
            return ExitCode::from(2);
        }
    };
    match serve(config, None, MulticoreConfig::default(), clock) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("alderway-router: {error}");
            ExitCode::FAILURE
        }
    }
}
