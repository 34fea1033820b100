//! Two levels against lone routers on the same data nodes and load: what each loses on a calm day and where nodes turn
//! slow and are deployed anew; and planners killed under load, with every answer counted.
use crate::agent::{Agent, Entry};
use crate::fleet::Fleet;
use crate::load::{self, Load, Outcome, Pace};
use crate::model::{Fault, Make};
use crate::program::{Build, Program, Setting};
use crate::trial::{Row, spread};
use crate::wires::Wires;
use crate::{Clock, draw};
use nix::sys::signal::Signal;
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[derive(Clone, Debug)]
pub struct Day {
    pub program: PathBuf,
    pub routers: usize,
    /// None: the routers are alone.
    pub planners: usize,
    /// Whether the routers know each other, and whether they tell of data nodes.
    pub peers: Option<bool>,
    pub nodes: usize,
    pub parts: usize,
    /// Queries a second of all routers together.
    pub rate: f64,
    pub span: f64,
    pub service: f64,
    pub slo_ms: u64,
    /// A tenth of the nodes turn so many times slower at a third of the span.
    pub slow: Option<f64>,
    /// Nodes are deployed anew, one after the other.
    pub deploy: bool,
    /// Planners are killed and started again, so many seconds apart.
    pub kills: Option<f64>,
    pub effect: &'static str,
}

/// What came of a day.
pub struct Report {
    pub outcome: Outcome,
    pub row: Row,
    pub kills: u64,
    pub again: u64,
}

struct Site<'a> {
    day: &'a Day,
    setting: Setting,
    entries: Vec<Entry>,
    agent: Agent,
}

impl Site<'_> {
    fn start(&self, name: &str, operator: String, listen: &str, planner: bool) -> Result<Program, String> {
        let build = Build { path: self.day.program.clone(), operator: Some(operator) };
        let text = self.setting.configuration(self.agent.address, &self.entries);
        let text = text.replace("\"n0\"", &format!("\"{name}\"")).replace("127.0.0.1:0", listen);
        // Each has its own chance.
        let seed = name.bytes().fold(0u64, |sum, byte| sum.wrapping_mul(131).wrapping_add(u64::from(byte)));
        let text = text.replace("8c1f30d27a5be964", &format!("{seed:016x}"));
        if planner { Program::begin(&build, &text) } else { Program::start(&build, &text) }
    }

    fn planner(&self, n: usize, listen: &str) -> Result<Program, String> {
        self.start(&format!("p-{n}"), format!("planner(count = {})\n", self.day.planners), listen, true)
    }
}

/// The program of a planner, none while it is killed, and where it listens.
type Seat = (Option<Program>, SocketAddr);

/// Plays a day; programs are new, data nodes draw from the seed.
pub fn play(day: &Day, seed: u64) -> Result<Report, String> {
    let clock = Clock::default();
    let make = Make { cores: 8, service: day.service, exponential: true, ..Make::default() };
    let once = day.effect == "at_most_once";
    let fleet =
        Fleet::start(day.nodes, 1, &make, seed, clock, once).map_err(|why| format!("data nodes: {why}"))?;
    let entries = fleet.entries(|n| n);
    let agent = Agent::start(entries.clone()).map_err(|why| format!("discovery: {why}"))?;
    let setting = Setting {
        slo_ms: day.slo_ms,
        deadline_ms: 2 * day.slo_ms,
        effect: day.effect,
        shards: 10 * day.nodes as u32,
        cells: day.nodes as u32,
        reach: 3,
        peers: day.routers,
        warm_up: Some(2.0),
        ..Setting::default()
    };
    let site = Site { day, setting, entries, agent };
    let mut planners: Vec<Seat> = vec![];
    for n in 0..day.planners {
        let planner = site.planner(n, "127.0.0.1:0")?;
        let at = planner.address;
        planners.push((Some(planner), at));
    }
    let all: Vec<String> = planners.iter().map(|(_, at)| format!("\"{at}\"")).collect();
    let operator = if day.planners > 0 {
        format!("forwarder(planners = [{}], count = {}, patience_ms = 200)\n", all.join(", "), day.routers)
    } else {
        String::new()
    };
    let names: Vec<String> = (0..day.routers).map(|n| format!("f-{n}")).collect();
    let wires = day.peers.map(|told| Wires::between(&names).map(|wires| (wires, told)));
    let wires = wires.transpose().map_err(|why| format!("the relay: {why}"))?;
    let mut routers: Vec<Program> = vec![];
    for name in &names {
        let Some((wires, told)) = &wires else {
            routers.push(site.start(name, operator.clone(), "127.0.0.1:0", false)?);
            continue;
        };
        let entry = |peer: &String| match peer == name {
            true => format!("\"{peer}\": \"127.0.0.1:0\""),
            false => format!("\"{peer}\": \"{}\"", wires.address(name, peer)),
        };
        let members: Vec<String> = names.iter().map(entry).collect();
        let told = if *told { "True" } else { "False" };
        let operator = format!("peers(members = {{{}}}, verdicts = {told})\n", members.join(", "));
        let router = site.start(name, operator, "127.0.0.1:0", false)?;
        wires.lead_to(name, router.hears_peers_at()?);
        routers.push(router);
    }
    let others = day.routers as u64 - 1;
    let met = |r: &Program| r.counters().get("peers_alive").copied() == Some(others);
    let waited = clock.now();
    while wires.is_some() && !routers.iter().all(met) {
        if clock.now() > waited + 20.0 {
            return Err("routers do not know each other in time".into());
        }
        sleep(Duration::from_millis(50));
    }
    let able = |r: &Program| r.counters().get("planners_able").copied().unwrap_or(0) == day.planners as u64;
    let waited = clock.now();
    while day.planners > 0 && !routers.iter().all(able) {
        if clock.now() > waited + 20.0 {
            return Err("planners are not able in time".into());
        }
        sleep(Duration::from_millis(20));
    }
    let load = |n: usize, span: f64| Load {
        pace: Pace::Open(day.rate / day.routers as f64),
        span,
        threads: 1,
        connections: 64,
        parts: day.parts,
        shards: site.setting.shards,
        keys: None,
        vertical: "site-search".into(),
        patience: 2 * day.slo_ms,
        seed: seed ^ (n as u64) << 20 ^ span.to_bits(),
    };
    let targets: Vec<SocketAddr> = routers.iter().map(|r| r.address).collect();
    let send_all = |span: f64| {
        std::thread::scope(|scope| {
            let sent: Vec<_> = targets
                .iter()
                .enumerate()
                .map(|(n, to)| {
                    let load = load(n, span);
                    scope.spawn(move || load::send(*to, &load, clock))
                })
                .collect();
            let mut all = Outcome::default();
            sent.into_iter().for_each(|s| all.join(s.join().expect("the load does not panic")));
            all
        })
    };
    // What a router learns at the start is no part of the day.
    send_all(0.3 * day.span);
    let programs = || routers.iter().chain(planners.iter().filter_map(|p| p.0.as_ref()));
    let cpu: f64 = programs().map(Program::cpu).sum();
    let copies = |routers: &[Program]| -> (u64, u64) {
        let of = |name: &str| routers.iter().map(|r| r.counters().get(name).copied().unwrap_or(0)).sum();
        (of("leaf_calls_sent{copy}"), of("leaf_calls_sent{first}"))
    };
    let words = |routers: &[Program]| -> u64 {
        routers.iter().map(|r| r.counters().get("words_told").copied().unwrap_or(0)).sum()
    };
    let (before, told) = (copies(&routers), words(&routers));
    let (began, mut kills) = (clock.now(), 0);
    let slow: Vec<usize> = (0..day.nodes).filter(|n| n % 10 == seed as usize % 10).collect();
    let parts_to =
        |nodes: &[usize]| nodes.iter().map(|n| fleet.nodes[*n].met.parts.load(Relaxed)).sum::<u64>();
    let (mut in_second, mut at_slow) = (0, 0);
    let mut chance = Pcg32::new(seed, 21);
    let outcome = std::thread::scope(|scope| -> Result<Outcome, String> {
        let sent = scope.spawn(|| send_all(day.span));
        let (mut next_deploy, mut next_kill) = (0.1 * day.span, day.kills.unwrap_or(f64::INFINITY));
        let (mut next, mut slowed, mut back): (usize, bool, Vec<(f64, usize)>) = (0, false, vec![]);
        let mut restart: Vec<(f64, usize)> = vec![];
        while clock.now() - began < 0.95 * day.span {
            let at = clock.now() - began;
            if let Some(times) = day.slow.filter(|_| !slowed && at > day.span / 3.0) {
                slowed = true;
                at_slow = parts_to(&slow);
                slow.iter().for_each(|n| fleet.nodes[*n].set(Fault::Slow(times)));
            }
            if slowed && in_second == 0 && at > day.span / 3.0 + 1.0 {
                in_second = parts_to(&slow) - at_slow;
            }
            if day.deploy && at > next_deploy {
                next_deploy += 0.8 * day.span / day.nodes as f64;
                site.agent.change(vec![Entry { status: "DRAINING", ..site.entries[next].clone() }]);
                back.push((at + 0.5, next));
                next = (next + 7) % day.nodes;
            }
            for (_, n) in back.extract_if(.., |(due, _)| *due <= at) {
                let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                site.agent
                    .change(vec![Entry { since_ms: since.as_millis() as u64, ..site.entries[n].clone() }]);
            }
            if at > next_kill {
                next_kill += day.kills.unwrap_or(f64::INFINITY) * (0.7 + 0.6 * draw(&mut chance));
                let n = (draw(&mut chance) * day.planners as f64) as usize;
                // One is killed, another time it only stands still for a while.
                if let Some(planner) = planners[n].0.as_ref() {
                    kills += 1;
                    if draw(&mut chance) < 0.3 {
                        planner.signal(Signal::SIGSTOP);
                        restart.push((at + 0.4, n));
                    } else {
                        planner.signal(Signal::SIGKILL);
                        planners[n].0 = None;
                        restart.push((at + 0.1 + 0.3 * draw(&mut chance), n));
                    }
                }
            }
            for (_, n) in restart.extract_if(.., |(due, _)| *due <= at) {
                match &planners[n].0 {
                    Some(planner) => planner.signal(Signal::SIGCONT),
                    None => {
                        let listen = planners[n].1.to_string();
                        planners[n].0 = Some(site.planner(n, &listen)?);
                    }
                }
            }
            sleep(Duration::from_millis(5));
        }
        planners.iter().filter_map(|p| p.0.as_ref()).for_each(|p| p.signal(Signal::SIGCONT));
        Ok(sent.join().expect("the load does not panic"))
    })?;
    let cpu =
        routers.iter().chain(planners.iter().filter_map(|p| p.0.as_ref())).map(Program::cpu).sum::<f64>()
            - cpu;
    let after = copies(&routers);
    let sent = outcome.sent.max(1) as f64;
    let in_time = outcome.over_time.iter().filter(|(_, ms)| *ms <= day.slo_ms as f64).count() as f64;
    let row: Row = vec![
        ("lost: not answered in SLO time, %", 100.0 * (1.0 - in_time / sent)),
        ("not merged, %", 100.0 * (1.0 - outcome.merged() as f64 / sent)),
        ("p50 ms", outcome.quantile(0.5)),
        ("p99 ms", outcome.quantile(0.99)),
        (
            "copies a hundred first calls",
            100.0 * (after.0 - before.0) as f64 / (after.1 - before.1).max(1) as f64,
        ),
        ("parts to slow nodes, first second", in_second as f64),
        ("words a second and router", (words(&routers) - told) as f64 / day.span / day.routers as f64),
        ("CPU microseconds a query", cpu * 1e6 / sent),
        ("generator behind ms", outcome.behind * 1e3),
    ];
    let again = fleet.nodes.iter().map(|n| n.met.again.load(Relaxed)).sum();
    Ok(Report { outcome, row, kills, again })
}

/// Each day in every repeat, in an order drawn from the seed.
pub fn compare(days: &[(String, Day)], repeats: u64, seed: u64) -> Result<Vec<(String, Vec<Row>)>, String> {
    let mut rows: Vec<(String, Vec<Row>)> = days.iter().map(|day| (day.0.clone(), vec![])).collect();
    let mut chance = Pcg32::new(seed, 1);
    for repeat in 0..repeats {
        let mut order: Vec<usize> = (0..days.len()).collect();
        for i in (1..order.len()).rev() {
            order.swap(i, (draw(&mut chance) * (i + 1) as f64) as usize);
        }
        for at in order {
            let report = play(&days[at].1, seed + repeat)?;
            let bad = report.outcome.wrong + report.outcome.lost + report.outcome.late;
            let mut row = report.row;
            row.push(("answers wrong, lost or late", bad as f64));
            rows[at].1.push(row);
        }
    }
    Ok(rows)
}

/// Seeded days of planners killed; whether each query had its one answer, and a line of figures.
pub fn kills(day: &Day, runs: u64, seed: u64) -> Result<(bool, String), String> {
    let (mut all, mut kills, mut again, mut lost) = (Outcome::default(), 0, 0, vec![]);
    for run in 0..runs {
        let report = play(day, seed + run)?;
        lost.push(report.row[0].1);
        (kills, again) = (kills + report.kills, again + report.again);
        all.join(report.outcome);
    }
    let answers: u64 = all.statuses.values().sum();
    let (least, middle, most) = spread(lost);
    let text = format!(
        "{runs} runs, {kills} planners killed or stopped, {} queries, {answers} answers {:?}\n  wrong or double {}, lost {}, \
         late {}, run again though once only {again}\n  not answered in SLO time, per cent of a run: {middle:.2} \
         [{least:.2} .. {most:.2}]; p50 {:.1} ms, p99 {:.1} ms\n",
        all.sent,
        all.statuses,
        all.wrong,
        all.lost,
        all.late,
        all.quantile(0.5),
        all.quantile(0.99)
    );
    let sound = all.wrong + all.lost + all.late + again == 0 && answers == all.sent;
    Ok((sound, text))
}
