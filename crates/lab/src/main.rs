//! `alderway-lab`: trials on loopback. Each prints a table; what it compares, the seed and the machine stand above it.
use alderway_lab::load::{Load, Pace};
use alderway_lab::model::Make;
use alderway_lab::program::{Build, Setting, beside};
use alderway_lab::trial::{self, Subject, Trial};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Measures query routers on loopback against stand-ins.
#[derive(Parser)]
#[command(name = "alderway-lab", version)]
struct Line {
    #[command(subcommand)]
    trial: What,
}

#[derive(Subcommand)]
enum What {
    /// Throughput, latency, memory and processor time by the number of cores
    Cores {
        #[command(flatten)]
        common: Common,
        /// Share of the highest rate at which latency is measured
        #[arg(long, default_value_t = 0.7)]
        share: f64,
    },
    /// One data node becomes slow: queries that lose time until every core passes it over
    Slow {
        #[command(flatten)]
        common: Common,
        /// Times that its parts take as long
        #[arg(long, default_value_t = 50.0)]
        times: f64,
        /// Queries a second
        #[arg(long, default_value_t = 2000.0)]
        rate: f64,
    },
    /// What a query costs at a steady rate, by nodes and by queries open (a longer service time)
    Cost {
        #[command(flatten)]
        common: Common,
        /// Queries a second
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
    },
    /// Data nodes drain one after the other: when the last new call reached each
    Drain {
        #[command(flatten)]
        common: Common,
        /// Queries a second
        #[arg(long, default_value_t = 2000.0)]
        rate: f64,
    },
}

#[derive(Args, Clone)]
struct Common {
    /// Numbers of cores to run with
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 4, 8])]
    cores: Vec<usize>,
    /// An earlier build's alderway-router to compare with; may be given more than once
    #[arg(long, value_name = "FILE")]
    baseline: Vec<PathBuf>,
    /// Bare relays of so many threads beside the routers
    #[arg(long, value_delimiter = ',')]
    relay: Vec<usize>,
    /// Each number of cores a second time with evidence kept to each core
    #[arg(long)]
    untold: bool,
    /// Queries that may run once only: no copies, so whoever meets a slow node waits for it
    #[arg(long)]
    once: bool,
    #[arg(long, default_value_t = 5)]
    repeats: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 12)]
    nodes: usize,
    /// Threads that the data nodes share
    #[arg(long, default_value_t = 2)]
    node_threads: usize,
    /// Threads of the clients
    #[arg(long, default_value_t = 2)]
    client_threads: usize,
    /// Connections of clients
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Parts of a query
    #[arg(long, default_value_t = 4)]
    parts: usize,
    /// Seconds of each load
    #[arg(long, default_value_t = 4.0)]
    span: f64,
    /// Mean milliseconds that a part takes at a data node
    #[arg(long, default_value_t = 0.5)]
    service_ms: f64,
    /// Cells, and how many in a row hold a shard; as many as data nodes give each cell one
    #[arg(long, default_value_t = 1)]
    cells: u32,
    #[arg(long, default_value_t = 1)]
    reach: u32,
    #[arg(long, default_value_t = 64)]
    shards: u32,
    /// Descriptors that the router may hold
    #[arg(long, default_value_t = 4096)]
    sockets: usize,
    /// Least microseconds between two rounds of a router
    #[arg(long, default_value_t = 1000)]
    tick_us: u32,
    /// Milliseconds of the SLO time
    #[arg(long, default_value_t = 500)]
    slo_ms: u64,
}

impl Common {
    fn trial(&self) -> Trial {
        let program = beside("alderway");
        let operator =
            |cores: usize, told: &str| Some(format!("cores(count = {cores}, evidence = {told})\n"));
        let router = |path: &PathBuf, operator| Subject::Router(Build { path: path.clone(), operator });
        let mut subjects = vec![];
        for threads in &self.relay {
            subjects.push((format!("relay, {threads} threads"), Subject::Relay(*threads)));
        }
        for (n, path) in self.baseline.iter().enumerate() {
            subjects.push((format!("earlier build {n}"), router(path, None)));
        }
        for &cores in &self.cores {
            subjects.push((format!("{cores} cores"), router(&program, operator(cores, "True"))));
            if self.untold && cores > 1 {
                subjects.push((format!("{cores} cores, untold"), router(&program, operator(cores, "False"))));
            }
        }
        let make = Make {
            cores: 64,
            service: self.service_ms / 1e3,
            exponential: false,
            queue: 100_000,
            ..Make::default()
        };
        let load = Load {
            pace: Pace::Closed,
            span: self.span,
            threads: self.client_threads,
            connections: self.connections,
            parts: self.parts,
            shards: self.shards,
            vertical: "site-search".into(),
            patience: 4 * self.slo_ms,
            seed: self.seed,
        };
        Trial {
            subjects,
            repeats: self.repeats,
            seed: self.seed,
            nodes: self.nodes,
            make,
            node_threads: self.node_threads,
            setting: Setting {
                slo_ms: self.slo_ms,
                effect: if self.once { "at_most_once" } else { "idempotent" },
                deadline_ms: 4 * self.slo_ms,
                sockets: self.sockets,
                shards: self.shards,
                cells: self.cells,
                reach: self.reach,
                tick_us: self.tick_us,
                ..Setting::default()
            },
            load,
        }
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let (What::Cores { common, .. }
    | What::Slow { common, .. }
    | What::Cost { common, .. }
    | What::Drain { common, .. }) = &line.trial;
    let plan = common.trial();
    let rows = plan.run(|trial, subject, seed| match &line.trial {
        What::Cores { share, .. } => trial::throughput(trial, subject, seed, *share),
        What::Slow { times, rate, .. } => trial::slow_node(trial, subject, seed, *times, *rate),
        What::Cost { rate, .. } => trial::cost(trial, subject, seed, *rate),
        What::Drain { rate, .. } => trial::drain(trial, subject, seed, *rate),
    });
    let machine = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "machine: {machine} processors; seed {}; {} data nodes on {} threads, {} client threads, {} parts a query, \
         {} s a load",
        plan.seed, plan.nodes, plan.node_threads, plan.load.threads, plan.load.parts, plan.load.span
    );
    match rows {
        Ok(rows) => {
            print!("{}", trial::table(&rows));
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("alderway-lab: {why}");
            ExitCode::FAILURE
        }
    }
}
