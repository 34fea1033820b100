//! The command `alderway-lab soak`.
use super::{Report, Soak, play};
use clap::Args;
use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

/// How many violations of a seed are printed.
const SHOWN: usize = 12;

/// Real routers under overlapping troubles drawn from seeds, judged by the rules.
#[derive(Args, Clone)]
pub struct Command {
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    #[arg(long, default_value_t = 10)]
    routers: usize,
    #[arg(long, default_value_t = 10)]
    nodes: usize,
    /// Seconds of load for each seed
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Clients of each router
    #[arg(long, default_value_t = 6)]
    clients: usize,
    /// Troubles that are left out, by words of their names in the schedule
    #[arg(long, value_delimiter = ',')]
    without: Vec<String>,
    /// Where logs and schedules of seeds with violations stay
    #[arg(long, default_value = "logs/soak")]
    logs: PathBuf,
    /// The folder of the programs, if not this one's
    #[arg(long, value_name = "FOLDER")]
    programs: Option<PathBuf>,
}

impl Command {
    /// Plays the seeds; false where a rule was broken.
    ///
    /// # Errors
    /// A program cannot be started, or a file cannot be written.
    pub fn run(&self) -> Result<bool, String> {
        let soak = Soak {
            routers: self.routers,
            nodes: self.nodes,
            seconds: self.seconds,
            clients: self.clients,
            without: self.without.iter().map(|word| word.to_lowercase()).collect(),
            logs: self.logs.clone(),
            programs: self.programs.clone(),
        };
        let machine = std::thread::available_parallelism().map_or(0, usize::from);
        println!(
            "machine: {machine} processors; {} routers as processes, {} data nodes, {} clients a router, {} s a seed",
            self.routers, self.nodes, self.clients, self.seconds
        );
        let mut sound = true;
        let mut rules: BTreeMap<&str, usize> = BTreeMap::new();
        for seed in self.seed..self.seed + self.seeds {
            let report = play(&soak, seed)?;
            print(&report);
            report.violations.iter().for_each(|violation| *rules.entry(violation.rule).or_default() += 1);
            if report.violations.is_empty() {
                let _ = fs::remove_dir_all(self.logs.join(format!("seed-{seed}")));
            }
            sound &= report.violations.is_empty();
        }
        println!(
            "{} seeds: {}",
            self.seeds,
            if sound { "no rule broken".into() } else { format!("{rules:?}") }
        );
        Ok(sound)
    }
}

fn print(report: &Report) {
    let Report { seed, violations, counts, schedule } = report;
    println!("seed {seed}: {} violations, {} troubles; {counts:?}", violations.len(), schedule.len());
    for violation in violations.iter().take(SHOWN) {
        println!("  {violation}");
    }
    if violations.len() > SHOWN {
        println!("  and {} more", violations.len() - SHOWN);
    }
}
