//! A randomized fault soak: real query routers on loopback, troubles that overlap, and the rules as the oracle.
//!
//! One seed draws a deployment and a schedule of troubles ([`scenario`]): signals, restarts, reloads, faults of system
//! calls and clocks inside the routers, network faults between routers and data nodes, misbehaving data nodes, clients
//! and discovery. [`world`] plays it in real time and notes what passed on every socket in a [`ledger`]; [`oracle`]
//! judges the ledger afterwards. Times are seconds of one monotonic clock.

pub mod clients;
pub mod command;
pub mod discovery;
pub mod floods;
pub mod ledger;
pub mod links;
pub mod nodes;
pub mod oracle;
pub mod processes;
pub mod scenario;
pub mod world;

use crate::soak::oracle::Violation;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// What a soak is played with.
#[derive(Clone, Debug)]
pub struct Soak {
    pub routers: usize,
    pub nodes: usize,
    /// Seconds of load.
    pub seconds: f64,
    /// Clients of each router.
    pub clients: usize,
    /// Kinds of trouble that are left out, by the name that the schedule gives them.
    pub without: Vec<String>,
    /// Where the routers' logs and the schedule are kept; removed after a seed without violations.
    pub logs: PathBuf,
    /// The folder of the programs under test; that of this one where it is not given.
    pub programs: Option<PathBuf>,
}

/// What came of one seed.
#[derive(Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub violations: Vec<Violation>,
    pub counts: BTreeMap<&'static str, u64>,
    pub schedule: Vec<String>,
}

/// Plays one seed.
///
/// # Errors
/// A program cannot be started, or a file cannot be written.
pub fn play(soak: &Soak, seed: u64) -> Result<Report, String> {
    let scenario = scenario::Scenario::drawn(soak, seed);
    let ledger = world::play(soak, &scenario)?;
    let (violations, counts) = oracle::judge(&scenario, &ledger);
    let schedule = scenario.troubles.iter().map(ToString::to_string).collect();
    Ok(Report { seed, violations, counts, schedule })
}
