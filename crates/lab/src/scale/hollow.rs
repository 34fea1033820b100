//! Many data nodes in a few processes, so that a list of thousands fits the descriptors that one process may hold. They
//! listen, take parts and answer after a service time; nothing else.
use crate::Clock;
use crate::agent::Entry;
use crate::fleet::Fleet;
use crate::model::Make;
use clap::Args;
use std::io::{BufRead, BufReader, Write, stdin, stdout};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::atomic::Ordering::Relaxed;

/// Descriptors that one process of nodes is to hold at the most.
const ROOM: usize = 14_000;

#[derive(Args, Clone)]
pub struct Nodes {
    #[arg(long)]
    count: usize,
    #[arg(long)]
    threads: usize,
    #[arg(long)]
    service_ms: f64,
    #[arg(long)]
    seed: u64,
}

impl Nodes {
    /// Prints where each node listens; then, for every line read, how many connections are open and how many parts came.
    pub fn serve(&self) -> std::io::Result<()> {
        let make = Make { cores: 64, service: self.service_ms / 1e3, queue: 100_000, ..Make::default() };
        let fleet = Fleet::start(self.count, self.threads, &make, self.seed, Clock::default(), false)?;
        let mut out = stdout();
        let places: String = fleet.nodes.iter().map(|node| format!("{}\n", node.address)).collect();
        out.write_all(places.as_bytes())?;
        out.flush()?;
        for line in stdin().lines() {
            line?;
            let open: u64 = fleet.nodes.iter().map(|node| node.met.open.load(Relaxed)).sum();
            let parts: u64 = fleet.nodes.iter().map(|node| node.met.parts.load(Relaxed)).sum();
            writeln!(out, "{open} {parts}")?;
            out.flush()?;
        }
        Ok(())
    }
}

struct Process {
    child: Child,
    asks: Option<ChildStdin>,
    says: BufReader<ChildStdout>,
}

/// Nodes that serve until this is dropped, or its process ends.
pub struct Hollow {
    processes: Vec<Process>,
    pub entries: Vec<Entry>,
}

impl Hollow {
    /// So many nodes, each in a cell of its own, that `lines` connections may lead to.
    pub fn start(count: usize, lines: usize, service_ms: f64, seed: u64) -> Result<Hollow, String> {
        let failed = |why: std::io::Error| format!("data nodes: {why}");
        let program = std::env::current_exe().map_err(failed)?;
        let processes = (count * (1 + lines)).div_ceil(ROOM).clamp(1, count);
        let mut hollow = Hollow { processes: vec![], entries: vec![] };
        for process in 0..processes {
            let mine = (0..count).filter(|n| n % processes == process).count();
            let threads = if processes == 1 { 2 } else { 1 };
            let mut child = Command::new(&program)
                .args(["scale", "nodes", "--count", &mine.to_string(), "--threads", &threads.to_string()])
                .args(["--service-ms", &service_ms.to_string()])
                .args(["--seed", &(seed + 1000 * process as u64).to_string()])
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .map_err(failed)?;
            let asks = child.stdin.take();
            let says = BufReader::new(child.stdout.take().ok_or("data nodes: no output")?);
            hollow.processes.push(Process { child, asks, says });
            for _ in 0..mine {
                let said = hollow.processes[process].hear()?;
                let address: SocketAddr = said.parse().map_err(|_| format!("data nodes: said `{said}`"))?;
                let n = hollow.entries.len();
                let (name, cell) = (format!("s-{n}"), n as u32);
                hollow.entries.push(Entry { name, address, cell, status: "SERVING", since_ms: 0 });
            }
        }
        Ok(hollow)
    }

    /// Connections that are open at the nodes, and parts that came to them.
    pub fn met(&mut self) -> Result<(u64, u64), String> {
        let mut met = (0, 0);
        for process in &mut self.processes {
            let asks = process.asks.as_mut().ok_or("data nodes: no input")?;
            writeln!(asks).map_err(|why| format!("data nodes: {why}"))?;
            let said = process.hear()?;
            let figures = said.split_once(' ').and_then(|(o, p)| Some((o.parse().ok()?, p.parse().ok()?)));
            let (open, parts): (u64, u64) = figures.ok_or(format!("data nodes: said `{said}`"))?;
            met = (met.0 + open, met.1 + parts);
        }
        Ok(met)
    }
}

impl Process {
    fn hear(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.says.read_line(&mut line) {
            Ok(0) => Err("data nodes: their process has ended".into()),
            Ok(_) => Ok(line.trim_end().to_string()),
            Err(why) => Err(format!("data nodes: {why}")),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.asks.take());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
