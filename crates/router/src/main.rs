//! Starts one query router as the platform runs it: by its configuration alone, on one core.
use alderway_router::lifecycle::{serve, start};
use alderway_router::state::shared::MulticoreConfig;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log::{self, LogFormat};
use std::process::ExitCode;

fn main() -> ExitCode {
    log::init(LogFormat::Text);
    let clock = Clock::default();
    let station = match start::read(clock) {
        Ok(station) => station,
        Err(why) => {
            eprintln!("alderway-router: {why}");
            return ExitCode::from(2);
        }
    };
    match serve::serve(station, MulticoreConfig::default(), clock) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("alderway-router: {why}");
            ExitCode::FAILURE
        }
    }
}
