//! `alderway-lab`: trials on loopback. Each prints a table; what it compares, the seed and the machine stand above it.
use alderway_lab::capacity::Capacity;
use alderway_lab::load::{Load, Pace};
use alderway_lab::model::Make;
use alderway_lab::program::{Build, Setting, beside};
use alderway_lab::scale::Scale;
use alderway_lab::shuffle::{self, Run};
use alderway_lab::soak;
use alderway_lab::tiers::{self, Day};
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
    /// Shards split, merge and move under load: every answer is checked key by key
    Layouts(Shards),
    /// Forwarders and planners against lone routers, or planners killed under load
    Tiers(Tiers),
    /// The capacity page made anew from results, or one of its scale tests
    Capacity(Capacity),
    /// One router at the size of its site: processor, memory, descriptors and latency by nodes, parts, rate and cores
    #[command(subcommand)]
    Scale(Scale),
    /// Real routers under overlapping troubles drawn from seeds, judged by the rules; ends non-zero where one breaks
    Soak(soak::command::Command),
    /// Data nodes drain one after the other: when the last new call reached each
    Drain {
        #[command(flatten)]
        common: Common,
        /// Queries a second
        #[arg(long, default_value_t = 2000.0)]
        rate: f64,
    },
}

/// Shards that split, merge and move under load; every answer is checked key by key.
#[derive(Args, Clone)]
struct Shards {
    #[arg(long, default_value_t = 20)]
    runs: u64,
    /// Runs played at once
    #[arg(long, default_value_t = 3)]
    side_by_side: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1)]
    cores: usize,
    /// Queries a second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Seconds of a run
    #[arg(long, default_value_t = 4.0)]
    span: f64,
    /// Seconds between two versions, on average
    #[arg(long, default_value_t = 0.3)]
    every: f64,
    /// Moves alone, one at a time, and the same runs without any change beside them
    #[arg(long)]
    only_moves: bool,
    /// Most seconds by which the router or a data node hears of a version late
    #[arg(long, default_value_t = 0.3)]
    late: f64,
    /// No data node fails and no newcomer joins
    #[arg(long)]
    calm: bool,
    #[arg(long, default_value_t = 0.5)]
    floor: f64,
    /// Mean milliseconds that a part takes at a data node
    #[arg(long, default_value_t = 2.0)]
    service_ms: f64,
    /// Data nodes, one a cell
    #[arg(long, default_value_t = 8)]
    nodes: u32,
    #[arg(long, default_value_t = 4)]
    node_cores: usize,
    #[arg(long, default_value_t = 4096)]
    keys: u32,
    #[arg(long, default_value_t = 32)]
    shards: u32,
    /// Most keys in a range that a query asks for; a sixteenth of all without it
    #[arg(long)]
    range: Option<u32>,
    /// Parts that may run once only
    #[arg(long)]
    once: bool,
    /// A fault that a router built for tests plays, as `count-by-answers`: the run must report it
    #[arg(long)]
    fault: Option<String>,
    /// The program, if not this build's own
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

impl Shards {
    fn run(&self) -> Result<bool, String> {
        let operator = format!("cores(count = {})\nlayouts()\n", self.cores);
        let run = Run {
            build: Build {
                path: self.program.clone().unwrap_or(beside("alderway")),
                operator: Some(operator),
            },
            nodes: self.nodes,
            keys: self.keys,
            shards: self.shards,
            reach: 2,
            rate: self.rate,
            span: self.span,
            every: Some(self.every),
            only_moves: self.only_moves,
            late: self.late,
            faults: !self.calm,
            newcomer: !self.calm,
            floor: self.floor,
            service: self.service_ms / 1e3,
            node_cores: self.node_cores,
            effect: if self.once { "at_most_once" } else { "idempotent" },
            fault: self.fault.clone(),
            range: self.range.unwrap_or(self.keys / 16),
        };
        let machine = std::thread::available_parallelism().map_or(0, usize::from);
        println!(
            "machine: {machine} processors, {} runs at once; seeds from {}; {} cores; {} queries a second for {} s",
            self.side_by_side, self.seed, self.cores, self.rate, self.span
        );
        let still = Run { every: None, newcomer: false, ..run.clone() };
        let mut right = true;
        for (name, run) in [("with changes", run), ("the same without", still)] {
            let reports = shuffle::play_all(&run, self.runs, self.seed, self.side_by_side)?;
            let (good, text) = shuffle::table(name, reports);
            print!("{text}");
            right &= good;
        }
        Ok(right)
    }
}

#[derive(Args, Clone)]
struct Tiers {
    #[arg(long, default_value_t = 8)]
    routers: usize,
    #[arg(long, default_value_t = 2)]
    planners: usize,
    #[arg(long, default_value_t = 60)]
    nodes: usize,
    #[arg(long, default_value_t = 10)]
    parts: usize,
    /// Queries a second of all routers together
    #[arg(long, default_value_t = 80.0)]
    rate: f64,
    #[arg(long, default_value_t = 8.0)]
    span: f64,
    #[arg(long, default_value_t = 10.0)]
    service_ms: f64,
    #[arg(long, default_value_t = 500)]
    slo_ms: u64,
    /// Times that a tenth of the nodes take as long, from a third of the span on; 1 for none
    #[arg(long, default_value_t = 100.0)]
    slow: f64,
    /// Nodes are deployed anew, one after the other
    #[arg(long)]
    deploy: bool,
    /// Routers that know each other in the place of planners, with and without words of data nodes
    #[arg(long)]
    peers: bool,
    /// Planners are killed, so many seconds apart; no comparison then
    #[arg(long)]
    kills: Option<f64>,
    /// Parts that may run once only
    #[arg(long)]
    once: bool,
    #[arg(long, default_value_t = 5)]
    repeats: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Tiers {
    fn run(&self) -> Result<bool, String> {
        let day = Day {
            program: beside("alderway"),
            routers: self.routers,
            planners: self.planners,
            peers: None,
            nodes: self.nodes,
            parts: self.parts,
            rate: self.rate,
            span: self.span,
            service: self.service_ms / 1e3,
            slo_ms: self.slo_ms,
            slow: Some(self.slow).filter(|times| *times > 1.0 && self.kills.is_none()),
            deploy: self.deploy,
            kills: self.kills,
            effect: if self.once { "at_most_once" } else { "idempotent" },
        };
        let machine = std::thread::available_parallelism().map_or(0, usize::from);
        println!(
            "machine: {machine} processors; seed {}; {} routers, {} planners, {} data nodes, {} queries a second of {} parts \
             for {} s",
            self.seed, self.routers, self.planners, self.nodes, self.rate, self.parts, self.span
        );
        if self.kills.is_some() {
            let (sound, text) = tiers::kills(&day, self.repeats, self.seed)?;
            print!("{text}");
            return Ok(sound);
        }
        let lone = Day { planners: 0, ..day.clone() };
        let knowing = |told| Day { peers: Some(told), ..lone.clone() };
        let days = match self.peers {
            false => vec![("lone routers", lone.clone()), ("forwarders and planners", day)],
            true => vec![
                ("lone routers", lone.clone()),
                ("known to each other, nothing told of nodes", knowing(false)),
                ("known to each other", knowing(true)),
            ],
        };
        let days: Vec<(String, Day)> = days.into_iter().map(|(name, day)| (name.to_string(), day)).collect();
        let rows = tiers::compare(&days, self.repeats, self.seed)?;
        print!("{}", trial::table(&rows));
        Ok(rows.iter().flat_map(|r| &r.1).flatten().all(|f| !f.0.starts_with("answers wrong") || f.1 == 0.0))
    }
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
    /// Each number of cores a second time with the ring followed as a layout
    #[arg(long)]
    layouts: bool,
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
            if self.layouts {
                let by_layout = operator(cores, "True").map(|text| text + "layouts()\n");
                subjects.push((format!("{cores} cores, by layout"), router(&program, by_layout)));
            }
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
            keys: None,
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
            layout: self.layouts,
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
    let ended = |right: Result<bool, String>| match right {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("alderway-lab: not every answer was right");
            ExitCode::FAILURE
        }
        Err(why) => {
            eprintln!("alderway-lab: {why}");
            ExitCode::FAILURE
        }
    };
    match &line.trial {
        What::Layouts(shards) => return ended(shards.run()),
        What::Tiers(tiers) => return ended(tiers.run()),
        What::Capacity(capacity) => return ended(capacity.run()),
        What::Scale(scale) => return scale.run(),
        What::Soak(soak) => return ended(soak.run()),
        _ => {}
    }
    let (What::Cores { common, .. }
    | What::Slow { common, .. }
    | What::Cost { common, .. }
    | What::Drain { common, .. }) = &line.trial
    else {
        return ExitCode::FAILURE;
    };
    let plan = common.trial();
    let rows = plan.run(|trial, subject, seed| match &line.trial {
        What::Cores { share, .. } => trial::throughput(trial, subject, seed, *share),
        What::Slow { times, rate, .. } => trial::slow_node(trial, subject, seed, *times, *rate),
        What::Cost { rate, .. } => trial::cost(trial, subject, seed, *rate),
        What::Drain { rate, .. } => trial::drain(trial, subject, seed, *rate),
        What::Layouts(_) | What::Tiers(_) | What::Capacity(_) | What::Scale(_) | What::Soak(_) => {
            Err("not a trial of subjects".into())
        }
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
