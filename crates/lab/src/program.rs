//! A query router under measurement: started on its own files, watched, and ended by its process id.
use crate::agent;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// What a deployment's settings say; everything else is as a small one has it.
#[derive(Clone, Debug)]
pub struct Setting {
    pub slo_ms: u64,
    pub deadline_ms: u64,
    pub effect: &'static str,
    pub shards: u32,
    pub cells: u32,
    pub reach: u32,
    pub room: usize,
    pub sockets: usize,
    pub peers: usize,
    /// Parts that one connection to a data node carries at once.
    pub places: usize,
    /// Least microseconds between two rounds.
    pub tick_us: u32,
    /// Seconds of the cold rule's warm-up; none where there is no such rule.
    pub warm_up: Option<f64>,
    /// Least share of the weight that may be answered.
    pub floor: f64,
}

impl Default for Setting {
    fn default() -> Self {
        Setting {
            slo_ms: 500,
            deadline_ms: 2000,
            effect: "idempotent",
            shards: 64,
            cells: 1,
            reach: 1,
            room: 20_000,
            sockets: 4096,
            peers: 1,
            places: 256,
            tick_us: 1000,
            warm_up: None,
            floor: 1.0,
        }
    }
}

impl Setting {
    fn text(&self) -> String {
        let Setting {
            slo_ms,
            deadline_ms,
            effect,
            shards,
            cells,
            reach,
            room,
            peers,
            places,
            tick_us,
            floor,
            ..
        } = self;
        let cold = self.warm_up.map_or(String::new(), |span| {
            format!(
                r#""ColdFrom":0.2,"WarmUpUs":{},"FallMultiple":2.5,"FallUs":1000000"#,
                (span * 1e6) as u64
            )
        });
        format!(
            r#"{{"Extra":{{"Cells":{cells},"Reach":{reach},"Slices":{shards},"BundleMax":8,"PerCallWorkUs":0,"FloorByClass":[{floor}]}},
            "Discovery":"automatic","TickUs":{tick_us},"ReplicasOfMe":{peers},"Obligations":{{{cold}}},
            "Limits":{{"MayCancel":true,"ParallelTries":true,"MaxAttempts":4,"MaxOpen":{room},
            "StreamsPerConn":{places},"DialTimeoutUs":250000,"KeepaliveUs":15000000}},
            "Services":[{{"Name":"site-search","PromiseUs":{},"DeadlineUs":{},"Effect":"{effect}",
            "WindowUs":2000000,"Worth":1,"LateShare":0.3}}]}}"#,
            slo_ms * 1000,
            deadline_ms * 1000
        )
    }

    pub fn configuration(&self, discovery: SocketAddr, known: &[agent::Entry]) -> String {
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"memory_mb":2048,"sockets":{}}},"known":{},"settings":{}}}"#,
            self.sockets,
            agent::object(41, true, known),
            self.text()
        )
    }
}

/// What to run: a program of the project's, and the operator's file it runs by, where it takes one.
#[derive(Clone, Debug)]
pub struct Build {
    pub path: PathBuf,
    /// `alderway` takes `serve`; an `alderway-router` of any build takes nothing.
    pub operator: Option<String>,
}

pub struct Program {
    child: Child,
    pub address: SocketAddr,
    pub log: Receiver<String>,
    files: Vec<PathBuf>,
    pub config: PathBuf,
}

/// A file of this process's own in the folder for temporary ones.
fn scratch(text: &str, ending: &str) -> std::io::Result<PathBuf> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("alderway-lab-{}-{count}.{ending}", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path)
}

impl Program {
    /// Starts a router and waits until it is able to serve.
    pub fn start(build: &Build, configuration: &str) -> Result<Program, String> {
        let until = Instant::now() + PATIENCE;
        let program = Program::begin(build, configuration)?;
        while program.get("/up").is_none_or(|(status, _)| status != 200) {
            if Instant::now() > until {
                return Err(format!("{}: it is not ready in time", build.path.display()));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(program)
    }

    /// Starts a router or planner and waits until it says where it listens.
    pub fn begin(build: &Build, configuration: &str) -> Result<Program, String> {
        let why = |why: std::io::Error| format!("{}: {why}", build.path.display());
        let config = scratch(configuration, "json").map_err(why)?;
        let mut files = vec![config.clone()];
        let mut command = Command::new(&build.path);
        command.env("PROXY_CONFIG", &config).stdin(Stdio::null()).stderr(Stdio::piped());
        if let Some(text) = &build.operator {
            let operator = scratch(text, "star").map_err(why)?;
            command.arg("serve").arg("--operator").arg(&operator);
            files.push(operator);
        }
        let mut child = command.spawn().map_err(why)?;
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut address = None;
        let until = Instant::now() + PATIENCE;
        while address.is_none() {
            let line = log.recv_timeout(until.saturating_duration_since(Instant::now()));
            let line =
                line.map_err(|_| format!("{}: it does not say where it listens", build.path.display()))?;
            address = line.split("listens at ").nth(1).and_then(|rest| rest.split(": ").next()?.parse().ok());
        }
        let address = address.ok_or("no address")?;
        Ok(Program { child, address, log, files, config })
    }

    /// Where it listens for peers, as its log says after its start.
    pub fn hears_peers_at(&self) -> Result<SocketAddr, String> {
        let end = Instant::now() + PATIENCE;
        loop {
            let line = self.log.recv_timeout(end.saturating_duration_since(Instant::now()));
            let line = line.map_err(|_| "it does not say where it hears peers".to_string())?;
            if let Some(at) = line.split("hears peers at ").nth(1).and_then(|at| at.trim().parse().ok()) {
                return Ok(at);
            }
        }
    }

    /// The operator's file that it runs by.
    pub fn operator_file(&self) -> Option<&Path> {
        self.files.iter().map(PathBuf::as_path).find(|file| file.extension().is_some_and(|e| e == "star"))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// An answer to a plain request on a connection of its own.
    pub fn get(&self, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        Some((head.split(' ').nth(1)?.parse().ok()?, body.to_string()))
    }

    /// Has a build made for tests play a fault: asked on so many connections, so that every core hears of it.
    pub fn fault(&self, fault: &str, connections: usize) {
        let open: Vec<_> = (0..connections).filter_map(|_| TcpStream::connect(self.address).ok()).collect();
        for mut stream in open {
            let _ = write!(stream, "GET /up HTTP/1.1\r\nX-Fault: {fault}\r\nConnection: close\r\n\r\n");
            let _ = stream.set_read_timeout(Some(PATIENCE));
            let _ = stream.read_to_string(&mut String::new());
        }
    }

    pub fn counters(&self) -> BTreeMap<String, u64> {
        figures(&self.get("/counters").unwrap_or_default().1)
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Seconds of the processor used so far.
    pub fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or_default();
        let ticks: Vec<f64> =
            after.split_whitespace().skip(11).take(2).filter_map(|t| t.parse().ok()).collect();
        ticks.iter().sum::<f64>() / 100.0
    }

    /// Resident memory in MiB: now, and at its highest.
    pub fn memory(&self) -> (f64, f64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let kib = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name))?;
            line.split_whitespace().next()?.parse::<f64>().ok()
        };
        (kib("VmRSS:").unwrap_or(0.0) / 1024.0, kib("VmHWM:").unwrap_or(0.0) / 1024.0)
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }

    /// Ends it as a planned stop does; what it had logged and not yet read.
    pub fn stop(mut self) -> Vec<String> {
        self.signal(Signal::SIGTERM);
        let _ = self.child.wait();
        let mut lines = vec![];
        while let Ok(line) = self.log.recv_timeout(Duration::from_millis(200)) {
            lines.push(line);
        }
        lines
    }
}

pub fn figures(text: &str) -> BTreeMap<String, u64> {
    text.lines()
        .filter_map(|l| l.split_once(' '))
        .filter_map(|(k, v)| Some((k.into(), v.parse().ok()?)))
        .collect()
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

/// Where this build's own programs lie: beside the running one.
pub fn beside(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.parent().unwrap_or(Path::new(".")).join(name)
}
