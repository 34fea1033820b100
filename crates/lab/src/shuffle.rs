//! Layouts that change under load: splits, merges and moves drawn from a seed, told to the router and to each data node
//! at other times, while nodes fail and a newcomer joins cold. Every answer is checked against the inventory.
use crate::agent::{Agent, Entry};
use crate::fleet::{Fleet, Order};
use crate::load::{self, Load, Outcome, Pace};
use crate::model::{Fault, Make};
use crate::program::{Build, Program, Setting};
use crate::{Clock, draw, inventory};
use alderway_layouts::layout::{Change, Layout, Shard};
use alderway_layouts::{KeyRange, ShardId};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A layout that changes by chance.
pub struct Shuffle {
    pub layout: Layout,
    next: ShardId,
    chance: Pcg32,
    /// Cells that may hold shards.
    cells: u32,
    reach: u32,
}

impl Shuffle {
    /// Shards of as many keys each, every one held by so many cells in a row.
    pub fn new(keys: u32, shards: u32, cells: u32, reach: u32, seed: u64) -> Result<Self, String> {
        let each = keys / shards;
        let shard = |n: u32| {
            let to = if n + 1 == shards { keys } else { (n + 1) * each };
            let holders = (0..reach).map(|step| (n + step) % cells).collect();
            (n, Shard { keys: KeyRange::new(n * each, to), holders })
        };
        let all: BTreeMap<ShardId, Shard> = (0..shards).map(shard).collect();
        let layout = Layout::new(1, keys, all).map_err(|why| format!("layout: {why}"))?;
        Ok(Shuffle { layout, next: shards, chance: Pcg32::new(seed, 19), cells, reach })
    }

    fn below(&mut self, most: u32) -> u32 {
        (draw(&mut self.chance) * f64::from(most)) as u32
    }

    fn cells(&mut self) -> BTreeSet<u32> {
        let mut cells = BTreeSet::new();
        while cells.len() < self.reach.min(self.cells) as usize {
            cells.insert(self.below(self.cells));
        }
        cells
    }

    fn one(&mut self, layout: &Layout, only_moves: bool) -> Option<Change> {
        let (_, shard) = (self.below(1), self.below(layout.key_count()));
        let shard = layout.shard_at(shard)?;
        let Shard { keys, holders } = layout.shard(shard)?.clone();
        match if only_moves { 9 } else { self.below(10) } {
            0..3 if keys.len() >= 8 => {
                let count = 2 + self.below(3);
                let each = keys.len() as u32 / count;
                self.next += count;
                let child = |n: u32| (self.next - count + n, keys.from + n * each);
                Some(Change::Split { parent: shard, children: (0..count).map(child).collect() })
            }
            3..6 => {
                let neighbour = layout.shard_at(keys.to)?;
                let other = &layout.shard(neighbour)?.holders;
                // Mergers need a cell that has both, and shards that do not grow for ever.
                let sound = holders.intersection(other).next().is_some() && keys.len() < 512;
                self.next += 1;
                sound.then(|| Change::Merge { parents: vec![shard, neighbour], child: self.next - 1 })
            }
            // At a stroke: nobody who had it has it still.
            6 => Some(Change::Move { shard, holders: self.cells() }),
            // In two steps: first others as well, then not the old ones.
            _ if holders.len() <= self.reach as usize => {
                let holders = holders.union(&self.cells()).copied().collect();
                Some(Change::Move { shard, holders })
            }
            _ => {
                let mut left = holders;
                while left.len() > self.reach as usize {
                    left.pop_first();
                }
                Some(Change::Move { shard, holders: left })
            }
        }
    }

    /// A shard is split and each child goes elsewhere, at a stroke: nobody holds all that parts on their way ask for.
    fn scatter(&mut self, chain: &mut Vec<Change>) {
        let key = self.below(self.layout.key_count());
        let Some(shard) = self.layout.shard_at(key) else { return };
        let Some(keys) = self.layout.shard(shard).map(|shard| shard.keys).filter(|keys| keys.len() >= 4)
        else {
            return;
        };
        let (first, middle) = (self.next, keys.from + keys.len() as u32 / 2);
        self.next += 2;
        chain.push(Change::Split { parent: shard, children: vec![(first, keys.from), (first + 1, middle)] });
        for child in [first, first + 1] {
            chain.push(Change::Move { shard: child, holders: self.cells() });
        }
    }

    /// The next version: a chain of one to four changes, or moves alone, one at a time.
    pub fn step(&mut self, only_moves: bool) -> Vec<Change> {
        let count = if only_moves { 1 } else { 1 + self.below(4) };
        let (version, mut chain) = (self.layout.version() + 1, vec![]);
        let mut layout = self.layout.clone();
        if !only_moves && self.below(3) == 0 {
            self.scatter(&mut chain);
            if let Ok(next) = self.layout.with_changes(version, &chain) {
                layout = next;
            }
        }
        while chain.len() < count as usize {
            let Some(change) = self.one(&layout, only_moves) else { continue };
            let mut longer = chain.clone();
            longer.push(change);
            // What does not go with the changes before it is drawn again.
            if let Ok(next) = self.layout.with_changes(version, &longer) {
                (layout, chain) = (next, longer);
            }
        }
        self.layout = layout;
        chain
    }

    /// Many shards at once to one cell, beside those that hold them.
    pub fn flood(&mut self, cell: u32) -> Vec<Change> {
        let share = |(id, shard): (ShardId, &Shard)| {
            let holders = shard.holders.iter().copied().skip(1).chain([cell]).collect();
            Change::Move { shard: id, holders }
        };
        let chain: Vec<Change> =
            self.layout.shards().enumerate().filter(|(n, _)| n % 2 == 0).map(|(_, s)| share(s)).collect();
        if let Ok(next) = self.layout.with_changes(self.layout.version() + 1, &chain) {
            self.layout = next;
        }
        chain
    }
}

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Run {
    pub build: Build,
    pub nodes: u32,
    pub keys: u32,
    pub shards: u32,
    pub reach: u32,
    pub rate: f64,
    pub span: f64,
    /// Seconds between two versions; none where nothing changes.
    pub every: Option<f64>,
    pub only_moves: bool,
    /// Most seconds by which the router or a data node hears of a version late.
    pub late: f64,
    /// Whether data nodes fail.
    pub faults: bool,
    /// Whether a newcomer joins cold, and half of the shards go to it.
    pub newcomer: bool,
    pub floor: f64,
    pub service: f64,
    pub node_cores: usize,
    pub effect: &'static str,
    /// A fault that the router plays, for a check that has to fail.
    pub fault: Option<String>,
    /// Most keys in a range that a query asks for.
    pub range: u32,
}

/// Something that happens at a moment of a run.
enum Event {
    Router { told: String, whole: String },
    Node(usize, Layout),
    Fault(usize, Fault),
    Join(usize),
}

/// What came of a run.
pub struct Report {
    pub outcome: Outcome,
    pub counters: BTreeMap<String, u64>,
    pub versions: u64,
    pub faults: u64,
    /// Most that the newcomer was sent in a second, against what it bore then.
    pub cold_load: f64,
    /// Parts that nodes turned away as not theirs.
    pub disowned: u64,
    /// Parts that came twice to a node where each was to run once.
    pub again: u64,
    /// Microseconds of the processor for a query.
    pub cpu: f64,
}

/// The layout that a run begins with, its events in their order, and how many versions and faults it has.
type Plan = (Layout, Vec<(f64, Event)>, u64, u64);

fn plan(run: &Run, seed: u64) -> Result<Plan, String> {
    let mut shuffle = Shuffle::new(run.keys, run.shards, run.nodes, run.reach, seed)?;
    let (first, mut chance) = (shuffle.layout.clone(), Pcg32::new(seed, 20));
    let (mut events, mut versions, mut faults) = (vec![], 0, 0);
    let all = run.nodes as usize + usize::from(run.newcomer);
    // Nobody hears of a version before the one that it follows on.
    let (mut heard, mut told) = (vec![0.0f64; all], 0.0f64);
    let joins = 0.35 * run.span;
    if run.newcomer {
        events.push((joins, Event::Join(run.nodes as usize)));
    }
    let (mut at, mut flooded) = (0.15 * run.span, !run.newcomer);
    while let Some(every) = run.every.filter(|_| at < 0.95 * run.span) {
        let after = shuffle.layout.version();
        let chain = if !flooded && at > joins + 0.05 {
            flooded = true;
            shuffle.cells += 1;
            shuffle.flood(run.nodes)
        } else {
            shuffle.step(run.only_moves)
        };
        versions += 1;
        let version = shuffle.layout.version();
        // Now and then the router hears nothing for longer, or has to take the whole layout.
        let longer = if draw(&mut chance) < 0.1 { 3.0 } else { 1.0 };
        told = told.max(at + longer * run.late * draw(&mut chance));
        let whole = inventory::whole(&shuffle.layout);
        let as_whole = draw(&mut chance) < 0.1;
        let news = if as_whole { whole.clone() } else { inventory::changes(version, after, &chain) };
        events.push((told, Event::Router { told: news, whole }));
        for (node, heard) in heard.iter_mut().enumerate() {
            *heard = heard.max(at + run.late * draw(&mut chance));
            events.push((*heard, Event::Node(node, shuffle.layout.clone())));
        }
        at += every * (0.5 + draw(&mut chance));
    }
    let mut at = 0.2 * run.span;
    while run.faults && at < 0.9 * run.span {
        let node = (draw(&mut chance) * f64::from(run.nodes)) as usize;
        let drawn = [Fault::Slow(10.0), Fault::Silent, Fault::Resetting, Fault::Draining, Fault::Paused]
            [(draw(&mut chance) * 5.0) as usize];
        events.push((at, Event::Fault(node, drawn)));
        events.push((at + 0.4, Event::Fault(node, Fault::None)));
        faults += 1;
        at += 0.5 + draw(&mut chance);
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok((first, events, versions, faults))
}

/// Plays one run.
pub fn play(run: &Run, seed: u64) -> Result<Report, String> {
    let (first, events, versions, faults) = plan(run, seed)?;
    let clock = Clock::default();
    let cores = run.node_cores;
    let make = Make { cores, service: run.service, cold: 3.0, warm_up: 1.0, ..Make::default() };
    let count = run.nodes as usize + usize::from(run.newcomer);
    let once = run.effect == "at_most_once";
    let fleet =
        Fleet::start(count, 1, &make, seed, clock, once).map_err(|why| format!("data nodes: {why}"))?;
    let all = fleet.entries(|n| n);
    let entries = all[..run.nodes as usize].to_vec();
    for (n, node) in fleet.nodes.iter().enumerate() {
        node.tell(Order::Layout(n as u32, first.clone()));
    }
    let agent = Agent::start(entries.clone()).map_err(|why| format!("discovery: {why}"))?;
    agent.layout(inventory::whole(&first), inventory::whole(&first));
    let (slo_ms, warm_up) = (500, 2.0);
    let setting = Setting {
        slo_ms,
        deadline_ms: 4 * slo_ms,
        effect: run.effect,
        cells: run.nodes,
        reach: run.reach,
        warm_up: Some(warm_up),
        floor: run.floor,
        ..Setting::default()
    };
    let program = Program::start(&run.build, &setting.configuration(agent.address, &entries))?;
    if let Some(fault) = &run.fault {
        program.fault(fault, 64);
    }
    let load = Load {
        pace: Pace::Open(run.rate),
        span: run.span,
        threads: 1,
        connections: 256,
        parts: 4,
        shards: run.shards,
        keys: Some((run.keys, run.range)),
        vertical: "site-search".into(),
        patience: 4 * slo_ms,
        seed,
    };
    let (to, began, cpu) = (program.address, clock.now(), program.cpu());
    let outcome = std::thread::scope(|scope| {
        let sent = scope.spawn(|| load::send(to, &load, clock));
        for (at, event) in events {
            sleep(Duration::from_secs_f64((began + at - clock.now()).max(0.0)));
            match event {
                Event::Router { told, whole } => agent.layout(told, whole),
                Event::Node(n, layout) => fleet.nodes[n].tell(Order::Layout(n as u32, layout)),
                Event::Fault(n, fault) => fleet.nodes[n].set(fault),
                Event::Join(n) => {
                    let bears = 2.5 * cores as f64 / run.service;
                    fleet.nodes[n].tell(Order::Cold { warm_up, bears });
                    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                    agent.change(vec![Entry { since_ms: since.as_millis() as u64, ..all[n].clone() }]);
                }
            }
        }
        sent.join().expect("the load does not panic")
    });
    let cpu = (program.cpu() - cpu) * 1e6 / outcome.sent.max(1) as f64;
    let sum = |of: &dyn Fn(&crate::fleet::Met) -> u64| fleet.nodes.iter().map(|n| of(&n.met)).sum::<u64>();
    Ok(Report {
        outcome,
        counters: program.counters(),
        versions,
        faults,
        cold_load: fleet.nodes.iter().map(|n| n.met.cold_load.load(Relaxed)).max().unwrap_or(0) as f64 / 1e3,
        disowned: sum(&|met| met.disowned.load(Relaxed)),
        again: sum(&|met| met.again.load(Relaxed)),
        cpu,
    })
}

/// Plays so many runs, some side by side, each with a seed of its own; a line of figures over all of them.
pub fn play_all(run: &Run, runs: u64, seed: u64, side_by_side: usize) -> Result<Vec<Report>, String> {
    let next = std::sync::atomic::AtomicU64::new(0);
    let mut all = vec![];
    std::thread::scope(|scope| {
        let worker = || {
            let mut reports = vec![];
            loop {
                let n = next.fetch_add(1, Relaxed);
                if n >= runs {
                    return Ok(reports);
                }
                reports.push(play(run, seed + n)?);
            }
        };
        let workers: Vec<_> = (0..side_by_side.max(1)).map(|_| scope.spawn(worker)).collect();
        for worker in workers {
            let reports: Result<Vec<Report>, String> = worker.join().expect("a run does not panic");
            all.extend(reports?);
        }
        Ok(all)
    })
}

/// Whether every answer was right, and the table's text.
pub fn table(name: &str, reports: Vec<Report>) -> (bool, String) {
    let (runs, mut all, mut counters) = (reports.len(), Outcome::default(), BTreeMap::<String, u64>::new());
    let (mut versions, mut faults, mut disowned, mut again, mut cold) = (0, 0, 0, 0, vec![]);
    let (mut not_merged, mut cpu) = (vec![], vec![]);
    for report in reports {
        let outcome = report.outcome;
        not_merged.push(
            100.0 * (outcome.sent - outcome.merged().min(outcome.sent)) as f64 / outcome.sent.max(1) as f64,
        );
        all.join(outcome);
        report.counters.iter().for_each(|(name, n)| *counters.entry(name.clone()).or_insert(0) += n);
        (versions, faults, disowned) =
            (versions + report.versions, faults + report.faults, disowned + report.disowned);
        again += report.again;
        cpu.push(report.cpu);
        cold.push(report.cold_load);
    }
    let counter = |name: &str| counters.get(name).copied().unwrap_or(0);
    let answers: u64 = all.statuses.values().sum();
    let (least, middle, most) = crate::trial::spread(not_merged);
    let cpu = crate::trial::spread(cpu);
    let (_, cold_middle, cold_most) = crate::trial::spread(cold);
    let lines = [
        format!("{runs} runs, {} queries, {answers} answers, {versions} versions, {faults} faults", all.sent),
        format!("merged {}, of those not whole {}", all.merged(), all.in_part),
        format!("values wrong {}, keys double {}, keys missing {}", all.wrong, all.double, all.missing),
        format!("lost {}, late {}; run again though once only {again}", all.lost, all.late),
        format!("not merged, per cent of a run: {middle:.3} [{least:.3} .. {most:.3}]"),
        format!(
            "not merged in all: {:.3} per cent; by status {:?}",
            100.0 * (all.sent - all.merged().min(all.sent)) as f64 / all.sent.max(1) as f64,
            all.statuses
        ),
        format!(
            "p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
            all.quantile(0.5),
            all.quantile(0.99),
            all.quantile(0.999)
        ),
        format!(
            "parts disowned {disowned}, divided {}, answers in place of parts {}, taken back {}, other keys {}",
            counter("parts_divided"),
            counter("answers_in_place_of_parts"),
            counter("calls_taken_back{moved}"),
            counter("answers_for_other_keys")
        ),
        format!(
            "module failures {}, layouts refused {}, copies {}, first calls {}",
            counter("module_failures"),
            counter("layouts_refused"),
            counter("leaf_calls_sent{copy}"),
            counter("leaf_calls_sent{first}")
        ),
        format!("work to the newcomer against what it bore: {cold_middle:.2}, at most {cold_most:.2}"),
        format!("processor for a query, microseconds: {:.0} [{:.0} .. {:.0}]", cpu.1, cpu.0, cpu.2),
        format!("generator behind at most {:.1} ms", all.behind * 1e3),
    ];
    let right = all.wrong + all.double + all.missing + all.lost + all.late + again == 0;
    let text: String = lines.iter().map(|line| format!("  {line}\n")).collect();
    (right, format!("{name}\n{text}"))
}
