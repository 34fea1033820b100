//! Router processes: started with their faults, signalled, and read after their end.
use super::ledger::Run;
use super::scenario::{RouterPlan, Scenario};
use super::world::World;
use alderway_fault_injection::{HELD_IN_SEND, Plan, inject};
use nix::sys::signal::{Signal, kill};
use nix::time::{ClockId, clock_gettime};
use nix::unistd::Pid;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{sleep, timeout};

/// How long a process may take to say where it listens.
const START: Duration = Duration::from_secs(10);
/// The limit of a router's memory.
pub const MEMORY_MB: u64 = 64;
/// How often an end is looked for.
const LOOK: Duration = Duration::from_millis(5);
/// Words of a log line that tell of a failure of the program itself.
const FAILURES: [&str; 2] = ["panicked", "ERROR failure"];
/// Counters with this beginning count violations that the program found by itself.
const COUNTED: &str = "rule_violations";

/// One process.
pub struct Router {
    child: Child,
    pub run: usize,
    pub address: SocketAddr,
    pub config: PathBuf,
    log: PathBuf,
}

/// Where the parts of a program under test lie.
fn program(world: &World, plan: &RouterPlan) -> PathBuf {
    let name = if plan.cores > 1 { "alderway" } else { "alderway-router" };
    world.programs.join(name)
}

/// The configuration of a router, with discovery at an address and the list as known at the start.
pub fn configuration(scenario: &Scenario, router: usize, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"r{router}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{:016x}",
        "limits":{{"memory_mb":{MEMORY_MB},"sockets":256}},"known":{known},"settings":{}}}"#,
        scenario.seed.wrapping_mul(31).wrapping_add(router as u64),
        scenario.settings()
    )
}

impl Router {
    /// Starts a process and waits until it says where it listens.
    pub async fn start(world: &World, router: usize, configuration: &str) -> Result<Router, String> {
        let plan = &world.scenario.routers[router];
        let run = world.ledger.borrow().runs.len();
        let config = world.folder.join(format!("router-{router}.json"));
        fs::write(&config, configuration).map_err(|why| why.to_string())?;
        let mut command = Command::new(program(world, plan));
        command.env("PROXY_CONFIG", &config).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(Stdio::piped());
        if plan.cores > 1 {
            let operator = world.folder.join(format!("router-{router}.star"));
            let text = format!("cores(count = {}, node_connections = 8, evidence = True)\n", plan.cores);
            fs::write(&operator, text).map_err(|why| why.to_string())?;
            command.arg("serve").arg("--operator").arg(operator);
        }
        if !plan.faults.is_empty() {
            let seed = world.scenario.seed.wrapping_add(1000 * run as u64);
            inject(&mut command, &Plan::parse(&format!("seed={seed}{}", plan.faults))?)?;
        }
        let started = world.clock.now();
        let mut child =
            command.spawn().map_err(|why| format!("{}: {why}", program(world, plan).display()))?;
        let log = world.folder.join(format!("router-{router}-run-{run}.log"));
        let mut lines = copy_log(&mut child, &log)?;
        world.ledger.borrow_mut().runs.push(Run { router, started, ..Run::default() });
        let address = async {
            loop {
                let line = lines.recv().await?;
                let said = line.split("listens at ").nth(1).and_then(|rest| rest.split(": ").next());
                if let Some(address) = said.and_then(|said| said.parse().ok()) {
                    return Some(address);
                }
            }
        };
        let address = timeout(START, address).await.ok().flatten();
        let address =
            address.ok_or_else(|| format!("{}: it does not say where it listens", log.display()))?;
        Ok(Router { child, run, address, config, log })
    }

    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32)
    }

    /// Notes the highest memory that the process has had.
    pub fn note_memory(&self, world: &World) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let highest = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next());
        let highest = highest.and_then(|kib| kib.parse().ok()).unwrap_or(0);
        let run = &mut world.ledger.borrow_mut().runs[self.run];
        run.memory_kib = run.memory_kib.max(highest);
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill(self.pid(), signal);
    }

    /// Whether it has ended, and how where it was not by order.
    fn look(&mut self) -> Option<Result<(), String>> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(if status.success() { Ok(()) } else { Err(status.to_string()) })
    }

    /// Waits for its end; kills it after a span.
    pub async fn wait(&mut self, world: &World, limit: f64) {
        let began = world.clock.now();
        let ended = loop {
            if let Some(ended) = self.look() {
                break ended;
            }
            // A process that is held for longer than the pages allow cannot end.
            let held = world.ledger.borrow().runs[self.run].kill_put_off(began, world.clock.now());
            if world.clock.now() > began + limit + held {
                world.ledger.borrow_mut().runs[self.run].killed = Some(world.clock.now());
                let _ = self.child.kill();
                let _ = self.child.wait();
                break Ok(());
            }
            sleep(LOOK).await;
        };
        let mut ledger = world.ledger.borrow_mut();
        let run = &mut ledger.runs[self.run];
        run.ended = Some(world.clock.now());
        if run.killed.is_none() {
            run.crashed = ended.err();
        }
    }

    /// Notes an end that nobody ordered.
    pub fn notice_crash(&mut self, world: &World) -> bool {
        let Some(ended) = self.look() else { return false };
        let mut ledger = world.ledger.borrow_mut();
        let run = &mut ledger.runs[self.run];
        run.ended = Some(world.clock.now());
        run.crashed = Some(ended.err().unwrap_or_else(|| "it ended by itself".into()));
        true
    }

    /// Takes over what its log and its last counters tell.
    pub fn read_log(&self, world: &World) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let clock_began = monotonic() - world.clock.now();
        let mut ledger = world.ledger.borrow_mut();
        let run = &mut ledger.runs[self.run];
        for line in text.lines() {
            if FAILURES.iter().any(|word| line.contains(word)) {
                run.failures.push(line.to_string());
            }
            if let Some((from, until)) = held_in_send(line) {
                run.held_in_send.push((from - clock_began, until - clock_began));
            }
            if let Some((name, count)) = line.rsplit_once(' ').filter(|(name, _)| name.starts_with(COUNTED)) {
                *run.counted.entry(name.to_string()).or_default() += count.parse::<u64>().unwrap_or(0);
            }
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Seconds of the system's monotonic clock.
fn monotonic() -> f64 {
    clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from).unwrap_or_default().as_secs_f64()
}

/// From when until when a process was held within one call, if a line of its log says so.
fn held_in_send(line: &str) -> Option<(f64, f64)> {
    let (from, until) = line.strip_prefix(HELD_IN_SEND)?.trim_start().split_once(' ')?;
    Some((from.parse().ok()?, until.parse().ok()?))
}

/// Copies a process's log to a file line by line, and hands the lines over.
fn copy_log(child: &mut Child, path: &PathBuf) -> Result<UnboundedReceiver<String>, String> {
    let lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
    let mut file = fs::File::create(path).map_err(|why| format!("{}: {why}", path.display()))?;
    let (sender, receiver) = unbounded_channel();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            let _ = writeln!(file, "{line}");
            let _ = sender.send(line);
        }
    });
    Ok(receiver)
}
