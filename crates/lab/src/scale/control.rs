//! Control at the users' size: `alderway control` processes, one a zone, and simulated routers in this process
//! that subscribe to them. What a subscription costs at rest, when a change is in force everywhere, and what
//! killed machines cost.
use super::Common;
use super::report::{At, Figure, Report};
use super::simulated_routers::SimulatedRouters;
use crate::draw;
use crate::program::{Setting, beside};
use alderway_control_plane::replica::ProposalOutcome;
use alderway_control_plane::subscriber::{ControlEndpoint, SubscriptionConfig};
use alderway_control_plane::version::{Proposal, VersionNumber};
use alderway_control_server::admin::client;
use alderway_control_server::admin::{AdminRequest, AdminResponse};
use clap::Args;
use nix::time::{ClockId, clock_gettime};
use rand_pcg::Pcg32;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, LocalSet, spawn_blocking};
use tokio::time::sleep;

const ROUTER: &str = "query router";
const MACHINE: &str = "control machine";
const OPERATOR: &str = "operator";
const PATIENCE: Duration = Duration::from_secs(40);
const LOOK: Duration = Duration::from_millis(4);
/// Descriptors of this process beside one a router.
const SPARE: usize = 200;

#[derive(Args, Clone)]
pub struct Control {
    /// Simulated routers, rising; those of one count stay for the next
    #[arg(long, value_delimiter = '/', default_values_t = [50, 150, 300, 550])]
    routers: Vec<usize>,
    /// Control machines, one a zone
    #[arg(long, default_value_t = 5)]
    machines: usize,
    /// Seconds at rest, after as many in which nothing is measured
    #[arg(long, default_value_t = 4.0)]
    rest: f64,
    /// Changes by each count of routers, one after the other
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// Mean milliseconds from one change in force everywhere to the next
    #[arg(long, default_value_t = 50.0)]
    every_ms: f64,
    /// Then the leader is killed, and later all machines
    #[arg(long)]
    faults: bool,
    /// The program, if not this build's own
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    #[command(flatten)]
    pub common: Common,
}

/// Control machines of one run. Each process of this program has loopback addresses of its own.
struct Group {
    folder: PathBuf,
    program: PathBuf,
    count: usize,
    running: BTreeMap<usize, Child>,
}

impl Drop for Group {
    fn drop(&mut self) {
        self.running.values_mut().for_each(end);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// Below the ports that a system gives out by itself.
fn at(port: u16, n: usize) -> SocketAddr {
    let id = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 64 | id[1], id[2], id[3]), port + n as u16).into()
}

fn name(n: usize) -> String {
    format!("c{n}")
}

impl Group {
    fn start(program: PathBuf, count: usize) -> Result<Group, String> {
        let folder = std::env::temp_dir().join(format!("alderway-scale-control-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|why| format!("{}: {why}", folder.display()))?;
        let mut group = Group { folder, program, count, running: BTreeMap::new() };
        (1..=count).try_for_each(|n| group.begin(n))?;
        Ok(group)
    }

    fn begin(&mut self, n: usize) -> Result<(), String> {
        let list = |port| {
            let each = (1..=self.count).map(|n| format!("\"{}\": \"{}\"", name(n), at(port, n)));
            each.collect::<Vec<String>>().join(", ")
        };
        let text = format!(
            "control(name = \"{}\", data = \"{}\", routers = \"{}\", members = {{{}}}, doors = {{{}}})\n",
            name(n),
            self.data(n).display(),
            at(7300, n),
            list(7100),
            list(7200)
        );
        let (file, program) = (self.folder.join(format!("{}.star", name(n))), self.program.display());
        std::fs::write(&file, text).map_err(|why| format!("{}: {why}", file.display()))?;
        let log = std::fs::File::create(self.folder.join(format!("{}.log", name(n))));
        let log = log.map_err(|why| format!("{program}: {why}"))?;
        let mut command = Command::new(&self.program);
        command.args(["control", "--operator"]).arg(&file).stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.stderr(log).spawn().map_err(|why| format!("{program}: {why}"))?;
        self.running.insert(n, child);
        Ok(())
    }

    fn data(&self, n: usize) -> PathBuf {
        self.folder.join(name(n))
    }

    fn kill(&mut self, n: usize) {
        self.running.remove(&n).iter_mut().for_each(end);
    }

    /// The most of a figure that any of them has.
    fn most(&self, of: impl Fn(u32) -> f64) -> f64 {
        self.running.values().map(|child| of(child.id())).fold(0.0, f64::max)
    }

    fn used(&self) -> Vec<f64> {
        self.running.values().map(|child| cpu(child.id())).collect()
    }

    /// What all log files say last, where something failed.
    fn told(&self) -> String {
        let last = |n| {
            let text = std::fs::read_to_string(self.folder.join(format!("{}.log", name(n))));
            text.unwrap_or_default().lines().last().unwrap_or("nothing").to_string()
        };
        (1..=self.count).map(last).collect::<Vec<String>>().join("; ")
    }
}

/// Seconds of the processor that the threads of a process have used, to the nanosecond.
fn cpu(id: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let each = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
    each.filter_map(|text| text.split(' ').next()?.parse::<f64>().ok()).sum::<f64>() / 1e9
}

/// The same of this process, with that of its threads that have ended.
fn own_cpu() -> f64 {
    let used = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
    used.map_or(f64::NAN, |used| used.tv_sec() as f64 + used.tv_nsec() as f64 / 1e9)
}

/// Resident memory in MB.
fn memory(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.split_whitespace().next().and_then(|kib| kib.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0 / 1e6
}

fn descriptors() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files")).unwrap_or_default();
    line.split_whitespace().next().and_then(|most| most.parse().ok()).unwrap_or(usize::MAX)
}

fn bytes_in(folder: &Path) -> f64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| Some(file.metadata().ok()?.len() as f64)).sum()
}

/// Settings that differ in a key which a router takes over while it serves.
fn settings(number: VersionNumber) -> Value {
    let text = Setting { room: 100, ..Setting::default() }.configuration(at(7000, 0), &[]);
    let mut all: Value = serde_json::from_str(&text).unwrap_or_default();
    all["settings"]["Limits"]["StreamsPerConn"] = (100 + number % 900).into();
    all["settings"].take()
}

/// Has the next version ordered by whoever answers first; how many bytes the question had.
fn propose(doors: &[SocketAddr], base: VersionNumber) -> Result<usize, String> {
    let proposal = Proposal {
        id: format!("p{base}"),
        base,
        author: "lab".into(),
        reason: "a trial of scale".into(),
        at_unix_ms: 0,
        settings: settings(base + 1),
    };
    let ask = AdminRequest::Propose { proposal, wait_s: 8.0 };
    let bytes = serde_json::to_string(&ask).map_err(|why| why.to_string())?.len();
    let (until, mut said) = (Instant::now() + PATIENCE, String::new());
    for door in doors.iter().cycle() {
        match client::send(*door, &ask, Duration::from_secs(10)) {
            Ok(AdminResponse::Proposed { outcome: ProposalOutcome::Committed(number), .. })
                if number == base + 1 =>
            {
                return Ok(bytes);
            }
            Ok(other) => said = format!("{other:?}"),
            Err(why) => said = why.to_string(),
        }
        if Instant::now() > until {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(format!("version {} is not ordered in time: {said}", base + 1))
}

/// What stands while points are measured.
struct Stand<'a> {
    plan: &'a Control,
    group: Group,
    routers: SimulatedRouters,
    newest: VersionNumber,
    chance: Pcg32,
}

/// When a change was sent, and what comes of it: the bytes of the question, and when it was answered.
type Sent = (f64, JoinHandle<(Result<usize, String>, f64)>);

/// A change: seconds from its sending to the answer and to the last router, and bytes of the question.
struct Change {
    decided: f64,
    in_force: f64,
    bytes: usize,
}

impl Stand<'_> {
    /// First asked is one drawn by the seed.
    fn doors(&mut self) -> Vec<SocketAddr> {
        let mut doors: Vec<SocketAddr> = self.group.running.keys().map(|n| at(7200, *n)).collect();
        let first = (draw(&mut self.chance) * doors.len() as f64) as usize;
        doors.rotate_left(first);
        doors
    }

    async fn until(&self, what: &str, holds: impl Fn(&SimulatedRouters) -> bool) -> Result<(), String> {
        let end = Instant::now() + PATIENCE;
        while !holds(&self.routers) {
            if Instant::now() > end {
                return Err(format!("{what}: not in time; last said: {}", self.group.told()));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    async fn change(&mut self) -> Result<Change, String> {
        let sent = self.send();
        self.follow(sent).await
    }

    fn send(&mut self) -> Sent {
        let (doors, base, clock) = (self.doors(), self.newest, self.routers.clock);
        let from = clock.now();
        (from, spawn_blocking(move || (propose(&doors, base), clock.now())))
    }

    async fn follow(&mut self, (from, asked): Sent) -> Result<Change, String> {
        let (asked, answered) = asked.await.map_err(|why| why.to_string())?;
        let bytes = asked.map_err(|why| format!("{why}; last said: {}", self.group.told()))?;
        self.newest += 1;
        let newest = self.newest;
        self.until("all have a version", |all| all.all_applied_at(newest).is_some()).await?;
        let had = self.routers.all_applied_at(newest).unwrap_or(f64::NAN);
        Ok(Change { decided: answered - from, in_force: had - from, bytes })
    }

    async fn at_rest(&mut self) -> (Vec<Figure>, Vec<Figure>) {
        sleep(Duration::from_secs_f64(self.plan.rest)).await;
        let (from, bytes, used, spent) = (Instant::now(), self.routers.bytes(), own_cpu(), self.group.used());
        sleep(Duration::from_secs_f64(self.plan.rest)).await;
        let seconds = from.elapsed().as_secs_f64();
        let (used, after) = (own_cpu() - used, self.group.used());
        let spent = spent.iter().zip(&after).map(|(from, to)| to - from).fold(0.0, f64::max) / seconds;
        let seen = self.routers.states();
        let (count, now) = (seen.len() as f64, self.routers.bytes());
        let (came, went) = ((now.0 - bytes.0) as f64 / seconds, (now.1 - bytes.1) as f64 / seconds);
        let mut linked: BTreeMap<Option<&str>, f64> = BTreeMap::new();
        seen.iter().for_each(|seen| *linked.entry(seen.control_machine.as_deref()).or_default() += 1.0);
        linked.remove(&None);
        let machines = self.group.running.len() as f64;
        let router = vec![
            ("control bytes a second", "B/s", (came + went) / count),
            ("control bytes in", "B/s", came / count),
            ("control bytes out", "B/s", went / count),
            ("control processor", "cores", used / seconds / count),
        ];
        let machine = vec![
            ("control bytes a second", "B/s", (came + went) / machines),
            ("control bytes out", "B/s", came / machines),
            ("control bytes in", "B/s", went / machines),
            ("processor", "cores", spent),
            ("memory", "MB", self.group.most(memory)),
            ("subscriptions", "connections", linked.values().copied().fold(0.0, f64::max)),
        ];
        (router, machine)
    }

    /// The leader killed while a change is asked for, then all.
    async fn faults(&mut self) -> Result<Vec<Figure>, String> {
        let door = self.doors()[0];
        let status =
            spawn_blocking(move || client::send(door, &AdminRequest::Status, Duration::from_secs(5)));
        let leader = match status.await.map_err(|why| why.to_string())? {
            Ok(AdminResponse::Status(all)) => all.replica.leader.ok_or("nobody leads")?,
            other => return Err(format!("no status: {other:?}")),
        };
        let n = (1..=self.group.count).find(|n| name(*n) == leader).ok_or("no such leader")?;
        let (clock, from) = (self.routers.clock, Instant::now());
        self.group.kill(n);
        let sent = self.send();
        self.until("its routers are elsewhere", |all| {
            all.states().iter().all(|seen| seen.control_machine.as_ref().is_some_and(|at| *at != leader))
        })
        .await?;
        let moved = from.elapsed().as_secs_f64();
        let one = self.follow(sent).await?.in_force;
        self.group.begin(n)?;
        let from = clock.now();
        (1..=self.group.count).for_each(|n| self.group.kill(n));
        (1..=self.group.count).try_for_each(|n| self.group.begin(n))?;
        self.change().await?;
        let all = self.routers.all_applied_at(self.newest).unwrap_or(f64::NAN) - from;
        Ok(vec![
            ("next change in force everywhere, leader killed", "s", one),
            ("routers of a killed machine back", "s", moved),
            ("next change in force everywhere, all killed and started anew", "s", all),
        ])
    }
}

/// The value that such a share is not above.
fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values
        .get(((values.len() as f64 * share).ceil() as usize).saturating_sub(1).min(last))
        .map_or(f64::NAN, |v| *v)
}

impl Control {
    pub fn run(&self) -> Result<Report, String> {
        let most = self.routers.iter().copied().max().unwrap_or(0);
        if self.routers.is_empty() || !self.routers.is_sorted() || self.routers[0] == 0 {
            return Err("--routers: expected counts that rise, of 1 at least".into());
        }
        if most + SPARE > descriptors() {
            return Err(format!(
                "{most} routers need {} descriptors, {} may be open",
                most + SPARE,
                descriptors()
            ));
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|why| why.to_string())?;
        let mut report = Report::default();
        for repeat in 0..self.common.repeats {
            LocalSet::new().block_on(&runtime, self.once(repeat, &mut report))?;
        }
        Ok(report)
    }

    async fn once(&self, repeat: u64, report: &mut Report) -> Result<(), String> {
        let seed = self.common.seed + repeat;
        let group = Group::start(self.program.clone().unwrap_or(beside("alderway")), self.machines)?;
        let machine = |n| (ControlEndpoint { name: name(n), zone: format!("z{n}") }, at(7300, n));
        let machines: Vec<(ControlEndpoint, SocketAddr)> = (1..=self.machines).map(machine).collect();
        let zones: Vec<String> = (1..=self.machines).map(|n| format!("z{n}")).collect();
        let simulated = SimulatedRouters::start(0, &machines, &zones, seed);
        let mut stand =
            Stand { plan: self, group, routers: simulated, newest: 0, chance: Pcg32::new(seed, 11) };
        // The first version, once they are founded.
        stand.change().await?;
        let before = memory(std::process::id());
        let (how, mut count) = (self.notes(), 0);
        for &routers in &self.routers {
            stand.routers.grow(routers - count, &machines, &zones, seed, SubscriptionConfig::default());
            count = routers;
            let newest = stand.newest;
            stand.until("all have what stands", |all| all.all_applied_at(newest).is_some()).await?;
            let place = At::from([("routers", json!(routers)), ("machines", json!(self.machines))]);
            let (mut router, machine) = stand.at_rest().await;
            // A later repeat is given room that the one before left.
            let room = (memory(std::process::id()) - before) / routers as f64;
            router.push(("control memory", "MB", if repeat == 0 { room } else { f64::NAN }));
            report.add(ROUTER, &place, router, &how.0, None);
            report.add(MACHINE, &place, machine, &how.1, None);
            let (mut decided, mut in_force, mut bytes) = (vec![], vec![], vec![]);
            for _ in 0..self.changes {
                let pause = draw(&mut stand.chance) * 2.0 * self.every_ms / 1e3;
                sleep(Duration::from_secs_f64(pause)).await;
                let change = stand.change().await?;
                decided.push(change.decided);
                in_force.push(change.in_force);
                bytes.push(change.bytes as f64);
            }
            let figures = [
                ("proposal decided or refused, p99", "s", quantile(&mut decided, 0.99)),
                ("change of configuration in force everywhere, p50", "s", quantile(&mut in_force, 0.5)),
                ("change of configuration in force everywhere, p99", "s", quantile(&mut in_force, 0.99)),
                ("change of configuration in force everywhere, most", "s", quantile(&mut in_force, 1.0)),
            ];
            report.add(OPERATOR, &place, figures, &how.2, None);
            let made = At::from([("changes", json!(stand.newest))]);
            let size = [("bytes of a proposal", "B", quantile(&mut bytes, 1.0))];
            report.add(OPERATOR, &made, size, "the question at the door, whole settings, as JSON", None);
            let kept = (1..=self.machines).map(|n| bytes_in(&stand.group.data(n))).fold(0.0, f64::max);
            let kept = [("bytes of settings kept", "B", kept)];
            report.add(MACHINE, &made, kept, "its files, the most of any machine", None);
            eprintln!("repeat {repeat}: {routers} routers done");
        }
        if self.faults {
            let place = At::from([("routers", json!(count)), ("machines", json!(self.machines))]);
            report.add(OPERATOR, &place, stand.faults().await?, &how.3, None);
        }
        Ok(())
    }

    fn notes(&self) -> (String, String, String, String) {
        let Control { rest, changes, every_ms, .. } = self;
        (
            format!(
                "simulated routers in one process, its processor and growth a router; {rest} s at rest after as \
                 many; bytes of frames, seen each 0.5 s"
            ),
            format!(
                "processes on one machine and one disk; {rest} s at rest; bytes of its subscriptions, the \
                 mean; processor, memory and subscriptions of the machine that has the most"
            ),
            format!(
                "{changes} changes one after the other, {every_ms} ms between them in the mean, each at a \
                 door drawn; from the sending to the last router; a take-over only counts"
            ),
            "one fault each; a change asked for at once; from its sending, or from the killing where all are \
             killed; routers seen each 0.5 s"
                .into(),
        )
    }
}
