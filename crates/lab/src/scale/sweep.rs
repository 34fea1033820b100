//! Rounds of the module by nodes, parts and open queries, with the caps of nodes binding or not.
use super::report::Report;
use super::rounds::{Shape, measure};
use super::{Common, places};
use clap::Args;

#[derive(Args, Clone)]
pub struct Rounds {
    /// Where to measure: values by key, several of one key with `/` between; each text in every combination
    #[arg(long, value_name = "KEY=VALUE[/VALUE],..", default_values_t = [
        "nodes=12/50/100/200/400/800/1600/3200/4000,parts=150,open=40".to_string(),
        "nodes=12/400/800/1600/3200/4000,parts=8,open=4".to_string(),
        "nodes=3200/4000,parts=8/50/150,open=4/10/40".to_string(),
    ])]
    at: Vec<String>,
    /// Rounds of each measurement
    #[arg(long, default_value_t = 200)]
    rounds: usize,
    /// Cells in a row that hold a shard; each node is a cell
    #[arg(long, default_value_t = 2)]
    reach: u32,
    #[command(flatten)]
    pub common: Common,
}

impl Rounds {
    pub fn run(&self) -> Result<Report, String> {
        let places = places::read(&self.at, &[("nodes", 3200), ("parts", 150), ("open", 40)])?;
        let note = format!(
            "the module alone; {} rounds, each with the end of one leaf call; {} holders a shard; an answered query is \
             followed by another",
            self.rounds, self.reach
        );
        let mut report = Report::default();
        for repeat in 0..self.common.repeats {
            for place in &places {
                let nodes = place["nodes"] as u32;
                let shape = Shape {
                    nodes,
                    cells: nodes,
                    reach: self.reach.min(nodes),
                    parts: place["parts"] as u64,
                    open: place["open"] as u64,
                    followed: true,
                    peers: 1,
                    slo: 0.37,
                    deadline: 2.0,
                    budget: None,
                    turned_away: false,
                    rounds: self.rounds,
                    seed: self.common.seed + repeat,
                };
                let measured = measure(&shape);
                let figures = [
                    ("round", "us", measured.quantile(0.5)),
                    ("round p99", "us", measured.quantile(0.99)),
                    ("parts waiting", "parts", measured.waiting as f64),
                ];
                let few = (measured.spent.len() < self.rounds)
                    .then(|| format!("calls for {} rounds only", measured.spent.len()));
                report.add("query router", &places::at(place), figures, &note, few.as_ref());
            }
        }
        Ok(report)
    }
}
