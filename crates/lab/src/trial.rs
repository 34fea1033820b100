//! Trials compare programs in one run: each repeat plays every program once, in an order drawn from the seed, against
//! the same data nodes and load, and the table says how far the repeats lie apart.
use crate::agent::{Agent, Entry};
use crate::fleet::Fleet;
use crate::load::{self, Load, Outcome, Pace};
use crate::model::{Fault, Make};
use crate::program::{Build, Program, Setting};
use crate::shuffle::Shuffle;
use crate::{Clock, draw, inventory, relay};
use rand_pcg::Pcg32;
use std::fmt::Write;
use std::net::SocketAddr;

/// What a trial measures of one program in one repeat, by name.
pub type Row = Vec<(&'static str, f64)>;

/// Least, median and most of some figures.
pub fn spread(mut figures: Vec<f64>) -> (f64, f64, f64) {
    figures.sort_by(f64::total_cmp);
    let at = |i: usize| figures.get(i).copied().unwrap_or(f64::NAN);
    (at(0), at(figures.len() / 2), at(figures.len().saturating_sub(1)))
}

/// A table: for each program and figure the median, with least and most.
pub fn table(rows: &[(String, Vec<Row>)]) -> String {
    let mut text = String::new();
    for (name, repeats) in rows {
        let _ = writeln!(text, "{name} ({} repeats)", repeats.len());
        let Some(first) = repeats.first() else { continue };
        for (figure, _) in first {
            let all = repeats.iter().filter_map(|row| row.iter().find(|f| f.0 == *figure)).map(|f| f.1);
            let (least, middle, most) = spread(all.collect());
            let _ = writeln!(text, "  {figure:<34} {middle:>12.3}   [{least:.3} .. {most:.3}]");
        }
    }
    text
}

/// What a program is measured beside: the router of some build, or the bare relay on so many threads.
#[derive(Clone, Debug)]
pub enum Subject {
    Router(Build),
    Relay(usize),
}

#[derive(Clone, Debug)]
pub struct Trial {
    pub subjects: Vec<(String, Subject)>,
    pub repeats: usize,
    pub seed: u64,
    pub nodes: usize,
    pub make: Make,
    pub node_threads: usize,
    pub setting: Setting,
    pub load: Load,
    /// Discovery tells the ring as a layout too, for routers that follow layouts.
    pub layout: bool,
}

/// Nodes on loopback with an agent that tells of them.
pub struct Place {
    pub fleet: Fleet,
    pub agent: Agent,
}

impl Trial {
    pub fn entries(&self, fleet: &Fleet) -> Vec<Entry> {
        fleet.entries(|n| n % self.setting.cells)
    }

    pub fn place(&self, seed: u64, clock: Clock, once: bool) -> Result<Place, String> {
        let fleet = Fleet::start(self.nodes, self.node_threads, &self.make, seed, clock, once);
        let fleet = fleet.map_err(|why| format!("data nodes: {why}"))?;
        let agent = Agent::start(self.entries(&fleet)).map_err(|why| format!("discovery: {why}"))?;
        if self.layout {
            let Setting { shards, cells, reach, .. } = self.setting;
            let ring = Shuffle::new(100 * shards, shards, cells, reach, seed)?.layout;
            agent.layout(inventory::whole(&ring), inventory::whole(&ring));
        }
        Ok(Place { fleet, agent })
    }

    pub fn start(&self, build: &Build, place: &Place) -> Result<Program, String> {
        Program::start(build, &self.setting.configuration(place.agent.address, &self.entries(&place.fleet)))
    }

    /// Plays every subject in every repeat; `play` measures one.
    pub fn run(
        &self,
        mut play: impl FnMut(&Trial, &Subject, u64) -> Result<Row, String>,
    ) -> Result<Vec<(String, Vec<Row>)>, String> {
        let mut rows: Vec<(String, Vec<Row>)> = self.subjects.iter().map(|s| (s.0.clone(), vec![])).collect();
        let mut chance = Pcg32::new(self.seed, 1);
        for repeat in 0..self.repeats {
            let mut order: Vec<usize> = (0..self.subjects.len()).collect();
            for i in (1..order.len()).rev() {
                order.swap(i, (draw(&mut chance) * (i + 1) as f64) as usize);
            }
            for at in order {
                let row = play(self, &self.subjects[at].1, self.seed + repeat as u64)?;
                eprintln!("repeat {repeat}: {} done", self.subjects[at].0);
                rows[at].1.push(row);
            }
        }
        Ok(rows)
    }
}

/// What every measured load must have: nothing wrong, lost or late, or the run says so.
fn faults(outcome: &Outcome, row: &mut Row) {
    row.push(("answers wrong", outcome.wrong as f64));
    row.push(("answers lost or late", (outcome.lost + outcome.late) as f64));
    let not_merged = outcome.sent - outcome.merged().min(outcome.sent);
    row.push(("queries not merged", not_merged as f64));
}

/// Throughput in a loop, then latency of a schedule at a share of it.
pub fn throughput(trial: &Trial, subject: &Subject, seed: u64, share: f64) -> Result<Row, String> {
    let clock = Clock::default();
    let place = trial.place(seed, clock, false)?;
    let measured: (Option<Program>, Option<relay::Relay>, SocketAddr) = match subject {
        Subject::Router(build) => {
            let program = trial.start(build, &place)?;
            let at = program.address;
            (Some(program), None, at)
        }
        Subject::Relay(threads) => {
            let nodes: Vec<SocketAddr> = place.fleet.nodes.iter().map(|n| n.address).collect();
            let relay = relay::start(*threads, &nodes).map_err(|why| format!("relay: {why}"))?;
            let at = relay.address;
            (None, Some(relay), at)
        }
    };
    let to = measured.2;
    let load = Load { seed, ..trial.load.clone() };
    // A short spell first: connections, and what a router learns at the start.
    let warm = Load { span: 0.3 * load.span, pace: Pace::Closed, seed: seed ^ 0xa5a5, ..load.clone() };
    load::send(to, &warm, clock);
    let cpu = |p: &Option<Program>| p.as_ref().map_or(f64::NAN, Program::cpu);
    let before = cpu(&measured.0);
    let full = load::send(to, &Load { pace: Pace::Closed, ..load.clone() }, clock);
    let used = cpu(&measured.0) - before;
    let mut row: Row = vec![("merged a second", full.rate())];
    row.push(("CPU microseconds a query", used * 1e6 / full.merged().max(1) as f64));
    row.push(("cores used", used / full.seconds));
    let scheduled = Load { pace: Pace::Open(share * full.rate()), seed: seed ^ 0x5a5a, ..load.clone() };
    let open = load::send(to, &scheduled, clock);
    row.push(("p50 ms at the share", open.quantile(0.5)));
    row.push(("p99 ms at the share", open.quantile(0.99)));
    row.push(("p99.9 ms at the share", open.quantile(0.999)));
    row.push(("generator behind ms", open.behind * 1e3));
    if let Some(program) = &measured.0 {
        let (now, most) = program.memory();
        row.push(("memory MiB", now));
        row.push(("memory MiB at most", most));
        row.push(("descriptors", program.descriptors() as f64));
        let connections: u64 =
            place.fleet.nodes.iter().map(|n| n.met.open.load(std::sync::atomic::Ordering::Relaxed)).sum();
        row.push(("connections a node", connections as f64 / trial.nodes as f64));
    }
    faults(&open, &mut row);
    Ok(row)
}

/// A router of some build, beside its data nodes, with the schedule that it is to meet.
struct Begun {
    clock: Clock,
    place: Place,
    program: Program,
    load: Load,
}

fn begin(trial: &Trial, subject: &Subject, seed: u64, rate: f64) -> Result<Begun, String> {
    let Subject::Router(build) = subject else { return Err("this trial is for routers, not relays".into()) };
    let clock = Clock::default();
    let place = trial.place(seed, clock, false)?;
    let program = trial.start(build, &place)?;
    let load = Load { seed, pace: Pace::Open(rate), ..trial.load.clone() };
    Ok(Begun { clock, place, program, load })
}

/// A steady schedule: what a query costs the router, with so many nodes and queries open.
pub fn cost(trial: &Trial, subject: &Subject, seed: u64, rate: f64) -> Result<Row, String> {
    let Begun { clock, place: _place, program, load } = begin(trial, subject, seed, rate)?;
    load::send(program.address, &Load { span: 0.4 * load.span, seed: seed ^ 0xa5a5, ..load.clone() }, clock);
    let before = program.cpu();
    let outcome = load::send(program.address, &load, clock);
    let used = program.cpu() - before;
    let mut row: Row = vec![
        ("CPU microseconds a query", used * 1e6 / outcome.sent.max(1) as f64),
        ("cores used", used / outcome.seconds),
        ("queries open, by rate and p50", rate * outcome.quantile(0.5) / 1e3),
        ("p50 ms", outcome.quantile(0.5)),
        ("memory MiB at most", program.memory().1),
        ("generator behind ms", outcome.behind * 1e3),
    ];
    faults(&outcome, &mut row);
    Ok(row)
}

/// One node of all becomes slow in the midst of a schedule: how many queries lose time on it.
pub fn slow_node(trial: &Trial, subject: &Subject, seed: u64, times: f64, rate: f64) -> Result<Row, String> {
    let Begun { clock, place, program, load } = begin(trial, subject, seed, rate)?;
    let at = 0.4 * load.span;
    let (victim, to) = (&place.fleet.nodes[seed as usize % trial.nodes], program.address);
    let parts = |n: &crate::fleet::Handle| n.met.parts.load(std::sync::atomic::Ordering::Relaxed);
    let (outcome, before, in_a_second) = std::thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        std::thread::sleep(std::time::Duration::from_secs_f64(at));
        let before = parts(victim);
        victim.set(Fault::Slow(times));
        std::thread::sleep(std::time::Duration::from_secs_f64(1.0));
        let in_a_second = parts(victim) - before;
        (sent.join().expect("the load does not panic"), before, in_a_second)
    });
    // Lost time: answered later than nearly all were while every node was sound.
    let mut calm: Vec<f64> = outcome.over_time.iter().filter(|(due, _)| *due < at).map(|o| o.1).collect();
    calm.sort_by(f64::total_cmp);
    let usual = calm.get(calm.len() * 999 / 1000).copied().unwrap_or(0.0);
    let late = |from: f64, to: f64| {
        outcome.over_time.iter().filter(|(due, ms)| *due >= from && *due < to && *ms > 2.0 * usual).count()
            as f64
    };
    let told = program.counters();
    let counter = |name: &str| told.get(name).copied().unwrap_or(0) as f64;
    let mut row: Row = vec![
        ("queries that lost time, first second", late(at, at + 1.0)),
        ("queries that lost time, in all", late(at, load.span)),
        ("parts to the slow node, first second", in_a_second as f64),
        ("parts to it a second before", before as f64 / at),
        ("usual ms (p99.9 while sound)", usual),
        ("p99 ms", outcome.quantile(0.99)),
        ("copies", counter("leaf_calls_sent{copy}")),
        ("evidence told", counter("evidence_told")),
        ("generator behind ms", outcome.behind * 1e3),
    ];
    faults(&outcome, &mut row);
    Ok(row)
}

/// A node drains in the midst of a schedule: when the last new call reached it.
pub fn drain(trial: &Trial, subject: &Subject, seed: u64, rate: f64) -> Result<Row, String> {
    let Begun { clock, place, program, load } = begin(trial, subject, seed, rate)?;
    let (to, mut lags) = (program.address, vec![]);
    let outcome = std::thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        std::thread::sleep(std::time::Duration::from_secs_f64(0.3 * load.span));
        // Half of the nodes, one after the other.
        for n in 0..trial.nodes / 2 {
            let entry = Entry { status: "DRAINING", ..self::entry(trial, &place, n) };
            let told = clock.now();
            place.agent.change(vec![entry]);
            std::thread::sleep(std::time::Duration::from_millis(250));
            lags.push((place.fleet.nodes[n].last_call() - told).max(0.0) * 1e3);
        }
        sent.join().expect("the load does not panic")
    });
    let (_, middle, most) = spread(lags);
    let mut row: Row = vec![
        ("last send after a drain ms, median", middle),
        ("last send after a drain ms, most", most),
        ("generator behind ms", outcome.behind * 1e3),
    ];
    faults(&outcome, &mut row);
    Ok(row)
}

fn entry(trial: &Trial, place: &Place, n: usize) -> Entry {
    trial.entries(&place.fleet).swap_remove(n)
}
