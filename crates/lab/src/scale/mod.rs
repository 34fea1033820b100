//! What one query router spends by the size of its site: `real` on sockets, `rounds` in the module alone, `discovery` for
//! the list, `control` for subscriptions at control machines. `hollow` is many data nodes in a few processes,
//! `simulated_routers` many subscriptions on one thread, `report` what a run leaves.
pub mod control;
pub mod discovery;
pub mod hollow;
pub mod places;
pub mod real;
pub mod report;
pub mod rounds;
pub mod simulated_routers;
mod sweep;

use clap::{Args, Subcommand};
use report::{Budget, Report};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Scale {
    /// Routers on sockets at full state: processor, memory, descriptors, connections and latency
    Real(real::Real),
    /// The module alone: microseconds a round by nodes, parts and open queries
    Rounds(sweep::Rounds),
    /// What the list costs a router, pushed and asked for, and which forms of it are refused
    Discovery(discovery::Discovery),
    /// Control machines and simulated routers: what a subscription costs, and when a change is in force everywhere
    Control(control::Control),
    /// Data nodes of another run: serves until its standard input ends
    #[command(hide = true)]
    Nodes(hollow::Nodes),
}

/// How a run is repeated, judged and kept.
#[derive(Args, Clone)]
pub struct Common {
    #[arg(long, default_value_t = 3)]
    pub repeats: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The most that a figure may be, as `memory=128`; a row over it ends the run as failed
    #[arg(long, value_name = "WHAT=VALUE")]
    pub budget: Vec<Budget>,
    /// Where the rows are written as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

impl Scale {
    pub fn run(&self) -> ExitCode {
        let (common, made) = match self {
            Scale::Real(real) => (&real.common, real.run()),
            Scale::Rounds(rounds) => (&rounds.common, rounds.run()),
            Scale::Discovery(discovery) => (&discovery.common, discovery.run()),
            Scale::Control(control) => (&control.common, control.run()),
            Scale::Nodes(nodes) => {
                let served = nodes.serve();
                return served
                    .map_or_else(|why| failed(&[format!("data nodes: {why}")]), |()| ExitCode::SUCCESS);
            }
        };
        made.and_then(|report| end(common, &report)).unwrap_or_else(|why| failed(&[why]))
    }
}

fn end(common: &Common, report: &Report) -> Result<ExitCode, String> {
    print!("{}", report.table());
    if let Some(path) = &common.json {
        let text = report.json(&report::command(std::env::args()), common.seed);
        std::fs::write(path, text).map_err(|why| format!("{}: {why}", path.display()))?;
    }
    let faults = report.over(&common.budget);
    Ok(if faults.is_empty() { ExitCode::SUCCESS } else { failed(&faults) })
}

fn failed(faults: &[String]) -> ExitCode {
    faults.iter().for_each(|why| eprintln!("alderway-lab: {why}"));
    ExitCode::FAILURE
}
