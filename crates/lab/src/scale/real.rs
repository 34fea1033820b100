//! Routers on sockets: one or several real processes that know every data node, queries on a schedule, and beside them
//! a router that is sent no query, so that what control costs is told from what queries cost.
use super::Common;
use super::hollow::Hollow;
use super::places::{self, Place};
use super::report::{At, Figure, Report};
use crate::agent::Agent;
use crate::load::{self, Load, Outcome, Pace};
use crate::program::{Build, Program, Setting, beside};
use crate::{Clock, draw};
use clap::Args;
use rand_pcg::Pcg32;
use serde_json::json;
use std::path::PathBuf;
use std::time::Instant;

const ROLE: &str = "query router";
const CORE: &str = "cores";

#[derive(Args, Clone)]
pub struct Real {
    /// Where to measure: values by key, several of one key with `/` between; each text in every combination
    #[arg(long, value_name = "KEY=VALUE[/VALUE],..", default_values_t = [
        "nodes=100/400/1600/3200,rate=100/200".to_string()
    ])]
    at: Vec<String>,
    /// Seconds of each load
    #[arg(long, default_value_t = 3.0)]
    span: f64,
    /// Seconds of load before it, in which connections are made
    #[arg(long, default_value_t = 2.0)]
    warm: f64,
    /// Mean milliseconds that a part takes at a data node, exponential
    #[arg(long, default_value_t = 2.0)]
    service_ms: f64,
    #[arg(long, default_value_t = 370)]
    slo_ms: u64,
    /// Cells in a row that hold a shard; each node is a cell
    #[arg(long, default_value_t = 2)]
    reach: u32,
    /// Descriptors that a router may hold
    #[arg(long, default_value_t = 19_500)]
    sockets: usize,
    /// Most connections of clients to a router
    #[arg(long, default_value_t = 512)]
    connections: usize,
    /// A query that leaves so many milliseconds after it was due makes its row unsound
    #[arg(long, default_value_t = 50.0)]
    behind_ms: f64,
    /// The program, if not this build's own
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    #[command(flatten)]
    pub common: Common,
}

/// What is measured at once: so many routers that each meet the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub nodes: usize,
    pub parts: usize,
    /// Queries a second to each router.
    pub rate: f64,
    pub cores: usize,
    pub routers: usize,
}

const USUAL: [(&str, usize); 5] =
    [("nodes", 3200), ("parts", 150), ("rate", 100), ("cores", 1), ("routers", 1)];

impl Point {
    fn new(place: &Place) -> Point {
        let whole = |key| place.get(key).copied().unwrap_or_default();
        let (nodes, parts, rate) = (whole("nodes"), whole("parts"), whole("rate") as f64);
        Point { nodes, parts, rate, cores: whole("cores"), routers: whole("routers") }
    }

    fn at(&self) -> At {
        let Point { nodes, parts, rate, cores, routers } = *self;
        At::from([
            ("nodes", json!(nodes)),
            ("parts", json!(parts)),
            ("rate", json!(rate)),
            ("cores", json!(cores)),
            ("routers", json!(routers)),
        ])
    }

    /// The router beside it that is sent nothing.
    fn idle(&self) -> At {
        Point { parts: 0, rate: 0.0, routers: 1, ..*self }.at()
    }
}

/// What one repeat at one point gave.
struct Measured {
    busy: Vec<Figure>,
    idle: Vec<Figure>,
    unsound: Option<String>,
}

impl Real {
    pub fn run(&self) -> Result<Report, String> {
        let points: Vec<Point> = places::read(&self.at, &USUAL)?.iter().map(Point::new).collect();
        let notes = self.notes();
        let mut report = Report::default();
        let mut chance = Pcg32::new(self.common.seed, 1);
        for repeat in 0..self.common.repeats {
            let mut order: Vec<usize> = (0..points.len()).collect();
            for i in (1..order.len()).rev() {
                order.swap(i, (draw(&mut chance) * (i + 1) as f64) as usize);
            }
            let mut measured = vec![];
            for at in order {
                let one = self.measure(&points[at], self.common.seed + repeat)?;
                eprintln!("repeat {repeat}: {:?} done", points[at]);
                measured.push((at, one));
            }
            measured.sort_by_key(|(at, _)| *at);
            for (at, Measured { busy, idle, unsound }) in measured {
                report.add(ROLE, &points[at].at(), busy, &notes.0, unsound.as_ref());
                report.add(ROLE, &points[at].idle(), idle, &notes.1, None);
            }
        }
        Ok(report)
    }

    fn notes(&self) -> (String, String) {
        let Real { span, warm, service_ms, reach, .. } = self;
        (
            format!(
                "{span} s of load after {warm} s of the same; a part takes {service_ms} ms (exponential), {reach} \
                 holders a shard; of several routers the mean"
            ),
            format!(
                "no queries, the list only, beside a router under load; the processor in steps of 10 ms over {} s",
                span + warm
            ),
        )
    }

    fn setting(&self, point: &Point) -> Setting {
        Setting {
            slo_ms: self.slo_ms,
            deadline_ms: 2000,
            shards: point.nodes as u32 * (point.parts.div_ceil(point.nodes)) as u32,
            cells: point.nodes as u32,
            reach: self.reach.min(point.nodes as u32),
            sockets: self.sockets,
            peers: point.routers,
            ..Setting::default()
        }
    }

    fn measure(&self, point: &Point, seed: u64) -> Result<Measured, String> {
        let clock = Clock::default();
        let mut hollow = Hollow::start(point.nodes, point.routers * point.cores, self.service_ms, seed)?;
        let agent = Agent::start(hollow.entries.clone()).map_err(|why| format!("discovery: {why}"))?;
        let setting = self.setting(point);
        let build = Build {
            path: self.program.clone().unwrap_or(beside("alderway")),
            operator: Some(format!("cores(count = {})\n", point.cores)),
        };
        let configuration = setting.configuration(agent.address, &hollow.entries);
        let routers = (0..=point.routers).map(|_| Program::start(&build, &configuration));
        let mut routers = routers.collect::<Result<Vec<Program>, String>>()?;
        let idle = routers.pop().ok_or("no router")?;
        let load = Load {
            pace: Pace::Open(point.rate),
            span: self.span,
            threads: 1,
            connections: self.connections,
            parts: point.parts,
            shards: setting.shards,
            keys: None,
            vertical: "site-search".into(),
            patience: setting.deadline_ms + 500,
            seed,
        };
        let (idle_from, idle_before) = (Instant::now(), idle.cpu());
        send(&routers, &Load { span: self.warm, seed: seed ^ 0xa5a5, ..load.clone() }, clock);
        // Asked for their counters outside of the time that is measured.
        let called = |routers: &[Program]| routers.iter().map(calls).sum::<f64>();
        let used = |routers: &[Program]| routers.iter().map(Program::cpu).sum::<f64>();
        let (called_before, parts_before) = (called(&routers), hollow.met()?.1);
        let (told, from, used_before) = (agent.bytes(), Instant::now(), used(&routers));
        let outcome = send(&routers, &load, clock);
        let (used, seconds) = (used(&routers) - used_before, from.elapsed().as_secs_f64());
        let told = (agent.bytes() - told) as f64 / (point.routers + 1) as f64 / seconds;
        let idle_share = (idle.cpu() - idle_before) / idle_from.elapsed().as_secs_f64();
        let ((open, parts), called) = (hollow.met()?, called(&routers) - called_before);
        let count = point.routers as f64;
        let mean = |of: &dyn Fn(&Program) -> f64| routers.iter().map(of).sum::<f64>() / count;
        let (sent, merged) = (outcome.sent as f64, outcome.merged() as f64);
        let unsound = (outcome.behind * 1e3 > self.behind_ms)
            .then(|| format!("the generator was behind by up to {:.0} ms", outcome.behind * 1e3));
        if outcome.wrong > 0 {
            return Err(format!("{} answers are wrong at {point:?}", outcome.wrong));
        }
        Ok(Measured {
            busy: vec![
                ("processor", CORE, used / seconds / count),
                ("processor a leaf call", "us", used * 1e6 / called),
                ("processor a query", "us", used * 1e6 / sent),
                ("memory", "MiB", mean(&|p| p.memory().0)),
                ("memory at most", "MiB", mean(&|p| p.memory().1)),
                ("descriptors", "descriptors", mean(&|p| p.descriptors() as f64)),
                ("connections", "connections", open as f64 / count),
                ("latency p50", "ms", outcome.quantile(0.5)),
                ("latency p99", "ms", outcome.quantile(0.99)),
                ("queries", "queries/s", sent / self.span / count),
                ("merged", "share of queries", merged / sent),
                ("not merged", "queries", sent - merged),
                ("lost or late", "queries", (outcome.lost + outcome.late) as f64),
                ("leaf calls", "leaf calls/s", called / seconds / count),
                ("parts at data nodes", "parts/s", (parts - parts_before) as f64 / seconds / count),
                ("generator behind", "ms", outcome.behind * 1e3),
            ],
            idle: vec![
                ("processor", CORE, idle_share),
                ("memory", "MiB", idle.memory().0),
                ("memory at most", "MiB", idle.memory().1),
                ("descriptors", "descriptors", idle.descriptors() as f64),
                ("list", "bytes/s", told),
            ],
            unsound,
        })
    }
}

/// The load to each router at once; what came of all together.
fn send(routers: &[Program], load: &Load, clock: Clock) -> Outcome {
    std::thread::scope(|scope| {
        let one = |(n, router): (usize, &Program)| {
            let (to, load) = (router.address, Load { seed: load.seed ^ (n as u64) << 32, ..load.clone() });
            scope.spawn(move || load::send(to, &load, clock))
        };
        let sent: Vec<_> = routers.iter().enumerate().map(one).collect();
        let mut all = Outcome::default();
        sent.into_iter().for_each(|one| all.join(one.join().expect("the generator does not panic")));
        all
    })
}

/// Leaf calls that a router has sent.
fn calls(router: &Program) -> f64 {
    let told = router.counters();
    told.iter().filter(|(name, _)| name.starts_with("leaf_calls_sent")).map(|(_, n)| *n).sum::<u64>() as f64
}
